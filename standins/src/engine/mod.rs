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
use crate::answer;
use crate::loader::Loader;
use crate::recorder::{self, Recorder};
use crate::server::{self, Body, Server};

const REPORT_INTERVAL: Duration = Duration::from_millis(50);
const CACHE_BLOCKS: usize = 2048;
const EVENT_DELAY: Duration = Duration::from_millis(300);
const DEFAULT_PRIORITY: u8 = 5;
const QUEUED_PER_SLOT: usize = 4;
/// Time after the first rejection of a cold engine in which further excess requests don't count as overload.
const COLD_GRACE: Duration = Duration::from_millis(500);
const LATE_ORDER_DELAY: Duration = Duration::from_millis(1500);

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
    pub report_delay: Duration,
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
            report_delay: Duration::ZERO,
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
pub struct Faults {
    /// Generates no tokens.
    pub stalled: bool,
    /// Streams broken off midway, per thousand.
    pub broken_streams_per_mille: u64,
    /// Orders lost without effect, per thousand.
    pub lost_orders_per_mille: u64,
    /// Orders executed late and never answered, so that the sender repeats them, per thousand.
    pub late_orders_per_mille: u64,
    /// Orders executed whose response is lost, per thousand.
    pub lost_responses_per_mille: u64,
}

#[derive(Debug)]
struct State {
    boot_id: String,
    warm_time: Duration,
    first_cold_rejection: Option<Instant>,
    reports: VecDeque<(Instant, Load)>,
}

/// State shared by the tasks of one engine.
#[derive(Debug)]
struct Inner {
    settings: Settings,
    recorder: Arc<Recorder>,
    model_loader: Arc<Loader>,
    adapter_loader: Arc<Loader>,
    batch: Batch,
    cache: Cache,
    memory: Mutex<Memory>,
    faults: Mutex<Faults>,
    state: Mutex<State>,
}

/// A running engine; dropping it stops it.
pub struct Engine {
    /// Listen address.
    pub address: SocketAddr,
    inner: Arc<Inner>,
    server: Server,
    tasks: Vec<AbortHandle>,
}

impl Engine {
    /// Starts an engine on a free loopback port with these models ready.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be bound.
    pub async fn spawn(models: &[&str]) -> io::Result<Self> {
        let loader = Arc::new(Loader::new(6, Duration::from_millis(100)));
        Self::spawn_with(
            Settings::local(models),
            Arc::default(),
            loader.clone(),
            loader,
        )
        .await
    }

    /// Starts an engine that shares its recorder, model loader and adapter loader with other engines.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be bound.
    pub async fn spawn_with(
        settings: Settings,
        recorder: Arc<Recorder>,
        model_loader: Arc<Loader>,
        adapter_loader: Arc<Loader>,
    ) -> io::Result<Self> {
        let inner = Arc::new(Inner {
            batch: Batch::new(settings.speed, settings.slots as usize),
            cache: Cache::new(CACHE_BLOCKS, EVENT_DELAY),
            memory: Mutex::new(initial_memory(&settings)),
            faults: Mutex::default(),
            state: Mutex::new(State {
                boot_id: uuid::Uuid::new_v4().to_string(),
                warm_time: settings.ramp,
                first_cold_rejection: None,
                reports: VecDeque::new(),
            }),
            settings,
            recorder,
            model_loader,
            adapter_loader,
        });
        inner.sample();
        let handler_inner = inner.clone();
        let handler: server::Handler = Arc::new(move |request| {
            let inner = handler_inner.clone();
            Box::pin(async move { inner.handle(request).await })
        });
        let server = Server::bind(handler).await?;
        let tasks = vec![spawn_batch(&inner), spawn_sampler(&inner)];
        Ok(Self {
            address: server.address,
            inner,
            server,
            tasks,
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
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.inner.faults.lock());
    }

    /// Returns true if a model is loaded and ready.
    pub fn serves(&self, model: &str) -> bool {
        self.inner.memory.lock().ready_base_model(model).is_some()
    }

    /// Simulates a process restart: connections break, and after `downtime` the engine is cold with its initial models.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be bound again.
    pub async fn restart(&self, downtime: Duration) -> io::Result<()> {
        self.server.stop();
        self.inner.batch.cancel(None);
        tokio::time::sleep(downtime).await;
        *self.inner.memory.lock() = initial_memory(&self.inner.settings);
        self.inner.make_cold();
        self.server.resume().await
    }

    /// Makes the engine cold with a new boot identifier; the listener stays up and models stay loaded.
    pub fn make_cold(&self) {
        self.inner.make_cold();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

fn initial_memory(settings: &Settings) -> Memory {
    let model = |(name, memory_mib): &(Arc<str>, u64)| Model {
        resident: Resident {
            model: name.clone(),
            version: 1,
            ready: true,
        },
        memory_mib: *memory_mib,
    };
    let adapter = |(name, model, memory_mib): &(Arc<str>, Arc<str>, u64)| {
        let model = model.clone();
        (
            name.clone(),
            Adapter {
                model,
                memory_mib: *memory_mib,
            },
        )
    };
    Memory::new(
        settings.memory_mib,
        settings.models.iter().map(model).collect(),
        settings.adapters.iter().map(adapter).collect(),
    )
}

fn spawn_batch(inner: &Arc<Inner>) -> AbortHandle {
    let inner = inner.clone();
    let run = async move {
        let stalled = || inner.faults.lock().stalled;
        let on_step = |step| inner.state.lock().warm_time += step;
        inner.batch.run(&inner.recorder, stalled, on_step).await;
    };
    tokio::spawn(run).abort_handle()
}

fn spawn_sampler(inner: &Arc<Inner>) -> AbortHandle {
    let inner = inner.clone();
    let run = async move {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            inner.sample();
        }
    };
    tokio::spawn(run).abort_handle()
}

impl Inner {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/load") => server::json(StatusCode::OK, &self.visible_report()),
            (&Method::GET, "/events") => {
                let query = request.uri().query().unwrap_or_default();
                let after = query.split_once('=').and_then(|(_, n)| n.parse().ok());
                server::json(StatusCode::OK, &self.cache.events(after.unwrap_or(0)))
            }
            (&Method::POST, "/orders") => self.handle_order(request.body()).await,
            (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                let id = request.headers().get(REQUEST_ID).cloned();
                let mut response = self.complete(request).await;
                if let Some(id) = id {
                    response.headers_mut().insert(REQUEST_ID, id);
                }
                response
            }
            _ => error_response(StatusCode::NOT_FOUND, "not_found"),
        }
    }

