//! What daemons of a platform fleet tell each other by datagram.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::state::record::Name;

/// A message and who sent it.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Digest {
    /// Name of the sender.
    #[serde(rename = "n")]
    pub daemon: Name,
    /// Start of the sender's process, in milliseconds since the epoch; tells restarts apart.
    #[serde(rename = "s")]
    pub session: u64,
    /// Number of the message within the session; it only rises.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// What it says.
    #[serde(rename = "b")]
    pub body: Body,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub enum Body {
    /// State of the sender, to every peer once per heartbeat.
    #[serde(rename = "s")]
    State(State),
    /// Units of workspaces given to the receiver; the sender has taken them out of its own level.
    #[serde(rename = "g")]
    Given(Vec<(Name, u64)>),
    /// Demand since the last such message, to the placer.
    #[serde(rename = "d")]
    Demand(Demand),
    /// Adapters that requests wait for, to the placer: model and adapter.
    #[serde(rename = "w")]
    Wanted(Vec<(Name, Name)>),
    /// Models and adapters that engines hold, from the placer.
    #[serde(rename = "h")]
    Held(Vec<Holding>),
}

/// State of a daemon.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
pub struct State {
    /// Version of the configuration in force.
    #[serde(rename = "v", default)]
    pub catalog: u64,
    /// Newest version of the operators' table that the sender has read.
    #[serde(rename = "o", default)]
    pub operator: u64,
    /// Newest version of the endpoints' table that the sender has read.
    #[serde(rename = "e", default)]
    pub endpoints: u64,
    /// Endpoints that are leaving or left a short while ago.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<Name>,
    /// Availability zones that are taken out.
    #[serde(rename = "z", default, skip_serializing_if = "Vec::is_empty")]
    pub out: Vec<Name>,
    /// Requests in flight by endpoint.
    #[serde(rename = "f", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub flights: BTreeMap<Name, u32>,
    /// Units that the sender misses by workspace.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub missing: Vec<(Name, u64)>,
    /// Fencing token, if the sender places models.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub placing: Option<u64>,
    /// Whether the sender is leaving.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// Demand that one daemon has seen.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
pub struct Demand {
    /// Tokens offered by model: prompts, and generated ones at most.
    #[serde(rename = "w", default)]
    pub tokens: BTreeMap<Name, (u64, u64)>,
    /// Requests offered by model and adapter.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<(Name, Name, u32)>,
}

/// What one engine holds.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
pub struct Holding {
    /// Engine.
    #[serde(rename = "e")]
    pub engine: Name,
    /// Models and their adapters.
    #[serde(rename = "m")]
    pub models: BTreeMap<Name, Vec<Name>>,
}
