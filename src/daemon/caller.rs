//! The caller API: authentication, model requests and routes to plain services.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http::{HeaderMap, Method, StatusCode, header};
use http_body_util::BodyDataStream;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use hyper_util::server::conn::auto;
use serde_json::json;
use tokio::net::TcpListener;
use viz::{Body, Request, Response, Router, Server};

use super::Node;
use super::dispatch::{Requirements, Target};
use super::listen::{self, Counting};
use super::{jobs, relay, service};
use crate::coordination::queue::Class;
use crate::protocol::caller::{Completion, Detail, EXECUTION, Failure, NOT_RUN};
use crate::protocol::engine::{PRIORITY, REQUEST_ID};
use crate::state::config::Config;
use crate::state::demand::InFlight;
use crate::state::record::{Key, Route, Workspace};
use crate::transport::body::{self, read_kept};

/// Path prefix of deferrable jobs; the job id follows.
const JOB_PATH_PREFIX: &str = "/v1/jobs/";

/// Maximum time for a header section.
pub const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const STALE_CONFIG_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Time after which a caller may repeat a request whose body did not fit the memory that others left.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_HEADERS: usize = 64;
const MAX_HEADER_BYTES: usize = 64 << 10;

/// Serves the caller API until the daemon stops.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let handler_node = node.clone();
    let handler = move |request: Request| {
        let node = handler_node.clone();
        async move {
            let running = listen::begin(&request);
            let response = respond(&node, request).await;
            Ok::<Response, viz::Error>(listen::until_sent(response, running))
        }
    };
    let router = Router::new().any("/", handler.clone()).any("/*", handler);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEADER_BYTES);
    let stopped = node.stopped.clone();
    let listener = Counting::open(listener, &node.account);
    let server = Server::with_builder(listener, router, builder)
        .signal(async move { stopped.cancelled().await });
    if let Err(error) = server.await {
        spdlog::error!("caller: listener failed: {error}");
    }
}

/// An error response to a caller.
#[derive(Debug)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Machine-readable code.
    pub code: &'static str,
    /// Human-readable message.
    pub message: String,
    /// Delay before the caller should retry.
    pub retry_after: Option<Duration>,
    /// Whether the request certainly did not run.
    pub not_run: bool,
}

impl Refusal {
    /// Refuses an invalid request, which did not run.
    pub fn invalid(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            retry_after: None,
            not_run: true,
        }
    }

    /// Refuses a request for lack of capacity, with status 503; it did not run.
    pub fn unavailable(code: &'static str, message: &str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            code,
            message: message.to_owned(),
            retry_after: Some(retry_after),
            not_run: true,
        }
    }

    fn into_response(self) -> Response {
        let class = if self.status.is_client_error() {
            "invalid_request_error"
        } else {
            "server_error"
        };
        let failure = Failure {
            error: Detail {
                message: self.message,
                class: class.into(),
                code: self.code.into(),
            },
        };
        let mut response = json_response(self.status, &failure);
        let headers = response.headers_mut();
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_millis().div_ceil(1000).max(1) as u64;
            headers.insert(header::RETRY_AFTER, seconds.into());
        }
        if self.not_run {
            headers.insert(EXECUTION, http::HeaderValue::from_static(NOT_RUN));
        }
        response
    }
}

async fn respond(node: &Arc<Node>, request: Request) -> Response {
    let id = uuid::Uuid::new_v4().to_string();
    let mut response = match handle(node, &id, request).await {
        Ok(response) => response,
        Err(refusal) => {
            spdlog::info!("caller: request={id} refused code={}", refusal.code);
            refusal.into_response()
        }
    };
    let headers = response.headers_mut();
    if let Ok(value) = http::HeaderValue::from_str(&id) {
        headers.insert(REQUEST_ID, value);
    }
    if node.leaving.is_cancelled() {
        headers.insert(header::CONNECTION, http::HeaderValue::from_static("close"));
    }
    response
}

