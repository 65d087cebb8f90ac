//! Sends a request to one endpoint and classifies the response.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures::future::select_all;
use http::{Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::Node;
use super::admit::Admission;
use super::choose::{self, Choice, Unavailable};
use super::duty::usage::Ticket;
use super::endpoint::{Endpoint, InFlight};
use super::room::turn::Denial;
use super::{journal, pace, quarantine, room, starts, statement};
use crate::coordination::pace::Failure;
use crate::coordination::speed::{Expected, Progress};
use crate::state::call::{Call, Dispatch, Head, KeepAlive};
use crate::state::record::Name;
use crate::transport::exchange::{Connection, Error};

/// Timeout of a new connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Minimum remaining time for a request to be sent.
const MIN_REMAINING: Duration = Duration::from_millis(20);

/// Pause of an endpoint that rejected a request because it is full.
pub const FULL_PAUSE: Duration = Duration::from_millis(100);

/// Pause of an endpoint whose address has been taken over by another one.
const MISDIRECTED_PAUSE: Duration = Duration::from_secs(2);

/// Time for which a model that an endpoint rejected as missing is taken as missing there.
const MISSING_MODEL_TTL: Duration = Duration::from_millis(400);

/// Time without a response after which a request is evidence that the links may be lost.
const SILENCE_TIME: Duration = Duration::from_millis(500);

/// Time without a response after which a request on lost links is sent again, if it can be.
const LOST_PATIENCE: Duration = Duration::from_secs(1);

/// Interval at which a request looks whether the links are lost, while they may be.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum timeout of the response head of a request that can be retried elsewhere.
const MIN_HEAD_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of endpoints without room that are asked for a place in one search.
const MAX_DENIALS: usize = 4;

/// A response whose head has arrived, with its connection.
#[derive(Debug)]
pub struct Exchange {
    /// Endpoint that sends the response.
    pub endpoint: Endpoint,
    /// Connection of the response; dropping it cancels the endpoint's work.
    pub connection: Connection,
    /// Counts the request as in flight.
    pub flight: InFlight,
    /// Parsed head of the response.
    pub head: Head,
    /// Status and headers.
    pub parts: http::response::Parts,
    /// Time at which the head arrived.
    pub answered_at: Duration,
    /// Observes the endpoint's speed, if the service is contended.
    pub progress: Option<Progress>,
    /// What the request was expected to meet, if the service is contended.
    pub expected: Option<Expected>,
    /// Rest of the response.
    pub body: Incoming,
}

impl Exchange {
    /// Whether the end of the response can be told from the end of its connection.
    pub fn is_framed(&self) -> bool {
        let headers = &self.parts.headers;
        headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Returns the connection to the pool; call it after the whole body was read.
    pub fn release(self, node: &Node) {
        let id = &self.endpoint.entry.id;
        node.pool_connection(id, self.connection, self.head.keep_alive);
    }
}

/// A request that was sent and whose response's head has not arrived. Dropping it cancels the endpoint's work.
pub struct Pending {
    choice: Choice,
    connection: Connection,
    /// Whether another request was sent on the connection before.
    is_reused: bool,
    flight: InFlight,
    sent_at: Duration,
    response: Pin<Box<dyn Future<Output = Result<Response<Incoming>, Error>> + Send>>,
    /// Time from which the response is late, so that another endpoint may be asked.
    late_at: Duration,
    /// Whether it was recorded that the response is late.
    is_late: bool,
    /// Whether it was recorded that there is no response after [`SILENCE_TIME`].
    is_silent: bool,
    /// Counts a plain request as usage, if that is counted.
    ticket: Option<Ticket>,
}

impl Pending {
    /// Waits for the head of the response. No response is lost when the returned future is dropped.
    pub async fn response(&mut self) -> Result<Response<Incoming>, Error> {
        (&mut self.response).await
    }
}

impl fmt::Debug for Pending {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pending")
            .field("choice", &self.choice)
            .field("sent_at", &self.sent_at)
            .finish_non_exhaustive()
    }
}

/// How a response came.
#[derive(Debug)]
struct Reply {
    /// Time at which the request was sent.
    sent_at: Duration,
    /// Whether another request was sent on the connection before.
    is_reused: bool,
}

/// Outcome of a send.
#[derive(Debug)]
pub enum Outcome {
    /// The head of a response to the request has arrived.
    Answered(Box<Exchange>),
    /// The endpoint rejected the request and states that it has not run.
    Rejected,
    /// Nothing was sent.
    Unsent,
    /// The request may have run; its response is lost.
    Broken,
}

impl Outcome {
    /// Short reason, for logs.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Answered(_) => "failed",
            Self::Rejected => "turned_away",
            Self::Unsent => "unsent",
            Self::Broken => "broken",
        }
    }
}

