//! Server-sent events of completion streams.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Maximum size of buffered data, and so of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;

const EVENT_SEPARATOR: &[u8] = b"\n\n";

/// One complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Raw bytes, including the empty line at the end.
    pub bytes: Bytes,
    /// Kind of content.
    pub content: Content,
}

/// Kind of an event's content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Content {
    /// One generated token.
    Token,
    /// End of the response.
    Done,
    /// Error instead of the rest of the response.
    Failure,
    /// Anything else, such as a role, usage statistics or a comment.
    Other,
}

#[derive(Debug, Deserialize)]
struct Body {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    error: Option<serde::de::IgnoredAny>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<Delta>,
}

#[derive(Debug, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

/// Splits a byte stream into complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Appends received bytes; returns `false` if the buffer exceeds the maximum event size.
    pub fn push(&mut self, chunk: &[u8]) -> bool {
        self.buffer.extend_from_slice(chunk);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Removes and returns the next complete event.
    ///
    /// ```
    /// use persimmoncroft::protocol::sse::{Content, Splitter};
    /// let mut splitter = Splitter::default();
    /// splitter.push(b"data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DO");
    /// assert_eq!(splitter.next_event().unwrap().content, Content::Token);
    /// assert!(splitter.next_event().is_none());
    /// ```
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self
            .buffer
            .windows(EVENT_SEPARATOR.len())
            .position(|window| window == EVENT_SEPARATOR)?;
        let bytes = self.buffer.split_to(end + EVENT_SEPARATOR.len()).freeze();
        let content = classify(&bytes);
        Some(Event { bytes, content })
    }
}

fn classify(event: &[u8]) -> Content {
    let Some(data) = event.strip_prefix(b"data:") else {
        return Content::Other;
    };
    let data = data.trim_ascii();
    if data == b"[DONE]" {
        return Content::Done;
    }
    let Ok(body) = serde_json::from_slice::<Body>(data) else {
        return Content::Other;
    };
    if body.error.is_some() {
        return Content::Failure;
    }
    let is_token = |choice: &Choice| {
        let delta = choice.delta.as_ref().and_then(|d| d.content.as_deref());
        let text = choice.text.as_deref().or(delta);
        text.is_some_and(|text| !text.is_empty())
    };
    if body.choices.iter().any(is_token) {
        return Content::Token;
    }
    Content::Other
}
