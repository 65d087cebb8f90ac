//! Configuration records written by operators: models, adapters, workspaces, keys, zones, endpoints and routes.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Name of a record; cheap to clone.
pub type Name = Arc<str>;

/// A model that endpoints can load.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Model {
    /// Unique name, given by callers in the `model` field.
    pub name: Name,
    /// Version to serve.
    #[serde(default = "default_version")]
    pub version: u64,
    /// Accelerator memory for one loaded copy, in MiB.
    pub memory_mib: u64,
    /// Minimum number of ready replicas in the fleet.
    #[serde(default = "default_replicas")]
    pub min_replicas: u32,
}

/// A fine-tuned adapter of a model.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Adapter {
    /// Unique name, given by callers in the `model` field.
    pub name: Name,
    /// Name of the base model.
    pub model: Name,
    /// Accelerator memory for one loaded copy, in MiB.
    pub memory_mib: u64,
}

/// A customer with a fleet-wide rate limit.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Workspace {
    /// Unique name.
    pub name: Name,
    /// Sustained rate over the whole fleet, in tokens per second.
    pub rate_tokens_per_second: u64,
    /// Bucket capacity over the whole fleet, in tokens.
    pub burst_tokens: u64,
    /// Weight in fair queueing.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum age of the configuration with which a daemon serves this workspace, in seconds.
    #[serde(default = "default_stale")]
    pub max_stale_seconds: u64,
}

/// A caller's API key; only its SHA-256 digest is stored.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Key {
    /// Public name of the key.
    pub name: Name,
    /// SHA-256 of the key in lower-case hexadecimal.
    pub digest: Arc<str>,
    /// Workspace that requests with this key run for.
    pub workspace: Name,
    /// Whether the key has been withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
}

impl Key {
    /// Returns the digest that is stored for a key.
    ///
    /// ```
    /// use persimmoncroft::state::record::Key;
    /// assert_eq!(Key::digest_of("secret").len(), 64);
    /// ```
    pub fn digest_of(secret: &str) -> String {
        hex::encode(Sha256::digest(secret.as_bytes()))
    }
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Zone {
    /// Unique name.
    pub name: Name,
    /// Region of the zone.
    #[serde(default = "default_region")]
    pub region: Name,
    /// Whether the zone is out of service and gets no new requests.
    #[serde(default)]
    pub out: bool,
}

/// Type of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain HTTP service.
    Service,
}

/// A backend that requests are sent to.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Endpoint {
    /// Unique name.
    pub name: Name,
    /// Availability zone of the endpoint.
    pub zone: Name,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Type of the endpoint.
    #[serde(rename = "type")]
    pub runs: Kind,
    /// Name of the plain service that the endpoint runs; `None` for engines.
    #[serde(default)]
    pub service: Option<Name>,
    /// Accelerator memory, in MiB; 0 for plain services.
    #[serde(default)]
    pub memory_mib: u64,
    /// Part of the accelerator memory reserved for adapters, in MiB.
    #[serde(default)]
    pub adapter_pool_mib: u64,
    /// Maximum number of concurrent requests when warm.
    pub slots: u32,
    /// Maximum number of concurrent requests at the beginning of a cold start.
    #[serde(default = "default_cold_slots")]
    pub cold_slots: u32,
    /// Minimum time from cold to warm under load, in seconds.
    #[serde(default = "default_ramp")]
    pub ramp_seconds: u64,
    /// Whether the endpoint refuses orders with an outdated fencing token.
    #[serde(default)]
    pub fenced: bool,
    /// Whether the endpoint is draining and gets no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// A route from a path prefix to a plain service.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Route {
    /// Unique name.
    pub name: Name,
    /// Path prefix, beginning with `/`.
    pub prefix: Arc<str>,
    /// Name of the plain service that serves the route.
    pub service: Name,
    /// Whether calls may be repeated.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether calls are accepted without a key.
    #[serde(default)]
    pub open: bool,
    /// Tokens charged to the workspace for each call.
    #[serde(default)]
    pub cost_tokens: u64,
}

/// Any record, tagged by its kind.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Record {
    /// A model.
    Model(Model),
    /// An adapter.
    Adapter(Adapter),
    /// A workspace.
    Workspace(Workspace),
    /// A caller's key.
    Key(Key),
    /// An availability zone.
    Zone(Zone),
    /// An endpoint.
    Endpoint(Endpoint),
    /// A route to a plain service.
    Route(Route),
}

impl Record {
    /// Returns the record's path, `kind/name`, as in its table key.
    ///
    /// ```
    /// use persimmoncroft::state::record::{Record, Zone};
    /// let zone = Zone { name: "a".into(), region: "r".into(), out: false };
    /// assert_eq!(Record::Zone(zone).path(), "zone/a");
    /// ```
    pub fn path(&self) -> String {
        let (kind, name) = match self {
            Self::Model(r) => ("model", &r.name),
            Self::Adapter(r) => ("adapter", &r.name),
            Self::Workspace(r) => ("workspace", &r.name),
            Self::Key(r) => ("key", &r.name),
            Self::Zone(r) => ("zone", &r.name),
            Self::Endpoint(r) => ("endpoint", &r.name),
            Self::Route(r) => ("route", &r.name),
        };
        format!("{kind}/{name}")
    }
}

fn default_version() -> u64 {
    1
}

fn default_replicas() -> u32 {
    1
}

fn default_weight() -> u32 {
    1
}

fn default_stale() -> u64 {
    3600
}

fn default_region() -> Name {
    "default".into()
}

fn default_cold_slots() -> u32 {
    1
}

fn default_ramp() -> u64 {
    10
}
