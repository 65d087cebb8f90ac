//! Calls of plain services: idempotent ones are retried, the others run at most once.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::FutureExt;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use http_body_util::Full;
use viz::Response;

use super::Node;
use super::caller::{Refusal, bearer};
use super::claim::{self, Handle, Opened};
use super::dispatch::{Permit, Requirements};
use super::limit::Reservation;
use super::relay::{acquire, rate_limit_refusal, reserve};
use crate::coordination::claim::{Answer, Header, Subject, fingerprint};
use crate::coordination::ramp::Outcome;
use crate::protocol::caller::{EXECUTION, NOT_RUN};
use crate::protocol::engine::REQUEST_ID;
use crate::state::record::{Route, Workspace};
use crate::transport::http::{Error, collect};

/// Request header with which a caller identifies a call that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Response header that marks the stored answer of an earlier call.
pub const REPLAYED: &str = "idempotent-replayed";

const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;
const MAX_ATTEMPTS: usize = 3;
const MAX_INLINE_BYTES: usize = 64 << 10;
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Request headers that are forwarded to endpoints; all others are dropped.
const FORWARDED_HEADERS: [HeaderName; 7] = [
    header::CONTENT_TYPE,
    header::ACCEPT,
    header::ACCEPT_LANGUAGE,
    header::USER_AGENT,
    header::IF_MATCH,
    header::IF_NONE_MATCH,
    HeaderName::from_static(IDEMPOTENCY_KEY),
];

/// Hop-by-hop response headers, which are not forwarded to callers.
const HOP_BY_HOP_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::TRAILER,
    header::UPGRADE,
    header::TE,
];

/// Query parameters that carry credentials.
const CREDENTIAL_PARAMETERS: [&str; 4] = ["key", "api_key", "access_token", "token"];

/// A call as sent to an endpoint, without the caller's credentials.
#[derive(Debug, Clone)]
struct Call {
    method: http::Method,
    target: String,
    headers: HeaderMap,
    body: Bytes,
    id: String,
}

/// Result of one exchange with an endpoint.
#[derive(Debug)]
enum Exchange {
    Answered(Answer, Bytes),
    NotSent,
    Unknown(Error),
}

/// Calls a plain service.
///
/// # Errors
/// Returns a [`Refusal`] if there is no response to forward.
pub async fn call(
    node: &Arc<Node>,
    workspace: Option<&Workspace>,
    route: &Route,
    requirements: Requirements,
    parts: Parts,
    body: Bytes,
) -> Result<Response, Refusal> {
    let call = Call {
        method: parts.method.clone(),
        target: target(&parts),
        headers: endpoint_headers(&parts.headers),
        body,
        id: requirements.id.clone(),
    };
    let key = idempotency_key(&parts.headers)?;
    let invocation = Invocation {
        node: node.clone(),
        workspace: workspace.cloned(),
        route: route.clone(),
        requirements,
        call,
        reservation: None,
    };
    if route.idempotent {
        return invocation.run_with_retries().await;
    }
    // The task outlives a caller that disconnects, so that the outcome is recorded.
    let task = node.requests.spawn(invocation.run_once(key));
    task.await.unwrap_or_else(|_| Err(outcome_unknown()))
}

#[derive(Debug)]
struct Invocation {
    node: Arc<Node>,
    workspace: Option<Workspace>,
    route: Route,
    requirements: Requirements,
    call: Call,
    reservation: Option<Reservation>,
}

impl Invocation {
    /// Runs an idempotent call on up to [`MAX_ATTEMPTS`] endpoints.
    async fn run_with_retries(mut self) -> Result<Response, Refusal> {
        self.reserve().await?;
        let mut answer = Err(endpoint_failed(true));
        let mut ran = false;
        for attempt in 0..MAX_ATTEMPTS {
            let permit = match acquire(&self.node, &self.requirements).await {
                Ok(permit) => permit,
                Err(refusal) if attempt == 0 => {
                    answer = Err(refusal);
                    break;
                }
                Err(_) => break,
            };
            if let Err(refusal) = self.spend_reservation().await {
                answer = Err(refusal);
                break;
            }
            match self.exchange(&permit).await {
                Exchange::Answered(head, body) => {
                    answer = Ok(build_response(&head, body));
                    ran = true;
                    break;
                }
                Exchange::NotSent => {}
                Exchange::Unknown(error) => {
                    ran = true;
                    spdlog::warn!("service: request={} attempt failed: {error}", self.call.id);
                    answer = Err(endpoint_failed(false));
                }
            }
            self.requirements
                .excluded
                .push(permit.endpoint.name.clone());
        }
        self.refund(ran);
        answer
    }

