//! Splits the bytes of an event stream into whole events.

use bytes::{Bytes, BytesMut};

use crate::transport::body::{Memory, Taken};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits received bytes into whole events.
#[derive(Debug, Default)]
pub struct Events {
    buffer: BytesMut,
    last: Option<u64>,
    /// Whether the next event is the first one of a continuation, so that it must have the identifier after the last one.
    is_joining: bool,
    taken: Taken,
}

impl Events {
    /// Starts after the event `last`, or at the start of a stream.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            is_joining: last.is_some(),
            ..Self::default()
        }
    }

    /// Buffers partial events in memory that others share.
    pub fn within(self, memory: &Memory) -> Self {
        Self {
            taken: memory.buffer(),
            ..self
        }
    }

    /// Identifier of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether part of an event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether no event has come since a continuation was begun.
    pub fn is_joining(&self) -> bool {
        self.is_joining
    }

    /// Discards a partial event, and begins a continuation: the next event must follow the last whole one.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.is_joining = self.last.is_some();
    }

    /// Adds bytes and returns all whole events.
    ///
    /// # Errors
    /// [`Gap`] when identifiers are not consecutive, a continuation begins with something else than the next event, or an
    /// event is too long, or for the memory that others leave; then none of the bytes' events counts as the last one.
    ///
    /// ```
    /// use persimmoncroft::serving::events::Events;
    /// let mut events = Events::default();
    /// let whole = events.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    /// assert_eq!(&whole[..], b"id: 1\ndata: a\n\n");
    /// assert_eq!(events.last(), Some(1));
    /// assert!(events.push(b"ta: b\n\nid: 4\ndata: d\n\n").is_err());
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Gap> {
        let search_start = self.buffer.len().saturating_sub(1);
        self.buffer.extend_from_slice(bytes);
        let boundary = self.buffer[search_start..]
            .windows(2)
            .rposition(|pair| pair == b"\n\n");
        let Some(boundary) = boundary else {
            let has_room = self.taken.resize(self.buffer.len(), self.buffer.capacity());
            return match has_room && self.buffer.len() <= MAX_EVENT_BYTES {
                true => Ok(Bytes::new()),
                false => Err(Gap),
            };
        };
        let whole = self.buffer.split_to(search_start + boundary + 2).freeze();
        self.taken.resize(0, 0);
        let mut last = self.last;
        for event in split_events(&whole) {
            let id = event_id(event);
            let follows = match (id, last) {
                (Some(id), Some(last)) => last.checked_add(1) == Some(id),
                (None, _) => !self.is_joining || is_comment(event),
                (Some(_), None) => true,
            };
            if !follows {
                return Err(Gap);
            }
            if id.is_some() {
                (last, self.is_joining) = (id, false);
            }
        }
        self.last = last;
        Ok(whole)
    }
}

/// Whole events of some bytes, each with the line break that ends it.
fn split_events(mut bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let end = bytes.windows(2).position(|pair| pair == b"\n\n")? + 2;
        let (event, rest) = bytes.split_at(end);
        bytes = rest;
        Some(event)
    })
}

/// Identifier of an event, if it has one that is a number.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.find_map(|line| {
        let id = line.strip_prefix(b"id:")?;
        std::str::from_utf8(id).ok()?.trim().parse().ok()
    })
}

/// Whether an event only keeps the connection alive.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.all(|line| line.is_empty() || line.starts_with(b":"))
}

/// Error in the sequence of events: one is missing, repeated or too long, or something else stands in its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gap;
