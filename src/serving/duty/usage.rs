//! Reports how many requests of each workspace began to run in each window.
//!
//! Every daemon counts, and sends its counts to the holder of the lease and its likely successors. The holder decides each window
//! once, by a row of the store, and sends only what the row says.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use http::StatusCode;
use parking_lot::Mutex;
use tokio::time::sleep;

use super::{Reply, call};
use crate::coordination::clock::Clock;
use crate::coordination::usage::{
    Counter, Memory, Message, Progress, Rows, Situation, Step, Tally, Windows, advance, step,
};
use crate::protocol::digest::Body;
use crate::serving::admit::Admission;
use crate::serving::meter::Report;
use crate::serving::peers;
use crate::serving::placer::{LEASE_KEY, LEASE_TABLE};
use crate::serving::settings::Duties;
use crate::serving::{Node, feed};
use crate::state::record::Name;
use crate::state::row::{Change, Page, restores};
use crate::transport::exchange::Channel;

/// Store table of decided windows.
const TABLE: &str = "usage";

/// Row key of the record of progress; those of windows are their numbers.
const PROGRESS_KEY: &str = "sent";

/// Interval at which counts are sent in a small fleet; twice that in a large one.
const COUNT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which the holder looks whether there is something to do.
const HOLD_INTERVAL: Duration = Duration::from_millis(100);

/// Number of daemons next in line for the lease that also get all counts.
const SUCCESSORS: usize = 2;

/// Pause after a report that was not accepted, and after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Number of unanswered attempts after which later windows are also sent while one waits for its next attempt.
const ATTEMPTS_IN_A_ROW: u32 = 2;

/// Pause of a report that got no response several times.
const UNANSWERED_PAUSE: Duration = Duration::from_secs(4);

/// Number of refusals for good (4xx, but for 408 and 429) after which a window is given up.
const MAX_REFUSALS: u32 = 5;

/// This machine's time of day, in milliseconds since the Unix epoch.
pub fn wall_millis() -> u64 {
    wall().as_millis() as u64
}

fn wall() -> Duration {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.unwrap_or_default()
}

/// What this daemon counts and knows of usage; empty if usage is not reported.
#[derive(Debug, Default)]
pub struct Usage {
    inner: Option<Arc<Inner>>,
}

#[derive(Debug)]
struct Inner {
    windows: Windows,
    local: Mutex<Local>,
    fleet: Mutex<Fleet>,
}

/// What requests change.
#[derive(Debug)]
struct Local {
    clock: Clock,
    counter: Counter,
}

/// What messages of daemons change.
#[derive(Debug, Default)]
struct Fleet {
    tally: Tally,
    memory: Memory,
    /// How often the store was restored from a copy, and when this daemon first saw that, by the boot clock: the time of day of a
    /// daemon that has just started may still change.
    restored: (u64, Duration),
}

/// A plain request that was sent to an endpoint; dropping it states that it did not begin.
#[derive(Debug)]
pub struct Ticket {
    inner: Arc<Inner>,
    number: u64,
}

impl Ticket {
    /// Counts the request, which has been answered.
    pub fn answered(self) {
        self.inner.local.lock().counter.answered(self.number);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.inner.local.lock().counter.ended(self.number);
    }
}

impl Usage {
    /// Creates an empty count, if the settings ask for one.
    pub fn open(duties: Option<&Duties>) -> Self {
        let duties = duties.filter(|duties| duties.reports_usage);
        let inner = duties.map(|duties| {
            let windows = Windows {
                length: duties.window,
                late: duties.late,
            };
            let local = Local {
                clock: Clock::default(),
                counter: Counter::open(windows),
            };
            Arc::new(Inner {
                windows,
                local: Mutex::new(local),
                fleet: Mutex::default(),
            })
        });
        Self { inner }
    }

    /// Reads this machine's clock, so that requests which come before peers' clocks are known are counted.
    pub fn start(&self, node: &Node) {
        if let Some(inner) = &self.inner {
            tick(node, inner);
        }
    }

    /// Whether usage is counted.
    pub fn is_on(&self) -> bool {
        self.inner.is_some()
    }

    /// Counts a stream that begins now.
    pub fn begun(&self, node: &Node, admission: &Admission) {
        let (Some(inner), Some(workspace)) = (&self.inner, &admission.workspace) else {
            return;
        };
        let mut local = inner.local.lock();
        let now = local.clock.time(node.boot_now());
        local.counter.begin(&workspace.name, now);
    }

