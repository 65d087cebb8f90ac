//! Other daemons: who they are, what they say, and what this one tells them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use jsonrpsee::server::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, sleep_until};

use super::feed::{self, Freshness};
use super::{Node, spread};
use crate::protocol::digest::{Body, Digest, Holding, State};
use crate::state::record::Name;
use crate::state::row::{Change, Row};
use crate::transport::exchange::Line;
use crate::transport::gossip::MAX_BYTES;

/// Table of the daemons' own rows in the platform's store.
pub const TABLE: &str = "daemons";

/// Interval between two messages to the same peer in a small fleet.
const HEARTBEAT: Duration = Duration::from_millis(400);

/// Least interval between two messages when a workspace's part runs low.
const SHORT_LEAST: Duration = Duration::from_millis(100);

/// Peers up to which each is told every heartbeat; with more of them the interval grows in proportion.
const SMALL_FLEET: usize = 16;

/// Silence after which a daemon's part of what is divided falls to the others.
const LOST: Duration = Duration::from_secs(16);

/// Interval between two readings of the daemons' rows.
const LIST_INTERVAL: Duration = Duration::from_secs(15);

/// Least interval between two readings when strangers are heard.
const LIST_LEAST: Duration = Duration::from_secs(1);

/// Time for which a peer may know more than the own feed before this one asks again.
const BEHIND: Duration = Duration::from_millis(350);

/// Time for which the own feed may fail before peers' word is taken.
const STALE: Duration = Duration::from_millis(700);

/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Silence after which a placer is taken for gone.
pub const PLACER_SILENCE: Duration = Duration::from_millis(1300);

/// Name of the call that returns the configuration in force.
const CATALOG_METHOD: &str = "catalog";

/// A daemon's row.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Card {
    /// Address for datagrams.
    pub gossip: SocketAddr,
    /// Address for calls.
    pub calls: SocketAddr,
    /// Availability zone.
    pub zone: Name,
}

#[derive(Debug)]
struct Peer {
    card: Card,
    session: u64,
    sequence: u64,
    heard: Duration,
    state: State,
}

/// Answer of the call that returns the configuration.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
struct Source {
    version: u64,
    /// Text of the configuration, in base64; empty if the caller has that version.
    text: String,
}

/// All known daemons.
#[derive(Debug)]
pub struct Peers {
    inner: Mutex<HashMap<Name, Peer>>,
    names: ArcSwap<Vec<Name>>,
    sequence: AtomicU64,
    strangers: tokio::sync::Notify,
    /// Signals that a workspace's part is running low.
    pub short: tokio::sync::Notify,
    operator_behind: Mutex<Behind>,
    endpoints_behind: Mutex<Behind>,
}

impl Peers {
    /// Knows only this daemon.
    pub fn open(own: &Name) -> Self {
        Self {
            inner: Mutex::default(),
            names: ArcSwap::from_pointee(vec![own.clone()]),
            sequence: AtomicU64::default(),
            strangers: tokio::sync::Notify::default(),
            short: tokio::sync::Notify::default(),
            operator_behind: Mutex::default(),
            endpoints_behind: Mutex::default(),
        }
    }

    /// Names of the daemons over which fleet-wide limits are divided, this one among them.
    pub fn names(&self) -> Arc<Vec<Name>> {
        self.names.load_full()
    }

    /// Number of those daemons.
    pub fn count(&self) -> usize {
        self.names.load().len()
    }

    /// Factor by which intervals of what every daemon does grow with the fleet; 1 in a small one.
    pub fn crowd(&self) -> u32 {
        self.count().div_ceil(SMALL_FLEET).max(1) as u32
    }

    /// The daemon that places models, with its address, if it has been heard a short while ago.
    pub fn placer(&self, now: Duration) -> Option<(Name, SocketAddr)> {
        let inner = self.inner.lock();
        let placers = inner
            .iter()
            .filter(|(_, peer)| peer.state.placing.is_some() && peer.heard + PLACER_SILENCE > now);
        let newest = placers.max_by_key(|(_, peer)| peer.state.placing);
        newest.map(|(name, peer)| (name.clone(), peer.card.gossip))
    }

    /// Position of this daemon among those that are alive.
    pub fn position(&self, own: &str, now: Duration) -> usize {
        let inner = self.inner.lock();
        let alive = inner.iter().filter(|(name, peer)| {
            &***name < own && peer.heard + PLACER_SILENCE > now && !peer.state.leaving
        });
        alive.count()
    }

