//! Known state of the fleet: configuration, endpoints, zones out of service, and the table versions they come from.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use bytes::Bytes;
use parking_lot::Mutex;

use super::codec::Notice;
use super::endpoint::{Endpoint, Tracker, View};
use super::feed::Table;
use crate::coordination::contention::Contention;
use crate::coordination::pace::Cause;
use crate::coordination::speed::{Share, Table as Speeds};
use crate::protocol::hop::Versions;
use crate::state::catalog::{Catalog, Service};
use crate::state::mirror::Changes;
use crate::state::record::Name;
use crate::state::registry::{Entry, Registry};

/// Time for which an endpoint is reported to peers as draining or removed.
const REMOVAL_REPORT_TIME: Duration = Duration::from_secs(20);

/// Time after its last entry for which an endpoint that left is remembered.
const LEFT_TIME: Duration = Duration::from_secs(120);

/// Time for which a peer's report of a draining or removed endpoint, or of a zone out of service, is valid.
const PEER_REPORT_TTL: Duration = Duration::from_secs(4);

/// Time for which the placer's report of an engine's models overrides the engine's entry, which lags.
const PLACER_REPORT_TTL: Duration = Duration::from_secs(4);

/// Time from the start of this daemon within which endpoints that it didn't know are taken to have run before.
const FIRST_READ_TIME: Duration = Duration::from_secs(10);

/// State of the fleet, published as snapshots that requests read without blocking.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Configuration in force.
    pub catalog: ArcSwapOption<Catalog>,
    /// Contended services of the configuration in force.
    pub contention: ArcSwap<Contention>,
    /// Snapshot of the endpoints.
    pub view: ArcSwap<View>,
    /// Speeds of the engines of contended services.
    pub speeds: ArcSwap<Speeds>,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    catalog_source: Bytes,
    registry: Registry,
    trackers: HashMap<Name, Arc<Tracker>>,
    zones_out: HashSet<Name>,
    /// Endpoints that are draining or were removed, with the time at which that was learned.
    departed: HashMap<Name, Duration>,
    /// Starts of endpoints that have said in the store that they leave, with the time at which that was last seen; an older
    /// copy of the store may not say so.
    left: HashMap<Name, (u64, Duration)>,
    /// Endpoints that peers report as draining or removed, with the expiry of the report.
    peer_departed: HashMap<Name, Duration>,
    /// Zones that peers report as out of service, with the expiry of the report.
    peer_zones_out: HashMap<Name, Duration>,
    /// Versions up to which a peer has reported what is out of use, with the expiry of the report.
    reported: Option<(Versions, Duration)>,
    /// Removals deferred until endpoints have had time to register again, with the time at which they are due.
    deferred: HashMap<Name, Duration>,
    operator: TableVersion,
    endpoints: TableVersion,
}

/// How far a table has been read.
#[derive(Debug, Default)]
struct TableVersion {
    /// Version of the latest row that was read.
    row: u64,
    /// Version as of which all rows were read.
    listed: u64,
    /// Version of the latest row that took something out of use.
    withdrawn: u64,
}

impl TableVersion {
    /// Version up to which no row is missing, as far as known: a deleted row is not in a listing.
    fn known(&self) -> u64 {
        self.row.max(self.listed)
    }
}

impl Fleet {
    /// Puts a configuration in force if it is newer than the current one; returns whether it did.
    pub fn install(&self, catalog: Catalog, source: Bytes, now: Duration) -> bool {
        let mut inner = self.inner.lock();
        let current = self.catalog.load().as_ref().map(|current| current.version);
        if current.is_some_and(|current| current >= catalog.version) {
            return false;
        }
        let before = current.unwrap_or_default();
        spdlog::info!("config: in force", kv: { version = catalog.version, before });
        inner.catalog_source = source;
        self.contention.store(Arc::new(Contention::of(&catalog)));
        self.catalog.store(Some(Arc::new(catalog)));
        self.publish(&mut inner, now);
        true
    }

    /// Version and source of the configuration in force.
    pub fn source(&self) -> Option<(u64, Bytes)> {
        let inner = self.inner.lock();
        let version = self.catalog.load().as_ref()?.version;
        Some((version, inner.catalog_source.clone()))
    }

