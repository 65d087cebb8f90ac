//! Registry of endpoints, from their entries in the platform's endpoints table.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::record::Name;

/// The registered state of one endpoint process.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Identifier of the endpoint process.
    pub id: Name,
    /// Service that the endpoint runs.
    pub service: Name,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Version of the endpoint's software.
    pub version: Name,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the endpoint is draining.
    pub draining: bool,
    /// Remaining time of the cold start when the entry was written.
    pub cold: Duration,
    /// Start time as Unix time in milliseconds; distinguishes restarts under the same identifier.
    pub started_ms: Option<u64>,
    /// Loaded models and their loaded adapters, for engines.
    pub models: BTreeMap<Name, Vec<Name>>,
}

/// Entries by identifier.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    entries: HashMap<Name, Arc<Entry>>,
}

impl Registry {
    /// Adds or replaces an entry.
    pub fn put(&mut self, entry: Entry) {
        self.entries.insert(entry.id.clone(), Arc::new(entry));
    }

    /// Removes an entry.
    pub fn remove(&mut self, id: &str) {
        self.entries.remove(id);
    }

    /// Iterates over all entries, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.entries.values()
    }

    /// Returns the entry with an identifier.
    pub fn get(&self, id: &str) -> Option<&Arc<Entry>> {
        self.entries.get(id)
    }

    /// Keeps only the entries whose identifier satisfies `keep`.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.entries.retain(|id, _| keep(id));
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
