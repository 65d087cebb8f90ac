//! Stores orders in the endpoints' ledgers before sending them, and reconciles the ledgers with the endpoints' load
//! reports.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use parking_lot::Mutex;

use super::slot::{self, Slot, Slots};
use super::{MAX_REPORT_AGE, capacity_mib};
use crate::coordination::ledger::{
    Change, Holding, Ledger, Pending, Quarantine, Report, ReportedModel,
};
use crate::coordination::placement::Move;
use crate::daemon::Node;
use crate::protocol::engine::{Action, Load, Order, Outcome};
use crate::protocol::table::{Commit, Transaction};
use crate::state::config::Config;
use crate::state::record::{Endpoint, Kind, Name};
use crate::transport::{http as client, table};

/// Key prefix of ledger rows; followed by `<zone>/<endpoint>`.
pub const PREFIX: &str = "ledger/";

const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which an endpoint gets no new orders after it refused one.
const REFUSAL_COOLDOWN: Duration = Duration::from_secs(5);

/// Interval between reads of all ledgers.
const LEDGER_REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Placement lease on which every ledger write is conditional.
#[derive(Debug, Clone)]
pub struct Lease {
    /// Key of the lease row.
    pub key: String,
    /// Version of the lease row while this daemon holds the lease.
    pub version: Option<u64>,
    /// Time until which this daemon may act as the lease holder.
    pub valid_until: Duration,
}

#[derive(Debug)]
struct Row {
    ledger: Ledger,
    version: u64,
}

/// Result of sending one copy of an order; `outcome` is `None` if the request failed.
#[derive(Debug)]
struct Reply {
    endpoint: Name,
    id: Arc<str>,
    received_at: Duration,
    outcome: Option<Outcome>,
}

/// Cached ledgers and the state of orders in flight.
#[derive(Debug, Default)]
pub struct Orders {
    rows: HashMap<Name, Row>,
    slots: Slots,
    ledgers_read_at: Option<Duration>,
    quarantines: HashMap<Name, Quarantine>,
    acknowledged_at: HashMap<Arc<str>, Duration>,
    cooldowns: HashMap<Name, Duration>,
    replies: Arc<Mutex<Vec<Reply>>>,
}

/// Empty ledger for an endpoint without a stored one.
pub fn empty_ledger() -> Ledger {
    Ledger::adopt(&Report {
        boot: "".into(),
        last_order: None,
        fence: 0,
        copies: Vec::new(),
    })
}

/// Describes a move and its reason for the decision log.
pub fn describe(step: &Move) -> String {
    let reason = step.reason.as_str();
    match &step.change {
        Change::Load(holding) => {
            format!("load {} v{} for {reason}", holding.model, holding.version)
        }
        Change::Unload { model, version } => format!("unload {model} v{version} for {reason}"),
    }
}

impl Orders {
    /// Returns the cached ledger of an endpoint.
    pub fn ledger(&self, endpoint: &str) -> Option<&Ledger> {
        self.rows.get(endpoint).map(|row| &row.ledger)
    }

    /// Number of loads that can start now.
    pub fn free_slots(&self) -> usize {
        self.slots.free_count()
    }

    /// Returns whether an endpoint gets no new orders because it recently refused one.
    pub fn is_cooling_down(&self, endpoint: &str, now: Duration) -> bool {
        self.cooldowns
            .get(endpoint)
            .is_some_and(|until| now < *until)
    }

    /// Reads the slots, and the ledgers if they are due for a refresh.
    ///
    /// # Errors
    /// [`table::Error`] if a read fails.
    pub async fn refresh(&mut self, node: &Node) -> Result<(), table::Error> {
        let now = node.now();
        let slots = node.table.scan(slot::PREFIX).await?;
        let settings = &node.settings;
        let expires_after = settings.order_life * 2;
        self.slots
            .update(&slots, settings.weight_store_loads, expires_after, now);
        if self
            .ledgers_read_at
            .is_some_and(|at| now < at + LEDGER_REFRESH_INTERVAL)
        {
            return Ok(());
        }
        let rows = node.table.scan(PREFIX).await?;
        self.ledgers_read_at = Some(now);
        self.rows.clear();
        for row in rows {
            let Ok(ledger) = row.json::<Ledger>() else {
                spdlog::error!("placement: ignoring malformed ledger row {}", row.key);
                continue;
            };
            let Some((_, endpoint)) = row.key.rsplit_once('/') else {
                continue;
            };
            let version = row.version;
            self.rows.insert(endpoint.into(), Row { ledger, version });
        }
        Ok(())
    }

