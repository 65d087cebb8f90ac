//! Placement on a platform: busy models get copies, none loses its last, memory holds, and steady demand moves nothing.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use persimmoncroft::coordination::stock::{Engine, Need, Step, Stock, adapter_copies, berth};
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
        places: 5,
        models: models.collect(),
        usable: true,
        ..Engine::default()
    }
}

fn need(megabytes: f64, load: f64) -> Need {
    Need {
        megabytes,
        adapter_megabytes: 1.0,
        load,
        adapters: 0,
    }
}

fn stock(engines: Vec<Engine>, needs: &[(&str, f64, f64)]) -> Stock {
    let needs = needs
        .iter()
        .map(|(model, megabytes, load)| (Name::from(*model), need(*megabytes, *load)));
    Stock {
        engines,
        needs: needs.collect(),
        loading: Vec::new(),
    }
}

/// Carries a step out at once.
fn apply(stock: &mut Stock, step: &Step) {
    let engine = stock
        .engines
        .iter_mut()
        .find(|engine| engine.id == step.engine);
    let engine = engine.expect("the step names an engine");
    for model in &step.unload {
        engine.models.remove(model);
    }
    engine.models.insert(step.load.clone(), BTreeMap::new());
}

fn settle(stock: &mut Stock) -> usize {
    let mut steps = 0;
    while let Some(step) = stock.step(true, true) {
        apply(stock, &step);
        steps += 1;
        assert!(steps < 200, "placement does not come to rest");
    }
    steps
}

