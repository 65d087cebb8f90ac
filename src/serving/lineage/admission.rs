//! Stores at which software versions of each service streams may begin.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

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

/// Time for which a daemon that stores an announcement waits for the others to take note of it.
const NOTE_TIME: Duration = Duration::from_millis(60);

/// Interval of checks whether they have.
const NOTE_INTERVAL: Duration = Duration::from_millis(5);

/// Time beyond that in which a belief runs out, for clocks that run unevenly.
const BELIEF_MARGIN: Duration = Duration::from_millis(100);

/// Value of a row.
#[derive(Debug, Deserialize, Serialize)]
struct Value {
    versions: Vec<Name>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    coming: Vec<Name>,
}

/// Change of a service's row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Step {
    /// Says that streams will begin at a version.
    Announce,
    /// Lets streams begin there.
    Admit,
    /// Takes a version out.
    Remove,
}

/// Changes that are to be stored.
#[derive(Debug, Default)]
pub struct Plan {
    /// Time since which a step is due for a version of a service.
    since: HashMap<(Name, Name, Step), Duration>,
}

/// Stores the versions that have come or gone, if it is this daemon's turn. Returns whether there may be more to store at once.
pub async fn update(node: &Node, channel: &Channel, plan: &mut Plan) -> bool {
    let now = node.now();
    let mut changes: BTreeMap<Name, Admitted> = BTreeMap::new();
    let mut seen = HashSet::new();
    for (service, present) in present_versions(node) {
        let stored = node.lineage.versions.lock().get(&service);
        let turn = match node
            .peers
            .is_responsible(&node.settings, &row_key(&service))
        {
            true => Duration::ZERO,
            false => TURN * node.peers.interval_factor(),
        };
        let mut next = stored.clone();
        let all = stored.versions.iter().chain(&stored.coming);
        let all: BTreeSet<&Name> = all.chain(&present).collect();
        for version in all {
            let Some(step) = step(&stored, &present, version) else {
                continue;
            };
            let key = (service.clone(), version.clone(), step);
            let since = *plan.since.entry(key.clone()).or_insert(now);
            seen.insert(key);
            let due = turn + delay(node, &service, &stored, version, step);
            if now >= since + due {
                apply(&mut next, version, step);
            }
        }
        if next != stored && !next.versions.is_empty() {
            changes.insert(service, next);
        }
    }
    plan.since.retain(|change, _| seen.contains(change));
    let mut has_announced = false;
    for (service, admitted) in changes {
        let is_stored = store(node, channel, &service, admitted.clone()).await;
        if is_stored && !admitted.coming.is_empty() {
            has_announced |= is_noted_soon(node, &service, &admitted).await;
        }
    }
    has_announced
}

/// What is to be done with a version; nothing if it is stored as it should be.
fn step(stored: &Admitted, present: &BTreeSet<Name>, version: &Name) -> Option<Step> {
    let is_admitted = stored.versions.contains(version);
    match present.contains(version) {
        true if is_admitted => None,
        // Nothing can be taken for the only version yet.
        true if stored.versions.is_empty() || stored.coming.contains(version) => Some(Step::Admit),
        true => Some(Step::Announce),
        false => Some(Step::Remove),
    }
}

/// Time that has to pass before a step. A daemon relies on its copy of the endpoints' table for as long as a change may take to be in
/// force; one that has not noted an announcement may take the former version for the only one until then.
fn delay(node: &Node, service: &Name, stored: &Admitted, version: &Name, step: Step) -> Duration {
    match step {
        Step::Announce => Duration::ZERO,
        Step::Admit if stored.versions.is_empty() => Duration::ZERO,
        Step::Admit if node.peers.all_note(service, version) => Duration::ZERO,
        Step::Admit => node.settings.drain_within + BELIEF_MARGIN,
        Step::Remove => ABSENCE,
    }
}

fn apply(admitted: &mut Admitted, version: &Name, step: Step) {
    admitted.versions.retain(|it| it != version);
    admitted.coming.retain(|it| it != version);
    let list = match step {
        Step::Announce => &mut admitted.coming,
        Step::Admit => &mut admitted.versions,
        Step::Remove => return,
    };
    list.push(version.clone());
    list.sort();
}

/// Waits for all daemons to take note of an announcement; returns whether they have.
async fn is_noted_soon(node: &Node, service: &Name, admitted: &Admitted) -> bool {
    let noted = || {
        let mut coming = admitted.coming.iter();
        coming.all(|version| node.peers.all_note(service, version))
    };
    let wait = async {
        while !noted() {
            sleep(NOTE_INTERVAL).await;
        }
    };
    timeout(NOTE_TIME, wait).await.is_ok()
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

/// Writes a row if nobody has changed it since; else reads it. Returns whether it was written.
async fn store(node: &Node, channel: &Channel, service: &Name, admitted: Admitted) -> bool {
    let key = row_key(service);
    let value = Value {
        versions: admitted.versions.clone(),
        coming: admitted.coming.clone(),
    };
    let value = Bytes::from(serde_json::to_vec(&value).unwrap_or_default());
    let change = Change {
        expected: vec![(DAEMON_TABLE.into(), key.clone(), admitted.row)],
        write: vec![(DAEMON_TABLE.into(), key, value)],
        remove: Vec::new(),
    };
    let (versions, coming) = (admitted.versions.join(","), admitted.coming.join(","));
    match commit::commit(node, channel, &change).await {
        Ok(Some(row)) => {
            spdlog::info!("versions: stored", kv: {
                service: = service,
                versions: = versions,
                coming: = coming,
            });
            let admitted = Admitted { row, ..admitted };
            adopt_one(node, service, admitted.clone());
            peers::broadcast(node, Body::Versions(service.clone(), admitted));
            return true;
        }
        Ok(None) => match feed::read::list(node, channel, DAEMON_TABLE).await {
            Ok(page) => adopt(node, &page.rows),
            Err(error) => log_failure(node, service, &error),
        },
        Err(error) => log_failure(node, service, &error),
    }
    false
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
        if let Some(Value { versions, coming }) = value {
            let admitted = Admitted {
                row: row.version,
                versions,
                coming,
            };
            adopt_one(node, &service.into(), admitted);
        }
    }
}

/// Adopts what a peer knows of a service; returns whether it is news.
pub fn adopt_one(node: &Node, service: &Name, admitted: Admitted) -> bool {
    let (versions, coming) = (admitted.versions.join(","), admitted.coming.join(","));
    let is_news = node.lineage.versions.lock().adopt(service, admitted);
    if is_news {
        // Beginnings may have to be stored from now on.
        node.lineage.wanted.notify_one();
        spdlog::info!("versions: streams may begin", kv: {
            service: = service,
            versions: = versions,
            coming: = coming,
        });
    }
    is_news
}
