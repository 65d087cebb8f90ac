//! Reads of tables through peers: changes from a daemon that reads the store, and the active configuration while the
//! store is unavailable to this daemon.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use jsonrpsee::server::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use serde::{Deserialize, Serialize};

use crate::protocol::hop::Versions;
use crate::serving::Node;
use crate::serving::feed::{self, Table, Update};
use crate::serving::{lineage, links};
use crate::state::mirror::Changes;
use crate::state::record::Name;
use crate::state::row::Row;

/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Time that a reader waits for a change before it answers.
const FOLLOW_WAIT: Duration = Duration::from_millis(600);

/// Timeout of a reader's answer, in addition to the time that it waits for a change.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(600);

/// Name of the RPC method that returns the active configuration.
const CATALOG_METHOD: &str = "catalog";

/// Name of the RPC method that returns the changes of a table.
const FOLLOW_METHOD: &str = "follow";

/// Error code of a daemon that does not read the store now.
const NOT_READING: i32 = 1;

/// The node, set once the listener's address is known.
pub type Slot = Arc<OnceLock<Arc<Node>>>;

/// Response of the RPC method that returns the configuration, and what else is in force.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
struct CatalogResponse {
    version: u64,
    /// Configuration text in base64; empty if the caller has that version.
    text: String,
    /// Version of the row by which an availability zone was last taken out of service.
    #[serde(rename = "zv", default)]
    zones: u64,
    /// Version of the row by which an endpoint was last taken out of use.
    #[serde(rename = "ev", default)]
    endpoints: u64,
    /// Endpoints that are draining or were recently removed.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    gone: Vec<Name>,
    /// Availability zones out of service.
    #[serde(rename = "z", default, skip_serializing_if = "Vec::is_empty")]
    out: Vec<Name>,
}

impl CatalogResponse {
    /// What is in force here, for a peer that has a version of the configuration.
    fn of(node: &Node, known: u64) -> Self {
        let (gone, out) = node.fleet.peer_report();
        let Versions {
            zones, endpoints, ..
        } = node.fleet.in_force();
        let (version, text) = node.fleet.source().unwrap_or_default();
        let text = match version > known {
            true => STANDARD.encode(&text),
            false => String::new(),
        };
        Self {
            version,
            text,
            zones,
            endpoints,
            gone,
            out,
        }
    }
}

/// Response of the RPC method that returns the changes of a table.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
struct FollowResponse {
    #[serde(rename = "v")]
    version: u64,
    #[serde(rename = "a", default, skip_serializing_if = "std::ops::Not::not")]
    all: bool,
    /// Time for which removals are to be deferred, in milliseconds.
    #[serde(rename = "d", default)]
    deferral_millis: u64,
    /// Time for which the reader may have missed changes, in milliseconds.
    #[serde(rename = "p", default)]
    age_millis: u64,
    /// Time for which the reader has held the call, in milliseconds; unknown of the build before.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    held_millis: Option<u64>,
    /// Key, value in base64 unless the row was deleted, and version.
    #[serde(rename = "r", default)]
    rows: Vec<(Name, Option<String>, u64)>,
}

/// Reads the changes of a table after a version from a reader, which waits for the first one.
///
/// # Errors
/// When the reader is unknown, does not answer, or does not read the store itself.
pub async fn follow(
    node: &Node,
    reader: &Name,
    table: Table,
    after: u64,
) -> Result<Update, feed::Error> {
    let unknown = || feed::Error::UnknownReader(reader.clone());
    let address = node.peers.call_address(reader).ok_or_else(unknown)?;
    let started = node.boot_now();
    let (params, timeout) = ((table, after), FOLLOW_WAIT + FOLLOW_TIMEOUT);
    let call = node
        .calls
        .call::<_, FollowResponse>(address, FOLLOW_METHOD, &params, timeout);
    let response = call.await.map_err(feed::Error::Peer)?;
    // The response may have been on its way for long, or have waited while this process did not run.
    let transit = response.held_millis.map_or(Duration::ZERO, |held| {
        let taken = node.boot_now().saturating_sub(started);
        taken.saturating_sub(Duration::from_millis(held))
    });
    let name: Name = feed::table_name(node, table).into();
    let rows = response.rows.into_iter().map(|(key, value, version)| Row {
        table: name.clone(),
        key,
        value: value.and_then(|text| STANDARD.decode(text).ok().map(Bytes::from)),
        version,
    });
    let changes = Changes {
        rows: rows.collect(),
        version: response.version,
        all: response.all,
    };
    Ok(Update {
        changes,
        deferral: Duration::from_millis(response.deferral_millis),
        age: Duration::from_millis(response.age_millis) + transit,
    })
}

async fn serve_follow(node: &Node, table: Table, after: u64) -> Option<FollowResponse> {
    let started = node.boot_now();
    let feed = feed::feed(node, table);
    let update = feed.follow(node, table, after, FOLLOW_WAIT).await?;
    let changes = update.changes;
    let rows = changes.rows.into_iter().map(|row| {
        let value = row.value.map(|value| STANDARD.encode(value));
        (row.key, value, row.version)
    });
    Some(FollowResponse {
        version: changes.version,
        all: changes.all,
        deferral_millis: update.deferral.as_millis() as u64,
        age_millis: update.age.as_millis() as u64,
        held_millis: Some(node.boot_now().saturating_sub(started).as_millis() as u64),
        rows: rows.collect(),
    })
}

/// Fetches from a peer what is in force there: the configuration if it is newer than the version `known`, and which zones and
/// endpoints are out of use if the peer knows of more.
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
    let now = node.now();
    node.fleet.apply(notice, &source, Duration::ZERO, now);
    let versions = Versions {
        catalog: response.version,
        zones: response.zones,
        endpoints: response.endpoints,
    };
    if !node.fleet.covers(&versions, now) {
        let CatalogResponse { gone, out, .. } = response;
        node.fleet.apply_peer_report(&gone, &out, now);
        node.fleet.note_report(versions, now);
    }
}

/// Builds the RPC module with the methods that peers may call.
pub fn module(
    slot: Arc<std::sync::OnceLock<Arc<Node>>>,
) -> RpcModule<Arc<std::sync::OnceLock<Arc<Node>>>> {
    let mut module = RpcModule::new(slot);
    let registered = module.register_method(CATALOG_METHOD, |params, slot, _| {
        let known: u64 = params.one()?;
        let response = slot.get().map(|node| CatalogResponse::of(node, known));
        Ok::<_, ErrorObjectOwned>(response.unwrap_or_default())
    });
    let registered = registered.map(drop).and_then(|()| {
        let method = module.register_async_method(FOLLOW_METHOD, |params, slot, _| async move {
            let (table, after): (Table, u64) = params.one()?;
            let not_reading =
                || ErrorObjectOwned::owned(NOT_READING, "does not read the store", None::<()>);
            let node = slot.get().ok_or_else(not_reading)?;
            let response = serve_follow(node, table, after).await;
            response.ok_or_else(not_reading)
        });
        method.map(drop)
    });
    let registered = registered.and_then(|()| super::commit::register(&mut module));
    let registered = registered.and_then(|()| lineage::keeper::register(&mut module));
    let registered = registered.and_then(|()| links::register(&mut module));
    if let Err(error) = registered {
        spdlog::error!("peers: failed to register RPC method", kv: { error: = error });
    }
    module
}
