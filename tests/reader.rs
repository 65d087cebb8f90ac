//! Readers of a zone: who reads the store, where the others read, and what they get.

use std::time::Duration;

use bytes::Bytes;
use persimmoncroft::coordination::reader::{Candidate, Selector, Source, readers};
use persimmoncroft::state::mirror::{Changes, Mirror};
use persimmoncroft::state::record::Name;
use persimmoncroft::state::row::Row;
use quickcheck::quickcheck;

const TABLE: &str = "servers";

fn zone(daemons: usize) -> Vec<Candidate> {
    let daemon = |number: usize| Candidate {
        name: format!("d{number}").into(),
        cores: if number.is_multiple_of(20) { 0.5 } else { 0.12 },
    };
    (0..daemons).map(daemon).collect()
}

fn peer(name: &str) -> Source {
    Source::Peer(name.into())
}

/// Guards against a store that is back and not asked for 4 s by any of a zone's readers, after an outage of some seconds.
#[test]
fn reader_beside_another_asks_the_store_again_within_two_seconds() {
    let (mut selector, zone) = (Selector::default(), ["a".into(), "b".into()]);
    let step = Duration::from_millis(50);
    let (mut now, mut failed_at) = (Duration::ZERO, Duration::ZERO);
    while now < Duration::from_secs(30) {
        match selector.choose("a", &zone, now) {
            Source::Store => {
                assert!(now <= failed_at + Duration::from_secs(2), "{now:?}");
                selector.timed_out(&Source::Store, now);
                failed_at = now;
            }
            other => selector.failed(&other, now),
        }
        now += step;
    }
}

/// Pattern: every daemon of a large fleet polls the store for the same changes.
#[test]
fn few_large_daemons_read_for_a_zone() {
    for (daemons, expected) in [(1, 1), (3, 1), (59, 2), (74, 3)] {
        let readers = readers(zone(daemons));
        assert_eq!(readers.len(), expected, "{daemons} daemons");
        let large = |name: &Name| {
            zone(daemons)
                .iter()
                .any(|d| d.name == *name && d.cores == 0.5)
        };
        assert!(readers.iter().all(large), "{readers:?}");
    }
}

#[test]
fn loss_of_a_daemon_changes_at_most_one_reader() {
    let all = readers(zone(59));
    for lost in zone(59) {
        let rest = zone(59)
            .into_iter()
            .filter(|daemon| daemon.name != lost.name);
        let rest = readers(rest.collect());
        let kept = all.iter().filter(|reader| rest.contains(reader)).count();
        assert!(kept + 1 >= all.len(), "without {}: {rest:?}", lost.name);
    }
}

#[test]
fn daemons_of_a_zone_spread_over_its_readers() {
    let readers: Vec<Name> = vec!["r1".into(), "r2".into()];
    let selector = Selector::default();
    let first = (0..100).filter(|number| {
        let source = selector.choose(&format!("d{number}"), &readers, Duration::ZERO);
        source == peer("r1")
    });
    let first = first.count();
    assert!((30..=70).contains(&first), "{first}");
}

/// Pattern: a reader freezes; its followers read the store at once, then follow the other reader or the same again.
#[test]
fn daemon_whose_reader_fails_reads_the_store() {
    let readers: Vec<Name> = vec!["r1".into()];
    let mut selector = Selector::default();
    let second = Duration::from_secs(1);
    let two: Vec<Name> = vec!["r1".into(), "r2".into()];
    let first = selector.choose("d", &two, second);
    selector.timed_out(&first, second);
    assert_eq!(selector.choose("d", &two, second), Source::Store);
    selector.succeeded(&Source::Store);
    assert!(![first, Source::Store].contains(&selector.choose("d", &two, second)));

    let mut selector = Selector::default();
    assert_eq!(selector.choose("d", &readers, second), peer("r1"));
    selector.failed(&peer("r1"), second);
    assert_eq!(selector.choose("d", &readers, second), Source::Store);
    selector.succeeded(&Source::Store);
    assert_eq!(selector.choose("d", &readers, second * 2), peer("r1"));
    selector.succeeded(&peer("r1"));
    assert_eq!(selector.choose("d", &readers, second * 2), peer("r1"));
}

/// Pattern: the store turns readers away, which say so at once; their followers go to other readers, not to the store.
#[test]
fn follower_of_a_refused_reader_tries_the_other_one() {
    let readers: Vec<Name> = vec!["r1".into(), "r2".into()];
    let mut selector = Selector::default();
    let now = Duration::from_secs(1);
    let first = selector.choose("d", &readers, now);
    selector.failed(&first, now);
    let second = selector.choose("d", &readers, now);
    assert!(
        matches!(&second, Source::Peer(_)) && second != first,
        "{second:?}"
    );
    selector.failed(&second, now);
    assert_eq!(selector.choose("d", &readers, now), Source::Store);
}

