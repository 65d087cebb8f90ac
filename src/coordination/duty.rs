//! A duty that one daemon holds by a lease, and whether it may act now.

use std::time::Duration;

use super::election::Election;

/// What the holder of the lease may do at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Nothing: another daemon holds the duty, or an earlier holder may still have acted a moment ago.
    Wait,
    /// Act from now on; what it knows of the work of earlier holders has to be read again first.
    Begin,
    /// Act.
    Act,
}

/// The lease, and what this daemon may do by it.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::duty::{Duty, Phase};
/// let second = Duration::from_secs(1);
/// let mut duty = Duty::open(second);
/// duty.election.claimed(2, 7, second);
/// duty.begin(2, second * 3 / 2);
/// assert_eq!(duty.phase(second * 5 / 4), Phase::Wait);
/// assert_eq!(duty.phase(second * 3 / 2), Phase::Begin);
/// assert_eq!(duty.phase(second * 3 / 2), Phase::Act);
/// ```
#[derive(Debug)]
pub struct Duty {
    /// The lease.
    pub election: Election,
    /// Fencing token of this daemon's latest term of the duty.
    pub fence: u64,
    from: Duration,
    begun: bool,
}

impl Duty {
    /// Opens a duty that nobody holds, with the term of its lease.
    pub fn open(term: Duration) -> Self {
        Self {
            election: Election::open(term),
            fence: 0,
            from: Duration::ZERO,
            begun: false,
        }
    }

    /// Begins a term; this daemon may act from a time.
    pub fn begin(&mut self, fence: u64, from: Duration) {
        self.fence = fence;
        self.from = from;
        self.begun = false;
    }

    /// Whether the holder may act now.
    pub fn may_act(&self, now: Duration) -> bool {
        self.election.holds(now) && now >= self.from
    }

    /// What may be done now; [`Phase::Begin`] once in a term.
    ///
    /// Whoever asks decides by the one answer: asked twice, time may have passed in between.
    pub fn phase(&mut self, now: Duration) -> Phase {
        if !self.may_act(now) {
            return Phase::Wait;
        }
        match std::mem::replace(&mut self.begun, true) {
            true => Phase::Act,
            false => Phase::Begin,
        }
    }
}
