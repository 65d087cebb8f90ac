//! The seat of one daemon and how much of it may be used.
//!
//! A daemon does not use parts that a write may have given away, while the write is in flight or its outcome is
//! unknown. Only the daemon's own monotonic clock is used.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::bucket::PARTS;
use super::seat::{PREFIX, Plan, Pool, Seat, Snapshot, Timing, loan_ms, quarantine};
use crate::state::record::Name;

/// Largest fraction of all parts that a first claim takes, so that daemons that start together need not wait until
/// the first of them gives up parts that it has lent.
const FIRST_CLAIM_DIVISOR: u32 = 8;

/// Fraction of the fair share by which a seat must exceed it to have a surplus.
const SURPLUS_DIVISOR: u32 = 8;

/// Time for which a new daemon waits before another gives up parts for it. Parts are unused while they move, and
/// in a rolling restart the other daemon is the next to stop.
const NEW_DAEMON_WAIT: Duration = Duration::from_secs(10);

/// A daemon that claims or holds a seat.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Identity {
    /// Session of its process.
    pub session: Arc<str>,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
}

/// State of the seat that a daemon holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Held {
    key: Arc<str>,
    version: u64,
    seat: Seat,
    usable: u32,
    quarantined: Vec<(u32, Duration)>,
    leased_at: Duration,
    unconfirmed: bool,
    pending_return: Option<(u32, Duration)>,
}

/// For how long the row of a seat has been unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RowAge {
    version: u64,
    unchanged_since: Duration,
    session: Arc<str>,
    session_since: Duration,
}

/// What one daemon knows of all seats, and the seat that it holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    identity: Identity,
    held: Option<Held>,
    rows: BTreeMap<Arc<str>, RowAge>,
    /// When the latest message was sent that the platform or a zone peer with a seat answered.
    last_contact: Duration,
    /// The earliest, over all zone peers, of the send time of the latest message that the peer answered; `None` without
    /// zone peers.
    peers_answered: Option<Duration>,
}

impl Holder {
    /// Creates a holder without a seat.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::bucket::PARTS;
    /// use persimmoncroft::coordination::loan::Terms;
    /// use persimmoncroft::coordination::holder::{Holder, Identity};
    /// use persimmoncroft::coordination::seat::{Snapshot, Timing};
    /// let second = Duration::from_secs(1);
    /// let terms = Terms { loan: 5 * second, grant: second, drift_permille: 10 };
    /// let timing = Timing { lease: 3600 * second, isolation: 10 * second, terms };
    /// let identity = Identity {
    ///     session: "s1".into(),
    ///     address: "127.0.0.1:7000".parse().unwrap(),
    ///     zone: "a".into(),
    /// };
    /// let mut holder = Holder::open(identity, second);
    /// let plan = holder.plan(&Snapshot::default(), 1, |_, _| false, second, &timing).unwrap();
    /// holder.sent(&plan);
    /// assert_eq!(holder.usable(second, &timing), 0);
    /// holder.committed(&plan, 1, second, second);
    /// assert_eq!(holder.usable(second, &timing), PARTS / 8);
    /// ```
    pub fn open(identity: Identity, now: Duration) -> Self {
        Self {
            identity,
            held: None,
            rows: BTreeMap::new(),
            last_contact: now,
            peers_answered: None,
        }
    }

    /// Returns the parts that may be used or lent now.
    pub fn usable(&self, now: Duration, timing: &Timing) -> u32 {
        let Some(held) = &self.held else {
            return 0;
        };
        let leased = now < held.leased_at + timing.terms.shortened(timing.lease);
        if !leased || self.isolated(now, timing) {
            return 0;
        }
        let quarantined = held.quarantined.iter().filter(|(_, until)| now < *until);
        let quarantined: u32 = quarantined.map(|(parts, _)| *parts).sum();
        held.usable.saturating_sub(quarantined)
    }

    /// Returns the parts in the daemon's own row, as last confirmed.
    pub fn parts(&self) -> u32 {
        self.held.as_ref().map_or(0, |held| held.seat.parts)
    }

