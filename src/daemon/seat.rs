//! Claims, renews, splits and releases the daemon's seat in the table.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::Node;
use crate::coordination::seat::{PREFIX, Plan, Seat, Snapshot, quarantine};
use crate::protocol::peer::{Contact, HearingParams, method};
use crate::protocol::seat::{snapshot, transaction};
use crate::protocol::table::Commit;
use crate::settings::Policy;
use crate::transport::table::Error;

/// Heartbeat periods between reads of the seats.
const PERIODS_PER_READ: u32 = 2;

/// Timeout for a zone peer to report when it last heard another daemon.
const HEARING_TIMEOUT: Duration = Duration::from_secs(1);

/// Maintains a seat until the daemon stops, then releases it.
pub async fn run(node: Arc<Node>) {
    if node.settings.policy == Policy::Naive {
        return;
    }
    loop {
        if let Err(error) = update_seat(&node).await {
            spdlog::warn!("seat: table unavailable: {error}");
        }
        let wait = node.membership.period(&node) * PERIODS_PER_READ;
        tokio::select! {
            () = tokio::time::sleep(jittered(wait)) => {}
            () = node.stopped.cancelled() => break,
        }
    }
    resign(&node).await;
}

fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(rand::random_range(0.75..1.25))
}

async fn update_seat(node: &Node) -> Result<(), Error> {
    let snapshot = snapshot(&node.table.scan(PREFIX).await?);
    let proven_dead = proven_dead(node, &snapshot).await;
    let directory = node.membership.directory();
    let dead = |seat: &Seat, since| {
        directory.replaced(seat.address, &seat.session, since)
            || proven_dead.contains(&seat.session)
    };
    let live = node.membership.live().len() as u32;
    let timing = node.quota.timing(&node.settings);
    let plan = node
        .quota
        .seat
        .lock()
        .plan(&snapshot, live, dead, node.now(), &timing);
    match plan {
        Some(plan) => write(node, &plan).await,
        None => Ok(()),
    }
}

async fn write(node: &Node, plan: &Plan) -> Result<(), Error> {
    let sent_at = node.now();
    node.quota.seat.lock().sent(plan);
    let outcome = node.table.commit(&transaction(plan)).await;
    let mut seat = node.quota.seat.lock();
    match outcome {
        Ok(Commit::Applied { version }) => {
            seat.committed(plan, version, sent_at, node.now());
            let taken_over = plan.taken_over.as_ref().map_or("-", |seat| &seat.0);
            let parts = plan.seat.parts;
            spdlog::info!(
                "seat: wrote {} parts={parts} reclaimed={taken_over}",
                plan.key
            );
            Ok(())
        }
        Ok(Commit::Conflict) => Ok(()),
        Err(error) => {
            if matches!(error, Error::Unknown(_)) {
                seat.outcome_unknown();
            }
            Err(error)
        }
    }
}

/// Returns the sessions whose holders are proven dead: the platform's list dropped them, and no zone peer has heard
/// them for longer than a daemon keeps using a seat while isolated.
async fn proven_dead(node: &Node, snapshot: &Snapshot) -> Vec<Arc<str>> {
    let now = node.now();
    let timing = node.quota.timing(&node.settings);
    let isolation = timing.terms.lengthened(timing.isolation);
    let directory = node.membership.directory();
    let listed = node.membership.listed_at();
    let fresh = listed.is_some_and(|at| now.saturating_sub(at) < timing.isolation / 2);
    let mut proven = Vec::new();
    for (_, seat) in snapshot.seats.values().filter(|_| fresh) {
        let Some(peer) = directory.peers.get(&seat.address) else {
            continue;
        };
        let gone = peer
            .dropped
            .is_some_and(|at| now.saturating_sub(at) > isolation);
        if !gone || seat.address == node.peer_address {
            continue;
        }
        let silence = isolation + quarantine(seat, &timing);
        if is_unheard(node, snapshot, &peer.zone, seat.address, silence).await {
            proven.push(seat.session.clone());
        }
    }
    proven
}

/// Returns whether all zone peers of a daemon answer and have not heard it for a time, and at least one had before.
async fn is_unheard(
    node: &Node,
    snapshot: &Snapshot,
    zone: &str,
    subject: SocketAddr,
    silence: Duration,
) -> bool {
    let directory = node.membership.directory();
    let prefix = format!("{PREFIX}{zone}/");
    let seats = snapshot.seats.iter();
    let seated = seats
        .filter(|(key, _)| key.starts_with(&prefix))
        .map(|(_, (_, seat))| seat.address);
    let listed = directory
        .staying_members(zone)
        .filter(|(_, peer)| peer.listed);
    let mut zone_peers: Vec<SocketAddr> = listed.map(|(address, _)| *address).collect();
    zone_peers.extend(seated);
    zone_peers.sort();
    zone_peers.dedup();
    zone_peers.retain(|address| *address != subject);
    let ages = zone_peers
        .iter()
        .map(|peer| query_hearing(node, *peer, subject));
    let ages = futures::future::join_all(ages).await;
    let silence_ms = silence.as_millis() as u64;
    let confirms_silence = |contact: &Option<Contact>| {
        contact.is_some_and(|contact| {
            !contact.leaving && contact.age_ms.is_none_or(|age| age > silence_ms)
        })
    };
    let heard_before =
        |contact: &Option<Contact>| contact.is_some_and(|contact| contact.age_ms.is_some());
    ages.iter().all(confirms_silence) && ages.iter().any(heard_before)
}

async fn query_hearing(node: &Node, peer: SocketAddr, subject: SocketAddr) -> Option<Contact> {
    let params = HearingParams { address: subject };
    if peer == node.peer_address {
        return Some(hearing(node, &params));
    }
    let call = node
        .peers
        .call(peer, method::HEARING, &params, HEARING_TIMEOUT);
    call.await.ok()
}

/// Returns when this daemon last heard another.
pub fn hearing(node: &Node, params: &HearingParams) -> Contact {
    let directory = node.membership.directory();
    let heard = directory
        .peers
        .get(&params.address)
        .and_then(|peer| peer.heard);
    let age = heard.map(|heard| node.now().saturating_sub(heard));
    Contact {
        age_ms: age.map(|age| age.as_millis() as u64),
        leaving: node.leaving.is_cancelled(),
    }
}

/// Releases the seat so that other daemons can take it over.
async fn resign(node: &Node) {
    let plan = node.quota.seat.lock().resign();
    if let Some(plan) = plan
        && let Err(error) = write(node, &plan).await
    {
        spdlog::warn!("seat: release failed: {error}");
    }
}
