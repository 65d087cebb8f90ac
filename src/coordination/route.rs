//! Choice of an endpoint by load summaries, prefix cache affinity and resident adapters.

use std::time::Duration;

use super::gate::Digest;

/// Extra latency of another zone, in milliseconds.
const CROSS_ZONE_MILLIS: u64 = 20;

/// Time to load an adapter before the request can run, in milliseconds.
const ADAPTER_LOAD_MILLIS: u64 = 40;

/// Time saved per cached prompt token, in microseconds.
const CACHED_TOKEN_SAVING_MICROS: u64 = 200;

/// Hold time assumed before the first measurement, in milliseconds.
const DEFAULT_HOLD_MILLIS: u64 = 100;

/// State of one endpoint, as known to the daemon that chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Whether it is in the daemon's own zone.
    pub near: bool,
    /// Latest summary from the home, which may be out of date; `None` before the first.
    pub digest: Option<Digest>,
    /// Concurrency limit of a cold endpoint by its record; used without a digest.
    pub cold_slots: u32,
    /// Permits and waiting requests of this daemon since the digest.
    pub own: u32,
    /// Prompt tokens in the endpoint's prefix cache.
    pub prefix_tokens: u64,
    /// Whether the required adapter is loaded, or none is required.
    pub adapter: bool,
}

impl Candidate {
    /// Returns the expected time until the request can start, plus costs of detours and loads, in microseconds.
    ///
    /// ```
    /// use persimmoncroft::coordination::route::Candidate;
    /// let near = Candidate { near: true, digest: None, cold_slots: 1, own: 0, prefix_tokens: 0, adapter: true };
    /// let far = Candidate { near: false, ..near };
    /// assert!(near.cost() < far.cost());
    /// ```
    pub fn cost(&self) -> u64 {
        let mut cost = self.wait_millis() * 1000;
        if !self.near {
            cost += CROSS_ZONE_MILLIS * 1000;
        }
        if !self.adapter {
            cost += ADAPTER_LOAD_MILLIS * 1000;
        }
        // The offset keeps the saving of a long prefix from taking the cost below zero.
        (cost + COST_OFFSET_MICROS).saturating_sub(self.prefix_tokens * CACHED_TOKEN_SAVING_MICROS)
    }

    /// Returns whether a request is expected to start before its deadline.
    pub fn in_time(&self, time_left: Duration) -> bool {
        u128::from(self.wait_millis()) <= time_left.as_millis()
    }

    fn wait_millis(&self) -> u64 {
        let digest = self.digest.unwrap_or(Digest {
            limit: self.cold_slots,
            ..Digest::default()
        });
        let limit = u64::from(digest.limit.max(1));
        let hold = match digest.hold_millis {
            0 => DEFAULT_HOLD_MILLIS,
            known => u64::from(known),
        };
        let busy = u64::from(digest.used + digest.queued).max(u64::from(self.own));
        if busy < limit {
            // A more loaded endpoint responds more slowly even if a slot is free.
            return hold * busy / limit / 4;
        }
        hold * (busy + 1 - limit) / limit + hold / 4
    }
}

const COST_OFFSET_MICROS: u64 = 1_000_000;

/// Chooses the cheapest candidate among those in time, or among all if there is none; `salt` breaks ties.
///
/// ```
/// use persimmoncroft::coordination::route::{Candidate, choose};
/// use std::time::Duration;
/// let near = Candidate { near: true, digest: None, cold_slots: 1, own: 0, prefix_tokens: 0, adapter: true };
/// let far = Candidate { near: false, ..near };
/// assert_eq!(choose(&[far, near], Duration::from_secs(1), 7), Some(1));
/// ```
pub fn choose(candidates: &[Candidate], time_left: Duration, salt: usize) -> Option<usize> {
    let count = candidates.len();
    let indices = (0..count).map(|step| (step + salt % count.max(1)) % count.max(1));
    indices.min_by_key(|index| {
        let candidate = &candidates[*index];
        (!candidate.in_time(time_left), candidate.cost())
    })
}
