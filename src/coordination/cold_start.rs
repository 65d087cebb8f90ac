//! Starts of an endpoint that no statement has told of, inferred from its connections.
//!
//! An endpoint states in its entry that it is cold, and the entry may be missing or late. A process is known to run on while
//! the table of entries is current, or while connections that were opened to it are answered. A new connection after a gap
//! in that knowledge, or after a refused one, may lead to a process that has just started.

use std::time::Duration;

/// Why an endpoint is taken to have started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It refused a connection before it accepted one.
    Refused,
    /// It was not known to run on for too long before it accepted a connection.
    Unknown,
}

impl Cause {
    /// Name, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// A start that is inferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    /// Why it is inferred.
    pub cause: Cause,
    /// Latest time at which the process before it may still have accepted connections.
    pub after: Duration,
    /// Time at which a connection was accepted.
    pub accepted_at: Duration,
    /// Time from which the endpoint is warm.
    pub cold_until: Duration,
}

/// What one daemon knows of whether an endpoint's process still runs. All times are of one clock, which keeps running while
/// the machine is suspended.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::cold_start::ColdStart;
/// let second = Duration::from_secs(1);
/// let mut endpoint = ColdStart::default();
/// endpoint.refused(second * 10);
/// // The table is current, but the endpoint's entry may be late.
/// let start = endpoint.connected(second * 11, second * 2, second * 3, second * 11);
/// assert_eq!(start.unwrap().cold_until, second * 14);
/// assert!(endpoint.is_cold(second * 13));
/// assert!(!endpoint.is_cold(second * 14));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdStart {
    /// Latest time at which the process was known to be the one that accepts connections now.
    known_at: Duration,
    /// Time of the last refused connection, if none was accepted since.
    refused_at: Option<Duration>,
    start: Option<Start>,
}

impl ColdStart {
    /// Records that the endpoint refused a connection, so that no process listened.
    pub fn refused(&mut self, now: Duration) {
        self.refused_at = Some(now);
    }

    /// Records that the endpoint accepted a connection, while the table of entries was known to be current at
    /// `proven_at`; returns the start that this implies. `max_gap` is the longest time for which the process may be unknown,
    /// `cold_time` that for which an endpoint is cold after its start.
    pub fn connected(
        &mut self,
        proven_at: Duration,
        max_gap: Duration,
        cold_time: Duration,
        now: Duration,
    ) -> Option<Start> {
        let known_at = self.known_at.max(proven_at);
        self.known_at = known_at.max(now);
        let (cause, after) = match self.refused_at.take() {
            Some(refused_at) => (Cause::Refused, refused_at),
            None if known_at + max_gap < now => (Cause::Unknown, known_at),
            None => return None,
        };
        let earlier = self.start.filter(|start| now < start.cold_until);
        let start = Start {
            cause,
            // A connection that outlived this start may have been opened after the one before.
            after: earlier.map_or(after, |earlier| earlier.after.min(after)),
            accepted_at: now,
            cold_until: now + cold_time,
        };
        self.start = Some(start);
        Some(start)
    }

    /// Records a response to a request that was sent at `sent_at` on a connection that was opened at `opened_at`; returns the
    /// inferred start that this disproves, as the process that accepted the connection runs on.
    pub fn responded(&mut self, opened_at: Duration, sent_at: Duration) -> Option<Start> {
        if opened_at <= self.known_at {
            self.known_at = self.known_at.max(sent_at);
        }
        let outlives = |at: Duration| opened_at <= at && at <= sent_at;
        self.refused_at = self.refused_at.filter(|at| !outlives(*at));
        let start = self.start?;
        let is_disproved = opened_at <= start.after && start.accepted_at <= sent_at;
        is_disproved.then(|| self.start.take()).flatten()
    }

    /// Records that the endpoint has stated whether it is cold, in a response: nothing needs to be inferred any more.
    pub fn stated(&mut self, now: Duration) {
        *self = Self {
            known_at: self.known_at.max(now),
            ..Self::default()
        };
    }

    /// Whether a start is inferred from which the endpoint may not have become warm yet; without one, no time is needed to
    /// tell that it is not cold.
    pub fn has_start(&self) -> bool {
        self.start.is_some()
    }

    /// Whether the endpoint is cold after a start that is inferred.
    pub fn is_cold(&mut self, now: Duration) -> bool {
        self.start = self.start.filter(|start| now < start.cold_until);
        self.start.is_some()
    }
}
