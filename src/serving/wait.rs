//! Requests that wait for a place at an endpoint that must not be made to reject requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use super::Node;
use super::room;
use crate::coordination::room::expected_wait;
use crate::state::record::Name;

/// Weight of one request in the average time for which a place is held.
const HELD_WEIGHT: f64 = 0.1;

/// Requests of one service that wait, and how soon places become free.
#[derive(Debug, Default)]
struct Line {
    waiting: u32,
    /// Average time for which a place is held; zero if it is not known.
    held: Duration,
}

/// Requests of all services that wait.
#[derive(Debug, Default)]
pub struct Lines {
    services: Mutex<HashMap<Name, Line>>,
}

impl Lines {
    /// Records that a place at an endpoint of a service was given up after it had been held for some time.
    pub fn released(&self, service: &Name, held: Duration) {
        self.with(service, |line| {
            line.held = match line.held {
                Duration::ZERO => held,
                before => before.mul_f64(1.0 - HELD_WEIGHT) + held.mul_f64(HELD_WEIGHT),
            };
        });
    }

    /// Average time for which requests of a service hold a place; zero if it is not known.
    pub fn held(&self, service: &str) -> Duration {
        let services = self.services.lock();
        services
            .get(service)
            .map_or(Duration::ZERO, |line| line.held)
    }

    fn with<T>(&self, service: &Name, change: impl FnOnce(&mut Line) -> T) -> T {
        let mut services = self.services.lock();
        change(services.entry(service.clone()).or_default())
    }
}

/// A request that waits until this is dropped.
#[derive(Debug)]
pub struct Waiting {
    node: Arc<Node>,
    service: Name,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.node
            .lines
            .with(&self.service, |line| line.waiting -= 1);
    }
}

/// Lets a request wait for a place if it is expected to get one within `max_wait`.
pub fn enter(node: &Arc<Node>, service: &Name, max_wait: Duration) -> Option<Waiting> {
    let (daemons, places) = (node.peers.count(), room::places(node, service));
    let (expected, waiting) = node.lines.with(service, |line| {
        let expected = expected_wait(line.waiting, daemons, places, line.held);
        line.waiting += u32::from(expected <= max_wait);
        (expected, line.waiting)
    });
    if expected > max_wait {
        node.journal.line(|| {
            spdlog::info!("rooms: too many wait", kv: {
                service: = service,
                waiting,
                places,
                expected_ms = expected.as_millis() as u64,
            });
        });
        return None;
    }
    Some(Waiting {
        node: node.clone(),
        service: service.clone(),
    })
}
