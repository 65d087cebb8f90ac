//! Placement state shared with the rest of the daemon, and placement metrics.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::coordination::ledger::Change;
use crate::coordination::placement::Move;
use crate::metric;
use crate::state::demand::Demand;
use crate::state::record::Name;

/// Metric labels of a move.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Labels {
    change: &'static str,
    reason: &'static str,
}

/// Placement state and metrics of a node.
#[derive(Debug, Default)]
pub struct Placement {
    /// Demand at this daemon.
    pub demand: Demand,
    /// Demand in this daemon's zone, accumulated while this daemon holds the placement lease.
    pub zone_flows: super::demand::Totals,
    concurrency: Mutex<Arc<HashMap<Name, u64>>>,
    is_holder: AtomicBool,
    lease_valid_until: Mutex<Duration>,
    holders: Mutex<HashMap<Name, SocketAddr>>,
    fences: Mutex<HashMap<Name, u64>>,
    adapter_orders: Counter,
    moves: Family<Labels, Counter>,
    orders_sent: Counter,
    orders_refused: Counter,
    ledger_conflicts: Counter,
    holder_gauge: Gauge<i64, AtomicI64>,
}

impl Placement {
    /// Creates the placement state and registers its metrics.
    pub fn open(registry: &mut Registry) -> Self {
        Self {
            moves: metric::register(
                registry,
                "placement_moves",
                "Model loads and unloads ordered",
            ),
            orders_sent: metric::register(
                registry,
                "placement_orders_sent",
                "Orders sent to endpoints, resent copies included",
            ),
            orders_refused: metric::register(
                registry,
                "placement_orders_refused",
                "Orders that endpoints refused",
            ),
            adapter_orders: metric::register(
                registry,
                "adapter_orders_sent",
                "Adapter orders sent to endpoints, resent copies included",
            ),
            ledger_conflicts: metric::register(
                registry,
                "placement_ledger_conflicts",
                "Ledger writes that lost to another writer",
            ),
            holder_gauge: metric::register(
                registry,
                "placement_holder",
                "Whether this daemon decides its zone's placement",
            ),
            ..Self::default()
        }
    }

    /// Sets whether this daemon holds its zone's placement lease.
    pub fn set_holder(&self, is_holder: bool) {
        self.is_holder.store(is_holder, Ordering::Relaxed);
        self.holder_gauge.set(i64::from(is_holder));
    }

    /// Returns whether this daemon holds its zone's placement lease.
    pub fn is_holder(&self) -> bool {
        self.is_holder.load(Ordering::Relaxed)
    }

    /// Sets the time until which this daemon may send orders.
    pub fn set_lease_valid_until(&self, until: Duration) {
        *self.lease_valid_until.lock() = until;
    }

    /// Returns whether this daemon may send orders to its zone's endpoints at `now`.
    pub fn may_order(&self, now: Duration) -> bool {
        self.is_holder() && now < *self.lease_valid_until.lock()
    }

    /// Replaces the known lease holders, by zone.
    pub fn set_holders(&self, holders: HashMap<Name, SocketAddr>) {
        *self.holders.lock() = holders;
    }

    /// Address of the daemon that holds a zone's placement lease, if known.
    pub fn holder(&self, zone: &str) -> Option<SocketAddr> {
        self.holders.lock().get(zone).copied()
    }

    /// Sets the latest fencing token of an endpoint's ledger.
    pub fn set_fence(&self, endpoint: &Name, fence: u64) {
        self.fences.lock().insert(endpoint.clone(), fence);
    }

    /// Latest fencing token of an endpoint's ledger; 0 if unknown.
    pub fn fence(&self, endpoint: &str) -> u64 {
        self.fences.lock().get(endpoint).copied().unwrap_or(0)
    }

    /// Counts a sent adapter order, resends included.
    pub fn count_adapter_order(&self) {
        self.adapter_orders.inc();
    }

    /// Counts a move.
    pub fn count_move(&self, step: &Move) {
        let change = match step.change {
            Change::Load(_) => "load",
            Change::Unload { .. } => "unload",
        };
        let reason = step.reason.as_str();
        self.moves.get_or_create(&Labels { change, reason }).inc();
    }

    /// Counts a sent order, resends included.
    pub fn count_order(&self) {
        self.orders_sent.inc();
    }

    /// Counts an order that an endpoint refused.
    pub fn count_refusal(&self) {
        self.orders_refused.inc();
    }

    /// Counts a ledger write that lost to another writer.
    pub fn count_conflict(&self) {
        self.ledger_conflicts.inc();
    }

    /// Forecast of concurrent requests by model, in thousandths of a request.
    pub fn concurrency(&self) -> Arc<HashMap<Name, u64>> {
        self.concurrency.lock().clone()
    }

    /// Replaces the forecast.
    pub fn set_concurrency(&self, concurrency: HashMap<Name, u64>) {
        *self.concurrency.lock() = Arc::new(concurrency);
    }
}
