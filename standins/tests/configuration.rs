//! Configuration under faults: lost responses, platform outages, stale snapshots, scans during writes, shutdown.

use std::time::Duration;

use http::{Method, StatusCode};
use http_body_util::Full;
use persimmoncroft::cli::client::{self, Client};
use persimmoncroft::coordination::revision::Change;
use persimmoncroft::daemon::config;
use persimmoncroft::protocol::table::Transaction;
use persimmoncroft::state::record::Key;
use persimmoncroft::transport::http as transport;
use persimmoncroft::transport::platform::Instance;
use persimmoncroft::{Daemon, Settings};
use quickcheck::{Arbitrary, Gen};
use serde_json::{Value, json};
use standins::platform::Platform;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const SECRET: &str = "sk-1";

fn settings(platform: &Platform, zone: &str) -> Settings {
    let mut settings = Settings::local(zone, platform.address);
    settings.config_poll = Duration::from_millis(50);
    settings.platform_timeout = Duration::from_millis(200);
    settings.heartbeat = Duration::from_millis(100);
    settings
}

async fn spawn(platform: &Platform, zone: &str) -> Daemon {
    Daemon::spawn(settings(platform, zone)).await.unwrap()
}

fn operator_client(daemon: &Daemon) -> Client {
    Client::open(daemon.operator_address, "operator")
}

fn change(id: &str, records: &[Value]) -> Change {
    Change {
        id: id.into(),
        records: records
            .iter()
            .map(|r| r.as_object().unwrap().clone())
            .collect(),
        ..Change::default()
    }
}

fn workspace(rate: u64) -> Value {
    json!({"kind": "workspace", "name": "lab", "rate_tokens_per_second": rate, "burst_tokens": 10, "max_stale_seconds": 1})
}

fn key() -> Value {
    json!({"kind": "key", "name": "k", "digest": Key::digest_of(SECRET), "workspace": "lab"})
}

async fn wait_until(name: &str, condition: impl Fn() -> bool) {
    for _ in 0..2000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out waiting for: {name}");
}

async fn wait_for_revision(daemon: &Daemon, revision: u64) {
    let node = daemon.node();
    wait_until("revision", || node.config.load().revision >= revision).await;
}

async fn list_models(daemon: &Daemon) -> (StatusCode, http::HeaderMap) {
    let request = http::Request::builder()
        .method(Method::GET)
        .uri(format!("http://{}/v1/models", daemon.caller_address))
        .header("authorization", format!("Bearer {SECRET}"))
        .body(Full::default())
        .unwrap();
    let client = transport::Client::open(Default::default());
    let response = client.send(request).await.unwrap();
    (response.status(), response.headers().clone())
}

#[tokio::test]
async fn lost_write_response_is_resolved_by_reading_back() {
    let platform = Platform::spawn().await.unwrap();
    let daemon = spawn(&platform, "a").await;
    platform.set_faults(|faults| faults.lost_responses_per_mille = 1000);
    let accepted = operator_client(&daemon)
        .submit(&change("c", &[workspace(5)]))
        .await
        .unwrap();
    assert_eq!(accepted.revision, 1);
    assert_eq!(
        platform
            .state
            .lock()
            .range("config/log/", "config/log0")
            .len(),
        1
    );
    wait_for_revision(&daemon, 1).await;
}

#[tokio::test]
async fn change_during_a_table_outage_is_refused_and_not_applied() {
    let platform = Platform::spawn().await.unwrap();
    let daemon = spawn(&platform, "a").await;
    platform.stop();
    let error = operator_client(&daemon)
        .submit(&change("c", &[workspace(5)]))
        .await
        .unwrap_err();
    let client::Error::Refused { status, failure } = error else {
        panic!("expected a refusal, found {error}");
    };
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(failure.code, "table_unavailable");
    assert_eq!(daemon.node().config.load().revision, 0);
}

#[tokio::test]
async fn daemon_started_during_a_platform_outage_loads_config_from_a_peer() {
    let platform = Platform::spawn().await.unwrap();
    let old = spawn(&platform, "a").await;
    let records = [json!({"kind": "zone", "name": "a"}), workspace(5)];
    operator_client(&old)
        .submit(&change("c", &records))
        .await
        .unwrap();
    operator_client(&old)
        .submit(&change("d", &[workspace(6)]))
        .await
        .unwrap();
    platform.stop();
    let mut settings = settings(&platform, "b");
    settings.seeds = vec![old.node().peer_address];
    let new = Daemon::spawn(settings).await.unwrap();
    wait_for_revision(&new, 2).await;
    let config = new.node().config.load_full();
    assert_eq!(config.workspaces["lab"].rate_tokens_per_second, 6);
    assert!(config.zones.contains_key("a"));
}

