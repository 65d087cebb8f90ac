//! Model check of loans and grants with lost, duplicated, reordered and delayed messages and pauses.
//!
//! One lender owns all parts. Two daemons both consider themselves home and borrow from it; a third gets grants from
//! the first. Messages stay in the network, so that each may arrive late, more than once, in any order or never. A
//! paused process is one that takes no step for a while.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use pathfinding::prelude::bfs_reach;
use persimmoncroft::coordination::balance::Balance;
use persimmoncroft::coordination::bucket::{Ask, Bucket, Grant, PARTS, Rate};
use persimmoncroft::coordination::loan::{Borrower, Lender, Terms};

const SECOND: Duration = Duration::from_secs(1);
const GROUP: u32 = 0;
const RATE: Rate = Rate {
    tokens_per_second: 1,
    burst_tokens: 1,
};

/// Rules under test; a test breaks one of them.
#[derive(Debug, Clone, Copy)]
struct Rules {
    lender: Terms,
    borrower: Terms,
    home: Terms,
    requester: Terms,
    lend_with_grants_out: bool,
}

const TERMS: Terms = Terms {
    loan: Duration::from_secs(4),
    grant: Duration::from_secs(2),
    drift_permille: 0,
};

const CORRECT: Rules = Rules {
    lender: TERMS,
    borrower: TERMS,
    home: TERMS,
    requester: TERMS,
    lend_with_grants_out: false,
};

/// Maximum number of states explored, breadth first.
const MAX_STATES: usize = 30_000;

const HORIZON: u64 = 6;
const MAX_BORROWS: [u64; 2] = [1, 1];
const MAX_ASKS: u64 = 1;

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Borrow(usize, u64, u64),
    Lent(usize, u64, u32, u64),
    Return(usize, u64),
    Ask(u64, u64, u64, u64),
    Grant(u64, u64, bool, u64),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    lender: Lender,
    borrowers: [Borrower; 2],
    borrows: [u64; 2],
    /// Buckets of the lender and of the first borrower, which acts as home.
    buckets: [Bucket; 2],
    /// Tokens held by the lender and by the daemon that requests grants from the home.
    balances: [Balance; 2],
    asks: u64,
    network: BTreeSet<Message>,
    /// Level of a strict token bucket charged with all spending; negative if the limit was exceeded.
    strict_level: i64,
}

fn name(index: usize) -> Arc<str> {
    ["first", "second"][index].into()
}

impl State {
    fn start(lent: bool, rules: &Rules) -> Self {
        let bucket = Bucket::open(Duration::ZERO);
        let mut state = Self {
            now: 0,
            lender: Lender::default(),
            borrowers: Default::default(),
            borrows: [0, 0],
            buckets: [bucket.clone(), bucket],
            balances: Default::default(),
            asks: 0,
            network: BTreeSet::new(),
            strict_level: RATE.burst_tokens as i64,
        };
        if lent {
            state.borrows[0] = 1;
            state.deliver(&Message::Borrow(0, 1, 0), rules);
            state.deliver(&Message::Lent(0, 1, PARTS, 0), rules);
        }
        state.refresh();
        state
    }

    fn time(&self) -> Duration {
        SECOND * self.now as u32
    }

    fn usable_parts(&self) -> [u32; 3] {
        let now = self.time();
        let own = PARTS - self.lender.lent_parts(GROUP, now);
        let borrowed = |index: usize| self.borrowers[index].parts(GROUP, now);
        [own, borrowed(0), borrowed(1)]
    }

    fn refresh(&mut self) {
        let usable_parts = self.usable_parts();
        let now = self.time();
        self.buckets[0].refresh(RATE, usable_parts[0], now);
        self.buckets[1].refresh(RATE, usable_parts[1], now);
    }

    fn invariant_holds(&self) -> bool {
        let now = self.time();
        let held: u64 = self.balances.iter().map(|balance| balance.held(now)).sum();
        let levels: u64 = self.buckets.iter().map(Bucket::level).sum();
        let parts_bounded = self.usable_parts().iter().sum::<u32>() <= PARTS;
        parts_bounded && self.strict_level >= 0 && levels + held <= RATE.burst_tokens
    }

    fn successors(&self, rules: &Rules) -> Vec<Self> {
        let mut next = Vec::new();
        if self.now < HORIZON {
            let mut state = self.clone();
            state.now += 1;
            state.strict_level = (state.strict_level + 1).min(RATE.burst_tokens as i64);
            next.push(state);
        }
        self.send(&mut next);
        for message in &self.network {
            let mut state = self.clone();
            state.deliver(message, rules);
            next.push(state);
        }
        for index in 0..2 {
            let mut state = self.clone();
            if state.spend(index, rules) {
                next.push(state);
            }
        }
        for state in &mut next {
            state.refresh();
        }
        next
    }

