//! Sends completion requests to engines and forwards their responses to callers.
//!
//! Completions are retryable: a request that fails before the caller received anything is retried on another endpoint,
//! and a broken stream resumes there after the tokens already delivered. Tokens for work that may run twice are
//! reserved twice.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::Value;
use tokio_util::task::task_tracker::TaskTrackerToken;
use viz::Response;

use super::Node;
use super::caller::{Refusal, stream_body};
use super::dispatch::{Permit, Requirements, Target};
use super::limit::{self, Reservation};
use super::{adapters, stream};
use crate::coordination::ramp::Outcome;
use crate::protocol::caller::prompt_tokens;
use crate::protocol::engine::{PRIORITY, REQUEST_ID, RESUME_FIELD};
use crate::state::record::Workspace;
use crate::transport::http::{Error, collect};

/// Header that names the workspace to endpoints.
pub const WORKSPACE: &str = "x-workspace";

/// Maximum number of attempts, including those that did not run.
const MAX_ATTEMPTS: u32 = 20;

/// Maximum number of attempts that may have run.
const MAX_RUNS: u32 = 5;

/// Tokens that an endpoint may have generated beyond the last delivered one.
const MAX_UNDELIVERED_TOKENS: u64 = 16;

/// Pause before a retry, multiplied by the number of attempts so far.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A completion request and the resources it holds until its response has been forwarded.
pub struct Completion {
    /// Shared state of the daemon.
    pub node: Arc<Node>,
    /// Requirements of the request.
    pub requirements: Requirements,
    workspace: Workspace,
    path: String,
    body: Bytes,
    stream: bool,
    reservations: Vec<(Reservation, u64)>,
    /// Tokens delivered to the caller.
    pub delivered_tokens: u64,
    spent_tokens: u64,
    pending_tokens: u64,
    possible_runs: u32,
    attempts: u32,
    adapter: Option<adapters::Guard>,
    /// When the latest attempt was sent, since the daemon's start.
    pub sent_at: Duration,
    _token: TaskTrackerToken,
}

/// Why an attempt produced no response.
#[derive(Debug)]
pub enum Failure {
    /// The daemon refused the request.
    Refused(Refusal),
    /// The endpoint did not run the request.
    NotRun(&'static str),
    /// The endpoint may have run the request.
    MayHaveRun(String),
}

/// Serves a completion request.
///
/// # Errors
/// Returns a [`Refusal`] if no response was started.
pub async fn complete(
    node: &Arc<Node>,
    workspace: &Workspace,
    requirements: Requirements,
    path: &str,
    body: Bytes,
    stream: bool,
) -> Result<Response, Refusal> {
    node.dispatcher.budget.lock().deposit();
    let reservation = reserve(node, workspace, &requirements).await?;
    let tokens = requirements.tokens;
    let mut completion = Completion {
        node: node.clone(),
        requirements,
        workspace: workspace.clone(),
        path: path.to_owned(),
        body,
        stream,
        reservations: vec![(reservation, tokens)],
        delivered_tokens: 0,
        spent_tokens: 0,
        pending_tokens: 0,
        possible_runs: 0,
        attempts: 0,
        adapter: None,
        sent_at: Duration::ZERO,
        _token: node.requests.token(),
    };
    loop {
        let failure = match completion.attempt().await {
            Ok((permit, head, answer)) if stream && head.status.is_success() => {
                let body = stream::spawn(completion, permit, answer);
                return Ok(build_response(&head, stream_body(body)));
            }
            Ok((permit, head, answer)) => {
                match completion.read_body(&permit, &head, answer).await {
                    Ok(bytes) => {
                        let body = viz::Body::from(Full::new(bytes));
                        return Ok(build_response(&head, body));
                    }
                    Err(failure) => failure,
                }
            }
            Err(failure) => failure,
        };
        completion.prepare_retry(failure).await?;
    }
}

impl Completion {
    /// Acquires a permit and sends the request, resuming from the first token not yet delivered.
    ///
    /// # Errors
    /// Returns [`Failure`]; later attempts avoid the endpoint.
    pub async fn attempt(&mut self) -> Result<(Permit, http::response::Parts, Incoming), Failure> {
        let permit = acquire(&self.node, &self.requirements)
            .await
            .map_err(Failure::Refused)?;
        self.attempts += 1;
        self.acquire_adapter(&permit).await?;
        self.spend_reservations().await?;
        let request = self.request(&permit)?;
        self.pending_tokens = if self.stream {
            self.prompt_tokens() + MAX_UNDELIVERED_TOKENS
        } else {
            self.requirements.tokens
        };
        self.sent_at = self.node.now();
        let wait = self.requirements.deadline.saturating_sub(self.sent_at);
        let exchange = self.node.http.send_matched(request, REQUEST_ID);
        let answer = tokio::select! {
            answer = tokio::time::timeout(wait, exchange) => answer.unwrap_or(Err(Error::Timeout)),
            () = permit.expired() => Err(Error::Timeout),
        };
        match answer {
            Ok(response) => {
                let (head, body) = response.into_parts();
                self.check_status(&permit, head.status)?;
                Ok((permit, head, body))
            }
            Err(error) => Err(self.record_failure(&permit, &error)),
        }
    }

