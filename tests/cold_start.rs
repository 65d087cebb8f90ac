//! Starts of endpoints that are inferred from connections, on an injected clock.

use std::time::Duration;

use persimmoncroft::coordination::cold_start::{Cause, ColdStart};
use quickcheck::quickcheck;

const MILLI: Duration = Duration::from_millis(1);
const MAX_GAP: Duration = Duration::from_secs(2);
const COLD_TIME: Duration = Duration::from_secs(3);

fn at(millis: u32) -> Duration {
    MILLI * millis
}

/// Connects while the table was last proven current at `proven`.
fn connect(endpoint: &mut ColdStart, proven: u32, now: u32) -> Option<Cause> {
    let start = endpoint.connected(at(proven), MAX_GAP, COLD_TIME, at(now));
    start.map(|start| start.cause)
}

#[test]
fn connection_beside_a_current_table_implies_no_start() {
    let mut endpoint = ColdStart::default();
    assert_eq!(connect(&mut endpoint, 9_000, 10_000), None);
    assert!(!endpoint.is_cold(at(10_000)));
}

/// Guards against a process that counts as warm because the table was current long before it started.
#[test]
fn connection_after_a_gap_implies_a_start() {
    let mut endpoint = ColdStart::default();
    connect(&mut endpoint, 9_000, 10_000);
    assert_eq!(connect(&mut endpoint, 9_000, 12_000), None);
    assert_eq!(connect(&mut endpoint, 9_000, 14_001), Some(Cause::Unknown));
    assert!(endpoint.is_cold(at(17_000)));
    assert!(!endpoint.is_cold(at(17_001)));
}

#[test]
fn responses_on_a_connection_close_the_gap() {
    let mut endpoint = ColdStart::default();
    connect(&mut endpoint, 9_000, 10_000);
    for sent in [11_500, 13_000, 14_500] {
        assert_eq!(endpoint.responded(at(10_000), at(sent)), None);
    }
    assert_eq!(connect(&mut endpoint, 9_000, 16_000), None);
}

/// Guards against a current table that hides a start whose entry is late.
#[test]
fn connection_after_a_refused_one_implies_a_start_whatever_the_table() {
    let mut endpoint = ColdStart::default();
    endpoint.refused(at(10_000));
    assert_eq!(connect(&mut endpoint, 10_500, 10_500), Some(Cause::Refused));
    assert!(endpoint.is_cold(at(13_499)));
    // The next connection leads to the same process.
    assert_eq!(connect(&mut endpoint, 10_500, 11_000), None);
    assert!(!endpoint.is_cold(at(13_500)));
}

/// Guards against an endpoint that is limited because this daemon's links refused new connections for a moment.
#[test]
fn response_on_an_older_connection_disproves_a_start() {
    let mut endpoint = ColdStart::default();
    connect(&mut endpoint, 9_000, 9_500);
    endpoint.refused(at(10_000));
    connect(&mut endpoint, 10_400, 10_500);
    assert!(endpoint.is_cold(at(10_500)));
    // A response to a request that was sent before may have been written before the end.
    assert_eq!(endpoint.responded(at(9_500), at(9_900)), None);
    // One on the connection to the new process says nothing of the one before.
    assert_eq!(endpoint.responded(at(10_500), at(10_600)), None);
    assert!(endpoint.is_cold(at(10_600)));
    let start = endpoint.responded(at(9_500), at(10_600));
    assert_eq!(start.map(|start| start.cause), Some(Cause::Refused));
    assert!(!endpoint.is_cold(at(10_600)));
}

#[test]
fn response_on_an_older_connection_disproves_the_end() {
    let mut endpoint = ColdStart::default();
    connect(&mut endpoint, 9_000, 9_500);
    endpoint.refused(at(10_000));
    endpoint.responded(at(9_500), at(10_100));
    assert_eq!(connect(&mut endpoint, 10_100, 10_200), None);
}

/// Guards against a connection between two starts that is taken to outlive the first one.
#[test]
fn connection_of_a_start_that_ended_does_not_disprove_it() {
    let mut endpoint = ColdStart::default();
    endpoint.refused(at(10_000));
    connect(&mut endpoint, 0, 10_500);
    endpoint.refused(at(11_000));
    connect(&mut endpoint, 0, 11_500);
    assert_eq!(endpoint.responded(at(10_500), at(11_600)), None);
    assert!(endpoint.is_cold(at(14_499)));
}

/// An endpoint, and a daemon's connections to it.
#[derive(Default)]
struct World {
    now: u32,
    /// Time at which the process that runs started; `None` while none runs.
    started: Option<u32>,
    /// Open connections: when each was opened, and the start of its process.
    connections: Vec<(u32, u32)>,
    /// Start of the process that last responded or accepted a connection, and when.
    seen: Option<(u32, u32)>,
    /// Whether a connection was refused since.
    refused: bool,
}

impl World {
    /// Whether the daemon has reason to take the process that accepts a connection now for a new one.
    fn can_tell(&self) -> bool {
        let (_, seen_at) = self.seen.unwrap_or_default();
        self.refused || at(seen_at) + MAX_GAP < at(self.now)
    }
}

quickcheck! {
    /// Guards against warm traffic at a process that a daemon could have known to be new. The store is away throughout.
    fn new_process_is_cold_when_its_start_can_be_told(steps: Vec<u8>) -> bool {
        let mut endpoint = ColdStart::default();
        let mut world = World { started: Some(0), ..World::default() };
        let mut told: Option<u32> = None;
        for step in steps {
            world.now += 40 + u32::from(step >> 2) * 20;
            let now = world.now;
            match (step & 3, world.started) {
                (0, Some(_)) => world.started = None,
                (0, None) => world.started = Some(now),
                (1 | 2, None) => {
                    endpoint.refused(at(now));
                    world.refused = true;
                }
                (1, Some(started)) => {
                    let is_new = world.seen.is_some_and(|(seen, _)| seen != started);
                    if is_new && world.can_tell() {
                        told = Some(started);
                    } else if is_new {
                        // It ended and started again faster than can be told.
                        told = None;
                    }
                    endpoint.connected(Duration::ZERO, MAX_GAP, COLD_TIME, at(now));
                    world.connections.push((now, started));
                    world.seen = Some((started, now));
                    world.refused = false;
                }
                (_, Some(started)) => {
                    if let Some((opened, process)) = world.connections.pop()
                        && process == started
                    {
                        endpoint.responded(at(opened), at(now));
                        world.connections.push((opened, process));
                        world.seen = Some((started, now));
                    }
                }
                _ => {}
            }
            let is_cold = told.is_some_and(|started| {
                world.started == Some(started) && at(now) < at(started) + COLD_TIME
            });
            if is_cold && !endpoint.is_cold(at(now)) {
                return false;
            }
        }
        true
    }

    /// Guards against a limit on a process that never ends and is asked often enough.
    fn process_that_answers_is_warm(pauses: Vec<u8>) -> bool {
        let mut endpoint = ColdStart::default();
        connect(&mut endpoint, 1_000, 1_000);
        let mut now = 1_000;
        for pause in pauses {
            now += 1 + u32::from(pause) * 7;
            endpoint.responded(at(1_000), at(now));
            connect(&mut endpoint, 0, now);
            if endpoint.is_cold(at(now)) {
                return false;
            }
        }
        true
    }
}
