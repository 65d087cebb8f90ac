//! Forwards event streams by whole events, and resumes them at another endpoint where the route allows it.

use std::time::Duration;

use bytes::Bytes;
use futures::future::pending;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use tokio::time::{sleep, timeout};

use super::body::{self, Source};
use super::choose::{self, Choice, Unavailable};
use super::events::{Events, Gap};
use super::meter::Move;
use super::quarantine::{CRASH_WINDOW, SURVIVAL_TIME};
use super::relay::{Body, empty_body, forwarded_parts};
use super::send::{Context, Exchange, Outcome, Pending, Phase};
use super::{journal, lineage, pace, quarantine};
use crate::coordination::speed::Sample;
use crate::state::record::Name;
use crate::transport::exchange;

/// Content type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Silence after which a stream is resumed elsewhere, as a multiple of the route's gap objective.
const SILENCE_GAPS: u32 = 6;

/// Minimum silence after which a stream is resumed elsewhere.
const MIN_SILENCE: Duration = Duration::from_millis(900);

/// Maximum number of sends to other endpoints to resume a stream once.
const MAX_RESUMES: usize = 3;

/// Interval at which an endpoint to resume at is looked for.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Minimum time that another endpoint has to take over a stream.
const MIN_MOVE_TIME: Duration = Duration::from_millis(200);

/// Minimum gap in a stream after which callers give up.
const MIN_CALLER_PATIENCE: Duration = Duration::from_secs(2);

/// Gap after which callers give up, as a multiple of the route's objective for the first event.
const CALLER_OBJECTIVES: u32 = 4;

/// Gap after which callers give up, as a multiple of the route's gap objective.
const CALLER_GAPS: u32 = 8;

struct Forwarder {
    ctx: Context,
    exchange: Option<Box<Exchange>>,
    /// Response that the caller gets; its headers have been sent once the first event has.
    format: Format,
    events: Events,
    first_event_after: Option<Duration>,
    last_event_at: Duration,
    /// Time at which the reader of the stream was ready for the next event.
    asked_at: Duration,
    longest_pause: Duration,
    /// Time from which the current endpoint's silence is counted.
    silent_since: Duration,
    /// Attempt to move the stream to another endpoint.
    moving: Option<Moving>,
    /// Whether the request has outlived the start of a response.
    has_survived: bool,
}

/// A stream that was sent to another endpoint, because its own is silent.
struct Moving {
    pending: Pending,
    /// Endpoint that was asked.
    other: Name,
    /// Time at which the attempt is given up.
    until: Duration,
}

/// What comes first of a stream whose endpoint is silent.
enum First {
    Frame(Option<Result<Frame<Bytes>, hyper::Error>>),
    Response(Result<Response<Incoming>, exchange::Error>),
}

/// Waits for the response of the endpoint that a stream may move to; never ends if there is none.
async fn other_response(
    moving: &mut Option<Moving>,
) -> Result<Response<Incoming>, exchange::Error> {
    match moving {
        Some(moving) => moving.pending.response().await,
        None => pending().await,
    }
}

/// Waits for the first event of an endpoint's stream and returns a response that forwards the stream.
///
/// # Errors
/// The request and the reason, if the stream broke before its first event and no endpoint resumed it.
pub async fn answer(
    ctx: Context,
    exchange: Exchange,
) -> Result<Response<Body>, (Context, &'static str)> {
    log_resumed(&ctx, &exchange);
    let parts = forwarded_parts(exchange.parts.clone());
    let mut forwarder = Forwarder {
        format: Format::of(&exchange.parts),
        events: Events::after(ctx.call.last_event).within(&ctx.node.memory),
        silent_since: ctx.node.now(),
        ctx,
        exchange: Some(Box::new(exchange)),
        first_event_after: None,
        last_event_at: Duration::ZERO,
        asked_at: Duration::ZERO,
        longest_pause: Duration::ZERO,
        moving: None,
        has_survived: false,
    };
    let first = match forwarder.next().await {
        Ok(first) => first,
        Err(reason) => return Err((forwarder.ctx, reason)),
    };
    let ctx = &mut forwarder.ctx;
    let status = parts.status.as_u16();
    ctx.node.meter.count_outcome("answered", status);
    let Some(first) = first else {
        ctx.phase = Phase::Settled;
        return Ok(Response::from_parts(parts, empty_body()));
    };
    let body = body::of_events(first, forwarder);
    Ok(Response::from_parts(parts, body))
}