    /// Ensures that the endpoint has the adapter that the request names.
    async fn acquire_adapter(&mut self, permit: &Permit) -> Result<(), Failure> {
        self.adapter = None;
        let Target::Model {
            adapter: Some(adapter),
            ..
        } = &self.requirements.target
        else {
            return Ok(());
        };
        match adapters::ensure_adapter(&self.node, &permit.endpoint, adapter).await {
            Ok(guard) => self.adapter = Some(guard),
            Err(_) => {
                self.requirements
                    .excluded
                    .push(permit.endpoint.name.clone());
                return Err(Failure::NotRun("the adapter cannot be loaded now"));
            }
        }
        Ok(())
    }

    /// Reads a complete response body.
    async fn read_body(
        &mut self,
        permit: &Permit,
        head: &http::response::Parts,
        body: Incoming,
    ) -> Result<Bytes, Failure> {
        let wait = self.node.settings.request_timeout;
        let read = tokio::select! {
            read = tokio::time::timeout(wait, collect(body)) => read.unwrap_or(Err(Error::Timeout)),
            () = permit.expired() => Err(Error::Timeout),
        };
        let bytes = read.map_err(|error| self.record_failure(permit, &error))?;
        if !head.status.is_success() {
            self.pending_tokens = 0;
            return Ok(bytes);
        }
        let Ok(value) = serde_json::from_slice::<Value>(&bytes) else {
            let error = Error::Malformed("the answer is not whole".into());
            return Err(self.record_failure(permit, &error));
        };
        let used = value["usage"]["completion_tokens"].as_u64();
        let max_generated = self
            .requirements
            .tokens
            .saturating_sub(self.prompt_tokens());
        self.delivered_tokens = used.unwrap_or(max_generated);
        self.finish();
        Ok(bytes)
    }

    /// Decides whether to retry after a failed attempt.
    ///
    /// # Errors
    /// Returns the [`Refusal`] that ends the request.
    pub async fn prepare_retry(&mut self, failure: Failure) -> Result<(), Refusal> {
        match failure {
            Failure::Refused(mut refusal) => {
                refusal.not_run &= self.possible_runs == 0;
                Err(refusal)
            }
            Failure::NotRun(message) if self.attempts >= MAX_ATTEMPTS => {
                Err(self.endpoint_failed(message))
            }
            Failure::NotRun(_) => {
                self.pending_tokens = 0;
                tokio::time::sleep(RETRY_PAUSE * self.attempts).await;
                Ok(())
            }
            Failure::MayHaveRun(error) => {
                let lost_tokens = self.charge_pending();
                self.possible_runs += 1;
                spdlog::warn!(
                    "relay: request={} attempt failed: {error}",
                    self.requirements.id
                );
                let allowed =
                    self.possible_runs < MAX_RUNS && self.node.dispatcher.budget.lock().take();
                if !allowed || self.reserve_more(lost_tokens).await.is_err() {
                    return Err(self.endpoint_failed(&error));
                }
                Ok(())
            }
        }
    }

    /// Spends the reserved tokens right before the request is sent.
    async fn spend_reservations(&mut self) -> Result<(), Failure> {
        let limiter = &self.node.limiter;
        for (reservation, _) in &mut self.reservations {
            let deadline = self.requirements.deadline;
            let spent = limiter.commit(&self.node, &self.workspace, reservation, deadline);
            spent
                .await
                .map_err(|refusal| Failure::Refused(rate_limit_refusal(refusal)))?;
        }
        Ok(())
    }

    async fn reserve_more(&mut self, tokens: u64) -> Result<(), Refusal> {
        let mut requirements = self.requirements.clone();
        requirements.tokens = tokens;
        let reservation = reserve(&self.node, &self.workspace, &requirements).await?;
        self.reservations.push((reservation, tokens));
        Ok(())
    }

    /// Charges the tokens that the current attempt may have used, and returns their number.
    pub fn charge_pending(&mut self) -> u64 {
        self.spent_tokens += self.pending_tokens;
        std::mem::take(&mut self.pending_tokens)
    }

    /// Records that the response is complete.
    pub fn finish(&mut self) {
        self.pending_tokens = 0;
        self.spent_tokens += self.prompt_tokens();
    }

    fn endpoint_failed(&self, message: &str) -> Refusal {
        Refusal {
            status: StatusCode::BAD_GATEWAY,
            code: "endpoint_failed",
            message: message.to_owned(),
            retry_after: Some(RETRY_AFTER),
            not_run: self.possible_runs == 0,
        }
    }

