//! What a daemon believes of the fleet: configuration, endpoints, zones that are out, and from when it knows.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use bytes::Bytes;
use parking_lot::Mutex;

use super::adapter::Notice;
use super::endpoint::{Endpoint, Track, View};
use crate::state::catalog::Catalog;
use crate::state::record::Name;
use crate::state::roster::{Entry, Roster};

/// Time for which peers are told that an endpoint is leaving or left.
const GONE_TOLD: Duration = Duration::from_secs(20);

/// Time for which a peer's word that an endpoint is leaving is believed.
const HEARSAY: Duration = Duration::from_secs(4);

/// Time for which the placer's word on what an engine holds goes before the engine's entry, which lags.
const PLACED: Duration = Duration::from_secs(4);

/// Beliefs, behind snapshots that requests read without waiting.
#[derive(Debug, Default)]
pub struct Belief {
    /// Configuration in force.
    pub catalog: ArcSwapOption<Catalog>,
    /// Endpoints.
    pub view: ArcSwap<View>,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    catalog_source: Bytes,
    roster: Roster,
    tracks: HashMap<Name, Arc<Track>>,
    zones_out: HashSet<Name>,
    /// Endpoints that left or are leaving, and when that was learned.
    gone: HashMap<Name, Duration>,
    /// Endpoints that peers say are leaving, and until when that is believed.
    hearsay: HashMap<Name, Duration>,
    /// Zones that peers say are out, and until when that is believed.
    heard_zones: HashMap<Name, Duration>,
    /// Removals that wait until endpoints had the time to register again.
    deferred: HashMap<Name, Duration>,
    operator_version: u64,
    roster_version: u64,
}

impl Belief {
    /// Puts a configuration in force, unless it is older than the one that is; says whether it was put in force.
    pub fn install(&self, catalog: Catalog, source: Bytes, now: Duration) -> bool {
        let mut inner = self.inner.lock();
        let current = self.catalog.load().as_ref().map(|current| current.version);
        if current.is_some_and(|current| current >= catalog.version) {
            return false;
        }
        let before = current.unwrap_or_default();
        spdlog::info!("config: in force", kv: { version = catalog.version, before });
        inner.catalog_source = source;
        self.catalog.store(Some(Arc::new(catalog)));
        self.publish(&mut inner, now);
        true
    }

    /// Version and text of the configuration in force.
    pub fn source(&self) -> Option<(u64, Bytes)> {
        let inner = self.inner.lock();
        let version = self.catalog.load().as_ref()?.version;
        Some((version, inner.catalog_source.clone()))
    }

    /// Takes in a row of the store; `settle` is the time before which removals are not believed.
    pub fn notice(&self, notice: Notice, source: &Bytes, settle: Duration, now: Duration) {
        match notice {
            Notice::Catalog(catalog) => {
                self.install(*catalog, source.clone(), now);
            }
            Notice::Zone { zone, out } => self.zone(zone, out, now),
            Notice::Endpoint(entry) => self.entry(entry, now),
            Notice::Gone(id) => self.gone(id, settle, now),
            Notice::Unknown => {}
        }
    }

    /// Forgets endpoints and zones that a full reading of their table no longer shows.
    pub fn keep_endpoints(&self, keep: &HashSet<Name>, settle: Duration, now: Duration) {
        let missing: Vec<Name> = {
            let inner = self.inner.lock();
            let known = inner.roster.iter().map(|entry| entry.id.clone());
            known.filter(|id| !keep.contains(id)).collect()
        };
        for id in missing {
            self.gone(id, settle, now);
        }
    }

    /// Takes back the zones that a full reading of the operators' table no longer shows.
    pub fn keep_zones(&self, keep: &HashSet<Name>, now: Duration) {
        let mut inner = self.inner.lock();
        inner.zones_out.retain(|zone| keep.contains(zone));
        self.publish(&mut inner, now);
    }

