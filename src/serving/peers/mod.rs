//! Peers of this daemon: discovery, gossip in both directions, and fetching the configuration.

pub mod calls;
pub mod commit;
pub mod discover;
pub mod lag;
pub mod receiver;
pub mod sender;
pub mod source;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::sync::Notify;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use lag::Lag;

use super::settings::Settings;
use super::{Node, forward};
use crate::coordination::lineage::Admitted;
use crate::coordination::reader::{self, Candidate};
use crate::coordination::speed::Share;
use crate::coordination::window::Window;
use crate::coordination::{handover, owner, rendezvous};
use crate::protocol::digest::{Body, Digest, Holding, Registration, State};
use crate::protocol::hop::Versions;
use crate::state::record::Name;
use crate::transport::gossip;

/// Interval between heartbeats to a peer in a small fleet or zone.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Daemons up to which a heartbeat is sent every interval; in a larger fleet the interval grows in proportion.
const SMALL_FLEET: usize = 16;

/// Shortest silence after which a daemon is no home of a workspace's limit any more.
const MIN_HOME_SILENCE: Duration = Duration::from_secs(2);

/// Silence after which a daemon's share of fleet-wide limits goes to the others.
const LOST_AFTER: Duration = Duration::from_secs(16);

/// Time for which a peer may have a newer table version than this daemon before its feed is polled again, in a small
/// fleet; it grows with the pauses between reads.
const MAX_LAG: Duration = Duration::from_millis(350);

/// Longest time for which a peer may have a newer table version.
const LONGEST_LAG: Duration = Duration::from_millis(2500);

/// Number of peers through which a daemon writes to the store when it can't itself.
const MAX_WRITERS: usize = 3;

/// Number of peers from which on a daemon that hears less than half of them takes itself for cut off.
const MIN_PEERS_TO_JUDGE: usize = 4;

/// Maximum number of daemons that are asked for permits of one engine, one after the other as they fall silent.
const MAX_OWNERS: usize = 2;

/// Silence of a process after which messages of a start with an earlier time are accepted.
const SESSION_SILENCE: Duration = Duration::from_secs(3);

/// Silence after which a daemon is no longer counted as live, nor as the placer.
pub const PLACER_SILENCE: Duration = Duration::from_millis(1300);

#[derive(Debug)]
struct Peer {
    registration: Registration,
    /// Whether the process that was heard last has stated the registration itself, in a heartbeat.
    has_stated: bool,
    session: u64,
    /// Sequence numbers of the messages received.
    received: Window,
    /// Sequence number of the last message that replaces what was sent before.
    last_state: u64,
    last_heard: Duration,
    state: State,
}

impl Peer {
    /// Creates a peer that has not been heard yet.
    fn open(registration: Registration, now: Duration) -> Self {
        Self {
            registration,
            has_stated: false,
            session: 0,
            received: Window::default(),
            last_state: 0,
            last_heard: now,
            state: State::default(),
        }
    }

    /// Takes note of a message; returns whether it is to be handled. A start under an earlier time of day, after a step of
    /// the clock, is accepted once the earlier process has been silent.
    fn accept(&mut self, digest: &Digest, now: Duration) -> bool {
        if digest.session < self.session && now < self.last_heard + SESSION_SILENCE {
            return false;
        }
        if digest.session != self.session {
            self.session = digest.session;
            self.has_stated = false;
            self.received = Window::default();
            self.last_state = 0;
        }
        // Datagrams overtake each other, and only states and holdings replace what was sent before.
        let replaces = matches!(digest.body, Body::State(_) | Body::Held(_));
        if !self.received.insert(digest.sequence) || (replaces && digest.sequence < self.last_state)
        {
            return false;
        }
        if replaces {
            self.last_state = digest.sequence;
        }
        self.last_heard = now;
        true
    }

    /// Takes note of what the process has stated about itself; returns whether it is news.
    fn state_registration(&mut self, stated: Registration) -> bool {
        self.has_stated = true;
        self.replace_registration(stated)
    }

