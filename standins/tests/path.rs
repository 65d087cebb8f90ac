//! End-to-end path: a caller's request goes through a daemon to an engine, and the answer streams back.

use std::time::Duration;

use http::Method;
use persimmoncroft::protocol::table::Transaction;
use persimmoncroft::transport::http::Client;
use persimmoncroft::{Daemon, Settings};
use serde_json::json;
use standins::engine::Engine;
use standins::platform::Platform;

const SECRET: &str = "sk-lakeshore-1";

async fn write_records(platform: &Platform, engine: &Engine) {
    let digest = persimmoncroft::state::record::Key::digest_of(SECRET);
    let transaction = Transaction::default()
        .put("record/model/notes", &json!({"kind": "model", "name": "notes", "memory_mib": 100}))
        .put(
            "record/workspace/lab",
            &json!({"kind": "workspace", "name": "lab", "rate_tokens_per_second": 1000, "burst_tokens": 5000}),
        )
        .put(
            "record/key/k1",
            &json!({"kind": "key", "name": "k1", "digest": digest, "workspace": "lab"}),
        )
        .put("record/zone/a", &json!({"kind": "zone", "name": "a"}))
        .put(
            "record/endpoint/e1",
            &json!({"kind": "endpoint", "name": "e1", "zone": "a", "address": engine.address, "type": "engine", "slots": 8, "memory_mib": 1000}),
        )
        .put("config/revision", &json!({"revision": 1}));
    platform.state.lock().commit(&transaction);
}

#[tokio::test]
async fn request_streams_through_daemon() {
    let platform = Platform::spawn().await.unwrap();
    let engine = Engine::spawn(&["notes"]).await.unwrap();
    write_records(&platform, &engine).await;
    let daemon = Daemon::spawn(Settings::local("a", platform.address))
        .await
        .unwrap();
    while daemon.node().load_reports.report("e1").is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let body = json!({"model": "notes", "prompt": "hello", "max_tokens": 5, "stream": true});
    let request = http::Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}/v1/completions", daemon.caller_address))
        .header("authorization", format!("Bearer {SECRET}"))
        .body(http_body_util::Full::new(body.to_string().into()))
        .unwrap();
    let response = Client::open(Default::default())
        .send(request)
        .await
        .unwrap();
    assert_eq!(response.status(), 200);
    assert!(response.headers().contains_key("x-request-id"));
    let answer = persimmoncroft::transport::http::collect(response.into_body())
        .await
        .unwrap();
    let text = String::from_utf8(answer.to_vec()).unwrap();
    assert_eq!(text.matches("data: {").count(), 5);
    assert!(text.ends_with("data: [DONE]\n\n"));
    daemon.stop().await;
}
