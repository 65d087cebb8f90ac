//! Which daemons are known and which of them are alive.
//!
//! Nothing that must hold rests on this view: two daemons may see different ones at any time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::state::member::Member;
use crate::state::record::Name;

/// Time added to an indirect sighting for its way here.
const HOP: Duration = Duration::from_millis(50);

/// What is known of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Its availability zone.
    pub zone: Name,
    /// Identifier of its process; empty until it was heard.
    pub session: Arc<str>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether the platform's latest list shows it.
    pub listed: bool,
    /// When the platform's list dropped it after it had shown it.
    pub dropped: Option<Duration>,
    /// When this daemon sent the latest message that it answered.
    pub answered: Option<Duration>,
    /// When it spoke to this daemon.
    pub heard: Option<Duration>,
    /// When it last spoke to this daemon or to one that told of it.
    pub seen: Option<Duration>,
    /// When it was added.
    pub added: Duration,
}

/// All daemons that are known, by the address of their peer listeners.
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
/// directory.hear(&member, Duration::from_secs(1));
/// assert_eq!(directory.live(Duration::from_secs(2), Duration::from_secs(3)), [member]);
/// assert!(directory.live(Duration::from_secs(9), Duration::from_secs(3)).is_empty());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Directory {
    /// Known daemons.
    pub peers: BTreeMap<SocketAddr, Peer>,
}

impl Directory {
    /// Takes in that a daemon spoke to this one.
    pub fn hear(&mut self, member: &Member, now: Duration) {
        let peer = self.entry(member.address, &member.zone, now);
        peer.zone = member.zone.clone();
        peer.session = member.session.clone();
        peer.leaving = member.leaving;
        peer.heard = Some(now);
        peer.seen = Some(now);
    }

    /// Takes in that a daemon answered a message that was sent at a time.
    pub fn answered(&mut self, address: SocketAddr, sent: Duration) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.answered = peer.answered.max(Some(sent));
        }
    }

    /// Returns the known daemons of a zone that are not leaving.
    pub fn mates(&self, zone: &str) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        let staying = move |peer: &Peer| &*peer.zone == zone && !peer.leaving;
        self.peers.iter().filter(move |(_, peer)| staying(peer))
    }

    /// Returns when the latest message was sent that each daemon of a zone has answered; for one that never has, when it
    /// became known. None without daemons in the zone that stay.
    pub fn answered_by_all(&self, zone: &str) -> Option<Duration> {
        let answered = |(_, peer): (&SocketAddr, &Peer)| peer.answered.unwrap_or(peer.added);
        self.mates(zone).map(answered).min()
    }

    /// Says whether a process is gone because a later one answered at its address.
    pub fn replaced(&self, address: SocketAddr, session: &str, since: Duration) -> bool {
        let peer = self.peers.get(&address);
        peer.is_some_and(|peer| &*peer.session != session && peer.answered > Some(since))
    }

    /// Takes in that a peer heard a daemon some time ago.
    pub fn sight(&mut self, member: &Member, age: Duration, now: Duration) {
        let seen = now.checked_sub(age + HOP);
        let peer = self.entry(member.address, &member.zone, now);
        if seen.is_none() || seen <= peer.seen {
            return;
        }
        peer.zone = member.zone.clone();
        peer.session = member.session.clone();
        peer.leaving = member.leaving;
        peer.seen = seen;
    }

    /// Takes in the platform's list.
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

    /// Forgets daemons that are neither listed nor were seen for a time.
    pub fn forget(&mut self, now: Duration, after: Duration) {
        self.peers.retain(|_, peer| {
            let last = peer.seen.unwrap_or(peer.added);
            peer.listed || now.saturating_sub(last) < after
        });
    }

    /// Returns the daemons that were seen within a timeout, by address.
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
    /// Returns the daemon as others know it.
    pub fn member(&self, address: SocketAddr) -> Member {
        Member {
            address,
            zone: self.zone.clone(),
            session: self.session.clone(),
            leaving: self.leaving,
        }
    }
}

/// Returns the time between two rounds of heartbeats, so that a round's bytes stay within a rate.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::member::period;
/// let shortest = Duration::from_millis(500);
/// assert_eq!(period(shortest, 7), shortest);
/// assert_eq!(period(shortest, 65), Duration::from_millis(4160));
/// ```
pub fn period(shortest: Duration, peers_per_round: usize) -> Duration {
    let bytes = peers_per_round as u64 * EXCHANGE_BYTES;
    let needed = Duration::from_millis(bytes * 1000 / HEARTBEAT_BYTES_PER_SECOND);
    shortest.max(needed)
}

/// Bytes of a heartbeat and its answer, sent and received.
const EXCHANGE_BYTES: u64 = 800;

/// Bytes per second that heartbeats may take, half of what a daemon has for control.
const HEARTBEAT_BYTES_PER_SECOND: u64 = 12_500;
