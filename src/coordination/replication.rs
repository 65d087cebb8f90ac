//! Placement of models and adapters on engines: which model to load or evict next, and where to load an adapter.
//!
//! Every model keeps at least one copy; busy models get copies in proportion to their load, spread over zones. Each
//! step changes one engine, and only an engine with no order in progress.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::state::record::Name;

/// Load per copy, as a share of an engine's time, above which a model needs another copy.
pub const MAX_LOAD_PER_COPY: f64 = 0.12;

/// Load per copy up to which a model may lose copies; the gap above [`MAX_LOAD_PER_COPY`] prevents flapping.
const SCALE_DOWN_LOAD: f64 = 0.2;

/// Load from which a model has two copies, so that the loss of one causes no outage.
const REDUNDANCY_LOAD: f64 = 0.08;

/// Copies that every model should have unless a busier model needs the memory.
const SPARE_COPIES: usize = 2;

/// Adapters that a model's copies together should be able to hold, per adapter in use.
const CAPACITY_PER_ADAPTER: f64 = 1.15;

/// A copy may be evicted if the load per remaining copy is below this share of the load per copy of its replacement.
const EVICTION_LOAD_SHARE: f64 = 0.6;

/// Time since the last use after which the only copy of an adapter may be evicted.
const ADAPTER_MIN_IDLE: Duration = Duration::from_millis(700);

/// Time for which most requests use their adapter; an adapter that is unloaded earlier takes up capacity until then.
const ADAPTER_USE_TIME: Duration = Duration::from_millis(2500);

/// State of an engine.
#[derive(Debug, Clone, Default)]
pub struct Engine {
    /// Identifier of the engine's process.
    pub id: Name,
    /// Availability zone.
    pub zone: Name,
    /// Memory for weights and adapters, in MB.
    pub megabytes: f64,
    /// Number of adapters it can hold.
    pub max_adapters: usize,
    /// Resident models with their adapters and the time of each adapter's last request.
    pub models: BTreeMap<Name, BTreeMap<Name, Duration>>,
    /// Recently loaded models; they are evicted only for a model without a copy.
    pub recent: BTreeSet<Name>,
    /// Models whose weights are cached in its own memory or on its disk.
    pub cached: BTreeSet<Name>,
    /// Whether it cannot accept an order yet.
    pub busy: bool,
    /// Whether requests can be sent to it.
    pub usable: bool,
}

/// Memory and demand of a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Model {
    /// Memory of the weights, in MB.
    pub megabytes: f64,
    /// Memory of one adapter, in MB.
    pub adapter_megabytes: f64,
    /// Total load of its requests, as a share of one engine's time.
    pub load: f64,
    /// Number of adapters that recent requests used.
    pub adapters: usize,
}

/// A change on one engine: the models to unload and the one to load in their place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Identifier of the engine.
    pub engine: Name,
    /// Models to unload first.
    pub unload: Vec<Name>,
    /// Model to load.
    pub load: Name,
    /// Whether the weights are read from the weight store.
    pub from_store: bool,
}

/// State of all engines and models, with the loads in progress.
#[derive(Debug, Clone, Default)]
pub struct Planner {
    /// Engines.
    pub engines: Vec<Engine>,
    /// Models by name.
    pub models: HashMap<Name, Model>,
    /// Loads in progress: engine and model.
    pub loading: Vec<(Name, Name)>,
}

impl Planner {
    /// Number of usable copies of a model, including those being loaded.
    pub fn copies(&self, model: &str) -> usize {
        let held = self.engines.iter().filter(|engine| engine.usable);
        let held = held.filter(|engine| engine.models.contains_key(model));
        let loading = self.loading.iter().filter(|(_, name)| &**name == model);
        held.count() + loading.count()
    }

    /// Number of copies that a model should have.
    pub fn target_copies(&self, model: &str) -> usize {
        self.copies_for_load(model, MAX_LOAD_PER_COPY)
    }

    fn copies_for_load(&self, name: &str, load_per_copy: f64) -> usize {
        let Some(model) = self.models.get(name) else {
            return 0;
        };
        let usable = || self.engines.iter().filter(|engine| engine.usable);
        let by_load = (model.load / load_per_copy).ceil() as usize;
        let max_adapters = usable()
            .map(|engine| engine.max_adapters)
            .max()
            .unwrap_or(0)
            .max(1);
        let by_adapters =
            (model.adapters as f64 * CAPACITY_PER_ADAPTER / max_adapters as f64).ceil() as usize;
        let min_copies = if model.load >= REDUNDANCY_LOAD { 2 } else { 1 };
        let copies = by_load.max(by_adapters).max(min_copies);
        copies.min(usable().count().max(1))
    }