async fn handle(node: &Arc<Node>, id: &str, request: Request) -> Result<Response, Refusal> {
    let _in_flight = node.requests.token();
    if node.closed.is_cancelled() {
        let message = "this instance is shutting down";
        return Err(Refusal::unavailable(
            "leaving",
            message,
            Duration::from_secs(1),
        ));
    }
    let config = node.config.load_full();
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            complete(node, id, &config, request).await
        }
        (&Method::POST, "/v1/jobs") => {
            let workspace = authenticate(node, &config, request.headers())?.clone();
            let headers = request.headers().clone();
            let body = read_body(node, request).await?;
            jobs::submit(node, &workspace, &headers, &body).await
        }
        (&Method::GET, path) if path.starts_with(JOB_PATH_PREFIX) => {
            let workspace = authenticate(node, &config, request.headers())?;
            jobs::show(node, workspace, &path[JOB_PATH_PREFIX.len()..]).await
        }
        (&Method::DELETE, path) if path.starts_with(JOB_PATH_PREFIX) => {
            let workspace = authenticate(node, &config, request.headers())?;
            jobs::cancel(node, workspace, &path[JOB_PATH_PREFIX.len()..]).await
        }
        (&Method::GET, "/v1/models") => {
            authenticate(node, &config, request.headers())?;
            Ok(list_models(&config))
        }
        _ => match config.route(&path) {
            Some(route) => call_service(node, id, &config, route, request).await,
            None => Err(Refusal::invalid(
                StatusCode::NOT_FOUND,
                "not_found",
                format!("no route for {path}"),
            )),
        },
    }
}

/// Returns the API key that a caller sent as a bearer token.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

fn authenticate<'a>(
    node: &Node,
    config: &'a Config,
    headers: &HeaderMap,
) -> Result<&'a Workspace, Refusal> {
    let workspace = bearer(headers)
        .and_then(|key| config.authenticate(key))
        .ok_or_else(|| {
            let message = "the key is missing, unknown or withdrawn";
            Refusal::invalid(StatusCode::UNAUTHORIZED, "invalid_api_key", message)
        })?;
    if !node.config_source.is_fresh_for(workspace, node.now()) {
        let message = "this instance's configuration is older than the workspace allows";
        return Err(Refusal::unavailable(
            "stale_configuration",
            message,
            STALE_CONFIG_RETRY_AFTER,
        ));
    }
    Ok(workspace)
}

fn key_digest(headers: &HeaderMap) -> Option<Arc<str>> {
    bearer(headers).map(|key| Key::digest_of(key).into())
}

fn list_models(config: &Config) -> Response {
    let names = config.models.keys().chain(config.adapters.keys());
    let data: Vec<_> = names
        .map(|name| json!({"id": name, "object": "model", "owned_by": "persimmoncroft"}))
        .collect();
    json_response(StatusCode::OK, &json!({"object": "list", "data": data}))
}

async fn complete(
    node: &Arc<Node>,
    id: &str,
    config: &Config,
    request: Request,
) -> Result<Response, Refusal> {
    let workspace = authenticate(node, config, request.headers())?.clone();
    let key = key_digest(request.headers());
    let priority = request.headers().get(PRIORITY).cloned();
    let path = request.uri().path().to_owned();
    let body = read_body(node, request).await?;
    let completion: Completion = serde_json::from_slice(&body).map_err(|error| {
        let message = format!("body is not a completion request: {error}");
        Refusal::invalid(StatusCode::BAD_REQUEST, "invalid_body", message)
    })?;
    let Some((model, adapter)) = config.resolve(&completion.model) else {
        let message = format!("no model or adapter is named \"{}\"", completion.model);
        return Err(Refusal::invalid(
            StatusCode::NOT_FOUND,
            "model_not_found",
            message,
        ));
    };
    let requirements = Requirements {
        id: id.to_owned(),
        workspace: Some(workspace.name.clone()),
        key,
        class: priority_class(priority.as_ref()),
        target: Target::Model {
            model: model.name.clone(),
            adapter: adapter.map(|adapter| adapter.name.clone()),
        },
        tokens: completion.most_tokens(),
        prompt: completion.prompt_text(),
        deadline: node.now() + node.settings.request_timeout,
        excluded: Vec::new(),
    };
    let in_flight = node
        .placement
        .demand
        .start(&model.name, requirements.tokens);
    let response = relay::complete(
        node,
        &workspace,
        requirements,
        &path,
        body,
        completion.stream,
    )
    .await?;
    Ok(track_in_flight(response, in_flight))
}

