//! Index of the replicas of all models on all endpoints, for one placement decision.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use super::ledger::{Change, Holding};
use super::placement::{Host, Strategy, View, wanted};
use crate::state::record::Name;

/// Number of hosts with most free memory among which the least loaded is chosen.
const CHOICES: usize = 8;

/// A replica of a model on an endpoint that may get work.
#[derive(Debug, Clone)]
pub struct Site {
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
pub struct Survey<'a> {
    view: &'a View,
    sites: Vec<Vec<Site>>,
    free: BTreeSet<(u64, usize)>,
    room: BTreeMap<Name, u64>,
    burden: Vec<u64>,
    occupied: HashSet<usize>,
    victims: Vec<Site>,
    slots: u64,
}

impl<'a> Survey<'a> {
    /// Builds the index of a view.
    pub fn open(view: &'a View) -> Self {
        let names = view.models.iter().enumerate();
        let index: HashMap<&str, usize> = names.map(|(at, model)| (&*model.name, at)).collect();
        let mut survey = Self {
            view,
            sites: vec![Vec::new(); view.models.len()],
            free: BTreeSet::new(),
            room: BTreeMap::new(),
            burden: vec![0; view.hosts.len()],
            occupied: HashSet::new(),
            victims: Vec::new(),
            slots: 0,
        };
        for (at, host) in view.hosts.iter().enumerate() {
            if host.open {
                survey.add_host(at, host, &index);
            }
        }
        let open = view.hosts.iter().filter(|host| host.open);
        survey.slots = open.clone().map(|host| u64::from(host.slots)).sum::<u64>();
        survey.slots /= (open.count() as u64).max(1);
        survey.weigh();
        survey
    }

    /// Returns the replicas of a model on open endpoints, including those about to be loaded.
    pub fn sites(&self, model: usize) -> &[Site] {
        &self.sites[model]
    }

    /// Returns the number of replicas of a model.
    pub fn copies(&self, model: usize) -> usize {
        self.sites[model].len()
    }

    /// Returns the number of replicas of a model in a zone.
    pub fn copies_in(&self, model: usize, zone: &str) -> usize {
        let sites = self.sites[model].iter();
        let inside = sites.filter(|site| &*self.view.hosts[site.host].zone == zone);
        inside.count()
    }

    /// Returns the number of zones with an open endpoint.
    pub fn zones(&self) -> usize {
        self.room.len()
    }

    /// Returns whether a model is in fewer zones than wanted.
    pub fn lacks_zone(&self, model: usize) -> bool {
        let sites = self.sites[model].iter();
        let zones: BTreeSet<&str> = sites
            .map(|site| &*self.view.hosts[site.host].zone)
            .collect();
        zones.len() < super::placement::ZONES_WANTED.min(self.zones())
    }

    /// Returns whether a model has fewer replicas or zones than wanted.
    pub fn is_short(&self, model: usize) -> bool {
        let wanted = wanted(&self.view.models[model], self.zones());
        self.copies(model) < wanted || self.lacks_zone(model)
    }

    /// Returns for each model whether it has fewer replicas or zones than wanted.
    pub fn short(&self) -> Vec<bool> {
        let models = 0..self.view.models.len();
        models.map(|model| self.is_short(model)).collect()
    }

    /// Returns the zones with an endpoint that has enough free memory, or all open zones if there is none.
    pub fn zones_for(&self, memory_mib: u64) -> Vec<Name> {
        let roomy = self.room.iter().filter(|(_, free)| **free >= memory_mib);
        let zones: Vec<Name> = roomy.map(|(zone, _)| zone.clone()).collect();
        if zones.is_empty() {
            return self.room.keys().cloned().collect();
        }
        zones
    }

    /// Returns whether an endpoint can be given an order.
    pub fn is_idle(&self, host: usize) -> bool {
        let state = &self.view.hosts[host];
        let free = state.ledger.pending.is_none() && !self.occupied.contains(&host);
        state.local && state.open && free
    }

    /// Returns the number of endpoints that can be given an order.
    pub fn idle_hosts(&self) -> usize {
        self.free.len()
    }

    /// Returns the average number of slots per open endpoint.
    pub fn slots(&self) -> u64 {
        self.slots
    }

