//! The daemon that runs on a platform. Endpoints and configuration come from the platform's store; callers and
//! endpoints speak the platform's protocol through a [`codec::Codec`]; all durable state is in the store.
//!
//! Request path: [`accept`], [`admit`], [`limits`], [`choose`], [`relay`], [`send`], [`stream`], and [`forward`]
//! through another daemon. Background tasks: [`feed`],
//! [`peers`], [`placer`], [`links`].

pub mod accept;
pub mod admit;
pub mod body;
pub mod choose;
pub mod codec;
pub mod demand;
pub mod duty;
pub mod endpoint;
pub mod ends;
pub mod engine;
pub mod events;
pub mod feed;
pub mod fleet;
pub mod forward;
pub mod inventory;
pub mod journal;
pub mod limits;
pub mod lineage;
pub mod links;
pub mod meter;
pub mod pace;
pub mod peers;
pub mod placer;
pub mod quarantine;
pub mod quota;
pub mod rate;
pub mod relay;
pub mod room;
pub mod send;
pub mod settings;
pub mod starts;
pub mod statement;
pub mod stream;
pub mod wait;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant, SystemTime};

use arc_swap::ArcSwap;
use displaydoc::Display;
use http::StatusCode;
use nix::time::{ClockId, clock_gettime};
use parking_lot::Mutex;
use prometheus_client::registry::Registry;
use rand::RngExt;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use codec::Codec;
use feed::{Feed, Table};
use settings::{Settings, Tuning};

use crate::coordination::quarantine::Quarantine;
use crate::coordination::retry::{Limit, Window};
use crate::coordination::statement::Statements;
use crate::state::call::KeepAlive;
use crate::state::record::Name;
use crate::state::row::Change;
use crate::transport::account::{self, Account};
use crate::transport::body::Memory;
use crate::transport::exchange::{Channel, Connection, Pool};
use crate::transport::{gossip, peer};

/// Timeout of a write to the store.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(600);

/// Memory for large bodies and events of endpoints, all together; the smallest instances have 160 MB.
const BODY_MEMORY_BYTES: usize = 24 << 20;

/// Factor of the configuration's time for a header section after which a connection is closed; a client's clock and ours begin at
/// different moments.
const HEADER_TIMEOUT_FACTOR: u32 = 2;

/// Time for a header section without a configuration.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which idle connections are pruned and dropped log lines are reported.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which deferred removals and holds are carried out; heartbeats of a large fleet are too far apart for them.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time after SIGTERM for which new connections are still accepted, because the platform's load balancer reacts only
/// after two failed checks.
const ACCEPT_AFTER_TERM: Duration = Duration::from_millis(2500);

/// Time before the end of the grace period at which requests in flight end.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Time in which the last responses are written.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(200);

/// Error starting a daemon.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// peer listener failed: {0}
    Peer(peer::Error),
    /// datagram socket failed: {0}
    Gossip(gossip::Error),
}

impl std::error::Error for Error {}

