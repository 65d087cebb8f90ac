//! Which model an engine should load or make room for next, and where an adapter should go.
//!
//! Every model keeps a copy; busy models get copies by their work, spread over zones. A step is planned for one engine
//! at a time, and only for engines on which no order is under way.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::state::record::Name;

/// Load of one copy, as a share of an engine's time, above which another copy is wanted.
pub const COPY_LOAD: f64 = 0.12;

/// Load of one copy up to which a model may lose one; the distance to [`COPY_LOAD`] keeps copies from coming and going.
const KEPT_LOAD: f64 = 0.2;

/// Load from which a model has two copies so that the loss of one stops nothing.
const PAIR_LOAD: f64 = 0.08;

/// Copies that every model should have where no busier one needs the room.
const SPARE_COPIES: usize = 2;

/// Places for adapters in use that a model's copies should have, as a multiple of their number.
const PLACES_PER_ADAPTER: f64 = 1.15;

/// Load per copy that remains of a victim, as a share of that of the model in its place, up to which it may yield.
const YIELD_SHARE: f64 = 0.6;

/// Time for which an adapter stays after its last use before it may yield to another.
const ADAPTER_REST: Duration = Duration::from_millis(700);

/// Time for which a request uses its adapter, mostly; one that is unloaded earlier keeps its place until then.
const ADAPTER_USE: Duration = Duration::from_millis(2500);

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
    /// Models that came a short while ago and stay for now.
    pub fresh: BTreeSet<Name>,
    /// Models whose weights it keeps in its own memory or disk.
    pub cached: BTreeSet<Name>,
    /// Whether the next order has to wait.
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
    /// Load of all its requests together, as a share of one engine's time.
    pub load: f64,
    /// Adapters that requests have asked for of late.
    pub adapters: usize,
}

/// A change at one engine: models that leave it, and the one that takes their place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Engine.
    pub engine: Name,
    /// Models that leave first.
    pub unload: Vec<Name>,
    /// Model that is loaded.
    pub load: Name,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
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
}

impl Stock {
    /// Usable copies of a model, with those that are being loaded.
    pub fn copies(&self, model: &str) -> usize {
        let held = self.engines.iter().filter(|engine| engine.usable);
        let held = held.filter(|engine| engine.models.contains_key(model));
        let loading = self.loading.iter().filter(|(_, name)| &**name == model);
        held.count() + loading.count()
    }

    /// Copies that a model should have.
    pub fn wanted(&self, model: &str) -> usize {
        self.copies_at(model, COPY_LOAD)
    }

    fn copies_at(&self, model: &str, load_per_copy: f64) -> usize {
        let Some(need) = self.needs.get(model) else {
            return 0;
        };
        let usable = || self.engines.iter().filter(|engine| engine.usable);
        let by_load = (need.load / load_per_copy).ceil() as usize;
        let places = usable()
            .map(|engine| engine.places)
            .max()
            .unwrap_or(0)
            .max(1);
        let by_adapters =
            (need.adapters as f64 * PLACES_PER_ADAPTER / places as f64).ceil() as usize;
        let least = if need.load >= PAIR_LOAD { 2 } else { 1 };
        let copies = by_load.max(by_adapters).max(least);
        copies.min(usable().count().max(1))
    }