    /// Applies replies and load reports of the zone's endpoints to their ledgers and stores the changed ones.
    pub async fn reconcile(&mut self, node: &Node, config: &Config, lease: &Lease) {
        let replies = std::mem::take(&mut *self.replies.lock());
        for reply in &replies {
            self.record_reply(node, reply);
        }
        for endpoint in engines(node, config) {
            self.reconcile_endpoint(node, config, lease, endpoint, &replies)
                .await;
        }
        let retention = node.settings.order_life * 4;
        let now = node.now();
        self.acknowledged_at.retain(|_, at| now < *at + retention);
    }

    fn record_reply(&mut self, node: &Node, reply: &Reply) {
        let quarantine = self.quarantines.entry(reply.endpoint.clone()).or_default();
        quarantine.send(&reply.id, reply.received_at);
        match &reply.outcome {
            Some(Outcome::Done | Outcome::Accepted) => {
                self.acknowledged_at
                    .insert(reply.id.clone(), reply.received_at);
            }
            Some(outcome) => {
                node.placement.count_refusal();
                spdlog::warn!(
                    "placement: order {} refused endpoint={} outcome={outcome:?}",
                    reply.id,
                    reply.endpoint
                );
            }
            None => {}
        }
    }

    async fn reconcile_endpoint(
        &mut self,
        node: &Node,
        config: &Config,
        lease: &Lease,
        endpoint: &Endpoint,
        replies: &[Reply],
    ) {
        let name = &endpoint.name;
        let before = self.rows.get(name).map(|row| row.ledger.clone());
        let mut ledger = before.clone();
        let now = node.now();
        for reply in replies.iter().filter(|reply| reply.endpoint == *name) {
            if let Some(ledger) = &mut ledger {
                self.apply_refusal(ledger, reply);
            }
        }
        if let Some(report) = node.load_reports.report(name) {
            let pending = before.as_ref().and_then(|ledger| ledger.pending.as_ref());
            let acknowledged = pending.and_then(|order| self.acknowledged_at.get(&order.id));
            let acknowledged = acknowledged.is_some_and(|at| *at < report.read_at);
            if now < report.read_at + MAX_REPORT_AGE && !report.load.boot.is_empty() {
                let reported = convert_report(config, ledger.as_ref(), &report.load);
                let mut next = observe(ledger, &reported, acknowledged);
                let quarantine = self.quarantines.entry(name.clone()).or_default();
                quarantine.release(&mut next, report.read_at, now, node.settings.order_life);
                ledger = Some(next);
            }
        }
        let Some(ledger) = ledger else {
            return;
        };
        node.placement.set_fence(name, ledger.fence);
        if before.as_ref() == Some(&ledger) {
            return;
        }
        let transaction = self.release_slot(before.as_ref(), &ledger);
        self.store(node, lease, endpoint, ledger, transaction).await;
    }

    fn apply_refusal(&mut self, ledger: &mut Ledger, reply: &Reply) {
        let pending = ledger.pending.as_ref();
        if pending.is_none_or(|pending| pending.id != reply.id) {
            return;
        }
        match &reply.outcome {
            Some(Outcome::Stale { fence }) => ledger.raise(*fence),
            Some(Outcome::Refused { .. }) => {
                ledger.refuse(&reply.id);
                let until = reply.received_at + REFUSAL_COOLDOWN;
                self.cooldowns.insert(reply.endpoint.clone(), until);
            }
            _ => {}
        }
    }

