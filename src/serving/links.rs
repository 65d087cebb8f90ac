//! Watches this daemon's links to the endpoints, and probes a few of them while it is not known whether the links are lost.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http::Request;
use http_body_util::Full;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::server::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use parking_lot::Mutex;
use rand::seq::{IndexedRandom, SliceRandom};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::endpoint::{Endpoint, View};
use super::peers::source::Slot;
use super::{Node, pace, starts};
use crate::coordination::links::{Change, Links, Probe};
use crate::coordination::pace::Cause;
use crate::state::catalog::Service;
use crate::state::record::Name;
use crate::transport::exchange::Error;

/// Number of endpoints probed in a round.
const PROBES: usize = 4;

/// Timeout of a probe's connection, and of an engine's report.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);

/// Timeout of the response to a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a connection without a request must stay open to count.
const RESET_WAIT: Duration = Duration::from_millis(50);

/// Interval of checks whether a suspicion has been decided, and their time.
const KNOWN_INTERVAL: Duration = Duration::from_millis(10);
const MAX_SUSPICION: Duration = Duration::from_millis(800);

/// Timeout of a peer's response to the question whether an endpoint refuses connections.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);

/// Name of the RPC method.
const METHOD: &str = "refuses";

/// What this daemon knows about its links.
#[derive(Debug, Default)]
pub struct Monitor {
    links: Mutex<Links>,
    /// Notified when the links become suspected.
    suspected: Notify,
}

impl Monitor {
    /// Records that an endpoint could not be reached, or reset a connection.
    pub fn failed(&self, endpoint: &Name, now: Duration) {
        self.record(now, |links| links.failed(endpoint, now));
    }

    /// Records that an endpoint has not responded to a request that was sent at `sent_at`.
    pub fn silent(&self, endpoint: &Name, sent_at: Duration, now: Duration) {
        self.record(now, |links| links.silent(endpoint, sent_at, now));
    }

    fn record(&self, now: Duration, observation: impl FnOnce(&mut Links)) {
        let mut links = self.links.lock();
        observation(&mut links);
        if links.is_suspected(now) && !links.is_lost() {
            self.suspected.notify_one();
        }
    }

    /// Records a response, or a part of one, to a caller's request.
    pub fn answered(&self, now: Duration) {
        self.links.lock().answered(now);
    }

    /// Whether the links are lost, or not yet all back.
    pub fn is_lost(&self) -> bool {
        self.links.lock().is_lost()
    }

    /// Time for which the links have been lost; zero if they are not.
    pub fn lost_for(&self, now: Duration) -> Duration {
        self.links.lock().lost_for(now)
    }

    /// Share of the requests that are sent to endpoints without regard to kept connections.
    pub fn direct_share(&self) -> f64 {
        self.links.lock().direct_share()
    }

    /// Whether connections that were opened before the links were lost still work.
    pub fn has_kept(&self, now: Duration) -> bool {
        self.links.lock().has_kept(now)
    }

    /// Whether requests in flight are at endpoints, as opposed to links on which they hang.
    pub fn carries_flights(&self, now: Duration) -> bool {
        let links = self.links.lock();
        !links.is_lost() || links.has_kept(now)
    }

    /// Whether the links may be lost.
    pub fn is_suspected(&self, now: Duration) -> bool {
        self.links.lock().is_suspected(now)
    }
}

/// Whether an endpoint that refuses this daemon's connections also refuses those of another daemon. Without a daemon that can
/// tell, it is taken to do so unless this daemon's links are lost.
pub async fn is_refused_elsewhere(node: &Node, endpoint: &Endpoint) -> bool {
    let now = node.now();
    let (peers, _) = node.peers.with_links(&node.settings, now);
    let peer = peers.choose(&mut rand::rng());
    let call_address = peer.and_then(|peer| node.peers.call_address(&peer.candidate.name));
    let id = &endpoint.entry.id;
    let told = match call_address {
        Some(address) => {
            let call = node
                .calls
                .call::<_, Option<bool>>(address, METHOD, id, CALL_TIMEOUT);
            call.await.ok().flatten()
        }
        None => None,
    };
    let is_refused = match told {
        Some(told) => told,
        None => !is_lost_after_all(node).await,
    };
    node.journal.line(|| {
        spdlog::info!("links: endpoint refuses connections", kv: {
            endpoint: = id,
            peer: = peer.map_or("-", |peer| &*peer.candidate.name),
            told:? = told,
            is_refused,
        });
    });
    is_refused
}

/// Whether the links are lost, as soon as that is known.
async fn is_lost_after_all(node: &Node) -> bool {
    let known = async {
        while node.links.is_suspected(node.now()) && !node.links.is_lost() {
            sleep(KNOWN_INTERVAL).await;
        }
    };
    let _ = timeout(MAX_SUSPICION, known).await;
    node.links.is_lost()
}

/// Whether an endpoint refuses connections of this daemon; `None` if that can't be told.
async fn is_refused(node: &Node, endpoint: &Name) -> Option<bool> {
    let endpoint = node.fleet.view.load().all.get(endpoint)?.clone();
    match starts::connect(node, &endpoint, PROBE_TIMEOUT).await {
        Ok(_) => Some(false),
        Err(error) if error.is_refused() => (!is_lost_after_all(node).await).then_some(true),
        Err(_) => None,
    }
}

