//! Permits of one engine at their owner: one daemon in the engine's zone grants them by urgency, and queues requests that find
//! none free.
//!
//! A permit is named by the daemon that holds it and the number of its request. A daemon's [`Holding`] lists all numbers that
//! it holds or waits for, so that each one corrects what lost or reordered messages have left wrong.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::queue::{Class, Entry, Queue};
use super::urgency::{limit, resume_limit};
use crate::state::record::Name;

/// Maximum number of requests that wait for a permit of one engine.
pub const QUEUE_CAPACITY: usize = 256;

/// Weight of one permit in the average time for which permits are held.
const HELD_WEIGHT: f64 = 0.1;

/// Time for which a permit is taken to be held until one was given back.
const INITIAL_HELD: Duration = Duration::from_millis(300);

/// Time after a rejection for which the room of an engine is reduced.
const REJECTION_TIME: Duration = Duration::from_secs(1);

/// Smallest share of the room that remains after rejections.
const MIN_SHARE: f64 = 0.5;

/// What a daemon has at one engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Holding {
    /// Numbers of the requests with a permit.
    #[serde(rename = "h", default, skip_serializing_if = "BTreeSet::is_empty")]
    pub held: BTreeSet<u64>,
    /// Numbers of the requests that wait for a permit, or for an answer.
    #[serde(rename = "o", default, skip_serializing_if = "BTreeSet::is_empty")]
    pub open: BTreeSet<u64>,
    /// Number of requests without a permit.
    #[serde(rename = "f", default)]
    pub free: u32,
    /// Highest number that the daemon has given a request so far.
    #[serde(rename = "l", default)]
    pub last: u64,
    /// Rises with each such message of the daemon, as messages may overtake each other.
    #[serde(rename = "n", default)]
    pub order: u64,
}

/// Request for a permit.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Want {
    /// Number of the request, unique for its sender and increasing; a repetition has the same one.
    #[serde(rename = "i")]
    pub id: u64,
    /// Identifier of the engine.
    #[serde(rename = "e")]
    pub endpoint: Name,
    /// Number of the request's class.
    #[serde(rename = "c", default)]
    pub class: u8,
    /// Workspace of the request.
    #[serde(rename = "k", default)]
    pub workspace: Name,
    /// Weight within the class.
    #[serde(rename = "w", default)]
    pub weight: u32,
    /// Size of the request, in units.
    #[serde(rename = "z", default)]
    pub size: u64,
    /// Time for which the request waits, in milliseconds.
    #[serde(rename = "t", default)]
    pub wait_millis: u64,
    /// Time until the request counts as urgent, in milliseconds.
    #[serde(rename = "p", default)]
    pub promotion_millis: u64,
    /// Number of engines at which the request may be served, all of which it may wait for.
    #[serde(rename = "x", default)]
    pub copies: u32,
    /// Whether the request takes a stream up, or lets it go on elsewhere.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub resumes: bool,
    /// What the sender has at the engine, including this request.
    #[serde(rename = "u", default)]
    pub holding: Holding,
}

/// Response to a request for a permit; a request that waits gets another one when its turn has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Turn {
    /// What was decided.
    #[serde(rename = "s", default)]
    pub decision: Decision,
    /// Number of requests that are served before.
    #[serde(rename = "p", default)]
    pub position: u32,
    /// Time after which a permit is expected, in milliseconds.
    #[serde(rename = "x", default)]
    pub expected_millis: u64,
}

/// What an owner decided about a request for a permit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, Serialize)]
pub enum Decision {
    /// The request has the permit.
    #[serde(rename = "g")]
    Granted,
    /// The request waits for one.
    #[serde(rename = "q")]
    Queued,
    /// The request gets none.
    #[default]
    #[serde(rename = "d")]
    Denied,
    /// The receiver of the request does not own the engine's permits.
    #[serde(rename = "n")]
    Foreign,
}

/// A request for a permit, by daemon and number.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// Daemon that sent it.
    pub daemon: Name,
    /// Its number.
    pub id: u64,
}

