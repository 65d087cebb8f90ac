//! Sends a request to one endpoint and classifies the response.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::Node;
use super::admit::Ticket;
use super::choose::Choice;
use super::endpoint::{Endpoint, Flight};
use super::journal;
use crate::state::call::{Call, Dispatch, Head};
use crate::state::record::Name;
use crate::transport::exchange::{Connection, Error};

/// Timeout of a new connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Minimum remaining time for a request to be sent.
pub const LEAST_LEFT: Duration = Duration::from_millis(20);

/// Pause of an endpoint that rejected a request because it is full.
pub const FULL_PAUSE: Duration = Duration::from_millis(100);

/// Pause of an endpoint whose address has been taken over by another one.
const MISDIRECTED_PAUSE: Duration = Duration::from_secs(2);

/// Time for which a model that an endpoint rejected as missing is taken as missing there.
const LACKING: Duration = Duration::from_millis(400);

/// Minimum timeout of the response head of a request that can be retried elsewhere.
const LEAST_SILENCE: Duration = Duration::from_millis(400);

/// A response whose head has arrived, with its connection.
#[derive(Debug)]
pub struct Exchange {
    /// Endpoint that sends the response.
    pub endpoint: Endpoint,
    /// Connection of the response; dropping it cancels the endpoint's work.
    pub connection: Connection,
    /// Counts the request as in flight.
    pub flight: Flight,
    /// Parsed head of the response.
    pub head: Head,
    /// Status and headers.
    pub parts: http::response::Parts,
    /// Rest of the response.
    pub body: Incoming,
}

impl Exchange {
    /// Returns the connection to the pool; call it after the whole body was read.
    pub fn finish(self, node: &Node) {
        let id = &self.endpoint.entry.id;
        node.keep(id, self.connection, self.head.keep_alive);
    }
}

/// Outcome of a send.
#[derive(Debug)]
pub enum Sent {
    /// The head of a response to the request has arrived.
    Answered(Box<Exchange>),
    /// The endpoint rejected the request and states that it has not run.
    NotRun,
    /// Nothing was sent.
    Unsent,
    /// The request may have run; its response is lost.
    Broken,
    /// The request may run; no response came in time.
    Silent,
}

/// State of a request that is sent to endpoints.
#[derive(Debug)]
pub struct Run {
    /// State shared by the daemon's parts.
    pub node: Arc<Node>,
    /// Request of the caller.
    pub call: Call,
    /// Result of the request's admission.
    pub ticket: Ticket,
    /// Endpoints that are not tried again.
    pub tried: Vec<Name>,
    /// Number of sends that may have run.
    pub runs: u32,
    /// Number of sends that reached an endpoint, whether they ran or not.
    pub arrivals: u32,
    /// Endpoint of the last response.
    pub answered_by: Option<Name>,
    /// Counts the request as in flight until its response is complete.
    pub token: TaskTrackerToken,
}

impl Run {
    /// Time left until the deadline.
    pub fn left(&self) -> Duration {
        self.ticket.end.saturating_sub(self.node.now())
    }

    /// Whether the request can be sent again although it may have run.
    pub fn may_repeat(&self) -> bool {
        self.ticket.route.kind.repeatable()
            && self.runs < self.ticket.route.attempts
            && self.left() > LEAST_LEFT
    }

    /// Takes a retry from the budget, unless nothing reached an endpoint yet; returns whether the request may be sent.
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

    /// Sends the request to an endpoint and waits for the head of the response. `resume_after` is the event after which
    /// a stream resumes.
    pub async fn send(&mut self, choice: &Choice, resume_after: Option<u64>) -> Sent {
        let node = self.node.clone();
        let track = &choice.endpoint.track;
        let flight = Flight::open(track, choice.unread);
        let Some(mut connection) = self.connect(choice).await else {
            return Sent::Unsent;
        };
        let request = (node.adapter.dispatch)(&self.call, &self.dispatch(choice, resume_after));
        let sent_at = node.now();
        let within = self.first_wait();
        let response = match timeout(within, connection.send(request)).await {
            Ok(Err(Error::Unsent)) => return Sent::Unsent,
            response => response,
        };
        self.arrivals += 1;
        let (event, detail, sent) = match response {
            Ok(Ok(response)) => {
                let (parts, body) = response.into_parts();
                let exchange = Exchange {
                    endpoint: choice.endpoint.clone(),
                    connection,
                    flight,
                    head: (node.adapter.head)(&parts),
                    parts,
                    body,
                };
                return self.judge(choice, exchange, sent_at).await;
            }
            Ok(Err(error)) => ("broken", error.to_string(), Sent::Broken),
            Err(_) => {
                let detail = format!("waited_ms={}", within.as_millis());
                ("silent", detail, Sent::Silent)
            }
        };
        match sent {
            Sent::Silent => track.seen().health.silent(node.now()),
            _ => track.seen().health.failed(node.now()),
        }
        self.ran(choice);
        self.log(event, choice, &detail);
        sent
    }

