//! Decides which models the endpoints of this daemon's zone load, and orders the changes, while the daemon holds the
//! zone's placement lease.

pub mod demand;
pub mod order;
pub mod slot;
pub mod state;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Node, election};
use crate::coordination::election::{Election, Lease};
use crate::coordination::placement::{self, Host, Model, Move, Strategy, View};
use crate::settings::Policy;
use crate::state::config::Config;
use crate::state::decision::Decision;
use crate::state::record::{Endpoint, Kind, Name};
use order::Orders;

/// Key prefix of lease rows; followed by the zone.
pub const LEASE_PREFIX: &str = "lease/placement/";

/// Maximum age of the last report from an endpoint that counts as alive.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Time a new lease holder waits before its first decision, so that it doesn't treat copies as missing before the first
/// reports arrive.
const FIRST_DECISION_DELAY: Duration = Duration::from_secs(1);

/// Interval between reads of all zones' lease holders.
const HOLDERS_REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum backoff after a failed table call.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// Time after which a copy that isn't ready and that no order is loading counts as stuck.
const STUCK_AFTER: Duration = Duration::from_secs(10);

/// Runs placement until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let mut placer = Placer::open(&node);
    loop {
        tokio::select! {
            () = tokio::time::sleep(node.settings.placement_interval) => {}
            () = node.stopped.cancelled() => break,
        }
        if node.leaving.is_cancelled() {
            placer.release(&node).await;
            continue;
        }
        placer.advance(&node).await;
    }
    placer.release(&node).await;
}

/// State of the placement loop between decisions.
struct Placer {
    key: String,
    election: Election,
    held_since: Option<Duration>,
    holders_read_at: Duration,
    backoff_until: Duration,
    orders: Orders,
    unready_since: HashMap<(Name, Name), Duration>,
    short_since: HashMap<Name, Duration>,
}

impl Placer {
    fn open(node: &Node) -> Self {
        Self {
            key: format!("{LEASE_PREFIX}{}", node.settings.zone),
            election: Election::open(node.settings.placement_lease),
            held_since: None,
            holders_read_at: Duration::ZERO,
            backoff_until: Duration::ZERO,
            orders: Orders::default(),
            unready_since: HashMap::new(),
            short_since: HashMap::new(),
        }
    }

    async fn release(&mut self, node: &Node) {
        election::release(node, &self.key, &mut self.election).await;
        self.held_since = None;
        node.placement.set_holder(false);
        node.adapters.clear();
    }

    /// Suspends placement after a failed table call, with jitter.
    fn back_off(&mut self, node: &Node) {
        let jitter = rand::random_range(0..MIN_BACKOFF.as_millis() as u64);
        self.backoff_until = node.now() + MIN_BACKOFF + Duration::from_millis(jitter);
    }

    /// Reads the lease holder of each zone.
    async fn refresh_holders(&mut self, node: &Node) {
        let now = node.now();
        if now < self.holders_read_at + HOLDERS_REFRESH_INTERVAL
            && self.holders_read_at > Duration::ZERO
        {
            return;
        }
        let Ok(rows) = node.table.scan(LEASE_PREFIX).await else {
            return;
        };
        self.holders_read_at = now;
        let mut holders = HashMap::new();
        for row in rows {
            let zone = row.key.trim_start_matches(LEASE_PREFIX);
            if let Ok(lease) = row.json::<Lease>() {
                holders.insert(zone.into(), lease.address);
            }
        }
        node.placement.set_holders(holders);
    }

    async fn advance(&mut self, node: &Arc<Node>) {
        if node.now() < self.backoff_until {
            return;
        }
        let result = election::acquire_or_renew(node, &self.key, &mut self.election).await;
        if let Err(error) = result {
            spdlog::warn!("placement: claiming or renewing the lease failed: {error}");
            self.back_off(node);
        }
        let now = node.now();
        let holds = self.election.holds(now);
        node.placement.set_lease_valid_until(self.election.until());
        node.placement.set_holder(holds);
        self.refresh_holders(node).await;
        if !holds {
            if self.held_since.take().is_some() {
                node.adapters.clear();
            }
            return;
        }
        let held_since = *self.held_since.get_or_insert_with(|| {
            spdlog::info!("placement: lease acquired zone={}", node.settings.zone);
            self.orders = Orders::default();
            now
        });
        let lease = order::Lease {
            key: self.key.clone(),
            version: self.election.version(),
            valid_until: self.election.until(),
        };
        let config = node.config.load_full();
        if let Err(error) = self.orders.refresh(node).await {
            spdlog::warn!("placement: reading ledgers and slots failed: {error}");
            self.back_off(node);
            return;
        }
        self.orders.reconcile(node, &config, &lease).await;
        if now < held_since + FIRST_DECISION_DELAY {
            return;
        }
        let view = self.view(node, &config);
        let moves = placement::decide(&view);
        self.apply_moves(node, &config, &lease, moves).await;
        self.orders.resend(node, &config, &lease);
    }