    /// Records a plain request that is sent now.
    pub fn sent(&self, node: &Node, admission: &Admission) -> Option<Ticket> {
        let inner = self.inner.as_ref()?;
        let workspace = admission.workspace.as_ref()?;
        let mut local = inner.local.lock();
        let now = local.clock.time(node.boot_now());
        let number = local.counter.sent(&workspace.name, now);
        drop(local);
        Some(Ticket {
            inner: inner.clone(),
            number,
        })
    }

    /// Takes note of a peer's time of day.
    pub fn heard(&self, node: &Node, daemon: &Name, wall_millis: u64) {
        if let Some(inner) = &self.inner {
            let wall = Duration::from_millis(wall_millis);
            let mut local = inner.local.lock();
            local.clock.observe_peer(daemon, wall, node.boot_now());
        }
    }
}

/// Takes note of how often the store has been restored from a copy.
pub fn note_restore(node: &Node, restores: u64) {
    let Some(inner) = &node.usage.inner else {
        return;
    };
    let now = node.boot_now();
    let mut fleet = inner.fleet.lock();
    if restores > fleet.restored.0 {
        fleet.restored = (restores, now);
    }
}

/// Handles a message of a daemon.
pub fn receive(node: &Node, daemon: &Name, session: u64, message: Message, from: SocketAddr) {
    let Some(inner) = &node.usage.inner else {
        return;
    };
    match message {
        Message::Counts(counts) => inner.fleet.lock().tally.merge(daemon, session, &counts),
        Message::Decided {
            window,
            body,
            through,
        } => {
            inner.fleet.lock().memory.keep(window, &body);
            inner.local.lock().counter.forget(through);
        }
        Message::Recall(after) => {
            let memory = inner.fleet.lock().memory.clone();
            for (window, body) in memory.after(after) {
                let decided = Message::Decided {
                    window,
                    body: body.to_owned(),
                    through: 0,
                };
                peers::send(node, Body::Usage(decided), from);
            }
        }
    }
}

/// Counts, collects, decides and reports usage until the daemon stops.
pub async fn run(node: Arc<Node>, duties: Duties) {
    let Some(inner) = node.usage.inner.clone() else {
        return;
    };
    let first = tick(&node, &inner);
    let count = async {
        loop {
            let factor = node.peers.interval_factor().min(2);
            sleep(COUNT_INTERVAL * factor).await;
            send_counts(&node, &inner);
        }
    };
    let hold = async {
        let mut reporter = Reporter::open(&node, &inner, duties, first);
        loop {
            sleep(HOLD_INTERVAL).await;
            reporter.work().await;
        }
    };
    let task = async {
        tokio::join!(count, hold);
    };
    node.until_stopped(task).await;
    // What began since the last message would be missing otherwise.
    send_counts(&node, &inner);
}

/// Compares the clocks; returns the time since the Unix epoch.
fn tick(node: &Node, inner: &Inner) -> Duration {
    let now = node.boot_now();
    let mut local = inner.local.lock();
    local.clock.observe_own(wall(), now);
    local.clock.time(now)
}

fn send_counts(node: &Node, inner: &Inner) {
    let now = tick(node, inner);
    let messages = inner.local.lock().counter.messages(now);
    let to = node
        .peers
        .counting_addresses(&node.settings, Some(SUCCESSORS), node.now());
    let mut fleet = inner.fleet.lock();
    for message in &messages {
        let name = &node.settings.name;
        fleet.tally.merge(name, node.session, message);
    }
    fleet.tally.forget(None, now);
    drop(fleet);
    for message in messages {
        peers::send_to(node, Body::Usage(Message::Counts(message)), &to);
    }
}

fn broadcast(node: &Node, message: Message) {
    let to = node
        .peers
        .counting_addresses(&node.settings, None, node.now());
    peers::send_to(node, Body::Usage(message), &to);
}

fn count(node: &Node, outcome: &'static str) {
    node.meter
        .usage_reports
        .get_or_create(&Report { outcome })
        .inc();
}

/// Attempts to send the report of one window.
#[derive(Debug, Default)]
struct Attempts {
    unanswered: u32,
    refused: u32,
    /// Time before which it is not sent again.
    next_at: Duration,
}

