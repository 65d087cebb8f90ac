//! The placer's state of one engine.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::codec::Report;
use crate::state::record::Name;

/// Pause before the next report is read from an engine that is executing an unknown order.
const BUSY_PAUSE: Duration = Duration::from_millis(400);

/// State of one engine, as known to the placer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct State {
    /// Unique number of this state; a new state of the same engine gets another.
    number: u64,
    /// Unix time at which the engine started, according to its entry.
    pub started_ms: Option<u64>,
    /// Number of orders that the engine has accepted; `None` until a report was read.
    pub sequence: Option<u64>,
    /// Resident models with their adapters and the time at which each adapter was last requested.
    pub models: BTreeMap<Name, BTreeMap<Name, Duration>>,
    /// Adapters, each with its model, that are being unloaded and wait for requests that still use them.
    pub unloading: BTreeSet<(Name, Name)>,
    /// Time at which each model was first seen on the engine.
    pub first_seen: HashMap<Name, Duration>,
    /// Models that the engine can load without the weight store.
    pub cached: BTreeSet<Name>,
    /// Whether a change or the reading of a report is in progress; there is one at a time.
    pub busy: bool,
    /// Time before which no order is sent: set after a refusal and while an unknown order is being executed.
    pub paused_until: Duration,
}

/// Handle of an engine's state; it becomes invalid when the state is dropped or replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Handle {
    /// Identifier of the engine.
    pub engine: Name,
    number: u64,
}

impl State {
    /// Creates the state of an engine of which only the start time is known.
    pub fn open(number: u64, started_ms: Option<u64>) -> Self {
        Self {
            number,
            started_ms,
            ..Self::default()
        }
    }

    /// A handle of this state, which does not match a later state of the same engine.
    pub fn handle(&self, engine: &Name) -> Handle {
        Handle {
            engine: engine.clone(),
            number: self.number,
        }
    }

    /// Whether a handle refers to this state.
    pub fn matches(&self, handle: &Handle) -> bool {
        self.number == handle.number
    }

    /// Whether no order can be sent now.
    pub fn has_to_wait(&self, now: Duration) -> bool {
        self.busy || self.sequence.is_none() || self.paused_until > now
    }

    /// Models and adapters that requests may use; `None` until a report was read.
    pub fn resident_models(&self) -> Option<BTreeMap<Name, Vec<Name>>> {
        self.sequence?;
        let models = self.models.iter().map(|(model, adapters)| {
            let adapters = adapters.keys().cloned().collect();
            (model.clone(), adapters)
        });
        Some(models.collect())
    }

    /// Applies a report; `uses` holds when each adapter was last requested. Returns false for a report older than
    /// the last order, from another start of the engine, or read while the engine executes an unknown order.
    pub fn apply_report(
        &mut self,
        report: Report,
        uses: &HashMap<(Name, Name), Duration>,
        now: Duration,
    ) -> bool {
        if self.sequence.is_some_and(|known| report.sequence < known) {
            return false;
        }
        let restarted =
            (report.started_ms.zip(self.started_ms)).is_some_and(|(its, own)| its != own);
        if restarted {
            return false;
        }
        let mut models: BTreeMap<Name, BTreeMap<Name, Duration>> = BTreeMap::new();
        let mut unloading = BTreeSet::new();
        for (model, adapters) in report.models {
            let held = models.entry(model.clone()).or_default();
            for adapter in adapters {
                let key = (model.clone(), adapter);
                if self.unloading.contains(&key) {
                    unloading.insert(key);
                } else {
                    let used = uses.get(&key).copied().unwrap_or(Duration::ZERO);
                    held.insert(key.1, used);
                }
            }
        }
        for (model, adapter) in report.pending {
            models.entry(model).or_default().insert(adapter, now);
        }
        let first_seen = |model: &Name| self.first_seen.get(model).copied().unwrap_or(now);
        self.first_seen = models
            .keys()
            .map(|model| (model.clone(), first_seen(model)))
            .collect();
        self.models = models;
        self.unloading = unloading;
        self.cached = report.cached.into_iter().collect();
        if report.busy && self.sequence.is_none() {
            // The result of an order from an earlier lease holder is not known yet.
            self.paused_until = now + BUSY_PAUSE;
            return false;
        }
        self.sequence = Some(report.sequence);
        true
    }

    /// Records that an adapter is being unloaded; it stays until the requests that use it have ended.
    pub fn start_unloading(&mut self, model: &Name, adapter: &Name) {
        self.remove(model, adapter);
        self.unloading.insert((model.clone(), adapter.clone()));
    }

    /// Records that requests may no longer use an adapter.
    pub fn remove(&mut self, model: &Name, adapter: &Name) {
        if let Some(adapters) = self.models.get_mut(model) {
            adapters.remove(adapter);
        }
    }

    /// Records that an adapter was loaded.
    pub fn add(&mut self, model: &Name, adapter: &Name, now: Duration) {
        if let Some(adapters) = self.models.get_mut(model) {
            adapters.insert(adapter.clone(), now);
        }
    }
}
