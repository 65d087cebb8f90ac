//! Stand-in for a model engine, with cold starts, a prefix cache, placement orders and fault injection.

pub mod batch;
pub mod cache;
pub mod memory;

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use http::{Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use persimmoncroft::protocol::caller::{Completion, DEFAULT_MAX_TOKENS, prompt_tokens};
use persimmoncroft::protocol::engine::{Load, Order, PRIORITY, REQUEST_ID, RESUME_FIELD, Resident};
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use self::batch::{Batch, Sequence, Speed};
use self::cache::Cache;
use self::memory::{Adapter, Memory, Model, Pending};
use crate::judge::{self, Judge};
use crate::serve::{self, Body, Server};
use crate::text;
use crate::weights::Rate;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
const CACHE_BLOCKS: usize = 2048;
const EVENT_LAG: Duration = Duration::from_millis(300);
const DEFAULT_PRIORITY: u8 = 5;
const WAITING_PER_SLOT: usize = 4;
/// Time after the first rejection of a cold engine in which further excess requests don't count as overload.
const COLD_NOTICE: Duration = Duration::from_millis(500);
const LATE_ORDER: Duration = Duration::from_millis(1500);

/// Engine settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the endpoint record.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Accelerator memory in MiB.
    pub memory_mib: u64,
    /// Maximum number of concurrent sequences once warm.
    pub slots: u32,
    /// Maximum number of concurrent requests right after a cold start.
    pub cold_slots: u32,
    /// Time of running steps after which a cold engine is warm.
    pub ramp: Duration,
    /// Whether orders with a stale fencing token are refused.
    pub fenced: bool,
    /// Delay after which a load report becomes visible.
    pub load_lag: Duration,
    /// Step and prefill times.
    pub speed: Speed,
    /// Models that are ready at start, with their memory in MiB.
    pub models: Vec<(Arc<str>, u64)>,
    /// Adapters that are loaded at start, with their base model and memory in MiB.
    pub adapters: Vec<(Arc<str>, Arc<str>, u64)>,
}

impl Settings {
    /// Returns the settings of a fast, warm engine whose models take 100 MiB each.
    pub fn local(models: &[&str]) -> Self {
        Self {
            name: "engine".into(),
            zone: "a".into(),
            memory_mib: 1000,
            slots: 16,
            cold_slots: 2,
            ramp: Duration::from_secs(3),
            fenced: true,
            load_lag: Duration::ZERO,
            speed: Speed {
                step: Duration::from_millis(2),
                step_per_sequence: Duration::from_micros(100),
                prefill_per_token: Duration::ZERO,
            },
            models: models.iter().map(|model| ((*model).into(), 100)).collect(),
            adapters: Vec::new(),
        }
    }
}

/// Faults to inject.
#[derive(Debug, Clone, Copy, Default)]
pub struct Switches {
    /// Generates no tokens.
    pub stalled: bool,
    /// Streams broken off midway, per thousand.
    pub cut_per_mille: u64,
    /// Orders lost without effect, per thousand.
    pub lost_orders_per_mille: u64,
    /// Orders executed late and never answered, so that the sender repeats them, per thousand.
    pub late_orders_per_mille: u64,
    /// Orders executed whose response is lost, per thousand.
    pub lost_answers_per_mille: u64,
}

#[derive(Debug)]
struct State {
    boot: String,
    warm: Duration,
    cold_sign: Option<Instant>,
    reports: VecDeque<(Instant, Load)>,
}

/// State shared by the tasks of one engine.
#[derive(Debug)]
struct Inner {
    settings: Settings,
    judge: Arc<Judge>,
    weights: Arc<Rate>,
    adapter_rate: Arc<Rate>,
    batch: Batch,
    cache: Cache,
    memory: Mutex<Memory>,
    switches: Mutex<Switches>,
    state: Mutex<State>,
}

/// A running engine; dropping it stops it.
pub struct Engine {
    /// Listen address.
    pub address: SocketAddr,
    inner: Arc<Inner>,
    server: Server,
    duties: Vec<AbortHandle>,
}

impl Engine {
    /// Starts an engine on a free loopback port with these models ready.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be bound.
    pub async fn spawn(models: &[&str]) -> io::Result<Self> {
        let rate = Arc::new(Rate::open(6, Duration::from_millis(100)));
        Self::open(Settings::local(models), Arc::default(), rate.clone(), rate).await
    }

