//! Operator API: changes are atomic, idempotent and refused with reasons.

use std::time::Duration;

use http::{Method, StatusCode};
use http_body_util::Full;
use persimmoncroft::protocol::table::Transaction;
use persimmoncroft::transport::http::{Client, collect};
use persimmoncroft::{Daemon, Settings};
use serde_json::{Value, json};
use standins::platform::Platform;

async fn spawn(platform: &Platform, zone: &str) -> Daemon {
    let mut settings = Settings::local(zone, platform.address);
    settings.config_poll = Duration::from_millis(50);
    settings.platform_timeout = Duration::from_millis(300);
    Daemon::spawn(settings).await.unwrap()
}

async fn call(daemon: &Daemon, method: Method, path: &str, body: &Value) -> (StatusCode, Value) {
    let request = http::Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", daemon.operator_address))
        .header("authorization", "Bearer operator")
        .body(Full::new(body.to_string().into()))
        .unwrap();
    let response = Client::open(Default::default())
        .send(request)
        .await
        .unwrap();
    let status = response.status();
    let bytes = collect(response.into_body()).await.unwrap();
    (status, serde_json::from_slice(&bytes).unwrap())
}

async fn apply(daemon: &Daemon, change: &Value) -> (StatusCode, Value) {
    call(daemon, Method::POST, "/v1/changes", change).await
}

fn workspace(rate: u64) -> Value {
    json!({"kind": "workspace", "name": "lab", "rate_tokens_per_second": rate, "burst_tokens": 10})
}

async fn wait_for_revision(daemon: &Daemon, revision: u64) {
    while daemon.node().config.load().revision < revision {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn change_requires_the_operator_token() {
    let platform = Platform::spawn().await.unwrap();
    let daemon = spawn(&platform, "a").await;
    let url = format!("http://{}/v1/changes", daemon.operator_address);
    let response = Client::open(Default::default())
        .bytes(
            Method::POST,
            &url,
            Some(&json!({"id": "c"})),
            Duration::from_secs(5),
        )
        .await;
    assert!(response.unwrap_err().to_string().contains("401"));
}

#[tokio::test]
async fn repeated_change_is_applied_once() {
    let platform = Platform::spawn().await.unwrap();
    let daemon = spawn(&platform, "a").await;
    let change = json!({"id": "c1", "records": [workspace(5)]});
    let first = apply(&daemon, &change).await;
    assert_eq!(first, (StatusCode::OK, json!({"id": "c1", "revision": 1})));
    assert_eq!(apply(&daemon, &change).await, first);
    let other = json!({"id": "c1", "records": [workspace(6)]});
    let (status, response) = apply(&daemon, &other).await;
    assert_eq!(status, StatusCode::CONFLICT);
    assert_eq!(response["code"], "change_id_reused");
    assert_eq!(daemon.node().config.load().revision, 1);
}

#[tokio::test]
async fn invalid_record_rejects_the_whole_change() {
    let platform = Platform::spawn().await.unwrap();
    let daemon = spawn(&platform, "a").await;
    let zone = json!({"kind": "zone", "name": "a"});
    let change = json!({"id": "c1", "records": [zone, workspace(0)]});
    let (status, response) = apply(&daemon, &change).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    let mistake = &response["mistakes"][0];
    assert_eq!(mistake["record"], "workspace/lab");
    assert_eq!(mistake["field"], "rate_tokens_per_second");
    assert_eq!(mistake["value"], "0");
    assert!(mistake["expected"].as_str().unwrap().contains("from 1"));
    assert!(
        platform
            .state
            .lock()
            .range("config/revision", "")
            .is_empty()
    );
    assert!(platform.state.lock().range("record/", "record0").is_empty());
}

#[tokio::test]
async fn conflicting_change_reports_the_differences() {
    let platform = Platform::spawn().await.unwrap();
    let (left, right) = (spawn(&platform, "a").await, spawn(&platform, "b").await);
    apply(&left, &json!({"id": "c0", "records": [workspace(5)]})).await;
    let change = |id: &str, rate| json!({"id": id, "records": [workspace(rate)], "base": 1});
    let (mine, theirs) = (change("c1", 6), change("c2", 7));
    let responses = tokio::join!(apply(&left, &mine), apply(&right, &theirs));
    let mut statuses = [responses.0.0, responses.1.0];
    statuses.sort();
    assert_eq!(statuses, [StatusCode::OK, StatusCode::CONFLICT]);
    let conflict = if responses.0.0.is_success() {
        responses.1.1
    } else {
        responses.0.1
    };
    let difference = &conflict["differences"][0];
    assert_eq!(difference["field"], "rate_tokens_per_second");
    assert_ne!(difference["mine"], difference["theirs"]);
}

#[tokio::test]
async fn change_propagates_to_other_daemons_through_the_log() {
    let platform = Platform::spawn().await.unwrap();
    let (left, right) = (spawn(&platform, "a").await, spawn(&platform, "b").await);
    for rate in 1..=3 {
        let id = format!("c{rate}");
        let (status, _) = apply(&left, &json!({"id": id, "records": [workspace(rate)]})).await;
        assert_eq!(status, StatusCode::OK);
    }
    wait_for_revision(&right, 3).await;
    let config = right.node().config.load_full();
    assert_eq!(config.workspaces["lab"].rate_tokens_per_second, 3);
}

#[tokio::test]
async fn revision_never_goes_back() {
    let platform = Platform::spawn().await.unwrap();
    let daemon = spawn(&platform, "a").await;
    apply(&daemon, &json!({"id": "c1", "records": [workspace(1)]})).await;
    apply(&daemon, &json!({"id": "c2", "records": [workspace(2)]})).await;
    let old = Transaction::default().put("config/revision", &json!({"revision": 1}));
    platform.state.lock().commit(&old);
    assert!(
        persimmoncroft::daemon::config::refresh_from_table(daemon.node())
            .await
            .is_err()
    );
    let config = daemon.node().config.load_full();
    assert_eq!(config.revision, 2);
    assert_eq!(config.workspaces["lab"].rate_tokens_per_second, 2);
}
