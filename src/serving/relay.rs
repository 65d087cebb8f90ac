//! Sends a request to endpoints until one answers, and gives the caller that answer or a final one of its own.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::timeout;
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::Node;
use super::admit::{Refusal, Ticket};
use super::choose::{self, Choice, Lack};
use super::endpoint::{Endpoint, Flight};
use super::stream;
use crate::protocol::connection;
use crate::state::call::{Call, Dispatch, Head, KeepAlive};
use crate::state::record::Name;
use crate::transport::exchange::{Connection, Error, read_whole};

/// Body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Longest time for a new connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Least time left that makes a send worth while.
const LEAST_LEFT: Duration = Duration::from_millis(20);

/// Endpoints that may turn one request away before it is refused.
const MAX_REJECTIONS: usize = 3;

/// Pause of an endpoint that turned a request away as full.
const FULL_PAUSE: Duration = Duration::from_millis(100);

/// Pause of an address that another endpoint has taken over.
const MISDIRECTED_PAUSE: Duration = Duration::from_secs(2);

/// Time for which a refusal for a lack of a model or adapter is believed.
const LACKING: Duration = Duration::from_millis(400);

/// Longest wait for an adapter that is being loaded.
const ADAPTER_PATIENCE: Duration = Duration::from_millis(200);

/// Longest wait for endpoints that are paused or have had their part of requests while cold.
const PAUSE_PATIENCE: Duration = Duration::from_millis(250);

/// Interval at which a waiting request looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(15);

/// Least time until the first byte after which a request that may be repeated goes elsewhere.
const LEAST_SILENCE: Duration = Duration::from_millis(400);

/// An answer whose head has arrived, with what keeps it going.
#[derive(Debug)]
pub struct Exchange {
    /// Endpoint that answers.
    pub endpoint: Endpoint,
    /// Connection that carries the answer; dropping it stops the endpoint's work.
    pub connection: Connection,
    /// Counts the request as in flight.
    pub flight: Flight,
    /// Head of the answer.
    pub head: Head,
    /// Status and headers.
    pub parts: http::response::Parts,
    /// The rest of the answer.
    pub body: Incoming,
}

impl Exchange {
    /// Keeps the connection for another request after the whole body was read.
    pub fn finish(self, node: &Node) {
        let keep = match self.head.keep_alive {
            KeepAlive::Close => return,
            KeepAlive::Open => None,
            KeepAlive::For(time) => Some(time),
        };
        let id = &self.endpoint.entry.id;
        node.pool.put(id, self.connection, keep);
    }
}

/// How a send ended.
#[derive(Debug)]
pub enum Sent {
    /// The head of an answer that belongs to the request.
    Answered(Box<Exchange>),
    /// The endpoint states that the request has not run.
    NotRun,
    /// Nothing was sent.
    Unsent,
    /// The request may have run; its answer is lost.
    Broken,
    /// The request may run; no answer came in time.
    Silent,
}

/// A request on its way through endpoints.
#[derive(Debug)]
pub struct Run {
    /// The daemon.
    pub node: Arc<Node>,
    /// The request.
    pub call: Call,
    /// What it may use.
    pub ticket: Ticket,
    /// Endpoints that should not be tried again.
    pub tried: Vec<Name>,
    /// Sends that may have run.
    pub runs: u32,
    /// Sends that reached an endpoint, run or not.
    pub arrivals: u32,
    /// Counts the request as in flight until its answer is complete.
    pub token: TaskTrackerToken,
}

impl Run {
    /// Time left.
    pub fn left(&self) -> Duration {
        self.ticket.end.saturating_sub(self.node.now())
    }

    /// Whether a request that may have run can be sent once more.
    pub fn may_repeat(&self) -> bool {
        self.ticket.route.kind.repeatable()
            && self.runs < self.ticket.route.attempts
            && self.left() > LEAST_LEFT
    }

    /// Takes a retry from the budget; the first send needs none.
    pub fn take_retry(&self) -> bool {
        if self.arrivals == 0 {
            return true;
        }
        let taken = self.node.take_retry(&self.ticket.service.name);
        if taken {
            self.node.meter.retries.inc();
        }
        taken
    }

