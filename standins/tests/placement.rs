//! Placement and adapters over sockets, with lost, late or duplicated orders, endpoint restarts, a zone outage and a
//! store outage.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use persimmoncroft::protocol::table::Transaction;
use persimmoncroft::state::record::Key;
use persimmoncroft::transport::http::Client;
use persimmoncroft::transport::platform::Instance;
use persimmoncroft::{Daemon, Settings};
use serde_json::json;
use standins::engine::{Engine, Settings as EngineSettings};
use standins::loader::Loader;
use standins::platform::Platform;
use standins::recorder::Recorder;

const SECRET: &str = "sk-lakeshore-1";
const MODELS: [&str; 6] = ["m0", "m1", "m2", "m3", "m4", "m5"];
const MODEL_MIB: u64 = 100;
const ADAPTERS: usize = 6;
const ADAPTER_POOL_MIB: u64 = 40;
const ADAPTER_MIB: u64 = 10;
const ENGINE_MIB: u64 = 6 * MODEL_MIB + ADAPTER_POOL_MIB;
const ZONES: [&str; 2] = ["a", "b"];

struct Fleet {
    platform: Platform,
    engines: Vec<Engine>,
    daemons: Vec<Daemon>,
    recorder: Arc<Recorder>,
}

async fn spawn_engine(
    index: usize,
    recorder: &Arc<Recorder>,
    model_loader: &Arc<Loader>,
) -> Engine {
    let settings = EngineSettings {
        name: format!("e{index}").into(),
        zone: ZONES[index % 2].into(),
        memory_mib: ENGINE_MIB,
        fenced: index < 2,
        report_delay: Duration::from_millis(100),
        ..EngineSettings::local(&[])
    };
    let adapter_loader = Arc::new(Loader::new(8, Duration::from_millis(8)));
    Engine::spawn_with(
        settings,
        recorder.clone(),
        model_loader.clone(),
        adapter_loader,
    )
    .await
    .unwrap()
}

fn records(engines: &[Engine]) -> Transaction {
    let digest = Key::digest_of(SECRET);
    let mut records = vec![
        json!({"kind": "workspace", "name": "lab", "rate_tokens_per_second": 100000, "burst_tokens": 100000}),
        json!({"kind": "key", "name": "k1", "digest": digest, "workspace": "lab"}),
    ];
    records.extend(ZONES.map(|zone| json!({"kind": "zone", "name": zone})));
    records
        .extend(MODELS.map(|name| json!({"kind": "model", "name": name, "memory_mib": MODEL_MIB})));
    records.extend((0..ADAPTERS).map(|index| {
        json!({"kind": "adapter", "name": format!("x{index}"), "model": "m0", "memory_mib": ADAPTER_MIB})
    }));
    records.extend(engines.iter().map(|engine| {
        json!({"kind": "endpoint", "name": engine.name(), "zone": engine.zone(), "address": engine.address,
            "type": "engine", "slots": 8, "memory_mib": ENGINE_MIB, "adapter_pool_mib": ADAPTER_POOL_MIB})
    }));
    let mut transaction = Transaction::default().put("config/revision", &json!({"revision": 1}));
    for record in records {
        let kind = record["kind"].as_str().unwrap();
        let key = format!("record/{kind}/{}", record["name"].as_str().unwrap());
        transaction = transaction.put(&key, &record);
    }
    transaction
}

impl Fleet {
    /// Starts two zones with one daemon and two empty engines each; orders fail at a rate per thousand.
    async fn spawn(faults_per_mille: u64) -> Self {
        let platform = Platform::spawn().await.unwrap();
        let recorder = Arc::<Recorder>::default();
        let model_loader = Arc::new(Loader::new(4, Duration::from_millis(50)));
        let mut engines = Vec::new();
        for index in 0..4 {
            let engine = spawn_engine(index, &recorder, &model_loader).await;
            engine.set_faults(|faults| {
                faults.lost_orders_per_mille = faults_per_mille;
                faults.late_orders_per_mille = faults_per_mille;
                faults.lost_responses_per_mille = faults_per_mille;
            });
            engines.push(engine);
        }
        platform.state.lock().commit(&records(&engines));
        let mut daemons = Vec::new();
        for zone in ZONES {
            let settings = Settings {
                placement_interval: Duration::from_millis(50),
                order_resend: Duration::from_millis(300),
                weight_store_loads: 4,
                ..Settings::local(zone, platform.address)
            };
            daemons.push(Daemon::spawn(settings).await.unwrap());
        }
        let instances = daemons.iter().map(|daemon| Instance {
            address: daemon.node().peer_address,
            zone: daemon.node().settings.zone.clone(),
            leaving: false,
        });
        platform.set_instances(instances.collect());
        Self {
            platform,
            engines,
            daemons,
            recorder,
        }
    }

