//! Stores at which software versions of each service streams may begin.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::coordination::lineage::Admitted;
use crate::protocol::digest::Body;
use crate::serving::peers::{self, commit, discover::DAEMON_TABLE};
use crate::serving::{Node, feed};
use crate::state::record::Name;
use crate::state::row::{Change, Row};
use crate::transport::exchange::Channel;

/// Prefix of the keys of the rows; names of daemons have no slash.
const PREFIX: &str = "versions/";

/// Time for which the other daemons leave a change to the one whose turn it is, in a small fleet.
const TURN: Duration = Duration::from_millis(800);

/// Time after its last endpoint has gone from which a version is taken out: its last streams have ended. 60 s.
const ABSENCE: Duration = Duration::from_secs(60);

/// Value of a row.
#[derive(Debug, Deserialize, Serialize)]
struct Value {
    versions: Vec<Name>,
}

/// Changes that are to be stored.
#[derive(Debug, Default)]
pub struct Plan {
    /// Time since which a version is to be added to a service's row or taken out of it.
    since: HashMap<(Name, Name), Duration>,
}

/// Stores the versions that have come or gone, if it is this daemon's turn.
pub async fn update(node: &Node, channel: &Channel, plan: &mut Plan) {
    let now = node.now();
    let present = present_versions(node);
    let mut changes: BTreeMap<Name, Admitted> = BTreeMap::new();
    let mut seen = BTreeSet::new();
    for (service, present) in &present {
        let admitted = node.lineage.versions.lock().get(service);
        let known: BTreeSet<&Name> = admitted.versions.iter().collect();
        let present: BTreeSet<&Name> = present.iter().collect();
        let own = &node.settings;
        let turn = match node.peers.is_responsible(own, &row_key(service)) {
            true => Duration::ZERO,
            false => TURN * node.peers.interval_factor(),
        };
        let mut versions = known.clone();
        for version in known.symmetric_difference(&present) {
            let change = (service.clone(), (*version).clone());
            let since = *plan.since.entry(change.clone()).or_insert(now);
            seen.insert(change);
            if present.contains(*version) && now >= since + turn {
                versions.insert(version);
            }
            if !present.contains(*version) && now >= since + ABSENCE + turn {
                versions.remove(*version);
            }
        }
        if versions != known && !versions.is_empty() {
            let versions = versions.into_iter().cloned().collect();
            let row = admitted.row;
            changes.insert(service.clone(), Admitted { row, versions });
        }
    }
    plan.since.retain(|change, _| seen.contains(change));
    for (service, admitted) in changes {
        store(node, channel, &service, admitted).await;
    }
}

/// Versions of the endpoints of each service that has streams that may be resumed, also of those that leave.
fn present_versions(node: &Node) -> BTreeMap<Name, BTreeSet<Name>> {
    let Some(catalog) = node.fleet.catalog.load_full() else {
        return BTreeMap::new();
    };
    let routes = catalog.routes().filter(|route| route.kind.is_resumable());
    let services = routes.flat_map(|route| route.services.iter().map(|(name, _)| name.clone()));
    let mut present: BTreeMap<Name, BTreeSet<Name>> =
        services.map(|service| (service, BTreeSet::new())).collect();
    let view = node.fleet.view.load();
    for endpoint in view.all.values() {
        if let Some(versions) = present.get_mut(&endpoint.entry.service) {
            versions.insert(endpoint.entry.version.clone());
        }
    }
    present
}

/// Writes a row if nobody has changed it since; else reads it.
async fn store(node: &Node, channel: &Channel, service: &Name, admitted: Admitted) {
    let key = row_key(service);
    let value = Value {
        versions: admitted.versions.clone(),
    };
    let value = Bytes::from(serde_json::to_vec(&value).unwrap_or_default());
    let change = Change {
        expected: vec![(DAEMON_TABLE.into(), key.clone(), admitted.row)],
        write: vec![(DAEMON_TABLE.into(), key, value)],
        remove: Vec::new(),
    };
    let versions = admitted.versions.join(",");
    match commit::commit(node, channel, &change).await {
        Ok(Some(row)) => {
            spdlog::info!("versions: stored", kv: { service: = service, versions: = versions });
            let admitted = Admitted { row, ..admitted };
            adopt_one(node, service, admitted.clone());
            peers::broadcast(node, Body::Versions(service.clone(), admitted));
        }
        Ok(None) => match feed::read::list(node, channel, DAEMON_TABLE).await {
            Ok(page) => adopt(node, &page.rows),
            Err(error) => log_failure(node, service, &error),
        },
        Err(error) => log_failure(node, service, &error),
    }
}

fn row_key(service: &str) -> Name {
    format!("{PREFIX}{service}").into()
}

fn log_failure(node: &Node, service: &Name, error: &feed::Error) {
    node.journal.line(
        || spdlog::info!("versions: cannot store", kv: { service: = service, error: = error }),
    );
}

/// Adopts the rows in a listing of the daemons' table.
pub fn adopt(node: &Node, rows: &[Row]) {
    for row in rows {
        let Some(service) = row.key.strip_prefix(PREFIX) else {
            continue;
        };
        let value = row.value.as_ref();
        let value = value.and_then(|value| serde_json::from_slice::<Value>(value).ok());
        if let Some(Value { versions }) = value {
            let row = row.version;
            adopt_one(node, &service.into(), Admitted { row, versions });
        }
    }
}

/// Adopts what a peer knows of a service.
pub fn adopt_one(node: &Node, service: &Name, admitted: Admitted) {
    let versions = admitted.versions.join(",");
    if node.lineage.versions.lock().adopt(service, admitted) {
        // Beginnings may have to be stored from now on.
        node.lineage.wanted.notify_one();
        spdlog::info!("versions: streams may begin", kv: { service: = service, versions: = versions });
    }
}
