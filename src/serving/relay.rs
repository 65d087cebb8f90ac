//! Sends a request to endpoints until one answers, and returns that response or an error response to the caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use tokio::time::timeout;

use super::admit::{Admission, Refusal};
use super::choose::{self, Choice, Unavailable};
use super::forward::{self, Sent, Way};
use super::meter::RouteLabel;
use super::room::turn::Denial;
use super::send::{Context, Exchange, FULL_PAUSE, Outcome, Pending, Phase};
use super::wait::Waiting;
use super::{Node, jitter, journal, lineage, quarantine, room, stream, wait};
use crate::coordination::scale::Refused;
use crate::protocol::connection;
use crate::protocol::hop;
use crate::state::call::Call;
use crate::transport::body::read_whole;

/// Body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Number of endpoints that may reject a request before the caller gets an error.
const MAX_REJECTIONS: usize = 3;

/// Maximum wait for an adapter that is being loaded.
const MAX_ADAPTER_WAIT: Duration = Duration::from_millis(200);

/// Maximum wait for endpoints that are paused, or cold and at their request limit.
const MAX_PAUSE_WAIT: Duration = Duration::from_millis(250);

/// Maximum time from its arrival for which a request that takes a stream up waits for an endpoint; its caller gives up after
/// a gap of 2 s, and has mostly no further attempt.
const MAX_RESUME_WAIT: Duration = Duration::from_millis(1500);

/// Part of a route's objective for which a request waits for room at an endpoint, if it is expected to get it in that time.
const ROOM_WAIT_DIVISOR: u32 = 2;

/// Shortest `Retry-After` of a request that found no permit.
const MIN_PERMIT_DELAY: Duration = Duration::from_millis(40);

/// `Retry-After` of a request that nothing reaches, as links are lost; they are probed at this interval.
const NO_LINKS_PAUSE: Duration = Duration::from_millis(400);

/// Interval at which a waiting request looks for an endpoint again.
const RETRY_INTERVAL: Duration = Duration::from_millis(15);

/// The same of a request that takes a stream up.
const RESUME_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a request whose endpoints are silent looks for another one.
const SILENT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Answers an admitted request, at the latest when this daemon ends its requests.
pub async fn answer(node: &Arc<Node>, call: Call, admission: Admission) -> Response<Body> {
    let id = call.id.clone();
    tokio::select! {
        biased;
        response = respond(node, call, admission) => response,
        () = node.ending.cancelled() => end(node, &id),
    }
}

/// Response to a request that this daemon has no more time for, and that may be at an endpoint.
fn end(node: &Node, request: &str) -> Response<Body> {
    let refusal = Refusal::invalid(StatusCode::BAD_GATEWAY, "ended_on_shutdown");
    let status = refusal.status.as_u16();
    node.meter.count_outcome(refusal.reason, status);
    node.journal
        .line(|| spdlog::info!("relay: ended on shutdown", kv: { request: = request, status }));
    let mut response = refusal_response(&refusal);
    response.extensions_mut().insert(hop::Outcome::Lost);
    response
}

async fn respond(node: &Arc<Node>, call: Call, admission: Admission) -> Response<Body> {
    if admission.hop.is_none() {
        node.deposit_retry(&admission.service.name);
    }
    let mut ctx = Context {
        node: node.clone(),
        call,
        admission,
        tried: Vec::new(),
        rejected: Vec::new(),
        asked_peers: Vec::new(),
        runs: 0,
        delivered: 0,
        answered_by: None,
        version: None,
        token: node.requests.token(),
        phase: Phase::Choosing,
        is_probe: false,
        denial: Denial::default(),
    };
    match ctx.held() {
        None if ctx.admission.hop.is_some() => {}
        None => node.demand.record(&ctx.call),
        Some(_) => {
            ctx.is_probe = quarantine::may_probe(node, &ctx.call, ctx.admission.caller());
        }
    }
    let wait_started = node.now();
    let mut failure: Option<Response<Body>> = None;
    // All endpoints that were asked are listened to until one has answered.
    let mut pending: Vec<Pending> = Vec::new();
    loop {
        if ctx.is_out_of_time() {
            let refusal = Refusal::busy("out_of_time", RETRY_INTERVAL);
            return fail(&mut ctx, failure, refusal);
        }
        if ctx.all_late(&mut pending) {
            match next_target(&mut ctx, wait_started).await {
                Ok(Target::Peer(peer)) => {
                    // Nothing comes any more from endpoints that were asked.
                    pending.clear();
                    match forward::send(&mut ctx, &peer).await {
                        Sent::Answered(exchange) => match forward::answer(ctx, *exchange).await {
                            Ok(response) => return response,
                            Err(broken) => ctx = *broken,
                        },
                        Sent::Refused(refusal) => return fail(&mut ctx, failure, refusal),
                        Sent::Untaken | Sent::Behind | Sent::Unsent | Sent::Broken => {}
                    }
                    continue;
                }
                Ok(Target::Endpoint(choice)) => {
                    let resume_after = ctx.call.last_event;
                    pending.extend(ctx.open(&choice, resume_after).await);
                }
                Err(refusal) if pending.is_empty() || failure.is_some() => {
                    return fail(&mut ctx, failure, refusal);
                }
                Err(_) => {}
            }
        }
        if pending.is_empty() {
            continue;
        }
        let max_wait = ctx.max_wait(&pending, SILENT_RETRY_INTERVAL);
        let Some(Outcome::Answered(exchange)) = ctx.receive_any(&mut pending, max_wait).await
        else {
            continue;
        };
        let status = exchange.parts.status;
        if ctx.admission.route.kind.is_streaming() && status.is_success() {
            // The others must not go on beside the endpoint that has begun.
            pending.clear();
            return forward_stream(ctx, *exchange, failure).await;
        }
        let retry = status.is_server_error() && ctx.can_retry();
        match read_response(node, &ctx, *exchange).await {
            Some(response) if retry => failure = Some(response),
            Some(response) => return complete(&mut ctx, response),
            None => {}
        }
    }
}

