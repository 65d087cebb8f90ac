//! The home daemon's side of permits: admission gates of this zone's endpoints, and the consent needed to open them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use jsonrpsee::server::RpcModule;
use parking_lot::{Mutex, RwLock};
use tokio::sync::oneshot;

use super::{Node, consent, rpc};
use crate::coordination::consent::{LEASE, Lender, Standing, Zone};
use crate::coordination::gate::{Context, Digest, Gate, Reason, Verdict};
use crate::coordination::permit::Id;
use crate::coordination::queue::{Class, Entry};
use crate::coordination::ramp::{Bounds, Outcome, Ramp};
use crate::protocol::permit::{self as wire, Answer, Ask, Held, Hold};
use crate::state::record::{Endpoint, Name};

/// Interval at which permits expire and late requests are shed.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between renewals of consent.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1000);

/// Long-polling time of a waiting request.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(1000);

/// An endpoint's gate, with the requests that wait for its verdicts.
#[derive(Debug)]
pub(super) struct GateState {
    pub(super) gate: Gate,
    waiters: HashMap<Id, oneshot::Sender<Verdict>>,
    pub(super) ready: bool,
    pub(super) inherited: bool,
}

impl GateState {
    pub(super) fn deliver(&mut self, verdicts: Vec<(Id, Verdict)>) {
        for (id, verdict) in verdicts {
            // Without a waiter, the holder gets the verdict when it polls again.
            if let Some(waiter) = self.waiters.remove(&id) {
                let _ = waiter.send(verdict);
            }
        }
    }
}

/// Gates by endpoint, and the consent lent by this daemon.
#[derive(Debug, Default)]
pub struct Gates {
    pub(super) by_endpoint: RwLock<HashMap<Name, Arc<Mutex<GateState>>>>,
    pub(super) lender: Mutex<Lender>,
    zone: ArcSwapOption<Zone>,
}

/// Returns the concurrency bounds of an endpoint from its record.
pub fn bounds(endpoint: &Endpoint) -> Bounds {
    Bounds {
        slots: endpoint.slots,
        cold: endpoint.cold_slots.min(endpoint.slots),
        ramp: Duration::from_secs(endpoint.ramp_seconds),
    }
}

/// Returns the name of an endpoint's home duty, by which its daemon is chosen.
pub fn duty_name(endpoint: &str) -> String {
    format!("endpoint/{endpoint}")
}

pub(super) fn wire_digest(digest: Digest) -> wire::Digest {
    [digest.limit, digest.used, digest.queued, digest.hold_millis]
}

impl Gates {
    pub(super) fn state(&self, endpoint: &Endpoint) -> Arc<Mutex<GateState>> {
        if let Some(state) = self.by_endpoint.read().get(&endpoint.name) {
            return state.clone();
        }
        let mut gates = self.by_endpoint.write();
        let state = gates.entry(endpoint.name.clone()).or_insert_with(|| {
            Arc::new(Mutex::new(GateState {
                gate: Gate::open(bounds(endpoint)),
                waiters: HashMap::new(),
                ready: false,
                inherited: false,
            }))
        });
        state.clone()
    }

    /// Answers a permit request, by long polling if it has to wait.
    pub async fn request_permit(&self, node: &Node, ask: Ask) -> Answer {
        let config = node.config.load_full();
        let Some(endpoint) = config.endpoints.get(&ask.endpoint) else {
            return Answer::Closed;
        };
        if endpoint.zone != node.settings.zone {
            return Answer::Elsewhere;
        }
        let state = self.state(endpoint);
        let id = Id {
            holder: ask.holder,
            number: ask.number,
        };
        let (sender, receiver) = oneshot::channel();
        {
            let mut state = state.lock();
            let now = node.now();
            let context = gate_context(node, endpoint, &mut state, now);
            let weight = config
                .workspaces
                .get(&ask.workspace)
                .map_or(1, |w| w.weight);
            let entry = Entry {
                item: id,
                workspace: ask.workspace,
                weight,
                class: Class::from_number(ask.class),
                tokens: ask.tokens,
                deadline: now + Duration::from_millis(ask.max_wait_millis),
                arrived: now,
            };
            state.waiters.insert(id, sender);
            let mut verdicts = state.gate.request(entry, context, now);
            verdicts.extend(state.gate.grant_permits(context, now));
            state.deliver(verdicts);
        }
        let verdict = tokio::time::timeout(LONG_POLL_TIMEOUT, receiver).await;
        let mut state = state.lock();
        let now = node.now();
        let context = gate_context(node, endpoint, &mut state, now);
        let digest = wire_digest(state.gate.digest(context.bounds));
        match verdict {
            Ok(Ok(verdict)) => to_answer(verdict, digest),
            Ok(Err(_)) => Answer::Wait(0, digest),
            Err(_) if state.gate.ledger.holds(id) => Answer::Granted(digest),
            Err(_) => {
                state.waiters.remove(&id);
                let wait = state.gate.wait(state.gate.queue.len(), context, now);
                Answer::Wait(wait.as_millis() as u64, digest)
            }
        }
    }

