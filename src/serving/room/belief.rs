//! What endpoints have stated of how many requests they can reject, by service.

use std::collections::HashMap;
use std::time::Duration;

use crate::serving::Node;
use crate::state::record::Name;

/// Time for which a service whose endpoints have all gone is still taken to be as they said.
const LINGER_TIME: Duration = Duration::from_secs(10);

/// What is known of a service whose endpoints can reject few requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Belief {
    pub(super) max_rejections: u32,
    /// Time at which a statement last supported it.
    supported_at: Duration,
}

/// Records that an endpoint of a service has stated how many requests it can reject; returns whether that is news about
/// the service.
pub fn observe(node: &Node, id: &Name, max_rejections: Option<u32>, source: &'static str) -> bool {
    let Some(max_rejections) = max_rejections else {
        return false;
    };
    let view = node.fleet.view.load();
    let Some(endpoint) = view.all.get(id) else {
        return false;
    };
    let service = &endpoint.entry.service;
    let known = node.rooms.max_rejections(service);
    if known.is_some_and(|known| known <= max_rejections) {
        return false;
    }
    let belief = Belief {
        max_rejections,
        supported_at: node.now(),
    };
    node.rooms.beliefs.rcu(|beliefs| {
        let mut beliefs = HashMap::clone(beliefs);
        beliefs.insert(service.clone(), belief);
        beliefs
    });
    spdlog::info!("endpoints: few rejections", kv: {
        service: = service,
        endpoint: = id,
        max_rejections,
        before = known.map_or(-1, i64::from),
        source,
    });
    true
}

/// A belief with the time up to which statements support it; `None` if they have withdrawn it.
pub(super) fn supported(
    node: &Node,
    service: &Name,
    belief: Belief,
    now: Duration,
) -> Option<Belief> {
    let view = node.fleet.view.load();
    let statements = node.statements.lock();
    let endpoints = view.all.values().filter(|it| it.entry.service == *service);
    let stated = endpoints.filter_map(|it| statements.max_rejections(&it.entry.id, now));
    let stated: Vec<Option<u32>> = stated.collect();
    if let Some(least) = stated.iter().flatten().min() {
        return Some(Belief {
            max_rejections: *least,
            supported_at: now,
        });
    }
    let lingers = stated.is_empty() && belief.supported_at + LINGER_TIME > now;
    lingers.then_some(belief)
}
