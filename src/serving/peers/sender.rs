//! Sends this daemon's state and demand to its peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::{
    HEARTBEAT_INTERVAL, Peers, broadcast, broadcast_in_zone, send, update_remote_in_flight,
};
use crate::protocol::digest::{Body, State};
use crate::serving::duty::usage;
use crate::serving::{Node, jitter, pace, quarantine};

/// Interval at which a daemon that has started looks whether its peers are listed.
const LISTED_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum number of unreachable endpoints in a heartbeat.
const MAX_UNREACHABLE: usize = 64;

/// Sends this daemon's state to its peers until the daemon stops: in its zone in every heartbeat, to other zones more
/// rarely, in proportion to the size of the fleet.
pub async fn run(node: Arc<Node>) {
    let task = async {
        // The first heartbeat introduces this daemon; others may have taken it for silent since it was killed.
        while !node.peers.is_listed() {
            sleep(LISTED_INTERVAL).await;
        }
        send_heartbeat(&node, true);
        let mut sent_at = Instant::now();
        let mut sent_to_all_at = sent_at;
        loop {
            // Every daemon watches the placer's heartbeats, so their interval doesn't grow with the fleet.
            let (zone_factor, factor) = match node.placer.is_holder(&node) {
                true => (1, 1),
                false => (
                    node.peers.zone_interval_factor(&node.settings),
                    node.peers.interval_factor(),
                ),
            };
            let due = sent_at + jitter(HEARTBEAT_INTERVAL * zone_factor);
            // Urgent messages don't delay the heartbeat.
            loop {
                tokio::select! {
                    () = sleep_until(due) => break,
                    () = node.demand.urgent.notified() => send_wanted(&node),
                }
            }
            sent_at = Instant::now();
            let to_all = sent_at >= sent_to_all_at + HEARTBEAT_INTERVAL * factor * 4 / 5;
            if to_all {
                sent_to_all_at = sent_at;
            }
            send_heartbeat(&node, to_all);
        }
    };
    node.until_stopped(task).await;
}

fn send_wanted(node: &Node) {
    let wanted = node.demand.take_wanted();
    if node.placer.is_holder(node) {
        node.placer.add_wanted(wanted, node.settings.zone.clone());
    } else if let Some((_, address)) = node.peers.placer(node.now()) {
        send(node, Body::Wanted(wanted), address);
    }
}

fn send_heartbeat(node: &Node, to_all: bool) {
    let now = node.now();
    node.peers.update_names(&node.settings, now);
    for flights in node.peers.take_flights_of_silent(&node.settings, now) {
        update_remote_in_flight(node, &flights, &BTreeMap::new());
    }
    if node.peers.misses_some(now) && node.peers.reads_store(&node.settings, now) {
        // What daemons behind a cut store for the fleet does not come in messages.
        node.peers.list_again();
    }
    node.limits.return_surplus(node);
    let demand = node.demand.take();
    if node.placer.is_holder(node) {
        node.placer.record_demand(&demand, &node.settings.zone, now);
    } else if let Some((_, address)) = node.peers.placer(now) {
        send(node, Body::Demand(demand), address);
    }
    let state = Body::State(Box::new(State {
        registration: to_all.then(|| Peers::registration(node)),
        ..current_state(node)
    }));
    match to_all {
        true => broadcast(node, state),
        false => broadcast_in_zone(node, state),
    }
}

fn current_state(node: &Node) -> State {
    node.fleet
        .update_speeds(&node.peers.speeds(node.now()), node.now());
    let (gone, out) = node.fleet.peer_report();
    let (operator, endpoints) = node.fleet.row_versions();
    let view = node.fleet.view.load();
    let versions = {
        let versions = node.lineage.versions.lock();
        let admitted = versions.iter();
        admitted
            .map(|(service, it)| (service.clone(), it.clone()))
            .collect()
    };
    let carries_flights = node.links.carries_flights(node.now());
    let in_flight = view.all.iter().filter_map(|(id, endpoint)| {
        let count = endpoint.tracker.in_flight();
        (carries_flights && count > 0).then(|| (id.clone(), count))
    });
    let now = node.now();
    let unreachable = view.all.iter().filter_map(|(id, endpoint)| {
        let is_unreachable = endpoint.tracker.lock().health.is_unreachable(now);
        is_unreachable.then_some(id)
    });
    State {
        catalog: node.fleet.catalog_version(),
        operator,
        endpoints,
        gone,
        out,
        flights: in_flight.collect(),
        placing: node.placer.fence(node),
        registration: None,
        holds: quarantine::holds(node),
        statements: node.statements.lock().reports(node.now()),
        versions,
        leaving: node.leaving.is_cancelled(),
        unlinked: node.links.is_lost(),
        unreachable: unreachable.take(MAX_UNREACHABLE).cloned().collect(),
        catches_up: true,
        wall_millis: node.usage.is_on().then(usage::wall_millis),
        speeds: node.fleet.speeds.load().shares().to_vec(),
        paces: pace::shares(node),
    }
}
