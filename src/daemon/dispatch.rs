//! Selects an endpoint for a request and acquires a permit to use it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use rand::seq::{IndexedRandom, SliceRandom};
use tokio_util::sync::CancellationToken;

use super::Node;
use super::admission::{Gates, duty_name};
use super::permit::Holder;
use crate::coordination::gate::Digest;
use crate::coordination::queue::Class;
use crate::coordination::ramp::Outcome;
use crate::coordination::retry::Budget;
use crate::coordination::route::{self, Candidate};
use crate::protocol::permit::{self as wire, Answer, Ask};
use crate::settings::Policy;
use crate::state::config::Config;
use crate::state::decision::Decision;
use crate::state::record::{Endpoint, Kind, Name};

/// Timeout of a permit request to a home daemon, which answers within a second even if the request has to wait.
const ASK_TIMEOUT: Duration = Duration::from_millis(2000);

/// Pause before all endpoints are retried.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for an endpoint with the model while none has it.
const NO_ENDPOINT_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of candidates compared from this zone, and from all others.
const MAX_COMPARED: usize = 3;

/// Age after which an endpoint's load digest is ignored.
const MAX_DIGEST_AGE: Duration = Duration::from_secs(5);

/// Retry hint to callers when no endpoint gave a better one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Requirements of a request.
#[derive(Debug, Clone)]
pub struct Requirements {
    /// Request id.
    pub id: String,
    /// Workspace; `None` on open routes.
    pub workspace: Option<Name>,
    /// Digest of the caller's key, checked again before sending; `None` on open routes.
    pub key: Option<Arc<str>>,
    /// Priority class.
    pub class: Class,
    /// What the endpoint must serve.
    pub target: Target,
    /// Maximum tokens used; the request's cost in fair queues.
    pub tokens: u64,
    /// Prompt text, for prefix affinity.
    pub prompt: String,
    /// Latest time at which the request may start, since the daemon's start.
    pub deadline: Duration,
    /// Endpoints already tried, excluded while others are suitable.
    pub excluded: Vec<Name>,
}

/// What an endpoint must serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// A model, optionally with an adapter.
    Model { model: Name, adapter: Option<Name> },
    /// A plain service.
    Service(Name),
}

/// Why no permit was granted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Short machine-readable reason.
    pub reason: &'static str,
    /// Delay before the caller should retry.
    pub retry_after: Duration,
}

/// Permission to send one request to an endpoint; released on drop.
#[derive(Debug)]
pub struct Permit {
    /// The endpoint.
    pub endpoint: Endpoint,
    lease: Option<Lease>,
}

#[derive(Debug)]
struct Lease {
    holder: Arc<Holder>,
    number: u64,
    home: SocketAddr,
    expired: CancellationToken,
    outcome: Mutex<Outcome>,
}

impl Permit {
    /// Records the outcome of the request, which the home daemon receives when the permit is released.
    pub fn report(&self, outcome: Outcome) {
        if let Some(lease) = &self.lease {
            *lease.outcome.lock() = outcome;
        }
    }

    /// Completes when the lease expires without renewal; the request must then be aborted.
    pub async fn expired(&self) {
        match &self.lease {
            Some(lease) => lease.expired.cancelled().await,
            None => std::future::pending().await,
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(lease) = &self.lease {
            let outcome = *lease.outcome.lock();
            lease
                .holder
                .release(&self.endpoint.name, lease.number, lease.home, outcome);
        }
    }
}

/// A permit request to a home daemon; withdrawn if dropped while pending.
struct Query<'a> {
    holder: &'a Holder,
    endpoint: &'a Name,
    number: u64,
    home: SocketAddr,
    pending: bool,
}

impl Drop for Query<'_> {
    fn drop(&mut self) {
        if self.pending {
            let outcome = Outcome::Unused;
            self.holder
                .release(self.endpoint, self.number, self.home, outcome);
        }
    }
}

enum Reply {
    Granted(Permit),
    Busy(Duration),
    Unusable,
}