/// What the owner knows of one daemon.
#[derive(Debug, Clone, Default)]
struct Holder {
    /// Permits by number, with the time at which each was granted or first reported.
    permits: BTreeMap<u64, Duration>,
    free: u32,
    order: u64,
    heard_at: Duration,
}

/// Permits of one engine at their owner.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::owner::{Decision, Holding, Owner, Want};
/// let mut owner = Owner::open(0, Duration::ZERO, Duration::ZERO);
/// let want = |id| Want {
///     id, endpoint: "e1".into(), class: 0, workspace: "w".into(), weight: 1, size: 1, wait_millis: 500,
///     promotion_millis: 500, copies: 1, resumes: false,
///     holding: Holding { open: [id].into(), last: id, order: id, ..Holding::default() },
/// };
/// let now = Duration::ZERO;
/// assert_eq!(owner.ask(&"d1".into(), &want(1), 1, now).0.decision, Decision::Granted);
/// assert_eq!(owner.ask(&"d2".into(), &want(1), 1, now).0.decision, Decision::Queued);
/// owner.report(&"d1".into(), &Holding { last: 1, order: 2, ..Holding::default() }, now);
/// assert_eq!(&*owner.advance(1, now)[0].daemon, "d2");
/// ```
#[derive(Debug, Clone)]
pub struct Owner {
    holders: HashMap<Name, Holder>,
    queue: Queue<Ticket>,
    /// Times at which queued requests leave and at which they count as urgent.
    times: HashMap<Ticket, (Duration, Duration)>,
    /// Requests that the engine had when the owner began, of daemons that have not reported them yet.
    inherited: u32,
    opened_at: Duration,
    inherited_until: Duration,
    held: Duration,
    /// Room after rejections, and the end of its reduction.
    reduced: Option<(u32, Duration)>,
}

impl Owner {
    /// Begins to grant at an engine that has `inherited` requests that are not reported yet; as they end, they are counted less and
    /// less until `inherited_until`.
    pub fn open(inherited: u32, opened_at: Duration, inherited_until: Duration) -> Self {
        Self {
            holders: HashMap::new(),
            queue: Queue::open(QUEUE_CAPACITY),
            times: HashMap::new(),
            inherited,
            opened_at,
            inherited_until,
            held: INITIAL_HELD,
            reduced: None,
        }
    }

    /// Handles a request for a permit at an engine with `room`. Returns the response, and requests that no longer wait
    /// because the queue was full.
    pub fn ask(
        &mut self,
        daemon: &Name,
        want: &Want,
        room: u32,
        now: Duration,
    ) -> (Turn, Option<Ticket>) {
        self.report(daemon, &want.holding, now);
        let ticket = Ticket {
            daemon: daemon.clone(),
            id: want.id,
        };
        if self.has_permit(&ticket) {
            return (granted(), None);
        }
        let room = self.room(room, now);
        if want.resumes && self.used(now) < resume_limit(room) {
            self.leave(&ticket);
            self.grant(&ticket, now);
            return (granted(), None);
        }
        if self.queue.contains(&ticket) {
            return (self.wait_of(&ticket, room, want.copies, now), None);
        }
        let class = Class::from_number(want.class);
        let wait = Duration::from_millis(want.wait_millis);
        let ahead = self.queue.ahead(&want.workspace, class, now);
        let expected = self.expected(ahead, class, room, want.copies, now);
        let turn = Turn {
            decision: Decision::Denied,
            position: ahead as u32,
            expected_millis: expected.as_millis() as u64,
        };
        if expected > wait {
            return (turn, None);
        }
        let entry = Entry {
            item: ticket.clone(),
            workspace: want.workspace.clone(),
            weight: want.weight.max(1),
            class,
            tokens: want.size.max(1),
            deadline: now + wait,
            arrived: now,
        };
        let promotion = now + Duration::from_millis(want.promotion_millis);
        self.times.insert(ticket.clone(), (now + wait, promotion));
        let shed = self.queue.push(entry, now).map(|shed| shed.item);
        if let Some(shed) = &shed {
            self.times.remove(shed);
            if *shed == ticket {
                return (turn, None);
            }
        }
        if self.take_first(&ticket, room, now) {
            return (granted(), shed);
        }
        let turn = Turn {
            decision: Decision::Queued,
            ..turn
        };
        (turn, shed)
    }

