//! Gets what another daemon has in force, so that a request is decided by the same at both.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use crate::protocol::hop::Versions;
use crate::serving::Node;
use crate::serving::meter::Handover;
use crate::serving::peers::source;
use crate::state::record::Name;

/// Maximum time for which a request waits for what another daemon has in force.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// Gets what another daemon has in force and this one lacks; returns whether nothing of it is missing any more.
pub async fn catch_up(node: &Arc<Node>, from: &Name, versions: &Versions) -> bool {
    if node.fleet.covers(versions, node.now()) {
        return true;
    }
    let started = node.now();
    let before = node.fleet.in_force();
    let has_all = timeout(MAX_WAIT, fetch(node, from, versions)).await;
    let has_all = has_all.unwrap_or(false);
    let outcome = match has_all {
        true => "caught_up",
        false => "behind",
    };
    node.meter
        .catch_ups
        .get_or_create(&Handover { outcome })
        .inc();
    node.journal.line(|| {
        spdlog::info!("forward: catching up", kv: {
            from: = from,
            before:? = before,
            needed:? = versions,
            outcome,
            took_ms = node.now().saturating_sub(started).as_millis() as u64,
        });
    });
    has_all
}

async fn fetch(node: &Arc<Node>, from: &Name, versions: &Versions) -> bool {
    let _only = node.forwards.catching_up.lock().await;
    if node.fleet.covers(versions, node.now()) {
        return true;
    }
    let Some(address) = node.peers.call_address(from) else {
        return false;
    };
    source::fetch(node.clone(), address, node.fleet.catalog_version()).await;
    node.fleet.covers(versions, node.now())
}
