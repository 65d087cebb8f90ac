//! Orders numbers of replicas.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::{RATE_SHARE, Reply};
use crate::coordination::scale::{Answer, Bounds, Change, Order, Refused, Scaler, Zone, floor};
use crate::serving::codec::Scaling;
use crate::serving::meter::Replicas;
use crate::serving::peers::{HEARTBEAT_INTERVAL, commit};
use crate::serving::settings::Duties;
use crate::serving::{Node, duty, feed};
use crate::state::catalog::{Scale, Service};
use crate::state::record::Name;
use crate::state::row;
use crate::transport::exchange::Channel;

/// Store table of the numbers ordered.
const TABLE: &str = "scale";

/// Interval between decisions.
const INTERVAL: Duration = Duration::from_secs(1);

/// Time over which the highest number of listed replicas counts at the begin of a term.
const LISTED_TIME: Duration = Duration::from_secs(30);

/// Time for which two copies of a model are kept after it was requested.
const IN_DEMAND_TIME: Duration = Duration::from_secs(60);

/// Shortest time after which a new holder decides also if it hasn't heard half of its peers: those that live would have been
/// heard, and waiting for the others would leave a fleet without them unscaled.
const MIN_HEARING_TIME: Duration = Duration::from_secs(5);

/// Heartbeats that a peer can have sent in the time after which a new holder doesn't wait for it, in halves.
const HEARTBEAT_HALVES: u32 = 5;

/// Maximum number of calls between two decisions.
const MAX_CALLS: usize = 4;

/// A number ordered, as stored before the call.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
struct Stored {
    service: Name,
    zone: Name,
    /// Number ordered.
    wanted: u32,
    /// Number that may be in force as long as the call is not acknowledged.
    before: u32,
}

impl Stored {
    fn key(&self) -> Name {
        format!("{}/{}", self.service, self.zone).into()
    }
}

/// Numbers of listed replicas in the last [`LISTED_TIME`], by service and zone. Every daemon keeps them, as any may take over
/// just after replicas have ended.
#[derive(Debug, Default)]
struct History {
    counts: HashMap<(Name, Name), VecDeque<(Duration, u32)>>,
}

impl History {
    fn note(&mut self, service: &Name, zone: &Name, listed: u32, now: Duration) {
        let key = (service.clone(), zone.clone());
        self.counts.entry(key).or_default().push_back((now, listed));
    }

    fn expire(&mut self, now: Duration) {
        self.counts.retain(|_, counts| {
            counts.retain(|(at, _)| *at + LISTED_TIME > now);
            !counts.is_empty()
        });
    }

    /// Highest number of each zone of a service.
    fn highest(&self, service: &Name) -> impl Iterator<Item = (&Name, u32)> {
        let counts = self.counts.iter().filter(move |((it, _), _)| it == service);
        counts.map(|((_, zone), counts)| {
            let highest = counts.iter().map(|(_, listed)| *listed).max();
            (zone, highest.unwrap_or_default())
        })
    }
}

/// What this daemon has decided while it holds the lease under one token.
#[derive(Debug)]
struct Term {
    fence: u64,
    began_at: Duration,
    /// Whether the stored numbers were read.
    is_read: bool,
    /// Whether half of the peers were heard in this term, or had time to be.
    has_heard: bool,
    /// Stored numbers by key, with the versions of their rows.
    stored: HashMap<Name, (Stored, u64)>,
    scalers: BTreeMap<Name, Scaler>,
    decided_at: Duration,
}

/// Decides and orders numbers of replicas until the daemon stops.
pub async fn run(node: Arc<Node>, duties: Duties) {
    let store = Channel::open(node.settings.store_address);
    let task = async {
        let mut history = History::default();
        let mut term: Option<Term> = None;
        loop {
            sleep(INTERVAL).await;
            let services = scaled_services(&node);
            let now = node.now();
            for (service, _) in &services {
                for (zone, it) in zones(&node, service, None, now) {
                    history.note(&service.name, &zone, it.listed, now);
                }
            }
            history.expire(now);
            let holder = duty::holder(&node).filter(|_| !node.leaving.is_cancelled());
            let Some(holder) = holder else {
                if term.is_some() && !node.placer.is_holder(&node) {
                    term = None;
                    clear_metrics(&node);
                }
                continue;
            };
            if term.as_ref().is_none_or(|term| term.fence != holder.fence) {
                term = Some(begin(&node, holder.fence));
            }
            if let Some(term) = &mut term {
                act(&node, &duties, &store, term, &services, &history).await;
            }
        }
    };
    node.until_stopped(task).await;
}

