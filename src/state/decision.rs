//! Recent routing and placement decisions, kept so that operators can trace a request.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::record::Name;

/// One routing or placement decision.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Decision {
    /// Component that decided; the prefix of its log lines.
    pub part: Arc<str>,
    /// Request id or order id that the decision is about.
    pub subject: Arc<str>,
    /// Workspace; `None` on open routes and for placement.
    pub workspace: Option<Name>,
    /// Number of candidates considered.
    pub candidates: usize,
    /// Chosen candidate; `None` if the request was refused.
    pub choice: Option<Name>,
    /// Short reason.
    pub reason: Arc<str>,
    /// Time of the decision since the daemon's start.
    pub at: Duration,
}

/// Ring buffer of the latest decisions, oldest first.
#[derive(Debug)]
pub struct Ring {
    capacity: usize,
    decisions: Mutex<VecDeque<Decision>>,
}

impl Ring {
    /// Creates an empty buffer for up to `capacity` decisions.
    pub fn open(capacity: usize) -> Self {
        Self {
            capacity,
            decisions: Mutex::default(),
        }
    }

    /// Adds a decision, and evicts the oldest one if the buffer is full.
    pub fn push(&self, decision: Decision) {
        let mut decisions = self.decisions.lock();
        decisions.push_back(decision);
        if decisions.len() > self.capacity {
            decisions.pop_front();
        }
    }

    /// Returns the decisions about one request or order, oldest first.
    ///
    /// ```
    /// use persimmoncroft::state::decision::Ring;
    /// assert!(Ring::open(8).about("request-1").is_empty());
    /// ```
    pub fn about(&self, subject: &str) -> Vec<Decision> {
        let decisions = self.decisions.lock();
        let matching = decisions
            .iter()
            .filter(|decision| &*decision.subject == subject);
        matching.cloned().collect()
    }
}
