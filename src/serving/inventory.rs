//! State of the placer: engines, loads in progress and reported demand. Does no I/O.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use super::codec::Report;
use super::endpoint::View;
use super::engine::{Handle, State};
use super::rate::Rate;
use crate::coordination::replication::adapters::{Copies, Placement, place_adapter};
use crate::coordination::replication::{Engine, MAX_LOAD_PER_COPY, Model, Planner};
use crate::coordination::statement::Statements;
use crate::protocol::digest::{Demand, Holding, Want};
use crate::state::catalog::{self, Service};
use crate::state::record::Name;

/// Time for which a loaded model is not evicted, unless another model has no copy at all.
const MIN_RESIDENCE: Duration = Duration::from_secs(5);

/// Prompt tokens per second that an engine processes with its largest model.
const PREFILL_TOKENS_PER_SECOND: f64 = 38_000.0;

/// Time per generated token of one request, in seconds.
const DECODE_SECONDS_PER_TOKEN: f64 = 0.006;

/// Share of its slots that an engine can use while events stay on time.
const MAX_SLOT_SHARE: f64 = 0.6;

/// Time for which an adapter counts as in use after it was requested.
const ADAPTER_IN_USE_TIME: Duration = Duration::from_secs(6);

/// Copies of each adapter of a busy model that are preloaded.
const PRELOADED_COPIES: usize = 2;

/// Load above which a model counts as busy and its adapters are preloaded.
const BUSY_LOAD: f64 = 0.05;

/// Number of copies from which a model counts as busy without known demand.
const BUSY_COPIES: usize = 3;

/// Number of concurrent loads from the weight store that every store can take.
const MIN_CONCURRENT_LOADS: usize = 5;

/// Concurrent loads as a share of those that the store starts during one load; beyond all of them, loads slow down.
const CONCURRENT_LOADS_SHARE: f64 = 0.85;

/// Share of the loads per window that spare copies may use.
const SPARE_LOAD_SHARE: f64 = 0.5;

/// Concurrent loads from the weight store beyond which no spare load is started, as a divisor of all that may run.
const SPARE_LOADS_DIVISOR: usize = 2;

/// Loads that the previous lease holder is assumed to have started within the window.
const ASSUMED_PRIOR_LOADS: usize = 4;

/// State of the placer.
#[derive(Debug, Default)]
pub struct Inventory {
    /// States by engine identifier.
    pub engines: HashMap<Name, State>,
    /// Loads in progress: engine, model, and whether the weights come from the weight store.
    pub loading: Vec<(Name, Name, bool)>,
    /// Adapters being loaded: model and adapter.
    pub pending: Vec<(Name, Name)>,
    /// Adapters that requests wait for, each with the zone of the first request.
    pub wanted: Vec<(Want, Name)>,
    /// Prompt and generated tokens per second by model.
    rates: HashMap<Name, (Rate, Rate)>,
    adapter_uses: HashMap<(Name, Name), Duration>,
    /// Time at which each model was last requested.
    model_uses: HashMap<Name, Duration>,
    store_loads: VecDeque<Duration>,
    /// Number of states created so far.
    states_created: u64,
}

impl Inventory {
    /// Resets the state when this daemon becomes the lease holder, since the last orders of others are not known.
    pub fn begin(&mut self, now: Duration) {
        self.engines.clear();
        self.loading.clear();
        self.wanted.clear();
        self.pending.clear();
        self.store_loads = (0..ASSUMED_PRIOR_LOADS).map(|_| now).collect();
    }

    /// Applies reported demand.
    pub fn record_demand(&mut self, demand: &Demand, now: Duration) {
        for (model, (prompt, output)) in &demand.tokens {
            let (prompt_rate, output_rate) = self.rates.entry(model.clone()).or_default();
            prompt_rate.add(*prompt as f64, now);
            output_rate.add(*output as f64, now);
            self.model_uses.insert(model.clone(), now);
        }
        for (model, adapter, _) in &demand.adapters {
            self.adapter_uses
                .insert((model.clone(), adapter.clone()), now);
            for state in self.engines.values_mut() {
                let adapters = state.models.get_mut(model);
                if let Some(used) = adapters.and_then(|adapters| adapters.get_mut(adapter)) {
                    *used = now;
                }
            }
        }
    }

