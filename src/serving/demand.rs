//! Counts requested tokens and adapters, for the daemon that places models.

use std::collections::{BTreeMap, HashMap};

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::coordination::scale::Refused;
use crate::protocol::digest::{self, Want};
use crate::state::call::Call;
use crate::state::record::Name;

/// Demand counted since it was last taken.
#[derive(Debug, Default)]
pub struct Demand {
    /// Notified when a request waits for an adapter.
    pub urgent: Notify,
    counts: Mutex<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    tokens: BTreeMap<Name, (u64, u64)>,
    adapters: HashMap<(Name, Name), u32>,
    wanted: Vec<Want>,
    refused: BTreeMap<Name, Refused>,
}

impl Demand {
    /// Counts the tokens and the adapter of a call.
    pub fn record(&self, call: &Call) {
        let Some(generation) = &call.generation else {
            return;
        };
        let mut counts = self.counts.lock();
        let tokens = counts.tokens.entry(generation.model.clone()).or_default();
        tokens.0 = tokens.0.saturating_add(generation.prompt_tokens.max(1));
        tokens.1 = tokens.1.saturating_add(generation.output_tokens);
        if let Some(adapter) = &generation.adapter {
            let key = (generation.model.clone(), adapter.clone());
            *counts.adapters.entry(key).or_default() += 1;
        }
    }

    /// Counts requests to a service that were refused.
    pub fn refuse(&self, service: &Name, refused: Refused) {
        let mut counts = self.counts.lock();
        counts
            .refused
            .entry(service.clone())
            .or_default()
            .add(refused);
    }

    /// Requests that the adapter of a call be loaded, at an engine of the software version `version` if it is given.
    pub fn want(&self, call: &Call, version: Option<&Name>) {
        let Some(generation) = &call.generation else {
            return;
        };
        let Some(adapter) = &generation.adapter else {
            return;
        };
        let want = Want {
            model: generation.model.clone(),
            adapter: adapter.clone(),
            version: version.cloned(),
        };
        let mut counts = self.counts.lock();
        if !counts.wanted.contains(&want) {
            counts.wanted.push(want);
            self.urgent.notify_one();
        }
    }

    /// Returns the counted demand and resets it.
    pub fn take(&self) -> digest::Demand {
        let mut counts = self.counts.lock();
        let adapters = std::mem::take(&mut counts.adapters).into_iter();
        digest::Demand {
            tokens: std::mem::take(&mut counts.tokens),
            adapters: adapters
                .map(|((model, adapter), count)| (model, adapter, count))
                .collect(),
            refused: std::mem::take(&mut counts.refused)
                .into_iter()
                .map(|(service, it)| (service, it.full, it.model))
                .collect(),
        }
    }

    /// Returns the requested adapters and resets them.
    pub fn take_wanted(&self) -> Vec<Want> {
        std::mem::take(&mut self.counts.lock().wanted)
    }
}
