//! Counts and sums over a [`Planner`], computed once per step, since a step compares all models with all engines.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};

use super::{
    CAPACITY_PER_ADAPTER, EVICTION_LOAD_SHARE, Engine, MAX_LOAD_PER_COPY, Model, Planner,
    REDUNDANCY_LOAD, SCALE_DOWN_LOAD, SPARE_COPIES, Step,
};
use crate::state::record::Name;

/// A model with its copies; models are referred to by their position.
struct ModelIndex<'a> {
    name: &'a Name,
    model: &'a Model,
    /// Available copies, including those being loaded.
    copies: usize,
    /// Copies that the model should have.
    target: usize,
    /// Copies down to which it may be evicted.
    kept: usize,
    /// Copies by zone, whether usable or not, including those being loaded.
    zone_copies: Vec<usize>,
}

/// A model on an engine.
struct Held<'a> {
    name: &'a Name,
    /// Position of the model; `None` if the configuration no longer has it.
    model: Option<usize>,
    megabytes: f64,
    is_recent: bool,
}

/// An engine with what it holds.
struct EngineIndex<'a> {
    engine: &'a Engine,
    zone: usize,
    held: Vec<Held<'a>>,
    /// By model: whether the engine holds it.
    holds: Vec<bool>,
    /// By model: whether its weights are cached there.
    cached: Vec<bool>,
    /// Memory that is neither used nor reserved for adapters.
    free_megabytes: f64,
    /// Sum of the load per copy of its models.
    load: f64,
}

/// A [`Planner`] with its counts.
pub(super) struct Index<'a> {
    models: Vec<ModelIndex<'a>>,
    engines: Vec<EngineIndex<'a>>,
}

impl<'a> Index<'a> {
    pub(super) fn new(planner: &'a Planner) -> Self {
        let mut names: Vec<(&Name, &Model)> = planner.models.iter().collect();
        names.sort_by_key(|(name, _)| *name);
        let positions = names.iter().enumerate();
        let positions: HashMap<&Name, usize> =
            positions.map(|(index, (name, _))| (*name, index)).collect();
        let mut zones: HashMap<&Name, usize> = HashMap::new();
        for engine in &planner.engines {
            let next = zones.len();
            zones.entry(&engine.zone).or_insert(next);
        }
        let largest_adapter = names.iter().map(|(_, model)| model.adapter_megabytes);
        let largest_adapter = largest_adapter.fold(0.0, f64::max);
        let mut index = Self {
            models: models(planner, &names, zones.len()),
            engines: Vec::with_capacity(planner.engines.len()),
        };
        for engine in &planner.engines {
            let engine = engine_index(engine, &names, &positions, &zones, largest_adapter);
            for held in engine.held.iter().filter_map(|held| held.model) {
                index.models[held].copies += usize::from(engine.engine.is_available());
                index.models[held].zone_copies[engine.zone] += 1;
            }
            index.engines.push(engine);
        }
        index.count_loading(planner, &positions);
        index.sum_loads();
        index
    }

    fn count_loading(&mut self, planner: &Planner, positions: &HashMap<&Name, usize>) {
        let engines = self.engines.iter().enumerate();
        let engines: HashMap<&Name, usize> = engines
            .map(|(index, engine)| (&engine.engine.id, index))
            .collect();
        for (number, (id, name)) in planner.loading.iter().enumerate() {
            let Some(model) = positions.get(name) else {
                continue;
            };
            self.models[*model].copies += 1;
            let Some(engine) = engines.get(id).map(|engine| &self.engines[*engine]) else {
                continue;
            };
            let is_repeated = planner.loading[..number].contains(&planner.loading[number]);
            if !engine.holds[*model] && !is_repeated {
                self.models[*model].zone_copies[engine.zone] += 1;
            }
        }
    }

    fn sum_loads(&mut self) {
        for engine in &mut self.engines {
            let load_per_copy = |held: &Held| {
                let model = held.model.map(|position| &self.models[position]);
                model.map_or(0.0, |it| it.model.load / it.copies.max(1) as f64)
            };
            engine.load = engine.held.iter().map(load_per_copy).sum();
        }
    }

