//! Claims that make a non-repeatable call run at most once.
//!
//! A claim is a table row that is created before the call is sent. Only the attempt whose nonce is in the row may
//! send, and it sends once. Another attempt may take over the row only if it was released, or if the daemon that holds
//! it confirms that it has not sent the call and never will.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Key prefix of claim rows.
pub const PREFIX: &str = "claim/";

/// Maximum number of writes of one claim with an unknown outcome before the attempt is abandoned.
pub const MAX_CLAIM_WRITES: u8 = 3;

/// Identifies a call that a client wants executed at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Subject<'a> {
    /// Workspace; `None` on open routes.
    pub workspace: Option<&'a str>,
    /// Route name.
    pub route: &'a str,
    /// The client's `Idempotency-Key`.
    pub key: &'a str,
}

impl Subject<'_> {
    /// Returns the table key of the claim row.
    ///
    /// ```
    /// use persimmoncroft::coordination::claim::Subject;
    /// let mine = Subject { workspace: Some("lab"), route: "charges", key: "order-7" };
    /// let other = Subject { workspace: Some("shop"), ..mine };
    /// assert_ne!(mine.row_key(), other.row_key());
    /// ```
    pub fn row_key(&self) -> String {
        let owner = match self.workspace {
            Some(workspace) => format!("workspace {workspace}"),
            None => "open".to_owned(),
        };
        let digest = hex::encode(Sha256::digest(length_prefixed(&[
            owner.as_bytes(),
            self.route.as_bytes(),
            self.key.as_bytes(),
        ])));
        format!("{PREFIX}{}/{digest}", &digest[..1])
    }
}

/// Returns a digest of a request, to detect that a key is reused for a different request.
///
/// ```
/// use persimmoncroft::coordination::claim::fingerprint;
/// assert_ne!(fingerprint("POST", "/charges", b"1"), fingerprint("POST", "/charges", b"2"));
/// ```
pub fn fingerprint(method: &str, target: &str, body: &[u8]) -> Arc<str> {
    let parts = length_prefixed(&[method.as_bytes(), target.as_bytes(), body]);
    hex::encode(Sha256::digest(parts)).into()
}

/// Concatenates length-prefixed fields, so that different lists of fields give different bytes.
fn length_prefixed(parts: &[&[u8]]) -> Vec<u8> {
    let mut joined = Vec::new();
    for part in parts {
        joined.extend_from_slice(&(part.len() as u64).to_le_bytes());
        joined.extend_from_slice(part);
    }
    joined
}

/// An HTTP header of a stored response.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct Header {
    /// Name, in lower case.
    pub name: Arc<str>,
    /// Value.
    pub value: Arc<str>,
}

/// The response to a call, stored for duplicate requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end headers.
    #[serde(default)]
    pub headers: Vec<Header>,
    /// Base64-encoded body.
    #[serde(default)]
    pub body: Arc<str>,
    /// Whether the body is in the object store instead, under the claim's nonce.
    #[serde(default)]
    pub stored: bool,
}

/// State of a claim, as stored in its row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum State {
    /// Held by the attempt with this nonce, which may or may not have sent the call.
    Held,
    /// Released before the call was sent.
    Released,
    /// The response is stored.
    Answered {
        /// The stored response.
        answer: Answer,
    },
    /// The call was sent but no response arrived.
    Unknown,
}

/// Value of a claim row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct Claim {
    /// Unique identifier of the attempt.
    pub nonce: Arc<str>,
    /// Session of the daemon that makes the attempt.
    pub session: Arc<str>,
    /// Peer address of that daemon.
    pub address: SocketAddr,
    /// Digest of the request, see [`fingerprint`].
    pub fingerprint: Arc<str>,
    /// Day of creation, in days since the Unix epoch; old rows are removed.
    pub day: u64,
    /// State of the call.
    #[serde(flatten)]
    pub state: State,
}

/// Next action after reading a claim row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// No active attempt: overwrite the row that was read with a new claim.
    Write,
    /// Return the stored response to the client.
    Replay(Answer),
    /// The key was used for a different request.
    Mismatch,
    /// Query the daemon that holds the claim.
    Ask,
    /// The call was sent and its outcome is unknown.
    Unknown,
}

/// Returns the next action for the claim row that was read, `None` if it does not exist.
///
/// ```
/// use persimmoncroft::coordination::claim::{Step, examine};
/// assert_eq!(examine(None, "digest"), Step::Write);
/// ```
pub fn examine(claim: Option<&Claim>, fingerprint: &str) -> Step {
    let Some(claim) = claim else {
        return Step::Write;
    };
    if &*claim.fingerprint != fingerprint {
        return Step::Mismatch;
    }
    match &claim.state {
        State::Held => Step::Ask,
        State::Released => Step::Write,
        State::Answered { answer } => Step::Replay(answer.clone()),
        State::Unknown => Step::Unknown,
    }
}

/// Reply of a claim's holder about its attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(tag = "word", rename_all = "snake_case")]
pub enum Reply {
    /// The call was not sent and will not be.
    NeverSent,
    /// The attempt is still running.
    InProgress,
    /// The response has arrived.
    Answered {
        /// The response.
        answer: Answer,
    },
    /// The call was sent but no response arrived, or the holder does not know the attempt.
    Unknown,
}

/// Outcome for a duplicate request after querying the holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Overwrite the row that was read with a new claim.
    Write,
    /// Return the response to the client.
    Replay(Answer),
    /// Refuse: the call is in progress.
    InProgress,
    /// Refuse: the call may have run.
    Unknown,
}

