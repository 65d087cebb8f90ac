//! Placement of models and adapters: the daemon that holds a lease in the store sends orders to engines.

mod change;
mod lease;
mod order;
mod plan;

pub use lease::{LEASE_KEY, LEASE_TABLE};
pub use order::fetch_report;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::engine::Handle;
use super::inventory::Inventory;
use super::{Node, peers};
use crate::coordination::leadership::Leadership;
use crate::coordination::scale::Refused;
use crate::protocol::digest::{Body, Demand, Holding, Want};
use crate::state::record::Name;
use crate::transport::exchange::Channel;

/// Interval between planning rounds.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// Term of the lease row, in tenths of the time after a holder's last order in which no other daemon may send one.
const TERM_TENTHS: u32 = 4;

/// Delay before an engine that refused an order gets another one.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(1500);

/// Interval at which the models and adapters of all engines are broadcast again.
const HOLDINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of engines in one message.
const MAX_ENGINES_PER_MESSAGE: usize = 12;

/// Time for which changes are collected into one message, for each step by which heartbeats are rarer in a large fleet.
const COLLECT_TIME: Duration = Duration::from_millis(2);

/// Placement state of this daemon.
#[derive(Debug)]
pub struct Placer {
    leadership: Mutex<Leadership>,
    inventory: Mutex<Inventory>,
    wake: Notify,
    /// Engines whose models or adapters have changed since the last message.
    changed: Mutex<BTreeSet<Name>>,
    change: Notify,
    /// Requests refused since the last decision on replicas, by service and zone.
    refused: Mutex<BTreeMap<(Name, Name), Refused>>,
}

impl Placer {
    /// Creates the state of a daemon that doesn't hold the lease.
    pub fn open(lease: Duration) -> Self {
        Self {
            leadership: Mutex::new(Leadership::open(lease * TERM_TENTHS / 10)),
            inventory: Mutex::default(),
            wake: Notify::default(),
            changed: Mutex::default(),
            change: Notify::default(),
            refused: Mutex::default(),
        }
    }

    /// Whether this daemon holds the lease now.
    pub fn is_holder(&self, node: &Node) -> bool {
        self.leadership.lock().election.holds(node.boot_now())
    }

    /// Fencing token of this daemon while it holds the lease.
    pub fn fence(&self, node: &Node) -> Option<u64> {
        let leadership = self.leadership.lock();
        leadership
            .election
            .holds(node.boot_now())
            .then_some(leadership.fence)
    }

    /// Whether this daemon may send orders now.
    pub fn may_order(&self, node: &Node) -> bool {
        self.leadership.lock().may_act(node.boot_now())
    }

    /// Fencing token of this daemon while it may act as the holder.
    pub fn acting_fence(&self, node: &Node) -> Option<u64> {
        let leadership = self.leadership.lock();
        leadership
            .may_act(node.boot_now())
            .then_some(leadership.fence)
    }

    /// Version of the lease's row while this daemon may act as the holder.
    pub fn lease_version(&self, node: &Node) -> Option<u64> {
        let leadership = self.leadership.lock();
        let version = leadership.election.version();
        version.filter(|_| leadership.may_act(node.boot_now()))
    }

    /// Records the demand that a daemon of a zone has seen.
    pub fn record_demand(&self, demand: &Demand, zone: &Name, now: Duration) {
        self.inventory.lock().record_demand(demand, now);
        let mut refused = self.refused.lock();
        for (service, full, model) in &demand.refused {
            let (full, model) = (*full, *model);
            let key = (service.clone(), zone.clone());
            refused.entry(key).or_default().add(Refused { full, model });
        }
    }

    /// Takes the requests refused since the last call, by service and zone.
    pub fn take_refused(&self) -> BTreeMap<(Name, Name), Refused> {
        std::mem::take(&mut *self.refused.lock())
    }

    /// Whether a model was requested within a time, as far as this daemon was told.
    pub fn is_in_demand(&self, model: &str, within: Duration, now: Duration) -> bool {
        self.inventory.lock().is_in_demand(model, within, now)
    }

