//! HTTP/1.1 client connections to endpoints and the platform. The user controls each connection: there are no
//! speculative connects and no implicit reuse, and errors state whether a request may have been written.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use super::body::{Memory, read_whole};
use super::metered::{Allowance, Metered};
use crate::state::record::Name;

/// Maximum time for which a peer may acknowledge nothing before the connection is closed (`TCP_USER_TIMEOUT`). It also
/// ends keepalive, whatever the number of probes: the first one due after this time is not sent. More than twice the
/// silence of a sound peer, as the time between retransmissions doubles.
pub(super) const TCP_USER_TIMEOUT: Duration = Duration::from_millis(3500);

/// Idle time before the first TCP keepalive probe, and interval between probes.
pub(super) const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which a connection is closed, where no other timeout decides.
pub(super) const KEEPALIVE_PROBES: u32 = 3;

/// Maximum size of the head of a response.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of bytes that may come before the head of a response is complete, those of informational responses included:
/// nothing else bounds how many of them a peer sends.
const MAX_BYTES_TO_HEAD: usize = 4 * MAX_HEAD_BYTES;

/// Margin before the peer's idle timeout within which a connection is no longer reused.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Idle time after which a connection is no longer reused if the peer states no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum idle time after which a connection is reused, whatever timeout the peer states.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3600);

/// Error of an HTTP exchange.
#[derive(Debug, Display)]
pub enum Error {
    /// connection failed: {0}
    Unreachable(std::io::Error),
    /// connection timed out
    ConnectTimeout,
    /// the request was not sent
    Unsent,
    /// the connection broke after the request may have been sent: {0}
    Broken(hyper::Error),
    /// the response has status {0}, which no final response has
    Status(StatusCode),
    /// no response within the timeout
    Timeout,
    /// the body ended early or is too large
    Body,
}

impl std::error::Error for Error {}

impl Error {
    /// Whether the peer refused the connection: no process listens there.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Unreachable(error) if error.kind() == ErrorKind::ConnectionRefused)
    }
}

/// Disables Nagle's algorithm and sets the timeouts that detect an unresponsive peer, for a connection or for those that
/// a listener accepts from then on.
///
/// # Errors
/// When a socket option cannot be set, for example because the socket is closed.
pub fn set_socket_options(socket: &impl AsFd) -> std::io::Result<()> {
    let socket = SockRef::from(socket);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

/// Binds a listener whose connections inherit the options of [`set_socket_options`].
///
/// # Errors
/// When the address cannot be bound.
pub async fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    if let Err(error) = set_socket_options(&listener) {
        spdlog::warn!("listener: cannot set socket options", kv: { address: = address, error: = error });
    }
    Ok(listener)
}

/// Whether a status is one of a final response (RFC 9110, section 15); the HTTP library takes any from 100 to 999, and 101
/// as the answer to a request that asked for no upgrade.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// One connection; dropping it aborts the exchange in progress.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    opened_at: Instant,
    /// Whether a request was sent.
    is_used: bool,
    /// Whether the response to the last request names that request.
    is_named: bool,
    allowance: Allowance,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects to an address within a timeout.
    ///
    /// # Errors
    /// [`Error::Unreachable`] or [`Error::ConnectTimeout`].
    pub async fn connect(address: SocketAddr, within: Duration) -> Result<Self, Error> {
        let connect = async {
            let stream = TcpStream::connect(address).await?;
            set_socket_options(&stream)?;
            // Discard unsent data on close, so that an abandoned request cannot reach the peer later.
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
            Ok(stream)
        };
        let stream = timeout(within, connect)
            .await
            .map_err(|_| Error::ConnectTimeout)?
            .map_err(Error::Unreachable)?;
        let allowance = Allowance::default();
        let stream = Metered::open(stream, allowance.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(Error::Broken)?;
        let task = tokio::spawn(async move {
            // Errors are reported to the sender that waits for the response.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            opened_at: Instant::now(),
            is_used: false,
            is_named: false,
            allowance,
        })
    }

    /// Returns whether another request can be sent.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Time since it was opened.
    pub fn age(&self) -> Duration {
        self.opened_at.elapsed()
    }

    /// Whether a request was sent on it before, so that what arrives may belong to that one.
    pub fn is_used(&self) -> bool {
        self.is_used
    }

    /// Whether what may still arrive of earlier responses can be told from the next one, which names no request.
    fn can_tell_copies(&self) -> bool {
        !self.is_used || self.is_named
    }

    /// Sends a request that its response names, and waits for the head of the response.
    ///
    /// # Errors
    /// [`Error::Unsent`] if nothing was written, [`Error::Broken`] or [`Error::Status`] otherwise.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        self.start(request).await
    }

    /// As [`send`](Self::send); the returned future, which does not borrow the connection, waits for the head of the
    /// response.
    ///
    /// # Errors
    /// As those of [`send`](Self::send).
    pub fn start(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> impl Future<Output = Result<Response<Incoming>, Error>> + Send + use<> {
        self.is_used = true;
        self.is_named = true;
        let allowance = self.allowance.clone();
        allowance.set(MAX_BYTES_TO_HEAD);
        let sent = self.sender.try_send_request(request);
        async move {
            let response = sent.await;
            allowance.lift();
            let response = response.map_err(|mut error| match error.take_message() {
                Some(_) => Error::Unsent,
                None => Error::Broken(error.into_error()),
            })?;
            match is_final(response.status()) {
                true => Ok(response),
                false => Err(Error::Status(response.status())),
            }
        }
    }

    /// Sends a request that its response need not name, and reads the whole response, whose body may take all the memory
    /// that one body may.
    ///
    /// # Errors
    /// Any [`Error`] of sending and reading.
    pub async fn fetch(
        &mut self,
        request: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let memory = Memory::new(usize::MAX);
        self.fetch_within(request, within, &memory).await
    }

    /// As [`fetch`](Self::fetch), with memory that other bodies share.
    ///
    /// # Errors
    /// As those of [`fetch`](Self::fetch).
    pub async fn fetch_within(
        &mut self,
        request: Request<Full<Bytes>>,
        within: Duration,
        memory: &Memory,
    ) -> Result<Response<Bytes>, Error> {
        let exchange = async {
            let response = self.start(request);
            self.is_named = false;
            let response = response.await?;
            let (parts, body) = response.into_parts();
            let bytes = read_whole(body, memory).await.ok_or(Error::Body)?;
            Ok(Response::from_parts(parts, bytes))
        };
        timeout(within, exchange)
            .await
            .map_err(|_| Error::Timeout)?
    }
}

