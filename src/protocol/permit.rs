//! Messages about permits. Field names are short because two messages are sent for every request.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::state::record::Name;

/// Names of the methods.
pub mod method {
    /// Requests one permit; repeated while the request waits.
    pub const PERMIT: &str = "permit";
    /// Renews and returns permits in a batch.
    pub const HOLD: &str = "hold";
    /// Requests a zone member's consent to become the home of endpoints, for a limited time.
    pub const CONSENT: &str = "consent";
}

/// Parameters of [`method::PERMIT`].
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Ask {
    /// Name of the endpoint.
    #[serde(rename = "e")]
    pub endpoint: Name,
    /// Hash of the holder's session.
    #[serde(rename = "h")]
    pub holder: u64,
    /// Number that the holder gave to the permit.
    #[serde(rename = "n")]
    pub number: u64,
    /// Name of the workspace; empty on open routes.
    #[serde(rename = "w")]
    pub workspace: Name,
    /// Priority class.
    #[serde(rename = "p")]
    pub class: u8,
    /// Cost of the request, in tokens.
    #[serde(rename = "t")]
    pub tokens: u64,
    /// Time until the latest start that is still useful, in milliseconds.
    #[serde(rename = "d")]
    pub max_wait_millis: u64,
}

/// Summary of an endpoint: limit, permits in use, requests waiting and typical hold time in milliseconds.
pub type Digest = [u32; 4];

/// Result of [`method::PERMIT`].
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub enum Answer {
    /// The request may be sent.
    #[serde(rename = "g")]
    Granted(Digest),
    /// The request waits; with the expected wait in milliseconds.
    #[serde(rename = "w")]
    Wait(u64, Digest),
    /// The endpoint is overloaded; with the time after which to retry, in milliseconds.
    #[serde(rename = "b")]
    Busy(u64, Digest),
    /// The endpoint accepts no new requests.
    #[serde(rename = "c")]
    Closed,
    /// The receiver is not the endpoint's home.
    #[serde(rename = "e")]
    Elsewhere,
}

/// A returned permit: endpoint, number, outcome code and time to the first byte in milliseconds.
pub type Return = (Name, u64, u8, u64);

/// Parameters of [`method::HOLD`].
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Hold {
    /// Hash of the holder's session.
    #[serde(rename = "h")]
    pub holder: u64,
    /// Permits to renew, by endpoint.
    #[serde(rename = "k", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub keep: BTreeMap<Name, Vec<u64>>,
    /// Returned permits.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub returned: Vec<Return>,
}

/// Result of [`method::HOLD`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Held {
    /// Permits that were renewed, by endpoint.
    #[serde(rename = "k", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub kept: BTreeMap<Name, Vec<u64>>,
    /// Summaries of the endpoints in the request.
    #[serde(rename = "d", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub digests: BTreeMap<Name, Digest>,
}

/// Parameters of [`method::CONSENT`].
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Borrow {
    /// Peer address of the borrower.
    #[serde(rename = "m")]
    pub borrower: SocketAddr,
    /// Endpoints, with summaries of those for which the borrower is already the home.
    #[serde(rename = "e")]
    pub endpoints: Vec<(Name, Option<Digest>)>,
    /// Former homes that stopped at the borrower's request, with the index of the endpoint.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub stopped: Vec<(usize, SocketAddr)>,
}

/// Former homes, with the time until their permits have expired in milliseconds.
pub type Predecessors = Vec<(SocketAddr, u64)>;

/// Result of [`method::CONSENT`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Consents {
    /// Consents in the order of the endpoints; `None` if refused.
    #[serde(rename = "l")]
    pub consents: Vec<Option<Predecessors>>,
    /// State that the responding daemon hands over, with the index of the endpoint.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub handovers: Vec<(usize, Handover)>,
}

/// State of an endpoint at its former home.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Handover {
    /// Outstanding permits as pairs of holder and number.
    #[serde(rename = "p")]
    pub permits: Vec<(u64, u64)>,
    /// Concurrency limit, in thousandths.
    #[serde(rename = "l")]
    pub limit_milli: u64,
    /// Hash of the endpoint's boot identifier.
    #[serde(rename = "b")]
    pub boot: Option<u64>,
    /// Time until permits unknown to the former home have expired, in milliseconds.
    #[serde(rename = "c")]
    pub clear_millis: u64,
}
