//! Leased task: when its holder may act, and that each term begins exactly once.

use std::time::Duration;

use persimmoncroft::coordination::leadership::{Leadership, Phase};
use quickcheck::quickcheck;

const LEASE_DURATION: Duration = Duration::from_millis(1200);

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Regression test: a planner that queried the phase twice saw the wait end between the calls, so that it acted before
/// it had begun the term.
#[test]
fn no_action_before_the_term_begins() {
    let mut leadership = Leadership::open(LEASE_DURATION);
    leadership.election.claimed(3, 1, millis(1000));
    leadership.begin(3, millis(1500));
    let phases = [1000, 1499, 1500, 1501, 1900].map(|at| leadership.phase(millis(at)));
    let expected = [
        Phase::Wait,
        Phase::Wait,
        Phase::Begin,
        Phase::Act,
        Phase::Wait,
    ];
    assert_eq!(phases, expected);

    // The lease is renewed within the same term.
    leadership.election.claimed(3, 2, millis(2000));
    assert_eq!(leadership.phase(millis(2001)), Phase::Act);
    leadership.begin(4, millis(2100));
    assert_eq!(leadership.phase(millis(2100)), Phase::Begin);
}

quickcheck! {
    fn each_term_begins_before_it_acts(steps: Vec<(u8, u16)>) -> bool {
        let mut leadership = Leadership::open(LEASE_DURATION);
        let mut now = millis(1);
        let mut begun = false;
        for (kind, pause) in steps {
            now += millis(u64::from(pause % 700));
            match kind % 4 {
                0 => {
                    leadership.election.claimed(1, 1, now);
                    leadership.begin(1, now + millis(u64::from(pause)));
                    begun = false;
                }
                1 => leadership.election.claimed(1, 2, now),
                _ => match leadership.phase(now) {
                    Phase::Wait => {}
                    Phase::Begin if begun => return false,
                    Phase::Begin => begun = true,
                    Phase::Act if !begun => return false,
                    Phase::Act => {}
                },
            }
        }
        true
    }
}