    /// Runs a call at most once.
    async fn run_once(mut self, key: Option<String>) -> Result<Response, Refusal> {
        self.reserve().await?;
        let outcome = self.run_claimed(key).await;
        let ran = match &outcome {
            Ok(response) => !response.headers().contains_key(REPLAYED),
            Err(refusal) => !refusal.not_run,
        };
        self.refund(ran);
        outcome
    }

    async fn run_claimed(&mut self, key: Option<String>) -> Result<Response, Refusal> {
        // The permit is acquired first, so that nothing waits between writing the claim and sending the call.
        let mut permit = acquire(&self.node, &self.requirements).await?;
        let handle = match key {
            Some(key) => match self.open_claim(&key).await {
                Opened::Held(handle) => Some(handle),
                other => return self.answer_duplicate(other).await,
            },
            None => None,
        };
        for _ in 0..MAX_ATTEMPTS {
            if let Err(refusal) = self.spend_reservation().await {
                if let Some(handle) = handle {
                    handle.abandon(&self.node);
                }
                return Err(refusal);
            }
            if handle.as_ref().is_some_and(|handle| !handle.send()) {
                return Err(outcome_unknown());
            }
            match self.exchange(&permit).await {
                Exchange::NotSent => {}
                Exchange::Answered(answer, body) => {
                    return Ok(self.record_answer(handle, answer, body).await);
                }
                Exchange::Unknown(error) => {
                    spdlog::warn!("service: request={} outcome unknown: {error}", self.call.id);
                    if let Some(handle) = handle {
                        handle.finish(&self.node, None);
                    }
                    return Err(outcome_unknown());
                }
            }
            if let Some(handle) = &handle {
                handle.not_sent();
            }
            self.requirements
                .excluded
                .push(permit.endpoint.name.clone());
            match acquire(&self.node, &self.requirements).await {
                Ok(next) => permit = next,
                Err(_) => break,
            }
        }
        if let Some(handle) = handle {
            handle.abandon(&self.node);
        }
        Err(endpoint_failed(true))
    }

    async fn open_claim(&self, key: &str) -> Opened {
        let subject = Subject {
            workspace: self.workspace.as_ref().map(|workspace| &*workspace.name),
            route: &self.route.name,
            key,
        };
        let method = self.call.method.as_str();
        let fingerprint = fingerprint(method, &self.call.target, &self.call.body);
        claim::open(&self.node, subject, &fingerprint).await
    }

    async fn record_answer(&self, handle: Option<Handle>, answer: Answer, body: Bytes) -> Response {
        let response = build_response(&answer, body.clone());
        let Some(handle) = handle else {
            return response;
        };
        let stored = self.store_body(&handle, answer, &body).await;
        handle.finish(&self.node, Some(stored));
        response
    }

    /// Stores the body in the answer, or in the object store if it is large.
    async fn store_body(&self, handle: &Handle, mut answer: Answer, body: &Bytes) -> Answer {
        let encoded = STANDARD.encode(body);
        if body.len() > MAX_INLINE_BYTES {
            let name = object_name(handle.nonce());
            let put = self.node.platform.put_object(&name, &encoded).await;
            answer.stored = put.is_ok();
        }
        if !answer.stored {
            answer.body = encoded.into();
        }
        answer
    }