    /// Applies a row of the store whose value is `source`; removals before `defer_until` are deferred until then.
    pub fn apply(&self, notice: Notice, source: &Bytes, defer_until: Duration, now: Duration) {
        match notice {
            Notice::Catalog(catalog) => {
                self.install(*catalog, source.clone(), now);
            }
            Notice::Zone { zone, out } => self.set_zone(zone, out, now),
            Notice::Endpoint(entry) => self.update_endpoint(entry, now),
            Notice::Gone(id) => self.remove_or_defer(id, defer_until, now),
            Notice::Unknown => {}
        }
    }

    /// Removes endpoints that a full listing of their table no longer contains; returns whether there are any.
    pub fn retain_endpoints(
        &self,
        listed: &HashSet<Name>,
        defer_until: Duration,
        now: Duration,
    ) -> bool {
        let missing: Vec<Name> = {
            let inner = self.inner.lock();
            let known = inner.registry.iter().map(|entry| entry.id.clone());
            known.filter(|id| !listed.contains(id)).collect()
        };
        let has_missing = !missing.is_empty();
        for id in missing {
            self.remove_or_defer(id, defer_until, now);
        }
        has_missing
    }

    /// Puts zones back in service that a full listing of the operators' table no longer shows as out.
    pub fn retain_zones(&self, listed: &HashSet<Name>, now: Duration) {
        let mut inner = self.inner.lock();
        inner.zones_out.retain(|zone| listed.contains(zone));
        self.publish(&mut inner, now);
    }

    fn set_zone(&self, zone: Name, out: bool, now: Duration) {
        let mut inner = self.inner.lock();
        let changed = match out {
            true => inner.zones_out.insert(zone.clone()),
            false => inner.zones_out.remove(&zone),
        };
        if !changed {
            return;
        }
        spdlog::info!("config: zone", kv: { zone: = zone, out });
        if !out {
            self.mark_cold(&inner, &zone, now);
        }
        self.publish(&mut inner, now);
    }

    /// Whether a service is contended under the configuration in force.
    pub fn is_contended(&self, service: &str) -> bool {
        self.contention.load().contains(service)
    }

    /// The service of an endpoint, if the configuration in force has it.
    pub fn service(&self, entry: &Entry) -> Option<Arc<Service>> {
        let catalog = self.catalog.load();
        catalog.as_ref()?.services.get(&entry.service).cloned()
    }

    /// Marks the endpoints of a zone as cold when it is put back in service, because they have been idle.
    fn mark_cold(&self, inner: &Inner, zone: &Name, now: Duration) {
        let catalog = self.catalog.load();
        let Some(catalog) = catalog.as_ref() else {
            return;
        };
        let in_zone = inner.registry.iter().filter(|entry| entry.zone == *zone);
        for entry in in_zone {
            let service = catalog.services.get(&entry.service);
            let cold = service.map_or(Duration::ZERO, |service| service.cold_time);
            if let Some(tracker) = inner.trackers.get(&entry.id) {
                let mut state = tracker.lock();
                state.cold_until = state.cold_until.max(now + cold);
            }
        }
    }

    fn update_endpoint(&self, mut entry: Entry, now: Duration) {
        let mut inner = self.inner.lock();
        let id = entry.id.clone();
        if let Some(started) = entry.started_ms {
            let has_left = inner.left.get(&id).is_some_and(|left| left.0 == started);
            entry.draining |= has_left;
            if entry.draining {
                inner.left.insert(id.clone(), (started, now));
            }
        }
        inner.deferred.remove(&id);
        let before = inner.registry.get(&id).cloned();
        let restarted = before
            .as_ref()
            .is_some_and(|before| before.started_ms != entry.started_ms);
        if restarted {
            let previous = inner.trackers.remove(&id);
            let tracker = inner.trackers.entry(id.clone()).or_default();
            if let Some(previous) = previous {
                let (mut state, previous) = (tracker.lock(), previous.lock());
                // Requests may have reached this start before its entry was read.
                state.warmup = previous.warmup.clone();
                if before
                    .as_ref()
                    .is_some_and(|before| before.started_ms > entry.started_ms)
                {
                    // An older copy of the store shows the start before.
                    state.cold_until = previous.cold_until;
                    state.cold_start = previous.cold_start;
                }
            }
        }
        // A daemon that has just started doesn't know which endpoints have.
        let has_started = restarted || (before.is_none() && now >= FIRST_READ_TIME);
        let tracker = inner.trackers.entry(id.clone()).or_default().clone();
        {
            let mut state = tracker.lock();
            if has_started && self.is_contended(&entry.service) {
                let change = state.pace.begin(now);
                spdlog::info!("pace: changed", kv: {
                    endpoint: = id,
                    cause = Cause::Start.name(),
                    before:? = change.before,
                    after:? = change.after,
                });
            }
            // An entry that states less than was known may be from an older copy of the store.
            state.cold_until = state.cold_until.max(now + entry.cold);
            if state
                .placer_report_at
                .is_none_or(|at| at + PLACER_REPORT_TTL < now)
            {
                let models = entry.models.clone();
                state.models = models.into_iter().collect();
            }
            state.missing_models.clear();
        }
        if before
            .as_ref()
            .is_none_or(|before| before.draining != entry.draining)
        {
            spdlog::info!("endpoints: known", kv: {
                endpoint: = id,
                service: = entry.service,
                zone: = entry.zone,
                version: = entry.version,
                draining = entry.draining,
                cold_ms = entry.cold.as_millis() as u64,
            });
        }
        if entry.draining {
            inner.departed.insert(id, now);
        } else {
            inner.departed.remove(&id);
        }
        inner.registry.put(entry);
        self.publish(&mut inner, now);
    }

