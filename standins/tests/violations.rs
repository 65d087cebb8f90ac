//! Checks that the stand-ins detect violations: each test causes one, which must be counted.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use http::Method;
use persimmoncroft::protocol::engine::{Action, Order, Outcome};
use persimmoncroft::protocol::table::Transaction;
use persimmoncroft::transport::http::{Client, Error};
use persimmoncroft::transport::table;
use serde_json::{Value, json};
use standins::engine::{Engine, Settings};
use standins::loader::Loader;
use standins::platform::Platform;
use standins::recorder::{self, Recorder};
use standins::service::Service;
use standins::trial::{site, verdict};

const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

async fn spawn_engine(settings: Settings) -> (Engine, Arc<Recorder>) {
    let recorder = Arc::new(Recorder::default());
    let loader = Arc::new(Loader::new(2, Duration::from_millis(10)));
    let engine = Engine::spawn_with(settings, recorder.clone(), loader.clone(), loader);
    (engine.await.unwrap(), recorder)
}

fn load_order(id: &str, fence: u64, model: &str, memory_mib: u64) -> Order {
    let model = model.into();
    Order {
        id: id.into(),
        fence,
        action: Action::LoadModel {
            model,
            version: 1,
            memory_mib,
        },
    }
}

async fn send_order(engine: &Engine, order: &Order) -> Outcome {
    let url = format!("http://{}/orders", engine.address);
    let client = Client::open(Default::default());
    client
        .json(Method::POST, &url, Some(order), REQUEST_TIMEOUT)
        .await
        .unwrap()
}

#[tokio::test]
async fn overcommit_is_refused_and_counted() {
    let (engine, recorder) = spawn_engine(Settings::local(&["a"])).await;
    assert_eq!(
        send_order(&engine, &load_order("1", 1, "b", 900)).await,
        Outcome::Accepted
    );
    let outcome = send_order(&engine, &load_order("2", 1, "c", 1)).await;
    assert!(matches!(outcome, Outcome::Refused { .. }));
    assert_eq!(recorder.memory_overcommits.load(Relaxed), 1);
}

#[tokio::test]
async fn duplicate_order_is_executed_once() {
    let (engine, recorder) = spawn_engine(Settings::local(&[])).await;
    let order = load_order("1", 1, "a", 600);
    assert_eq!(send_order(&engine, &order).await, Outcome::Accepted);
    assert_ne!(
        send_order(&engine, &order).await,
        Outcome::Refused {
            reason: "out of memory".into()
        }
    );
    assert_eq!(recorder.moves.load(Relaxed), 1);
    assert_eq!(recorder.memory_overcommits.load(Relaxed), 0);
}

#[tokio::test]
async fn stale_fence_is_refused_only_by_fenced_engines() {
    for fenced in [true, false] {
        let (engine, _) = spawn_engine(Settings {
            fenced,
            ..Settings::local(&[])
        })
        .await;
        send_order(&engine, &load_order("1", 5, "a", 1)).await;
        let outcome = send_order(&engine, &load_order("2", 4, "b", 1)).await;
        assert_eq!(outcome == Outcome::Stale { fence: 5 }, fenced);
    }
}

#[tokio::test]
async fn cold_engine_overload_is_counted_after_the_grace_period() {
    let (engine, recorder) = spawn_engine(Settings {
        ramp: Duration::from_secs(60),
        ..Settings::local(&["a"])
    })
    .await;
    engine.make_cold();
    let client = Client::open(Default::default());
    let url = format!("http://{}/v1/completions", engine.address);
    let body = json!({"model": "a", "prompt": "x", "max_tokens": 1000});
    let complete = || client.json::<_, Value>(Method::POST, &url, Some(&body), REQUEST_TIMEOUT);
    let pending = [complete(), complete(), complete()];
    let checks = async {
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert_eq!(recorder.cold_overloads.load(Relaxed), 0);
        assert!(matches!(complete().await, Err(Error::Status(status)) if status == 503));
        assert_eq!(recorder.cold_overloads.load(Relaxed), 1);
    };
    tokio::join!(futures::future::join_all(pending), checks);
}

#[tokio::test]
async fn leaked_key_and_workspace_mismatch_are_counted() {
    let (engine, recorder) = spawn_engine(Settings::local(&["a"])).await;
    let prompt = recorder::tag("kiosk", 1);
    let body = json!({"model": "a", "prompt": prompt, "max_tokens": 1}).to_string();
    let request = http::Request::post(format!("http://{}/v1/completions?k=sk-1", engine.address))
        .header("x-workspace", "bench")
        .body(http_body_util::Full::new(body.into()))
        .unwrap();
    Client::open(Default::default())
        .send(request)
        .await
        .unwrap();
    assert_eq!(recorder.leaked_keys.load(Relaxed), 1);
    assert_eq!(recorder.workspace_mismatches.load(Relaxed), 1);
}

#[test]
fn tokens_over_rate_and_burst_are_counted() {
    let site = site::lakeshore();
    let (name, rate) = site.workspaces[4];
    let recorder = Recorder::default();
    let tag: Arc<str> = format!("{name}/1").into();
    recorder.record_tokens(&tag, site.burst(rate));
    assert_eq!(verdict::over_rate(&site, &recorder), 0);
    recorder.record_tokens(&tag, 100);
    assert!(verdict::over_rate(&site, &recorder) > 90);
}

#[tokio::test]
async fn applied_write_with_a_lost_response_has_an_unknown_outcome() {
    let platform = Platform::spawn().await.unwrap();
    platform.set_faults(|faults| faults.lost_responses_per_mille = 1000);
    let client = table::Client::open(
        platform.address,
        Duration::from_millis(200),
        Default::default(),
    );
    let outcome = client.commit(&Transaction::default().put("a", &1)).await;
    assert!(matches!(outcome, Err(table::Error::Unknown(_))));
    assert!(client.read("a").await.unwrap().is_some());
}

#[tokio::test]
async fn write_beyond_the_rate_is_not_applied() {
    let platform = Platform::spawn().await.unwrap();
    platform.set_faults(|faults| faults.writes_per_second = 0);
    let client = table::Client::open(platform.address, REQUEST_TIMEOUT, Default::default());
    let outcome = client.commit(&Transaction::default().put("a", &1)).await;
    assert!(matches!(outcome, Err(table::Error::Unavailable(_))));
    assert!(client.read("a").await.unwrap().is_none());
}

#[tokio::test]
async fn second_run_of_a_booking_is_counted() {
    let recorder = Arc::new(Recorder::default());
    let service = Service::spawn("desk-0".into(), "a".into(), recorder.clone())
        .await
        .unwrap();
    let url = format!("http://{}/charges", service.address);
    let body = json!({"booking": recorder::tag("kiosk", 7)});
    let client = Client::open(Default::default());
    for runs in 0..2 {
        let _: Value = client
            .json(Method::POST, &url, Some(&body), REQUEST_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(recorder.double_runs(), runs);
    }
}
