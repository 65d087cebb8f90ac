//! Rate of demand over time, with a forecast that distinguishes a ramp from noise.

use std::time::Duration;

/// Time constant of the fast moving average, in seconds.
const QUICK: f64 = 1.0;

/// Time constant of the slow moving average, in seconds.
const SLOW: f64 = 4.0;

/// Time that a load takes, in seconds; rising demand is extrapolated over it.
const LOAD_AHEAD: f64 = 2.5;

/// Ratio of the fast average to the slow one from which demand counts as rising rather than as noise.
const RAMP: f64 = 1.7;

/// Excess of the fast average over the slow one, as a share of all demand, from which demand counts as rising as well.
const RAMP_SHARE: f64 = 0.12;

/// Maximum share of all demand that a forecast extrapolates to.
const LARGEST_SHARE: f64 = 0.6;

/// Fast and slow moving averages of a rate.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Rate {
    quick: f64,
    slow: f64,
    at: Duration,
}

impl Rate {
    /// Adds an amount.
    pub fn add(&mut self, amount: f64, now: Duration) {
        self.decay(now);
        self.quick += amount / QUICK;
        self.slow += amount / SLOW;
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.quick *= (-elapsed / QUICK).exp();
        self.slow *= (-elapsed / SLOW).exp();
        self.at = self.at.max(now);
    }

    /// Current amount per second.
    pub fn now(&mut self, now: Duration) -> f64 {
        self.decay(now);
        self.quick
    }

    /// Expected amount per second when a load that starts now completes; `total` is the current rate of all models.
    pub fn forecast(&mut self, total: f64, now: Duration) -> f64 {
        self.decay(now);
        if self.quick < self.slow * RAMP && self.quick < self.slow + total * RAMP_SHARE {
            return self.slow;
        }
        // On a ramp each average lags by its time constant.
        let slope = (self.quick - self.slow).max(0.0) / (SLOW - QUICK);
        let ahead = self.quick + slope * (QUICK + LOAD_AHEAD);
        ahead.min(total * LARGEST_SHARE).max(self.quick)
    }
}