    /// Returns the longest loan that the daemon's own row allows.
    pub fn longest_loan(&self) -> Duration {
        let held = self.held.as_ref();
        Duration::from_millis(held.map_or(0, |held| held.seat.loan_ms))
    }

    /// Returns whether the seat's lease is valid and its row is confirmed.
    pub fn seated(&self, now: Duration, timing: &Timing) -> bool {
        let Some(held) = &self.held else {
            return false;
        };
        let leased = now < held.leased_at + timing.terms.shortened(timing.lease);
        leased && !held.unconfirmed && !self.isolated(now, timing)
    }

    /// Returns whether the daemon has been cut off for so long that its seat may be taken over.
    ///
    /// Another daemon takes over the seat when none of the zone peers that it asks, including each with a seat, has
    /// heard from this daemon for longer than that, and at least one had before. An answer from one peer with a
    /// seat, or from all known peers, therefore rules this out. A daemon without zone peers is never isolated.
    pub fn isolated(&self, now: Duration, timing: &Timing) -> bool {
        let isolation = timing.terms.shortened(timing.isolation);
        self.peers_answered
            .is_some_and(|answered| now >= self.last_contact.max(answered) + isolation)
    }

    /// Records that the platform or a zone peer with a seat answered a message sent at `sent`.
    pub fn record_contact(&mut self, sent: Duration, now: Duration, timing: &Timing) {
        self.end_isolation(now, timing);
        self.last_contact = self.last_contact.max(sent);
    }

    /// Records the earliest, over all zone peers, of the send time of the latest message that the peer answered, or of
    /// when the peer became known if it has answered none. `None` without zone peers.
    pub fn set_peers_answered(
        &mut self,
        answered: Option<Duration>,
        now: Duration,
        timing: &Timing,
    ) {
        self.end_isolation(now, timing);
        self.peers_answered = answered;
    }

    /// After isolation, suspends the seat until the table has confirmed it.
    fn end_isolation(&mut self, now: Duration, timing: &Timing) {
        if self.isolated(now, timing) {
            self.suspend();
        }
    }

    /// Returns the next write, if any.
    ///
    /// `is_gone` returns whether a seat's holder is proven to be gone; `live` is the number of live daemons.
    pub fn plan(
        &mut self,
        snapshot: &Snapshot,
        live: u32,
        is_gone: impl Fn(&Seat, Duration) -> bool,
        now: Duration,
        timing: &Timing,
    ) -> Option<Plan> {
        self.observe(snapshot, now);
        self.reconcile(snapshot);
        let Some(held) = self.held.clone() else {
            return Some(self.claim(snapshot, live, timing));
        };
        if held.unconfirmed || self.needs_renewal(&held, now, timing) {
            return Some(self.confirm(&held, timing));
        }
        let expired = |key: &Arc<str>, version: u64| self.expired(key, version, now, timing);
        let others = snapshot.seats.iter().filter(|(key, _)| **key != held.key);
        let gone = others.clone().find(|(key, (version, seat))| {
            let since = self.rows.get(*key).map_or(now, |row| row.session_since);
            let orphan = seat.session == self.identity.session;
            let predecessor = seat.address == self.identity.address;
            seat.resigned || orphan || predecessor || expired(key, *version) || is_gone(seat, since)
        });
        if let Some((key, (version, seat))) = gone {
            return Some(takeover_plan(&held, key, *version, seat, timing));
        }
        self.rebalance(&held, snapshot, live, now, timing)
    }

    /// Stops using the seat and returns the write that lets other daemons take it over.
    pub fn resign(&mut self) -> Option<Plan> {
        self.suspend();
        let held = self.held.as_ref()?;
        Some(Plan {
            key: held.key.clone(),
            version: Some(held.version),
            seat: Seat {
                resigned: true,
                ..held.seat.clone()
            },
            pool: None,
            taken_over: None,
            quarantine: Duration::ZERO,
        })
    }

    /// Stops using the seat until the table confirms it.
    pub fn suspend(&mut self) {
        if let Some(held) = &mut self.held {
            held.usable = 0;
            held.unconfirmed = true;
        }
    }