    /// Takes note of the peer's row; returns whether it is news. A row may be older than what the process has stated.
    fn list_registration(&mut self, listed: Registration, now: Duration) -> bool {
        if self.has_stated && now < self.last_heard + MIN_HOME_SILENCE {
            return false;
        }
        self.replace_registration(listed)
    }

    fn replace_registration(&mut self, registration: Registration) -> bool {
        let is_news = registration != self.registration;
        self.registration = registration;
        is_news
    }
}

/// A daemon that acts for its zone, such as the one that holds a workspace's rate limit there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Home {
    /// Name of the daemon.
    pub daemon: Name,
    /// Its zone.
    pub zone: Name,
    /// Address for gossip datagrams; `None` for this daemon itself.
    pub address: Option<SocketAddr>,
}

/// Daemons by rank, by engine and zone.
type Ranked = HashMap<(Name, Name), Arc<[Home]>>;

/// Peers known to this daemon.
#[derive(Debug)]
pub struct Peers {
    inner: Mutex<HashMap<Name, Peer>>,
    names: ArcSwap<Vec<Name>>,
    /// Sorted names of the daemons of this daemon's zone that are silent or leaving, and therefore not homes.
    silent: ArcSwap<Vec<Name>>,
    sequence: AtomicU64,
    listed: AtomicBool,
    /// Whether the store did not answer this daemon's last write in time, so that the next one goes through peers at once.
    store_is_silent: AtomicBool,
    unknown_sender: Notify,
    /// Highest fencing token of the placement lease that a peer has named.
    highest_fence: AtomicU64,
    /// Homes of workspaces, as far as asked for since the list of names changed.
    homes: Mutex<HashMap<Name, Arc<[Home]>>>,
    /// As `homes`, of duties.
    strong_homes: Mutex<HashMap<Name, Arc<[Home]>>>,
    /// Daemons by rank that are to own the permits of an engine, by engine and zone, as far as asked for.
    owners: Mutex<Ranked>,
    operator_lag: Mutex<Lag>,
    endpoints_lag: Mutex<Lag>,
}

impl Peers {
    /// Creates a list that contains only this daemon.
    pub fn open(own: &Name) -> Self {
        Self {
            inner: Mutex::default(),
            names: ArcSwap::from_pointee(vec![own.clone()]),
            silent: ArcSwap::default(),
            sequence: AtomicU64::default(),
            listed: AtomicBool::default(),
            store_is_silent: AtomicBool::default(),
            unknown_sender: Notify::default(),
            highest_fence: AtomicU64::default(),
            homes: Mutex::default(),
            strong_homes: Mutex::default(),
            owners: Mutex::default(),
            operator_lag: Mutex::default(),
            endpoints_lag: Mutex::default(),
        }
    }

