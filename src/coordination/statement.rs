//! What endpoints state about themselves in their responses, as this daemon and its peers have heard it.
//!
//! The latest statement about an endpoint holds, whichever daemon heard it, until a response states something else. A
//! response without a limit withdraws the limit; that an endpoint leaves holds until it starts anew.
//!
//! Statements of different daemons are ordered by when each was heard, as far as transit times allow. Where they don't, and
//! the statements contradict each other, the stricter one binds until the endpoint was asked anew; the same goes for a
//! statement of a peer that another peer keeps contradicting.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::record::Name;

/// Longest usual transit time of a response or of a peer's message.
const HOP_DELAY: Duration = Duration::from_millis(50);

/// Time for which a withdrawn limit is remembered, so that older statements of peers do not bring it back, and for which
/// all daemons repeat that an endpoint leaves.
const REPEAT_TIME: Duration = Duration::from_secs(20);

/// Change of a limit, as a share of it, up to which peers learn of it with the next heartbeat.
const MINOR_CHANGE: f64 = 0.1;

/// Time after which a statement about rejections no longer counts, if no response repeats it.
const REJECTIONS_TTL: Duration = Duration::from_secs(15);

/// Maximum number of statements in one message.
const MAX_REPORTED: usize = 16;

/// Delays of a question after which a peer's contradiction that has not ended is asked about.
const PERSISTENCE: u32 = 10;

/// Delays of a question before the next one about the same endpoint.
const ASK_INTERVAL: u32 = 10;

/// Maximum number of disputes kept for the log.
const MAX_SETTLED: usize = 64;

/// What a response states about its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize, Serialize)]
pub struct Content {
    /// Requests per second that the endpoint takes from all daemons together; `None` if it takes any number.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub rate_limit: Option<f64>,
    /// Whether the endpoint leaves.
    #[serde(rename = "g", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Requests that the endpoint can reject in a second without failing; `None` if it can reject any number.
    #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
    pub max_rejections: Option<u32>,
}

impl Content {
    /// Whether two statements can't both hold, apart from whether the endpoint leaves.
    fn contradicts(&self, other: &Self) -> bool {
        let is_close = match (self.rate_limit, other.rate_limit) {
            (None, None) => true,
            (Some(one), Some(other)) => (one - other).abs() <= one.max(other) * MINOR_CHANGE,
            _ => false,
        };
        !is_close || self.max_rejections != other.max_rejections
    }

    /// The stricter terms of two statements, with whether the endpoint leaves as in this one.
    fn stricter(&self, other: &Self) -> Self {
        let limits = self.rate_limit.into_iter().chain(other.rate_limit);
        let rejections = self.max_rejections.into_iter().chain(other.max_rejections);
        Self {
            rate_limit: limits.reduce(f64::min),
            leaving: self.leaving,
            max_rejections: rejections.min(),
        }
    }

    fn has_terms_of(&self, other: &Self) -> bool {
        (self.rate_limit, self.max_rejections) == (other.rate_limit, other.max_rejections)
    }
}

/// A statement, for peers.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// Identifier of the endpoint.
    #[serde(rename = "e")]
    pub endpoint: Name,
    /// Unix time at which the endpoint started, in milliseconds, if known.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
    /// What the response stated.
    #[serde(flatten)]
    pub content: Content,
    /// Time since a response stated this, in milliseconds.
    #[serde(rename = "a", default)]
    pub age_millis: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Statement {
    started_ms: Option<u64>,
    content: Content,
    /// For a peer's statement, the earliest time at which the peer may have heard it.
    heard_at: Duration,
    /// Whether a response to this daemon stated it.
    is_own: bool,
    /// Last time at which a response to this daemon stated the same.
    own_at: Option<Duration>,
}

impl Statement {
    /// Earliest time at which the endpoint may have stated it.
    fn earliest(&self) -> Duration {
        self.heard_at.saturating_sub(HOP_DELAY)
    }

