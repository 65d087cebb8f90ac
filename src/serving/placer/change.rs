//! Changes to the models and adapters of an engine, each a sequence of orders.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::order::{RESEND, order, report, settle};
use super::{end, free, tell};
use crate::coordination::stock::Step;
use crate::serving::Node;
use crate::serving::account::Target;
use crate::serving::adapter::{Operation, Report, Taken};
use crate::state::record::Name;

/// Load time of an adapter at full speed, with a margin.
const ADAPTER_LOAD: Duration = Duration::from_millis(25);

/// Interval between report reads while an unloading adapter waits for the requests that use it.
const LEAVING_POLL: Duration = Duration::from_millis(1000);

/// Time after which an unloading adapter is no longer watched; as long as the longest requests take.
const LONGEST_LEAVING: Duration = Duration::from_secs(20);

/// Time between announcing to all daemons that an engine drops a model and the unload order.
const NOTICE: Duration = Duration::from_millis(120);

/// Interval between report reads while a load is in progress.
const LOAD_POLL: Duration = Duration::from_millis(400);

/// Time added to three times the expected duration of a load or unload to get its timeout.
const LOAD_SLACK: Duration = Duration::from_secs(3);

/// Loads an adapter, after unloading another one if room is needed.
pub async fn adapters(
    node: Arc<Node>,
    target: Target,
    yields: Option<(Name, Name)>,
    wanted: (Name, Name),
) {
    let outcome = exchange_adapters(&node, &target, yields, &wanted).await;
    if outcome == Outcome::Unknown {
        settle(&node, &target).await;
    }
    {
        let mut ledger = node.placer.ledger.lock();
        ledger.pending.retain(|pending| *pending != wanted);
    }
    free(&node, &target, outcome == Outcome::Unknown);
    if outcome == Outcome::Waits {
        watch(&node, &target).await;
    }
}

/// Result of replacing an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// The wanted adapter is loaded.
    Done,
    /// The other adapter is still in use by requests; nothing was loaded in its place.
    Waits,
    /// An order was refused or got no response.
    Unknown,
}

async fn exchange_adapters(
    node: &Node,
    target: &Target,
    yields: Option<(Name, Name)>,
    (model, adapter): &(Name, Name),
) -> Outcome {
    if let Some((model, adapter)) = yields {
        remove_adapter(node, target, &model, &adapter);
        let taken = order(node, target, Operation::Unload, &model, Some(&adapter)).await;
        match taken {
            Some(Taken::Done) => {}
            Some(Taken::Accepted) => {
                if let Some(account) = node.placer.ledger.lock().at(target) {
                    account.leave(&model, &adapter);
                }
                return Outcome::Waits;
            }
            _ => return Outcome::Unknown,
        }
    }
    match order(node, target, Operation::Load, model, Some(adapter)).await {
        Some(Taken::Accepted) => sleep(ADAPTER_LOAD).await,
        Some(Taken::Done) => {}
        _ => return Outcome::Unknown,
    }
    if let Some(account) = node.placer.ledger.lock().at(target) {
        account.add(model, adapter, node.now());
    }
    Outcome::Done
}

fn remove_adapter(node: &Node, target: &Target, model: &Name, adapter: &Name) {
    let holding = {
        let mut ledger = node.placer.ledger.lock();
        if let Some(account) = ledger.at(target) {
            account.remove(model, adapter);
        }
        ledger.holding(&target.engine)
    };
    tell(node, holding.into_iter().collect());
}

/// Reads reports until the adapters that an engine was ordered to unload are gone.
async fn watch(node: &Node, target: &Target) {
    let began = node.now();
    while node.placer.is_holder(node) && node.now() < began + LONGEST_LEAVING {
        sleep(LEAVING_POLL).await;
        {
            let mut ledger = node.placer.ledger.lock();
            let Some(account) = ledger.at(target) else {
                return;
            };
            if account.leaving.is_empty() {
                return;
            }
            if account.busy {
                continue;
            }
        }
        let Some(report) = report(node, &target.engine).await else {
            continue;
        };
        let mut ledger = node.placer.ledger.lock();
        if ledger.at(target).is_some_and(|account| !account.busy) {
            ledger.read(target, report, node.now());
        }
    }
}

/// Unloads the models that make room on an engine, then loads the new one.
pub async fn models(node: Arc<Node>, target: Target, step: Step, expected: Duration) {
    let id = &target.engine;
    if !step.unload.is_empty() {
        let holding = node.placer.ledger.lock().holding(id);
        tell(&node, holding.into_iter().collect());
        sleep(NOTICE).await;
    }
    for model in &step.unload {
        let is_gone = |report: &Report| !report.models.contains_key(model);
        let none = Duration::ZERO;
        if !carry_out(&node, &target, Operation::Unload, model, none, is_gone).await {
            return end(&node, &target, true);
        }
    }
    let began = node.now();
    let model = &step.load;
    let beside: Vec<Name> = {
        let mut ledger = node.placer.ledger.lock();
        let account = ledger.at(&target);
        account.map_or_else(Vec::new, |account| account.models.keys().cloned().collect())
    };
    let is_there = |report: &Report| report.models.contains_key(model);
    let done = carry_out(&node, &target, Operation::Load, model, expected, is_there).await;
    spdlog::info!("placer: load", kv: {
        engine: = id,
        model: = model,
        beside = beside.join(",").as_str(),
        unloaded = step.unload.len(),
        from_store = step.from_store,
        done = done,
        took_ms = node.now().saturating_sub(began).as_millis() as u64,
    });
    end(&node, &target, !done);
}

/// Sends an order for a model and waits until it is complete.
async fn carry_out(
    node: &Node,
    target: &Target,
    operation: Operation,
    model: &Name,
    expected: Duration,
    is_done: impl Fn(&Report) -> bool,
) -> bool {
    let taken = order(node, target, operation, model, None).await;
    match taken {
        Some(Taken::Accepted | Taken::Done) => {
            finished(node, target, expected, node.now(), is_done).await
        }
        _ => {
            settle(node, target).await;
            false
        }
    }
}

/// Waits until an engine's report shows that an order has completed or failed, and records that report.
async fn finished(
    node: &Node,
    target: &Target,
    expected: Duration,
    began: Duration,
    is_done: impl Fn(&Report) -> bool,
) -> bool {
    sleep(expected.max(RESEND * 2)).await;
    while node.now() < began + expected * 3 + LOAD_SLACK {
        if node.placer.ledger.lock().at(target).is_none() {
            return false;
        }
        if let Some(report) = report(node, &target.engine).await {
            let done = is_done(&report) && !report.busy;
            let failed = !is_done(&report) && !report.busy;
            if (done || failed) && node.placer.ledger.lock().read(target, report, node.now()) {
                return done;
            }
        }
        sleep(LOAD_POLL).await;
    }
    settle(node, target).await;
    false
}