/// State shared by all parts of one daemon.
#[derive(Debug)]
pub struct Node {
    /// Settings as of start.
    pub settings: Settings,
    /// Current values of the settings that can be reloaded.
    pub tuning: ArcSwap<Tuning>,
    /// Conversion to and from the platform's messages.
    pub codec: Codec,
    /// Start of this process, in milliseconds since the Unix epoch.
    pub session: u64,
    origin: Instant,
    /// Known state of the fleet.
    pub fleet: fleet::Fleet,
    /// The operators' table.
    pub operator_feed: Feed,
    /// The endpoints' table.
    pub endpoint_feed: Feed,
    /// Other daemons.
    pub peers: peers::Peers,
    /// Socket for datagrams between daemons.
    pub gossip: gossip::Socket,
    /// Address of the datagram socket.
    pub gossip_address: SocketAddr,
    /// Address of the listener for peers' calls.
    pub peer_address: SocketAddr,
    /// Connections for calls to peers.
    pub calls: peer::Pool,
    /// Memory for large bodies of endpoints' responses.
    pub memory: Memory,
    /// What clients make this daemon hold.
    pub account: Account,
    /// Idle connections to endpoints.
    pub pool: Pool,
    /// This daemon's shares of the workspaces' rate limits.
    pub limits: limits::Limits,
    retries: Mutex<HashMap<Name, Window>>,
    /// Requests and parts of prompts that crash endpoints.
    pub quarantine: Mutex<Quarantine>,
    /// Notified when holds are made or released.
    pub holds_changed: Notify,
    /// Checks whether endpoints have ended.
    pub ends: ends::Ends,
    /// Whether this daemon has lost its links to the endpoints.
    pub links: links::Monitor,
    /// Requests handed to other daemons and taken from them.
    pub forwards: forward::Forwards,
    /// Address of the listener for requests of other daemons.
    pub forward_address: SocketAddr,
    /// Software versions that began streams.
    pub lineage: lineage::Lineage,
    /// What endpoints state about themselves.
    pub statements: Mutex<Statements>,
    /// Places at endpoints that must not be made to reject requests.
    pub rooms: room::Rooms,
    /// Requests that wait for a place at an endpoint.
    pub lines: wait::Lines,
    /// Demand to report to the placer.
    pub demand: demand::Demand,
    /// Model placement.
    pub placer: placer::Placer,
    /// Paces calls to the platform's API.
    pub duty_pacer: duty::Pacer,
    /// Counts of what endpoints began to execute.
    pub usage: duty::usage::Usage,
    /// Rate-limited log of requests.
    pub journal: journal::Journal,
    /// Metrics of all parts.
    pub meter: meter::Meter,
    /// Registry of the metrics.
    pub metrics: Registry,
    /// Cancelled when shutdown begins: the daemon reports unready and asks callers to close their connections.
    pub leaving: CancellationToken,
    /// Cancelled when idle connections are to be closed.
    pub closing: CancellationToken,
    /// Time at which all requests end, once shutdown has begun.
    ends_at: OnceLock<Duration>,
    /// Cancelled when the requests that are left get their final responses.
    pub ending: CancellationToken,
    /// Cancelled when background tasks are to stop.
    pub stopped: CancellationToken,
    /// Connections of callers and of the platform's checks; each ends after its last response was written.
    pub connections: TaskTracker,
    /// Requests in flight.
    pub requests: TaskTracker,
}

