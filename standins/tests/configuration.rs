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

fn operator(daemon: &Daemon) -> Client {
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

async fn until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..2000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("never came about: {what}");
}

async fn reach(daemon: &Daemon, revision: u64) {
    let node = daemon.node();
    until("revision", || node.config.load().revision >= revision).await;
}

async fn models(daemon: &Daemon) -> (StatusCode, http::HeaderMap) {
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
async fn lost_answer_to_the_write_is_settled_by_reading_back() {
    let platform = Platform::spawn().await.unwrap();
    let daemon = spawn(&platform, "a").await;
    platform.set_faults(|faults| faults.lost_responses_per_mille = 1000);
    let accepted = operator(&daemon)
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
    reach(&daemon, 1).await;
}

#[tokio::test]
async fn change_without_the_table_is_refused_and_not_applied() {
    let platform = Platform::spawn().await.unwrap();
    let daemon = spawn(&platform, "a").await;
    platform.stop();
    let error = operator(&daemon)
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
async fn daemon_started_without_the_platform_learns_from_a_peer() {
    let platform = Platform::spawn().await.unwrap();
    let old = spawn(&platform, "a").await;
    let records = [json!({"kind": "zone", "name": "a"}), workspace(5)];
    operator(&old).submit(&change("c", &records)).await.unwrap();
    operator(&old)
        .submit(&change("d", &[workspace(6)]))
        .await
        .unwrap();
    platform.stop();
    let mut settings = settings(&platform, "b");
    settings.seeds = vec![old.node().peer_address];
    let new = Daemon::spawn(settings).await.unwrap();
    reach(&new, 2).await;
    let config = new.node().config.load_full();
    assert_eq!(config.workspaces["lab"].rate_tokens_per_second, 6);
    assert!(config.zones.contains_key("a"));
}

#[tokio::test]
async fn daemon_cut_from_the_platform_follows_its_peers() {
    let platform = Platform::spawn().await.unwrap();
    let mut cut = settings(&platform, "b");
    cut.link.block(platform.address);
    let left = spawn(&platform, "a").await;
    cut.seeds = vec![left.node().peer_address];
    let right = Daemon::spawn(cut).await.unwrap();
    for rate in 1..=5 {
        let id = format!("c{rate}");
        operator(&left)
            .submit(&change(&id, &[workspace(rate)]))
            .await
            .unwrap();
        reach(&right, rate).await;
    }
    let age = right.node().source.age(right.node().now());
    assert!(age.is_some(), "a peer's freshness counts");
}

#[tokio::test]
async fn workspace_is_refused_beyond_its_staleness_bound() {
    let platform = Platform::spawn().await.unwrap();
    let daemon = spawn(&platform, "a").await;
    operator(&daemon)
        .submit(&change("c", &[workspace(5), key()]))
        .await
        .unwrap();
    assert_eq!(models(&daemon).await.0, StatusCode::OK);
    platform.stop();
    let node = daemon.node();
    let workspace = node.config.load().workspaces["lab"].clone();
    until("stale", || !node.source.serves(&workspace, node.now())).await;
    let (status, headers) = models(&daemon).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(headers["x-execution"], "not-run");
    assert!(headers.contains_key("retry-after"));
    assert_eq!(
        operator(&daemon).status().await.unwrap().daemons[0]
            .stale
            .len(),
        1
    );
    platform.resume().await.unwrap();
    until("fresh", || node.source.serves(&workspace, node.now())).await;
    assert_eq!(models(&daemon).await.0, StatusCode::OK);
}

#[tokio::test]
async fn withdrawn_key_stops_at_every_daemon() {
    let platform = Platform::spawn().await.unwrap();
    let (left, right) = (spawn(&platform, "a").await, spawn(&platform, "b").await);
    operator(&left)
        .submit(&change("c", &[workspace(5), key()]))
        .await
        .unwrap();
    reach(&right, 1).await;
    assert_eq!(models(&right).await.0, StatusCode::OK);
    let withdrawal = Change {
        id: "d".into(),
        withdraw: vec!["key/k".into()],
        ..Change::default()
    };
    operator(&left).submit(&withdrawal).await.unwrap();
    assert_eq!(models(&left).await.0, StatusCode::UNAUTHORIZED);
    reach(&right, 2).await;
    assert_eq!(models(&right).await.0, StatusCode::UNAUTHORIZED);
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
            operator(&writer)
                .submit(&change(&id, &pair(value)))
                .await
                .unwrap();
        }
    };
    let reading = async {
        for _ in 0..10 {
            let reader = spawn(&platform, "b").await;
            reach(&reader, 1).await;
            let config = reader.node().config.load_full();
            assert_eq!(config.models["x"].memory_mib, config.revision);
            assert_eq!(config.models["y"].memory_mib, config.revision);
        }
    };
    tokio::join!(writing, reading);
}