    fn prompt_tokens(&self) -> u64 {
        prompt_tokens(&self.requirements.prompt)
    }

    fn request(&self, permit: &Permit) -> Result<http::Request<Full<Bytes>>, Failure> {
        let url = format!("http://{}{}", permit.endpoint.address, self.path);
        let request = http::Request::post(url)
            .header(header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID, &self.requirements.id)
            .header(WORKSPACE, &*self.workspace.name)
            .header(PRIORITY, u16::from(self.requirements.class.number()));
        let built = request.body(Full::new(self.request_body()));
        built.map_err(|error| {
            let status = StatusCode::BAD_REQUEST;
            Failure::Refused(Refusal::invalid(
                status,
                "invalid_request",
                error.to_string(),
            ))
        })
    }

    fn request_body(&self) -> Bytes {
        if self.delivered_tokens == 0 {
            return self.body.clone();
        }
        let Ok(mut value) = serde_json::from_slice::<Value>(&self.body) else {
            return self.body.clone();
        };
        value[RESUME_FIELD] = self.delivered_tokens.into();
        value.to_string().into()
    }

    fn check_status(&mut self, permit: &Permit, status: StatusCode) -> Result<(), Failure> {
        let overloaded = [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
        ];
        if overloaded.contains(&status) {
            permit.report(Outcome::Overloaded);
            self.exclude_endpoint(permit);
            return Err(Failure::NotRun("the endpoint is overloaded"));
        }
        if status == StatusCode::NOT_FOUND {
            permit.report(Outcome::Unused);
            self.exclude_endpoint(permit);
            return Err(Failure::NotRun("the endpoint lacks the model"));
        }
        if status.is_server_error() {
            permit.report(Outcome::Broken);
            self.exclude_endpoint(permit);
            return Err(Failure::MayHaveRun(format!("status {status}")));
        }
        permit.report(Outcome::Answered(None));
        Ok(())
    }

    /// Reports a failed exchange to the endpoint's home daemon and classifies it.
    pub fn record_failure(&mut self, permit: &Permit, error: &Error) -> Failure {
        permit.report(match error {
            Error::NotSent => Outcome::Failed,
            Error::Broken(_) => Outcome::Broken,
            _ => Outcome::Unused,
        });
        self.exclude_endpoint(permit);
        if error.not_sent() {
            return Failure::NotRun("the endpoint cannot be reached");
        }
        Failure::MayHaveRun(error.to_string())
    }

    fn exclude_endpoint(&mut self, permit: &Permit) {
        self.requirements
            .excluded
            .push(permit.endpoint.name.clone());
    }
}

impl Drop for Completion {
    fn drop(&mut self) {
        let mut used = self.spent_tokens + self.pending_tokens + self.delivered_tokens;
        for (reservation, tokens) in self.reservations.drain(..) {
            let share = used.min(tokens);
            used -= share;
            self.node.limiter.refund(reservation, share);
        }
    }
}

fn build_response(head: &http::response::Parts, body: viz::Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    if let Some(kind) = head.headers.get(header::CONTENT_TYPE) {
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, kind.clone());
    }
    response
}

/// Reserves the tokens of a request.
///
/// # Errors
/// Returns a [`Refusal`] with status 429.
pub async fn reserve(
    node: &Node,
    workspace: &Workspace,
    requirements: &Requirements,
) -> Result<Reservation, Refusal> {
    node.limiter
        .reserve(node, workspace, requirements.tokens, requirements.deadline)
        .await
        .map_err(rate_limit_refusal)
}

/// Builds the refusal of a request that exceeds its workspace's rate.
pub fn rate_limit_refusal(refusal: limit::Refusal) -> Refusal {
    if refusal.too_large {
        let message = "the request may use more tokens than the workspace's burst";
        let status = StatusCode::TOO_MANY_REQUESTS;
        return Refusal::invalid(status, "larger_than_burst", message);
    }
    Refusal {
        status: StatusCode::TOO_MANY_REQUESTS,
        code: "rate_limit_exceeded",
        message: "the workspace is over its rate".into(),
        retry_after: Some(refusal.retry_after),
        not_run: true,
    }
}

/// Waits for a permit.
///
/// # Errors
/// Returns a [`Refusal`] with status 503, or 401 if the key was withdrawn meanwhile.
pub async fn acquire(node: &Node, requirements: &Requirements) -> Result<Permit, Refusal> {
    let acquired = node.dispatcher.acquire(node, requirements).await;
    acquired.map_err(|refusal| {
        if refusal.reason == "invalid_api_key" {
            let message = "the key was withdrawn";
            return Refusal::invalid(StatusCode::UNAUTHORIZED, refusal.reason, message);
        }
        Refusal::unavailable(refusal.reason, "no endpoint is free", refusal.retry_after)
    })
}
