//! Watches the operators' and the endpoints' tables, in the platform's store or through a daemon that reads the store.

pub mod read;

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use futures::FutureExt;
use http::StatusCode;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::codec::Notice;
use super::duty::usage;
use super::meter::Age;
use super::{Node, jitter, lineage, quarantine};
use crate::coordination::freshness::Freshness;
use crate::coordination::reader::{Selector, Source};
use crate::state::mirror::{Changes, Mirror};
use crate::state::record::Name;
use crate::state::row::restores;
use crate::transport::exchange::{self, Channel};
use crate::transport::peer;

/// Time that a poll waits for a change after a read that failed or is late, so that a store that did not answer is soon
/// asked again.
const RECOVERY_POLL_WAIT: Duration = Duration::from_millis(300);

/// Shortest time that a poll waits for a change.
const MIN_POLL_WAIT: Duration = Duration::from_millis(100);

/// Time, of that within which a change must be in force, in which a follower reads the store itself once its reader has no newer
/// proof; of short times, a third.
const MAX_READ_TIME: Duration = Duration::from_millis(600);

/// Pause after a change, so that a burst of changes takes few calls; a large fleet pauses longer.
const CHANGE_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause after a change; a third of the time within which a change must be in force.
const MAX_CHANGE_PAUSE: Duration = Duration::from_millis(1000);

/// Time after its start in which a daemon learns of its peers.
const STARTUP: Duration = Duration::from_millis(1000);

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
    /// store was restored from a copy
    Restored,
    /// response of the store is malformed
    Page,
    /// store did not respond in time
    Silent,
    /// peer failed: {0}
    Peer(peer::Error),
    /// reader {0} is not known any more
    UnknownReader(Name),
    /// reader {0} has had no proof that its copy is current for {1:?}
    Outdated(Name, Duration),
}

impl std::error::Error for Error {}

/// A watched table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub enum Table {
    /// Table that operators write.
    #[serde(rename = "o")]
    Operator,
    /// Table that endpoints write.
    #[serde(rename = "e")]
    Endpoints,
}

/// Changes of a table, with what their source knows about its copy.
#[derive(Debug)]
pub struct Update {
    /// The changes.
    pub changes: Changes,
    /// Time for which removals are to be deferred.
    pub deferral: Duration,
    /// Time for which the source may have missed changes.
    pub age: Duration,
}

/// One table as this daemon knows it.
#[derive(Debug, Default)]
pub struct Feed {
    /// Requests a full listing at once, on a new connection.
    pub nudge: Notify,
    changed: Notify,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    mirror: Mirror,
    freshness: Freshness,
    failing_since: Option<Duration>,
    /// Time from which a peer has read rows that this daemon lacks while its own reads fail: the store is away for this
    /// daemon only, or was until then.
    others_read_since: Option<Duration>,
    /// Whether the last read was from the store, so that other daemons may follow this one.
    reads_store: bool,
    /// Time until which removed endpoints may register again.
    defer_until: Duration,
    /// Time at which the table is listed again.
    list_again_at: Option<Duration>,
}

impl Feed {
    /// Whether reads have been failing for at least the time `min_age`.
    pub fn stale(&self, min_age: Duration, now: Duration) -> bool {
        let since = self.state.lock().failing_since;
        since.is_some_and(|since| since + min_age <= now)
    }

    /// Records a read that failed; returns whether it is the first after a success.
    fn failed(&self, now: Duration) -> bool {
        let mut state = self.state.lock();
        state.reads_store = false;
        state.defer_until = now + REREGISTRATION_TIME;
        let is_first = state.failing_since.is_none();
        state.failing_since.get_or_insert(now);
        drop(state);
        self.changed.notify_waiters();
        is_first
    }

    /// Records a read that succeeded and contains all changes before `proven_at`; returns whether it is the first after
    /// a failure.
    fn succeeded(&self, source: &Source, changes: &Changes, proven_at: Duration) -> bool {
        let mut state = self.state.lock();
        state.mirror.apply(changes);
        state.freshness.prove(proven_at);
        state.reads_store = *source == Source::Store;
        let was_failing = state.failing_since.take().is_some();
        drop(state);
        self.changed.notify_waiters();
        was_failing
    }