    /// Sends the request to an endpoint and waits for the head of the answer.
    pub async fn send(&mut self, choice: &Choice, resume_after: Option<u64>) -> Sent {
        let node = self.node.clone();
        let endpoint = &choice.endpoint;
        let id = &endpoint.entry.id;
        let mut flight = Flight::open(&endpoint.track, choice.unread);
        let mut connection = match node.pool.take(id) {
            Some(connection) => connection,
            None => {
                node.meter.connects.inc();
                let within = CONNECT_TIMEOUT.min(self.left());
                match Connection::open(endpoint.entry.address, within).await {
                    Ok(connection) => connection,
                    Err(error) => {
                        endpoint.track.seen().health.unreachable(node.now());
                        self.log("unreachable", choice, &error.to_string());
                        self.tried.push(id.clone());
                        return Sent::Unsent;
                    }
                }
            }
        };
        let dispatch = Dispatch {
            endpoint: id.clone(),
            address: endpoint.entry.address,
            workspace: self.ticket.workspace.as_ref().map(|w| w.name.clone()),
            left: self.left(),
            priority: self.ticket.rank,
            resume_after,
        };
        let request = (node.adapter.dispatch)(&self.call, &dispatch);
        let sent_at = node.now();
        let within = self.first_wait();
        let response = timeout(within, connection.send(request)).await;
        if !matches!(response, Ok(Err(Error::Unsent))) {
            self.arrivals += 1;
        }
        let response = match response {
            Ok(Ok(response)) => response,
            Ok(Err(Error::Unsent)) => return Sent::Unsent,
            Ok(Err(error)) => {
                self.runs += 1;
                self.tried.push(id.clone());
                endpoint.track.seen().health.failed(node.now());
                self.log("broken", choice, &error.to_string());
                return Sent::Broken;
            }
            Err(_) => {
                self.runs += 1;
                self.tried.push(id.clone());
                endpoint.track.seen().health.silent(node.now());
                self.log(
                    "silent",
                    choice,
                    &format!("waited_ms={}", within.as_millis()),
                );
                return Sent::Silent;
            }
        };
        let (parts, body) = response.into_parts();
        let head = (node.adapter.head)(&parts);
        // Endpoints that turn a call away need not name it.
        let unnamed = head.id.is_none() && head.not_run && !parts.status.is_success();
        if head.id.as_ref() != Some(&self.call.id) && !unnamed {
            // Another call's answer, or one that nobody can vouch for.
            self.runs += 1;
            self.tried.push(id.clone());
            endpoint.track.seen().health.failed(node.now());
            let detail = format!("status={}", parts.status.as_u16());
            self.log("foreign_answer", choice, &detail);
            return Sent::Broken;
        }
        if head.not_run {
            self.turned_away(choice, &head, &parts);
            self.tried.push(id.clone());
            let exchange = Exchange {
                endpoint: endpoint.clone(),
                connection,
                flight,
                head,
                parts,
                body,
            };
            keep_after_refusal(&node, exchange).await;
            return Sent::NotRun;
        }
        self.runs += 1;
        flight.begun();
        if parts.status.is_success() && !head.signed {
            endpoint.track.seen().health.failed(node.now());
            self.tried.push(id.clone());
            self.log("unsigned_answer", choice, "-");
            return Sent::Broken;
        }
        let now = node.now();
        let mut seen = endpoint.track.seen();
        match parts.status.is_server_error() {
            true => seen.health.failed(now),
            false => seen.health.answered(now.saturating_sub(sent_at), now),
        }
        drop(seen);
        Sent::Answered(Box::new(Exchange {
            endpoint: endpoint.clone(),
            connection,
            flight,
            head,
            parts,
            body,
        }))
    }

    /// Longest wait for the head of an answer.
    fn first_wait(&self) -> Duration {
        let route = &self.ticket.route;
        let another = route.kind.repeatable() && self.runs + 1 < route.attempts;
        match another {
            true => (route.objective * 5 / 2)
                .max(LEAST_SILENCE)
                .min(self.left()),
            false => self.left(),
        }
    }

