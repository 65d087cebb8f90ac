//! Placement of models on the endpoints of one zone.
//!
//! The planner is greedy and near-linear: first models without a replica, then new versions, then second zones, then
//! demand. An endpoint gets one order at a time, so an unload and the load that it makes room for are two decisions.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::index::{Index, Replica};
use super::ledger::{Change, Holding, Ledger};
use crate::state::record::Name;

/// Number of zones in which each model is placed, as far as memory allows.
pub const ZONES_WANTED: usize = 2;

/// Time after which the next zone in a model's order may place it, if the zones before have not.
pub const ZONE_TURN: Duration = Duration::from_secs(10);

/// Factor by which the gain of a move must exceed the loss of the model that is evicted.
const HYSTERESIS_FACTOR: u64 = 2;

/// Time in which a move must pay for its load.
const PAYBACK_SECONDS: u64 = 600;

/// Demand per replica, as a divisor of an endpoint's slots, up to which a model gets no further replica.
const DEMAND_DIVISOR: u64 = 4;

/// Number of eviction candidates considered, least needed first.
const MAX_EVICTION_CANDIDATES: usize = 64;

/// Millislots per slot.
pub const MILLISLOTS_PER_SLOT: u64 = 1000;

/// A model, as input to the planner.
#[derive(Debug, Clone)]
pub struct Model {
    /// Unique name.
    pub name: Name,
    /// Target version.
    pub version: u64,
    /// Memory of one replica, in MiB.
    pub memory_mib: u64,
    /// Minimum number of ready replicas.
    pub min_replicas: u32,
    /// Forecast of concurrent requests, in thousandths.
    pub need: u64,
    /// For how long it has had fewer replicas than wanted.
    pub short_for: Duration,
}

/// A model engine, as input to the planner.
#[derive(Debug, Clone)]
pub struct Host {
    /// Unique name of the endpoint.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Whether this planner gives it orders.
    pub local: bool,
    /// Whether it reports and may get new work.
    pub open: bool,
    /// Memory for models, in MiB.
    pub capacity_mib: u64,
    /// Maximum concurrent requests.
    pub slots: u32,
    /// Memory ledger.
    pub ledger: Ledger,
    /// Models and versions that are ready to serve.
    pub ready: Vec<(Name, u64)>,
    /// Models in memory that have long not become ready, although no order is loading them.
    pub stuck: Vec<Name>,
}

/// Placement strategy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// Spreads load over endpoints by forecast.
    Forecast,
    /// First endpoint that fits, ignoring demand.
    FirstFit,
}

/// All inputs of one decision.
#[derive(Debug, Clone)]
pub struct View {
    /// Zone of the planner.
    pub zone: Name,
    /// All configured models.
    pub models: Vec<Model>,
    /// All engines of the fleet.
    pub hosts: Vec<Host>,
    /// Number of loads that may start now.
    pub loads: usize,
    /// Duration of one load.
    pub load_seconds: u64,
    /// Placement strategy.
    pub strategy: Strategy,
}

/// Reason of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The model has no replica.
    Missing,
    /// The model has a new version.
    Version,
    /// The model is in too few zones or has too few replicas.
    Spread,
    /// The forecast demand needs another replica.
    Demand,
    /// The memory is needed for another model.
    Room,
    /// The model is no longer configured.
    Withdrawn,
    /// The replica does not become ready.
    Stuck,
}

impl Reason {
    /// Returns the reason's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Version => "version",
            Self::Spread => "spread",
            Self::Demand => "demand",
            Self::Room => "room",
            Self::Withdrawn => "withdrawn",
            Self::Stuck => "stuck",
        }
    }
}

/// An order to be given to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// The change to make.
    pub change: Change,
    /// Reason of the move.
    pub reason: Reason,
    /// Endpoint whose replica serves meanwhile; the move is valid only if its ledger has not changed.
    pub remaining_replica: Option<Name>,
    /// Number of endpoints considered.
    pub candidates: usize,
}

/// Returns the moves to make next.
///
/// ```
/// use persimmoncroft::coordination::placement::{Strategy, View, decide};
/// let view = View {
///     zone: "a".into(), models: Vec::new(), hosts: Vec::new(), loads: 2, load_seconds: 2,
///     strategy: Strategy::Forecast,
/// };
/// assert!(decide(&view).is_empty());
/// ```
pub fn decide(view: &View) -> Vec<Move> {
    let mut planner = Planner::open(view);
    planner.unload_unwanted();
    planner.add_replicas(Reason::Missing);
    planner.update_versions();
    planner.add_replicas(Reason::Spread);
    if view.strategy == Strategy::Forecast {
        planner.scale_up();
    }
    planner.moves
}

/// Returns the least number of replicas that a model should have, given the number of open zones.
pub fn wanted(model: &Model, zones: usize) -> usize {
    let replicas = model.min_replicas.max(1) as usize;
    replicas.max(ZONES_WANTED.min(zones))
}