    /// Records that a peer has read rows that this daemon lacks.
    pub fn note_peer_ahead(&self, now: Duration) {
        let mut state = self.state.lock();
        if state.failing_since.is_some() {
            state.others_read_since.get_or_insert(now);
        }
    }

    /// Sets until when removals are deferred, before the changes of a read are applied. After failed reads, entries may
    /// have lapsed that come back; those that the store has had time to take back are gone. `deferral` is the source's: a
    /// daemon that could read all the time does not follow it for longer than `max_deferral`, as the store may have been
    /// away for its reader only.
    fn note_return(&self, deferral: Duration, max_deferral: Duration, now: Duration) {
        let mut state = self.state.lock();
        let others_read_since = state.others_read_since.take();
        let deferral = match state.failing_since {
            Some(_) => {
                state.defer_until = others_read_since.unwrap_or(now) + REREGISTRATION_TIME;
                deferral
            }
            None => deferral.min(max_deferral),
        };
        state.defer_until = state.defer_until.max(now + deferral);
    }

    /// Defers removals if changes are the first ones since the store was restored from a copy: what was written after the
    /// copy is written again. Returns whether they are.
    fn note_restore(&self, version: u64, now: Duration) -> bool {
        let mut state = self.state.lock();
        let known = state.mirror.version();
        let is_restored = known > 0 && restores(version) > restores(known);
        if is_restored {
            state.defer_until = now + REREGISTRATION_TIME;
        }
        is_restored
    }

    /// Has the table listed again at a time, because rows that are missing may have been written again by then.
    fn list_again(&self, at: Duration) {
        self.state.lock().list_again_at = Some(at);
    }

    fn reads_store(&self) -> bool {
        self.state.lock().reads_store
    }

    /// Whether the table is to be listed again now.
    fn take_listing(&self, now: Duration) -> bool {
        let mut state = self.state.lock();
        let is_due = state.list_again_at.is_some_and(|at| at <= now);
        if is_due {
            state.list_again_at = None;
        }
        is_due
    }

    /// Time for which changes may have been missed, at a time of the clock that runs while the machine is suspended; `None`
    /// before the first read.
    pub fn age(&self, boot_now: Duration) -> Option<Duration> {
        self.state.lock().freshness.age(boot_now)
    }

    fn defer_until(&self) -> Duration {
        self.state.lock().defer_until
    }

    /// Waits for a change of the table after a version, or for proof that there is none, for at most `wait`; `None` if this
    /// daemon does not read the store, or has had no proof for so long that followers don't rely on its copy.
    pub async fn follow(
        &self,
        node: &Node,
        table: Table,
        after: u64,
        wait: Duration,
    ) -> Option<Update> {
        let (name, max_age) = (table_name(node, table), max_follow_age(node, table));
        let deadline = tokio::time::Instant::now() + wait;
        let known = self.state.lock().freshness;
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state.lock();
                let age = state.freshness.age(node.boot_now());
                let age = age.filter(|age| *age <= max_age);
                let age = age.filter(|_| state.reads_store)?;
                let changes = state.mirror.changes_after(name, after);
                let is_over = tokio::time::Instant::now() >= deadline;
                let is_proven = state.freshness.is_newer(&known);
                if !changes.rows.is_empty() || changes.all || is_proven || is_over {
                    return Some(Update {
                        changes,
                        deferral: state.defer_until.saturating_sub(node.now()),
                        age,
                    });
                }
            }
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }
}

/// Watches one table until the daemon stops.
pub async fn run(node: Arc<Node>, table: Table) {
    node.until_stopped(watch(&node, table)).await;
}

