//! Conversion between the daemon's types and a platform's messages.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::{HeaderMap, Request, request, response};
use http_body_util::Full;

use crate::state::call::{Call, Dispatch, Head};
use crate::state::catalog::Catalog;
use crate::state::record::Name;
use crate::state::registry::Entry;
use crate::state::row::{Change, Page, Row};

/// Error parsing a caller's request.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq)]
pub enum Malformed {
    /// request has no identifier
    Id,
    /// request has no host
    Host,
    /// request names no model
    Model,
}

impl std::error::Error for Malformed {}

/// Content of a row in the platform's store.
#[derive(Debug, Clone)]
pub enum Notice {
    /// A configuration.
    Catalog(Box<Catalog>),
    /// An availability zone is taken out of service or put back.
    Zone {
        /// Name of the zone.
        zone: Name,
        /// Whether it is out of service.
        out: bool,
    },
    /// An endpoint's entry.
    Endpoint(Entry),
    /// An endpoint's entry was deleted, or describes no usable endpoint.
    Gone(Name),
    /// Unrecognized row.
    Unknown,
}

impl Notice {
    /// Whether the row takes an availability zone out of service or an endpoint out of use.
    pub fn withdraws(&self) -> bool {
        match self {
            Self::Zone { out, .. } => *out,
            Self::Endpoint(entry) => entry.draining,
            Self::Gone(_) => true,
            Self::Catalog(_) | Self::Unknown => false,
        }
    }
}

/// Status report of an engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Resident models and their adapters.
    pub models: BTreeMap<Name, Vec<Name>>,
    /// Adapters being loaded, as pairs of model and adapter.
    pub pending: Vec<(Name, Name)>,
    /// Models whose weights are in the engine's memory or on its disk.
    pub cached: Vec<Name>,
    /// Whether an order is being executed.
    pub busy: bool,
    /// Number of orders that the engine has accepted.
    pub sequence: u64,
    /// Unix time at which the engine started, in milliseconds.
    pub started_ms: Option<u64>,
}

/// Kind of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Load a model or an adapter.
    Load,
    /// Unload a model or an adapter.
    Unload,
}

/// Order to an engine to load or unload a model or an adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Kind of the order.
    pub operation: Operation,
    /// Model.
    pub model: Name,
    /// Adapter of the model; `None` for the model itself.
    pub adapter: Option<Name>,
    /// Number of orders that the engine must have accepted before this one.
    pub expected: u64,
    /// Name of the daemon that holds the placement lease.
    pub holder: Name,
    /// Fencing token of the lease.
    pub fence: u64,
}

/// Response of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The order is being executed.
    Accepted,
    /// The engine is already in the requested state.
    Done,
    /// Another order is being executed, or the expected number differs.
    Conflict,
    /// The order is refused.
    Refused,
}

/// Order of a number of replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Scaling {
    /// Service.
    pub service: Name,
    /// Availability zone.
    pub zone: Name,
    /// Number of replicas in the zone.
    pub wanted: u32,
}

/// Daemon that makes a call for the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Name of the daemon.
    pub name: Name,
    /// Fencing token of its lease.
    pub fence: u64,
}

/// Functions that convert to and from a platform's messages.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// Parses a caller's request.
    pub call: fn(request::Parts, Bytes) -> Result<Call, Malformed>,
    /// Builds the request that sends a call to an endpoint.
    pub dispatch: fn(&Call, &Dispatch) -> Request<Full<Bytes>>,
    /// Builds the request that hands a call to another daemon, as its caller sent it, with the time left.
    pub forward: fn(&Call, Duration) -> Request<Full<Bytes>>,
    /// Parses the head of an endpoint's response.
    pub head: fn(&response::Parts) -> Head,
    /// Name of the table that operators write.
    pub operator_table: &'static str,
    /// Key of the configuration in the operators' table.
    pub catalog_key: &'static str,
    /// Name of the table that endpoints write.
    pub endpoint_table: &'static str,
    /// Parses a row of either table.
    pub notice: fn(&Row) -> Notice,
    /// Builds the request for an engine's report.
    pub ask_report: fn(&Entry) -> Request<Full<Bytes>>,
    /// Builds the health check of an endpoint, from its target.
    pub ask_health: fn(&str, &Entry) -> Request<Full<Bytes>>,
    /// Parses an engine's report; `None` if it is malformed.
    pub report: fn(&[u8]) -> Option<Report>,
    /// Builds the request that sends an order to an engine.
    pub order: fn(&Order, &Entry) -> Request<Full<Bytes>>,
    /// Parses the response to an order.
    pub order_outcome: fn(&response::Parts) -> Outcome,
    /// Builds the request for the rows of a table whose keys begin with a prefix and come after the given one.
    pub list: fn(&str, &str, Option<&str>) -> Request<Full<Bytes>>,
    /// Builds a long poll for the rows of a table that changed after a version, with the time to wait for the first.
    pub follow: fn(&str, u64, Duration) -> Request<Full<Bytes>>,
    /// Builds a conditional write of rows.
    pub commit: fn(&Change) -> Request<Full<Bytes>>,
    /// Parses a page of rows; `None` if it is malformed.
    pub page: fn(&HeaderMap, &[u8]) -> Option<Page>,
    /// Builds the body of a usage report from the number of its window and the counts by workspace.
    pub usage_body: fn(u64, &BTreeMap<Name, u64>) -> Bytes,
    /// Builds the call that reports usage, from the body.
    pub report_usage: fn(Bytes, &Holder) -> Request<Full<Bytes>>,
    /// Builds the call that orders a number of replicas.
    pub order_replicas: fn(&Scaling, &Holder) -> Request<Full<Bytes>>,
}
