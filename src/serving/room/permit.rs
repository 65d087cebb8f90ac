//! Places of this daemon's requests: within its own part of the room, or from homes.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::home::take_as_home;
use super::report::{report_one, usage_at};
use super::{homes, shares, slots, turn};
use crate::coordination::room::{Message, Usage, own_part};
use crate::protocol::digest::Body;
use crate::serving::choose::Choice;
use crate::serving::endpoint::Endpoint;
use crate::serving::peers::Home;
use crate::serving::{Node, jitter};
use crate::state::record::Name;

/// Maximum number of homes that are asked for one place.
const MAX_ASKED: usize = 3;

/// Time for which no place at an endpoint without room is asked for again, in a small fleet.
const EXCLUSION: Duration = Duration::from_millis(30);

/// Factor by which the exclusion may grow with the fleet, as all daemons ask the same homes.
const MAX_EXCLUSION_FACTOR: u32 = 4;

/// A place for one request at an endpoint; it is given up when dropped.
pub struct Permit {
    node: Arc<Node>,
    service: Name,
    endpoint: Name,
    source: Source,
    taken_at: Duration,
}

/// Where a place comes from.
#[derive(Debug)]
enum Source {
    /// It is within this daemon's own part.
    Own,
    /// This home granted it.
    Home(Home),
    /// The owner of the engine's permits granted it to the request with this number.
    Owner(u64),
    /// No owner responded.
    Free,
}

impl Permit {
    /// A permit that the owner of an engine's permits granted to the request with a number.
    pub(super) fn granted(node: &Arc<Node>, endpoint: &Endpoint, id: u64) -> Self {
        Self::open(node, endpoint, Source::Owner(id))
    }

    /// Counts a request at an engine of a contended service without an owner that responds.
    pub(super) fn free(node: &Arc<Node>, endpoint: &Endpoint) -> Self {
        node.rooms
            .with(&endpoint.entry.id, |places| places.turns.free += 1);
        Self::open(node, endpoint, Source::Free)
    }

    fn open(node: &Arc<Node>, endpoint: &Endpoint, source: Source) -> Self {
        Self {
            node: node.clone(),
            service: endpoint.entry.service.clone(),
            endpoint: endpoint.entry.id.clone(),
            source,
            taken_at: node.now(),
        }
    }

    /// Tells the owner of the engine's permits that this one is free.
    fn report(&self) {
        let view = self.node.fleet.view.load();
        if let Some(endpoint) = view.all.get(&self.endpoint) {
            turn::report(&self.node, endpoint);
        }
    }
}

impl fmt::Debug for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Permit")
            .field("endpoint", &self.endpoint)
            .field("source", &self.source)
            .finish_non_exhaustive()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let node = &self.node;
        let held = node.now().saturating_sub(self.taken_at);
        node.lines.released(&self.service, held);
        match &self.source {
            Source::Own => node.rooms.with(&self.endpoint, |places| {
                places.own = places.own.saturating_sub(1);
            }),
            Source::Home(home) => {
                node.rooms.with(&self.endpoint, |places| {
                    let usage = places.granted.entry(home.daemon.clone()).or_default();
                    usage.held = usage.held.saturating_sub(1);
                });
                report_one(node, home, &self.endpoint);
            }
            Source::Owner(id) => {
                node.rooms.with(&self.endpoint, |places| {
                    places.turns.held.remove(id);
                });
                self.report();
            }
            Source::Free => {
                node.rooms.with(&self.endpoint, |places| {
                    places.turns.free = places.turns.free.saturating_sub(1);
                });
                self.report();
            }
        }
    }
}

/// No place can be had at an endpoint now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Denied;

