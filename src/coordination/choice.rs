//! Endpoint selection by expected time to the first byte.

/// Cost of an endpoint in another zone, in milliseconds; it covers the price of cross-zone traffic, too.
const CROSS_ZONE_MILLIS: f64 = 5.0;

/// Time a caller loses by a failed request, in milliseconds.
const FAILURE_COST_MILLIS: f64 = 1500.0;

/// Time a caller loses by a stream with late events, in milliseconds.
const LATE_STREAM_COST_MILLIS: f64 = 250.0;

/// Cost difference between a daemon's least and most preferred endpoint, in milliseconds. As preferences differ between
/// daemons, a daemon knows most of the prompts that its preferred engines still have to prefill.
const AFFINITY_MILLIS: f64 = 8.0;

/// Cost of opening a connection, in milliseconds: two round trips, and processor time at both ends.
const CONNECT_MILLIS: f64 = 4.0;

/// Prompt tokens that an engine prefills per millisecond.
pub const PREFILL_TOKENS_PER_MILLI: f64 = 35.0;

/// Latency that full load adds to each request of an endpoint, in milliseconds.
const FULL_LOAD_MILLIS: f64 = 100.0;

/// Share of busy slots above which queueing delay grows steeply.
const SATURATION_SHARE: f64 = 0.85;

/// State of an endpoint as seen for one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Whether it is in the daemon's own zone.
    pub same_zone: bool,
    /// Whether the daemon has an idle connection to it.
    pub connected: bool,
    /// Requests that it runs concurrently.
    pub slots: f64,
    /// Requests in flight there, from all daemons.
    pub in_flight: f64,
    /// Prompt tokens that it has to prefill, including those of earlier requests from this daemon.
    pub prefill_tokens: f64,
    /// Share of recent streams there whose events came late.
    pub late_share: f64,
    /// How little the daemon prefers it, 0 to 1; constant per daemon and endpoint.
    pub preference_cost: f64,
    /// Recent average time to the first byte, in milliseconds.
    pub latency_millis: f64,
    /// Share of recent requests that failed.
    pub failure_share: f64,
}

impl Candidate {
    /// Expected cost of sending the request there, in milliseconds.
    pub fn cost(&self) -> f64 {
        let utilization = (self.in_flight + 1.0) / self.slots.max(1.0);
        let load = FULL_LOAD_MILLIS * utilization;
        let queueing = (utilization - SATURATION_SHARE).max(0.0) * 10.0 * FULL_LOAD_MILLIS;
        let zone = if self.same_zone {
            0.0
        } else {
            CROSS_ZONE_MILLIS
        };
        let connect = if self.connected { 0.0 } else { CONNECT_MILLIS };
        let prefill = self.prefill_tokens / PREFILL_TOKENS_PER_MILLI;
        load + queueing
            + zone
            + connect
            + prefill
            + self.preference_cost * AFFINITY_MILLIS
            + self.late_share * LATE_STREAM_COST_MILLIS
            + self.latency_millis * (0.5 + utilization)
            + self.failure_share * FAILURE_COST_MILLIS
    }
}

/// Index of a candidate whose cost is within a tenth and 1 ms of the lowest, or `None` without candidates. The random
/// number `draw` in `0..1` picks among them, so that daemons with the same stale view do not all choose the same
/// endpoint.
///
/// ```
/// use persimmoncroft::coordination::choice::{Candidate, choose};
/// let idle = Candidate {
///     same_zone: true, connected: true, slots: 64.0, in_flight: 3.0, prefill_tokens: 500.0, late_share: 0.0,
///     preference_cost: 0.0, latency_millis: 20.0, failure_share: 0.0,
/// };
/// let failing = Candidate { failure_share: 0.4, ..idle };
/// assert_eq!(choose(&[failing, idle], 0.5), Some(1));
/// ```
pub fn choose(candidates: &[Candidate], draw: f64) -> Option<usize> {
    let costs: Vec<f64> = candidates.iter().map(Candidate::cost).collect();
    let lowest = costs.iter().copied().reduce(f64::min)?;
    let cheapest: Vec<usize> = (0..costs.len())
        .filter(|index| costs[*index] <= lowest * 1.1 + 1.0)
        .collect();
    let index = (draw * cheapest.len() as f64) as usize;
    cheapest.get(index.min(cheapest.len() - 1)).copied()
}
