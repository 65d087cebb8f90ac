//! A caller's request as the daemon sees it, whatever interface it came by.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};

use super::record::Name;

/// A part of a prompt that requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Digest of the part.
    pub digest: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a generation needs of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Generation {
    /// Model.
    pub model: Name,
    /// Adapter of the model.
    pub adapter: Option<Name>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens to generate at most.
    pub output_tokens: u64,
    /// Parts of the prompt in order.
    pub parts: Vec<Part>,
}

/// One attempt of a caller.
#[derive(Debug, Clone)]
pub struct Call {
    /// Identifier of the attempt.
    pub id: Name,
    /// Host that was asked for.
    pub host: Name,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Key that the caller presented.
    pub key: Option<Name>,
    /// What it needs of an engine; none for plain services.
    pub generation: Option<Generation>,
    /// Whether the caller stated its tokens.
    pub tokens_stated: bool,
    /// Time that the caller will wait.
    pub patience: Option<Duration>,
    /// Identifier of the last event that the caller has.
    pub last_event: Option<u64>,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Prompt and output tokens, if stated.
    pub fn tokens(&self) -> Option<u64> {
        let generation = self.generation.as_ref().filter(|_| self.tokens_stated)?;
        Some(generation.prompt_tokens + generation.output_tokens)
    }
}

/// How a call is sent to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The start of an endpoint that is meant.
    pub endpoint: Name,
    /// Address as the `Host` of the request.
    pub address: std::net::SocketAddr,
    /// Workspace that it runs for.
    pub workspace: Option<Name>,
    /// Time left.
    pub left: Duration,
    /// Rank at the endpoint, 0 to 9.
    pub priority: u8,
    /// Go on after this event.
    pub resume_after: Option<u64>,
}

/// Whether a connection serves another request after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepAlive {
    /// It closes.
    Close,
    /// It stays open, for an unknown time.
    Open,
    /// It stays open while it is idle for less than this.
    For(Duration),
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Identifier of the call that it answers.
    pub id: Option<Name>,
    /// Whether the endpoint signed it.
    pub signed: bool,
    /// Whether the endpoint states that the call has not run.
    pub not_run: bool,
    /// The start of an endpoint that answered, if it names itself.
    pub endpoint: Option<Name>,
    /// Time for which the endpoint stays cold, if it says so.
    pub cold: Option<Duration>,
    /// Time for which the connection may stay idle; none when it closes after this answer.
    pub keep_alive: KeepAlive,
}