/// Takes a place for a request at the chosen endpoint; `None` if its service can reject any number of requests.
///
/// # Errors
/// [`Denied`] if there is no place; the endpoint is then excluded for a moment.
pub async fn reserve(node: &Arc<Node>, choice: &Choice) -> Result<Option<Arc<Permit>>, Denied> {
    let endpoint = &choice.endpoint;
    let Some(max_rejections) = node.rooms.max_rejections(&endpoint.entry.service) else {
        return Ok(None);
    };
    if let Some(home) = take(node, endpoint).await {
        let source = home.map_or(Source::Own, Source::Home);
        return Ok(Some(Arc::new(Permit::open(node, endpoint, source))));
    }
    let excluded = jitter(EXCLUSION * node.peers.interval_factor().min(MAX_EXCLUSION_FACTOR));
    let until = node.now() + excluded;
    {
        let mut state = endpoint.tracker.lock();
        state.no_room_until = state.no_room_until.max(until);
    }
    node.meter.no_room.inc();
    node.journal.line(|| {
        spdlog::info!("endpoints: no room", kv: {
            endpoint: = endpoint.entry.id,
            max_rejections,
            slots = slots(node, endpoint),
            flights = endpoint.tracker.total_in_flight(),
            own_flights = endpoint.tracker.in_flight(),
            excluded_ms = excluded.as_millis() as u64,
        });
    });
    Err(Denied)
}

/// Takes a place from this daemon's own part, else from a home; returns the home, or `None` if there is no place.
async fn take(node: &Node, endpoint: &Endpoint) -> Option<Option<Home>> {
    let (id, slots) = (&endpoint.entry.id, slots(node, endpoint));
    let (daemons, now) = (node.peers.count(), node.now());
    if !node.peers.is_listed() {
        // The room can't be divided yet.
        return None;
    }
    let own = node.rooms.with(id, |places| {
        if places.bound.is_paused(now) {
            return Err(());
        }
        let part = own_part(places.bound.room(slots, now), daemons);
        let is_free = places.own < part;
        places.own += u32::from(is_free);
        Ok(is_free)
    });
    if own.ok()? {
        return Some(None);
    }
    let homes = homes(node, id);
    let parts = shares(node, id, slots, &homes);
    let candidates = homes.iter().zip(parts).filter(|(_, part)| *part > 0);
    let candidates = candidates.filter(|(home, _)| !node.rooms.calls.is_silent(node, &home.daemon));
    for (home, part) in candidates.take(MAX_ASKED) {
        if take_from(node, endpoint, home, part, &homes).await {
            return Some(Some(home.clone()));
        }
    }
    None
}

/// Asks a home for a place; returns whether it was granted.
async fn take_from(
    node: &Node,
    endpoint: &Endpoint,
    home: &Home,
    part: u32,
    homes: &[Home],
) -> bool {
    let id = &endpoint.entry.id;
    let Some(address) = home.address else {
        return take_as_home(node, endpoint, home, part, homes);
    };
    let usage = node.rooms.with(id, |places| {
        places.granted.entry(home.daemon.clone()).or_default().open += 1;
        usage_at(node, places, endpoint, home, homes)
    });
    let mut open = Open {
        node,
        endpoint: id,
        home,
        granted: None,
    };
    open.granted = ask(node, id, home, address, usage).await;
    open.granted == Some(true)
}

/// A request to a home for a place, until it is answered, late, or not needed any more.
struct Open<'a> {
    node: &'a Node,
    endpoint: &'a Name,
    home: &'a Home,
    /// The response, if there is one.
    granted: Option<bool>,
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.node.rooms.with(self.endpoint, |places| {
            let usage = places.granted.entry(self.home.daemon.clone()).or_default();
            usage.open = usage.open.saturating_sub(1);
            usage.held += u32::from(self.granted == Some(true));
        });
        if self.granted.is_none() {
            // The home may have granted it.
            report_one(self.node, self.home, self.endpoint);
        }
    }
}

/// Sends a request for a place and waits for the response: whether the place was granted.
async fn ask(
    node: &Node,
    endpoint: &Name,
    home: &Home,
    address: SocketAddr,
    usage: Usage,
) -> Option<bool> {
    let message = |id| {
        Body::Room(Message::Ask {
            id,
            endpoint: endpoint.clone(),
            usage,
        })
    };
    let response = node
        .rooms
        .calls
        .ask(node, (&home.daemon, address), message)
        .await;
    if response.is_some() {
        return response;
    }
    node.journal.line(|| {
        spdlog::info!("rooms: home did not respond", kv: {
            endpoint: = endpoint,
            home: = home.daemon,
            paused_ms = node.rooms.calls.pause(&home.daemon).as_millis() as u64,
        });
    });
    None
}
