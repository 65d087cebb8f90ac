//! Admission of requests: routing, authentication, rate limiting and the deadline.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use rand::RngExt;

use super::Node;
use super::forward::receive::Slot;
use crate::state::call::Call;
use crate::state::catalog::{Catalog, Route, Service, Workspace};

/// `Retry-After` of a daemon that has no configuration yet.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Least urgent priority that endpoints accept.
const LOWEST_PRIORITY: u8 = 9;

/// Number of route priorities within one workspace priority.
const ROUTE_PRIORITIES: u8 = 3;

/// Error response of the daemon itself. One with `retry_after` states that the request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Status code.
    pub status: StatusCode,
    /// Short reason, for logs and metrics.
    pub reason: &'static str,
    /// Time after which the caller should retry.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refuses a request for which a retry is pointless.
    pub fn invalid(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// Refuses a request that may succeed after `retry_after`, with status 503.
    pub fn busy(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after: Some(retry_after),
        }
    }
}

/// A request that another daemon has handed over. That daemon has taken its units and counted it.
#[derive(Debug, Clone)]
pub struct Hop {
    /// Number of endpoints to which the request may be sent.
    pub attempts: u32,
    /// Counts the request as one of another daemon.
    pub slot: Arc<Slot>,
}

/// What was decided on admission of a request.
#[derive(Debug, Clone)]
pub struct Admission {
    /// Route of the request.
    pub route: Arc<Route>,
    /// Service that the request is sent to.
    pub service: Arc<Service>,
    /// Workspace of the caller's key; `None` without a known key.
    pub workspace: Option<Arc<Workspace>>,
    /// Units taken from the workspace's rate limit.
    pub units: f64,
    /// Time of arrival.
    pub arrived: Duration,
    /// Deadline: the caller's timeout or the route's, whichever is earlier.
    pub deadline: Duration,
    /// Priority sent to endpoints; 0 is the most urgent.
    pub priority: u8,
    /// Set if another daemon has handed the request over.
    pub hop: Option<Hop>,
}

impl Admission {
    /// Name that identifies the caller: that of its workspace, or an empty one.
    pub fn caller(&self) -> &str {
        self.workspace.as_ref().map_or("", |it| &it.name)
    }
}

/// Admits a call that arrived at `arrived`; `hop` is set if another daemon has handed it over.
///
/// # Errors
/// A [`Refusal`]; nothing was taken from any rate limit.
pub async fn admit(
    node: &Node,
    call: &Call,
    arrived: Duration,
    hop: Option<Hop>,
) -> Result<Admission, Refusal> {
    let catalog = node.fleet.catalog.load_full();
    let Some(catalog) = catalog.filter(|_| node.peers.is_listed()) else {
        return Err(Refusal::busy("no_configuration", UNCONFIGURED_RETRY_AFTER));
    };
    let route = catalog.route(&call.host, call.path());
    let not_found = || Refusal::invalid(StatusCode::NOT_FOUND, "no_route");
    let route = route.ok_or_else(not_found)?.clone();
    let workspace = authenticate(&catalog, &route, call)?;
    let service = route.service(rand::rng().random());
    let service = service.and_then(|name| catalog.services.get(name));
    let service = service.ok_or_else(not_found)?.clone();
    let time_limit = call.time_left.unwrap_or(route.timeout).min(route.timeout);
    if node.left_to_serve().is_some_and(|left| left < time_limit)
        && (node.closing.is_cancelled() || !route.kind.is_repeatable())
    {
        // It might be cut off at an endpoint; other daemons have the time.
        return Err(Refusal::busy("shutting_down", Duration::ZERO));
    }
    let mut taken = 0.0;
    if let (Some(workspace), None) = (&workspace, &hop) {
        taken = units(workspace, call);
        node.limits.take(node, workspace, call, taken).await?;
    }
    Ok(Admission {
        priority: priority(workspace.as_deref(), &route),
        route: limit_attempts(route, hop.as_ref()),
        service,
        workspace,
        units: taken,
        arrived,
        deadline: arrived + time_limit,
        hop,
    })
}

/// The route, with no more attempts than the daemon that has handed the request over has left.
fn limit_attempts(route: Arc<Route>, hop: Option<&Hop>) -> Arc<Route> {
    match hop.filter(|hop| hop.attempts < route.attempts) {
        Some(hop) => Arc::new(Route {
            attempts: hop.attempts,
            ..(*route).clone()
        }),
        None => route,
    }
}

fn authenticate(
    catalog: &Catalog,
    route: &Route,
    call: &Call,
) -> Result<Option<Arc<Workspace>>, Refusal> {
    let workspace = call.key.as_ref().and_then(|key| catalog.keys.get(key));
    if workspace.is_none() && !route.public && !catalog.workspaces.is_empty() {
        return Err(Refusal::invalid(StatusCode::UNAUTHORIZED, "unknown_key"));
    }
    Ok(workspace.cloned())
}

fn units(workspace: &Workspace, call: &Call) -> f64 {
    match workspace.counts_tokens {
        true => call.tokens().unwrap_or(workspace.default_tokens) as f64,
        false => 1.0,
    }
}

/// Priority at endpoints: ordered by the workspace's priority, then by the route's.
fn priority(workspace: Option<&Workspace>, route: &Route) -> u8 {
    let route_priority = route.priority.min(ROUTE_PRIORITIES - 1);
    match workspace.and_then(|workspace| workspace.priority) {
        Some(priority) => priority
            .saturating_mul(ROUTE_PRIORITIES)
            .saturating_add(route_priority)
            .min(LOWEST_PRIORITY),
        None => route.priority.min(LOWEST_PRIORITY),
    }
}
