//! Infers starts of endpoints that their entries have not told of, so that a cold endpoint gets no more than it takes.

use std::time::Duration;

use super::Node;
use super::endpoint::Endpoint;
use super::feed::{self, Table};
use super::meter::Inferred;
use crate::state::call::Head;
use crate::transport::exchange::{Connection, Error};

/// Connects to an endpoint within a timeout, and records what that shows of its process. All connections to endpoints are
/// opened here, as any of them may be used for a request later.
///
/// # Errors
/// As those of [`Connection::connect`].
pub async fn connect(
    node: &Node,
    endpoint: &Endpoint,
    within: Duration,
) -> Result<Connection, Error> {
    let result = Connection::connect(endpoint.entry.address, within).await;
    let service = node.fleet.service(&endpoint.entry);
    let Some(service) = service.filter(|service| service.has_cold_limit()) else {
        return result;
    };
    match &result {
        Ok(_) => connected(node, endpoint, service.cold_time),
        Err(error) if error.is_refused() => {
            let now = node.boot_now();
            endpoint.tracker.lock().cold_start.refused(now);
        }
        Err(_) => {}
    }
    result
}

fn connected(node: &Node, endpoint: &Endpoint, cold_time: Duration) {
    let now = node.boot_now();
    let (proven_at, max_gap) = feed::proven(node, Table::Endpoints, now);
    let start = {
        let mut state = endpoint.tracker.lock();
        let cold_start = &mut state.cold_start;
        cold_start.connected(proven_at, max_gap, cold_time, now)
    };
    let Some(start) = start else {
        return;
    };
    let cause = start.cause.name();
    let label = Inferred { cause };
    node.meter.inferred_starts.get_or_create(&label).inc();
    spdlog::info!("endpoints: taken to have started", kv: {
        endpoint: = endpoint.entry.id,
        cause,
        known_age_ms = now.saturating_sub(start.after).as_millis() as u64,
        table_age_ms = now.saturating_sub(proven_at).as_millis() as u64,
        cold_ms = cold_time.as_millis() as u64,
    });
}

/// Records a response to a request that was sent `elapsed` ago on a connection to an endpoint.
pub fn responded(node: &Node, endpoint: &Endpoint, connection: &Connection, elapsed: Duration) {
    let now = node.boot_now();
    let opened_at = now.saturating_sub(connection.age());
    let sent_at = now.saturating_sub(elapsed);
    let start = {
        let mut state = endpoint.tracker.lock();
        state.cold_start.responded(opened_at, sent_at)
    };
    if let Some(start) = start {
        spdlog::info!("endpoints: has not started", kv: {
            endpoint: = endpoint.entry.id,
            cause = start.cause.name(),
            believed_ms = now.saturating_sub(start.accepted_at).as_millis() as u64,
        });
    }
}

/// Adopts what an endpoint's response to a health check states of whether it is cold.
pub fn stated(node: &Node, endpoint: &Endpoint, head: &Head) {
    let entry = &endpoint.entry;
    let is_own = head.endpoint.as_ref().is_some_and(|id| *id == entry.id);
    let Some(left) = head.cold.filter(|_| is_own) else {
        return;
    };
    let now = node.now();
    let was_cold = {
        let mut state = endpoint.tracker.lock();
        let was_cold = state.cold_start.has_start() || now < state.cold_until;
        state.cold_start.stated(node.boot_now());
        state.cold_until = now + left;
        was_cold
    };
    if was_cold || !left.is_zero() {
        spdlog::info!("endpoints: stated to be cold", kv: {
            endpoint: = entry.id,
            cold_ms = left.as_millis() as u64,
            was_cold,
        });
    }
}
