//! Configuration of a platform fleet: routes by host and prefix, services, models, workspaces and their keys.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::record::Name;

/// Whether requests on a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once for each attempt of the caller.
    NonIdempotent,
    /// The response is a stream of events; a request runs at most once unless the stream is resumable.
    Streaming {
        /// Whether another endpoint may resume the stream after the last delivered event.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Streaming { resumable } => resumable,
        }
    }

    /// Returns whether the response is a stream that another endpoint may resume.
    pub fn is_resumable(self) -> bool {
        matches!(self, Self::Streaming { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    pub fn is_streaming(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}

/// A route from a host and path prefix to services.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name.
    pub name: Name,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Name,
    /// Whether requests may be repeated.
    pub kind: Kind,
    /// Maximum time for which a request waits.
    pub timeout: Duration,
    /// Service level objective: time within which a response has its full value.
    pub objective: Duration,
    /// Maximum time between events of a stream that is on time.
    pub gap: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of endpoints that one attempt of a caller may be sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Services and their weights.
    pub services: Vec<(Name, u32)>,
}

impl Route {
    /// Returns the service for a random number in `0..1`, by weight.
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
        let weights = self.services.iter().map(|(_, weight)| f64::from(*weight));
        let mut point = draw * weights.sum::<f64>();
        for (name, weight) in &self.services {
            point -= f64::from(*weight);
            if point < 0.0 {
                return Some(name);
            }
        }
        self.services.last().map(|(name, _)| name)
    }
}

/// A model that the endpoints of a service can load.
#[derive(Debug, Clone)]
pub struct Model {
    /// Name.
    pub name: Name,
    /// Memory for the weights, in MB.
    pub megabytes: f64,
    /// Time to load the model from the weight store.
    pub load_time: Duration,
    /// Names of the model's adapters.
    pub adapters: Vec<Name>,
    /// Memory for one adapter, in MB.
    pub adapter_megabytes: f64,
}

/// Capabilities of the engines of a service.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Capacity of the KV cache for prompts and generated text, in tokens.
    pub cache_tokens: u64,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Memory for weights and adapters, in MB.
    pub megabytes: f64,
    /// Maximum number of loaded adapters.
    pub max_adapters: usize,
    /// Maximum rate of loads from the weight store over the whole fleet, per second.
    pub loads_per_second: f64,
    /// Models by name.
    pub models: HashMap<Name, Model>,
}

/// Bounds on the number of replicas of a service, if daemons order it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Scale {
    /// Minimum number of replicas in each availability zone.
    pub min: u32,
    /// Maximum number of replicas in each availability zone.
    pub max: u32,
    /// Time from an order until a new replica serves.
    pub boot: Duration,
}

/// A service that endpoints run.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// Maximum number of connections that one endpoint accepts, over all clients.
    pub connections: u32,
    /// Maximum request rate of a cold endpoint, per second; zero if the service has no cold start.
    pub cold_per_second: f64,
    /// Duration of the cold start.
    pub cold_time: Duration,
    /// Engine capabilities; `None` for plain services.
    pub engine: Option<Engine>,
    /// Target of health checks, if there are any.
    pub health_target: Option<Name>,
    /// Bounds on the number of replicas; `None` if the platform decides it.
    pub scale: Option<Scale>,
}

impl Service {
    /// Whether cold endpoints of the service take fewer requests.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::state::catalog::Service;
    /// let service = |cold_per_second| Service {
    ///     name: "desk".into(),
    ///     connections: 100,
    ///     cold_per_second,
    ///     cold_time: Duration::from_secs(3),
    ///     engine: None,
    ///     health_target: None,
    ///     scale: None,
    /// };
    /// assert!(service(39.0).has_cold_limit());
    /// assert!(!service(0.0).has_cold_limit());
    /// ```
    pub fn has_cold_limit(&self) -> bool {
        self.cold_per_second > 0.0
    }
}

/// A customer with a rate limit over the whole fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: Name,
    /// Priority that takes precedence over those of the routes, if set; the route's decides among equal ones.
    pub priority: Option<u8>,
    /// Sustained rate over the whole fleet, in units per second; zero means unlimited.
    pub rate: f64,
    /// Bucket capacity, in units.
    pub burst: f64,
    /// Whether units are tokens rather than requests.
    pub counts_tokens: bool,
    /// Tokens charged for a request that states none.
    pub default_tokens: u64,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum size of a header section, in bytes.
    pub header_bytes: usize,
    /// Maximum time for a header section.
    pub header_timeout: Duration,
    /// Maximum body size, in bytes.
    pub body_bytes: usize,
    /// Maximum idle time of a connection.
    pub idle: Duration,
}

/// An entry that stands twice in a configuration; the last one is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Repeated {
    /// Two workspaces have the same key: the first one, and the one that holds it.
    Key(Name, Name),
    /// Two workspaces have this name.
    Workspace(Name),
    /// Two services have this name.
    Service(Name),
}

/// One version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Version; increasing.
    pub version: u64,
    /// Routes by host, sorted by descending prefix length.
    pub hosts: HashMap<Name, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Name, Arc<Service>>,
    /// Workspaces by key.
    pub keys: HashMap<Name, Arc<Workspace>>,
    /// Workspaces by name.
    pub workspaces: HashMap<Name, Arc<Workspace>>,
    /// Limits on callers' requests and connections.
    pub bounds: Bounds,
    /// Entries that stand twice.
    pub repeated: Vec<Repeated>,
}

impl Catalog {
    /// Returns the route with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// All routes, in arbitrary order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}