/// Logs where a stream goes on that its caller takes up again.
fn log_resumed(ctx: &Context, exchange: &Exchange) {
    let Some(last_event) = ctx.call.last_event else {
        return;
    };
    ctx.node.journal.line(|| {
        spdlog::info!("stream: taken up", kv: {
            request: = ctx.call.id,
            resumes: = ctx.call.resumes.as_deref().unwrap_or("-"),
            last_event,
            endpoint: = exchange.endpoint.entry.id,
            version: = exchange.endpoint.entry.version,
        });
    });
}

/// Whether an endpoint could take a stream over at once.
fn has_room(ctx: &Context) -> bool {
    let version = ctx.version.as_ref();
    choose::has_room(&ctx.node, &ctx.admission, &ctx.call, &ctx.tried, version)
}

/// What the head of a response says of its body.
#[derive(Debug)]
struct Format {
    status: StatusCode,
    content_type: Option<HeaderValue>,
    is_encoded: bool,
}

impl Format {
    fn of(parts: &http::response::Parts) -> Self {
        Self {
            status: parts.status,
            content_type: parts.headers.get(header::CONTENT_TYPE).cloned(),
            is_encoded: parts.headers.contains_key(header::CONTENT_ENCODING),
        }
    }

    /// Whether another response may go on with this one's body.
    fn admits(&self, other: &Self) -> bool {
        let is_same_type = other.content_type == self.content_type
            || other.content_type.as_ref().is_none_or(is_event_stream);
        other.status == self.status && is_same_type && !other.is_encoded
    }
}

fn is_event_stream(content_type: &HeaderValue) -> bool {
    let essence = content_type.to_str().unwrap_or_default().split(';').next();
    essence.is_some_and(|essence| essence.trim().eq_ignore_ascii_case(EVENT_STREAM))
}

/// Result of waiting for the next part of a stream.
enum Received {
    Events(Bytes),
    Incomplete,
    End,
    TimedOut,
    Failed(&'static str),
}

impl Source for Forwarder {
    fn context(&mut self) -> &mut Context {
        &mut self.ctx
    }

    async fn next(&mut self) -> Result<Option<Bytes>, &'static str> {
        self.asked_at = self.ctx.node.now();
        loop {
            match self.receive().await {
                Received::Events(bytes) => {
                    self.record_event();
                    if self.since_head() >= SURVIVAL_TIME {
                        self.record_survival();
                    }
                    return Ok(Some(bytes));
                }
                Received::Incomplete => {}
                Received::End => {
                    if self.longest_pause <= self.ctx.admission.route.gap {
                        self.record_lateness(false);
                    }
                    if self.since_head() >= SURVIVAL_TIME || self.is_framed() {
                        self.record_survival();
                    }
                    self.record_speed(true);
                    if let Some(exchange) = self.exchange.take() {
                        self.log_late(&exchange);
                        exchange.release(&self.ctx.node);
                    }
                    return Ok(None);
                }
                Received::TimedOut => self.try_move().await,
                Received::Failed(reason) => {
                    if matches!(reason, "stream_broken" | "stream_cut") {
                        self.record_crash().await;
                    }
                    if !self.resume(reason).await {
                        return Err(reason);
                    }
                }
            }
        }
    }
}

