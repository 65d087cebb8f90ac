//! Index of the replicas of all models on all endpoints, for one placement decision.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use super::ledger::{Change, Holding};
use super::placement::{Host, Strategy, View, wanted};
use crate::state::record::Name;

/// Number of hosts with most free memory among which the least loaded is chosen.
const BEST_HOST_CANDIDATES: usize = 8;

/// A replica of a model on an endpoint that may get work.
#[derive(Debug, Clone)]
pub struct Replica {
    /// Index of the endpoint in [`View::hosts`].
    pub host: usize,
    /// Index of the model in [`View::models`].
    pub model: usize,
    /// Version; the lowest if there are several.
    pub version: u64,
    /// Whether it is ready to serve.
    pub ready: bool,
    /// Whether no duplicate of a load order for it may still arrive.
    pub settled: bool,
}

/// Replica index of one decision.
#[derive(Debug)]
pub struct Index<'a> {
    view: &'a View,
    replicas: Vec<Vec<Replica>>,
    idle_by_free_mib: BTreeSet<(u64, usize)>,
    max_free_mib: BTreeMap<Name, u64>,
    host_load: Vec<u64>,
    busy: HashSet<usize>,
    eviction_candidates: Vec<Replica>,
    slots: u64,
}

impl<'a> Index<'a> {
    /// Builds the index of a view.
    pub fn open(view: &'a View) -> Self {
        let names = view.models.iter().enumerate();
        let model_indices: HashMap<&str, usize> = names
            .map(|(model_index, model)| (&*model.name, model_index))
            .collect();
        let mut index = Self {
            view,
            replicas: vec![Vec::new(); view.models.len()],
            idle_by_free_mib: BTreeSet::new(),
            max_free_mib: BTreeMap::new(),
            host_load: vec![0; view.hosts.len()],
            busy: HashSet::new(),
            eviction_candidates: Vec::new(),
            slots: 0,
        };
        for (host_index, host) in view.hosts.iter().enumerate() {
            if host.open {
                index.add_host(host_index, host, &model_indices);
            }
        }
        let open = view.hosts.iter().filter(|host| host.open);
        index.slots = open.clone().map(|host| u64::from(host.slots)).sum::<u64>();
        index.slots /= (open.count() as u64).max(1);
        index.distribute_demand();
        index
    }

    /// Returns the replicas of a model on open endpoints, including those about to be loaded.
    pub fn replicas(&self, model: usize) -> &[Replica] {
        &self.replicas[model]
    }

    /// Returns the number of replicas of a model.
    pub fn replica_count(&self, model: usize) -> usize {
        self.replicas[model].len()
    }

    /// Returns the number of replicas of a model in a zone.
    pub fn replica_count_in(&self, model: usize, zone: &str) -> usize {
        let replicas = self.replicas[model].iter();
        let inside = replicas.filter(|replica| &*self.view.hosts[replica.host].zone == zone);
        inside.count()
    }

    /// Returns the number of zones with an open endpoint.
    pub fn zones(&self) -> usize {
        self.max_free_mib.len()
    }

    /// Returns whether a model is in fewer zones than wanted.
    pub fn lacks_zone(&self, model: usize) -> bool {
        let replicas = self.replicas[model].iter();
        let zones: BTreeSet<&str> = replicas
            .map(|replica| &*self.view.hosts[replica.host].zone)
            .collect();
        zones.len() < super::placement::ZONES_WANTED.min(self.zones())
    }

    /// Returns whether a model has fewer replicas or zones than wanted.
    pub fn is_short(&self, model: usize) -> bool {
        let wanted = wanted(&self.view.models[model], self.zones());
        self.replica_count(model) < wanted || self.lacks_zone(model)
    }

    /// Returns for each model whether it has fewer replicas or zones than wanted.
    pub fn short(&self) -> Vec<bool> {
        let models = 0..self.view.models.len();
        models.map(|model| self.is_short(model)).collect()
    }

    /// Returns the zones with an endpoint that has enough free memory, or all open zones if there is none.
    pub fn zones_for(&self, memory_mib: u64) -> Vec<Name> {
        let roomy = self
            .max_free_mib
            .iter()
            .filter(|(_, free)| **free >= memory_mib);
        let zones: Vec<Name> = roomy.map(|(zone, _)| zone.clone()).collect();
        if zones.is_empty() {
            return self.max_free_mib.keys().cloned().collect();
        }
        zones
    }

    /// Returns whether an endpoint can be given an order.
    pub fn is_idle(&self, host: usize) -> bool {
        let state = &self.view.hosts[host];
        let free = state.ledger.pending.is_none() && !self.busy.contains(&host);
        state.local && state.open && free
    }

    /// Returns the number of endpoints that can be given an order.
    pub fn idle_hosts(&self) -> usize {
        self.idle_by_free_mib.len()
    }

    /// Returns the average number of slots per open endpoint.
    pub fn slots(&self) -> u64 {
        self.slots
    }

