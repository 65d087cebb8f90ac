//! Model check of the ledger: lost, late and duplicated orders, changes of the holder, a paused old holder, endpoint
//! restarts and endpoints that ignore fencing numbers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use pathfinding::directed::bfs::bfs_reach;
use persimmoncroft::coordination::ledger::{
    Change, Holding, Ledger, Pending, Quarantine, Report, ReportedModel,
};

const CAPACITY_MIB: u64 = 2;
const TICK: Duration = Duration::from_secs(1);
/// Ticks for which a duplicate of an order may be in transit.
const MAX_TRANSIT_TICKS: u32 = 1;
const MAX_ORDERS: u32 = 3;
const MAX_BOOTS: u32 = 2;
const MAX_STATES: usize = 400_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutation {
    None,
    /// Memory counts as free once the unload is ordered.
    FreeBeforeConfirmation,
    /// The order in flight is dropped and forgotten.
    DropInFlight,
    /// Memory counts as free once the unload is confirmed, although duplicates of the load may still arrive.
    NoQuarantine,
    /// A write by an old holder is not checked against its lease.
    NoLeaseCheck,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Engine {
    boot: u32,
    models: BTreeSet<Holding>,
    last_order: Option<Arc<str>>,
    executed: BTreeSet<Arc<str>>,
    fence: u64,
    published: Report,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Message {
    order: Pending,
    ticks: u32,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Holder {
    row: Option<(Ledger, u32)>,
    quarantine: Quarantine,
    answered: Option<Arc<str>>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    engine: Engine,
    row: (Ledger, u32),
    holder: Holder,
    paused: Option<Holder>,
    network: Vec<Message>,
    orders: u32,
    ticks: u32,
    takeovers: u32,
}

#[derive(Debug, Clone, Copy)]
struct Rules {
    fenced: bool,
    /// Delay of reports in ticks, 0 or 1.
    lag: u32,
    mutation: Mutation,
}

fn holding(model: &str, memory_mib: u64) -> Holding {
    Holding {
        model: model.into(),
        version: 1,
        memory_mib,
    }
}

impl Engine {
    fn new() -> Self {
        let published = Report {
            boot: "0".into(),
            last_order: None,
            fence: 0,
            copies: Vec::new(),
        };
        Self {
            boot: 0,
            models: BTreeSet::new(),
            last_order: None,
            executed: BTreeSet::new(),
            fence: 0,
            published,
        }
    }

    fn publish(&mut self) {
        let copies = self.models.iter().map(|holding| ReportedModel {
            holding: holding.clone(),
            ready: true,
        });
        self.published = Report {
            boot: self.boot.to_string().into(),
            last_order: self.last_order.clone(),
            fence: self.fence,
            copies: copies.collect(),
        };
    }

    fn restart(&mut self) {
        self.boot += 1;
        self.models.clear();
        self.executed.clear();
        self.last_order = None;
        self.fence = 0;
    }

    /// Executes an order; returns `false` if it is stale.
    fn execute(&mut self, order: &Pending, fenced: bool) -> bool {
        self.last_order = Some(order.id.clone());
        if fenced && order.fence < self.fence {
            return false;
        }
        self.fence = self.fence.max(order.fence);
        if !self.executed.insert(order.id.clone()) {
            return true;
        }
        match &order.change {
            Change::Load(holding) => drop(self.models.insert(holding.clone())),
            Change::Unload { model, .. } => self.models.retain(|held| held.model != *model),
        }
        true
    }

    fn used_mib(&self) -> u64 {
        self.models.iter().map(|holding| holding.memory_mib).sum()
    }
}

impl World {
    fn new() -> Self {
        let engine = Engine::new();
        let row = (Ledger::adopt(&engine.published), 0);
        Self {
            holder: Holder {
                row: Some(row.clone()),
                ..Holder::default()
            },
            engine,
            row,
            paused: None,
            network: Vec::new(),
            orders: 0,
            ticks: 0,
            takeovers: 0,
        }
    }

    fn now(&self) -> Duration {
        TICK * self.ticks
    }

    /// Stores a ledger if the row is unchanged since the holder read it.
    fn store(&mut self, ledger: Ledger, mut holder: Holder) -> Holder {
        let read = holder.row.take().map(|row| row.1);
        let pending = ledger.pending.as_ref().map(|pending| pending.id.clone());
        if holder.answered != pending {
            holder.answered = None;
        }
        if read == Some(self.row.1) {
            if ledger != self.row.0 {
                self.row = (ledger, self.row.1 + 1);
            }
            holder.row = Some(self.row.clone());
        }
        holder
    }

    fn successors(&self, rules: Rules) -> Vec<World> {
        let mut next = Vec::new();
        next.extend(self.begin(rules));
        next.extend(self.observe(rules));
        next.extend(self.send());
        next.extend(self.deliver(rules));
        next.extend(self.inject_faults(rules));
        next.extend(self.resume_paused_holder(rules));
        next
    }

    /// Puts an order in flight. The first order always loads the small model, which every known failure requires.
    fn begin(&self, rules: Rules) -> Vec<World> {
        let Some((ledger, _)) = &self.holder.row else {
            return Vec::new();
        };
        if self.orders == MAX_ORDERS {
            return Vec::new();
        }
        let unload = Change::Unload {
            model: "a".into(),
            version: 1,
        };
        let load = [holding("a", 1), holding("b", 2)].map(Change::Load);
        let choices = if self.orders == 0 { 1 } else { 3 };
        let mut next = Vec::new();
        for change in load.into_iter().chain([unload]).take(choices) {
            let mut ledger = ledger.clone();
            let id = self.orders.to_string();
            if ledger.begin(&id, change.clone(), CAPACITY_MIB).is_err() {
                continue;
            }
            let early = rules.mutation == Mutation::FreeBeforeConfirmation;
            if early && matches!(change, Change::Unload { .. }) {
                ledger.resident.clear();
                ledger.recent.clear();
                ledger.pending = None;
            }
            let mut world = self.clone();
            world.orders += 1;
            world.holder = world.store(ledger, self.holder.clone());
            next.push(world);
        }
        next
    }

    fn observe(&self, rules: Rules) -> Vec<World> {
        let Some((holder, ledger)) = self.observed(self.holder.clone(), rules) else {
            return Vec::new();
        };
        let mut world = self.clone();
        world.holder = world.store(ledger, holder);
        vec![world]
    }

    fn observed(&self, mut holder: Holder, rules: Rules) -> Option<(Holder, Ledger)> {
        let mut ledger = holder.row.as_ref()?.0.clone();
        let pending = ledger.pending.as_ref().map(|pending| pending.id.clone());
        if rules.mutation == Mutation::DropInFlight {
            ledger.pending = None;
            ledger
                .recent
                .retain(|recent| Some(&recent.id) != pending.as_ref());
        }
        let answered = pending.is_some() && holder.answered == pending;
        ledger.observe(&self.engine.published, answered);
        let now = self.now();
        let life = TICK * (MAX_TRANSIT_TICKS + rules.lag);
        holder.quarantine.release(&mut ledger, now, now, life);
        if rules.mutation == Mutation::NoQuarantine && ledger.pending.is_none() {
            ledger.recent.clear();
        }
        Some((holder, ledger))
    }

    fn send(&self) -> Vec<World> {
        let row = self.holder.row.as_ref();
        let Some(order) = row.and_then(|row| row.0.pending.clone()) else {
            return Vec::new();
        };
        let mut network = self.network.iter();
        if network.any(|message| message.order.id == order.id) {
            return Vec::new();
        }
        let mut world = self.clone();
        world.holder.quarantine.send(&order.id, self.now());
        world.network.push(Message { order, ticks: 0 });
        vec![world]
    }

    /// Delivers each message, once or duplicated, with its reply received or lost.
    fn deliver(&self, rules: Rules) -> Vec<World> {
        let mut next = Vec::new();
        for index in 0..self.network.len() {
            for (duplicated, reply_received) in [(true, false), (false, false), (false, true)] {
                let mut world = self.clone();
                let order = world.network[index].order.clone();
                if !duplicated {
                    world.network.remove(index);
                }
                let accepted = world.engine.execute(&order, rules.fenced);
                if rules.lag == 0 {
                    world.engine.publish();
                }
                if reply_received {
                    world.handle_reply(&order, accepted);
                }
                next.push(world);
            }
        }
        next
    }

    fn handle_reply(&mut self, order: &Pending, accepted: bool) {
        let row = self.holder.row.as_ref();
        let pending = row.and_then(|row| row.0.pending.as_ref());
        if accepted && pending.is_some_and(|pending| pending.id == order.id) {
            self.holder.answered = Some(order.id.clone());
            return;
        }
        let holder = self.holder.clone();
        let Some((mut ledger, _)) = holder.row.clone() else {
            return;
        };
        let pending = ledger.pending.as_ref();
        if pending.is_some_and(|pending| pending.id == order.id) {
            ledger.raise(self.engine.fence);
            self.holder = self.store(ledger, holder);
        }
    }

    /// Advances time, which drops expired messages; restarts the engine; lets another holder take over.
    fn inject_faults(&self, rules: Rules) -> Vec<World> {
        let mut next = Vec::new();
        if self.ticks < 2 + 2 * rules.lag {
            let mut world = self.clone();
            world.ticks += 1;
            for message in &mut world.network {
                message.ticks += 1;
            }
            world
                .network
                .retain(|message| message.ticks <= MAX_TRANSIT_TICKS);
            world.engine.publish();
            next.push(world);
        }
        if self.engine.boot + 1 < MAX_BOOTS {
            let mut world = self.clone();
            world.engine.restart();
            if rules.lag == 0 {
                world.engine.publish();
            }
            next.push(world);
        }
        if self.takeovers == 0 {
            let mut world = self.clone();
            world.takeovers += 1;
            if rules.mutation == Mutation::NoLeaseCheck {
                world.paused = Some(self.holder.clone());
            }
            world.holder = Holder {
                row: Some(self.row.clone()),
                ..Holder::default()
            };
            next.push(world);
        }
        next
    }

    /// Resumes the paused old holder. Its lease has expired, so the table refuses its write.
    fn resume_paused_holder(&self, rules: Rules) -> Vec<World> {
        let Some(paused) = &self.paused else {
            return Vec::new();
        };
        if rules.mutation != Mutation::NoLeaseCheck {
            return Vec::new();
        }
        let Some((holder, ledger)) = self.observed(paused.clone(), rules) else {
            return Vec::new();
        };
        let mut world = self.clone();
        world.paused = Some(world.store(ledger, holder));
        world.holder.row = Some(world.row.clone());
        vec![world]
    }
}

/// Returns the number of states, or a state in which memory is overcommitted.
fn explore(rules: Rules) -> Result<usize, Box<World>> {
    let mut states = 0;
    for world in bfs_reach(World::new(), |world| world.successors(rules)) {
        states += 1;
        assert!(states < MAX_STATES, "more states than expected");
        if world.engine.used_mib() > CAPACITY_MIB {
            return Err(Box::new(world));
        }
    }
    Ok(states)
}

fn check(fenced: bool, lag: u32) {
    let mutation = Mutation::None;
    let rules = Rules {
        fenced,
        lag,
        mutation,
    };
    let states = explore(rules).expect("memory is overcommitted");
    println!("{rules:?} states={states}");
}

fn assert_detected(mutation: Mutation) {
    let rules = Rules {
        fenced: false,
        lag: 0,
        mutation,
    };
    assert!(explore(rules).is_err(), "{mutation:?} was not detected");
}

#[test]
fn memory_is_never_overcommitted_with_fencing() {
    check(true, 0);
}

#[test]
fn memory_is_never_overcommitted_without_fencing() {
    check(false, 0);
}

#[test]
fn memory_is_never_overcommitted_with_late_reports() {
    check(false, 1);
}

#[test]
fn freeing_before_confirmation_is_detected() {
    assert_detected(Mutation::FreeBeforeConfirmation);
}

#[test]
fn dropping_order_in_flight_is_detected() {
    assert_detected(Mutation::DropInFlight);
}

#[test]
fn late_duplicates_after_unload_are_detected() {
    assert_detected(Mutation::NoQuarantine);
}

#[test]
fn write_by_old_holder_is_detected() {
    assert_detected(Mutation::NoLeaseCheck);
}