    /// Records that a plan is being sent; parts that it gives away are no longer used.
    pub fn sent(&mut self, plan: &Plan) {
        let Some(held) = &mut self.held else {
            return;
        };
        held.usable = held.usable.min(plan.seat.parts);
    }

    /// Records that a plan sent at `sent` was applied, at this version of the table.
    pub fn committed(&mut self, plan: &Plan, version: u64, sent: Duration, now: Duration) {
        let seat = plan.seat.clone();
        if seat.resigned {
            self.held = None;
            return;
        }
        let before = self.held.take();
        let mut quarantined = Vec::new();
        let known_usable = before.as_ref().map_or(0, |held| held.usable);
        if let Some(before) = before {
            quarantined = before.quarantined;
        }
        quarantined.retain(|(_, until)| now < *until);
        let gained_parts = seat.parts.saturating_sub(known_usable);
        if gained_parts > 0 && !plan.quarantine.is_zero() {
            quarantined.push((gained_parts, now + plan.quarantine));
        }
        self.held = Some(Held {
            key: plan.key.clone(),
            version,
            usable: seat.parts,
            seat,
            quarantined,
            leased_at: sent,
            unconfirmed: false,
            pending_return: None,
        });
    }

    /// Records that the outcome of a plan is unknown: it may have been applied or may still be.
    pub fn outcome_unknown(&mut self) {
        if let Some(held) = &mut self.held {
            held.unconfirmed = true;
        }
    }

    fn observe(&mut self, snapshot: &Snapshot, now: Duration) {
        self.rows.retain(|key, _| snapshot.seats.contains_key(key));
        for (key, (version, seat)) in &snapshot.seats {
            let row = self.rows.entry(key.clone()).or_insert_with(|| RowAge {
                version: *version,
                unchanged_since: now,
                session: seat.session.clone(),
                session_since: now,
            });
            if row.version != *version {
                row.version = *version;
                row.unchanged_since = now;
            }
            if row.session != seat.session {
                row.session = seat.session.clone();
                row.session_since = now;
            }
        }
    }

    /// Drops the seat if another daemon has taken it over, and finds one created by a claim with an unknown outcome.
    fn reconcile(&mut self, snapshot: &Snapshot) {
        let own = |seat: &Seat| seat.session == self.identity.session;
        if let Some(held) = &mut self.held {
            match snapshot.seats.get(&held.key) {
                Some((version, seat)) if seat.session == self.identity.session => {
                    if *version > held.version {
                        held.unconfirmed = true;
                        held.version = *version;
                        held.usable = held.usable.min(seat.parts);
                        held.seat = seat.clone();
                    }
                }
                _ => self.held = None,
            }
            return;
        }
        let found = snapshot.seats.iter().find(|(_, (_, seat))| own(seat));
        if let Some((key, (version, seat))) = found {
            self.held = Some(Held {
                key: key.clone(),
                version: *version,
                seat: seat.clone(),
                usable: 0,
                quarantined: Vec::new(),
                leased_at: Duration::ZERO,
                unconfirmed: true,
                pending_return: None,
            });
        }
    }

    fn claim(&self, snapshot: &Snapshot, live: u32, timing: &Timing) -> Plan {
        let zone = &self.identity.zone;
        let mut keys = (1u32..).map(|number| Arc::<str>::from(format!("{PREFIX}{zone}/{number}")));
        let key = keys.find(|key| !snapshot.seats.contains_key(key));
        let version = snapshot.pool.map(|(version, _)| version);
        let pool = snapshot.pool.map_or(
            Pool {
                parts: PARTS,
                fence: 0,
            },
            |(_, pool)| pool,
        );
        let seats = snapshot.seats.len() as u32 + 1;
        let fair_share = PARTS / live.max(seats).max(FIRST_CLAIM_DIVISOR);
        let parts = pool.parts.min(fair_share);
        let fence = pool.fence + 1;
        Plan {
            key: key.unwrap_or_else(|| PREFIX.into()),
            version: None,
            seat: Seat {
                session: self.identity.session.clone(),
                address: self.identity.address,
                fence,
                parts,
                loan_ms: loan_ms(timing),
                resigned: false,
            },
            pool: Some((
                version,
                Pool {
                    parts: pool.parts - parts,
                    fence,
                },
            )),
            taken_over: None,
            quarantine: Duration::ZERO,
        }
    }