/// Forwards a stream; if it broke before its first event, returns the endpoint's `failure` or an error.
async fn forward_stream(
    ctx: Context,
    exchange: Exchange,
    failure: Option<Response<Body>>,
) -> Response<Body> {
    match stream::answer(ctx, exchange).await {
        Ok(response) => response,
        Err((mut ctx, reason)) => {
            let Refusal { status, .. } = response_lost(ctx.is_out_of_time());
            fail(&mut ctx, failure, Refusal::invalid(status, reason))
        }
    }
}

/// Where a request is sent.
enum Target {
    Endpoint(Choice),
    Peer(forward::Peer),
}

/// Chooses where a request is sent next; for an endpoint, takes the retry that this needs.
async fn next_target(ctx: &mut Context, wait_started: Duration) -> Result<Target, Refusal> {
    let node = ctx.node.clone();
    loop {
        match forward::way(ctx) {
            Way::Endpoint => break,
            Way::Peer(peer) => return Ok(Target::Peer(peer)),
            Way::Nowhere => {}
        }
        let may_wait = ctx.takes_up_stream() && (ctx.runs == 0 || ctx.can_retry());
        if !may_wait || !wait_for_endpoint(ctx, Unavailable::Paused, wait_started).await {
            return Err(match ctx.runs {
                0 => Refusal::busy("no_links", NO_LINKS_PAUSE),
                _ => response_lost(false),
            });
        }
    }
    if ctx.takes_up_stream() && ctx.version.is_none() {
        ctx.version = lineage::origin(ctx).await;
    }
    if ctx.runs > 0 && !ctx.can_retry() {
        return Err(response_lost(false));
    }
    let rejections = (ctx.delivered - ctx.runs) as usize;
    if rejections >= MAX_REJECTIONS {
        return Err(Refusal::busy("turned_away", FULL_PAUSE * 3));
    }
    let mut waiting: Option<Waiting> = None;
    loop {
        let cause = match ctx.choose().await {
            Ok(choice) => return Ok(Target::Endpoint(choice)),
            Err(cause) if ctx.forget_rejections(cause) => continue,
            Err(cause) => cause,
        };
        if matches!(cause, Unavailable::Paused | Unavailable::Endpoint)
            && let Some(peer) = forward::peer_in_reach(ctx)
        {
            return Ok(Target::Peer(peer));
        }
        let mut may_wait = ctx.delivered == 0 || (ctx.takes_up_stream() && ctx.runs == 0);
        if cause == Unavailable::Room && is_contended(ctx) {
            // The request has waited for a permit as long as it may, or could not be expected to get one.
            may_wait = false;
        } else if cause == Unavailable::Room && waiting.is_none() {
            waiting = wait_for_room(ctx);
            may_wait &= waiting.is_some() || ctx.takes_up_stream();
        }
        if !may_wait || !wait_for_endpoint(ctx, cause, wait_started).await {
            count_refusal(ctx, cause);
            return Err(Refusal::busy(
                cause.reason(),
                retry_delay(&node, ctx, cause),
            ));
        }
    }
}

