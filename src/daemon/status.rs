//! Status of this daemon, and fleet-wide status and decisions for operators.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::server::RpcModule;

use super::rpc::{self, Context};
use super::{Node, config};
use crate::protocol::operator::{Explanation, Fleet};
use crate::protocol::peer::{ConfigParams, ExplainParams, Status, method};
use crate::state::decision::Decision;
use crate::state::record::Name;

const PEER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Registers the peer methods for configuration, status and decisions.
pub fn register(module: &mut RpcModule<Context>) {
    let update = |node: Arc<Node>, params: ConfigParams| async move {
        config::update_since(&node, params.revision)
    };
    let decisions = |node: Arc<Node>, params: ExplainParams| async move {
        node.decisions.about(&params.subject)
    };
    let status = |node: Arc<Node>, (): ()| async move { local_status(&node) };
    rpc::register(module, method::CONFIG, update);
    rpc::register(module, method::EXPLAIN, decisions);
    rpc::register(module, method::STATUS, status);
}

/// Returns the status of this daemon.
pub fn local_status(node: &Node) -> Status {
    let config = node.config.load();
    let now = node.now();
    let stale = config
        .workspaces
        .values()
        .filter(|workspace| !node.config_source.is_fresh_for(workspace, now));
    Status {
        address: node.peer_address,
        zone: node.settings.zone.clone(),
        session: node.session.clone(),
        revision: config.revision,
        age_ms: node
            .config_source
            .age(now)
            .map(|age| age.as_millis() as u64),
        leaving: node.leaving.is_cancelled(),
        version: env!("CARGO_PKG_VERSION").into(),
        unreadable: config.unreadable.len(),
        stale: stale.map(|workspace| workspace.name.clone()).collect(),
    }
}

/// Collects the status of every daemon that is live or listed by the platform.
pub async fn fleet(node: &Node) -> Fleet {
    let calls = other_daemons(node)
        .await
        .into_iter()
        .map(|(address, zone)| async move {
            let answer: Result<Status, _> = node
                .peers
                .call(address, method::STATUS, &(), PEER_TIMEOUT)
                .await;
            answer.map_err(|_| (address, zone))
        });
    let mut fleet = Fleet::default();
    fleet.daemons.push(local_status(node));
    for answer in futures::future::join_all(calls).await {
        match answer {
            Ok(status) => fleet.daemons.push(status),
            Err(silent) => fleet.silent.push(silent),
        }
    }
    fleet.daemons.sort_by_key(|status| status.address);
    let config = node.config.load();
    let bounds = config.workspaces.values();
    fleet.max_stale_seconds = bounds
        .map(|workspace| (workspace.name.clone(), workspace.max_stale_seconds))
        .collect();
    summarize(fleet)
}

/// Computes the fleet's highest revision and the state of each zone.
pub fn summarize(mut fleet: Fleet) -> Fleet {
    let revisions = fleet.daemons.iter().map(|status| status.revision);
    fleet.revision = revisions.max().unwrap_or(0);
    fleet.everywhere = fleet.silent.is_empty();
    for status in &fleet.daemons {
        let zone = fleet.zones.entry(status.zone.clone()).or_default();
        let confirmed = status.revision == fleet.revision;
        let lowest = zone.revision.unwrap_or(status.revision);
        zone.revision = Some(lowest.min(status.revision));
        zone.daemons += 1;
        zone.confirmed += usize::from(confirmed);
        fleet.everywhere &= confirmed;
    }
    for (_, zone) in &fleet.silent {
        fleet.zones.entry(zone.clone()).or_default().daemons += 1;
    }
    fleet
}

/// Collects the decisions of every daemon about a request.
pub async fn explain(node: &Node, subject: &str) -> Explanation {
    let params = ExplainParams {
        subject: subject.to_owned(),
    };
    let params = &params;
    let calls = other_daemons(node)
        .await
        .into_keys()
        .map(|address| async move {
            let answer: Result<Vec<Decision>, _> = node
                .peers
                .call(address, method::EXPLAIN, params, PEER_TIMEOUT)
                .await;
            (address, answer)
        });
    let mut explanation = Explanation::default();
    let mut add = |address: SocketAddr, decisions: Vec<Decision>| {
        if !decisions.is_empty() {
            explanation.daemons.insert(address.to_string(), decisions);
        }
    };
    add(node.peer_address, node.decisions.about(subject));
    let mut silent = Vec::new();
    for (address, answer) in futures::future::join_all(calls).await {
        match answer {
            Ok(decisions) => add(address, decisions),
            Err(_) => silent.push(address),
        }
    }
    explanation.silent = silent;
    explanation
}

/// Returns the other daemons that are live or listed by the platform, with their zones.
async fn other_daemons(node: &Node) -> BTreeMap<SocketAddr, Name> {
    let listed = node.platform.instances().await.unwrap_or_default();
    let listed = listed.into_iter().map(|i| (i.address, i.zone));
    let mut other_daemons: BTreeMap<SocketAddr, Name> = listed.collect();
    let live = node.membership.live();
    other_daemons.extend(live.iter().map(|m| (m.address, m.zone.clone())));
    other_daemons.remove(&node.peer_address);
    other_daemons
}
