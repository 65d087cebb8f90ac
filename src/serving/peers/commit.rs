//! Writes to the store through peers, for a daemon that the store does not answer.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::future::FutureExt;
use futures::stream::{FuturesUnordered, StreamExt};
use jsonrpsee::server::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use super::source::Slot;
use crate::serving::{Node, feed};
use crate::state::record::Name;
use crate::state::row::Change;
use crate::transport::exchange::Channel;

/// Time after which a write that the store has not answered is also sent through peers.
const HEDGE_DELAY: Duration = Duration::from_millis(250);

/// Timeout of a peer's response.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Name of the RPC method.
const METHOD: &str = "commit";

/// Error code of a peer that could not write either.
const FAILED: i32 = 2;

/// A [`Change`] on the wire, with values in base64.
#[derive(Debug, Deserialize, Serialize)]
struct Params {
    #[serde(rename = "x", default)]
    expected: Vec<(Name, Name, u64)>,
    #[serde(rename = "w", default)]
    write: Vec<(Name, Name, String)>,
    #[serde(rename = "r", default)]
    remove: Vec<(Name, Name)>,
}

impl Params {
    fn new(change: &Change) -> Self {
        let write = change.write.iter();
        let write = write.map(|(table, key, value)| {
            let value = STANDARD.encode(value);
            (table.clone(), key.clone(), value)
        });
        Self {
            expected: change.expected.clone(),
            write: write.collect(),
            remove: change.remove.clone(),
        }
    }

    /// The change; `None` if a value is not base64.
    fn change(self) -> Option<Change> {
        let write = self.write.into_iter().map(|(table, key, value)| {
            let value = STANDARD.decode(value).ok()?;
            Some((table, key, Bytes::from(value)))
        });
        Some(Change {
            expected: self.expected,
            write: write.collect::<Option<_>>()?,
            remove: self.remove,
        })
    }
}

/// Writes rows under a condition, through peers if the store does not answer this daemon. The condition makes sure that
/// the write is applied once at most, whichever way it arrives. Returns the new version, or `None` if the condition does
/// not hold; it may then have been this write that changed the rows.
///
/// # Errors
/// When no way led to a response of the store.
pub async fn commit(
    node: &Node,
    channel: &Channel,
    change: &Change,
) -> Result<Option<u64>, feed::Error> {
    let mut direct = node.commit(channel, change).boxed();
    let delay = match node.peers.store_is_silent.load(Ordering::Relaxed) {
        true => Duration::ZERO,
        false => HEDGE_DELAY,
    };
    let first = timeout(delay, &mut direct).await;
    let is_silent = !matches!(first, Ok(Ok(_)));
    node.peers
        .store_is_silent
        .store(is_silent, Ordering::Relaxed);
    let mut attempts = FuturesUnordered::new();
    let mut last = match first {
        Ok(Ok(version)) => return Ok(version),
        Ok(Err(error)) => Err(error),
        Err(_) => {
            attempts.push(direct);
            Err(feed::Error::Silent)
        }
    };
    for peer in node.peers.writers(&node.settings, node.now()) {
        attempts.push(commit_at(node, peer, change).boxed());
    }
    while let Some(result) = attempts.next().await {
        match result {
            Ok(Some(version)) => return Ok(Some(version)),
            Ok(None) => last = Ok(None),
            Err(error) if last.is_err() => last = Err(error),
            Err(_) => {}
        }
    }
    last
}

async fn commit_at(
    node: &Node,
    peer: SocketAddr,
    change: &Change,
) -> Result<Option<u64>, feed::Error> {
    let params = Params::new(change);
    let call = node.calls.call(peer, METHOD, &params, CALL_TIMEOUT);
    let result = call.await.map_err(feed::Error::Peer);
    node.journal.line(
        || spdlog::info!("peers: written through a peer", kv: { peer: = peer, result:? = result }),
    );
    result
}

/// Adds the method with which peers write through this daemon.
///
/// # Errors
/// When the module has a method of that name.
pub fn register(module: &mut RpcModule<Slot>) -> Result<(), jsonrpsee::core::RegisterMethodError> {
    let method = module.register_async_method(METHOD, |params, slot, _| async move {
        let params: Params = params.one()?;
        let failed = |text: &str| ErrorObjectOwned::owned(FAILED, text.to_owned(), None::<()>);
        let change = params
            .change()
            .ok_or_else(|| failed("a value is not base64"))?;
        let node = slot.get().ok_or_else(|| failed("starting"))?;
        let channel = Channel::open(node.settings.store_address);
        let written = node.commit(&channel, &change).await;
        written.map_err(|error| failed(&error.to_string()))
    });
    method.map(drop)
}