    fn release_slot(&self, before: Option<&Ledger>, after: &Ledger) -> Transaction {
        let transaction = Transaction::default();
        let pending = before.and_then(|ledger| ledger.pending.as_ref());
        match pending {
            Some(order) if after.pending.is_none() => self.slots.release(transaction, &order.id),
            _ => transaction,
        }
    }

    /// Stores a move as its endpoint's order in flight and sends the order. Returns the order's identifier, or `None`
    /// if nothing was sent.
    pub async fn begin(
        &mut self,
        node: &Arc<Node>,
        lease: &Lease,
        endpoint: &Endpoint,
        step: &Move,
    ) -> Option<Arc<str>> {
        let mut ledger = self.rows.get(&endpoint.name)?.ledger.clone();
        let id: Arc<str> = uuid::Uuid::new_v4().to_string().into();
        let capacity = capacity_mib(endpoint);
        ledger.begin(&id, step.change.clone(), capacity).ok()?;
        let mut transaction = Transaction::default();
        if let Some(remaining_replica) = &step.remaining_replica {
            let row = self.rows.get(remaining_replica)?;
            let key = ledger_key(node, remaining_replica);
            transaction = transaction.unchanged(&key, Some(row.version));
        }
        let slot = Slot {
            order: id.clone(),
            endpoint: endpoint.name.clone(),
        };
        let mut slot_key = None;
        if matches!(step.change, Change::Load(_)) {
            let (with_slot, key) = self.slots.claim(transaction, &slot)?;
            transaction = with_slot;
            slot_key = Some(key);
        }
        let version = self
            .store(node, lease, endpoint, ledger, transaction)
            .await?;
        if let Some(key) = slot_key {
            self.slots.claimed(key, slot, version);
        }
        self.send(node, lease, endpoint);
        Some(id)
    }

    /// Writes a ledger on condition that neither its row nor the lease row has changed. Returns the new version.
    async fn store(
        &mut self,
        node: &Node,
        lease: &Lease,
        endpoint: &Endpoint,
        ledger: Ledger,
        transaction: Transaction,
    ) -> Option<u64> {
        if node.now() >= lease.valid_until {
            return None;
        }
        let key = zone_ledger_key(&endpoint.zone, &endpoint.name);
        let version = self.rows.get(&endpoint.name).map(|row| row.version);
        let transaction = transaction
            .unchanged(&lease.key, lease.version)
            .unchanged(&key, version)
            .put(&key, &ledger);
        match node.table.commit(&transaction).await {
            Ok(Commit::Applied { version }) => {
                let row = Row { ledger, version };
                self.rows.insert(endpoint.name.clone(), row);
                Some(version)
            }
            Ok(Commit::Conflict) => {
                node.placement.count_conflict();
                self.ledgers_read_at = None;
                None
            }
            Err(error) => {
                spdlog::warn!(
                    "placement: storing the ledger of {} failed: {error}",
                    endpoint.name
                );
                self.rows.remove(&endpoint.name);
                self.ledgers_read_at = None;
                None
            }
        }
    }

    /// Resends orders in flight that the endpoint has not acknowledged.
    pub fn resend(&mut self, node: &Arc<Node>, config: &Config, lease: &Lease) {
        let now = node.now();
        for endpoint in engines(node, config) {
            let row = self.rows.get(&endpoint.name);
            let Some(pending) = row.and_then(|row| row.ledger.pending.as_ref()) else {
                continue;
            };
            let acknowledged = self.acknowledged_at.contains_key(&pending.id);
            let quarantine = self.quarantines.get(&endpoint.name);
            let sent = quarantine.and_then(|quarantine| quarantine.sent(&pending.id));
            let due = sent.is_none_or(|sent| now >= sent + node.settings.order_resend);
            if due && !acknowledged {
                self.send(node, lease, endpoint);
            }
        }
    }