/// Reports usage while this daemon holds the lease.
struct Reporter<'a> {
    node: &'a Arc<Node>,
    inner: &'a Inner,
    duties: Duties,
    store: Channel,
    api: Channel,
    /// First window in which this daemon has counted.
    first: u64,
    /// Fencing token of the current term.
    fence: Option<u64>,
    /// Time from which answers of other daemons are waited for.
    since: Duration,
    /// Rows as read in this term, with the changes that were made since.
    rows: Option<Rows>,
    /// Time before which the store is not called again.
    store_at: Duration,
    acknowledged: BTreeSet<u64>,
    attempts: BTreeMap<u64, Attempts>,
    /// Time before which no report is sent.
    send_at: Duration,
    /// Bodies that this daemon has tried to write; a window whose outcome is unknown is never tried with another one.
    proposed: BTreeMap<u64, String>,
}

impl<'a> Reporter<'a> {
    fn open(node: &'a Arc<Node>, inner: &'a Inner, duties: Duties, started: Duration) -> Self {
        Self {
            node,
            inner,
            store: Channel::open(node.settings.store_address),
            api: Channel::open(duties.address),
            duties,
            first: inner.windows.at(started),
            fence: None,
            since: started,
            rows: None,
            store_at: Duration::ZERO,
            acknowledged: BTreeSet::new(),
            attempts: BTreeMap::new(),
            send_at: Duration::ZERO,
            proposed: BTreeMap::new(),
        }
    }

    /// Does what is to be done now, as far as this daemon may act.
    async fn work(&mut self) {
        let now = tick(self.node, self.inner);
        let fence = self.node.placer.fence(self.node);
        if fence != self.fence {
            self.begin_term(fence, now);
        }
        // Steps that follow each other at once are few: one for each window that is late.
        for _ in 0..32 {
            if self.fence.is_none()
                || self.node.placer.acting_fence(self.node) != self.fence
                || self.node.now() < self.store_at
            {
                return;
            }
            if self.rows.is_none() && !self.read().await {
                self.store_at = self.node.now() + RETRY_PAUSE;
                return;
            }
            let Some(step) = self.next_step() else {
                return;
            };
            if !self.take(step).await {
                return;
            }
        }
    }

    fn begin_term(&mut self, fence: Option<u64>, now: Duration) {
        match fence {
            Some(fence) => spdlog::info!("duty: taken", kv: { duty = "usage_report", fence }),
            None => spdlog::info!("duty: lost", kv: { duty = "usage_report" }),
        }
        self.node.meter.duties_held.set(i64::from(fence.is_some()));
        self.fence = fence;
        self.since = now;
        self.rows = None;
        self.acknowledged.clear();
        self.attempts.clear();
    }

    /// Reads the rows; returns whether that has succeeded.
    async fn read(&mut self) -> bool {
        match feed::read::list(self.node, &self.store, TABLE).await {
            Ok(page) => {
                let rows = parse(&page);
                note_restore(self.node, rows.restores);
                self.publish(&rows);
                self.rows = Some(rows);
                true
            }
            Err(error) => {
                self.node
                    .journal
                    .line(|| spdlog::info!("duty: cannot read usage", kv: { error: = error }));
                false
            }
        }
    }

    /// Has all daemons keep the bodies of rows, which a restored store may lack, where this daemon has not done so.
    fn publish(&self, rows: &Rows) {
        let through = rows.decided();
        for (window, body) in &rows.bodies {
            let mut fleet = self.inner.fleet.lock();
            if fleet.memory.get(*window) == Some(body) {
                continue;
            }
            fleet.memory.keep(*window, body);
            drop(fleet);
            let decided = Message::Decided {
                window: *window,
                body: body.clone(),
                through,
            };
            broadcast(self.node, decided);
        }
    }