/// State of a request that is sent to endpoints.
#[derive(Debug)]
pub struct Context {
    /// State shared by the daemon's parts.
    pub node: Arc<Node>,
    /// Request of the caller.
    pub call: Call,
    /// Result of the request's admission.
    pub admission: Admission,
    /// Endpoints that are not tried again.
    pub tried: Vec<Name>,
    /// Those of them that have rejected the request.
    pub rejected: Vec<Name>,
    /// Daemons that were asked to take the request.
    pub asked_peers: Vec<Name>,
    /// Number of sends that may have run.
    pub runs: u32,
    /// Number of sends that reached an endpoint, whether they ran or not.
    pub delivered: u32,
    /// Endpoint of the last response.
    pub answered_by: Option<Name>,
    /// Software version that began the stream, from its first event on; the stream goes on only there.
    pub version: Option<Name>,
    /// Counts the request as in flight until its response is complete.
    pub token: TaskTrackerToken,
    /// What the request is waiting for.
    pub phase: Phase,
    /// Whether the request may be sent once, as a probe, although it is held.
    pub is_probe: bool,
    /// What the request was told when it last found no permit at a contended service.
    pub denial: Denial,
}

/// Progress of a request, to log what it was waiting for when its caller left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It waits for an endpoint.
    Choosing,
    /// It waits for the head of an endpoint's response.
    Sent,
    /// It waits for the rest of an endpoint's response.
    Reading,
    /// It was answered or refused, or its stream was broken off by the daemon.
    Settled,
}

impl Drop for Context {
    fn drop(&mut self) {
        if self.phase == Phase::Settled {
            return;
        }
        self.node.meter.count_outcome("abandoned", 0);
        let elapsed = self.node.now().saturating_sub(self.admission.arrived);
        self.node.journal.line(|| {
            spdlog::info!("relay: abandoned", kv: {
                request: = self.call.id,
                route: = self.admission.route.name,
                phase:? = self.phase,
                endpoint: = self.answered_by.as_deref().unwrap_or("-"),
                elapsed_ms = elapsed.as_millis() as u64,
                left_ms = self.remaining().as_millis() as u64,
                runs = self.runs,
            });
        });
    }
}

impl Context {
    /// Whether the request takes up a stream that another attempt of its caller began.
    pub fn takes_up_stream(&self) -> bool {
        self.admission.route.kind.is_resumable() && self.call.last_event.is_some()
    }

    /// Time after which the request may be sent again if it is held because it crashes endpoints.
    pub fn held(&self) -> Option<Duration> {
        quarantine::held(&self.node, &self.call, self.admission.caller())
    }

    /// Records that an endpoint was lost before it had responded, or when it had just begun.
    pub async fn lost(&self, endpoint: &Endpoint, has_event: bool) {
        let caller = self.admission.caller();
        quarantine::lost(&self.node, &self.call, caller, endpoint, has_event).await;
    }

    /// Digest by which this request is recognized when it comes again.
    pub fn content(&self) -> u64 {
        self.call.content(self.admission.caller())
    }

    /// Time left until the deadline, or until this daemon ends its requests.
    pub fn remaining(&self) -> Duration {
        let remaining = self.admission.deadline.saturating_sub(self.node.now());
        let left = self.node.left_to_serve();
        left.map_or(remaining, |left| remaining.min(left))
    }

    /// Allows a request that is bound to a software version to be sent again to the endpoints that have rejected it, if
    /// there are any and no other one can be used, for the reason `cause`.
    pub fn forget_rejections(&mut self, cause: Unavailable) -> bool {
        if self.version.is_none() || cause > Unavailable::Adapter || self.rejected.is_empty() {
            return false;
        }
        let rejected = std::mem::take(&mut self.rejected);
        self.tried.retain(|id| !rejected.contains(id));
        true
    }

    /// Whether too little time is left to send the request.
    pub fn is_out_of_time(&self) -> bool {
        self.remaining() < MIN_REMAINING
    }