impl Node {
    /// Time since the daemon started, by the monotonic clock.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Time by a clock that keeps running while the machine is suspended; [`now`](Self::now) if there is no such clock.
    pub fn boot_now(&self) -> Duration {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => time.into(),
            Err(error) => {
                self.journal
                    .line(|| spdlog::info!("daemon: no boot clock; using the monotonic clock", kv: { error: = error }));
                self.now()
            }
        }
    }

    /// Time left until all requests end; `None` unless the daemon is shutting down.
    pub fn left_to_serve(&self) -> Option<Duration> {
        let ends_at = self.ends_at.get()?;
        Some(ends_at.saturating_sub(self.now()))
    }

    /// Runs a background task until the daemon stops.
    pub async fn until_stopped(&self, work: impl Future<Output = ()>) {
        tokio::select! {
            () = self.stopped.cancelled() => {}
            () = work => {}
        }
    }

    /// Whether the daemon accepts new connections.
    pub fn is_ready(&self) -> bool {
        self.fleet.catalog.load().is_some()
            && self.peers.is_listed()
            && !self.fleet.view.load().all.is_empty()
            && !self.leaving.is_cancelled()
    }

    /// Counts a request to a service, which adds to its retry budget.
    pub fn deposit_retry(&self, service: &Name) {
        let (limit, now) = (self.retry_limit(), self.now());
        let mut retries = self.retries.lock();
        match retries.get_mut(service) {
            Some(window) => window.request(&limit, now),
            None => {
                let mut window = Window::open(Duration::ZERO);
                window.request(&limit, now);
                retries.insert(service.clone(), window);
            }
        }
    }

    /// Takes a retry to a service from this daemon's share of the fleet's budget; returns whether one was left.
    pub fn take_retry(&self, service: &Name) -> bool {
        let (limit, now) = (self.retry_limit(), self.now());
        let mut retries = self.retries.lock();
        let window = retries.get_mut(service);
        window.is_some_and(|window| window.take(&limit, now))
    }

    fn retry_limit(&self) -> Limit {
        let tuning = self.tuning.load();
        Limit {
            window: tuning.retry_window,
            share: tuning.retry_share,
            extra: tuning.retry_extra,
            daemons: self.peers.count(),
        }
    }

    /// Returns a connection to the pool after a complete response, if the endpoint keeps it alive.
    pub fn pool_connection(&self, endpoint: &Name, connection: Connection, keep_alive: KeepAlive) {
        match keep_alive {
            KeepAlive::Close => {}
            KeepAlive::Open => self.pool.put(endpoint, connection, None),
            KeepAlive::For(time) => self.pool.put(endpoint, connection, Some(time)),
        }
    }

    /// Writes rows to the store; returns the new version, or `None` if a condition does not hold.
    ///
    /// # Errors
    /// When the store refuses the write, or its outcome is unknown.
    pub async fn commit(
        &self,
        channel: &Channel,
        change: &Change,
    ) -> Result<Option<u64>, feed::Error> {
        self.meter.store_calls.inc();
        let request = (self.codec.commit)(change);
        let response = channel.fetch(request, COMMIT_TIMEOUT).await;
        let response = response.map_err(feed::Error::Exchange)?;
        match response.status() {
            StatusCode::OK => {
                let page = (self.codec.page)(response.headers(), response.body())
                    .ok_or(feed::Error::Page)?;
                Ok(Some(page.version))
            }
            StatusCode::PRECONDITION_FAILED => Ok(None),
            status => Err(feed::Error::Status(status)),
        }
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    node: Arc<Node>,
    /// Address of the listener for callers.
    pub caller_address: SocketAddr,
    /// Address of the listener for readiness checks.
    pub ready_address: SocketAddr,
    accepting: CancellationToken,
    peer_server: peer::Server,
    tasks: TaskTracker,
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    /// When a listener cannot be bound.
    pub async fn spawn(settings: Settings, codec: Codec) -> Result<Self, Error> {
        let callers = listen(settings.caller_listen).await?;
        let ready = listen(settings.ready_listen).await?;
        let metrics = listen(settings.metrics_listen).await?;
        let forwarded = listen(settings.forward_listen).await?;
        let gossip = gossip::Socket::bind(settings.gossip_listen)
            .await
            .map_err(Error::Gossip)?;
        let slot = Arc::new(OnceLock::new());
        let mut registry = Registry::with_prefix("persimmoncroft");
        let bounds = account::Bounds::of(settings.memory_mb, settings.descriptors);
        let account = Account::open(bounds, &mut registry);
        let module = peers::source::module(slot.clone());
        let peer_server = peer::Server::bind_within(settings.peer_listen, module, &account);
        let peer_server = peer_server.await.map_err(Error::Peer)?;
        let (caller_address, ready_address) = (callers.1, ready.1);
        let addresses = (peer_server.address, forwarded.1);
        let node = build_node(settings, codec, gossip, addresses, (account, registry))?;
        let node = Arc::new(node);
        let _ = slot.set(node.clone());
        node.usage.start(&node);
        let accepting = CancellationToken::new();
        let tasks = TaskTracker::new();
        tasks.spawn(feed::run(node.clone(), Table::Operator));
        tasks.spawn(feed::run(node.clone(), Table::Endpoints));
        tasks.spawn(peers::discover::run(node.clone()));
        tasks.spawn(peers::sender::run(node.clone()));
        tasks.spawn(peers::receiver::run(node.clone()));
        tasks.spawn(placer::run(node.clone()));
        tasks.spawn(room::report::run(node.clone()));
        tasks.spawn(room::owner::run(node.clone()));
        tasks.spawn(statement::run(node.clone()));
        tasks.spawn(quarantine::store::run(node.clone()));
        tasks.spawn(lineage::store::run(node.clone()));
        tasks.spawn(links::run(node.clone()));
        if let Some(duties) = node.settings.duties {
            if duties.reports_usage {
                tasks.spawn(duty::usage::run(node.clone(), duties));
            }
            if duties.scales {
                tasks.spawn(duty::scale::run(node.clone(), duties));
            }
        }
        tasks.spawn(expire(node.clone()));
        tasks.spawn(sweep(node.clone()));
        let stopped = node.stopped.clone();
        for (listener, role, shutdown) in [
            (callers.0, accept::Role::Callers, accepting.clone()),
            (forwarded.0, accept::Role::Daemons, accepting.clone()),
            (ready.0, accept::Role::Ready, stopped.clone()),
            (metrics.0, accept::Role::Metrics, stopped),
        ] {
            tasks.spawn(accept::serve(node.clone(), listener, role, shutdown));
        }
        spdlog::info!("daemon: started", kv: {
            name: = node.settings.name,
            zone: = node.settings.zone,
            session = node.session,
            callers: = caller_address,
            peers: = node.peer_address,
        });
        Ok(Self {
            node,
            caller_address,
            ready_address,
            accepting,
            peer_server,
            tasks,
        })
    }

    /// State shared by the daemon's parts.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Applies reloaded settings; those outside [`Tuning`] take effect at the next start.
    pub fn apply(&self, settings: &Settings) {
        let node = &self.node;
        let all = node.settings.differs_only_in_tuning(settings);
        node.tuning.store(Arc::new(settings.tuning));
        spdlog::info!("daemon: settings read again", kv: { tuning:? = settings.tuning, all });
        if !all {
            spdlog::warn!("daemon: some settings take effect at the next start");
        }
    }

    /// Shuts down gracefully: reports unready at once, serves until the load balancer has noticed, and ends within the
    /// grace period.
    pub async fn stop(self) {
        let node = &self.node;
        let started = Instant::now();
        let grace = node.tuning.load().grace;
        let remaining = grace.saturating_sub(GRACE_MARGIN);
        let _ = node.ends_at.set(node.now() + remaining);
        node.leaving.cancel();
        spdlog::info!("daemon: leaving", kv: { name: = node.settings.name });
        tokio::time::sleep(ACCEPT_AFTER_TERM.min(grace / 2)).await;
        self.accepting.cancel();
        node.closing.cancel();
        node.connections.close();
        let remaining = remaining.saturating_sub(started.elapsed());
        let _ = tokio::time::timeout(remaining, node.connections.wait()).await;
        let requests_ended = node.requests.len();
        node.ending.cancel();
        let finished = tokio::time::timeout(LAST_RESPONSES_TIME, node.connections.wait()).await;
        node.stopped.cancel();
        let requests_cut = match finished {
            Ok(()) => 0,
            Err(_) => node.requests.len(),
        };
        spdlog::info!("daemon: stopped", kv: {
            name: = node.settings.name,
            requests_ended,
            requests_cut,
        });
        self.tasks.close();
        drop(self.peer_server);
    }
}

