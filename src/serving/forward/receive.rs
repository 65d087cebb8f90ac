//! Takes requests of other daemons that have lost their links to the endpoints.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use super::{Forwards, catchup};
use crate::protocol::hop::{self, Outcome, Versions};
use crate::serving::admit::{Hop, Refusal};
use crate::serving::meter::Handover;
use crate::serving::relay::{Body, refusal_response};
use crate::serving::send::FULL_PAUSE;
use crate::serving::{Node, accept};
use crate::state::record::Name;

/// Requests of other daemons in flight at once for each core of the instance.
const MAX_PER_CORE: f64 = 2000.0;

/// Minimum number of requests of other daemons in flight at once.
const MIN_CAPACITY: usize = 64;

/// Counts a request of another daemon as in flight until it is dropped.
#[derive(Debug)]
pub struct Slot {
    received: Arc<AtomicUsize>,
}

impl Slot {
    /// Takes a slot, if there are fewer than `capacity` in use.
    fn take(forwards: &Forwards, capacity: usize) -> Option<Self> {
        let received = forwards.received.clone();
        let count = |count: usize| (count < capacity).then_some(count + 1);
        let taken = received.fetch_update(Ordering::Relaxed, Ordering::Relaxed, count);
        taken.is_ok().then(|| Self { received })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.received.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers a request of another daemon. It is not handed over again.
pub async fn handle(node: &Arc<Node>, mut request: Request<Incoming>) -> Response<Body> {
    let arrived = node.now();
    let Some(attempts) = hop::take_attempts(request.headers_mut()) else {
        let refusal = Refusal::invalid(StatusCode::BAD_REQUEST, "not_handed_over");
        return refuse(node, &refusal, Outcome::NotRun);
    };
    let sender = hop::take_sender(request.headers_mut());
    let slot = match node.is_ready() && !node.links.is_lost() {
        true => Slot::take(&node.forwards, capacity(node)),
        false => None,
    };
    // The body is read in any case, so that the connection can be reused.
    let body = accept::read_body(node, request).await;
    let Some(slot) = slot else {
        let refusal = Refusal::busy("no_room_for_peers", FULL_PAUSE);
        return refuse(node, &refusal, Outcome::Busy);
    };
    if let Some((name, versions)) = &sender
        && !decides_alike(node, name, versions).await
    {
        let refusal = Refusal::busy("versions_differ", FULL_PAUSE);
        let mut response = refuse(node, &refusal, Outcome::Busy);
        hop::set_versions(&mut response, &node.fleet.in_force());
        return response;
    }
    let hop = Hop {
        attempts,
        slot: Arc::new(slot),
    };
    let mut response = match body {
        Ok((parts, body)) => accept::dispatch(node, parts, body, arrived, Some(hop)).await,
        // Another daemon may have the memory.
        Err(refusal) if refusal.retry_after.is_some() => {
            return refuse(node, &refusal, Outcome::Busy);
        }
        Err(refusal) => refuse(node, &refusal, Outcome::NotRun),
    };
    let outcome = response.extensions().get::<Outcome>();
    let outcome = match outcome.copied().unwrap_or(Outcome::Answered) {
        // The links were lost meanwhile, and another daemon may have them.
        Outcome::NotRun if node.links.is_lost() => Outcome::Busy,
        outcome => outcome,
    };
    count(node, outcome);
    hop::set_outcome(&mut response, outcome);
    response
}

/// Whether this daemon has all that the sender of a request has in force, and no newer configuration. One that it lacks is got
/// first; a newer one would be undone by the requests that the sender decides on itself.
async fn decides_alike(node: &Arc<Node>, sender: &Name, versions: &Versions) -> bool {
    catchup::catch_up(node, sender, versions).await
        && node.fleet.catalog_version() <= versions.catalog
}

/// Number of other daemons' requests that this daemon takes at once.
fn capacity(node: &Node) -> usize {
    ((node.settings.cores * MAX_PER_CORE) as usize).max(MIN_CAPACITY)
}

fn refuse(node: &Node, refusal: &Refusal, outcome: Outcome) -> Response<Body> {
    count(node, outcome);
    let mut response = refusal_response(refusal);
    hop::set_outcome(&mut response, outcome);
    response
}

fn count(node: &Node, outcome: Outcome) {
    let outcome = outcome.name();
    let label = Handover { outcome };
    node.meter.received.get_or_create(&label).inc();
}
