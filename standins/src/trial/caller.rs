//! Load-balanced callers that send requests, read the complete answers and compare them with the expected text.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use persimmoncroft::protocol::caller::{EXECUTION, NOT_RUN};
use persimmoncroft::transport::http::Client;
use rand::seq::IndexedRandom;
use serde_json::{Value, json};

use super::fleet::Fleet;
use super::plan::{Arrival, Call};
use super::site::{self, Site};
use crate::answer;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
const CHARGE_TIMEOUT: Duration = Duration::from_secs(2);
const CHARGE_ATTEMPTS: usize = 5;
const CHARGE_RETRY_DELAY: Duration = Duration::from_millis(400);
/// HTTP status of an accepted job.
pub const JOB_ACCEPTED_STATUS: u16 = 202;
/// Deadline submitted with a job.
const JOB_DEADLINE: Duration = Duration::from_secs(15);
/// Time after its deadline at which an unfinished job counts as lost.
const JOB_GRACE: Duration = Duration::from_secs(30);
const JOB_POLL_INTERVAL: Duration = Duration::from_millis(500);
const CONNECT_ATTEMPTS: usize = 4;
const STOP_SEQUENCES: [&str; 1] = ["\n\n"];

/// Outcome of one request.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// HTTP status, if response headers arrived.
    pub status: Option<u16>,
    /// Time to the first part of a response body.
    pub time_to_first_token: Duration,
    /// Time to the end of the answer, retries included.
    pub total_time: Duration,
    /// Whether the answer arrived completely.
    pub completed: bool,
    /// Whether the answer is complete and has the text expected for this request.
    pub correct: bool,
    /// Whether the response says that nothing ran.
    pub not_run: bool,
    /// Error code of a refusal.
    pub error_code: String,
    /// Identifier of an accepted job, otherwise empty.
    pub job_id: String,
    /// Index of the last daemon that the request was sent to.
    pub daemon: usize,
}

/// Client that sends the trial's requests.
pub struct Caller {
    /// Daemons behind the load balancer.
    pub fleet: Arc<Fleet>,
    /// Site with the names and keys.
    pub site: Site,
    client: Client,
}

impl Caller {
    /// Creates a client of a fleet.
    pub fn new(fleet: Arc<Fleet>, site: Site) -> Self {
        let client = Client::open(Default::default());
        Self {
            fleet,
            site,
            client,
        }
    }

    /// Sends one scheduled request and reads its answer.
    pub async fn send(&self, arrival: &Arrival) -> Outcome {
        let started = Instant::now();
        let mut outcome = match &arrival.call {
            Call::Charge { .. } => self.send_charge(arrival).await,
            Call::Job { .. } => self.send_job(arrival).await,
            _ => self.send_once(arrival, REQUEST_TIMEOUT).await,
        };
        outcome.total_time = started.elapsed();
        outcome
    }

    async fn send_charge(&self, arrival: &Arrival) -> Outcome {
        let mut outcome = Outcome::default();
        for _ in 0..CHARGE_ATTEMPTS {
            outcome = self.send_once(arrival, CHARGE_TIMEOUT).await;
            if outcome.correct {
                return outcome;
            }
            tokio::time::sleep(CHARGE_RETRY_DELAY).await;
        }
        outcome
    }

    /// Submits a job and, once accepted, polls for its answer until it is correct or counts as lost.
    async fn send_job(&self, arrival: &Arrival) -> Outcome {
        let mut outcome = self.send_once(arrival, REQUEST_TIMEOUT).await;
        if outcome.status != Some(JOB_ACCEPTED_STATUS) {
            return outcome;
        }
        let lost_at = Instant::now() + JOB_DEADLINE + JOB_GRACE;
        while Instant::now() < lost_at && !outcome.correct {
            tokio::time::sleep(JOB_POLL_INTERVAL).await;
            outcome.correct = self.job_answer_is_correct(arrival, &outcome.job_id).await;
        }
        outcome
    }

    async fn job_answer_is_correct(&self, arrival: &Arrival, id: &str) -> bool {
        let address = self.fleet.replicas[self.pick_daemon()].caller;
        let workspace = self.site.workspaces[arrival.workspace].0;
        let secret = site::secret(workspace, arrival.key);
        let request = Request::get(format!("http://{address}/v1/jobs/{id}"))
            .header(header::AUTHORIZATION, format!("Bearer {secret}"))
            .body(Full::default())
            .expect("trial requests are well-formed");
        let exchange = async {
            let response = self.client.send(request).await.ok()?;
            let body = response.into_body().collect().await.ok()?;
            serde_json::from_slice::<Value>(&body.to_bytes()).ok()
        };
        let job = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await;
        let job = job.ok().flatten().unwrap_or_default();
        body_text(&job["answer"].to_string()) == expected_text(arrival)
    }

    /// Sends to one daemon; tries another only if the connection failed before anything was sent.
    async fn send_once(&self, arrival: &Arrival, timeout: Duration) -> Outcome {
        let started = Instant::now();
        let mut outcome = Outcome::default();
        for _ in 0..CONNECT_ATTEMPTS {
            tokio::time::sleep(self.site.client_delay).await;
            let daemon = self.pick_daemon();
            let request = self.request(arrival, self.fleet.replicas[daemon].caller);
            outcome.daemon = daemon;
            let exchange = self.exchange(arrival, request, started, &mut outcome);
            let unsent = tokio::time::timeout(timeout, exchange).await == Ok(false);
            if !unsent {
                break;
            }
        }
        outcome
    }

