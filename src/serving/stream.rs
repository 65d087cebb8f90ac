//! Forwards event streams by whole events, and resumes them at another endpoint where the route allows it.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream::unfold;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::{sleep, timeout};

use super::choose::{self, Lack};
use super::relay::{Body, passed_on};
use super::send::{Exchange, Run, Sent};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Silence after which a stream is resumed elsewhere, as a multiple of the route's gap objective.
const SILENT_GAPS: u32 = 6;

/// Minimum silence after which a stream is resumed elsewhere.
const LEAST_SILENCE: Duration = Duration::from_millis(900);

/// Maximum number of sends to other endpoints to resume a stream once.
const MAX_RESUMES: usize = 3;

/// Interval at which an endpoint to resume at is looked for.
const LOOK_AGAIN: Duration = Duration::from_millis(40);

/// Minimum gap in a stream after which callers give up.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);

/// Gap after which callers give up, as a multiple of the route's objective for the first event.
const CALLER_OBJECTIVES: u32 = 4;

/// Gap after which callers give up, as a multiple of the route's gap objective.
const CALLER_GAPS: u32 = 8;

/// Splits received bytes into whole events.
#[derive(Debug, Default)]
pub struct Events {
    buffer: BytesMut,
    last: Option<u64>,
}

impl Events {
    /// Starts after the event `last`, or at the start of a stream.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last,
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

    /// Discards a partial event.
    pub fn cut(&mut self) {
        self.buffer.clear();
    }

    /// Adds bytes and returns all whole events.
    ///
    /// # Errors
    /// [`Gap`] when identifiers are not consecutive or an event is too long.
    ///
    /// ```
    /// use persimmoncroft::serving::stream::Events;
    /// let mut events = Events::default();
    /// let whole = events.take(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    /// assert_eq!(&whole[..], b"id: 1\ndata: a\n\n");
    /// assert_eq!(events.last(), Some(1));
    /// assert!(events.take(b"ta: b\n\nid: 4\ndata: d\n\n").is_err());
    /// ```
    pub fn take(&mut self, bytes: &[u8]) -> Result<Bytes, Gap> {
        let searched = self.buffer.len().saturating_sub(1);
        self.buffer.extend_from_slice(bytes);
        let boundary = self.buffer[searched..]
            .windows(2)
            .rposition(|pair| pair == b"\n\n");
        let Some(boundary) = boundary else {
            return match self.buffer.len() > MAX_EVENT_BYTES {
                true => Err(Gap),
                false => Ok(Bytes::new()),
            };
        };
        let whole = self.buffer.split_to(searched + boundary + 2).freeze();
        for line in whole.split(|byte| *byte == b'\n') {
            let Some(id) = line.strip_prefix(b"id:") else {
                continue;
            };
            let id = std::str::from_utf8(id)
                .ok()
                .and_then(|id| id.trim().parse().ok());
            let Some(id) = id else {
                continue;
            };
            if self.last.is_some_and(|last| id != last + 1) {
                return Err(Gap);
            }
            self.last = Some(id);
        }
        Ok(whole)
    }
}

/// Error in the sequence of events: one is missing, repeated or too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gap;

struct Relay {
    run: Run,
    exchange: Option<Box<Exchange>>,
    events: Events,
    begun: Option<Duration>,
    last_whole: Duration,
    longest_pause: Duration,
    /// Time at which the current endpoint last sent something.
    heard: Duration,
}

