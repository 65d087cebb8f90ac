//! HTTP/1 client that never retries a request on its own.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::{HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::exchange::{KEEPALIVE_INTERVAL, KEEPALIVE_PROBES, TCP_USER_TIMEOUT};
use super::partition::Partition;

/// Maximum size of a response body, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 << 20;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Error of a request.
#[derive(Debug, Display)]
pub enum Error {
    /// could not connect, nothing was sent
    NotSent,
    /// no answer within the timeout
    Timeout,
    /// the connection broke after the request may have been sent: {0}
    Broken(String),
    /// the answer belongs to another request
    Mismatch,
    /// answer has status {0}
    Status(StatusCode),
    /// answer is malformed: {0}
    Malformed(String),
    /// request is malformed: {0}
    Request(String),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns whether the server certainly received nothing.
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::NotSent | Self::Request(_))
    }
}

/// Client with a connection pool; clones share the pool.
#[derive(Debug, Clone)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
    partition: Partition,
}

impl Client {
    /// Creates a client with an empty pool.
    pub fn open(partition: Partition) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner, partition }
    }

    /// Sends a request once and returns the response with its body unread.
    ///
    /// # Errors
    /// [`Error::NotSent`] if no connection could be made, [`Error::Broken`] otherwise.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        if let Some(address) = target_address(&request) {
            self.partition.wait_until_reachable(address).await;
        }
        match self.inner.request(request).await {
            Ok(response) => Ok(response),
            Err(error) if error.is_connect() => Err(Error::NotSent),
            Err(error) => Err(Error::Broken(error.to_string())),
        }
    }

    /// Sends a request once, and rejects a response that echoes another value of a header than the request has.
    ///
    /// # Errors
    /// [`Error::Mismatch`] if the values differ; the connection is then not reused. Otherwise see [`Client::send`].
    pub async fn send_matched(
        &self,
        mut request: Request<Full<Bytes>>,
        header: &str,
    ) -> Result<Response<Incoming>, Error> {
        let sent = request.headers().get(header).cloned();
        let connection = capture_connection(&mut request);
        let response = self.send(request).await?;
        let echoed = response.headers().get(header);
        if echoed.is_some() && echoed != sent.as_ref() {
            if let Some(connection) = &*connection.connection_metadata() {
                connection.poison();
            }
            return Err(Error::Mismatch);
        }
        Ok(response)
    }

    /// Sends a value as JSON and parses the response as JSON, within a timeout.
    ///
    /// # Errors
    /// See [`Error`]; a status other than 2xx is [`Error::Status`].
    pub async fn json<B: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
        body: Option<&B>,
        timeout: Duration,
    ) -> Result<R, Error> {
        let bytes = self.bytes(method, url, body, timeout).await?;
        serde_json::from_slice(&bytes).map_err(|error| Error::Malformed(error.to_string()))
    }

    /// Sends a value as JSON and reads the response body, within a timeout.
    ///
    /// # Errors
    /// See [`Error`]; a status other than 2xx is [`Error::Status`].
    pub async fn bytes<B: Serialize>(
        &self,
        method: Method,
        url: &str,
        body: Option<&B>,
        timeout: Duration,
    ) -> Result<Bytes, Error> {
        let request = json_request(method, url, body)?;
        let exchange = async {
            let response = self.send(request).await?;
            let status = response.status();
            let bytes = collect(response.into_body()).await?;
            if !status.is_success() {
                return Err(Error::Status(status));
            }
            Ok(bytes)
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| Error::Timeout)?
    }
}

/// Reads a whole body of at most [`MAX_ANSWER_BYTES`].
///
/// # Errors
/// [`Error::Broken`] if the body ends early or is too large.
pub async fn collect(body: Incoming) -> Result<Bytes, Error> {
    let limited = Limited::new(body, MAX_ANSWER_BYTES);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(Error::Broken(error.to_string())),
    }
}

fn target_address(request: &Request<Full<Bytes>>) -> Option<SocketAddr> {
    request.uri().authority()?.as_str().parse().ok()
}

fn json_request<B: Serialize>(
    method: Method,
    url: &str,
    body: Option<&B>,
) -> Result<Request<Full<Bytes>>, Error> {
    let bytes = match body {
        Some(body) => {
            serde_json::to_vec(body).map_err(|error| Error::Request(error.to_string()))?
        }
        None => Vec::new(),
    };
    Request::builder()
        .method(method)
        .uri(url)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(bytes)))
        .map_err(|error| Error::Request(error.to_string()))
}