    /// Latest time at which the endpoint may have stated it.
    fn latest(&self) -> Duration {
        match self.is_own {
            true => self.heard_at,
            false => self.heard_at + HOP_DELAY,
        }
    }

    /// Order relative to another statement.
    fn order(&self, known: &Self) -> Order {
        if self.is_own && known.is_own || self.earliest() > known.latest() {
            return Order::Later;
        }
        match self.latest() < known.earliest() {
            true => Order::Earlier,
            false => Order::Unknown,
        }
    }

    /// The terms that bind while the order of two statements is not known.
    fn stricter(&self, other: &Self) -> Self {
        let content = self.content.stricter(&other.content);
        if content.has_terms_of(&self.content) {
            return self.with_leaving_of(other);
        }
        if content.has_terms_of(&other.content) {
            return *other;
        }
        // No response has stated it in this form.
        Self {
            content,
            heard_at: self.heard_at.max(other.heard_at),
            is_own: false,
            own_at: None,
            ..self.with_leaving_of(other)
        }
    }

    /// Latest time at which the terms may have been stated that this one of two statements does not have.
    fn latest_of_the_other(&self, one: &Self, other: &Self) -> Duration {
        match (
            self.content.has_terms_of(&one.content),
            self.content.has_terms_of(&other.content),
        ) {
            (true, _) => other.latest(),
            (false, true) => one.latest(),
            (false, false) => one.latest().max(other.latest()),
        }
    }

    /// This statement, which agrees with an earlier one.
    fn confirming(self, known: &Self) -> Self {
        Self {
            own_at: self.own_at.or(known.own_at),
            ..self
        }
    }

    /// This statement, and that the endpoint leaves if another one about the same start says so.
    fn with_leaving_of(mut self, other: &Self) -> Self {
        let is_same_start = self.started_ms == other.started_ms;
        self.content.leaving |= is_same_start && other.content.leaving;
        self
    }

    /// Whether it was stated before something that a response to this daemon stated as well.
    fn is_before_own(&self, known: &Self) -> bool {
        let own_at = known.own_at.map(|at| at.saturating_sub(HOP_DELAY));
        own_at.is_some_and(|at| self.latest() < at)
    }
}

/// When a statement was made, relative to another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    Earlier,
    Unknown,
    Later,
}

/// Two statements about an endpoint that contradict each other and whose order is not known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Dispute {
    /// The statement that was known, and its age in milliseconds when the dispute began.
    pub known: (Content, u64),
    /// The other one, likewise.
    pub other: (Content, u64),
    /// When it began.
    pub since: Duration,
    /// Latest time at which the terms that do not bind may have been stated.
    latest: Duration,
    /// When a peer last repeated the other one.
    repeated_at: Duration,
    /// Whether the times are too close to tell the order; else the other one seems to be the earlier one.
    is_close: bool,
    /// When the endpoint was last asked.
    pub asked_at: Option<Duration>,
}

impl Dispute {
    /// Whether the endpoint is to be asked now; questions come `delay` after the dispute began.
    fn is_due(&self, delay: Duration, now: Duration) -> bool {
        let is_open = match self.is_close {
            true => self.since + delay <= now,
            false => self.since + delay * PERSISTENCE <= self.repeated_at,
        };
        let is_asked = self
            .asked_at
            .is_some_and(|at| now < at + delay * ASK_INTERVAL);
        is_open && !is_asked
    }

    /// Whether it has ended without a question, since no peer repeats the other statement.
    fn has_lapsed(&self, delay: Duration, now: Duration) -> bool {
        !self.is_close && self.repeated_at + delay * PERSISTENCE * 2 < now
    }
}

/// A dispute that has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Settled {
    /// Identifier of the endpoint.
    pub endpoint: Name,
    /// The dispute.
    pub dispute: Dispute,
    /// What holds.
    pub content: Content,
    /// Whether a response to this daemon settled it, or else a peer.
    pub is_own: bool,
    /// When it ended.
    pub ended_at: Duration,
}

