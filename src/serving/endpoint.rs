//! Endpoints as this daemon uses them: their entries and its own observations.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;

use crate::coordination::health::Health;
use crate::coordination::warmup::Warmup;
use crate::state::call::Part;
use crate::state::record::Name;
use crate::state::roster::Entry;

/// Maximum number of prompt parts remembered per endpoint; beyond it, the least recently used half is dropped.
const PARTS_KEPT: usize = 4096;

/// This daemon's observations of an endpoint since its last start; they outlive changes of its entry.
#[derive(Debug, Default)]
pub struct Track {
    flights: AtomicU32,
    others: AtomicU32,
    /// Prompt tokens of this daemon's requests that wait for their first byte.
    unread: AtomicU64,
    seen: Mutex<Seen>,
}

/// Observations behind the lock of a [`Track`].
#[derive(Debug, Default)]
pub struct Seen {
    /// Failure rate and latency.
    pub health: Health,
    /// Requests sent while cold.
    pub warmup: Warmup,
    /// Time until which the endpoint is cold.
    pub cold_until: Duration,
    /// Models and their adapters, according to the placer or the entry.
    pub models: HashMap<Name, Vec<Name>>,
    /// Time of the placer's last report.
    pub placed_at: Option<Duration>,
    /// Models that the endpoint rejected as missing, each with the time until which it is taken as missing.
    pub lacking: HashMap<Name, Duration>,
    parts: HashMap<u64, u64>,
    clock: u64,
}

impl Seen {
    /// Number of tokens in a prompt's leading parts that were sent to the endpoint before.
    pub fn read_tokens(&self, chain: &[(u64, u32)]) -> u64 {
        let known = chain
            .iter()
            .take_while(|(digest, _)| self.parts.contains_key(digest));
        known.map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Records that a prompt was sent to the endpoint.
    pub fn note_parts(&mut self, chain: &[(u64, u32)]) {
        self.clock += 1;
        for (digest, _) in chain {
            self.parts.insert(*digest, self.clock);
        }
        if self.parts.len() > PARTS_KEPT {
            let mut uses: Vec<u64> = self.parts.values().copied().collect();
            let (_, median, _) = uses.select_nth_unstable(PARTS_KEPT / 2);
            let median = *median;
            self.parts.retain(|_, used| *used > median);
        }
    }
}

/// Chained digests of a prompt's parts: each covers the model, the adapter and all parts up to its own, and comes with
/// the token count of its part.
pub fn chain(model: &str, adapter: Option<&Name>, parts: &[Part]) -> Vec<(u64, u32)> {
    let reader = adapter.map_or("", |adapter| adapter);
    let mut seed = xxhash_rust::xxh3::xxh3_64(model.as_bytes());
    seed = xxhash_rust::xxh3::xxh3_64_with_seed(reader.as_bytes(), seed);
    let step = |part: &Part| {
        seed = xxhash_rust::xxh3::xxh3_64_with_seed(&part.digest.to_le_bytes(), seed);
        (seed, part.tokens)
    };
    parts.iter().map(step).collect()
}

impl Track {
    /// Locks the observations.
    pub fn seen(&self) -> parking_lot::MutexGuard<'_, Seen> {
        self.seen.lock()
    }

    /// This daemon's requests in flight.
    pub fn flights(&self) -> u32 {
        self.flights.load(Ordering::Relaxed)
    }

    /// Requests in flight of all daemons, as far as reported.
    pub fn all_flights(&self) -> u32 {
        self.flights() + self.others.load(Ordering::Relaxed)
    }

    /// Prompt tokens of this daemon's requests that wait for their first byte.
    pub fn unread(&self) -> u64 {
        self.unread.load(Ordering::Relaxed)
    }

    /// Replaces another daemon's count of requests in flight, `before`, by `after`.
    pub fn others(&self, before: u32, after: u32) {
        let shift = |count: u32| Some((count + after).saturating_sub(before));
        let _ = self
            .others
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, shift);
    }
}

/// Guard of one of this daemon's requests in flight, which is counted until the guard is dropped.
#[derive(Debug)]
pub struct Flight {
    track: Arc<Track>,
    unread: u64,
}

impl Flight {
    /// Counts a request and the prompt tokens that the endpoint has to process for it.
    pub fn open(track: &Arc<Track>, unread: u64) -> Self {
        track.flights.fetch_add(1, Ordering::Relaxed);
        track.unread.fetch_add(unread, Ordering::Relaxed);
        Self {
            track: track.clone(),
            unread,
        }
    }

    /// Records the first byte of the response: the prompt has been processed.
    pub fn begun(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.track.unread.fetch_sub(unread, Ordering::Relaxed);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.begun();
        self.track.flights.fetch_sub(1, Ordering::Relaxed);
    }
}

/// One run of an endpoint, from a start to the next.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Entry in the platform's store.
    pub entry: Arc<Entry>,
    /// This daemon's observations.
    pub track: Arc<Track>,
}

/// Snapshot of the endpoints.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Usable endpoints by service.
    pub services: HashMap<Name, Vec<Endpoint>>,
    /// All endpoints by identifier, including unusable ones.
    pub all: BTreeMap<Name, Endpoint>,
}
