//! Immutable snapshot of all records at a revision.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use super::document::Document;
use super::record::{Adapter, Endpoint, Key, Model, Name, Record, Route, Workspace, Zone};
use super::schema::Mistake;

/// All records at one revision, indexed for lookup. Successive snapshots share the maps that did not change.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Revision; increasing.
    pub revision: u64,
    /// Models by name.
    pub models: Arc<BTreeMap<Name, Model>>,
    /// Adapters by name.
    pub adapters: Arc<BTreeMap<Name, Adapter>>,
    /// Workspaces by name.
    pub workspaces: Arc<BTreeMap<Name, Workspace>>,
    /// Keys by digest.
    pub keys: Arc<HashMap<Arc<str>, Key>>,
    /// Availability zones by name.
    pub zones: Arc<BTreeMap<Name, Zone>>,
    /// Endpoints by name.
    pub endpoints: Arc<BTreeMap<Name, Endpoint>>,
    /// Routes by name.
    pub routes: Arc<BTreeMap<Name, Route>>,
    /// Stored forms of all records by path (`kind/name`).
    pub documents: Arc<BTreeMap<Arc<str>, Document>>,
    /// Paths (`kind/name`) of records that this program cannot read.
    pub unreadable: Arc<BTreeSet<Arc<str>>>,
}

/// Effect of one change on the records.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Delta {
    /// Records created or replaced.
    pub written: Vec<Document>,
    /// Paths (`kind/name`) of deleted records.
    pub deleted: Vec<Arc<str>>,
}

impl Config {
    /// Builds a snapshot from records.
    ///
    /// ```
    /// use persimmoncroft::state::config::Config;
    /// assert_eq!(Config::from_records(7, Vec::new()).revision, 7);
    /// ```
    pub fn from_records(revision: u64, records: impl IntoIterator<Item = Record>) -> Self {
        let mut config = Self {
            revision,
            ..Self::default()
        };
        for record in records {
            config.insert(record);
        }
        config
    }

    /// Builds a snapshot from stored forms, and returns the mistakes in those that cannot be read. Unreadable records
    /// are kept in `documents` and listed in `unreadable`.
    pub fn from_documents(
        revision: u64,
        documents: impl IntoIterator<Item = Document>,
    ) -> (Self, Vec<Mistake>) {
        let written = documents.into_iter().collect();
        let deleted = Vec::new();
        Self::default().advance(revision, &Delta { written, deleted })
    }

    /// Returns the snapshot after a change, and the mistakes in written records that cannot be read.
    ///
    /// ```
    /// use persimmoncroft::state::config::{Config, Delta};
    /// use persimmoncroft::state::document::Document;
    /// let zone = Document::from_row("zone/a", br#"{"kind":"zone","name":"a"}"#);
    /// let delta = Delta { written: vec![zone], deleted: Vec::new() };
    /// let (config, mistakes) = Config::default().advance(1, &delta);
    /// assert!(mistakes.is_empty());
    /// assert!(config.zones.contains_key("a"));
    /// ```
    pub fn advance(&self, revision: u64, delta: &Delta) -> (Self, Vec<Mistake>) {
        let mut next = self.clone();
        next.revision = revision;
        let mut mistakes = Vec::new();
        for path in &delta.deleted {
            next.remove_record(path);
        }
        for document in &delta.written {
            next.remove_record(&document.path);
            match document.record() {
                Ok(record) => next.insert(record),
                Err(found) => {
                    Arc::make_mut(&mut next.unreadable).insert(document.path.clone());
                    mistakes.extend(found);
                }
            }
            Arc::make_mut(&mut next.documents).insert(document.path.clone(), document.clone());
        }
        (next, mistakes)
    }

    fn remove_record(&mut self, path: &str) {
        let Some(document) = self.documents.get(path) else {
            return;
        };
        let record = document.record();
        Arc::make_mut(&mut self.documents).remove(path);
        if self.unreadable.contains(path) {
            Arc::make_mut(&mut self.unreadable).remove(path);
        }
        let Ok(record) = record else {
            return;
        };
        match record {
            Record::Model(r) => drop(Arc::make_mut(&mut self.models).remove(&r.name)),
            Record::Adapter(r) => drop(Arc::make_mut(&mut self.adapters).remove(&r.name)),
            Record::Workspace(r) => drop(Arc::make_mut(&mut self.workspaces).remove(&r.name)),
            Record::Key(r) => self.remove_key(&r),
            Record::Zone(r) => drop(Arc::make_mut(&mut self.zones).remove(&r.name)),
            Record::Endpoint(r) => drop(Arc::make_mut(&mut self.endpoints).remove(&r.name)),
            Record::Route(r) => drop(Arc::make_mut(&mut self.routes).remove(&r.name)),
        }
    }

    fn remove_key(&mut self, key: &Key) {
        let is_current = self
            .keys
            .get(&key.digest)
            .is_some_and(|k| k.name == key.name);
        if is_current {
            Arc::make_mut(&mut self.keys).remove(&key.digest);
        }
    }

    /// Adds or replaces one record.
    pub fn insert(&mut self, record: Record) {
        match record {
            Record::Model(r) => drop(Arc::make_mut(&mut self.models).insert(r.name.clone(), r)),
            Record::Adapter(r) => drop(Arc::make_mut(&mut self.adapters).insert(r.name.clone(), r)),
            Record::Workspace(r) => {
                drop(Arc::make_mut(&mut self.workspaces).insert(r.name.clone(), r));
            }
            Record::Key(r) => drop(Arc::make_mut(&mut self.keys).insert(r.digest.clone(), r)),
            Record::Zone(r) => drop(Arc::make_mut(&mut self.zones).insert(r.name.clone(), r)),
            Record::Endpoint(r) => {
                drop(Arc::make_mut(&mut self.endpoints).insert(r.name.clone(), r));
            }
            Record::Route(r) => drop(Arc::make_mut(&mut self.routes).insert(r.name.clone(), r)),
        }
    }

    /// Returns the workspace of a caller's key; `None` if the key is unknown or withdrawn.
    pub fn authenticate(&self, secret: &str) -> Option<&Workspace> {
        let digest = Key::digest_of(secret);
        let key = self.keys.get(digest.as_str())?;
        if key.withdrawn {
            return None;
        }
        self.workspaces.get(&key.workspace)
    }

    /// Resolves the `model` field of a request to the base model and, if it names an adapter, the adapter.
    pub fn resolve(&self, name: &str) -> Option<(&Model, Option<&Adapter>)> {
        if let Some(model) = self.models.get(name) {
            return Some((model, None));
        }
        let adapter = self.adapters.get(name)?;
        let model = self.models.get(&adapter.model)?;
        Some((model, Some(adapter)))
    }

    /// Returns the route with the longest prefix that matches whole segments of the path.
    pub fn route(&self, path: &str) -> Option<&Route> {
        self.routes
            .values()
            .filter(|route| matches_prefix(&route.prefix, path))
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns whether an endpoint may get new requests: it is not draining and its zone is in service.
    pub fn open(&self, endpoint: &Endpoint) -> bool {
        let out = self.zones.get(&endpoint.zone).is_some_and(|zone| zone.out);
        !endpoint.leaving && !out
    }
}

fn matches_prefix(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/')
}
