//! The duty to place models and adapters: one daemon holds it by a lease in the store and orders engines.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::adapter::{Operation, Order, Report, Taken};
use super::feed;
use super::ledger::Ledger;
use super::peers;
use super::{Node, spread};
use crate::coordination::election::{Election, Lease, Step as Claim};
use crate::coordination::stock::{Step, Stock};
use crate::protocol::digest::{Body, Demand, Holding};
use crate::state::catalog::Service;
use crate::state::record::Name;
use crate::state::row::Change;
use crate::transport::exchange::{Connection, Line};

/// Table of the lease.
const TABLE: &str = "lease";

/// Key of the lease.
const KEY: &str = "placement";

/// Interval between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two looks at the lease while no placer is heard.
const LOOK_INTERVAL: Duration = Duration::from_millis(400);

/// Head start of each daemon over the next in order when the duty is free.
const TURN: Duration = Duration::from_millis(200);

/// Term of the holder's row, in tenths of the time for which nobody else may order after its last order.
const TERM_TENTHS: u32 = 4;

/// Margin beyond the lease before the first order of a new holder.
const MARGIN: Duration = Duration::from_millis(400);

/// Timeout of one order or report.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// Times that an unanswered order is sent; each copy asks for the same sequence, so that one at most applies.
const ORDER_COPIES: u32 = 8;

/// Pause before an unanswered order is sent again.
const RESEND: Duration = Duration::from_millis(150);

/// Age that an engine's report may have.
const REPORT_LAG: Duration = Duration::from_millis(400);

/// Pause before an engine that refused an order gets another.
const REST: Duration = Duration::from_millis(1500);

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

/// Time that a load from an engine's own memory or disk takes at most.
const CACHED_LOAD: Duration = Duration::from_millis(500);

/// Interval at which all daemons are told again what engines hold.
const TELL_INTERVAL: Duration = Duration::from_secs(2);

/// Engines in one message.
const ENGINES_PER_MESSAGE: usize = 12;

/// Adapter orders that may be under way at once over all engines.
const ADAPTER_ORDERS: usize = 12;

/// The duty as this daemon sees it.
#[derive(Debug)]
pub struct Placer {
    election: Mutex<Election>,
    ledger: Mutex<Ledger>,
    /// Time from which this holder may order.
    from: Mutex<Duration>,
    fence: Mutex<u64>,
    /// Whether reports were read again since this holder may order.
    confirmed: AtomicBool,
    urgent: Notify,
}

impl Placer {
    /// Opens the duty, held by nobody.
    pub fn open(lease: Duration) -> Self {
        Self {
            election: Mutex::new(Election::open(lease * TERM_TENTHS / 10)),
            ledger: Mutex::default(),
            from: Mutex::default(),
            fence: Mutex::default(),
            confirmed: AtomicBool::default(),
            urgent: Notify::default(),
        }
    }

    /// Whether this daemon holds the duty now.
    pub fn is_holder(&self, node: &Node) -> bool {
        self.election.lock().holds(node.boot_now())
    }

    /// Fencing token of this daemon while it holds the duty.
    pub fn fence(&self, node: &Node) -> Option<u64> {
        self.is_holder(node).then(|| *self.fence.lock())
    }

    fn may_order(&self, node: &Node) -> bool {
        self.is_holder(node) && node.boot_now() >= *self.from.lock()
    }

    /// Takes in demand.
    pub fn learn(&self, demand: &Demand, now: Duration) {
        self.ledger.lock().learn(demand, now);
    }

    /// Takes in adapters that requests in a zone wait for.
    pub fn want(&self, wanted: Vec<(Name, Name)>, zone: Name) {
        let mut ledger = self.ledger.lock();
        for (model, adapter) in wanted {
            let known = ledger.wanted.iter();
            let mut known = known.filter(|(m, a, _)| *m == model && *a == adapter);
            if known.next().is_none() {
                ledger.wanted.push((model, adapter, zone.clone()));
            }
        }
        drop(ledger);
        self.urgent.notify_one();
    }
}

/// Holds the duty when nobody else does, and plans while it holds it.
pub async fn run(node: Arc<Node>) {
    let stopped = node.stopped.clone();
    let line = Line::open(node.settings.store_address);
    let work = async {
        let keep = async {
            loop {
                let pause = keep_lease(&node, &line).await;
                sleep(pause).await;
            }
        };
        let plan = async {
            let mut told = Duration::ZERO;
            loop {
                tokio::select! {
                    () = sleep(PLAN_INTERVAL) => {}
                    () = node.placer.urgent.notified() => {}
                }
                if node.placer.is_holder(&node) && !node.leaving.is_cancelled() {
                    plan(&node);
                    let now = node.now();
                    if told + TELL_INTERVAL < now {
                        told = now;
                        tell_all(&node);
                    }
                }
            }
        };
        tokio::join!(keep, plan);
    };
    tokio::select! {
        () = stopped.cancelled() => {}
        () = work => {}
    }
}

