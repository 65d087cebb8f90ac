//! Watches the operators' and the endpoints' tables in the platform's store.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use http::StatusCode;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::adapter::Notice;
use super::{Node, spread};
use crate::state::row::{Page, Row};
use crate::transport::exchange::{self, Line};

/// Time that a long poll waits for a change.
const POLL: Duration = Duration::from_secs(10);

/// Timeout of a call, in addition to the time of a long poll.
const TIMEOUT: Duration = Duration::from_millis(1200);

/// Pause after a change, so that a burst of changes takes few calls; a large fleet pauses longer.
const PACE: Duration = Duration::from_millis(250);

/// Maximum pause after a change; a third of the time within which a change must be in force.
const LONGEST_PACE: Duration = Duration::from_millis(1000);

/// Pause after a failed call.
const RETRY: Duration = Duration::from_millis(250);

/// Time that endpoints take to register again after a store outage.
const SETTLE: Duration = Duration::from_millis(2100);

/// Error reading from or writing to the store.
#[derive(Debug, Display)]
pub enum Error {
    /// store cannot be reached: {0}
    Exchange(exchange::Error),
    /// store answered {0}
    Status(StatusCode),
    /// the history that was asked for is gone
    Compacted,
    /// answer cannot be read
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
    /// Whether calls have been failing for at least the time `than`.
    pub fn stale(&self, than: Duration, now: Duration) -> bool {
        let since = *self.failing_since.lock();
        since.is_some_and(|since| since + than <= now)
    }

    /// Records the result of a call; returns whether it is the first success after failures.
    fn note(&self, ok: bool, now: Duration) -> bool {
        let mut since = self.failing_since.lock();
        let before = since.is_some();
        *since = match ok {
            true => None,
            false => since.or(Some(now)),
        };
        before && ok
    }
}

/// Watches one table until the daemon stops.
pub async fn run(node: Arc<Node>, table: Table) {
    node.until_stopped(follow(&node, table)).await;
}

async fn follow(node: &Node, table: Table) {
    let mut line = Line::open(node.settings.store_address);
    let mut version = None;
    let mut settle = Duration::ZERO;
    loop {
        let freshness = freshness(node, table);
        let step = async {
            match version {
                None => read_all(node, table, &line, settle).await,
                Some(after) => read_changes(node, table, &line, after, settle).await,
            }
        };
        let result = tokio::select! {
            result = step => result,
            () = freshness.nudge.notified() => {
                // The connection may be dead without having been reset.
                line = Line::open(node.settings.store_address);
                version = None;
                continue;
            }
        };
        let now = node.now();
        match result {
            Ok((read, changed)) => {
                if freshness.note(true, now) {
                    settle = now + SETTLE;
                    spdlog::info!("feed: regained", kv: { table:? = table, version = read });
                }
                version = Some(read);
                if changed {
                    sleep((PACE * node.peers.crowd()).min(LONGEST_PACE)).await;
                }
            }
            Err(error) => {
                if !freshness.stale(Duration::ZERO, now) {
                    spdlog::warn!("feed: lost", kv: { table:? = table, error: = error });
                }
                freshness.note(false, now);
                settle = now + SETTLE;
                if matches!(error, Error::Compacted) {
                    version = None;
                }
                line = Line::open(node.settings.store_address);
                sleep(spread(RETRY)).await;
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

fn name(node: &Node, table: Table) -> &'static str {
    match table {
        Table::Operator => node.adapter.operator_table,
        Table::Endpoints => node.adapter.endpoint_table,
    }
}

async fn read_changes(
    node: &Node,
    table: Table,
    line: &Line,
    after: u64,
    settle: Duration,
) -> Result<(u64, bool), Error> {
    let request = (node.adapter.follow)(name(node, table), after, POLL);
    let page = fetch(node, line, request, POLL + TIMEOUT).await?;
    for row in &page.rows {
        take(node, row, settle);
    }
    note_version(node, table, &page.rows);
    Ok((page.version, !page.rows.is_empty()))
}

async fn read_all(
    node: &Node,
    table: Table,
    line: &Line,
    settle: Duration,
) -> Result<(u64, bool), Error> {
    let rows = list(node, line, name(node, table)).await?;
    let (rows, version) = (rows.rows, rows.version);
    let mut endpoints = HashSet::new();
    let mut zones = HashSet::new();
    for row in &rows {
        match (node.adapter.notice)(row) {
            Notice::Endpoint(entry) => drop(endpoints.insert(entry.id)),
            Notice::Zone { zone, out: true } => drop(zones.insert(zone)),
            _ => {}
        }
        take(node, row, settle);
    }
    match table {
        Table::Operator => node.belief.keep_zones(&zones, node.now()),
        Table::Endpoints => node.belief.keep_endpoints(&endpoints, settle, node.now()),
    }
    note_version(node, table, &rows);
    Ok((version, true))
}

/// Reads all rows of a table.
///
/// # Errors
/// Any [`Error`] but [`Error::Compacted`].
pub async fn list(node: &Node, line: &Line, table: &str) -> Result<Page, Error> {
    let mut all = Page::default();
    loop {
        let after = all.rows.last().map(|row| row.key.clone());
        let request = (node.adapter.list)(table, after.as_deref());
        let page = fetch(node, line, request, TIMEOUT).await?;
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
    line: &Line,
    request: http::Request<http_body_util::Full<bytes::Bytes>>,
    within: Duration,
) -> Result<Page, Error> {
    node.meter.store_calls.inc();
    let response = line.fetch(request, within).await.map_err(Error::Exchange)?;
    match response.status() {
        StatusCode::OK => (node.adapter.page)(response.body()).ok_or(Error::Page),
        StatusCode::GONE => Err(Error::Compacted),
        status => Err(Error::Status(status)),
    }
}

fn take(node: &Node, row: &Row, settle: Duration) {
    let notice = (node.adapter.notice)(row);
    let source = row.value.clone().unwrap_or_default();
    node.belief.notice(notice, &source, settle, node.now());
}

fn note_version(node: &Node, table: Table, rows: &[Row]) {
    let version = rows.iter().map(|row| row.version).max().unwrap_or_default();
    match table {
        Table::Operator => node.belief.read_operator(version),
        Table::Endpoints => node.belief.read_roster(version),
    }
}
