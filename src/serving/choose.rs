//! Selection of an endpoint for a request.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::admit::Admission;
use super::endpoint::{Endpoint, State, prompt_digests};
use super::room::owner;
use super::room::permit::Permit;
use super::{Node, journal, lineage, pace};
use crate::coordination::choice::{self, Candidate};
use crate::coordination::pace::Room;
use crate::coordination::speed::{self, Expected};
use crate::coordination::warmup;
use crate::state::call::{Call, Generation};
use crate::state::catalog::Service;
use crate::state::record::Name;
use crate::state::registry::Entry;

/// Requests in flight at an engine, as a multiple of its slots, at which it gets no more.
const ENGINE_FULL_FACTOR: f64 = 1.5;

/// The same for streams that go on only at the engines of one software version: room that new streams leave them.
const ENGINE_RESUME_FACTOR: f64 = 2.0;

/// Requests in flight at an endpoint without an engine, as a multiple of its slots, at which it gets no more.
const PLAIN_FULL_FACTOR: f64 = 4.0;

/// Requests in flight at an endpoint, as a multiple of its slots, below which it can start another at once.
const FREE_FACTOR: f64 = 0.8;

/// Reason why no endpoint can be used, ordered from the least to the most likely to pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unavailable {
    /// The request was sent as often as it may be.
    Attempts,
    /// The prompt contains a part that crashes endpoints.
    Quarantine,
    /// An endpoint can be used, but no retry is left to send the request again.
    Retry,
    /// No endpoint of the service is known, or all were tried.
    Endpoint,
    /// No endpoint has the model.
    Model,
    /// Endpoints have the model but not the adapter.
    Adapter,
    /// The software version that began the stream is not known.
    Origin,
    /// Endpoints want no requests from this daemon for some time.
    Quiet,
    /// Streams may not begin yet at the software version of the endpoints.
    Version,
    /// Endpoints are paused after failures or rejections.
    Paused,
    /// Endpoints take no more requests under the limits that they have named.
    Limited,
    /// Endpoints have no room, and must not be made to reject requests.
    Room,
    /// Endpoints are cold and have reached their request limit.
    Cold,
    /// Endpoints are full.
    Full,
}

impl Unavailable {
    /// Short reason, for logs and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Endpoint => "no_endpoint",
            Self::Model => "no_model",
            Self::Adapter => "no_adapter",
            Self::Origin => "unknown_version",
            Self::Version => "version_not_stored",
            Self::Quiet => "endpoints_quiet",
            Self::Paused => "endpoints_paused",
            Self::Limited => "endpoints_limited",
            Self::Room => "endpoints_no_room",
            Self::Cold => "endpoints_cold",
            Self::Full => "endpoints_full",
            Self::Retry => "retry_budget",
            Self::Attempts => "may_not_repeat",
            Self::Quarantine => "quarantined",
        }
    }

    /// Whether waiting for a moment can't help.
    pub fn is_lasting(self) -> bool {
        matches!(
            self,
            Self::Endpoint
                | Self::Model
                | Self::Origin
                | Self::Retry
                | Self::Attempts
                | Self::Quarantine
        )
    }
}

/// A chosen endpoint.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Properties by which it was compared.
    pub candidate: Candidate,
    /// Prompt tokens of this request that the endpoint is not known to have cached.
    pub uncached_tokens: u64,
    /// Number of candidates.
    pub compared: usize,
    /// The request's place at the endpoint, if it needs one.
    pub permit: Option<Arc<Permit>>,
    /// What the request is expected to meet there, if the service is contended.
    pub expected: Option<Expected>,
    /// Whether the request shows if the endpoint still fails.
    pub is_trial: bool,
    /// Chained digests of the prompt's parts.
    prompt: Option<Vec<(u64, u32)>>,
}

impl Choice {
    /// Records that the request is about to be sent to the endpoint.
    pub fn record(&self, service: &Service, now: Duration) {
        let mut state = self.endpoint.tracker.lock();
        if service.has_cold_limit() {
            state.warmup.sent(now);
        }
        if self.is_trial {
            state.health.begin_trial(now);
        }
        if let Some(prompt) = &self.prompt {
            state.record_prompt(prompt);
        }
    }
}

