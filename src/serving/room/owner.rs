//! Grants permits of engines that this daemon owns.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::report::use_interval;
use super::{USE_INTERVALS, slots, turn};
use crate::coordination::owner::{Decision, Holding, Owner, Ticket, Turn, Want};
use crate::coordination::room::Message;
use crate::protocol::digest::Body;
use crate::serving::Node;
use crate::serving::endpoint::Endpoint;
use crate::serving::peers::{self, Home};
use crate::state::record::Name;

/// Interval at which owners look whether those that wait can have permits.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(25);

/// Time without such a look after which this process has not run, so that others may have granted permits meanwhile.
const MAX_ADVANCE_PAUSE: Duration = Duration::from_secs(1);

/// Intervals between reports of use for which requests of daemons that have not reported them yet are counted.
const INHERITED_INTERVALS: u32 = 1;

/// The owner of an engine's permits that is to be asked: the first one by rank that responds; `None` if there is none.
pub fn owner(node: &Node, endpoint: &Endpoint) -> Option<Home> {
    let owners = owners(node, endpoint);
    // In its own zone this daemon learns of a takeover when the successor does; in other zones much later.
    let ranks = match endpoint.entry.zone == node.settings.zone {
        true => 1,
        false => owners.len(),
    };
    let mut owners = owners.iter().take(ranks).enumerate();
    let owner = owners.find(|(rank, home)| match home.address {
        // Another daemon comes before this one until the zone takes it for silent.
        None => *rank == 0,
        Some(_) => !node.rooms.owner_calls.is_silent(node, &home.daemon),
    });
    owner.map(|(_, home)| home.clone())
}

/// Whether the permits of an engine decide how many requests it gets, rather than an estimate.
pub fn decides(node: &Node, endpoint: &Endpoint) -> bool {
    super::is_contended(node, &endpoint.entry.service) && owner(node, endpoint).is_some()
}

fn owners(node: &Node, endpoint: &Endpoint) -> Arc<[Home]> {
    let entry = &endpoint.entry;
    node.peers.owners(&node.settings, &entry.id, &entry.zone)
}

/// Whether this daemon owns the permits of an engine, as far as it knows.
fn is_owner(node: &Node, endpoint: &Endpoint) -> bool {
    let owners = owners(node, endpoint);
    owners.first().is_some_and(|home| home.address.is_none())
}

/// Decides as the owner about a request of a daemon for a permit.
pub(super) fn ask(node: &Node, daemon: &Name, want: &Want) -> Turn {
    let endpoint = node.fleet.view.load().all.get(&want.endpoint).cloned();
    let foreign = Turn {
        decision: Decision::Foreign,
        ..Turn::default()
    };
    let Some(endpoint) = endpoint else {
        return foreign;
    };
    if !super::is_contended(node, &endpoint.entry.service) || !is_owner(node, &endpoint) {
        return foreign;
    }
    let (room, now) = (slots(node, &endpoint), node.now());
    let (turn, shed) = with_owner(node, &endpoint, |owner| owner.ask(daemon, want, room, now));
    if let Some(shed) = shed {
        let turn = Turn {
            expected_millis: turn.expected_millis,
            position: turn.position,
            decision: Decision::Denied,
        };
        notify(node, &shed, turn);
    }
    turn
}

/// Records as the owner what a daemon has.
pub(super) fn record(node: &Node, daemon: &Name, holdings: &[(Name, Holding)]) {
    let view = node.fleet.view.load();
    for (id, holding) in holdings {
        let Some(endpoint) = view.all.get(id) else {
            continue;
        };
        if !super::is_contended(node, &endpoint.entry.service) || !is_owner(node, endpoint) {
            continue;
        }
        let (room, now) = (slots(node, endpoint), node.now());
        let granted = with_owner(node, endpoint, |owner| {
            owner.report(daemon, holding, now);
            owner.advance(room, now)
        });
        notify_all(node, &granted);
    }
}

/// Reduces the room of an engine that has rejected a request.
pub(super) fn rejected(node: &Node, id: &Name, source: &'static str) {
    let view = node.fleet.view.load();
    let Some(endpoint) = view.all.get(id).filter(|it| is_owner(node, it)) else {
        return;
    };
    let (room, now) = (slots(node, endpoint), node.now());
    let used = with_owner(node, endpoint, |owner| {
        owner.rejected(room, now);
        owner.used(now)
    });
    node.journal.line(
        || spdlog::info!("permits: room reduced", kv: { endpoint: = id, room, used, source }),
    );
}

fn with_owner<T>(node: &Node, endpoint: &Endpoint, change: impl FnOnce(&mut Owner) -> T) -> T {
    let now = node.now();
    node.rooms.with(&endpoint.entry.id, |places| {
        let owner = places.owner.get_or_insert_with(|| {
            let inherited = endpoint.tracker.total_in_flight();
            spdlog::info!("permits: owned", kv: { endpoint: = endpoint.entry.id, inherited });
            Owner::open(
                inherited,
                now,
                now + use_interval(node) * INHERITED_INTERVALS,
            )
        });
        change(owner)
    })
}

fn notify_all(node: &Node, granted: &[Ticket]) {
    let turn = Turn {
        decision: Decision::Granted,
        ..Turn::default()
    };
    for ticket in granted {
        notify(node, ticket, turn);
    }
}

/// Tells the daemon of a request that waits what was decided.
fn notify(node: &Node, ticket: &Ticket, turn: Turn) {
    if ticket.daemon == node.settings.name {
        turn::deliver(node, ticket.id, turn);
    } else if let Some(address) = node.peers.gossip_address(&ticket.daemon) {
        peers::send(node, Body::Room(Message::Turn(ticket.id, turn)), address);
    }
}

/// Grants permits to those that wait as time passes, until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let task = async {
        let mut advanced_at = node.boot_now();
        loop {
            sleep(ADVANCE_INTERVAL).await;
            if node.fleet.contention.load().is_empty() {
                advanced_at = node.boot_now();
                continue;
            }
            let now = node.boot_now();
            if now > advanced_at + MAX_ADVANCE_PAUSE {
                spdlog::info!("permits: not run", kv: { ms = (now - advanced_at).as_millis() as u64 });
                abandon(&node);
            }
            advanced_at = now;
            advance(&node);
        }
    };
    node.until_stopped(task).await;
}

/// Begins anew to count permits, after others may have granted some.
fn abandon(node: &Node) {
    for places in node.rooms.places.lock().values_mut() {
        places.owner = None;
    }
}

fn advance(node: &Node) {
    let (view, now) = (node.fleet.view.load(), node.now());
    let oldest = now.saturating_sub(use_interval(node) * USE_INTERVALS);
    let owned: Vec<Name> = {
        let places = node.rooms.places.lock();
        let owned = places.iter().filter(|(_, places)| places.owner.is_some());
        owned.map(|(id, _)| id.clone()).collect()
    };
    for id in owned {
        let endpoint = view.all.get(&id).filter(|endpoint| {
            super::is_contended(node, &endpoint.entry.service) && is_owner(node, endpoint)
        });
        let Some(endpoint) = endpoint else {
            spdlog::info!("permits: not owned any more", kv: { endpoint: = id });
            node.rooms.with(&id, |places| places.owner = None);
            continue;
        };
        let room = slots(node, endpoint);
        let granted = node.rooms.with(&id, |places| {
            places.owner.as_mut().map(|owner| {
                owner.expire(oldest);
                owner.advance(room, now)
            })
        });
        notify_all(node, &granted.unwrap_or_default());
    }
}
