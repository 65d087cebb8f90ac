//! Placement decisions executed on simulated engines, checked against the memory that the engines actually use.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use persimmoncroft::coordination::ledger::{Change, Holding, Ledger, Report, ReportedModel};
use persimmoncroft::coordination::placement::{
    Host, MILLISLOTS_PER_SLOT, Model, Move, Strategy, View, decide,
};
use persimmoncroft::state::record::Name;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const ZONES: [&str; 3] = ["a", "b", "c"];
const CAPACITY_MIB: u64 = 1000;
const SLOTS: u32 = 16;
const ROUND_DURATION: Duration = Duration::from_secs(2);
/// Rounds after which duplicates of a load order are forgotten.
const DUPLICATE_LIFETIME_ROUNDS: usize = 15;

/// A simulated engine that executes orders at once.
#[derive(Debug, Clone)]
struct Engine {
    zone: &'static str,
    open: bool,
    copies: BTreeMap<(Name, u64), u64>,
}

#[derive(Debug, Clone)]
struct World {
    models: Vec<Model>,
    engines: Vec<Engine>,
    ledgers: Vec<Ledger>,
    loaded_at: HashMap<String, usize>,
    short_since: HashMap<Name, usize>,
    round: usize,
    moves: usize,
}

impl World {
    fn new(models: Vec<Model>, engines: usize) -> Self {
        let engine = |index: usize| Engine {
            zone: ZONES[index % ZONES.len()],
            open: true,
            copies: BTreeMap::new(),
        };
        let engines: Vec<Engine> = (0..engines).map(engine).collect();
        Self {
            ledgers: engines.iter().map(|e| Ledger::adopt(&e.report())).collect(),
            models,
            engines,
            loaded_at: HashMap::new(),
            short_since: HashMap::new(),
            round: 0,
            moves: 0,
        }
    }

    fn view(&self, zone: &str) -> View {
        let hosts = self.engines.iter().zip(&self.ledgers).enumerate();
        let hosts = hosts.map(|(index, (engine, ledger))| Host {
            name: index.to_string().into(),
            zone: engine.zone.into(),
            local: engine.zone == zone,
            open: engine.open,
            capacity_mib: CAPACITY_MIB,
            slots: SLOTS,
            ledger: ledger.clone(),
            ready: engine.copies.keys().cloned().collect(),
            stuck: Vec::new(),
        });
        let mut view = View {
            zone: zone.into(),
            models: self.models.clone(),
            hosts: hosts.collect(),
            loads: 2,
            load_seconds: 2,
            strategy: Strategy::Forecast,
        };
        for model in &mut view.models {
            let since = self.short_since.get(&model.name);
            let rounds = since.map_or(0, |since| self.round - since);
            model.short_for = ROUND_DURATION * rounds as u32;
        }
        view
    }

    /// Makes one decision for each zone from the same state, then executes them.
    fn step(&mut self) -> usize {
        self.update_shortages();
        let decisions: Vec<Vec<Move>> = ZONES.map(|zone| decide(&self.view(zone))).into();
        let moves: Vec<Move> = decisions.into_iter().flatten().collect();
        let mut changed: BTreeSet<usize> = BTreeSet::new();
        for step in &moves {
            let host: usize = step.endpoint.parse().unwrap();
            let remaining_replica = step
                .remaining_replica
                .as_ref()
                .map(|name| name.parse().unwrap());
            if remaining_replica
                .is_some_and(|remaining_replica| changed.contains(&remaining_replica))
            {
                continue;
            }
            self.execute(host, &step.change);
            changed.insert(host);
            self.moves += 1;
        }
        self.round += 1;
        for index in 0..self.engines.len() {
            let report = self.engines[index].report();
            self.ledgers[index].observe(&report, true);
            let expired: Vec<_> = self.ledgers[index]
                .recent
                .iter()
                .map(|recent| recent.id.clone())
                .filter(|id| self.round > self.loaded_at[&**id] + DUPLICATE_LIFETIME_ROUNDS)
                .collect();
            expired.iter().for_each(|id| self.ledgers[index].forget(id));
        }
        moves.len()
    }

    fn update_shortages(&mut self) {
        for model in &self.models {
            if self.zones_of(&model.name).len() >= 2 {
                self.short_since.remove(&model.name);
            } else {
                self.short_since
                    .entry(model.name.clone())
                    .or_insert(self.round);
            }
        }
    }

    fn execute(&mut self, host: usize, change: &Change) {
        let id = format!("{}-{host}", self.round);
        self.ledgers[host]
            .begin(&id, change.clone(), CAPACITY_MIB)
            .expect("the ledger refused the decision");
        self.loaded_at.insert(id, self.round);
        let engine = &mut self.engines[host];
        match change {
            Change::Load(Holding {
                model,
                version,
                memory_mib,
            }) => drop(engine.copies.insert((model.clone(), *version), *memory_mib)),
            Change::Unload { model, version } => engine
                .copies
                .retain(|(name, held), _| name != model || held > version),
        }
    }

    fn zones_of(&self, model: &str) -> BTreeSet<&str> {
        let engines = self.engines.iter().filter(|engine| engine.open);
        let holding = engines.filter(|e| e.copies.keys().any(|(name, _)| &**name == model));
        holding.map(|engine| engine.zone).collect()
    }