/// Chooses an endpoint for a call, excluding those that were tried, and those of other software versions than `version`
/// if it is given. A call that `may_be_trial` can be sent elsewhere if the endpoint fails. Nothing is recorded until
/// [`Choice::record`] is called.
///
/// # Errors
/// The [`Unavailable`] of the endpoint that came closest to being usable.
pub fn choose(
    node: &Node,
    admission: &Admission,
    call: &Call,
    tried: &[Name],
    version: Option<&Name>,
    may_be_trial: bool,
) -> Result<Choice, Unavailable> {
    let view = node.fleet.view.load();
    let no_endpoints = Vec::new();
    let endpoints = view
        .services
        .get(&admission.service.name)
        .unwrap_or(&no_endpoints);
    let parts = call.generation.as_ref().map(|generation| {
        let adapter = generation.adapter.as_ref();
        prompt_digests(&generation.model, adapter, &generation.parts)
    });
    let mut cause = Unavailable::Endpoint;
    let mut options: Vec<(&Endpoint, Candidate)> = Vec::new();
    let mut spare: Vec<(&Endpoint, Candidate)> = Vec::new();
    for endpoint in endpoints {
        if tried.contains(&endpoint.entry.id) || !has_version(endpoint, version) {
            continue;
        }
        let evaluated = match version {
            None => check_version(node, admission, endpoint),
            Some(_) => Ok(()),
        };
        let evaluated = evaluated
            .and_then(|()| evaluate(node, admission, call, endpoint, parts.as_deref(), version));
        match evaluated {
            Ok(candidate) => match pace::room(node, endpoint, candidate.slots) {
                Room::Free => options.push((endpoint, candidate)),
                Room::Spare => spare.push((endpoint, candidate)),
                Room::None => cause = cause.max(Unavailable::Cold),
            },
            Err(other) => cause = cause.max(other),
        }
    }
    if options.iter().all(|(_, it)| it.in_flight >= it.slots) {
        options.append(&mut spare);
    }
    let trials = match may_be_trial && options.len() > 1 {
        true => forgive(&mut options, node.now()),
        false => Vec::new(),
    };
    let candidates: Vec<Candidate> = options.iter().map(|(_, candidate)| *candidate).collect();
    let expected = expect(node, admission, call, &options);
    let index = match &expected {
        None => choice::choose(&candidates, rand::rng().random()),
        Some(expected) => {
            let route = &admission.route;
            let waited = node.now().saturating_sub(admission.arrived);
            let left = route.objective.saturating_sub(waited);
            speed::choose(expected, left, route.gap, rand::rng().random())
        }
    };
    let index = index.ok_or(cause)?;
    let expected = expected.map(|expected| expected[index]);
    if let Some(expected) = &expected {
        log_speed(node, admission, call, options[index].0, expected);
    }
    let (endpoint, candidate) = options.swap_remove(index);
    Ok(Choice {
        is_trial: trials.contains(&index),
        endpoint: endpoint.clone(),
        uncached_tokens: (candidate.prefill_tokens as u64)
            .saturating_sub(endpoint.tracker.pending_prompt_tokens()),
        candidate,
        compared: candidates.len(),
        permit: None,
        expected,
        prompt: parts,
    })
}

/// What a request is expected to meet at each candidate, by the speeds learned; `None` if the service is not contended.
fn expect(
    node: &Node,
    admission: &Admission,
    call: &Call,
    options: &[(&Endpoint, Candidate)],
) -> Option<Vec<Expected>> {
    let generation = call.generation.as_ref()?;
    if !node.fleet.is_contended(&admission.service.name) {
        return None;
    }
    let (table, now) = (node.fleet.speeds.load(), node.now());
    let expect = |(endpoint, candidate): &(&Endpoint, Candidate)| {
        let state = endpoint.tracker.lock();
        let estimate = table.estimate(&endpoint.entry.id, &generation.model, &state.speeds, now);
        estimate.expect(candidate)
    };
    Some(options.iter().map(expect).collect())
}

fn log_speed(
    node: &Node,
    admission: &Admission,
    call: &Call,
    endpoint: &Endpoint,
    expected: &Expected,
) {
    if !journal::is_sampled(&call.id) {
        return;
    }
    node.journal.line(|| {
        spdlog::info!("speed: chosen", kv: {
            request: = call.id,
            route: = admission.route.name,
            endpoint: = endpoint.entry.id,
            expected_first_ms = expected.first_millis as u64,
            expected_pause_ms = expected.pause_millis as u64,
            cost_ms = expected.cost as u64,
        });
    });
}