impl Forwarder {
    async fn receive(&mut self) -> Received {
        let left = self.ctx.remaining();
        if left.is_zero() {
            return Received::Failed("stream_out_of_time");
        }
        let wait = match &self.moving {
            Some(moving) => left.min(moving.until.saturating_sub(self.ctx.node.now())),
            None if self.ctx.can_retry() => left.min(self.silence_timeout()),
            None => left,
        };
        let Some(exchange) = self.exchange.as_mut() else {
            return Received::Failed("stream_lost");
        };
        let first = async {
            tokio::select! {
                biased;
                response = other_response(&mut self.moving) => First::Response(response),
                frame = exchange.body.frame() => First::Frame(frame),
            }
        };
        let frame = match timeout(wait, first).await {
            Err(_) if self.ctx.remaining().is_zero() => {
                return Received::Failed("stream_out_of_time");
            }
            Err(_) if self.moving.is_some() => {
                self.end_move("silent");
                return Received::Incomplete;
            }
            Err(_) => return Received::TimedOut,
            Ok(First::Response(response)) => {
                self.finish_move(response).await;
                return Received::Incomplete;
            }
            Ok(First::Frame(frame)) => frame,
        };
        let frame = match frame {
            None if self.is_cut() => return Received::Failed("stream_cut"),
            Some(Err(_)) => return Received::Failed("stream_broken"),
            frame => frame,
        };
        let Some(Ok(frame)) = frame else {
            self.end_move("stayed");
            return Received::End;
        };
        let Ok(data) = frame.into_data() else {
            return Received::Incomplete;
        };
        match self.events.push(&data) {
            // Bytes that complete no event don't end the silence.
            Ok(whole) if whole.is_empty() => Received::Incomplete,
            Ok(whole) => {
                self.end_move("stayed");
                self.silent_since = self.ctx.node.now();
                Received::Events(whole)
            }
            Err(Gap) => {
                self.end_move("stayed");
                Received::Failed("stream_gap")
            }
        }
    }

    /// Whether a stream that ends now was broken off: within an event, or before the first one of its endpoint. A caller's
    /// stream that resumes after its last event has none.
    fn is_cut(&self) -> bool {
        let is_unbegun = self.first_event_after.is_none();
        let may_be_empty = is_unbegun && self.ctx.call.last_event.is_some() && self.is_framed();
        let is_empty = is_unbegun || self.events.is_joining();
        self.events.is_partial() || (is_empty && !may_be_empty)
    }

    fn is_framed(&self) -> bool {
        self.exchange.as_ref().is_some_and(|it| it.is_framed())
    }

    /// Time since the head of the current endpoint's response.
    fn since_head(&self) -> Duration {
        let now = self.ctx.node.now();
        let answered_at = self.exchange.as_ref().map_or(now, |it| it.answered_at);
        now.saturating_sub(answered_at)
    }

    /// Records that the request does not crash endpoints, once, and again while its parts are held.
    fn record_survival(&mut self) {
        let ctx = &self.ctx;
        let is_first = !std::mem::replace(&mut self.has_survived, true);
        if is_first || ctx.held().is_some() {
            quarantine::survived(&ctx.node, &ctx.call, ctx.admission.caller());
        }
    }

    /// Records that the endpoint ended just after the request had begun there. Until its first event a request that is
    /// to crash the endpoint may take any time.
    async fn record_crash(&mut self) {
        let Some(exchange) = &self.exchange else {
            return;
        };
        let has_event = self.last_event_at >= exchange.answered_at;
        if !self.has_survived && (!has_event || self.since_head() < CRASH_WINDOW) {
            let endpoint = exchange.endpoint.clone();
            self.ctx.lost(&endpoint, has_event).await;
        }
    }

    /// Time left before a silent endpoint is replaced.
    fn silence_timeout(&self) -> Duration {
        let longest = (self.ctx.admission.route.gap * SILENCE_GAPS).max(MIN_SILENCE);
        let silent = self.ctx.node.now().saturating_sub(self.silent_since);
        longest.saturating_sub(silent).max(RETRY_INTERVAL)
    }

