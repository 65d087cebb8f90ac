//! Limit of requests in flight at an endpoint that has started or recovered, raised as it answers.
//!
//! There is one limit for all daemons: each raises or lowers it by the answers that it sees and adopts the latest change of its
//! peers. Each daemon may use its share of the limit. As shares rise with the limit, all daemons together never send more than
//! the highest limit that one of them holds, also if messages are lost.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::rendezvous;
use crate::state::record::Name;

/// Limit at the begin of a ramp, and after a failure in it.
pub const INITIAL_LIMIT: u32 = 2;

/// Ratio to the expected time to the first event up to which an answer is near it.
const NEAR_RATIO: f64 = 2.0;

/// Time added to the expected one, so that chance doesn't decide where few milliseconds are expected.
const NEAR_MARGIN_MILLIS: f64 = 50.0;

/// Failures in a row, without an answer between, from which an endpoint that answers again has recovered. One broken
/// connection may have any cause.
const MIN_FAILURES: u32 = 3;

/// Least number of answers that a daemon takes as a round. Daemons with parts of one request each see only one of a round's
/// answers at a time; with rounds of one, the limit was gone before a fifth of the answers that warm an endpoint in `tests/pace.rs`.
const MIN_ANSWERS: u32 = 2;

/// Time after which the limit doubles without an answer, if nothing failed; a daemon that sends the endpoint nothing, or
/// misses its peers' messages, does not keep it from work for good.
const QUIET_TIME: Duration = Duration::from_secs(3);

/// Time for which the last change is shared with peers.
const SHARE_TIME: Duration = Duration::from_secs(5);

/// Time by which peers may learn earlier of a start or a recovery.
const BEGIN_MARGIN: Duration = Duration::from_secs(1);

/// Number of endpoints whose pace is shared with peers.
pub const MAX_SHARES: usize = 32;

/// Why a ramp begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The endpoint has started.
    Start,
    /// This daemon's links to the endpoints are back.
    Links,
}

impl Cause {
    /// Short name, for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Links => "links",
        }
    }
}

/// How a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened.
    Unreachable,
    /// The connection broke, or nothing was answered in time.
    Broken,
    /// The endpoint rejected it.
    Rejected,
}

/// A change of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Limit before; `None` without one.
    pub before: Option<u32>,
    /// Limit from now on; `None` without one.
    pub after: Option<u32>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Ramp {
    limit: u32,
    begun_at: Duration,
    /// Time of the last change by this daemon, or heard of.
    changed_at: Duration,
    /// Answers near the expected time to requests that were sent since then.
    answers: u32,
}

/// The limit that a peer holds for an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Share {
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: Name,
    /// Limit; `None` if the endpoint has answered as others do.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<u32>,
    /// Time since answers or failures changed it, in milliseconds.
    #[serde(rename = "a")]
    pub age_millis: u32,
}

/// Pace of one endpoint, as one daemon knows it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Pace {
    ramp: Option<Ramp>,
    /// Time of the last change by answers or failures, and the limit since.
    observed: Option<(Duration, Option<u32>)>,
    failures: u32,
}

impl Pace {
    /// Begins a ramp, or begins it anew.
    pub fn begin(&mut self, now: Duration) -> Change {
        let before = self.limit();
        self.ramp = Some(Ramp {
            limit: INITIAL_LIMIT,
            begun_at: now,
            changed_at: now,
            answers: 0,
        });
        Change {
            before,
            after: self.limit(),
        }
    }

    /// Requests in flight that the endpoint may get from all daemons together; `None` if there is no limit.
    pub fn limit(&self) -> Option<u32> {
        self.ramp.map(|ramp| ramp.limit)
    }

    /// Records an answer: `elapsed` until the first event, where the endpoint's own history or that of others has let
    /// `expected` be expected. `share` is this daemon's part of the limit, whose answers are a round.
    pub fn answered(
        &mut self,
        sent_at: Duration,
        (elapsed, expected): (Duration, Duration),
        (slots, share): (u32, u32),
        now: Duration,
    ) -> Option<Change> {
        self.failures = 0;
        let ramp = self.ramp.as_mut()?;
        // Answers to requests that were sent under another limit say little about this one.
        if sent_at < ramp.changed_at {
            return None;
        }
        let near = expected.as_secs_f64() * NEAR_RATIO + NEAR_MARGIN_MILLIS / 1000.0;
        let limit = ramp.limit;
        if elapsed.as_secs_f64() > near {
            return self.change(Some((limit / 2).max(1)), slots, now);
        }
        ramp.answers += 1;
        if ramp.answers < share.max(MIN_ANSWERS) {
            return None;
        }
        // With all slots in use, it has to answer one more round before daemons with stale views may choose it freely.
        match limit >= slots {
            true => self.change(None, slots, now),
            false => self.change(Some(limit.saturating_mul(2).min(slots)), slots, now),
        }
    }

