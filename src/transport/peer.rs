//! JSON-RPC between daemons over WebSocket: a server and a pool of clients.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use displaydoc::Display;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::server::{RpcModule, ServerHandle, serve_with_graceful_shutdown, stop_channel};
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::account::{Account, Counted};
use super::exchange;
use super::partition::Partition;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_MESSAGE_BYTES: u32 = 16 << 20;
const MAX_CONNECTIONS: u32 = 4096;
/// Responses to one peer that wait to be written before its calls are no longer read.
const MESSAGE_BUFFER: u32 = 64;

/// Pause after a failed accept, such as for lack of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

const MAX_CONCURRENT_CALLS: usize = 8192;

/// Error of a call to a peer.
#[derive(Debug, Display)]
pub enum Error {
    /// peer is unreachable, nothing was sent
    Unreachable,
    /// no response within the timeout
    Timeout,
    /// the connection broke after the call may have been sent
    Broken,
    /// peer refused the call: {0}
    Refused(String),
    /// listener failed: {0}
    Listen(std::io::Error),
}

impl std::error::Error for Error {}

/// A running server; it stops when dropped.
#[derive(Debug)]
pub struct Server {
    /// Address that the server listens on.
    pub address: SocketAddr,
    handle: ServerHandle,
}

impl Server {
    /// Binds a listener and serves the methods of a module.
    ///
    /// # Errors
    /// [`Error::Listen`].
    pub async fn bind<T: Send + Sync + 'static>(
        address: SocketAddr,
        module: RpcModule<T>,
    ) -> Result<Self, Error> {
        let config = jsonrpsee::server::ServerConfig::builder()
            .max_connections(MAX_CONNECTIONS)
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .build();
        let listener = exchange::listen(address).await.map_err(Error::Listen)?;
        let listener = listener.into_std().map_err(Error::Listen)?;
        let server = jsonrpsee::server::Server::builder()
            .set_config(config)
            .build_from_tcp(listener)
            .map_err(Error::Listen)?;
        let address = server.local_addr().map_err(Error::Listen)?;
        let handle = server.start(module);
        Ok(Self { address, handle })
    }

    /// Binds a listener and serves the methods of a module, to connections that count in an account.
    ///
    /// # Errors
    /// [`Error::Listen`].
    pub async fn bind_within<T: Send + Sync + 'static>(
        address: SocketAddr,
        module: RpcModule<T>,
        account: &Account,
    ) -> Result<Self, Error> {
        if !account.is_bounded() {
            return Self::bind(address, module).await;
        }
        // Daemons call each other over WebSocket only.
        let config = jsonrpsee::server::ServerConfig::builder()
            .max_connections(MAX_CONNECTIONS)
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .set_message_buffer_capacity(MESSAGE_BUFFER)
            .ws_only()
            .build();
        let listener = exchange::listen(address).await.map_err(Error::Listen)?;
        let address = listener.local_addr().map_err(Error::Listen)?;
        let (stop, handle) = stop_channel();
        let builder = jsonrpsee::server::Server::builder()
            .set_config(config)
            .to_service_builder();
        let account = account.clone();
        let methods = jsonrpsee::server::Methods::from(module);
        tokio::spawn(async move {
            let mut stopped = pin!(stop.clone().shutdown());
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = stopped.as_mut() => return,
                };
                let Ok((stream, _)) = accepted else {
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                    continue;
                };
                let Some(client) = account.connect() else {
                    continue;
                };
                let service = builder.clone().build(methods.clone(), stop.clone());
                let stopped = stop.clone().shutdown();
                tokio::spawn(async move {
                    let stream = Counted::until_response(stream, client.clone());
                    let served = serve_with_graceful_shutdown(stream, service, stopped);
                    tokio::select! {
                        _ = served => {}
                        () = client.item.ended() => {}
                    }
                });
            }
        });
        Ok(Self { address, handle })
    }

    /// Stops the server and waits until its connections are closed.
    pub async fn stop(self) {
        let _ = self.handle.stop();
        self.handle.stopped().await;
    }
}

/// Traffic counters of a pool.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Number of calls.
    pub calls: AtomicU64,
    /// Size of methods and parameters sent and of results received, in bytes.
    pub bytes: AtomicU64,
}

/// Connection to one peer; the lock ensures that only one call at a time opens it.
type Connection = Arc<tokio::sync::Mutex<Option<Arc<Client>>>>;

