//! Demand over time: a rate that tells a ramp from noise.

use std::time::Duration;

/// Time constant of the quick average of demand.
const QUICK: f64 = 1.0;

/// Time constant of the slow average of demand.
const SLOW: f64 = 4.0;

/// Time that a load takes, in seconds, for which demand that rises is extended.
const LOAD_AHEAD: f64 = 2.5;

/// Quick average, as a multiple of the slow one, from which demand is taken to rise rather than to vary.
const RAMP: f64 = 1.7;

/// Rise of the quick average over the slow one, as a share of all demand, that is taken for one as well.
const RAMP_SHARE: f64 = 0.12;

/// Share of all demand up to which a rise is believed.
const LARGEST_SHARE: f64 = 0.6;

/// A rate, averaged in two ways.
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

    /// Amount per second now.
    pub fn now(&mut self, now: Duration) -> f64 {
        self.decay(now);
        self.quick
    }

    /// Amount per second to be expected once a load that begins now is complete, of `total` for all models.
    pub fn forecast(&mut self, total: f64, now: Duration) -> f64 {
        self.decay(now);
        if self.quick < self.slow * RAMP && self.quick < self.slow + total * RAMP_SHARE {
            return self.slow;
        }
        // On a ramp the two averages lag by their time constants.
        let slope = (self.quick - self.slow).max(0.0) / (SLOW - QUICK);
        let ahead = self.quick + slope * (QUICK + LOAD_AHEAD);
        ahead.min(total * LARGEST_SHARE).max(self.quick)
    }
}
