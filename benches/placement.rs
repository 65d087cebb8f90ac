//! Benchmark of one placement decision, by number of models.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use persimmoncroft::coordination::ledger::{Holding, Ledger, Report, ReportedModel};
use persimmoncroft::coordination::placement::{Host, Model, Strategy, View, decide};

const MODEL_MIB: u64 = 200;
const HOST_CAPACITY_MIB: u64 = 1000;
const COPIES_PER_MODEL: usize = 2;
const ZONES: usize = 3;
const SLOTS_PER_HOST: u32 = 16;

/// Builds a fleet in which each model has copies in two zones and every tenth model is in high demand.
fn view(models: usize) -> View {
    let hosts = models * COPIES_PER_MODEL * MODEL_MIB as usize / HOST_CAPACITY_MIB as usize + ZONES;
    let holding = |model: usize| Holding {
        model: format!("m{model}").into(),
        version: 1,
        memory_mib: MODEL_MIB,
    };
    let host = |index: usize| {
        let copies = (0..models * COPIES_PER_MODEL).filter(|copy| copy % hosts == index);
        let copies: Vec<Holding> = copies
            .map(|copy| holding(copy / COPIES_PER_MODEL))
            .collect();
        let ready = copies.iter().map(|copy| (copy.model.clone(), copy.version));
        Host {
            name: format!("e{index}").into(),
            zone: format!("z{}", index % ZONES).into(),
            local: index.is_multiple_of(ZONES),
            open: true,
            capacity_mib: HOST_CAPACITY_MIB,
            slots: SLOTS_PER_HOST,
            ready: ready.collect(),
            stuck: Vec::new(),
            ledger: Ledger::adopt(&Report {
                boot: "1".into(),
                last_order: None,
                fence: 0,
                copies: copies
                    .into_iter()
                    .map(|holding| ReportedModel {
                        holding,
                        ready: true,
                    })
                    .collect(),
            }),
        }
    };
    let model = |index: usize| Model {
        name: format!("m{index}").into(),
        version: 1,
        memory_mib: MODEL_MIB,
        min_replicas: 1,
        need: if index.is_multiple_of(10) {
            40_000
        } else {
            500
        },
        short_for: Duration::ZERO,
    };
    View {
        zone: "z0".into(),
        models: (0..models).map(model).collect(),
        hosts: (0..hosts).map(host).collect(),
        loads: 6,
        load_seconds: 2,
        strategy: Strategy::Forecast,
    }
}

fn bench_decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    for models in [14, 180, 1800] {
        let view = view(models);
        let id = BenchmarkId::new("decide", models);
        group.bench_with_input(id, &view, |bencher, view| {
            bencher.iter(|| decide(black_box(view)));
        });
    }
    group.finish();
}

criterion_group!(benches, bench_decide);
criterion_main!(benches);