    /// Returns the endpoint on which to load one more replica of a model.
    pub fn best_host(&self, model: usize, strategy: Strategy) -> Option<usize> {
        let memory = self.view.models[model].memory_mib;
        let roomy = self.idle_by_free_mib.range((memory, 0)..).rev();
        let mut suitable = roomy.map(|&(_, host)| host).filter(|host| {
            !self.replicas[model]
                .iter()
                .any(|replica| replica.host == *host)
        });
        match strategy {
            Strategy::FirstFit => suitable.min(),
            Strategy::Forecast => suitable
                .by_ref()
                .take(BEST_HOST_CANDIDATES)
                .min_by_key(|&host| self.host_load[host]),
        }
    }

    /// Returns the replicas on idle endpoints that may be evicted, least needed first.
    pub fn eviction_candidates(&self) -> &[Replica] {
        &self.eviction_candidates
    }

    /// Returns whether a model fits on an endpoint once the replica there is gone.
    pub fn fits_after_evicting(&self, model: usize, replica: &Replica) -> bool {
        let host = &self.view.hosts[replica.host];
        let name = &self.view.models[replica.model].name;
        let resident = host.ledger.resident.iter();
        let freed: u64 = resident
            .filter(|holding| holding.model == *name)
            .map(|holding| holding.memory_mib)
            .sum();
        let free = free_mib(host) + freed;
        let holds = self.replicas[model]
            .iter()
            .any(|other| other.host == replica.host);
        self.is_idle(replica.host) && !holds && free >= self.view.models[model].memory_mib
    }

    /// Returns the replicas on idle endpoints with an older version than the model's.
    pub fn outdated(&self) -> Vec<Replica> {
        let replicas = self.replicas.iter().flatten();
        let old =
            replicas.filter(|replica| replica.version < self.view.models[replica.model].version);
        old.filter(|replica| self.is_idle(replica.host))
            .cloned()
            .collect()
    }

    /// Marks an endpoint as busy for the rest of the decision.
    pub fn mark_busy(&mut self, host: usize) {
        self.busy.insert(host);
        self.idle_by_free_mib
            .remove(&(free_mib(&self.view.hosts[host]), host));
    }

    /// Adds a replica that is about to be loaded.
    pub fn add_planned(&mut self, host: usize, model: usize) {
        let state = &self.view.models[model];
        self.host_load[host] += state.need / (self.replica_count(model) as u64 + 1);
        self.replicas[model].push(Replica {
            host,
            model,
            version: state.version,
            ready: false,
            settled: false,
        });
    }

    fn add_host(
        &mut self,
        host_index: usize,
        host: &'a Host,
        model_indices: &HashMap<&str, usize>,
    ) {
        let room = self.max_free_mib.entry(host.zone.clone()).or_insert(0);
        *room = free_mib(host).max(*room);
        if self.is_idle(host_index) {
            self.idle_by_free_mib.insert((free_mib(host), host_index));
        }
        let pending = host.ledger.pending.as_ref().map(|order| &order.change);
        let loading = match pending {
            Some(Change::Load(holding)) => Some(holding),
            _ => None,
        };
        for holding in host.ledger.resident.iter().chain(loading) {
            let Some(&model) = model_indices.get(&*holding.model) else {
                continue;
            };
            let stuck = host.stuck.contains(&holding.model);
            if stuck || !stays(host, holding, pending) {
                continue;
            }
            self.add_replica(host_index, host, model, holding.version);
        }
    }

    fn add_replica(&mut self, host_index: usize, host: &Host, model: usize, version: u64) {
        let name = &self.view.models[model].name;
        let ready = host.ready.iter().any(|(ready, _)| ready == name);
        let mut recent = host.ledger.recent.iter();
        let settled = !recent.any(|recent| recent.holding.model == *name);
        if let Some(replica) = self.replicas[model]
            .last_mut()
            .filter(|replica| replica.host == host_index)
        {
            replica.version = replica.version.min(version);
            return;
        }
        self.replicas[model].push(Replica {
            host: host_index,
            model,
            version,
            ready,
            settled,
        });
    }

    /// Divides the demand of each model among its replicas and sorts the eviction candidates.
    fn distribute_demand(&mut self) {
        let mut eviction_candidates = Vec::new();
        for replicas in &self.replicas {
            for replica in replicas {
                let need = self.view.models[replica.model].need;
                self.host_load[replica.host] += need / replicas.len() as u64;
                if replicas.len() > 1
                    && replica.ready
                    && replica.settled
                    && self.is_idle(replica.host)
                {
                    let count = replicas.len() as u64;
                    eviction_candidates.push((
                        need / (count * (count - 1)),
                        Reverse(count),
                        replica.clone(),
                    ));
                }
            }
        }
        eviction_candidates
            .sort_by_key(|(loss, count, replica)| (*loss, *count, replica.model, replica.host));
        self.eviction_candidates = eviction_candidates
            .into_iter()
            .map(|(_, _, replica)| replica)
            .collect();
    }
}

/// Returns whether a model version stays on its endpoint after the order in flight.
fn stays(host: &Host, holding: &Holding, pending: Option<&Change>) -> bool {
    let Some(Change::Unload { model, version }) = pending else {
        return true;
    };
    let mut resident = host.ledger.resident.iter();
    let later = resident.any(|other| other.model == *model && other.version > *version);
    holding.model != *model || later
}

/// Returns the memory that is guaranteed to be free, in MiB.
fn free_mib(host: &Host) -> u64 {
    host.capacity_mib.saturating_sub(host.ledger.reserved_mib())
}
