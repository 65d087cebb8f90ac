//! Bodies of streams: whole events as their source gets them.

use bytes::Bytes;
use futures::StreamExt;
use futures::future::ready;
use futures::stream::{once, unfold};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::relay::Body;
use super::send::{Context, Phase};

/// Where the events of a stream come from.
pub trait Source: Send + 'static {
    /// The request that the stream answers.
    fn context(&mut self) -> &mut Context;

    /// Waits for whole events; `None` at the end of the stream, and the reason if it broke.
    fn next(&mut self) -> impl Future<Output = Result<Option<Bytes>, &'static str>> + Send;
}

/// Body of a stream that has its first events; the others come from a source.
pub fn of_events(first: Bytes, source: impl Source) -> Body {
    let rest = unfold(Some(source), |state| async move {
        let mut source = state?;
        match source.next().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(source))),
            Ok(None) => {
                source.context().phase = Phase::Settled;
                None
            }
            Err(reason) => {
                let ctx = source.context();
                ctx.phase = Phase::Settled;
                ctx.node.meter.count_outcome(reason, 0);
                Some((Err(std::io::Error::other(reason)), None))
            }
        }
    });
    let chunks = once(ready(Ok(Frame::data(first)))).chain(rest);
    BodyExt::boxed_unsync(StreamBody::new(chunks))
}
