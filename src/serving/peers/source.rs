//! Fetches the active configuration from a peer while the store is unavailable to this daemon, and serves it to peers.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use jsonrpsee::server::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use serde::{Deserialize, Serialize};

use crate::serving::Node;
use crate::state::row::Row;

/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Name of the RPC method that returns the active configuration.
const CATALOG_METHOD: &str = "catalog";

/// The node, set once the listener's address is known.
pub type Slot = Arc<OnceLock<Arc<Node>>>;

/// Response of the RPC method that returns the configuration.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
struct CatalogResponse {
    version: u64,
    /// Configuration text in base64; empty if the caller has that version.
    text: String,
}

/// Fetches the configuration from a peer if the peer has a newer version than `known`.
pub async fn fetch(node: Arc<Node>, from: SocketAddr, known: u64) {
    let call = node
        .calls
        .call::<u64, CatalogResponse>(from, CATALOG_METHOD, &known, CALL_TIMEOUT);
    let response = match call.await {
        Ok(response) => response,
        Err(error) => {
            node.journal.line(
                || spdlog::info!("peers: failed to fetch configuration", kv: { from: = from, error: = error }),
            );
            return;
        }
    };
    let Ok(text) = STANDARD.decode(&response.text) else {
        return;
    };
    let row = Row {
        table: node.codec.operator_table.into(),
        key: node.codec.catalog_key.into(),
        value: Some(text.into()),
        version: 0,
    };
    let notice = (node.codec.notice)(&row);
    let source = row.value.unwrap_or_default();
    node.fleet
        .apply(notice, &source, Duration::ZERO, node.now());
}

/// Builds the RPC module with the methods that peers may call.
pub fn module(
    slot: Arc<std::sync::OnceLock<Arc<Node>>>,
) -> RpcModule<Arc<std::sync::OnceLock<Arc<Node>>>> {
    let mut module = RpcModule::new(slot);
    let registered = module.register_method(CATALOG_METHOD, |params, slot, _| {
        let known: u64 = params.one()?;
        let source = slot.get().and_then(|node| node.fleet.source());
        let (version, text) = source.unwrap_or_default();
        let text = match version > known {
            true => STANDARD.encode(&text),
            false => String::new(),
        };
        Ok::<CatalogResponse, ErrorObjectOwned>(CatalogResponse { version, text })
    });
    if let Err(error) = registered {
        spdlog::error!("peers: failed to register RPC method", kv: { error: = error });
    }
    module
}
