//! Records what endpoints state about themselves in their responses, tells peers, and keeps to it.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::endpoint::Endpoint;
use super::{Node, jitter, peers, placer, room};
use crate::coordination::statement::{Content, Report, Settled};
use crate::protocol::digest::{Body, Subject};
use crate::state::call::Head;
use crate::state::record::Name;

/// Shortest time for which an endpoint that takes no more requests is excluded.
const MIN_EXCLUSION: Duration = Duration::from_millis(10);

/// Longest time for which an endpoint that takes no more requests is excluded; its limit may change at any time.
const MAX_EXCLUSION: Duration = Duration::from_millis(250);

/// Time for which a dispute about an endpoint is left to responses to callers' requests, in a small fleet; its end then
/// tells the other daemons, too.
const ASK_DELAY: Duration = Duration::from_millis(100);

/// Records what the head of an endpoint's response states.
pub fn observe(node: &Node, endpoint: &Endpoint, head: &Head) {
    let entry = &endpoint.entry;
    let is_another = head.endpoint.as_ref().is_some_and(|id| *id != entry.id);
    if is_another {
        return;
    }
    let (content, started_ms, now) = (head.statement, entry.started_ms, node.now());
    {
        let mut state = endpoint.tracker.lock();
        state.leaving |= content.leaving;
        if let Some(quiet) = head.quiet {
            state.quiet_until = state.quiet_until.max(now + quiet);
        }
    }
    let is_news = {
        let mut statements = node.statements.lock();
        statements.observe(&entry.id, started_ms, content, now)
    };
    let is_room_news = room::belief::observe(node, &entry.id, content.max_rejections, "response");
    if is_news {
        apply_news(node, &entry.id, content, "response");
    }
    if is_news || is_room_news {
        let report = Report {
            endpoint: entry.id.clone(),
            started_ms,
            content,
            age_millis: 0,
        };
        peers::broadcast(node, Body::Stated(vec![report]));
    }
}

/// Adopts what a peer has heard.
pub fn adopt(node: &Node, reports: &[Report], now: Duration) {
    for report in reports {
        let is_news = node.statements.lock().adopt(report, now);
        if is_news {
            apply_news(node, &report.endpoint, report.content, "peer");
        }
        let stated = node.statements.lock().max_rejections(&report.endpoint, now);
        room::belief::observe(node, &report.endpoint, stated.flatten(), "peer");
    }
    mark_leaving(node);
}

/// Takes endpoints out of use that have said to this daemon or a peer that they leave, also those that have become known
/// since.
fn mark_leaving(node: &Node) {
    let view = node.fleet.view.load();
    let statements = node.statements.lock();
    for id in statements.leaving() {
        let Some(endpoint) = view.all.get(id) else {
            continue;
        };
        if statements.is_leaving(id, endpoint.entry.started_ms) {
            endpoint.tracker.lock().leaving = true;
        }
    }
}

/// Takes one request of what an endpoint takes; if it takes no more now, returns false and excludes the endpoint until it
/// is expected to.
pub async fn reserve(node: &Node, endpoint: &Endpoint) -> bool {
    let id = &endpoint.entry.id;
    let rate_limit = node.statements.lock().rate_limit(id);
    let Some(rate_limit) = rate_limit else {
        return true;
    };
    let Err(wait) = node.limits.take_endpoint(node, id, rate_limit).await else {
        return true;
    };
    if node.statements.lock().rate_limit(id).is_none() {
        // It was withdrawn while a home was asked.
        return true;
    }
    if !is_engine(node, endpoint) && takes_question(node, id) {
        return true;
    }
    let wait = wait.clamp(MIN_EXCLUSION, MAX_EXCLUSION);
    endpoint.tracker.lock().limited_until = node.now() + wait;
    node.meter.limited.inc();
    node.journal.line(|| {
        spdlog::info!("endpoints: limit reached", kv: {
            endpoint: = id,
            per_second = rate_limit,
            excluded_ms = wait.as_millis() as u64,
        });
    });
    false
}