    /// Renews and releases permits of a holder.
    pub fn apply_hold(&self, node: &Node, hold: Hold) -> Held {
        let config = node.config.load();
        let mut held = Held::default();
        for (name, number, code, millis) in hold.returned {
            let id = Id {
                holder: hold.holder,
                number,
            };
            let Some(endpoint) = config.endpoints.get(&name) else {
                continue;
            };
            self.with_gate(node, endpoint, |state, context, now| {
                let outcome = outcome_from_code(code, millis);
                if state.gate.release(id, outcome, context.bounds, now) {
                    spdlog::info!("permit: limit fell endpoint={name} sign={outcome:?}");
                }
                state.waiters.remove(&id);
            });
        }
        for (name, numbers) in hold.keep {
            let Some(endpoint) = config.endpoints.get(&name) else {
                continue;
            };
            let holder = hold.holder;
            self.with_gate(node, endpoint, |state, context, now| {
                let learning = matches!(context.standing, Standing::Learning(_));
                if context.standing == Standing::None {
                    return;
                }
                let renewed = numbers.into_iter().filter(|number| {
                    let id = Id {
                        holder,
                        number: *number,
                    };
                    state.gate.ledger.renew(id, learning, now)
                });
                let kept = renewed.collect();
                held.kept.insert(name.clone(), kept);
                let digest = wire_digest(state.gate.digest(context.bounds));
                held.digests.insert(name, digest);
            });
        }
        held
    }

    fn all_ready(&self, names: &[Name]) -> bool {
        let gates = self.by_endpoint.read();
        let ready = |name| gates.get(name).is_some_and(|state| state.lock().ready);
        names.iter().all(ready)
    }

    fn with_gate(
        &self,
        node: &Node,
        endpoint: &Endpoint,
        action: impl FnOnce(&mut GateState, Context, Duration),
    ) {
        if endpoint.zone != node.settings.zone {
            return;
        }
        let state = self.state(endpoint);
        let mut state = state.lock();
        let now = node.now();
        let context = gate_context(node, endpoint, &mut state, now);
        action(&mut state, context, now);
        let verdicts = state.gate.grant_permits(context, now);
        state.deliver(verdicts);
    }
}

/// Registers the peer methods for permits and consent.
pub fn register(module: &mut RpcModule<rpc::Context>) {
    use wire::method;
    rpc::register(module, method::PERMIT, |node, ask| async move {
        node.dispatcher.gates.request_permit(&node, ask).await
    });
    rpc::register(module, method::HOLD, |node, hold| async move {
        node.dispatcher.gates.apply_hold(&node, hold)
    });
    rpc::register(module, method::CONSENT, |node, borrow| async move {
        node.dispatcher.gates.lend(&node, &borrow)
    });
}

pub(super) fn gate_context(
    node: &Node,
    endpoint: &Endpoint,
    state: &mut GateState,
    now: Duration,
) -> Context {
    let bounds = bounds(endpoint);
    let zone = node.dispatcher.gates.zone.load();
    let standing = match &*zone {
        Some(zone) => state.gate.authority.check(zone, now),
        None => Standing::None,
    };
    let ready = standing == Standing::Ready;
    if ready && !state.ready {
        activate(node, endpoint, state, now);
    }
    if standing == Standing::None && state.ready {
        spdlog::warn!("permit: lost consent endpoint={}", endpoint.name);
        let verdicts = state.gate.pause(now);
        state.inherited = true;
        state.deliver(verdicts);
    }
    state.ready = ready;
    let home = node
        .membership
        .home(&duty_name(&endpoint.name), Some(&endpoint.zone));
    Context {
        bounds,
        standing,
        preferred: home.is_some_and(|home| home.address == node.peer_address),
        open: node.config.load().open(endpoint),
    }
}

