//! Aggregates demand across the fleet: the placement lease holder of each zone sums the counters of its zone's daemons
//! and exchanges the sums with the other zones' holders.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::{LEASE_PREFIX, Node};
use crate::coordination::election::Lease;
use crate::coordination::forecast::Forecast;
use crate::protocol::peer::method;
use crate::state::demand::Flow;
use crate::state::record::Name;

const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Busy time per token assumed until one has been measured, in microseconds.
const DEFAULT_MICROS_PER_TOKEN: u64 = 20_000;

/// Demand counters by model.
pub type Flows = BTreeMap<Name, Flow>;

/// Scope of the demand that a peer requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Demand at the responding daemon.
    Daemon,
    /// Total demand of the responding daemon's zone.
    Zone,
}

/// Response to a demand request.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Answer {
    /// Session of the responding daemon; counters restart from zero with each session.
    pub session: Arc<str>,
    /// Counters within the requested scope.
    pub flows: Flows,
}

/// Accumulated demand counters of a zone.
#[derive(Debug, Default)]
pub struct Totals {
    flows: Mutex<Flows>,
}

/// Handles a peer's demand request.
pub fn handle(node: &Node, scope: Scope) -> Answer {
    let flows = match scope {
        Scope::Daemon => node.placement.demand.totals(),
        Scope::Zone => node.placement.zone_flows.flows.lock().clone(),
    };
    Answer {
        session: node.session.clone(),
        flows,
    }
}

/// Samples demand while this daemon holds its zone's placement lease.
pub async fn run(node: Arc<Node>) {
    let mut sampler = Sampler::default();
    loop {
        tokio::select! {
            () = tokio::time::sleep(node.settings.demand_interval) => {}
            () = node.stopped.cancelled() => return,
        }
        if node.placement.is_holder() {
            sampler.sample(&node).await;
        }
    }
}

#[derive(Debug, Default)]
struct Sampler {
    previous: HashMap<(Arc<str>, Scope), Flows>,
    forecasts: HashMap<Name, Forecast>,
    recent_flows: HashMap<Name, Flow>,
    sampled_at: Option<Duration>,
}

impl Sampler {
    async fn sample(&mut self, node: &Node) {
        let own = node.placement.demand.totals();
        let mut zone = self.increase(&node.session.clone(), Scope::Daemon, own);
        let live = node.membership.live();
        let zone_peers = live.iter().filter(|member| {
            member.zone == node.settings.zone && member.address != node.peer_address
        });
        let calls = zone_peers.map(|peer| fetch(node, peer.address, Scope::Daemon));
        for answer in futures::future::join_all(calls).await.into_iter().flatten() {
            let increase = self.increase(&answer.session, Scope::Daemon, answer.flows);
            merge(&mut zone, &increase);
        }
        merge(&mut node.placement.zone_flows.flows.lock(), &zone);
        let mut fleet = zone;
        let holders = other_holders(node).await;
        let calls = holders
            .into_iter()
            .map(|address| fetch(node, address, Scope::Zone));
        for answer in futures::future::join_all(calls).await.into_iter().flatten() {
            let increase = self.increase(&answer.session, Scope::Zone, answer.flows);
            merge(&mut fleet, &increase);
        }
        self.forecast(node, &fleet);
    }

    /// Returns the increase of a daemon's counters since the previous sample; empty for the first sample.
    fn increase(&mut self, session: &Arc<str>, scope: Scope, flows: Flows) -> Flows {
        let key = (session.clone(), scope);
        let Some(before) = self.previous.insert(key, flows.clone()) else {
            return Flows::new();
        };
        let increase = flows.iter().map(|(model, flow)| {
            let earlier = before.get(model).copied().unwrap_or_default();
            (model.clone(), flow.since(&earlier))
        });
        increase.collect()
    }

    fn forecast(&mut self, node: &Node, fleet: &Flows) {
        let now = node.now();
        let Some(previous) = self.sampled_at.replace(now) else {
            return;
        };
        let millis = (now - previous).as_millis().max(1) as u64;
        let mut concurrency_by_model = HashMap::new();
        for model in node.config.load().models.keys() {
            let flow = fleet.get(model).copied().unwrap_or_default();
            let recent = self.recent_flows.entry(model.clone()).or_default();
            recent.tokens -= recent.tokens / 16;
            recent.busy_ms -= recent.busy_ms / 16;
            recent.add(&flow);
            let micros_per_token = match recent.tokens {
                0 => DEFAULT_MICROS_PER_TOKEN,
                tokens => recent.busy_ms * 1000 / tokens,
            };
            let forecast = self.forecasts.entry(model.clone()).or_default();
            forecast.sample(flow.tokens * 1000 / millis);
            let concurrency = forecast.expected() * micros_per_token / 1000;
            concurrency_by_model.insert(model.clone(), concurrency);
        }
        node.placement.set_concurrency(concurrency_by_model);
    }
}

fn merge(into: &mut Flows, from: &Flows) {
    for (model, flow) in from {
        into.entry(model.clone()).or_default().add(flow);
    }
}

async fn fetch(node: &Node, address: SocketAddr, scope: Scope) -> Option<Answer> {
    let call = node
        .peers
        .call(address, method::DEMAND, &scope, CALL_TIMEOUT);
    call.await.ok()
}

/// Addresses of the other zones' placement lease holders.
async fn other_holders(node: &Node) -> Vec<SocketAddr> {
    let Ok(rows) = node.table.scan(LEASE_PREFIX).await else {
        return Vec::new();
    };
    let leases = rows.iter().filter_map(|row| row.json::<Lease>().ok());
    let others =
        leases.filter(|lease| !lease.session.is_empty() && lease.address != node.peer_address);
    others.map(|lease| lease.address).collect()
}