    /// Whether the request can be sent again although it may have run.
    pub fn can_retry(&self) -> bool {
        self.admission.route.kind.is_repeatable()
            && self.runs < self.admission.route.attempts
            && !self.is_out_of_time()
    }

    /// Whether an endpoint that has failed before may be tried with the request, which is sent elsewhere if it fails there.
    pub fn may_be_trial(&self) -> bool {
        let route = &self.admission.route;
        self.delivered == 0
            && route.kind.is_repeatable()
            && route.attempts > 1
            && !self.takes_up_stream()
    }

    /// Takes a retry from the budget, unless nothing reached an endpoint yet; returns whether the request may be sent.
    pub fn take_retry(&self) -> bool {
        if self.delivered == 0 {
            return true;
        }
        let taken = self.node.take_retry(&self.admission.service.name);
        if taken {
            self.node.meter.retries.inc();
        }
        taken
    }

    /// Chooses an endpoint that was not tried and takes the retry that sending the request there needs.
    ///
    /// # Errors
    /// The reason why the request can't be sent now.
    pub async fn choose(&mut self) -> Result<Choice, Unavailable> {
        if self.takes_up_stream() && self.version.is_none() {
            return Err(Unavailable::Origin);
        }
        if !self.is_probe && self.held().is_some() {
            return Err(Unavailable::Quarantine);
        }
        let choice = match room::is_contended(&self.node, &self.admission.service.name) {
            true => match room::turn::acquire(self).await {
                Ok(choice) => choice,
                Err((cause, denial)) => {
                    self.denial = denial;
                    return Err(cause);
                }
            },
            false => self.choose_with_room().await?,
        };
        if !self.take_retry() {
            statement::release(&self.node, &choice.endpoint);
            return Err(Unavailable::Retry);
        }
        choice.record(&self.admission.service, self.node.now());
        Ok(choice)
    }

    /// Chooses an endpoint and takes a place there if its service needs one.
    async fn choose_with_room(&self) -> Result<Choice, Unavailable> {
        let mut denials = 0;
        loop {
            let (admission, version) = (&self.admission, self.version.as_ref());
            let mut choice = choose::choose(
                &self.node,
                admission,
                &self.call,
                &self.tried,
                version,
                self.may_be_trial(),
            )?;
            if !statement::reserve(&self.node, &choice.endpoint).await {
                continue;
            }
            if let Ok(permit) = room::permit::reserve(&self.node, &choice).await {
                choice.permit = permit;
                return Ok(choice);
            }
            statement::release(&self.node, &choice.endpoint);
            denials += 1;
            if denials >= MAX_DENIALS {
                return Err(Unavailable::Room);
            }
        }
    }

    /// Sends the request to an endpoint; `None` if nothing was sent. Until the response says otherwise, the request
    /// counts as run there. `resume_after` is the event after which a stream resumes.
    pub async fn open(&mut self, choice: &Choice, resume_after: Option<u64>) -> Option<Pending> {
        let (tokens, permit) = (choice.uncached_tokens, choice.permit.clone());
        let flight = InFlight::open(&choice.endpoint.tracker, tokens, permit);
        let Some(mut connection) = self.connect(choice).await else {
            self.count_unsent(choice);
            return None;
        };
        if choose::exceeds_cold_limit(&self.node, &self.admission.service, &choice.endpoint) {
            self.give_back(choice, connection);
            return None;
        }
        let is_probe = std::mem::take(&mut self.is_probe);
        let may_be_sent =
            !is_probe || quarantine::probe(&self.node, &self.call, self.admission.caller()).await;
        let is_closed = choice.endpoint.tracker.lock().is_closed(self.node.now());
        if !may_be_sent || is_closed || self.is_out_of_time() {
            // This has changed while the connection was opened, or while this process did not run.
            self.count_unsent(choice);
            return None;
        }
        let now = self.node.now();
        let dispatch = self.dispatch(choice, resume_after);
        let request = (self.node.codec.dispatch)(&self.call, &dispatch);
        self.phase = Phase::Sent;
        self.delivered += 1;
        self.count_run(choice);
        Some(Pending {
            choice: choice.clone(),
            sent_at: now,
            is_reused: connection.is_used(),
            response: Box::pin(connection.start(request)),
            connection,
            flight,
            late_at: now + self.head_timeout(choice),
            is_late: false,
            is_silent: false,
            ticket: match self.admission.route.kind.is_streaming() {
                true => None,
                false => self.node.usage.sent(&self.node, &self.admission),
            },
        })
    }

