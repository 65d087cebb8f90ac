//! A caller's request, independent of the interface it arrived by.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::record::Name;
use crate::coordination::statement::Content;

/// Bit that is set in digests of whole requests and clear in those of prompt parts.
pub const CONTENT_BIT: u64 = 1 << 63;

/// A part of a prompt that several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Digest of the part.
    pub digest: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Resources that a generation requires of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Generation {
    /// Name of the model.
    pub model: Name,
    /// Name of the model's adapter, if one is used.
    pub adapter: Option<Name>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub output_tokens: u64,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
}

impl Generation {
    /// Digests of the parts that other requests may share: all but the last one. Their highest bit is clear, by which
    /// they are told from the digests of whole requests.
    ///
    /// ```
    /// use persimmoncroft::state::call::{Generation, Part};
    /// let parts = [7, 8, 9].map(|digest| Part { digest, tokens: 10 });
    /// let generation = Generation {
    ///     model: "m1".into(), adapter: None, prompt_tokens: 30, output_tokens: 5, parts: parts.to_vec(),
    /// };
    /// assert_eq!(generation.shared_parts(), [7, 8]);
    /// ```
    pub fn shared_parts(&self) -> Vec<u64> {
        let shared = self.parts.len().saturating_sub(1);
        let shared = self.parts.iter().take(shared);
        shared.map(|part| part.digest & !CONTENT_BIT).collect()
    }
}

/// One attempt of a caller; a retry by the caller is another call.
#[derive(Debug, Clone)]
pub struct Call {
    /// Identifier of the attempt.
    pub id: Name,
    /// Requested host.
    pub host: Name,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Key that the caller presented.
    pub key: Option<Name>,
    /// Resources required of an engine; `None` for plain services.
    pub generation: Option<Generation>,
    /// Whether the caller stated the number of tokens.
    pub tokens_stated: bool,
    /// Time for which the caller waits.
    pub time_left: Option<Duration>,
    /// Identifier of the last event that the caller received.
    pub last_event: Option<u64>,
    /// Identifier of the attempt that brought the first event of the stream that this call takes up again.
    pub resumes: Option<Name>,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

impl Call {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Digests of the parts of the prompt that other requests may share.
    pub fn shared_parts(&self) -> Vec<u64> {
        let generation = self.generation.as_ref();
        generation.map_or_else(Vec::new, Generation::shared_parts)
    }

    /// Digest of what two attempts of one request have in common: method, host, target, caller and body, with
    /// [`CONTENT_BIT`]. The upper half does not depend on the body, so that most other requests can be told from it
    /// without a pass over their bodies.
    ///
    /// ```
    /// use bytes::Bytes;
    /// use http::{HeaderMap, Method};
    /// use persimmoncroft::state::call::Call;
    /// let call = |id: &str, body: &'static str| Call {
    ///     id: id.into(), host: "shop.example".into(), method: Method::POST, target: "/orders".to_owned(), key: None,
    ///     generation: None, tokens_stated: false, time_left: None, last_event: None, resumes: None, headers: HeaderMap::new(),
    ///     body: Bytes::from(body),
    /// };
    /// let first = call("1", "a").content("team");
    /// assert_eq!(call("2", "a").content("team"), first);
    /// assert_ne!(call("3", "b").content("team"), first);
    /// assert_eq!(call("3", "b").outline("team"), (first >> 32) as u32);
    /// ```
    pub fn content(&self, caller: &str) -> u64 {
        let outline = self.outline(caller);
        let whole = xxh3_64_with_seed(&self.body, u64::from(outline));
        u64::from(outline) << 32 | whole >> 32
    }

    /// Upper half of [`content`](Self::content).
    pub fn outline(&self, caller: &str) -> u32 {
        let fields = [self.method.as_str(), &self.host, &self.target, caller];
        let chain = |seed, field: &str| xxh3_64_with_seed(field.as_bytes(), seed);
        let digest = fields.into_iter().fold(0, chain);
        ((digest | CONTENT_BIT) >> 32) as u32
    }

    /// Returns the sum of prompt and output tokens, if stated.
    pub fn tokens(&self) -> Option<u64> {
        let generation = self.generation.as_ref().filter(|_| self.tokens_stated)?;
        let output = generation.output_tokens;
        Some(generation.prompt_tokens.saturating_add(output))
    }
}

/// Parameters for sending a call to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// Identifier of the intended endpoint process.
    pub endpoint: Name,
    /// Address of the endpoint, sent as `Host` of the request.
    pub address: std::net::SocketAddr,
    /// Workspace that the call runs for.
    pub workspace: Option<Name>,
    /// Time left until the call's deadline.
    pub left: Duration,
    /// Priority at the endpoint, 0 (most urgent) to 9.
    pub priority: u8,
    /// Identifier of the event after which to resume a stream.
    pub resume_after: Option<u64>,
}

/// Whether a connection can be reused after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepAlive {
    /// The connection is closed.
    Close,
    /// The connection stays open for an unknown time.
    Open,
    /// The connection stays open while it is idle for less than this time.
    For(Duration),
}

/// Parsed head of an endpoint's response.
#[derive(Debug, Clone, PartialEq)]
pub struct Head {
    /// Identifier of the call that the response belongs to.
    pub id: Option<Name>,
    /// Whether the response carries the endpoint's signature.
    pub signed: bool,
    /// Whether the endpoint states that the call did not run.
    pub not_run: bool,
    /// Identifier of the endpoint process that responded, if stated.
    pub endpoint: Option<Name>,
    /// Remaining time of the endpoint's cold start, if stated.
    pub cold: Option<Duration>,
    /// What the endpoint states about itself.
    pub statement: Content,
    /// Time for which the endpoint wants no requests from this daemon, if it states one.
    pub quiet: Option<Duration>,
    /// Whether and how long the connection may be kept for reuse after this response.
    pub keep_alive: KeepAlive,
}
