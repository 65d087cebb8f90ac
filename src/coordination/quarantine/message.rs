//! What daemons tell each other about crashes and holds.

use serde::{Deserialize, Serialize};

/// A part of a request that was at an endpoint when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub struct Suspect {
    /// Digest of the part.
    #[serde(rename = "p")]
    pub part: u64,
    /// Whether the reporting daemon has seen a request with this part outlive its start within the last minute.
    #[serde(rename = "v", default, skip_serializing_if = "std::ops::Not::not")]
    pub vouched: bool,
}

/// A request that had just got its response head when its endpoint ended.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Occurrence {
    /// Digest of the endpoint's start that ended.
    #[serde(rename = "c")]
    pub crash: u64,
    /// Digest of the request.
    #[serde(rename = "r")]
    pub request: u64,
    /// Parts of the request's prompt.
    #[serde(rename = "p")]
    pub parts: Vec<Suspect>,
}

/// Parts that are held together, as daemons announce them to each other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Hold {
    /// Digests of the parts, in ascending order.
    #[serde(rename = "p")]
    pub parts: Vec<u64>,
    /// Time left, in milliseconds.
    #[serde(rename = "t")]
    pub left_millis: u64,
    /// Number of crashes that the parts account for.
    #[serde(rename = "n")]
    pub crashes: usize,
    /// Digest of the last crash.
    #[serde(rename = "c")]
    pub last_crash: u64,
    /// Time since the last crash, in milliseconds.
    #[serde(rename = "a", default)]
    pub age_millis: u64,
    /// Whether a probe has crashed an endpoint.
    #[serde(rename = "f", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_confirmed: bool,
    /// Key under which the hold is stored.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub stored_as: Option<u64>,
    /// How often the store had been restored from a copy when the hold was stored.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    pub stored_era: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Permission to send a request that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// The request may be sent.
    Free,
    /// The request may be sent by the daemon that takes this probe first, by the key of the hold and the number of the
    /// probe.
    Numbered(u64, u32),
}
