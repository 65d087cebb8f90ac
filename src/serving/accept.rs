//! Listeners for callers, the platform's readiness checks and metrics.

use std::convert::Infallible;
use std::error::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::Node;
use super::admit::{self, Hop, Refusal};
use super::forward;
use super::relay::{self, Body};
use crate::transport::account::{Client, Counted, Running};
use crate::transport::{body, exchange};

/// Timeout of an idle connection; callers close idle connections sooner.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout of reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a caller may repeat a request whose body did not fit the memory that others left.
const MEMORY_PAUSE: Duration = Duration::from_secs(1);

/// Pause after a failed accept, such as for lack of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Largest request body without a configuration, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;

/// Largest header section without a configuration, in bytes.
const DEFAULT_HEADER_BYTES: usize = 16 << 10;

/// Minimum size of a connection's buffers, in bytes; hyper takes no less than half of it.
const MIN_BUFFER_BYTES: usize = 16 << 10;

/// Maximum size of a connection's buffers, in bytes.
const MAX_BUFFER_BYTES: usize = 400 << 10;

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Requests of callers.
    Callers,
    /// Readiness checks.
    Ready,
    /// Metrics.
    Metrics,
    /// Requests that other daemons hand over.
    Daemons,
}

/// Accepts connections until `shutdown` is cancelled. Open connections are shut down gracefully when the daemon closes.
pub async fn serve(
    node: Arc<Node>,
    listener: TcpListener,
    role: Role,
    shutdown: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.cancelled() => return,
        };
        match accepted {
            Ok((stream, peer)) => match node.account.connect() {
                Some(client) => {
                    let handled = handle_connection(node.clone(), stream, client, peer, role);
                    node.connections.spawn(handled);
                }
                None => drop(stream),
            },
            Err(error) => {
                node.journal.line(
                    || spdlog::info!("accept: could not accept a connection", kv: { role:? = role, error: = error }),
                );
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn handle_connection(
    node: Arc<Node>,
    stream: TcpStream,
    client: Arc<Client>,
    peer: SocketAddr,
    role: Role,
) {
    if let Err(error) = exchange::set_socket_options(&stream) {
        node.journal.line(
            || spdlog::info!("accept: connection already closed", kv: { peer: = peer, error: = error }),
        );
        return;
    }
    let handler_node = node.clone();
    let handler_client = client.clone();
    let service = service_fn(move |request| {
        let (node, client) = (handler_node.clone(), handler_client.clone());
        async move {
            let running = Running::begin(client);
            let response = respond(&node, request, role).await;
            Ok::<_, Infallible>(response.map(|body| running.until_sent(body).boxed_unsync()))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT);
    if node.account.is_bounded() {
        builder.max_buf_size(buffer_bytes(&node));
    }
    let stream = TokioIo::new(Counted::new(stream, client.clone()));
    let mut connection = pin!(builder.serve_connection(stream, service));
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = client.item.ended() => return,
        () = node.closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        node.meter.failed_connections.inc();
        // A caller that disconnects is not an error, and broken streams are logged with their requests.
        if !is_disconnect(&error) && !error.is_user() {
            node.journal.line(
                || spdlog::info!("accept: connection failed", kv: { peer: = peer, role:? = role, error:? = error }),
            );
        }
    }
}

/// Size of a connection's buffers: twice the largest header section, since a request line and a part of a body come with it.
fn buffer_bytes(node: &Node) -> usize {
    let catalog = node.fleet.catalog.load();
    let header_bytes = catalog
        .as_ref()
        .map_or(DEFAULT_HEADER_BYTES, |it| it.bounds.header_bytes);
    header_bytes
        .saturating_mul(2)
        .clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES)
}

/// Whether a connection failed because its peer closed or reset it.
fn is_disconnect(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|cause| cause.downcast_ref());
    let is_reset = cause.is_some_and(|cause: &std::io::Error| {
        matches!(
            cause.kind(),
            ErrorKind::ConnectionReset | ErrorKind::BrokenPipe | ErrorKind::NotConnected
        )
    });
    is_reset || error.is_incomplete_message() || error.is_canceled() || error.is_closed()
}

async fn respond(node: &Arc<Node>, request: Request<Incoming>, role: Role) -> Response<Body> {
    match role {
        Role::Callers => handle(node, request).await,
        Role::Daemons => asked_to_close(node, forward::receive::handle(node, request).await),
        Role::Ready => match node.is_ready() {
            true => text_response(StatusCode::OK, String::new()),
            false => text_response(StatusCode::SERVICE_UNAVAILABLE, String::new()),
        },
        Role::Metrics => {
            let mut page = String::new();
            match prometheus_client::encoding::text::encode(&mut page, &node.metrics) {
                Ok(()) => text_response(StatusCode::OK, page),
                Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
            }
        }
    }
}

fn text_response(status: StatusCode, text: String) -> Response<Body> {
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

async fn handle(node: &Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let arrived = node.now();
    let response = match read_body(node, request).await {
        Ok((parts, body)) => dispatch(node, parts, body, arrived, None).await,
        Err(refusal) => {
            node.meter
                .count_outcome(refusal.reason, refusal.status.as_u16());
            relay::refusal_response(&refusal)
        }
    };
    asked_to_close(node, response)
}

/// Asks the client to close its connection after a response if the daemon is shutting down.
fn asked_to_close(node: &Node, mut response: Response<Body>) -> Response<Body> {
    if node.leaving.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Reads the body of a request.
///
/// # Errors
/// A [`Refusal`] if it is too large, too slow or breaks off, or if other requests' bodies leave too little memory.
pub async fn read_body(
    node: &Node,
    request: Request<Incoming>,
) -> Result<(http::request::Parts, Bytes), Refusal> {
    let catalog = node.fleet.catalog.load();
    let max_bytes = catalog
        .as_ref()
        .map_or(DEFAULT_MAX_BODY_BYTES, |c| c.bounds.body_bytes);
    let (parts, body) = request.into_parts();
    let read = body::read_kept(body, max_bytes, &node.account);
    let refusal = match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => return Ok((parts, body)),
        Ok(Err(body::Error::TooLarge)) => {
            Refusal::invalid(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large")
        }
        Ok(Err(body::Error::NoMemory)) => Refusal::busy("body_memory", MEMORY_PAUSE),
        Ok(Err(body::Error::Broken)) => Refusal::invalid(StatusCode::BAD_REQUEST, "broken_body"),
        Err(_) => Refusal::invalid(StatusCode::REQUEST_TIMEOUT, "slow_body"),
    };
    node.journal.line(|| {
        let length = parts.headers.get(header::CONTENT_LENGTH);
        let length = length.and_then(|length| length.to_str().ok());
        spdlog::info!("accept: body refused", kv: {
            reason = refusal.reason,
            status = refusal.status.as_u16(),
            length: = length.unwrap_or("-"),
        });
    });
    Err(refusal)
}

/// Admits a request and answers it; `hop` is set if another daemon has handed it over.
pub async fn dispatch(
    node: &Arc<Node>,
    parts: http::request::Parts,
    body: Bytes,
    arrived: Duration,
    hop: Option<Hop>,
) -> Response<Body> {
    let call = match (node.codec.call)(parts, body) {
        Ok(call) => call,
        Err(malformed) => {
            node.journal
                .line(|| spdlog::info!("accept: malformed request", kv: { error: = malformed }));
            let refusal = Refusal::invalid(StatusCode::BAD_REQUEST, "malformed");
            node.meter
                .count_outcome(refusal.reason, refusal.status.as_u16());
            return relay::refusal_response(&refusal);
        }
    };
    match admit::admit(node, &call, arrived, hop).await {
        Ok(admission) => relay::answer(node, call, admission).await,
        Err(refusal) => relay::refuse(node, &call, &refusal),
    }
}