fn begin(node: &Node, fence: u64) -> Term {
    // What an earlier term has left here is too old to decide by.
    node.placer.take_refused();
    spdlog::info!("duty: scale taken", kv: { fence });
    let now = node.now();
    Term {
        fence,
        began_at: now,
        is_read: false,
        has_heard: false,
        stored: HashMap::new(),
        scalers: BTreeMap::new(),
        decided_at: now,
    }
}

fn scaled_services(node: &Node) -> Vec<(Arc<Service>, Scale)> {
    let catalog = node.fleet.catalog.load();
    let services = catalog.iter().flat_map(|it| it.services.values());
    services
        .filter_map(|service| Some((service.clone(), service.scale?)))
        .collect()
}

/// Decides once, and makes the calls that are due.
async fn act(
    node: &Arc<Node>,
    duties: &Duties,
    store: &Channel,
    term: &mut Term,
    services: &[(Arc<Service>, Scale)],
    history: &History,
) {
    if !term.is_read {
        if let Err(error) = read(node, store, term).await {
            node.journal
                .line(|| spdlog::info!("duty: scale rows not read", kv: { error: = error }));
            return;
        }
        term.is_read = true;
    }
    let now = node.now();
    term.has_heard = term.has_heard || has_heard(node, term, now);
    if !term.has_heard {
        return;
    }
    let refused = node.placer.take_refused();
    let mut orders = Vec::new();
    for (service, scale) in services {
        let name = &service.name;
        let scaler = term.scalers.entry(name.clone()).or_insert_with(|| {
            let mut scaler = Scaler::begin(now);
            let stored = term.stored.values().map(|(it, _)| it);
            for it in stored.filter(|it| it.service == *name) {
                scaler.adopt(&it.zone, it.wanted.max(it.before));
            }
            for (zone, listed) in history.highest(name).filter(|(_, listed)| *listed > 0) {
                scaler.adopt(zone, listed);
            }
            scaler
        });
        let mut zones = zones(node, service, Some(scaler), now);
        for (zone, it) in &mut zones {
            let key = (name.clone(), zone.clone());
            it.refused = refused.get(&key).copied().unwrap_or_default();
        }
        let bounds = bounds(node, service, scale, now);
        let changes = scaler.decide(&bounds, &zones, now);
        for change in &changes {
            let age = now.saturating_sub(term.decided_at);
            log_change(service, change, &bounds, &zones, age);
        }
        set_metrics(node, name, scaler, &zones, now);
        let due = scaler.due(now).into_iter();
        orders.extend(due.map(|order| (name.clone(), order)));
    }
    term.decided_at = now;
    // Increases go first.
    orders.sort_by_key(|(_, it)| i64::from(it.before) - i64::from(it.wanted));
    orders.truncate(MAX_CALLS);
    let ready = store_orders(node, store, term, orders).await;
    let pause = Duration::from_secs_f64((duties.per_second * RATE_SHARE).recip().min(1.0));
    let fence = term.fence;
    let calls = ready
        .iter()
        .zip(0..)
        .map(|((service, order), turn)| async move {
            sleep(pause * turn).await;
            call(node, duties, fence, service, order).await
        });
    let replies: Vec<Option<Answer>> = join_all(calls).await;
    for ((service, order), answer) in ready.iter().zip(replies) {
        let Some(answer) = answer else {
            continue;
        };
        if let Some(scaler) = term.scalers.get_mut(service) {
            scaler.answered(order, answer, node.now());
        }
        if answer == Answer::Accepted && order.wanted < order.before {
            let settled = stored(service, order.zone.clone(), order.wanted, order.wanted);
            write(node, store, term, settled).await;
        }
    }
}

/// Whether the first decision of a term can be taken: requests in flight and refusals of daemons that were not heard in it are
/// not known.
fn has_heard(node: &Node, term: &Term, now: Duration) -> bool {
    let elapsed = now.saturating_sub(term.began_at);
    let heartbeats = HEARTBEAT_INTERVAL * node.peers.interval_factor() * HEARTBEAT_HALVES / 2;
    node.peers.count() <= 1
        || node.peers.hears_most(elapsed, now)
        || elapsed >= MIN_HEARING_TIME.max(heartbeats)
}

