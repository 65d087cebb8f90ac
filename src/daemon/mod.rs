//! The daemon as an embeddable library type: listeners, background tasks and graceful shutdown.

pub mod adapters;
pub mod admission;
pub mod caller;
pub mod change;
pub mod claim;
pub mod config;
pub mod consent;
pub mod dispatch;
pub mod election;
pub mod jobs;
pub mod limit;
pub mod limit_metrics;
pub mod listen;
pub mod load;
pub mod membership;
pub mod operator;
pub mod permit;
pub mod placer;
pub mod quota;
pub mod relay;
pub mod rpc;
pub mod seat;
pub mod service;
pub mod status;
pub mod stream;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use displaydoc::Display;
use parking_lot::Mutex;
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::coordination::holder::Identity;
use crate::settings::Settings;
use crate::state::config::Config;
use crate::state::decision::{self, Decision};
use crate::state::member::Member;
use crate::transport::account::{self, Account};
use crate::transport::partition::Partition;
use crate::transport::{exchange, http, peer, platform, table};

/// Interval at which connections that take too long are ended.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

const MAX_DECISIONS: usize = 4096;

/// Errors that prevent a daemon from starting.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// peer listener failed: {0}
    Peer(peer::Error),
}

impl std::error::Error for Error {}

/// State shared by all modules of a daemon.
#[derive(Debug)]
pub struct Node {
    /// Settings loaded at startup.
    pub settings: Settings,
    /// Random identifier of this process, regenerated at every start.
    pub session: Arc<str>,
    /// Address of the peer listener.
    pub peer_address: SocketAddr,
    started_at: Instant,
    /// Current configuration.
    pub config: ArcSwap<Config>,
    /// Age of the configuration and its latest changes.
    pub config_source: config::Source,
    /// Client of the platform's table.
    pub table: table::Client,
    /// Client of the platform's instance list and object store.
    pub platform: platform::Platform,
    /// Connection pool for peer daemons.
    pub peers: peer::Pool,
    /// HTTP client for endpoints.
    pub http: http::Client,
    /// Rate limiter of workspaces.
    pub limiter: limit::Limiter,
    /// This daemon's quota of the fleet-wide rate limits: seat, loans and token buckets.
    pub quota: quota::Quota,
    /// Latest load reports of engines.
    pub load_reports: load::Reports,
    /// Claims for calls that must run at most once.
    pub claims: claim::Tracker,
    /// Live daemons of the fleet.
    pub membership: membership::Membership,
    /// Endpoint selection and the permits to use endpoints.
    pub dispatcher: dispatch::Dispatcher,
    /// Model placement.
    pub placement: placer::state::Placement,
    /// Adapter pools of the endpoints whose adapter orders this daemon issues.
    pub adapters: adapters::Adapters,
    /// Deferrable jobs.
    pub jobs: jobs::Jobs,
    /// Recent decisions, for operators.
    pub decisions: decision::Ring,
    /// What clients make this daemon hold.
    pub account: Account,
    /// Metrics registry of all modules.
    pub metrics: Mutex<Registry>,
    /// Simulated network partitions; only tests and trials block addresses.
    pub partition: Partition,
    /// Cancelled when shutdown begins: the daemon is unready, takes no new work and hands over its duties.
    pub leaving: CancellationToken,
    /// Cancelled when the daemon starts to refuse new requests.
    pub closed: CancellationToken,
    /// Cancelled after the last request has ended, to stop the background tasks.
    pub stopped: CancellationToken,
    /// Requests in flight.
    pub requests: TaskTracker,
}

impl Node {
    /// Returns this daemon's entry in the member list.
    pub fn member(&self) -> Member {
        Member {
            address: self.peer_address,
            zone: self.settings.zone.clone(),
            session: self.session.clone(),
            leaving: self.leaving.is_cancelled(),
        }
    }

    /// Logs a decision and stores it for operators.
    pub fn record_decision(&self, decision: Decision) {
        spdlog::info!(
            "{}: subject={} workspace={} candidates={} choice={} reason={}",
            decision.part,
            decision.subject,
            decision.workspace.as_deref().unwrap_or("-"),
            decision.candidates,
            decision.choice.as_deref().unwrap_or("-"),
            decision.reason
        );
        self.decisions.push(decision);
    }

    /// Begins a graceful shutdown: the daemon is unready at once, and running requests continue.
    ///
    /// New requests are accepted for [`Settings::drain_grace`] longer, since load balancers and callers with
    /// keep-alive connections notice the shutdown late.
    pub fn drain(&self) {
        self.leaving.cancel();
    }

    /// Waits until a simulated partition lets messages from an address through; `false` if the daemon stops before.
    pub async fn hears(&self, address: SocketAddr) -> bool {
        tokio::select! {
            biased;
            () = self.partition.wait_until_reachable(address) => true,
            () = self.stopped.cancelled() => false,
        }
    }

    /// Returns the time since the daemon's start, by the monotonic clock.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    node: Arc<Node>,
    /// Address of the caller listener.
    pub caller_address: SocketAddr,
    /// Address of the operator listener.
    pub operator_address: SocketAddr,
    peer_server: peer::Server,
    tasks: TaskTracker,
}

