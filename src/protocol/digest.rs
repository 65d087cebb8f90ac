//! Datagram messages between the daemons of a platform fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::coordination::lineage::{Admitted, Beginnings};
use crate::coordination::pace;
use crate::coordination::quarantine::{Hold, Occurrence};
use crate::coordination::room;
use crate::coordination::speed::Share;
use crate::coordination::statement::Report;
use crate::coordination::usage;
use crate::state::record::Name;

/// A message with its sender.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Digest {
    /// Name of the sender.
    #[serde(rename = "n")]
    pub daemon: Name,
    /// Start time of the sender's process, in milliseconds since the epoch; distinguishes restarts.
    #[serde(rename = "s")]
    pub session: u64,
    /// Sequence number of the message within the session; strictly increasing.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// Content.
    #[serde(rename = "b")]
    pub body: Body,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub enum Body {
    /// State of the sender, sent to every peer at each heartbeat.
    #[serde(rename = "s")]
    State(Box<State>),
    /// Request to a home of a limit for units.
    #[serde(rename = "k")]
    Ask(Ask),
    /// Response of a home; the sender has deducted the units from its own bucket.
    #[serde(rename = "y")]
    Grant(Grant),
    /// Rate limit units of workspaces returned to their home; the sender has deducted them from its own balance.
    #[serde(rename = "g")]
    Given(Vec<(Name, u64)>),
    /// Demand since the last such message, sent to the placer.
    #[serde(rename = "d")]
    Demand(Demand),
    /// Adapters that requests wait for, sent to the placer.
    #[serde(rename = "w")]
    Wanted(Vec<Want>),
    /// Models and adapters loaded on engines, sent by the placer.
    #[serde(rename = "h")]
    Held(Vec<Holding>),
    /// A request that was at an endpoint when it ended.
    #[serde(rename = "c")]
    Crashed(Occurrence),
    /// Parts of prompts that were suspected of crashing endpoints and are sound.
    #[serde(rename = "v")]
    Sound(Vec<u64>),
    /// Streams that began at the sender, by the software version that began them.
    #[serde(rename = "b")]
    Begun(Beginnings),
    /// Software versions of a service at which streams may begin, if it is new.
    #[serde(rename = "r")]
    Versions(Name, Admitted),
    /// What endpoints have stated about themselves, if it is new.
    #[serde(rename = "t")]
    Stated(Vec<Report>),
    /// Places at endpoints that must not be made to reject requests.
    #[serde(rename = "m")]
    Room(room::Message),
    /// Usage of the workspaces; sent only to daemons whose heartbeats have a time of day, as others don't know it.
    #[serde(rename = "us")]
    Usage(usage::Message),
}

/// What a rate limit applies to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub enum Subject {
    /// Requests of a workspace.
    #[serde(rename = "w")]
    Workspace(Name),
    /// Requests to an endpoint that has named a limit.
    #[serde(rename = "e")]
    Endpoint(Name),
}

/// Request for units of a rate limit.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Ask {
    /// Number of the request, unique for its sender.
    #[serde(rename = "i")]
    pub id: u64,
    /// What the limit applies to.
    #[serde(flatten)]
    pub subject: Subject,
    /// Units of a caller's request that waits for them; 0 if none does.
    #[serde(rename = "u", default)]
    pub needed: u64,
    /// Units that also cover expected requests.
    #[serde(rename = "a", default)]
    pub ahead: u64,
}

/// Response to an [`Ask`].
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Grant {
    /// Number of the request.
    #[serde(rename = "i")]
    pub id: u64,
    /// What the limit applies to.
    #[serde(flatten)]
    pub subject: Subject,
    /// Units granted.
    #[serde(rename = "u", default)]
    pub units: u64,
    /// Time until the home has units again, in milliseconds, if it has none.
    #[serde(rename = "t", default)]
    pub wait_millis: u64,
}

/// Addresses and instance of a daemon, as registered in the store.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Registration {
    /// Address for gossip datagrams.
    pub gossip: SocketAddr,
    /// Address for RPC calls.
    pub calls: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Processor time of the instance, in cores.
    #[serde(default)]
    pub cores: f64,
    /// Address for requests that other daemons hand over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forward: Option<SocketAddr>,
}

/// State of a daemon.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
pub struct State {
    /// Version of the configuration in force.
    #[serde(rename = "v", default)]
    pub catalog: u64,
    /// Latest version of the operators' table that the sender has read.
    #[serde(rename = "o", default)]
    pub operator: u64,
    /// Latest version of the endpoints' table that the sender has read.
    #[serde(rename = "e", default)]
    pub endpoints: u64,
    /// Endpoints that are draining or were recently removed.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<Name>,
    /// Availability zones taken out of service.
    #[serde(rename = "z", default, skip_serializing_if = "Vec::is_empty")]
    pub out: Vec<Name>,
    /// Number of requests in flight by endpoint.
    #[serde(rename = "f", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub flights: BTreeMap<Name, u32>,
    /// Fencing token of the placement lease, if the sender holds it.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub placing: Option<u64>,
    /// Registration of the sender, for receivers that have not read it from the store; not in every message.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub registration: Option<Registration>,
    /// Parts of prompts whose requests the sender refuses.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub holds: Vec<Hold>,
    /// What endpoints have stated about themselves.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub statements: Vec<Report>,
    /// Software versions at which streams may begin, by service.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<(Name, Admitted)>,
    /// Whether the sender is shutting down.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Whether the sender has lost its links to the endpoints.
    #[serde(rename = "u", default, skip_serializing_if = "std::ops::Not::not")]
    pub unlinked: bool,
    /// Endpoints that the sender can't connect to.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub unreachable: Vec<Name>,
    /// Whether the sender gets what another daemon has in force before it decides on a request of that daemon.
    #[serde(rename = "c", default, skip_serializing_if = "std::ops::Not::not")]
    pub catches_up: bool,
    /// Time of day at the sender, in milliseconds since the Unix epoch, if it counts usage.
    #[serde(rename = "wt", default, skip_serializing_if = "Option::is_none")]
    pub wall_millis: Option<u64>,
    /// Endpoints of contended services whose speed the sender finds to differ most from that of others.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub speeds: Vec<Share>,
    /// Limits of endpoints of contended services that have started or recovered.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<pace::Share>,
}

/// Demand that one daemon has received.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
pub struct Demand {
    /// Tokens requested by model: prompt tokens, and the maximum of generated tokens.
    #[serde(rename = "w", default)]
    pub tokens: BTreeMap<Name, (u64, u64)>,
    /// Number of requests by model and adapter.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<(Name, Name, u32)>,
    /// Requests refused by service: for lack of capacity, and of a model or an adapter.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<(Name, u32, u32)>,
}

/// An adapter that requests wait for.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Want {
    /// Model of the adapter.
    #[serde(rename = "m")]
    pub model: Name,
    /// The adapter.
    #[serde(rename = "a")]
    pub adapter: Name,
    /// Software version of the engines that can serve the requests; `None` if all can.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Name>,
}

/// Models and adapters loaded on one engine.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
pub struct Holding {
    /// Name of the engine.
    #[serde(rename = "e")]
    pub engine: Name,
    /// Loaded models and their loaded adapters.
    #[serde(rename = "m")]
    pub models: BTreeMap<Name, Vec<Name>>,
}