/// Latest statements by endpoint.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::statement::{Content, Statements};
/// let (mut one, mut other) = (Statements::default(), Statements::default());
/// let second = Duration::from_secs(1);
/// let limited = Content { rate_limit: Some(6.0), ..Content::default() };
/// assert!(one.observe(&"e1".into(), None, limited, second));
/// for report in one.reports(second) {
///     other.adopt(&report, second);
/// }
/// assert_eq!(other.rate_limit("e1"), Some(6.0));
/// assert!(other.observe(&"e1".into(), None, Content::default(), second * 2));
/// assert_eq!(other.rate_limit("e1"), None);
/// ```
#[derive(Debug, Default)]
pub struct Statements {
    by_endpoint: HashMap<Name, Statement>,
    /// Last response to this daemon of each endpoint that has stated nothing, with the start of the endpoint.
    silent: HashMap<Name, (Option<u64>, Duration)>,
    disputes: HashMap<Name, Dispute>,
    settled: Vec<Settled>,
}

impl Statements {
    /// Records what a response of an endpoint, which started at `started_ms`, stated; returns whether peers should hear of
    /// it at once.
    pub fn observe(
        &mut self,
        endpoint: &Name,
        started_ms: Option<u64>,
        content: Content,
        now: Duration,
    ) -> bool {
        if content == Content::default() && !self.by_endpoint.contains_key(endpoint) {
            self.note_silence(endpoint, started_ms, now);
            return false;
        }
        let statement = Statement {
            started_ms,
            content,
            heard_at: now,
            is_own: true,
            own_at: Some(now),
        };
        self.consider(endpoint, statement, now)
    }

    /// Adopts what a peer has heard, unless this daemon knows something later; returns whether that changed much.
    pub fn adopt(&mut self, report: &Report, now: Duration) -> bool {
        let age = Duration::from_millis(report.age_millis) + HOP_DELAY;
        let statement = Statement {
            started_ms: report.started_ms,
            content: report.content,
            heard_at: now.saturating_sub(age),
            is_own: false,
            own_at: None,
        };
        self.consider(&report.endpoint, statement, now)
    }

    fn note_silence(&mut self, endpoint: &Name, started_ms: Option<u64>, now: Duration) {
        match self.silent.get_mut(endpoint) {
            Some(silent) => *silent = (started_ms, now),
            None => drop(self.silent.insert(endpoint.clone(), (started_ms, now))),
        }
    }

    /// What is known of an endpoint: the last statement, or that its last response stated nothing.
    fn known(&self, endpoint: &Name) -> Option<Statement> {
        let silence = || {
            let (started_ms, heard_at) = *self.silent.get(endpoint)?;
            Some(Statement {
                started_ms,
                content: Content::default(),
                heard_at,
                is_own: true,
                own_at: Some(heard_at),
            })
        };
        self.by_endpoint.get(endpoint).copied().or_else(silence)
    }

    /// Weighs a statement against the known one; returns whether that changed much.
    fn consider(&mut self, endpoint: &Name, statement: Statement, now: Duration) -> bool {
        let Some(known) = self.known(endpoint) else {
            return self.record(endpoint, statement);
        };
        if !statement.content.contradicts(&known.content) {
            let disputed = self.disputes.get(endpoint);
            if disputed.is_some_and(|it| statement.earliest() > it.latest) {
                self.settle(endpoint, &statement, now);
            }
            let is_later = statement.is_own || statement.heard_at > known.heard_at;
            let statement = match is_later {
                true => statement.confirming(&known),
                false => known.with_leaving_of(&statement),
            };
            return self.record(endpoint, statement);
        }
        match statement.order(&known) {
            Order::Later => {
                self.settle(endpoint, &statement, now);
                self.record(endpoint, statement)
            }
            Order::Unknown => {
                let binding = known.stricter(&statement);
                self.dispute(endpoint, &known, &statement, now);
                if let Some(dispute) = self.disputes.get_mut(endpoint) {
                    let latest = binding.latest_of_the_other(&known, &statement);
                    dispute.latest = dispute.latest.max(latest);
                    dispute.is_close = true;
                }
                self.record(endpoint, binding)
            }
            Order::Earlier => {
                if !statement.is_before_own(&known) {
                    self.dispute(endpoint, &known, &statement, now);
                }
                self.record(endpoint, known.with_leaving_of(&statement))
            }
        }
    }

