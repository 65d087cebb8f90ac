//! Streams that come through another daemon: whole events as they arrive.

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use tokio::time::timeout;

use super::{Exchange, note_answered, note_broken, put, while_heard};
use crate::protocol::connection;
use crate::serving::body::{self, Source};
use crate::serving::events::Events;
use crate::serving::relay::{Body, empty_body, forwarded_parts};
use crate::serving::send::{Context, Phase};
use crate::state::call::KeepAlive;
use crate::state::record::Name;
use crate::transport::exchange::Connection;

struct Forwarder {
    ctx: Context,
    peer: Name,
    connection: Option<Connection>,
    keep_alive: KeepAlive,
    body: Incoming,
    events: Events,
    has_begun: bool,
}

/// Waits for the first event of a stream and returns a response that forwards the stream.
///
/// # Errors
/// The request, if the stream broke before its first event.
pub(super) async fn answer(
    ctx: Context,
    exchange: Exchange,
) -> Result<Response<Body>, Box<Context>> {
    let mut forwarder = Forwarder {
        events: Events::after(ctx.call.last_event).within(&ctx.node.memory),
        ctx,
        peer: exchange.peer,
        connection: Some(exchange.connection),
        keep_alive: connection::keep_alive(exchange.parts.version, &exchange.parts.headers),
        body: exchange.body,
        has_begun: false,
    };
    let parts = forwarded_parts(exchange.parts);
    let Ok(first) = forwarder.next().await else {
        return Err(Box::new(forwarder.ctx));
    };
    forwarder.has_begun = true;
    note_answered(&forwarder.ctx, parts.status);
    let Some(first) = first else {
        return Ok(Response::from_parts(parts, empty_body()));
    };
    let body = body::of_events(first, forwarder);
    Ok(Response::from_parts(parts, body))
}

impl Source for Forwarder {
    fn context(&mut self) -> &mut Context {
        &mut self.ctx
    }

    async fn next(&mut self) -> Result<Option<Bytes>, &'static str> {
        loop {
            let frame = match self.frame().await {
                Some(Some(Ok(frame))) => frame,
                Some(None) if !self.events.is_partial() => {
                    self.end();
                    return Ok(None);
                }
                None => return Err(self.broken("stream_out_of_time")),
                Some(_) => return Err(self.broken("stream_broken")),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            match self.events.push(&data) {
                Ok(whole) if whole.is_empty() => {}
                Ok(whole) => return Ok(Some(whole)),
                Err(_) => return Err(self.broken("stream_gap")),
            }
        }
    }
}

impl Forwarder {
    /// Next frame; `None` if it does not come in time. Only a stream without an event can be sent again.
    async fn frame(&mut self) -> Option<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = self.body.frame();
        match self.has_begun {
            true => timeout(self.ctx.remaining(), frame).await.ok(),
            false => while_heard(&self.ctx, &self.peer, frame).await,
        }
    }

    fn end(&mut self) {
        self.ctx.phase = Phase::Settled;
        if let Some(connection) = self.connection.take() {
            let pool = &self.ctx.node.forwards.pool;
            put(pool, &self.peer, connection, self.keep_alive);
        }
    }

    /// Ends the other daemon's work, too.
    fn broken(&mut self, reason: &'static str) -> &'static str {
        self.connection = None;
        note_broken(&self.ctx, &self.peer, reason == "stream_out_of_time");
        reason
    }
}
