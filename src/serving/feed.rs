//! Watches the operators' and the endpoints' tables in the platform's store.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use http::StatusCode;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::codec::Notice;
use super::{Node, jitter};
use crate::state::row::{Page, Row};
use crate::transport::exchange::{self, Channel};

/// Time that a long poll waits for a change.
const POLL_WAIT: Duration = Duration::from_secs(10);

/// Timeout of a call, in addition to the time of a long poll.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);

/// Pause after a change, so that a burst of changes takes few calls; a large fleet pauses longer.
const CHANGE_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause after a change; a third of the time within which a change must be in force.
const MAX_CHANGE_PAUSE: Duration = Duration::from_millis(1000);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Time that endpoints take to register again after a store outage.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2100);

/// Error reading from or writing to the store.
#[derive(Debug, Display)]
pub enum Error {
    /// store is unreachable: {0}
    Exchange(exchange::Error),
    /// store responded with status {0}
    Status(StatusCode),
    /// requested version has been compacted
    Compacted,
    /// response of the store is malformed
    Page,
}

impl std::error::Error for Error {}

/// A watched table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Table {
    /// Table that operators write.
    Operator,
    /// Table that endpoints write.
    Endpoints,
}

/// Freshness of the data from one table.
#[derive(Debug, Default)]
pub struct Freshness {
    /// Requests a full listing at once, on a new connection.
    pub nudge: Notify,
    failing_since: parking_lot::Mutex<Option<Duration>>,
}

impl Freshness {
    /// Whether calls have been failing for at least the time `min_age`.
    pub fn stale(&self, min_age: Duration, now: Duration) -> bool {
        let since = *self.failing_since.lock();
        since.is_some_and(|since| since + min_age <= now)
    }

    /// Records the result of a call; returns whether it is the first success after failures.
    fn record(&self, ok: bool, now: Duration) -> bool {
        let mut since = self.failing_since.lock();
        let was_failing = since.is_some();
        *since = match ok {
            true => None,
            false => since.or(Some(now)),
        };
        was_failing && ok
    }
}

/// Watches one table until the daemon stops.
pub async fn run(node: Arc<Node>, table: Table) {
    node.until_stopped(watch(&node, table)).await;
}

async fn watch(node: &Node, table: Table) {
    let mut channel = Channel::open(node.settings.store_address);
    let mut version = None;
    let mut defer_until = Duration::ZERO;
    loop {
        let freshness = freshness(node, table);
        let step = async {
            match version {
                None => read_all(node, table, &channel, defer_until).await,
                Some(after) => read_changes(node, table, &channel, after, defer_until).await,
            }
        };
        let result = tokio::select! {
            result = step => result,
            () = freshness.nudge.notified() => {
                // The connection may be dead without having been reset.
                channel = Channel::open(node.settings.store_address);
                version = None;
                continue;
            }
        };
        let now = node.now();
        match result {
            Ok((read_version, changed)) => {
                if freshness.record(true, now) {
                    defer_until = now + REREGISTRATION_TIME;
                    spdlog::info!("feed: regained", kv: { table:? = table, version = read_version });
                }
                version = Some(read_version);
                if changed {
                    sleep((CHANGE_PAUSE * node.peers.interval_factor()).min(MAX_CHANGE_PAUSE))
                        .await;
                }
            }
            Err(error) => {
                if !freshness.stale(Duration::ZERO, now) {
                    spdlog::warn!("feed: lost", kv: { table:? = table, error: = error });
                }
                freshness.record(false, now);
                defer_until = now + REREGISTRATION_TIME;
                if matches!(error, Error::Compacted) {
                    version = None;
                }
                channel = Channel::open(node.settings.store_address);
                sleep(jitter(RETRY_PAUSE)).await;
            }
        }
    }
}

fn freshness(node: &Node, table: Table) -> &Freshness {
    match table {
        Table::Operator => &node.operator_feed,
        Table::Endpoints => &node.endpoint_feed,
    }
}

fn table_name(node: &Node, table: Table) -> &'static str {
    match table {
        Table::Operator => node.codec.operator_table,
        Table::Endpoints => node.codec.endpoint_table,
    }
}

async fn read_changes(
    node: &Node,
    table: Table,
    channel: &Channel,
    after: u64,
    defer_until: Duration,
) -> Result<(u64, bool), Error> {
    let request = (node.codec.follow)(table_name(node, table), after, POLL_WAIT);
    let page = fetch(node, channel, request, POLL_WAIT + CALL_TIMEOUT).await?;
    for row in &page.rows {
        apply_row(node, row, defer_until);
    }
    note_version(node, table, &page.rows);
    Ok((page.version, !page.rows.is_empty()))
}

async fn read_all(
    node: &Node,
    table: Table,
    channel: &Channel,
    defer_until: Duration,
) -> Result<(u64, bool), Error> {
    let rows = list(node, channel, table_name(node, table)).await?;
    let (rows, version) = (rows.rows, rows.version);
    let mut endpoints = HashSet::new();
    let mut zones = HashSet::new();
    for row in &rows {
        match (node.codec.notice)(row) {
            Notice::Endpoint(entry) => drop(endpoints.insert(entry.id)),
            Notice::Zone { zone, out: true } => drop(zones.insert(zone)),
            _ => {}
        }
        apply_row(node, row, defer_until);
    }
    match table {
        Table::Operator => node.fleet.retain_zones(&zones, node.now()),
        Table::Endpoints => node
            .fleet
            .retain_endpoints(&endpoints, defer_until, node.now()),
    }
    note_version(node, table, &rows);
    Ok((version, true))
}

/// Reads all rows of a table.
///
/// # Errors
/// Any [`Error`] but [`Error::Compacted`].
pub async fn list(node: &Node, channel: &Channel, table: &str) -> Result<Page, Error> {
    let mut all = Page::default();
    loop {
        let after = all.rows.last().map(|row| row.key.clone());
        let request = (node.codec.list)(table, after.as_deref());
        let page = fetch(node, channel, request, CALL_TIMEOUT).await?;
        if all.version == 0 {
            // Watching from the first page's version also returns changes made between the pages.
            all.version = page.version;
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
        StatusCode::OK => (node.codec.page)(response.body()).ok_or(Error::Page),
        StatusCode::GONE => Err(Error::Compacted),
        status => Err(Error::Status(status)),
    }
}

fn apply_row(node: &Node, row: &Row, defer_until: Duration) {
    let notice = (node.codec.notice)(row);
    let source = row.value.clone().unwrap_or_default();
    node.fleet.apply(notice, &source, defer_until, node.now());
}

fn note_version(node: &Node, table: Table, rows: &[Row]) {
    let version = rows.iter().map(|row| row.version).max().unwrap_or_default();
    match table {
        Table::Operator => node.fleet.note_operator_version(version),
        Table::Endpoints => node.fleet.note_registry_version(version),
    }
}
