//! Changes to the models and adapters of an engine, each a sequence of orders.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::order::{RESEND_DELAY, fetch_report, resync, send_order};
use super::{announce, finish_change, release_engine};
use crate::coordination::replication::Step;
use crate::serving::Node;
use crate::serving::codec::{self, Operation, Report};
use crate::serving::engine::Handle;
use crate::state::record::Name;

/// Load time of an adapter at full speed, with a margin.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(25);

/// Interval between report reads while an unloading adapter waits for the requests that use it.
const UNLOAD_POLL_INTERVAL: Duration = Duration::from_millis(1000);

/// Time after which an unloading adapter is no longer watched; as long as the longest requests take.
const UNLOAD_WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between announcing to all daemons that an engine drops a model and the unload order.
const UNLOAD_NOTICE: Duration = Duration::from_millis(120);

/// Interval between report reads while a load is in progress.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Time added to three times the expected duration of a load or unload to get its timeout.
const LOAD_TIMEOUT_SLACK: Duration = Duration::from_secs(3);

/// Loads an adapter, after unloading another one if room is needed.
pub async fn replace_adapter(
    node: Arc<Node>,
    handle: Handle,
    evicted: Option<(Name, Name)>,
    wanted: (Name, Name),
) {
    let outcome = swap_adapters(&node, &handle, evicted, &wanted).await;
    if outcome == Outcome::Unknown {
        resync(&node, &handle).await;
    }
    {
        let mut inventory = node.placer.inventory.lock();
        inventory.pending.retain(|pending| *pending != wanted);
    }
    release_engine(&node, &handle, outcome == Outcome::Unknown);
    if outcome == Outcome::InUse {
        watch_unload(&node, &handle).await;
    }
}

/// Result of replacing an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// The wanted adapter is loaded.
    Done,
    /// The other adapter is still in use by requests; nothing was loaded in its place.
    InUse,
    /// An order was refused or got no response.
    Unknown,
}

async fn swap_adapters(
    node: &Node,
    handle: &Handle,
    evicted: Option<(Name, Name)>,
    (model, adapter): &(Name, Name),
) -> Outcome {
    if let Some((model, adapter)) = evicted {
        remove_adapter(node, handle, &model, &adapter);
        let order_outcome =
            send_order(node, handle, Operation::Unload, &model, Some(&adapter)).await;
        match order_outcome {
            Some(codec::Outcome::Done) => {}
            Some(codec::Outcome::Accepted) => {
                if let Some(state) = node.placer.inventory.lock().engine_mut(handle) {
                    state.start_unloading(&model, &adapter);
                }
                return Outcome::InUse;
            }
            _ => return Outcome::Unknown,
        }
    }
    match send_order(node, handle, Operation::Load, model, Some(adapter)).await {
        Some(codec::Outcome::Accepted) => sleep(ADAPTER_LOAD_TIME).await,
        Some(codec::Outcome::Done) => {}
        _ => return Outcome::Unknown,
    }
    if let Some(state) = node.placer.inventory.lock().engine_mut(handle) {
        state.add(model, adapter, node.now());
    }
    Outcome::Done
}

fn remove_adapter(node: &Node, handle: &Handle, model: &Name, adapter: &Name) {
    let mut inventory = node.placer.inventory.lock();
    if let Some(state) = inventory.engine_mut(handle) {
        state.remove(model, adapter);
    }
    announce(node, &inventory, &handle.engine);
}

/// Reads reports until the adapters that an engine was ordered to unload are gone.
async fn watch_unload(node: &Node, handle: &Handle) {
    let started_at = node.now();
    while node.placer.is_holder(node) && node.now() < started_at + UNLOAD_WATCH_TIMEOUT {
        sleep(UNLOAD_POLL_INTERVAL).await;
        {
            let mut inventory = node.placer.inventory.lock();
            let Some(state) = inventory.engine_mut(handle) else {
                return;
            };
            if state.unloading.is_empty() {
                return;
            }
            if state.busy {
                continue;
            }
        }
        let Some(report) = fetch_report(node, &handle.engine).await else {
            continue;
        };
        let mut inventory = node.placer.inventory.lock();
        if inventory
            .engine_mut(handle)
            .is_some_and(|state| !state.busy)
        {
            inventory.read(handle, report, node.now());
        }
    }
}

/// Unloads the models that make room on an engine, then loads the new one.
pub async fn replace_models(node: Arc<Node>, handle: Handle, step: Step, expected: Duration) {
    let id = &handle.engine;
    if !step.unload.is_empty() {
        announce(&node, &node.placer.inventory.lock(), id);
        sleep(UNLOAD_NOTICE).await;
    }
    for model in &step.unload {
        let is_unloaded = |report: &Report| !report.models.contains_key(model);
        let no_load_time = Duration::ZERO;
        if !order_and_wait(
            &node,
            &handle,
            Operation::Unload,
            model,
            no_load_time,
            is_unloaded,
        )
        .await
        {
            return finish_change(&node, &handle, true);
        }
    }
    let started_at = node.now();
    let model = &step.load;
    let resident: Vec<Name> = {
        let mut inventory = node.placer.inventory.lock();
        let state = inventory.engine_mut(&handle);
        state.map_or_else(Vec::new, |state| state.models.keys().cloned().collect())
    };
    let is_loaded = |report: &Report| report.models.contains_key(model);
    let done = order_and_wait(&node, &handle, Operation::Load, model, expected, is_loaded).await;
    spdlog::info!("placer: load", kv: {
        engine: = id,
        model: = model,
        beside = resident.join(",").as_str(),
        unloaded = step.unload.len(),
        from_store = step.from_store,
        done = done,
        took_ms = node.now().saturating_sub(started_at).as_millis() as u64,
    });
    finish_change(&node, &handle, !done);
}

/// Sends an order for a model and waits until it is complete.
async fn order_and_wait(
    node: &Node,
    handle: &Handle,
    operation: Operation,
    model: &Name,
    expected: Duration,
    is_done: impl Fn(&Report) -> bool,
) -> bool {
    let order_outcome = send_order(node, handle, operation, model, None).await;
    match order_outcome {
        Some(codec::Outcome::Accepted | codec::Outcome::Done) => {
            wait_for_completion(node, handle, expected, node.now(), is_done).await
        }
        _ => {
            resync(node, handle).await;
            false
        }
    }
}

/// Waits until an engine's report shows that an order has completed or failed, and records that report.
async fn wait_for_completion(
    node: &Node,
    handle: &Handle,
    expected: Duration,
    started_at: Duration,
    is_done: impl Fn(&Report) -> bool,
) -> bool {
    sleep(expected.max(RESEND_DELAY * 2)).await;
    while node.now() < started_at + expected * 3 + LOAD_TIMEOUT_SLACK {
        if node.placer.inventory.lock().engine_mut(handle).is_none() {
            return false;
        }
        if let Some(report) = fetch_report(node, &handle.engine).await {
            let done = is_done(&report) && !report.busy;
            let failed = !is_done(&report) && !report.busy;
            if (done || failed)
                && node
                    .placer
                    .inventory
                    .lock()
                    .read(handle, report, node.now())
            {
                return done;
            }
        }
        sleep(LOAD_POLL_INTERVAL).await;
    }
    resync(node, handle).await;
    false
}
