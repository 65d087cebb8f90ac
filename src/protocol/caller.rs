//! Caller-facing API: OpenAI-compatible requests and errors.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Header of a refusal which states that the request did not run.
pub const EXECUTION: &str = "x-execution";

/// Value of [`EXECUTION`] when the request did not run.
pub const NOT_RUN: &str = "not-run";

/// Default for `max_tokens`.
pub const DEFAULT_MAX_TOKENS: u64 = 256;

/// Fields of a completion request that routing reads; other fields are passed through.
#[derive(Debug, Clone, Deserialize)]
pub struct Completion {
    /// Model or adapter name.
    pub model: String,
    /// Whether the response is a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Chat messages.
    #[serde(default)]
    pub messages: Option<Value>,
    /// Prompt text.
    #[serde(default)]
    pub prompt: Option<Value>,
}

impl Completion {
    /// Returns the prompt as one text, used for prefix hashes and the token estimate.
    pub fn prompt_text(&self) -> String {
        let part = self.messages.as_ref().or(self.prompt.as_ref());
        match part {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        }
    }

    /// Estimates the maximum number of tokens that the request uses: prompt plus maximum output.
    ///
    /// ```
    /// use persimmoncroft::protocol::caller::Completion;
    /// let body = r#"{"model":"m","prompt":"12345678","max_tokens":10}"#;
    /// let completion: Completion = serde_json::from_str(body).unwrap();
    /// assert_eq!(completion.most_tokens(), 12);
    /// ```
    pub fn most_tokens(&self) -> u64 {
        prompt_tokens(&self.prompt_text()) + self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

/// Estimates the number of tokens of a prompt: one for every four bytes, rounded up.
pub fn prompt_tokens(text: &str) -> u64 {
    (text.len() as u64).div_ceil(4)
}

/// Body of an error response.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Failure {
    /// The error.
    pub error: Detail,
}

/// The error in a [`Failure`].
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Detail {
    /// Human-readable message.
    pub message: String,
    /// Error class, such as `invalid_request_error`.
    #[serde(rename = "type")]
    pub class: String,
    /// Machine-readable code.
    pub code: String,
}