/// Whether a request is to ask an endpoint that can't be asked in another way, since statements about it contradict each
/// other; with one that no home knows of, no request would be sent.
fn takes_question(node: &Node, id: &Name) -> bool {
    let mut statements = node.statements.lock();
    let due = statements.due(ask_delay(node), node.now(), |it| it == id);
    !due.is_empty()
}

fn is_engine(node: &Node, endpoint: &Endpoint) -> bool {
    let service = node.fleet.service(&endpoint.entry);
    service.is_some_and(|service| service.engine.is_some())
}

fn ask_delay(node: &Node) -> Duration {
    ASK_DELAY * node.peers.interval_factor()
}

/// Asks engines about which statements contradict each other, until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let task = async {
        loop {
            // In a large fleet, the first answer reaches the others before they ask.
            sleep(jitter(ask_delay(&node))).await;
            let view = node.fleet.view.load_full();
            let can_be_asked = |id: &Name| {
                let endpoint = view.all.get(id);
                endpoint.is_some_and(|endpoint| is_engine(&node, endpoint))
            };
            let (due, settled) = {
                let mut statements = node.statements.lock();
                let due = statements.due(ask_delay(&node), node.now(), can_be_asked);
                (due, statements.take_settled())
            };
            for settled in settled {
                log_settled(&node, &settled);
            }
            for id in due {
                tokio::spawn(ask(node.clone(), id));
            }
        }
    };
    node.until_stopped(task).await;
}

/// Asks an engine for its report, whose head states what holds, and tells peers if that settles the dispute.
async fn ask(node: Arc<Node>, id: Name) {
    placer::fetch_report(&node, &id).await;
    let report = {
        let statements = node.statements.lock();
        if statements.is_disputed(&id) {
            return;
        }
        let mut reports = statements.reports(node.now()).into_iter();
        reports.find(|report| report.endpoint == id)
    };
    if let Some(report) = report {
        peers::broadcast(&node, Body::Stated(vec![report]));
    }
}

fn log_settled(node: &Node, settled: &Settled) {
    let dispute = &settled.dispute;
    let took = settled.ended_at.saturating_sub(dispute.since);
    node.journal.line(|| {
        spdlog::info!("endpoints: statements contradicted", kv: {
            endpoint: = settled.endpoint,
            known:? = dispute.known.0,
            known_age_ms = dispute.known.1,
            other:? = dispute.other.0,
            other_age_ms = dispute.other.1,
            settled:? = settled.content,
            took_ms = took.as_millis() as u64,
            asked = dispute.asked_at.is_some(),
            source = if settled.is_own { "response" } else { "peer" },
        });
    });
}

/// Returns a request that was reserved and not sent.
pub fn release(node: &Node, endpoint: &Endpoint) {
    let subject = Subject::Endpoint(endpoint.entry.id.clone());
    node.limits.returned(node, &subject, 1.0);
}

/// Forgets endpoints that are gone and limits that were withdrawn long ago.
pub fn sweep(node: &Node, now: Duration) {
    let view = node.fleet.view.load();
    let limited = {
        let mut statements = node.statements.lock();
        statements.prune(|endpoint| view.all.contains_key(endpoint), now);
        statements.limited()
    };
    node.meter.limited_endpoints.set(limited as i64);
    node.limits.prune(node);
    mark_leaving(node);
}

/// Logs a statement that differs from the one before, and ends an exclusion under the limit before.
fn apply_news(node: &Node, endpoint: &Name, content: Content, source: &'static str) {
    if let Some(tracker) = node.fleet.tracker(endpoint) {
        tracker.lock().limited_until = Duration::ZERO;
    }
    spdlog::info!("endpoints: stated", kv: {
        endpoint: = endpoint,
        limit_per_second = content.rate_limit.unwrap_or(-1.0),
        leaving = content.leaving,
        source,
    });
}
