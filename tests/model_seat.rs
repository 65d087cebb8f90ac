//! Model check of seats: delayed writes, lost replies, pauses, network partitions and restarts.

use std::time::Duration;

use pathfinding::prelude::bfs_reach;
use persimmoncroft::coordination::bucket::PARTS;
use persimmoncroft::coordination::holder::{Holder, Identity};
use persimmoncroft::coordination::loan::Terms;
use persimmoncroft::coordination::seat::{Plan, Pool, Seat, Snapshot, Timing};

const SECOND: Duration = Duration::from_secs(1);

const TIMING: Timing = Timing {
    lease: Duration::from_secs(4),
    isolation: Duration::from_secs(2),
    terms: Terms {
        loan: Duration::from_secs(1),
        grant: Duration::ZERO,
        drift_permille: 0,
    },
};

/// Rules under test; a test breaks one of them.
#[derive(Debug, Clone, Copy)]
struct Rules {
    /// Lease by which the seats of others are judged to have expired.
    lease: Duration,
    /// Lease by which a holder limits its own use.
    own_lease: Duration,
    /// Whether a seat may be taken over without proof that its holder is gone.
    without_proof: bool,
    /// Whether daemons know no zone peers, so that they are never isolated.
    no_zone_peers: bool,
    /// Whether zone peers without seats answer, instead of the platform.
    peers_answer: bool,
    /// Whether those who answer a daemon remember the contact.
    contacts_recorded: bool,
    /// Maximum number of writes whose replies are lost.
    max_lost_replies: u32,
    /// Maximum number of restarts of the first daemon at the same address.
    max_restarts: u32,
}

const CORRECT: Rules = Rules {
    lease: TIMING.lease,
    own_lease: TIMING.lease,
    without_proof: false,
    no_zone_peers: false,
    peers_answer: false,
    contacts_recorded: true,
    max_lost_replies: 1,
    max_restarts: 1,
};

/// Maximum number of states explored, breadth first.
const MAX_STATES: usize = 50_000;

const HORIZON: u64 = 7;
const MAX_WRITES: u32 = 4;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    table: Snapshot,
    version: u64,
    holders: [Holder; 2],
    /// When the platform or a zone peer last answered each daemon.
    contacts: [u64; 2],
    /// Writes whose senders have timed out but that may still be applied.
    delayed: Vec<Plan>,
    writes: u32,
    lost_replies: u32,
    restarts: u32,
}

fn identity(index: usize, restarts: u32) -> Identity {
    Identity {
        session: format!("{index}-{restarts}").into(),
        address: ([127, 0, 0, 1], 7000 + index as u16).into(),
        zone: "a".into(),
    }
}

impl State {
    fn start(rules: &Rules) -> Self {
        let holder = |index| {
            let mut holder = Holder::open(identity(index, 0), Duration::ZERO);
            let peers = (!rules.no_zone_peers).then_some(Duration::ZERO);
            holder.set_peers_answered(peers, Duration::ZERO, &own_timing(rules));
            holder
        };
        Self {
            now: 0,
            table: Snapshot::default(),
            version: 0,
            holders: [holder(0), holder(1)],
            contacts: [0, 0],
            delayed: Vec::new(),
            writes: 0,
            lost_replies: 0,
            restarts: 0,
        }
    }

    fn time(&self) -> Duration {
        SECOND * self.now as u32
    }

    fn invariant_holds(&self, rules: &Rules) -> bool {
        let timing = own_timing(rules);
        let now = self.time();
        let usable = self
            .holders
            .iter()
            .map(|holder| holder.usable(now, &timing));
        let seats = self.table.seats.values().map(|(_, seat)| seat.parts);
        let pool = self.table.pool.map_or(PARTS, |(_, pool)| pool.parts);
        usable.sum::<u32>() + pool <= PARTS && seats.sum::<u32>() + pool == PARTS
    }

    /// Applies a write if the versions that it expects still match.
    fn apply(&mut self, plan: &Plan) -> bool {
        let version_of = |key: &str| self.table.seats.get(key).map(|(version, _)| *version);
        let pool_version = self.table.pool.map(|(version, _)| version);
        let own = version_of(&plan.key) == plan.version;
        let pool = plan.pool.is_none_or(|(version, _)| version == pool_version);
        let taken_over = plan.taken_over.as_ref();
        let unchanged = taken_over.is_none_or(|(key, version)| version_of(key) == Some(*version));
        if !(own && pool && unchanged) {
            return false;
        }
        self.version += 1;
        let row: (u64, Seat) = (self.version, plan.seat.clone());
        self.table.seats.insert(plan.key.clone(), row);
        if let Some((_, pool)) = plan.pool {
            let row: (u64, Pool) = (self.version, pool);
            self.table.pool = Some(row);
        }
        if let Some((key, _)) = &plan.taken_over {
            self.table.seats.remove(key);
        }
        true
    }

    fn successors(&self, rules: &Rules) -> Vec<Self> {
        let mut next = Vec::new();
        if self.now < HORIZON {
            let mut state = self.clone();
            state.now += 1;
            next.push(state);
        }
        for index in 0..2 {
            if !rules.no_zone_peers {
                self.contact(index, rules, &mut next);
            }
            self.write(index, rules, &mut next);
        }
        for position in 0..self.delayed.len() {
            let mut state = self.clone();
            let plan = state.delayed.remove(position);
            state.apply(&plan);
            next.push(state);
        }
        if self.restarts < rules.max_restarts && self.now > 0 {
            let mut state = self.clone();
            state.restarts += 1;
            state.contacts[0] = state.now;
            state.holders[0] = Holder::open(identity(0, 1), state.time());
            let now = state.time();
            state.holders[0].set_peers_answered(Some(now), now, &own_timing(rules));
            next.push(state);
        }
        next
    }