struct Planner<'a> {
    view: &'a View,
    index: Index<'a>,
    loads_left: usize,
    evictions_left: usize,
    moves: Vec<Move>,
    evicted_models: HashSet<usize>,
}

impl<'a> Planner<'a> {
    fn open(view: &'a View) -> Self {
        Self {
            view,
            index: Index::open(view),
            loads_left: view.loads,
            evictions_left: view.loads,
            moves: Vec::new(),
            evicted_models: HashSet::new(),
        }
    }

    /// Unloads models that are not configured or that do not become ready.
    fn unload_unwanted(&mut self) {
        let known: HashMap<&str, ()> = self.view.models.iter().map(|m| (&*m.name, ())).collect();
        for index in 0..self.view.hosts.len() {
            let host = &self.view.hosts[index];
            if !self.index.is_idle(index) {
                continue;
            }
            let mut resident = host.ledger.resident.iter();
            let unknown = |holding: &Holding| !known.contains_key(&*holding.model);
            let stuck = |holding: &Holding| host.stuck.contains(&holding.model);
            let Some(gone) = resident.find(|held| unknown(held) || stuck(held)) else {
                continue;
            };
            let reason = match unknown(gone) {
                true => Reason::Withdrawn,
                false => Reason::Stuck,
            };
            self.unload(index, gone, reason, None);
        }
    }

    /// Loads models with no or too few replicas; the largest first, as they are the hardest to fit.
    fn add_replicas(&mut self, reason: Reason) {
        let mut order: Vec<usize> = (0..self.view.models.len()).collect();
        order.sort_by_key(|&model| std::cmp::Reverse(self.view.models[model].memory_mib));
        for model in order {
            let replicas = self.index.replica_count(model);
            let lacking = match reason {
                Reason::Missing => replicas == 0,
                _ => replicas > 0 && self.index.is_short(model),
            };
            if lacking && self.is_our_turn(model, reason) {
                self.load_or_make_room(model, reason);
            }
        }
    }

    /// Returns whether this zone may place a replica. Zones take turns, in an order that depends on the model.
    fn is_our_turn(&self, model: usize, reason: Reason) -> bool {
        let wanted = &self.view.models[model];
        let mut zones = self.index.zones_for(wanted.memory_mib);
        let replicas = |zone: &str| self.index.replica_count_in(model, zone);
        if reason == Reason::Spread && self.index.lacks_zone(model) {
            zones.retain(|zone| replicas(zone) == 0);
        }
        zones.sort_by_key(|zone| {
            (
                replicas(zone),
                std::cmp::Reverse(zone_rank(zone, &wanted.name)),
            )
        });
        let turns = match reason {
            Reason::Demand => 1,
            _ => 1 + (wanted.short_for.as_secs() / ZONE_TURN.as_secs()) as usize,
        };
        let mut eligible = zones.iter().take(turns);
        eligible.any(|zone| *zone == self.view.zone)
    }

    /// Loads a model on the best endpoint of the zone, or makes room for it.
    fn load_or_make_room(&mut self, model: usize, reason: Reason) {
        let wanted = self.holding(model);
        match self.index.best_host(model, self.view.strategy) {
            Some(host) if self.loads_left > 0 => self.load(host, model, wanted, reason),
            Some(_) => {}
            None if self.view.strategy == Strategy::Forecast => self.make_room(model, reason),
            None => {}
        }
    }

    /// Evicts a replica that can be spared, so that a model fits in a later decision.
    fn make_room(&mut self, model: usize, reason: Reason) {
        if self.evictions_left == 0 {
            return;
        }
        let gain = match reason {
            Reason::Missing => u64::MAX,
            Reason::Spread => MILLISLOTS_PER_SLOT / 100,
            _ => self.gain(model),
        };
        let evicted = self
            .index
            .eviction_candidates()
            .iter()
            .take(MAX_EVICTION_CANDIDATES)
            .find(|replica| {
                let fits = self.index.fits_after_evicting(model, replica);
                let replicas = self.index.replica_count(replica.model);
                let spare = replicas > self.min_kept(replica.model, reason);
                let pays = gain > self.loss(replica.model).saturating_mul(HYSTERESIS_FACTOR);
                fits && spare
                    && pays
                    && replica.model != model
                    && !self.evicted_models.contains(&replica.model)
            });
        let Some(replica) = evicted.cloned() else {
            return;
        };
        let Some(remaining_replica) = self.find_remaining_replica(&replica) else {
            return;
        };
        let mut resident = self.view.hosts[replica.host].ledger.resident.iter();
        let name = &self.view.models[replica.model].name;
        let Some(holding) = resident.find(|holding| holding.model == *name) else {
            return;
        };
        self.evictions_left -= 1;
        self.unload(replica.host, holding, Reason::Room, Some(remaining_replica));
        self.evicted_models.insert(replica.model);
    }