    /// See [`Planner::step`].
    pub(super) fn step(&self, store: bool, spare: bool) -> Option<Step> {
        let mut under_replicated: Vec<(usize, f64)> = Vec::new();
        let mut few_copies: Vec<(usize, f64)> = Vec::new();
        for (number, model) in self.models.iter().enumerate() {
            if model.copies < model.target {
                let urgency = match model.copies {
                    0 => f64::MAX,
                    copies => model.model.load / copies as f64,
                };
                under_replicated.push((number, urgency));
            }
            if model.copies < SPARE_COPIES {
                few_copies.push((number, model.model.load));
            }
        }
        // Positions are in the order of names.
        let by_urgency =
            |a: &(usize, f64), b: &(usize, f64)| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0));
        under_replicated.sort_by(by_urgency);
        few_copies.sort_by(by_urgency);
        let needed = under_replicated
            .iter()
            .find_map(|(model, _)| self.place_copy(*model, store, true));
        // The demand of an idle model may rise without notice.
        let add_spare = || {
            let mut models = few_copies.iter();
            models.find_map(|(model, _)| self.place_copy(*model, store && spare, false))
        };
        needed.or_else(add_spare)
    }

    fn place_copy(&self, model: usize, store: bool, needed: bool) -> Option<Step> {
        let megabytes = self.models[model].model.megabytes;
        let eligible = self.engines.iter().filter(|it| {
            it.engine.is_available()
                && !it.engine.busy
                && !it.holds[model]
                && it.engine.megabytes >= megabytes
                && (store || it.cached[model])
        });
        let candidates = eligible.filter_map(|engine| {
            let victims = self.evictions(engine, model, needed)?;
            Some((engine, victims))
        });
        let best = candidates.min_by(|one, other| self.compare(model, one, other));
        best.map(|(engine, victims)| Step {
            engine: engine.engine.id.clone(),
            unload: victims.iter().map(|held| held.name.clone()).collect(),
            load: self.models[model].name.clone(),
            from_store: !engine.cached[model],
        })
    }

    /// Orders engines for a copy of a model: spread over zones, from the engine's own cache, with few evictions.
    fn compare(
        &self,
        model: usize,
        (one, one_victims): &(&EngineIndex, Vec<&Held>),
        (other, other_victims): &(&EngineIndex, Vec<&Held>),
    ) -> Ordering {
        let key = |engine: &EngineIndex, victims: &Vec<&Held>| {
            let zone_copies = self.models[model].zone_copies[engine.zone];
            (zone_copies, !engine.cached[model], victims.len())
        };
        key(one, one_victims)
            .cmp(&key(other, other_victims))
            .then_with(|| one.load.total_cmp(&other.load))
            .then_with(|| one.engine.id.cmp(&other.engine.id))
    }

    /// Models to evict from an engine for another, least loaded first; `None` if that would not free enough memory.
    fn evictions<'b>(
        &self,
        engine: &'b EngineIndex<'a>,
        model: usize,
        needed: bool,
    ) -> Option<Vec<&'b Held<'a>>> {
        let model = &self.models[model];
        let mut free = engine.free_megabytes;
        if free >= model.model.megabytes {
            return Some(Vec::new());
        }
        let has_no_copy = model.copies == 0;
        let load_per_copy_after = model.model.load / (model.copies + 1) as f64;
        let remaining_load = |held: &Held| {
            let Some(victim) = held.model.map(|position| &self.models[position]) else {
                return Some(0.0);
            };
            let remaining = victim.model.load / victim.copies.saturating_sub(1).max(1) as f64;
            // Without this margin, the evicted model would be moved back at once.
            let improves = remaining < load_per_copy_after * EVICTION_LOAD_SHARE;
            let may_be_evicted = match needed {
                true => has_no_copy || (improves && victim.copies > victim.kept.min(SPARE_COPIES)),
                false => victim.copies > victim.target.max(SPARE_COPIES) + 1,
            };
            let is_movable = has_no_copy || !held.is_recent;
            (victim.copies >= 2 && is_movable && may_be_evicted).then_some(remaining)
        };
        let victims = engine.held.iter();
        let victims = victims.filter_map(|held| Some((held, remaining_load(held)?)));
        let mut victims: Vec<(&Held, f64)> = victims.collect();
        victims.sort_by(|a, b| a.1.total_cmp(&b.1));
        let mut chosen = Vec::new();
        for (victim, _) in victims {
            free += victim.megabytes;
            chosen.push(victim);
            if free >= model.model.megabytes {
                return Some(chosen);
            }
        }
        None
    }
}

fn models<'a>(
    planner: &Planner,
    names: &[(&'a Name, &'a Model)],
    zones: usize,
) -> Vec<ModelIndex<'a>> {
    let available = planner.engines.iter().filter(|it| it.is_available());
    let (count, max_adapters) = available.fold((0, 0), |(count, most), engine| {
        (count + 1, engine.max_adapters.max(most))
    });
    let copies_for_load = |model: &Model, load_per_copy: f64| {
        let by_load = (model.load / load_per_copy).ceil() as usize;
        let adapters = model.adapters as f64 * CAPACITY_PER_ADAPTER;
        let by_adapters = (adapters / max_adapters.max(1) as f64).ceil() as usize;
        let min_copies = if model.load >= REDUNDANCY_LOAD { 2 } else { 1 };
        let copies = by_load.max(by_adapters).max(min_copies);
        copies.min(count.max(1))
    };
    let models = names.iter().map(|(name, model)| ModelIndex {
        name,
        model,
        copies: 0,
        target: copies_for_load(model, MAX_LOAD_PER_COPY),
        kept: copies_for_load(model, SCALE_DOWN_LOAD),
        zone_copies: vec![0; zones],
    });
    models.collect()
}

fn engine_index<'a>(
    engine: &'a Engine,
    names: &[(&'a Name, &'a Model)],
    positions: &HashMap<&'a Name, usize>,
    zones: &HashMap<&'a Name, usize>,
    largest_adapter: f64,
) -> EngineIndex<'a> {
    let mut holds = vec![false; names.len()];
    let mut cached = vec![false; names.len()];
    for model in &engine.cached {
        if let Some(position) = positions.get(model) {
            cached[*position] = true;
        }
    }
    let held = engine.models.iter().map(|(name, adapters)| {
        let position = positions.get(name).copied();
        let megabytes = position.map_or(0.0, |position| {
            holds[position] = true;
            let model = names[position].1;
            model.megabytes + adapters.len() as f64 * model.adapter_megabytes
        });
        Held {
            name,
            model: position,
            megabytes,
            is_recent: engine.recent.contains(name),
        }
    });
    let held: Vec<Held> = held.collect();
    let used: f64 = held.iter().map(|held| held.megabytes).sum();
    // Memory is reserved for the adapters that may still be loaded, as requests may need them soon.
    let adapters: usize = engine.models.values().map(BTreeMap::len).sum();
    let reserved = largest_adapter * engine.max_adapters.saturating_sub(adapters) as f64;
    EngineIndex {
        engine,
        zone: zones[&engine.zone],
        held,
        holds,
        cached,
        free_megabytes: engine.megabytes - used - reserved,
        load: 0.0,
    }
}