    /// Time since the last event, or since the request arrived.
    fn since_last_event(&self) -> Duration {
        let since = match self.first_event_after {
            Some(_) => self.last_event_at,
            None => self.ctx.admission.arrived,
        };
        self.ctx.node.now().saturating_sub(since)
    }

    fn record_event(&mut self) {
        self.record_speed(false);
        let node = &self.ctx.node;
        let now = node.now();
        if self.first_event_after.is_some() {
            let pause = now.saturating_sub(self.last_event_at);
            let gap = self.ctx.admission.route.gap;
            if pause > gap && self.longest_pause <= gap {
                self.record_lateness(true);
            }
            self.longest_pause = self.longest_pause.max(pause);
        } else {
            let elapsed = now.saturating_sub(self.ctx.admission.arrived);
            self.first_event_after = Some(elapsed);
            if self.ctx.call.last_event.is_none() {
                node.usage.begun(node, &self.ctx.admission);
            }
            self.ctx.log_answered(StatusCode::OK, elapsed);
            node.meter.first_byte.observe(elapsed.as_secs_f64());
        }
        self.last_event_at = now;
        node.links.answered(now);
        if self.ctx.version.is_none()
            && let Some(exchange) = &self.exchange
        {
            let version = exchange.endpoint.entry.version.clone();
            lineage::begun(&self.ctx, &version);
            self.ctx.version = Some(version);
        }
    }

    /// Records what an event, or the end of the stream, shows of the endpoint's speed.
    fn record_speed(&mut self, is_end: bool) {
        let now = self.ctx.node.now();
        let Some(generation) = &self.ctx.call.generation else {
            return;
        };
        let Some(exchange) = &mut self.exchange else {
            return;
        };
        let Some(progress) = &mut exchange.progress else {
            return;
        };
        let sample = match is_end {
            true => Some(progress.end(now)),
            false => progress.event(self.asked_at, now),
        };
        if let Some(sample) = sample {
            let mut state = exchange.endpoint.tracker.lock();
            state.speeds.record(&generation.model, sample, now);
            drop(state);
            if let (Sample::First { elapsed, .. }, Some(expected)) = (sample, &exchange.expected) {
                let sent_at = progress.sent_at();
                pace::answered(
                    &self.ctx.node,
                    &exchange.endpoint,
                    sent_at,
                    elapsed,
                    expected,
                );
            }
        }
    }

    /// Records whether the endpoint's events are late.
    fn record_lateness(&self, late: bool) {
        if let Some(exchange) = &self.exchange {
            let now = self.ctx.node.now();
            exchange.endpoint.tracker.lock().health.streamed(late, now);
        }
    }

    /// Logs a complete stream if it was not on time.
    fn log_late(&self, exchange: &Exchange) {
        let route = &self.ctx.admission.route;
        let first_event_after = self.first_event_after.unwrap_or_default();
        if first_event_after <= route.objective && self.longest_pause <= route.gap {
            return;
        }
        let node = &self.ctx.node;
        node.meter.late.inc();
        node.journal.line(|| {
            let generation = self.ctx.call.generation.as_ref();
            spdlog::info!("stream: late", kv: {
                request: = self.ctx.call.id,
                route: = route.name,
                model: = generation.map_or("-", |generation| &generation.model),
                endpoint: = exchange.endpoint.entry.id,
                first_ms = first_event_after.as_millis() as u64,
                pause_ms = self.longest_pause.as_millis() as u64,
                flights = exchange.endpoint.tracker.total_in_flight(),
                runs = self.ctx.runs,
            });
        });
    }

