//! Permits of one endpoint, counted by its home, the daemon that grants them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Duration of a permit's lease, from its last renewal.
pub const LEASE: Duration = Duration::from_millis(4500);

/// Part of the lease that a holder leaves unused, to allow for clock drift.
pub const MARGIN: Duration = Duration::from_millis(200);

/// Longest time for which a permit that was never released counts as in use.
pub const ORPHAN_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of recent load reports that must agree before orphans stop counting.
const REPORT_WINDOW: usize = 4;

/// Identifies a permit. The holder chooses it, so it can release a permit even if it never learned of the grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    /// Hash of the holder's session.
    pub holder: u64,
    /// Number unique within the session.
    pub number: u64,
}

/// Outstanding permits of one endpoint.
///
/// The request of a permit whose lease expired without a release may still run on the endpoint. Such a permit is
/// an orphan and counts as in use until load reports show no unexplained requests, or for [`ORPHAN_TIMEOUT`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    held: BTreeMap<Id, Duration>,
    released: BTreeMap<Id, Duration>,
    orphans: Vec<Duration>,
    unexplained_counts: VecDeque<usize>,
}

impl Ledger {
    /// Grants a permit, unless it is already held or was already released.
    ///
    /// ```
    /// use persimmoncroft::coordination::permit::{Id, Ledger};
    /// use std::time::Duration;
    /// let mut ledger = Ledger::default();
    /// let id = Id { holder: 1, number: 1 };
    /// assert!(ledger.grant(id, Duration::ZERO));
    /// ledger.release(id, Duration::ZERO);
    /// assert!(!ledger.grant(id, Duration::ZERO), "a late duplicate of the request is refused");
    /// ```
    pub fn grant(&mut self, id: Id, now: Duration) -> bool {
        if self.released.contains_key(&id) || self.held.contains_key(&id) {
            return false;
        }
        self.held.insert(id, now + LEASE);
        true
    }

    /// Returns whether a permit is held.
    pub fn holds(&self, id: Id) -> bool {
        self.held.contains_key(&id)
    }

    /// Returns whether a permit, or a request for it, was released.
    pub fn is_released(&self, id: Id) -> bool {
        self.released.contains_key(&id)
    }

    /// Renews a permit and returns whether it is held. An unknown permit is added only while `learning`.
    pub fn renew(&mut self, id: Id, learning: bool, now: Duration) -> bool {
        if let Some(until) = self.held.get_mut(&id) {
            *until = now + LEASE;
            return true;
        }
        learning && self.grant(id, now)
    }

    /// Releases a permit, which can then no longer be granted or renewed. Returns whether it was held.
    pub fn release(&mut self, id: Id, now: Duration) -> bool {
        self.released.insert(id, now + ORPHAN_TIMEOUT);
        self.held.remove(&id).is_some()
    }

    /// Turns permits with expired leases into orphans.
    pub fn expire(&mut self, now: Duration) {
        let before = self.held.len();
        self.held.retain(|_, until| now < *until);
        let expired = before - self.held.len();
        if expired > 0 {
            self.unexplained_counts.clear();
        }
        self.orphans.retain(|until| now < *until);
        let until = now + ORPHAN_TIMEOUT;
        self.orphans.extend(std::iter::repeat_n(until, expired));
        self.released.retain(|_, until| now < *until);
    }

    /// Applies the number of requests that the endpoint reports as running.
    ///
    /// Orphans beyond the largest number of unexplained requests in the latest reports stop counting.
    pub fn observe(&mut self, running: usize) {
        let unexplained = running.saturating_sub(self.held.len());
        self.unexplained_counts.push_back(unexplained);
        if self.unexplained_counts.len() < REPORT_WINDOW {
            return;
        }
        let max_unexplained = self.unexplained_counts.iter().max().copied();
        self.orphans.truncate(max_unexplained.unwrap_or_default());
        self.unexplained_counts.pop_front();
    }

    /// Counts running requests that no permit explains, when a home starts without any history.
    pub fn count_unexplained(&mut self, running: usize, now: Duration) {
        let unexplained = running.saturating_sub(self.used());
        let until = now + ORPHAN_TIMEOUT;
        self.orphans.extend(std::iter::repeat_n(until, unexplained));
    }

    /// Number of slots in use.
    pub fn used(&self) -> usize {
        self.held.len() + self.orphans.len()
    }

    /// Returns the held permits, for the next home.
    pub fn list(&self) -> Vec<Id> {
        self.held.keys().copied().collect()
    }

    /// Discards all held permits and orphans, once the next home counts them.
    pub fn clear(&mut self) {
        self.held.clear();
        self.orphans.clear();
    }
}