    fn next_step(&mut self) -> Option<Step> {
        let node = self.node;
        let now = tick(node, self.inner);
        let mut live = node.peers.counting(node.now());
        live.push((node.settings.name.clone(), node.session));
        let rows = self.rows.as_ref()?;
        let mut fleet = self.inner.fleet.lock();
        if let Some((progress, _)) = rows.progress {
            fleet.tally.forget(Some(progress.through), now);
            self.proposed.retain(|window, _| *window > progress.through);
        }
        let situation = Situation {
            windows: self.inner.windows,
            now,
            since: self.since,
            restored: self.inner.local.lock().clock.time(fleet.restored.1),
            first: self.first,
            live: &live,
            is_isolated: node.peers.is_isolated(node.now()),
            tally: &fleet.tally,
            memory: &fleet.memory,
        };
        let monotonic = node.now();
        let may_send = |window: u64| {
            let attempts = self.attempts.get(&window);
            monotonic >= self.send_at
                && attempts.is_none_or(|attempts| monotonic >= attempts.next_at)
        };
        let step = step(rows, &situation, &self.acknowledged, may_send)?;
        if let Step::Decide(window, _) = &step
            && !self.proposed.contains_key(window)
        {
            let missing = live.iter().filter(|(name, session)| {
                let end = self.inner.windows.end(*window);
                !fleet.tally.covers(name, *session, *window, end)
            });
            let missing: Vec<&str> = missing.map(|(name, _)| &**name).collect();
            spdlog::info!("duty: report decided", kv: {
                window = *window,
                daemons = live.len(),
                missing: = missing.join(","),
                after_ms = now.saturating_sub(self.inner.windows.end(*window)).as_millis() as u64,
            });
        }
        Some(step)
    }

    /// Takes a step; returns whether another one may follow at once.
    async fn take(&mut self, step: Step) -> bool {
        match step {
            Step::Start(progress) => {
                let is_written = self.write_progress(progress, &[]).await;
                let version = self.rows.as_ref().and_then(|rows| rows.progress);
                spdlog::info!("duty: usage table begun", kv: {
                    through = progress.through,
                    barrier = progress.barrier,
                    restores = progress.restores,
                    is_written = is_written,
                    version = version.map_or(0, |(_, version)| version),
                });
                self.since = tick(self.node, self.inner);
                broadcast(self.node, Message::Recall(progress.through));
                is_written
            }
            Step::Decide(window, counts) => {
                let build = self.node.codec.usage_body;
                let body = match self.proposed.get(&window) {
                    Some(body) => body.clone(),
                    None => String::from_utf8_lossy(&build(window, &counts)).into_owned(),
                };
                self.proposed.insert(window, body.clone());
                self.write_body(window, body).await
            }
            Step::Rewrite(window, body) => self.write_body(window, body).await,
            Step::Send(window, body) => {
                self.send(window, body).await;
                true
            }
            Step::Record(window) => self.record(window).await,
            Step::Skip(window, reason) => {
                spdlog::warn!("duty: report skipped", kv: { window, reason });
                count(self.node, "skipped");
                self.record(window).await
            }
        }
    }

    async fn send(&mut self, window: u64, body: String) {
        let node = self.node;
        let report = node.codec.report_usage;
        let bytes = Bytes::from(body);
        let reply = call(node, &self.duties, &self.api, |holder| {
            report(bytes, holder)
        })
        .await;
        let now = node.now();
        let attempts = self.attempts.entry(window).or_default();
        let is_repeated = attempts.unanswered > 0;
        let outcome = match reply {
            Reply::Accepted => {
                self.acknowledged.insert(window);
                match is_repeated {
                    true => "repeated",
                    false => "sent",
                }
            }
            // Nothing was sent; the rate allows it soon.
            Reply::Unsent => {
                self.send_at = now + HOLD_INTERVAL;
                return;
            }
            Reply::Unknown => {
                attempts.unanswered += 1;
                attempts.next_at = match attempts.unanswered >= ATTEMPTS_IN_A_ROW {
                    true => now + UNANSWERED_PAUSE,
                    false => now + RETRY_PAUSE,
                };
                "unanswered"
            }
            Reply::Refused(status) => {
                let is_final = status.is_client_error()
                    && status != StatusCode::TOO_MANY_REQUESTS
                    && status != StatusCode::REQUEST_TIMEOUT;
                attempts.refused += u32::from(is_final);
                self.send_at = now + RETRY_PAUSE;
                if attempts.refused >= MAX_REFUSALS {
                    // It is not reported any more, but must not hold up the windows after it.
                    self.acknowledged.insert(window);
                }
                "refused"
            }
        };
        let end = self.inner.windows.end(window);
        let age = tick(node, self.inner).saturating_sub(end);
        spdlog::info!("duty: report {outcome}", kv: {
            window,
            fence = self.fence.unwrap_or_default(),
            after_ms = age.as_millis() as u64,
            reply:? = reply,
        });
        count(node, outcome);
    }

