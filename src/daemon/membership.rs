//! Maintains the list of live daemons by heartbeats.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::{Node, quota};
use crate::coordination::member::{Directory, period};
use crate::coordination::rendezvous;
use crate::protocol::peer::{Heartbeat, Sighting, method};
use crate::state::member::Member;

/// Maximum number of other zones' daemons that receive a heartbeat per round.
const REMOTE_PEERS_PER_ROUND: usize = 32;

/// Factor by which heartbeats are more frequent while loans are being collected.
const FAST_RATE_FACTOR: u32 = 4;

/// Maximum number of sightings in a heartbeat while each round reaches every daemon, and in larger fleets.
const MAX_SIGHTINGS: [usize; 2] = [3, 16];

/// Missed heartbeat periods after which a daemon is no longer considered live.
const TIMEOUT_PERIODS: u32 = 4;

/// Minimum timeout of a heartbeat.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a daemon that is neither listed nor seen is removed.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Live daemons, this one included.
#[derive(Debug, Default)]
pub struct Membership {
    live: ArcSwap<Vec<Member>>,
    directory: Mutex<Directory>,
    in_flight: Mutex<HashSet<SocketAddr>>,
    newest: Mutex<Option<(u64, SocketAddr)>>,
    round: AtomicU64,
    heartbeat_count: AtomicU64,
    listed_at: Mutex<Option<Duration>>,
    speed_up_notify: Notify,
    fast_until: Mutex<Duration>,
}

impl Membership {
    /// Returns the live daemons, this one included, ordered by address.
    pub fn live(&self) -> Arc<Vec<Member>> {
        self.live.load_full()
    }

    /// Returns the daemon responsible for a duty among those of a zone, or of the whole fleet if `zone` is `None`.
    ///
    /// Leaving daemons hold no duties.
    pub fn home(&self, duty: &str, zone: Option<&str>) -> Option<Member> {
        let live = self.live.load();
        let eligible = live
            .iter()
            .filter(|member| !member.leaving)
            .filter(|member| zone.is_none_or(|zone| &*member.zone == zone));
        rendezvous::choose(duty, eligible, |member| member.address.to_string()).cloned()
    }

    /// Returns the highest configuration revision reported by a peer, and that peer's address.
    pub fn newest_revision(&self) -> Option<(u64, SocketAddr)> {
        *self.newest.lock()
    }

    /// Returns a copy of the directory of other daemons.
    pub fn directory(&self) -> Directory {
        self.directory.lock().clone()
    }

    /// Returns when the platform's list was last read, since the daemon's start.
    pub fn listed_at(&self) -> Option<Duration> {
        *self.listed_at.lock()
    }

    /// Returns the number of daemons in the platform's list, this one included.
    pub fn listed(&self) -> u32 {
        let directory = self.directory.lock();
        let listed = directory.peers.values().filter(|peer| peer.listed);
        listed.count() as u32 + 1
    }

    fn apply_heartbeat(&self, node: &Node, heartbeat: &Heartbeat) {
        let now = node.now();
        let mut directory = self.directory.lock();
        let member = Member {
            address: heartbeat.address,
            zone: heartbeat.zone.clone(),
            session: heartbeat.session.clone(),
            leaving: heartbeat.leaving,
        };
        directory.record_contact(&member, now);
        for sighting in &heartbeat.sightings {
            if sighting.address == node.peer_address {
                continue;
            }
            let member = Member {
                address: sighting.address,
                zone: sighting.zone.clone(),
                session: sighting.session.clone(),
                leaving: sighting.leaving,
            };
            directory.record_sighting(&member, Duration::from_millis(sighting.age_ms), now);
        }
        drop(directory);
        let mut newest = self.newest.lock();
        if newest.is_none_or(|(revision, _)| heartbeat.revision >= revision) {
            *newest = Some((heartbeat.revision, heartbeat.address));
        }
        drop(newest);
        if heartbeat.revision > node.config.load().revision {
            node.config_source.wake();
        }
        self.publish(node);
    }

    fn publish(&self, node: &Node) {
        let mut directory = self.directory.lock();
        let now = node.now();
        directory.forget(now, FORGET_AFTER);
        let timeout = self.round_period(node, &directory) * TIMEOUT_PERIODS;
        let mut live = directory.live(now, timeout);
        live.push(node.member());
        live.sort();
        let answered = directory.answered_by_all(&node.settings.zone);
        self.live.store(Arc::new(live));
        drop(directory);
        let timing = node.quota.timing(&node.settings);
        let mut seat = node.quota.seat.lock();
        seat.set_peers_answered(answered, now, &timing);
        drop(seat);
        quota::refresh(node);
    }