    fn send(&self, next: &mut Vec<Self>) {
        for (index, limit) in MAX_BORROWS.into_iter().enumerate() {
            let mut state = self.clone();
            if state.borrows[index] < limit {
                state.borrows[index] += 1;
                let message = Message::Borrow(index, state.borrows[index], state.now);
                state.network.insert(message);
                next.push(state);
            }
        }
        let mut state = self.clone();
        let lent = state.borrowers[0].parts(GROUP, state.time()) > 0;
        if lent && state.buckets[1].outstanding() == 0 {
            let sequence = state.borrows[0];
            state.borrowers[0].give_back(GROUP, sequence);
            state.network.insert(Message::Return(0, sequence));
            next.push(state);
        }
        let mut state = self.clone();
        if state.asks < MAX_ASKS {
            state.asks += 1;
            let ask = state.balances[1].ask(1, 1, state.time());
            let message = Message::Ask(ask.sequence, ask.held, ask.returned, state.now);
            state.network.insert(message);
            next.push(state);
        }
    }

    fn deliver(&mut self, message: &Message, rules: &Rules) {
        let now = self.time();
        match *message {
            Message::Borrow(index, sequence, asked) => {
                if self.buckets[0].outstanding() > 0 && !rules.lend_with_grants_out {
                    return;
                }
                let to = name(index);
                let lent = self
                    .lender
                    .lend(GROUP, &to, sequence, PARTS, now, &rules.lender);
                if lent > 0 {
                    let message = Message::Lent(index, sequence, lent, asked);
                    self.network.insert(message);
                }
            }
            Message::Lent(index, sequence, parts, asked) => {
                let asked = SECOND * asked as u32;
                let from = "lender".into();
                self.borrowers[index].receive(
                    GROUP,
                    &from,
                    sequence,
                    parts,
                    asked,
                    &rules.borrower,
                );
            }
            Message::Return(index, sequence) => {
                self.lender.take_back(GROUP, &name(index), sequence);
            }
            Message::Ask(sequence, held, returned, asked) => {
                let ask = Ask {
                    sequence,
                    held,
                    returned,
                    need: 1,
                    ..Ask::default()
                };
                let grant = self.buckets[1].ask(&"entry".into(), &ask, now, &rules.home);
                let message = Message::Grant(sequence, grant.tokens, grant.renewed, asked);
                self.network.insert(message);
            }
            Message::Grant(sequence, tokens, renewed, asked) => {
                let grant = Grant {
                    tokens,
                    renewed,
                    ..Grant::default()
                };
                let asked = SECOND * asked as u32;
                self.balances[1].receive(sequence, &grant, asked, now, &rules.requester);
                // A reply counts once: the transport delivers it to the call that waits for it.
                self.network.remove(message);
            }
        }
    }

    /// Spends a token: the lender from its own bucket, the other daemon from its grants.
    fn spend(&mut self, index: usize, rules: &Rules) -> bool {
        let now = self.time();
        if index == 0 && self.balances[0].available() == 0 {
            let ask = self.balances[0].ask(1, 1, now);
            let grant = self.buckets[0].ask(&"lender".into(), &ask, now, &rules.home);
            self.balances[0].receive(ask.sequence, &grant, now, now, &rules.requester);
            return grant.tokens > 0;
        }
        let Some(hold) = self.balances[index].take(1, now) else {
            return false;
        };
        self.strict_level -= 1;
        self.balances[index].spend(&hold, now)
    }
}

/// Explores states; returns their number and the first one that violates an invariant.
fn explore(rules: Rules, lent: bool) -> (usize, Option<State>) {
    let mut count = 0;
    for state in
        bfs_reach(State::start(lent, &rules), |state| state.successors(&rules)).take(MAX_STATES)
    {
        count += 1;
        if !state.invariant_holds() {
            return (count, Some(state));
        }
    }
    println!("explored {count} states without a violation");
    (count, None)
}

fn violation_found(rules: Rules, lent: bool) -> bool {
    explore(rules, lent).1.is_some()
}

#[test]
fn spending_stays_within_strict_bucket() {
    for lent in [false, true] {
        let (count, violation) = explore(CORRECT, lent);
        assert_eq!(violation, None);
        assert_eq!(count, MAX_STATES);
    }
}

#[test]
fn late_stop_of_borrower_is_detected() {
    let loan = TERMS.loan + 3 * SECOND;
    let borrower = Terms { loan, ..TERMS };
    let rules = Rules {
        borrower,
        ..CORRECT
    };
    assert!(violation_found(rules, true));
}

#[test]
fn uncounted_outstanding_grants_are_detected() {
    let grant = Duration::ZERO;
    let home = Terms { grant, ..TERMS };
    assert!(violation_found(Rules { home, ..CORRECT }, true));
}

#[test]
fn grants_outliving_loan_are_detected() {
    let short = Terms {
        loan: 2 * SECOND,
        grant: Duration::ZERO,
        ..TERMS
    };
    let long = Terms {
        grant: 3 * SECOND,
        ..TERMS
    };
    let rules = Rules {
        lender: short,
        borrower: short,
        home: long,
        requester: long,
        ..CORRECT
    };
    assert!(violation_found(rules, true));
}

#[test]
fn lending_granted_tokens_is_detected() {
    let rules = Rules {
        lend_with_grants_out: true,
        ..CORRECT
    };
    assert!(violation_found(rules, false));
}
