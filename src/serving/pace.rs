//! Paces of endpoints that have started or recovered; see [`crate::coordination::pace`].

use std::time::Duration;

use super::Node;
use super::endpoint::{Endpoint, State};
use super::meter::Paced;
use super::room::owner;
use crate::coordination::pace::{self, Cause, Change, Failure, MAX_SHARES, Room, Share};
use crate::coordination::speed::Expected;

/// Whether an endpoint with a number of slots may get one more request of this daemon.
///
/// Only estimates are limited. Where an owner grants permits, the limit would be divided among daemons of which most have no part, while
/// the few that have one see too few requests to raise it: engines that came back stayed at two requests for seconds.
pub fn room(node: &Node, endpoint: &Endpoint, slots: f64) -> Room {
    let slots = slots as u32;
    let (limit, change) = {
        let pace = &mut endpoint.tracker.lock().pace;
        let change = pace.elapse(slots, node.now());
        (pace.limit(), change)
    };
    log(node, endpoint, "elapsed", change, None);
    let Some(limit) = limit.filter(|_| !owner::decides(node, endpoint)) else {
        return Room::Free;
    };
    let own = endpoint.tracker.in_flight();
    let others = endpoint.tracker.total_in_flight().saturating_sub(own);
    pace::room(limit, slots, (own, others), |limit| {
        part(node, endpoint, limit)
    })
}

/// This daemon's part of a limit.
fn part(node: &Node, endpoint: &Endpoint, limit: u32) -> u32 {
    let names = node.peers.names();
    let daemons: Vec<&str> = names.iter().map(|name| &**name).collect();
    pace::share(&endpoint.entry.id, &node.settings.name, &daemons, limit)
}

/// Records an answer and the time until its first event.
pub fn answered(
    node: &Node,
    endpoint: &Endpoint,
    sent_at: Duration,
    elapsed: Duration,
    expected: &Expected,
) {
    let limit = endpoint.tracker.lock().pace.limit();
    let part = limit.map_or(1, |limit| part(node, endpoint, limit));
    let expected = expected.first_millis.max(expected.usual_first_millis);
    let expected = Duration::try_from_secs_f64(expected / 1000.0).unwrap_or(Duration::MAX);
    let slots = slots(node, endpoint);
    let change = endpoint.tracker.lock().pace.answered(
        sent_at,
        (elapsed, expected),
        (slots, part),
        node.now(),
    );
    log(node, endpoint, "answer", change, Some((elapsed, expected)));
}

/// Records a request that failed at an endpoint.
pub fn failed(node: &Node, endpoint: &Endpoint, failure: Failure) {
    if node.links.is_lost() || !node.fleet.is_contended(&endpoint.entry.service) {
        return;
    }
    let change = endpoint.tracker.lock().pace.failed(failure, node.now());
    let cause = match failure {
        Failure::Unreachable => "unreachable",
        Failure::Broken => "broken",
        Failure::Rejected => "rejected",
    };
    log(node, endpoint, cause, change, None);
}

/// Begins ramps of all endpoints of contended services.
pub fn begin_all(node: &Node, cause: Cause) {
    let view = node.fleet.view.load();
    for endpoint in view.all.values() {
        if node.fleet.is_contended(&endpoint.entry.service) {
            let change = endpoint.tracker.lock().pace.begin(node.now());
            log(node, endpoint, cause.name(), Some(change), None);
        }
    }
}

/// Limits to share with peers.
pub fn shares(node: &Node) -> Vec<Share> {
    let (view, now) = (node.fleet.view.load(), node.now());
    let shares = view.all.iter().filter_map(|(id, endpoint)| {
        let state = endpoint.tracker.lock();
        state.pace.share(id, now)
    });
    let mut shares: Vec<Share> = shares.collect();
    // After a common failure there are more than a message holds; the latest changes matter most.
    shares.sort_by_key(|share| share.age_millis);
    shares.truncate(MAX_SHARES);
    shares
}

/// Adopts the limits of a peer.
pub fn adopt(node: &Node, shares: &[Share]) {
    let view = node.fleet.view.load();
    for share in shares.iter().take(MAX_SHARES) {
        let Some(endpoint) = view.all.get(&share.endpoint) else {
            continue;
        };
        if node.fleet.is_contended(&endpoint.entry.service) {
            let slots = slots(node, endpoint);
            let adopt = |state: &mut State| state.pace.adopt(share, slots, node.now());
            let change = adopt(&mut endpoint.tracker.lock());
            log(node, endpoint, "peer", change, None);
        }
    }
}

fn slots(node: &Node, endpoint: &Endpoint) -> u32 {
    let service = node.fleet.service(&endpoint.entry);
    let engine = service.as_ref().and_then(|service| service.engine.as_ref());
    engine.map_or(endpoint.entry.slots, |engine| engine.slots)
}

fn log(
    node: &Node,
    endpoint: &Endpoint,
    cause: &str,
    change: Option<Change>,
    answer: Option<(Duration, Duration)>,
) {
    let Some(Change { before, after }) = change else {
        return;
    };
    let label = Paced {
        endpoint: endpoint.entry.id.to_string(),
    };
    match after {
        Some(limit) => {
            let gauge = node.meter.paces.get_or_create(&label);
            gauge.set(i64::from(limit));
        }
        None => drop(node.meter.paces.remove(&label)),
    }
    let (elapsed, expected) = answer.unwrap_or_default();
    node.journal.line(|| {
        spdlog::info!("pace: changed", kv: {
            endpoint: = endpoint.entry.id,
            cause,
            before:? = before,
            after:? = after,
            flights = endpoint.tracker.total_in_flight(),
            own_flights = endpoint.tracker.in_flight(),
            first_ms = elapsed.as_millis() as u64,
            expected_ms = expected.as_millis() as u64,
        });
    });
}
