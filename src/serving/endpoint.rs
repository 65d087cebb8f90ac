//! Endpoints as this daemon uses them: their entries and its own observations.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;

use super::room::permit::Permit;
use crate::coordination::cold_start::ColdStart;
use crate::coordination::health::Health;
use crate::coordination::pace::Pace;
use crate::coordination::recency::forget_older;
use crate::coordination::speed::Learned;
use crate::coordination::warmup::Warmup;
use crate::state::call::Part;
use crate::state::record::Name;
use crate::state::registry::Entry;

/// Maximum number of prompt parts remembered per endpoint; beyond it, the least recently used half is dropped.
const MAX_PROMPT_PARTS: usize = 4096;

/// This daemon's observations of an endpoint since its last start; they outlive changes of its entry.
#[derive(Debug, Default)]
pub struct Tracker {
    in_flight: AtomicU32,
    remote_in_flight: AtomicU32,
    /// Prompt tokens of this daemon's requests that wait for their first byte.
    pending_prompt_tokens: AtomicU64,
    state: Mutex<State>,
}

/// Observations behind the lock of a [`Tracker`].
#[derive(Debug, Default)]
pub struct State {
    /// Failure rate and latency.
    pub health: Health,
    /// Speed by model, where the service is contended.
    pub speeds: Learned,
    /// Limit after a start or a recovery, where the service is contended.
    pub pace: Pace,
    /// Requests sent in the last second.
    pub warmup: Warmup,
    /// Time until which the endpoint is cold, as it has stated or as it was put back in service.
    pub cold_until: Duration,
    /// Starts that the endpoint has not stated, in times of the boot clock.
    pub cold_start: ColdStart,
    /// Time until which the endpoint wants no requests from this daemon.
    pub quiet_until: Duration,
    /// Whether the endpoint has said in a response that it leaves.
    pub leaving: bool,
    /// Time until which the endpoint takes no more requests under the limit that it has named.
    pub limited_until: Duration,
    /// Time until which there is no room at the endpoint.
    pub no_room_until: Duration,
    /// Models and their adapters, according to the placer or the entry.
    pub models: HashMap<Name, Vec<Name>>,
    /// Time of the placer's last report.
    pub placer_report_at: Option<Duration>,
    /// Models that the endpoint rejected as missing, each with the time until which it is taken as missing.
    pub missing_models: HashMap<Name, Duration>,
    parts: HashMap<u64, u64>,
    clock: u64,
}

impl State {
    /// Whether the endpoint has said that it wants no requests now.
    pub fn is_closed(&self, now: Duration) -> bool {
        self.leaving || now < self.quiet_until
    }

    /// Number of tokens in a prompt's leading parts that were sent to the endpoint before.
    pub fn cached_tokens(&self, digests: &[(u64, u32)]) -> u64 {
        let known = digests
            .iter()
            .take_while(|(digest, _)| self.parts.contains_key(digest));
        known.map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Records that a prompt was sent to the endpoint.
    pub fn record_prompt(&mut self, digests: &[(u64, u32)]) {
        self.clock += 1;
        for (digest, _) in digests {
            self.parts.insert(*digest, self.clock);
        }
        forget_older(&mut self.parts, MAX_PROMPT_PARTS, |last_use| *last_use);
    }
}

/// Chained digests of a prompt's parts: each covers the model, the adapter and all parts up to its own, and comes with
/// the token count of its part.
pub fn prompt_digests(model: &str, adapter: Option<&Name>, parts: &[Part]) -> Vec<(u64, u32)> {
    let adapter = adapter.map_or("", |adapter| adapter);
    let mut seed = xxhash_rust::xxh3::xxh3_64(model.as_bytes());
    seed = xxhash_rust::xxh3::xxh3_64_with_seed(adapter.as_bytes(), seed);
    let step = |part: &Part| {
        seed = xxhash_rust::xxh3::xxh3_64_with_seed(&part.digest.to_le_bytes(), seed);
        (seed, part.tokens)
    };
    parts.iter().map(step).collect()
}

impl Tracker {
    /// Locks the observations.
    pub fn lock(&self) -> parking_lot::MutexGuard<'_, State> {
        self.state.lock()
    }

    /// This daemon's requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Requests in flight of all daemons, as far as reported.
    pub fn total_in_flight(&self) -> u32 {
        let remote = self.remote_in_flight.load(Ordering::Relaxed);
        self.in_flight().saturating_add(remote)
    }

    /// Prompt tokens of this daemon's requests that wait for their first byte.
    pub fn pending_prompt_tokens(&self) -> u64 {
        self.pending_prompt_tokens.load(Ordering::Relaxed)
    }

    /// Replaces another daemon's count of requests in flight, `before`, by `after`.
    pub fn update_remote_in_flight(&self, before: u32, after: u32) {
        let update = |count: u32| Some(count.saturating_add(after).saturating_sub(before));
        let _ = self
            .remote_in_flight
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }
}

/// Guard of one of this daemon's requests in flight, which is counted until the guard is dropped.
#[derive(Debug)]
pub struct InFlight {
    tracker: Arc<Tracker>,
    pending_prompt_tokens: u64,
    _permit: Option<Arc<Permit>>,
}

impl InFlight {
    /// Counts a request and the prompt tokens that the endpoint has to process for it, and keeps its place there.
    pub fn open(
        tracker: &Arc<Tracker>,
        pending_prompt_tokens: u64,
        permit: Option<Arc<Permit>>,
    ) -> Self {
        tracker.in_flight.fetch_add(1, Ordering::Relaxed);
        tracker
            .pending_prompt_tokens
            .fetch_add(pending_prompt_tokens, Ordering::Relaxed);
        Self {
            tracker: tracker.clone(),
            pending_prompt_tokens,
            _permit: permit,
        }
    }

    /// Records the first byte of the response: the prompt has been processed.
    pub fn first_byte_received(&mut self) {
        let pending_prompt_tokens = std::mem::take(&mut self.pending_prompt_tokens);
        self.tracker
            .pending_prompt_tokens
            .fetch_sub(pending_prompt_tokens, Ordering::Relaxed);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.first_byte_received();
        self.tracker.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// One run of an endpoint, from a start to the next.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Entry in the platform's store.
    pub entry: Arc<Entry>,
    /// This daemon's observations.
    pub tracker: Arc<Tracker>,
}

/// Snapshot of the endpoints.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Usable endpoints by service.
    pub services: HashMap<Name, Vec<Endpoint>>,
    /// All endpoints by identifier, including unusable ones.
    pub all: BTreeMap<Name, Endpoint>,
}