    /// Number of replicas that a model keeps when another one needs the room.
    fn min_kept(&self, model: usize, reason: Reason) -> usize {
        match reason {
            Reason::Missing => 1,
            _ => wanted(&self.view.models[model], self.index.zones()),
        }
    }

    /// Loads new versions, beside the old version where memory allows.
    fn update_versions(&mut self) {
        for replica in self.index.outdated() {
            if !self.index.is_idle(replica.host) || self.evicted_models.contains(&replica.model) {
                continue;
            }
            let model = &self.view.models[replica.model];
            let host = &self.view.hosts[replica.host];
            let current = (model.name.clone(), model.version);
            let old = Holding {
                model: model.name.clone(),
                version: replica.version,
                memory_mib: 0,
            };
            if host.ready.contains(&current) {
                self.unload(replica.host, &old, Reason::Version, None);
                continue;
            }
            let wanted = self.holding(replica.model);
            if host.ledger.fits(&wanted, host.capacity_mib) {
                if self.loads_left > 0 {
                    self.load(replica.host, replica.model, wanted, Reason::Version);
                }
                continue;
            }
            if let Some(remaining_replica) = self.find_remaining_replica(&replica) {
                self.unload(replica.host, &old, Reason::Version, Some(remaining_replica));
                self.evicted_models.insert(replica.model);
            }
        }
    }

    /// Adds replicas where the forecast gain pays for the load.
    fn scale_up(&mut self) {
        let mut order: Vec<(u64, usize)> = (0..self.view.models.len())
            .filter(|&model| self.needs_scale_up(model))
            .map(|model| (self.gain(model), model))
            .collect();
        order.sort_by_key(|&(gain, model)| (std::cmp::Reverse(gain), model));
        for (_, model) in order {
            if self.is_our_turn(model, Reason::Demand) {
                self.load_or_make_room(model, Reason::Demand);
            }
        }
    }

    /// Returns whether demand needs another replica and the gain pays for the load.
    fn needs_scale_up(&self, model: usize) -> bool {
        let replicas = self.index.replica_count(model) as u64;
        let slots = self.index.slots() * MILLISLOTS_PER_SLOT;
        let need = self.view.models[model].need;
        let cost = slots * self.view.load_seconds / PAYBACK_SECONDS;
        replicas > 0 && need > replicas * slots / DEMAND_DIVISOR && self.gain(model) > cost
    }

    /// Decrease of the load per replica if one is added.
    fn gain(&self, model: usize) -> u64 {
        let replicas = self.index.replica_count(model) as u64;
        self.view.models[model].need / (replicas * (replicas + 1)).max(1)
    }

    /// Increase of the load per remaining replica if one is removed.
    fn loss(&self, model: usize) -> u64 {
        let replicas = self.index.replica_count(model) as u64;
        if replicas < 2 {
            return u64::MAX;
        }
        self.view.models[model].need / (replicas * (replicas - 1))
    }

    /// Finds another endpoint that has a ready replica of the same model and keeps it.
    fn find_remaining_replica(&self, replica: &Replica) -> Option<Name> {
        let name = &self.view.models[replica.model].name;
        let others = self.index.replicas(replica.model).iter();
        let ready = others.filter(|other| other.ready && other.host != replica.host);
        let mut staying = ready.filter(|other| {
            let host = &self.view.hosts[other.host];
            let pending = host.ledger.pending.as_ref();
            let unloads = pending.is_some_and(|order| removes(&order.change, name));
            host.open && !unloads
        });
        staying
            .next()
            .map(|other| self.view.hosts[other.host].name.clone())
    }

    fn holding(&self, model: usize) -> Holding {
        let model = &self.view.models[model];
        Holding {
            model: model.name.clone(),
            version: model.version,
            memory_mib: model.memory_mib,
        }
    }

    fn load(&mut self, host: usize, model: usize, holding: Holding, reason: Reason) {
        self.loads_left -= 1;
        self.index.add_planned(host, model);
        self.push(host, Change::Load(holding), reason, None);
    }

    fn unload(
        &mut self,
        host: usize,
        holding: &Holding,
        reason: Reason,
        remaining_replica: Option<Name>,
    ) {
        let change = Change::Unload {
            model: holding.model.clone(),
            version: holding.version,
        };
        self.push(host, change, reason, remaining_replica);
    }

    fn push(
        &mut self,
        host: usize,
        change: Change,
        reason: Reason,
        remaining_replica: Option<Name>,
    ) {
        let candidates = self.index.idle_hosts();
        self.index.mark_busy(host);
        self.moves.push(Move {
            endpoint: self.view.hosts[host].name.clone(),
            change,
            reason,
            remaining_replica,
            candidates,
        });
    }
}

/// Returns whether a change removes replicas of a model.
pub fn removes(change: &Change, model: &str) -> bool {
    matches!(change, Change::Unload { model: gone, .. } if &**gone == model)
}

fn zone_rank(zone: &str, model: &str) -> u64 {
    xxh3_64_with_seed(zone.as_bytes(), xxh3_64_with_seed(model.as_bytes(), 0))
}