    async fn answer_duplicate(&self, opened: Opened) -> Result<Response, Refusal> {
        match opened {
            Opened::Replay(answer, nonce) => self.replay(&answer, &nonce).await,
            Opened::InProgress => Err(conflict(
                "in_progress",
                "a call with this idempotency key is in progress",
            )),
            Opened::Mismatch => Err(Refusal::invalid(
                StatusCode::UNPROCESSABLE_ENTITY,
                "idempotency_key_reused",
                "the idempotency key was used for another request",
            )),
            Opened::Unavailable => Err(Refusal::unavailable(
                "store_unavailable",
                "the claim could not be written, nothing was sent",
                RETRY_AFTER,
            )),
            Opened::Held(_) | Opened::Unknown => Err(conflict(
                "outcome_unknown",
                "a call with this idempotency key was sent and its outcome is unknown",
            )),
        }
    }

    async fn replay(&self, answer: &Answer, nonce: &str) -> Result<Response, Refusal> {
        let encoded = if answer.stored {
            let object = self.node.platform.get_object(&object_name(nonce)).await;
            let text = object
                .ok()
                .and_then(|bytes| serde_json::from_slice(&bytes).ok());
            text.ok_or_else(|| {
                conflict("answer_unavailable", "the stored answer cannot be read now")
            })?
        } else {
            answer.body.to_string()
        };
        let body = STANDARD.decode(encoded).unwrap_or_default();
        let mut response = build_response(answer, body.into());
        let replayed = HeaderValue::from_static("true");
        response.headers_mut().insert(REPLAYED, replayed);
        Ok(response)
    }

    async fn exchange(&self, permit: &Permit) -> Exchange {
        let url = format!("http://{}{}", permit.endpoint.address, self.call.target);
        let mut request = http::Request::builder()
            .method(self.call.method.clone())
            .uri(url)
            .header(REQUEST_ID, &self.call.id);
        if let Some(headers) = request.headers_mut() {
            headers.extend(self.call.headers.clone());
        }
        let Ok(request) = request.body(Full::new(self.call.body.clone())) else {
            return Exchange::NotSent;
        };
        if permit.expired().now_or_never().is_some() {
            return Exchange::NotSent;
        }
        let limit = self.node.settings.request_timeout;
        let exchange = tokio::time::timeout(limit, self.send(request)).await;
        let exchange = match exchange.unwrap_or(Err(Error::Timeout)) {
            Ok((answer, body)) => Exchange::Answered(answer, body),
            Err(error) if error.not_sent() => Exchange::NotSent,
            Err(error) => Exchange::Unknown(error),
        };
        permit.report(reported_outcome(&exchange));
        exchange
    }

    async fn send(&self, request: http::Request<Full<Bytes>>) -> Result<(Answer, Bytes), Error> {
        let response = self.node.http.send(request).await?;
        let (head, body) = response.into_parts();
        let echoed = head.headers.get(REQUEST_ID);
        if echoed.is_some_and(|echoed| echoed != self.call.id.as_str()) {
            return Err(Error::Malformed(
                "the answer belongs to another request".into(),
            ));
        }
        let body = collect(body).await?;
        if states_not_run(&head) {
            return Err(Error::NotSent);
        }
        Ok((answer_head(&head), body))
    }

    async fn reserve(&mut self) -> Result<(), Refusal> {
        if let Some(workspace) = &self.workspace {
            self.reservation = Some(reserve(&self.node, workspace, &self.requirements).await?);
        }
        Ok(())
    }

    /// Spends the reserved tokens right before the call is sent.
    async fn spend_reservation(&mut self) -> Result<(), Refusal> {
        let (Some(workspace), Some(reservation)) = (&self.workspace, &mut self.reservation) else {
            return Ok(());
        };
        let deadline = self.requirements.deadline;
        let limiter = &self.node.limiter;
        let spent = limiter.commit(&self.node, workspace, reservation, deadline);
        spent.await.map_err(rate_limit_refusal)
    }

    fn refund(&mut self, ran: bool) {
        let used = if ran { self.requirements.tokens } else { 0 };
        if let Some(reservation) = self.reservation.take() {
            self.node.limiter.refund(reservation, used);
        }
    }
}