    fn pick_daemon(&self) -> usize {
        let replicas = self.fleet.replicas.iter().enumerate();
        let healthy: Vec<usize> = replicas
            .filter(|(_, replica)| replica.healthy.load(Relaxed))
            .map(|(index, _)| index)
            .collect();
        healthy.choose(&mut rand::rng()).copied().unwrap_or(0)
    }

    fn request(&self, arrival: &Arrival, address: SocketAddr) -> Request<Full<Bytes>> {
        let (method, path, body) = request_parts(arrival);
        let workspace = self.site.workspaces[arrival.workspace].0;
        let secret = site::secret(workspace, arrival.key);
        Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {secret}"))
            .header(header::CONTENT_TYPE, "application/json")
            .header("x-api-key", &secret)
            .header("idempotency-key", &arrival.tag)
            .body(Full::new(Bytes::from(body)))
            .expect("trial requests are well-formed")
    }

    /// Performs one HTTP exchange; returns false if nothing was sent.
    async fn exchange(
        &self,
        arrival: &Arrival,
        request: Request<Full<Bytes>>,
        started: Instant,
        outcome: &mut Outcome,
    ) -> bool {
        let response = match self.client.send(request).await {
            Ok(response) => response,
            Err(error) => return !error.not_sent(),
        };
        outcome.status = Some(response.status().as_u16());
        let execution = response.headers().get(EXECUTION);
        outcome.not_run = execution.is_some_and(|value| value == NOT_RUN);
        if !response.status().is_success() {
            let body = response.into_body().collect().await;
            let bytes = body.map(|body| body.to_bytes()).unwrap_or_default();
            let value: Value = serde_json::from_slice(&bytes).unwrap_or_default();
            outcome.error_code = value["error"]["code"]
                .as_str()
                .unwrap_or_default()
                .to_owned();
            return true;
        }
        read_response(arrival, response, started, outcome).await;
        true
    }
}

fn request_parts(arrival: &Arrival) -> (&'static str, String, String) {
    match &arrival.call {
        Call::Completion { stream, chat, .. } => {
            let path = if *chat {
                "/v1/chat/completions"
            } else {
                "/v1/completions"
            };
            let mut body = request_body(&arrival.call);
            body["stream"] = json!(stream);
            ("POST", path.to_owned(), body.to_string())
        }
        Call::Job { .. } => (
            "POST",
            "/v1/jobs".to_owned(),
            json!({
                "path": "/v1/completions", "body": request_body(&arrival.call),
                "deadline_seconds": JOB_DEADLINE.as_secs(),
            })
            .to_string(),
        ),
        Call::Charge { .. } => {
            let body = json!({"booking": arrival.tag});
            ("POST", site::CHARGES_PREFIX.to_owned(), body.to_string())
        }
        Call::Lookup => {
            let tag = arrival.tag.replace('[', "%5B").replace(']', "%5D");
            (
                "GET",
                format!("{}/{tag}", site::LOOKUPS_PREFIX),
                String::new(),
            )
        }
    }
}

fn request_body(call: &Call) -> Value {
    match call {
        Call::Completion {
            model,
            prompt,
            max_tokens,
            chat: true,
            ..
        } => json!({
            "model": model, "max_tokens": max_tokens, "stop": STOP_SEQUENCES,
            "messages": [{"role": "user", "content": prompt}],
        }),
        Call::Completion {
            model,
            prompt,
            max_tokens,
            ..
        }
        | Call::Job {
            model,
            prompt,
            max_tokens,
        } => {
            json!({"model": model, "max_tokens": max_tokens, "stop": STOP_SEQUENCES, "prompt": prompt})
        }
        Call::Charge { .. } | Call::Lookup => Value::Null,
    }
}

/// Returns the text expected in the answer.
fn expected_text(arrival: &Arrival) -> String {
    answer::answer(&request_body(&arrival.call)).unwrap_or_else(|| arrival.tag.clone())
}

async fn read_response(
    arrival: &Arrival,
    response: Response<Incoming>,
    started: Instant,
    outcome: &mut Outcome,
) {
    let content_type = response.headers().get(header::CONTENT_TYPE);
    let is_stream = content_type.is_some_and(|content_type| content_type == "text/event-stream");
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let mut complete = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            complete = false;
            break;
        };
        if outcome.time_to_first_token.is_zero() {
            outcome.time_to_first_token = started.elapsed();
        }
        bytes.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
    }
    let raw = String::from_utf8_lossy(&bytes);
    let (text, ended) = match is_stream {
        true => (stream_text(&raw), raw.trim_end().ends_with("data: [DONE]")),
        false => (body_text(&raw), true),
    };
    outcome.completed = complete && ended;
    if matches!(arrival.call, Call::Job { .. }) {
        let value: Value = serde_json::from_str(&raw).unwrap_or_default();
        outcome.job_id = value["id"].as_str().unwrap_or_default().to_owned();
    }
    outcome.correct = outcome.completed && text == expected_text(arrival);
}

fn stream_text(raw: &str) -> String {
    let events = raw.lines().filter_map(|line| line.strip_prefix("data: "));
    let values = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
    values
        .map(|value| choice_text(&value["choices"][0]))
        .collect()
}

fn body_text(raw: &str) -> String {
    let value: Value = serde_json::from_str(raw).unwrap_or_default();
    match value["booking"].as_str() {
        Some(booking) => booking.to_owned(),
        None => choice_text(&value["choices"][0]),
    }
}

fn choice_text(choice: &Value) -> String {
    let parts = [
        &choice["text"],
        &choice["delta"]["content"],
        &choice["message"]["content"],
    ];
    parts
        .iter()
        .find_map(|part| part.as_str())
        .unwrap_or_default()
        .to_owned()
}
