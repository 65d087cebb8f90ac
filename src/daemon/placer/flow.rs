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
const DEFAULT_TOKEN_MICROS: u64 = 20_000;

/// Demand counters by model.
pub type Flows = BTreeMap<Name, Flow>;

/// Scope of the demand that a peer requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Demand at this daemon.
    Daemon,
    /// Total demand of this daemon's zone.
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
pub fn answer(node: &Node, scope: Scope) -> Answer {
    let flows = match scope {
        Scope::Daemon => node.placement.demand.flows(),
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
    seen: HashMap<(Arc<str>, Scope), Flows>,
    forecasts: HashMap<Name, Forecast>,
    paces: HashMap<Name, Flow>,
    last: Option<Duration>,
}

impl Sampler {
    async fn sample(&mut self, node: &Node) {
        let own = node.placement.demand.flows();
        let mut zone = self.rise(&node.session.clone(), Scope::Daemon, own);
        let live = node.membership.live();
        let mates = live.iter().filter(|member| {
            member.zone == node.settings.zone && member.address != node.peer_address
        });
        let asks = mates.map(|mate| ask(node, mate.address, Scope::Daemon));
        for answer in futures::future::join_all(asks).await.into_iter().flatten() {
            let rise = self.rise(&answer.session, Scope::Daemon, answer.flows);
            merge(&mut zone, &rise);
        }
        merge(&mut node.placement.zone_flows.flows.lock(), &zone);
        let mut fleet = zone;
        let asks = deciders(node).await;
        let asks = asks
            .into_iter()
            .map(|address| ask(node, address, Scope::Zone));
        for answer in futures::future::join_all(asks).await.into_iter().flatten() {
            let rise = self.rise(&answer.session, Scope::Zone, answer.flows);
            merge(&mut fleet, &rise);
        }
        self.forecast(node, &fleet);
    }

    /// Returns the increase of a daemon's counters since the previous sample; empty for the first sample.
    fn rise(&mut self, session: &Arc<str>, scope: Scope, flows: Flows) -> Flows {
        let key = (session.clone(), scope);
        let Some(before) = self.seen.insert(key, flows.clone()) else {
            return Flows::new();
        };
        let rise = flows.iter().map(|(model, flow)| {
            let earlier = before.get(model).copied().unwrap_or_default();
            (model.clone(), flow.since(&earlier))
        });
        rise.collect()
    }

    fn forecast(&mut self, node: &Node, fleet: &Flows) {
        let now = node.now();
        let Some(last) = self.last.replace(now) else {
            return;
        };
        let millis = (now - last).as_millis().max(1) as u64;
        let mut needs = HashMap::new();
        for model in node.config.load().models.keys() {
            let flow = fleet.get(model).copied().unwrap_or_default();
            let pace = self.paces.entry(model.clone()).or_default();
            pace.tokens -= pace.tokens / 16;
            pace.busy_ms -= pace.busy_ms / 16;
            pace.add(&flow);
            let micros = match pace.tokens {
                0 => DEFAULT_TOKEN_MICROS,
                tokens => pace.busy_ms * 1000 / tokens,
            };
            let forecast = self.forecasts.entry(model.clone()).or_default();
            forecast.sample(flow.tokens * 1000 / millis);
            let need = forecast.expected() * micros / 1000;
            needs.insert(model.clone(), need);
        }
        node.placement.set_needs(needs);
    }
}

fn merge(into: &mut Flows, from: &Flows) {
    for (model, flow) in from {
        into.entry(model.clone()).or_default().add(flow);
    }
}

async fn ask(node: &Node, address: SocketAddr, scope: Scope) -> Option<Answer> {
    let call = node
        .peers
        .call(address, method::DEMAND, &scope, CALL_TIMEOUT);
    call.await.ok()
}

/// Addresses of the other zones' placement lease holders.
async fn deciders(node: &Node) -> Vec<SocketAddr> {
    let Ok(rows) = node.table.scan(LEASE_PREFIX).await else {
        return Vec::new();
    };
    let leases = rows.iter().filter_map(|row| row.json::<Lease>().ok());
    let others =
        leases.filter(|lease| !lease.session.is_empty() && lease.address != node.peer_address);
    others.map(|lease| lease.address).collect()
}
