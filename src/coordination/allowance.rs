//! One daemon's share of a workspace's fleet-wide rate limit, with transfers between daemons.
//!
//! Each daemon refills a token bucket with an equal share of rate and burst. A daemon that runs short receives units
//! from others, which deduct them from their own level before they send them. A lost transfer is lost to both sides, so
//! the sum of all levels never exceeds the workspace's burst, even in a network partition.

use std::time::Duration;

/// Time constant of the moving average of demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// How far ahead a daemon's demand should be covered; about three heartbeats.
const DEMAND_HORIZON: Duration = Duration::from_millis(1500);

/// Initial level, as a share of the daemon's burst. A restart of the whole fleet grants this much again, so it stays
/// well below the tolerance of the limit.
const INITIAL_LEVEL_SHARE: f64 = 0.2;

/// Level, as a share of the daemon's burst, below which it asks other daemons for units at once.
const LOW_LEVEL_SHARE: f64 = 0.5;

/// Weight of one request in the moving average of request sizes.
const SIZE_WEIGHT: f64 = 0.05;

/// Lower bound of the bucket's capacity, as a share of the daemon's burst, however large requests are.
const MIN_CAPACITY_SHARE: f64 = 0.25;

/// Share of its burst that a daemon does not transfer to others.
const RESERVE_SHARE: f64 = 0.25;

/// A workspace's fleet-wide rate limit and the number of daemons that share it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Units per second.
    pub rate: f64,
    /// Bucket capacity, in units.
    pub burst: f64,
    /// Daemons, each with an equal share.
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
    demand: f64,
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
            demand: 0.0,
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
        self.demand += units / DEMAND_TIME_CONSTANT.as_secs_f64();
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

    /// Whether the level is so low that other daemons should be told before the next heartbeat.
    pub fn is_low(&mut self, now: Duration) -> bool {
        self.level(now) < self.burst() * LOW_LEVEL_SHARE
    }

    /// Units missing to cover the expected demand, or zero.
    pub fn shortage(&mut self, now: Duration) -> f64 {
        self.advance(now);
        let ahead = DEMAND_HORIZON.as_secs_f64();
        ((self.demand - self.rate()) * ahead - self.level.min(self.demand * ahead)).max(0.0)
    }

    /// Deducts units for another daemon that is short of `wanted`: at most half of this daemon's surplus.
    pub fn transfer_out(&mut self, wanted: f64, now: Duration) -> f64 {
        self.advance(now);
        let shortfall = (self.demand - self.rate()).max(0.0) * DEMAND_HORIZON.as_secs_f64();
        let surplus = self.level - shortfall - RESERVE_SHARE * self.burst();
        let units = (surplus / 2.0).min(wanted).max(0.0).floor();
        self.level -= units;
        units
    }

    /// Adds units that another daemon deducted.
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
        self.demand *= (-elapsed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
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