/// Returns the outcome of an exchange that is reported to the endpoint's home daemon.
fn reported_outcome(exchange: &Exchange) -> Outcome {
    match exchange {
        Exchange::Answered(answer, _) if answer.status == 503 => Outcome::Overloaded,
        Exchange::Answered(..) => Outcome::Answered(None),
        Exchange::NotSent => Outcome::Failed,
        Exchange::Unknown(Error::Broken(_)) => Outcome::Broken,
        Exchange::Unknown(_) => Outcome::Unused,
    }
}

/// Returns whether the endpoint itself states that it did not run the call.
fn states_not_run(head: &http::response::Parts) -> bool {
    let stated = head.headers.get(EXECUTION);
    head.status == StatusCode::SERVICE_UNAVAILABLE && stated.is_some_and(|value| value == NOT_RUN)
}

fn answer_head(head: &http::response::Parts) -> Answer {
    let headers = head
        .headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(name) && *name != REQUEST_ID)
        .filter_map(|(name, value)| {
            Some(Header {
                name: name.as_str().into(),
                value: value.to_str().ok()?.into(),
            })
        });
    Answer {
        status: head.status.as_u16(),
        headers: headers.collect(),
        body: "".into(),
        stored: false,
    }
}

fn build_response(answer: &Answer, body: Bytes) -> Response {
    let mut response = Response::new(viz::Body::from(Full::new(body)));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    for field in &answer.headers {
        let name = HeaderName::try_from(&*field.name);
        let value = HeaderValue::try_from(&*field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

fn object_name(nonce: &str) -> String {
    format!("claims/{nonce}")
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES => {
            Ok(Some(key.to_owned()))
        }
        _ => Err(Refusal::invalid(
            StatusCode::BAD_REQUEST,
            "invalid_idempotency_key",
            format!(
                "the idempotency key has to be 1 to {MAX_IDEMPOTENCY_KEY_BYTES} visible characters"
            ),
        )),
    }
}

fn conflict(code: &'static str, message: &str) -> Refusal {
    Refusal {
        status: StatusCode::CONFLICT,
        code,
        message: message.to_owned(),
        retry_after: Some(RETRY_AFTER),
        not_run: false,
    }
}

fn outcome_unknown() -> Refusal {
    Refusal {
        status: StatusCode::BAD_GATEWAY,
        code: "outcome_unknown",
        message: "the call was sent and its outcome is unknown".into(),
        retry_after: None,
        not_run: false,
    }
}

fn endpoint_failed(not_run: bool) -> Refusal {
    Refusal {
        status: StatusCode::SERVICE_UNAVAILABLE,
        code: "endpoint_failed",
        message: "no endpoint answered".into(),
        retry_after: Some(RETRY_AFTER),
        not_run,
    }
}

/// Returns the headers to forward to the endpoint, without any that contain the caller's key.
pub fn endpoint_headers(from: &HeaderMap) -> HeaderMap {
    let key = bearer(from).unwrap_or_default();
    let mut headers = HeaderMap::new();
    for name in FORWARDED_HEADERS {
        let Some(value) = from.get(&name) else {
            continue;
        };
        let text = String::from_utf8_lossy(value.as_bytes());
        if key.is_empty() || !text.contains(key) {
            headers.insert(name, value.clone());
        }
    }
    headers
}

/// Returns the path and query to send to the endpoint, without parameters that carry credentials.
pub fn target(parts: &Parts) -> String {
    let path = parts.uri.path();
    let Some(query) = parts.uri.query() else {
        return path.to_owned();
    };
    let key = bearer(&parts.headers).unwrap_or_default();
    let parameters: Vec<&str> = query
        .split('&')
        .filter(|pair| !carries_credential(pair, key))
        .collect();
    if parameters.is_empty() {
        return path.to_owned();
    }
    format!("{path}?{}", parameters.join("&"))
}

fn carries_credential(pair: &str, key: &str) -> bool {
    let name = pair.split('=').next().unwrap_or_default();
    let named = CREDENTIAL_PARAMETERS
        .iter()
        .any(|parameter| name.eq_ignore_ascii_case(parameter));
    named || (!key.is_empty() && pair.contains(key))
}
