//! Which daemons of a zone read the store for the others, and where a daemon reads from.
//!
//! A few daemons per zone, the readers, follow the store's tables; the others follow a reader. A daemon without a usable
//! reader reads the store itself, so no agreement is needed: daemons with different views of their zone only make more
//! calls than necessary.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::state::record::Name;

/// Daemons of a zone per reader.
const DAEMONS_PER_READER: usize = 32;

/// First backoff after a source failed.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);

/// Longest backoff; after an outage, this is how long a zone's readers may leave the store unasked.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// A daemon that may read for its zone.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Name of the daemon.
    pub name: Name,
    /// Processor time of its instance, in cores.
    pub cores: f64,
}

/// Names of the daemons that read for a zone, best first: larger instances go before smaller ones.
///
/// ```
/// use persimmoncroft::coordination::reader::{Candidate, readers};
/// let daemon = |name: &str, cores| Candidate { name: name.into(), cores };
/// let zone = vec![daemon("a", 0.12), daemon("b", 0.5), daemon("c", 0.12)];
/// assert_eq!(readers(zone), ["b".into()]);
/// ```
pub fn readers(mut zone: Vec<Candidate>) -> Vec<Name> {
    let count = zone.len().div_ceil(DAEMONS_PER_READER);
    zone.sort_by_key(|daemon| Reverse(rank(daemon)));
    let readers = zone.into_iter().take(count);
    readers.map(|daemon| daemon.name).collect()
}

/// Sort key of a candidate; the hash spreads duties over instances of one size.
fn rank(daemon: &Candidate) -> (u64, u64, Name) {
    let millicores = (daemon.cores * 1000.0) as u64;
    let hash = xxh3_64(daemon.name.as_bytes());
    (millicores, hash, daemon.name.clone())
}

/// Where a daemon reads the tables from.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Source {
    /// The platform's store.
    Store,
    /// A daemon of the same zone.
    Peer(Name),
}

/// Sources that failed lately, as one daemon sees them.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::reader::{Selector, Source};
/// let (mut selector, readers) = (Selector::default(), ["b".into()]);
/// let reader = Source::Peer("b".into());
/// assert_eq!(selector.choose("a", &readers, Duration::ZERO), reader);
/// selector.timed_out(&reader, Duration::ZERO);
/// assert_eq!(selector.choose("a", &readers, Duration::ZERO), Source::Store);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Selector {
    backoffs: HashMap<Source, Backoff>,
    /// Whether a reader did not answer in time, so that no time is left to try another one.
    is_late: bool,
}

#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Duration,
    length: Duration,
}

impl Selector {
    /// Chooses the source of the next read. A reader prefers the store, the others prefer one of the readers; the store
    /// is the next choice if none is usable, or after one that did not answer in time.
    pub fn choose(&self, own: &str, readers: &[Name], now: Duration) -> Source {
        let is_reader = readers.iter().any(|reader| **reader == *own);
        let mut peers: Vec<&Name> = readers.iter().filter(|reader| ***reader != *own).collect();
        let seed = xxh3_64(own.as_bytes());
        peers.sort_by_key(|reader| Reverse(xxh3_64_with_seed(reader.as_bytes(), seed)));
        let peers: Vec<Source> = peers.into_iter().cloned().map(Source::Peer).collect();
        let usable = peers.iter().find(|peer| !self.is_backing_off(peer, now));
        let prefer_store = is_reader || self.is_late || usable.is_none();
        if prefer_store && !self.is_backing_off(&Source::Store, now) {
            return Source::Store;
        }
        let soonest = || peers.iter().min_by_key(|peer| self.backing_off_until(peer));
        usable.or_else(soonest).cloned().unwrap_or(Source::Store)
    }

    /// Records a successful read.
    pub fn succeeded(&mut self, source: &Source) {
        self.backoffs.remove(source);
        self.is_late = false;
    }

    /// Records a read that was not answered in time.
    pub fn timed_out(&mut self, source: &Source, now: Duration) {
        self.failed(source, now);
        self.is_late = *source != Source::Store;
    }

    /// Records a failed read.
    pub fn failed(&mut self, source: &Source, now: Duration) {
        let previous = self.backoffs.get(source).map(|backoff| backoff.length * 2);
        let length = previous.map_or(INITIAL_BACKOFF, |length| length.min(MAX_BACKOFF));
        let until = now + length;
        self.backoffs
            .insert(source.clone(), Backoff { until, length });
    }

    /// Whether a source has failed lately, so that a read has to wait.
    pub fn is_backing_off(&self, source: &Source, now: Duration) -> bool {
        now < self.backing_off_until(source)
    }

    fn backing_off_until(&self, source: &Source) -> Duration {
        let backoff = self.backoffs.get(source);
        backoff.map_or(Duration::ZERO, |backoff| backoff.until)
    }
}