    /// Takes an idle connection to an endpoint or opens one; `None` if the endpoint is unreachable.
    async fn connect(&mut self, choice: &Choice) -> Option<Connection> {
        let node = &self.node;
        let entry = &choice.endpoint.entry;
        if let Some(connection) = node.pool.take(&entry.id) {
            return Some(connection);
        }
        node.meter.connects.inc();
        let within = CONNECT_TIMEOUT.min(self.left());
        match Connection::open(entry.address, within).await {
            Ok(connection) => Some(connection),
            Err(error) => {
                let now = node.now();
                choice.endpoint.track.seen().health.unreachable(now);
                self.log("unreachable", choice, &error.to_string());
                self.tried.push(entry.id.clone());
                None
            }
        }
    }

    fn dispatch(&self, choice: &Choice, resume_after: Option<u64>) -> Dispatch {
        let workspace = self.ticket.workspace.as_ref();
        Dispatch {
            endpoint: choice.endpoint.entry.id.clone(),
            address: choice.endpoint.entry.address,
            workspace: workspace.map(|workspace| workspace.name.clone()),
            left: self.left(),
            priority: self.ticket.rank,
            resume_after,
        }
    }

    /// Counts a send that may have run, and excludes the endpoint from further attempts.
    fn ran(&mut self, choice: &Choice) {
        self.runs += 1;
        self.tried.push(choice.endpoint.entry.id.clone());
    }

    /// Classifies the head of a response.
    async fn judge(&mut self, choice: &Choice, mut exchange: Exchange, sent_at: Duration) -> Sent {
        let node = self.node.clone();
        let now = node.now();
        let track = &choice.endpoint.track;
        let (head, status) = (&exchange.head, exchange.parts.status);
        // Endpoints that reject a call may omit its identifier.
        let unnamed = head.id.is_none() && head.not_run && !status.is_success();
        if head.id.as_ref() != Some(&self.call.id) && !unnamed {
            // The response belongs to another call, or it cannot be verified to which.
            track.seen().health.failed(now);
            self.ran(choice);
            let detail = format!("status={}", status.as_u16());
            self.log("foreign_answer", choice, &detail);
            return Sent::Broken;
        }
        if head.not_run {
            self.turned_away(choice, head, &exchange.parts);
            self.tried.push(choice.endpoint.entry.id.clone());
            keep_after_refusal(&node, exchange).await;
            return Sent::NotRun;
        }
        if status.is_success() && !head.signed {
            track.seen().health.failed(now);
            self.ran(choice);
            self.log("unsigned_answer", choice, "-");
            return Sent::Broken;
        }
        self.runs += 1;
        self.answered_by = Some(choice.endpoint.entry.id.clone());
        exchange.flight.begun();
        let mut seen = track.seen();
        match status.is_server_error() {
            true => seen.health.failed(now),
            false => seen.health.answered(now.saturating_sub(sent_at), now),
        }
        drop(seen);
        Sent::Answered(Box::new(exchange))
    }

    /// Timeout of the response head; shorter if the request can be retried elsewhere.
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

    /// Logs a response if the request is sampled.
    pub fn log_answered(&self, status: StatusCode, first: Duration) {
        if !journal::is_sampled(&self.call.id) {
            return;
        }
        self.node.journal.line(|| {
            spdlog::info!("relay: answered", kv: {
                request: = self.call.id,
                route: = self.ticket.route.name,
                endpoint: = self.answered_by.as_deref().unwrap_or("-"),
                status = status.as_u16(),
                first_ms = first.as_millis() as u64,
                runs = self.runs,
            });
        });
    }

    /// Logs an event of one send.
    pub fn log(&self, event: &str, choice: &Choice, detail: &str) {
        self.node.journal.line(|| {
            let entry = &choice.endpoint.entry;
            spdlog::info!("relay: {event}", kv: {
                request: = self.call.id,
                route: = self.ticket.route.name,
                endpoint: = entry.id,
                zone: = entry.zone,
                flights = choice.candidate.flights,
                compared = choice.compared,
                runs = self.runs,
                left_ms = self.left().as_millis() as u64,
                detail = detail,
            });
        });
    }
}

/// Reads the rest of a rejection, which is short, so that the connection can be reused.
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