    /// Starts an engine that shares its recorder, weight store and adapter loader with other engines.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be bound.
    pub async fn open(
        settings: Settings,
        judge: Arc<Judge>,
        weights: Arc<Rate>,
        adapter_rate: Arc<Rate>,
    ) -> io::Result<Self> {
        let inner = Arc::new(Inner {
            batch: Batch::open(settings.speed, settings.slots as usize),
            cache: Cache::open(CACHE_BLOCKS, EVENT_LAG),
            memory: Mutex::new(initial_memory(&settings)),
            switches: Mutex::default(),
            state: Mutex::new(State {
                boot: uuid::Uuid::new_v4().to_string(),
                warm: settings.ramp,
                cold_sign: None,
                reports: VecDeque::new(),
            }),
            settings,
            judge,
            weights,
            adapter_rate,
        });
        inner.sample();
        let handler_inner = inner.clone();
        let handler: serve::Handler = Arc::new(move |request| {
            let inner = handler_inner.clone();
            Box::pin(async move { inner.answer(request).await })
        });
        let server = Server::bind(handler).await?;
        let duties = vec![spawn_batch(&inner), spawn_sampler(&inner)];
        Ok(Self {
            address: server.address,
            inner,
            server,
            duties,
        })
    }

    /// Name of the endpoint record.
    pub fn name(&self) -> &Arc<str> {
        &self.inner.settings.name
    }

    /// Availability zone.
    pub fn zone(&self) -> &Arc<str> {
        &self.inner.settings.zone
    }

    /// Changes the injected faults.
    pub fn switch(&self, change: impl FnOnce(&mut Switches)) {
        change(&mut self.inner.switches.lock());
    }

    /// Returns true if a model is loaded and ready.
    pub fn serves(&self, model: &str) -> bool {
        self.inner.memory.lock().serves(model).is_some()
    }

    /// Simulates a process restart: connections break, and after `away` the engine is cold with its initial models.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be bound again.
    pub async fn restart(&self, away: Duration) -> io::Result<()> {
        self.server.stop();
        self.inner.batch.cancel(None);
        tokio::time::sleep(away).await;
        *self.inner.memory.lock() = initial_memory(&self.inner.settings);
        self.inner.turn_cold();
        self.server.resume().await
    }

    /// Makes the engine cold with a new boot identifier; the listener stays up and models stay loaded.
    pub fn turn_cold(&self) {
        self.inner.turn_cold();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.duties.iter().for_each(AbortHandle::abort);
    }
}

fn initial_memory(settings: &Settings) -> Memory {
    let model = |(name, mib): &(Arc<str>, u64)| Model {
        resident: Resident {
            model: name.clone(),
            version: 1,
            ready: true,
        },
        mib: *mib,
    };
    let adapter = |(name, model, mib): &(Arc<str>, Arc<str>, u64)| {
        let model = model.clone();
        (name.clone(), Adapter { model, mib: *mib })
    };
    Memory::open(
        settings.memory_mib,
        settings.models.iter().map(model).collect(),
        settings.adapters.iter().map(adapter).collect(),
    )
}

fn spawn_batch(inner: &Arc<Inner>) -> AbortHandle {
    let inner = inner.clone();
    let run = async move {
        let stalled = || inner.switches.lock().stalled;
        let warmed = |step| inner.state.lock().warm += step;
        inner.batch.run(&inner.judge, stalled, warmed).await;
    };
    tokio::spawn(run).abort_handle()
}

fn spawn_sampler(inner: &Arc<Inner>) -> AbortHandle {
    let inner = inner.clone();
    let run = async move {
        loop {
            tokio::time::sleep(SAMPLE_INTERVAL).await;
            inner.sample();
        }
    };
    tokio::spawn(run).abort_handle()
}

