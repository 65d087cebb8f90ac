//! Placement of adapters on engines that hold their model.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::Engine;
use crate::state::record::Name;

/// Time since the last use after which the only copy of an adapter may be evicted.
const ADAPTER_MIN_IDLE: Duration = Duration::from_millis(700);

/// Time for which most requests use their adapter; an adapter that is unloaded earlier takes up capacity until then.
const ADAPTER_USE_TIME: Duration = Duration::from_millis(2500);

/// Placement of an adapter on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Identifier of the engine.
    pub engine: Name,
    /// Model and name of the adapter to unload first.
    pub evicted: Option<(Name, Name)>,
}

/// Number of engines that hold each adapter.
///
/// ```
/// use persimmoncroft::coordination::replication::Engine;
/// use persimmoncroft::coordination::replication::adapters::Copies;
/// let mut engine = Engine::default();
/// engine.models.entry("m".into()).or_default().insert("a1".into(), std::time::Duration::ZERO);
/// let mut copies = Copies::count(&[engine.clone(), engine]);
/// copies.add(&"m".into(), &"a2".into());
/// assert_eq!([copies.get("m", "a1"), copies.get("m", "a2"), copies.get("m", "a3")], [2, 1, 0]);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Copies {
    models: HashMap<Name, HashMap<Name, usize>>,
}

impl Copies {
    /// Counts the adapters that engines hold.
    pub fn count(engines: &[Engine]) -> Self {
        let mut copies = Self::default();
        for engine in engines {
            for (model, adapters) in &engine.models {
                for adapter in adapters.keys() {
                    copies.add(model, adapter);
                }
            }
        }
        copies
    }

    /// Counts one more copy, such as one that is being loaded.
    pub fn add(&mut self, model: &Name, adapter: &Name) {
        let adapters = self.models.entry(model.clone()).or_default();
        *adapters.entry(adapter.clone()).or_default() += 1;
    }

    /// Number of copies of an adapter.
    pub fn get(&self, model: &str, adapter: &str) -> usize {
        let adapters = self.models.get(model);
        let copies = adapters.and_then(|adapters| adapters.get(adapter));
        copies.copied().unwrap_or_default()
    }
}

/// Chooses an engine for an adapter, in `zone` if possible: one that can hold another, else one with an adapter to
/// evict. Adapters that no request uses any more are evicted first, then those with another copy, then the least
/// recently used.
///
/// Skips engines that are unusable, hold the adapter already, lack the model or have an order in progress.
pub fn place_adapter<'a>(
    engines: impl IntoIterator<Item = &'a Engine>,
    copies: &Copies,
    model: &str,
    adapter: &str,
    zone: &str,
    now: Duration,
) -> Option<Placement> {
    let eligible = engines.into_iter().filter(|engine| {
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
            (in_use, copies.get(model, adapter) < 2, **last_used)
        };
        let (model, adapter, last_used) = resident.min_by_key(eviction_order)?;
        let may_be_evicted = *last_used + ADAPTER_MIN_IDLE <= now || copies.get(model, adapter) > 1;
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