    /// Whether a model was requested within a time.
    pub fn is_in_demand(&self, model: &str, within: Duration, now: Duration) -> bool {
        let used = self.model_uses.get(model);
        used.is_some_and(|used| now < *used + within)
    }

    /// Drops the states of removed engines and creates those of new ones; returns those whose report has to be read.
    pub fn sync_engines(
        &mut self,
        view: &View,
        services: &HashMap<Name, std::sync::Arc<Service>>,
        now: Duration,
    ) -> Vec<Handle> {
        let is_engine = |id: &Name| {
            let endpoint = view.all.get(id)?;
            services.get(&endpoint.entry.service)?.engine.as_ref()
        };
        let loading = &mut self.loading;
        self.engines.retain(|id, state| {
            let endpoint = view.all.get(id);
            // The state of a busy engine that is briefly unlisted stays, so that its change does not overlap with a
            // change of a new state.
            let keep = endpoint.map_or(state.busy, |it| it.entry.started_ms == state.started_ms);
            if !keep {
                loading.retain(|(engine, _, _)| engine != id);
            }
            keep
        });
        for (id, endpoint) in &view.all {
            if is_engine(id).is_some() && !endpoint.entry.draining {
                self.engines.entry(id.clone()).or_insert_with(|| {
                    self.states_created += 1;
                    State::open(self.states_created, endpoint.entry.started_ms)
                });
            }
        }
        let without_report = self.engines.iter_mut().filter(|(_, state)| {
            state.sequence.is_none() && !state.busy && state.paused_until <= now
        });
        let without_report = without_report.map(|(id, state)| {
            state.busy = true;
            state.handle(id)
        });
        without_report.collect()
    }

    /// The state of a handle's engine; `None` once the state was dropped or replaced.
    pub fn engine_mut(&mut self, handle: &Handle) -> Option<&mut State> {
        let state = self.engines.get_mut(&handle.engine);
        state.filter(|state| state.matches(handle))
    }

    /// A handle of an engine's current state.
    pub fn handle(&self, engine: &Name) -> Option<Handle> {
        self.engines.get(engine).map(|it| it.handle(engine))
    }

    /// Applies an engine's report; returns false if it could not be used, since reports lag behind orders.
    /// Returns true without applying it if the state was dropped or replaced.
    pub fn read(&mut self, handle: &Handle, report: Report, now: Duration) -> bool {
        let state = self.engines.get_mut(&handle.engine);
        let state = state.filter(|state| state.matches(handle));
        state.is_none_or(|state| state.apply_report(report, &self.adapter_uses, now))
    }

    /// Discards the order numbers of all engines, so that each report is read again before the next order.
    pub fn invalidate_reports(&mut self) {
        for state in self.engines.values_mut() {
            state.sequence = None;
            state.paused_until = Duration::ZERO;
        }
    }

