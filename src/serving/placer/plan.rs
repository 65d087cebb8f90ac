//! Decides which orders to send, from the known state of engines and demand.

use std::sync::Arc;
use std::time::Duration;

use super::{announce, change, order};
use crate::coordination::leadership::Phase;
use crate::coordination::replication::Planner;
use crate::serving::Node;
use crate::serving::engine::Handle;
use crate::serving::inventory::Inventory;
use crate::state::catalog::Service;
use crate::state::record::Name;

/// Maximum load time from an engine's own memory or disk.
const MAX_CACHED_LOAD_TIME: Duration = Duration::from_millis(500);

/// Adapter orders per service and planning round beyond which no adapter is loaded ahead of demand.
const MAX_ADAPTER_ORDERS: usize = 12;

/// Starts reading missing reports and carrying out the orders that are due.
pub fn plan(node: &Arc<Node>) {
    let now = node.now();
    let Some(catalog) = node.fleet.catalog.load_full() else {
        return;
    };
    let view = node.fleet.view.load_full();
    let mut inventory = node.placer.inventory.lock();
    let phase = node.placer.leadership.lock().phase(node.boot_now());
    if phase == Phase::Begin {
        inventory.invalidate_reports();
    }
    for handle in inventory.sync_engines(&view, &catalog.services, now) {
        tokio::spawn(order::read_report(node.clone(), handle));
    }
    if phase == Phase::Wait {
        return;
    }
    let engines = catalog
        .services
        .values()
        .filter(|service| service.engine.is_some());
    for service in engines {
        let mut planner = inventory.planner(&view, service, &node.statements.lock(), now);
        plan_adapters(node, &mut inventory, &mut planner, service, now);
        plan_models(node, &mut inventory, &mut planner, service, now);
    }
    inventory.wanted.clear();
}

fn plan_adapters(
    node: &Arc<Node>,
    inventory: &mut Inventory,
    planner: &mut Planner,
    service: &Arc<Service>,
    now: Duration,
) {
    let mut copies = inventory.adapter_copies(planner);
    let mut started = 0;
    for (want, zone) in inventory.wanted.clone() {
        let key = (want.model.clone(), want.adapter.clone());
        if inventory.pending.contains(&key) {
            continue;
        }
        if let Some(holder) = inventory.holder(planner, &want) {
            announce(node, inventory, &holder);
            continue;
        }
        let Some(placement) = inventory.place_adapter(planner, &copies, &want, &zone, now) else {
            continue;
        };
        let Some(handle) = mark_busy(inventory, planner, &placement.engine) else {
            continue;
        };
        inventory.pending.push(key.clone());
        copies.add(&want.model, &want.adapter);
        tokio::spawn(change::replace_adapter(
            node.clone(),
            handle,
            placement.evicted,
            key,
        ));
        started += 1;
    }
    while started < MAX_ADAPTER_ORDERS {
        let preload = Inventory::next_preload(planner, &copies, service);
        let Some((engine, model, adapter)) = preload else {
            return;
        };
        let Some(handle) = mark_busy(inventory, planner, &engine) else {
            return;
        };
        copies.add(&model, &adapter);
        let wanted = (model, adapter);
        tokio::spawn(change::replace_adapter(node.clone(), handle, None, wanted));
        started += 1;
    }
}

fn plan_models(
    node: &Arc<Node>,
    inventory: &mut Inventory,
    planner: &mut Planner,
    service: &Arc<Service>,
    now: Duration,
) {
    let Some(engine) = &service.engine else {
        return;
    };
    loop {
        let window = node.tuning.load().load_window;
        let may_load = inventory.may_load(engine, window, now);
        let may_load_spare = inventory.may_load_spare(engine, window);
        let Some(step) = planner.step(may_load, may_load_spare) else {
            return;
        };
        if step.from_store {
            inventory.note_load(now);
        }
        let Some(handle) = mark_busy(inventory, planner, &step.engine) else {
            return;
        };
        if let Some(state) = inventory.engine_mut(&handle) {
            state.models.retain(|model, _| !step.unload.contains(model));
        }
        planner.start(&step);
        let loading = (step.engine.clone(), step.load.clone(), step.from_store);
        inventory.loading.push(loading);
        let expected = match (step.from_store, engine.models.get(&step.load)) {
            (true, Some(model)) => model.load_time,
            _ => MAX_CACHED_LOAD_TIME,
        };
        tokio::spawn(change::replace_models(node.clone(), handle, step, expected));
    }
}

/// Marks an engine as busy, so that no other order starts there until this one is answered.
fn mark_busy(inventory: &mut Inventory, planner: &mut Planner, id: &Name) -> Option<Handle> {
    let handle = inventory.handle(id)?;
    inventory.engine_mut(&handle)?.busy = true;
    if let Some(engine) = planner.engines.iter_mut().find(|engine| engine.id == *id) {
        engine.busy = true;
    }
    Some(handle)
}
