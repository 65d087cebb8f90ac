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
use super::plan::{Arrival, Ask};
use super::site::{self, Site};
use crate::text;

const TIMEOUT: Duration = Duration::from_secs(15);
const CHARGE_TIMEOUT: Duration = Duration::from_secs(2);
const CHARGE_TRIES: usize = 5;
const CHARGE_PAUSE: Duration = Duration::from_millis(400);
/// HTTP status of an accepted job.
pub const ACCEPTED: u16 = 202;
/// Deadline submitted with a job.
const JOB_DEADLINE: Duration = Duration::from_secs(15);
/// Time after its deadline at which an unfinished job counts as lost.
const JOB_GRACE: Duration = Duration::from_secs(30);
const JOB_PAUSE: Duration = Duration::from_millis(500);
const CONNECT_TRIES: usize = 4;
const STOPS: [&str; 1] = ["\n\n"];

/// Outcome of one request.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// HTTP status, if response headers arrived.
    pub status: Option<u16>,
    /// Time to the first part of a response body.
    pub first: Duration,
    /// Time to the end of the answer, retries included.
    pub total: Duration,
    /// Whether the answer arrived completely.
    pub ended: bool,
    /// Whether the answer is complete and has the text expected for this request.
    pub right: bool,
    /// Whether the response says that nothing ran.
    pub not_run: bool,
    /// Error code of a refusal.
    pub code: String,
    /// Identifier of an accepted job, otherwise empty.
    pub job: String,
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
    pub fn open(fleet: Arc<Fleet>, site: Site) -> Self {
        let client = Client::open(Default::default());
        Self {
            fleet,
            site,
            client,
        }
    }

    /// Sends one scheduled request and reads its answer.
    pub async fn ask(&self, arrival: &Arrival) -> Answer {
        let begun = Instant::now();
        let mut answer = match &arrival.ask {
            Ask::Charge { .. } => self.charge(arrival).await,
            Ask::Job { .. } => self.job(arrival).await,
            _ => self.once(arrival, TIMEOUT).await,
        };
        answer.total = begun.elapsed();
        answer
    }

    async fn charge(&self, arrival: &Arrival) -> Answer {
        let mut answer = Answer::default();
        for _ in 0..CHARGE_TRIES {
            answer = self.once(arrival, CHARGE_TIMEOUT).await;
            if answer.right {
                return answer;
            }
            tokio::time::sleep(CHARGE_PAUSE).await;
        }
        answer
    }

    /// Submits a job and, once accepted, polls for its answer until it is correct or counts as lost.
    async fn job(&self, arrival: &Arrival) -> Answer {
        let mut answer = self.once(arrival, TIMEOUT).await;
        if answer.status != Some(ACCEPTED) {
            return answer;
        }
        let until = Instant::now() + JOB_DEADLINE + JOB_GRACE;
        while Instant::now() < until && !answer.right {
            tokio::time::sleep(JOB_PAUSE).await;
            answer.right = self.job_is_right(arrival, &answer.job).await;
        }
        answer
    }

    async fn job_is_right(&self, arrival: &Arrival, id: &str) -> bool {
        let address = self.fleet.slots[self.balance()].caller;
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
        let shown = tokio::time::timeout(TIMEOUT, exchange).await;
        let shown = shown.ok().flatten().unwrap_or_default();
        plain(&shown["answer"].to_string()) == expected(arrival)
    }

    /// Sends to one daemon, and to another only if nothing was sent.
    async fn once(&self, arrival: &Arrival, timeout: Duration) -> Answer {
        let begun = Instant::now();
        let mut answer = Answer::default();
        for _ in 0..CONNECT_TRIES {
            tokio::time::sleep(self.site.client_delay).await;
            let daemon = self.balance();
            let request = self.request(arrival, self.fleet.slots[daemon].caller);
            answer.daemon = daemon;
            let exchange = self.exchange(arrival, request, begun, &mut answer);
            let unsent = tokio::time::timeout(timeout, exchange).await == Ok(false);
            if !unsent {
                break;
            }
        }
        answer
    }

    fn balance(&self) -> usize {
        let slots = self.fleet.slots.iter().enumerate();
        let healthy: Vec<usize> = slots
            .filter(|(_, slot)| slot.healthy.load(Relaxed))
            .map(|(index, _)| index)
            .collect();
        healthy.choose(&mut rand::rng()).copied().unwrap_or(0)
    }

    fn request(&self, arrival: &Arrival, address: SocketAddr) -> Request<Full<Bytes>> {
        let (method, path, body) = message(arrival);
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
        begun: Instant,
        answer: &mut Answer,
    ) -> bool {
        let response = match self.client.send(request).await {
            Ok(response) => response,
            Err(error) => return !error.not_sent(),
        };
        answer.status = Some(response.status().as_u16());
        let execution = response.headers().get(EXECUTION);
        answer.not_run = execution.is_some_and(|value| value == NOT_RUN);
        if !response.status().is_success() {
            let body = response.into_body().collect().await;
            let bytes = body.map(|body| body.to_bytes()).unwrap_or_default();
            let value: Value = serde_json::from_slice(&bytes).unwrap_or_default();
            answer.code = value["error"]["code"]
                .as_str()
                .unwrap_or_default()
                .to_owned();
            return true;
        }
        read(arrival, response, begun, answer).await;
        true
    }
}

