//! Table rows of deferrable jobs and their transitions.
//!
//! A job has a row for its owner and, until it has ended, a queue row for the daemons that run jobs. The queue row is
//! the lease: every later write checks its version, so a result is recorded once.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::state::record::Name;

/// Key prefix of job rows; followed by workspace and identifier.
pub const JOB_PREFIX: &str = "job/";

/// Key prefix of queue rows; followed by shard and identifier.
pub const QUEUE_PREFIX: &str = "job-queue/";

/// Key prefix of rows of ended jobs; followed by day, workspace and identifier.
pub const ENDED_PREFIX: &str = "job-ended/";

/// Number of queue shards.
pub const SHARDS: u8 = 16;

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Accepted or running.
    Accepted,
    /// Ended, with a recorded response.
    Done,
    /// Cancelled by its owner.
    Cancelled,
}

/// Response to an ended job.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Body, if it is short.
    pub body: Option<String>,
    /// Name of the object with the body otherwise.
    pub object: Option<String>,
}

/// A job as seen by its owner; stored as one row.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Job {
    /// Identifier.
    pub id: Arc<str>,
    /// Workspace that submitted it.
    pub workspace: Name,
    /// Path of the completion request.
    pub path: String,
    /// Body of the completion request.
    pub body: String,
    /// SHA-256 of path and body, to recognize a resubmission.
    pub digest: Arc<str>,
    /// State of the job.
    pub state: State,
    /// Deadline, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
    /// Response, once the job has ended.
    #[serde(default)]
    pub answer: Option<Answer>,
}

/// What a runner needs to choose a job; one row per job that has not ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct Ticket {
    /// Identifier of the job.
    pub id: Arc<str>,
    /// Workspace that submitted it.
    pub workspace: Name,
    /// Maximum number of tokens.
    pub tokens: u64,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// Deadline, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
    /// Session of the daemon that runs it; `None` while it waits.
    pub holder: Option<Arc<str>>,
    /// Fencing number; increases with every new holder.
    pub fence: u64,
}

impl Ticket {
    /// Returns the ticket with a new holder.
    ///
    /// ```
    /// use persimmoncroft::coordination::job::Ticket;
    /// let ticket = Ticket {
    ///     id: "1".into(), workspace: "lab".into(), tokens: 9, accepted_unix_ms: 0, deadline_unix_ms: 1000,
    ///     holder: None, fence: 3,
    /// };
    /// assert_eq!(ticket.claimed_by("s1").fence, 4);
    /// ```
    #[must_use]
    pub fn claimed_by(&self, session: &str) -> Self {
        Self {
            holder: Some(session.into()),
            fence: self.fence + 1,
            ..self.clone()
        }
    }

    /// Returns the ticket without a holder.
    #[must_use]
    pub fn released(&self) -> Self {
        Self {
            holder: None,
            ..self.clone()
        }
    }
}

/// Returns the key of a job's row.
pub fn job_key(workspace: &str, id: &str) -> String {
    format!("{JOB_PREFIX}{workspace}/{id}")
}

/// Returns the key of a job's queue row.
pub fn queue_key(id: &str) -> String {
    format!("{}{id}", shard_prefix(shard(id)))
}

/// Returns the key prefix of a shard's queue rows.
pub fn shard_prefix(shard: u8) -> String {
    format!("{QUEUE_PREFIX}{shard:02}/")
}

/// Returns the queue shard of a job.
pub fn shard(id: &str) -> u8 {
    (xxhash_rust::xxh3::xxh3_64(id.as_bytes()) % u64::from(SHARDS)) as u8
}