/// A newer version writes records that this version cannot read and fields that it doesn't know.
#[tokio::test]
async fn half_upgraded_fleet_keeps_what_it_does_not_know() {
    let platform = Platform::spawn().await.unwrap();
    let daemon = spawn(&platform, "a").await;
    operator(&daemon)
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
    reach(&daemon, 2).await;
    let snapshot = daemon.node().config.load_full();
    assert!(snapshot.unreadable.contains("zone/n"));
    assert_eq!(snapshot.workspaces["lab"].rate_tokens_per_second, 6);
    operator(&daemon)
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
async fn status_names_who_has_not_confirmed() {
    let platform = Platform::spawn().await.unwrap();
    let (left, right) = (spawn(&platform, "a").await, spawn(&platform, "b").await);
    operator(&left)
        .submit(&change("c", &[workspace(5)]))
        .await
        .unwrap();
    let silent: std::net::SocketAddr = "127.0.0.1:9".parse().unwrap();
    let mut listed = vec![(right.node().peer_address, "b")];
    let list = |daemons: &[(std::net::SocketAddr, &str)]| {
        let instances = daemons.iter().map(|(address, zone)| Instance {
            address: *address,
            zone: (*zone).into(),
            leaving: false,
        });
        platform.set_instances(instances.collect());
    };
    list(&listed);
    reach(&right, 1).await;
    let fleet = operator(&left).status().await.unwrap();
    assert!(fleet.everywhere);
    assert_eq!(fleet.zones["b"].revision, Some(1));
    listed.push((silent, "c"));
    list(&listed);
    let fleet = operator(&left).status().await.unwrap();
    assert!(!fleet.everywhere);
    assert_eq!(fleet.silent, [(silent, "c".into())]);
    assert_eq!(fleet.zones["c"].revision, None);
}

#[tokio::test]
async fn leaving_daemon_is_unready_and_serves_for_the_grace() {
    let platform = Platform::spawn().await.unwrap();
    let mut settings = settings(&platform, "a");
    settings.drain_grace = Duration::from_secs(600);
    let daemon = Daemon::spawn(settings).await.unwrap();
    operator(&daemon)
        .submit(&change("c", &[workspace(5), key()]))
        .await
        .unwrap();
    operator(&daemon).drain().await.unwrap();
    let url = format!("http://{}/readyz", daemon.operator_address);
    let none: Option<&()> = None;
    let ready = transport::Client::open(Default::default())
        .bytes(Method::GET, &url, none, Duration::from_secs(5))
        .await;
    assert!(ready.unwrap_err().to_string().contains("503"));
    let (status, headers) = models(&daemon).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(headers["connection"], "close");
}

/// Sends malformed requests to all listeners; the daemon must refuse them and keep serving.
#[tokio::test]
async fn damaged_requests_do_not_harm_a_daemon() {
    let platform = Platform::spawn().await.unwrap();
    let daemon = spawn(&platform, "a").await;
    operator(&daemon)
        .submit(&change("c", &[workspace(5), key()]))
        .await
        .unwrap();
    let mut g = Gen::from_size_and_seed(64, 5);
    let whole = "POST /v1/changes HTTP/1.1\r\nhost: a\r\nauthorization: Bearer operator\r\ncontent-length: 4\r\n\r\n{\"a\"";
    for round in 0..200 {
        let mut bytes = whole.as_bytes().to_vec();
        let at = usize::arbitrary(&mut g) % bytes.len();
        bytes[at] = u8::arbitrary(&mut g);
        bytes.truncate(usize::arbitrary(&mut g) % (bytes.len() + 1));
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
    assert_eq!(models(&daemon).await.0, StatusCode::OK);
    assert_eq!(daemon.node().config.load().revision, 1);
}