    /// This daemon's registration.
    fn registration(node: &Node) -> Registration {
        Registration {
            gossip: node.gossip_address,
            calls: node.peer_address,
            zone: node.settings.zone.clone(),
            cores: node.settings.cores,
            forward: Some(node.forward_address),
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

    /// Highest fencing token of the placement lease that a peer has named; 0 if none has.
    pub fn highest_fence(&self) -> u64 {
        self.highest_fence.load(Ordering::Relaxed)
    }

    /// Has the daemons' table read again, and this daemon's row written if it is missing.
    pub fn list_again(&self) {
        self.unknown_sender.notify_one();
    }

    /// Whether this daemon is the one of the fleet that acts on a subject, as far as it knows.
    pub fn is_responsible(&self, own: &Settings, subject: &str) -> bool {
        let names = self.names();
        let chosen = rendezvous::choose(subject, names.iter(), |name| (*name).clone());
        chosen == Some(&own.name)
    }

    /// Number of daemons that share fleet-wide limits, including this one.
    pub fn count(&self) -> usize {
        self.names.load().len()
    }

    /// Factor by which the intervals of periodic work grow with the fleet size; 1 in a small fleet.
    pub fn interval_factor(&self) -> u32 {
        interval_factor(self.count())
    }

    /// [`interval_factor`](Self::interval_factor) of this daemon's zone.
    pub fn zone_interval_factor(&self, own: &Settings) -> u32 {
        interval_factor(self.zone_count(own))
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

    /// Zero-based position of this daemon among the live ones: larger instances go first, those of one size by name.
    pub fn position(&self, own: &Settings, now: Duration) -> usize {
        // In a large fleet, peers are heard less often than the placer.
        let silence = self.heartbeat_silence();
        let inner = self.inner.lock();
        let before = inner.iter().filter(|(name, peer)| {
            let cores = peer.registration.cores;
            let goes_first = cores > own.cores || (cores == own.cores && **name < own.name);
            goes_first && peer.last_heard + silence.min(LOST_AFTER) > now && !peer.state.leaving
        });
        before.count()
    }

    /// Names and sessions of the peers that count usage and may be live: one that is silent may be cut off, and still serve.
    pub fn counting(&self, now: Duration) -> Vec<(Name, u64)> {
        let silence = self.heartbeat_silence().min(LOST_AFTER);
        let inner = self.inner.lock();
        let live = inner.iter().filter(|(_, peer)| {
            let silence = match peer.state.leaving {
                true => silence,
                false => LOST_AFTER,
            };
            peer.state.wall_millis.is_some() && peer.last_heard + silence > now
        });
        live.map(|(name, peer)| (name.clone(), peer.session))
            .collect()
    }

    /// Whether this daemon hears less than half of its peers, in a fleet that is large enough to tell that from their end.
    pub fn is_isolated(&self, now: Duration) -> bool {
        let (heard, all) = self.count_heard(self.heartbeat_silence().min(LOST_AFTER), now);
        all >= MIN_PEERS_TO_JUDGE && heard * 2 < all
    }

    /// Gossip addresses of the peers that count usage: all, or only the placer and, of all live daemons, the first
    /// `successors` that would claim its lease, without this one.
    pub fn counting_addresses(
        &self,
        own: &Settings,
        successors: Option<usize>,
        now: Duration,
    ) -> Vec<SocketAddr> {
        let silence = self.heartbeat_silence().min(LOST_AFTER);
        let inner = self.inner.lock();
        let live = inner.iter().filter(|(_, peer)| {
            peer.state.wall_millis.is_some()
                && !peer.state.leaving
                && peer.last_heard + silence > now
        });
        let Some(successors) = successors else {
            return live.map(|(_, peer)| peer.registration.gossip).collect();
        };
        let (placers, others): (Vec<_>, Vec<_>) =
            live.partition(|(_, peer)| peer.state.placing.is_some());
        let others = others.into_iter().map(|(name, peer)| {
            let registration = &peer.registration;
            (registration.cores, name, Some(registration.gossip))
        });
        let mut others: Vec<_> = others.chain([(own.cores, &own.name, None)]).collect();
        others.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        let next = others.into_iter().take(successors);
        let placers = placers.iter().map(|(_, peer)| peer.registration.gossip);
        placers
            .chain(next.filter_map(|(.., address)| address))
            .collect()
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

    /// Whether this daemon is one of those that read the store for its zone.
    pub fn reads_store(&self, own: &Settings, now: Duration) -> bool {
        self.readers(own, now).contains(&own.name)
    }

    /// The home of a workspace in each zone: first that of this daemon's zone, then the others in an order of its own.
    pub fn homes(&self, own: &Settings, workspace: &Name) -> Arc<[Home]> {
        let mut known = self.homes.lock();
        if let Some(homes) = known.get(workspace) {
            return homes.clone();
        }
        let candidates = self.home_candidates(own);
        let homes = choose_homes(own, &format!("limit/{workspace}"), candidates);
        known.insert(workspace.clone(), homes.clone());
        homes
    }

    /// As [`homes`](Self::homes), of a duty that takes more than a limit does: one of the largest instances of each zone.
    pub fn strong_homes(&self, own: &Settings, duty: &Name) -> Arc<[Home]> {
        let mut known = self.strong_homes.lock();
        if let Some(homes) = known.get(duty) {
            return homes.clone();
        }
        let homes = self.strong_homes_without(own, duty, &[]);
        known.insert(duty.clone(), homes.clone());
        homes
    }

    /// As [`strong_homes`](Self::strong_homes), but for the daemons in `excluded`.
    pub fn strong_homes_without(
        &self,
        own: &Settings,
        duty: &str,
        excluded: &[Name],
    ) -> Arc<[Home]> {
        let mut candidates = self.home_candidates(own);
        candidates.retain(|(home, _)| !excluded.contains(&home.daemon));
        let mut most: HashMap<Name, f64> = HashMap::new();
        for (home, cores) in &candidates {
            let most = most.entry(home.zone.clone()).or_default();
            *most = most.max(*cores);
        }
        candidates.retain(|(home, cores)| *cores >= most[&home.zone]);
        choose_homes(own, duty, candidates)
    }

    /// The daemons of a zone that are to own the permits of an engine there, by rank, up to [`MAX_OWNERS`].
    pub fn owners(&self, own: &Settings, endpoint: &Name, zone: &Name) -> Arc<[Home]> {
        let key = (endpoint.clone(), zone.clone());
        let mut known = self.owners.lock();
        if let Some(owners) = known.get(&key) {
            return owners.clone();
        }
        let mut candidates = self.home_candidates(own);
        candidates.retain(|(home, _)| home.zone == *zone);
        let weights = candidates.iter();
        let weights: Vec<(&str, f64)> = weights
            .map(|(home, cores)| (&*home.daemon, handover::weight(*cores)))
            .collect();
        let ranked = owner::ranking(endpoint, &weights).into_iter();
        let ranked = ranked.take(MAX_OWNERS).filter_map(|name| {
            let mut candidates = candidates.iter();
            let (home, _) = candidates.find(|(home, _)| *home.daemon == *name)?;
            Some(home.clone())
        });
        let owners: Arc<[Home]> = ranked.collect();
        known.insert(key, owners.clone());
        owners
    }

    /// Daemons that may be homes, each with its cores.
    fn home_candidates(&self, own: &Settings) -> Vec<(Home, f64)> {
        let names = self.names();
        let inner = self.inner.lock();
        let silent = self.silent.load();
        let names = names.iter().filter(|name| !silent.contains(name));
        let candidates = names.filter_map(|name| {
            let (zone, address, cores) = match inner.get(name) {
                _ if *name == own.name => (&own.zone, None, own.cores),
                peer => {
                    let registration = &peer?.registration;
                    let Registration { zone, cores, .. } = registration;
                    (zone, Some(registration.gossip), *cores)
                }
            };
            let home = Home {
                daemon: name.clone(),
                zone: zone.clone(),
                address,
            };
            Some((home, cores))
        });
        candidates.collect()
    }

    /// Addresses for RPC calls of the peers through which this daemon writes to the store when it can't itself.
    fn writers(&self, own: &Settings, now: Duration) -> Vec<SocketAddr> {
        let readers = self.readers(own, now);
        let inner = self.inner.lock();
        let live = inner
            .iter()
            .filter(|(_, peer)| peer.last_heard + LOST_AFTER > now);
        let rank = |name: &Name, peer: &Peer| {
            // Readers know that the store answers them; daemons of other zones do not share a failure of the zone.
            let is_reader = readers.contains(name);
            let millicores = (peer.registration.cores * 1000.0) as u64;
            (is_reader, peer.registration.zone != own.zone, millicores)
        };
        let mut live: Vec<(&Name, &Peer)> = live.collect();
        live.sort_by_key(|(name, peer)| std::cmp::Reverse(rank(name, peer)));
        let addresses = live.iter().map(|(_, peer)| peer.registration.calls);
        addresses.take(MAX_WRITERS).collect()
    }

    /// Live peers with links that take requests of others, and the weights of all live daemons of this daemon's zone, with or
    /// without links.
    pub fn with_links(&self, own: &Settings, now: Duration) -> (Vec<forward::Peer>, f64) {
        self.with_links_to(own, &[], now)
    }

    /// As [`with_links`](Self::with_links), only those that can connect to one of the endpoints `needed`, if any are given.
    pub fn with_links_to(
        &self,
        own: &Settings,
        needed: &[Name],
        now: Duration,
    ) -> (Vec<forward::Peer>, f64) {
        let silence = self.heartbeat_silence().min(LOST_AFTER);
        let inner = self.inner.lock();
        let live = inner
            .iter()
            .filter(|(_, peer)| peer.last_heard + silence > now && !peer.state.leaving);
        let mut zone_cores = handover::weight(own.cores);
        let mut linked = Vec::new();
        for (name, peer) in live {
            let registration = &peer.registration;
            if registration.zone == own.zone {
                zone_cores += handover::weight(registration.cores);
            }
            let State {
                unlinked,
                unreachable,
                catches_up,
                ..
            } = &peer.state;
            let reaches = needed.is_empty() || needed.iter().any(|id| !unreachable.contains(id));
            let Some(address) = registration.forward.filter(|_| !unlinked && reaches) else {
                continue;
            };
            linked.push(forward::Peer {
                candidate: handover::Candidate {
                    name: name.clone(),
                    zone: registration.zone.clone(),
                    cores: registration.cores,
                },
                address,
                versions: (peer.has_stated && !catches_up).then_some(Versions {
                    catalog: peer.state.catalog,
                    zones: peer.state.operator,
                    endpoints: peer.state.endpoints,
                }),
            });
        }
        (linked, zone_cores)
    }

    /// Records what a peer knows of the software versions of a service.
    fn note_versions(&self, name: &str, service: &Name, admitted: &Admitted) {
        let mut inner = self.inner.lock();
        let Some(peer) = inner.get_mut(name) else {
            return;
        };
        let versions = &mut peer.state.versions;
        versions.retain(|(known, it)| known != service || it.row > admitted.row);
        if !versions.iter().any(|(known, _)| known == service) {
            versions.push((service.clone(), admitted.clone()));
        }
    }

    /// Whether all peers, heard or not, have said that streams of a service begin at a version, or will.
    pub fn all_note(&self, service: &str, version: &str) -> bool {
        let inner = self.inner.lock();
        inner.values().all(|peer| {
            let mut versions = peer.state.versions.iter();
            versions.any(|(known, it)| **known == *service && it.names(version))
        })
    }

    /// Session of the process of a peer that was heard last.
    fn session(&self, name: &str) -> Option<u64> {
        let inner = self.inner.lock();
        inner.get(name).map(|peer| peer.session)
    }

    /// Whether a peer was heard lately.
    pub fn hears(&self, name: &str, now: Duration) -> bool {
        let silence = self.heartbeat_silence().min(LOST_AFTER);
        let inner = self.inner.lock();
        inner
            .get(name)
            .is_some_and(|peer| peer.last_heard + silence > now)
    }

    /// Address for gossip datagrams of a peer.
    pub fn gossip_address(&self, name: &str) -> Option<SocketAddr> {
        let inner = self.inner.lock();
        inner.get(name).map(|peer| peer.registration.gossip)
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

    /// Takes the requests in flight that silent peers reported last, since they ended with those processes or are
    /// unknown.
    fn take_flights_of_silent(&self, own: &Settings, now: Duration) -> Vec<BTreeMap<Name, u32>> {
        let silence = self.home_silence(own);
        let mut inner = self.inner.lock();
        let silent = inner.values_mut().filter(|peer| {
            let silence = match peer.registration.zone == own.zone {
                true => silence,
                false => LOST_AFTER,
            };
            peer.last_heard + silence <= now && !peer.state.flights.is_empty()
        });
        let flights = silent.map(|peer| std::mem::take(&mut peer.state.flights));
        flights.collect()
    }

    /// What peers share of endpoints' speeds, each with the time since it was last heard.
    fn speeds(&self, now: Duration) -> Vec<(Duration, Vec<Share>)> {
        let inner = self.inner.lock();
        let sharing = inner
            .values()
            .filter(|peer| !peer.state.speeds.is_empty() && peer.last_heard + LOST_AFTER > now);
        let shares = sharing.map(|peer| {
            let age = now.saturating_sub(peer.last_heard);
            (age, peer.state.speeds.clone())
        });
        shares.collect()
    }

    /// Number of daemons of this daemon's zone, including this one.
    pub fn zone_count(&self, own: &Settings) -> usize {
        self.zone_addresses(own).len() + 1
    }

    /// Whether this daemon has heard at least half of its peers within a time.
    pub fn hears_most(&self, within: Duration, now: Duration) -> bool {
        let (heard, all) = self.count_heard(within, now);
        heard * 2 >= all.max(1)
    }

    /// Zones of daemons, each with whether at least half of its daemons were heard lately.
    pub fn zones(&self, own: &Settings, now: Duration) -> BTreeMap<Name, bool> {
        let silence = self.heartbeat_silence().min(LOST_AFTER);
        let inner = self.inner.lock();
        let mut zones: BTreeMap<Name, (usize, usize)> = [(own.zone.clone(), (1, 1))].into();
        for peer in inner.values() {
            let (heard, all) = zones.entry(peer.registration.zone.clone()).or_default();
            *heard += usize::from(peer.last_heard + silence > now);
            *all += 1;
        }
        let zones = zones.into_iter();
        zones
            .map(|(zone, (heard, all))| (zone, heard * 2 >= all))
            .collect()
    }

    /// Whether there are peers that this daemon has not heard lately.
    pub fn misses_some(&self, now: Duration) -> bool {
        let (heard, all) = self.count_heard(self.heartbeat_silence(), now);
        heard < all
    }

    /// Silence after which a peer is not live, which allows for a lost heartbeat.
    fn heartbeat_silence(&self) -> Duration {
        PLACER_SILENCE.max(HEARTBEAT_INTERVAL * self.interval_factor() * 5 / 2)
    }

    /// Number of peers that were heard within a time, and of all peers.
    fn count_heard(&self, within: Duration, now: Duration) -> (usize, usize) {
        let inner = self.inner.lock();
        let heard = inner.values().filter(|peer| peer.last_heard + within > now);
        (heard.count(), inner.len())
    }

    fn zone_addresses(&self, own: &Settings) -> Vec<SocketAddr> {
        let inner = self.inner.lock();
        let zone = inner
            .values()
            .filter(|peer| peer.registration.zone == own.zone);
        zone.map(|peer| peer.registration.gossip).collect()
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let inner = self.inner.lock();
        inner
            .values()
            .map(|peer| peer.registration.gossip)
            .collect()
    }

    /// Updates the daemons that share limits and those that are not homes, from when each was last heard.
    fn update_names(&self, own: &Settings, now: Duration) {
        let mut names: Vec<Name> = {
            let inner = self.inner.lock();
            let live = inner
                .iter()
                .filter(|(_, peer)| peer.last_heard + LOST_AFTER > now);
            live.map(|(name, _)| name.clone()).collect()
        };
        names.push(own.name.clone());
        names.sort();
        let silent = self.silent_in_zone(own, now);
        let mut is_changed = false;
        if names != **self.names.load() {
            spdlog::info!("peers: limits divided", kv: { daemons = names.len() });
            self.names.store(Arc::new(names));
            is_changed = true;
        }
        if silent != **self.silent.load() {
            spdlog::info!("peers: not homes", kv: { daemons: = silent.join(",") });
            self.silent.store(Arc::new(silent));
            is_changed = true;
        }
        if is_changed {
            self.forget_homes();
        }
    }

    /// Has homes chosen again, as daemons have come, gone or moved.
    fn forget_homes(&self) {
        self.homes.lock().clear();
        self.strong_homes.lock().clear();
        self.owners.lock().clear();
    }

    /// Sorted names of the daemons of this daemon's zone that are silent or leaving; none if this daemon hears less than
    /// half of its zone, since it may be the one that is cut off.
    fn silent_in_zone(&self, own: &Settings, now: Duration) -> Vec<Name> {
        let silence = self.home_silence(own);
        let inner = self.inner.lock();
        let in_zone = inner.iter().filter(|(_, peer)| {
            peer.registration.zone == own.zone && peer.last_heard + LOST_AFTER > now
        });
        let in_zone: Vec<(&Name, &Peer)> = in_zone.collect();
        let silent = in_zone
            .iter()
            .filter(|(_, peer)| peer.state.leaving || peer.last_heard + silence <= now);
        let mut silent: Vec<Name> = silent.map(|(name, _)| (*name).clone()).collect();
        if silent.len() * 2 > in_zone.len() {
            return Vec::new();
        }
        silent.sort();
        silent
    }

    /// Silence after which a daemon of this daemon's zone is no home any more.
    fn home_silence(&self, own: &Settings) -> Duration {
        let heartbeats = HEARTBEAT_INTERVAL * self.zone_interval_factor(own) * 5 / 2;
        MIN_HOME_SILENCE.max(heartbeats)
    }
}

/// Chooses a home of each zone: first that of this daemon's zone, then the others in an order of its own.
fn choose_homes(own: &Settings, key: &str, candidates: Vec<(Home, f64)>) -> Arc<[Home]> {
    let mut zones: BTreeMap<Name, Vec<Home>> = BTreeMap::new();
    for (home, _) in candidates {
        zones.entry(home.zone.clone()).or_default().push(home);
    }
    let homes = zones
        .into_values()
        .filter_map(|homes| rendezvous::choose(key, homes, |home| home.daemon.clone()));
    let mut homes: Vec<Home> = homes.collect();
    let seed = xxh3_64(own.name.as_bytes());
    homes.sort_by_key(|home| {
        let zone = &home.zone;
        (*zone != own.zone, xxh3_64_with_seed(zone.as_bytes(), seed))
    });
    homes.into()
}

fn interval_factor(daemons: usize) -> u32 {
    daemons.div_ceil(SMALL_FLEET).max(1) as u32
}

/// Sends a message to one daemon.
pub fn send(node: &Node, body: Body, to: SocketAddr) {
    send_to(node, body, &[to]);
}

/// Sends a message to every peer of this daemon's zone.
pub fn broadcast_in_zone(node: &Node, body: Body) {
    send_to(node, body, &node.peers.zone_addresses(&node.settings));
}

/// Sends a message to every peer.
pub fn broadcast(node: &Node, body: Body) {
    send_to(node, body, &node.peers.addresses());
}

/// Encodes a message once and sends it to several daemons.
pub fn send_to(node: &Node, body: Body, addresses: &[SocketAddr]) {
    let sequence = node.peers.sequence.fetch_add(1, Ordering::Relaxed) + 1;
    let digest = Digest {
        daemon: node.settings.name.clone(),
        session: node.session,
        sequence,
        body,
    };
    let message = match gossip::encode(&digest) {
        Ok(message) => message,
        Err(error) => {
            spdlog::error!("peers: failed to encode message", kv: { error: = error });
            return;
        }
    };
    for to in addresses {
        node.meter.digests.inc();
        if let Err(error) = node.gossip.send(&message, *to) {
            node.journal.line(
                || spdlog::info!("peers: failed to send message", kv: { to: = to, error: = error }),
            );
        }
    }
}

/// Replaces a daemon's requests in flight, as counted at the endpoints.
fn update_remote_in_flight(node: &Node, before: &BTreeMap<Name, u32>, after: &BTreeMap<Name, u32>) {
    let view = node.fleet.view.load();
    let added = after.keys().filter(|id| !before.contains_key(*id));
    for id in before.keys().chain(added) {
        let old_count = before.get(id).copied().unwrap_or_default();
        let new_count = after.get(id).copied().unwrap_or_default();
        if let Some(endpoint) = view.all.get(id).filter(|_| old_count != new_count) {
            let tracker = &endpoint.tracker;
            tracker.update_remote_in_flight(old_count, new_count);
        }
    }
}

/// Applies the placer's report of the models and adapters that engines hold.
pub fn apply_holdings(node: &Node, holdings: Vec<Holding>, now: Duration) {
    for holding in holdings {
        let models = holding.models.into_iter().collect();
        node.fleet.set_models(&holding.engine, models, now);
    }
}
