//! Demand forecast that rises fast and falls slowly, for demand that may change tenfold within an hour.

/// Weight of the newest sample in the fast moving average, as a divisor.
const FAST_DIVISOR: i64 = 4;

/// Weight of the newest sample in the slow moving average, as a divisor.
const SLOW_DIVISOR: i64 = 64;

/// Sampling intervals by which a rise is extrapolated.
const INTERVALS_AHEAD: i64 = 4;

/// Moving averages of a series of samples taken at equal intervals.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Forecast {
    fast: i64,
    slow: i64,
    trend: i64,
    samples: u32,
}

impl Forecast {
    /// Adds the sample of one interval.
    pub fn sample(&mut self, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX / 1024);
        if self.samples == 0 {
            self.fast = value;
            self.slow = value;
        }
        self.samples = self.samples.saturating_add(1);
        let previous = self.fast;
        self.fast += divide_away_from_zero(value - self.fast, FAST_DIVISOR);
        self.slow += divide_away_from_zero(value - self.slow, SLOW_DIVISOR);
        self.trend += divide_away_from_zero(self.fast - previous - self.trend, FAST_DIVISOR);
    }

    /// Returns the expected demand: the extrapolated fast average while demand rises, the higher of both averages while
    /// it falls.
    ///
    /// ```
    /// use persimmoncroft::coordination::forecast::Forecast;
    /// let mut forecast = Forecast::default();
    /// forecast.sample(100);
    /// assert_eq!(forecast.expected(), 100);
    /// forecast.sample(1000);
    /// assert!(forecast.expected() > 300);
    /// ```
    pub fn expected(&self) -> u64 {
        let extrapolated = self.fast + self.trend.max(0) * INTERVALS_AHEAD;
        u64::try_from(extrapolated.max(self.slow)).unwrap_or(0)
    }
}

/// Divides and rounds away from zero, so that an average converges to its samples.
fn divide_away_from_zero(difference: i64, divisor: i64) -> i64 {
    if difference >= 0 {
        (difference + divisor - 1) / divisor
    } else {
        (difference - divisor + 1) / divisor
    }
}
