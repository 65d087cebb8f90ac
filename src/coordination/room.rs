//! Room at endpoints that must not be made to reject requests: a daemon holds a place for each request that it sends.
//!
//! A daemon uses its own part of the room without asking. The rest is divided among the homes of the endpoint, one in each
//! availability zone, which grant single places and count what each daemon holds.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::owner::{Holding, Turn, Want};
use crate::state::record::Name;

/// Share of the room that daemons use without asking.
const OWN_SHARE: f64 = 0.25;

/// Share of the room that remains after a rejection.
const DECREASE: f64 = 0.7;

/// Smallest share of the room.
const MIN_SHARE: f64 = 0.2;

/// Share of the room that comes back in a second without a rejection.
const RECOVERY_PER_SECOND: f64 = 0.05;

/// Time after a rejection in which nothing is sent.
pub const REJECTION_PAUSE: Duration = Duration::from_millis(500);

/// Time for which what an endpoint already had is counted when its home begins to count.
const INHERITED_TIME: Duration = Duration::from_secs(1);

/// Places that one daemon has from one home.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Usage {
    /// Places in use.
    #[serde(rename = "h", default)]
    pub held: u32,
    /// Places that it has asked for without having an answer.
    #[serde(rename = "o", default)]
    pub open: u32,
    /// Rises with each count that the daemon makes, as messages may overtake each other.
    #[serde(rename = "n", default)]
    pub order: u64,
}

/// Message between a daemon and a home, or to all daemons.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub enum Message {
    /// Request for a place at an endpoint; the usage includes it.
    #[serde(rename = "a")]
    Ask {
        /// Number of the request, unique for its sender.
        #[serde(rename = "i")]
        id: u64,
        /// Identifier of the endpoint.
        #[serde(rename = "e")]
        endpoint: Name,
        /// What the sender has from the receiver.
        #[serde(rename = "u", default)]
        usage: Usage,
    },
    /// Response to a request for a place.
    #[serde(rename = "y")]
    Answer {
        /// Number of the request.
        #[serde(rename = "i")]
        id: u64,
        /// Whether the sender of the request has the place.
        #[serde(rename = "g", default)]
        granted: bool,
    },
    /// What the sender has from the receiver, by endpoint.
    #[serde(rename = "u")]
    Used(Vec<(Name, Usage)>),
    /// An endpoint rejected a request for want of room.
    #[serde(rename = "r")]
    Rejected(Name),
    /// Request to the owner of an engine's permits.
    #[serde(rename = "w")]
    Want(Box<Want>),
    /// Response to it, with its number.
    #[serde(rename = "t")]
    Turn(u64, Turn),
    /// What the sender has of the permits that the receiver owns, by engine.
    #[serde(rename = "h")]
    Holdings(Vec<(Name, Holding)>),
    /// An engine whose permits the receiver owns rejected a request for want of room.
    #[serde(rename = "o")]
    Overloaded(Name),
}

/// What a home knows of one daemon's places at an endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct User {
    held: u32,
    order: u64,
    heard_at: Duration,
}

impl User {
    /// Takes over what the daemon has, unless something later is known. Places that it has asked for count only if they
    /// were granted.
    fn update(&mut self, usage: Usage, asked: u32, now: Duration) {
        if usage.order >= self.order {
            let most = usage.held.saturating_add(asked);
            self.held = self.held.min(most).max(usage.held);
            self.order = usage.order;
        }
        self.heard_at = now;
    }
}

/// Places of one endpoint that a home has granted, by daemon.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::room::{Ledger, Usage};
/// let mut ledger = Ledger::open(0, Duration::ZERO);
/// let asked = Usage { held: 0, open: 1, order: 1 };
/// assert!(ledger.ask(&"d1".into(), asked, 1, Duration::ZERO));
/// assert!(!ledger.ask(&"d2".into(), asked, 1, Duration::ZERO));
/// ledger.report(&"d1".into(), Usage { held: 0, open: 0, order: 2 }, Duration::ZERO);
/// assert!(ledger.ask(&"d2".into(), asked, 1, Duration::ZERO));
/// ```
#[derive(Debug, Clone)]
pub struct Ledger {
    users: HashMap<Name, User>,
    inherited: u32,
    opened_at: Duration,
}

impl Ledger {
    /// Begins to count; the endpoint already has `inherited` requests, of daemons that have not reported them yet.
    pub fn open(inherited: u32, now: Duration) -> Self {
        Self {
            users: HashMap::new(),
            inherited,
            opened_at: now,
        }
    }

    /// Grants a place to a daemon if less than `part` are in use; returns whether it was granted.
    pub fn ask(&mut self, daemon: &Name, usage: Usage, part: u32, now: Duration) -> bool {
        let user = self.users.entry(daemon.clone()).or_default();
        user.update(usage, usage.open.saturating_sub(1), now);
        let granted = self.used(now) < part;
        if let Some(user) = self.users.get_mut(daemon) {
            user.held = user.held.saturating_add(u32::from(granted));
        }
        granted
    }

