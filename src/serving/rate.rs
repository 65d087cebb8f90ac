//! Rate of demand over time, with a forecast that distinguishes a ramp from noise.

use std::time::Duration;

/// Time constant of the fast moving average, in seconds.
const FAST_SECONDS: f64 = 1.0;

/// Time constant of the slow moving average, in seconds.
const SLOW_SECONDS: f64 = 4.0;

/// Time that a load takes, in seconds; rising demand is extrapolated over it.
const LOAD_SECONDS: f64 = 2.5;

/// Ratio of the fast average to the slow one from which demand counts as rising rather than as noise.
const RAMP_RATIO: f64 = 1.7;

/// Excess of the fast average over the slow one, as a share of all demand, from which demand counts as rising as well.
const RAMP_SHARE: f64 = 0.12;

/// Maximum share of all demand that a forecast extrapolates to.
const MAX_FORECAST_SHARE: f64 = 0.6;

/// Fast and slow moving averages of a rate.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Rate {
    fast: f64,
    slow: f64,
    updated: Duration,
}

impl Rate {
    /// Adds an amount.
    pub fn add(&mut self, amount: f64, now: Duration) {
        self.decay(now);
        self.fast += amount / FAST_SECONDS;
        self.slow += amount / SLOW_SECONDS;
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.fast *= (-elapsed / FAST_SECONDS).exp();
        self.slow *= (-elapsed / SLOW_SECONDS).exp();
        self.updated = self.updated.max(now);
    }

    /// Current amount per second.
    pub fn current(&mut self, now: Duration) -> f64 {
        self.decay(now);
        self.fast
    }

    /// Expected amount per second when a load that starts now completes; `total` is the current rate of all models.
    pub fn forecast(&mut self, total: f64, now: Duration) -> f64 {
        self.decay(now);
        if self.fast < self.slow * RAMP_RATIO && self.fast < self.slow + total * RAMP_SHARE {
            return self.slow;
        }
        // On a ramp each average lags by its time constant.
        let slope = (self.fast - self.slow).max(0.0) / (SLOW_SECONDS - FAST_SECONDS);
        let projected = self.fast + slope * (FAST_SECONDS + LOAD_SECONDS);
        projected.min(total * MAX_FORECAST_SHARE).max(self.fast)
    }
}
