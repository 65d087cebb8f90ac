//! Holds a place for each request to an endpoint of a service that must not be made to reject requests.

pub mod belief;
pub mod home;
pub mod owner;
pub mod permit;
pub mod rejection;
pub mod report;
pub mod turn;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::sync::mpsc::UnboundedSender;

use belief::Belief;

use super::Node;
use super::endpoint::Endpoint;
use super::peers::calls::Calls;
use super::peers::{self, Home};
use crate::coordination::owner::{Decision, Holding, Owner, Turn};
use crate::coordination::room::{Bound, Ledger, Message, Usage, own_part, parts};
use crate::protocol::digest::Body;
use crate::state::record::Name;

/// Intervals between reports of use after which a home forgets what a daemon had.
const USE_INTERVALS: u32 = 4;

/// Time for which it is remembered when an owner of permits responded.
const RESPONSE_MEMORY: Duration = Duration::from_secs(2);

/// Places at one endpoint.
#[derive(Debug, Default)]
struct Places {
    bound: Bound,
    /// Requests within this daemon's own part.
    own: u32,
    /// Places from homes.
    granted: HashMap<Name, Usage>,
    /// What this daemon has granted as a home.
    ledger: Option<Ledger>,
    /// Requests of this daemon with and for permits, if the service is contended.
    turns: Holding,
    /// Permits that this daemon has granted as their owner.
    owner: Option<Owner>,
}

impl Places {
    /// What this daemon has granted as a home. When it begins to count, the endpoint has `inherited` requests.
    fn ledger(&mut self, inherited: u32, now: Duration) -> &mut Ledger {
        self.ledger
            .get_or_insert_with(|| Ledger::open(inherited, now))
    }

    /// Whether permits of a contended service are counted.
    fn has_turns(&self) -> bool {
        let Holding {
            held, open, free, ..
        } = &self.turns;
        self.owner.is_some() || !held.is_empty() || !open.is_empty() || *free > 0
    }
}

/// Places at all endpoints.
#[derive(Debug, Default)]
pub struct Rooms {
    /// Services whose endpoints can reject few requests.
    beliefs: ArcSwap<HashMap<Name, Belief>>,
    places: Mutex<HashMap<Name, Places>>,
    /// Requests to homes: whether the place was granted.
    calls: Calls<bool>,
    /// Number of counts of places that this daemon has made.
    counts: AtomicU64,
    /// Requests for permits that wait, by their numbers.
    turns: Mutex<HashMap<u64, UnboundedSender<(u64, Turn)>>>,
    /// Times at which owners responded last.
    responses: Mutex<HashMap<Name, Duration>>,
    /// Numbers of requests for permits, and owners that did not respond.
    owner_calls: Calls<()>,
}

/// Whether requests to a service need permits because they compete with others of very different objectives. If its endpoints
/// can reject few requests, their places are all that counts.
pub fn is_contended(node: &Node, service: &str) -> bool {
    node.fleet.contention.load().contains(service) && node.rooms.max_rejections(service).is_none()
}

impl Rooms {
    /// Requests that the endpoints of a service can reject in a second without failing, if they have named a number.
    pub fn max_rejections(&self, service: &str) -> Option<u32> {
        self.beliefs.load().get(service).map(|it| it.max_rejections)
    }

    fn with<T>(&self, endpoint: &Name, change: impl FnOnce(&mut Places) -> T) -> T {
        let mut places = self.places.lock();
        change(places.entry(endpoint.clone()).or_default())
    }
}

