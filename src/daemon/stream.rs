//! Forwards an event stream to a caller, resuming it at another endpoint if it breaks.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use super::dispatch::Permit;
use super::relay::{Completion, Failure};
use crate::coordination::ramp::Outcome;
use crate::protocol::sse::{Content, Splitter};
use crate::transport::http::Error;

/// Maximum number of events buffered for a slow caller.
const BUFFERED_EVENTS: usize = 256;

/// Timeout for a caller to accept an event.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// Idle timeout of an endpoint's stream.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time between the break of a stream and its resumption at another endpoint.
const RESUME_TIMEOUT: Duration = Duration::from_secs(20);

type Sender = mpsc::Sender<Result<Bytes, io::Error>>;

enum End {
    /// The response is complete.
    Done,
    /// The caller disconnected or stopped reading.
    CallerGone,
    /// The endpoint failed mid-stream.
    Broken(Error),
}

/// Forwards a response in a separate task and returns the stream for the caller.
pub fn spawn(
    completion: Completion,
    permit: Permit,
    answer: Incoming,
) -> impl futures::Stream<Item = Result<Bytes, io::Error>> + Send + 'static {
    let (sender, receiver) = mpsc::channel(BUFFERED_EVENTS);
    tokio::spawn(run(completion, permit, answer, sender));
    futures::stream::unfold(receiver, |mut receiver| async move {
        let item = receiver.recv().await?;
        Some((item, receiver))
    })
}

async fn run(mut completion: Completion, permit: Permit, answer: Incoming, sender: Sender) {
    let mut current = (permit, answer);
    loop {
        let (permit, answer) = current;
        let error = match forward(&mut completion, &permit, answer, &sender).await {
            End::Done => {
                completion.finish();
                return;
            }
            End::CallerGone => return,
            End::Broken(error) => error,
        };
        let failure = completion.record_failure(&permit, &error);
        drop(permit);
        spdlog::warn!(
            "relay: request={} stream broke after {} tokens",
            completion.requirements.id,
            completion.delivered_tokens
        );
        completion.requirements.deadline = completion.node.now() + RESUME_TIMEOUT;
        let resumed = tokio::select! {
            resumed = resume(&mut completion, failure) => resumed,
            () = sender.closed() => return,
        };
        match resumed {
            Some(next) => current = next,
            None => {
                // An error aborts the connection, so that the caller doesn't mistake the response for a complete one.
                let broken = io::Error::other("the answer could not be finished");
                let _ = sender.send(Err(broken)).await;
                return;
            }
        }
    }
}

async fn resume(completion: &mut Completion, mut failure: Failure) -> Option<(Permit, Incoming)> {
    loop {
        completion.prepare_retry(failure).await.ok()?;
        failure = match completion.attempt().await {
            Ok((permit, head, answer)) if head.status.is_success() => {
                return Some((permit, answer));
            }
            Ok(_) => return None,
            Err(failure) => failure,
        };
    }
}

async fn forward(
    completion: &mut Completion,
    permit: &Permit,
    answer: Incoming,
    sender: &Sender,
) -> End {
    let mut chunks = BodyDataStream::new(answer);
    let mut splitter = Splitter::default();
    let resumed = completion.delivered_tokens > 0;
    let mut awaiting_first_token = true;
    loop {
        let chunk = tokio::select! {
            chunk = tokio::time::timeout(IDLE_TIMEOUT, chunks.next()) => chunk,
            () = permit.expired() => return End::Broken(Error::Timeout),
            () = sender.closed() => return End::CallerGone,
        };
        let chunk = match chunk {
            Ok(Some(Ok(chunk))) => chunk,
            Ok(Some(Err(error))) => return End::Broken(Error::Broken(error.to_string())),
            Ok(None) => return End::Broken(Error::Broken("the stream ended early".into())),
            Err(_) => return End::Broken(Error::Timeout),
        };
        if !splitter.push(&chunk) {
            return End::Broken(Error::Malformed("an event is too long".into()));
        }
        while let Some(event) = splitter.next_event() {
            match event.content {
                Content::Failure => {
                    return End::Broken(Error::Broken("the endpoint reports an error".into()));
                }
                // The caller has already received the events before the first token.
                Content::Other if resumed => continue,
                Content::Token => {
                    if std::mem::take(&mut awaiting_first_token) {
                        let wait = completion.node.now().saturating_sub(completion.sent_at);
                        permit.report(Outcome::Answered(Some(wait.as_millis() as u64)));
                    }
                    completion.delivered_tokens += 1;
                }
                Content::Other | Content::Done => {}
            }
            let sent = sender.send_timeout(Ok(event.bytes), CALLER_TIMEOUT).await;
            if sent.is_err() {
                return End::CallerGone;
            }
            if event.content == Content::Done {
                return End::Done;
            }
        }
    }
}