    fn round_period(&self, node: &Node, directory: &Directory) -> Duration {
        period(node.settings.heartbeat, peers_per_round(node, directory))
    }

    /// Returns the time between rounds of heartbeats, which grows with the fleet.
    pub fn period(&self, node: &Node) -> Duration {
        self.round_period(node, &self.directory.lock())
    }

    /// Sends a round of heartbeats at once, and more frequent rounds until a time.
    pub fn speed_up(&self, until: Duration) {
        let mut fast_until = self.fast_until.lock();
        *fast_until = until.max(*fast_until);
        self.speed_up_notify.notify_one();
    }

    fn round_interval(&self, node: &Node) -> Duration {
        let period = self.period(node);
        let fast = node.now() < *self.fast_until.lock();
        if fast {
            period / FAST_RATE_FACTOR
        } else {
            period
        }
    }

    /// Returns the time within which every known daemon is sent a heartbeat.
    pub fn cycle(&self, node: &Node) -> Duration {
        let directory = self.directory.lock();
        let remote = remote_peers(node, &directory).len();
        let rounds = remote.div_ceil(REMOTE_PEERS_PER_ROUND).max(1) as u32;
        self.round_period(node, &directory) * rounds
    }
}

/// Sends heartbeats and reads the platform's list until the daemon stops.
pub async fn run(node: Arc<Node>) {
    node.membership.publish(&node);
    let poll = poll_instances(&node);
    let rounds = send_rounds(&node);
    tokio::select! {
        () = async { tokio::join!(poll, rounds); } => {}
        () = node.stopped.cancelled() => {}
    }
}

/// Answers a peer's heartbeat with this daemon's own; `None` if it does not arrive before the daemon stops.
pub async fn answer(node: &Node, heartbeat: Heartbeat) -> Option<Heartbeat> {
    if !node.hears(heartbeat.address).await {
        return None;
    }
    node.membership.apply_heartbeat(node, &heartbeat);
    Some(Heartbeat {
        loan: quota::lend(node, &heartbeat),
        ..build_heartbeat(node)
    })
}

async fn poll_instances(node: &Arc<Node>) {
    loop {
        let asked_at = node.now();
        match node.platform.instances().await {
            Ok(instances) => {
                if instances
                    .iter()
                    .any(|instance| instance.address == node.peer_address)
                {
                    record_contact(node, asked_at);
                }
                let others = instances
                    .into_iter()
                    .filter(|instance| instance.address != node.peer_address);
                let members: Vec<Member> = others
                    .map(|instance| Member {
                        address: instance.address,
                        zone: instance.zone,
                        session: "".into(),
                        leaving: instance.leaving,
                    })
                    .collect();
                let now = node.now();
                node.membership.directory.lock().list(&members, now);
                *node.membership.listed_at.lock() = Some(now);
            }
            Err(error) => {
                spdlog::debug!("member: the platform's instance list is unavailable: {error}")
            }
        }
        tokio::time::sleep(node.settings.heartbeat).await;
    }
}

async fn send_rounds(node: &Arc<Node>) {
    loop {
        for address in targets(node) {
            if node.membership.in_flight.lock().insert(address) {
                tokio::spawn(send_heartbeat(node.clone(), address));
            }
        }
        let wait = node.membership.round_interval(node);
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = node.membership.speed_up_notify.notified() => {}
            () = leaving_started(node) => {}
        }
        node.membership.publish(node);
    }
}

/// Waits until the daemon starts leaving; never completes once that is announced.
async fn leaving_started(node: &Node) {
    let live = node.membership.live();
    let announced = live
        .iter()
        .any(|member| member.address == node.peer_address && member.leaving);
    if announced {
        std::future::pending::<()>().await;
    }
    node.leaving.cancelled().await;
}