/// Counts a refusal that more replicas would have prevented, for a service whose replicas are ordered.
fn count_refusal(ctx: &Context, cause: Unavailable) {
    let service = &ctx.admission.service;
    let refused = match cause {
        Unavailable::Full
        | Unavailable::Room
        | Unavailable::Limited
        | Unavailable::Paused
        | Unavailable::Cold => Refused { full: 1, model: 0 },
        Unavailable::Model | Unavailable::Adapter => Refused { full: 0, model: 1 },
        _ => return,
    };
    if service.scale.is_some() {
        ctx.node.demand.refuse(&service.name, refused);
    }
}

fn is_contended(ctx: &Context) -> bool {
    room::is_contended(&ctx.node, &ctx.admission.service.name)
}

/// Lets a request wait for room if it is expected to get it soon enough.
fn wait_for_room(ctx: &Context) -> Option<Waiting> {
    let max_wait = ctx.admission.route.objective / ROOM_WAIT_DIVISOR;
    wait::enter(&ctx.node, &ctx.admission.service.name, max_wait)
}

fn response_lost(timed_out: bool) -> Refusal {
    match timed_out {
        true => Refusal::invalid(StatusCode::GATEWAY_TIMEOUT, "silent"),
        false => Refusal::invalid(StatusCode::BAD_GATEWAY, "broken"),
    }
}

/// Waits one interval if an endpoint is likely to become usable soon; returns whether to look for one again.
async fn wait_for_endpoint(ctx: &Context, cause: Unavailable, started: Duration) -> bool {
    if cause == Unavailable::Adapter {
        ctx.node.demand.want(&ctx.call, ctx.version.as_ref());
    }
    let max_wait = match cause {
        Unavailable::Adapter => MAX_ADAPTER_WAIT,
        Unavailable::Version | Unavailable::Paused | Unavailable::Cold => MAX_PAUSE_WAIT,
        Unavailable::Room => ctx.admission.route.objective / ROOM_WAIT_DIVISOR,
        _ => Duration::ZERO,
    };
    let passes_soon = cause == Unavailable::Adapter || cause > Unavailable::Quiet;
    let (until, interval) = match ctx.takes_up_stream() && passes_soon {
        true => (
            ctx.admission.arrived + MAX_RESUME_WAIT,
            RESUME_RETRY_INTERVAL,
        ),
        false => (
            started + max_wait.min(ctx.admission.route.objective / 2),
            RETRY_INTERVAL,
        ),
    };
    if ctx.node.now() + interval > until.min(ctx.admission.deadline) {
        return false;
    }
    tokio::time::sleep(interval).await;
    true
}

/// `Retry-After` for a request without a usable endpoint: when it can probably be served.
fn retry_delay(node: &Node, ctx: &Context, cause: Unavailable) -> Duration {
    let model = ctx.call.generation.as_ref().and_then(|generation| {
        let engine = ctx.admission.service.engine.as_ref()?;
        engine.models.get(&generation.model)
    });
    match cause {
        Unavailable::Model => model.map_or(Duration::from_secs(1), |model| {
            model.load_time + Duration::from_millis(500)
        }),
        Unavailable::Endpoint | Unavailable::Origin => Duration::from_millis(1500),
        Unavailable::Adapter => Duration::from_millis(300),
        Unavailable::Quiet => choose::quiet_left(node, &ctx.admission),
        Unavailable::Version | Unavailable::Paused => Duration::from_millis(400),
        Unavailable::Retry | Unavailable::Attempts => FULL_PAUSE,
        Unavailable::Quarantine => ctx.held().unwrap_or(FULL_PAUSE),
        Unavailable::Room if is_contended(ctx) && !ctx.denial.expected.is_zero() => {
            // Those that are told to come back at the same time would be refused again.
            jitter(ctx.denial.expected).max(MIN_PERMIT_DELAY)
        }
        Unavailable::Limited | Unavailable::Room | Unavailable::Cold | Unavailable::Full => {
            // Spread so that callers do not retry at the same time.
            let jitter = (node.now().subsec_micros() % 1000) + 500;
            Duration::from_millis(u64::from(jitter))
        }
    }
}

/// Reads the whole response; `None` if it fails or is not complete in time.
async fn read_response(node: &Node, ctx: &Context, exchange: Exchange) -> Option<Response<Body>> {
    let Exchange {
        endpoint,
        connection,
        flight,
        head,
        parts,
        body,
        ..
    } = exchange;
    let read = timeout(ctx.remaining(), read_whole(body, &node.memory)).await;
    let Ok(Some(bytes)) = read else {
        endpoint.tracker.lock().health.failed(node.now());
        if read.is_ok() {
            ctx.lost(&endpoint, false).await;
        }
        node.journal.line(|| {
            spdlog::info!("relay: response incomplete", kv: {
                request: = ctx.call.id,
                endpoint: = endpoint.entry.id,
                content: = journal::hex(&[ctx.content()]),
                runs = ctx.runs,
                left_ms = ctx.remaining().as_millis() as u64,
            });
        });
        return None;
    };
    node.pool_connection(&endpoint.entry.id, connection, head.keep_alive);
    drop(flight);
    quarantine::survived(node, &ctx.call, ctx.admission.caller());
    let body = Full::new(bytes).map_err(|never| match never {});
    Some(Response::from_parts(
        forwarded_parts(parts),
        body.boxed_unsync(),
    ))
}