    /// The next step, or `None` if none is needed or possible now. `store` is whether loads from the weight store may
    /// start, `spare` whether nothing else is being loaded from it, so that spare copies may be.
    ///
    /// ```
    /// use persimmoncroft::coordination::replication::{Engine, Model, Planner};
    /// let engine = Engine { id: "e".into(), megabytes: 80.0, usable: true, ..Engine::default() };
    /// let model = Model { megabytes: 40.0, adapter_megabytes: 1.0, load: 0.0, adapters: 0 };
    /// let planner = Planner { engines: vec![engine], models: [("m".into(), model)].into(), ..Planner::default() };
    /// assert!(planner.step(false, false).is_none());
    /// let step = planner.step(true, true).unwrap();
    /// assert_eq!((&*step.load, step.unload.len(), step.from_store), ("m", 0, true));
    /// ```
    pub fn step(&self, store: bool, spare: bool) -> Option<Step> {
        let mut under_replicated: Vec<(&Name, f64)> = self
            .models
            .iter()
            .filter_map(|(name, model)| {
                let copies = self.copies(name);
                let urgency = match copies {
                    0 => f64::MAX,
                    _ => model.load / copies as f64,
                };
                (copies < self.target_copies(name)).then_some((name, urgency))
            })
            .collect();
        under_replicated.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(b.0)));
        let needed = under_replicated
            .iter()
            .find_map(|(name, _)| self.place_copy(name, store, true));
        needed.or_else(|| self.spare_step(store && spare))
    }

    /// Adds a spare copy of a model with few copies in place of copies that are not needed: the demand of an idle model
    /// may rise without notice.
    fn spare_step(&self, store: bool) -> Option<Step> {
        let few_copies = self
            .models
            .iter()
            .filter(|(name, _)| self.copies(name) < SPARE_COPIES);
        let mut few_copies: Vec<(&Name, f64)> =
            few_copies.map(|(name, model)| (name, model.load)).collect();
        few_copies.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(b.0)));
        few_copies
            .iter()
            .find_map(|(name, _)| self.place_copy(name, store, false))
    }

    fn place_copy(&self, name: &Name, store: bool, needed: bool) -> Option<Step> {
        let model = self.models.get(name)?;
        let eligible = self.engines.iter().filter(|engine| {
            engine.usable
                && !engine.busy
                && !engine.models.contains_key(name)
                && engine.megabytes >= model.megabytes
                && (store || engine.cached.contains(name))
        });
        let candidates = eligible.filter_map(|engine| {
            let victims = self.evictions(engine, name, model, needed)?;
            Some((engine, victims))
        });
        let key = |engine: &Engine, victims: &Vec<Name>| {
            (
                self.zone_copies(name, &engine.zone),
                !engine.cached.contains(name),
                victims.len(),
            )
        };
        let best = candidates.min_by(|(one, a), (other, b)| {
            key(one, a)
                .cmp(&key(other, b))
                .then_with(|| self.engine_load(one).total_cmp(&self.engine_load(other)))
                .then_with(|| one.id.cmp(&other.id))
        });
        best.map(|(engine, unload)| Step {
            engine: engine.id.clone(),
            unload,
            load: name.clone(),
            from_store: !engine.cached.contains(name),
        })
    }

    /// Models to evict from an engine for another, least loaded first; `None` if that would not free enough memory.
    fn evictions(
        &self,
        engine: &Engine,
        name: &Name,
        model: &Model,
        needed: bool,
    ) -> Option<Vec<Name>> {
        let mut free = self.free_megabytes(engine);
        if free >= model.megabytes {
            return Some(Vec::new());
        }
        let load_per_copy_after = model.load / (self.copies(name) + 1) as f64;
        let has_no_copy = self.copies(name) == 0;
        let mut victims: Vec<(&Name, f64)> = engine
            .models
            .keys()
            .filter_map(|held| {
                let Some(victim) = self.models.get(held) else {
                    return Some((held, 0.0));
                };
                let copies = self.copies(held);
                let remaining_load = victim.load / copies.saturating_sub(1).max(1) as f64;
                let movable = has_no_copy || !engine.recent.contains(held);
                let kept = self.copies_for_load(held, SCALE_DOWN_LOAD);
                // Without this margin, the evicted model would be moved back at once.
                let improves = remaining_load < load_per_copy_after * EVICTION_LOAD_SHARE;
                let may_be_evicted = match needed {
                    true => has_no_copy || (improves && copies > kept.min(SPARE_COPIES)),
                    false => copies > self.target_copies(held).max(SPARE_COPIES) + 1,
                };
                (copies >= 2 && movable && may_be_evicted).then_some((held, remaining_load))
            })
            .collect();
        victims.sort_by(|a, b| a.1.total_cmp(&b.1));
        let mut chosen = Vec::new();
        for (victim, _) in victims {
            free += self.model_megabytes(engine, victim);
            chosen.push(victim.clone());
            if free >= model.megabytes {
                return Some(chosen);
            }
        }
        None
    }

    fn model_megabytes(&self, engine: &Engine, name: &str) -> f64 {
        let adapters = engine.models.get(name).map_or(0, BTreeMap::len);
        self.models.get(name).map_or(0.0, |model| {
            model.megabytes + adapters as f64 * model.adapter_megabytes
        })
    }

    fn free_megabytes(&self, engine: &Engine) -> f64 {
        let held: f64 = engine
            .models
            .keys()
            .map(|m| self.model_megabytes(engine, m))
            .sum();
        // Memory is reserved for the adapters that may still be loaded, as requests may need them soon.
        let adapters: usize = engine.models.values().map(BTreeMap::len).sum();
        let largest = self.models.values().map(|model| model.adapter_megabytes);
        let reserved =
            largest.fold(0.0, f64::max) * engine.max_adapters.saturating_sub(adapters) as f64;
        engine.megabytes - held - reserved
    }

    /// Load of an engine: the sum of the load per copy of its models.
    fn engine_load(&self, engine: &Engine) -> f64 {
        let per_copy = |name: &Name| {
            let load = self.models.get(name).map_or(0.0, |model| model.load);
            load / self.copies(name).max(1) as f64
        };
        engine.models.keys().map(per_copy).sum()
    }

    fn zone_copies(&self, model: &Name, zone: &str) -> usize {
        let in_zone = self.engines.iter().filter(|engine| &*engine.zone == zone);
        in_zone
            .filter(|engine| {
                let loading = (engine.id.clone(), model.clone());
                engine.models.contains_key(model) || self.loading.contains(&loading)
            })
            .count()
    }
}

