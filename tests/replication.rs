//! Placement: busy models get copies, no model loses its last one, memory is not exceeded, steady demand moves nothing.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use persimmoncroft::coordination::replication::adapters::{Copies, place_adapter};
use persimmoncroft::coordination::replication::{Engine, Model, Planner, Step};
use persimmoncroft::state::record::Name;
use quickcheck::quickcheck;

const ZONES: [&str; 3] = ["a", "b", "c"];

fn engine(number: usize, megabytes: f64, models: &[&str]) -> Engine {
    let models = models
        .iter()
        .map(|model| (Name::from(*model), BTreeMap::new()));
    Engine {
        id: format!("e{number}").into(),
        zone: ZONES[number % 3].into(),
        megabytes,
        max_adapters: 5,
        models: models.collect(),
        usable: true,
        ..Engine::default()
    }
}

fn model(megabytes: f64, load: f64) -> Model {
    Model {
        megabytes,
        adapter_megabytes: 1.0,
        load,
        adapters: 0,
    }
}

fn planner(engines: Vec<Engine>, models: &[(&str, f64, f64)]) -> Planner {
    let models = models
        .iter()
        .map(|(name, megabytes, load)| (Name::from(*name), model(*megabytes, *load)));
    Planner {
        engines,
        models: models.collect(),
        loading: Vec::new(),
    }
}

/// Guards against models whose only copy stands on an engine that takes few requests, while others have room.
#[test]
fn model_on_an_engine_in_need_gets_a_copy_elsewhere() {
    let mut in_need = engine(0, 80.0, &["m1"]);
    in_need.limited = true;
    let engines = vec![in_need, engine(1, 80.0, &["m2"])];
    let planner = planner(engines, &[("m1", 40.0, 0.05), ("m2", 30.0, 0.05)]);
    let step = planner.step(true, false).unwrap();
    assert_eq!(
        (&*step.engine, &*step.load, step.unload.len()),
        ("e1", "m1", 0)
    );
}

#[test]
fn engine_in_need_gets_no_further_models() {
    let mut in_need = engine(0, 80.0, &[]);
    in_need.limited = true;
    let planner = planner(vec![in_need], &[("m1", 40.0, 0.05)]);
    assert!(planner.step(true, true).is_none());
}

/// Applies a step at once.
fn apply(planner: &mut Planner, step: &Step) {
    let engine = planner
        .engines
        .iter_mut()
        .find(|engine| engine.id == step.engine);
    let engine = engine.expect("the step refers to an existing engine");
    for model in &step.unload {
        engine.models.remove(model);
    }
    engine.models.insert(step.load.clone(), BTreeMap::new());
}

fn converge(planner: &mut Planner) -> usize {
    let mut steps = 0;
    while let Some(step) = planner.step(true, true) {
        apply(planner, &step);
        steps += 1;
        assert!(steps < 200, "placement does not converge");
    }
    steps
}

/// The users' smaller site, with nine engines: two busy models, three idle ones and eight with little demand. Items are
/// name, megabytes and load.
fn small_site(busy: &str, second: &str) -> Vec<(&'static str, f64, f64)> {
    let sizes = [
        16.0, 34.0, 34.0, 34.0, 34.0, 34.0, 16.0, 34.0, 16.0, 16.0, 34.0, 16.0, 16.0,
    ];
    let names = [
        "m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9", "m10", "m11", "m12",
    ];
    let load = |name: &str| match name {
        name if name == busy => 1.2,
        name if name == second => 0.5,
        "m0" | "m1" | "m2" | "m3" | "m4" => 0.0,
        _ => 0.02,
    };
    names
        .iter()
        .zip(sizes)
        .map(|(name, size)| (*name, size, load(name)))
        .collect()
}

#[test]
fn steady_demand_converges() {
    let engines = (0..9).map(|n| engine(n, 83.0, &["m0", "m1"])).collect();
    let mut planner = planner(engines, &small_site("m0", "m1"));
    converge(&mut planner);
    assert_eq!(converge(&mut planner), 0);
    assert!(
        planner
            .models
            .keys()
            .all(|model| planner.copies(model) >= 1)
    );
}

/// Demand that varies by a tenth around a constant mean causes almost no moves.
#[test]
fn small_demand_changes_cause_few_moves() {
    let engines = (0..9).map(|n| engine(n, 83.0, &["m0", "m1"])).collect();
    let mut planner = planner(engines, &small_site("m0", "m1"));
    converge(&mut planner);
    let base = planner.models.clone();
    let mut steps = 0;
    for round in 0..50_usize {
        for (index, (name, model)) in base.iter().enumerate() {
            let factor = if (round + index) % 2 == 0 { 0.9 } else { 1.1 };
            let changed = Model {
                load: model.load * factor,
                ..*model
            };
            planner.models.insert(name.clone(), changed);
        }
        steps += converge(&mut planner);
    }
    assert!(steps <= 6, "{steps} steps");
}

#[test]
fn rising_demand_adds_copies_in_all_zones() {
    let engines = (0..9).map(|n| engine(n, 83.0, &["m0", "m1"])).collect();
    let mut planner = planner(engines, &small_site("m0", "m1"));
    converge(&mut planner);
    for (name, megabytes, load) in small_site("m2", "m0") {
        planner.models.insert(name.into(), model(megabytes, load));
    }
    converge(&mut planner);
    assert!(planner.copies("m2") >= 4, "{} copies", planner.copies("m2"));
    let zones: BTreeSet<&Name> = planner
        .engines
        .iter()
        .filter(|engine| engine.models.contains_key("m2"))
        .map(|engine| &engine.zone)
        .collect();
    assert_eq!(zones.len(), 3);
}