    /// Sends a copy of the endpoint's order in flight, unless this daemon may no longer act as the lease holder.
    fn send(&mut self, node: &Arc<Node>, lease: &Lease, endpoint: &Endpoint) {
        let row = self.rows.get(&endpoint.name);
        let Some(pending) = row.and_then(|row| row.ledger.pending.clone()) else {
            return;
        };
        let quarantine = self.quarantines.entry(endpoint.name.clone()).or_default();
        quarantine.send(&pending.id, node.now());
        let valid_until = lease.valid_until;
        let (node, endpoint) = (node.clone(), endpoint.clone());
        let replies = self.replies.clone();
        tokio::spawn(async move {
            if node.now() >= valid_until {
                return;
            }
            node.placement.count_order();
            let outcome = post(&node, &endpoint, &wire_order(&pending)).await.ok();
            replies.lock().push(Reply {
                endpoint: endpoint.name.clone(),
                id: pending.id,
                received_at: node.now(),
                outcome,
            });
        });
    }
}

/// Sends an order once.
///
/// # Errors
/// [`client::Error`]; unless [`client::Error::not_sent`], the order may still take effect.
pub async fn post(
    node: &Node,
    endpoint: &Endpoint,
    order: &Order,
) -> Result<Outcome, client::Error> {
    let url = format!("http://{}/orders", endpoint.address);
    node.http
        .json(Method::POST, &url, Some(order), ORDER_TIMEOUT)
        .await
}

fn engines<'a>(node: &'a Node, config: &'a Config) -> impl Iterator<Item = &'a Endpoint> {
    config
        .endpoints
        .values()
        .filter(|endpoint| endpoint.runs == Kind::Engine && endpoint.zone == node.settings.zone)
}

fn observe(ledger: Option<Ledger>, report: &Report, acknowledged: bool) -> Ledger {
    match ledger {
        Some(mut ledger) => {
            ledger.observe(report, acknowledged);
            ledger
        }
        None => Ledger::adopt(report),
    }
}

fn wire_order(pending: &Pending) -> Order {
    let action = match &pending.change {
        Change::Load(holding) => Action::LoadModel {
            model: holding.model.clone(),
            version: holding.version,
            memory_mib: holding.memory_mib,
        },
        Change::Unload { model, version } => Action::UnloadModel {
            model: model.clone(),
            version: *version,
        },
    };
    Order {
        id: pending.id.to_string(),
        fence: pending.fence,
        action,
    }
}

/// Converts a load report. A copy's memory is taken from the ledger, then from the model's record; used memory that
/// neither accounts for is attributed to the first unknown copy.
fn convert_report(config: &Config, ledger: Option<&Ledger>, load: &Load) -> Report {
    let memory_of = |model: &str, version: u64| {
        let resident = ledger.map(|ledger| ledger.resident.iter());
        let in_ledger = resident
            .into_iter()
            .flatten()
            .find(|holding| &*holding.model == model && holding.version == version);
        let in_record = config.models.get(model).map(|model| model.memory_mib);
        in_ledger.map(|holding| holding.memory_mib).or(in_record)
    };
    let memories: Vec<Option<u64>> = load
        .models
        .iter()
        .map(|resident| memory_of(&resident.model, resident.version))
        .collect();
    let accounted_mib: u64 = memories.iter().flatten().sum();
    let mut unaccounted_mib = load.used_mib.saturating_sub(accounted_mib);
    let copies = load
        .models
        .iter()
        .zip(memories)
        .map(|(resident, memory)| ReportedModel {
            holding: Holding {
                model: resident.model.clone(),
                version: resident.version,
                memory_mib: memory.unwrap_or_else(|| std::mem::take(&mut unaccounted_mib)),
            },
            ready: resident.ready,
        });
    Report {
        boot: load.boot.as_str().into(),
        last_order: load.last_order.as_deref().map(Into::into),
        fence: load.fence,
        copies: copies.collect(),
    }
}

fn ledger_key(node: &Node, endpoint: &str) -> String {
    let config = node.config.load();
    let zone = config.endpoints.get(endpoint).map(|e| e.zone.clone());
    zone_ledger_key(&zone.unwrap_or_default(), endpoint)
}

fn zone_ledger_key(zone: &str, endpoint: &str) -> String {
    format!("{PREFIX}{zone}/{endpoint}")
}