    /// Records what a daemon has.
    pub fn report(&mut self, daemon: &Name, usage: Usage, now: Duration) {
        let user = self.users.entry(daemon.clone()).or_default();
        user.update(usage, usage.open, now);
    }

    /// Places in use.
    pub fn used(&self, now: Duration) -> u32 {
        let held = self.users.values().map(|user| user.held);
        let held = held.fold(0, u32::saturating_add);
        match now < self.opened_at + INHERITED_TIME {
            true => held.saturating_add(self.inherited),
            false => held,
        }
    }

    /// Drops what a daemon had.
    pub fn forget(&mut self, daemon: &str) {
        self.users.remove(daemon);
    }

    /// Drops what daemons had that have not reported since `oldest`.
    pub fn expire(&mut self, oldest: Duration) {
        self.users.retain(|_, user| user.heard_at >= oldest);
    }
}

/// Room of one endpoint as one daemon sees it: its slots, fewer after rejections.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::room::Bound;
/// let mut bound = Bound::default();
/// assert_eq!(bound.room(10, Duration::ZERO), 10);
/// assert!(bound.rejected(Duration::ZERO));
/// assert!(bound.is_paused(Duration::from_millis(400)));
/// assert_eq!(bound.room(10, Duration::from_secs(1)), 7);
/// assert_eq!(bound.room(10, Duration::from_secs(10)), 10);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Bound {
    /// Share of the slots after the last rejection, and its time.
    reduced: Option<(f64, Duration)>,
}

impl Bound {
    /// Places that all daemons together may use.
    pub fn room(&self, slots: u32, now: Duration) -> u32 {
        let room = (f64::from(slots) * self.share(now)) as u32;
        room.clamp(1, slots.max(1))
    }

    /// Records a rejection; returns whether it is the first one for some time.
    pub fn rejected(&mut self, now: Duration) -> bool {
        if self.is_paused(now) {
            return false;
        }
        let share = (self.share(now) * DECREASE).max(MIN_SHARE);
        self.reduced = Some((share, now));
        true
    }

    /// Whether nothing may be sent, after a rejection.
    pub fn is_paused(&self, now: Duration) -> bool {
        self.reduced
            .is_some_and(|(_, at)| now < at + REJECTION_PAUSE)
    }

    fn share(&self, now: Duration) -> f64 {
        let Some((share, at)) = self.reduced else {
            return 1.0;
        };
        let since = now.saturating_sub(at + REJECTION_PAUSE);
        (share + since.as_secs_f64() * RECOVERY_PER_SECOND).min(1.0)
    }
}

/// Places that each of a number of daemons uses without asking.
///
/// ```
/// use persimmoncroft::coordination::room::own_part;
/// assert_eq!(own_part(64, 8), 2);
/// assert_eq!(own_part(6, 8), 0);
/// ```
pub fn own_part(room: u32, daemons: usize) -> u32 {
    (f64::from(room) * OWN_SHARE) as u32 / daemons.max(1) as u32
}

/// Time after which a request gets one of the `places` of all daemons, each of which is held for `held`, if `waiting` requests
/// wait before it at each daemon.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::room::expected_wait;
/// let held = Duration::from_millis(60);
/// assert_eq!(expected_wait(5, 8, 18, held), Duration::from_millis(160));
/// assert_eq!(expected_wait(0, 8, 0, held), Duration::MAX);
/// ```
pub fn expected_wait(waiting: u32, daemons: usize, places: u32, held: Duration) -> Duration {
    if places == 0 {
        return Duration::MAX;
    }
    let before = (waiting + 1).saturating_mul(daemons.max(1) as u32);
    held * before / places
}

/// Parts of a room that homes grant from, in the order of `homes`: equal ones, and one place more for those that rank
/// first for the endpoint.
///
/// ```
/// use persimmoncroft::coordination::room::parts;
/// assert_eq!(parts("e1", &["d1", "d2", "d3"], 6), [2, 2, 2]);
/// assert_eq!(parts("e1", &["d1", "d2", "d3"], 2).iter().sum::<u32>(), 2);
/// ```
pub fn parts(endpoint: &str, homes: &[&str], room: u32) -> Vec<u32> {
    let count = homes.len().max(1) as u32;
    let seed = xxh3_64(endpoint.as_bytes());
    let rank = |home: &str| xxh3_64_with_seed(home.as_bytes(), seed);
    let position = |home: &str| {
        let before = homes.iter().filter(|other| rank(other) < rank(home));
        before.count() as u32
    };
    let parts = homes
        .iter()
        .map(|home| room / count + u32::from(position(home) < room % count));
    parts.collect()
}
