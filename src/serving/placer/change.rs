//! Changes of what an engine holds: some orders one after the other.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::order::{RESEND, order, report, settle};
use super::{answered, end, tell};
use crate::coordination::stock::Step;
use crate::serving::Node;
use crate::serving::adapter::{Operation, Report, Taken};
use crate::state::record::Name;

/// Time that an adapter's load takes at full speed, with a margin.
const ADAPTER_LOAD: Duration = Duration::from_millis(25);

/// Time given to requests that use an adapter which is to leave.
const ADAPTER_DRAIN: Duration = Duration::from_millis(600);

/// Time for which all daemons are told before an engine drops a model.
const NOTICE: Duration = Duration::from_millis(120);

/// Pause between two readings of a report while a load goes on.
const LOAD_POLL: Duration = Duration::from_millis(400);

/// Time after which a load is no longer waited for, beyond three times what it should take.
const LOAD_SLACK: Duration = Duration::from_secs(3);

/// Loads an adapter, after another one has left if that has to be.
pub async fn adapters(
    node: Arc<Node>,
    id: Name,
    yields: Option<(Name, Name)>,
    wanted: (Name, Name),
) {
    let done = exchange_adapters(&node, &id, yields, &wanted).await;
    if !done {
        settle(&node, &id).await;
    }
    let mut ledger = node.placer.ledger.lock();
    ledger.pending.retain(|pending| *pending != wanted);
    drop(ledger);
    answered(&node, &id, !done);
}

async fn exchange_adapters(
    node: &Node,
    id: &Name,
    yields: Option<(Name, Name)>,
    (model, adapter): &(Name, Name),
) -> bool {
    if let Some((model, adapter)) = yields {
        remove_adapter(node, id, &model, &adapter);
        let taken = order(node, id, Operation::Unload, &model, Some(&adapter)).await;
        match taken {
            Some(Taken::Done) => {}
            // It waits for the requests that use it.
            Some(Taken::Accepted) => sleep(ADAPTER_DRAIN).await,
            _ => return false,
        }
    }
    match order(node, id, Operation::Load, model, Some(adapter)).await {
        Some(Taken::Accepted) => sleep(ADAPTER_LOAD).await,
        Some(Taken::Done) => {}
        _ => return false,
    }
    let now = node.now();
    let mut ledger = node.placer.ledger.lock();
    let account = ledger.accounts.get_mut(id);
    let adapters = account.and_then(|account| account.models.get_mut(model));
    if let Some(adapters) = adapters {
        adapters.insert(adapter.clone(), now);
    }
    true
}

fn remove_adapter(node: &Node, id: &Name, model: &Name, adapter: &Name) {
    let holding = {
        let mut ledger = node.placer.ledger.lock();
        let account = ledger.accounts.get_mut(id);
        let adapters = account.and_then(|account| account.models.get_mut(model));
        if let Some(adapters) = adapters {
            adapters.remove(adapter);
        }
        ledger.holding(id)
    };
    tell(node, holding.into_iter().collect());
}

/// Unloads what has to leave an engine, and loads what takes its place.
pub async fn models(node: Arc<Node>, step: Step, expected: Duration) {
    let id = &step.engine;
    if !step.unload.is_empty() {
        let holding = node.placer.ledger.lock().holding(id);
        tell(&node, holding.into_iter().collect());
        sleep(NOTICE).await;
    }
    for model in &step.unload {
        let is_gone = |report: &Report| !report.models.contains_key(model);
        if !carry_out(&node, id, Operation::Unload, model, Duration::ZERO, is_gone).await {
            return end(&node, id, true);
        }
    }
    let began = node.now();
    let model = &step.load;
    let beside: Vec<Name> = {
        let ledger = node.placer.ledger.lock();
        let account = ledger.accounts.get(id);
        account.map_or_else(Vec::new, |account| account.models.keys().cloned().collect())
    };
    let is_there = |report: &Report| report.models.contains_key(model);
    let done = carry_out(&node, id, Operation::Load, model, expected, is_there).await;
    spdlog::info!(
        "placer: load engine={id} model={model} beside={} unloaded={} from_store={} done={done} took_ms={}",
        beside.join(","),
        step.unload.len(),
        step.from_store,
        node.now().saturating_sub(began).as_millis()
    );
    end(&node, id, !done);
}

/// Gives an order for a model and waits until it is complete.
async fn carry_out(
    node: &Node,
    id: &Name,
    operation: Operation,
    model: &Name,
    expected: Duration,
    is_done: impl Fn(&Report) -> bool,
) -> bool {
    let taken = order(node, id, operation, model, None).await;
    match taken {
        Some(Taken::Accepted | Taken::Done) => {
            finished(node, id, expected, node.now(), is_done).await
        }
        _ => {
            settle(node, id).await;
            false
        }
    }
}

/// Waits until an engine's report shows that an order is complete, and takes the report over.
async fn finished(
    node: &Node,
    id: &Name,
    expected: Duration,
    began: Duration,
    is_done: impl Fn(&Report) -> bool,
) -> bool {
    sleep(expected.max(RESEND * 2)).await;
    while node.now() < began + expected * 3 + LOAD_SLACK {
        if let Some(report) = report(node, id).await {
            let done = is_done(&report) && !report.busy;
            let failed = !is_done(&report) && !report.busy;
            if (done || failed) && node.placer.ledger.lock().read(id, report, node.now()) {
                return done;
            }
        }
        sleep(LOAD_POLL).await;
    }
    settle(node, id).await;
    false
}