async fn send_heartbeat(node: Arc<Node>, address: SocketAddr) {
    let timeout = node.membership.period(&node).max(MIN_CALL_TIMEOUT);
    let asked_at = node.now();
    let heartbeat = Heartbeat {
        borrow: quota::loan_request(&node),
        ..build_heartbeat(&node)
    };
    let call = node
        .peers
        .call::<_, Heartbeat>(address, method::HEARTBEAT, &heartbeat, timeout);
    let answer = tokio::select! {
        answer = call => answer,
        () = node.stopped.cancelled() => return,
    };
    node.membership.in_flight.lock().remove(&address);
    if let Ok(answer) = answer {
        node.membership.apply_heartbeat(&node, &answer);
        if let Some(borrow) = &heartbeat.borrow {
            quota::receive_loan(&node, &answer, borrow, asked_at);
        }
        record_answer(&node, &answer, asked_at);
    }
}

/// Records that a peer answered a message that was sent at `asked_at`.
fn record_answer(node: &Node, answer: &Heartbeat, asked_at: Duration) {
    let mut directory = node.membership.directory.lock();
    directory.answered(answer.address, asked_at);
    drop(directory);
    if answer.seated && answer.zone == node.settings.zone {
        record_contact(node, asked_at);
    }
}

/// Records that the platform or a seated zone peer answered a message that was sent at `sent_at`.
fn record_contact(node: &Node, sent_at: Duration) {
    let timing = node.quota.timing(&node.settings);
    let mut seat = node.quota.seat.lock();
    seat.record_contact(sent_at, node.now(), &timing);
}

fn build_heartbeat(node: &Node) -> Heartbeat {
    let now = node.now();
    let heartbeat_count = node
        .membership
        .heartbeat_count
        .fetch_add(1, Ordering::Relaxed) as usize;
    let directory = node.membership.directory.lock();
    let timeout = node.membership.round_period(node, &directory) * TIMEOUT_PERIODS;
    let fresh: Vec<Sighting> = directory
        .peers
        .iter()
        .filter_map(|(address, peer)| {
            let age = now.saturating_sub(peer.seen?);
            (age < timeout).then(|| Sighting {
                address: *address,
                zone: peer.zone.clone(),
                session: peer.session.clone(),
                leaving: peer.leaving,
                age_ms: age.as_millis() as u64,
            })
        })
        .collect();
    let reaches_all = remote_peers(node, &directory).len() <= REMOTE_PEERS_PER_ROUND;
    drop(directory);
    let max_sightings = MAX_SIGHTINGS[usize::from(!reaches_all)];
    let timing = node.quota.timing(&node.settings);
    let start = (heartbeat_count * max_sightings) % fresh.len().max(1);
    let rotated = fresh.iter().cycle().skip(start);
    Heartbeat {
        session: node.session.clone(),
        address: node.peer_address,
        zone: node.settings.zone.clone(),
        leaving: node.leaving.is_cancelled(),
        revision: node.config.load().revision,
        seated: node.quota.seat.lock().seated(now, &timing),
        borrow: None,
        loan: None,
        sightings: rotated
            .take(fresh.len().min(max_sightings))
            .cloned()
            .collect(),
        digests: Vec::new(),
    }
}

fn targets(node: &Node) -> Vec<SocketAddr> {
    let round = node.membership.round.fetch_add(1, Ordering::Relaxed) as usize;
    let directory = node.membership.directory.lock();
    let local = directory
        .peers
        .iter()
        .filter(|(_, peer)| peer.zone == node.settings.zone);
    let mut targets: Vec<SocketAddr> = local.map(|(address, _)| *address).collect();
    let remote = remote_peers(node, &directory);
    let start = (round * REMOTE_PEERS_PER_ROUND) % remote.len().max(1);
    let rotated = remote.iter().cycle().skip(start);
    targets.extend(rotated.take(remote.len().min(REMOTE_PEERS_PER_ROUND)));
    let seeds = node.settings.seeds.iter();
    let unknown =
        |seed: &&SocketAddr| !directory.peers.contains_key(*seed) && **seed != node.peer_address;
    targets.extend(seeds.filter(unknown));
    targets
}

fn remote_peers(node: &Node, directory: &Directory) -> Vec<SocketAddr> {
    let remote = directory
        .peers
        .iter()
        .filter(|(_, peer)| peer.zone != node.settings.zone);
    remote.map(|(address, _)| *address).collect()
}

fn peers_per_round(node: &Node, directory: &Directory) -> usize {
    let remote = remote_peers(node, directory).len();
    directory.peers.len() - remote + remote.min(REMOTE_PEERS_PER_ROUND)
}
