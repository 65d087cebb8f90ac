//! Choice of an endpoint by the time until a request's first byte there.

/// Detour to another zone, in milliseconds; it stands for the price of bytes between zones, too.
const ZONE_MILLIS: f64 = 5.0;

/// Time that a failure costs the caller, in milliseconds.
const FAILURE_MILLIS: f64 = 1500.0;

/// Time that a caller loses when events come late, in milliseconds.
const LATE_MILLIS: f64 = 250.0;

/// Advantage of the endpoint that a daemon prefers most over the one that it prefers least, in milliseconds. Where each
/// daemon has favourites of its own, it knows of most prompts that an engine still has to read.
const PREFERENCE_MILLIS: f64 = 8.0;

/// Prompt tokens that an engine reads in a millisecond.
const READ_TOKENS_PER_MILLI: f64 = 35.0;

/// Time that a full endpoint adds to each of its requests, in milliseconds.
const CROWD_MILLIS: f64 = 100.0;

/// Share of the slots beyond which waiting grows steeply.
const FULL_SHARE: f64 = 0.85;

/// What is known of one endpoint for one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Whether it stands in the daemon's own zone.
    pub near: bool,
    /// Requests that it runs at once.
    pub slots: f64,
    /// Requests in flight there, of this daemon and of others.
    pub flights: f64,
    /// Prompt tokens that it has to read, those of earlier requests of this daemon included.
    pub unread_tokens: f64,
    /// Share of recent streams there whose events came late.
    pub late_share: f64,
    /// How little the daemon prefers it, 0 to 1; a constant for each pair.
    pub aversion: f64,
    /// Recent average time to the first byte, in milliseconds.
    pub latency_millis: f64,
    /// Share of recent requests that failed.
    pub failure_share: f64,
}

impl Candidate {
    /// Expected cost of using the endpoint, in milliseconds.
    pub fn cost(&self) -> f64 {
        let share = (self.flights + 1.0) / self.slots.max(1.0);
        let crowd = CROWD_MILLIS * share;
        let waiting = (share - FULL_SHARE).max(0.0) * 10.0 * CROWD_MILLIS;
        let zone = if self.near { 0.0 } else { ZONE_MILLIS };
        let reading = self.unread_tokens / READ_TOKENS_PER_MILLI;
        crowd
            + waiting
            + zone
            + reading
            + self.aversion * PREFERENCE_MILLIS
            + self.late_share * LATE_MILLIS
            + self.latency_millis * (0.5 + share)
            + self.failure_share * FAILURE_MILLIS
    }
}

/// Index of the cheapest candidate; those within a tenth of it are drawn from by `draw` in `0..1`, so that daemons
/// with the same late knowledge do not all choose the same endpoint.
///
/// ```
/// use persimmoncroft::coordination::choice::{Candidate, choose};
/// let near = Candidate {
///     near: true, slots: 64.0, flights: 3.0, unread_tokens: 500.0, late_share: 0.0, aversion: 0.0,
///     latency_millis: 20.0, failure_share: 0.0,
/// };
/// let failing = Candidate { failure_share: 0.4, ..near };
/// assert_eq!(choose(&[failing, near], 0.5), Some(1));
/// ```
pub fn choose(candidates: &[Candidate], draw: f64) -> Option<usize> {
    let costs: Vec<f64> = candidates.iter().map(Candidate::cost).collect();
    let least = costs.iter().copied().reduce(f64::min)?;
    let close: Vec<usize> = (0..costs.len())
        .filter(|index| costs[*index] <= least * 1.1 + 1.0)
        .collect();
    let index = (draw * close.len() as f64) as usize;
    close.get(index.min(close.len() - 1)).copied()
}