fn stored(service: &Name, zone: Name, wanted: u32, before: u32) -> Stored {
    Stored {
        service: service.clone(),
        zone,
        wanted,
        before,
    }
}

/// Reads the numbers that earlier terms have ordered.
async fn read(node: &Node, store: &Channel, term: &mut Term) -> Result<(), feed::Error> {
    let page = feed::read::list(node, store, TABLE).await?;
    let rows = page.rows.iter().filter_map(|row| {
        let stored: Stored = serde_json::from_slice(row.value.as_ref()?).ok()?;
        Some((row.key.clone(), (stored, row.version)))
    });
    term.stored = rows.collect();
    Ok(())
}

/// Stores orders before they are sent, so that a later holder knows them also if this daemon ends before the response;
/// returns those that are stored.
async fn store_orders(
    node: &Node,
    store: &Channel,
    term: &mut Term,
    orders: Vec<(Name, Order)>,
) -> Vec<(Name, Order)> {
    let mut ready = Vec::new();
    for (service, order) in orders {
        let row = stored(&service, order.zone.clone(), order.wanted, order.before);
        let is_stored = term
            .stored
            .get(&row.key())
            .is_some_and(|(it, _)| *it == row);
        if is_stored || write(node, store, term, row).await {
            ready.push((service, order));
        }
    }
    ready
}

/// Writes a row if nobody else has; returns whether it is written.
async fn write(node: &Node, store: &Channel, term: &mut Term, row: Stored) -> bool {
    let key = row.key();
    let version = term.stored.get(&key).map_or(0, |(_, version)| *version);
    let value = Bytes::from(serde_json::to_vec(&row).unwrap_or_default());
    let change = row::Change {
        expected: vec![(TABLE.into(), key.clone(), version)],
        write: vec![(TABLE.into(), key.clone(), value)],
        remove: Vec::new(),
    };
    match commit::commit(node, store, &change).await {
        Ok(Some(version)) => {
            term.stored.insert(key, (row, version));
            true
        }
        result => {
            // The row may be written all the same; reading shows it.
            term.is_read = false;
            node.journal.line(
                || spdlog::info!("duty: scale row not written", kv: { key: = key, result:? = result }),
            );
            false
        }
    }
}

/// Makes the call for an order; `None` if it was not sent.
async fn call(
    node: &Arc<Node>,
    duties: &Duties,
    fence: u64,
    service: &Name,
    order: &Order,
) -> Option<Answer> {
    // A later term decides anew.
    duty::holder(node).filter(|holder| holder.fence == fence)?;
    let scaling = Scaling {
        service: service.clone(),
        zone: order.zone.clone(),
        wanted: order.wanted,
    };
    // A connection of its own: no call waits for the response to another after the lease was checked.
    let channel = Channel::open(duties.address);
    let started = node.now();
    let build = |holder: &_| (node.codec.order_replicas)(&scaling, holder);
    let reply = duty::call(node, duties, &channel, build).await;
    let (outcome, answer) = match reply {
        Reply::Accepted => ("acknowledged", Answer::Accepted),
        Reply::Refused(_) => ("refused", Answer::Refused),
        Reply::Unknown => ("unanswered", Answer::Unknown),
        Reply::Unsent => return None,
    };
    spdlog::info!("duty: scale ordered", kv: {
        service: = service,
        zone: = order.zone,
        wanted = order.wanted,
        before = order.before,
        fence,
        outcome,
        reply:? = reply,
        waited_ms = node.now().saturating_sub(started).as_millis() as u64,
    });
    Some(answer)
}