impl Inner {
    async fn answer(self: Arc<Self>, request: Request<Bytes>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/load") => serve::json(StatusCode::OK, &self.report()),
            (&Method::GET, "/events") => {
                let query = request.uri().query().unwrap_or_default();
                let after = query.split_once('=').and_then(|(_, n)| n.parse().ok());
                serve::json(StatusCode::OK, &self.cache.events(after.unwrap_or(0)))
            }
            (&Method::POST, "/orders") => self.order(request.body()).await,
            (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                let id = request.headers().get(REQUEST_ID).cloned();
                let mut response = self.complete(request).await;
                if let Some(id) = id {
                    response.headers_mut().insert(REQUEST_ID, id);
                }
                response
            }
            _ => failure(StatusCode::NOT_FOUND, "not_found"),
        }
    }

    fn report(&self) -> Load {
        let state = self.state.lock();
        let lag = self.settings.load_lag;
        let old = state
            .reports
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= lag);
        let report = old.or(state.reports.front());
        report.map(|(_, load)| load.clone()).unwrap_or_default()
    }

    fn sample(&self) {
        let inside = self.batch.len() as u32;
        let running = inside.min(self.settings.slots);
        let memory = self.memory.lock();
        let mut state = self.state.lock();
        let load = Load {
            boot: state.boot.clone(),
            ready: true,
            running,
            waiting: inside - running,
            models: memory.models.iter().map(|m| m.resident.clone()).collect(),
            adapters: memory.adapters.keys().cloned().collect(),
            used_mib: memory.used(),
            memory_mib: memory.mib,
            last_order: memory.last_order.clone(),
            fence: memory.fence,
            cache_sequence: self.cache.sequence(),
        };
        state.reports.push_back((Instant::now(), load));
        while state.reports.len() > 2 && state.reports[1].0.elapsed() >= self.settings.load_lag {
            state.reports.pop_front();
        }
    }

    fn turn_cold(&self) {
        self.cache.clear();
        let mut state = self.state.lock();
        state.boot = uuid::Uuid::new_v4().to_string();
        state.warm = Duration::ZERO;
        state.cold_sign = None;
        state.reports.clear();
        drop(state);
        self.sample();
    }

    /// Returns true if the engine has capacity for one more request.
    /// || Overload of a cold engine past the grace period is recorded and restarts the warm-up.
    fn admit(&self) -> bool {
        let inside = self.batch.len();
        let slots = self.settings.slots;
        let mut state = self.state.lock();
        if state.warm >= self.settings.ramp {
            return inside < slots as usize * (1 + WAITING_PER_SLOT);
        }
        let warmed = state.warm.as_millis() as u64 * u64::from(slots - self.settings.cold_slots);
        let risen = warmed / self.settings.ramp.as_millis() as u64;
        if (inside as u64) < u64::from(self.settings.cold_slots) + risen {
            return true;
        }
        let sign = *state.cold_sign.get_or_insert_with(Instant::now);
        if sign.elapsed() > COLD_NOTICE {
            self.judge.cold_overloads.fetch_add(1, Relaxed);
            state.warm = Duration::ZERO;
        }
        false
    }

    async fn complete(self: &Arc<Self>, request: Request<Bytes>) -> Response<Body> {
        let Ok(completion) = serde_json::from_slice::<Completion>(request.body()) else {
            return failure(StatusCode::BAD_REQUEST, "invalid_body");
        };
        let prompt = completion.prompt_text();
        let tag: Arc<str> = judge::find_tag(&prompt).unwrap_or_default().into();
        self.judge.inspect(&request, &tag);
        let Some(base) = self.memory.lock().serves(&completion.model) else {
            return failure(StatusCode::NOT_FOUND, "model_not_found");
        };
        if !self.admit() {
            return failure(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
        }
        self.judge
            .run(&self.settings.name, &self.settings.zone, &tag);
        let (sequence, receiver) = self.sequence(&request, &completion, prompt, base, &tag);
        let (next, end) = (sequence.next, sequence.end);
        self.judge.used(&tag, prompt_tokens(&sequence.prompt));
        self.batch.push(sequence);
        let chat = request.uri().path().contains("chat");
        if completion.stream {
            return stream(receiver, end - next, chat);
        }
        whole(receiver, end - next, chat).await
    }

    fn sequence(
        &self,
        request: &Request<Bytes>,
        completion: &Completion,
        prompt: String,
        base: Arc<str>,
        tag: &Arc<str>,
    ) -> (Sequence, mpsc::UnboundedReceiver<String>) {
        let most = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        let body: Value = serde_json::from_slice(request.body()).unwrap_or_default();
        let end = text::length(&completion.model, &prompt, most, &body);
        let resumed = body[RESUME_FIELD].as_u64().unwrap_or(0).min(end);
        let cached = self.cache.visit(&completion.model, &prompt);
        let uncached = prompt_tokens(&prompt).saturating_sub(cached);
        let priority = request
            .headers()
            .get(PRIORITY)
            .and_then(|value| value.to_str().ok());
        let (sender, receiver) = mpsc::unbounded_channel();
        let sequence = Sequence {
            priority: priority
                .and_then(|text| text.parse().ok())
                .unwrap_or(DEFAULT_PRIORITY),
            base,
            model: completion.model.clone(),
            tag: tag.clone(),
            next: resumed,
            end,
            ready: Instant::now() + self.batch.prefill(uncached),
            cut: chance(self.switches.lock().cut_per_mille).then_some((resumed + end) / 2),
            prompt,
            sender,
        };
        (sequence, receiver)
    }

    async fn order(self: &Arc<Self>, body: &Bytes) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return failure(StatusCode::BAD_REQUEST, "invalid_order");
        };
        let switches = *self.switches.lock();
        if chance(switches.lost_orders_per_mille) {
            return std::future::pending().await;
        }
        if chance(switches.late_orders_per_mille) {
            let (inner, order) = (self.clone(), order.clone());
            tokio::spawn(async move {
                tokio::time::sleep(LATE_ORDER).await;
                inner.carry_out(&order).await;
            });
            return std::future::pending().await;
        }
        let outcome = self.carry_out(&order).await;
        if chance(switches.lost_answers_per_mille) {
            return std::future::pending().await;
        }
        serve::json(StatusCode::OK, &outcome)
    }

    async fn carry_out(
        self: &Arc<Self>,
        order: &Order,
    ) -> persimmoncroft::protocol::engine::Outcome {
        let fenced = self.settings.fenced;
        let (outcome, pending) = self.memory.lock().carry_out(order, fenced, &self.judge);
        match pending {
            Pending::Nothing => {}
            Pending::Adapter => self.adapter_rate.load().await,
            Pending::Unloaded(model) => self.batch.cancel(Some(&model)),
            Pending::Weights(model, version) => {
                let (inner, id) = (self.clone(), order.id.clone());
                let boot = self.state.lock().boot.clone();
                tokio::spawn(async move {
                    inner.weights.load().await;
                    if inner.state.lock().boot == boot {
                        inner.memory.lock().ready(&model, version, &id);
                    }
                });
            }
        }
        outcome
    }
}