#[test]
fn idle_models_get_a_spare_copy_in_unused_memory() {
    let engines = (0..9).map(|n| engine(n, 200.0, &["m0", "m1"])).collect();
    let mut planner = planner(engines, &small_site("m0", "m1"));
    converge(&mut planner);
    assert!(planner.copies("m3") >= 2);
}

#[test]
fn recently_loaded_copy_is_evicted_only_for_a_model_without_copies() {
    let mut engines: Vec<Engine> = (0..3).map(|n| engine(n, 83.0, &["old"])).collect();
    engines[0].models.insert("busy".into(), BTreeMap::new());
    engines[0].megabytes = 200.0;
    for engine in &mut engines[1..] {
        engine.recent = [Name::from("old")].into();
    }
    let models = [("old", 60.0, 0.0), ("busy", 60.0, 0.5)];
    let mut planner = planner(engines, &models);
    assert_eq!(planner.step(true, true), None);
    let clear_recent = |planner: &mut Planner| {
        planner
            .engines
            .iter_mut()
            .for_each(|engine| engine.recent.clear())
    };
    let mut later = planner.clone();
    clear_recent(&mut later);
    assert_eq!(
        later.step(true, true).map(|step| step.load),
        Some("busy".into())
    );
    planner.models.insert("lost".into(), model(60.0, 0.0));
    assert_eq!(
        planner.step(true, true).map(|step| step.load),
        Some("lost".into())
    );
}

quickcheck! {
    fn memory_is_not_exceeded_and_no_model_loses_its_last_copy(loads: Vec<u8>, sizes: Vec<u8>) -> bool {
        let names: Vec<String> = (0..loads.len().min(12)).map(|n| format!("m{n}")).collect();
        let size = |n: usize| 10.0 + f64::from(sizes.get(n).copied().unwrap_or_default() % 30);
        let models: Vec<(&str, f64, f64)> = names
            .iter()
            .enumerate()
            .map(|(n, name)| (name.as_str(), size(n), f64::from(loads[n]) / 100.0))
            .collect();
        let engines = (0..6).map(|n| engine(n, 83.0, &[])).collect();
        let mut planner = planner(engines, &models);
        let mut placed: BTreeSet<Name> = BTreeSet::new();
        for _ in 0..100 {
            let Some(step) = planner.step(true, true) else {
                break;
            };
            apply(&mut planner, &step);
            let sizes: HashMap<Name, f64> =
                planner.models.iter().map(|(name, model)| (name.clone(), model.megabytes)).collect();
            let over = planner.engines.iter().any(|engine| {
                engine.models.keys().map(|model| sizes[model]).sum::<f64>() > engine.megabytes
            });
            if over || placed.iter().any(|model| planner.copies(model) == 0) {
                return false;
            }
            placed.extend(planner.models.keys().filter(|model| planner.copies(model) > 0).cloned());
        }
        true
    }
}

#[test]
fn adapter_takes_free_capacity_in_its_zone_or_replaces_an_idle_one() {
    let now = Duration::from_secs(100);
    let held = |adapters: &[(&str, u64)]| -> BTreeMap<Name, Duration> {
        let used = |(name, at): &(&str, u64)| (Name::from(*name), Duration::from_secs(*at));
        adapters.iter().map(used).collect()
    };
    let mut near = engine(0, 83.0, &["m"]);
    let mut far = engine(1, 83.0, &["m"]);
    near.models.insert(
        "m".into(),
        held(&[("a1", 1), ("a2", 90), ("a3", 95), ("a4", 96), ("a5", 97)]),
    );
    far.models.insert("m".into(), held(&[("a6", 50)]));
    let engines = vec![near, far];
    let found = place_adapter(&engines, &Copies::count(&engines), "m", "a9", "b", now)
        .expect("an engine is found");
    assert_eq!((&*found.engine, found.evicted), ("e1", None));
    let found = place_adapter(&engines, &Copies::count(&engines), "m", "a9", "a", now)
        .expect("an engine is found");
    assert_eq!(&*found.engine, "e0");
    assert_eq!(found.evicted, Some(("m".into(), "a1".into())));
    assert_eq!(Copies::count(&engines).get("m", "a6"), 1);

    // Adapters in use are evicted last: an engine in another zone with an idle adapter is preferred, and an idle
    // adapter is evicted before one in use that has another copy.
    let mut near = engine(0, 83.0, &["m"]);
    let mut far = engine(1, 83.0, &["m"]);
    let busy = held(&[("a1", 99), ("a2", 99), ("a3", 98), ("a4", 98), ("a5", 98)]);
    let idle = held(&[("a1", 99), ("a6", 99), ("a7", 60), ("a8", 98), ("a9", 98)]);
    near.models.insert("m".into(), busy);
    far.models.insert("m".into(), idle);
    let both = [near, far];
    let found = place_adapter(&both, &Copies::count(&both), "m", "b1", "a", now)
        .expect("an engine is found");
    assert_eq!(&*found.engine, "e1");
    assert_eq!(found.evicted, Some(("m".into(), "a7".into())));
    assert!(place_adapter(&engines, &Copies::count(&engines), "other", "a9", "a", now).is_none());
}