    /// The next step, or none when all is well or nothing can be done now; loads from the weight store only if they
    /// may begin, and spare ones only if nothing else is being loaded from it.
    ///
    /// ```
    /// use persimmoncroft::coordination::stock::{Engine, Need, Stock};
    /// let engine = Engine { id: "e".into(), megabytes: 80.0, usable: true, ..Engine::default() };
    /// let need = Need { megabytes: 40.0, adapter_megabytes: 1.0, load: 0.0, adapters: 0 };
    /// let stock = Stock { engines: vec![engine], needs: [("m".into(), need)].into(), ..Stock::default() };
    /// assert!(stock.step(false, false).is_none());
    /// let step = stock.step(true, true).unwrap();
    /// assert_eq!((&*step.load, step.unload.len(), step.from_store), ("m", 0, true));
    /// ```
    pub fn step(&self, store: bool, spare: bool) -> Option<Step> {
        let mut short: Vec<(&Name, f64)> = self
            .needs
            .iter()
            .filter_map(|(model, need)| {
                let copies = self.copies(model);
                let urgency = match copies {
                    0 => f64::MAX,
                    _ => need.load / copies as f64,
                };
                (copies < self.wanted(model)).then_some((model, urgency))
            })
            .collect();
        short.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(b.0)));
        let needed = short
            .iter()
            .find_map(|(model, _)| self.place(model, store, true));
        needed.or_else(|| self.spare(store && spare))
    }

    /// A spare copy of a model with few, in the place of copies that nobody needs: silent models rise without notice.
    fn spare(&self, store: bool) -> Option<Step> {
        let few = self
            .needs
            .iter()
            .filter(|(model, _)| self.copies(model) < SPARE_COPIES);
        let mut few: Vec<(&Name, f64)> = few.map(|(model, need)| (model, need.load)).collect();
        few.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(b.0)));
        few.iter()
            .find_map(|(model, _)| self.place(model, store, false))
    }

    fn place(&self, model: &Name, store: bool, needed: bool) -> Option<Step> {
        let need = self.needs.get(model)?;
        let open = self.engines.iter().filter(|engine| {
            engine.usable
                && !engine.busy
                && !engine.models.contains_key(model)
                && engine.megabytes >= need.megabytes
                && (store || engine.cached.contains(model))
        });
        let options = open.filter_map(|engine| {
            let leaving = self.room(engine, model, need, needed)?;
            Some((engine, leaving))
        });
        let key = |engine: &Engine, victims: &Vec<Name>| {
            (
                self.zone_copies(model, &engine.zone),
                !engine.cached.contains(model),
                victims.len(),
            )
        };
        let best = options.min_by(|(one, a), (other, b)| {
            key(one, a)
                .cmp(&key(other, b))
                .then_with(|| self.load(one).total_cmp(&self.load(other)))
                .then_with(|| one.id.cmp(&other.id))
        });
        best.map(|(engine, unload)| Step {
            engine: engine.id.clone(),
            unload,
            load: model.clone(),
            from_store: !engine.cached.contains(model),
        })
    }

    /// Models that have to leave an engine for another one, least loaded first; none if too few may.
    fn room(&self, engine: &Engine, model: &Name, need: &Need, needed: bool) -> Option<Vec<Name>> {
        let mut free = self.free(engine);
        if free >= need.megabytes {
            return Some(Vec::new());
        }
        let relief = need.load / (self.copies(model) + 1) as f64;
        let alone = self.copies(model) == 0;
        let mut victims: Vec<(&Name, f64)> = engine
            .models
            .keys()
            .filter_map(|held| {
                let Some(victim) = self.needs.get(held) else {
                    return Some((held, 0.0));
                };
                let copies = self.copies(held);
                let left = victim.load / copies.saturating_sub(1).max(1) as f64;
                let settled = alone || !engine.fresh.contains(held);
                let kept = self.copies_at(held, KEPT_LOAD);
                // What would be moved back at once is not moved.
                let gains = left < relief * YIELD_SHARE;
                let may_leave = match needed {
                    true => alone || (gains && copies > kept.min(SPARE_COPIES)),
                    false => copies > self.wanted(held).max(SPARE_COPIES) + 1,
                };
                (copies >= 2 && settled && may_leave).then_some((held, left))
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

    /// Load of an engine by its copies' parts.
    fn load(&self, engine: &Engine) -> f64 {
        let per_copy = |model: &Name| {
            let load = self.needs.get(model).map_or(0.0, |need| need.load);
            load / self.copies(model).max(1) as f64
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

/// Engines that hold an adapter.
pub fn adapter_copies(engines: &[Engine], model: &str, adapter: &str) -> usize {
    let holds = |engine: &&Engine| {
        let adapters = engine.models.get(model);
        adapters.is_some_and(|adapters| adapters.contains_key(adapter))
    };
    engines.iter().filter(holds).count()
}

/// Chooses an engine for an adapter: in the zone if there is one, with a free place, else where an adapter rests; one that
/// no request uses any more yields first, then one with another copy, then the one that rests longest.
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
            return Some((engine, held, false, None));
        }
        let all = engine.models.iter().flat_map(|(model, adapters)| {
            let with_model = move |(adapter, used)| (model, adapter, used);
            adapters.iter().map(with_model)
        });
        let rest = |(model, adapter, used): &(&Name, &Name, &Duration)| {
            let in_use = **used + ADAPTER_USE > now;
            (in_use, adapter_copies(engines, model, adapter) < 2, **used)
        };
        let (model, adapter, used) = all.min_by_key(rest)?;
        let rested = *used + ADAPTER_REST <= now || adapter_copies(engines, model, adapter) > 1;
        let in_use = *used + ADAPTER_USE > now;
        rested.then(|| (engine, held, in_use, Some((model.clone(), adapter.clone()))))
    });
    let best = options.min_by_key(|(engine, held, in_use, yields)| {
        (
            *in_use,
            &*engine.zone != zone,
            yields.is_some(),
            *held,
            engine.id.clone(),
        )
    });
    best.map(|(engine, _, _, yields)| Berth {
        engine: engine.id.clone(),
        yields,
    })
}