/// Handles a message of a peer.
pub fn receive(node: &Node, daemon: &Name, message: Message, from: SocketAddr) {
    node.rooms.calls.heard(daemon);
    if !matches!(&message, Message::Turn(_, turn) if turn.decision == Decision::Foreign) {
        node.rooms.owner_calls.heard(daemon);
    }
    match message {
        Message::Ask {
            id,
            endpoint,
            usage,
        } => {
            let granted = home::grant(node, daemon, &endpoint, usage);
            peers::send(node, Body::Room(Message::Answer { id, granted }), from);
        }
        Message::Answer { id, granted } => node.rooms.calls.answer(id, granted),
        Message::Used(used) => home::record(node, daemon, &used),
        Message::Want(want) => {
            let turn = owner::ask(node, daemon, &want);
            peers::send(node, Body::Room(Message::Turn(want.id, turn)), from);
        }
        Message::Turn(id, turn) => turn::receive(node, daemon, id, turn),
        Message::Holdings(holdings) => owner::record(node, daemon, &holdings),
        Message::Overloaded(endpoint) => owner::rejected(node, &endpoint, "peer"),
        Message::Rejected(endpoint) => rejection::note_rejection(node, &endpoint, "peer"),
    }
}

/// Keeps what is known of services as long as statements support it, and forgets endpoints that are gone.
pub fn sweep(node: &Node, now: Duration) {
    node.rooms.owner_calls.sweep(now);
    let mut responses = node.rooms.responses.lock();
    responses.retain(|_, at| *at + RESPONSE_MEMORY > now);
    drop(responses);
    let beliefs = node.rooms.beliefs.load();
    if beliefs.is_empty() {
        // Places of requests that are still in flight are counted until they end.
        node.rooms.places.lock().retain(|_, places| {
            places.ledger = None;
            places.has_turns()
                || places.own > 0
                || places.granted.values().any(|usage| usage.held > 0)
        });
        return;
    }
    let kept = beliefs.iter().filter_map(|(service, belief)| {
        let kept = belief::supported(node, service, *belief, now);
        if kept.is_none() {
            spdlog::info!("endpoints: any number of rejections", kv: { service: = service });
        }
        Some((service.clone(), kept?))
    });
    let kept: HashMap<Name, Belief> = kept.collect();
    node.meter.bounded_services.set(kept.len() as i64);
    node.rooms.beliefs.store(Arc::new(kept));
    let view = node.fleet.view.load();
    let oldest = now.saturating_sub(report::use_interval(node) * USE_INTERVALS);
    node.rooms.places.lock().retain(|id, places| {
        if let Some(ledger) = &mut places.ledger {
            ledger.expire(oldest);
        }
        view.all.contains_key(id)
    });
    node.rooms.calls.sweep(now);
}

/// The homes of an endpoint's room: that of this daemon's zone first.
fn homes(node: &Node, id: &Name) -> Arc<[Home]> {
    let key = format!("room/{id}");
    node.peers.homes(&node.settings, &key.as_str().into())
}

/// Parts of an endpoint's room that its homes grant from, in their order.
fn shares(node: &Node, id: &Name, slots: u32, homes: &[Home]) -> Vec<u32> {
    let (daemons, now) = (node.peers.count(), node.now());
    let room = node.rooms.with(id, |places| places.bound.room(slots, now));
    let pool = room - own_part(room, daemons) * daemons as u32;
    let names: Vec<&str> = homes.iter().map(|home| &*home.daemon).collect();
    parts(id, &names, pool)
}

/// Places at all endpoints of a service that can be used now, for all daemons together.
pub fn places(node: &Node, service: &Name) -> u32 {
    let (view, now) = (node.fleet.view.load(), node.now());
    let endpoints = view.services.get(service).into_iter().flatten();
    let places = endpoints.map(|endpoint| {
        if endpoint.tracker.lock().health.is_paused(now) {
            return 0;
        }
        let slots = slots(node, endpoint);
        node.rooms
            .with(&endpoint.entry.id, |places| places.bound.room(slots, now))
    });
    places.sum()
}

/// Requests that an endpoint runs at once.
fn slots(node: &Node, endpoint: &Endpoint) -> u32 {
    let service = node.fleet.service(&endpoint.entry);
    let engine = service.as_ref().and_then(|it| it.engine.as_ref());
    engine.map_or(endpoint.entry.slots, |engine| engine.slots)
}
