//! Model check of consent and permits: home changes, paused daemons, lost, late and duplicated messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use pathfinding::prelude::bfs;
use persimmoncroft::coordination::consent::{Authority, Lender, Predecessor, Standing, Zone};
use persimmoncroft::coordination::permit::{Id, LEASE, Ledger, MARGIN};
use persimmoncroft::state::record::Name;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

const SLOTS: usize = 1;
const STEP: Duration = Duration::from_millis(1500);
const HORIZON: Duration = Duration::from_millis(7500);
const MAX_PERMITS: u64 = 2;
const MAX_MESSAGES: usize = 2;
const MAX_EVENTS: usize = 8;
const RANDOM_WALKS: usize = 500;
const WALK_STEPS: usize = 60;

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Ask {
        from: usize,
        to: usize,
        asked: Duration,
    },
    Answer {
        lender: usize,
        to: usize,
        consent: Option<Vec<(SocketAddr, Duration)>>,
        asked: Duration,
    },
    Handover {
        from: usize,
        to: usize,
        permits: Vec<u64>,
        drained_at: Duration,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Daemon {
    lender: Lender,
    authority: Authority,
    ledger: Ledger,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    now: Duration,
    daemons: Vec<Daemon>,
    messages: Vec<Message>,
    /// When each permit expires by its holder's clock, by permit number.
    permits: BTreeMap<u64, Duration>,
    next_permit: u64,
}

/// A fault put into the model to show that the check detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutation {
    None,
    /// A lender lends again before its lease has ended.
    LendConcurrently,
    /// A new home ignores permits of former homes.
    IgnoreFormerPermits,
}

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], daemon as u16 + 1))
}

fn duty() -> Name {
    "endpoint/e".into()
}

fn zone(me: usize, count: usize) -> Zone {
    Zone {
        me: address(me),
        members: (0..count).map(|daemon| (address(daemon), false)).collect(),
        isolated: false,
    }
}

fn id(number: u64) -> Id {
    Id { holder: 9, number }
}

fn initial_world(count: usize) -> World {
    let daemon = Daemon {
        lender: Lender::default(),
        authority: Authority::default(),
        ledger: Ledger::default(),
    };
    World {
        now: Duration::ZERO,
        daemons: vec![daemon; count],
        messages: Vec::new(),
        permits: BTreeMap::new(),
        next_permit: 0,
    }
}

impl World {
    fn successors(&self, mutation: Mutation) -> Vec<World> {
        let mut next = Vec::new();
        if self.now < HORIZON {
            next.push(self.tick());
        }
        for daemon in 0..2 {
            next.extend(self.ask(daemon, mutation));
            next.extend(self.grant(daemon, mutation));
            next.extend(self.renew(daemon));
        }
        next.extend(self.hand_over(0, 1));
        for index in 0..self.messages.len() {
            let mut lost = self.clone();
            lost.messages.remove(index);
            next.push(lost.clone());
            next.push(lost.deliver(self.messages[index].clone(), mutation));
            // The message is delivered now and may be delivered again later.
            next.push(self.clone().deliver(self.messages[index].clone(), mutation));
        }
        next.into_iter().map(World::sorted).collect()
    }

    fn sorted(mut self) -> Self {
        self.messages.sort();
        self.messages.dedup();
        self
    }

    fn tick(&self) -> World {
        let mut world = self.clone();
        world.now += STEP;
        let now = world.now;
        world.permits.retain(|_, until| now < *until);
        world
            .daemons
            .iter_mut()
            .for_each(|daemon| daemon.ledger.expire(now));
        world
    }

    fn ask(&self, from: usize, mutation: Mutation) -> Option<World> {
        let mut world = self.clone();
        let (now, me) = (self.now, address(from));
        let daemon = &mut world.daemons[from];
        if mutation == Mutation::LendConcurrently {
            daemon.lender = Lender::default();
        }
        let own = daemon.lender.ask(&duty(), me, now);
        daemon.authority.answer(me, own, now, now);
        let others = (0..self.daemons.len()).filter(|to| *to != from);
        for to in others {
            if world.messages.len() < MAX_MESSAGES {
                world.messages.push(Message::Ask {
                    from,
                    to,
                    asked: now,
                });
            }
        }
        (world != *self).then_some(world)
    }

    fn deliver(mut self, message: Message, mutation: Mutation) -> World {
        let now = self.now;
        match message {
            Message::Ask { from, to, asked } => {
                let lender = &mut self.daemons[to].lender;
                if mutation == Mutation::LendConcurrently {
                    *lender = Lender::default();
                }
                let consent = lender.ask(&duty(), address(from), now);
                let consent = consent.map(|predecessors| {
                    predecessors
                        .into_iter()
                        .map(|p| (p.home, p.drained_at))
                        .collect()
                });
                let answer = Message::Answer {
                    lender: to,
                    to: from,
                    consent,
                    asked,
                };
                self.messages.push(answer);
            }
            Message::Answer {
                lender,
                to,
                consent,
                asked,
            } => {
                let consent = consent.map(|predecessors| {
                    let predecessors = predecessors.into_iter();
                    predecessors
                        .map(|(home, drained_at)| Predecessor { home, drained_at })
                        .collect()
                });
                let authority = &mut self.daemons[to].authority;
                authority.answer(address(lender), consent, asked, now);
            }
            Message::Handover {
                from,
                to,
                permits,
                drained_at,
            } => {
                let daemon = &mut self.daemons[to];
                daemon.authority.take_over(address(from), drained_at, now);
                for number in permits {
                    daemon.ledger.grant(id(number), now);
                }
            }
        }
        self
    }