/// Adds the method with which peers ask whether an endpoint refuses connections.
///
/// # Errors
/// When the module has a method of that name.
pub fn register(module: &mut RpcModule<Slot>) -> Result<(), RegisterMethodError> {
    let method = module.register_async_method(METHOD, |params, slot, _| async move {
        let endpoint: Name = params.one()?;
        let refused = match slot.get() {
            Some(node) => is_refused(node, &endpoint).await,
            None => None,
        };
        Ok::<_, ErrorObjectOwned>(refused)
    });
    method.map(drop)
}

/// Probes endpoints while the links are suspected or lost, until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let task = async {
        loop {
            let next = node.links.links.lock().next_round(node.now());
            match next {
                None => node.links.suspected.notified().await,
                Some(at) => {
                    sleep(at.saturating_sub(node.now())).await;
                    probe_round(&node).await;
                }
            }
        }
    };
    node.until_stopped(task).await;
}

async fn probe_round(node: &Node) {
    let endpoints = sample(&node.fleet.view.load());
    let services = endpoints
        .iter()
        .map(|endpoint| node.fleet.service(&endpoint.entry));
    let services: Vec<Option<Arc<Service>>> = services.collect();
    // Engines answer at once; health checks wait for a slot.
    let has_engine = services.iter().flatten().any(|it| it.engine.is_some());
    let probes = endpoints.iter().zip(&services).map(|(endpoint, service)| {
        let service = service.as_ref();
        let check = service.and_then(|service| check(node, endpoint, service, has_engine));
        probe(node, endpoint, check)
    });
    let probes = join_all(probes).await;
    node.meter.link_probes.inc_by(probes.len() as u64);
    let now = node.now();
    let (change, failed) = {
        let mut links = node.links.links.lock();
        let failed = links.failed_count(now);
        (links.probed(&probes, now), failed)
    };
    let Some(change) = change else {
        return;
    };
    absolve(node, now);
    if change != Change::Lost {
        pace::begin_all(node, Cause::Links);
    }
    node.meter.links_lost.set(i64::from(node.links.is_lost()));
    let ids = endpoints.iter().map(|endpoint| &*endpoint.entry.id);
    let ids = ids.collect::<Vec<_>>().join(",");
    match change {
        Change::Lost => {
            spdlog::warn!("links: lost", kv: { failed, probed: = ids, results:? = probes });
        }
        Change::Returning => {
            spdlog::info!("links: returning", kv: { probed: = ids, results:? = probes });
        }
        Change::Back => spdlog::info!("links: back", kv: { probed: = ids, results:? = probes }),
    }
}

/// Forgets the failures of all endpoints, which were those of the links.
fn absolve(node: &Node, now: Duration) {
    let view = node.fleet.view.load();
    for endpoint in view.all.values() {
        endpoint.tracker.lock().health.absolve(now);
    }
}

/// Endpoints for a round of probes: of all services in turn, and of different availability zones where there are.
fn sample(view: &View) -> Vec<Endpoint> {
    let mut rng = rand::rng();
    let mut services: Vec<&Vec<Endpoint>> = view.services.values().collect();
    services.shuffle(&mut rng);
    let mut picked: Vec<Endpoint> = Vec::new();
    for _ in 0..PROBES {
        for endpoints in &services {
            let is_picked = |id: &Name| picked.iter().any(|it| it.entry.id == *id);
            let others = endpoints.iter().filter(|it| !is_picked(&it.entry.id));
            let others: Vec<&Endpoint> = others.collect();
            let is_new = |zone: &Name| picked.iter().all(|it| it.entry.zone != *zone);
            let elsewhere = others.iter().filter(|it| is_new(&it.entry.zone));
            let elsewhere: Vec<&&Endpoint> = elsewhere.collect();
            let chosen = match elsewhere.choose(&mut rng) {
                Some(endpoint) => Some(**endpoint),
                None => others.choose(&mut rng).copied(),
            };
            picked.extend(chosen.cloned());
            if picked.len() == PROBES {
                return picked;
            }
        }
    }
    picked
}

/// A request to an endpoint and the timeout of its response.
type Check = (Request<Full<Bytes>>, Duration);

/// What an endpoint is asked in a round of probes; `None` if opening a connection has to do.
fn check(node: &Node, endpoint: &Endpoint, service: &Service, has_engine: bool) -> Option<Check> {
    let entry = &endpoint.entry;
    match (&service.engine, &service.health_target) {
        (Some(_), _) => Some(((node.codec.ask_report)(entry), PROBE_TIMEOUT)),
        (None, Some(target)) if !has_engine => {
            Some(((node.codec.ask_health)(target, entry), HEALTH_TIMEOUT))
        }
        (None, _) => None,
    }
}

/// Opens a connection to an endpoint and sends it a request, if there is one.
async fn probe(node: &Node, endpoint: &Endpoint, check: Option<Check>) -> Probe {
    let Ok(mut connection) = starts::connect(node, endpoint, PROBE_TIMEOUT).await else {
        return Probe::Unreachable;
    };
    let Some((request, timeout)) = check else {
        // A connection that is accepted may be reset at once.
        sleep(RESET_WAIT).await;
        return match connection.is_ready() {
            true => Probe::Connected,
            false => Probe::Unreachable,
        };
    };
    match connection.fetch(request, timeout).await {
        Ok(response) => {
            let (parts, _) = response.into_parts();
            starts::stated(node, endpoint, &(node.codec.head)(&parts));
            Probe::Answered
        }
        Err(Error::Timeout) => Probe::Silent,
        Err(_) => Probe::Unreachable,
    }
}
