//! Control messages between daemons and model engines, apart from the OpenAI-compatible data path.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::state::record::Name;

/// Header with the request id, sent to endpoints and echoed by them.
pub const REQUEST_ID: &str = "x-request-id";

/// Header with the priority class, sent to engines; lower numbers are served first.
pub const PRIORITY: &str = "x-priority";

/// Body field of a completion request: number of tokens already delivered, which the engine skips.
pub const RESUME_FIELD: &str = "resume_from";

/// Response to `GET /load`: the engine's state, which may be out of date.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Load {
    /// Identifier of the engine's process; changes at every start.
    pub boot: String,
    /// Whether the engine reports itself ready.
    pub ready: bool,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued in the engine.
    pub waiting: u32,
    /// Loaded models.
    pub models: Vec<Resident>,
    /// Loaded adapters.
    pub adapters: Vec<Name>,
    /// Accelerator memory in use, in MiB.
    pub used_mib: u64,
    /// Total accelerator memory, in MiB.
    pub memory_mib: u64,
    /// Identifier of the last order that was executed or refused.
    pub last_order: Option<String>,
    /// Highest fencing token seen.
    pub fence: u64,
    /// Sequence number of the latest cache event.
    pub cache_sequence: u64,
}

/// A loaded model.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct Resident {
    /// Name of the model.
    pub model: Name,
    /// Version of the model.
    pub version: u64,
    /// Whether loading is complete and the model serves requests.
    pub ready: bool,
}

/// Body of `POST /orders`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct Order {
    /// Identifier; an order whose identifier was already executed is acknowledged but not executed again.
    pub id: String,
    /// Fencing token of the sender's lease.
    pub fence: u64,
    /// Action to execute.
    pub action: Action,
}

/// Action of an order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Action {
    /// Loads a model.
    LoadModel {
        /// The model.
        model: Name,
        /// Its version.
        version: u64,
        /// Its memory, in MiB.
        memory_mib: u64,
    },
    /// Unloads all versions of a model up to and including the given one.
    UnloadModel {
        /// The model.
        model: Name,
        /// Its version.
        version: u64,
    },
    /// Loads an adapter.
    LoadAdapter {
        /// The adapter.
        adapter: Name,
        /// Its model.
        model: Name,
        /// Its memory, in MiB.
        memory_mib: u64,
    },
    /// Unloads an adapter.
    UnloadAdapter {
        /// The adapter.
        adapter: Name,
    },
}

/// Response to an order.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// Executed, now or earlier under the same identifier.
    Done,
    /// Accepted; completion is visible in the load report.
    Accepted,
    /// Refused: the fencing token is lower than one seen before.
    Stale {
        /// Highest fencing token seen.
        fence: u64,
    },
    /// Refused for another reason, with no effect.
    Refused {
        /// Reason of the refusal.
        reason: String,
    },
}

/// Response to `GET /events?after=SEQUENCE`: changes of the prefix cache; events may arrive late or be missing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Events {
    /// Events after the requested sequence number, oldest first.
    pub events: Vec<Event>,
}

/// One change of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Event {
    /// Sequence number; a gap indicates lost events.
    pub sequence: u64,
    /// Hash of the prefix block, chained over all preceding blocks.
    pub block: u64,
    /// `true` if the block was stored, `false` if it was evicted.
    pub stored: bool,
}

/// Bytes of prompt text in one block of the prefix cache.
pub const BLOCK_BYTES: usize = 64;

/// Returns the chained hashes of a prompt's complete blocks, for one model or adapter.
///
/// ```
/// use persimmoncroft::protocol::engine::block_hashes;
/// let long = "x".repeat(130);
/// assert_eq!(block_hashes("notes", &long).len(), 2);
/// assert_eq!(block_hashes("notes", &long[..64])[0], block_hashes("notes", &long)[0]);
/// ```
pub fn block_hashes(model: &str, prompt: &str) -> Vec<u64> {
    let mut previous = xxh3_64_with_seed(model.as_bytes(), 0);
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    let hashes = blocks.map(|block| {
        previous = xxh3_64_with_seed(block, previous);
        previous
    });
    hashes.collect()
}
