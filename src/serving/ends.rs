//! Tells the end of an endpoint from the loss of a connection to it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::OnceCell;
use tokio::time::sleep;

use super::endpoint::Endpoint;
use super::{Node, links, starts};
use crate::state::call::KeepAlive;
use crate::state::record::Name;

/// Timeout of a connection to an endpoint that may have ended.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Pause after an attempt that did not show whether the endpoint has ended.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Number of attempts.
const MAX_ATTEMPTS: usize = 4;

/// Checks under way, by endpoint; requests that lost their connections at one time share a check.
#[derive(Debug, Default)]
pub struct Ends {
    checks: Mutex<HashMap<Name, Arc<OnceCell<bool>>>>,
}

/// Whether an endpoint that a connection was lost to has ended: it refuses connections, also those of another daemon, or
/// another process has its address. One that is leaving is not taken to have ended.
pub async fn has_ended(node: &Node, endpoint: &Endpoint) -> bool {
    let id = &endpoint.entry.id;
    if is_leaving(node, endpoint) {
        return false;
    }
    let check = node
        .ends
        .checks
        .lock()
        .entry(id.clone())
        .or_default()
        .clone();
    let has_ended = *check.get_or_init(|| check_endpoint(node, endpoint)).await;
    node.ends.checks.lock().remove(id);
    has_ended
}

/// Whether the endpoint left as announced, so that its end is no one's doing.
fn is_leaving(node: &Node, endpoint: &Endpoint) -> bool {
    let view = node.fleet.view.load();
    let current = view.all.get(&endpoint.entry.id);
    current.is_none_or(|current| current.entry.draining) || endpoint.tracker.lock().leaving
}

async fn check_endpoint(node: &Node, endpoint: &Endpoint) -> bool {
    let entry = &endpoint.entry;
    for _ in 0..MAX_ATTEMPTS {
        if is_replaced(node, endpoint) {
            return true;
        }
        match starts::connect(node, endpoint, CONNECT_TIMEOUT).await {
            Err(error) if error.is_refused() => {
                endpoint.tracker.lock().health.unreachable(node.now());
                return links::is_refused_elsewhere(node, endpoint).await;
            }
            Err(_) => sleep(RETRY_PAUSE).await,
            Ok(connection) => {
                node.pool_connection(&entry.id, connection, KeepAlive::Open);
                return is_replaced(node, endpoint);
            }
        }
    }
    node.journal.line(|| {
        spdlog::info!("endpoints: not known whether it has ended", kv: { endpoint: = entry.id });
    });
    false
}

/// Whether the endpoint has started anew, or another one has its address.
fn is_replaced(node: &Node, endpoint: &Endpoint) -> bool {
    let entry = &endpoint.entry;
    let view = node.fleet.view.load();
    let mut others = view.all.values().map(|other| &other.entry);
    others.any(|other| match other.id == entry.id {
        true => other.started_ms != entry.started_ms,
        false => other.address == entry.address,
    })
}