async fn keep_lease(node: &Arc<Node>, line: &Line) -> Duration {
    if node.leaving.is_cancelled() {
        release(node, line).await;
        return LOOK_INTERVAL;
    }
    let now = node.boot_now();
    let holds = node.placer.is_holder(node);
    if holds && !node.placer.election.lock().due(now) {
        return PLAN_INTERVAL;
    }
    if !holds {
        if node.peers.placer(node.now()).is_some() {
            return LOOK_INTERVAL;
        }
        let position = node.peers.position(&node.settings.name, node.now());
        sleep(TURN * position.min(8) as u32).await;
        if node.peers.placer(node.now()).is_some() {
            return LOOK_INTERVAL;
        }
    }
    if let Err(error) = claim(node, line, holds).await {
        node.journal
            .line(|| format!("placer: lease not written error=\"{error}\""));
    }
    spread(LOOK_INTERVAL)
}

/// Writes the lease if it is this daemon's or free.
async fn claim(node: &Arc<Node>, line: &Line, held: bool) -> Result<(), feed::Error> {
    let version = node.placer.election.lock().version();
    if let Some(version) = version.filter(|_| held) {
        let fence = *node.placer.fence.lock();
        let asked = node.boot_now();
        match write(node, line, fence, Some(version)).await {
            Ok(Some(version)) => {
                let mut election = node.placer.election.lock();
                election.claimed(fence, version, asked);
                return Ok(());
            }
            // The write may have been applied, or another daemon has written; the row tells.
            Ok(None) => {}
            Err(error) => {
                node.journal
                    .line(|| format!("placer: lease not renewed error=\"{error}\""));
            }
        }
    }
    let asked = node.boot_now();
    let page = feed::list(node, line, TABLE).await?;
    let row = page.rows.iter().find(|row| &*row.key == KEY);
    let lease = row.and_then(|row| {
        let lease: Lease = serde_json::from_slice(row.value.as_ref()?).ok()?;
        Some((lease, row.version))
    });
    let session = session(node);
    // A row of this session that it never knew it had written begins the duty, too.
    let begun = *node.placer.fence.lock();
    let goes_on = lease
        .as_ref()
        .is_some_and(|(lease, _)| lease.session == session && lease.fence == begun);
    let lease = lease.as_ref().map(|(lease, version)| (lease, *version));
    let step = node.placer.election.lock().judge(lease, &session, asked);
    let Claim::Claim { fence, version } = step else {
        if held {
            spdlog::warn!("placer: lease lost");
        }
        return Ok(());
    };
    let Some(new_version) = write(node, line, fence, version).await? else {
        return Ok(());
    };
    let mut election = node.placer.election.lock();
    election.claimed(fence, new_version, asked);
    drop(election);
    if !goes_on {
        // A fresh fleet had no earlier holder; any other has stopped before its row could be taken over.
        let wait = match version {
            None => Duration::ZERO,
            Some(_) => node.settings.placement_lease + MARGIN,
        };
        begin_duty(node, fence, wait, asked);
    }
    Ok(())
}

/// Begins the duty; orders wait until the lease after an earlier holder's last possible order has passed.
fn begin_duty(node: &Node, fence: u64, wait: Duration, asked: Duration) {
    *node.placer.fence.lock() = fence;
    *node.placer.from.lock() = asked + wait;
    node.placer.confirmed.store(false, Ordering::Relaxed);
    node.placer.ledger.lock().begin(node.now());
    spdlog::info!(
        "placer: lease taken fence={fence} orders_in_ms={}",
        wait.as_millis()
    );
}

fn session(node: &Node) -> Name {
    format!("{}/{}", node.settings.name, node.session).into()
}

/// Writes the lease if its row is at a version; returns the new version, or none if it is not.
async fn write(
    node: &Node,
    line: &Line,
    fence: u64,
    version: Option<u64>,
) -> Result<Option<u64>, feed::Error> {
    let lease = Lease {
        session: session(node),
        address: node.gossip_address,
        fence,
    };
    write_row(node, line, &lease, version).await
}

async fn write_row(
    node: &Node,
    line: &Line,
    lease: &Lease,
    version: Option<u64>,
) -> Result<Option<u64>, feed::Error> {
    let value = Bytes::from(serde_json::to_vec(lease).unwrap_or_default());
    let change = Change {
        expected: vec![(TABLE.into(), KEY.into(), version.unwrap_or_default())],
        write: vec![(TABLE.into(), KEY.into(), value)],
        remove: Vec::new(),
    };
    node.commit(line, &change).await
}