/// Compares endpoints whose trial is due as if they had not failed; returns their indices.
fn forgive(options: &mut [(&Endpoint, Candidate)], now: Duration) -> Vec<usize> {
    let mut trials = Vec::new();
    for (index, (endpoint, candidate)) in options.iter_mut().enumerate() {
        if candidate.failure_share == 0.0 {
            continue;
        }
        let health = &mut endpoint.tracker.lock().health;
        health.compared();
        if health.is_trial_due(now) {
            candidate.failure_share = 0.0;
            trials.push(index);
        }
    }
    trials
}

/// Time until the first endpoint of a call's service that wants no requests now may be asked again.
pub fn quiet_left(node: &Node, admission: &Admission) -> Duration {
    let view = node.fleet.view.load();
    let now = node.now();
    let endpoints = view.services.get(&admission.service.name);
    let quiet_until = endpoints
        .into_iter()
        .flatten()
        .map(|endpoint| endpoint.tracker.lock().quiet_until);
    let first = quiet_until.filter(|until| *until > now).min();
    first.unwrap_or(now).saturating_sub(now)
}

/// Whether a call can be sent to an endpoint now, of the software version `version` if it is given.
pub fn is_usable(
    node: &Node,
    admission: &Admission,
    call: &Call,
    endpoint: &Endpoint,
    version: Option<&Name>,
) -> bool {
    has_version(endpoint, version)
        && is_listed(node, endpoint)
        && evaluate(node, admission, call, endpoint, None, version).is_ok()
}

/// Whether an endpoint that was chosen before is still in use: it does not leave, its zone is in service, and it has not started anew.
fn is_listed(node: &Node, endpoint: &Endpoint) -> bool {
    let view = node.fleet.view.load();
    let listed = view.services.get(&endpoint.entry.service);
    listed.is_some_and(|listed| {
        listed.iter().any(|it| {
            it.entry.id == endpoint.entry.id && Arc::ptr_eq(&it.tracker, &endpoint.tracker)
        })
    })
}

/// Whether an endpoint that was not tried can start a call at once, of the software version `version` if it is given.
pub fn has_room(
    node: &Node,
    admission: &Admission,
    call: &Call,
    tried: &[Name],
    version: Option<&Name>,
) -> bool {
    let view = node.fleet.view.load();
    let Some(endpoints) = view.services.get(&admission.service.name) else {
        return false;
    };
    let mut others = endpoints
        .iter()
        .filter(|endpoint| !tried.contains(&endpoint.entry.id) && has_version(endpoint, version));
    others.any(|endpoint| {
        let candidate = evaluate(node, admission, call, endpoint, None, version);
        candidate.is_ok_and(|candidate| {
            candidate.in_flight < candidate.slots * FREE_FACTOR
                && pace::room(node, endpoint, candidate.slots) == Room::Free
        })
    })
}

/// Endpoints that have what a call needs, if this daemon can connect to none of them.
pub fn unreachable(
    node: &Node,
    admission: &Admission,
    call: &Call,
    version: Option<&Name>,
) -> Vec<Name> {
    let view = node.fleet.view.load();
    let (endpoints, now) = (view.services.get(&admission.service.name), node.now());
    let mut unreachable = Vec::new();
    for endpoint in endpoints.into_iter().flatten() {
        let state = endpoint.tracker.lock();
        let generation = call.generation.as_ref();
        let is_loaded = generation.is_none_or(|it| check_loaded(&state, it, now).is_ok());
        if state.leaving || !is_loaded || !has_version(endpoint, version) {
            continue;
        }
        if !state.health.is_unreachable(now) {
            return Vec::new();
        }
        unreachable.push(endpoint.entry.id.clone());
    }
    unreachable
}

fn has_version(endpoint: &Endpoint, version: Option<&Name>) -> bool {
    version.is_none_or(|version| endpoint.entry.version == *version)
}

/// Whether a stream may begin at the software version of an endpoint.
fn check_version(
    node: &Node,
    admission: &Admission,
    endpoint: &Endpoint,
) -> Result<(), Unavailable> {
    if !admission.route.kind.is_resumable() {
        return Ok(());
    }
    let entry = &endpoint.entry;
    match lineage::may_begin(node, &entry.service, &entry.version) {
        true => Ok(()),
        false => Err(Unavailable::Version),
    }
}