async fn watch(node: &Node, table: Table) {
    let feed = feed(node, table);
    let mut channel = Channel::open(node.settings.store_address);
    let mut selector = Selector::default();
    let mut version = None;
    let mut has_failed = false;
    let mut is_nudged = false;
    loop {
        let readers = node.peers.readers(&node.settings, node.now());
        if feed.take_listing(node.now()) {
            version = match feed.reads_store() {
                true => None,
                // The reader has all rows.
                false => version.map(|_| 0),
            };
        }
        let source = match version {
            // Daemons that start find each other by the store anyway.
            None if !feed.stale(Duration::ZERO, node.now()) => Source::Store,
            _ => selector.choose(&node.settings.name, &readers, node.now()),
        };
        let poll_wait = match has_failed {
            true => RECOVERY_POLL_WAIT,
            false => poll_wait(node, table),
        };
        let started = node.now();
        let result = tokio::select! {
            result = read::read(node, table, &source, &mut channel, version, poll_wait) => result,
            // A read on a new connection has to end, or a store that does not answer is never known to be away.
            () = feed.nudge.notified(), if !is_nudged => {
                // The connection may be dead without having been reset.
                channel = Channel::open(node.settings.store_address);
                version = None;
                is_nudged = true;
                node.journal.line(|| {
                    let waited = node.now().saturating_sub(started);
                    spdlog::info!("feed: read given up for a new one", kv: {
                        table:? = table,
                        source:? = source,
                        waited_ms = waited.as_millis() as u64,
                    });
                });
                continue;
            }
        };
        let now = node.now();
        has_failed = result.is_err();
        if std::mem::take(&mut is_nudged) {
            let _ = feed.nudge.notified().now_or_never();
        }
        match result {
            Ok(update) => {
                selector.succeeded(&source);
                feed.note_return(update.deferral, max_age(node, table) * 7 / 10, now);
                let changes = update.changes;
                let proven_at = node.boot_now().saturating_sub(update.age);
                if feed.note_restore(changes.version, now) {
                    spdlog::warn!("feed: store was restored from a copy", kv: {
                        table:? = table,
                        restores = restores(changes.version),
                    });
                    // Its daemons' rows may be gone.
                    node.peers.list_again();
                }
                quarantine::store::note_restore(node, restores(changes.version));
                usage::note_restore(node, restores(changes.version));
                apply(node, table, &changes);
                if feed.succeeded(&source, &changes, proven_at) {
                    spdlog::info!("feed: regained", kv: {
                        table:? = table,
                        source:? = source,
                        version = changes.version,
                    });
                    if table == Table::Endpoints {
                        // It changes often, so a store that was silent is noticed here first.
                        node.operator_feed.nudge.notify_one();
                    }
                }
                version = Some(changes.version.max(version.unwrap_or_default()));
                if changes.all && node.now() < STARTUP {
                    // Until the peers are known, every daemon would take itself for a reader.
                    sleep(STARTUP).await;
                } else if source == Source::Store && !changes.rows.is_empty() {
                    let pause = CHANGE_PAUSE * node.peers.interval_factor();
                    let max_pause = MAX_CHANGE_PAUSE.min(time_to_prove(node, table) / 2);
                    sleep(pause.min(max_pause)).await;
                }
            }
            Err(error @ (Error::Compacted | Error::Restored)) => {
                spdlog::info!("feed: changes no longer available, listing all rows", kv: {
                    table:? = table,
                    error: = error,
                });
                version = None;
            }
            Err(error) => {
                match error {
                    Error::Peer(peer::Error::Refused(_)) => selector.failed(&source, now),
                    _ => selector.timed_out(&source, now),
                }
                if source == Source::Store && feed.failed(now) {
                    spdlog::warn!("feed: lost", kv: { table:? = table, error: = error });
                } else {
                    node.journal.line(|| {
                        spdlog::info!("feed: read failed", kv: {
                            table:? = table,
                            source:? = source,
                            error: = error,
                        });
                    });
                }
                channel = Channel::open(node.settings.store_address);
                let next = selector.choose(&node.settings.name, &readers, now);
                if selector.is_backing_off(&next, now) {
                    sleep(jitter(RETRY_PAUSE)).await;
                }
            }
        }
    }
}