/// Selects endpoints and acquires permits.
#[derive(Debug)]
pub struct Dispatcher {
    /// Admission gates of the endpoints that have this daemon as home.
    pub gates: Gates,
    /// Permits held by this daemon.
    pub holder: Arc<Holder>,
    /// Retry budget.
    pub budget: Mutex<Budget>,
    digests: RwLock<HashMap<Name, (Digest, Duration)>>,
}

impl Dispatcher {
    /// Creates the dispatcher of a session.
    pub fn open(session: &str) -> Self {
        Self {
            gates: Gates::default(),
            holder: Arc::new(Holder::open(session)),
            budget: Mutex::default(),
            digests: RwLock::default(),
        }
    }

    /// Stores an endpoint's load digest.
    pub fn store_digest(&self, endpoint: &Name, digest: wire::Digest, now: Duration) {
        let [limit, used, queued, hold_millis] = digest;
        let digest = Digest {
            limit,
            used,
            queued,
            hold_millis,
        };
        let mut digests = self.digests.write();
        digests.insert(endpoint.clone(), (digest, now));
    }

    /// Returns the latest load digest of an endpoint, unless it is too old.
    pub fn digest(&self, endpoint: &str, now: Duration) -> Option<Digest> {
        let digests = self.digests.read();
        let (digest, at) = digests.get(endpoint)?;
        (now.saturating_sub(*at) < MAX_DIGEST_AGE).then_some(*digest)
    }