/// Parses the priority class that a caller requests by header.
fn priority_class(header: Option<&http::HeaderValue>) -> Class {
    match header.and_then(|value| value.to_str().ok()) {
        Some("interactive") => Class::Interactive,
        Some("deferrable") => Class::Deferrable,
        _ => Class::Normal,
    }
}

/// Counts a request as running until its response has been forwarded.
fn track_in_flight(response: Response, in_flight: InFlight) -> Response {
    response.map(|body| {
        let chunks = BodyDataStream::new(body).map(move |chunk| {
            let _running = &in_flight;
            chunk.map_err(std::io::Error::other)
        });
        stream_body(chunks)
    })
}

async fn call_service(
    node: &Arc<Node>,
    id: &str,
    config: &Config,
    route: &Route,
    request: Request,
) -> Result<Response, Refusal> {
    let workspace = if route.open {
        None
    } else {
        Some(authenticate(node, config, request.headers())?.clone())
    };
    let requirements = Requirements {
        id: id.to_owned(),
        workspace: workspace.as_ref().map(|workspace| workspace.name.clone()),
        key: workspace
            .as_ref()
            .and_then(|_| key_digest(request.headers())),
        class: Class::default(),
        target: Target::Service(route.service.clone()),
        tokens: route.cost_tokens,
        prompt: String::new(),
        deadline: node.now() + node.settings.request_timeout,
        excluded: Vec::new(),
    };
    let (parts, body) = request.into_parts();
    let body = read_body(node, Request::from_parts(parts.clone(), body)).await?;
    service::call(node, workspace.as_ref(), route, requirements, parts, body).await
}

async fn read_body(node: &Node, request: Request) -> Result<Bytes, Refusal> {
    let body = Box::pin(request.into_body());
    let read = read_kept(body, node.settings.max_body_bytes, &node.account);
    let Ok(read) = tokio::time::timeout(BODY_TIMEOUT, read).await else {
        let message = "the body did not arrive in time";
        return Err(Refusal::invalid(
            StatusCode::REQUEST_TIMEOUT,
            "slow_body",
            message,
        ));
    };
    match read {
        Ok(body) => Ok(body),
        Err(body::Error::NoMemory) => Err(Refusal::unavailable(
            "body_memory",
            "the bodies of other requests leave too little memory",
            MEMORY_RETRY_AFTER,
        )),
        Err(body::Error::TooLarge) => {
            let limit = node.settings.max_body_bytes;
            let message = format!("the body is larger than {limit} bytes");
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(Refusal::invalid(status, "body_too_large", message))
        }
        Err(body::Error::Broken) => {
            let message = "the body ended early";
            Err(Refusal::invalid(
                StatusCode::BAD_REQUEST,
                "broken_body",
                message,
            ))
        }
    }
}

/// Builds a JSON response.
pub fn json_response<T: serde::Serialize>(status: StatusCode, value: &T) -> Response {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::from(http_body_util::Full::new(Bytes::from(bytes))));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Builds a response body from a stream of chunks.
pub fn stream_body<S>(stream: S) -> Body
where
    S: futures::Stream<Item = Result<Bytes, std::io::Error>> + Send + 'static,
{
    Body::from_stream(stream)
}
