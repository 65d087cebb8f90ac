//! Placement of models and adapters: the daemon that holds a lease in the store sends orders to engines.

mod change;
mod lease;
mod order;
mod plan;

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::engine::Handle;
use super::inventory::Inventory;
use super::{Node, peers};
use crate::coordination::leadership::Leadership;
use crate::protocol::digest::{Body, Demand, Holding};
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

/// Placement state of this daemon.
#[derive(Debug)]
pub struct Placer {
    leadership: Mutex<Leadership>,
    inventory: Mutex<Inventory>,
    wake: Notify,
}

impl Placer {
    /// Creates the state of a daemon that doesn't hold the lease.
    pub fn open(lease: Duration) -> Self {
        Self {
            leadership: Mutex::new(Leadership::open(lease * TERM_TENTHS / 10)),
            inventory: Mutex::default(),
            wake: Notify::default(),
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

    fn may_order(&self, node: &Node) -> bool {
        self.leadership.lock().may_act(node.boot_now())
    }

    /// Records the demand that a daemon has seen.
    pub fn record_demand(&self, demand: &Demand, now: Duration) {
        self.inventory.lock().record_demand(demand, now);
    }

    /// Adds adapters that requests in a zone wait for, and wakes the planner.
    pub fn add_wanted(&self, wanted: Vec<(Name, Name)>, zone: Name) {
        let mut inventory = self.inventory.lock();
        for (model, adapter) in wanted {
            let known = inventory.wanted.iter();
            let mut known = known.filter(|(known_model, known_adapter, _)| {
                *known_model == model && *known_adapter == adapter
            });
            if known.next().is_none() {
                inventory.wanted.push((model, adapter, zone.clone()));
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
        tokio::join!(maintain, plan);
    };
    node.until_stopped(task).await;
}

fn broadcast_all_holdings(node: &Node) {
    let holdings: Vec<Holding> = {
        let inventory = node.placer.inventory.lock();
        let ids = inventory.engines.keys();
        ids.filter_map(|id| inventory.holding(id)).collect()
    };
    for part in holdings.chunks(MAX_ENGINES_PER_MESSAGE) {
        broadcast_holdings(node, part.to_vec());
    }
}

/// Broadcasts what engines hold to all daemons, including this one.
fn broadcast_holdings(node: &Node, holdings: Vec<Holding>) {
    peers::apply_holdings(node, holdings.clone(), node.now());
    peers::broadcast(node, &Body::Held(holdings));
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
    let holding = {
        let mut inventory = node.placer.inventory.lock();
        let Some(state) = inventory.engine_mut(handle) else {
            return;
        };
        state.busy = false;
        if back_off {
            state.paused_until = node.now() + REFUSAL_BACKOFF;
        }
        inventory.holding(&handle.engine)
    };
    broadcast_holdings(node, holding.into_iter().collect());
    node.placer.wake.notify_one();
}
