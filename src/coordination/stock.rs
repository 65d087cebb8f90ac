//! Which model an engine should load or make room for next, and where an adapter should go.
//!
//! Every model keeps a copy; busy models get copies by their work, spread over zones. A step is planned for one engine
//! at a time, and only for engines on which no order is under way.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::state::record::Name;

/// Share of an engine's slots that one model's work fills before another copy is wanted.
const COPY_SHARE: f64 = 0.15;

/// Work, in running requests, from which a model has two copies so that the loss of one stops nothing.
const SPARE_WORK: f64 = 0.5;

/// Work per copy of a victim, as a share of that of the model that takes its place, up to which it may yield.
const YIELD_SHARE: f64 = 0.3;

/// Time for which an adapter stays after its last use before it may yield to another.
const ADAPTER_REST: Duration = Duration::from_millis(700);

/// One engine as the planner sees it.
#[derive(Debug, Clone, Default)]
pub struct Engine {
    /// Identifier of its start.
    pub id: Name,
    /// Availability zone.
    pub zone: Name,
    /// Memory for weights and adapters, in MB.
    pub megabytes: f64,
    /// Places for adapters.
    pub places: usize,
    /// Models that it holds, with their adapters and when each was last asked for.
    pub models: BTreeMap<Name, BTreeMap<Name, Duration>>,
    /// Models whose weights it keeps in its own memory or disk.
    pub cached: BTreeSet<Name>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Whether requests can be sent to it.
    pub usable: bool,
}

/// A model as the planner sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need {
    /// Memory of the weights, in MB.
    pub megabytes: f64,
    /// Memory of one adapter, in MB.
    pub adapter_megabytes: f64,
    /// Work asked of it, in running requests.
    pub work: f64,
}

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Load a model.
    Load {
        /// Engine.
        engine: Name,
        /// Model.
        model: Name,
        /// Whether the weights come from the weight store.
        from_store: bool,
    },
    /// Unload a model.
    Unload {
        /// Engine.
        engine: Name,
        /// Model.
        model: Name,
    },
}

/// Engines, models and what is under way.
#[derive(Debug, Clone, Default)]
pub struct Stock {
    /// Engines.
    pub engines: Vec<Engine>,
    /// Models by name.
    pub needs: HashMap<Name, Need>,
    /// Loads under way: engine and model.
    pub loading: Vec<(Name, Name)>,
    /// Requests that one engine runs at once.
    pub slots: f64,
}

impl Stock {
    /// Usable copies of a model, with those that are being loaded.
    pub fn copies(&self, model: &str) -> usize {
        let held = self.engines.iter().filter(|engine| engine.usable);
        let held = held.filter(|engine| engine.models.contains_key(model));
        let loading = self.loading.iter().filter(|(_, name)| &**name == model);
        held.count() + loading.count()
    }

    /// Copies that a model's work asks for.
    pub fn wanted(&self, model: &str) -> usize {
        let Some(need) = self.needs.get(model) else {
            return 0;
        };
        let engines = self.engines.iter().filter(|engine| engine.usable).count();
        let by_work = (need.work / (self.slots * COPY_SHARE).max(1.0)).ceil() as usize;
        let least = if need.work >= SPARE_WORK { 2 } else { 1 };
        by_work.max(least).min(engines.max(1))
    }

