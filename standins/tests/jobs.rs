//! Deferrable jobs over sockets: stored before acceptance, run before their deadline, recovered after a daemon's
//! death or a store outage, recorded once, and visible only to their owner.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use persimmoncroft::coordination::job::{Job, State, Ticket, job_key, queue_key};
use persimmoncroft::protocol::table::Transaction;
use persimmoncroft::state::record::Key;
use persimmoncroft::transport::http::{Client, collect};
use persimmoncroft::{Daemon, Settings};
use serde_json::{Value, json};
use standins::engine::Engine;
use standins::platform::Platform;

const OWNER_SECRET: &str = "sk-lakeshore-1";
const OTHER_SECRET: &str = "sk-lakeshore-2";

struct Fleet {
    platform: Platform,
    _engine: Engine,
    daemon: Daemon,
}

impl Fleet {
    async fn spawn() -> Self {
        let platform = Platform::spawn().await.unwrap();
        let engine = Engine::spawn(&["notes"]).await.unwrap();
        let mut transaction = Transaction::default()
            .put("record/model/notes", &json!({"kind": "model", "name": "notes", "memory_mib": 100}))
            .put("record/zone/a", &json!({"kind": "zone", "name": "a"}))
            .put(
                "record/endpoint/e1",
                &json!({"kind": "endpoint", "name": "e1", "zone": "a", "address": engine.address, "type": "engine", "slots": 8, "memory_mib": 1000}),
            )
            .put("config/revision", &json!({"revision": 1}));
        for (name, secret) in [("lab", OWNER_SECRET), ("desk", OTHER_SECRET)] {
            let digest = Key::digest_of(secret);
            transaction = transaction
                .put(
                    &format!("record/workspace/{name}"),
                    &json!({"kind": "workspace", "name": name, "rate_tokens_per_second": 1000, "burst_tokens": 5000}),
                )
                .put(
                    &format!("record/key/{name}"),
                    &json!({"kind": "key", "name": name, "digest": digest, "workspace": name}),
                );
        }
        platform.state.lock().commit(&transaction);
        let settings = Settings {
            job_poll: Duration::from_millis(100),
            job_lease: Duration::from_secs(1),
            ..Settings::local("a", platform.address)
        };
        let daemon = Daemon::spawn(settings).await.unwrap();
        while daemon.node().load_reports.report("e1").is_none() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Self {
            platform,
            _engine: engine,
            daemon,
        }
    }

    async fn call(&self, method: Method, path: &str, secret: &str, body: Value) -> (u16, Value) {
        let url = format!("http://{}{path}", self.daemon.caller_address);
        let request = http::Request::builder()
            .method(method)
            .uri(url)
            .header("authorization", format!("Bearer {secret}"))
            .header("idempotency-key", "overnight-1")
            .body(http_body_util::Full::new(body.to_string().into()))
            .unwrap();
        let client = Client::open(Default::default());
        let response = client.send(request).await.unwrap();
        let status = response.status().as_u16();
        let bytes = collect(response.into_body()).await.unwrap();
        (status, serde_json::from_slice(&bytes).unwrap_or_default())
    }

    async fn submit(&self, deadline_seconds: u64) -> (u16, Value) {
        let body = json!({
            "path": "/v1/completions", "deadline_seconds": deadline_seconds,
            "body": {"model": "notes", "prompt": "hello", "max_tokens": 3},
        });
        self.call(Method::POST, "/v1/jobs", OWNER_SECRET, body)
            .await
    }

    async fn get_job(&self, id: &str, secret: &str) -> (u16, Value) {
        let path = format!("/v1/jobs/{id}");
        self.call(Method::GET, &path, secret, Value::Null).await
    }

    async fn wait_done(&self, id: &str) -> Value {
        let done = async {
            loop {
                let (_, job) = self.get_job(id, OWNER_SECRET).await;
                if job["state"] == "done" {
                    return job;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(30), done)
            .await
            .expect("the job did not finish in time")
    }

    fn row_count(&self, prefix: &str) -> usize {
        let end = format!("{prefix}\u{7f}");
        self.platform.state.lock().range(prefix, &end).len()
    }
}

#[tokio::test]
async fn job_runs_before_its_deadline_and_is_visible_only_to_its_owner() {
    let fleet = Fleet::spawn().await;
    let (status, accepted) = fleet.submit(2).await;
    assert_eq!(status, 202);
    let id = accepted["id"].as_str().unwrap();
    let (status, again) = fleet.submit(2).await;
    assert_eq!((status, &again["id"]), (202, &accepted["id"]));
    assert_eq!(fleet.row_count("job/"), 1);
    assert_eq!(fleet.get_job(id, OTHER_SECRET).await.0, 404);
    let done = fleet.wait_done(id).await;
    assert_eq!(done["status"], 200);
    assert_eq!(done["answer"]["usage"]["completion_tokens"], 3);
    assert_eq!(fleet.row_count("job-queue/"), 0);
}

#[tokio::test]
async fn waiting_job_can_be_cancelled_only_by_its_owner() {
    let fleet = Fleet::spawn().await;
    let (_, accepted) = fleet.submit(3600).await;
    let path = format!("/v1/jobs/{}", accepted["id"].as_str().unwrap());
    let cancel = |secret| fleet.call(Method::DELETE, &path, secret, Value::Null);
    assert_eq!(cancel(OTHER_SECRET).await.0, 404);
    assert_eq!(fleet.row_count("job-queue/"), 1);
    let (status, job) = cancel(OWNER_SECRET).await;
    assert_eq!((status, &job["state"]), (200, &json!("cancelled")));
    assert_eq!(fleet.row_count("job-queue/"), 0);
}

#[tokio::test]
async fn lost_store_response_is_resolved_by_reading_back() {
    let fleet = Fleet::spawn().await;
    let set_lost_responses = |per_mille| {
        fleet
            .platform
            .set_faults(|faults| faults.lost_responses_per_mille = per_mille)
    };
    set_lost_responses(1000);
    let (status, accepted) = fleet.submit(2).await;
    set_lost_responses(0);
    assert_eq!(status, 202);
    assert_eq!(fleet.row_count("job/"), 1);
    fleet.wait_done(accepted["id"].as_str().unwrap()).await;
}

#[tokio::test]
async fn job_is_refused_during_a_store_outage() {
    let fleet = Fleet::spawn().await;
    fleet.platform.stop();
    assert_eq!(fleet.submit(2).await.0, 503);
}

#[tokio::test]
async fn job_of_a_dead_daemon_is_recovered_and_survives_a_store_outage() {
    let fleet = Fleet::spawn().await;
    let id: Arc<str> = "left-behind".into();
    let job = Job {
        id: id.clone(),
        workspace: "lab".into(),
        path: "/v1/completions".into(),
        body: json!({"model": "notes", "prompt": "hello", "max_tokens": 3}).to_string(),
        digest: "".into(),
        state: State::Accepted,
        deadline_unix_ms: 1000,
        answer: None,
    };
    let ticket = Ticket {
        id: id.clone(),
        workspace: "lab".into(),
        tokens: 5,
        accepted_unix_ms: 0,
        deadline_unix_ms: 1000,
        holder: Some("a dead daemon".into()),
        fence: 4,
    };
    let transaction = Transaction::default()
        .put(&job_key("lab", &id), &job)
        .put(&queue_key(&id), &ticket);
    fleet.platform.state.lock().commit(&transaction);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.platform.stop();
    tokio::time::sleep(Duration::from_millis(1500)).await;
    fleet.platform.resume().await.unwrap();
    fleet.wait_done(&id).await;
}
