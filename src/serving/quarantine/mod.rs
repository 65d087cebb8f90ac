//! Refuses requests that crash endpoints, or whose prompts contain a part that does, and shares the evidence with the
//! other daemons.

pub mod store;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::endpoint::Endpoint;
use super::{Node, ends, journal, peers};
use crate::coordination::quarantine::{Hold, Occurrence, Probe, Quarantine, Suspect};
use crate::protocol::digest::Body;
use crate::state::call::Call;

/// Time after the head of a response within which the end of the endpoint is held against a request that has got an
/// event.
pub const CRASH_WINDOW: Duration = Duration::from_millis(500);

/// Time after the head of a response from which the request has outlived its start.
pub const SURVIVAL_TIME: Duration = Duration::from_secs(1);

/// Longest time for which a request that lost its endpoint waits until it is known whether the endpoint has ended.
const MAX_CHECK_WAIT: Duration = Duration::from_millis(50);

/// Longest `Retry-After` of a refused request; the parts may be found sound at any time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Digests by which a call is recognized: the shared parts of its prompt, and its content if a call with the same upper
/// half is held or has occurred in a crash.
fn digests(quarantine: &Quarantine, call: &Call, caller: &str) -> Vec<u64> {
    let mut digests = call.shared_parts();
    if quarantine.has_outline(call.outline(caller)) {
        digests.push(call.content(caller));
    }
    digests
}

/// Time after which a call that is refused may be sent again; `None` if it is not refused.
pub fn held(node: &Node, call: &Call, caller: &str) -> Option<Duration> {
    let quarantine = node.quarantine.lock();
    if !quarantine.has_holds() {
        return None;
    }
    let digests = digests(&quarantine, call, caller);
    let left = quarantine.held(&digests, node.now())?;
    Some(left.min(MAX_RETRY_AFTER))
}

/// Whether a call that is held could be sent to find out whether it is sound. One daemon of the fleet does this for a hold.
pub fn may_probe(node: &Node, call: &Call, caller: &str) -> bool {
    let (quarantine, now) = (node.quarantine.lock(), node.now());
    let digests = digests(&quarantine, call, caller);
    let hold = quarantine.matching(&digests, now);
    hold.is_some_and(|hold| is_responsible(node, hold)) && quarantine.may_probe(&digests, now)
}

/// Whether a call that is held may be sent at once as a probe. The probe of a whole request is first taken in the store,
/// since daemons that don't hear each other or have started anew don't know of other probes.
pub async fn probe(node: &Node, call: &Call, caller: &str) -> bool {
    let probe = {
        let mut quarantine = node.quarantine.lock();
        let digests = digests(&quarantine, call, caller);
        quarantine.probe(&digests, node.now())
    };
    let is_taken = match probe {
        Some(Probe::Numbered(key, number)) => store::take_probe(node, key, number).await,
        Some(Probe::Free) => true,
        None => false,
    };
    if is_taken {
        spdlog::info!("quarantine: probe", kv: { request: = call.id });
    }
    is_taken
}

/// Whether this daemon acts for the fleet on the hold with this digest.
fn is_responsible(node: &Node, digest: u64) -> bool {
    let subject = format!("quarantine/{digest:x}");
    node.peers.is_responsible(&node.settings, &subject)
}

/// Records that an endpoint was lost before it had responded to a call, or when it had just begun, with or without an
/// event, if the endpoint has ended. Returns soon; the end may become known later.
pub async fn lost(
    node: &Arc<Node>,
    call: &Call,
    caller: &str,
    endpoint: &Endpoint,
    has_event: bool,
) {
    let mut parts = call.shared_parts();
    parts.push(call.content(caller));
    let entry = &endpoint.entry;
    let occurrence = {
        let (quarantine, now) = (node.quarantine.lock(), node.now());
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
    let (node, endpoint, id) = (node.clone(), endpoint.clone(), call.id.clone());
    let report = tokio::spawn(async move {
        if ends::has_ended(&node, &endpoint).await {
            report(&node, &id, &endpoint, occurrence);
        }
    });
    // The next send of this request is to know of the crash.
    let _ = timeout(MAX_CHECK_WAIT, report).await;
}

/// Records an occurrence and tells the other daemons.
fn report(node: &Node, request: &str, endpoint: &Endpoint, occurrence: Occurrence) {
    node.meter.crashes.inc();
    let unvouched = occurrence.parts.iter().filter(|suspect| !suspect.vouched);
    let unvouched: Vec<u64> = unvouched.map(|suspect| suspect.part).collect();
    node.journal.line(|| {
        spdlog::info!("quarantine: request at the end of an endpoint", kv: {
            request: = request,
            endpoint: = endpoint.entry.id,
            parts = occurrence.parts.len(),
            unvouched: = journal::hex(&unvouched),
        });
    });
    record(node, occurrence.clone());
    peers::broadcast(node, Body::Crashed(occurrence));
}

/// Records that a call was answered as a whole, or has outlived the start of its response.
pub fn survived(node: &Node, call: &Call, caller: &str) {
    let sound = {
        let mut quarantine = node.quarantine.lock();
        let digests = digests(&quarantine, call, caller);
        if digests.is_empty() {
            return;
        }
        quarantine.survived(&digests, node.now())
    };
    if !sound.is_empty() {
        spdlog::info!("quarantine: parts are sound", kv: {
            request: = call.id,
            parts: = journal::hex(&sound),
        });
        node.holds_changed.notify_one();
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

/// Holds parts that were not held at first because many endpoints had ended at one moment, if that is due.
pub fn advance(node: &Node) {
    let now = node.now();
    if node.quarantine.lock().is_due(now) {
        update(node, |quarantine| {
            quarantine.advance(now);
        });
    }
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
    let (quarantine, now) = (node.quarantine.lock(), node.now());
    node.meter.held_parts.set(quarantine.count(now) as i64);
    quarantine.holds(now)
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
    if before != after {
        node.holds_changed.notify_one();
    }
}