    fn dispute(&mut self, endpoint: &Name, known: &Statement, other: &Statement, now: Duration) {
        let age = |it: &Statement| now.saturating_sub(it.heard_at).as_millis() as u64;
        let dispute = self.disputes.entry(endpoint.clone());
        let dispute = dispute.or_insert_with(|| Dispute {
            known: (known.content, age(known)),
            other: (other.content, age(other)),
            since: now,
            latest: other.latest(),
            repeated_at: now,
            is_close: false,
            asked_at: None,
        });
        dispute.repeated_at = now;
    }

    /// Ends a dispute by a statement that was made after both.
    fn settle(&mut self, endpoint: &Name, statement: &Statement, now: Duration) {
        let Some(dispute) = self.disputes.remove(endpoint) else {
            return;
        };
        let is_noted = dispute.is_close || dispute.asked_at.is_some();
        if is_noted && self.settled.len() < MAX_SETTLED {
            self.settled.push(Settled {
                endpoint: endpoint.clone(),
                dispute,
                content: statement.content,
                is_own: statement.is_own,
                ended_at: now,
            });
        }
    }

    /// Endpoints that are to be asked anew for which `can_be_asked` holds, `delay` after a dispute about them began; each
    /// counts as asked now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::statement::{Content, Statements};
    /// let (mut one, mut other) = (Statements::default(), Statements::default());
    /// let (milli, delay) = (Duration::from_millis(1), Duration::from_millis(100));
    /// let limited = Content { rate_limit: Some(6.0), ..Content::default() };
    /// one.observe(&"e1".into(), None, limited, milli * 1000);
    /// other.observe(&"e1".into(), None, limited, milli * 1000);
    /// other.observe(&"e1".into(), None, Content::default(), milli * 1010);
    /// // The order is not known, so that the limit binds until the endpoint was asked.
    /// one.adopt(&other.reports(milli * 1020)[0], milli * 1020);
    /// assert_eq!(one.rate_limit("e1"), Some(6.0));
    /// assert!(one.due(delay, milli * 1100, |_| true).is_empty());
    /// assert_eq!(one.due(delay, milli * 1200, |_| true), ["e1".into()]);
    /// one.observe(&"e1".into(), None, Content::default(), milli * 1210);
    /// assert_eq!(one.rate_limit("e1"), None);
    /// ```
    pub fn due(
        &mut self,
        delay: Duration,
        now: Duration,
        can_be_asked: impl Fn(&Name) -> bool,
    ) -> Vec<Name> {
        self.disputes.retain(|_, it| !it.has_lapsed(delay, now));
        let disputes = self.disputes.iter_mut();
        let due = disputes.filter(|(id, it)| it.is_due(delay, now) && can_be_asked(id));
        let due = due.take(MAX_REPORTED).map(|(endpoint, dispute)| {
            dispute.asked_at = Some(now);
            endpoint.clone()
        });
        due.collect()
    }

    /// Whether there is a dispute about an endpoint.
    pub fn is_disputed(&self, endpoint: &str) -> bool {
        self.disputes.contains_key(endpoint)
    }

    /// Takes the disputes that have ended since the last call, for the log.
    pub fn take_settled(&mut self) -> Vec<Settled> {
        std::mem::take(&mut self.settled)
    }