    fn visible_report(&self) -> Load {
        let state = self.state.lock();
        let delay = self.settings.report_delay;
        let visible = state
            .reports
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= delay);
        let report = visible.or(state.reports.front());
        report.map(|(_, load)| load.clone()).unwrap_or_default()
    }

    fn sample(&self) {
        let in_flight = self.batch.len() as u32;
        let running = in_flight.min(self.settings.slots);
        let memory = self.memory.lock();
        let mut state = self.state.lock();
        let load = Load {
            boot: state.boot_id.clone(),
            ready: true,
            running,
            waiting: in_flight - running,
            models: memory.models.iter().map(|m| m.resident.clone()).collect(),
            adapters: memory.adapters.keys().cloned().collect(),
            used_mib: memory.used_mib(),
            memory_mib: memory.capacity_mib,
            last_order: memory.last_order.clone(),
            fence: memory.fence,
            cache_sequence: self.cache.sequence(),
        };
        state.reports.push_back((Instant::now(), load));
        while state.reports.len() > 2 && state.reports[1].0.elapsed() >= self.settings.report_delay
        {
            state.reports.pop_front();
        }
    }

    fn make_cold(&self) {
        self.cache.clear();
        let mut state = self.state.lock();
        state.boot_id = uuid::Uuid::new_v4().to_string();
        state.warm_time = Duration::ZERO;
        state.first_cold_rejection = None;
        state.reports.clear();
        drop(state);
        self.sample();
    }

    /// Returns true if the engine has capacity for one more request.
    ///
    /// Overload of a cold engine past the grace period is recorded and restarts the warm-up.
    fn admit(&self) -> bool {
        let in_flight = self.batch.len();
        let slots = self.settings.slots;
        let mut state = self.state.lock();
        if state.warm_time >= self.settings.ramp {
            return in_flight < slots as usize * (1 + QUEUED_PER_SLOT);
        }
        let warmed =
            state.warm_time.as_millis() as u64 * u64::from(slots - self.settings.cold_slots);
        let warmed_slots = warmed / self.settings.ramp.as_millis() as u64;
        if (in_flight as u64) < u64::from(self.settings.cold_slots) + warmed_slots {
            return true;
        }
        let first_rejection = *state.first_cold_rejection.get_or_insert_with(Instant::now);
        if first_rejection.elapsed() > COLD_GRACE {
            self.recorder.cold_overloads.fetch_add(1, Relaxed);
            state.warm_time = Duration::ZERO;
        }
        false
    }

    async fn complete(self: &Arc<Self>, request: Request<Bytes>) -> Response<Body> {
        let Ok(completion) = serde_json::from_slice::<Completion>(request.body()) else {
            return error_response(StatusCode::BAD_REQUEST, "invalid_body");
        };
        let prompt = completion.prompt_text();
        let tag: Arc<str> = recorder::find_tag(&prompt).unwrap_or_default().into();
        self.recorder.inspect_request(&request, &tag);
        let Some(base_model) = self.memory.lock().ready_base_model(&completion.model) else {
            return error_response(StatusCode::NOT_FOUND, "model_not_found");
        };
        if !self.admit() {
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
        }
        self.recorder
            .record_run(&self.settings.name, &self.settings.zone, &tag);
        let (sequence, receiver) =
            self.new_sequence(&request, &completion, prompt, base_model, &tag);
        let (next_token, token_count) = (sequence.next_token, sequence.token_count);
        self.recorder
            .record_tokens(&tag, prompt_tokens(&sequence.prompt));
        self.batch.push(sequence);
        let chat = request.uri().path().contains("chat");
        if completion.stream {
            return stream_response(receiver, token_count - next_token, chat);
        }
        full_response(receiver, token_count - next_token, chat).await
    }

    fn new_sequence(
        &self,
        request: &Request<Bytes>,
        completion: &Completion,
        prompt: String,
        base_model: Arc<str>,
        tag: &Arc<str>,
    ) -> (Sequence, mpsc::UnboundedReceiver<String>) {
        let max_tokens = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        let body: Value = serde_json::from_slice(request.body()).unwrap_or_default();
        let token_count = answer::token_count(&completion.model, &prompt, max_tokens, &body);
        let resume_at = body[RESUME_FIELD].as_u64().unwrap_or(0).min(token_count);
        let cached = self.cache.insert_prompt(&completion.model, &prompt);
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
            base_model,
            model: completion.model.clone(),
            tag: tag.clone(),
            next_token: resume_at,
            token_count,
            prefilled_at: Instant::now() + self.batch.prefill(uncached),
            break_at: chance(self.faults.lock().broken_streams_per_mille)
                .then_some((resume_at + token_count) / 2),
            prompt,
            sender,
        };
        (sequence, receiver)
    }

    async fn handle_order(self: &Arc<Self>, body: &Bytes) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return error_response(StatusCode::BAD_REQUEST, "invalid_order");
        };
        let faults = *self.faults.lock();
        if chance(faults.lost_orders_per_mille) {
            return std::future::pending().await;
        }
        if chance(faults.late_orders_per_mille) {
            let (inner, order) = (self.clone(), order.clone());
            tokio::spawn(async move {
                tokio::time::sleep(LATE_ORDER_DELAY).await;
                inner.execute_order(&order).await;
            });
            return std::future::pending().await;
        }
        let outcome = self.execute_order(&order).await;
        if chance(faults.lost_responses_per_mille) {
            return std::future::pending().await;
        }
        server::json(StatusCode::OK, &outcome)
    }

    async fn execute_order(
        self: &Arc<Self>,
        order: &Order,
    ) -> persimmoncroft::protocol::engine::Outcome {
        let fenced = self.settings.fenced;
        let (outcome, pending) = self.memory.lock().execute(order, fenced, &self.recorder);
        match pending {
            Pending::Nothing => {}
            Pending::Adapter => self.adapter_loader.load().await,
            Pending::Unloaded(model) => self.batch.cancel(Some(&model)),
            Pending::Weights(model, version) => {
                let (inner, id) = (self.clone(), order.id.clone());
                let boot_id = self.state.lock().boot_id.clone();
                tokio::spawn(async move {
                    inner.model_loader.load().await;
                    if inner.state.lock().boot_id == boot_id {
                        inner.memory.lock().mark_ready(&model, version, &id);
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

fn error_response(status: StatusCode, code: &str) -> Response<Body> {
    let detail = json!({"message": code, "type": "server_error", "code": code});
    server::json(status, &json!({"error": detail}))
}

fn choice(chat: bool, token: &str) -> Value {
    match chat {
        true => json!({"index": 0, "delta": {"content": token}}),
        false => json!({"index": 0, "text": token}),
    }
}

fn stream_response(
    receiver: mpsc::UnboundedReceiver<String>,
    count: u64,
    chat: bool,
) -> Response<Body> {
    let tokens = futures::stream::unfold(
        (receiver, count),
        move |(mut receiver, remaining)| async move {
            let token = receiver.recv().await;
            let (chunk, remaining) = match token {
                Some(token) => {
                    let event = json!({"choices": [choice(chat, &token)]});
                    (Ok(format!("data: {event}\n\n").into()), remaining - 1)
                }
                None if remaining == 0 => return None,
                None => (Err(io::ErrorKind::ConnectionReset.into()), 0),
            };
            Some((chunk, (receiver, remaining)))
        },
    );

    let done = futures::stream::iter([Ok(Bytes::from_static(b"data: [DONE]\n\n"))]);
    server::events(tokens.chain(done))
}

async fn full_response(
    mut receiver: mpsc::UnboundedReceiver<String>,
    count: u64,
    chat: bool,
) -> Response<Body> {
    let mut tokens = Vec::new();
    while let Some(token) = receiver.recv().await {
        tokens.push(token);
    }
    if (tokens.len() as u64) < count {
        return error_response(StatusCode::INTERNAL_SERVER_ERROR, "engine_failed");
    }
    let text = tokens.concat();
    let choice = match chat {
        true => {
            json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "stop"})
        }
        false => json!({"index": 0, "text": text, "finish_reason": "stop"}),
    };
    let usage = json!({"completion_tokens": count});
    server::json(
        StatusCode::OK,
        &json!({"choices": [choice], "usage": usage}),
    )
}