    /// Waits for a permit to use a suitable endpoint.
    ///
    /// # Errors
    /// Returns a [`Refusal`] if no permit is granted before the deadline.
    pub async fn acquire(
        &self,
        node: &Node,
        requirements: &Requirements,
    ) -> Result<Permit, Refusal> {
        if node.settings.policy == Policy::Naive {
            return pick_random(node, requirements);
        }
        let started = node.now();
        let mut busy: HashMap<Name, Duration> = HashMap::new();
        let mut failed: Vec<Name> = Vec::new();
        loop {
            let config = node.config.load_full();
            if !is_authorized(&config, requirements) {
                return Err(self.refuse(
                    node,
                    requirements,
                    "invalid_api_key",
                    DEFAULT_RETRY_AFTER,
                ));
            }
            let suitable = suitable(node, &config, requirements);
            let untried: Vec<&Endpoint> = suitable
                .iter()
                .copied()
                .filter(|endpoint| !busy.contains_key(&endpoint.name))
                .filter(|endpoint| !failed.contains(&endpoint.name))
                .collect();
            if untried.is_empty() {
                let now = node.now();
                let all_busy =
                    !suitable.is_empty() && suitable.iter().all(|e| busy.contains_key(&e.name));
                if all_busy {
                    let soonest = busy.values().min().copied().unwrap_or(DEFAULT_RETRY_AFTER);
                    return Err(self.refuse(node, requirements, "overloaded", soonest));
                }
                let give_up_at = started + NO_ENDPOINT_TIMEOUT;
                if now >= requirements.deadline || (suitable.is_empty() && now >= give_up_at) {
                    return Err(self.refuse(
                        node,
                        requirements,
                        "no_endpoint",
                        DEFAULT_RETRY_AFTER,
                    ));
                }
                failed.clear();
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            let (endpoint, reason) = self.choose(node, &untried, requirements);
            match self.request_permit(node, endpoint, requirements).await {
                Reply::Granted(permit) => {
                    self.record_decision(
                        node,
                        requirements,
                        suitable.len(),
                        Some(&endpoint.name),
                        &reason,
                    );
                    return Ok(permit);
                }
                Reply::Busy(retry_after) => {
                    busy.insert(endpoint.name.clone(), retry_after);
                }
                Reply::Unusable => failed.push(endpoint.name.clone()),
            }
        }
    }

    fn choose<'a>(
        &self,
        node: &Node,
        endpoints: &[&'a Endpoint],
        requirements: &Requirements,
    ) -> (&'a Endpoint, String) {
        let mut rng = rand::rng();
        let mut order = endpoints.to_vec();
        order.shuffle(&mut rng);
        let same_zone = |endpoint: &&&Endpoint| endpoint.zone == node.settings.zone;
        let local = order.iter().filter(same_zone).take(MAX_COMPARED);
        let remote = order.iter().filter(|e| !same_zone(e)).take(MAX_COMPARED);
        let compared: Vec<&Endpoint> = local.chain(remote).copied().collect();
        let candidates: Vec<Candidate> = compared
            .iter()
            .map(|endpoint| self.candidate(node, endpoint, requirements))
            .collect();
        let time_left = requirements.deadline.saturating_sub(node.now());
        let index = route::choose(&candidates, time_left, 0).unwrap_or_default();
        let choice = &candidates[index];
        let reason = format!(
            "cost={}us near={} adapter={} prefix={} digest={} compared={}",
            choice.cost(),
            choice.near,
            choice.adapter,
            choice.prefix_tokens,
            choice.digest.is_some(),
            compared.len()
        );
        (compared[index], reason)
    }

    fn candidate(
        &self,
        node: &Node,
        endpoint: &Endpoint,
        requirements: &Requirements,
    ) -> Candidate {
        Candidate {
            near: endpoint.zone == node.settings.zone,
            digest: self.digest(&endpoint.name, node.now()),
            cold_slots: endpoint.cold_slots,
            own: self.holder.count(&endpoint.name),
            prefix_tokens: 0,
            adapter: has_adapter(node, endpoint, requirements),
        }
    }

    /// Polls the home daemon of an endpoint until it grants or refuses a permit, or the endpoint is no longer usable.
    async fn request_permit(
        &self,
        node: &Node,
        endpoint: &Endpoint,
        requirements: &Requirements,
    ) -> Reply {
        let zone = Some(&*endpoint.zone);
        let Some(home) = node.membership.home(&duty_name(&endpoint.name), zone) else {
            return Reply::Unusable;
        };
        let mut query = Query {
            holder: &self.holder,
            endpoint: &endpoint.name,
            number: self.holder.next_number(),
            home: home.address,
            pending: true,
        };
        loop {
            let asked_at = node.now();
            let Some(answer) = self.request_permit_once(node, &query, requirements).await else {
                return Reply::Unusable;
            };
            let now = node.now();
            match answer {
                Answer::Granted(digest) => {
                    self.store_digest(&endpoint.name, digest, now);
                    query.pending = false;
                    return self.accept_grant(node, endpoint, requirements, &query, asked_at);
                }
                Answer::Wait(millis, digest) => {
                    self.store_digest(&endpoint.name, digest, now);
                    if now >= requirements.deadline {
                        return Reply::Busy(Duration::from_millis(millis));
                    }
                }
                Answer::Busy(millis, digest) => {
                    self.store_digest(&endpoint.name, digest, now);
                    query.pending = false;
                    return Reply::Busy(Duration::from_millis(millis));
                }
                Answer::Closed | Answer::Elsewhere => {
                    query.pending = false;
                    return Reply::Unusable;
                }
            }
            let config = node.config.load();
            let current = config.endpoints.get(&endpoint.name);
            let home = node.membership.home(&duty_name(&endpoint.name), zone);
            if !current.is_some_and(|endpoint| config.open(endpoint))
                || !is_authorized(&config, requirements)
                || home.is_none_or(|home| home.address != query.home)
            {
                return Reply::Unusable;
            }
        }
    }

    async fn request_permit_once(
        &self,
        node: &Node,
        query: &Query<'_>,
        requirements: &Requirements,
    ) -> Option<Answer> {
        let time_left = requirements.deadline.saturating_sub(node.now());
        let ask = Ask {
            endpoint: query.endpoint.clone(),
            holder: self.holder.id,
            number: query.number,
            workspace: requirements.workspace.clone().unwrap_or_else(|| "".into()),
            class: requirements.class.number(),
            tokens: requirements.tokens,
            max_wait_millis: time_left.as_millis() as u64,
        };
        if query.home == node.peer_address {
            return Some(self.gates.request_permit(node, ask).await);
        }
        let method = wire::method::PERMIT;
        let call = node.peers.call(query.home, method, &ask, ASK_TIMEOUT);
        call.await.ok()
    }

    fn accept_grant(
        &self,
        node: &Node,
        endpoint: &Endpoint,
        requirements: &Requirements,
        query: &Query<'_>,
        asked_at: Duration,
    ) -> Reply {
        let expired = self
            .holder
            .register(&endpoint.name, query.number, query.home, asked_at);
        let permit = Permit {
            endpoint: endpoint.clone(),
            lease: Some(Lease {
                holder: self.holder.clone(),
                number: query.number,
                home: query.home,
                expired,
                outcome: Mutex::new(Outcome::Unused),
            }),
        };
        // The configuration may have changed while the request waited.
        let config = node.config.load();
        let current = config.endpoints.get(&endpoint.name);
        if !current.is_some_and(|endpoint| config.open(endpoint))
            || !is_authorized(&config, requirements)
        {
            return Reply::Unusable;
        }
        Reply::Granted(permit)
    }

    fn refuse(
        &self,
        node: &Node,
        requirements: &Requirements,
        reason: &'static str,
        retry_after: Duration,
    ) -> Refusal {
        self.record_decision(node, requirements, 0, None, reason);
        Refusal {
            reason,
            retry_after,
        }
    }

    fn record_decision(
        &self,
        node: &Node,
        requirements: &Requirements,
        candidates: usize,
        choice: Option<&Name>,
        reason: &str,
    ) {
        node.record_decision(Decision {
            part: "route".into(),
            subject: requirements.id.as_str().into(),
            workspace: requirements.workspace.clone(),
            candidates,
            choice: choice.cloned(),
            reason: reason.into(),
            at: node.now(),
        });
    }
}

/// Returns whether the caller's key is still valid for the workspace.
fn is_authorized(config: &Config, requirements: &Requirements) -> bool {
    let Some(digest) = &requirements.key else {
        return true;
    };
    config.keys.get(digest).is_some_and(|key| {
        !key.withdrawn && Some(&key.workspace) == requirements.workspace.as_ref()
    })
}

fn suitable<'a>(node: &Node, config: &'a Config, requirements: &Requirements) -> Vec<&'a Endpoint> {
    let open = config
        .endpoints
        .values()
        .filter(|endpoint| config.open(endpoint))
        .filter(|endpoint| can_serve(node, endpoint, &requirements.target));
    let (tried, fresh): (Vec<&Endpoint>, Vec<&Endpoint>) =
        open.partition(|endpoint| requirements.excluded.contains(&endpoint.name));
    // An endpoint that already failed is better than none.
    if fresh.is_empty() { tried } else { fresh }
}

