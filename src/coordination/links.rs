//! Whether a daemon has lost its links to the endpoints, as opposed to endpoints that have failed.
//!
//! Failed exchanges with several endpoints raise a suspicion; a round of probes to endpoints of several services and
//! availability zones decides. While the links are lost, rounds are repeated, and several good ones in a row lead back
//! step by step.

use std::collections::HashMap;
use std::time::Duration;

use super::recency::forget_older;
use crate::state::record::Name;

/// Time for which a failed exchange with an endpoint is remembered.
const FAILURE_MEMORY: Duration = Duration::from_secs(2);

/// Number of endpoints that must have failed for a suspicion.
const MIN_FAILED: usize = 2;

/// Minimum number of probes in a round that can show that the links are lost.
const MIN_PROBES: usize = 2;

/// Pause between rounds while the links are lost.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);

/// Pause between rounds while endpoints fail and the links are there.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Good rounds in a row after which all requests are sent to endpoints again.
const GOOD_ROUNDS: u32 = 4;

/// Time for which a response on a kept connection shows that such connections still work.
const RESPONSE_MEMORY: Duration = Duration::from_secs(1);

/// Time for which a response shows that links do not hang although probes get none.
const HANG_TIME: Duration = Duration::from_millis(600);

/// Maximum number of failed endpoints remembered.
const MAX_FAILED: usize = 256;

/// Result of a probe of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// No connection could be opened, or it was reset.
    Unreachable,
    /// A connection was opened, but a request got no response.
    Silent,
    /// A connection was opened, and nothing more was tried.
    Connected,
    /// A request got a response.
    Answered,
}

/// Change of the belief.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The links are lost.
    Lost,
    /// Some endpoints are reached again, so that a part of the requests is sent to them.
    Returning,
    /// The links are there again.
    Back,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum State {
    #[default]
    Up,
    Lost,
    /// Good rounds in a row.
    Returning(u32),
}

/// Belief about the links of one daemon.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::links::{Change, Links, Probe};
/// let now = Duration::from_secs(10);
/// let mut links = Links::default();
/// links.failed(&"e1".into(), now);
/// assert!(!links.is_suspected(now));
/// links.failed(&"e2".into(), now);
/// assert!(links.is_suspected(now));
/// assert_eq!(links.probed(&[Probe::Unreachable; 4], now), Some(Change::Lost));
/// assert_eq!(links.direct_share(), 0.0);
/// ```
#[derive(Debug, Default)]
pub struct Links {
    state: State,
    /// When the current loss began.
    lost_at: Duration,
    /// Endpoints with a failed exchange, each with the time of the last one.
    failed: HashMap<Name, Duration>,
    /// Time of the last response to a caller's request.
    answered_at: Option<Duration>,
    /// Time of the last round of probes.
    probed_at: Option<Duration>,
}

impl Links {
    /// Records that an endpoint has not responded to a request that was sent at `sent_at`. It says something about the links
    /// only if no other endpoint has responded since.
    pub fn silent(&mut self, endpoint: &Name, sent_at: Duration, now: Duration) {
        if self.answered_at.is_none_or(|at| at < sent_at) {
            self.failed(endpoint, now);
        }
    }

    /// Records that an endpoint could not be reached, or reset a connection.
    pub fn failed(&mut self, endpoint: &Name, now: Duration) {
        self.failed.insert(endpoint.clone(), now);
        forget_older(&mut self.failed, MAX_FAILED, |failed_at| *failed_at);
    }

    /// Records a response, or a part of one, to a caller's request.
    pub fn answered(&mut self, now: Duration) {
        self.answered_at = Some(now);
    }

    /// Number of endpoints with which an exchange has failed lately.
    pub fn failed_count(&self, now: Duration) -> usize {
        let lately = |failed_at: &&Duration| **failed_at + FAILURE_MEMORY > now;
        self.failed.values().filter(lately).count()
    }

    /// Whether the links may be lost: they are, or several endpoints have failed and it is not known why.
    pub fn is_suspected(&self, now: Duration) -> bool {
        self.state != State::Up || self.failed_count(now) >= MIN_FAILED
    }

    /// Whether the links are lost, or not yet all back.
    pub fn is_lost(&self) -> bool {
        self.state != State::Up
    }

    /// Time for which the links have been lost; zero if they are not.
    pub fn lost_for(&self, now: Duration) -> Duration {
        match self.state {
            State::Lost => now.saturating_sub(self.lost_at),
            State::Up | State::Returning(_) => Duration::ZERO,
        }
    }

    /// Share of the requests that are sent to endpoints without regard to kept connections.
    pub fn direct_share(&self) -> f64 {
        match self.state {
            State::Up => 1.0,
            State::Lost => 0.0,
            State::Returning(rounds) => f64::from(rounds) / f64::from(GOOD_ROUNDS),
        }
    }

    /// Whether connections that were opened before the links were lost still work.
    pub fn has_kept(&self, now: Duration) -> bool {
        self.answered_at
            .is_some_and(|at| at > self.lost_at && at + RESPONSE_MEMORY > now)
    }

    /// Time of the next round of probes; `None` if there is no reason for one.
    pub fn next_round(&self, now: Duration) -> Option<Duration> {
        let interval = match self.state {
            State::Up => CHECK_INTERVAL,
            State::Lost | State::Returning(_) => ROUND_INTERVAL,
        };
        let earliest = self.probed_at.map_or(now, |at| at + interval);
        self.is_suspected(now).then(|| earliest.max(now))
    }

    /// Records a round of probes that ended at `now`; returns how the belief changes.
    pub fn probed(&mut self, probes: &[Probe], now: Duration) -> Option<Change> {
        self.probed_at = Some(now);
        match (self.state, self.is_good(probes, now)) {
            (State::Up, false) if probes.len() >= MIN_PROBES && self.is_suspected(now) => {
                self.state = State::Lost;
                self.lost_at = now;
                Some(Change::Lost)
            }
            (State::Up, false) => None,
            (State::Up, true) => {
                self.failed.clear();
                None
            }
            (State::Lost, true) => {
                self.state = State::Returning(1);
                Some(Change::Returning)
            }
            (State::Returning(rounds), true) if rounds + 1 < GOOD_ROUNDS => {
                self.state = State::Returning(rounds + 1);
                None
            }
            (State::Returning(_), true) => {
                self.state = State::Up;
                self.failed.clear();
                Some(Change::Back)
            }
            (State::Lost, false) => None,
            (State::Returning(_), false) => {
                self.state = State::Lost;
                self.lost_at = now;
                Some(Change::Lost)
            }
        }
    }

    /// Whether a round shows that there are links. Endpoints may be down, too, so one of them is enough.
    fn is_good(&self, probes: &[Probe], now: Duration) -> bool {
        let count = |probe| probes.iter().filter(|it| **it == probe).count();
        let (answered, connected) = (count(Probe::Answered), count(Probe::Connected));
        let reached = match count(Probe::Silent) {
            0 => answered + connected,
            // Links may hang after connections were opened; only a response shows that they don't.
            _ if self.state == State::Up && self.answered_lately(now) => answered + connected,
            _ => answered,
        };
        reached > 0
    }

    fn answered_lately(&self, now: Duration) -> bool {
        self.answered_at.is_some_and(|at| at + HANG_TIME > now)
    }
}