    /// Writes the body of a window that must not have one; returns whether the outcome is known.
    async fn write_body(&mut self, window: u64, body: String) -> bool {
        let key: Name = window.to_string().into();
        let version = self.rows.as_ref().and_then(|rows| rows.progress);
        let change = Change {
            expected: vec![
                (TABLE.into(), key.clone(), 0),
                progress_condition(version.map(|(_, version)| version)),
            ],
            write: vec![(TABLE.into(), key, Bytes::from(body.clone()))],
            remove: Vec::new(),
        };
        if self.commit(change).await.is_none() {
            return false;
        }
        let Some(rows) = &mut self.rows else {
            return false;
        };
        rows.bodies.insert(window, body.clone());
        let through = rows.decided();
        self.inner.fleet.lock().memory.keep(window, &body);
        self.inner.local.lock().counter.forget(through);
        let decided = Message::Decided {
            window,
            body,
            through,
        };
        broadcast(self.node, decided);
        true
    }

    /// Records that all windows up to one are dealt with; returns whether that has succeeded.
    async fn record(&mut self, window: u64) -> bool {
        let next = self.rows.as_ref().and_then(|rows| advance(rows, window));
        let Some((progress, removed)) = next else {
            return false;
        };
        let is_written = self.write_progress(progress, &removed).await;
        if is_written {
            self.attempts.retain(|window, _| *window > progress.through);
            self.acknowledged
                .retain(|window| *window > progress.through);
        }
        is_written
    }

    async fn write_progress(&mut self, progress: Progress, removed: &[u64]) -> bool {
        let version = self.rows.as_ref().and_then(|rows| rows.progress);
        let value = Bytes::from(serde_json::to_vec(&progress).unwrap_or_default());
        let keys = removed.iter().map(|window| window.to_string().into());
        let change = Change {
            expected: vec![progress_condition(version.map(|(_, version)| version))],
            write: vec![(TABLE.into(), PROGRESS_KEY.into(), value)],
            remove: keys.map(|key| (TABLE.into(), key)).collect(),
        };
        let Some(version) = self.commit(change).await else {
            return false;
        };
        let Some(rows) = &mut self.rows else {
            return false;
        };
        rows.progress = Some((progress, version));
        removed.iter().for_each(|window| {
            rows.bodies.remove(window);
        });
        true
    }

    /// Writes rows, if this daemon may act and still has the lease in the store. If that fails, or its outcome is unknown, the rows
    /// are read again.
    async fn commit(&mut self, mut change: Change) -> Option<u64> {
        let node = self.node;
        let known = self.rows.as_ref().map(|rows| rows.restores);
        let lease = node.placer.lease_version(node);
        let lease = lease.filter(|_| node.placer.acting_fence(node) == self.fence);
        let written = match lease {
            // A write that is late, or that a restored store gets, must not be applied.
            Some(lease) => {
                let condition = (LEASE_TABLE.into(), LEASE_KEY.into(), lease);
                change.expected.push(condition);
                node.commit(&self.store, &change).await
            }
            None => Ok(None),
        };
        match written {
            Ok(Some(version)) if Some(restores(version)) == known => return Some(version),
            Ok(Some(_)) => spdlog::warn!("duty: store was restored from a copy"),
            // The lease may just have been renewed.
            Ok(None) => {}
            Err(error) => {
                self.store_at = node.now() + RETRY_PAUSE;
                node.journal
                    .line(|| spdlog::info!("duty: cannot write usage", kv: { error: = error }));
            }
        }
        self.rows = None;
        None
    }
}

fn progress_condition(version: Option<u64>) -> (Name, Name, u64) {
    let version = version.unwrap_or_default();
    (TABLE.into(), PROGRESS_KEY.into(), version)
}

fn parse(page: &Page) -> Rows {
    let mut rows = Rows {
        restores: restores(page.version),
        ..Rows::default()
    };
    for row in &page.rows {
        let Some(value) = &row.value else {
            continue;
        };
        if &*row.key == PROGRESS_KEY {
            let progress = serde_json::from_slice(value).ok();
            rows.progress = progress.map(|progress| (progress, row.version));
        } else if let (Ok(window), Ok(body)) = (row.key.parse(), std::str::from_utf8(value)) {
            rows.bodies.insert(window, body.to_owned());
        }
    }
    rows
}
