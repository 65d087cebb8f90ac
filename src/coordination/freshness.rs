//! How long ago a daemon's copy of a table was known to be current.

use std::time::Duration;

/// Proof that a copy of a table was current, and whether it is too old.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::freshness::Freshness;
/// let second = Duration::from_secs(1);
/// let mut freshness = Freshness::default();
/// assert_eq!(freshness.age(second), None);
/// freshness.prove(second);
/// assert_eq!(freshness.age(second * 3), Some(second * 2));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    proven_at: Option<Duration>,
    is_overdue: bool,
}

impl Freshness {
    /// Records that the copy contained all changes that were made before `at`.
    pub fn prove(&mut self, at: Duration) {
        self.proven_at = self.proven_at.max(Some(at));
    }

    /// Time for which changes may have been missed; `None` if the table was never read.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.proven_at?))
    }

    /// Whether this proof is newer than another one.
    pub fn is_newer(&self, other: &Self) -> bool {
        self.proven_at > other.proven_at
    }

    /// Compares the age with `max_age`; returns whether the copy is too old if that has changed since the last call.
    pub fn check(&mut self, max_age: Duration, now: Duration) -> Option<bool> {
        let is_overdue = self.age(now).is_some_and(|age| age > max_age);
        let is_changed = is_overdue != self.is_overdue;
        self.is_overdue = is_overdue;
        is_changed.then_some(is_overdue)
    }
}