    /// Rewrites the daemon's own row, which renews the lease and supersedes earlier writes.
    fn confirm(&self, held: &Held, timing: &Timing) -> Plan {
        Plan {
            key: held.key.clone(),
            version: Some(held.version),
            seat: Seat {
                loan_ms: loan_ms(timing),
                ..held.seat.clone()
            },
            pool: None,
            taken_over: None,
            quarantine: quarantine(&held.seat, timing),
        }
    }

    fn needs_renewal(&self, held: &Held, now: Duration, timing: &Timing) -> bool {
        let loans_lengthened = held.seat.loan_ms < timing.terms.loan.as_millis() as u64;
        loans_lengthened || now >= held.leased_at + timing.lease / 2
    }

    fn expired(&self, key: &Arc<str>, version: u64, now: Duration, timing: &Timing) -> bool {
        let lease = timing.terms.lengthened(timing.lease);
        let row = self.rows.get(key).filter(|row| row.version == version);
        row.is_some_and(|row| now >= row.unchanged_since + lease)
    }

    /// Moves parts between the pool and seats with more or less than their fair share.
    fn rebalance(
        &mut self,
        held: &Held,
        snapshot: &Snapshot,
        live: u32,
        now: Duration,
        timing: &Timing,
    ) -> Option<Plan> {
        let (pool_version, pool) = snapshot.pool?;
        let seats = snapshot.seats.len() as u32;
        let fair_share = PARTS / seats.max(1);
        let parts = held.seat.parts;
        if let Some((keep, ready)) = held.pending_return {
            let pool_parts = pool.parts + (parts - keep);
            return (now >= ready).then(|| {
                transfer_plan(
                    held,
                    keep,
                    pool_version,
                    Pool {
                        parts: pool_parts,
                        ..pool
                    },
                )
            });
        }
        let remainder = if pool.parts < seats { pool.parts } else { 0 };
        let wanted = fair_share
            .saturating_sub(parts)
            .max(remainder)
            .min(pool.parts);
        if wanted > 0 {
            let pool = Pool {
                parts: pool.parts - wanted,
                ..pool
            };
            return Some(transfer_plan(held, parts + wanted, pool_version, pool));
        }
        let is_settled = |key: &Arc<str>| {
            let row = self.rows.get(key);
            row.is_some_and(|row| now >= row.session_since + NEW_DAEMON_WAIT)
        };
        let mut underfilled = snapshot.seats.iter();
        let underfilled =
            underfilled.any(|(key, (_, seat))| seat.parts < fair_share / 2 && is_settled(key));
        let surplus = parts > fair_share + fair_share / SURPLUS_DIVISOR;
        if surplus && live > 1 && underfilled {
            let ready = now + quarantine(&held.seat, timing);
            if let Some(held) = &mut self.held {
                held.pending_return = Some((fair_share, ready));
                held.usable = held.usable.min(fair_share);
            }
        }
        None
    }
}

fn transfer_plan(held: &Held, parts: u32, pool_version: u64, pool: Pool) -> Plan {
    Plan {
        key: held.key.clone(),
        version: Some(held.version),
        seat: Seat {
            parts,
            ..held.seat.clone()
        },
        pool: Some((Some(pool_version), pool)),
        taken_over: None,
        quarantine: Duration::ZERO,
    }
}

fn takeover_plan(
    held: &Held,
    key: &Arc<str>,
    version: u64,
    taken_over: &Seat,
    timing: &Timing,
) -> Plan {
    Plan {
        key: held.key.clone(),
        version: Some(held.version),
        seat: Seat {
            parts: held.seat.parts + taken_over.parts,
            ..held.seat.clone()
        },
        pool: None,
        taken_over: Some((key.clone(), version)),
        quarantine: quarantine(taken_over, timing),
    }
}
