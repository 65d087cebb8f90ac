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
use crate::coordination::gate::{Digest, Gate, Reason, Surroundings, Verdict};
use crate::coordination::permit::Id;
use crate::coordination::queue::{Class, Entry};
use crate::coordination::ramp::{Bounds, Outcome, Ramp};
use crate::protocol::permit::{self as wire, Answer, Ask, Held, Hold};
use crate::state::record::{Endpoint, Name};

/// Interval at which permits expire and late requests are shed.
const TICK: Duration = Duration::from_millis(250);

/// Interval between renewals of consent.
const RENEWAL: Duration = Duration::from_millis(1000);

/// Long-polling time of a waiting request.
const LONG_POLL: Duration = Duration::from_millis(1000);

/// An endpoint's gate, with the requests that wait for its verdicts.
#[derive(Debug)]
pub(super) struct Desk {
    pub(super) gate: Gate,
    waiters: HashMap<Id, oneshot::Sender<Verdict>>,
    pub(super) ready: bool,
    pub(super) inherited: bool,
}

impl Desk {
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
pub struct Homes {
    pub(super) desks: RwLock<HashMap<Name, Arc<Mutex<Desk>>>>,
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
pub fn duty(endpoint: &str) -> String {
    format!("endpoint/{endpoint}")
}

pub(super) fn wire_digest(digest: Digest) -> wire::Digest {
    [digest.limit, digest.used, digest.queued, digest.hold_millis]
}

impl Homes {
    pub(super) fn desk(&self, endpoint: &Endpoint) -> Arc<Mutex<Desk>> {
        if let Some(desk) = self.desks.read().get(&endpoint.name) {
            return desk.clone();
        }
        let mut desks = self.desks.write();
        let desk = desks.entry(endpoint.name.clone()).or_insert_with(|| {
            Arc::new(Mutex::new(Desk {
                gate: Gate::open(bounds(endpoint)),
                waiters: HashMap::new(),
                ready: false,
                inherited: false,
            }))
        });
        desk.clone()
    }

    /// Answers a permit request, by long polling if it has to wait.
    pub async fn ask(&self, node: &Node, ask: Ask) -> Answer {
        let config = node.config.load_full();
        let Some(endpoint) = config.endpoints.get(&ask.endpoint) else {
            return Answer::Closed;
        };
        if endpoint.zone != node.settings.zone {
            return Answer::Elsewhere;
        }
        let desk = self.desk(endpoint);
        let id = Id {
            holder: ask.holder,
            number: ask.number,
        };
        let (sender, receiver) = oneshot::channel();
        {
            let mut desk = desk.lock();
            let now = node.now();
            let around = surroundings(node, endpoint, &mut desk, now);
            let weight = config
                .workspaces
                .get(&ask.workspace)
                .map_or(1, |w| w.weight);
            let entry = Entry {
                item: id,
                workspace: ask.workspace,
                weight,
                class: Class::of_number(ask.class),
                tokens: ask.tokens,
                deadline: now + Duration::from_millis(ask.patience_millis),
                arrived: now,
            };
            desk.waiters.insert(id, sender);
            let mut verdicts = desk.gate.request(entry, around, now);
            verdicts.extend(desk.gate.pump(around, now));
            desk.deliver(verdicts);
        }
        let verdict = tokio::time::timeout(LONG_POLL, receiver).await;
        let mut desk = desk.lock();
        let now = node.now();
        let around = surroundings(node, endpoint, &mut desk, now);
        let digest = wire_digest(desk.gate.digest(around.bounds));
        match verdict {
            Ok(Ok(verdict)) => answer(verdict, digest),
            Ok(Err(_)) => Answer::Wait(0, digest),
            Err(_) if desk.gate.ledger.holds(id) => Answer::Granted(digest),
            Err(_) => {
                desk.waiters.remove(&id);
                let wait = desk.gate.wait(desk.gate.queue.len(), around, now);
                Answer::Wait(wait.as_millis() as u64, digest)
            }
        }
    }

    /// Renews and releases permits of a holder.
    pub fn hold(&self, node: &Node, hold: Hold) -> Held {
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
            self.act(node, endpoint, |desk, around, now| {
                let outcome = outcome_of(code, millis);
                if desk.gate.release(id, outcome, around.bounds, now) {
                    spdlog::info!("permit: limit fell endpoint={name} sign={outcome:?}");
                }
                desk.waiters.remove(&id);
            });
        }
        for (name, numbers) in hold.keep {
            let Some(endpoint) = config.endpoints.get(&name) else {
                continue;
            };
            let holder = hold.holder;
            self.act(node, endpoint, |desk, around, now| {
                let learning = matches!(around.standing, Standing::Learning(_));
                if around.standing == Standing::None {
                    return;
                }
                let renewed = numbers.into_iter().filter(|number| {
                    let id = Id {
                        holder,
                        number: *number,
                    };
                    desk.gate.ledger.renew(id, learning, now)
                });
                let kept = renewed.collect();
                held.kept.insert(name.clone(), kept);
                let digest = wire_digest(desk.gate.digest(around.bounds));
                held.digests.insert(name, digest);
            });
        }
        held
    }