    fn remove_or_defer(&self, id: Name, defer_until: Duration, now: Duration) {
        let mut inner = self.inner.lock();
        if inner.registry.get(&id).is_none() {
            return;
        }
        if now < defer_until {
            inner.deferred.insert(id, defer_until);
            return;
        }
        self.remove(&mut inner, &id, now);
        self.publish(&mut inner, now);
    }

    fn remove(&self, inner: &mut Inner, id: &Name, now: Duration) {
        spdlog::info!("endpoints: gone", kv: { endpoint: = id });
        inner.registry.remove(id);
        inner.trackers.remove(id);
        inner.departed.insert(id.clone(), now);
    }

    /// Carries out deferred removals that are due and drops expired reports.
    pub fn expire_reports(&self, now: Duration) {
        let mut inner = self.inner.lock();
        let due = inner.deferred.iter().filter(|(_, at)| **at <= now);
        let due: Vec<Name> = due.map(|(id, _)| id.clone()).collect();
        let reports = inner.peer_departed.len() + inner.peer_zones_out.len();
        inner.peer_departed.retain(|_, until| *until > now);
        inner.peer_zones_out.retain(|_, until| *until > now);
        let Inner {
            registry,
            departed,
            left,
            ..
        } = &mut *inner;
        left.retain(|id, (_, seen)| registry.get(id).is_some() || *seen + LEFT_TIME > now);
        departed.retain(|id, at| {
            let draining = registry.get(id).is_some_and(|entry| entry.draining);
            draining || *at + REMOVAL_REPORT_TIME > now
        });
        if due.is_empty() && reports == inner.peer_departed.len() + inner.peer_zones_out.len() {
            return;
        }
        for id in due {
            inner.deferred.remove(&id);
            self.remove(&mut inner, &id, now);
        }
        self.publish(&mut inner, now);
    }

    /// Applies a peer's report of draining or removed endpoints and zones out of service, while the own feed is stale.
    pub fn apply_peer_report(&self, departed: &[Name], zones_out: &[Name], now: Duration) {
        let mut inner = self.inner.lock();
        let mut changed = false;
        for id in departed {
            if inner.registry.get(id).is_some_and(|entry| !entry.draining) {
                changed |= inner
                    .peer_departed
                    .insert(id.clone(), now + PEER_REPORT_TTL)
                    .is_none();
            }
        }
        for zone in zones_out {
            let previous = inner
                .peer_zones_out
                .insert(zone.clone(), now + PEER_REPORT_TTL);
            changed |= previous.is_none();
        }
        if changed {
            self.publish(&mut inner, now);
        }
    }

    /// Endpoints that are draining or were removed, and zones out of service, for reporting to peers.
    pub fn peer_report(&self) -> (Vec<Name>, Vec<Name>) {
        let inner = self.inner.lock();
        let departed = inner.departed.keys().cloned().collect();
        (departed, inner.zones_out.iter().cloned().collect())
    }

    /// Whether a zone is out of service, by the operators' table or by peers' reports.
    pub fn is_out(&self, zone: &str) -> bool {
        let inner = self.inner.lock();
        inner.zones_out.contains(zone) || inner.peer_zones_out.contains_key(zone)
    }