    /// Input of the planner.
    pub fn planner(
        &mut self,
        view: &View,
        service: &Service,
        statements: &Statements,
        now: Duration,
    ) -> Planner {
        let Some(engine) = &service.engine else {
            return Planner::default();
        };
        let largest = engine.models.values().map(|model| model.megabytes);
        let largest = largest.fold(1.0, f64::max);
        let adapters = engine.models.values().map(|model| model.adapter_megabytes);
        let adapter_megabytes = adapters.fold(0.0, f64::max);
        let mut models = HashMap::new();
        let totals = self.totals(now);
        let mut adapters_in_use: HashMap<&Name, usize> = HashMap::new();
        for ((model, _), used) in &self.adapter_uses {
            if *used + ADAPTER_IN_USE_TIME > now {
                *adapters_in_use.entry(model).or_default() += 1;
            }
        }
        for (name, model) in &engine.models {
            let adapters = adapters_in_use.get(name).copied().unwrap_or_default();
            let rates = self.rates.get_mut(name);
            let (prompt_rate, output_rate) = rates.map_or((0.0, 0.0), |(prompt, output)| {
                (
                    prompt.forecast(totals.0, now),
                    output.forecast(totals.1, now),
                )
            });
            // Smaller models run faster, roughly in proportion to the size of their weights.
            let cost_factor = model.megabytes / largest;
            let prefill_load = prompt_rate / PREFILL_TOKENS_PER_SECOND;
            let active_requests = output_rate * DECODE_SECONDS_PER_TOKEN;
            let slot_load = active_requests / (f64::from(engine.slots) * MAX_SLOT_SHARE);
            let model = Model {
                megabytes: model.megabytes,
                adapter_megabytes: model.adapter_megabytes,
                load: prefill_load.max(slot_load * MAX_LOAD_PER_COPY) * cost_factor,
                adapters,
            };
            models.insert(name.clone(), model);
        }
        let usable = view.services.get(&service.name).into_iter().flatten();
        let usable: HashSet<&Name> = usable.map(|endpoint| &endpoint.entry.id).collect();
        let engines = self.engines.iter().filter_map(|(id, state)| {
            let endpoint = view.all.get(id)?;
            (endpoint.entry.service == service.name).then(|| Engine {
                id: id.clone(),
                zone: endpoint.entry.zone.clone(),
                version: endpoint.entry.version.clone(),
                // Adapters that wait for their last requests still take up memory and count as loaded.
                megabytes: engine.megabytes - state.unloading.len() as f64 * adapter_megabytes,
                max_adapters: engine.max_adapters.saturating_sub(state.unloading.len()),
                models: state.models.clone(),
                recent: state
                    .first_seen
                    .iter()
                    .filter(|(_, since)| **since + MIN_RESIDENCE > now)
                    .map(|(model, _)| model.clone())
                    .collect(),
                cached: state.cached.clone(),
                busy: state.has_to_wait(now),
                usable: usable.contains(id),
                limited: statements.rate_limit(id).is_some()
                    || statements.is_leaving(id, endpoint.entry.started_ms),
            })
        });
        let loading = self
            .loading
            .iter()
            .map(|(id, model, _)| (id.clone(), model.clone()));
        Planner {
            engines: engines.collect(),
            models,
            loading: loading.collect(),
        }
    }

    /// Prompt and generated tokens per second, over all models.
    fn totals(&mut self, now: Duration) -> (f64, f64) {
        let rates = self.rates.values_mut();
        rates.fold((0.0, 0.0), |(read, generated), rates| {
            (
                read + rates.0.current(now),
                generated + rates.1.current(now),
            )
        })
    }

    /// Whether another load from the weight store may start now.
    pub fn may_load(&mut self, engine: &catalog::Engine, window: Duration, now: Duration) -> bool {
        while self
            .store_loads
            .front()
            .is_some_and(|at| *at + window < now)
        {
            self.store_loads.pop_front();
        }
        let max_loads = (engine.loads_per_second * window.as_secs_f64()).floor() as usize;
        self.store_loads.len() < max_loads && self.running_loads() < max_concurrent_loads(engine)
    }

    /// Whether recent loads from the weight store are so few that a spare copy leaves room for needed ones.
    pub fn may_load_spare(&self, engine: &catalog::Engine, window: Duration) -> bool {
        let max_loads = engine.loads_per_second * window.as_secs_f64() * SPARE_LOAD_SHARE;
        let max_running = max_concurrent_loads(engine) / SPARE_LOADS_DIVISOR;
        (self.store_loads.len() as f64) < max_loads && self.running_loads() < max_running
    }

    fn running_loads(&self) -> usize {
        let loading = self.loading.iter();
        loading.filter(|(_, _, from_store)| *from_store).count()
    }

    /// Records the start of a load from the weight store.
    pub fn note_load(&mut self, now: Duration) {
        self.store_loads.push_back(now);
    }

    /// Number of engines that hold or load each adapter.
    pub fn adapter_copies(&self, planner: &Planner) -> Copies {
        let mut copies = Copies::count(&planner.engines);
        for (model, adapter) in &self.pending {
            copies.add(model, adapter);
        }
        copies
    }