fn message(arrival: &Arrival) -> (&'static str, String, String) {
    match &arrival.ask {
        Ask::Completion { stream, chat, .. } => {
            let path = if *chat {
                "/v1/chat/completions"
            } else {
                "/v1/completions"
            };
            let mut body = body(&arrival.ask);
            body["stream"] = json!(stream);
            ("POST", path.to_owned(), body.to_string())
        }
        Ask::Job { .. } => (
            "POST",
            "/v1/jobs".to_owned(),
            json!({
                "path": "/v1/completions", "body": body(&arrival.ask),
                "deadline_seconds": JOB_DEADLINE.as_secs(),
            })
            .to_string(),
        ),
        Ask::Charge { .. } => {
            let body = json!({"booking": arrival.tag});
            ("POST", site::CHARGES.to_owned(), body.to_string())
        }
        Ask::Lookup => {
            let tag = arrival.tag.replace('[', "%5B").replace(']', "%5D");
            ("GET", format!("{}/{tag}", site::LOOKUPS), String::new())
        }
    }
}

fn body(ask: &Ask) -> Value {
    match ask {
        Ask::Completion {
            model,
            prompt,
            most,
            chat: true,
            ..
        } => json!({
            "model": model, "max_tokens": most, "stop": STOPS,
            "messages": [{"role": "user", "content": prompt}],
        }),
        Ask::Completion {
            model,
            prompt,
            most,
            ..
        }
        | Ask::Job {
            model,
            prompt,
            most,
        } => {
            json!({"model": model, "max_tokens": most, "stop": STOPS, "prompt": prompt})
        }
        Ask::Charge { .. } | Ask::Lookup => Value::Null,
    }
}

/// Returns the text expected in the answer.
fn expected(arrival: &Arrival) -> String {
    text::answer(&body(&arrival.ask)).unwrap_or_else(|| arrival.tag.clone())
}

async fn read(
    arrival: &Arrival,
    response: Response<Incoming>,
    begun: Instant,
    answer: &mut Answer,
) {
    let kind = response.headers().get(header::CONTENT_TYPE);
    let streams = kind.is_some_and(|kind| kind == "text/event-stream");
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            whole = false;
            break;
        };
        if answer.first.is_zero() {
            answer.first = begun.elapsed();
        }
        bytes.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
    }
    let raw = String::from_utf8_lossy(&bytes);
    let (text, ended) = match streams {
        true => (streamed(&raw), raw.trim_end().ends_with("data: [DONE]")),
        false => (plain(&raw), true),
    };
    answer.ended = whole && ended;
    if matches!(arrival.ask, Ask::Job { .. }) {
        let value: Value = serde_json::from_str(&raw).unwrap_or_default();
        answer.job = value["id"].as_str().unwrap_or_default().to_owned();
    }
    answer.right = answer.ended && text == expected(arrival);
}

fn streamed(raw: &str) -> String {
    let events = raw.lines().filter_map(|line| line.strip_prefix("data: "));
    let values = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
    values.map(|value| token(&value["choices"][0])).collect()
}

fn plain(raw: &str) -> String {
    let value: Value = serde_json::from_str(raw).unwrap_or_default();
    match value["booking"].as_str() {
        Some(booking) => booking.to_owned(),
        None => token(&value["choices"][0]),
    }
}

fn token(choice: &Value) -> String {
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
