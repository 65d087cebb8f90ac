//! Benchmarks of one configuration change and one authentication, at the record counts of the two-year capacity plan.

use criterion::{Criterion, criterion_group, criterion_main};
use persimmoncroft::coordination::revision::{Change, plan};
use persimmoncroft::state::config::{Config, Delta};
use persimmoncroft::state::document::Document;
use persimmoncroft::state::record::Key;
use serde_json::{Value, json};

const MODELS: u64 = 1800;
const ENDPOINTS: u64 = 7700;
const KEYS: u64 = 2000;

fn document(value: &Value) -> Document {
    Document::new(value.as_object().expect("a record is an object"))
}

fn records() -> Vec<Document> {
    let mut records = vec![
        json!({"kind": "zone", "name": "a"}),
        json!({"kind": "workspace", "name": "lab", "rate_tokens_per_second": 9, "burst_tokens": 9}),
    ];
    for n in 0..MODELS {
        records.push(json!({"kind": "model", "name": format!("model-{n}"), "memory_mib": 100}));
    }
    for n in 0..ENDPOINTS {
        let address = format!("10.{}.{}.1:80", n / 250, n % 250);
        records.push(
            json!({"kind": "endpoint", "name": format!("engine-{n}"), "zone": "a",
            "address": address, "type": "engine", "slots": 8, "memory_mib": 1000}),
        );
    }
    for n in 0..KEYS {
        let digest = Key::digest_of(&n.to_string());
        records.push(json!({"kind": "key", "name": format!("key-{n}"), "digest": digest, "workspace": "lab"}));
    }
    records.iter().map(document).collect()
}

fn bench_config(criterion: &mut Criterion) {
    let records = records();
    let (config, mistakes) = Config::from_documents(1, records.clone());
    assert!(mistakes.is_empty());
    let written = vec![document(
        &json!({"kind": "model", "name": "model-7", "memory_mib": 101}),
    )];
    let delta = Delta {
        written,
        ..Delta::default()
    };
    let change = Change {
        id: "c".into(),
        withdraw: vec!["key/key-7".into()],
        ..Change::default()
    };
    criterion.bench_function("config/apply one change", |bencher| {
        bencher.iter(|| config.advance(2, &delta))
    });
    criterion.bench_function("config/build from all records", |bencher| {
        bencher.iter(|| Config::from_documents(1, records.clone()));
    });
    criterion.bench_function("config/plan a withdrawal", |bencher| {
        bencher.iter(|| plan(&config, 1, &change))
    });
    criterion.bench_function("config/authenticate", |bencher| {
        bencher.iter(|| config.authenticate("1234").is_some())
    });
}

criterion_group!(benches, bench_config);
criterion_main!(benches);