    /// Gives back what was taken for a request that the endpoint, which has turned out to be cold, is not sent.
    fn give_back(&self, choice: &Choice, connection: Connection) {
        self.count_unsent(choice);
        let id = &choice.endpoint.entry.id;
        self.node.pool_connection(id, connection, KeepAlive::Open);
        self.node.meter.cold_unsent.inc();
        self.log("cold", choice, "-");
    }

    /// Takes back that a request was sent to the chosen endpoint.
    fn count_unsent(&self, choice: &Choice) {
        if self.admission.service.has_cold_limit() {
            choice.endpoint.tracker.lock().warmup.unsent();
        }
        statement::release(&self.node, &choice.endpoint);
    }

    /// Whether all responses are late, so that another endpoint may be asked; records those that have become late.
    pub fn all_late(&self, pending: &mut [Pending]) -> bool {
        let now = self.node.now();
        let is_cut = !self.node.links.carries_flights(now) && self.can_retry();
        for pending in pending.iter_mut() {
            // The endpoint is not to blame.
            pending.is_late |= is_cut && now >= pending.sent_at + LOST_PATIENCE;
            if now >= pending.sent_at + SILENCE_TIME && !pending.is_silent {
                pending.is_silent = true;
                let id = &pending.choice.endpoint.entry.id;
                self.node.links.silent(id, pending.sent_at, now);
            }
            if now >= pending.late_at && !pending.is_late {
                pending.is_late = true;
                self.record_late(pending, now);
            }
        }
        pending.iter().all(|pending| pending.is_late)
    }

    /// Time to wait for responses before another endpoint is looked for: until the last one is late, or `interval` if
    /// all are.
    pub fn max_wait(&self, pending: &[Pending], interval: Duration) -> Duration {
        let now = self.node.now();
        let in_time = pending.iter().filter(|pending| !pending.is_late);
        let late_at = in_time.map(|pending| pending.late_at).max();
        let wait = late_at.map_or(interval, |late_at| late_at.saturating_sub(now));
        let not_silent = pending.iter().filter(|pending| !pending.is_silent);
        let silent_at = not_silent.map(|pending| pending.sent_at + SILENCE_TIME);
        let silent_at = silent_at.min().unwrap_or(now + wait);
        let wait = wait.min(silent_at.saturating_sub(now));
        let wait = match self.node.links.is_suspected(now) {
            true => wait.min(SUSPICION_INTERVAL),
            false => wait,
        };
        wait.min(self.remaining())
    }

    /// Waits for the first response to the requests that were sent before; `None` if none comes within `max_wait`.
    pub async fn receive_any(
        &mut self,
        pending: &mut Vec<Pending>,
        max_wait: Duration,
    ) -> Option<Outcome> {
        let responses = pending.iter_mut().map(|pending| &mut pending.response);
        let (response, index, _) = timeout(max_wait, select_all(responses)).await.ok()?;
        let answered = pending.swap_remove(index);
        Some(self.settle(answered, response).await)
    }

    /// Evaluates the response to a request that was sent.
    pub async fn settle(
        &mut self,
        pending: Pending,
        response: Result<Response<Incoming>, Error>,
    ) -> Outcome {
        self.runs -= 1;
        let choice = pending.choice;
        match response {
            Ok(response) => {
                self.node.links.answered(self.node.now());
                if self.admission.service.has_cold_limit() {
                    let elapsed = self.node.now().saturating_sub(pending.sent_at);
                    starts::responded(&self.node, &choice.endpoint, &pending.connection, elapsed);
                }
                let (parts, body) = response.into_parts();
                let head = (self.node.codec.head)(&parts);
                statement::observe(&self.node, &choice.endpoint, &head);
                let is_start = self.version.is_none() && !self.takes_up_stream();
                let progress = choice
                    .expected
                    .map(|_| Progress::open(&choice.candidate, is_start, pending.sent_at));
                let exchange = Exchange {
                    endpoint: choice.endpoint.clone(),
                    connection: pending.connection,
                    flight: pending.flight,
                    head,
                    parts,
                    body,
                    answered_at: self.node.now(),
                    progress,
                    expected: choice.expected,
                };
                let reply = Reply {
                    sent_at: pending.sent_at,
                    is_reused: pending.is_reused,
                };
                let outcome = self.classify(&choice, exchange, &reply).await;
                if let (Outcome::Answered(_), Some(ticket)) = (&outcome, pending.ticket) {
                    ticket.answered();
                }
                outcome
            }
            Err(Error::Unsent) => {
                self.delivered -= 1;
                let id = &choice.endpoint.entry.id;
                self.tried.retain(|tried| tried != id);
                self.count_unsent(&choice);
                Outcome::Unsent
            }
            Err(error) => {
                let tracker = &choice.endpoint.tracker;
                tracker.lock().health.failed(self.node.now());
                pace::failed(&self.node, &choice.endpoint, Failure::Broken);
                let id = &choice.endpoint.entry.id;
                self.node.links.failed(id, self.node.now());
                self.count_run(&choice);
                let content = self.content();
                let parts = journal::hex(&self.call.shared_parts());
                let detail = format!("content={content:x} parts={parts} {error}");
                self.log("broken", &choice, &detail);
                self.lost(&choice.endpoint, false).await;
                Outcome::Broken
            }
        }
    }

