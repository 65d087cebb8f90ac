//! Endpoints as they register themselves with the platform.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::record::Name;

/// One start of an endpoint, as its entry shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Identifier of the start.
    pub id: Name,
    /// Service that it runs.
    pub service: Name,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Time left of the cold start when the entry was written.
    pub cold: Duration,
    /// Unix time of its start in milliseconds; changes when it starts anew under the same identifier.
    pub born: Option<u64>,
    /// Models and their adapters, for engines.
    pub models: BTreeMap<Name, Vec<Name>>,
}

/// Endpoints by identifier.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    entries: HashMap<Name, Arc<Entry>>,
}

impl Roster {
    /// Adds or replaces an entry.
    pub fn put(&mut self, entry: Entry) {
        self.entries.insert(entry.id.clone(), Arc::new(entry));
    }

    /// Removes an entry.
    pub fn remove(&mut self, id: &str) {
        self.entries.remove(id);
    }

    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.entries.values()
    }

    /// An entry by identifier.
    pub fn get(&self, id: &str) -> Option<&Arc<Entry>> {
        self.entries.get(id)
    }

    /// Keeps only the entries that are named.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.entries.retain(|id, _| keep(id));
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