    /// Returns the endpoint on which to load one more replica of a model.
    pub fn best_host(&self, model: usize, strategy: Strategy) -> Option<usize> {
        let memory = self.view.models[model].memory_mib;
        let roomy = self.free.range((memory, 0)..).rev();
        let mut suitable = roomy
            .map(|&(_, host)| host)
            .filter(|host| !self.sites[model].iter().any(|site| site.host == *host));
        match strategy {
            Strategy::FirstFit => suitable.min(),
            Strategy::Forecast => suitable
                .by_ref()
                .take(CHOICES)
                .min_by_key(|&host| self.burden[host]),
        }
    }

    /// Returns the replicas on idle endpoints that may be evicted, least needed first.
    pub fn victims(&self) -> &[Site] {
        &self.victims
    }

    /// Returns whether a model fits on an endpoint once the replica there is gone.
    pub fn fits_without(&self, model: usize, site: &Site) -> bool {
        let host = &self.view.hosts[site.host];
        let name = &self.view.models[site.model].name;
        let resident = host.ledger.resident.iter();
        let freed: u64 = resident
            .filter(|holding| holding.model == *name)
            .map(|holding| holding.memory_mib)
            .sum();
        let free = free(host) + freed;
        let holds = self.sites[model]
            .iter()
            .any(|other| other.host == site.host);
        self.is_idle(site.host) && !holds && free >= self.view.models[model].memory_mib
    }

    /// Returns the replicas on idle endpoints with an older version than the model's.
    pub fn outdated(&self) -> Vec<Site> {
        let sites = self.sites.iter().flatten();
        let old = sites.filter(|site| site.version < self.view.models[site.model].version);
        old.filter(|site| self.is_idle(site.host))
            .cloned()
            .collect()
    }

    /// Marks an endpoint as busy for the rest of the decision.
    pub fn occupy(&mut self, host: usize) {
        self.occupied.insert(host);
        self.free.remove(&(free(&self.view.hosts[host]), host));
    }

    /// Adds a replica that is about to be loaded.
    pub fn placed(&mut self, host: usize, model: usize) {
        let state = &self.view.models[model];
        self.burden[host] += state.need / (self.copies(model) as u64 + 1);
        self.sites[model].push(Site {
            host,
            model,
            version: state.version,
            ready: false,
            settled: false,
        });
    }

    fn add_host(&mut self, at: usize, host: &'a Host, index: &HashMap<&str, usize>) {
        let room = self.room.entry(host.zone.clone()).or_insert(0);
        *room = free(host).max(*room);
        if self.is_idle(at) {
            self.free.insert((free(host), at));
        }
        let pending = host.ledger.pending.as_ref().map(|order| &order.change);
        let loading = match pending {
            Some(Change::Load(holding)) => Some(holding),
            _ => None,
        };
        for holding in host.ledger.resident.iter().chain(loading) {
            let Some(&model) = index.get(&*holding.model) else {
                continue;
            };
            let stuck = host.stuck.contains(&holding.model);
            if stuck || !stays(host, holding, pending) {
                continue;
            }
            self.add_site(at, host, model, holding.version);
        }
    }

    fn add_site(&mut self, at: usize, host: &Host, model: usize, version: u64) {
        let name = &self.view.models[model].name;
        let ready = host.ready.iter().any(|(ready, _)| ready == name);
        let mut recent = host.ledger.recent.iter();
        let settled = !recent.any(|recent| recent.holding.model == *name);
        if let Some(site) = self.sites[model].last_mut().filter(|site| site.host == at) {
            site.version = site.version.min(version);
            return;
        }
        self.sites[model].push(Site {
            host: at,
            model,
            version,
            ready,
            settled,
        });
    }

    /// Divides the demand of each model among its replicas and sorts the eviction candidates.
    fn weigh(&mut self) {
        let mut victims = Vec::new();
        for sites in &self.sites {
            for site in sites {
                let need = self.view.models[site.model].need;
                self.burden[site.host] += need / sites.len() as u64;
                if sites.len() > 1 && site.ready && site.settled && self.is_idle(site.host) {
                    let copies = sites.len() as u64;
                    victims.push((
                        need / (copies * (copies - 1)),
                        Reverse(copies),
                        site.clone(),
                    ));
                }
            }
        }
        victims.sort_by_key(|(loss, copies, site)| (*loss, *copies, site.model, site.host));
        self.victims = victims.into_iter().map(|(_, _, site)| site).collect();
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
fn free(host: &Host) -> u64 {
    host.capacity_mib.saturating_sub(host.ledger.reserved_mib())
}
