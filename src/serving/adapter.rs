//! What a platform has to translate for the daemon: messages in both directions, nothing else.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::{Request, request, response};
use http_body_util::Full;

use crate::state::call::{Call, Dispatch, Head};
use crate::state::catalog::Catalog;
use crate::state::record::Name;
use crate::state::roster::Entry;
use crate::state::row::{Change, Page, Row};

/// Why a caller's request cannot be read.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq)]
pub enum Malformed {
    /// the request has no identifier
    Id,
    /// the request has no host
    Host,
    /// the request names no model
    Model,
}

impl std::error::Error for Malformed {}

/// What a row of the platform's store says.
#[derive(Debug, Clone)]
pub enum Notice {
    /// A configuration.
    Catalog(Box<Catalog>),
    /// An availability zone is taken out, or taken back.
    Zone {
        /// Zone.
        zone: Name,
        /// Whether it is out.
        out: bool,
    },
    /// An endpoint's entry.
    Endpoint(Entry),
    /// An endpoint's entry is gone, or names no endpoint that can be used.
    Gone(Name),
    /// Nothing that is known.
    Unknown,
}

/// What an engine says of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Models and their adapters.
    pub models: BTreeMap<Name, Vec<Name>>,
    /// Adapters on their way: model and adapter.
    pub pending: Vec<(Name, Name)>,
    /// Models whose weights are in its own memory or disk.
    pub cached: Vec<Name>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Number of orders that it has accepted.
    pub sequence: u64,
    /// Unix time of its start, in milliseconds.
    pub born: Option<u64>,
}

/// What an order does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Load.
    Load,
    /// Unload.
    Unload,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// What it does.
    pub operation: Operation,
    /// Model.
    pub model: Name,
    /// Adapter of the model; none for the model itself.
    pub adapter: Option<Name>,
    /// Number of orders that the engine must have accepted before.
    pub expected: u64,
    /// Name of the holder of the duty.
    pub holder: Name,
    /// Fencing token of the holder.
    pub fence: u64,
}

/// How an engine took an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    Done,
    /// Another order is under way, or the expected number differs.
    Conflict,
    /// It is refused.
    Refused,
}

/// A platform's translation.
#[derive(Debug, Clone, Copy)]
pub struct Adapter {
    /// Reads a caller's request.
    pub call: fn(request::Parts, Bytes) -> Result<Call, Malformed>,
    /// Writes a call for an endpoint.
    pub dispatch: fn(&Call, &Dispatch) -> Request<Full<Bytes>>,
    /// Reads the head of an endpoint's answer.
    pub head: fn(&response::Parts) -> Head,
    /// Table that operators write.
    pub operator_table: &'static str,
    /// Key of the configuration in that table.
    pub catalog_key: &'static str,
    /// Table of endpoints.
    pub endpoint_table: &'static str,
    /// Reads a row of either table.
    pub notice: fn(&Row) -> Notice,
    /// Asks an engine for its report.
    pub ask_report: fn(&Entry) -> Request<Full<Bytes>>,
    /// Reads an engine's report.
    pub report: fn(&[u8]) -> Option<Report>,
    /// Writes an order.
    pub order: fn(&Order, &Entry) -> Request<Full<Bytes>>,
    /// Reads how an order was taken.
    pub taken: fn(&response::Parts) -> Taken,
    /// Asks for the rows of a table whose keys come after the given one.
    pub list: fn(&str, Option<&str>) -> Request<Full<Bytes>>,
    /// Asks for the rows of a table that changed after a version, waiting for the first.
    pub follow: fn(&str, u64, Duration) -> Request<Full<Bytes>>,
    /// Writes rows under conditions.
    pub commit: fn(&Change) -> Request<Full<Bytes>>,
    /// Reads rows; none if they cannot be read.
    pub page: fn(&[u8]) -> Option<Page>,
}