    /// Grants a request that was just queued if it is the next one and finds a permit.
    fn take_first(&mut self, ticket: &Ticket, room: u32, now: Duration) -> bool {
        let first = self.queue.first(now);
        let is_free = first.is_some_and(|first| {
            first.item == *ticket && self.used(now) < limit(first.class, room)
        });
        if is_free {
            self.queue.pop(now);
            self.times.remove(ticket);
            self.grant(ticket, now);
        }
        is_free
    }

    /// Grants permits to those that wait, as far as there are any; returns whom. Call it after each report, and now and then.
    pub fn advance(&mut self, room: u32, now: Duration) -> Vec<Ticket> {
        self.age(now);
        let room = self.room(room, now);
        let mut granted = Vec::new();
        while let Some(first) = self.queue.first(now) {
            if self.used(now) >= limit(first.class, room) {
                break;
            }
            let ticket = first.item.clone();
            self.queue.pop(now);
            self.times.remove(&ticket);
            self.grant(&ticket, now);
            granted.push(ticket);
        }
        granted
    }

    /// Drops requests that have waited for as long as they may, and lets those count as urgent that have waited for most of
    /// their objectives.
    fn age(&mut self, now: Duration) {
        let due = self
            .times
            .iter()
            .filter(|(_, (until, promotion))| *until <= now || *promotion <= now);
        let mut due: Vec<Ticket> = due.map(|(ticket, _)| ticket.clone()).collect();
        due.sort();
        for ticket in due {
            let Some((until, _)) = self.times.get(&ticket).copied() else {
                continue;
            };
            let Some(entry) = self.queue.remove(&ticket) else {
                self.times.remove(&ticket);
                continue;
            };
            if until <= now {
                self.times.remove(&ticket);
                continue;
            }
            self.times.insert(ticket, (until, Duration::MAX));
            let entry = Entry {
                class: Class::Interactive,
                ..entry
            };
            self.queue.push(entry, now);
        }
    }

    /// Records what a daemon has; removes its requests that it neither holds nor waits for any more.
    pub fn report(&mut self, daemon: &Name, holding: &Holding, now: Duration) {
        let is_new = !self.holders.contains_key(daemon);
        let holder = self.holders.entry(daemon.clone()).or_default();
        holder.heard_at = now;
        if holding.order <= holder.order {
            return;
        }
        holder.order = holding.order;
        holder.free = holding.free;
        if is_new {
            let reported = holding.free + holding.held.len() as u32;
            self.inherited = self.inherited.saturating_sub(reported);
        }
        let is_over = |id: u64| {
            id <= holding.last && !holding.held.contains(&id) && !holding.open.contains(&id)
        };
        let mut held = self.held;
        holder.permits.retain(|id, since| {
            let is_over = is_over(*id);
            if is_over {
                let sample = now.saturating_sub(*since);
                held = held.mul_f64(1.0 - HELD_WEIGHT) + sample.mul_f64(HELD_WEIGHT);
            }
            !is_over
        });
        for id in &holding.held {
            holder.permits.entry(*id).or_insert(now);
        }
        self.held = held;
        let over: Vec<Ticket> = self
            .times
            .keys()
            .filter(|ticket| ticket.daemon == *daemon)
            .filter(|ticket| is_over(ticket.id) || holding.held.contains(&ticket.id))
            .cloned()
            .collect();
        for ticket in over {
            self.leave(&ticket);
        }
    }

    /// Records that the engine has rejected a request, which reduces its room for a moment.
    pub fn rejected(&mut self, room: u32, now: Duration) {
        let before = self.room(room, now);
        let least = ((f64::from(room) * MIN_SHARE) as u32).max(1);
        let after = before.min(self.used(now)).saturating_sub(1).max(least);
        self.reduced = Some((after, now + REJECTION_TIME));
    }