impl Daemon {
    /// Starts a daemon and returns its handle.
    ///
    /// # Errors
    /// Fails if a listener cannot be bound.
    pub async fn spawn(settings: Settings) -> Result<Self, Error> {
        let caller = listen(settings.caller_listen).await?;
        let operator = listen(settings.operator_listen).await?;
        let context = rpc::Context::default();
        let mut registry = Registry::with_prefix("persimmoncroft");
        let bounds = account::Bounds::of(settings.memory_mb, settings.descriptors);
        let account = Account::open(bounds, &mut registry);
        let module = rpc::module(context.clone());
        let peer_server = peer::Server::bind_within(settings.peer_listen, module, &account);
        let peer_server = peer_server.await.map_err(Error::Peer)?;
        let caller_address = caller.1;
        let operator_address = operator.1;
        let node = Arc::new(build_node(settings, peer_server.address, account, registry));
        let _ = context.set(node.clone());
        let tasks = TaskTracker::new();
        tasks.spawn(config::run(node.clone()));
        tasks.spawn(load::run(node.clone()));
        tasks.spawn(admission::run(node.clone()));
        tasks.spawn(permit::run(node.clone()));
        tasks.spawn(claim::run(node.clone()));
        tasks.spawn(membership::run(node.clone()));
        tasks.spawn(seat::run(node.clone()));
        tasks.spawn(limit::run(node.clone()));
        tasks.spawn(jobs::runner::run(node.clone()));
        tasks.spawn(placer::run(node.clone()));
        tasks.spawn(placer::demand::run(node.clone()));
        tasks.spawn(expire(node.clone()));
        tasks.spawn(caller::serve(node.clone(), caller.0));
        tasks.spawn(operator::serve(node.clone(), operator.0));
        spdlog::info!(
            "daemon: started session={} zone={} callers={caller_address} operators={operator_address} peers={}",
            node.session,
            node.settings.zone,
            node.peer_address
        );
        Ok(Self {
            node,
            caller_address,
            operator_address,
            peer_server,
            tasks,
        })
    }

    /// Returns the state shared by the daemon's modules.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Begins a graceful shutdown: the daemon is unready at once, and running requests continue.
    pub fn drain(&self) {
        self.node.drain();
    }

    /// Drains, waits for the grace period and for the last request to end, then stops.
    pub async fn stop(self) {
        self.drain();
        tokio::time::sleep(self.node.settings.drain_grace).await;
        self.node.closed.cancel();
        self.node.requests.close();
        self.node.requests.wait().await;
        consent::wait_for_handover(&self.node).await;
        self.node.stopped.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        self.peer_server.stop().await;
        spdlog::info!("daemon: stopped session={}", self.node.session);
    }
}

/// Ends connections that take too long until the daemon stops.
async fn expire(node: Arc<Node>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(EXPIRY_INTERVAL) => {}
            () = node.stopped.cancelled() => return,
        }
        node.account.expire(caller::HEADER_TIMEOUT);
    }
}

fn build_node(
    settings: Settings,
    peer_address: SocketAddr,
    account: Account,
    mut metrics: Registry,
) -> Node {
    let partition = settings.partition.clone();
    let session: Arc<str> = uuid::Uuid::new_v4().to_string().into();
    let timeout = settings.platform_timeout;
    let config_source = config::Source::default();
    config_source.register(&mut metrics);
    let limiter = limit::Limiter::open(&mut metrics);
    let identity = Identity {
        session: session.clone(),
        address: peer_address,
        zone: settings.zone.clone(),
    };
    Node {
        session: session.clone(),
        peer_address,
        started_at: Instant::now(),
        config: ArcSwap::default(),
        config_source,
        table: table::Client::open(settings.platform_address, timeout, partition.clone()),
        platform: platform::Platform::open(settings.platform_address, timeout, partition.clone()),
        peers: peer::Pool::open(partition.clone()),
        http: http::Client::open(partition.clone()),
        limiter,
        quota: quota::Quota::open(identity),
        load_reports: load::Reports::default(),
        claims: claim::Tracker::open(&mut metrics),
        membership: membership::Membership::default(),
        decisions: decision::Ring::open(MAX_DECISIONS),
        jobs: jobs::Jobs::open(&mut metrics),
        adapters: adapters::Adapters::open(settings.adapter_loads),
        placement: placer::state::Placement::open(&mut metrics),
        account,
        metrics: Mutex::new(metrics),
        partition,
        dispatcher: dispatch::Dispatcher::open(&session),
        leaving: CancellationToken::new(),
        closed: CancellationToken::new(),
        stopped: CancellationToken::new(),
        requests: TaskTracker::new(),
        settings,
    }
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), Error> {
    let bind = async {
        let listener = exchange::listen(address).await?;
        let bound = listener.local_addr()?;
        Ok((listener, bound))
    };
    bind.await.map_err(|error| Error::Listen(address, error))
}