    fn record(&mut self, endpoint: &Name, mut statement: Statement) -> bool {
        let before = self.by_endpoint.get(endpoint);
        let before = before.filter(|before| before.started_ms == statement.started_ms);
        let before = before.map_or_else(Content::default, |before| before.content);
        statement.content.leaving |= before.leaving;
        self.by_endpoint.insert(endpoint.clone(), statement);
        let content = statement.content;
        let is_limit_news = match (before.rate_limit, content.rate_limit) {
            (None, None) => false,
            (Some(before), Some(after)) => (after - before).abs() > before * MINOR_CHANGE,
            _ => true,
        };
        is_limit_news || content.leaving != before.leaving
    }

    /// Whether an endpoint that started at `started_ms` has said that it leaves.
    pub fn is_leaving(&self, endpoint: &str, started_ms: Option<u64>) -> bool {
        let statement = self.by_endpoint.get(endpoint);
        statement.is_some_and(|it| it.content.leaving && it.started_ms == started_ms)
    }

    /// Requests per second that an endpoint takes from all daemons together, if it has named a limit.
    pub fn rate_limit(&self, endpoint: &str) -> Option<f64> {
        self.by_endpoint.get(endpoint)?.content.rate_limit
    }

    /// Requests that an endpoint can reject in a second without failing, if its last statement names a number; `None` if
    /// there is no statement that still counts.
    pub fn max_rejections(&self, endpoint: &str, now: Duration) -> Option<Option<u32>> {
        let statement = self.by_endpoint.get(endpoint)?;
        let counts = statement.heard_at + REJECTIONS_TTL > now;
        counts.then_some(statement.content.max_rejections)
    }

    /// Endpoints that have said that they leave.
    pub fn leaving(&self) -> impl Iterator<Item = &Name> {
        let statements = self.by_endpoint.iter();
        let leaving = statements.filter(|(_, statement)| statement.content.leaving);
        leaving.map(|(endpoint, _)| endpoint)
    }

    /// Number of endpoints that have named a limit.
    pub fn limited(&self) -> usize {
        let statements = self.by_endpoint.values();
        statements
            .filter(|it| it.content.rate_limit.is_some())
            .count()
    }

    /// Statements to repeat to peers, latest first: those that this daemon heard itself, even if a peer heard the same later,
    /// as that peer may end; and recent ones of endpoints that
    /// leave, as no response will state that again.
    pub fn reports(&self, now: Duration) -> Vec<Report> {
        let repeated = self.by_endpoint.iter().filter(|(_, statement)| {
            let is_recent = statement.heard_at + REPEAT_TIME > now;
            statement.own_at.is_some() || (statement.content.leaving && is_recent)
        });
        let mut statements: Vec<(&Name, &Statement)> = repeated.collect();
        statements.sort_by_key(|(_, statement)| std::cmp::Reverse(statement.heard_at));
        let statements = statements.into_iter().take(MAX_REPORTED);
        let reports = statements.map(|(endpoint, statement)| Report {
            endpoint: endpoint.clone(),
            started_ms: statement.started_ms,
            content: statement.content,
            age_millis: now.saturating_sub(statement.heard_at).as_millis() as u64,
        });
        reports.collect()
    }

    /// Drops statements of endpoints that do not satisfy `is_known`, and limits that were withdrawn long ago.
    pub fn prune(&mut self, is_known: impl Fn(&Name) -> bool, now: Duration) {
        self.by_endpoint.retain(|endpoint, statement| {
            let is_recent = statement.heard_at + REPEAT_TIME > now;
            is_known(endpoint) && (statement.content != Content::default() || is_recent)
        });
        self.silent.retain(|endpoint, _| is_known(endpoint));
        let known = &self.by_endpoint;
        self.disputes
            .retain(|endpoint, _| known.contains_key(endpoint));
    }
}
