//! Tests of when a daemon that is cut off from the platform stops using its seat.

use std::time::Duration;

use persimmoncroft::coordination::bucket::PARTS;
use persimmoncroft::coordination::holder::{Holder, Identity};
use persimmoncroft::coordination::loan::Terms;
use persimmoncroft::coordination::member::Directory;
use persimmoncroft::coordination::seat::{Snapshot, Timing};
use persimmoncroft::state::member::Member;

const SECOND: Duration = Duration::from_secs(1);

const TIMING: Timing = Timing {
    lease: Duration::from_secs(3600),
    isolation: Duration::from_secs(10),
    terms: Terms {
        loan: Duration::from_secs(5),
        grant: SECOND,
        drift_permille: 0,
    },
};

fn member(port: u16, leaving: bool) -> Member {
    Member {
        address: ([127, 0, 0, 1], port).into(),
        zone: "a".into(),
        session: format!("s{port}").into(),
        leaving,
    }
}

/// Returns a holder with a seat that last had contact with the platform at one second.
fn holder_with_seat() -> Holder {
    let identity = Identity {
        session: "s0".into(),
        address: ([127, 0, 0, 1], 7000).into(),
        zone: "a".into(),
    };
    let mut holder = Holder::open(identity, SECOND);
    let plan = holder.plan(&Snapshot::default(), 1, |_, _| false, SECOND, &TIMING);
    let plan = plan.expect("a seat can be claimed in an empty table");
    holder.sent(&plan);
    holder.committed(&plan, 1, SECOND, SECOND);
    holder
}

#[test]
fn answering_peer_without_seat_keeps_seat_in_use() {
    let mut holder = holder_with_seat();
    let mut directory = Directory::default();
    directory.record_contact(&member(7001, false), SECOND);
    for second in 1..60 {
        let now = SECOND * second;
        directory.answered(member(7001, false).address, now);
        holder.set_peers_answered(directory.answered_by_all("a"), now, &TIMING);
        assert_eq!(holder.usable(now, &TIMING), PARTS / 8);
    }
}

#[test]
fn one_unresponsive_peer_stops_seat_use() {
    let mut holder = holder_with_seat();
    let mut directory = Directory::default();
    for port in [7001, 7002] {
        directory.record_contact(&member(port, false), SECOND);
    }
    for second in 1..=11 {
        let now = SECOND * second;
        directory.answered(member(7001, false).address, now);
        holder.set_peers_answered(directory.answered_by_all("a"), now, &TIMING);
        assert_eq!(holder.isolated(now, &TIMING), second >= 11);
    }
    // A late answer does not restore the seat, which another daemon may have taken over.
    let now = SECOND * 12;
    directory.answered(member(7002, false).address, now);
    holder.set_peers_answered(directory.answered_by_all("a"), now, &TIMING);
    assert!(!holder.isolated(now, &TIMING));
    assert_eq!(holder.usable(now, &TIMING), 0);
}

#[test]
fn leaving_peer_is_ignored() {
    let mut holder = holder_with_seat();
    let mut directory = Directory::default();
    directory.record_contact(&member(7001, false), SECOND);
    holder.set_peers_answered(directory.answered_by_all("a"), SECOND, &TIMING);
    directory.record_contact(&member(7001, true), SECOND * 2);
    let now = SECOND * 60;
    holder.set_peers_answered(directory.answered_by_all("a"), SECOND * 2, &TIMING);
    assert!(!holder.isolated(now, &TIMING));
}

#[test]
fn answering_peer_with_seat_keeps_seat_in_use() {
    let mut holder = holder_with_seat();
    let mut directory = Directory::default();
    directory.record_contact(&member(7001, false), SECOND);
    for second in 1..60 {
        let now = SECOND * second;
        holder.set_peers_answered(directory.answered_by_all("a"), now, &TIMING);
        holder.record_contact(now, now, &TIMING);
        assert_eq!(holder.usable(now, &TIMING), PARTS / 8);
    }
}