/// The users' smaller site: nine engines, two busy models, three silent ones and eight that trickle.
fn glockenhof(busy: &str, second: &str) -> Vec<(&'static str, f64, f64)> {
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
fn steady_demand_comes_to_rest() {
    let engines = (0..9).map(|n| engine(n, 83.0, &["m0", "m1"])).collect();
    let mut stock = stock(engines, &glockenhof("m0", "m1"));
    settle(&mut stock);
    assert_eq!(settle(&mut stock), 0);
    assert!(stock.needs.keys().all(|model| stock.copies(model) >= 1));
}

/// Demand varies by a tenth around the same mean: what was loaded once is not moved again.
#[test]
fn small_changes_of_demand_move_nothing() {
    let engines = (0..9).map(|n| engine(n, 83.0, &["m0", "m1"])).collect();
    let mut stock = stock(engines, &glockenhof("m0", "m1"));
    settle(&mut stock);
    let base = stock.needs.clone();
    let mut steps = 0;
    for round in 0..50_usize {
        for (index, (model, need)) in base.iter().enumerate() {
            let factor = if (round + index) % 2 == 0 { 0.9 } else { 1.1 };
            let changed = Need {
                load: need.load * factor,
                ..*need
            };
            stock.needs.insert(model.clone(), changed);
        }
        steps += settle(&mut stock);
    }
    assert!(steps <= 6, "{steps} steps");
}

#[test]
fn model_that_rises_gets_copies_on_several_engines() {
    let engines = (0..9).map(|n| engine(n, 83.0, &["m0", "m1"])).collect();
    let mut stock = stock(engines, &glockenhof("m0", "m1"));
    settle(&mut stock);
    for (model, megabytes, load) in glockenhof("m2", "m0") {
        stock.needs.insert(model.into(), need(megabytes, load));
    }
    settle(&mut stock);
    assert!(stock.copies("m2") >= 4, "{} copies", stock.copies("m2"));
    let zones: BTreeSet<&Name> = stock
        .engines
        .iter()
        .filter(|engine| engine.models.contains_key("m2"))
        .map(|engine| &engine.zone)
        .collect();
    assert_eq!(zones.len(), 3);
}

#[test]
fn silent_models_have_a_spare_where_nobody_needs_the_room() {
    let engines = (0..9).map(|n| engine(n, 200.0, &["m0", "m1"])).collect();
    let mut stock = stock(engines, &glockenhof("m0", "m1"));
    settle(&mut stock);
    assert!(stock.copies("m3") >= 2);
}

#[test]
fn copy_that_came_a_moment_ago_stays_unless_a_model_has_none() {
    let mut engines: Vec<Engine> = (0..3).map(|n| engine(n, 83.0, &["old"])).collect();
    engines[0].models.insert("busy".into(), BTreeMap::new());
    engines[0].megabytes = 200.0;
    for engine in &mut engines[1..] {
        engine.fresh = [Name::from("old")].into();
    }
    let needs = [("old", 60.0, 0.0), ("busy", 60.0, 0.5)];
    let mut stock = stock(engines, &needs);
    assert_eq!(stock.step(true, true), None);
    let settled = |stock: &mut Stock| {
        stock
            .engines
            .iter_mut()
            .for_each(|engine| engine.fresh.clear())
    };
    let mut later = stock.clone();
    settled(&mut later);
    assert_eq!(
        later.step(true, true).map(|step| step.load),
        Some("busy".into())
    );
    stock.needs.insert("lost".into(), need(60.0, 0.0));
    assert_eq!(
        stock.step(true, true).map(|step| step.load),
        Some("lost".into())
    );
}

quickcheck! {
    fn memory_holds_and_no_model_loses_its_last_copy(loads: Vec<u8>, sizes: Vec<u8>) -> bool {
        let names: Vec<String> = (0..loads.len().min(12)).map(|n| format!("m{n}")).collect();
        let size = |n: usize| 10.0 + f64::from(sizes.get(n).copied().unwrap_or_default() % 30);
        let needs: Vec<(&str, f64, f64)> = names
            .iter()
            .enumerate()
            .map(|(n, name)| (name.as_str(), size(n), f64::from(loads[n]) / 100.0))
            .collect();
        let engines = (0..6).map(|n| engine(n, 83.0, &[])).collect();
        let mut stock = stock(engines, &needs);
        let mut had: BTreeSet<Name> = BTreeSet::new();
        for _ in 0..100 {
            let Some(step) = stock.step(true, true) else {
                break;
            };
            apply(&mut stock, &step);
            let sizes: HashMap<Name, f64> =
                stock.needs.iter().map(|(name, need)| (name.clone(), need.megabytes)).collect();
            let over = stock.engines.iter().any(|engine| {
                engine.models.keys().map(|model| sizes[model]).sum::<f64>() > engine.megabytes
            });
            if over || had.iter().any(|model| stock.copies(model) == 0) {
                return false;
            }
            had.extend(stock.needs.keys().filter(|model| stock.copies(model) > 0).cloned());
        }
        true
    }
}

#[test]
fn adapter_goes_to_a_free_place_in_the_zone_and_else_replaces_one_that_rests() {
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
    let place = berth(&engines, "m", "a9", "b", now).expect("there is a place");
    assert_eq!((&*place.engine, place.yields), ("e1", None));
    let place = berth(&engines, "m", "a9", "a", now).expect("there is a place");
    assert_eq!(&*place.engine, "e0");
    assert_eq!(place.yields, Some(("m".into(), "a1".into())));
    assert_eq!(adapter_copies(&engines, "m", "a6"), 1);

    // One that requests still use keeps its place until they end: another zone's engine with an idle one goes first,
    // and an idle one goes before one in use that has another copy.
    let mut near = engine(0, 83.0, &["m"]);
    let mut far = engine(1, 83.0, &["m"]);
    let busy = held(&[("a1", 99), ("a2", 99), ("a3", 98), ("a4", 98), ("a5", 98)]);
    let idle = held(&[("a1", 99), ("a6", 99), ("a7", 60), ("a8", 98), ("a9", 98)]);
    near.models.insert("m".into(), busy);
    far.models.insert("m".into(), idle);
    let place = berth(&[near, far], "m", "b1", "a", now).expect("there is a place");
    assert_eq!(&*place.engine, "e1");
    assert_eq!(place.yields, Some(("m".into(), "a7".into())));
    assert!(berth(&engines, "other", "a9", "a", now).is_none());
}