/// Publishes the ages of both tables, and logs when one becomes older than the time within which its changes must be in
/// force, or is no longer.
pub fn report_ages(node: &Node) {
    let now = node.boot_now();
    for table in [Table::Operator, Table::Endpoints] {
        let feed = feed(node, table);
        let Some(age) = feed.age(now) else {
            continue;
        };
        let label = Age {
            table: table_name(node, table),
        };
        let gauge = node.meter.table_age.get_or_create(&label);
        gauge.set(age.as_millis() as i64);
        let (changed, version) = {
            let mut state = feed.state.lock();
            let changed = state.freshness.check(max_age(node, table), now);
            (changed, state.mirror.version())
        };
        if let Some(is_overdue) = changed {
            spdlog::info!("feed: age", kv: {
                table:? = table,
                overdue = is_overdue,
                age_ms = age.as_millis() as u64,
                version,
            });
        }
    }
}

/// Feed of a table.
pub fn feed(node: &Node, table: Table) -> &Feed {
    match table {
        Table::Operator => &node.operator_feed,
        Table::Endpoints => &node.endpoint_feed,
    }
}

/// Latest time of the boot clock at which the copy of a table is known to have been current, zero before the first read, and
/// the longest time without such a proof for which the copy is relied on.
pub fn proven(node: &Node, table: Table, boot_now: Duration) -> (Duration, Duration) {
    let age = feed(node, table).age(boot_now);
    let proven_at = age.map_or(Duration::ZERO, |age| boot_now.saturating_sub(age));
    (proven_at, max_age(node, table))
}

/// Name of a table in the store.
pub fn table_name(node: &Node, table: Table) -> &'static str {
    match table {
        Table::Operator => node.codec.operator_table,
        Table::Endpoints => node.codec.endpoint_table,
    }
}

/// Time within which a change of a table must be in force, and so the longest time without proof that a copy of it is
/// current.
fn max_age(node: &Node, table: Table) -> Duration {
    match table {
        Table::Operator => node.settings.apply_within,
        Table::Endpoints => node.settings.drain_within,
    }
}

/// Age of a copy of a table from which a follower asks the store itself: what the store then returns is in force in time.
fn max_follow_age(node: &Node, table: Table) -> Duration {
    let max_age = max_age(node, table);
    max_age - MAX_READ_TIME.min(max_age / 3)
}

/// Time until the copy of a table is so old that followers no longer rely on it.
fn time_to_prove(node: &Node, table: Table) -> Duration {
    let age = feed(node, table).age(node.boot_now()).unwrap_or_default();
    max_follow_age(node, table).saturating_sub(age)
}

/// Time that a poll waits for a change, after which its answer proves that there was none.
fn poll_wait(node: &Node, table: Table) -> Duration {
    let longest = max_age(node, table) / 2;
    let wait = time_to_prove(node, table) * 4 / 5;
    wait.max(MIN_POLL_WAIT).min(longest)
}

/// Puts changes of a table in force.
fn apply(node: &Node, table: Table, changes: &Changes) {
    let defer_until = feed(node, table).defer_until();
    let is_deferred = node.now() < defer_until;
    let mut endpoints = HashSet::new();
    let mut zones = HashSet::new();
    let mut withdrawn = 0;
    for row in &changes.rows {
        let notice = (node.codec.notice)(row);
        if notice.withdraws() {
            withdrawn = withdrawn.max(row.version);
        }
        match &notice {
            Notice::Endpoint(entry) => {
                // Has its version stored before the first stream needs it.
                lineage::may_begin(node, &entry.service, &entry.version);
                endpoints.insert(entry.id.clone());
            }
            Notice::Zone { zone, out: true } => drop(zones.insert(zone.clone())),
            Notice::Zone { out: false, .. } if is_deferred => {
                // The row may only be missing in an older copy of the table.
                feed(node, table).list_again(defer_until);
                continue;
            }
            _ => {}
        }
        let source = row.value.clone().unwrap_or_default();
        node.fleet.apply(notice, &source, defer_until, node.now());
    }
    match table {
        Table::Operator if changes.all && is_deferred => feed(node, table).list_again(defer_until),
        Table::Operator if changes.all => node.fleet.retain_zones(&zones, node.now()),
        Table::Endpoints if changes.all => {
            let now = node.now();
            if node.fleet.retain_endpoints(&endpoints, defer_until, now) {
                // The versions of deleted rows are not listed.
                withdrawn = changes.version;
            }
        }
        _ => {}
    }
    node.fleet.note_read(table, changes, withdrawn);
}
