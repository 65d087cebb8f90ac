//! Messages between daemons, carried as JSON-RPC parameters and results.
//!
//! Frequent messages use single-letter field names, because every daemon sends heartbeats to many peers.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::coordination::bucket::{Ask, Grant};
use crate::coordination::revision::Entry;
use crate::state::document::Document;
use crate::state::record::Name;

/// Names of the methods that a daemon serves to its peers.
pub mod method {
    /// Batched message, one for each peer and heartbeat interval.
    pub const HEARTBEAT: &str = "heartbeat";
    /// Requests the use of an adapter, or releases it.
    pub const ADAPTER: &str = "adapter";
    /// Requests rate limit tokens of workspaces from their home daemon.
    pub const GRANT: &str = "grant";
    /// Requests the time since the peer last heard from another daemon.
    pub const HEARING: &str = "hearing";
    /// Reports the tokens used in the billing window, and requests tokens from it.
    pub const PEAK: &str = "peak";
    /// Requests the demand counters by model.
    pub const DEMAND: &str = "demand";
    /// Requests the configuration since a revision.
    pub const CONFIG: &str = "config";
    /// Requests the decisions about one caller's request.
    pub const EXPLAIN: &str = "explain";
    /// Requests the peer's status.
    pub const STATUS: &str = "status";
}

/// Parameters of [`method::CONFIG`].
#[derive(Debug, Clone, Copy, Deserialize, Serialize)]
pub struct ConfigParams {
    /// Revision in force at the sender.
    pub revision: u64,
}

/// Parameters of [`method::EXPLAIN`].
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ExplainParams {
    /// The request id.
    pub subject: String,
}

/// Result of [`method::CONFIG`]: changes, or all records if the changes are no longer kept.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Update {
    /// Revision after the update.
    pub revision: u64,
    /// Time since that revision was last known to be the latest, in milliseconds; `None` if it never was.
    pub age_ms: Option<u64>,
    /// Changes since the requested revision, oldest first.
    pub entries: Vec<Entry>,
    /// All records; empty if `entries` is complete.
    pub documents: Vec<Stored>,
}

/// Stored form of one record.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Stored {
    /// Kind and name.
    pub path: Arc<str>,
    /// The record as JSON text.
    pub text: Arc<str>,
}

impl From<&Document> for Stored {
    fn from(document: &Document) -> Self {
        Self {
            path: document.path.clone(),
            text: document.text.clone(),
        }
    }
}

/// Result of [`method::STATUS`].
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Status {
    /// Address of the daemon's peer listener.
    pub address: SocketAddr,
    /// Availability zone of the daemon.
    pub zone: Name,
    /// Identifier of the daemon's process.
    pub session: Name,
    /// Revision in force.
    pub revision: u64,
    /// Time since that revision was last known to be the latest, in milliseconds; `None` if it never was.
    pub age_ms: Option<u64>,
    /// Whether the daemon is shutting down.
    pub leaving: bool,
    /// Program version.
    pub version: String,
    /// Number of records that the daemon cannot read.
    pub unreadable: usize,
    /// Workspaces refused because the daemon's configuration is older than their `max_stale_seconds`.
    pub stale: Vec<Name>,
}

/// State of a daemon; both the parameters and the result of [`method::HEARTBEAT`].
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Identifier of the sender's process.
    #[serde(rename = "s")]
    pub session: Arc<str>,
    /// Address of the sender's peer listener.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Availability zone of the sender.
    #[serde(rename = "z")]
    pub zone: Name,
    /// Whether the sender is shutting down.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Configuration revision in force at the sender.
    #[serde(rename = "r", default)]
    pub revision: u64,
    /// Whether the sender holds a seat.
    #[serde(rename = "h", default, skip_serializing_if = "std::ops::Not::not")]
    pub seated: bool,
    /// Shares of workspace groups that the sender requests to borrow.
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    pub borrow: Option<Borrow>,
    /// Shares of workspace groups that the sender lends to the receiver.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub loan: Option<Loan>,
    /// A subset of the daemons that the sender knows to be alive.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub sightings: Vec<Sighting>,
    /// Load of endpoints as known to the sender.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub digests: Vec<Digest>,
}

/// Request of a home daemon to borrow shares of groups of workspaces.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Borrow {
    /// Sequence number of the request; increasing within a session.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Bit mask of the requested groups.
    #[serde(rename = "g")]
    pub groups: u32,
    /// Duration of the loan, in milliseconds.
    #[serde(rename = "m")]
    pub loan_ms: u64,
    /// Bit mask of the groups that the sender no longer uses.
    #[serde(rename = "o", default, skip_serializing_if = "is_zero")]
    pub returned: u32,
    /// Sequence number of the latest request under which the returned groups were lent.
    #[serde(rename = "k", default)]
    pub returned_sequence: u64,
}

/// Response to a [`Borrow`] request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub struct Loan {
    /// Sequence number of the request.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Bit mask of the lent groups.
    #[serde(rename = "g")]
    pub groups: u32,
    /// Number of parts lent of each group.
    #[serde(rename = "p")]
    pub parts: u32,
}

/// Parameters of [`method::GRANT`]: one daemon's requests for tokens to the home daemon of the workspaces.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Asks {
    /// Identifier of the sender's process.
    #[serde(rename = "s")]
    pub session: Arc<str>,
    /// Address of the sender's peer listener.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Requests by workspace.
    #[serde(rename = "w")]
    pub asks: Vec<(Name, Ask)>,
}

/// Result of [`method::GRANT`].
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Grants {
    /// Identifier of the home daemon's process.
    #[serde(rename = "s")]
    pub session: Arc<str>,
    /// Grants, in the order of the requests.
    #[serde(rename = "g")]
    pub grants: Vec<Grant>,
}

/// Parameters of [`method::HEARING`].
#[derive(Debug, Clone, Copy, Deserialize, Serialize)]
pub struct HearingParams {
    /// Address of the peer listener of the daemon in question.
    pub address: SocketAddr,
}

/// Result of [`method::HEARING`].
#[derive(Debug, Clone, Copy, Deserialize, Serialize)]
pub struct Contact {
    /// Time since the sender last received a message from the daemon, in milliseconds; `None` if it never did.
    pub age_ms: Option<u64>,
    /// Whether the sender is shutting down, which makes this result no evidence.
    pub leaving: bool,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// A daemon known to be alive, as reported in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Sighting {
    /// Address of the daemon's peer listener.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Availability zone of the daemon.
    #[serde(rename = "z")]
    pub zone: Name,
    /// Identifier of the daemon's process.
    #[serde(rename = "s")]
    pub session: Arc<str>,
    /// Whether the daemon is shutting down.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Time since the last message from the daemon, in milliseconds.
    #[serde(rename = "t")]
    pub age_ms: u64,
}

/// Load of one endpoint.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Digest {
    /// Name of the endpoint.
    #[serde(rename = "e")]
    pub endpoint: Name,
    /// Number of requests running on the endpoint.
    #[serde(rename = "u", default)]
    pub running: u32,
    /// Number of requests waiting for the endpoint.
    #[serde(rename = "q", default)]
    pub queued: u32,
}