    /// Adds adapters that requests in a zone wait for, and wakes the planner.
    pub fn add_wanted(&self, wanted: Vec<Want>, zone: Name) {
        let mut inventory = self.inventory.lock();
        for want in wanted {
            if !inventory.wanted.iter().any(|(known, _)| *known == want) {
                inventory.wanted.push((want, zone.clone()));
            }
        }
        drop(inventory);
        self.wake.notify_one();
    }
}

/// Claims the lease when no other daemon holds it, and plans while this daemon does.
pub async fn run(node: Arc<Node>) {
    let channel = Channel::open(node.settings.store_address);
    let task = async {
        let maintain = async {
            loop {
                let pause = lease::maintain(&node, &channel).await;
                sleep(pause).await;
            }
        };
        let plan = async {
            let mut last_broadcast = Duration::ZERO;
            loop {
                tokio::select! {
                    () = sleep(PLAN_INTERVAL) => {}
                    () = node.placer.wake.notified() => {}
                }
                if node.placer.is_holder(&node) && !node.leaving.is_cancelled() {
                    plan::plan(&node);
                    let now = node.now();
                    if last_broadcast + HOLDINGS_INTERVAL < now {
                        last_broadcast = now;
                        broadcast_all_holdings(&node);
                    }
                }
            }
        };
        tokio::join!(maintain, plan, broadcast_changes(&node));
    };
    node.until_stopped(task).await;
}

fn broadcast_all_holdings(node: &Node) {
    let engines: Vec<Name> = {
        let inventory = node.placer.inventory.lock();
        inventory.engines.keys().cloned().collect()
    };
    broadcast_holdings(node, &engines);
}

/// Broadcasts what engines hold.
fn broadcast_holdings(node: &Node, engines: &[Name]) {
    let holdings: Vec<Holding> = {
        let inventory = node.placer.inventory.lock();
        let holdings = engines.iter().filter_map(|id| inventory.holding(id));
        holdings.collect()
    };
    for part in holdings.chunks(MAX_ENGINES_PER_MESSAGE) {
        peers::broadcast(node, Body::Held(part.to_vec()));
    }
}

/// Broadcasts changes of what engines hold; those that follow each other closely share a message.
async fn broadcast_changes(node: &Node) {
    loop {
        node.placer.change.notified().await;
        sleep(COLLECT_TIME * (node.peers.interval_factor() - 1)).await;
        let changed = std::mem::take(&mut *node.placer.changed.lock());
        let engines: Vec<Name> = changed.into_iter().collect();
        broadcast_holdings(node, &engines);
    }
}

/// Puts what an engine holds in force here, and has it broadcast.
fn announce(node: &Node, inventory: &Inventory, engine: &Name) {
    let holding = inventory.holding(engine);
    peers::apply_holdings(node, holding.into_iter().collect(), node.now());
    node.placer.changed.lock().insert(engine.clone());
    node.placer.change.notify_one();
}

/// Ends a change to an engine's models: releases the engine for the next one and broadcasts what it holds.
fn finish_change(node: &Node, handle: &Handle, back_off: bool) {
    {
        let mut inventory = node.placer.inventory.lock();
        if inventory.engine_mut(handle).is_some() {
            let id = &handle.engine;
            inventory.loading.retain(|(engine, _, _)| engine != id);
        }
    }
    release_engine(node, handle, back_off);
}

/// Releases an engine for its next order, after a delay if something failed, and broadcasts what it holds; does nothing
/// if the state that the change belongs to was dropped.
fn release_engine(node: &Node, handle: &Handle, back_off: bool) {
    let mut inventory = node.placer.inventory.lock();
    let Some(state) = inventory.engine_mut(handle) else {
        return;
    };
    state.busy = false;
    if back_off {
        state.paused_until = node.now() + REFUSAL_BACKOFF;
    }
    announce(node, &inventory, &handle.engine);
    drop(inventory);
    node.placer.wake.notify_one();
}
