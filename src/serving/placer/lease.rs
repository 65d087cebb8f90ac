//! Lease of the placer, one row in the store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use super::PLAN_INTERVAL;
use crate::coordination::election::{Lease, Step, Term};
use crate::serving::peers::commit;
use crate::serving::{Node, feed, jitter};
use crate::state::record::Name;
use crate::state::row::{Change, restores};
use crate::transport::exchange::Channel;

/// Store table of the lease.
pub const LEASE_TABLE: &str = "lease";

/// Row key of the lease.
pub const LEASE_KEY: &str = "placement";

/// Interval between checks of whether the lease has to be claimed.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Delay between consecutive daemons, in order of their position, in claiming a free lease.
const CLAIM_STAGGER: Duration = Duration::from_millis(200);

/// Position from which daemons no longer wait for their predecessors.
const MAX_POSITION: usize = 12;

/// Time for which a holder has lost its links to the engines before it leaves the lease to another daemon.
const LINK_PATIENCE: Duration = Duration::from_millis(1500);

/// Time added to the lease before a new holder sends its first order.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(400);

/// Renews the lease, or claims it when no other placer is heard; returns the delay before the next check.
pub async fn maintain(node: &Arc<Node>, channel: &Channel) -> Duration {
    if node.leaving.is_cancelled() || is_useless(node) {
        release(node, channel).await;
        return CHECK_INTERVAL;
    }
    let now = node.boot_now();
    let held = node.placer.is_holder(node);
    if held && !node.placer.leadership.lock().election.due(now) {
        return PLAN_INTERVAL;
    }
    if !held {
        if node.peers.placer(node.now()).is_some() {
            return CHECK_INTERVAL;
        }
        let position = node.peers.position(&node.settings, node.now());
        sleep(CLAIM_STAGGER * position.min(MAX_POSITION) as u32).await;
        if node.peers.placer(node.now()).is_some() {
            return CHECK_INTERVAL;
        }
    }
    if let Err(error) = claim(node, channel, held).await {
        node.journal
            .line(|| spdlog::info!("placer: failed to claim lease", kv: { error: = error }));
    }
    jitter(CHECK_INTERVAL)
}

/// Whether this daemon can give no orders that most others can give. If most others can't either, engines are down rather than
/// links, and a new holder would only have to wait.
fn is_useless(node: &Node) -> bool {
    let now = node.now();
    if node.links.lost_for(now) < LINK_PATIENCE {
        return false;
    }
    let (linked, _) = node.peers.with_links(&node.settings, now);
    linked.len() * 2 >= node.peers.count()
}

