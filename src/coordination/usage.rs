//! Usage of the workspaces by window: counting in each daemon, collecting at the holder of the lease, and what the holder does
//! next, so that no two different reports are ever sent for one window.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::record::Name;

/// Time after the end of a window before which it is never decided; it covers differences between the daemons' clocks.
pub const MARGIN: Duration = Duration::from_millis(300);

/// Time after the end of a window after which it is not reported any more.
pub const MAX_AGE: Duration = Duration::from_secs(60);

/// Number of decided bodies that a daemon keeps.
const KEPT_BODIES: usize = 16;

/// Number of rows of sent windows that stay in the table, for operators.
const KEPT_ROWS: u64 = 3;

/// Time in flight after which a plain request counts as begun although its response has not come; rejections come sooner.
const PRESUMED_AFTER: Duration = Duration::from_secs(1);

/// Approximate size of the counts in one message, in bytes.
const MAX_COUNTS_BYTES: usize = 16 << 10;

/// Message between daemons about usage.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub enum Message {
    /// What the sender has counted.
    #[serde(rename = "c")]
    Counts(Counts),
    /// The body that was decided for a window, and the window up to which all are dealt with.
    #[serde(rename = "d")]
    Decided {
        /// Window.
        #[serde(rename = "k")]
        window: u64,
        /// Body of its report.
        #[serde(rename = "b")]
        body: String,
        /// All windows up to this one are decided or skipped.
        #[serde(rename = "t")]
        through: u64,
    },
    /// Asks for the bodies that were decided for windows after this one.
    #[serde(rename = "r")]
    Recall(u64),
}

/// Cumulative counts of one daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Counts {
    /// Time up to which the totals are complete, in milliseconds since the Unix epoch.
    #[serde(rename = "c")]
    pub covers: u64,
    /// Sum of all counts by window; a window that is missing has none.
    #[serde(rename = "t", default)]
    pub totals: BTreeMap<u64, u64>,
    /// Counts by window and workspace; a message may hold a part of them.
    #[serde(rename = "n", default)]
    pub counts: Vec<(u64, Name, u64)>,
}

/// Division of time into windows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Windows {
    /// Length of a window.
    pub length: Duration,
    /// Time after the end of a window at which its report is due.
    pub late: Duration,
}

impl Windows {
    /// Window that contains a time since the Unix epoch.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::usage::Windows;
    /// let second = Duration::from_secs(1);
    /// let windows = Windows { length: second * 5, late: second * 10 };
    /// assert_eq!(windows.at(second * 12), 2);
    /// assert_eq!(windows.end(2), second * 15);
    /// ```
    pub fn at(&self, time: Duration) -> u64 {
        (time.as_micros() / self.length.as_micros().max(1)) as u64
    }

    /// End of a window since the Unix epoch.
    pub fn end(&self, window: u64) -> Duration {
        let micros = (self.length.as_micros() as u64).saturating_mul(window.saturating_add(1));
        Duration::from_micros(micros)
    }

    /// Latest window that may be decided at a time; `None` if there is none.
    fn latest_ended(&self, time: Duration) -> Option<u64> {
        self.at(time.saturating_sub(MARGIN)).checked_sub(1)
    }
}

/// A plain request that was sent to an endpoint.
#[derive(Debug, Clone)]
struct Sent {
    workspace: Name,
    at: Duration,
    is_counted: bool,
}

/// Counts of one daemon.
#[derive(Debug)]
pub struct Counter {
    windows: Windows,
    counts: BTreeMap<u64, BTreeMap<Name, u64>>,
    sent: BTreeMap<u64, Sent>,
    next: u64,
}

impl Counter {
    /// Creates a counter without counts.
    pub fn open(windows: Windows) -> Self {
        Self {
            windows,
            counts: BTreeMap::new(),
            sent: BTreeMap::new(),
            next: 0,
        }
    }

    /// Counts an execution that began at a time since the Unix epoch.
    pub fn begin(&mut self, workspace: &Name, at: Duration) {
        let counts = self.counts.entry(self.windows.at(at)).or_default();
        match counts.get_mut(workspace) {
            Some(count) => *count += 1,
            None => {
                counts.insert(workspace.clone(), 1);
            }
        }
    }

    /// Records that a plain request was sent; returns its number for [`answered`](Self::answered) and [`ended`](Self::ended).
    pub fn sent(&mut self, workspace: &Name, at: Duration) -> u64 {
        self.next += 1;
        let sent = Sent {
            workspace: workspace.clone(),
            at,
            is_counted: false,
        };
        self.sent.insert(self.next, sent);
        self.next
    }