    /// The next step, or none when all is well or nothing can be done now.
    ///
    /// ```
    /// use persimmoncroft::coordination::stock::{Engine, Need, Step, Stock};
    /// let engine = Engine { id: "e".into(), megabytes: 80.0, usable: true, ..Engine::default() };
    /// let need = Need { megabytes: 40.0, adapter_megabytes: 1.0, work: 0.0 };
    /// let stock = Stock {
    ///     engines: vec![engine], needs: [("m".into(), need)].into(), slots: 64.0, ..Stock::default()
    /// };
    /// let load = Step::Load { engine: "e".into(), model: "m".into(), from_store: true };
    /// assert_eq!(stock.step(), Some(load));
    /// ```
    pub fn step(&self) -> Option<Step> {
        let mut short: Vec<(&Name, f64)> = self
            .needs
            .iter()
            .filter_map(|(model, need)| {
                let copies = self.copies(model);
                let urgency = match copies {
                    0 => f64::MAX,
                    _ => need.work / copies as f64,
                };
                (copies < self.wanted(model)).then_some((model, urgency))
            })
            .collect();
        short.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(b.0)));
        short.iter().find_map(|(model, _)| self.place(model))
    }

    fn place(&self, model: &Name) -> Option<Step> {
        let need = self.needs.get(model)?;
        let open = self.engines.iter().filter(|engine| {
            engine.usable
                && !engine.busy
                && !engine.models.contains_key(model)
                && engine.megabytes >= need.megabytes
        });
        let best = open
            .filter_map(|engine| Some((engine, self.room(engine, model, need)?)))
            .min_by(|(one, a), (other, b)| {
                let key = |engine: &Engine, victims: &Vec<Name>| {
                    (
                        self.zone_copies(model, &engine.zone),
                        !engine.cached.contains(model),
                        victims.len(),
                    )
                };
                let work = |engine: &Engine| self.work(engine);
                key(one, a)
                    .cmp(&key(other, b))
                    .then_with(|| work(one).total_cmp(&work(other)))
                    .then_with(|| one.id.cmp(&other.id))
            });
        let (engine, victims) = best?;
        let step = match victims.into_iter().next() {
            Some(victim) => Step::Unload {
                engine: engine.id.clone(),
                model: victim,
            },
            None => Step::Load {
                engine: engine.id.clone(),
                model: model.clone(),
                from_store: !engine.cached.contains(model),
            },
        };
        Some(step)
    }

    /// Models that have to leave an engine for another one, least worth first; none if too few may.
    fn room(&self, engine: &Engine, model: &Name, need: &Need) -> Option<Vec<Name>> {
        let mut free = self.free(engine);
        if free >= need.megabytes {
            return Some(Vec::new());
        }
        let relief = need.work / (self.copies(model) + 1) as f64;
        let alone = self.copies(model) == 0;
        let mut victims: Vec<(&Name, f64)> = engine
            .models
            .keys()
            .filter_map(|held| {
                let copies = self.copies(held);
                let work = self.needs.get(held).map_or(0.0, |need| need.work);
                let load = work / copies.saturating_sub(1).max(1) as f64;
                let spared = copies >= 2
                    && (copies > self.wanted(held) || alone || load < relief * YIELD_SHARE);
                let unknown = !self.needs.contains_key(held);
                (spared || unknown).then_some((held, load))
            })
            .collect();
        victims.sort_by(|a, b| a.1.total_cmp(&b.1));
        let mut chosen = Vec::new();
        for (victim, _) in victims {
            free += self.size(engine, victim);
            chosen.push(victim.clone());
            if free >= need.megabytes {
                return Some(chosen);
            }
        }
        None
    }

    fn size(&self, engine: &Engine, model: &str) -> f64 {
        let adapters = engine.models.get(model).map_or(0, BTreeMap::len);
        self.needs.get(model).map_or(0.0, |need| {
            need.megabytes + adapters as f64 * need.adapter_megabytes
        })
    }

    fn free(&self, engine: &Engine) -> f64 {
        let held: f64 = engine.models.keys().map(|m| self.size(engine, m)).sum();
        // Adapters that requests may ask for soon have their places reserved.
        let adapters: usize = engine.models.values().map(BTreeMap::len).sum();
        let largest = self.needs.values().map(|need| need.adapter_megabytes);
        let reserved = largest.fold(0.0, f64::max) * engine.places.saturating_sub(adapters) as f64;
        engine.megabytes - held - reserved
    }

    fn work(&self, engine: &Engine) -> f64 {
        let per_copy = |model: &Name| {
            let work = self.needs.get(model).map_or(0.0, |need| need.work);
            work / self.copies(model).max(1) as f64
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

/// Where an adapter should go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Berth {
    /// Engine.
    pub engine: Name,
    /// Adapter that has to leave first, with its model.
    pub yields: Option<(Name, Name)>,
}

/// Chooses an engine for an adapter: in the zone if there is one, with a free place, else where an adapter rests longest.
///
/// Engines that hold it already, that lack the model or on which an order is under way are left out.
pub fn berth(
    engines: &[Engine],
    model: &str,
    adapter: &str,
    zone: &str,
    now: Duration,
) -> Option<Berth> {
    let open = engines.iter().filter(|engine| {
        engine.usable
            && !engine.busy
            && engine
                .models
                .get(model)
                .is_some_and(|adapters| !adapters.contains_key(adapter))
    });
    let options = open.filter_map(|engine| {
        let held: usize = engine.models.values().map(BTreeMap::len).sum();
        if held < engine.places {
            return Some((engine, held, None));
        }
        let all = engine.models.iter().flat_map(|(model, adapters)| {
            let with_model = move |(adapter, used)| (model, adapter, used);
            adapters.iter().map(with_model)
        });
        let (model, adapter, used) = all.min_by_key(|(_, _, used)| **used)?;
        let rested = *used + ADAPTER_REST <= now;
        rested.then(|| (engine, held, Some((model.clone(), adapter.clone()))))
    });
    let best = options.min_by_key(|(engine, held, yields)| {
        (
            &*engine.zone != zone,
            yields.is_some(),
            *held,
            engine.id.clone(),
        )
    });
    best.map(|(engine, _, yields)| Berth {
        engine: engine.id.clone(),
        yields,
    })
}
