//! Reports to homes what this daemon has from them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::sleep;

use super::home::record;
use super::{Places, homes, turn};
use crate::coordination::room::{Message, Usage};
use crate::protocol::digest::Body;
use crate::serving::endpoint::Endpoint;
use crate::serving::peers::{self, HEARTBEAT_INTERVAL, Home};
use crate::serving::{Node, jitter};
use crate::state::record::Name;

/// Counts of places that a daemon makes per millisecond, at most.
const COUNTS_PER_MILLI: u64 = 1024;

/// Maximum number of endpoints in one report of use.
const MAX_REPORTED: usize = 200;

/// Reports to homes what this daemon has from them, until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let task = async {
        loop {
            sleep(jitter(use_interval(&node))).await;
            if !node.rooms.beliefs.load().is_empty() {
                report_all(&node);
            }
            report_holdings(&node);
        }
    };
    node.until_stopped(task).await;
}

fn report_all(node: &Node) {
    let view = node.fleet.view.load();
    let mut reports: BTreeMap<Name, (Home, Vec<(Name, Usage)>)> = BTreeMap::new();
    let used: Vec<Endpoint> = {
        let places = node.rooms.places.lock();
        let in_use = view.all.values().filter(|endpoint| {
            let service = &endpoint.entry.service;
            let is_bound = node.rooms.max_rejections(service).is_some();
            let has_granted = places
                .get(&endpoint.entry.id)
                .is_some_and(|places| !places.granted.is_empty());
            is_bound && (endpoint.tracker.in_flight() > 0 || has_granted)
        });
        in_use.cloned().collect()
    };
    for endpoint in used {
        let id = &endpoint.entry.id;
        let homes = homes(node, id);
        for (index, home) in homes.iter().enumerate() {
            let usage = node.rooms.with(id, |places| {
                let has_places = index == 0 || places.granted.contains_key(&home.daemon);
                has_places.then(|| usage_at(node, places, &endpoint, home, &homes))
            });
            let Some(usage) = usage else {
                continue;
            };
            let report = reports.entry(home.daemon.clone());
            let (_, used) = report.or_insert_with(|| (home.clone(), Vec::new()));
            used.push((id.clone(), usage));
        }
        node.rooms.with(id, |places| {
            places.granted.retain(|_, usage| *usage != Usage::default());
        });
    }
    for (home, used) in reports.into_values() {
        for used in used.chunks(MAX_REPORTED) {
            report(node, &home, used.to_vec());
        }
    }
}

/// Reports to the owners of permits what this daemon has of them.
fn report_holdings(node: &Node) {
    let used: Vec<Name> = {
        let places = node.rooms.places.lock();
        let used = places.iter().filter(|(_, it)| {
            !it.turns.held.is_empty() || !it.turns.open.is_empty() || it.turns.free > 0
        });
        used.map(|(id, _)| id.clone()).collect()
    };
    let view = node.fleet.view.load();
    let used = used.iter().filter_map(|id| view.all.get(id));
    for endpoint in used.filter(|it| super::is_contended(node, &it.entry.service)) {
        turn::report(node, endpoint);
    }
}

/// Reports to a home what this daemon has from it at one endpoint.
pub(super) fn report_one(node: &Node, home: &Home, id: &Name) {
    let view = node.fleet.view.load();
    let Some(endpoint) = view.all.get(id) else {
        return;
    };
    let homes = homes(node, id);
    let usage = node
        .rooms
        .with(id, |places| usage_at(node, places, endpoint, home, &homes));
    report(node, home, vec![(id.clone(), usage)]);
}

/// Reports to a home what this daemon has from it.
fn report(node: &Node, home: &Home, used: Vec<(Name, Usage)>) {
    match home.address {
        Some(address) => peers::send(node, Body::Room(Message::Used(used)), address),
        None => record(node, &home.daemon, &used),
    }
}

/// What this daemon has from a home. What it sent without a place, or with one from a former home, counts at the home of
/// its own zone, which is the first.
pub(super) fn usage_at(
    node: &Node,
    places: &Places,
    endpoint: &Endpoint,
    home: &Home,
    homes: &[Home],
) -> Usage {
    let usage = places
        .granted
        .get(&home.daemon)
        .copied()
        .unwrap_or_default();
    let count = node.rooms.counts.fetch_add(1, Ordering::Relaxed);
    let usage = Usage {
        order: node.session * COUNTS_PER_MILLI + count,
        ..usage
    };
    if homes
        .first()
        .is_none_or(|first| first.daemon != home.daemon)
    {
        return usage;
    }
    let others = homes[1..].iter();
    let others = others.filter_map(|other| places.granted.get(&other.daemon));
    let elsewhere: u32 = others.map(|usage| usage.held).sum();
    let in_flight = endpoint.tracker.in_flight();
    let held = in_flight.saturating_sub(elsewhere + places.own);
    Usage {
        held: held.max(usage.held),
        ..usage
    }
}

/// Interval between reports of use.
pub(super) fn use_interval(node: &Node) -> Duration {
    HEARTBEAT_INTERVAL * node.peers.interval_factor()
}