async fn release(node: &Node, line: &Line) {
    let held = {
        let mut election = node.placer.election.lock();
        let held = election.holds(node.boot_now()).then(|| election.version());
        election.lost();
        held.flatten()
    };
    let Some(version) = held else {
        return;
    };
    let lease = Lease {
        session: "".into(),
        address: node.gossip_address,
        fence: *node.placer.fence.lock(),
    };
    match write_row(node, line, &lease, Some(version)).await {
        Ok(_) => spdlog::info!("placer: lease released fence={}", lease.fence),
        Err(error) => spdlog::warn!("placer: lease not released error=\"{error}\""),
    }
}

/// Reads reports that are missing and gives the orders that are due.
fn plan(node: &Arc<Node>) {
    let now = node.now();
    let Some(catalog) = node.belief.catalog.load_full() else {
        return;
    };
    let view = node.belief.view.load_full();
    let mut ledger = node.placer.ledger.lock();
    if node.placer.may_order(node) && !node.placer.confirmed.swap(true, Ordering::Relaxed) {
        ledger.confirm();
    }
    for id in ledger.follow(&view, &catalog.services, now) {
        tokio::spawn(read(node.clone(), id));
    }
    if !node.placer.may_order(node) {
        return;
    }
    let engines = catalog.services.values().filter(|s| s.engine.is_some());
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
    view: &super::endpoint::View,
    now: Duration,
) {
    let mut stock = ledger.stock(view, service, now);
    let mut begun = 0;
    for wanted in ledger.wanted.clone() {
        let (model, adapter, _) = &wanted;
        let key = (model.clone(), adapter.clone());
        if ledger.pending.contains(&key) {
            continue;
        }
        if let Some(holder) = ledger.holder(&stock, model, adapter) {
            peers::tell_all(
                node,
                &Body::Held(ledger.holding(&holder).into_iter().collect()),
            );
            continue;
        }
        let Some(berth) = ledger.berth(&stock, &wanted, now) else {
            continue;
        };
        begin(ledger, &mut stock, &berth.engine);
        ledger.pending.push(key.clone());
        tokio::spawn(adapter_orders(
            node.clone(),
            berth.engine,
            berth.yields,
            key,
        ));
        begun += 1;
    }
    while begun < ADAPTER_ORDERS {
        let Some((engine, model, adapter)) = ledger.ahead(&stock, service) else {
            return;
        };
        begin(ledger, &mut stock, &engine);
        tokio::spawn(adapter_orders(node.clone(), engine, None, (model, adapter)));
        begun += 1;
    }
}

fn plan_models(
    node: &Arc<Node>,
    ledger: &mut Ledger,
    service: &Arc<Service>,
    view: &super::endpoint::View,
    now: Duration,
) {
    let Some(engine) = &service.engine else {
        return;
    };
    loop {
        let mut stock = ledger.stock(view, service, now);
        let window = node.settings.load_window;
        let store = ledger.may_load(engine.loads_per_second, window, now);
        let spare = ledger.may_spare(engine.loads_per_second, window);
        let Some(step) = stock.step(store, spare) else {
            return;
        };
        if step.from_store {
            ledger.note_load(now);
        }
        begin(ledger, &mut stock, &step.engine);
        if let Some(account) = ledger.accounts.get_mut(&step.engine) {
            account.busy = true;
            account
                .models
                .retain(|model, _| !step.unload.contains(model));
        }
        let loading = (step.engine.clone(), step.load.clone(), step.from_store);
        ledger.loading.push(loading);
        let expected = match (step.from_store, engine.models.get(&step.load)) {
            (true, Some(model)) => model.load_time,
            _ => CACHED_LOAD,
        };
        tokio::spawn(change(node.clone(), step, expected));
    }
}

/// Lets no other order begin at an engine until this one was answered.
fn begin(ledger: &mut Ledger, stock: &mut Stock, id: &Name) {
    if let Some(account) = ledger.accounts.get_mut(id) {
        account.ordering = true;
    }
    if let Some(engine) = stock.engines.iter_mut().find(|engine| engine.id == *id) {
        engine.ordering = true;
    }
}

fn tell_all(node: &Node) {
    let holdings: Vec<Holding> = {
        let ledger = node.placer.ledger.lock();
        let ids = ledger.accounts.keys();
        ids.filter_map(|id| ledger.holding(id)).collect()
    };
    for part in holdings.chunks(ENGINES_PER_MESSAGE) {
        tell(node, part.to_vec());
    }
}

/// Tells all daemons, this one among them, what engines hold.
fn tell(node: &Node, holdings: Vec<Holding>) {
    peers::hold(node, holdings.clone(), node.now());
    peers::tell_all(node, &Body::Held(holdings));
}