    /// Finds an adapter of a busy model to preload: engine that can hold another adapter, model and adapter.
    pub fn next_preload(
        planner: &Planner,
        copies: &Copies,
        service: &Service,
    ) -> Option<(Name, Name, Name)> {
        let models = &service.engine.as_ref()?.models;
        let mut candidates: Vec<&Engine> = planner
            .engines
            .iter()
            .filter(|engine| engine.usable && !engine.busy && adapter_capacity_left(engine) > 0)
            .collect();
        candidates.sort_by_key(|engine| std::cmp::Reverse(adapter_capacity_left(engine)));
        let mut is_busy: HashMap<&Name, bool> = HashMap::new();
        for engine in candidates {
            let mut options = Vec::new();
            for model in engine.models.keys() {
                let busy = *is_busy.entry(model).or_insert_with(|| {
                    let load = planner.models.get(model).map_or(0.0, |model| model.load);
                    load > BUSY_LOAD || planner.copies(model) >= BUSY_COPIES
                });
                let adapters = models.get(model).filter(|_| busy);
                let adapters = adapters.map_or(&[][..], |model| &model.adapters);
                options.extend(adapters.iter().map(|adapter| (model, adapter)));
            }
            let best = options
                .into_iter()
                .filter(|(model, adapter)| !engine.models[*model].contains_key(*adapter))
                .map(|(model, adapter)| (copies.get(model, adapter), model, adapter))
                .filter(|(count, _, _)| *count < PRELOADED_COPIES)
                .min();
            if let Some((_, model, adapter)) = best {
                return Some((engine.id.clone(), model.clone(), adapter.clone()));
            }
        }
        None
    }

    /// Finds an engine for an adapter that requests wait for.
    pub fn place_adapter(
        &self,
        planner: &Planner,
        copies: &Copies,
        want: &Want,
        zone: &str,
        now: Duration,
    ) -> Option<Placement> {
        let (model, adapter) = (&want.model, &want.adapter);
        let key = (model.clone(), adapter.clone());
        let engines = planner.engines.iter().filter(|it| can_serve(it, want));
        let placement = place_adapter(engines, copies, model, adapter, zone, now)?;
        let state = self.engines.get(&placement.engine)?;
        (!state.unloading.contains(&key)).then_some(placement)
    }

    /// A usable engine that has a wanted adapter loaded.
    pub fn holder(&self, planner: &Planner, want: &Want) -> Option<Name> {
        let engines = planner.engines.iter();
        let mut usable = engines.filter(|engine| engine.usable && can_serve(engine, want));
        let holds = |engine: &&Engine| {
            let adapters = engine.models.get(&want.model);
            adapters.is_some_and(|adapters| adapters.contains_key(&want.adapter))
        };
        usable.find(holds).map(|engine| engine.id.clone())
    }

    /// Models and adapters of an engine, as reported to all daemons.
    pub fn holding(&self, engine: &Name) -> Option<Holding> {
        let models = self.engines.get(engine)?.resident_models()?;
        Some(Holding {
            engine: engine.clone(),
            models,
        })
    }
}

/// Whether an engine is of the software version that a wanted adapter is for.
fn can_serve(engine: &Engine, want: &Want) -> bool {
    let version = want.version.as_ref();
    version.is_none_or(|version| engine.version == *version)
}

/// Loads from the weight store that may run at the same time.
fn max_concurrent_loads(engine: &catalog::Engine) -> usize {
    let load_times = engine.models.values().map(|model| model.load_time);
    let longest = load_times.max().unwrap_or_default().as_secs_f64();
    let at_full_speed = engine.loads_per_second * longest * CONCURRENT_LOADS_SHARE;
    (at_full_speed as usize).max(MIN_CONCURRENT_LOADS)
}

fn adapter_capacity_left(engine: &Engine) -> usize {
    let held: usize = engine.models.values().map(BTreeMap::len).sum();
    engine.max_adapters.saturating_sub(held)
}
