//! One daemon's part of a workspace's fleet-wide rate, with transfers between daemons.
//!
//! Each daemon refills an equal part of rate and burst on its own. A daemon that runs short is given units by others,
//! which take them from their own level first. A lost transfer is lost for both, so all levels together never exceed
//! the workspace's burst, whatever is cut off from what.

use std::time::Duration;

/// Time over which demand is averaged.
const AVERAGE: Duration = Duration::from_secs(1);

/// Demand that a daemon wants to be covered ahead, about three heartbeats.
const HORIZON: Duration = Duration::from_millis(1500);

/// Share of its burst with which a part begins. A fleet that restarts as a whole brings this much anew, so it stays
/// well below the tolerance of the limit.
const FIRST_SHARE: f64 = 0.2;

/// Share of its own burst below which a daemon asks others at once.
const LOW_SHARE: f64 = 0.5;

/// Weight of one request in the average size.
const SIZE_WEIGHT: f64 = 0.05;

/// Least share of its burst that a part holds, however large requests are.
const LEAST_SHARE: f64 = 0.25;

/// Share of its own burst that a daemon does not give away.
const KEPT_SHARE: f64 = 0.25;

/// A workspace's rate limit over the whole fleet, and the daemons over which it is divided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Units per second.
    pub rate: f64,
    /// Capacity in units.
    pub burst: f64,
    /// Daemons that have an equal part.
    pub daemons: usize,
}

/// One daemon's part.
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
    /// Average units of a request.
    size: f64,
}

impl Allowance {
    /// Opens a part that is nearly empty; a restarted daemon does not know what it had spent.
    pub fn open(terms: Terms, now: Duration) -> Self {
        let mut allowance = Self {
            terms,
            level: 0.0,
            at: now,
            demand: 0.0,
            size: 0.0,
        };
        allowance.level = allowance.burst() * FIRST_SHARE;
        allowance
    }

    /// Takes in new terms; a level above the new part is cut when the workspace's limit itself fell.
    pub fn set(&mut self, terms: Terms, now: Duration) {
        self.advance(now);
        if terms.daemons > self.terms.daemons && self.level > 0.0 {
            // Others hold the rest of what was this daemon's while it knew fewer of them.
            self.level *= self.terms.daemons as f64 / terms.daemons as f64;
        }
        let lowered = terms.rate < self.terms.rate || terms.burst < self.terms.burst;
        self.terms = terms;
        if lowered {
            self.level = self.level.min(self.burst());
        }
    }

    /// Takes units for a request while anything is left, so that large ones are not starved by small ones; the level may
    /// fall below zero by one request.
    ///
    /// # Errors
    /// The time until something is left again.
    pub fn take(&mut self, units: f64, now: Duration) -> Result<(), Duration> {
        self.advance(now);
        self.demand += units / AVERAGE.as_secs_f64();
        self.size += (units - self.size) * SIZE_WEIGHT;
        if self.level > 0.0 {
            self.level -= units;
            return Ok(());
        }
        let rate = self.rate().max(f64::MIN_POSITIVE);
        let wait = (1.0 - self.level) / rate;
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }

    /// Gives back the units of a request that did not run.
    pub fn refund(&mut self, units: f64) {
        self.level += units;
    }

    /// Units at a time.
    pub fn level(&mut self, now: Duration) -> f64 {
        self.advance(now);
        self.level
    }

    /// Whether so little is left that others should hear of it before the next heartbeat.
    pub fn is_low(&mut self, now: Duration) -> bool {
        self.level(now) < self.burst() * LOW_SHARE
    }

    /// Units that are missing for the demand ahead, or zero.
    pub fn shortage(&mut self, now: Duration) -> f64 {
        self.advance(now);
        let ahead = HORIZON.as_secs_f64();
        ((self.demand - self.rate()) * ahead - self.level.min(self.demand * ahead)).max(0.0)
    }

    /// Takes units out for another daemon that misses `wanted`; at most half of what this one can spare.
    pub fn give(&mut self, wanted: f64, now: Duration) -> f64 {
        self.advance(now);
        let short = (self.demand - self.rate()).max(0.0) * HORIZON.as_secs_f64();
        let spare = self.level - short - KEPT_SHARE * self.burst();
        let given = (spare / 2.0).min(wanted).max(0.0).floor();
        self.level -= given;
        given
    }

    /// Takes in units that another daemon took out.
    pub fn receive(&mut self, units: f64, now: Duration) {
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
        self.demand *= (-elapsed / AVERAGE.as_secs_f64()).exp();
        let capacity = self.capacity();
        if self.level < capacity {
            self.level = (self.level + elapsed * self.rate()).min(capacity);
        }
    }

    /// Level up to which the part fills: the debt of one request is taken off, since in a large fleet all debts together
    /// are as large as the workspace's burst.
    fn capacity(&self) -> f64 {
        let burst = self.burst();
        (burst - self.size).max(burst * LEAST_SHARE)
    }
}
