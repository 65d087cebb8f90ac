//! Model check of claims between two daemons, over all orders of steps: a call runs at most once, and a call that was
//! reported as not run never runs.

use std::sync::Arc;

use pathfinding::directed::bfs::bfs_reach;
use persimmoncroft::coordination::claim::{
    Answer, Attempt, Claim, Found, Phase, Reply, State, Step, Verdict, Written, examine, resolve,
};

const DAEMONS: u8 = 2;
const MAX_ATTEMPTS: usize = 2;
const MAX_RESTARTS: u8 = 1;

/// Rules under test; a mutation replaces one of them.
#[derive(Clone, Copy)]
struct Rules {
    resolve: fn(Option<Reply>) -> Verdict,
    reply: fn(&Attempt) -> Reply,
    checks_version: bool,
}

const CORRECT: Rules = Rules {
    resolve,
    reply: Attempt::reply,
    checks_version: true,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    claim: Claim,
    before: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Call {
    daemon: u8,
    write: Write,
    attempt: Attempt,
    closed: bool,
    reported_not_run: bool,
    ran: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct World {
    row: Option<(Claim, u64)>,
    version: u64,
    delayed: Vec<Write>,
    calls: Vec<Call>,
    sessions: [u8; DAEMONS as usize],
}

fn session(daemon: u8, restarts: u8) -> Arc<str> {
    format!("{daemon}.{restarts}").into()
}

fn answer() -> Answer {
    Answer {
        status: 200,
        headers: Vec::new(),
        body: "".into(),
        stored: false,
    }
}

impl World {
    fn apply(&mut self, write: &Write, rules: Rules) -> Option<u64> {
        let current = self.row.as_ref().map(|row| row.1);
        if rules.checks_version && current != write.before {
            return None;
        }
        self.version += 1;
        self.row = Some((write.claim.clone(), self.version));
        Some(self.version)
    }

    fn alive(&self, call: &Call) -> bool {
        let now = session(call.daemon, self.sessions[call.daemon as usize]);
        call.write.claim.session == now
    }

    /// Handles a client's request at a daemon; `heard` tells whether the holder of the claim can be queried.
    fn start(&self, daemon: u8, holder_reachable: bool, rules: Rules) -> Option<World> {
        let claim = self.row.as_ref().map(|row| &row.0);
        let write = match examine(claim, "digest") {
            Step::Write => true,
            Step::Ask => {
                let reply = claim.and_then(|claim| self.ask(claim, rules));
                (rules.resolve)(reply.filter(|_| holder_reachable)) == Verdict::Write
            }
            _ => false,
        };
        if !write || self.calls.len() == MAX_ATTEMPTS {
            return None;
        }
        let mut next = self.clone();
        let claim = Claim {
            nonce: format!("n{}", self.calls.len()).into(),
            session: session(daemon, self.sessions[daemon as usize]),
            address: "127.0.0.1:1".parse().unwrap(),
            fingerprint: "digest".into(),
            day: 0,
            state: State::Held,
        };
        let before = self.row.as_ref().map(|row| row.1);
        next.calls.push(Call {
            daemon,
            write: Write { claim, before },
            attempt: Attempt::open(),
            closed: false,
            reported_not_run: false,
            ran: false,
        });
        Some(next)
    }

    fn ask(&self, claim: &Claim, rules: Rules) -> Option<Reply> {
        let mut calls = self.calls.iter();
        let call = calls.find(|call| call.write.claim.nonce == claim.nonce)?;
        self.alive(call).then(|| (rules.reply)(&call.attempt))
    }

    fn found(&self, write: &Write) -> Found {
        if self.row.as_ref().map(|row| row.1) == write.before {
            return Found::Before;
        }
        match &self.row {
            Some((claim, version)) if *claim == write.claim => Found::Own { version: *version },
            _ => Found::Other,
        }
    }

    fn with(&self, index: usize, change: impl FnOnce(&mut World, &mut Call)) -> World {
        let mut next = self.clone();
        let mut call = next.calls[index].clone();
        change(&mut next, &mut call);
        call.reported_not_run |= matches!(call.attempt.phase(), Phase::Abandoned { .. });
        next.calls[index] = call;
        next
    }

    fn writes(&self, index: usize, rules: Rules) -> Vec<World> {
        let applied = self.with(index, |world, call| {
            let written = match world.apply(&call.write, rules) {
                Some(version) => Written::Applied { version },
                None => Written::Conflict,
            };
            call.attempt.written(written);
        });
        let lost = self.with(index, |world, call| {
            let _ = world.apply(&call.write, rules);
            call.attempt.written(Written::Lost);
        });
        let pending = self.with(index, |world, call| {
            world.delayed.push(call.write.clone());
            call.attempt.written(Written::Lost);
        });
        let refused = self.with(index, |_, call| call.attempt.written(Written::Unavailable));
        vec![applied, lost, pending, refused]
    }

    fn sends(&self, index: usize) -> Vec<World> {
        let outcome = |runs: bool, end: fn(&mut Attempt)| {
            self.with(index, |_, call| {
                if call.attempt.send() {
                    call.ran |= runs;
                    end(&mut call.attempt);
                }
            })
        };
        let abandoned = self.with(index, |_, call| {
            call.attempt.abandon();
        });
        vec![
            outcome(true, |attempt| attempt.finish(Some(answer()))),
            outcome(true, |attempt| attempt.finish(None)),
            outcome(false, |attempt| attempt.finish(None)),
            outcome(true, |_| {}),
            outcome(false, Attempt::not_sent),
            abandoned,
        ]
    }

    fn close(&self, index: usize, rules: Rules) -> Option<World> {
        let (version, state) = self.calls[index].attempt.final_write()?;
        if self.calls[index].closed {
            return None;
        }
        Some(self.with(index, |world, call| {
            let claim = Claim {
                state,
                ..call.write.claim.clone()
            };
            let before = Some(version);
            let _ = world.apply(&Write { claim, before }, rules);
            call.closed = true;
        }))
    }

    fn step(&self, index: usize, rules: Rules) -> Vec<World> {
        let call = &self.calls[index];
        if !self.alive(call) {
            return Vec::new();
        }
        match call.attempt.phase() {
            Phase::Writing { .. } => self.writes(index, rules),
            Phase::Reading { .. } => {
                let found = self.found(&call.write);
                let read = self.with(index, |_, call| call.attempt.found(found));
                let failed = self.with(index, |_, call| call.attempt.found(Found::Nothing));
                vec![read, failed]
            }
            Phase::Held { .. } => self.sends(index),
            _ => self.close(index, rules).into_iter().collect(),
        }
    }

    fn successors(&self, rules: Rules) -> Vec<World> {
        let mut next = Vec::new();
        for daemon in 0..DAEMONS {
            next.extend(self.start(daemon, true, rules));
            next.extend(self.start(daemon, false, rules));
            if self.sessions[daemon as usize] < MAX_RESTARTS {
                let mut restarted = self.clone();
                restarted.sessions[daemon as usize] += 1;
                next.push(restarted);
            }
        }
        for index in 0..self.calls.len() {
            next.extend(self.step(index, rules));
        }
        for index in 0..self.delayed.len() {
            let mut applied = self.clone();
            let write = applied.delayed.remove(index);
            let _ = applied.apply(&write, rules);
            next.push(applied);
        }
        next
    }

    fn is_sound(&self) -> bool {
        let runs = self.calls.iter().filter(|call| call.ran).count();
        let wrongly_denied = self
            .calls
            .iter()
            .any(|call| call.ran && call.reported_not_run);
        runs <= 1 && !wrongly_denied
    }
}

/// Explores states until one violates an invariant; returns the number of states and the violating one.
fn explore(rules: Rules) -> (usize, Option<World>) {
    let mut states = 0;
    for world in bfs_reach(World::default(), |world| world.successors(rules)) {
        states += 1;
        if !world.is_sound() {
            return (states, Some(world));
        }
    }
    (states, None)
}

#[test]
fn call_runs_at_most_once() {
    let (states, violation) = explore(CORRECT);
    println!("claim model: {states} states");
    assert_eq!(violation, None);
    assert!(states > 10_000, "only {states} states were explored");
}

#[test]
fn takeover_from_unreachable_holder_is_detected() {
    let rules = Rules {
        resolve: |reply| match reply {
            None => Verdict::Write,
            reply => resolve(reply),
        },
        ..CORRECT
    };
    assert!(explore(rules).1.is_some());
}

#[test]
fn premature_never_sent_reply_is_detected() {
    let rules = Rules {
        reply: |attempt| match attempt.phase() {
            Phase::Held { .. } => Reply::NeverSent,
            _ => attempt.reply(),
        },
        ..CORRECT
    };
    assert!(explore(rules).1.is_some());
}

#[test]
fn write_without_version_check_is_detected() {
    let rules = Rules {
        checks_version: false,
        ..CORRECT
    };
    assert!(explore(rules).1.is_some());
}