    fn serving_zones(&self, model: &str) -> BTreeSet<&str> {
        let serving = self.engines.iter().filter(|engine| engine.serves(model));
        serving.map(|engine| &**engine.zone()).collect()
    }

    /// Waits until every model is ready in at least `wanted` zones.
    async fn wait_for_zones(&self, wanted: usize) {
        let placed = async {
            while !MODELS
                .iter()
                .all(|model| self.serving_zones(model).len() >= wanted)
            {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(60), placed)
            .await
            .expect("some model was not placed in time");
    }

    fn overcommits(&self) -> u64 {
        self.recorder.memory_overcommits.load(Relaxed)
    }

    async fn complete(&self, daemon: usize, model: &str) -> u16 {
        let body = json!({"model": model, "prompt": "hello", "max_tokens": 2});
        let address = self.daemons[daemon].caller_address;
        let request = http::Request::post(format!("http://{address}/v1/completions"))
            .header("authorization", format!("Bearer {SECRET}"))
            .body(http_body_util::Full::new(body.to_string().into()))
            .unwrap();
        let client = Client::open(Default::default());
        client.send(request).await.unwrap().status().as_u16()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn models_are_placed_in_two_zones_despite_lost_and_late_orders() {
    let fleet = Fleet::spawn(200).await;
    fleet.wait_for_zones(2).await;
    let restarted = &fleet.engines[0];
    restarted.restart(Duration::from_millis(200)).await.unwrap();
    fleet.wait_for_zones(2).await;
    assert_eq!(fleet.overcommits(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_outage_is_compensated_in_the_other_zone() {
    let fleet = Fleet::spawn(0).await;
    fleet.wait_for_zones(2).await;
    let outage = Transaction::default()
        .put(
            "record/zone/b",
            &json!({"kind": "zone", "name": "b", "out": true}),
        )
        .put("config/revision", &json!({"revision": 2}));
    fleet.platform.state.lock().commit(&outage);
    let emptied = &fleet.engines[0];
    emptied.restart(Duration::from_millis(100)).await.unwrap();
    let replaced = async {
        let remaining = [&fleet.engines[0], &fleet.engines[2]];
        while !MODELS
            .iter()
            .all(|model| remaining.iter().any(|engine| engine.serves(model)))
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(60), replaced)
        .await
        .expect("some model has no replica in the remaining zone");
    assert_eq!(fleet.overcommits(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_outage_stops_placement_but_not_routing() {
    let fleet = Fleet::spawn(0).await;
    fleet.wait_for_zones(2).await;
    fleet.platform.stop();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let moves = fleet.recorder.moves.load(Relaxed);
    let restarted = &fleet.engines[1];
    restarted.restart(Duration::from_millis(100)).await.unwrap();
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(fleet.recorder.moves.load(Relaxed), moves);
    assert_eq!(fleet.complete(0, "m3").await, 200);
    fleet.platform.resume().await.unwrap();
    fleet.wait_for_zones(2).await;
    assert_eq!(fleet.overcommits(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn adapters_are_loaded_on_demand_within_their_pool() {
    let fleet = Fleet::spawn(100).await;
    fleet.wait_for_zones(2).await;
    for round in 0..3 {
        for index in 0..ADAPTERS {
            let status = fleet.complete(round % 2, &format!("x{index}")).await;
            assert_eq!(status, 200, "adapter x{index} in round {round}");
        }
    }
    assert_eq!(fleet.overcommits(), 0);
}
