//! Endpoints as this daemon uses them: what their entries say and what it has seen itself.

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

/// Prompt parts remembered for one endpoint; the oldest half goes when there are more.
const PARTS_KEPT: usize = 4096;

/// What this daemon has seen of one start of an endpoint; entries change, this stays.
#[derive(Debug, Default)]
pub struct Track {
    flights: AtomicU32,
    others: AtomicU32,
    /// Prompt tokens of own requests that have had no first byte.
    unread: AtomicU64,
    seen: Mutex<Seen>,
}

/// What is behind the lock of a [`Track`].
#[derive(Debug, Default)]
pub struct Seen {
    /// Failures and latency.
    pub health: Health,
    /// Sends while cold.
    pub warmup: Warmup,
    /// Time until which it is cold.
    pub cold_until: Duration,
    /// Models and their adapters, as the placer says or the entry said.
    pub models: HashMap<Name, Vec<Name>>,
    /// When the placer said so last.
    pub placed_at: Option<Duration>,
    /// Models that it refused, with the time until which that is believed.
    pub lacking: HashMap<Name, Duration>,
    parts: HashMap<u64, u64>,
    clock: u64,
}

impl Seen {
    /// Tokens of a prompt's leading parts that were sent there before.
    pub fn read_tokens(&self, chain: &[(u64, u32)]) -> u64 {
        let known = chain
            .iter()
            .take_while(|(digest, _)| self.parts.contains_key(digest));
        known.map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Notes that a prompt was sent there.
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

/// Digests of a prompt's leading parts, each with all before it and what reads them, and its tokens.
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
    /// What has been seen.
    pub fn seen(&self) -> parking_lot::MutexGuard<'_, Seen> {
        self.seen.lock()
    }

    /// Own requests in flight.
    pub fn flights(&self) -> u32 {
        self.flights.load(Ordering::Relaxed)
    }

    /// Requests in flight of all daemons, as far as they are known.
    pub fn all_flights(&self) -> u32 {
        self.flights() + self.others.load(Ordering::Relaxed)
    }

    /// Prompt tokens of own requests that have had no first byte.
    pub fn unread(&self) -> u64 {
        self.unread.load(Ordering::Relaxed)
    }

    /// Takes over what another daemon says, in place of what it said before.
    pub fn others(&self, before: u32, after: u32) {
        let shift = |count: u32| Some((count + after).saturating_sub(before));
        let _ = self
            .others
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, shift);
    }
}

/// An own request in flight; counted until dropped.
#[derive(Debug)]
pub struct Flight {
    track: Arc<Track>,
    unread: u64,
}

impl Flight {
    /// Counts a request and the prompt tokens that the endpoint has to read for it.
    pub fn open(track: &Arc<Track>, unread: u64) -> Self {
        track.flights.fetch_add(1, Ordering::Relaxed);
        track.unread.fetch_add(unread, Ordering::Relaxed);
        Self {
            track: track.clone(),
            unread,
        }
    }

    /// Notes the first byte: the prompt has been read.
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

/// One start of an endpoint.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Its entry.
    pub entry: Arc<Entry>,
    /// What this daemon has seen.
    pub track: Arc<Track>,
}

/// Endpoints that may be used, by service and identifier.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Endpoints of each service.
    pub services: HashMap<Name, Vec<Endpoint>>,
    /// Endpoints by identifier, those not to be used as well.
    pub all: BTreeMap<Name, Endpoint>,
}
