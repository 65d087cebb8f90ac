//! The operator API: health, metrics, records and status.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use hyper_util::server::conn::auto;
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::net::TcpListener;
use viz::{IntoResponse, Method, Request, Response, Router, Server, StatusCode};

use super::caller::{bearer, json_response};
use super::listen::{self, Counting};
use super::{Node, change, status};
use crate::coordination::revision::Change;
use crate::protocol::operator::{Failure, Records};
use crate::state::document::Document;
use crate::state::schema::KINDS;
use crate::transport::body::{self, read_kept};

const MAX_BODY_BYTES: usize = 16 << 20;
/// Maximum size of a header section, as for callers.
const MAX_HEADER_BYTES: usize = 64 << 10;
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves the operator API until the daemon stops.
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
        .header_read_timeout(HEADER_TIMEOUT);
    if node.account.is_bounded() {
        builder.http1().max_buf_size(MAX_HEADER_BYTES);
    }
    let stopped = node.stopped.clone();
    let listener = Counting::open(listener, &node.account);
    let server = Server::with_builder(listener, router, builder)
        .signal(async move { stopped.cancelled().await });
    if let Err(error) = server.await {
        spdlog::error!("operator: listener failed: {error}");
    }
}

async fn respond(node: &Arc<Node>, request: Request) -> Response {
    let path = request.uri().path().to_owned();
    let mut response = match path.as_str() {
        "/healthz" => "ok".into_response(),
        "/readyz" => readiness(node),
        "/metrics" => metrics(node),
        _ if !authorized(node, &request) => {
            let message = "the operator token is missing or wrong";
            failure(StatusCode::UNAUTHORIZED, "unauthorized", message)
        }
        _ => route(node, &path, request).await,
    };
    if node.leaving.is_cancelled() {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn route(node: &Arc<Node>, path: &str, request: Request) -> Response {
    let method = request.method().clone();
    match (&method, path) {
        (&Method::POST, "/v1/changes") => submit(node, request).await,
        (&Method::GET, "/v1/records") => records(node, None),
        (&Method::GET, "/v1/status") => json_response(StatusCode::OK, &status::fleet(node).await),
        (&Method::POST, "/v1/drain") => {
            spdlog::info!("operator: drain requested");
            node.drain();
            json_response(StatusCode::ACCEPTED, &json!({"leaving": true}))
        }
        (&Method::GET, _) => read(node, path).await,
        _ => not_found(path),
    }
}

async fn read(node: &Arc<Node>, path: &str) -> Response {
    if let Some(subject) = path.strip_prefix("/v1/explain/") {
        return json_response(StatusCode::OK, &status::explain(node, subject).await);
    }
    match path.strip_prefix("/v1/records/") {
        Some(kind) if KINDS.contains(&kind) => records(node, Some(kind)),
        Some(record) => match node.config.load().documents.get(record) {
            Some(document) => json_response(StatusCode::OK, &document.fields()),
            None => not_found(record),
        },
        None => not_found(path),
    }
}

fn records(node: &Node, kind: Option<&str>) -> Response {
    let config = node.config.load();
    let wanted = config.documents.values().filter(|document| {
        let document_kind = document.path.split('/').next();
        kind.is_none() || kind == document_kind
    });
    let records = Records {
        revision: config.revision,
        records: wanted.map(Document::fields).collect(),
    };
    json_response(StatusCode::OK, &records)
}

async fn submit(node: &Arc<Node>, request: Request) -> Response {
    let _in_flight = node.requests.token();
    let body = match read_body(node, request).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let change: Change = match serde_json::from_slice(&body) {
        Ok(change) => change,
        Err(error) => {
            let message = format!("body is not a change: {error}");
            return failure(StatusCode::BAD_REQUEST, "invalid_body", &message);
        }
    };
    match change::submit(node, &change).await {
        Ok(accepted) => json_response(StatusCode::OK, &accepted),
        Err(error) => refusal(error),
    }
}

fn refusal(error: change::Error) -> Response {
    let message = error.to_string();
    let (status, code) = match &error {
        change::Error::Mistakes(_) => (StatusCode::UNPROCESSABLE_ENTITY, "invalid_records"),
        change::Error::Conflict(_) => (StatusCode::CONFLICT, "conflict"),
        change::Error::Reused => (StatusCode::CONFLICT, "change_id_reused"),
        change::Error::Unavailable(_) => (StatusCode::SERVICE_UNAVAILABLE, "table_unavailable"),
        change::Error::Unknown => (StatusCode::GATEWAY_TIMEOUT, "outcome_unknown"),
    };
    let mut failure = Failure {
        code: code.into(),
        message,
        ..Failure::default()
    };
    match error {
        change::Error::Mistakes(mistakes) => failure.mistakes = mistakes,
        change::Error::Conflict(differences) => failure.differences = differences,
        _ => {}
    }
    json_response(status, &failure)
}

async fn read_body(node: &Node, request: Request) -> Result<Bytes, Response> {
    let body = Box::pin(request.into_body());
    let read = read_kept(body, MAX_BODY_BYTES, &node.account);
    match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(body::Error::NoMemory)) => {
            let message = "the bodies of other requests leave too little memory";
            Err(failure(
                StatusCode::SERVICE_UNAVAILABLE,
                "body_memory",
                message,
            ))
        }
        Ok(Err(error)) => {
            let message = format!("body of at most {MAX_BODY_BYTES} bytes expected: {error}");
            Err(failure(StatusCode::BAD_REQUEST, "broken_body", &message))
        }
        Err(_) => {
            let message = "the body did not arrive in time";
            Err(failure(StatusCode::REQUEST_TIMEOUT, "slow_body", message))
        }
    }
}

fn authorized(node: &Node, request: &Request) -> bool {
    let expected = &node.settings.operator_token;
    let given = bearer(request.headers()).unwrap_or_default();
    !expected.is_empty() && same_secret(given, expected)
}

/// Compares two secrets in constant time.
pub fn same_secret(given: &str, expected: &str) -> bool {
    let given = Sha256::digest(given.as_bytes());
    let expected = Sha256::digest(expected.as_bytes());
    let pairs = given.iter().zip(expected.iter());
    pairs.fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}

fn readiness(node: &Node) -> Response {
    if node.leaving.is_cancelled() {
        return (StatusCode::SERVICE_UNAVAILABLE, "leaving").into_response();
    }
    if node.config.load().revision == 0 {
        return (StatusCode::SERVICE_UNAVAILABLE, "no configuration").into_response();
    }
    "ready".into_response()
}

fn metrics(node: &Node) -> Response {
    let mut text = String::new();
    let encoded = prometheus_client::encoding::text::encode(&mut text, &node.metrics.lock());
    if encoded.is_err() {
        let message = "metrics could not be written";
        return failure(StatusCode::INTERNAL_SERVER_ERROR, "metrics", message);
    }
    let mut response = text.into_response();
    let kind = http::HeaderValue::from_static(OPENMETRICS);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn not_found(path: &str) -> Response {
    let message = format!("nothing at {path}");
    failure(StatusCode::NOT_FOUND, "not_found", &message)
}

fn failure(status: StatusCode, code: &str, message: &str) -> Response {
    let failure = Failure {
        code: code.into(),
        message: message.into(),
        ..Failure::default()
    };
    json_response(status, &failure)
}