    fn turned_away(&self, choice: &Choice, head: &Head, parts: &http::response::Parts) {
        let now = self.node.now();
        let entry = &choice.endpoint.entry;
        let mut seen = choice.endpoint.track.seen();
        if parts.status != StatusCode::MISDIRECTED_REQUEST {
            seen.health.refused(FULL_PAUSE, now);
        } else if head.endpoint.as_ref().is_some_and(|id| *id != entry.id) {
            seen.health.refused(MISDIRECTED_PAUSE, now);
        } else if let Some(generation) = &self.call.generation {
            match &generation.adapter {
                Some(adapter) => {
                    if let Some(adapters) = seen.models.get_mut(&generation.model) {
                        adapters.retain(|name| name != adapter);
                    }
                }
                None => {
                    let model = generation.model.clone();
                    seen.lacking.insert(model, now + LACKING);
                }
            }
        }
        drop(seen);
        let detail = format!("status={}", parts.status.as_u16());
        self.log("turned_away", choice, &detail);
    }

    /// Logs what happened to one send.
    pub fn log(&self, event: &str, choice: &Choice, detail: &str) {
        self.node.journal.line(|| {
            let entry = &choice.endpoint.entry;
            format!(
                "relay: {event} request={} route={} endpoint={} zone={} flights={} compared={} runs={} left_ms={} {detail}",
                self.call.id,
                self.ticket.route.name,
                entry.id,
                entry.zone,
                choice.candidate.flights,
                choice.compared,
                self.runs,
                self.left().as_millis(),
            )
        });
    }
}

/// Reads the rest of a refusal, which is short, so that the connection can be used again.
async fn keep_after_refusal(node: &Node, mut exchange: Exchange) {
    let body = &mut exchange.body;
    let read = async {
        while let Some(frame) = body.frame().await {
            if frame.is_err() {
                return false;
            }
        }
        true
    };
    if timeout(LEAST_LEFT, read).await.unwrap_or(false) {
        exchange.finish(node);
    }
}

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

/// Waits a little where an endpoint can be expected to become usable; says whether to look again.
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

/// Time after which a request that lacks something can probably be served.
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
            // Spread so that callers do not come back together.
            let spread = (node.now().subsec_micros() % 1000) + 500;
            Duration::from_millis(u64::from(spread))
        }
    }
}

/// Reads the whole answer; none if it broke off.
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
    let keep = match head.keep_alive {
        KeepAlive::Close => None,
        KeepAlive::Open => Some(None),
        KeepAlive::For(time) => Some(Some(time)),
    };
    if let Some(keep) = keep {
        node.pool.put(&endpoint.entry.id, connection, keep);
    }
    drop(flight);
    let body = Full::new(bytes).map_err(|never| match never {});
    Some(Response::from_parts(passed_on(parts), body.boxed_unsync()))
}

/// Status and headers as they go to the caller.
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
    response
}

/// The final answer of the daemon's own: an endpoint's failure if there is one, else a refusal if nothing ran.
fn finish(run: &Run, failure: Option<Response<Body>>, refusal: Refusal) -> Response<Body> {
    if let Some(failure) = failure {
        return finished(run, failure);
    }
    let refusal = match run.runs {
        0 => refusal,
        // A status that promises that nothing ran would be false.
        _ if refusal.retry_after.is_some() => lost(run.left() < LEAST_LEFT),
        _ => refusal,
    };
    if run.runs == 0 {
        run.node.limits.refund(&run.node, &run.ticket);
    }
    refuse(&run.node, &run.call, &refusal)
}

/// Writes an answer of the daemon's own.
pub fn refuse(node: &Node, call: &Call, refusal: &Refusal) -> Response<Body> {
    node.meter.ended(refusal.reason, refusal.status.as_u16());
    node.journal.line(|| {
        format!(
            "relay: refused request={} status={} reason={} retry_after_ms={}",
            call.id,
            refusal.status.as_u16(),
            refusal.reason,
            refusal.retry_after.map_or(0, |wait| wait.as_millis())
        )
    });
    own(refusal)
}

/// An answer with an empty body.
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
