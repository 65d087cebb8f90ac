//! Health of an endpoint as one daemon observes it: failures, timeouts, late streams and time to the first byte.

use std::time::Duration;

/// Weight of one request or stream in the shares of failures and late streams.
const OUTCOME_WEIGHT: f64 = 0.15;

/// Time in which the averages halve while there is no new observation.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// First backoff after a failed connection attempt.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// Longest backoff.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Weight of one sample in the moving average of latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// One daemon's observations of an endpoint.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::health::Health;
/// let mut health = Health::default();
/// health.unreachable(Duration::ZERO);
/// assert!(health.is_paused(Duration::from_millis(299)));
/// assert!(!health.is_paused(Duration::from_millis(301)));
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Health {
    failures: f64,
    seen: Duration,
    paused_until: Duration,
    pause: Duration,
    latency: f64,
    late: f64,
}

impl Health {
    /// Records an answer and the time until its first byte or event.
    pub fn answered(&mut self, first: Duration, now: Duration) {
        self.decay(now);
        self.failures *= 1.0 - OUTCOME_WEIGHT;
        self.pause = Duration::ZERO;
        let sample = first.as_secs_f64() * 1000.0;
        self.latency += (sample - self.latency) * LATENCY_WEIGHT;
    }

    /// Records whether the events of a stream came late.
    pub fn streamed(&mut self, late: bool, now: Duration) {
        self.decay(now);
        let sample = if late { 1.0 } else { 0.0 };
        self.late += (sample - self.late) * OUTCOME_WEIGHT;
    }

    /// Records a request that failed at the endpoint.
    pub fn failed(&mut self, now: Duration) {
        self.decay(now);
        self.failures += (1.0 - self.failures) * OUTCOME_WEIGHT;
    }

    /// Records a request that timed out without any answer; it counts as two failures.
    pub fn silent(&mut self, now: Duration) {
        self.failed(now);
        self.failed(now);
    }

    /// Records a failed connection attempt and pauses the endpoint, twice as long after each further one.
    pub fn unreachable(&mut self, now: Duration) {
        self.failed(now);
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.paused_until = now + self.pause;
    }

    /// Pauses an endpoint that refused a request, for at least `pause`.
    pub fn refused(&mut self, pause: Duration, now: Duration) {
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// Whether the endpoint must not be used now.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }

    /// Share of recent requests that failed, 0 to 1.
    pub fn failure_share(&self, now: Duration) -> f64 {
        self.failures * self.fading(now)
    }

    /// Share of recent streams whose events came late, 0 to 1.
    pub fn late_share(&self, now: Duration) -> f64 {
        self.late * self.fading(now)
    }

    /// Average time to the first byte, in milliseconds; it decays while the endpoint is not used.
    pub fn latency_millis(&self, now: Duration) -> f64 {
        self.latency * self.fading(now)
    }

    fn decay(&mut self, now: Duration) {
        let fading = self.fading(now);
        self.failures *= fading;
        self.latency *= fading;
        self.late *= fading;
        self.seen = self.seen.max(now);
    }

    fn fading(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.seen).as_secs_f64();
        0.5_f64.powf(idle / HALF_LIFE.as_secs_f64())
    }
}