    fn standing(&mut self, daemon: usize, mutation: Mutation) -> Standing {
        let now = self.now;
        let zone = zone(daemon, self.daemons.len());
        let standing = self.daemons[daemon].authority.check(&zone, now);
        match standing {
            Standing::Learning(_) if mutation == Mutation::IgnoreFormerPermits => Standing::Ready,
            other => other,
        }
    }

    fn grant(&self, home: usize, mutation: Mutation) -> Option<World> {
        let mut world = self.clone();
        if world.next_permit >= MAX_PERMITS || world.standing(home, mutation) != Standing::Ready {
            return None;
        }
        let ledger = &mut world.daemons[home].ledger;
        if ledger.used() >= SLOTS || !ledger.grant(id(world.next_permit), world.now) {
            return None;
        }
        world
            .permits
            .insert(world.next_permit, world.now + LEASE - MARGIN);
        world.next_permit += 1;
        Some(world)
    }

    fn renew(&self, home: usize) -> Option<World> {
        let mut world = self.clone();
        let standing = world.standing(home, Mutation::None);
        if standing == Standing::None {
            return None;
        }
        let learning = matches!(standing, Standing::Learning(_));
        let now = world.now;
        let ledger = &mut world.daemons[home].ledger;
        for (number, until) in &mut world.permits {
            if ledger.renew(id(*number), learning, now) {
                *until = now + LEASE - MARGIN;
            }
        }
        (world != *self).then_some(world)
    }

    fn hand_over(&self, from: usize, to: usize) -> Option<World> {
        let mut world = self.clone();
        if world.messages.len() >= MAX_MESSAGES
            || world.standing(from, Mutation::None) == Standing::None
        {
            return None;
        }
        let now = world.now;
        let daemon = &mut world.daemons[from];
        let permits = daemon.ledger.list().iter().map(|id| id.number).collect();
        let drained_at = daemon.authority.drained_at();
        daemon.authority.stop(address(from), now);
        daemon.ledger.clear();
        daemon.lender.release(&duty(), address(from), now);
        world.messages.push(Message::Handover {
            from,
            to,
            permits,
            drained_at,
        });
        Some(world)
    }

    fn overloaded(&self) -> bool {
        let now = self.now;
        self.permits.values().filter(|until| now < **until).count() > SLOTS
    }
}

/// Returns a state of two daemons in which the first is home and has granted the only slot.
fn world_with_permit() -> World {
    let mut world = initial_world(2)
        .ask(0, Mutation::None)
        .expect("a daemon may always ask for consent");
    for _ in 0..2 {
        let message = world.messages.remove(0);
        world = world.deliver(message, Mutation::None);
    }
    world
        .grant(0, Mutation::None)
        .expect("the first daemon is home")
}

/// Searches all orders of up to [`MAX_EVENTS`] events after the first permit, with two daemons.
fn counterexample(mutation: Mutation) -> Option<Vec<(usize, World)>> {
    bfs(
        &(0, world_with_permit()),
        |(events, world)| {
            let more = *events < MAX_EVENTS;
            let next = if more {
                world.successors(mutation)
            } else {
                Vec::new()
            };
            next.into_iter()
                .map(|world| (events + 1, world))
                .collect::<Vec<_>>()
        },
        |(_, world)| world.overloaded(),
    )
}

/// Runs random orders of events with three daemons, of which one may be unresponsive.
fn random_walk_overloads(mutation: Mutation) -> bool {
    let mut random = ChaCha8Rng::seed_from_u64(4);
    (0..RANDOM_WALKS).any(|_| {
        let mut world = initial_world(3);
        (0..WALK_STEPS).any(|_| {
            let successors = world.successors(mutation);
            if let Some(next) = successors.choose(&mut random) {
                world = next.clone();
            }
            world.overloaded()
        })
    })
}

#[test]
fn concurrency_limit_holds_in_all_event_orders() {
    assert!(counterexample(Mutation::None).is_none());
}

#[test]
fn concurrency_limit_holds_with_three_daemons() {
    assert!(!random_walk_overloads(Mutation::None));
}

#[test]
fn concurrent_lending_is_detected() {
    assert!(counterexample(Mutation::LendConcurrently).is_some());
}

#[test]
fn ignoring_former_permits_is_detected() {
    assert!(counterexample(Mutation::IgnoreFormerPermits).is_some());
}