    fn contact(&self, index: usize, rules: &Rules, next: &mut Vec<Self>) {
        let mut state = self.clone();
        let now = state.time();
        if rules.contacts_recorded {
            state.contacts[index] = state.now;
        }
        let timing = own_timing(rules);
        match rules.peers_answer {
            true => state.holders[index].set_peers_answered(Some(now), now, &timing),
            false => state.holders[index].record_contact(now, now, &timing),
        }
        next.push(state);
    }

    /// Reads the table, plans a write and branches over its possible outcomes.
    fn write(&self, index: usize, rules: &Rules, next: &mut Vec<Self>) {
        let mut state = self.clone();
        let now = state.time();
        let snapshot = state.table.clone();
        let timing = Timing {
            lease: rules.lease,
            ..TIMING
        };
        let contacts = state.contacts;
        let takeover_timeout = TIMING.isolation + 2 * TIMING.terms.loan;
        let gone = |seat: &Seat, _| {
            let other = usize::from(seat.address.port() - 7000);
            let silent = state.now - contacts[other];
            rules.without_proof
                || (!rules.no_zone_peers && SECOND * silent as u32 > takeover_timeout)
        };
        let mut holder = state.holders[index].clone();
        let live = if snapshot.pool.is_none() { 1 } else { 2 };
        let plan = holder.plan(&snapshot, live, gone, now, &timing);
        state.holders[index] = holder;
        let Some(plan) = plan else {
            next.push(state);
            return;
        };
        if state.writes == MAX_WRITES {
            return;
        }
        state.writes += 1;
        state.holders[index].sent(&plan);
        if state.lost_replies < rules.max_lost_replies {
            let mut lost = state.clone();
            lost.lost_replies += 1;
            lost.holders[index].outcome_unknown();
            lost.delayed.push(plan.clone());
            next.push(lost);
        }
        let version = state.version + 1;
        if state.apply(&plan) {
            state.holders[index].committed(&plan, version, now, now);
        }
        next.push(state);
    }
}

fn own_timing(rules: &Rules) -> Timing {
    Timing {
        lease: rules.own_lease,
        ..TIMING
    }
}

fn explore(rules: Rules) -> (usize, Option<State>) {
    let mut count = 0;
    for state in bfs_reach(State::start(&rules), |state| state.successors(&rules)).take(MAX_STATES)
    {
        count += 1;
        if !state.invariant_holds(&rules) {
            return (count, Some(state));
        }
    }
    println!("explored {count} states without a violation");
    (count, None)
}

#[test]
fn usable_parts_never_exceed_total() {
    let short_lease = Rules {
        lease: 2 * SECOND,
        own_lease: 2 * SECOND,
        no_zone_peers: true,
        ..CORRECT
    };
    let peers_answer = Rules {
        peers_answer: true,
        ..CORRECT
    };
    for rules in [CORRECT, peers_answer, short_lease] {
        let (count, violation) = explore(rules);
        assert_eq!(violation, None);
        assert_eq!(count, MAX_STATES);
    }
    let reached = bfs_reach(State::start(&short_lease), |state| {
        state.successors(&short_lease)
    });
    let mut reached = reached.take(MAX_STATES);
    assert!(reached.any(|state| state.writes > 2 && state.table.seats.len() == 1));
}

#[test]
fn takeover_without_proof_is_detected() {
    let rules = Rules {
        without_proof: true,
        no_zone_peers: true,
        max_lost_replies: 0,
        max_restarts: 0,
        ..CORRECT
    };
    assert!(explore(rules).1.is_some());
}

/// Runs two daemons that claim seats and are both answered by zone peers; the second takes over any seat that it may.
fn run_with_answering_peers(rules: &Rules) -> State {
    let mut state = State::start(rules);
    for second in 1..=HORIZON {
        state.now = second;
        for index in 0..2 {
            let mut next = Vec::new();
            state.contact(index, rules, &mut next);
            state = next.remove(0);
        }
        let writers = match second {
            1 => 0..2,
            5 => 1..2,
            _ => 0..0,
        };
        for index in writers {
            let mut next = Vec::new();
            state.write(index, rules, &mut next);
            state = next.pop().unwrap_or(state);
        }
    }
    state
}

#[test]
fn unrecorded_contact_with_peer_is_detected() {
    let recorded = Rules {
        peers_answer: true,
        lease: 20 * SECOND,
        own_lease: 20 * SECOND,
        ..CORRECT
    };
    let unrecorded = Rules {
        contacts_recorded: false,
        ..recorded
    };
    assert!(run_with_answering_peers(&recorded).invariant_holds(&recorded));
    assert!(!run_with_answering_peers(&unrecorded).invariant_holds(&unrecorded));
}

#[test]
fn use_after_lease_expiry_is_detected() {
    let rules = Rules {
        lease: 2 * SECOND,
        own_lease: 20 * SECOND,
        no_zone_peers: true,
        max_lost_replies: 0,
        max_restarts: 0,
        ..CORRECT
    };
    assert!(explore(rules).1.is_some());
}
