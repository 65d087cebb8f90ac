//! Settings of the daemon.

pub mod file;

use std::net::SocketAddr;
use std::time::Duration;

use spdlog::Level;

pub use file::Mistake;

use crate::state::record::Name;
use crate::transport::partition::Partition;

/// Policy for rate limits, routing and placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The policy used in production.
    Current,
    /// Baseline for measurements: evenly divided rates, random replicas, no shared cold-start limit.
    Naive,
}

/// Settings of a daemon, fixed at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Availability zone of the daemon.
    pub zone: Name,
    /// Address of the listener for callers.
    pub caller_listen: SocketAddr,
    /// Address of the listener for operators.
    pub operator_listen: SocketAddr,
    /// Address of the listener for other daemons.
    pub peer_listen: SocketAddr,
    /// Peer listeners of other daemons, queried for the configuration while no other daemon is known.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's table, object store and instance list.
    pub platform_address: SocketAddr,
    /// Token that operators present.
    pub operator_token: String,
    /// Timeout of one call to the platform.
    pub platform_timeout: Duration,
    /// Maximum time from a caller's request to the first byte of the response.
    pub request_timeout: Duration,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Memory of the machine, in MB; `None` if it is not known.
    pub memory_mb: Option<f64>,
    /// Number of file descriptors that the process may open; `None` if it is not known.
    pub descriptors: Option<f64>,
    /// Minimum level of log lines to write.
    pub log_level: Level,
    /// Time after the start of a graceful shutdown during which new requests are still served.
    pub drain_grace: Duration,
    /// Interval between polls of the configuration revision.
    pub config_poll: Duration,
    /// Interval between polls of an endpoint's load report.
    pub load_poll: Duration,
    /// Interval between heartbeats to a peer.
    pub heartbeat: Duration,
    /// Duration of the lease of a seat.
    pub seat_lease: Duration,
    /// Policy for rate limits, routing and placement.
    pub policy: Policy,
    /// Simulated network partitions; only tests and trials block addresses.
    pub partition: Partition,
    /// Interval between placement decisions.
    pub placement_interval: Duration,
    /// Duration of the lease to decide a zone's placement.
    pub placement_lease: Duration,
    /// Time after sending an order within which load reports show its effect, if any copy of it takes effect at all.
    pub order_life: Duration,
    /// Interval between retransmissions of an unconfirmed order.
    pub order_resend: Duration,
    /// Number of concurrent loads that the weight store serves at full speed, over the whole fleet.
    pub weight_store_loads: usize,
    /// Duration of one load from the weight store.
    pub load_time: Duration,
    /// Maximum number of concurrent adapter loads in one zone: the zone's share of the fleet's limit.
    pub adapter_loads: usize,
    /// Interval between polls of the queue of deferrable jobs.
    pub job_poll: Duration,
    /// Duration of the lease of a running job.
    pub job_lease: Duration,
    /// Length of the window whose peak token count is billed by the accelerators' supplier.
    pub billing_window: Duration,
    /// Interval between samples of the demand.
    pub demand_interval: Duration,
    /// Time without contact to the platform and to other daemons of the zone after which a daemon stops using its seat.
    pub isolation_timeout: Duration,
}

impl Settings {
    /// Returns settings for a daemon on loopback with ports chosen by the system.
    ///
    /// ```
    /// use persimmoncroft::settings::Settings;
    /// let settings = Settings::local("a", "127.0.0.1:2379".parse().unwrap());
    /// assert_eq!(settings.caller_listen.port(), 0);
    /// ```
    pub fn local(zone: &str, platform_address: SocketAddr) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            zone: zone.into(),
            caller_listen: any_port,
            operator_listen: any_port,
            peer_listen: any_port,
            seeds: Vec::new(),
            platform_address,
            operator_token: "operator".into(),
            platform_timeout: Duration::from_millis(1000),
            request_timeout: Duration::from_secs(30),
            max_body_bytes: 4 << 20,
            memory_mb: None,
            descriptors: None,
            log_level: Level::Info,
            drain_grace: Duration::from_millis(200),
            config_poll: Duration::from_millis(1000),
            load_poll: Duration::from_millis(250),
            heartbeat: Duration::from_millis(500),
            seat_lease: Duration::from_secs(3600),
            policy: Policy::Current,
            partition: Partition::default(),
            placement_interval: Duration::from_millis(500),
            placement_lease: Duration::from_secs(10),
            order_life: Duration::from_secs(30),
            order_resend: Duration::from_secs(2),
            weight_store_loads: 3,
            load_time: Duration::from_secs(2),
            adapter_loads: 8,
            job_poll: Duration::from_millis(1000),
            job_lease: Duration::from_secs(15),
            billing_window: Duration::from_secs(60),
            demand_interval: Duration::from_secs(2),
            isolation_timeout: Duration::from_secs(10),
        }
    }

    /// Parses settings from INI text.
    ///
    /// # Errors
    /// All mistakes, each with its line, section, key, the expected and the found value.
    ///
    /// ```
    /// use persimmoncroft::settings::Settings;
    /// let mistakes = Settings::parse("[daemon]\nzones = a\n").unwrap_err();
    /// assert!(mistakes.iter().any(|mistake| mistake.line == 2 && mistake.key == "zones"));
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<Mistake>> {
        file::parse(text)
    }
}
