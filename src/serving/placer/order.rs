//! Sends orders to engines and reads their reports.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::finish_change;
use crate::protocol::connection::keep_alive;
use crate::serving::Node;
use crate::serving::codec::{Operation, Order, Outcome, Report};
use crate::serving::endpoint::Endpoint;
use crate::serving::engine::Handle;
use crate::serving::{starts, statement};
use crate::state::record::Name;
use crate::transport::exchange::Connection;

/// Timeout of one request for an order or a report.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// Attempts to send an unanswered order; all expect the same sequence number, so at most one is applied.
const MAX_ORDER_ATTEMPTS: u32 = 8;

/// Delay before an unanswered order is sent again.
pub const RESEND_DELAY: Duration = Duration::from_millis(150);

/// Maximum age of an engine's report.
const MAX_REPORT_AGE: Duration = Duration::from_millis(400);

/// Fetches an engine's report and records it in the inventory.
pub async fn read_report(node: Arc<Node>, handle: Handle) {
    let back_off = match fetch_report(&node, &handle.engine).await {
        Some(report) => {
            node.placer
                .inventory
                .lock()
                .read(&handle, report, node.now());
            false
        }
        None => true,
    };
    finish_change(&node, &handle, back_off);
}

/// Fetches an engine's report.
pub async fn fetch_report(node: &Node, id: &Name) -> Option<Report> {
    let view = node.fleet.view.load_full();
    let endpoint = view.all.get(id)?;
    let entry = &endpoint.entry;
    node.meter.reports.inc();
    let request = (node.codec.ask_report)(entry);
    let mut connection = match node.pool.take_for_unnamed(id) {
        Some(connection) => connection,
        None => connect(node, endpoint).await?,
    };
    let is_reused = connection.is_used();
    let response = connection
        .fetch_within(request, ORDER_TIMEOUT, &node.memory)
        .await
        .ok()?;
    let (parts, body) = response.into_parts();
    let head = (node.codec.head)(&parts);
    let is_foreign = head.id.is_some() || head.signed;
    let report = match is_foreign {
        true => None,
        false => {
            statement::observe(node, endpoint, &head);
            (node.codec.report)(&body)
        }
    };
    let Some(report) = report else {
        // The report may still arrive on this connection.
        spdlog::info!("placer: response is no report", kv: {
            engine: = id,
            status = parts.status.as_u16(),
            id: = head.id.as_deref().unwrap_or("-"),
            reused = is_reused,
        });
        return None;
    };
    let reusable = keep_alive(parts.version, &parts.headers);
    node.pool_connection(id, connection, reusable);
    Some(report)
}

async fn connect(node: &Node, endpoint: &Endpoint) -> Option<Connection> {
    node.meter.connects.inc();
    starts::connect(node, endpoint, ORDER_TIMEOUT).await.ok()
}

/// Sends an order until it is answered, the attempts or the lease end, or the engine is gone or has restarted.
pub async fn send_order(
    node: &Node,
    handle: &Handle,
    operation: Operation,
    model: &Name,
    adapter: Option<&Name>,
) -> Option<Outcome> {
    let id = &handle.engine;
    let (expected, started_ms) = {
        let mut inventory = node.placer.inventory.lock();
        let state = inventory.engine_mut(handle)?;
        (state.sequence?, state.started_ms)
    };
    let order = Order {
        operation,
        model: model.clone(),
        adapter: adapter.cloned(),
        expected,
        holder: node.settings.name.clone(),
        fence: node.placer.leadership.lock().fence,
    };
    for attempt in 0..MAX_ORDER_ATTEMPTS {
        let view = node.fleet.view.load_full();
        let endpoint = view.all.get(id)?;
        let entry = &endpoint.entry;
        if entry.started_ms != started_ms
            || node.placer.inventory.lock().engine_mut(handle).is_none()
        {
            return None;
        }
        // Responses to orders name no request: on a connection that was used, one could be a late copy of another response.
        let Some(mut connection) = connect(node, endpoint).await else {
            sleep(RESEND_DELAY).await;
            continue;
        };
        if !node.placer.may_order(node) {
            return None;
        }
        node.meter.orders.inc();
        let request = (node.codec.order)(&order, entry);
        let response = connection
            .fetch_within(request, ORDER_TIMEOUT, &node.memory)
            .await;
        let outcome = match &response {
            Ok(response) => response.status().as_u16().to_string(),
            Err(error) => error.to_string(),
        };
        spdlog::info!("placer: order", kv: {
            engine: = id,
            operation:? = operation,
            model: = model,
            adapter: = adapter.map_or("-", |adapter| adapter),
            expected = expected,
            fence = order.fence,
            copy = attempt,
            outcome: = outcome,
        });
        let Ok(response) = response else {
            sleep(RESEND_DELAY).await;
            continue;
        };
        let (parts, _) = response.into_parts();
        let reusable = keep_alive(parts.version, &parts.headers);
        node.pool_connection(id, connection, reusable);
        let order_outcome = (node.codec.order_outcome)(&parts);
        let unloaded = operation == Operation::Unload && order_outcome == Outcome::Done;
        if order_outcome == Outcome::Accepted || unloaded {
            set_sequence(node, handle, expected.saturating_add(1));
        }
        return Some(order_outcome);
    }
    None
}

fn set_sequence(node: &Node, handle: &Handle, sequence: u64) {
    let mut inventory = node.placer.inventory.lock();
    if let Some(state) = inventory.engine_mut(handle) {
        state.sequence = Some(sequence);
    }
}

/// Reads the report of an engine whose state is uncertain, after waiting until it must reflect the last order.
pub async fn resync(node: &Node, handle: &Handle) {
    sleep(MAX_REPORT_AGE).await;
    let report = fetch_report(node, &handle.engine).await;
    let mut inventory = node.placer.inventory.lock();
    if let Some(state) = inventory.engine_mut(handle) {
        state.sequence = None;
    }
    if let Some(report) = report {
        inventory.read(handle, report, node.now());
    }
}
