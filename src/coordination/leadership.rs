//! A task that one daemon at a time performs under a lease, and whether this daemon may act now.

use std::time::Duration;

use super::election::Election;

/// What a daemon may do under the lease at a given time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Nothing: another daemon holds the lease, or the previous holder may have acted until a moment ago.
    Wait,
    /// Act from now on, after reading the state left by earlier holders again.
    Begin,
    /// Act.
    Act,
}

/// The lease of the task and this daemon's term as its holder.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::leadership::{Leadership, Phase};
/// let second = Duration::from_secs(1);
/// let mut leadership = Leadership::open(second);
/// leadership.election.claimed(2, 7, second);
/// leadership.begin(2, second * 3 / 2);
/// assert_eq!(leadership.phase(second * 5 / 4), Phase::Wait);
/// assert_eq!(leadership.phase(second * 3 / 2), Phase::Begin);
/// assert_eq!(leadership.phase(second * 3 / 2), Phase::Act);
/// ```
#[derive(Debug)]
pub struct Leadership {
    /// The daemon's view of the lease.
    pub election: Election,
    /// Fencing token of this daemon's latest term.
    pub fence: u64,
    acts_from: Duration,
    started: bool,
}

impl Leadership {
    /// Creates a task without a holder, with the duration of its lease.
    pub fn open(lease_duration: Duration) -> Self {
        Self {
            election: Election::open(lease_duration),
            fence: 0,
            acts_from: Duration::ZERO,
            started: false,
        }
    }

    /// Begins a term, in which this daemon may act at `from` at the earliest.
    pub fn begin(&mut self, fence: u64, from: Duration) {
        self.fence = fence;
        self.acts_from = from;
        self.started = false;
    }

    /// Whether this daemon may act now.
    pub fn may_act(&self, now: Duration) -> bool {
        self.election.holds(now) && now >= self.acts_from
    }

    /// What this daemon may do now; [`Phase::Begin`] once per term.
    ///
    /// Decide by a single call: a second one may see a later time and return another phase.
    pub fn phase(&mut self, now: Duration) -> Phase {
        if !self.may_act(now) {
            return Phase::Wait;
        }
        match std::mem::replace(&mut self.started, true) {
            true => Phase::Act,
            false => Phase::Begin,
        }
    }
}
