//! Concurrency limit of an endpoint: low after a cold start, raised by successes, reset on signs of a restart.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Longest interval between successes that counts towards the rise.
const MAX_RISE_INTERVAL: Duration = Duration::from_millis(1000);

/// A time to the first token of more than this many times the average is a sign of a cold start.
const SLOW_FACTOR: u64 = 8;

/// Time to the first token up to which an answer is never slow, in milliseconds.
const SLOW_MIN_MILLIS: u64 = 1000;

/// Number of consecutive broken connections, without an answer in between, that is a sign of a restart.
const RESTART_BREAKS: u32 = 3;

/// Weight of the newest sample in the average time to the first token, as a divisor.
const AVERAGE_DIVISOR: u64 = 8;

/// Percentage of the time under load that counts towards the rise: an endpoint warms up only while it works.
const WARMUP_PERCENT: u64 = 70;

/// Thousandths per slot, the unit of the limit.
const MILLI_PER_SLOT: u64 = 1000;

/// Concurrency settings of an endpoint's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Maximum concurrent requests when warm.
    pub slots: u32,
    /// Maximum concurrent requests when cold.
    pub cold: u32,
    /// Shortest time from cold to warm under load.
    pub ramp: Duration,
}

/// How a request ended, as its holder reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Never sent, or cancelled by the caller.
    Unused,
    /// Answered; for a stream, with the time to the first token in milliseconds.
    Answered(Option<u64>),
    /// Rejected for overload.
    Overloaded,
    /// Connection refused.
    Failed,
    /// Connection broken, or an error instead of an answer.
    Broken,
}

/// Concurrency limit of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ramp {
    limit_milli: u64,
    boot: Option<u64>,
    raised_at: Duration,
    breaks: u32,
    first_byte_millis: u64,
}

impl Ramp {
    /// Creates a limit for a cold endpoint.
    ///
    /// ```
    /// use persimmoncroft::coordination::ramp::{Bounds, Ramp};
    /// use std::time::Duration;
    /// let bounds = Bounds { slots: 8, cold: 1, ramp: Duration::from_secs(10) };
    /// assert_eq!(Ramp::cold(bounds).limit(bounds), 1);
    /// ```
    pub fn cold(bounds: Bounds) -> Self {
        Self {
            limit_milli: u64::from(bounds.cold) * MILLI_PER_SLOT,
            boot: None,
            raised_at: Duration::ZERO,
            breaks: 0,
            first_byte_millis: 0,
        }
    }

    /// Continues from the limit of the previous owner; it is valid only for the same process of the endpoint.
    pub fn resume(limit_milli: u64, boot: Option<u64>, now: Duration) -> Self {
        Self {
            limit_milli,
            boot,
            raised_at: now,
            breaks: 0,
            first_byte_millis: 0,
        }
    }

    /// Maximum concurrent requests now.
    pub fn limit(&self, bounds: Bounds) -> usize {
        let slots = u64::from(bounds.slots);
        (self.limit_milli / MILLI_PER_SLOT).min(slots) as usize
    }

    /// The limit in thousandths of a slot and the hash of the endpoint's process identifier, for [`Self::resume`].
    pub fn state(&self) -> (u64, Option<u64>) {
        (self.limit_milli, self.boot)
    }

    /// Records that the endpoint gets work after an idle period; idle time does not count as warmup.
    pub fn wake(&mut self, now: Duration) {
        self.raised_at = self.raised_at.max(now);
    }

    /// Records the identifier of the endpoint's process; a changed one means a cold start. Returns whether it changed.
    pub fn boot(&mut self, boot: &str, bounds: Bounds, now: Duration) -> bool {
        let boot = Some(xxh3_64(boot.as_bytes()));
        let restarted = self.boot.is_some() && self.boot != boot;
        if restarted {
            self.reset(bounds, now);
        }
        self.boot = boot;
        restarted
    }

    /// Records how a request ended. Returns whether the limit was reset to the cold one.
    pub fn outcome(&mut self, outcome: Outcome, bounds: Bounds, now: Duration) -> bool {
        match outcome {
            Outcome::Unused => false,
            Outcome::Answered(millis) => {
                self.breaks = 0;
                let slow = millis.is_some_and(|millis| self.is_slow(millis));
                millis
                    .into_iter()
                    .for_each(|millis| self.update_average(millis));
                if slow {
                    self.reset(bounds, now);
                } else {
                    self.raise(bounds, now);
                }
                slow
            }
            Outcome::Overloaded | Outcome::Failed => {
                self.reset(bounds, now);
                true
            }
            Outcome::Broken => {
                self.breaks += 1;
                let restarted = self.breaks >= RESTART_BREAKS;
                if restarted {
                    self.reset(bounds, now);
                }
                restarted
            }
        }
    }

    /// Connections broken since the last answer.
    pub fn breaks(&self) -> u32 {
        self.breaks
    }

    /// Resets the limit to the cold one.
    pub fn reset(&mut self, bounds: Bounds, now: Duration) {
        self.raised_at = now;
        self.limit_milli = u64::from(bounds.cold) * MILLI_PER_SLOT;
        self.first_byte_millis = 0;
    }

    fn raise(&mut self, bounds: Bounds, now: Duration) {
        let interval = now.saturating_sub(self.raised_at).min(MAX_RISE_INTERVAL);
        self.raised_at = now;
        let span = u64::from(bounds.slots.saturating_sub(bounds.cold)) * MILLI_PER_SLOT;
        let ramp = bounds.ramp.as_millis().max(1) as u64;
        let rise = span * interval.as_millis() as u64 * WARMUP_PERCENT / 100 / ramp;
        let warm = u64::from(bounds.slots) * MILLI_PER_SLOT;
        self.limit_milli = (self.limit_milli + rise).min(warm);
    }

    fn is_slow(&self, millis: u64) -> bool {
        let average_millis = self.first_byte_millis;
        average_millis > 0 && millis > SLOW_MIN_MILLIS && millis > average_millis * SLOW_FACTOR
    }

    fn update_average(&mut self, millis: u64) {
        let old = self.first_byte_millis;
        self.first_byte_millis = if old == 0 {
            millis.max(1)
        } else {
            (old * (AVERAGE_DIVISOR - 1) + millis).div_ceil(AVERAGE_DIVISOR)
        };
    }
}