    fn zone(&self, zone: Name, out: bool, now: Duration) {
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
            self.cool(&inner, &zone, now);
        }
        self.publish(&mut inner, now);
    }

    /// Takes the endpoints of a zone that comes back as cold: they have had no work.
    fn cool(&self, inner: &Inner, zone: &Name, now: Duration) {
        let catalog = self.catalog.load();
        let Some(catalog) = catalog.as_ref() else {
            return;
        };
        let in_zone = inner.roster.iter().filter(|entry| entry.zone == *zone);
        for entry in in_zone {
            let service = catalog.services.get(&entry.service);
            let cold = service.map_or(Duration::ZERO, |service| service.cold_time);
            if let Some(track) = inner.tracks.get(&entry.id) {
                let mut seen = track.seen();
                seen.cold_until = seen.cold_until.max(now + cold);
            }
        }
    }

    fn entry(&self, entry: Entry, now: Duration) {
        let mut inner = self.inner.lock();
        let id = entry.id.clone();
        inner.deferred.remove(&id);
        let before = inner.roster.get(&id).cloned();
        let restarted = before.as_ref().is_some_and(|b| b.born != entry.born);
        if restarted {
            inner.tracks.remove(&id);
        }
        let track = inner.tracks.entry(id.clone()).or_default().clone();
        {
            let mut seen = track.seen();
            seen.cold_until = match entry.cold.is_zero() {
                true => seen.cold_until.min(now),
                false => now + entry.cold,
            };
            if seen.placed_at.is_none_or(|at| at + PLACED < now) {
                let models = entry.models.clone();
                seen.models = models.into_iter().collect();
            }
            seen.lacking.clear();
        }
        if before.as_ref().is_none_or(|b| b.draining != entry.draining) {
            spdlog::info!("endpoints: known", kv: {
                endpoint: = id,
                service: = entry.service,
                zone: = entry.zone,
                draining = entry.draining,
                cold_ms = entry.cold.as_millis() as u64,
            });
        }
        if entry.draining {
            inner.gone.insert(id, now);
        } else {
            inner.gone.remove(&id);
        }
        inner.roster.put(entry);
        self.publish(&mut inner, now);
    }

    fn gone(&self, id: Name, settle: Duration, now: Duration) {
        let mut inner = self.inner.lock();
        if inner.roster.get(&id).is_none() {
            return;
        }
        if now < settle {
            inner.deferred.insert(id, settle);
            return;
        }
        self.remove(&mut inner, &id, now);
        self.publish(&mut inner, now);
    }

    fn remove(&self, inner: &mut Inner, id: &Name, now: Duration) {
        spdlog::info!("endpoints: gone", kv: { endpoint: = id });
        inner.roster.remove(id);
        inner.tracks.remove(id);
        inner.gone.insert(id.clone(), now);
    }

    /// Carries out removals whose time has come and forgets what is old.
    pub fn tick(&self, now: Duration) {
        let mut inner = self.inner.lock();
        let due = inner.deferred.iter().filter(|(_, at)| **at <= now);
        let due: Vec<Name> = due.map(|(id, _)| id.clone()).collect();
        let heard = inner.hearsay.len() + inner.heard_zones.len();
        inner.hearsay.retain(|_, until| *until > now);
        inner.heard_zones.retain(|_, until| *until > now);
        let Inner { roster, gone, .. } = &mut *inner;
        gone.retain(|id, at| {
            let draining = roster.get(id).is_some_and(|entry| entry.draining);
            draining || *at + GONE_TOLD > now
        });
        if due.is_empty() && heard == inner.hearsay.len() + inner.heard_zones.len() {
            return;
        }
        for id in due {
            inner.deferred.remove(&id);
            self.remove(&mut inner, &id, now);
        }
        self.publish(&mut inner, now);
    }

    /// Takes in a peer's word on leaving endpoints and zones that are out, while the own feed is stale.
    pub fn hear(&self, gone: &[Name], out: &[Name], now: Duration) {
        let mut inner = self.inner.lock();
        let mut changed = false;
        for id in gone {
            if inner.roster.get(id).is_some_and(|entry| !entry.draining) {
                changed |= inner.hearsay.insert(id.clone(), now + HEARSAY).is_none();
            }
        }
        for zone in out {
            let heard = inner.heard_zones.insert(zone.clone(), now + HEARSAY);
            changed |= heard.is_none();
        }
        if changed {
            self.publish(&mut inner, now);
        }
    }

    /// Endpoints that left or are leaving, and zones that are out, to tell peers.
    pub fn told(&self) -> (Vec<Name>, Vec<Name>) {
        let inner = self.inner.lock();
        let gone = inner.gone.keys().cloned().collect();
        (gone, inner.zones_out.iter().cloned().collect())
    }

    /// Versions of the operators' and the endpoints' table that have been read.
    pub fn versions(&self) -> (u64, u64) {
        let inner = self.inner.lock();
        (inner.operator_version, inner.roster_version)
    }

    /// Notes that the operators' table has been read up to a version.
    pub fn read_operator(&self, version: u64) {
        let mut inner = self.inner.lock();
        inner.operator_version = inner.operator_version.max(version);
    }

    /// Notes that the endpoints' table has been read up to a version.
    pub fn read_roster(&self, version: u64) {
        let mut inner = self.inner.lock();
        inner.roster_version = inner.roster_version.max(version);
    }

    /// What has been seen of an endpoint.
    pub fn track(&self, id: &str) -> Option<Arc<Track>> {
        self.inner.lock().tracks.get(id).cloned()
    }

    /// Takes in the placer's word on what an engine holds.
    pub fn hold(&self, id: &str, models: HashMap<Name, Vec<Name>>, now: Duration) {
        let Some(track) = self.track(id) else {
            return;
        };
        let mut seen = track.seen();
        seen.models = models;
        seen.placed_at = Some(now);
    }

    fn publish(&self, inner: &mut Inner, now: Duration) {
        let mut view = View::default();
        for entry in inner.roster.iter() {
            let track = inner.tracks.entry(entry.id.clone()).or_default().clone();
            let endpoint = Endpoint {
                entry: entry.clone(),
                track,
            };
            view.all.insert(entry.id.clone(), endpoint.clone());
            let left = inner
                .hearsay
                .get(&entry.id)
                .is_some_and(|until| *until > now);
            let out = inner.zones_out.contains(&entry.zone)
                || inner.heard_zones.contains_key(&entry.zone);
            let usable = !entry.draining && !left && !out;
            if usable {
                let service = view.services.entry(entry.service.clone()).or_default();
                service.push(endpoint);
            }
        }
        self.view.store(Arc::new(view));
    }
}
