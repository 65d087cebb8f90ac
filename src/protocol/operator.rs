//! Messages of the operator API.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use super::peer::Status;
use crate::coordination::revision::Difference;
use crate::state::decision::Decision;
use crate::state::record::Name;
use crate::state::schema::{Fields, Mistake};

/// Response to a committed change.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Accepted {
    /// Identifier of the change.
    pub id: String,
    /// Configuration revision created by the change.
    pub revision: u64,
}

/// Body of an error response.
#[derive(Debug, Clone, Default, Display, PartialEq, Eq, Deserialize, Serialize)]
#[displaydoc("{message}")]
#[serde(default)]
pub struct Failure {
    /// Machine-readable code.
    pub code: String,
    /// Human-readable message.
    pub message: String,
    /// Mistakes in the records.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub mistakes: Vec<Mistake>,
    /// Fields that another operator set to a different value.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub differences: Vec<Difference>,
}

/// Response to a request for a list of records.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
pub struct Records {
    /// Revision of the records.
    pub revision: u64,
    /// The records.
    pub records: Vec<Fields>,
}

/// Response to a request for the decisions about a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
pub struct Explanation {
    /// Decisions by daemon.
    pub daemons: BTreeMap<String, Vec<Decision>>,
    /// Daemons that did not respond.
    pub silent: Vec<SocketAddr>,
}

/// Response to a request for the state of the fleet.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
pub struct Fleet {
    /// Highest revision in force at any daemon that responded.
    pub revision: u64,
    /// Whether all known daemons have confirmed that revision.
    pub everywhere: bool,
    /// State of each zone.
    pub zones: BTreeMap<Name, ZoneState>,
    /// Status of each daemon that responded.
    pub daemons: Vec<Status>,
    /// Daemons that did not respond, and their zones.
    pub silent: Vec<(SocketAddr, Name)>,
    /// Maximum age of the configuration with which a workspace is served, in seconds, by workspace.
    pub max_stale_seconds: BTreeMap<Name, u64>,
}

/// State of the configuration in one zone.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
pub struct ZoneState {
    /// Lowest revision in force at the zone's daemons that responded; `None` if none did.
    pub revision: Option<u64>,
    /// Number of daemons that confirmed the fleet's highest revision.
    pub confirmed: usize,
    /// Number of known daemons.
    pub daemons: usize,
}