/// A persistent connection to one address, opened on first use and reopened after a failure.
#[derive(Debug)]
pub struct Channel {
    address: SocketAddr,
    connection: tokio::sync::Mutex<Option<Connection>>,
}

impl Channel {
    /// Creates a channel without connecting.
    pub fn open(address: SocketAddr) -> Self {
        Self {
            address,
            connection: tokio::sync::Mutex::default(),
        }
    }

    /// Sends a request and reads the whole response; concurrent calls wait for each other.
    ///
    /// # Errors
    /// Any [`Error`]; the connection is then closed.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let response = self.fetch_when(within, || Some(request)).await?;
        // The request was there, so it was sent.
        response.ok_or(Error::Unsent)
    }

    /// As [`fetch`](Self::fetch), with a request that is built once the connection is open, right before it is written; `None` if
    /// `build` returns none.
    ///
    /// # Errors
    /// As those of [`fetch`](Self::fetch).
    pub async fn fetch_when(
        &self,
        within: Duration,
        build: impl FnOnce() -> Option<Request<Full<Bytes>>>,
    ) -> Result<Option<Response<Bytes>>, Error> {
        let mut slot = self.connection.lock().await;
        let mut connection = match slot.take().filter(Connection::is_ready) {
            Some(connection) => connection,
            None => Connection::connect(self.address, within).await?,
        };
        let Some(request) = build() else {
            *slot = Some(connection);
            return Ok(None);
        };
        let response = connection.fetch(request, within).await?;
        *slot = Some(connection);
        Ok(Some(response))
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires_at: Instant,
}

/// Pool of idle connections by endpoint process.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<Name, Vec<Idle>>>,
}

impl Pool {
    /// Takes the most recently used connection that is still usable.
    pub fn take(&self, endpoint: &str) -> Option<Connection> {
        self.take_if(endpoint, |_| true)
    }

    /// Takes the most recently used connection that is still usable for a request that its response does not name: none on
    /// which a copy of such a response could still arrive.
    pub fn take_for_unnamed(&self, endpoint: &str) -> Option<Connection> {
        self.take_if(endpoint, Connection::can_tell_copies)
    }

    fn take_if(&self, endpoint: &str, suits: impl Fn(&Connection) -> bool) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(endpoint)?;
        let now = Instant::now();
        while let Some(last) = connections.iter().rposition(|it| suits(&it.connection)) {
            let last = connections.remove(last);
            if last.expires_at > now && last.connection.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Whether there is an idle connection that is still usable.
    pub fn has_idle(&self, endpoint: &str) -> bool {
        let idle = self.idle.lock();
        let connections = idle.get(endpoint).map_or(&[][..], Vec::as_slice);
        let now = Instant::now();
        let is_usable = |idle: &Idle| idle.expires_at > now && idle.connection.is_ready();
        connections.iter().any(is_usable)
    }

    /// Returns a connection to the pool after a complete exchange, for the idle timeout that the peer stated, if any.
    pub fn put(&self, endpoint: &Name, connection: Connection, idle_timeout: Option<Duration>) {
        let idle_timeout = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |idle_timeout| {
            let idle_timeout = idle_timeout.min(MAX_IDLE_TIMEOUT);
            idle_timeout.saturating_sub(IDLE_MARGIN)
        });
        let expires_at = Instant::now() + idle_timeout;
        let mut idle = self.idle.lock();
        let connections = idle.entry(endpoint.clone()).or_default();
        connections.push(Idle {
            connection,
            expires_at,
        });
    }

    /// Drops connections that were idle for too long or are closed, and those of endpoints that do not satisfy `keep`.
    pub fn prune(&self, keep: impl Fn(&Name) -> bool) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        idle.retain(|endpoint, connections| {
            connections.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
            keep(endpoint) && !connections.is_empty()
        });
    }
}