fn evaluate(
    node: &Node,
    admission: &Admission,
    call: &Call,
    endpoint: &Endpoint,
    parts: Option<&[(u64, u32)]>,
    version: Option<&Name>,
) -> Result<Candidate, Unavailable> {
    let now = node.now();
    let entry = &endpoint.entry;
    let mut state = endpoint.tracker.lock();
    if state.leaving {
        return Err(Unavailable::Endpoint);
    }
    if let Some(generation) = &call.generation {
        check_loaded(&state, generation, now)?;
    }
    if now < state.quiet_until {
        return Err(Unavailable::Quiet);
    }
    if state.health.is_paused(now) {
        return Err(Unavailable::Paused);
    }
    if now < state.limited_until {
        return Err(Unavailable::Limited);
    }
    if now < state.no_room_until {
        return Err(Unavailable::Room);
    }
    if let Some(limit) = cold_limit(node, &admission.service, entry, &mut state)
        && !state.warmup.allows(limit, now)
    {
        return Err(Unavailable::Cold);
    }
    let engine = admission.service.engine.as_ref();
    let slots = f64::from(engine.map_or(entry.slots, |engine| engine.slots));
    let in_flight = f64::from(endpoint.tracker.total_in_flight());
    let max_factor = match (engine, version) {
        (None, _) => PLAIN_FULL_FACTOR,
        (Some(_), None) => ENGINE_FULL_FACTOR,
        (Some(_), Some(_)) => ENGINE_RESUME_FACTOR,
    };
    if in_flight >= slots * max_factor && !owner::decides(node, endpoint) {
        return Err(Unavailable::Full);
    }
    let prompt = call.generation.as_ref().map_or(0, |g| g.prompt_tokens);
    let cached = parts.map_or(0, |parts| state.cached_tokens(parts));
    Ok(Candidate {
        same_zone: entry.zone == node.settings.zone,
        connected: node.pool.has_idle(&entry.id),
        slots,
        in_flight,
        prefill_tokens: prompt
            .saturating_sub(cached)
            .saturating_add(endpoint.tracker.pending_prompt_tokens())
            as f64,
        late_share: state.health.late_share(now),
        preference_cost: preference_cost(&node.settings.name, &entry.id),
        latency_millis: state.health.latency_millis(now),
        failure_share: state.health.failure_share(now),
    })
}

/// Preference cost of an endpoint for a daemon, from 0 to 1, so that daemons prefer different endpoints.
fn preference_cost(daemon: &str, endpoint: &str) -> f64 {
    let seed = xxh3_64(daemon.as_bytes());
    let hash = xxh3_64_with_seed(endpoint.as_bytes(), seed);
    hash as f64 / u64::MAX as f64
}

fn check_loaded(state: &State, generation: &Generation, now: Duration) -> Result<(), Unavailable> {
    let is_missing = |name: &str| {
        state
            .missing_models
            .get(name)
            .is_some_and(|until| now < *until)
    };
    let adapters = state.models.get(&generation.model);
    let Some(adapters) = adapters.filter(|_| !is_missing(&generation.model)) else {
        return Err(Unavailable::Model);
    };
    match &generation.adapter {
        Some(adapter) if !adapters.contains(adapter) => Err(Unavailable::Adapter),
        _ => Ok(()),
    }
}

/// Whether the request that is about to be sent exceeds what a cold endpoint takes; a start of the endpoint may have become
/// known since it was chosen.
pub fn exceeds_cold_limit(node: &Node, service: &Service, endpoint: &Endpoint) -> bool {
    if !service.has_cold_limit() {
        return false;
    }
    let mut state = endpoint.tracker.lock();
    let limit = cold_limit(node, service, &endpoint.entry, &mut state);
    limit.is_some_and(|limit| !state.warmup.is_within(limit, node.now()))
}

/// This daemon's share of the requests per second that an endpoint may get because it is cold; `None` if it is not.
fn cold_limit(node: &Node, service: &Service, entry: &Entry, state: &mut State) -> Option<usize> {
    if !service.has_cold_limit() {
        return None;
    }
    let has_started = state.cold_start.has_start() && state.cold_start.is_cold(node.boot_now());
    if node.now() >= state.cold_until && !has_started {
        return None;
    }
    let names = node.peers.names();
    let daemons: Vec<&str> = names.iter().map(|name| &**name).collect();
    let total = service.cold_per_second * node.tuning.load().cold_over;
    let share = warmup::share(&entry.id, &node.settings.name, &daemons, total);
    Some(share)
}

/// Shared list of daemons' names, replaced when daemons join or leave.
pub type Names = Arc<[Name]>;