/// Pattern: the store turns single daemons away, readers among them.
#[test]
fn daemon_that_the_store_refuses_follows_a_reader() {
    let readers: Vec<Name> = vec!["r1".into(), "r2".into()];
    let second = Duration::from_secs(1);
    for own in ["d", "r1"] {
        let mut selector = Selector::default();
        selector.failed(&Source::Store, second);
        let source = selector.choose(own, &readers, second);
        assert!(
            matches!(&source, Source::Peer(name) if **name != *own),
            "{own}: {source:?}"
        );
    }
}

/// Whatever fails, the next read is of a source that has not failed lately, or waits.
#[test]
fn failing_sources_are_not_read_without_a_pause() {
    let readers: Vec<Name> = vec!["r1".into(), "r2".into()];
    let mut selector = Selector::default();
    let now = Duration::from_secs(1);
    let mut reads = 0;
    loop {
        let source = selector.choose("d", &readers, now);
        if selector.is_backing_off(&source, now) {
            break;
        }
        selector.failed(&source, now);
        reads += 1;
        assert!(reads <= 3, "{source:?}");
    }
    assert_eq!(reads, 3);
}

/// Pattern: the store is down for everybody; only readers try it again and again.
#[test]
fn outage_of_the_store_is_watched_by_readers_only() {
    let readers: Vec<Name> = vec!["r1".into()];
    let mut selector = Selector::default();
    let mut store_calls = 0;
    for step in 0..20 {
        let now = Duration::from_millis(250 * step);
        let source = selector.choose("d", &readers, now);
        store_calls += u32::from(source == Source::Store);
        selector.failed(&source, now);
    }
    assert!((1..=4).contains(&store_calls), "{store_calls}");
    let alone = Selector::default().choose("d", &[], Duration::ZERO);
    assert_eq!(alone, Source::Store);
}

fn row(key: u8, value: Option<u8>, version: u64) -> Row {
    Row {
        table: TABLE.into(),
        key: format!("k{key}").into(),
        value: value.map(|value| Bytes::from(vec![value])),
        version,
    }
}

fn live(mirror: &Mirror) -> Vec<Row> {
    let all = mirror.changes_after(TABLE, 0).rows;
    all.into_iter().filter(|row| row.value.is_some()).collect()
}

quickcheck! {
    /// A follower that reads at any moments, from one reader or another, ends with the rows of the store.
    fn follower_ends_with_the_rows_of_the_store(events: Vec<(u8, u8, u8)>) -> bool {
        let mut store = Mirror::default();
        store.apply(&Changes { rows: Vec::new(), version: 1, all: true });
        let mut readers = [Mirror::default(), Mirror::default()];
        let (mut follower, mut version, mut store_version) = (Mirror::default(), 0, 1);
        let read = |reader: &mut Mirror, store: &Mirror| {
            let changes = store.changes_after(TABLE, reader.version());
            reader.apply(&changes);
        };
        for (kind, key, value) in events {
            let reader = usize::from(key % 2);
            match kind % 4 {
                0 | 1 => {
                    store_version += 1;
                    let value = (value % 3 > 0).then_some(value);
                    let rows = vec![row(key % 8, value, store_version)];
                    store.apply(&Changes { rows, version: store_version, all: false });
                }
                2 => read(&mut readers[reader], &store),
                _ => {
                    let changes = readers[reader].changes_after(TABLE, version);
                    version = version.max(changes.version);
                    follower.apply(&changes);
                }
            }
        }
        read(&mut readers[0], &store);
        follower.apply(&readers[0].changes_after(TABLE, version));
        live(&follower) == live(&store)
    }
}

#[test]
fn follower_that_is_too_far_behind_gets_all_rows() {
    let mut reader = Mirror::default();
    reader.apply(&Changes {
        rows: vec![row(1, Some(1), 5), row(2, Some(2), 7)],
        version: 9,
        all: true,
    });
    let changes = reader.changes_after(TABLE, 8);
    assert!(changes.all);
    assert_eq!(changes.rows.len(), 2);
    let mut follower = Mirror::default();
    follower.apply(&Changes {
        rows: vec![row(3, Some(3), 4)],
        version: 8,
        all: true,
    });
    follower.apply(&changes);
    assert_eq!(live(&follower), live(&reader));
    assert!(!reader.changes_after(TABLE, 9).all);
}

/// A reader that is behind its follower takes nothing back.
#[test]
fn older_row_changes_nothing() {
    let mut follower = Mirror::default();
    follower.apply(&Changes {
        rows: vec![row(1, None, 8)],
        version: 8,
        all: true,
    });
    let late = Changes {
        rows: vec![row(1, Some(1), 5)],
        version: 6,
        all: true,
    };
    follower.apply(&late);
    assert!(live(&follower).is_empty());
    assert_eq!(follower.version(), 8);
}
