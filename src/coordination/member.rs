//! Directory of known daemons and their liveness.
//!
//! Correctness must not depend on this view: it may differ between daemons at any time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::state::member::Member;
use crate::state::record::Name;

/// Transit time added to the age of an indirect sighting.
const HOP_DELAY: Duration = Duration::from_millis(50);

/// State of one known daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Availability zone.
    pub zone: Name,
    /// Session of its process; empty until the daemon was heard from.
    pub session: Arc<str>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether the latest list from the platform contains it.
    pub listed: bool,
    /// When it disappeared from the platform's list.
    pub dropped: Option<Duration>,
    /// Send time of the latest message that it answered.
    pub answered: Option<Duration>,
    /// When it last contacted this daemon.
    pub heard: Option<Duration>,
    /// When it last contacted this daemon, or another one that reported it.
    pub seen: Option<Duration>,
    /// When it was added to the directory.
    pub added: Duration,
}

/// All known daemons, by the address of their peer listeners.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::member::Directory;
/// use persimmoncroft::state::member::Member;
/// let member = Member {
///     address: "127.0.0.1:7000".parse().unwrap(),
///     zone: "a".into(),
///     session: "s1".into(),
///     leaving: false,
/// };
/// let mut directory = Directory::default();
/// directory.record_contact(&member, Duration::from_secs(1));
/// assert_eq!(directory.live(Duration::from_secs(2), Duration::from_secs(3)), [member]);
/// assert!(directory.live(Duration::from_secs(9), Duration::from_secs(3)).is_empty());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Directory {
    pub peers: BTreeMap<SocketAddr, Peer>,
}

impl Directory {
    /// Records that a daemon contacted this one.
    pub fn record_contact(&mut self, member: &Member, now: Duration) {
        let peer = self.entry(member.address, &member.zone, now);
        peer.zone = member.zone.clone();
        peer.session = member.session.clone();
        peer.leaving = member.leaving;
        peer.heard = Some(now);
        peer.seen = Some(now);
    }

    /// Records that a daemon answered a message sent at `sent`.
    pub fn answered(&mut self, address: SocketAddr, sent: Duration) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.answered = peer.answered.max(Some(sent));
        }
    }

    /// Returns the known daemons of a zone that are not leaving.
    pub fn staying_members(&self, zone: &str) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        let staying = move |peer: &Peer| &*peer.zone == zone && !peer.leaving;
        self.peers.iter().filter(move |(_, peer)| staying(peer))
    }

    /// Returns the earliest, over the daemons of a zone that are not leaving, of the send time of the latest message
    /// that the daemon answered, or of when it was added if it has answered none. `None` without such daemons.
    pub fn answered_by_all(&self, zone: &str) -> Option<Duration> {
        let answered = |(_, peer): (&SocketAddr, &Peer)| peer.answered.unwrap_or(peer.added);
        self.staying_members(zone).map(answered).min()
    }

    /// Returns whether a session has ended because a different one answered at its address after `since`.
    pub fn replaced(&self, address: SocketAddr, session: &str, since: Duration) -> bool {
        let peer = self.peers.get(&address);
        peer.is_some_and(|peer| &*peer.session != session && peer.answered > Some(since))
    }

    /// Records that a peer heard from a daemon `age` ago.
    pub fn record_sighting(&mut self, member: &Member, age: Duration, now: Duration) {
        let seen = now.checked_sub(age + HOP_DELAY);
        let peer = self.entry(member.address, &member.zone, now);
        if seen.is_none() || seen <= peer.seen {
            return;
        }
        peer.zone = member.zone.clone();
        peer.session = member.session.clone();
        peer.leaving = member.leaving;
        peer.seen = seen;
    }

    /// Applies a list of daemons from the platform.
    pub fn list(&mut self, listed: &[Member], now: Duration) {
        for (address, peer) in &mut self.peers {
            let shown = listed.iter().any(|member| member.address == *address);
            if peer.listed && !shown {
                peer.dropped = Some(now);
            }
            peer.listed = false;
        }
        for member in listed {
            let peer = self.entry(member.address, &member.zone, now);
            peer.listed = true;
            peer.dropped = None;
            peer.leaving |= member.leaving;
        }
    }

    /// Removes daemons that are not listed and have not been seen for `after`.
    pub fn forget(&mut self, now: Duration, after: Duration) {
        self.peers.retain(|_, peer| {
            let last = peer.seen.unwrap_or(peer.added);
            peer.listed || now.saturating_sub(last) < after
        });
    }

    /// Returns the daemons seen within a timeout, by address.
    pub fn live(&self, now: Duration, timeout: Duration) -> Vec<Member> {
        let seen = |peer: &&Peer| {
            peer.seen
                .is_some_and(|seen| now.saturating_sub(seen) < timeout)
        };
        let live = self.peers.iter().filter(|(_, peer)| seen(peer));
        live.map(|(address, peer)| peer.member(*address)).collect()
    }

    fn entry(&mut self, address: SocketAddr, zone: &Name, now: Duration) -> &mut Peer {
        self.peers.entry(address).or_insert_with(|| Peer {
            zone: zone.clone(),
            session: "".into(),
            leaving: false,
            listed: false,
            dropped: None,
            answered: None,
            heard: None,
            seen: None,
            added: now,
        })
    }
}

impl Peer {
    /// Returns the daemon's membership record.
    pub fn member(&self, address: SocketAddr) -> Member {
        Member {
            address,
            zone: self.zone.clone(),
            session: self.session.clone(),
            leaving: self.leaving,
        }
    }
}

/// Returns the interval between heartbeat rounds, lengthened as needed to limit the bandwidth of heartbeats.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::member::period;
/// let shortest = Duration::from_millis(500);
/// assert_eq!(period(shortest, 7), shortest);
/// assert_eq!(period(shortest, 65), Duration::from_millis(4160));
/// ```
pub fn period(shortest: Duration, peers_per_round: usize) -> Duration {
    let bytes = peers_per_round as u64 * HEARTBEAT_EXCHANGE_BYTES;
    let needed = Duration::from_millis(bytes * 1000 / HEARTBEAT_BYTES_PER_SECOND);
    shortest.max(needed)
}

/// Bytes of a heartbeat and its reply, sent and received.
const HEARTBEAT_EXCHANGE_BYTES: u64 = 800;

/// Bandwidth limit of heartbeats: half of a daemon's limit for control traffic.
const HEARTBEAT_BYTES_PER_SECOND: u64 = 12_500;