fn build_node(
    settings: Settings,
    codec: Codec,
    gossip: gossip::Socket,
    (peer_address, forward_address): (SocketAddr, SocketAddr),
    (account, mut metrics): (Account, Registry),
) -> Result<Node, Error> {
    let session = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Ok(Node {
        codec,
        session: session.as_millis() as u64,
        origin: Instant::now(),
        fleet: fleet::Fleet::default(),
        operator_feed: Feed::default(),
        endpoint_feed: Feed::default(),
        peers: peers::Peers::open(&settings.name),
        gossip_address: gossip.address().map_err(Error::Gossip)?,
        gossip,
        peer_address,
        calls: peer::Pool::default(),
        memory: Memory::new(BODY_MEMORY_BYTES),
        account,
        pool: Pool::default(),
        limits: limits::Limits::default(),
        retries: Mutex::default(),
        quarantine: Mutex::default(),
        holds_changed: Notify::default(),
        ends: ends::Ends::default(),
        links: links::Monitor::default(),
        forwards: forward::Forwards::default(),
        forward_address,
        lineage: lineage::Lineage::default(),
        statements: Mutex::default(),
        rooms: room::Rooms::default(),
        lines: wait::Lines::default(),
        demand: demand::Demand::default(),
        placer: placer::Placer::open(settings.placement_lease),
        duty_pacer: duty::Pacer::default(),
        usage: duty::usage::Usage::open(settings.duties.as_ref()),
        journal: journal::Journal::default(),
        meter: meter::Meter::open(&mut metrics),
        metrics,
        leaving: CancellationToken::new(),
        closing: CancellationToken::new(),
        ends_at: OnceLock::new(),
        ending: CancellationToken::new(),
        stopped: CancellationToken::new(),
        connections: TaskTracker::new(),
        requests: TaskTracker::new(),
        tuning: ArcSwap::from_pointee(settings.tuning),
        settings,
    })
}

/// Adds jitter of up to 20 % in both directions, so that daemons do not act in step.
pub fn jitter(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(0.8..1.2))
}

/// Carries out deferred removals and holds, and drops expired reports of peers until the daemon stops.
async fn expire(node: Arc<Node>) {
    let task = async {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            node.fleet.expire_reports(node.now());
            quarantine::advance(&node);
        }
    };
    node.until_stopped(task).await;
}

async fn sweep(node: Arc<Node>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(SWEEP_INTERVAL) => {}
            () = node.stopped.cancelled() => return,
        }
        let view = node.fleet.view.load();
        node.pool.prune(|id| view.all.contains_key(id));
        node.forwards.sweep(node.now());
        feed::report_ages(&node);
        statement::sweep(&node, node.now());
        room::sweep(&node, node.now());
        let catalog = node.fleet.catalog.load();
        let header_timeout = catalog.as_ref().map(|it| it.bounds.header_timeout);
        let header_timeout = header_timeout.unwrap_or(DEFAULT_HEADER_TIMEOUT);
        node.account.expire(header_timeout * HEADER_TIMEOUT_FACTOR);
        node.journal.report_dropped(SWEEP_INTERVAL);
        node.meter.in_flight.set(node.requests.len() as i64);
    }
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), Error> {
    let bind = async {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        Ok((listener, bound))
    };
    bind.await.map_err(|error| Error::Listen(address, error))
}