    fn record_late(&self, pending: &Pending, now: Duration) {
        let tracker = &pending.choice.endpoint.tracker;
        tracker.lock().health.silent(now);
        pace::failed(&self.node, &pending.choice.endpoint, Failure::Broken);
        self.node.meter.late_heads.inc();
        let waited = now.saturating_sub(pending.sent_at);
        let detail = format!("waited_ms={}", waited.as_millis());
        self.log("silent", &pending.choice, &detail);
    }

    /// Takes an idle connection to an endpoint or opens one; `None` if the endpoint is unreachable.
    async fn connect(&mut self, choice: &Choice) -> Option<Connection> {
        let node = &self.node;
        let entry = &choice.endpoint.entry;
        if let Some(connection) = node.pool.take(&entry.id) {
            return Some(connection);
        }
        node.meter.connects.inc();
        let connect_timeout = CONNECT_TIMEOUT.min(self.remaining());
        match starts::connect(node, &choice.endpoint, connect_timeout).await {
            Ok(connection) => Some(connection),
            Err(error) => {
                let now = node.now();
                node.links.failed(&entry.id, now);
                // Kept connections to the endpoint may still work.
                if !node.links.is_lost() {
                    choice.endpoint.tracker.lock().health.unreachable(now);
                    pace::failed(node, &choice.endpoint, Failure::Unreachable);
                }
                self.log("unreachable", choice, &error.to_string());
                self.tried.push(entry.id.clone());
                None
            }
        }
    }

    fn dispatch(&self, choice: &Choice, resume_after: Option<u64>) -> Dispatch {
        let workspace = self.admission.workspace.as_ref();
        Dispatch {
            endpoint: choice.endpoint.entry.id.clone(),
            address: choice.endpoint.entry.address,
            workspace: workspace.map(|workspace| workspace.name.clone()),
            left: self.remaining(),
            priority: self.admission.priority,
            resume_after,
        }
    }

    /// Counts a send that may have run, and excludes the endpoint from further attempts.
    fn count_run(&mut self, choice: &Choice) {
        self.runs += 1;
        self.tried.push(choice.endpoint.entry.id.clone());
    }

    /// Classifies the head of a response.
    async fn classify(
        &mut self,
        choice: &Choice,
        mut exchange: Exchange,
        reply: &Reply,
    ) -> Outcome {
        let node = self.node.clone();
        let now = node.now();
        let tracker = &choice.endpoint.tracker;
        let (head, status) = (&exchange.head, exchange.parts.status);
        // Endpoints that reject a call may omit its identifier. On a connection that was used before, such a response may be
        // a copy of an earlier one, while this call runs.
        let unnamed = !reply.is_reused && head.id.is_none() && head.not_run && !status.is_success();
        if head.id.as_ref() != Some(&self.call.id) && !unnamed {
            // The response belongs to another call, or it cannot be verified to which.
            tracker.lock().health.failed(now);
            self.count_run(choice);
            let detail = format!(
                "status={} id={} reused={}",
                status.as_u16(),
                head.id.as_deref().unwrap_or("-"),
                reply.is_reused
            );
            self.log("foreign_answer", choice, &detail);
            return Outcome::Broken;
        }
        if head.not_run {
            self.note_rejection(choice, head, &exchange.parts);
            self.rejected.push(choice.endpoint.entry.id.clone());
            reuse_after_rejection(&node, exchange).await;
            return Outcome::Rejected;
        }
        if status.is_success() && !head.signed {
            tracker.lock().health.failed(now);
            self.count_run(choice);
            self.log("unsigned_answer", choice, "-");
            return Outcome::Broken;
        }
        self.runs += 1;
        self.phase = Phase::Reading;
        self.answered_by = Some(choice.endpoint.entry.id.clone());
        exchange.flight.first_byte_received();
        let mut state = tracker.lock();
        match status.is_server_error() {
            true => state.health.failed(now),
            false => state
                .health
                .answered(now.saturating_sub(reply.sent_at), now),
        }
        drop(state);
        Outcome::Answered(Box::new(exchange))
    }

