//! Accelerator memory of an engine and the placement orders that load and unload models and adapters.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use persimmoncroft::protocol::engine::{Action, Order, Outcome, Resident};
use persimmoncroft::state::record::Name;

use crate::recorder::Recorder;

/// A model that is loaded or being loaded.
#[derive(Debug, Clone)]
pub struct Model {
    /// The model's entry in the load report.
    pub resident: Resident,
    /// Memory it takes, in MiB.
    pub memory_mib: u64,
}

/// A loaded adapter.
#[derive(Debug, Clone)]
pub struct Adapter {
    /// Base model.
    pub model: Name,
    /// Memory it takes, in MiB.
    pub memory_mib: u64,
}

/// Work that remains after an order has been executed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Pending {
    /// Nothing.
    Nothing,
    /// Load the weights of a model version; the model is ready afterwards.
    Weights(Name, u64),
    /// Load an adapter.
    Adapter,
    /// Cancel the running sequences of a model.
    Unloaded(Name),
}

/// Contents of the accelerator memory and the state of the orders.
#[derive(Debug, Default)]
pub struct Memory {
    /// Capacity in MiB.
    pub capacity_mib: u64,
    /// Models in order of loading.
    pub models: Vec<Model>,
    /// Adapters by name.
    pub adapters: HashMap<Name, Adapter>,
    /// Highest fencing token seen.
    pub fence: u64,
    /// Identifier of the last order that was completed or refused.
    pub last_order: Option<String>,
    outcomes: HashMap<String, Outcome>,
}

impl Memory {
    /// Creates a memory with its initial models and adapters.
    pub fn new(capacity_mib: u64, models: Vec<Model>, adapters: HashMap<Name, Adapter>) -> Self {
        Self {
            capacity_mib,
            models,
            adapters,
            ..Self::default()
        }
    }

    /// Returns the memory in use, in MiB.
    pub fn used_mib(&self) -> u64 {
        let models: u64 = self.models.iter().map(|model| model.memory_mib).sum();
        let adapters: u64 = self
            .adapters
            .values()
            .map(|adapter| adapter.memory_mib)
            .sum();
        models + adapters
    }

    /// Returns the base model of a model or adapter name, if that model is ready.
    pub fn ready_base_model(&self, name: &str) -> Option<Name> {
        let base = match self.adapters.get(name) {
            Some(adapter) => &*adapter.model,
            None => name,
        };
        let mut models = self.models.iter().map(|model| &model.resident);
        let resident = models.find(|resident| resident.ready && &*resident.model == base)?;
        Some(resident.model.clone())
    }

    /// Marks a model version as ready and its load order as done.
    pub fn mark_ready(&mut self, name: &str, version: u64, order: &str) {
        let mut models = self.models.iter_mut().map(|model| &mut model.resident);
        if let Some(resident) = models.find(|r| &*r.model == name && r.version == version) {
            resident.ready = true;
            self.finish(order, Outcome::Done);
        }
    }

    /// Executes an order, at most once for each order identifier.
    ///
    /// A stale fencing token is refused only if `fenced` is true.
    pub fn execute(
        &mut self,
        order: &Order,
        fenced: bool,
        recorder: &Recorder,
    ) -> (Outcome, Pending) {
        if let Some(outcome) = self.outcomes.get(&order.id) {
            return (outcome.clone(), Pending::Nothing);
        }
        if fenced && order.fence < self.fence {
            let outcome = Outcome::Stale { fence: self.fence };
            return (outcome, Pending::Nothing);
        }
        self.fence = self.fence.max(order.fence);
        let (outcome, pending) = self.apply(&order.action, recorder);
        match pending {
            Pending::Weights(..) => drop(self.outcomes.insert(order.id.clone(), Outcome::Accepted)),
            _ => self.finish(&order.id, outcome.clone()),
        }
        (outcome, pending)
    }

    fn finish(&mut self, order: &str, outcome: Outcome) {
        self.outcomes.insert(order.to_owned(), outcome);
        self.last_order = Some(order.to_owned());
    }

    fn apply(&mut self, action: &Action, recorder: &Recorder) -> (Outcome, Pending) {
        match action {
            Action::LoadModel {
                model,
                version,
                memory_mib,
            } => self.load(model, *version, *memory_mib, recorder),
            Action::UnloadModel { model, version } => {
                let before = self.models.len();
                self.models
                    .retain(|m| m.resident.model != *model || m.resident.version > *version);
                recorder
                    .moves
                    .fetch_add((before - self.models.len()) as u64, Relaxed);
                if !self.models.iter().any(|m| m.resident.model == *model) {
                    self.adapters.retain(|_, adapter| adapter.model != *model);
                    return (Outcome::Done, Pending::Unloaded(model.clone()));
                }
                (Outcome::Done, Pending::Nothing)
            }
            Action::LoadAdapter {
                adapter,
                model,
                memory_mib,
            } => {
                if self.adapters.contains_key(adapter) {
                    return (Outcome::Done, Pending::Nothing);
                }
                if !self.models.iter().any(|m| m.resident.model == *model) {
                    return (refused("model is not loaded"), Pending::Nothing);
                }
                if self.overcommits(*memory_mib, &recorder.memory_overcommits) {
                    return (refused("out of memory"), Pending::Nothing);
                }
                let loaded = Adapter {
                    model: model.clone(),
                    memory_mib: *memory_mib,
                };
                self.adapters.insert(adapter.clone(), loaded);
                (Outcome::Done, Pending::Adapter)
            }
            Action::UnloadAdapter { adapter } => {
                self.adapters.remove(adapter);
                (Outcome::Done, Pending::Nothing)
            }
        }
    }

    fn load(
        &mut self,
        model: &Name,
        version: u64,
        memory_mib: u64,
        recorder: &Recorder,
    ) -> (Outcome, Pending) {
        let mut residents = self.models.iter().map(|model| &model.resident);
        if residents.any(|r| r.model == *model && r.version == version) {
            return (Outcome::Done, Pending::Nothing);
        }
        if self.overcommits(memory_mib, &recorder.memory_overcommits) {
            return (refused("out of memory"), Pending::Nothing);
        }
        recorder.moves.fetch_add(1, Relaxed);
        let resident = Resident {
            model: model.clone(),
            version,
            ready: false,
        };
        self.models.push(Model {
            resident,
            memory_mib,
        });
        (Outcome::Accepted, Pending::Weights(model.clone(), version))
    }

    fn overcommits(&self, memory_mib: u64, counter: &AtomicU64) -> bool {
        let exceeds = self.used_mib() + memory_mib > self.capacity_mib;
        if exceeds {
            counter.fetch_add(1, Relaxed);
        }
        exceeds
    }
}

fn refused(reason: &str) -> Outcome {
    Outcome::Refused {
        reason: reason.into(),
    }
}
