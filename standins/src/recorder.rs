//! Requests and tokens recorded by the stand-ins, from which the trial tool counts violations.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use http::Request;
use parking_lot::Mutex;

/// Prefix of every API key in a trial.
pub const SECRET_PREFIX: &str = "sk-";

const TAG_START: &str = "[[";
const TAG_END: &str = "]]";

/// Returns the tag that identifies a request in its prompt or booking: `[[workspace/serial]]`.
pub fn tag(workspace: &str, serial: u64) -> String {
    format!("{TAG_START}{workspace}/{serial}{TAG_END}")
}

/// Returns the first tag in a text, without its brackets.
pub fn find_tag(text: &str) -> Option<&str> {
    let (_, rest) = text.split_once(TAG_START)?;
    Some(rest.split_once(TAG_END)?.0)
}

/// A request that an endpoint started to run.
#[derive(Debug, Clone)]
pub struct Run {
    /// Time since the recorder was created.
    pub at: Duration,
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Availability zone of the endpoint.
    pub zone: Arc<str>,
    /// Tag of the request; empty if it has none.
    pub tag: String,
}

/// Tokens charged to a request.
#[derive(Debug, Clone)]
pub struct Usage {
    /// Time since the recorder was created.
    pub at: Duration,
    /// Tag of the request.
    pub tag: Arc<str>,
    /// Number of tokens.
    pub tokens: u64,
}

/// Observations of all stand-ins in one trial.
#[derive(Debug)]
pub struct Recorder {
    origin: Instant,
    /// Requests that started to run.
    pub runs: Mutex<Vec<Run>>,
    /// Tokens by request.
    pub usages: Mutex<Vec<Usage>>,
    /// Number of runs by booking tag.
    pub bookings: Mutex<HashMap<String, u64>>,
    /// Requests whose headers or URI contain an API key.
    pub leaked_keys: AtomicU64,
    /// Requests whose workspace header differs from their tag.
    pub workspace_mismatches: AtomicU64,
    /// Loads that did not fit into memory.
    pub memory_overcommits: AtomicU64,
    /// Requests that overloaded a cold engine after its grace period.
    pub cold_overloads: AtomicU64,
    /// Executed model loads and unloads.
    pub moves: AtomicU64,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            runs: Mutex::default(),
            usages: Mutex::default(),
            bookings: Mutex::default(),
            leaked_keys: AtomicU64::default(),
            workspace_mismatches: AtomicU64::default(),
            memory_overcommits: AtomicU64::default(),
            cold_overloads: AtomicU64::default(),
            moves: AtomicU64::default(),
        }
    }
}

impl Recorder {
    /// Returns the time since the recorder was created.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Checks the headers and URI of a request for API keys and for a workspace other than its tag's.
    pub fn inspect_request<T>(&self, request: &Request<T>, tag: &str) {
        let mut values = request.headers().values();
        let in_header = values.any(|value| contains_secret(value.as_bytes()));
        if in_header || contains_secret(request.uri().to_string().as_bytes()) {
            self.leaked_keys.fetch_add(1, Relaxed);
        }
        let workspace = request.headers().get("x-workspace");
        let workspace = workspace.and_then(|value| value.to_str().ok());
        if workspace.is_some_and(|workspace| Some(workspace) != tag.split('/').next()) {
            self.workspace_mismatches.fetch_add(1, Relaxed);
        }
    }

    /// Records that an endpoint started to run a request.
    pub fn record_run(&self, endpoint: &Arc<str>, zone: &Arc<str>, tag: &str) {
        self.runs.lock().push(Run {
            at: self.now(),
            endpoint: endpoint.clone(),
            zone: zone.clone(),
            tag: tag.to_owned(),
        });
    }

    /// Records tokens charged to a request.
    pub fn record_tokens(&self, tag: &Arc<str>, tokens: u64) {
        self.usages.lock().push(Usage {
            at: self.now(),
            tag: tag.clone(),
            tokens,
        });
    }

    /// Returns the tags of all requests that ran.
    pub fn run_tags(&self) -> HashSet<String> {
        self.runs.lock().iter().map(|run| run.tag.clone()).collect()
    }

    /// Returns the number of repeated runs of bookings.
    pub fn double_runs(&self) -> u64 {
        self.bookings.lock().values().map(|runs| runs - 1).sum()
    }
}

fn contains_secret(bytes: &[u8]) -> bool {
    bytes
        .windows(SECRET_PREFIX.len())
        .any(|window| window == SECRET_PREFIX.as_bytes())
}
