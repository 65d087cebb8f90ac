//! What the placement shows to the daemon's other parts and to operators.

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

/// Labels of a counted move.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Label {
    change: &'static str,
    reason: &'static str,
}

/// Placement's part of a node.
#[derive(Debug, Default)]
pub struct Placement {
    /// Work that callers ask of this daemon.
    pub demand: Demand,
    /// Work that callers ask of this daemon's zone, as its decider knows it.
    pub zone_flows: super::flow::Totals,
    needs: Mutex<Arc<HashMap<Name, u64>>>,
    holder: AtomicBool,
    until: Mutex<Duration>,
    deciders: Mutex<HashMap<Name, SocketAddr>>,
    fences: Mutex<HashMap<Name, u64>>,
    adapter_orders: Counter,
    moves: Family<Label, Counter>,
    orders_sent: Counter,
    orders_refused: Counter,
    ledger_conflicts: Counter,
    holding: Gauge<i64, AtomicI64>,
}

impl Placement {
    /// Registers the metrics.
    pub fn open(registry: &mut Registry) -> Self {
        Self {
            moves: metric::open(
                registry,
                "placement_moves",
                "Model loads and unloads ordered",
            ),
            orders_sent: metric::open(
                registry,
                "placement_orders_sent",
                "Orders sent to endpoints, resent copies included",
            ),
            orders_refused: metric::open(
                registry,
                "placement_orders_refused",
                "Orders that endpoints refused",
            ),
            adapter_orders: metric::open(
                registry,
                "adapter_orders_sent",
                "Adapter orders sent to endpoints, resent copies included",
            ),
            ledger_conflicts: metric::open(
                registry,
                "placement_ledger_conflicts",
                "Ledger writes that lost to another writer",
            ),
            holding: metric::open(
                registry,
                "placement_holder",
                "Whether this daemon decides its zone's placement",
            ),
            ..Self::default()
        }
    }

    /// Notes whether this daemon decides its zone's placement.
    pub fn set_holder(&self, holds: bool) {
        self.holder.store(holds, Ordering::Relaxed);
        self.holding.set(i64::from(holds));
    }

    /// Says whether this daemon decides its zone's placement.
    pub fn is_holder(&self) -> bool {
        self.holder.load(Ordering::Relaxed)
    }

    /// Notes until when this daemon may give orders.
    pub fn set_until(&self, until: Duration) {
        *self.until.lock() = until;
    }

    /// Says whether this daemon may give orders to the endpoints of its zone now.
    pub fn may_order(&self, now: Duration) -> bool {
        self.is_holder() && now < *self.until.lock()
    }

    /// Replaces what is known of the zones' deciders.
    pub fn set_deciders(&self, deciders: HashMap<Name, SocketAddr>) {
        *self.deciders.lock() = deciders;
    }

    /// Address of the daemon that decides a zone's placement, as far as known.
    pub fn decider(&self, zone: &str) -> Option<SocketAddr> {
        self.deciders.lock().get(zone).copied()
    }

    /// Notes the latest fencing number of an endpoint's ledger.
    pub fn set_fence(&self, endpoint: &Name, fence: u64) {
        self.fences.lock().insert(endpoint.clone(), fence);
    }

    /// Latest fencing number of an endpoint's ledger.
    pub fn fence(&self, endpoint: &str) -> u64 {
        self.fences.lock().get(endpoint).copied().unwrap_or(0)
    }

    /// Counts a copy of an adapter order.
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
        self.moves.get_or_create(&Label { change, reason }).inc();
    }

    /// Counts a copy of an order.
    pub fn count_order(&self) {
        self.orders_sent.inc();
    }

    /// Counts a refusal.
    pub fn count_refusal(&self) {
        self.orders_refused.inc();
    }

    /// Counts a lost write.
    pub fn count_conflict(&self) {
        self.ledger_conflicts.inc();
    }

    /// Forecast of the requests that run at once, by model, in thousandths.
    pub fn needs(&self) -> Arc<HashMap<Name, u64>> {
        self.needs.lock().clone()
    }

    /// Replaces the forecast.
    pub fn set_needs(&self, needs: HashMap<Name, u64>) {
        *self.needs.lock() = Arc::new(needs);
    }
}
