//! The configuration of a platform fleet: routes by host and prefix, services, models, workspaces and their keys.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::record::Name;

/// What may be repeated of the requests on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    NonIdempotent,
    /// Answered by events; runs at most once unless it can resume.
    Streaming {
        /// Whether another endpoint may go on after the last event that was delivered.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may have run can be sent again.
    pub fn repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Streaming { resumable } => resumable,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}

/// A route from a host and path prefix to services.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name.
    pub name: Name,
    /// Path prefix; it begins and ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time for which a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub objective: Duration,
    /// Longest pause between events for which a stream is still on time.
    pub gap: Duration,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// Endpoints to which one attempt of a caller may be sent.
    pub attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
    /// Services and their weights.
    pub services: Vec<(Name, u32)>,
}

impl Route {
    /// The service for a draw in `0..1`.
    ///
    /// ```
    /// # use persimmoncroft::state::catalog::{Kind, Route};
    /// # use std::time::Duration;
    /// let route = Route {
    ///     name: "r".into(), prefix: "/a/".into(), kind: Kind::Idempotent, timeout: Duration::from_secs(1),
    ///     objective: Duration::from_secs(1), gap: Duration::ZERO, priority: 0, attempts: 1, public: false,
    ///     services: vec![("old".into(), 90), ("new".into(), 10)],
    /// };
    /// assert_eq!(route.service(0.95).map(|name| &**name), Some("new"));
    /// ```
    pub fn service(&self, draw: f64) -> Option<&Name> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut point = draw * f64::from(total);
        for (name, weight) in &self.services {
            point -= f64::from(*weight);
            if point < 0.0 {
                return Some(name);
            }
        }
        self.services.last().map(|(name, _)| name)
    }
}

/// A model that the endpoints of a service can hold.
#[derive(Debug, Clone)]
pub struct Model {
    /// Name.
    pub name: Name,
    /// Memory of its weights, in MB.
    pub megabytes: f64,
    /// Load time from the weight store.
    pub load_time: Duration,
    /// Names of its adapters.
    pub adapters: Vec<Name>,
    /// Memory of one adapter, in MB.
    pub adapter_megabytes: f64,
}

/// What the engines of a service can do.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for prompts and generated text, in tokens.
    pub cache_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Memory for weights and adapters, in MB.
    pub megabytes: f64,
    /// Places for adapters.
    pub adapter_places: usize,
    /// Loads from the weight store per second over the whole fleet.
    pub loads_per_second: f64,
    /// Models by name.
    pub models: HashMap<Name, Model>,
}

/// A service that endpoints run.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// Connections that one endpoint accepts from all callers.
    pub connections: u32,
    /// Requests per second that a cold endpoint tolerates; zero when it has no cold start.
    pub cold_per_second: f64,
    /// Time for which an endpoint is cold after its start.
    pub cold_time: Duration,
    /// Present for model engines.
    pub engine: Option<Engine>,
}

/// A customer with a rate limit over the whole fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: Name,
    /// Rank that goes before the routes' own, if it has one.
    pub priority: Option<u8>,
    /// Units per second over the whole fleet; zero means no limit.
    pub rate: f64,
    /// Capacity in units.
    pub burst: f64,
    /// Whether units are tokens; else they are requests.
    pub counts_tokens: bool,
    /// Tokens of a request that names none.
    pub default_tokens: u64,
}

/// What a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a connection stays idle.
    pub idle: Duration,
}

/// One version of the configuration.
#[derive(Debug, Clone)]
pub struct Catalog {
    /// Version; it only rises.
    pub version: u64,
    /// Routes by host, the longest prefix first.
    pub hosts: HashMap<Name, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Name, Arc<Service>>,
    /// Workspaces by key.
    pub keys: HashMap<Name, Arc<Workspace>>,
    /// Workspaces by name.
    pub workspaces: HashMap<Name, Arc<Workspace>>,
    /// What a caller may send.
    pub bounds: Bounds,
}

impl Catalog {
    /// The route of the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}
