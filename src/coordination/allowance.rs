//! One daemon's share of a workspace's fleet-wide rate limit.
//!
//! A few daemons, the homes of the workspace, each refill a token bucket with an equal share of rate and burst, and grant
//! units to the daemons that have the workspace's requests ([`super::grant`]). Granted units are deducted before they are
//! sent, so the sum of all levels never exceeds the workspace's burst, even in a network partition.

use std::time::Duration;

/// Initial level, as a share of the daemon's burst. A restart of the whole fleet grants this much again, so it stays
/// well below the tolerance of the limit.
const INITIAL_LEVEL_SHARE: f64 = 0.2;

/// Weight of one request in the moving average of request sizes.
const SIZE_WEIGHT: f64 = 0.05;

/// Lower bound of the bucket's capacity, as a share of the daemon's burst, however large requests are.
const MIN_CAPACITY_SHARE: f64 = 0.25;

/// Share of its burst that a home does not grant ahead of requests.
const RESERVE_SHARE: f64 = 0.25;

/// A workspace's fleet-wide rate limit and the number of daemons that hold it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Units per second.
    pub rate: f64,
    /// Bucket capacity, in units.
    pub burst: f64,
    /// Daemons that hold the limit, each with an equal share.
    pub daemons: usize,
}

/// One daemon's share of a rate limit, as a token bucket.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::allowance::{Allowance, Terms};
/// let second = Duration::from_secs(1);
/// let terms = Terms { rate: 80.0, burst: 80.0, daemons: 8 };
/// let mut allowance = Allowance::open(terms, Duration::ZERO);
/// assert!(allowance.take(4.0, second).is_ok());
/// assert_eq!(allowance.level(second), 6.0);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Allowance {
    terms: Terms,
    level: f64,
    at: Duration,
    /// Moving average of the units per request.
    size: f64,
}

impl Allowance {
    /// Creates a share that is nearly empty, since a restarted daemon does not know what it spent before.
    pub fn open(terms: Terms, now: Duration) -> Self {
        let mut allowance = Self {
            terms,
            level: 0.0,
            at: now,
            size: 0.0,
        };
        allowance.level = allowance.burst() * INITIAL_LEVEL_SHARE;
        allowance
    }

    /// Applies new terms. If the workspace's rate or burst was lowered, caps the level at the new share of the burst.
    pub fn set(&mut self, terms: Terms, now: Duration) {
        self.advance(now);
        if terms.daemons > self.terms.daemons && self.level > 0.0 {
            // The level was sized for fewer daemons; the newly known ones hold the rest of it.
            self.level *= self.terms.daemons as f64 / terms.daemons as f64;
        }
        let lowered = terms.rate < self.terms.rate || terms.burst < self.terms.burst;
        self.terms = terms;
        if lowered {
            self.level = self.level.min(self.burst());
        }
    }

    /// Takes units for a request if the level is positive. The level may fall below zero by one request, so that small
    /// requests do not starve large ones.
    ///
    /// # Errors
    /// The time until units are available again.
    pub fn take(&mut self, units: f64, now: Duration) -> Result<(), Duration> {
        self.advance(now);
        self.size += (units - self.size) * SIZE_WEIGHT;
        if self.level > 0.0 {
            self.level -= units;
            return Ok(());
        }
        let rate = self.rate().max(f64::MIN_POSITIVE);
        let wait = (1.0 - self.level) / rate;
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, units: f64) {
        self.level += units;
    }

    /// Available units at `now`; negative while in debt.
    pub fn level(&mut self, now: Duration) -> f64 {
        self.advance(now);
        self.level
    }

    /// Deducts units for another daemon: `ahead` if the level is high enough, else the `needed` ones of a request that
    /// waits for them, if this daemon could serve it itself.
    ///
    /// # Errors
    /// The time until units are available again.
    pub fn grant(&mut self, needed: f64, ahead: f64, now: Duration) -> Result<f64, Duration> {
        let available = self.level(now) - RESERVE_SHARE * self.burst();
        if ahead > needed && ahead <= available {
            self.level -= ahead;
            return Ok(ahead);
        }
        match needed > 0.0 {
            true => self.take(needed, now).map(|()| needed),
            false => Ok(0.0),
        }
    }

    /// Adds units that another daemon deducted or returns.
    pub fn transfer_in(&mut self, units: f64, now: Duration) {
        self.advance(now);
        self.level += units;
    }

    fn rate(&self) -> f64 {
        self.terms.rate / self.terms.daemons.max(1) as f64
    }

    fn burst(&self) -> f64 {
        self.terms.burst / self.terms.daemons.max(1) as f64
    }

    fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let capacity = self.capacity();
        if self.level < capacity {
            self.level = (self.level + elapsed * self.rate()).min(capacity);
        }
    }

    /// Level up to which the bucket refills: the burst less one average request, since in a large fleet the debts of
    /// one request per daemon add up to the workspace's burst.
    fn capacity(&self) -> f64 {
        let burst = self.burst();
        (burst - self.size).max(burst * MIN_CAPACITY_SHARE)
    }
}
