//! Which software version of a service began which stream.
//!
//! What two versions write does not fit together, so a stream goes on only at the version that began it. Streams may
//! begin at a version only after it was stored as one that does, so a stream of which nothing is known belongs to the
//! stored version if there is only one, and else to an unknown one. A further version is announced first, and streams begin
//! there when no daemon takes the former one for the only one any more.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::recency::forget_older;
use crate::state::record::Name;

/// Time for which the beginning of a stream is remembered; no stream lasts longer. 60 s.
const MEMORY_TIME: Duration = Duration::from_secs(60);

/// Maximum number of streams that are remembered; beyond it, the oldest half is dropped.
const MAX_STREAMS: usize = 65_536;

/// Digests of the identifiers of streams by the version that began them.
pub type Beginnings = BTreeMap<Name, Vec<u64>>;

#[derive(Debug, Clone)]
struct Stream {
    version: Name,
    at: Duration,
}

/// Streams and the versions that began them.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::lineage::Streams;
/// let mut streams = Streams::default();
/// streams.begun(7, "v1".into(), Duration::ZERO);
/// assert_eq!(streams.version(7).as_deref(), Some("v1"));
/// assert_eq!(streams.version(8), None);
/// // Each beginning is taken once, to be stored.
/// assert_eq!(streams.take_new(Duration::from_secs(20), Duration::ZERO).len(), 1);
/// assert!(streams.take_new(Duration::from_secs(20), Duration::ZERO).is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Streams {
    known: HashMap<u64, Stream>,
    /// Streams that began here and were not taken yet.
    new: Vec<u64>,
}

impl Streams {
    /// Records that a stream began here; `id` is the digest of the attempt that brought its first event.
    pub fn begun(&mut self, id: u64, version: Name, now: Duration) {
        self.insert(id, version, now);
        self.new.push(id);
        if self.new.len() > MAX_STREAMS {
            self.new.drain(..MAX_STREAMS / 2);
        }
    }

    /// Records streams that began elsewhere.
    pub fn learn(&mut self, beginnings: &Beginnings, now: Duration) {
        for (version, ids) in beginnings {
            for id in ids {
                self.insert(*id, version.clone(), now);
            }
        }
    }

    /// Version that began a stream, if it is known.
    pub fn version(&self, id: u64) -> Option<Name> {
        self.known.get(&id).map(|stream| stream.version.clone())
    }

    /// Takes the streams that began here within the last `max_age` and were not taken yet.
    pub fn take_new(&mut self, max_age: Duration, now: Duration) -> Beginnings {
        let mut beginnings = Beginnings::new();
        for id in self.new.drain(..) {
            let stream = self.known.get(&id);
            if let Some(stream) = stream.filter(|stream| now <= stream.at + max_age) {
                let ids = beginnings.entry(stream.version.clone()).or_default();
                ids.push(id);
            }
        }
        beginnings
    }

    /// Number of streams that are remembered.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Forgets streams that have surely ended, and drops beginnings that nobody took in that time.
    pub fn expire(&mut self, now: Duration) {
        let Self { known, new } = self;
        known.retain(|_, stream| now < stream.at + MEMORY_TIME);
        new.retain(|id| known.contains_key(id));
    }

    fn insert(&mut self, id: u64, version: Name, now: Duration) {
        self.known.insert(id, Stream { version, at: now });
        forget_older(&mut self.known, MAX_STREAMS, |stream| stream.at);
    }
}

/// Versions of a service at which streams may begin, as stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Admitted {
    /// Version of the row; 0 if there is none.
    #[serde(rename = "w")]
    pub row: u64,
    /// The versions, in ascending order.
    #[serde(rename = "v")]
    pub versions: Vec<Name>,
    /// Further versions at which streams will begin, in ascending order.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub coming: Vec<Name>,
}

impl Admitted {
    /// Whether streams begin at a version, or will.
    pub fn names(&self, version: &str) -> bool {
        let mut all = self.versions.iter().chain(&self.coming);
        all.any(|known| **known == *version)
    }
}

/// Versions at which streams may begin, by service.
///
/// ```
/// use persimmoncroft::coordination::lineage::{Admitted, Versions};
/// let mut versions = Versions::default();
/// let admitted = |row, names: &[&str]| Admitted {
///     row,
///     versions: names.iter().map(|name| (*name).into()).collect(),
///     ..Admitted::default()
/// };
/// versions.adopt(&"models".into(), admitted(5, &["v1", "v2"]));
/// // A message that was delayed changes nothing.
/// assert!(!versions.adopt(&"models".into(), admitted(4, &["v1"])));
/// assert!(versions.admits("models", "v2"));
/// assert_eq!(versions.only("models"), None);
/// versions.adopt(&"models".into(), admitted(6, &["v2"]));
/// assert_eq!(versions.only("models").as_deref(), Some("v2"));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Versions {
    services: BTreeMap<Name, Admitted>,
}

impl Versions {
    /// Takes over what is stored for a service, if it is newer than what is known; returns whether it is.
    pub fn adopt(&mut self, service: &Name, admitted: Admitted) -> bool {
        let known = self.services.get(service).map_or(0, |known| known.row);
        let is_newer = admitted.row > known;
        if is_newer {
            self.services.insert(service.clone(), admitted);
        }
        is_newer
    }

    /// Whether streams may begin at a version.
    pub fn admits(&self, service: &str, version: &str) -> bool {
        let admitted = self.services.get(service);
        admitted.is_some_and(|it| it.versions.iter().any(|known| **known == *version))
    }

    /// The version of a service that all its streams belong to.
    pub fn only(&self, service: &str) -> Option<Name> {
        let admitted = self.services.get(service)?;
        match admitted.versions.as_slice() {
            [version] if admitted.coming.is_empty() => Some(version.clone()),
            _ => None,
        }
    }

    /// What is stored for a service, as far as known.
    pub fn get(&self, service: &str) -> Admitted {
        self.services.get(service).cloned().unwrap_or_default()
    }

    /// Whether the streams of some service belong to several versions, or will.
    pub fn are_mixed(&self) -> bool {
        let mut all = self.services.values();
        all.any(|it| it.versions.len() + it.coming.len() > 1)
    }

    /// All services and what is stored for them.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Admitted)> {
        self.services.iter()
    }
}