    /// Asks another endpoint with room to take over the stream of a silent one. The silent one may only be busy with
    /// other requests, so both are listened to until one of them sends something.
    async fn try_move(&mut self) {
        let patience = self.caller_patience();
        let may_move = patience >= MIN_MOVE_TIME && self.has_position();
        let ctx = &mut self.ctx;
        if !may_move || !ctx.can_retry() || !has_room(ctx) {
            return;
        }
        let Ok(choice) = ctx.choose().await else {
            return;
        };
        let until = ctx.node.now() + patience;
        let other = choice.endpoint.entry.id.clone();
        match ctx.open(&choice, self.events.last()).await {
            Some(pending) => {
                self.moving = Some(Moving {
                    pending,
                    other,
                    until,
                });
            }
            None => self.note_move("unsent", &other),
        }
    }

    /// Moves the stream if the other endpoint's response is a success.
    async fn finish_move(&mut self, response: Result<Response<Incoming>, exchange::Error>) {
        let Some(Moving { pending, other, .. }) = self.moving.take() else {
            return;
        };
        let outcome = self.ctx.settle(pending, response).await;
        self.ctx.phase = Phase::Reading;
        let Outcome::Answered(exchange) = outcome else {
            self.note_move(outcome.reason(), &other);
            return;
        };
        if !self.may_join(&exchange) {
            self.note_move("failed", &other);
            return;
        }
        let node = self.ctx.node.clone();
        self.note_move("moved", &other);
        node.meter.resumes.inc();
        self.events.discard_partial();
        // The silent endpoint's connection is dropped here, which stops its work.
        if let Some(silent) = self.exchange.replace(exchange) {
            silent.endpoint.tracker.lock().health.failed(node.now());
        }
    }

    /// Whether another endpoint can be told where to go on; not after events without identifiers.
    fn has_position(&self) -> bool {
        self.first_event_after.is_none() || self.events.last().is_some()
    }

    /// Whether the stream can go on with a response, which must have the format that the caller was told: the body of
    /// anything else, such as a failure, would end up between the events.
    fn may_join(&self, exchange: &Exchange) -> bool {
        let parts = &exchange.parts;
        let is_sound = self.format.admits(&Format::of(parts));
        if !is_sound {
            let node = &self.ctx.node;
            exchange.endpoint.tracker.lock().health.failed(node.now());
            node.journal.line(|| {
                spdlog::info!("stream: not continued", kv: {
                    request: = self.ctx.call.id,
                    endpoint: = exchange.endpoint.entry.id,
                    status = parts.status.as_u16(),
                    content_type:? = parts.headers.get(header::CONTENT_TYPE),
                    encoded = parts.headers.contains_key(header::CONTENT_ENCODING),
                });
            });
        }
        is_sound
    }

    /// Gives up an attempt to move the stream, if there is one.
    fn end_move(&mut self, outcome: &'static str) {
        if let Some(Moving { pending, other, .. }) = self.moving.take() {
            drop(pending);
            self.ctx.phase = Phase::Reading;
            self.note_move(outcome, &other);
        }
    }

    /// Logs and counts an attempt to move the stream, and starts to count the endpoint's silence anew.
    fn note_move(&mut self, outcome: &'static str, other: &Name) {
        let node = self.ctx.node.clone();
        let now = node.now();
        let silence = now.saturating_sub(self.silent_since);
        self.silent_since = now;
        node.meter.moves.get_or_create(&Move { outcome }).inc();
        node.journal.line(|| {
            let silent = self
                .exchange
                .as_ref()
                .map(|silent| &*silent.endpoint.entry.id);
            spdlog::info!("stream: silent", kv: {
                request: = self.ctx.call.id,
                endpoint: = silent.unwrap_or("-"),
                other: = other,
                outcome = outcome,
                last_event = self.events.last().map_or(-1, |last| last as i64),
                silent_ms = silence.as_millis() as u64,
                runs = self.ctx.runs,
            });
        });
    }