    /// Daemons that have been silent for long.
    pub fn lost(&self, now: Duration) -> Vec<Name> {
        let inner = self.inner.lock();
        let lost = inner
            .iter()
            .filter(|(_, peer)| peer.heard + LOST * 2 <= now);
        lost.map(|(name, _)| name.clone()).collect()
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let inner = self.inner.lock();
        inner.values().map(|peer| peer.card.gossip).collect()
    }

    fn divide(&self, own: &Name, now: Duration) {
        let inner = self.inner.lock();
        let live = inner.iter().filter(|(_, peer)| peer.heard + LOST > now);
        let mut names: Vec<Name> = live.map(|(name, _)| name.clone()).collect();
        names.push(own.clone());
        names.sort();
        if names != **self.names.load() {
            spdlog::info!("peers: limits divided over daemons={}", names.len());
            self.names.store(Arc::new(names));
        }
    }
}

/// Sends one message to one daemon.
pub fn send(node: &Node, body: Body, to: SocketAddr) {
    let sequence = node.peers.sequence.fetch_add(1, Ordering::Relaxed) + 1;
    let digest = Digest {
        daemon: node.settings.name.clone(),
        session: node.session,
        sequence,
        body,
    };
    node.meter.digests.inc();
    if let Err(error) = node.gossip.send(&digest, to) {
        node.journal
            .line(|| format!("peers: message to {to} dropped error=\"{error}\""));
    }
}

/// Sends one message to every peer.
pub fn tell_all(node: &Node, body: &Body) {
    for address in node.peers.addresses() {
        send(node, body.clone(), address);
    }
}

/// Registers this daemon and keeps reading who else is there.
pub async fn discover(node: Arc<Node>) {
    let line = Line::open(node.settings.store_address);
    let stopped = node.stopped.clone();
    let work = async {
        register(&node, &line).await;
        loop {
            match feed::list(&node, &line, TABLE).await {
                Ok(page) => meet(&node, &line, &page.rows).await,
                Err(error) => {
                    node.journal
                        .line(|| format!("peers: cannot list daemons error=\"{error}\""));
                }
            }
            let interval = spread(LIST_INTERVAL * node.peers.crowd());
            tokio::select! {
                () = sleep(interval) => {}
                () = node.peers.strangers.notified() => sleep(LIST_LEAST).await,
            }
        }
    };
    tokio::select! {
        () = stopped.cancelled() => {}
        () = work => {}
    }
}

async fn register(node: &Node, line: &Line) {
    let card = Card {
        gossip: node.gossip_address,
        calls: node.peer_address,
        zone: node.settings.zone.clone(),
    };
    let value = serde_json::to_vec(&card).unwrap_or_default();
    let row = (TABLE.into(), node.settings.name.clone(), Bytes::from(value));
    let change = Change {
        write: vec![row],
        ..Change::default()
    };
    while let Err(error) = node.commit(line, &change).await {
        node.journal
            .line(|| format!("peers: cannot register error=\"{error}\""));
        sleep(spread(LIST_LEAST)).await;
    }
}

async fn meet(node: &Node, line: &Line, rows: &[Row]) {
    let now = node.now();
    let mut own_row = false;
    {
        let mut inner = node.peers.inner.lock();
        let mut listed = Vec::new();
        for row in rows {
            let Some(value) = &row.value else {
                continue;
            };
            if row.key == node.settings.name {
                own_row = true;
                continue;
            }
            let Ok(card) = serde_json::from_slice::<Card>(value) else {
                continue;
            };
            listed.push(row.key.clone());
            let peer = inner.entry(row.key.clone()).or_insert_with(|| Peer {
                card: card.clone(),
                session: 0,
                sequence: 0,
                heard: now,
                state: State::default(),
            });
            peer.card = card;
        }
        inner.retain(|name, peer| listed.contains(name) || peer.heard + LOST > now);
    }
    node.peers.divide(&node.settings.name, now);
    if !own_row {
        register(node, line).await;
    }
}

/// Tells all peers this daemon's state once per heartbeat.
pub async fn tell(node: Arc<Node>) {
    let stopped = node.stopped.clone();
    let work = async {
        let mut told = Instant::now();
        loop {
            // All watch whether the placer is there.
            let crowd = match node.placer.is_holder(&node) {
                true => 1,
                false => node.peers.crowd(),
            };
            let due = told + spread(HEARTBEAT * crowd);
            // Whatever else has to be told at once does not put the heartbeat off.
            loop {
                tokio::select! {
                    () = sleep_until(due) => break,
                    () = node.demand.urgent.notified() => tell_wanted(&node),
                    () = node.peers.short.notified(), if crowd == 1 => {
                        if told.elapsed() >= SHORT_LEAST {
                            break;
                        }
                    }
                }
            }
            told = Instant::now();
            heartbeat(&node);
        }
    };
    tokio::select! {
        () = stopped.cancelled() => {}
        () = work => {}
    }
}

