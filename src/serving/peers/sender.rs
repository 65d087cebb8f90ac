//! Sends this daemon's state and demand to its peers.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use super::{broadcast, send};
use crate::protocol::digest::{Body, State};
use crate::serving::{Node, jitter};

/// Interval between heartbeats to a peer in a small fleet.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Minimum interval between heartbeats when this daemon's share of a workspace's limit runs low.
const MIN_SHORTAGE_INTERVAL: Duration = Duration::from_millis(100);

/// Sends this daemon's state to all peers in every heartbeat, until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let task = async {
        let mut sent_at = Instant::now();
        loop {
            // Every daemon watches the placer's heartbeats, so their interval doesn't grow with the fleet.
            let interval_factor = match node.placer.is_holder(&node) {
                true => 1,
                false => node.peers.interval_factor(),
            };
            let due = sent_at + jitter(HEARTBEAT_INTERVAL * interval_factor);
            // Urgent messages don't delay the heartbeat.
            loop {
                tokio::select! {
                    () = sleep_until(due) => break,
                    () = node.demand.urgent.notified() => send_wanted(&node),
                    () = node.peers.shortage.notified(), if interval_factor == 1 => {
                        if sent_at.elapsed() >= MIN_SHORTAGE_INTERVAL {
                            break;
                        }
                    }
                }
            }
            sent_at = Instant::now();
            send_heartbeat(&node);
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

fn send_heartbeat(node: &Node) {
    let now = node.now();
    node.fleet.expire_reports(now);
    node.peers.update_names(&node.settings.name, now);
    let demand = node.demand.take();
    if node.placer.is_holder(node) {
        node.placer.record_demand(&demand, now);
    } else if let Some((_, address)) = node.peers.placer(now) {
        send(node, Body::Demand(demand), address);
    }
    let state = current_state(node, now);
    broadcast(node, &Body::State(state));
}

fn current_state(node: &Node, now: Duration) -> State {
    let (gone, out) = node.fleet.peer_report();
    let (operator, endpoints) = node.fleet.versions();
    let catalog = node.fleet.catalog.load();
    let view = node.fleet.view.load();
    let in_flight = view.all.iter().filter_map(|(id, endpoint)| {
        let count = endpoint.tracker.in_flight();
        (count > 0).then(|| (id.clone(), count))
    });
    let mut missing = Vec::new();
    let workspaces = catalog
        .iter()
        .flat_map(|catalog| catalog.workspaces.values());
    for workspace in workspaces {
        let shortage = node
            .limits
            .with(node, workspace, now, |part| part.shortage(now));
        if let Some(shortage) = shortage.filter(|shortage| *shortage >= 1.0) {
            missing.push((workspace.name.clone(), shortage.ceil() as u64));
        }
    }
    State {
        catalog: catalog.as_ref().map_or(0, |catalog| catalog.version),
        operator,
        endpoints,
        gone,
        out,
        flights: in_flight.collect(),
        missing,
        placing: node.placer.fence(node),
        leaving: node.leaving.is_cancelled(),
    }
}
