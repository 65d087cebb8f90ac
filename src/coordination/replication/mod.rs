//! Placement of models and adapters on engines: which model to load or evict next, and where to load an adapter.
//!
//! Every model keeps at least one copy; busy models get copies in proportion to their load, spread over zones. Each
//! step changes one engine, and only an engine with no order in progress.

pub mod adapters;
mod index;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use index::Index;

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

/// State of an engine.
#[derive(Debug, Clone, Default)]
pub struct Engine {
    /// Identifier of the engine's process.
    pub id: Name,
    /// Availability zone.
    pub zone: Name,
    /// Version of its software.
    pub version: Name,
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
    /// Whether it has named a limit of requests or said that it leaves, so that its copies may not serve the demand.
    pub limited: bool,
}

impl Engine {
    /// Whether its copies count as those that a model should have.
    fn is_available(&self) -> bool {
        self.usable && !self.limited
    }
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
    /// Number of available copies of a model, including those being loaded.
    pub fn copies(&self, model: &str) -> usize {
        let held = self.engines.iter().filter(|engine| engine.is_available());
        let held = held.filter(|engine| engine.models.contains_key(model));
        let loading = self.loading.iter().filter(|(_, name)| &**name == model);
        held.count() + loading.count()
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
        Index::new(self).step(store, spare)
    }

    /// Applies a step that was started: the engine is busy, and its models change.
    pub fn start(&mut self, step: &Step) {
        let engine = self.engines.iter_mut().find(|it| it.id == step.engine);
        if let Some(engine) = engine {
            engine.busy = true;
            engine
                .models
                .retain(|model, _| !step.unload.contains(model));
        }
        self.loading.push((step.engine.clone(), step.load.clone()));
    }
}