fn tell_wanted(node: &Node) {
    let wanted = node.demand.take_wanted();
    if node.placer.is_holder(node) {
        node.placer.want(wanted, node.settings.zone.clone());
    } else if let Some((_, address)) = node.peers.placer(node.now()) {
        send(node, Body::Wanted(wanted), address);
    }
}

fn heartbeat(node: &Node) {
    let now = node.now();
    node.belief.tick(now);
    node.peers.divide(&node.settings.name, now);
    node.limit_retries();
    let demand = node.demand.take();
    if node.placer.is_holder(node) {
        node.placer.learn(&demand, now);
    } else if let Some((_, address)) = node.peers.placer(now) {
        send(node, Body::Demand(demand), address);
    }
    let state = state(node, now);
    tell_all(node, &Body::State(state));
}

fn state(node: &Node, now: Duration) -> State {
    let (gone, out) = node.belief.told();
    let (operator, endpoints) = node.belief.versions();
    let catalog = node.belief.catalog.load();
    let view = node.belief.view.load();
    let flights = view.all.iter().filter_map(|(id, endpoint)| {
        let count = endpoint.track.flights();
        (count > 0).then(|| (id.clone(), count))
    });
    let mut missing = Vec::new();
    let workspaces = catalog
        .iter()
        .flat_map(|catalog| catalog.workspaces.values());
    for workspace in workspaces {
        let short = node
            .limits
            .with(node, workspace, now, |part| part.shortage(now));
        if let Some(short) = short.filter(|short| *short >= 1.0) {
            missing.push((workspace.name.clone(), short.ceil() as u64));
        }
    }
    State {
        catalog: catalog.as_ref().map_or(0, |catalog| catalog.version),
        operator,
        endpoints,
        gone,
        out,
        flights: flights.collect(),
        missing,
        placing: node.placer.fence(node),
        leaving: node.leaving.is_cancelled(),
    }
}

/// Takes in what peers say.
pub async fn listen(node: Arc<Node>) {
    let stopped = node.stopped.clone();
    let work = async {
        let mut buffer = vec![0; MAX_BYTES];
        loop {
            match node.gossip.receive::<Digest>(&mut buffer).await {
                Ok((digest, _)) => hear(&node, digest),
                Err(error) => {
                    node.journal
                        .line(|| format!("peers: unreadable message error=\"{error}\""));
                }
            }
        }
    };
    tokio::select! {
        () = stopped.cancelled() => {}
        () = work => {}
    }
}

fn hear(node: &Arc<Node>, digest: Digest) {
    let now = node.now();
    let (card, before) = {
        let mut inner = node.peers.inner.lock();
        let Some(peer) = inner.get_mut(&digest.daemon) else {
            node.peers.strangers.notify_one();
            return;
        };
        let old = digest.session < peer.session
            || (digest.session == peer.session && digest.sequence <= peer.sequence);
        if old {
            return;
        }
        peer.session = digest.session;
        peer.sequence = digest.sequence;
        peer.heard = now;
        let before = match &digest.body {
            Body::State(state) => Some(std::mem::replace(&mut peer.state, state.clone())),
            _ => None,
        };
        (peer.card.clone(), before)
    };
    match digest.body {
        Body::State(state) => {
            if let Some(before) = before {
                compare_flights(node, &before.flights, &state.flights);
            }
            give(node, &state.missing, card.gossip, now);
            catch_up(node, &state, &card, now);
        }
        Body::Given(given) => receive(node, &given, now),
        Body::Demand(demand) => node.placer.learn(&demand, now),
        Body::Wanted(wanted) => node.placer.want(wanted, card.zone),
        Body::Held(holdings) => hold(node, holdings, now),
    }
}

/// Takes over what the placer says that engines hold.
pub fn hold(node: &Node, holdings: Vec<Holding>, now: Duration) {
    for holding in holdings {
        let models = holding.models.into_iter().collect();
        node.belief.hold(&holding.engine, models, now);
    }
}

fn compare_flights(node: &Node, before: &BTreeMap<Name, u32>, after: &BTreeMap<Name, u32>) {
    let view = node.belief.view.load();
    for (id, endpoint) in &view.all {
        let was = before.get(id).copied().unwrap_or_default();
        let is = after.get(id).copied().unwrap_or_default();
        if was != is {
            endpoint.track.others(was, is);
        }
    }
}