    /// Requests at the engine, as far as known.
    pub fn used(&self, now: Duration) -> u32 {
        let counts = self.holders.values();
        let counts = counts.map(|holder| holder.permits.len() as u32 + holder.free);
        let used = counts.fold(0, u32::saturating_add);
        let left = self.inherited_until.saturating_sub(now);
        let whole = self.inherited_until.saturating_sub(self.opened_at);
        let share = left.as_secs_f64() / whole.as_secs_f64().max(0.001);
        let inherited = f64::from(self.inherited) * share.min(1.0);
        used.saturating_add(inherited.ceil() as u32)
    }

    /// Number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Time for which permits are held, on average.
    pub fn held(&self) -> Duration {
        self.held
    }

    /// Drops what a daemon had and waits for, as its process has ended.
    pub fn forget(&mut self, daemon: &str) {
        self.holders.remove(daemon);
        let over = self.times.keys().filter(|ticket| *ticket.daemon == *daemon);
        let over: Vec<Ticket> = over.cloned().collect();
        for ticket in over {
            self.leave(&ticket);
        }
    }

    /// Drops what daemons had that have not been heard since `oldest`.
    pub fn expire(&mut self, oldest: Duration) {
        let silent = self.holders.iter().filter(|(_, it)| it.heard_at < oldest);
        let silent: Vec<Name> = silent.map(|(daemon, _)| daemon.clone()).collect();
        for daemon in silent {
            self.forget(&daemon);
        }
    }

    fn has_permit(&self, ticket: &Ticket) -> bool {
        let holder = self.holders.get(&ticket.daemon);
        holder.is_some_and(|holder| holder.permits.contains_key(&ticket.id))
    }

    fn grant(&mut self, ticket: &Ticket, now: Duration) {
        let holder = self.holders.entry(ticket.daemon.clone()).or_default();
        holder.permits.insert(ticket.id, now);
    }

    fn leave(&mut self, ticket: &Ticket) {
        self.times.remove(ticket);
        self.queue.remove(ticket);
    }

    /// Room of the engine, less after a rejection.
    fn room(&self, room: u32, now: Duration) -> u32 {
        match self.reduced {
            Some((reduced, until)) if now < until => reduced.min(room),
            _ => room,
        }
    }

    /// Response to a repeated request that waits.
    fn wait_of(&self, ticket: &Ticket, room: u32, copies: u32, now: Duration) -> Turn {
        let position = self.queue.position(ticket, now);
        let (position, class) = position.unwrap_or_default();
        let expected = self.expected(position, class, room, copies, now);
        Turn {
            decision: Decision::Queued,
            position: position as u32,
            expected_millis: expected.as_millis() as u64,
        }
    }

    /// Time after which a request gets a permit that `ahead` others get before, if it waits at `copies` engines.
    fn expected(
        &self,
        ahead: usize,
        class: Class,
        room: u32,
        copies: u32,
        now: Duration,
    ) -> Duration {
        let used = self.used(now);
        let needed = (used + ahead as u32 + 1).saturating_sub(limit(class, room));
        self.held * needed / used.max(1) / copies.max(1)
    }
}

fn granted() -> Turn {
    Turn {
        decision: Decision::Granted,
        ..Turn::default()
    }
}

/// Daemons of an engine's zone in the order in which they are to own its permits, each given with its weight: the first one that
/// is alive does. Daemons own engines in proportion to their weights.
///
/// ```
/// use persimmoncroft::coordination::owner::ranking;
/// let all = [("d1", 0.5), ("d2", 0.1), ("d3", 0.5)];
/// let ranked = ranking("e1", &all);
/// let others: Vec<_> = all.into_iter().filter(|(name, _)| *name != ranked[0]).collect();
/// assert_eq!(ranking("e1", &others), ranked[1..]);
/// ```
pub fn ranking<'a>(endpoint: &str, daemons: &[(&'a str, f64)]) -> Vec<&'a str> {
    use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};
    let seed = xxh3_64(endpoint.as_bytes());
    let mut ranked: Vec<(f64, &str)> = daemons
        .iter()
        .map(|(name, weight)| {
            let hash = xxh3_64_with_seed(name.as_bytes(), seed);
            // Weighted rendezvous hashing.
            let draw = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            (-draw.ln() / weight.max(0.001), *name)
        })
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
    ranked.into_iter().map(|(_, name)| name).collect()
}