    /// Versions of the latest rows read of the operators' and the endpoints' tables, for peers.
    pub fn row_versions(&self) -> (u64, u64) {
        let inner = self.inner.lock();
        (inner.operator.row, inner.endpoints.row)
    }

    /// Versions up to which no row of the operators' and the endpoints' tables is missing, as far as known.
    pub fn known_versions(&self) -> (u64, u64) {
        let inner = self.inner.lock();
        (inner.operator.known(), inner.endpoints.known())
    }

    /// Versions of what is in force here, for daemons that decide on this daemon's requests.
    pub fn in_force(&self) -> Versions {
        let inner = self.inner.lock();
        Versions {
            catalog: self.catalog_version(),
            zones: inner.operator.withdrawn,
            endpoints: inner.endpoints.withdrawn,
        }
    }

    /// Whether nothing is missing here of what another daemon has in force.
    pub fn covers(&self, versions: &Versions, now: Duration) -> bool {
        let inner = self.inner.lock();
        let reported = inner.reported.filter(|(_, until)| *until > now);
        let reported = reported.map_or_else(Versions::default, |(versions, _)| versions);
        let known = Versions {
            catalog: self.catalog_version(),
            zones: inner.operator.known().max(reported.zones),
            endpoints: inner.endpoints.known().max(reported.endpoints),
        };
        known.covers(versions)
    }

    /// Records that a peer has reported all that is out of use up to some versions.
    pub fn note_report(&self, versions: Versions, now: Duration) {
        self.inner.lock().reported = Some((versions, now + PEER_REPORT_TTL));
    }

    /// Version of the configuration in force; 0 if there is none.
    pub fn catalog_version(&self) -> u64 {
        let catalog = self.catalog.load();
        catalog.as_ref().map_or(0, |catalog| catalog.version)
    }

    /// Records that a table has been read, and the version of the latest row read that took something out of use.
    pub fn note_read(&self, table: Table, changes: &Changes, withdrawn: u64) {
        let mut inner = self.inner.lock();
        let version = match table {
            Table::Operator => &mut inner.operator,
            Table::Endpoints => &mut inner.endpoints,
        };
        let rows = changes.rows.iter().map(|row| row.version);
        version.row = version.row.max(rows.max().unwrap_or_default());
        if changes.all {
            version.listed = version.listed.max(changes.version);
        }
        version.withdrawn = version.withdrawn.max(withdrawn);
    }

    /// This daemon's observations of an endpoint.
    pub fn tracker(&self, id: &str) -> Option<Arc<Tracker>> {
        self.inner.lock().trackers.get(id).cloned()
    }

    /// Combines this daemon's observations of endpoints' speeds with what peers have shared, each with its age.
    pub fn update_speeds(&self, peers: &[(Duration, Vec<Share>)], now: Duration) {
        let view = self.view.load();
        let learned = view.all.iter().filter_map(|(id, endpoint)| {
            let state = endpoint.tracker.lock();
            (!state.speeds.is_empty()).then(|| (id.clone(), state.speeds.clone()))
        });
        let learned: Vec<_> = learned.collect();
        if learned.is_empty() && peers.is_empty() {
            return;
        }
        let peers = peers.iter().map(|(age, shares)| (*age, &**shares));
        self.speeds
            .store(Arc::new(Speeds::build(&learned, peers, now)));
    }

    /// Applies the placer's report of the models and adapters of an engine.
    pub fn set_models(&self, id: &str, models: HashMap<Name, Vec<Name>>, now: Duration) {
        let Some(tracker) = self.tracker(id) else {
            return;
        };
        let mut state = tracker.lock();
        state.models = models;
        state.placer_report_at = Some(now);
    }

    fn publish(&self, inner: &mut Inner, now: Duration) {
        let mut view = View::default();
        for entry in inner.registry.iter() {
            let tracker = inner.trackers.entry(entry.id.clone()).or_default().clone();
            let endpoint = Endpoint {
                entry: entry.clone(),
                tracker,
            };
            view.all.insert(entry.id.clone(), endpoint.clone());
            let reported_departed = inner
                .peer_departed
                .get(&entry.id)
                .is_some_and(|until| *until > now);
            let out = inner.zones_out.contains(&entry.zone)
                || inner.peer_zones_out.contains_key(&entry.zone);
            let usable = !entry.draining && !reported_departed && !out;
            if usable {
                let service = view.services.entry(entry.service.clone()).or_default();
                service.push(endpoint);
            }
        }
        self.view.store(Arc::new(view));
    }
}
