//! Refuses requests whose prompts contain a part that crashes endpoints, and shares the evidence with the other daemons.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::endpoint::Endpoint;
use super::{Node, journal, peers};
use crate::coordination::quarantine::{Hold, Occurrence, Quarantine, Suspect};
use crate::coordination::rendezvous;
use crate::protocol::digest::Body;
use crate::state::call::Call;

/// Time after the head of a response within which the end of the endpoint is held against a request that has got an
/// event.
pub const CRASH_WINDOW: Duration = Duration::from_millis(500);

/// Time after the head of a response from which the request has outlived its start.
pub const SURVIVAL_TIME: Duration = Duration::from_secs(1);

/// Longest `Retry-After` of a refused request; the parts may be found sound at any time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Time after which a call that is refused because of its prompt may be sent again; `None` if it is not refused.
pub fn held(node: &Node, call: &Call) -> Option<Duration> {
    let quarantine = node.quarantine.lock();
    if !quarantine.has_holds() {
        return None;
    }
    let left = quarantine.held(&call.shared_parts(), node.now())?;
    Some(left.min(MAX_RETRY_AFTER))
}

/// Whether a call may be sent although it is held, to find out whether its parts are sound. One daemon of the fleet does
/// this for a hold.
pub fn probe(node: &Node, call: &Call) -> bool {
    let (parts, now) = (call.shared_parts(), node.now());
    let mut quarantine = node.quarantine.lock();
    let Some(hold) = quarantine.matching(&parts, now) else {
        return false;
    };
    let names = node.peers.names();
    let key = format!("quarantine/{hold:x}");
    let prober = rendezvous::choose(&key, names.iter(), |name| (*name).clone());
    let is_probe = prober == Some(&node.settings.name) && quarantine.probe(&parts, now);
    drop(quarantine);
    if is_probe {
        spdlog::info!("quarantine: probe", kv: { request: = call.id, hold: = journal::hex(&[hold]) });
    }
    is_probe
}

/// Records that an endpoint ended when it had just begun to respond to a call, with or without an event.
pub fn crashed(node: &Node, call: &Call, endpoint: &Endpoint, has_event: bool) {
    let parts = call.shared_parts();
    if parts.is_empty() {
        return;
    }
    let now = node.now();
    let entry = &endpoint.entry;
    let occurrence = {
        let quarantine = node.quarantine.lock();
        let suspect = |part| Suspect {
            part,
            vouched: quarantine.is_vouched(part, now),
        };
        Occurrence {
            crash: xxh3_64_with_seed(entry.id.as_bytes(), entry.started_ms.unwrap_or_default()),
            request: xxh3_64(call.id.as_bytes()),
            parts: parts.into_iter().map(suspect).collect(),
        }
    };
    if has_event && occurrence.parts.iter().all(|suspect| suspect.vouched) {
        // Most likely a bystander of the request that crashed the endpoint.
        return;
    }
    node.meter.crashes.inc();
    let unvouched = occurrence.parts.iter().filter(|suspect| !suspect.vouched);
    let unvouched: Vec<u64> = unvouched.map(|suspect| suspect.part).collect();
    spdlog::info!("quarantine: response cut at its start", kv: {
        request: = call.id,
        endpoint: = entry.id,
        parts = occurrence.parts.len(),
        unvouched: = journal::hex(&unvouched),
    });
    record(node, occurrence.clone());
    peers::broadcast(node, Body::Crashed(occurrence));
}

/// Records that a call has outlived the start of its response.
pub fn survived(node: &Node, call: &Call) {
    let parts = call.shared_parts();
    if parts.is_empty() {
        return;
    }
    let sound = node.quarantine.lock().survived(&parts, node.now());
    if !sound.is_empty() {
        spdlog::info!("quarantine: parts are sound", kv: {
            request: = call.id,
            parts: = journal::hex(&sound),
        });
        peers::broadcast(node, Body::Sound(sound));
    }
}

/// Records an occurrence that this daemon or a peer has seen.
pub fn record(node: &Node, occurrence: Occurrence) {
    let now = node.now();
    update(node, |quarantine| {
        quarantine.record(occurrence, now);
    });
}

/// Records parts that a peer has found sound.
pub fn clear(node: &Node, parts: &[u64]) {
    let now = node.now();
    update(node, |quarantine| quarantine.clear(parts, now));
}

/// Adopts the holds of a peer, and tells it which of their parts are sound.
pub fn adopt(node: &Node, holds: Vec<Hold>, peer: SocketAddr) {
    if holds.is_empty() {
        return;
    }
    let now = node.now();
    let mut sound = Vec::new();
    update(node, |quarantine| {
        for hold in holds {
            sound.extend(quarantine.adopt(hold, now));
        }
    });
    if !sound.is_empty() {
        peers::send(node, Body::Sound(sound), peer);
    }
}

/// Holds in force, for peers.
pub fn holds(node: &Node) -> Vec<Hold> {
    let holds = node.quarantine.lock().holds(node.now());
    node.meter.held_parts.set(holds.len() as i64);
    holds
}

/// Changes the quarantine and logs which parts are held or no longer held.
fn update(node: &Node, change: impl FnOnce(&mut Quarantine)) {
    let now = node.now();
    let (before, after) = {
        let mut quarantine = node.quarantine.lock();
        let before = quarantine.holds(now);
        change(&mut quarantine);
        (before, quarantine.holds(now))
    };
    let is_in = |holds: &[Hold], hold: &Hold| holds.iter().any(|it| it.parts == hold.parts);
    for hold in after.iter().filter(|hold| !is_in(&before, hold)) {
        spdlog::warn!("quarantine: parts held", kv: {
            parts: = journal::hex(&hold.parts),
            crashes = hold.crashes,
            left_ms = hold.left_millis,
        });
    }
    for hold in before.iter().filter(|hold| !is_in(&after, hold)) {
        spdlog::info!("quarantine: parts released", kv: { parts: = journal::hex(&hold.parts) });
    }
    node.meter.held_parts.set(after.len() as i64);
}