#[tokio::test]
async fn daemon_partitioned_from_the_platform_follows_its_peers() {
    let platform = Platform::spawn().await.unwrap();
    let mut partitioned = settings(&platform, "b");
    partitioned.partition.block(platform.address);
    let left = spawn(&platform, "a").await;
    partitioned.seeds = vec![left.node().peer_address];
    let right = Daemon::spawn(partitioned).await.unwrap();
    for rate in 1..=5 {
        let id = format!("c{rate}");
        operator_client(&left)
            .submit(&change(&id, &[workspace(rate)]))
            .await
            .unwrap();
        wait_for_revision(&right, rate).await;
    }
    let age = right.node().config_source.age(right.node().now());
    assert!(age.is_some(), "freshness confirmed by a peer counts");
}

#[tokio::test]
async fn workspace_is_refused_beyond_its_staleness_bound() {
    let platform = Platform::spawn().await.unwrap();
    let daemon = spawn(&platform, "a").await;
    operator_client(&daemon)
        .submit(&change("c", &[workspace(5), key()]))
        .await
        .unwrap();
    assert_eq!(list_models(&daemon).await.0, StatusCode::OK);
    platform.stop();
    let node = daemon.node();
    let workspace = node.config.load().workspaces["lab"].clone();
    wait_until("stale", || {
        !node.config_source.is_fresh_for(&workspace, node.now())
    })
    .await;
    let (status, headers) = list_models(&daemon).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(headers["x-execution"], "not-run");
    assert!(headers.contains_key("retry-after"));
    assert_eq!(
        operator_client(&daemon).status().await.unwrap().daemons[0]
            .stale
            .len(),
        1
    );
    platform.resume().await.unwrap();
    wait_until("fresh", || {
        node.config_source.is_fresh_for(&workspace, node.now())
    })
    .await;
    assert_eq!(list_models(&daemon).await.0, StatusCode::OK);
}

#[tokio::test]
async fn withdrawn_key_is_rejected_by_every_daemon() {
    let platform = Platform::spawn().await.unwrap();
    let (left, right) = (spawn(&platform, "a").await, spawn(&platform, "b").await);
    operator_client(&left)
        .submit(&change("c", &[workspace(5), key()]))
        .await
        .unwrap();
    wait_for_revision(&right, 1).await;
    assert_eq!(list_models(&right).await.0, StatusCode::OK);
    let withdrawal = Change {
        id: "d".into(),
        withdraw: vec!["key/k".into()],
        ..Change::default()
    };
    operator_client(&left).submit(&withdrawal).await.unwrap();
    assert_eq!(list_models(&left).await.0, StatusCode::UNAUTHORIZED);
    wait_for_revision(&right, 2).await;
    assert_eq!(list_models(&right).await.0, StatusCode::UNAUTHORIZED);
}

/// Each change writes the same value to two records, so a scan that mixes revisions is detected.
#[tokio::test]
async fn scans_during_changes_never_mix_revisions() {
    let platform = Platform::spawn().await.unwrap();
    let writer = spawn(&platform, "a").await;
    let pair = |value: u64| {
        ["x", "y"].map(|name| json!({"kind": "model", "name": name, "memory_mib": value}))
    };
    let writing = async {
        for value in 1..=40 {
            let id = format!("c{value}");
            operator_client(&writer)
                .submit(&change(&id, &pair(value)))
                .await
                .unwrap();
        }
    };
    let reading = async {
        for _ in 0..10 {
            let reader = spawn(&platform, "b").await;
            wait_for_revision(&reader, 1).await;
            let config = reader.node().config.load_full();
            assert_eq!(config.models["x"].memory_mib, config.revision);
            assert_eq!(config.models["y"].memory_mib, config.revision);
        }
    };
    tokio::join!(writing, reading);
}