fn can_serve(node: &Node, endpoint: &Endpoint, target: &Target) -> bool {
    match target {
        Target::Model { model, .. } => {
            endpoint.runs == Kind::Engine && node.load_reports.serves(&endpoint.name, model)
        }
        Target::Service(service) => endpoint.service.as_ref() == Some(service),
    }
}

fn has_adapter(node: &Node, endpoint: &Endpoint, requirements: &Requirements) -> bool {
    let Target::Model {
        adapter: Some(adapter),
        ..
    } = &requirements.target
    else {
        return true;
    };
    let report = node.load_reports.report(&endpoint.name);
    report.is_some_and(|report| report.load.adapters.contains(adapter))
}

/// Picks a random suitable endpoint, without permits or queues.
fn pick_random(node: &Node, requirements: &Requirements) -> Result<Permit, Refusal> {
    let config = node.config.load();
    let suitable = suitable(node, &config, requirements);
    let Some(choice) = suitable.choose(&mut rand::rng()) else {
        return Err(Refusal {
            reason: "no_endpoint",
            retry_after: DEFAULT_RETRY_AFTER,
        });
    };
    let name = Some(&choice.name);
    let dispatcher = &node.dispatcher;
    dispatcher.record_decision(node, requirements, suitable.len(), name, "random");
    Ok(Permit {
        endpoint: (*choice).clone(),
        lease: None,
    })
}
