//! Reduces the room of an endpoint that has rejected a request.

use super::{owner, slots};
use crate::coordination::room::{Message, REJECTION_PAUSE};
use crate::protocol::digest::Body;
use crate::serving::endpoint::Endpoint;
use crate::serving::{Node, jitter, peers};
use crate::state::record::Name;

/// Records that an endpoint turned a request away for want of room, and tells peers.
pub fn rejected(node: &Node, endpoint: &Endpoint) {
    let entry = &endpoint.entry;
    if super::is_contended(node, &entry.service) {
        match owner::owner(node, endpoint).and_then(|owner| owner.address) {
            Some(address) => {
                let message = Message::Overloaded(entry.id.clone());
                peers::send(node, Body::Room(message), address);
            }
            None => owner::rejected(node, &entry.id, "response"),
        }
        return;
    }
    if node.rooms.max_rejections(&entry.service).is_none() {
        return;
    }
    let is_first = !node
        .rooms
        .with(&entry.id, |places| places.bound.is_paused(node.now()));
    note_rejection(node, &entry.id, "response");
    if is_first {
        peers::broadcast(node, Body::Room(Message::Rejected(entry.id.clone())));
    }
}

pub(super) fn note_rejection(node: &Node, id: &Name, source: &'static str) {
    let view = node.fleet.view.load();
    let Some(endpoint) = view.all.get(id) else {
        return;
    };
    let (slots, now) = (slots(node, endpoint), node.now());
    let (before, after) = node.rooms.with(id, |places| {
        let before = places.bound.room(slots, now);
        places.bound.rejected(now);
        (before, places.bound.room(slots, now))
    });
    // Spread, so that daemons do not come back at the same time.
    let pause = REJECTION_PAUSE + jitter(REJECTION_PAUSE / 2);
    {
        let mut state = endpoint.tracker.lock();
        state.no_room_until = state.no_room_until.max(now + pause);
    }
    node.journal.line(|| {
        spdlog::info!("endpoints: room reduced", kv: {
            endpoint: = id,
            before,
            after,
            flights = endpoint.tracker.total_in_flight(),
            own_flights = endpoint.tracker.in_flight(),
            paused_ms = pause.as_millis() as u64,
            source,
        });
    });
}