    /// Counts a plain request that was answered, as of the time at which it was sent.
    pub fn answered(&mut self, number: u64) {
        if let Some(sent) = self.sent.remove(&number).filter(|sent| !sent.is_counted) {
            self.begin(&sent.workspace, sent.at);
        }
    }

    /// Records that a plain request was rejected, or that its response will not come.
    pub fn ended(&mut self, number: u64) {
        self.sent.remove(&number);
    }

    /// Counts so far, as messages that fit a datagram. Plain requests that may still be rejected limit the time up to which
    /// they are complete.
    pub fn messages(&mut self, now: Duration) -> Vec<Counts> {
        let mut presumed = Vec::new();
        for sent in self.sent.values_mut() {
            if !sent.is_counted && now >= sent.at + PRESUMED_AFTER {
                sent.is_counted = true;
                presumed.push((sent.workspace.clone(), sent.at));
            }
        }
        for (workspace, at) in presumed {
            self.begin(&workspace, at);
        }
        let oldest = self.windows.at(now.saturating_sub(MAX_AGE * 2));
        self.counts.retain(|window, _| *window >= oldest);
        let open = self.sent.values().filter(|sent| !sent.is_counted);
        let covers = open.map(|sent| sent.at).chain([now]).min();
        let totals = self.counts.iter();
        let totals = totals.map(|(window, counts)| (*window, counts.values().sum()));
        let mut message = Counts {
            covers: covers.unwrap_or(now).as_millis() as u64,
            totals: totals.collect(),
            counts: Vec::new(),
        };
        let mut messages = Vec::new();
        let mut bytes = 0;
        for (window, counts) in &self.counts {
            for (workspace, count) in counts {
                bytes += workspace.len() + 32;
                if bytes > MAX_COUNTS_BYTES {
                    bytes = workspace.len() + 32;
                    messages.push(message.clone());
                    message.counts.clear();
                }
                message.counts.push((*window, workspace.clone(), *count));
            }
        }
        messages.push(message);
        messages
    }

    /// Drops the counts of windows up to one that all are dealt with.
    pub fn forget(&mut self, through: u64) {
        self.counts.retain(|window, _| *window > through);
    }
}

/// What one session of a daemon has reported.
#[derive(Debug, Clone, Default)]
struct Source {
    covers: u64,
    totals: BTreeMap<u64, u64>,
    counts: BTreeMap<u64, BTreeMap<Name, u64>>,
}

/// Counts of all daemons, as far as they have arrived here.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    sources: BTreeMap<(Name, u64), Source>,
    forgotten: Option<u64>,
}

impl Tally {
    /// Merges a message of a daemon's session; messages may be lost, come twice or overtake each other.
    pub fn merge(&mut self, daemon: &Name, session: u64, message: &Counts) {
        let forgotten = self.forgotten;
        let is_open = |window: u64| forgotten.is_none_or(|through| window > through);
        let source = self.sources.entry((daemon.clone(), session)).or_default();
        source.covers = source.covers.max(message.covers);
        for (window, total) in message.totals.iter().filter(|(it, _)| is_open(**it)) {
            let known = source.totals.entry(*window).or_default();
            *known = (*known).max(*total);
        }
        for (window, workspace, count) in message.counts.iter().filter(|(it, ..)| is_open(*it)) {
            let counts = source.counts.entry(*window).or_default();
            let known = counts.entry(workspace.clone()).or_default();
            *known = (*known).max(*count);
        }
    }

    /// Whether a session of a daemon has reported all of a window that ends at `end`.
    pub fn covers(&self, daemon: &Name, session: u64, window: u64, end: Duration) -> bool {
        let Some(source) = self.sources.get(&(daemon.clone(), session)) else {
            return false;
        };
        let counts = source.counts.get(&window);
        let counts = counts.into_iter().flat_map(BTreeMap::values);
        let sum = counts.fold(0, |sum: u64, count| sum.saturating_add(*count));
        let total = source.totals.get(&window).copied().unwrap_or_default();
        u128::from(source.covers) >= end.as_millis() && sum >= total
    }

    /// Counts of a window over all daemons' sessions.
    pub fn sum(&self, window: u64) -> BTreeMap<Name, u64> {
        let mut sums: BTreeMap<Name, u64> = BTreeMap::new();
        let counts = self
            .sources
            .values()
            .filter_map(|it| it.counts.get(&window));
        for (workspace, count) in counts.flatten() {
            let sum = sums.entry(workspace.clone()).or_default();
            *sum = sum.saturating_add(*count);
        }
        sums
    }