/// Writes the lease if it is free or held by this daemon.
async fn claim(node: &Arc<Node>, channel: &Channel, held: bool) -> Result<(), feed::Error> {
    let claimed_version = node.placer.leadership.lock().election.version();
    if let Some(version) = claimed_version.filter(|_| held) {
        let fence = node.placer.leadership.lock().fence;
        let requested_at = node.boot_now();
        // A holder that the store does not answer goes on as long as a peer can write for it: every change of the holder
        // costs the time of a lease without orders.
        let renewed = commit::commit(node, channel, &own_lease(node, fence, Some(version))).await;
        match renewed {
            Ok(Some(new_version)) if restores(new_version) == restores(version) => {
                let mut leadership = node.placer.leadership.lock();
                leadership
                    .election
                    .claimed(fence, new_version, requested_at);
                return Ok(());
            }
            // The write may have been applied, or another daemon has written the row; reading it shows which. After a
            // restore it may have replaced another daemon's row, as versions are given out again.
            Ok(_) => {}
            Err(error) => {
                node.journal.line(
                    || spdlog::info!("placer: failed to renew lease", kv: { error: = error }),
                );
            }
        }
    }
    let requested_at = node.boot_now();
    let page = feed::read::list(node, channel, LEASE_TABLE).await?;
    let row = page.rows.iter().find(|row| &*row.key == LEASE_KEY);
    let lease = row.and_then(|row| {
        let lease: Lease = serde_json::from_slice(row.value.as_ref()?).ok()?;
        Some((lease, row.version))
    });
    let session = session_id(node);
    // A row that this session wrote without getting a response starts a new term, too.
    let current_fence = node.placer.leadership.lock().fence;
    // So does a row that is read from a restored copy, which may lack the terms of others.
    let is_restored = claimed_version.map(restores) != Some(restores(page.version));
    let is_own = |lease: &Lease| lease.session == session && lease.fence == current_fence;
    let is_renewal = !is_restored && lease.as_ref().is_some_and(|(lease, _)| is_own(lease));
    let lease = lease.as_ref().map(|(lease, version)| (lease, *version));
    let step = {
        let mut leadership = node.placer.leadership.lock();
        leadership.election.decide(lease, &session, requested_at)
    };
    let Step::Claim { fence, version } = step else {
        if held {
            spdlog::warn!("placer: lease lost");
        }
        return Ok(());
    };
    let term = match is_renewal {
        true => Term {
            fence,
            waits: false,
        },
        false => {
            let highest = node.peers.highest_fence().max(current_fence);
            Term::after(fence, version.is_some(), highest, restores(page.version))
        }
    };
    let fence = term.fence;
    let change = own_lease(node, fence, version);
    let Some(new_version) = node.commit(channel, &change).await? else {
        return Ok(());
    };
    {
        let mut leadership = node.placer.leadership.lock();
        leadership
            .election
            .claimed(fence, new_version, requested_at);
    }
    if !is_renewal {
        let wait = match term.waits {
            true => node.settings.placement_lease + TAKEOVER_MARGIN,
            false => Duration::ZERO,
        };
        begin_term(node, fence, wait, requested_at);
    }
    Ok(())
}

/// Starts a term; orders wait until a full lease has passed since the last order an earlier holder can have sent.
fn begin_term(node: &Node, fence: u64, wait: Duration, requested_at: Duration) {
    node.placer
        .leadership
        .lock()
        .begin(fence, requested_at + wait);
    node.placer.inventory.lock().begin(node.now());
    let orders_in_ms = wait.as_millis() as u64;
    spdlog::info!("placer: lease taken", kv: { fence, orders_in_ms });
}

fn session_id(node: &Node) -> Name {
    format!("{}/{}", node.settings.name, node.session).into()
}

/// Change that writes this daemon's lease if the row is at `version`.
fn own_lease(node: &Node, fence: u64, version: Option<u64>) -> Change {
    let lease = Lease {
        session: session_id(node),
        address: node.gossip_address,
        fence,
    };
    write_lease(&lease, version)
}

fn write_lease(lease: &Lease, version: Option<u64>) -> Change {
    let value = Bytes::from(serde_json::to_vec(lease).unwrap_or_default());
    Change {
        expected: vec![(
            LEASE_TABLE.into(),
            LEASE_KEY.into(),
            version.unwrap_or_default(),
        )],
        write: vec![(LEASE_TABLE.into(), LEASE_KEY.into(), value)],
        remove: Vec::new(),
    }
}

async fn release(node: &Node, channel: &Channel) {
    let held_version = {
        let mut leadership = node.placer.leadership.lock();
        let held = leadership.election.holds(node.boot_now());
        let version = held.then(|| leadership.election.version());
        leadership.election.clear();
        version.flatten()
    };
    let Some(version) = held_version else {
        return;
    };
    let lease = Lease {
        session: "".into(),
        address: node.gossip_address,
        fence: node.placer.leadership.lock().fence,
    };
    match node
        .commit(channel, &write_lease(&lease, Some(version)))
        .await
    {
        Ok(_) => spdlog::info!("placer: lease released", kv: { fence = lease.fence }),
        Err(error) => spdlog::warn!("placer: failed to release lease", kv: { error: = error }),
    }
}