    /// Timeout of the response head of a request that was just sent; shorter if it can be retried elsewhere.
    fn head_timeout(&self, choice: &Choice) -> Duration {
        let route = &self.admission.route;
        match route.kind.is_repeatable() && self.runs < route.attempts {
            // Another endpoint can still respond within the objective.
            true if choice.is_trial => (route.objective / 2).min(self.patience()),
            true => self.patience(),
            false => self.remaining(),
        }
    }

    /// Time to wait for the head of a response while there are other endpoints to turn to.
    fn patience(&self) -> Duration {
        let patience = self.admission.route.objective * 5 / 2;
        patience.max(MIN_HEAD_TIMEOUT).min(self.remaining())
    }

    fn note_rejection(&self, choice: &Choice, head: &Head, parts: &http::response::Parts) {
        let now = self.node.now();
        let entry = &choice.endpoint.entry;
        let mut is_full = false;
        let mut state = choice.endpoint.tracker.lock();
        if parts.status != StatusCode::MISDIRECTED_REQUEST {
            state.health.refused(FULL_PAUSE, now);
            is_full = true;
        } else if head.endpoint.as_ref().is_some_and(|id| *id != entry.id) {
            state.health.refused(MISDIRECTED_PAUSE, now);
        } else if let Some(generation) = &self.call.generation {
            match &generation.adapter {
                Some(adapter) => {
                    if let Some(adapters) = state.models.get_mut(&generation.model) {
                        adapters.retain(|name| name != adapter);
                    }
                }
                None => {
                    let model = generation.model.clone();
                    state.missing_models.insert(model, now + MISSING_MODEL_TTL);
                }
            }
        }
        drop(state);
        if is_full {
            pace::failed(&self.node, &choice.endpoint, Failure::Rejected);
            room::rejection::rejected(&self.node, &choice.endpoint);
        }
        let quiet = head.quiet.unwrap_or_default().as_millis();
        let (status, is_named) = (parts.status.as_u16(), head.id.is_some());
        let detail = format!("status={status} quiet_ms={quiet} named={is_named}");
        self.log("turned_away", choice, &detail);
    }

    /// Logs a response if the request is sampled.
    pub fn log_answered(&self, status: StatusCode, elapsed: Duration) {
        if !journal::is_sampled(&self.call.id) {
            return;
        }
        self.node.journal.line(|| {
            spdlog::info!("relay: answered", kv: {
                request: = self.call.id,
                route: = self.admission.route.name,
                endpoint: = self.answered_by.as_deref().unwrap_or("-"),
                status = status.as_u16(),
                first_ms = elapsed.as_millis() as u64,
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
                route: = self.admission.route.name,
                endpoint: = entry.id,
                zone: = entry.zone,
                flights = choice.candidate.in_flight,
                compared = choice.compared,
                runs = self.runs,
                left_ms = self.remaining().as_millis() as u64,
                detail = detail,
            });
        });
    }
}

/// Reads the rest of a rejection, which is short, so that the connection can be reused; not after a rejection without an
/// identifier, as a second copy could not be told from the response to the next request.
async fn reuse_after_rejection(node: &Node, mut exchange: Exchange) {
    if exchange.head.id.is_none() {
        return;
    }
    let body = &mut exchange.body;
    let read = async {
        while let Some(frame) = body.frame().await {
            if frame.is_err() {
                return false;
            }
        }
        true
    };
    if timeout(MIN_REMAINING, read).await.unwrap_or(false) {
        exchange.release(node);
    }
}
