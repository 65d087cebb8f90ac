//! Peers of this daemon: discovery, gossip in both directions, and fetching the configuration.

pub mod discover;
pub mod receiver;
pub mod sender;
pub mod source;

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
use super::settings::Settings;
use crate::coordination::reader::{self, Candidate};
use crate::protocol::digest::{Body, Digest, Holding, State};
use crate::state::record::Name;

/// Daemons up to which a heartbeat is sent every interval; in a larger fleet the interval grows in proportion.
const SMALL_FLEET: usize = 16;

/// Silence after which a daemon's share of fleet-wide limits goes to the others.
const LOST_AFTER: Duration = Duration::from_secs(16);

/// Time for which a peer may have a newer table version than this daemon before its feed is polled again, in a small
/// fleet; it grows with the pauses between reads.
const MAX_LAG: Duration = Duration::from_millis(350);

/// Longest time for which a peer may have a newer table version.
const LONGEST_LAG: Duration = Duration::from_millis(2500);

/// Silence after which a daemon is no longer counted as live, nor as the placer.
pub const PLACER_SILENCE: Duration = Duration::from_millis(1300);

/// Row with which a daemon registers in the store.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Registration {
    /// Address for gossip datagrams.
    pub gossip: SocketAddr,
    /// Address for RPC calls.
    pub calls: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Processor time of the instance, in cores.
    #[serde(default)]
    pub cores: f64,
}

#[derive(Debug)]
struct Peer {
    registration: Registration,
    session: u64,
    sequence: u64,
    last_heard: Duration,
    state: State,
}

/// Peers known to this daemon.
#[derive(Debug)]
pub struct Peers {
    inner: Mutex<HashMap<Name, Peer>>,
    names: ArcSwap<Vec<Name>>,
    sequence: AtomicU64,
    listed: AtomicBool,
    unknown_sender: Notify,
    /// Signals that this daemon's share of a workspace's limit is running low.
    pub shortage: Notify,
    operator_lag: Mutex<Lag>,
    endpoints_lag: Mutex<Lag>,
}

impl Peers {
    /// Creates a list that contains only this daemon.
    pub fn open(own: &Name) -> Self {
        Self {
            inner: Mutex::default(),
            names: ArcSwap::from_pointee(vec![own.clone()]),
            sequence: AtomicU64::default(),
            listed: AtomicBool::default(),
            unknown_sender: Notify::default(),
            shortage: Notify::default(),
            operator_lag: Mutex::default(),
            endpoints_lag: Mutex::default(),
        }
    }

    /// Sorted names of the daemons that share fleet-wide limits, including this one.
    pub fn names(&self) -> Arc<Vec<Name>> {
        self.names.load_full()
    }

