//! Health of an endpoint as one daemon observes it: failures, timeouts, late streams and time to the first byte.

use std::time::Duration;

/// Weight of one request or stream in the shares of failures and late streams.
const OUTCOME_WEIGHT: f64 = 0.15;

/// Time in which the averages halve while there is no new observation.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// First backoff after a failed connection attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);

/// Longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Weight of one sample in the moving average of latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// Weight of an answer to a trial in the share of failures, which only trials lower while others have room.
const TRIAL_WEIGHT: f64 = 0.5;

/// Share of failed requests from which an endpoint is used again only after a trial, or when others are busier.
const DOUBT_SHARE: f64 = 0.001;

/// Pause before the first trial after a failure.
const INITIAL_TRIAL_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause before a trial.
const MAX_TRIAL_PAUSE: Duration = Duration::from_secs(4);

/// Number of requests for which the endpoint was compared with others since its last failure, before a trial.
const MIN_COMPARISONS: u32 = 32;

/// One daemon's observations of an endpoint.
///
/// A failed request makes the endpoint less likely to be used, and an endpoint that is not used has no chance to show that it
/// is sound. So a few requests are sent to it as trials, one at a time.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::health::Health;
/// let mut health = Health::default();
/// health.unreachable(Duration::ZERO);
/// assert!(health.is_paused(Duration::from_millis(299)));
/// assert!(!health.is_paused(Duration::from_millis(301)));
/// assert!(health.is_unreachable(Duration::from_millis(301)));
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Health {
    failure_average: f64,
    observed_at: Duration,
    paused_until: Duration,
    backoff: Duration,
    /// End of the pause after the last failed connection attempt.
    retry_at: Duration,
    latency_average_millis: f64,
    late_average: f64,
    /// Number of requests for which it was compared with others since its last failure.
    comparisons: u32,
    has_trial: bool,
    trial_at: Duration,
    trial_pause: Duration,
}

impl Health {
    /// Records an answer and the time until its first byte or event.
    pub fn answered(&mut self, first: Duration, now: Duration) {
        self.decay(now);
        self.backoff = Duration::ZERO;
        let weight = match std::mem::take(&mut self.has_trial) {
            true => {
                self.trial_pause = Duration::ZERO;
                self.trial_at = now;
                TRIAL_WEIGHT
            }
            false => OUTCOME_WEIGHT,
        };
        self.failure_average *= 1.0 - weight;
        let sample = first.as_secs_f64() * 1000.0;
        self.latency_average_millis += (sample - self.latency_average_millis) * LATENCY_WEIGHT;
    }

    /// Records whether the events of a stream came late.
    pub fn streamed(&mut self, late: bool, now: Duration) {
        self.decay(now);
        let sample = if late { 1.0 } else { 0.0 };
        self.late_average += (sample - self.late_average) * OUTCOME_WEIGHT;
    }

    /// Records a request that failed at the endpoint.
    pub fn failed(&mut self, now: Duration) {
        self.decay(now);
        self.failure_average += (1.0 - self.failure_average) * OUTCOME_WEIGHT;
        if std::mem::take(&mut self.has_trial) {
            self.trial_pause = (self.trial_pause * 2).min(MAX_TRIAL_PAUSE);
        }
        self.trial_pause = self.trial_pause.max(INITIAL_TRIAL_PAUSE);
        self.trial_at = now + self.trial_pause;
        self.comparisons = 0;
    }

    /// Records a request that timed out without any answer; it counts as two failures.
    pub fn silent(&mut self, now: Duration) {
        self.failed(now);
        self.failed(now);
    }

    /// Records a failed connection attempt and pauses the endpoint, twice as long after each further one.
    pub fn unreachable(&mut self, now: Duration) {
        self.failed(now);
        self.backoff = (self.backoff * 2).clamp(INITIAL_BACKOFF, MAX_BACKOFF);
        self.retry_at = now + self.backoff;
        self.paused_until = self.retry_at;
    }

    /// Pauses an endpoint that refused a request, for at least `pause`.
    pub fn refused(&mut self, pause: Duration, now: Duration) {
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// Forgets failures that were not the endpoint's, and ends its pause after them.
    pub fn absolve(&mut self, now: Duration) {
        self.failure_average = 0.0;
        self.has_trial = false;
        self.trial_pause = Duration::ZERO;
        self.backoff = Duration::ZERO;
        self.retry_at = self.retry_at.min(now);
        self.paused_until = self.paused_until.min(now);
    }

    /// Whether the endpoint must not be used now.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }

    /// Whether a connection attempt failed and nothing was answered since, or its pause has not ended. Kept connections may be
    /// answered while new ones fail.
    pub fn is_unreachable(&self, now: Duration) -> bool {
        self.backoff > Duration::ZERO || now < self.retry_at
    }

    /// Share of recent requests that failed, 0 to 1.
    pub fn failure_share(&self, now: Duration) -> f64 {
        self.failure_average * self.decay_factor(now)
    }

    /// Share of recent streams whose events came late, 0 to 1.
    pub fn late_share(&self, now: Duration) -> f64 {
        self.late_average * self.decay_factor(now)
    }

    /// Average time to the first byte, in milliseconds; it decays while the endpoint is not used.
    pub fn latency_millis(&self, now: Duration) -> f64 {
        self.latency_average_millis * self.decay_factor(now)
    }

    /// Records that the endpoint was compared with others for a request.
    pub fn compared(&mut self) {
        self.comparisons = self.comparisons.saturating_add(1);
    }

    /// Whether the next request that can be sent elsewhere if it fails is a trial.
    pub fn is_trial_due(&self, now: Duration) -> bool {
        self.failure_share(now) > DOUBT_SHARE
            && self.comparisons >= MIN_COMPARISONS
            && now >= self.trial_at
    }

    /// Records that a trial is sent. The next one follows its answer, or comes after a pause.
    pub fn begin_trial(&mut self, now: Duration) {
        self.has_trial = true;
        self.trial_at = now + self.trial_pause.max(INITIAL_TRIAL_PAUSE);
    }

    fn decay(&mut self, now: Duration) {
        let decay_factor = self.decay_factor(now);
        self.failure_average *= decay_factor;
        self.latency_average_millis *= decay_factor;
        self.late_average *= decay_factor;
        self.observed_at = self.observed_at.max(now);
    }

    fn decay_factor(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.observed_at).as_secs_f64();
        0.5_f64.powf(idle / HALF_LIFE.as_secs_f64())
    }
}