    /// First window with a count.
    pub fn first(&self) -> Option<u64> {
        let windows = self.sources.values().flat_map(|it| it.counts.keys());
        windows.min().copied()
    }

    /// Drops windows up to one that all are dealt with, and sessions that have been silent for longer than any window is kept.
    pub fn forget(&mut self, through: Option<u64>, now: Duration) {
        self.forgotten = self.forgotten.max(through);
        let oldest = now.saturating_sub(MAX_AGE * 2).as_millis() as u64;
        let forgotten = self.forgotten;
        self.sources.retain(|_, source| {
            let is_open = |window: u64| forgotten.is_none_or(|through| window > through);
            source.totals.retain(|window, _| is_open(*window));
            source.counts.retain(|window, _| is_open(*window));
            source.covers >= oldest
        });
    }
}

/// Bodies that were decided, as a daemon has heard of them.
#[derive(Debug, Clone, Default)]
pub struct Memory {
    bodies: BTreeMap<u64, String>,
    disputed: BTreeSet<u64>,
}

impl Memory {
    /// Keeps a body that was decided for a window; only the latest windows are kept.
    pub fn keep(&mut self, window: u64, body: &str) {
        let known = self.bodies.entry(window).or_insert_with(|| body.to_owned());
        if known != body {
            self.disputed.insert(window);
        }
        while self.bodies.len() > KEPT_BODIES {
            self.bodies.pop_first();
        }
        let first = self.bodies.keys().next().copied().unwrap_or_default();
        self.disputed.retain(|window| *window >= first);
    }

    /// Body that was decided for a window.
    pub fn get(&self, window: u64) -> Option<&str> {
        self.bodies.get(&window).map(String::as_str)
    }

    /// Bodies of windows after one.
    pub fn after(&self, window: u64) -> impl Iterator<Item = (u64, &str)> {
        let bodies = self.bodies.range(window.saturating_add(1)..);
        bodies.map(|(window, body)| (*window, body.as_str()))
    }

    /// Whether another body than this one is known for a window.
    fn contradicts(&self, window: u64, body: &str) -> bool {
        self.disputed.contains(&window) || self.get(window).is_some_and(|known| known != body)
    }
}

/// Value of the row that records how far reports were sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Progress {
    /// All windows up to this one were sent or skipped.
    pub through: u64,
    /// How often the store had been restored from a copy when the row was written.
    pub restores: u64,
    /// Windows up to this one ended before the last restore was noticed; their rows may be missing, so they are not decided.
    pub barrier: u64,
}

/// Rows of the table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rows {
    /// The record of progress with its version; `None` if there is no such row.
    pub progress: Option<(Progress, u64)>,
    /// Decided bodies by window.
    pub bodies: BTreeMap<u64, String>,
    /// How often the store had been restored from a copy when the rows were read.
    pub restores: u64,
}

impl Rows {
    /// Window up to which all are decided or skipped.
    pub fn decided(&self) -> u64 {
        let through = self.progress.map_or(0, |(progress, _)| progress.through);
        let decided =
            (through.saturating_add(1)..u64::MAX).take_while(|it| self.bodies.contains_key(it));
        decided.last().unwrap_or(through)
    }
}

/// What the holder knows beside the rows.
#[derive(Debug)]
pub struct Situation<'a> {
    /// Division of time.
    pub windows: Windows,
    /// Time since the Unix epoch.
    pub now: Duration,
    /// When this daemon began its term, or began to use a restored store; answers of other daemons are waited for after that.
    pub since: Duration,
    /// When this daemon first saw that the store had been restored as often as it has by the rows.
    pub restored: Duration,
    /// First window in which this daemon has counted.
    pub first: u64,
    /// Names and sessions of the daemons that count and may be live, including this one.
    pub live: &'a [(Name, u64)],
    /// Whether this daemon hears so few others that counts of many are likely to be missing; nothing is decided then.
    pub is_isolated: bool,
    /// Counts of all daemons.
    pub tally: &'a Tally,
    /// Decided bodies that this daemon has heard of.
    pub memory: &'a Memory,
}