/// Returns a response that forwards an endpoint's stream.
pub fn answer(run: Run, exchange: Exchange) -> Response<Body> {
    let parts = passed_on(exchange.parts.clone());
    run.node.meter.ended("answered", parts.status.as_u16());
    let relay = Relay {
        events: Events::after(run.call.last_event),
        heard: run.node.now(),
        run,
        exchange: Some(Box::new(exchange)),
        begun: None,
        last_whole: Duration::ZERO,
        longest_pause: Duration::ZERO,
    };
    let chunks = unfold(Some(relay), |state| async move {
        let mut relay = state?;
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    Response::from_parts(parts, BodyExt::boxed_unsync(StreamBody::new(chunks)))
}

/// Result of waiting for the next part of a stream.
enum More {
    Whole(Bytes),
    Nothing,
    End,
    Silent,
    Broken(&'static str),
}

impl Relay {
    async fn next(&mut self) -> Result<Option<Bytes>, std::io::Error> {
        loop {
            match self.more().await {
                More::Whole(bytes) => {
                    self.note_begun();
                    return Ok(Some(bytes));
                }
                More::Nothing => {}
                More::End => {
                    if self.longest_pause <= self.run.ticket.route.gap {
                        self.note_streamed(false);
                    }
                    if let Some(exchange) = self.exchange.take() {
                        self.log_late(&exchange);
                        exchange.finish(&self.run.node);
                    }
                    return Ok(None);
                }
                // A silent endpoint may be busy with other requests; it is left only for one that can resume.
                More::Silent if !self.may_move() => {}
                More::Silent => {
                    if !self.resume("stream_silent", true).await {
                        self.run.node.meter.ended("stream_silent", 0);
                        return Err(std::io::Error::other("stream_silent"));
                    }
                }
                More::Broken(reason) => {
                    if !self.resume(reason, false).await {
                        self.run.node.meter.ended(reason, 0);
                        return Err(std::io::Error::other(reason));
                    }
                }
            }
        }
    }

    async fn more(&mut self) -> More {
        let left = self.run.left();
        if left.is_zero() {
            return More::Broken("stream_out_of_time");
        }
        let patience = match self.run.may_repeat() {
            true => left.min(self.silence_allowed()),
            false => left,
        };
        let Some(exchange) = self.exchange.as_mut() else {
            return More::Broken("stream_lost");
        };
        let frame = match timeout(patience, exchange.body.frame()).await {
            Err(_) if self.run.left().is_zero() => return More::Broken("stream_out_of_time"),
            Err(_) => return More::Silent,
            Ok(None) if self.events.is_partial() => return More::Broken("stream_cut"),
            Ok(None) => return More::End,
            Ok(Some(Err(_))) => return More::Broken("stream_broken"),
            Ok(Some(Ok(frame))) => frame,
        };
        self.heard = self.run.node.now();
        let Ok(data) = frame.into_data() else {
            return More::Nothing;
        };
        match self.events.take(&data) {
            Ok(whole) if whole.is_empty() => More::Nothing,
            Ok(whole) => More::Whole(whole),
            Err(Gap) => More::Broken("stream_gap"),
        }
    }

    /// Time left before a silent endpoint is replaced.
    fn silence_allowed(&self) -> Duration {
        let longest = (self.run.ticket.route.gap * SILENT_GAPS).max(LEAST_SILENCE);
        let silent = self.run.node.now().saturating_sub(self.heard);
        longest.saturating_sub(silent).max(LOOK_AGAIN)
    }

    /// Time since the last event, or since the request arrived.
    fn silent_for(&self) -> Duration {
        let since = match self.begun {
            Some(_) => self.last_whole,
            None => self.run.ticket.arrived,
        };
        self.run.node.now().saturating_sub(since)
    }

    fn note_begun(&mut self) {
        let node = &self.run.node;
        let now = node.now();
        if self.begun.is_some() {
            let pause = now.saturating_sub(self.last_whole);
            let gap = self.run.ticket.route.gap;
            if pause > gap && self.longest_pause <= gap {
                self.note_streamed(true);
            }
            self.longest_pause = self.longest_pause.max(pause);
        } else {
            let elapsed = now.saturating_sub(self.run.ticket.arrived);
            self.begun = Some(elapsed);
            self.run.log_answered(StatusCode::OK, elapsed);
            node.meter.first_byte.observe(elapsed.as_secs_f64());
        }
        self.last_whole = now;
    }

    /// Records whether the endpoint's events are late.
    fn note_streamed(&self, late: bool) {
        if let Some(exchange) = &self.exchange {
            let now = self.run.node.now();
            exchange.endpoint.track.seen().health.streamed(late, now);
        }
    }

    /// Logs a complete stream if it was not on time.
    fn log_late(&self, exchange: &Exchange) {
        let route = &self.run.ticket.route;
        let begun = self.begun.unwrap_or_default();
        if begun <= route.objective && self.longest_pause <= route.gap {
            return;
        }
        let node = &self.run.node;
        node.meter.late.inc();
        node.journal.line(|| {
            let generation = self.run.call.generation.as_ref();
            spdlog::info!("stream: late", kv: {
                request: = self.run.call.id,
                route: = route.name,
                model: = generation.map_or("-", |generation| &generation.model),
                endpoint: = exchange.endpoint.entry.id,
                first_ms = begun.as_millis() as u64,
                pause_ms = self.longest_pause.as_millis() as u64,
                flights = exchange.endpoint.track.all_flights(),
                runs = self.run.runs,
            });
        });
    }

    /// Whether another endpoint has room to resume the stream; takes the retry that this needs.
    fn may_move(&self) -> bool {
        let Some(exchange) = &self.exchange else {
            return false;
        };
        let run = &self.run;
        let mut tried = run.tried.clone();
        tried.push(exchange.endpoint.entry.id.clone());
        run.may_repeat()
            && choose::has_room(&run.node, &run.ticket, &run.call, &tried)
            && run.take_retry()
    }

    /// Resumes at another endpoint after the last whole event; `paid` means that a retry was taken for the first send.
    async fn resume(&mut self, reason: &'static str, paid: bool) -> bool {
        let Some(exchange) = self.exchange.take() else {
            return false;
        };
        let node = self.run.node.clone();
        let broken = exchange.endpoint.entry.id.clone();
        exchange.endpoint.track.seen().health.failed(node.now());
        // Dropping the connection stops the endpoint before another one resumes.
        drop(exchange);
        self.events.cut();
        let last = self.events.last();
        self.run.tried.push(broken.clone());
        let outcome = self.go_on(last, paid).await;
        let resumed = outcome.is_ok();
        node.journal.line(|| {
            spdlog::info!("stream: broken", kv: {
                request: = self.run.call.id,
                reason = reason,
                endpoint: = broken,
                last_event = last.map_or(-1, |last| last as i64),
                resumed = resumed,
                because = outcome.err().unwrap_or("-"),
                runs = self.run.runs,
            });
        });
        resumed
    }

    /// Resumes at another endpoint after the event `last`, as long as the caller is expected to wait.
    async fn go_on(&mut self, last: Option<u64>, mut paid: bool) -> Result<(), &'static str> {
        let node = self.run.node.clone();
        let give_up = node.now() + self.caller_waits();
        let mut sends = 0;
        while sends < MAX_RESUMES {
            if !self.run.may_repeat() {
                return Err("may_not_repeat");
            }
            let run = &self.run;
            let choice = match choose::choose(&node, &run.ticket, &run.call, &run.tried) {
                Ok(choice) => choice,
                Err(lack) => {
                    if lack == Lack::Adapter {
                        node.demand.want(&run.call);
                    }
                    if lack.is_lasting() || node.now() + LOOK_AGAIN > give_up {
                        return Err(lack.reason());
                    }
                    sleep(LOOK_AGAIN).await;
                    continue;
                }
            };
            if !paid && !self.run.take_retry() {
                return Err("retry_budget");
            }
            paid = false;
            sends += 1;
            if let Sent::Answered(exchange) = self.run.send(&choice, last).await
                && exchange.parts.status.is_success()
            {
                node.meter.resumes.inc();
                self.heard = node.now();
                self.exchange = Some(exchange);
                return Ok(());
            }
        }
        Err("turned_away")
    }

    /// Time for which the caller is expected to wait for the next event.
    fn caller_waits(&self) -> Duration {
        let route = &self.run.ticket.route;
        let patience = (route.objective * CALLER_OBJECTIVES).max(route.gap * CALLER_GAPS);
        patience
            .max(CALLER_PATIENCE)
            .saturating_sub(self.silent_for())
    }
}