/// An open connection to one peer.
#[derive(Debug)]
struct Client {
    rpc: WsClient,
    /// Number of answers that it has brought.
    answers: AtomicU64,
}

/// Pool of connections to peers, opened on first use; clones share the pool.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    clients: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
    traffic: Arc<Traffic>,
    partition: Partition,
}

impl Pool {
    /// Creates an empty pool.
    pub fn open(partition: Partition) -> Self {
        Self {
            partition,
            ..Self::default()
        }
    }

    /// Returns the traffic counters.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Calls a method of the peer at `address`; connecting and the call may take the given time each.
    ///
    /// # Errors
    /// Any [`Error`]; only [`Error::Unreachable`] guarantees that the peer received nothing.
    pub async fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &str,
        params: &P,
        within: Duration,
    ) -> Result<R, Error> {
        let params = serde_json::value::to_raw_value(params)
            .map_err(|error| Error::Refused(error.to_string()))?;
        self.count_call(params.get().len() + method.len());
        if !self.partition.is_reachable(address) {
            tokio::time::sleep(within).await;
            return Err(Error::Timeout);
        }
        let client = timeout(within, self.client(address)).await;
        let client = client.map_err(|_| Error::Unreachable)??;
        let answers = client.answers.load(Ordering::Relaxed);
        let request = client
            .rpc
            .request::<Box<serde_json::value::RawValue>, _>(method, Params(params));
        let answer = match timeout(within, request).await {
            Err(_) => {
                if client.answers.load(Ordering::Relaxed) == answers {
                    // The connection may be dead without having been reset.
                    self.discard(address, &client).await;
                }
                Err(Error::Timeout)
            }
            Ok(Ok(answer)) => {
                client.answers.fetch_add(1, Ordering::Relaxed);
                Ok(answer)
            }
            Ok(Err(jsonrpsee::core::client::Error::Call(error))) => {
                client.answers.fetch_add(1, Ordering::Relaxed);
                Err(Error::Refused(error.message().to_owned()))
            }
            Ok(Err(_)) => {
                self.discard(address, &client).await;
                Err(Error::Broken)
            }
        }?;
        self.traffic
            .bytes
            .fetch_add(answer.get().len() as u64, Ordering::Relaxed);
        serde_json::from_str(answer.get()).map_err(|error| Error::Refused(error.to_string()))
    }

    fn count_call(&self, bytes: usize) {
        self.traffic.calls.fetch_add(1, Ordering::Relaxed);
        self.traffic
            .bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    async fn client(&self, address: SocketAddr) -> Result<Arc<Client>, Error> {
        let slot = self.clients.lock().entry(address).or_default().clone();
        let mut slot = slot.lock().await;
        if let Some(client) = slot.as_ref().filter(|client| client.rpc.is_connected()) {
            return Ok(client.clone());
        }
        let client = Client {
            rpc: connect(address).await.ok_or(Error::Unreachable)?,
            answers: AtomicU64::new(0),
        };
        let client = Arc::new(client);
        *slot = Some(client.clone());
        Ok(client)
    }

    /// Drops a connection to a peer; calls in progress on it go on.
    async fn discard(&self, address: SocketAddr, failed: &Arc<Client>) {
        let Some(slot) = self.clients.lock().get(&address).cloned() else {
            return;
        };
        let mut slot = slot.lock().await;
        if slot
            .as_ref()
            .is_some_and(|client| Arc::ptr_eq(client, failed))
        {
            *slot = None;
        }
    }
}

/// Opens a connection to a peer; `None` if it is unreachable.
async fn connect(address: SocketAddr) -> Option<WsClient> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.ok()?.ok()?;
    exchange::set_socket_options(&stream).ok()?;
    let client = WsClientBuilder::default()
        .connection_timeout(CONNECT_TIMEOUT)
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
        .max_concurrent_requests(MAX_CONCURRENT_CALLS)
        .build_with_stream(format!("ws://{address}"), stream);
    client.await.ok()
}

/// One positional parameter, already serialized.
struct Params(Box<serde_json::value::RawValue>);

impl jsonrpsee::core::traits::ToRpcParams for Params {
    fn to_rpc_params(self) -> Result<Option<Box<serde_json::value::RawValue>>, serde_json::Error> {
        let text = format!("[{}]", self.0.get());
        serde_json::value::RawValue::from_string(text).map(Some)
    }
}
