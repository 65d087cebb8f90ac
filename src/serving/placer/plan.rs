//! Decides which orders to send, from the known state of engines and demand.

use std::sync::Arc;
use std::time::Duration;

use super::{change, order};
use crate::coordination::leadership::Phase;
use crate::coordination::replication::Planner;
use crate::protocol::digest::Body;
use crate::serving::endpoint::View;
use crate::serving::engine::Handle;
use crate::serving::ledger::Ledger;
use crate::serving::{Node, peers};
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
    let mut ledger = node.placer.ledger.lock();
    let phase = node.placer.leadership.lock().phase(node.boot_now());
    if phase == Phase::Begin {
        ledger.confirm();
    }
    for handle in ledger.follow(&view, &catalog.services, now) {
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
        plan_adapters(node, &mut ledger, service, &view, now);
        plan_models(node, &mut ledger, service, &view, now);
    }
    ledger.wanted.clear();
}

fn plan_adapters(
    node: &Arc<Node>,
    ledger: &mut Ledger,
    service: &Arc<Service>,
    view: &View,
    now: Duration,
) {
    let mut planner = ledger.planner(view, service, now);
    let mut started = 0;
    for wanted in ledger.wanted.clone() {
        let (model, adapter, _) = &wanted;
        let key = (model.clone(), adapter.clone());
        if ledger.pending.contains(&key) {
            continue;
        }
        if let Some(holder) = ledger.holder(&planner, model, adapter) {
            peers::broadcast(
                node,
                &Body::Held(ledger.holding(&holder).into_iter().collect()),
            );
            continue;
        }
        let Some(placement) = ledger.place_adapter(&planner, &wanted, now) else {
            continue;
        };
        let Some(handle) = mark_busy(ledger, &mut planner, &placement.engine) else {
            continue;
        };
        ledger.pending.push(key.clone());
        tokio::spawn(change::replace_adapter(
            node.clone(),
            handle,
            placement.evicted,
            key,
        ));
        started += 1;
    }
    while started < MAX_ADAPTER_ORDERS {
        let Some((engine, model, adapter)) = ledger.ahead(&planner, service) else {
            return;
        };
        let Some(handle) = mark_busy(ledger, &mut planner, &engine) else {
            return;
        };
        let wanted = (model, adapter);
        tokio::spawn(change::replace_adapter(node.clone(), handle, None, wanted));
        started += 1;
    }
}

fn plan_models(
    node: &Arc<Node>,
    ledger: &mut Ledger,
    service: &Arc<Service>,
    view: &View,
    now: Duration,
) {
    let Some(engine) = &service.engine else {
        return;
    };
    loop {
        let mut planner = ledger.planner(view, service, now);
        let window = node.tuning.load().load_window;
        let may_load = ledger.may_load(engine.loads_per_second, window, now);
        let may_load_spare = ledger.may_spare(engine.loads_per_second, window);
        let Some(step) = planner.step(may_load, may_load_spare) else {
            return;
        };
        if step.from_store {
            ledger.note_load(now);
        }
        let Some(handle) = mark_busy(ledger, &mut planner, &step.engine) else {
            return;
        };
        if let Some(state) = ledger.at(&handle) {
            state.models.retain(|model, _| !step.unload.contains(model));
        }
        let loading = (step.engine.clone(), step.load.clone(), step.from_store);
        ledger.loading.push(loading);
        let expected = match (step.from_store, engine.models.get(&step.load)) {
            (true, Some(model)) => model.load_time,
            _ => MAX_CACHED_LOAD_TIME,
        };
        tokio::spawn(change::replace_models(node.clone(), handle, step, expected));
    }
}

/// Marks an engine as busy, so that no other order starts there until this one is answered.
fn mark_busy(ledger: &mut Ledger, planner: &mut Planner, id: &Name) -> Option<Handle> {
    let handle = ledger.handle(id)?;
    ledger.at(&handle)?.busy = true;
    if let Some(engine) = planner.engines.iter_mut().find(|engine| engine.id == *id) {
        engine.busy = true;
    }
    Some(handle)
}
