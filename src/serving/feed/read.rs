//! Single reads of a table: from the store, on a second connection if the first is late, or from the zone's reader.

use std::pin::pin;
use std::time::Duration;

use futures::future::{Either, select};
use http::StatusCode;
use tokio::time::timeout;

use super::{Error, RECOVERY_POLL_WAIT, Table, Update, max_follow_age, table_name, time_to_prove};
use crate::coordination::reader::Source;
use crate::serving::Node;
use crate::serving::peers::source;
use crate::state::mirror::Changes;
use crate::state::row::{Page, restores};
use crate::transport::exchange::Channel;

/// Time after the end of a poll's wait from which its response is late.
const LATE_AFTER: Duration = Duration::from_millis(300);

/// Timeout of a call, in addition to the time of a long poll.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);

/// Reads changes.
pub(super) async fn read(
    node: &Node,
    table: Table,
    source: &Source,
    channel: &mut Channel,
    version: Option<u64>,
    poll_wait: Duration,
) -> Result<Update, Error> {
    match (source, version) {
        (Source::Store, None) => read_all(node, table, channel).await,
        (Source::Store, Some(after)) => {
            let (result, other) = poll_with_spare(node, table, channel, after, poll_wait).await;
            if let Some(other) = other {
                *channel = other;
            }
            result
        }
        (Source::Peer(reader), after) => {
            let follow = source::follow(node, reader, table, after.unwrap_or_default());
            let update = match time_to_prove(node, table) {
                // The copy here is too old already; the reader's may not be.
                Duration::ZERO => follow.await?,
                left => match timeout(left, follow).await {
                    Ok(update) => update?,
                    Err(_) => {
                        let age = max_follow_age(node, table);
                        return Err(Error::Outdated(reader.clone(), age));
                    }
                },
            };
            match update.age > max_follow_age(node, table) {
                true => Err(Error::Outdated(reader.clone(), update.age)),
                false => Ok(update),
            }
        }
    }
}

/// Polls the store for changes.
async fn poll(
    node: &Node,
    table: Table,
    channel: &Channel,
    after: u64,
    wait: Duration,
) -> Result<Update, Error> {
    let started = node.boot_now();
    let request = (node.codec.follow)(table_name(node, table), after, wait);
    let page = fetch(node, channel, request, wait + CALL_TIMEOUT).await?;
    if restores(page.version) != restores(after) {
        return Err(Error::Restored);
    }
    // A poll without changes is answered at its end.
    let waited = match page.rows.is_empty() {
        true => wait,
        false => Duration::ZERO,
    };
    let changes = Changes {
        rows: page.rows,
        version: page.version,
        all: false,
    };
    Ok(from_store(node, changes, started + waited))
}

/// Polls the store, and once more on another connection if the response is late, as the first connection may be dead
/// without having been reset. Returns the result and the other connection, if it is the one that works.
async fn poll_with_spare(
    node: &Node,
    table: Table,
    channel: &Channel,
    after: u64,
    wait: Duration,
) -> (Result<Update, Error>, Option<Channel>) {
    let started = node.now();
    let other = Channel::open(node.settings.store_address);
    let (result, is_other) = {
        let mut first = pin!(poll(node, table, channel, after, wait));
        if let Ok(result) = timeout(wait + LATE_AFTER, first.as_mut()).await {
            return (result, None);
        }
        log_late(node, table, after, started);
        let second = pin!(poll(node, table, &other, after, RECOVERY_POLL_WAIT));
        first_answer(first, second).await
    };
    (result, is_other.then_some(other))
}

/// Waits for the first of two reads that succeeds, or for both to fail; returns whether the result is the second one's.
async fn first_answer<T>(
    first: impl Future<Output = Result<T, Error>> + Unpin,
    second: impl Future<Output = Result<T, Error>> + Unpin,
) -> (Result<T, Error>, bool) {
    match select(first, second).await {
        Either::Left((Err(_), second)) => (second.await, true),
        Either::Right((Err(_), first)) => (first.await, false),
        Either::Left((result, _)) => (result, false),
        Either::Right((result, _)) => (result, true),
    }
}

fn log_late(node: &Node, table: Table, after: u64, started: Duration) {
    node.meter.late_polls.inc();
    node.journal.line(|| {
        let waited = node.now().saturating_sub(started);
        spdlog::info!("feed: poll is late", kv: {
            table:? = table,
            after,
            waited_ms = waited.as_millis() as u64,
        });
    });
}

async fn read_all(node: &Node, table: Table, channel: &Channel) -> Result<Update, Error> {
    let started = node.boot_now();
    let page = list(node, channel, table_name(node, table)).await?;
    let changes = Changes {
        rows: page.rows,
        version: page.version,
        all: true,
    };
    Ok(from_store(node, changes, started))
}

/// Changes that the store has returned, with all of those before `proven_at` by the clock that runs while the machine is
/// suspended.
fn from_store(node: &Node, changes: Changes, proven_at: Duration) -> Update {
    Update {
        changes,
        deferral: Duration::ZERO,
        age: node.boot_now().saturating_sub(proven_at),
    }
}

/// Reads all rows of a table.
///
/// # Errors
/// Any [`Error`] but [`Error::Compacted`]; [`Error::Restored`] if that happens between two pages.
pub async fn list(node: &Node, channel: &Channel, table: &str) -> Result<Page, Error> {
    list_prefix(node, channel, table, "").await
}

/// Reads the rows of a table whose keys begin with a prefix.
///
/// # Errors
/// As those of [`list`].
pub async fn list_prefix(
    node: &Node,
    channel: &Channel,
    table: &str,
    prefix: &str,
) -> Result<Page, Error> {
    let mut all = Page::default();
    loop {
        let after = all.rows.last().map(|row| row.key.clone());
        let request = (node.codec.list)(table, prefix, after.as_deref());
        let page = fetch(node, channel, request, CALL_TIMEOUT).await?;
        if all.version == 0 {
            // Watching from the first page's version also returns changes made between the pages.
            all.version = page.version;
        } else if restores(page.version) != restores(all.version) {
            return Err(Error::Restored);
        }
        all.rows.extend(page.rows);
        if !page.more {
            return Ok(all);
        }
    }
}

async fn fetch(
    node: &Node,
    channel: &Channel,
    request: http::Request<http_body_util::Full<bytes::Bytes>>,
    timeout: Duration,
) -> Result<Page, Error> {
    node.meter.store_calls.inc();
    let response = channel
        .fetch(request, timeout)
        .await
        .map_err(Error::Exchange)?;
    match response.status() {
        StatusCode::OK => (node.codec.page)(response.headers(), response.body()).ok_or(Error::Page),
        StatusCode::GONE => Err(Error::Compacted),
        status => Err(Error::Status(status)),
    }
}
