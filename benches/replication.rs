//! Benchmark of a planning step by the size of the fleet: nothing can be placed, so that all models and engines are
//! compared.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use persimmoncroft::coordination::replication::adapters::{Copies, place_adapter};
use persimmoncroft::coordination::replication::{Engine, Model, Planner};
use persimmoncroft::state::record::Name;

/// Models that an engine holds.
const MODELS_PER_ENGINE: usize = 3;

/// Adapters that an engine holds.
const ADAPTERS_PER_ENGINE: usize = 8;

fn name(number: usize) -> Name {
    format!("m{number}").into()
}

fn planner(engines: usize, models: usize) -> Planner {
    let adapters = |engine: usize| {
        let numbers = (0..ADAPTERS_PER_ENGINE).map(move |adapter| engine + adapter);
        let adapters =
            numbers.map(|number| (format!("a{}", number % 64).into(), Duration::from_secs(1)));
        adapters.collect::<BTreeMap<Name, Duration>>()
    };
    let engines = (0..engines).map(|number| {
        let held = (0..MODELS_PER_ENGINE).map(|held| (number * MODELS_PER_ENGINE + held) % models);
        let held = held.enumerate().map(|(position, model)| {
            let adapters = if position == 0 {
                adapters(number)
            } else {
                BTreeMap::new()
            };
            (name(model), adapters)
        });
        Engine {
            id: format!("e{number}").into(),
            zone: format!("z{}", number % 5).into(),
            megabytes: 200_000.0,
            max_adapters: ADAPTERS_PER_ENGINE,
            models: held.collect(),
            usable: true,
            ..Engine::default()
        }
    });
    let model = |number: usize| Model {
        megabytes: 66_000.0,
        adapter_megabytes: 66.0,
        load: if number.is_multiple_of(5) { 0.5 } else { 0.001 },
        adapters: 3,
    };
    Planner {
        engines: engines.collect(),
        models: (0..models)
            .map(|number| (name(number), model(number)))
            .collect(),
        loading: Vec::new(),
    }
}

fn steps(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("replication");
    for (engines, models) in [(9, 14), (60, 104), (160, 275), (7700, 1800)] {
        let planner = planner(engines, models);
        let id = format!("{engines} engines, {models} models");
        group.bench_with_input(BenchmarkId::new("step", &id), &planner, |bench, planner| {
            bench.iter(|| black_box(planner.step(false, false)));
        });
        group.bench_with_input(
            BenchmarkId::new("adapter", &id),
            &planner,
            |bench, planner| {
                let copies = Copies::count(&planner.engines);
                let now = Duration::from_secs(1);
                bench.iter(|| {
                    black_box(place_adapter(
                        &planner.engines,
                        &copies,
                        "m0",
                        "none",
                        "z0",
                        now,
                    ))
                });
            },
        );
        group.bench_with_input(
            BenchmarkId::new("adapter copies", &id),
            &planner,
            |bench, planner| {
                bench.iter(|| black_box(Copies::count(&planner.engines)));
            },
        );
    }
    group.finish();
}

criterion_group!(benches, steps);
criterion_main!(benches);
