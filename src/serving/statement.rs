//! Records what endpoints state about themselves in their responses.

use std::time::Duration;

use super::Node;
use crate::state::call::Head;
use crate::state::record::Name;

/// Records what the head of an endpoint's response states.
pub fn observe(node: &Node, endpoint: &Name, head: &Head) {
    let is_another = head.endpoint.as_ref().is_some_and(|id| id != endpoint);
    if is_another {
        return;
    }
    let now = node.now();
    let is_news = {
        let mut statements = node.statements.lock();
        statements.observe(endpoint, head.rate_limit, now)
    };
    if is_news {
        log(endpoint, head.rate_limit, "response");
    }
}

/// Forgets endpoints that are gone and limits that were withdrawn long ago.
pub fn sweep(node: &Node, now: Duration) {
    let view = node.fleet.view.load();
    let mut statements = node.statements.lock();
    statements.prune(|endpoint| view.all.contains_key(endpoint), now);
    node.meter
        .limited_endpoints
        .set(statements.limited() as i64);
}

fn log(endpoint: &Name, rate_limit: Option<f64>, source: &'static str) {
    spdlog::info!("endpoints: rate limit", kv: {
        endpoint: = endpoint,
        per_second = rate_limit.unwrap_or(-1.0),
        source,
    });
}