/// A newer version writes records that this version cannot read and fields that it doesn't know.
#[tokio::test]
async fn partially_upgraded_fleet_preserves_unknown_records_and_fields() {
    let platform = Platform::spawn().await.unwrap();
    let daemon = spawn(&platform, "a").await;
    operator_client(&daemon)
        .submit(&change("c", &[workspace(5)]))
        .await
        .unwrap();
    let newer = json!({"kind": "zone", "name": "n", "schema": 7, "shape": "new"});
    let extended = json!({"kind": "workspace", "name": "lab", "schema": 2, "color": "red",
        "limit": {"rate_tokens_per_second": 6, "burst_tokens": 10}});
    let entry = json!({"revision": 2, "change": "newer", "written": [newer, extended]});
    let transaction = Transaction::default()
        .put("record/zone/n", &newer)
        .put("record/workspace/lab", &extended)
        .put(&config::log_key(2), &entry)
        .put(
            config::REVISION_KEY,
            &json!({"revision": 2, "hint": "from a newer version"}),
        );
    platform.state.lock().commit(&transaction);
    wait_for_revision(&daemon, 2).await;
    let snapshot = daemon.node().config.load_full();
    assert!(snapshot.unreadable.contains("zone/n"));
    assert_eq!(snapshot.workspaces["lab"].rate_tokens_per_second, 6);
    operator_client(&daemon)
        .submit(&change("d", &[workspace(7)]))
        .await
        .unwrap();
    let rows = platform.state.lock().range("record/", "record0");
    let row = |key: &str| {
        rows.iter()
            .find(|row| row.key == key)
            .unwrap()
            .json::<Value>()
            .unwrap()
    };
    assert_eq!(row("record/workspace/lab")["color"], "red");
    assert_eq!(row("record/workspace/lab")["rate_tokens_per_second"], 7);
    assert_eq!(row("record/zone/n")["shape"], "new");
}

#[tokio::test]
async fn status_lists_daemons_that_have_not_confirmed() {
    let platform = Platform::spawn().await.unwrap();
    let (left, right) = (spawn(&platform, "a").await, spawn(&platform, "b").await);
    operator_client(&left)
        .submit(&change("c", &[workspace(5)]))
        .await
        .unwrap();
    let silent: std::net::SocketAddr = "127.0.0.1:9".parse().unwrap();
    let mut listed = vec![(right.node().peer_address, "b")];
    let publish = |daemons: &[(std::net::SocketAddr, &str)]| {
        let instances = daemons.iter().map(|(address, zone)| Instance {
            address: *address,
            zone: (*zone).into(),
            leaving: false,
        });
        platform.set_instances(instances.collect());
    };
    publish(&listed);
    wait_for_revision(&right, 1).await;
    let fleet = operator_client(&left).status().await.unwrap();
    assert!(fleet.everywhere);
    assert_eq!(fleet.zones["b"].revision, Some(1));
    listed.push((silent, "c"));
    publish(&listed);
    let fleet = operator_client(&left).status().await.unwrap();
    assert!(!fleet.everywhere);
    assert_eq!(fleet.silent, [(silent, "c".into())]);
    assert_eq!(fleet.zones["c"].revision, None);
}

#[tokio::test]
async fn leaving_daemon_is_unready_and_serves_during_the_drain_grace() {
    let platform = Platform::spawn().await.unwrap();
    let mut settings = settings(&platform, "a");
    settings.drain_grace = Duration::from_secs(600);
    let daemon = Daemon::spawn(settings).await.unwrap();
    operator_client(&daemon)
        .submit(&change("c", &[workspace(5), key()]))
        .await
        .unwrap();
    operator_client(&daemon).drain().await.unwrap();
    let url = format!("http://{}/readyz", daemon.operator_address);
    let none: Option<&()> = None;
    let ready = transport::Client::open(Default::default())
        .bytes(Method::GET, &url, none, Duration::from_secs(5))
        .await;
    assert!(ready.unwrap_err().to_string().contains("503"));
    let (status, headers) = list_models(&daemon).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(headers["connection"], "close");
}

/// Sends malformed requests to all listeners; the daemon must refuse them and keep serving.
#[tokio::test]
async fn daemon_keeps_serving_after_malformed_requests() {
    let platform = Platform::spawn().await.unwrap();
    let daemon = spawn(&platform, "a").await;
    operator_client(&daemon)
        .submit(&change("c", &[workspace(5), key()]))
        .await
        .unwrap();
    let mut generator = Gen::from_size_and_seed(64, 5);
    let template = "POST /v1/changes HTTP/1.1\r\nhost: a\r\nauthorization: Bearer operator\r\ncontent-length: 4\r\n\r\n{\"a\"";
    for round in 0..200 {
        let mut bytes = template.as_bytes().to_vec();
        let index = usize::arbitrary(&mut generator) % bytes.len();
        bytes[index] = u8::arbitrary(&mut generator);
        bytes.truncate(usize::arbitrary(&mut generator) % (bytes.len() + 1));
        let addresses = [
            daemon.operator_address,
            daemon.caller_address,
            daemon.node().peer_address,
        ];
        let mut stream = tokio::net::TcpStream::connect(addresses[round % 3])
            .await
            .unwrap();
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        assert!(!answer.starts_with(b"HTTP/1.1 2"), "{bytes:?}");
    }
    assert_eq!(list_models(&daemon).await.0, StatusCode::OK);
    assert_eq!(daemon.node().config.load().revision, 1);
}
