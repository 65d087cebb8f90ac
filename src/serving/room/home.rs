//! Grants places as a home, and counts what each daemon has.

use super::report::usage_at;
use super::{homes, shares, slots};
use crate::coordination::room::Usage;
use crate::serving::Node;
use crate::serving::endpoint::Endpoint;
use crate::serving::peers::Home;
use crate::state::record::Name;

/// Grants a daemon a place as a home.
pub(super) fn grant(node: &Node, daemon: &Name, id: &Name, usage: Usage) -> bool {
    let view = node.fleet.view.load();
    let Some(endpoint) = view.all.get(id) else {
        return false;
    };
    let (slots, now) = (slots(node, endpoint), node.now());
    let homes = homes(node, id);
    let parts = shares(node, id, slots, &homes);
    let own = homes.iter().position(|home| home.address.is_none());
    let part = own.map_or(0, |own| parts[own]);
    let inherited = inherited(node, endpoint);
    node.rooms.with(id, |places| {
        if places.bound.is_paused(now) {
            return false;
        }
        let ledger = places.ledger(inherited, now);
        ledger.ask(daemon, usage, part, now)
    })
}

pub(super) fn take_as_home(
    node: &Node,
    endpoint: &Endpoint,
    home: &Home,
    part: u32,
    homes: &[Home],
) -> bool {
    let (id, now) = (&endpoint.entry.id, node.now());
    let inherited = inherited(node, endpoint);
    node.rooms.with(id, |places| {
        let mut usage = usage_at(node, places, endpoint, home, homes);
        usage.open += 1;
        let ledger = places.ledger(inherited, now);
        let granted = ledger.ask(&home.daemon, usage, part, now);
        let own = places.granted.entry(home.daemon.clone()).or_default();
        own.held += u32::from(granted);
        granted
    })
}

/// Records as a home what a daemon has.
pub(super) fn record(node: &Node, daemon: &Name, used: &[(Name, Usage)]) {
    let (view, now) = (node.fleet.view.load(), node.now());
    for (id, usage) in used {
        let Some(endpoint) = view.all.get(id) else {
            continue;
        };
        let inherited = inherited(node, endpoint);
        node.rooms.with(id, |places| {
            places.ledger(inherited, now).report(daemon, *usage, now);
        });
    }
}

/// Drops what a process of a daemon had that has ended.
pub fn forget(node: &Node, daemon: &Name) {
    let mut places = node.rooms.places.lock();
    for places in places.values_mut() {
        if let Some(ledger) = &mut places.ledger {
            ledger.forget(daemon);
        }
        if let Some(owner) = &mut places.owner {
            owner.forget(daemon);
        }
    }
}

/// Requests that an endpoint has when this daemon begins to count as one of its homes, as far as it knows.
fn inherited(node: &Node, endpoint: &Endpoint) -> u32 {
    let homes = homes(node, &endpoint.entry.id).len().max(1) as u32;
    endpoint.tracker.total_in_flight().div_ceil(homes)
}