    fn all_ready(&self, names: &[Name]) -> bool {
        let desks = self.desks.read();
        let ready = |name| desks.get(name).is_some_and(|desk| desk.lock().ready);
        names.iter().all(ready)
    }

    fn act(
        &self,
        node: &Node,
        endpoint: &Endpoint,
        action: impl FnOnce(&mut Desk, Surroundings, Duration),
    ) {
        if endpoint.zone != node.settings.zone {
            return;
        }
        let desk = self.desk(endpoint);
        let mut desk = desk.lock();
        let now = node.now();
        let around = surroundings(node, endpoint, &mut desk, now);
        action(&mut desk, around, now);
        let verdicts = desk.gate.pump(around, now);
        desk.deliver(verdicts);
    }
}

/// Registers the peer methods for permits and consent.
pub fn register(module: &mut RpcModule<rpc::Slot>) {
    use wire::method;
    rpc::register(module, method::PERMIT, |node, ask| async move {
        node.dispatcher.homes.ask(&node, ask).await
    });
    rpc::register(module, method::HOLD, |node, hold| async move {
        node.dispatcher.homes.hold(&node, hold)
    });
    rpc::register(module, method::CONSENT, |node, borrow| async move {
        node.dispatcher.homes.lend(&node, &borrow)
    });
}

pub(super) fn surroundings(
    node: &Node,
    endpoint: &Endpoint,
    desk: &mut Desk,
    now: Duration,
) -> Surroundings {
    let bounds = bounds(endpoint);
    let zone = node.dispatcher.homes.zone.load();
    let standing = match &*zone {
        Some(zone) => desk.gate.authority.check(zone, now),
        None => Standing::None,
    };
    let ready = standing == Standing::Ready;
    if ready && !desk.ready {
        begin(node, endpoint, desk, now);
    }
    if standing == Standing::None && desk.ready {
        spdlog::warn!("permit: lost consent endpoint={}", endpoint.name);
        let verdicts = desk.gate.pause(now);
        desk.inherited = true;
        desk.deliver(verdicts);
    }
    desk.ready = ready;
    let home = node
        .membership
        .home(&duty(&endpoint.name), Some(&endpoint.zone));
    Surroundings {
        bounds,
        standing,
        preferred: home.is_some_and(|home| home.address == node.peer_address),
        open: node.config.load().open(endpoint),
    }
}

fn begin(node: &Node, endpoint: &Endpoint, desk: &mut Desk, now: Duration) {
    let bounds = bounds(endpoint);
    if !desk.inherited {
        desk.gate.ramp = Ramp::cold(bounds);
    }
    if !desk.inherited
        && let Some(report) = node.watch.report(&endpoint.name)
    {
        let running = report.load.running + report.load.waiting;
        desk.gate.ledger.suspect(running as usize, now);
        desk.gate.ramp.boot(&report.load.boot, bounds, now);
    }
    spdlog::info!(
        "permit: home of endpoint={} limit={} in_use={} inherited={}",
        endpoint.name,
        desk.gate.ramp.limit(bounds),
        desk.gate.ledger.used(),
        desk.inherited
    );
    desk.inherited = false;
}

fn answer(verdict: Verdict, digest: wire::Digest) -> Answer {
    match verdict {
        Verdict::Granted => Answer::Granted(digest),
        Verdict::Wait(wait) => Answer::Wait(wait.as_millis() as u64, digest),
        Verdict::Refused(Reason::Closed, _) => Answer::Closed,
        Verdict::Refused(_, retry_after) => Answer::Busy(retry_after.as_millis() as u64, digest),
        Verdict::Elsewhere => Answer::Elsewhere,
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

fn outcome_of(code: u8, millis: u64) -> Outcome {
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
    let mut renewed = None;
    let mut wanted = Vec::new();
    loop {
        let now = node.now();
        // A daemon that has just started may not know the other daemons yet.
        if node.membership.listed_at().is_some() || now >= LEASE {
            let zone = Arc::new(consent::zone(&node));
            node.dispatcher.homes.zone.store(Some(zone));
        }
        let wants = consent::wants(&node);
        let interval = if node.dispatcher.homes.all_ready(&wants) {
            RENEWAL
        } else {
            TICK
        };
        if wants != wanted || renewed.is_none_or(|at| now >= at + interval) {
            consent::renew(&node, &wants).await;
            renewed = Some(now);
            wanted = wants;
        }
        tick(&node);
        tokio::select! {
            () = tokio::time::sleep(TICK) => {}
            () = node.stopped.cancelled() => return,
        }
    }
}

fn tick(node: &Node) {
    let config = node.config.load();
    let mine = config.endpoints.values();
    for endpoint in mine.filter(|endpoint| endpoint.zone == node.settings.zone) {
        node.dispatcher
            .homes
            .act(node, endpoint, |desk, around, now| {
                if let Some(report) = node.watch.report(&endpoint.name) {
                    let running = report.load.running + report.load.waiting;
                    let boot = &report.load.boot;
                    if desk
                        .gate
                        .observe(boot, running as usize, around.bounds, now)
                    {
                        spdlog::info!("permit: cold start seen endpoint={}", endpoint.name);
                    }
                }
                let verdicts = desk.gate.tick(around, now);
                desk.deliver(verdicts);
            });
    }
}
