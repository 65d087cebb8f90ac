//! Sends a request to endpoints until one answers, and returns that response or an error response to the caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use tokio::time::timeout;

use super::Node;
use super::admit::{Refusal, Ticket};
use super::choose::{self, Lack};
use super::send::{Exchange, FULL_PAUSE, LEAST_LEFT, Run, Sent};
use super::stream;
use crate::protocol::connection;
use crate::state::call::Call;
use crate::transport::exchange::read_whole;

/// Body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Number of endpoints that may reject a request before the caller gets an error.
const MAX_REJECTIONS: usize = 3;

/// Maximum wait for an adapter that is being loaded.
const ADAPTER_PATIENCE: Duration = Duration::from_millis(200);

/// Maximum wait for endpoints that are paused, or cold and at their request limit.
const PAUSE_PATIENCE: Duration = Duration::from_millis(250);

/// Interval at which a waiting request looks for an endpoint again.
const LOOK_AGAIN: Duration = Duration::from_millis(15);

/// Answers an admitted request.
pub async fn answer(node: &Arc<Node>, call: Call, ticket: Ticket) -> Response<Body> {
    node.deposit_retry(&ticket.service.name);
    let mut run = Run {
        node: node.clone(),
        call,
        ticket,
        tried: Vec::new(),
        runs: 0,
        arrivals: 0,
        answered_by: None,
        token: node.requests.token(),
    };
    node.demand.offer(&run.call);
    let waited_from = node.now();
    let mut failure: Option<Response<Body>> = None;
    loop {
        if run.left() < LEAST_LEFT {
            return finish(&run, failure, Refusal::busy("out_of_time", LOOK_AGAIN));
        }
        let choice = match choose::choose(node, &run.ticket, &run.call, &run.tried) {
            Ok(choice) => choice,
            Err(lack) => {
                if run.arrivals == 0 && wait(&run, lack, waited_from).await {
                    continue;
                }
                let retry_after = come_back(node, &run, lack);
                return finish(&run, failure, Refusal::busy(lack.reason(), retry_after));
            }
        };
        if !run.take_retry() {
            return finish(&run, failure, Refusal::busy("retry_budget", FULL_PAUSE));
        }
        let resume_after = run.call.last_event;
        match run.send(&choice, resume_after).await {
            Sent::Answered(exchange) => {
                let repeat = exchange.parts.status.is_server_error() && run.may_repeat();
                if run.ticket.route.kind.streams() && exchange.parts.status.is_success() {
                    return stream::answer(run, *exchange);
                }
                let endpoint = exchange.endpoint.entry.id.clone();
                match whole(node, &run, *exchange).await {
                    Some(response) if repeat => {
                        failure = Some(response);
                        run.tried.push(endpoint);
                    }
                    Some(response) => return finished(&run, response),
                    None => {
                        run.tried.push(endpoint);
                        if !run.may_repeat() {
                            return finish(&run, failure, lost(false));
                        }
                    }
                }
            }
            Sent::NotRun => {
                let rejections = (run.arrivals - run.runs) as usize;
                if rejections >= MAX_REJECTIONS {
                    let refusal = Refusal::busy("turned_away", FULL_PAUSE * 3);
                    return finish(&run, failure, refusal);
                }
            }
            Sent::Unsent => {}
            Sent::Broken if run.may_repeat() => {}
            Sent::Silent if run.may_repeat() => {}
            Sent::Broken => return finish(&run, failure, lost(false)),
            Sent::Silent => return finish(&run, failure, lost(true)),
        }
    }
}

fn lost(silent: bool) -> Refusal {
    match silent {
        true => Refusal::invalid(StatusCode::GATEWAY_TIMEOUT, "silent"),
        false => Refusal::invalid(StatusCode::BAD_GATEWAY, "broken"),
    }
}