/// Ends a change of an engine's models: it is free for another, and all daemons learn what it holds.
fn end(node: &Node, id: &Name, rest: bool) {
    {
        let mut ledger = node.placer.ledger.lock();
        ledger.loading.retain(|(engine, _, _)| engine != id);
        if let Some(account) = ledger.accounts.get_mut(id) {
            account.busy = false;
        }
    }
    answered(node, id, rest);
}

/// Lets the next order begin at an engine, and tells all daemons what it holds.
fn answered(node: &Node, id: &Name, rest: bool) {
    let holding = {
        let mut ledger = node.placer.ledger.lock();
        if let Some(account) = ledger.accounts.get_mut(id) {
            account.ordering = false;
            if rest {
                account.rest_until = node.now() + REST;
            }
        }
        ledger.holding(id)
    };
    tell(node, holding.into_iter().collect());
    node.placer.urgent.notify_one();
}

async fn read(node: Arc<Node>, id: Name) {
    let rest = match report(&node, &id).await {
        Some(report) => {
            node.placer.ledger.lock().read(&id, report, node.now());
            false
        }
        None => true,
    };
    end(&node, &id, rest);
}

async fn report(node: &Node, id: &Name) -> Option<Report> {
    let view = node.belief.view.load_full();
    let entry = &view.all.get(id)?.entry;
    node.meter.reports.inc();
    let request = (node.adapter.ask_report)(entry);
    let mut connection = connection(node, id, entry.address).await?;
    let response = connection.fetch(request, ORDER_TIMEOUT).await.ok()?;
    let report = (node.adapter.report)(response.body());
    let keep = crate::protocol::connection::keep_alive(response.version(), response.headers());
    node.keep(id, connection, keep);
    report
}

async fn connection(node: &Node, id: &Name, address: std::net::SocketAddr) -> Option<Connection> {
    if let Some(connection) = node.pool.take(id) {
        return Some(connection);
    }
    node.meter.connects.inc();
    Connection::open(address, ORDER_TIMEOUT).await.ok()
}

/// Sends an order until it is answered, the lease ends or the engine is gone.
async fn order(
    node: &Node,
    id: &Name,
    operation: Operation,
    model: &Name,
    adapter: Option<&Name>,
) -> Option<Taken> {
    let expected = node.placer.ledger.lock().accounts.get(id)?.sequence?;
    let order = Order {
        operation,
        model: model.clone(),
        adapter: adapter.cloned(),
        expected,
        holder: node.settings.name.clone(),
        fence: *node.placer.fence.lock(),
    };
    for copy in 0..ORDER_COPIES {
        let view = node.belief.view.load_full();
        let entry = &view.all.get(id)?.entry;
        let Some(mut connection) = connection(node, id, entry.address).await else {
            sleep(RESEND).await;
            continue;
        };
        if !node.placer.may_order(node) {
            return None;
        }
        node.meter.orders.inc();
        let request = (node.adapter.order)(&order, entry);
        let response = connection.fetch(request, ORDER_TIMEOUT).await;
        let outcome = match &response {
            Ok(response) => format!("status={}", response.status().as_u16()),
            Err(error) => format!("error=\"{error}\""),
        };
        spdlog::info!(
            "placer: order engine={id} operation={operation:?} model={model} adapter={} expected={expected} fence={} copy={copy} {outcome}",
            adapter.map_or("-", |adapter| adapter),
            order.fence
        );
        let Ok(response) = response else {
            sleep(RESEND).await;
            continue;
        };
        let (parts, _) = response.into_parts();
        let keep = crate::protocol::connection::keep_alive(parts.version, &parts.headers);
        node.keep(id, connection, keep);
        let taken = (node.adapter.taken)(&parts);
        let unloaded = operation == Operation::Unload && taken == Taken::Done;
        if taken == Taken::Accepted || unloaded {
            advance(node, id, expected + 1);
        }
        return Some(taken);
    }
    None
}

fn advance(node: &Node, id: &Name, sequence: u64) {
    let mut ledger = node.placer.ledger.lock();
    if let Some(account) = ledger.accounts.get_mut(id) {
        account.sequence = Some(sequence);
    }
}

/// Reads the report of an engine whose state is not certain any more, once it must show the last order.
async fn settle(node: &Node, id: &Name) {
    sleep(REPORT_LAG).await;
    let report = report(node, id).await;
    let mut ledger = node.placer.ledger.lock();
    if let Some(account) = ledger.accounts.get_mut(id) {
        account.sequence = None;
    }
    if let Some(report) = report {
        ledger.read(id, report, node.now());
    }
}

/// Loads an adapter, after another one has left if that has to be.
async fn adapter_orders(
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
async fn change(node: Arc<Node>, step: Step, expected: Duration) {
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
