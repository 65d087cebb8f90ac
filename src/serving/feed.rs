//! Follows the operators' and the endpoints' tables of the platform's store.

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

/// Longest wait for a change in one call.
const POLL: Duration = Duration::from_secs(10);

/// Timeout of a call beyond the time that it may wait.
const TIMEOUT: Duration = Duration::from_millis(1200);

/// Pause after a change was read in a small fleet, so that a burst of changes costs few calls.
const PACE: Duration = Duration::from_millis(250);

/// Longest such pause, in a large fleet; a third of the time in which a change has to be obeyed.
const LONGEST_PACE: Duration = Duration::from_millis(1000);

/// Pause after a failed call.
const RETRY: Duration = Duration::from_millis(250);

/// Time after the store's return in which endpoints register themselves again.
const SETTLE: Duration = Duration::from_millis(2100);

/// Why a table could not be read.
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

/// One of the tables that are followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Table {
    /// Written by operators.
    Operator,
    /// Written by endpoints.
    Endpoints,
}

/// How fresh the knowledge of one table is.
#[derive(Debug, Default)]
pub struct Freshness {
    /// Asks for a new reading at once, on a new connection.
    pub nudge: Notify,
    failing_since: parking_lot::Mutex<Option<Duration>>,
}

impl Freshness {
    /// Whether calls have been failing for at least this long.
    pub fn stale(&self, than: Duration, now: Duration) -> bool {
        let since = *self.failing_since.lock();
        since.is_some_and(|since| since + than <= now)
    }

    /// Notes a result; says whether the store has just come back.
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

/// Follows one table until the daemon stops.
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
                // The connection may have gone silent without a reset.
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
            // Changes since the first page are read again by following from its version.
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
