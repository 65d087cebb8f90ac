//! Receives messages from peers.

use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::{LONGEST_LAG, MAX_LAG, Peer, apply_holdings, send, source, update_remote_in_flight};
use crate::protocol::digest::{Ask, Body, Digest, Registration, State, Subject};
use crate::serving::duty::usage;
use crate::serving::feed::Table;
use crate::serving::{Node, lineage, pace, quarantine, room, statement};
use crate::transport::gossip::MAX_BYTES;

/// Time for which this daemon's feed may fail before it relies on what peers report.
const FEED_STALE_AFTER: Duration = Duration::from_millis(700);

/// Handles messages from peers until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let task = async {
        let mut buffer = vec![0; MAX_BYTES];
        loop {
            match node.gossip.receive::<Digest>(&mut buffer).await {
                Ok((digest, from)) => handle(&node, digest, from),
                Err(error) => {
                    node.journal.line(
                        || spdlog::info!("peers: failed to receive message", kv: { error: = error }),
                    );
                }
            }
        }
    };
    node.until_stopped(task).await;
}

fn handle(node: &Arc<Node>, digest: Digest, from: SocketAddr) {
    let now = node.now();
    let (mut has_moved, mut has_started) = (false, false);
    let (registration, before) = {
        let mut inner = node.peers.inner.lock();
        let stated = match &digest.body {
            Body::State(state) => state.registration.clone(),
            _ => None,
        };
        let peer = match (inner.entry(digest.daemon.clone()), stated) {
            (Entry::Occupied(known), stated) => {
                let peer = known.into_mut();
                has_started = peer.session != digest.session;
                if !peer.accept(&digest, now) {
                    return;
                }
                if let Some(stated) = stated {
                    has_moved = peer.state_registration(stated);
                }
                peer
            }
            (Entry::Vacant(unknown), Some(stated)) => {
                let peer = unknown.insert(Peer::open(stated.clone(), now));
                peer.accept(&digest, now);
                peer.state_registration(stated);
                peer
            }
            (Entry::Vacant(_), None) => {
                // After a restart of the fleet, requests arrive before the list was read.
                if let Body::Ask(ask) = &digest.body {
                    drop(inner);
                    answer_ask(node, ask, from);
                }
                node.peers.unknown_sender.notify_one();
                return;
            }
        };
        let before = match &digest.body {
            Body::State(state) => Some(std::mem::replace(&mut peer.state, (**state).clone())),
            _ => None,
        };
        (peer.registration.clone(), before)
    };
    if has_moved {
        node.peers.forget_homes();
    }
    if has_started {
        room::home::forget(node, &digest.daemon);
    }
    match digest.body {
        Body::State(state) => {
            let fence = state.placing.unwrap_or_default();
            node.peers.highest_fence.fetch_max(fence, Ordering::Relaxed);
            if let Some(before) = before {
                update_remote_in_flight(node, &before.flights, &state.flights);
            }
            if let Some(wall_millis) = state.wall_millis {
                node.usage.heard(node, &digest.daemon, wall_millis);
            }
            catch_up(node, &state, &registration, now);
            statement::adopt(node, &state.statements, now);
            quarantine::adopt(node, state.holds, registration.gossip);
            pace::adopt(node, &state.paces);
            for (service, admitted) in state.versions {
                lineage::admission::adopt_one(node, &service, admitted);
            }
        }
        Body::Ask(ask) => answer_ask(node, &ask, from),
        Body::Grant(grant) => node.limits.granted(node, &digest.daemon, grant),
        Body::Given(given) => {
            for (workspace, units) in given {
                let subject = Subject::Workspace(workspace);
                node.limits.returned(node, &subject, units as f64);
            }
        }
        Body::Demand(demand) => {
            node.placer.record_demand(&demand, &registration.zone, now);
        }
        Body::Wanted(wanted) => node.placer.add_wanted(wanted, registration.zone),
        Body::Held(holdings) => apply_holdings(node, holdings, now),
        Body::Crashed(occurrence) => quarantine::record(node, occurrence),
        Body::Sound(parts) => quarantine::clear(node, &parts),
        Body::Versions(service, admitted) => {
            node.peers
                .note_versions(&digest.daemon, &service, &admitted);
            if lineage::admission::adopt_one(node, &service, admitted.clone()) {
                // Tells the sender that it is known here.
                send(node, Body::Versions(service, admitted), from);
            }
        }
        Body::Begun(beginnings) => node.lineage.streams.lock().learn(&beginnings, now),
        Body::Stated(statements) => statement::adopt(node, &statements, now),
        Body::Room(message) => room::receive(node, &digest.daemon, message, from),
        Body::Usage(message) => {
            usage::receive(node, &digest.daemon, digest.session, message, from);
        }
    }
}

fn answer_ask(node: &Node, ask: &Ask, to: SocketAddr) {
    if let Some(grant) = node.limits.grant(node, ask) {
        send(node, Body::Grant(grant), to);
    }
}

/// Polls the store again when the peer has had newer versions for a while, and takes over from the peer what is in force.
fn catch_up(node: &Arc<Node>, state: &State, registration: &Registration, now: Duration) {
    let feed_stale = node.operator_feed.stale(FEED_STALE_AFTER, now)
        || node.endpoint_feed.stale(FEED_STALE_AFTER, now);
    let (operator, endpoints) = node.fleet.known_versions();
    if state.operator > operator {
        node.operator_feed.note_peer_ahead(now);
    }
    if state.endpoints > endpoints {
        node.endpoint_feed.note_peer_ahead(now);
    }
    let (mut lacks_zones, mut lacks_endpoints) = (feed_stale, feed_stale);
    if !feed_stale {
        let peer = registration.gossip;
        lacks_zones = is_late(node, peer, Table::Operator, (operator, state.operator), now);
        lacks_endpoints = is_late(
            node,
            peer,
            Table::Endpoints,
            (endpoints, state.endpoints),
            now,
        );
    }
    if lacks_zones {
        node.fleet.apply_peer_report(&[], &state.out, now);
    }
    if lacks_endpoints {
        node.fleet.apply_peer_report(&state.gone, &[], now);
    }
    let has_catalog = node.fleet.catalog.load().is_some();
    let version = node.fleet.catalog_version();
    if state.catalog > version && (lacks_zones || !has_catalog) {
        tokio::spawn(source::fetch(node.clone(), registration.calls, version));
    }
}

/// Whether this daemon's copy of a table has been behind those of its peers for so long that the store may not answer; has the
/// table read again then.
fn is_late(
    node: &Node,
    peer: SocketAddr,
    table: Table,
    (own, newer): (u64, u64),
    now: Duration,
) -> bool {
    let (lag, feed) = match table {
        Table::Operator => (&node.peers.operator_lag, &node.operator_feed),
        Table::Endpoints => (&node.peers.endpoints_lag, &node.endpoint_feed),
    };
    let max_lag = (MAX_LAG * node.peers.interval_factor()).min(LONGEST_LAG);
    let is_late = lag.lock().observe((own, newer), max_lag, now);
    if is_late {
        feed.nudge.notify_one();
        node.journal.line(|| {
            spdlog::info!("peers: a peer has newer rows", kv: {
                table:? = table,
                peer: = peer,
                own,
                newer,
            });
        });
    }
    is_late
}
