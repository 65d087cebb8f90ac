//! Lineage: streams are remembered with the version that began them, within bounds.

use std::time::Duration;

use persimmoncroft::coordination::lineage::{Admitted, Beginnings, Streams, Versions};
use quickcheck::quickcheck;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn beginnings(version: &str, ids: &[u64]) -> Beginnings {
    [(version.into(), ids.to_vec())].into()
}

#[test]
fn beginnings_of_others_are_known_but_not_passed_on() {
    let mut streams = Streams::default();
    streams.learn(&beginnings("v2", &[7, 8]), seconds(1));
    streams.begun(9, "v1".into(), seconds(1));
    assert_eq!(streams.version(8).as_deref(), Some("v2"));
    assert_eq!(
        streams.take_new(seconds(30), seconds(2)),
        beginnings("v1", &[9])
    );
}

/// Guards against streams that began before a release and are unknown when it comes.
#[test]
fn streams_that_began_earlier_are_taken_when_they_are_needed() {
    let mut streams = Streams::default();
    streams.begun(1, "v1".into(), seconds(1));
    streams.begun(2, "v1".into(), seconds(25));
    assert_eq!(
        streams.take_new(seconds(30), seconds(40)),
        beginnings("v1", &[2])
    );
}

/// Guards against memory that grows with the number of streams.
#[test]
fn streams_are_forgotten() {
    let mut streams = Streams::default();
    for id in 0..200_000 {
        streams.begun(id, "v1".into(), Duration::from_millis(id));
    }
    assert!(streams.count() <= 65_536);
    assert!(streams.version(199_999).is_some());
    streams.expire(seconds(300));
    assert_eq!(streams.count(), 0);
    assert!(streams.take_new(seconds(1000), seconds(300)).is_empty());
}

/// Guards against a daemon of this build or of the one before that cannot read what the other one says of versions.
#[test]
fn announcements_are_read_by_the_build_before_and_its_messages_here() {
    /// What the build before reads.
    #[derive(Debug, PartialEq, serde::Deserialize, serde::Serialize)]
    struct Former {
        w: u64,
        v: Vec<String>,
    }
    let announced = Admitted {
        row: 7,
        versions: vec!["v1".into()],
        coming: vec!["v2".into()],
    };
    let text = serde_json::to_string(&announced).unwrap();
    assert_eq!(serde_json::from_str::<Admitted>(&text).unwrap(), announced);
    let former = Former {
        w: 7,
        v: vec!["v1".into()],
    };
    assert_eq!(serde_json::from_str::<Former>(&text).unwrap(), former);
    let text = serde_json::to_string(&former).unwrap();
    let admitted: Admitted = serde_json::from_str(&text).unwrap();
    assert!(admitted.names("v1") && !admitted.names("v2"));
    assert!(admitted.coming.is_empty());
}

/// Guards against taking a version for the only one when another one was announced.
#[test]
fn version_is_not_the_only_one_once_another_one_is_announced() {
    let mut versions = Versions::default();
    let mut admitted = Admitted {
        row: 1,
        versions: vec!["v1".into()],
        ..Admitted::default()
    };
    versions.adopt(&"models".into(), admitted.clone());
    assert_eq!(versions.only("models").as_deref(), Some("v1"));
    assert!(!versions.are_mixed());
    admitted.row = 2;
    admitted.coming.push("v2".into());
    versions.adopt(&"models".into(), admitted);
    assert_eq!(versions.only("models"), None);
    assert!(versions.are_mixed());
    assert!(!versions.admits("models", "v2"));
}

quickcheck! {
    /// Messages about a service arrive in any order and more than once; the newest row is known.
    fn order_of_messages_does_not_matter(rows: Vec<u8>) -> bool {
        let service = "models".into();
        let mut versions = Versions::default();
        for row in &rows {
            let row = u64::from(*row) + 1;
            let admitted = Admitted {
                row,
                versions: vec![format!("v{row}").into()],
                ..Admitted::default()
            };
            versions.adopt(&service, admitted.clone());
            versions.adopt(&service, admitted);
        }
        let newest = rows.iter().max().map(|row| u64::from(*row) + 1);
        let only = newest.map(|row| format!("v{row}"));
        versions.only("models").as_deref() == only.as_deref()
    }
}
