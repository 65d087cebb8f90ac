//! Loads adapters on demand. The holder of a zone's placement lease issues all adapter orders to the zone's endpoints;
//! other daemons send it their requests.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use super::Node;
use super::placer::order;
use crate::coordination::adapter::{Job, Pool, Step};
use crate::protocol::engine::{Action, Order, Outcome};
use crate::protocol::peer::method;
use crate::state::record::{Adapter, Endpoint, Name};

const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
const PATIENCE: Duration = Duration::from_secs(3);

/// Request to the lease holder of an endpoint's zone to begin or end the use of an adapter.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Ask {
    /// The endpoint.
    pub endpoint: Name,
    /// The adapter.
    pub adapter: Name,
    /// Session of the requesting daemon.
    pub daemon: Arc<str>,
    /// Whether the use ends; otherwise it begins.
    pub ends: bool,
}

/// Answer to an [`Ask`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The adapter is loaded, and stays loaded until the use ends.
    Ready,
    /// The daemon does not hold the placement lease for the endpoint.
    Elsewhere,
    /// The adapter cannot be loaded now.
    Unavailable,
}

/// The use of an adapter, which ends on drop.
#[derive(Debug)]
pub struct Hold {
    node: Arc<Node>,
    decider: Option<SocketAddr>,
    ask: Ask,
}

impl Drop for Hold {
    fn drop(&mut self) {
        let Some(decider) = self.decider else {
            return;
        };
        self.ask.ends = true;
        if decider == self.node.peer_address {
            self.node.adapters.release(&self.ask);
            return;
        }
        let (node, ask) = (self.node.clone(), self.ask.clone());
        if tokio::runtime::Handle::try_current().is_err() {
            return;
        }
        tokio::spawn(async move {
            let call = node
                .peers
                .call::<_, Reply>(decider, method::ADAPTER, &ask, CALL_TIMEOUT);
            let _ = call.await;
        });
    }
}

/// Ensures that an endpoint has an adapter, which stays loaded while the returned value is held.
///
/// # Errors
/// Returns the [`Reply`] if the adapter is not available now.
pub async fn ensure_adapter(
    node: &Arc<Node>,
    endpoint: &Endpoint,
    adapter: &Name,
) -> Result<Hold, Reply> {
    let ask = Ask {
        endpoint: endpoint.name.clone(),
        adapter: adapter.clone(),
        daemon: node.session.clone(),
        ends: false,
    };
    let decider = node.placement.decider(&endpoint.zone);
    let reply = match decider {
        Some(address) if address == node.peer_address => serve(node, &ask).await,
        Some(address) => {
            let call = node
                .peers
                .call(address, method::ADAPTER, &ask, CALL_TIMEOUT);
            call.await.unwrap_or(Reply::Elsewhere)
        }
        None => Reply::Elsewhere,
    };
    let resident = || {
        let report = node.watch.report(&endpoint.name);
        report.is_some_and(|report| report.load.adapters.contains(adapter))
    };
    let node = node.clone();
    match reply {
        Reply::Ready => Ok(Hold { node, decider, ask }),
        // Nothing is evicted without a lease holder, so a loaded adapter can be used.
        Reply::Elsewhere if resident() => Ok(Hold {
            node,
            decider: None,
            ask,
        }),
        reply => Err(reply),
    }
}

#[derive(Debug)]
struct Desk {
    boot: String,
    pool: Mutex<Pool>,
    turn: tokio::sync::Mutex<()>,
}

/// Adapter pools of the endpoints to which this daemon issues adapter orders.
#[derive(Debug)]
pub struct Adapters {
    desks: Mutex<HashMap<Name, Arc<Desk>>>,
    loads: Semaphore,
}

impl Adapters {
    /// Creates an empty set of pools; `loads` is this daemon's share of the fleet's concurrent loads.
    pub fn open(loads: usize) -> Self {
        Self {
            desks: Mutex::default(),
            loads: Semaphore::new(loads.max(1)),
        }
    }

    /// Drops all pools, since another daemon may hold the lease now.
    pub fn clear(&self) {
        self.desks.lock().clear();
    }

    fn release(&self, ask: &Ask) {
        let desk = self.desks.lock().get(&ask.endpoint).cloned();
        if let Some(desk) = desk {
            desk.pool.lock().release(&ask.adapter, &ask.daemon);
        }
    }