fn give(node: &Node, missing: &[(Name, u64)], to: SocketAddr, now: Duration) {
    let catalog = node.belief.catalog.load();
    let Some(catalog) = catalog.as_ref() else {
        return;
    };
    // All peers hear of the shortage at once and each gives its part.
    let givers = (node.peers.count() - 1).max(1) as f64;
    let mut given = Vec::new();
    for (name, units) in missing {
        let Some(workspace) = catalog.workspaces.get(name) else {
            continue;
        };
        let wanted = (*units as f64 * 2.0 / givers).ceil().min(*units as f64);
        let taken = node
            .limits
            .with(node, workspace, now, |part| part.give(wanted, now));
        if let Some(units) = taken.filter(|units| *units >= 1.0) {
            given.push((name.clone(), units as u64));
        }
    }
    if !given.is_empty() {
        send(node, Body::Given(given), to);
    }
}

fn receive(node: &Node, given: &[(Name, u64)], now: Duration) {
    let catalog = node.belief.catalog.load();
    let Some(catalog) = catalog.as_ref() else {
        return;
    };
    for (name, units) in given {
        if let Some(workspace) = catalog.workspaces.get(name) {
            node.limits.with(node, workspace, now, |part| {
                part.receive(*units as f64, now)
            });
        }
    }
}

/// Asks the store again, or the peer, when the peer knows more.
fn catch_up(node: &Arc<Node>, state: &State, card: &Card, now: Duration) {
    let stale = node.operator_feed.stale(STALE, now) || node.endpoint_feed.stale(STALE, now);
    if stale {
        node.belief.hear(&state.gone, &state.out, now);
    }
    let (operator, endpoints) = node.belief.versions();
    let catalog = node.belief.catalog.load();
    let version = catalog.as_ref().map_or(0, |catalog| catalog.version);
    if state.catalog > version && (stale || catalog.is_none()) {
        tokio::spawn(fetch_catalog(node.clone(), card.calls, version));
    }
    if !stale {
        node.peers.operator_behind.lock().compare(
            (operator, state.operator),
            &node.operator_feed,
            now,
        );
        node.peers.endpoints_behind.lock().compare(
            (endpoints, state.endpoints),
            &node.endpoint_feed,
            now,
        );
    }
}

/// How long a peer has known more of a table than this daemon.
#[derive(Debug, Default)]
struct Behind {
    since: Option<Duration>,
    asked_for: u64,
}

impl Behind {
    /// Asks for a new reading once for each version that a peer has known for long enough.
    fn compare(&mut self, (own, theirs): (u64, u64), feed: &Freshness, now: Duration) {
        if theirs <= own.max(self.asked_for) {
            return;
        }
        let since = *self.since.get_or_insert(now);
        if since + BEHIND <= now {
            self.asked_for = theirs;
            self.since = None;
            feed.nudge.notify_one();
        }
    }
}

async fn fetch_catalog(node: Arc<Node>, from: SocketAddr, known: u64) {
    let answer = node
        .calls
        .call::<u64, Source>(from, CATALOG_METHOD, &known, CALL_TIMEOUT);
    let source = match answer.await {
        Ok(source) => source,
        Err(error) => {
            node.journal
                .line(|| format!("peers: no configuration from {from} error=\"{error}\""));
            return;
        }
    };
    let Ok(text) = STANDARD.decode(&source.text) else {
        return;
    };
    let row = Row {
        table: node.adapter.operator_table.into(),
        key: node.adapter.catalog_key.into(),
        value: Some(text.into()),
        version: 0,
    };
    let notice = (node.adapter.notice)(&row);
    let source = row.value.unwrap_or_default();
    node.belief
        .notice(notice, &source, Duration::ZERO, node.now());
}

/// Calls that peers may make.
pub fn module(
    slot: Arc<std::sync::OnceLock<Arc<Node>>>,
) -> RpcModule<Arc<std::sync::OnceLock<Arc<Node>>>> {
    let mut module = RpcModule::new(slot);
    let registered = module.register_method(CATALOG_METHOD, |params, slot, _| {
        let known: u64 = params.one()?;
        let source = slot.get().and_then(|node| node.belief.source());
        let (version, text) = source.unwrap_or_default();
        let text = match version > known {
            true => STANDARD.encode(&text),
            false => String::new(),
        };
        Ok::<Source, ErrorObjectOwned>(Source { version, text })
    });
    if let Err(error) = registered {
        spdlog::error!("peers: method {CATALOG_METHOD} cannot be registered: {error}");
    }
    module
}