/// Status and headers as forwarded to the caller, without connection-specific headers.
pub fn forwarded_parts(mut parts: http::response::Parts) -> http::response::Parts {
    connection::strip(&mut parts.headers);
    parts.version = http::Version::HTTP_11;
    parts
}

fn complete(ctx: &mut Context, response: Response<Body>) -> Response<Body> {
    ctx.phase = Phase::Settled;
    let node = &ctx.node;
    let status = response.status();
    node.meter.count_outcome("answered", status.as_u16());
    let elapsed = node.now().saturating_sub(ctx.admission.arrived);
    node.meter.first_byte.observe(elapsed.as_secs_f64());
    ctx.log_answered(status, elapsed);
    response
}

/// Ends a request that got no usable response: returns an endpoint's error response if there is one, else an error of
/// the daemon itself. Units taken from the rate limit are refunded if the request did not run.
fn fail(ctx: &mut Context, failure: Option<Response<Body>>, refusal: Refusal) -> Response<Body> {
    ctx.phase = Phase::Settled;
    if let Some(failure) = failure {
        return complete(ctx, failure);
    }
    let refusal = match ctx.runs {
        0 => refusal,
        // A refusal with `Retry-After` promises that the request has not run, which would be false.
        _ if refusal.retry_after.is_some() => response_lost(ctx.is_out_of_time()),
        _ => refusal,
    };
    let route = &ctx.admission.route;
    if is_contended(ctx) {
        let label = RouteLabel::of(route);
        ctx.node.meter.refused.get_or_create(&label).inc();
    }
    let waited = ctx.node.now().saturating_sub(ctx.admission.arrived);
    let details = Details {
        route: &route.name,
        service: &ctx.admission.service.name,
        priority: ctx.admission.priority,
        waited,
        denial: ctx.denial,
    };
    if ctx.runs == 0 {
        ctx.node.limits.refund(&ctx.node, &ctx.admission);
        return refuse_with(&ctx.node, &ctx.call, &refusal, &details);
    }
    let mut response = refuse_with(&ctx.node, &ctx.call, &refusal, &details);
    response.extensions_mut().insert(hop::Outcome::Lost);
    response
}

/// Logs a refusal, counts it and returns its response.
pub fn refuse(node: &Node, call: &Call, refusal: &Refusal) -> Response<Body> {
    refuse_with(node, call, refusal, &Details::default())
}

/// What is logged of a refused request; `-` and zeros if it was not admitted.
#[derive(Debug, Default)]
struct Details<'a> {
    route: &'a str,
    service: &'a str,
    priority: u8,
    waited: Duration,
    denial: Denial,
}

fn refuse_with(node: &Node, call: &Call, refusal: &Refusal, details: &Details) -> Response<Body> {
    let generation = call.generation.as_ref();
    node.meter
        .count_outcome(refusal.reason, refusal.status.as_u16());
    node.journal.line(|| {
        spdlog::info!("relay: refused", kv: {
            request: = call.id,
            status = refusal.status.as_u16(),
            reason = refusal.reason,
            retry_after_ms = refusal.retry_after.map_or(0, |wait| wait.as_millis() as u64),
            resumes: = call.resumes.as_deref().unwrap_or("-"),
            route: = or_dash(details.route),
            service: = or_dash(details.service),
            model: = generation.map_or("-", |generation| &*generation.model),
            priority = details.priority,
            waited_ms = details.waited.as_millis() as u64,
            position = details.denial.position,
            expected_ms = details.denial.expected.as_millis() as u64,
        });
    });
    refusal_response(refusal)
}

fn or_dash(name: &str) -> &str {
    match name {
        "" => "-",
        name => name,
    }
}

/// Body without content.
pub fn empty_body() -> Body {
    let body = Full::new(Bytes::new()).map_err(|never| match never {});
    body.boxed_unsync()
}

/// Response of a refusal, with an empty body.
pub fn refusal_response(refusal: &Refusal) -> Response<Body> {
    let mut response = Response::new(empty_body());
    response.extensions_mut().insert(hop::Outcome::NotRun);
    *response.status_mut() = refusal.status;
    if let Some(wait) = refusal.retry_after {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