fn chance(per_mille: u64) -> bool {
    per_mille > 0 && rand::random_range(0..1000) < per_mille
}

fn failure(status: StatusCode, code: &str) -> Response<Body> {
    let detail = json!({"message": code, "type": "server_error", "code": code});
    serve::json(status, &json!({"error": detail}))
}

fn choice(chat: bool, token: &str) -> Value {
    match chat {
        true => json!({"index": 0, "delta": {"content": token}}),
        false => json!({"index": 0, "text": token}),
    }
}

fn stream(receiver: mpsc::UnboundedReceiver<String>, count: u64, chat: bool) -> Response<Body> {
    let tokens =
        futures::stream::unfold((receiver, count), move |(mut receiver, left)| async move {
            let token = receiver.recv().await;
            let (chunk, left) = match token {
                Some(token) => {
                    let event = json!({"choices": [choice(chat, &token)]});
                    (Ok(format!("data: {event}\n\n").into()), left - 1)
                }
                None if left == 0 => return None,
                None => (Err(io::ErrorKind::ConnectionReset.into()), 0),
            };
            Some((chunk, (receiver, left)))
        });

    let done = futures::stream::iter([Ok(Bytes::from_static(b"data: [DONE]\n\n"))]);
    serve::events(tokens.chain(done))
}

async fn whole(
    mut receiver: mpsc::UnboundedReceiver<String>,
    count: u64,
    chat: bool,
) -> Response<Body> {
    let mut tokens = Vec::new();
    while let Some(token) = receiver.recv().await {
        tokens.push(token);
    }
    if (tokens.len() as u64) < count {
        return failure(StatusCode::INTERNAL_SERVER_ERROR, "engine_failed");
    }
    let text = tokens.concat();
    let choice = match chat {
        true => {
            json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "stop"})
        }
        false => json!({"index": 0, "text": text, "finish_reason": "stop"}),
    };
    let usage = json!({"completion_tokens": count});
    serve::json(
        StatusCode::OK,
        &json!({"choices": [choice], "usage": usage}),
    )
}