    fn copies_of(&self, model: &str) -> usize {
        let copies = self.engines.iter().flat_map(|engine| engine.copies.keys());
        copies.filter(|(name, _)| &**name == model).count()
    }

    fn reachable(&self) -> BTreeSet<Name> {
        let names = self.models.iter().map(|model| model.name.clone());
        names
            .filter(|name| !self.zones_of(name).is_empty())
            .collect()
    }

    fn run_rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.step();
        }
    }
}

impl Engine {
    fn report(&self) -> Report {
        let copies = self
            .copies
            .iter()
            .map(|((model, version), mib)| ReportedModel {
                holding: Holding {
                    model: model.clone(),
                    version: *version,
                    memory_mib: *mib,
                },
                ready: true,
            });
        Report {
            boot: "1".into(),
            last_order: None,
            fence: 0,
            copies: copies.collect(),
        }
    }

    fn used_mib(&self) -> u64 {
        self.copies.values().sum()
    }
}

fn model(index: usize, memory_mib: u64, need: u64) -> Model {
    Model {
        name: format!("m{index}").into(),
        version: 1,
        memory_mib,
        min_replicas: 1,
        need,
        short_for: Duration::ZERO,
    }
}

fn models(count: usize) -> Vec<Model> {
    (0..count).map(|index| model(index, 200, 100)).collect()
}

/// A change between two decisions.
#[derive(Debug, Clone)]
enum Event {
    Demand(usize, u16),
    Version(usize),
    Zone(usize, bool),
    Restart(usize),
}

#[derive(Debug, Clone)]
struct Scenario(Vec<Event>);

impl Arbitrary for Scenario {
    fn arbitrary(source: &mut Gen) -> Self {
        let event = |source: &mut Gen| {
            let index = usize::from(u8::arbitrary(source));
            match u8::arbitrary(source) % 8 {
                0..=4 => Event::Demand(index, u16::arbitrary(source)),
                5 => Event::Version(index),
                6 => Event::Zone(index, bool::arbitrary(source)),
                _ => Event::Restart(index),
            }
        };
        Self((0..40).map(|_| event(source)).collect())
    }
}

impl World {
    fn apply(&mut self, event: &Event) {
        match event {
            Event::Demand(index, need) => {
                let index = index % self.models.len();
                self.models[index].need = u64::from(*need);
            }
            Event::Version(index) => {
                let index = index % self.models.len();
                self.models[index].version += 1;
            }
            Event::Zone(index, open) => {
                let zone = ZONES[index % ZONES.len()];
                let mut engines = self.engines.iter_mut();
                engines
                    .by_ref()
                    .for_each(|engine| engine.open |= engine.zone != zone);
                let same = self.engines.iter_mut().filter(|engine| engine.zone == zone);
                same.for_each(|engine| engine.open = *open);
            }
            Event::Restart(index) => {
                let index = index % self.engines.len();
                self.engines[index].copies.clear();
            }
        }
    }
}

/// Under changes of demand, versions, zones and endpoints, memory in use is at most the ledger's reservation, which
/// is at most the capacity, and no decision removes the last replica of a model.
#[test]
fn memory_and_availability_invariants_hold() {
    fn property(scenario: Scenario) -> bool {
        let mut world = World::new(models(14), 9);
        world.run_rounds(30);
        for event in &scenario.0 {
            world.apply(event);
            for _ in 0..4 {
                let before = world.reachable();
                world.step();
                if !world.reachable().is_superset(&before) {
                    return false;
                }
                let mut pairs = world.engines.iter().zip(&world.ledgers);
                let sound = pairs.all(|(engine, ledger)| {
                    let reserved = ledger.reserved_mib();
                    engine.used_mib() <= reserved && reserved <= CAPACITY_MIB
                });
                if !sound {
                    return false;
                }
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 11))
        .tests(60)
        .quickcheck(property as fn(Scenario) -> bool);
}

#[test]
fn every_model_reaches_two_zones() {
    let mut world = World::new(models(14), 9);
    world.run_rounds(30);
    let short = world
        .models
        .iter()
        .filter(|m| world.zones_of(&m.name).len() < 2);
    assert_eq!(short.count(), 0);
}

#[test]
fn full_fleet_serves_every_model() {
    let mut world = World::new(models(40), 9);
    world.run_rounds(60);
    assert_eq!(world.reachable().len(), 40);
}

#[test]
fn tenfold_demand_adds_replicas_then_settles() {
    let mut world = World::new(models(14), 9);
    world.run_rounds(60);
    let before = world.copies_of("m3");
    world.models[3].need = 10 * u64::from(SLOTS) * MILLISLOTS_PER_SLOT / 2;
    world.run_rounds(60);
    assert!(world.copies_of("m3") >= before + 2);
    let moves = world.moves;
    world.run_rounds(60);
    assert_eq!(
        world.moves, moves,
        "placement still moves models under constant demand"
    );
}

#[test]
fn new_version_replaces_old_when_memory_is_full() {
    let mut world = World::new((0..22).map(|index| model(index, 200, 100)).collect(), 9);
    world.run_rounds(60);
    for model in &mut world.models {
        model.version = 2;
    }
    let reachable = world.reachable();
    for _ in 0..600 {
        world.step();
        assert!(world.reachable().is_superset(&reachable));
    }
    let copies = world.engines.iter().flat_map(|engine| engine.copies.keys());
    assert_eq!(copies.filter(|(_, version)| *version == 1).count(), 0);
}