    /// Returns an endpoint's pool, updated from the latest load report.
    fn desk(&self, node: &Node, endpoint: &Endpoint) -> Option<Arc<Desk>> {
        let report = node.watch.report(&endpoint.name)?;
        let mut desks = self.desks.lock();
        let known = desks.get(&endpoint.name).cloned();
        let same = known.filter(|desk| desk.boot == report.load.boot);
        let desk = same.unwrap_or_else(|| {
            let life = node.settings.order_life;
            let pool = Pool::open(endpoint.adapter_pool_mib, node.now(), life);
            Arc::new(Desk {
                boot: report.load.boot.clone(),
                pool: Mutex::new(pool),
                turn: tokio::sync::Mutex::default(),
            })
        });
        desks.insert(endpoint.name.clone(), desk.clone());
        drop(desks);
        let config = node.config.load();
        let memory = |name: &Name| {
            let pool = endpoint.adapter_pool_mib;
            config.adapters.get(name).map_or(pool, |a| a.memory_mib)
        };
        let adapters = report.load.adapters.iter();
        let reported: BTreeMap<Name, u64> = adapters.map(|n| (n.clone(), memory(n))).collect();
        let live = node.membership.live();
        let sessions: BTreeSet<Arc<str>> = live.iter().map(|m| m.session.clone()).collect();
        let mut pool = desk.pool.lock();
        pool.observe(&reported, report.at);
        pool.retain_daemons(&sessions);
        drop(pool);
        Some(desk)
    }
}

/// Answers an adapter request of a peer or of this daemon.
pub async fn serve(node: &Arc<Node>, ask: &Ask) -> Reply {
    if ask.ends {
        node.adapters.release(ask);
        return Reply::Ready;
    }
    let config = node.config.load_full();
    let endpoint = config.endpoints.get(&ask.endpoint);
    let Some(endpoint) = endpoint.filter(|e| e.zone == node.settings.zone) else {
        return Reply::Elsewhere;
    };
    let Some(adapter) = config.adapters.get(&ask.adapter) else {
        return Reply::Unavailable;
    };
    if !node.placement.may_order(node.now()) {
        return Reply::Elsewhere;
    }
    let Some(desk) = node.adapters.desk(node, endpoint) else {
        return Reply::Unavailable;
    };
    let work = load(node, endpoint, &desk, adapter, ask);
    let reply = tokio::time::timeout(PATIENCE, work).await;
    reply.unwrap_or(Reply::Unavailable)
}

async fn load(
    node: &Arc<Node>,
    endpoint: &Endpoint,
    desk: &Desk,
    adapter: &Adapter,
    ask: &Ask,
) -> Reply {
    let hold = || desk.pool.lock().hold(&ask.adapter, &ask.daemon, node.now());
    if hold() {
        return Reply::Ready;
    }
    let _turn = desk.turn.lock().await;
    loop {
        if hold() {
            return Reply::Ready;
        }
        let id = uuid::Uuid::new_v4().to_string();
        let step = {
            let mut pool = desk.pool.lock();
            pool.prepare(&ask.adapter, adapter.memory_mib, &id, node.now())
        };
        let job = match step {
            Step::Ready => continue,
            Step::Full => return Reply::Unavailable,
            Step::Send(job) => job,
        };
        let Some(done) = send(node, endpoint, &job).await else {
            return Reply::Unavailable;
        };
        desk.pool.lock().answer(&job.id, done, node.now());
        if !done && job.adapter == ask.adapter {
            return Reply::Unavailable;
        }
    }
}

/// Sends an order until it is answered; returns whether it was carried out, or `None` without the lease.
async fn send(node: &Arc<Node>, endpoint: &Endpoint, job: &Job) -> Option<bool> {
    let _load = node.adapters.loads.acquire().await.ok()?;
    let mut fence = node.placement.fence(&endpoint.name);
    loop {
        if !node.placement.may_order(node.now()) {
            return None;
        }
        node.placement.count_adapter_order();
        let order = order_of(node, job, fence);
        let post = order::post(node, endpoint, &order);
        match tokio::time::timeout(ANSWER_TIMEOUT, post).await {
            Ok(Ok(Outcome::Done | Outcome::Accepted)) => return Some(true),
            Ok(Ok(Outcome::Refused { reason })) => {
                let name = &endpoint.name;
                spdlog::warn!("adapter: order {} refused endpoint={name} {reason}", job.id);
                return Some(false);
            }
            Ok(Ok(Outcome::Stale { fence: seen })) => fence = fence.max(seen),
            Ok(Err(error)) => {
                spdlog::debug!("adapter: order {} not answered: {error}", job.id);
                tokio::time::sleep(ANSWER_TIMEOUT / 10).await;
            }
            Err(_) => {}
        }
    }
}

fn order_of(node: &Node, job: &Job, fence: u64) -> Order {
    let adapter = job.adapter.clone();
    let config = node.config.load();
    let model = config.adapters.get(&adapter).map(|a| a.model.clone());
    let action = match job.load_mib {
        Some(memory_mib) => Action::LoadAdapter {
            adapter,
            model: model.unwrap_or_default(),
            memory_mib,
        },
        None => Action::UnloadAdapter { adapter },
    };
    Order {
        id: job.id.to_string(),
        fence,
        action,
    }
}
