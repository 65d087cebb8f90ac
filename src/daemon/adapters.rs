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
use crate::coordination::adapter::{Order, Pool, Step};
use crate::protocol::engine::{self, Action, Outcome};
use crate::protocol::peer::method;
use crate::state::record::{Adapter, Endpoint, Name};

const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
const LOAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Request to the lease holder of an endpoint's zone to begin or end the use of an adapter.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Request {
    /// The endpoint.
    pub endpoint: Name,
    /// The adapter.
    pub adapter: Name,
    /// Session of the requesting daemon.
    pub daemon: Arc<str>,
    /// Whether the use ends; otherwise it begins.
    pub ends: bool,
}

/// Answer to a [`Request`].
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
pub struct Guard {
    node: Arc<Node>,
    lease_holder: Option<SocketAddr>,
    request: Request,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let Some(lease_holder) = self.lease_holder else {
            return;
        };
        self.request.ends = true;
        if lease_holder == self.node.peer_address {
            self.node.adapters.release(&self.request);
            return;
        }
        let (node, request) = (self.node.clone(), self.request.clone());
        if tokio::runtime::Handle::try_current().is_err() {
            return;
        }
        tokio::spawn(async move {
            let call =
                node.peers
                    .call::<_, Reply>(lease_holder, method::ADAPTER, &request, CALL_TIMEOUT);
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
) -> Result<Guard, Reply> {
    let request = Request {
        endpoint: endpoint.name.clone(),
        adapter: adapter.clone(),
        daemon: node.session.clone(),
        ends: false,
    };
    let lease_holder = node.placement.holder(&endpoint.zone);
    let reply = match lease_holder {
        Some(address) if address == node.peer_address => answer(node, &request).await,
        Some(address) => {
            let call = node
                .peers
                .call(address, method::ADAPTER, &request, CALL_TIMEOUT);
            call.await.unwrap_or(Reply::Elsewhere)
        }
        None => Reply::Elsewhere,
    };
    let resident = || {
        let report = node.load_reports.report(&endpoint.name);
        report.is_some_and(|report| report.load.adapters.contains(adapter))
    };
    let node = node.clone();
    match reply {
        Reply::Ready => Ok(Guard {
            node,
            lease_holder,
            request,
        }),
        // Nothing is evicted without a lease holder, so a loaded adapter can be used.
        Reply::Elsewhere if resident() => Ok(Guard {
            node,
            lease_holder: None,
            request,
        }),
        reply => Err(reply),
    }
}

#[derive(Debug)]
struct PoolState {
    boot: String,
    pool: Mutex<Pool>,
    order_lock: tokio::sync::Mutex<()>,
}

/// Adapter pools of the endpoints to which this daemon issues adapter orders.
#[derive(Debug)]
pub struct Adapters {
    pools: Mutex<HashMap<Name, Arc<PoolState>>>,
    loads: Semaphore,
}

impl Adapters {
    /// Creates an empty set of pools; `loads` is this daemon's share of the fleet's concurrent loads.
    pub fn open(loads: usize) -> Self {
        Self {
            pools: Mutex::default(),
            loads: Semaphore::new(loads.max(1)),
        }
    }

    /// Drops all pools, since another daemon may hold the lease now.
    pub fn clear(&self) {
        self.pools.lock().clear();
    }

    fn release(&self, request: &Request) {
        let state = self.pools.lock().get(&request.endpoint).cloned();
        if let Some(state) = state {
            state.pool.lock().release(&request.adapter, &request.daemon);
        }
    }

    /// Returns an endpoint's pool, updated from the latest load report.
    fn state(&self, node: &Node, endpoint: &Endpoint) -> Option<Arc<PoolState>> {
        let report = node.load_reports.report(&endpoint.name)?;
        let mut pools = self.pools.lock();
        let known = pools.get(&endpoint.name).cloned();
        let current = known.filter(|state| state.boot == report.load.boot);
        let state = current.unwrap_or_else(|| {
            let order_life = node.settings.order_life;
            let pool = Pool::open(endpoint.adapter_pool_mib, node.now(), order_life);
            Arc::new(PoolState {
                boot: report.load.boot.clone(),
                pool: Mutex::new(pool),
                order_lock: tokio::sync::Mutex::default(),
            })
        });
        pools.insert(endpoint.name.clone(), state.clone());
        drop(pools);
        let config = node.config.load();
        let memory = |name: &Name| {
            let pool = endpoint.adapter_pool_mib;
            config.adapters.get(name).map_or(pool, |a| a.memory_mib)
        };
        let adapters = report.load.adapters.iter();
        let reported: BTreeMap<Name, u64> = adapters.map(|n| (n.clone(), memory(n))).collect();
        let live = node.membership.live();
        let sessions: BTreeSet<Arc<str>> = live.iter().map(|m| m.session.clone()).collect();
        let mut pool = state.pool.lock();
        pool.observe(&reported, report.read_at);
        pool.retain_daemons(&sessions);
        drop(pool);
        Some(state)
    }
}

/// Answers an adapter request of a peer or of this daemon.
pub async fn answer(node: &Arc<Node>, request: &Request) -> Reply {
    if request.ends {
        node.adapters.release(request);
        return Reply::Ready;
    }
    let config = node.config.load_full();
    let endpoint = config.endpoints.get(&request.endpoint);
    let Some(endpoint) = endpoint.filter(|e| e.zone == node.settings.zone) else {
        return Reply::Elsewhere;
    };
    let Some(adapter) = config.adapters.get(&request.adapter) else {
        return Reply::Unavailable;
    };
    if !node.placement.may_order(node.now()) {
        return Reply::Elsewhere;
    }
    let Some(state) = node.adapters.state(node, endpoint) else {
        return Reply::Unavailable;
    };
    let loaded = load(node, endpoint, &state, adapter, request);
    let reply = tokio::time::timeout(LOAD_TIMEOUT, loaded).await;
    reply.unwrap_or(Reply::Unavailable)
}

async fn load(
    node: &Arc<Node>,
    endpoint: &Endpoint,
    state: &PoolState,
    adapter: &Adapter,
    request: &Request,
) -> Reply {
    let acquire = || {
        state
            .pool
            .lock()
            .hold(&request.adapter, &request.daemon, node.now())
    };
    if acquire() {
        return Reply::Ready;
    }
    let _order_guard = state.order_lock.lock().await;
    loop {
        if acquire() {
            return Reply::Ready;
        }
        let id = uuid::Uuid::new_v4().to_string();
        let step = {
            let mut pool = state.pool.lock();
            pool.prepare(&request.adapter, adapter.memory_mib, &id, node.now())
        };
        let order = match step {
            Step::Ready => continue,
            Step::Full => return Reply::Unavailable,
            Step::Send(order) => order,
        };
        let Some(done) = send(node, endpoint, &order).await else {
            return Reply::Unavailable;
        };
        state.pool.lock().answer(&order.id, done, node.now());
        if !done && order.adapter == request.adapter {
            return Reply::Unavailable;
        }
    }
}

/// Sends an order until it is answered; returns whether it was carried out, or `None` without the lease.
async fn send(node: &Arc<Node>, endpoint: &Endpoint, order: &Order) -> Option<bool> {
    let _permit = node.adapters.loads.acquire().await.ok()?;
    let mut fence = node.placement.fence(&endpoint.name);
    loop {
        if !node.placement.may_order(node.now()) {
            return None;
        }
        node.placement.count_adapter_order();
        let message = wire_order(node, order, fence);
        let post = order::post(node, endpoint, &message);
        match tokio::time::timeout(ORDER_TIMEOUT, post).await {
            Ok(Ok(Outcome::Done | Outcome::Accepted)) => return Some(true),
            Ok(Ok(Outcome::Refused { reason })) => {
                let name = &endpoint.name;
                spdlog::warn!(
                    "adapter: order {} refused endpoint={name} {reason}",
                    order.id
                );
                return Some(false);
            }
            Ok(Ok(Outcome::Stale { fence: seen })) => fence = fence.max(seen),
            Ok(Err(error)) => {
                spdlog::debug!("adapter: order {} not answered: {error}", order.id);
                tokio::time::sleep(ORDER_TIMEOUT / 10).await;
            }
            Err(_) => {}
        }
    }
}

fn wire_order(node: &Node, order: &Order, fence: u64) -> engine::Order {
    let adapter = order.adapter.clone();
    let config = node.config.load();
    let model = config.adapters.get(&adapter).map(|a| a.model.clone());
    let action = match order.load_mib {
        Some(memory_mib) => Action::LoadAdapter {
            adapter,
            model: model.unwrap_or_default(),
            memory_mib,
        },
        None => Action::UnloadAdapter { adapter },
    };
    engine::Order {
        id: order.id.to_string(),
        fence,
        action,
    }
}
