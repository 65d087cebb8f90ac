//! Other daemons: who they are, what they say, and what this one tells them.

pub mod discover;
pub mod hear;
pub mod source;
pub mod tell;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::Node;
use super::feed::Freshness;
use crate::protocol::digest::{Body, Digest, Holding, State};
use crate::state::record::Name;

/// Peers up to which each is told every heartbeat; with more of them the interval grows in proportion.
const SMALL_FLEET: usize = 16;

/// Silence after which a daemon's part of what is divided falls to the others.
const LOST: Duration = Duration::from_secs(16);

/// Time for which a peer may know more than the own feed before this one asks again.
const BEHIND: Duration = Duration::from_millis(350);

/// Silence after which a placer is taken for gone.
pub const PLACER_SILENCE: Duration = Duration::from_millis(1300);

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

/// All known daemons.
#[derive(Debug)]
pub struct Peers {
    inner: Mutex<HashMap<Name, Peer>>,
    names: ArcSwap<Vec<Name>>,
    sequence: AtomicU64,
    listed: AtomicBool,
    strangers: Notify,
    /// Signals that a workspace's part is running low.
    pub short: Notify,
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
            listed: AtomicBool::default(),
            strangers: Notify::default(),
            short: Notify::default(),
            operator_behind: Mutex::default(),
            endpoints_behind: Mutex::default(),
        }
    }

    /// Names of the daemons over which fleet-wide limits are divided, this one among them.
    pub fn names(&self) -> Arc<Vec<Name>> {
        self.names.load_full()
    }

    /// Whether the other daemons have been read; until then nothing can be divided.
    pub fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Relaxed)
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
            spdlog::info!("peers: limits divided", kv: { daemons = names.len() });
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
            .line(|| spdlog::info!("peers: message dropped", kv: { to: = to, error: = error }));
    }
}

/// Sends one message to every peer.
pub fn tell_all(node: &Node, body: &Body) {
    for address in node.peers.addresses() {
        send(node, body.clone(), address);
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

/// Takes over what the placer says that engines hold.
pub fn hold(node: &Node, holdings: Vec<Holding>, now: Duration) {
    for holding in holdings {
        let models = holding.models.into_iter().collect();
        node.belief.hold(&holding.engine, models, now);
    }
}