fn activate(node: &Node, endpoint: &Endpoint, state: &mut GateState, now: Duration) {
    let bounds = bounds(endpoint);
    if !state.inherited {
        state.gate.ramp = Ramp::cold(bounds);
    }
    if !state.inherited
        && let Some(report) = node.load_reports.report(&endpoint.name)
    {
        let running = report.load.running + report.load.waiting;
        state.gate.ledger.count_unexplained(running as usize, now);
        state.gate.ramp.boot(&report.load.boot, bounds, now);
    }
    spdlog::info!(
        "permit: became home of endpoint={} limit={} in_use={} inherited={}",
        endpoint.name,
        state.gate.ramp.limit(bounds),
        state.gate.ledger.used(),
        state.inherited
    );
    state.inherited = false;
}

fn to_answer(verdict: Verdict, digest: wire::Digest) -> Answer {
    match verdict {
        Verdict::Granted => Answer::Granted(digest),
        Verdict::Wait(wait) => Answer::Wait(wait.as_millis() as u64, digest),
        Verdict::Refused(Reason::Closed, _) => Answer::Closed,
        Verdict::Refused(_, retry_after) => Answer::Busy(retry_after.as_millis() as u64, digest),
        Verdict::NotHome => Answer::Elsewhere,
    }
}

/// Returns the wire code of an outcome and the milliseconds to the first byte.
pub fn outcome_code(outcome: Outcome) -> (u8, u64) {
    match outcome {
        Outcome::Unused => (0, 0),
        Outcome::Answered(millis) => (1, millis.unwrap_or_default()),
        Outcome::Overloaded => (2, 0),
        Outcome::Failed => (3, 0),
        Outcome::Broken => (4, 0),
    }
}

fn outcome_from_code(code: u8, millis: u64) -> Outcome {
    match code {
        1 => Outcome::Answered((millis > 0).then_some(millis)),
        2 => Outcome::Overloaded,
        3 => Outcome::Failed,
        4 => Outcome::Broken,
        _ => Outcome::Unused,
    }
}

/// Renews consent, expires permits and sheds late requests until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let mut renewed_at = None;
    let mut last_wanted = Vec::new();
    loop {
        let now = node.now();
        // A daemon that has just started may not know the other daemons yet.
        if node.membership.listed_at().is_some() || now >= LEASE {
            let zone = Arc::new(consent::zone(&node));
            node.dispatcher.gates.zone.store(Some(zone));
        }
        let wanted = consent::wanted_endpoints(&node);
        let interval = if node.dispatcher.gates.all_ready(&wanted) {
            RENEWAL_INTERVAL
        } else {
            TICK_INTERVAL
        };
        if wanted != last_wanted || renewed_at.is_none_or(|at| now >= at + interval) {
            consent::renew(&node, &wanted).await;
            renewed_at = Some(now);
            last_wanted = wanted;
        }
        tick(&node);
        tokio::select! {
            () = tokio::time::sleep(TICK_INTERVAL) => {}
            () = node.stopped.cancelled() => return,
        }
    }
}

fn tick(node: &Node) {
    let config = node.config.load();
    let endpoints = config.endpoints.values();
    for endpoint in endpoints.filter(|endpoint| endpoint.zone == node.settings.zone) {
        node.dispatcher
            .gates
            .with_gate(node, endpoint, |state, context, now| {
                if let Some(report) = node.load_reports.report(&endpoint.name) {
                    let running = report.load.running + report.load.waiting;
                    let boot = &report.load.boot;
                    if state
                        .gate
                        .observe(boot, running as usize, context.bounds, now)
                    {
                        spdlog::info!("permit: cold start detected endpoint={}", endpoint.name);
                    }
                }
                let verdicts = state.gate.tick(context, now);
                state.deliver(verdicts);
            });
    }
}