    /// Whether the peers have been read from the store; until then limits can't be divided.
    pub fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Relaxed)
    }

    /// Number of daemons that share fleet-wide limits, including this one.
    pub fn count(&self) -> usize {
        self.names.load().len()
    }

    /// Factor by which the intervals of periodic work grow with the fleet size; 1 in a small fleet.
    pub fn interval_factor(&self) -> u32 {
        self.count().div_ceil(SMALL_FLEET).max(1) as u32
    }

    /// Name and gossip address of the peer that places models, if it was heard within [`PLACER_SILENCE`].
    pub fn placer(&self, now: Duration) -> Option<(Name, SocketAddr)> {
        let inner = self.inner.lock();
        let placers = inner.iter().filter(|(_, peer)| {
            peer.state.placing.is_some() && peer.last_heard + PLACER_SILENCE > now
        });
        let newest = placers.max_by_key(|(_, peer)| peer.state.placing);
        newest.map(|(name, peer)| (name.clone(), peer.registration.gossip))
    }

    /// Zero-based position of this daemon by name among the live ones.
    pub fn position(&self, own: &str, now: Duration) -> usize {
        let inner = self.inner.lock();
        let alive = inner.iter().filter(|(name, peer)| {
            &***name < own && peer.last_heard + PLACER_SILENCE > now && !peer.state.leaving
        });
        alive.count()
    }

    /// Names of the daemons that read the store for this daemon's zone, best first.
    pub fn readers(&self, own: &Settings, now: Duration) -> Vec<Name> {
        let inner = self.inner.lock();
        let zone = inner.iter().filter(|(_, peer)| {
            peer.registration.zone == own.zone
                && !peer.state.leaving
                && peer.last_heard + LOST_AFTER > now
        });
        let mut zone: Vec<Candidate> = zone
            .map(|(name, peer)| Candidate {
                name: name.clone(),
                cores: peer.registration.cores,
            })
            .collect();
        zone.push(Candidate {
            name: own.name.clone(),
            cores: own.cores,
        });
        reader::readers(zone)
    }

    /// Address for RPC calls of a peer.
    pub fn call_address(&self, name: &str) -> Option<SocketAddr> {
        let inner = self.inner.lock();
        inner.get(name).map(|peer| peer.registration.calls)
    }

    /// Names of the daemons that have been silent for twice the time after which they lose their shares.
    pub fn lost(&self, now: Duration) -> Vec<Name> {
        let inner = self.inner.lock();
        let lost = inner
            .iter()
            .filter(|(_, peer)| peer.last_heard + LOST_AFTER * 2 <= now);
        lost.map(|(name, _)| name.clone()).collect()
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let inner = self.inner.lock();
        inner
            .values()
            .map(|peer| peer.registration.gossip)
            .collect()
    }

    fn update_names(&self, own: &Name, now: Duration) {
        let inner = self.inner.lock();
        let live = inner
            .iter()
            .filter(|(_, peer)| peer.last_heard + LOST_AFTER > now);
        let mut names: Vec<Name> = live.map(|(name, _)| name.clone()).collect();
        names.push(own.clone());
        names.sort();
        if names != **self.names.load() {
            spdlog::info!("peers: limits divided", kv: { daemons = names.len() });
            self.names.store(Arc::new(names));
        }
    }
}

/// Sends a message to one daemon.
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
        node.journal.line(
            || spdlog::info!("peers: failed to send message", kv: { to: = to, error: = error }),
        );
    }
}

/// Sends a message to every peer.
pub fn broadcast(node: &Node, body: &Body) {
    for address in node.peers.addresses() {
        send(node, body.clone(), address);
    }
}

/// Tracks how long peers have had a newer version of a table than this daemon.
#[derive(Debug, Default)]
pub struct Lag {
    /// Newest version that a peer reported and this daemon did not have, and when that was first seen.
    behind: Option<(u64, Duration)>,
}

impl Lag {
    /// Whether this daemon still lacks a version that a peer had more than `max_lag` ago; reports each such version once.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::serving::peers::Lag;
    /// let second = Duration::from_secs(1);
    /// let mut lag = Lag::default();
    /// assert!(!lag.observe((4, 7), second, Duration::ZERO));
    /// // The version has arrived in the meantime; the next one is new.
    /// assert!(!lag.observe((7, 9), second, second * 2));
    /// assert!(lag.observe((7, 12), second, second * 3));
    /// ```
    pub fn observe(
        &mut self,
        (own_version, peer_version): (u64, u64),
        max_lag: Duration,
        now: Duration,
    ) -> bool {
        let behind = self.behind.filter(|(version, _)| *version > own_version);
        self.behind = behind.or((peer_version > own_version).then_some((peer_version, now)));
        let is_late = self.behind.is_some_and(|(_, since)| since + max_lag <= now);
        if is_late {
            self.behind = None;
        }
        is_late
    }
}

/// Applies the placer's report of the models and adapters that engines hold.
pub fn apply_holdings(node: &Node, holdings: Vec<Holding>, now: Duration) {
    for holding in holdings {
        let models = holding.models.into_iter().collect();
        node.fleet.set_models(&holding.engine, models, now);
    }
}