    /// Resumes a broken stream at another endpoint after the last whole event.
    async fn resume(&mut self, reason: &'static str) -> bool {
        let Some(exchange) = self.exchange.take() else {
            return false;
        };
        let node = self.ctx.node.clone();
        let broken = exchange.endpoint.entry.id.clone();
        exchange.endpoint.tracker.lock().health.failed(node.now());
        let since_head = node.now().saturating_sub(exchange.answered_at);
        // Dropping the connection stops the endpoint before another one resumes.
        drop(exchange);
        self.events.discard_partial();
        let last = self.events.last();
        let silent = node.now().saturating_sub(self.silent_since);
        let silent_moves = self.moving.take().map(|moving| moving.pending);
        let outcome = match self.has_position() {
            true => {
                self.reconnect(last, silent_moves.into_iter().collect())
                    .await
            }
            false => Err("no_identifier"),
        };
        let resumed = outcome.is_ok();
        node.journal.line(|| {
            spdlog::info!("stream: broken", kv: {
                request: = self.ctx.call.id,
                reason = reason,
                endpoint: = broken,
                last_event = last.map_or(-1, |last| last as i64),
                resumed = resumed,
                because = outcome.err().unwrap_or("-"),
                silent_ms = silent.as_millis() as u64,
                since_head_ms = since_head.as_millis() as u64,
                content: = journal::hex(&[self.ctx.content()]),
                parts: = journal::hex(&self.ctx.call.shared_parts()),
                runs = self.ctx.runs,
            });
        });
        resumed
    }

    /// Resumes at another endpoint after the event `last`. All endpoints that were asked, also those in `pending`, are
    /// listened to until one has begun to respond.
    async fn reconnect(
        &mut self,
        last: Option<u64>,
        mut pending: Vec<Pending>,
    ) -> Result<(), &'static str> {
        let deadline = self.ctx.node.now() + self.caller_patience();
        let mut attempts = 0;
        loop {
            if self.ctx.is_out_of_time() {
                return Err("out_of_time");
            }
            if self.ctx.all_late(&mut pending) {
                match self.next_endpoint(attempts).await {
                    Ok(choice) => {
                        attempts += 1;
                        pending.extend(self.ctx.open(&choice, last).await);
                    }
                    Err(_) if !pending.is_empty() => {}
                    Err(cause) if cause.is_lasting() => return Err(cause.reason()),
                    Err(cause) if self.ctx.node.now() + RETRY_INTERVAL > deadline => {
                        return Err(cause.reason());
                    }
                    Err(_) => sleep(RETRY_INTERVAL).await,
                }
            }
            if pending.is_empty() {
                continue;
            }
            let max_wait = self.ctx.max_wait(&pending, RETRY_INTERVAL);
            let outcome = self.ctx.receive_any(&mut pending, max_wait).await;
            if let Some(Outcome::Answered(exchange)) = outcome
                && self.may_join(&exchange)
            {
                let node = &self.ctx.node;
                node.meter.resumes.inc();
                self.silent_since = node.now();
                self.exchange = Some(exchange);
                return Ok(());
            }
        }
    }

    /// Chooses the endpoint at which a broken stream is to resume and takes the retry that this needs.
    async fn next_endpoint(&mut self, attempts: usize) -> Result<Choice, Unavailable> {
        if attempts >= MAX_RESUMES || !self.ctx.can_retry() {
            return Err(Unavailable::Attempts);
        }
        let mut choice = self.ctx.choose().await;
        if let Err(cause) = choice
            && self.ctx.forget_rejections(cause)
        {
            choice = self.ctx.choose().await;
        }
        if let Err(Unavailable::Adapter) = choice {
            let version = self.ctx.version.as_ref();
            self.ctx.node.demand.want(&self.ctx.call, version);
        }
        choice
    }

    /// Time for which the caller is expected to wait for the next event.
    fn caller_patience(&self) -> Duration {
        let route = &self.ctx.admission.route;
        let patience = (route.objective * CALLER_OBJECTIVES).max(route.gap * CALLER_GAPS);
        patience
            .max(MIN_CALLER_PATIENCE)
            .saturating_sub(self.since_last_event())
    }
}
