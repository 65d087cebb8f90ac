//! Sends this daemon's state and demand to its peers.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use super::{send, tell_all};
use crate::protocol::digest::{Body, State};
use crate::serving::{Node, spread};

/// Interval between heartbeats to a peer in a small fleet.
const HEARTBEAT: Duration = Duration::from_millis(400);

/// Minimum interval between heartbeats when this daemon's share of a workspace's limit runs low.
const SHORT_LEAST: Duration = Duration::from_millis(100);

/// Sends this daemon's state to all peers in every heartbeat, until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let work = async {
        let mut told = Instant::now();
        loop {
            // Every daemon watches the placer's heartbeats, so their interval doesn't grow with the fleet.
            let crowd = match node.placer.is_holder(&node) {
                true => 1,
                false => node.peers.crowd(),
            };
            let due = told + spread(HEARTBEAT * crowd);
            // Urgent messages don't delay the heartbeat.
            loop {
                tokio::select! {
                    () = sleep_until(due) => break,
                    () = node.demand.urgent.notified() => tell_wanted(&node),
                    () = node.peers.short.notified(), if crowd == 1 => {
                        if told.elapsed() >= SHORT_LEAST {
                            break;
                        }
                    }
                }
            }
            told = Instant::now();
            heartbeat(&node);
        }
    };
    node.until_stopped(work).await;
}

fn tell_wanted(node: &Node) {
    let wanted = node.demand.take_wanted();
    if node.placer.is_holder(node) {
        node.placer.want(wanted, node.settings.zone.clone());
    } else if let Some((_, address)) = node.peers.placer(node.now()) {
        send(node, Body::Wanted(wanted), address);
    }
}

fn heartbeat(node: &Node) {
    let now = node.now();
    node.belief.tick(now);
    node.peers.divide(&node.settings.name, now);
    let demand = node.demand.take();
    if node.placer.is_holder(node) {
        node.placer.learn(&demand, now);
    } else if let Some((_, address)) = node.peers.placer(now) {
        send(node, Body::Demand(demand), address);
    }
    let state = state(node, now);
    tell_all(node, &Body::State(state));
}

fn state(node: &Node, now: Duration) -> State {
    let (gone, out) = node.belief.told();
    let (operator, endpoints) = node.belief.versions();
    let catalog = node.belief.catalog.load();
    let view = node.belief.view.load();
    let flights = view.all.iter().filter_map(|(id, endpoint)| {
        let count = endpoint.track.flights();
        (count > 0).then(|| (id.clone(), count))
    });
    let mut missing = Vec::new();
    let workspaces = catalog
        .iter()
        .flat_map(|catalog| catalog.workspaces.values());
    for workspace in workspaces {
        let short = node
            .limits
            .with(node, workspace, now, |part| part.shortage(now));
        if let Some(short) = short.filter(|short| *short >= 1.0) {
            missing.push((workspace.name.clone(), short.ceil() as u64));
        }
    }
    State {
        catalog: catalog.as_ref().map_or(0, |catalog| catalog.version),
        operator,
        endpoints,
        gone,
        out,
        flights: flights.collect(),
        missing,
        placing: node.placer.fence(node),
        leaving: node.leaving.is_cancelled(),
    }
}
