//! Client of the operator API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::coordination::revision::Change;
use crate::protocol::operator::{Accepted, Explanation, Failure, Fleet, Records};
use crate::state::schema::Fields;
use crate::transport::http as transport;
use crate::transport::partition::Partition;

const TIMEOUT: Duration = Duration::from_secs(30);
const SUBMIT_ATTEMPTS: u32 = 4;
const SUBMIT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Error of a call to the operator API.
#[derive(Debug, Display)]
pub enum Error {
    /// request to the daemon failed: {0}
    Transport(transport::Error),
    /// {failure}
    Refused {
        status: StatusCode,
        failure: Box<Failure>,
    },
    /// malformed response from the daemon: {0}
    Malformed(String),
}

impl std::error::Error for Error {}

impl From<transport::Error> for Error {
    fn from(error: transport::Error) -> Self {
        Self::Transport(error)
    }
}

impl Error {
    /// Returns whether the change may have been applied despite the error.
    pub fn in_doubt(&self) -> bool {
        match self {
            Self::Transport(error) => !error.not_sent(),
            Self::Refused { status, .. } => *status == StatusCode::GATEWAY_TIMEOUT,
            Self::Malformed(_) => true,
        }
    }
}

/// Client of one daemon's operator API.
#[derive(Debug, Clone)]
pub struct Client {
    http: transport::Client,
    address: SocketAddr,
    token: String,
}

impl Client {
    /// Creates a client for the operator listener at `address`; connects on first use.
    pub fn open(address: SocketAddr, token: &str) -> Self {
        Self {
            http: transport::Client::open(Partition::default()),
            address,
            token: token.to_owned(),
        }
    }

    /// Submits a change, and retries it under the same id while the outcome is unknown.
    ///
    /// # Errors
    /// [`Error`]; [`Error::in_doubt`] says whether the change may have been applied.
    pub async fn submit(&self, change: &Change) -> Result<Accepted, Error> {
        let mut attempt = 1;
        loop {
            match self.call(Method::POST, "/v1/changes", Some(change)).await {
                Err(error) if error.in_doubt() && attempt < SUBMIT_ATTEMPTS => {
                    attempt += 1;
                    tokio::time::sleep(SUBMIT_RETRY_DELAY).await;
                }
                answer => return answer,
            }
        }
    }

    /// Fetches all records, or those of one kind.
    ///
    /// # Errors
    /// [`Error`].
    pub async fn list(&self, kind: Option<&str>) -> Result<Records, Error> {
        let path = kind.map_or("/v1/records".into(), |kind| format!("/v1/records/{kind}"));
        self.get(&path).await
    }

    /// Fetches one record.
    ///
    /// # Errors
    /// [`Error`].
    pub async fn record(&self, kind: &str, name: &str) -> Result<Fields, Error> {
        self.get(&format!("/v1/records/{kind}/{name}")).await
    }

    /// Fetches the revision that each zone and daemon has in force.
    ///
    /// # Errors
    /// [`Error`].
    pub async fn status(&self) -> Result<Fleet, Error> {
        self.get("/v1/status").await
    }

    /// Fetches the routing decisions that the daemons recorded for a request.
    ///
    /// # Errors
    /// [`Error`].
    pub async fn explain(&self, request: &str) -> Result<Explanation, Error> {
        self.get(&format!("/v1/explain/{request}")).await
    }

    /// Starts a graceful shutdown of the daemon.
    ///
    /// # Errors
    /// [`Error`].
    pub async fn drain(&self) -> Result<Fields, Error> {
        self.call::<(), _>(Method::POST, "/v1/drain", None).await
    }

    async fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R, Error> {
        self.call::<(), R>(Method::GET, path, None).await
    }

    async fn call<B: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&B>,
    ) -> Result<R, Error> {
        let request = self.request(method, path, body)?;
        let exchange = async {
            let response = self.http.send(request).await?;
            let status = response.status();
            let bytes = transport::collect(response.into_body()).await?;
            Ok::<_, transport::Error>((status, bytes))
        };
        let (status, bytes) = tokio::time::timeout(TIMEOUT, exchange)
            .await
            .map_err(|_| transport::Error::Timeout)??;
        if status.is_success() {
            return serde_json::from_slice(&bytes).map_err(|e| Error::Malformed(e.to_string()));
        }
        let mut failure: Box<Failure> = serde_json::from_slice(&bytes).unwrap_or_default();
        if failure.message.is_empty() {
            failure.message = format!("the daemon responded with status {status}");
        }
        Err(Error::Refused { status, failure })
    }

    fn request<B: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: Option<&B>,
    ) -> Result<Request<Full<Bytes>>, transport::Error> {
        let malformed = |error: String| transport::Error::Request(error);
        let bytes = match body {
            Some(body) => serde_json::to_vec(body).map_err(|e| malformed(e.to_string()))?,
            None => Vec::new(),
        };
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(bytes.into()))
            .map_err(|error| malformed(error.to_string()))
    }
}