/// Returns the outcome for a duplicate; `reply` is `None` if the holder is unreachable or has restarted.
///
/// ```
/// use persimmoncroft::coordination::claim::{Verdict, Reply, resolve};
/// assert_eq!(resolve(Some(Reply::NeverSent)), Verdict::Write);
/// assert_eq!(resolve(None), Verdict::Unknown);
/// ```
pub fn resolve(reply: Option<Reply>) -> Verdict {
    match reply {
        Some(Reply::NeverSent) => Verdict::Write,
        Some(Reply::InProgress) => Verdict::InProgress,
        Some(Reply::Answered { answer }) => Verdict::Replay(answer),
        Some(Reply::Unknown) | None => Verdict::Unknown,
    }
}

/// Result of a claim write, as known to the writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Written {
    /// The write was applied and the row has this version.
    Applied { version: u64 },
    /// A version check failed: the row has changed since it was read.
    Conflict,
    /// The write was not applied.
    Unavailable,
    /// No reply arrived; the write may have been applied or may still be.
    Lost,
}

/// Content of the row, read after a write with an unclear result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Found {
    /// The attempt's own nonce, in state [`State::Held`], at this version.
    Own { version: u64 },
    /// Unchanged since before the write.
    Before,
    /// Another claim.
    Other,
    /// The read failed.
    Nothing,
}

/// Phase of one attempt to run a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The claim is being written; `writes` counts the writes so far.
    Writing { writes: u8 },
    /// The result of the last write is unclear: the row has to be read.
    Reading { writes: u8 },
    /// The claim is held at this version; the call may be sent.
    Held { version: u64 },
    /// The call was sent.
    Sent { version: u64 },
    /// The response arrived.
    Answered { version: u64, answer: Answer },
    /// The call was sent and its outcome is unknown.
    Unknown { version: u64 },
    /// Abandoned before sending; final.
    Abandoned { version: Option<u64> },
}

/// One attempt to run a call, as tracked by the daemon that makes it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Attempt {
    phase: Phase,
}

impl Default for Attempt {
    fn default() -> Self {
        Self::open()
    }
}

impl Attempt {
    /// Creates an attempt whose claim is about to be written.
    ///
    /// ```
    /// use persimmoncroft::coordination::claim::{Attempt, Written};
    /// let mut attempt = Attempt::open();
    /// attempt.written(Written::Applied { version: 4 });
    /// assert!(attempt.send());
    /// assert!(!attempt.send(), "a call is sent at most once");
    /// ```
    pub fn open() -> Self {
        Self {
            phase: Phase::Writing { writes: 1 },
        }
    }

    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Handles the result of a claim write.
    pub fn written(&mut self, written: Written) {
        let Phase::Writing { writes } = self.phase else {
            return;
        };
        self.phase = match written {
            Written::Applied { version } => Phase::Held { version },
            Written::Conflict | Written::Lost => Phase::Reading { writes },
            Written::Unavailable => Phase::Abandoned { version: None },
        };
    }

    /// Handles the result of reading the row after a write with an unclear result.
    pub fn found(&mut self, found: Found) {
        let Phase::Reading { writes } = self.phase else {
            return;
        };
        self.phase = match found {
            Found::Own { version } => Phase::Held { version },
            Found::Before if writes < MAX_CLAIM_WRITES => Phase::Writing { writes: writes + 1 },
            Found::Before | Found::Other | Found::Nothing => Phase::Abandoned { version: None },
        };
    }

    /// Returns whether the call may be sent now: at most once, and only while the claim is held.
    #[must_use]
    pub fn send(&mut self) -> bool {
        let Phase::Held { version } = self.phase else {
            return false;
        };
        self.phase = Phase::Sent { version };
        true
    }

    /// Handles proof that the endpoint received nothing, which allows the call to be sent again.
    pub fn not_sent(&mut self) {
        if let Phase::Sent { version } = self.phase {
            self.phase = Phase::Held { version };
        }
    }

    /// Records the response, or `None` if it was lost.
    pub fn finish(&mut self, answer: Option<Answer>) {
        let Phase::Sent { version } = self.phase else {
            return;
        };
        self.phase = match answer {
            Some(answer) => Phase::Answered { version, answer },
            None => Phase::Unknown { version },
        };
    }

    /// Abandons the attempt unless the call was sent; returns whether the call is certain never to be sent.
    pub fn abandon(&mut self) -> bool {
        self.phase = match self.phase {
            Phase::Held { version } => Phase::Abandoned {
                version: Some(version),
            },
            Phase::Writing { .. } | Phase::Reading { .. } => Phase::Abandoned { version: None },
            _ => return matches!(self.phase, Phase::Abandoned { .. }),
        };
        true
    }

    /// Returns the reply to a daemon that queries this attempt.
    pub fn reply(&self) -> Reply {
        match &self.phase {
            Phase::Abandoned { .. } => Reply::NeverSent,
            Phase::Answered { answer, .. } => Reply::Answered {
                answer: answer.clone(),
            },
            Phase::Unknown { .. } => Reply::Unknown,
            _ => Reply::InProgress,
        }
    }

    /// Returns the row version to check and the final state to write, if there is anything to write.
    pub fn final_write(&self) -> Option<(u64, State)> {
        match &self.phase {
            Phase::Answered { version, answer } => {
                let answer = answer.clone();
                Some((*version, State::Answered { answer }))
            }
            Phase::Unknown { version } => Some((*version, State::Unknown)),
            Phase::Abandoned {
                version: Some(version),
            } => Some((*version, State::Released)),
            _ => None,
        }
    }
}