/// What is known of a service in each zone.
fn zones(
    node: &Node,
    service: &Service,
    scaler: Option<&Scaler>,
    now: Duration,
) -> BTreeMap<Name, Zone> {
    let view = node.fleet.view.load();
    let heard = node.peers.zones(&node.settings, now);
    let in_zones = view.all.values();
    let in_zones = in_zones.filter(|it| it.entry.service == service.name);
    let mut names: BTreeSet<Name> = heard.keys().cloned().collect();
    names.extend(in_zones.clone().map(|it| it.entry.zone.clone()));
    if let Some(scaler) = scaler {
        names.extend(scaler.numbers(now).map(|(zone, ..)| zone.clone()));
    }
    let zones = names.into_iter().map(|name| {
        let zone = Zone {
            listed: 0,
            ready: 0,
            empty: 0,
            draining: 0,
            in_flight: 0,
            refused: Refused::default(),
            in_use: !node.fleet.is_out(&name),
            heard: heard.get(&name).copied().unwrap_or(true),
        };
        (name, zone)
    });
    let mut zones: BTreeMap<Name, Zone> = zones.collect();
    let usable = view.services.get(&service.name).into_iter().flatten();
    let usable: HashSet<&Name> = usable.map(|endpoint| &endpoint.entry.id).collect();
    // A daemon without links can't tell which replicas can be connected to.
    let has_links = !node.links.is_lost();
    for endpoint in in_zones {
        let entry = &endpoint.entry;
        let Some(zone) = zones.get_mut(&entry.zone) else {
            continue;
        };
        let in_flight = endpoint.tracker.total_in_flight();
        zone.in_flight = zone.in_flight.saturating_add(in_flight);
        let state = endpoint.tracker.lock();
        if entry.draining || state.leaving || (zone.in_use && !usable.contains(&entry.id)) {
            zone.draining += 1;
            continue;
        }
        zone.listed += 1;
        if has_links && state.health.is_unreachable(now) {
            continue;
        }
        zone.ready += 1;
        zone.empty += u32::from(service.engine.is_some() && state.models.is_empty());
    }
    zones
}

fn bounds(node: &Node, service: &Service, scale: &Scale, now: Duration) -> Bounds {
    let view = node.fleet.view.load();
    let listed = view.all.values();
    let listed = listed.filter(|it| it.entry.service == service.name);
    let slots = match &service.engine {
        Some(engine) => engine.slots,
        // Replicas with the fewest slots are the ones to count on.
        None => listed.map(|it| it.entry.slots).min().unwrap_or(1),
    };
    let models = service.engine.iter().flat_map(|engine| &engine.models);
    let load = models.clone().map(|(_, model)| model.load_time).max();
    let sizes = models.map(|(name, model)| {
        let adapter = match model.adapters.is_empty() {
            true => 0.0,
            false => model.adapter_megabytes,
        };
        let copies = match node.placer.is_in_demand(name, IN_DEMAND_TIME, now) {
            true => 2,
            false => 1,
        };
        (model.megabytes + adapter, copies)
    });
    let sizes: Vec<(f64, u32)> = sizes.collect();
    let engine = service.engine.as_ref();
    Bounds {
        min: scale.min,
        max: scale.max,
        boot: scale.boot,
        load: load.unwrap_or_default(),
        slots,
        floor: engine.map_or(0, |engine| floor(&sizes, engine.megabytes)),
        loads_per_second: engine.map(|engine| engine.loads_per_second),
    }
}

fn log_change(
    service: &Service,
    change: &Change,
    bounds: &Bounds,
    zones: &BTreeMap<Name, Zone>,
    age: Duration,
) {
    let Some(zone) = zones.get(&change.zone) else {
        return;
    };
    spdlog::info!("duty: scale decided", kv: {
        service: = service.name,
        zone: = change.zone,
        wanted = change.wanted,
        before = change.before,
        listed = zone.listed,
        ready = zone.ready,
        empty = zone.empty,
        draining = zone.draining,
        failed = zone.failed(),
        in_flight = zone.in_flight,
        expected = change.expected,
        refused_full = zone.refused.full,
        refused_model = zone.refused.model,
        floor = bounds.floor,
        age_ms = age.as_millis() as u64,
    });
}

fn set_metrics(
    node: &Node,
    service: &Name,
    scaler: &Scaler,
    zones: &BTreeMap<Name, Zone>,
    now: Duration,
) {
    for (zone, desired, booting) in scaler.numbers(now) {
        let labels = Replicas {
            service: service.to_string(),
            zone: zone.to_string(),
        };
        let ready = zones.get(zone).map_or(0, |zone| zone.ready);
        for (gauge, value) in [
            (&node.meter.replicas_desired, desired),
            (&node.meter.replicas_ready, ready),
            (&node.meter.replicas_booting, booting),
        ] {
            gauge.get_or_create(&labels).set(i64::from(value));
        }
    }
}

fn clear_metrics(node: &Node) {
    let meter = &node.meter;
    meter.replicas_desired.clear();
    meter.replicas_ready.clear();
    meter.replicas_booting.clear();
}