/// What the holder does next. All writes are conditional on the version of the record of progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Write the record of progress: its first version, or that of a restored store.
    Start(Progress),
    /// Write the row of a window, which must not exist, from the counts.
    Decide(u64, BTreeMap<Name, u64>),
    /// Write the row of a window, which must not exist, with a body that was decided before and is missing after a restore.
    Rewrite(u64, String),
    /// Send the body of a window.
    Send(u64, String),
    /// Record that all windows up to one were sent.
    Record(u64),
    /// Record that windows up to one are never sent, for a reason.
    Skip(u64, &'static str),
}

/// Time for which the other daemons' answers are waited for after the start of a term or a restore.
const ANSWER_TIME: Duration = Duration::from_millis(1200);

/// What is to be done about the rows as read; decisions come before reports, so that they are in time while the platform does
/// not answer. `acknowledged` are the windows whose reports were accepted in this term, and `may_send` tells whether the report of
/// a window may be sent now.
pub fn step(
    rows: &Rows,
    situation: &Situation,
    acknowledged: &BTreeSet<u64>,
    may_send: impl Fn(u64) -> bool,
) -> Option<Step> {
    let Situation { windows, now, .. } = *situation;
    let ended = windows.latest_ended(now)?;
    let oldest = windows.at(now.saturating_sub(MAX_AGE));
    let Some((progress, _)) = rows.progress else {
        let first = situation.tally.first();
        let first = first.unwrap_or(situation.first).min(situation.first);
        let progress = Progress {
            through: first.max(oldest).saturating_sub(1),
            ..Progress::default()
        };
        return Some(Step::Start(with_barrier(
            progress,
            rows.restores,
            situation,
        )));
    };
    if progress.restores != rows.restores {
        return Some(Step::Start(with_barrier(
            progress,
            rows.restores,
            situation,
        )));
    }
    let is_settled = now >= situation.since + ANSWER_TIME;
    let head = progress.through.saturating_add(1);
    for window in head.max(oldest)..=ended {
        if rows.bodies.contains_key(&window) {
            continue;
        }
        if let Some(body) = situation.memory.get(window) {
            return Some(Step::Rewrite(window, body.to_owned()));
        }
        let may_decide = window > progress.barrier && !situation.is_isolated;
        if may_decide && is_due(window, situation, is_settled) {
            return Some(Step::Decide(window, situation.tally.sum(window)));
        }
    }
    let sent = (head..u64::MAX).take_while(|window| acknowledged.contains(window));
    if let Some(window) = sent.last() {
        return Some(Step::Record(window));
    }
    if head > ended {
        return None;
    }
    if head < oldest {
        return Some(Step::Skip(oldest - 1, "too_old"));
    }
    match rows.bodies.get(&head) {
        Some(body) if situation.memory.contradicts(head, body) => {
            return Some(Step::Skip(head, "disputed"));
        }
        None if head <= progress.barrier && is_settled => {
            return Some(Step::Skip(head, "restored"));
        }
        _ => {}
    }
    let mut unsent = rows.bodies.range(head..=ended).filter(|(window, body)| {
        !acknowledged.contains(window) && !situation.memory.contradicts(**window, body)
    });
    let (window, body) = unsent.find(|(window, _)| may_send(**window))?;
    Some(Step::Send(*window, body.clone()))
}

/// Whether a window is to be decided: all live daemons have reported it, or there is no more time to wait for them.
fn is_due(window: u64, situation: &Situation, is_settled: bool) -> bool {
    let end = situation.windows.end(window);
    let mut live = situation.live.iter();
    let covers =
        |(name, session): &(Name, u64)| situation.tally.covers(name, *session, window, end);
    (live.all(covers) || situation.now >= end + situation.windows.late / 2) && is_settled
}

/// Progress in a store that has been restored `restores` times.
fn with_barrier(progress: Progress, restores: u64, situation: &Situation) -> Progress {
    if progress.restores == restores {
        return progress;
    }
    // Another holder's clock may have been ahead of this one's when it decided a window.
    let noticed = situation.restored + MARGIN;
    let barrier = situation.windows.at(noticed).saturating_sub(1);
    Progress {
        restores,
        barrier: progress.barrier.max(barrier),
        ..progress
    }
}

/// Progress after all windows up to one were sent or skipped, and the windows whose rows are removed with it.
pub fn advance(rows: &Rows, window: u64) -> Option<(Progress, Vec<u64>)> {
    let (progress, _) = rows.progress?;
    let old = rows
        .bodies
        .keys()
        .filter(|it| it.saturating_add(KEPT_ROWS) <= window);
    let progress = Progress {
        through: progress.through.max(window),
        ..progress
    };
    Some((progress, old.copied().collect()))
}