    async fn apply_moves(
        &mut self,
        node: &Arc<Node>,
        config: &Config,
        lease: &order::Lease,
        moves: Vec<Move>,
    ) {
        for step in moves {
            let Some(endpoint) = config.endpoints.get(&step.endpoint) else {
                continue;
            };
            let Some(id) = self.orders.begin(node, lease, endpoint, &step).await else {
                continue;
            };
            node.placement.count_move(&step);
            node.record_decision(Decision {
                part: "placement".into(),
                subject: id,
                workspace: None,
                candidates: step.candidates,
                choice: Some(step.endpoint.clone()),
                reason: order::describe(&step).into(),
                at: node.now(),
            });
        }
    }

    fn view(&mut self, node: &Node, config: &Config) -> View {
        self.track_unready_copies(node, config);
        let engines = config
            .endpoints
            .values()
            .filter(|endpoint| endpoint.runs == Kind::Engine);
        let hosts: Vec<Host> = engines
            .map(|endpoint| self.host(node, config, endpoint))
            .collect();
        let mut view = View {
            zone: node.settings.zone.clone(),
            models: Vec::with_capacity(config.models.len()),
            hosts,
            loads: self.orders.free_slots(),
            load_seconds: node.settings.load_time.as_secs().max(1),
            strategy: match node.settings.policy {
                Policy::Current => Strategy::Forecast,
                Policy::Naive => Strategy::FirstFit,
            },
        };
        let concurrency = node.placement.concurrency();
        for model in config.models.values() {
            view.models.push(Model {
                name: model.name.clone(),
                version: model.version,
                memory_mib: model.memory_mib,
                min_replicas: model.min_replicas,
                need: concurrency.get(&model.name).copied().unwrap_or(0),
                short_for: Duration::ZERO,
            });
        }
        self.track_shortages(node, &mut view);
        view
    }

    /// Tracks how long each model has had fewer copies than wanted.
    fn track_shortages(&mut self, node: &Node, view: &mut View) {
        let now = node.now();
        let short = crate::coordination::index::Index::open(view).short();
        for (model, short) in view.models.iter_mut().zip(short) {
            if !short {
                self.short_since.remove(&model.name);
                continue;
            }
            let since = self.short_since.entry(model.name.clone()).or_insert(now);
            model.short_for = now - *since;
        }
    }

    /// Tracks since when copies that no order is loading have not been ready.
    fn track_unready_copies(&mut self, node: &Node, config: &Config) {
        let now = node.now();
        let mut unready_since = HashMap::new();
        for endpoint in config.endpoints.keys() {
            let Some(report) = node.load_reports.report(endpoint) else {
                continue;
            };
            let ledger = self.orders.ledger(endpoint);
            let loading = ledger.is_some_and(|ledger| ledger.pending.is_some());
            for resident in report.load.models {
                let key = (endpoint.clone(), resident.model);
                let since = self.unready_since.get(&key).copied().unwrap_or(now);
                if !resident.ready && !loading {
                    unready_since.insert(key, since);
                }
            }
        }
        self.unready_since = unready_since;
    }

    fn stuck_models(&self, endpoint: &Name, now: Duration) -> Vec<Name> {
        let copies = self.unready_since.iter();
        let stuck =
            copies.filter(|((host, _), since)| host == endpoint && now > **since + STUCK_AFTER);
        stuck.map(|((_, model), _)| model.clone()).collect()
    }

    fn host(&self, node: &Node, config: &Config, endpoint: &Endpoint) -> Host {
        let report = node.load_reports.report(&endpoint.name);
        let fresh = report.filter(|report| node.now() < report.read_at + MAX_REPORT_AGE);
        let ledger = self.orders.ledger(&endpoint.name);
        let alive = fresh.is_some() && ledger.is_some();
        let models = fresh.map(|report| report.load.models).unwrap_or_default();
        let ready = models.into_iter().filter(|resident| resident.ready);
        let in_zone = endpoint.zone == node.settings.zone;
        Host {
            name: endpoint.name.clone(),
            zone: endpoint.zone.clone(),
            local: in_zone && !self.orders.is_cooling_down(&endpoint.name, node.now()),
            open: alive && config.open(endpoint),
            capacity_mib: capacity_mib(endpoint),
            slots: endpoint.slots,
            ledger: ledger.cloned().unwrap_or_else(order::empty_ledger),
            stuck: self.stuck_models(&endpoint.name, node.now()),
            ready: ready
                .map(|resident| (resident.model, resident.version))
                .collect(),
        }
    }
}

/// Memory of an endpoint available to models, in MiB. The adapter pool always counts as full.
pub fn capacity_mib(endpoint: &Endpoint) -> u64 {
    endpoint
        .memory_mib
        .saturating_sub(endpoint.adapter_pool_mib)
}