    /// Records a request that failed at the endpoint.
    pub fn failed(&mut self, failure: Failure, now: Duration) -> Option<Change> {
        let observed = self.observed;
        let change = self.fall(failure, now);
        if failure == Failure::Unreachable {
            // Not shared: it may be this daemon's link.
            self.observed = observed;
        }
        change
    }

    fn fall(&mut self, failure: Failure, now: Duration) -> Option<Change> {
        if failure != Failure::Rejected {
            self.failures = self.failures.saturating_add(1);
        }
        let is_down = failure == Failure::Unreachable || self.failures >= MIN_FAILURES;
        match self.limit() {
            Some(limit) => self.change(Some(limit.min(INITIAL_LIMIT)), u32::MAX, now),
            None if is_down => {
                let change = self.begin(now);
                self.observed = Some((now, change.after));
                Some(change)
            }
            None => None,
        }
    }

    /// Raises the limit if nothing was heard of the endpoint for a time.
    pub fn elapse(&mut self, slots: u32, now: Duration) -> Option<Change> {
        let ramp = self.ramp?;
        if now < ramp.changed_at + QUIET_TIME {
            return None;
        }
        // Not shared: it says nothing of the endpoint.
        let observed = self.observed;
        let change = match ramp.limit >= slots {
            true => self.change(None, slots, now),
            false => self.change(Some(ramp.limit.saturating_mul(2).min(slots)), slots, now),
        };
        self.observed = observed;
        change
    }

    /// Adopts a peer's limit if it changed after this daemon's. A peer whose own link is poor can't begin a ramp here.
    pub fn adopt(&mut self, share: &Share, slots: u32, now: Duration) -> Option<Change> {
        let changed_at = now.checked_sub(Duration::from_millis(share.age_millis.into()))?;
        let limit = share.limit.map(|limit| limit.max(1));
        let is_known = self.observed.is_some_and(|(at, _)| at >= changed_at);
        let is_earlier = self
            .ramp
            .is_some_and(|ramp| changed_at + BEGIN_MARGIN < ramp.begun_at);
        if is_known || is_earlier || now >= changed_at + SHARE_TIME {
            return None;
        }
        let before = Some(self.limit()?);
        self.change(limit, slots, changed_at);
        let after = self.limit();
        (before != after).then_some(Change { before, after })
    }

    /// The limit to share with peers.
    pub fn share(&self, endpoint: &Name, now: Duration) -> Option<Share> {
        let (at, limit) = self.observed?;
        let age = now.saturating_sub(at);
        (age < SHARE_TIME).then(|| Share {
            endpoint: endpoint.clone(),
            limit,
            age_millis: age.as_millis() as u32,
        })
    }

    fn change(&mut self, limit: Option<u32>, slots: u32, now: Duration) -> Option<Change> {
        let before = self.limit();
        let limit = limit.map(|limit| limit.min(slots.max(1)));
        self.observed = Some((now, limit));
        match (limit, &mut self.ramp) {
            (Some(limit), Some(ramp)) => {
                ramp.limit = limit;
                ramp.changed_at = ramp.changed_at.max(now);
                ramp.answers = 0;
            }
            _ => self.ramp = None,
        }
        let after = self.limit();
        (before != after).then_some(Change { before, after })
    }
}

/// Whether a request may be sent to an endpoint in its ramp.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Room {
    /// Not now.
    None,
    /// Only if all other endpoints are full.
    Spare,
    /// As to any other.
    Free,
}

/// This daemon's part of a limit. Parts of all daemons add up to the limit, and none falls when the limit rises. With more
/// daemons than requests, those that rank first by rendezvous hashing may send one each.
///
/// ```
/// use persimmoncroft::coordination::pace::share;
/// let daemons = ["a", "b", "c"];
/// let parts = daemons.map(|daemon| share("endpoint", daemon, &daemons, 4));
/// assert_eq!(parts.iter().sum::<u32>(), 4);
/// ```
pub fn share(endpoint: &str, daemon: &str, daemons: &[&str], limit: u32) -> u32 {
    let count = u32::try_from(daemons.len()).unwrap_or(u32::MAX).max(1);
    let Some(rank) = rendezvous::rank(endpoint, daemon, daemons) else {
        return 0;
    };
    limit / count + u32::from(rank < (limit % count) as usize)
}

/// Whether a daemon with `own` requests in flight, and `others` of other daemons as last heard, may send one more, where
/// `part` gives its part of a limit. Endpoints that are spared while others are full get up to twice the limit, and never
/// more than their slots.
pub fn room(limit: u32, slots: u32, (own, others): (u32, u32), part: impl Fn(u32) -> u32) -> Room {
    let allows = |limit: u32| own < part(limit) && own.saturating_add(others) < limit;
    if allows(limit) {
        Room::Free
    } else if allows(limit.saturating_mul(2).min(slots)) {
        Room::Spare
    } else {
        Room::None
    }
}
