//! What the placer knows of one engine.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::adapter::Report;
use crate::state::record::Name;

/// Pause before the report of an engine that carries out an unknown order is read again.
const BUSY_REST: Duration = Duration::from_millis(400);

/// One engine in the placer's books.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Account {
    /// Number of the account: another one of the same engine has another number.
    number: u64,
    /// Unix time of its start, as its entry says.
    pub born: Option<u64>,
    /// Orders that it has accepted; none until a report was read.
    pub sequence: Option<u64>,
    /// Models, their adapters, and when each adapter was last asked for.
    pub models: BTreeMap<Name, BTreeMap<Name, Duration>>,
    /// Models and adapters that were told to leave and wait for the requests that use them.
    pub leaving: BTreeSet<(Name, Name)>,
    /// When models were seen first.
    pub since: HashMap<Name, Duration>,
    /// Models that load without the weight store.
    pub cached: BTreeSet<Name>,
    /// Whether a change or the reading of a report is under way; one at a time.
    pub busy: bool,
    /// No order is sent before this time, after one was refused.
    pub rest_until: Duration,
}

/// An account, as long as it is not closed or opened anew.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Engine.
    pub engine: Name,
    number: u64,
}

impl Account {
    /// Opens an account of which nothing is known but the start of its engine.
    pub fn open(number: u64, born: Option<u64>) -> Self {
        Self {
            number,
            born,
            ..Self::default()
        }
    }

    /// The handle by which a change finds this account again, and no later one.
    pub fn target(&self, engine: &Name) -> Target {
        Target {
            engine: engine.clone(),
            number: self.number,
        }
    }

    /// Whether a handle means this account.
    pub fn is(&self, target: &Target) -> bool {
        self.number == target.number
    }

    /// Whether the next order has to wait.
    pub fn has_to_wait(&self, now: Duration) -> bool {
        self.busy || self.sequence.is_none() || self.rest_until > now
    }

    /// Models and their adapters that requests may be sent for; none until a report was read.
    pub fn holds(&self) -> Option<BTreeMap<Name, Vec<Name>>> {
        self.sequence?;
        let models = self.models.iter().map(|(model, adapters)| {
            let adapters = adapters.keys().cloned().collect();
            (model.clone(), adapters)
        });
        Some(models.collect())
    }

    /// Takes in a report, with when adapters were asked for; says whether it was as new as the last order.
    pub fn read(
        &mut self,
        report: Report,
        uses: &HashMap<(Name, Name), Duration>,
        now: Duration,
    ) -> bool {
        if self.sequence.is_some_and(|known| report.sequence < known) {
            return false;
        }
        let of_another_start = (report.born.zip(self.born)).is_some_and(|(its, own)| its != own);
        if of_another_start {
            return false;
        }
        let mut models: BTreeMap<Name, BTreeMap<Name, Duration>> = BTreeMap::new();
        let mut leaving = BTreeSet::new();
        for (model, adapters) in report.models {
            let held = models.entry(model.clone()).or_default();
            for adapter in adapters {
                let key = (model.clone(), adapter);
                if self.leaving.contains(&key) {
                    leaving.insert(key);
                } else {
                    let used = uses.get(&key).copied().unwrap_or(Duration::ZERO);
                    held.insert(key.1, used);
                }
            }
        }
        for (model, adapter) in report.pending {
            models.entry(model).or_default().insert(adapter, now);
        }
        let since = |model: &Name| self.since.get(model).copied().unwrap_or(now);
        self.since = models
            .keys()
            .map(|model| (model.clone(), since(model)))
            .collect();
        self.models = models;
        self.leaving = leaving;
        self.cached = report.cached.into_iter().collect();
        if report.busy && self.sequence.is_none() {
            // What an order of an earlier holder will leave there is not known yet.
            self.rest_until = now + BUSY_REST;
            return false;
        }
        self.sequence = Some(report.sequence);
        true
    }

    /// Takes in that an adapter was told to leave and stays until the requests that use it have ended.
    pub fn leave(&mut self, model: &Name, adapter: &Name) {
        self.remove(model, adapter);
        self.leaving.insert((model.clone(), adapter.clone()));
    }

    /// Takes in that no request may be sent for an adapter any more.
    pub fn remove(&mut self, model: &Name, adapter: &Name) {
        if let Some(adapters) = self.models.get_mut(model) {
            adapters.remove(adapter);
        }
    }

    /// Takes in that an adapter was loaded.
    pub fn add(&mut self, model: &Name, adapter: &Name, now: Duration) {
        if let Some(adapters) = self.models.get_mut(model) {
            adapters.insert(adapter.clone(), now);
        }
    }
}
