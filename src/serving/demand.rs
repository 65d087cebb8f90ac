//! Counts what callers ask of models and adapters, for the daemon that places them.

use std::collections::{BTreeMap, HashMap};

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::protocol::digest;
use crate::state::call::Call;
use crate::state::record::Name;

/// Demand since it was last taken.
#[derive(Debug, Default)]
pub struct Demand {
    /// Signals that adapters are wanted.
    pub urgent: Notify,
    counts: Mutex<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    tokens: BTreeMap<Name, (u64, u64)>,
    adapters: HashMap<(Name, Name), u32>,
    wanted: Vec<(Name, Name)>,
}

impl Demand {
    /// Counts a call.
    pub fn offer(&self, call: &Call) {
        let Some(generation) = &call.generation else {
            return;
        };
        let mut counts = self.counts.lock();
        let tokens = counts.tokens.entry(generation.model.clone()).or_default();
        tokens.0 += generation.prompt_tokens.max(1);
        tokens.1 += generation.output_tokens;
        if let Some(adapter) = &generation.adapter {
            let key = (generation.model.clone(), adapter.clone());
            *counts.adapters.entry(key).or_default() += 1;
        }
    }

    /// Asks for the adapter that a call needs.
    pub fn want(&self, call: &Call) {
        let Some(generation) = &call.generation else {
            return;
        };
        let Some(adapter) = &generation.adapter else {
            return;
        };
        let key = (generation.model.clone(), adapter.clone());
        let mut counts = self.counts.lock();
        if !counts.wanted.contains(&key) {
            counts.wanted.push(key);
            self.urgent.notify_one();
        }
    }

    /// Takes the demand since the last time.
    pub fn take(&self) -> digest::Demand {
        let mut counts = self.counts.lock();
        let adapters = std::mem::take(&mut counts.adapters).into_iter();
        digest::Demand {
            tokens: std::mem::take(&mut counts.tokens),
            adapters: adapters
                .map(|((model, adapter), count)| (model, adapter, count))
                .collect(),
        }
    }

    /// Takes the adapters that are wanted.
    pub fn take_wanted(&self) -> Vec<(Name, Name)> {
        std::mem::take(&mut self.counts.lock().wanted)
    }
}