/// Placement of an adapter on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Identifier of the engine.
    pub engine: Name,
    /// Model and name of the adapter to unload first.
    pub evicted: Option<(Name, Name)>,
}

/// Number of engines that hold an adapter.
pub fn adapter_copies(engines: &[Engine], model: &str, adapter: &str) -> usize {
    let holds = |engine: &&Engine| {
        let adapters = engine.models.get(model);
        adapters.is_some_and(|adapters| adapters.contains_key(adapter))
    };
    engines.iter().filter(holds).count()
}

/// Chooses an engine for an adapter, in `zone` if possible: one that can hold another, else one with an adapter to
/// evict. Adapters that no request uses any more are evicted first, then those with another copy, then the least
/// recently used.
///
/// Skips engines that are unusable, hold the adapter already, lack the model or have an order in progress.
pub fn place_adapter(
    engines: &[Engine],
    model: &str,
    adapter: &str,
    zone: &str,
    now: Duration,
) -> Option<Placement> {
    let eligible = engines.iter().filter(|engine| {
        engine.usable
            && !engine.busy
            && engine
                .models
                .get(model)
                .is_some_and(|adapters| !adapters.contains_key(adapter))
    });
    let candidates = eligible.filter_map(|engine| {
        let held: usize = engine.models.values().map(BTreeMap::len).sum();
        if held < engine.max_adapters {
            return Some((engine, held, false, None));
        }
        let resident = engine.models.iter().flat_map(|(model, adapters)| {
            let with_model = move |(adapter, last_used)| (model, adapter, last_used);
            adapters.iter().map(with_model)
        });
        let eviction_order = |(model, adapter, last_used): &(&Name, &Name, &Duration)| {
            let in_use = **last_used + ADAPTER_USE_TIME > now;
            (
                in_use,
                adapter_copies(engines, model, adapter) < 2,
                **last_used,
            )
        };
        let (model, adapter, last_used) = resident.min_by_key(eviction_order)?;
        let may_be_evicted =
            *last_used + ADAPTER_MIN_IDLE <= now || adapter_copies(engines, model, adapter) > 1;
        let in_use = *last_used + ADAPTER_USE_TIME > now;
        may_be_evicted.then(|| (engine, held, in_use, Some((model.clone(), adapter.clone()))))
    });
    let best = candidates.min_by_key(|(engine, held, in_use, evicted)| {
        (
            *in_use,
            &*engine.zone != zone,
            evicted.is_some(),
            *held,
            engine.id.clone(),
        )
    });
    best.map(|(engine, _, _, evicted)| Placement {
        engine: engine.id.clone(),
        evicted,
    })
}