/// Waits one interval if an endpoint is likely to become usable soon; returns whether to look for one again.
async fn wait(run: &Run, lack: Lack, from: Duration) -> bool {
    let patience = match lack {
        Lack::Adapter => {
            run.node.demand.want(&run.call);
            ADAPTER_PATIENCE
        }
        Lack::Paused | Lack::Cold => PAUSE_PATIENCE,
        Lack::Endpoint | Lack::Model | Lack::Full => return false,
    };
    let patience = patience.min(run.ticket.route.objective / 2);
    if run.node.now() + LOOK_AGAIN > (from + patience).min(run.ticket.end) {
        return false;
    }
    tokio::time::sleep(LOOK_AGAIN).await;
    true
}

/// `Retry-After` for a request without a usable endpoint: when it can probably be served.
fn come_back(node: &Node, run: &Run, lack: Lack) -> Duration {
    let model = run.call.generation.as_ref().and_then(|generation| {
        let engine = run.ticket.service.engine.as_ref()?;
        engine.models.get(&generation.model)
    });
    match lack {
        Lack::Model => model.map_or(Duration::from_secs(1), |model| {
            model.load_time + Duration::from_millis(500)
        }),
        Lack::Endpoint => Duration::from_millis(1500),
        Lack::Adapter => Duration::from_millis(300),
        Lack::Paused => Duration::from_millis(400),
        Lack::Cold | Lack::Full => {
            // Spread so that callers do not retry at the same time.
            let spread = (node.now().subsec_micros() % 1000) + 500;
            Duration::from_millis(u64::from(spread))
        }
    }
}

/// Reads the whole response; `None` if it fails or is not complete in time.
async fn whole(node: &Node, run: &Run, exchange: Exchange) -> Option<Response<Body>> {
    let Exchange {
        endpoint,
        connection,
        flight,
        head,
        parts,
        body,
    } = exchange;
    let read = timeout(run.left(), read_whole(body)).await;
    let Ok(Ok(bytes)) = read else {
        endpoint.track.seen().health.failed(node.now());
        return None;
    };
    node.keep(&endpoint.entry.id, connection, head.keep_alive);
    drop(flight);
    let body = Full::new(bytes).map_err(|never| match never {});
    Some(Response::from_parts(passed_on(parts), body.boxed_unsync()))
}

/// Status and headers as forwarded to the caller, without connection-specific headers.
pub fn passed_on(mut parts: http::response::Parts) -> http::response::Parts {
    connection::strip(&mut parts.headers);
    parts.version = http::Version::HTTP_11;
    parts
}

fn finished(run: &Run, response: Response<Body>) -> Response<Body> {
    let node = &run.node;
    let status = response.status();
    node.meter.ended("answered", status.as_u16());
    let elapsed = node.now().saturating_sub(run.ticket.arrived);
    node.meter.first_byte.observe(elapsed.as_secs_f64());
    run.log_answered(status, elapsed);
    response
}

/// Ends a request that got no usable response: returns an endpoint's error response if there is one, else an error of
/// the daemon itself. Units taken from the rate limit are refunded if the request did not run.
fn finish(run: &Run, failure: Option<Response<Body>>, refusal: Refusal) -> Response<Body> {
    if let Some(failure) = failure {
        return finished(run, failure);
    }
    let refusal = match run.runs {
        0 => refusal,
        // A refusal with `Retry-After` promises that the request has not run, which would be false.
        _ if refusal.retry_after.is_some() => lost(run.left() < LEAST_LEFT),
        _ => refusal,
    };
    if run.runs == 0 {
        run.node.limits.refund(&run.node, &run.ticket);
    }
    refuse(&run.node, &run.call, &refusal)
}

/// Logs a refusal, counts it and returns its response.
pub fn refuse(node: &Node, call: &Call, refusal: &Refusal) -> Response<Body> {
    node.meter.ended(refusal.reason, refusal.status.as_u16());
    node.journal.line(|| {
        spdlog::info!("relay: refused", kv: {
            request: = call.id,
            status = refusal.status.as_u16(),
            reason = refusal.reason,
            retry_after_ms = refusal.retry_after.map_or(0, |wait| wait.as_millis() as u64),
        });
    });
    own(refusal)
}

/// Response of a refusal, with an empty body.
pub fn own(refusal: &Refusal) -> Response<Body> {
    let body = Full::new(Bytes::new()).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = refusal.status;
    if let Some(wait) = refusal.retry_after {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
