//! Where work goes: an endpoint that is full, slow, failing or has much to read is left.

use std::time::Duration;

use persimmoncroft::coordination::choice::{Candidate, choose};
use persimmoncroft::coordination::health::Health;

const IDLE: Candidate = Candidate {
    near: true,
    slots: 64.0,
    flights: 0.0,
    unread_tokens: 500.0,
    late_share: 0.0,
    aversion: 0.0,
    latency_millis: 20.0,
    failure_share: 0.0,
};

#[test]
fn burst_spreads_over_endpoints_in_proportion_to_their_slots() {
    let mut flights = [0.0; 3];
    for _ in 0..120 {
        let candidates: Vec<Candidate> = flights
            .iter()
            .map(|flights| Candidate {
                flights: *flights,
                ..IDLE
            })
            .collect();
        flights[choose(&candidates, 0.5).unwrap()] += 1.0;
    }
    // Endpoints within a tenth of the cheapest are drawn from.
    assert!(
        flights
            .iter()
            .all(|flights| (36.0..=44.0).contains(flights)),
        "{flights:?}"
    );
}

#[test]
fn other_zone_is_used_before_the_own_one_is_crowded() {
    let own = Candidate {
        flights: 20.0,
        ..IDLE
    };
    let other = Candidate {
        near: false,
        ..IDLE
    };
    assert_eq!(choose(&[own, other], 0.0), Some(1));
    let own = Candidate {
        flights: 1.0,
        ..IDLE
    };
    assert_eq!(choose(&[own, other], 0.0), Some(0));
}

/// `srv_slow`: the first byte comes in time, the events do not.
#[test]
fn endpoint_whose_events_come_late_is_left_and_tried_again() {
    let mut health = Health::default();
    let now = Duration::from_secs(1);
    for _ in 0..6 {
        health.streamed(true, now);
    }
    let slow = Candidate {
        late_share: health.late_share(now),
        ..IDLE
    };
    assert_eq!(
        choose(
            &[
                slow,
                Candidate {
                    flights: 30.0,
                    ..IDLE
                }
            ],
            0.0
        ),
        Some(1)
    );
    let later = now + Duration::from_secs(20);
    let slow = Candidate {
        late_share: health.late_share(later),
        ..IDLE
    };
    assert_eq!(
        choose(
            &[
                slow,
                Candidate {
                    flights: 30.0,
                    ..IDLE
                }
            ],
            0.0
        ),
        Some(0)
    );
}

/// `srv_grey`: a good health check and a share of failures.
#[test]
fn endpoint_that_fails_some_requests_is_left_while_others_have_room() {
    let mut health = Health::default();
    let now = Duration::from_secs(1);
    for turn in 0..20 {
        match turn % 5 {
            0 | 1 => health.failed(now),
            _ => health.answered(Duration::from_millis(20), now),
        }
    }
    let grey = Candidate {
        failure_share: health.failure_share(now),
        ..IDLE
    };
    assert_eq!(
        choose(
            &[
                grey,
                Candidate {
                    flights: 40.0,
                    ..IDLE
                }
            ],
            0.0
        ),
        Some(1)
    );
    assert_eq!(choose(&[grey], 0.0), Some(0));
}

#[test]
fn endpoint_that_cannot_be_reached_is_paused_longer_each_time() {
    let mut health = Health::default();
    health.unreachable(Duration::ZERO);
    assert!(!health.is_paused(Duration::from_millis(350)));
    health.unreachable(Duration::from_millis(350));
    assert!(health.is_paused(Duration::from_millis(900)));
    health.answered(Duration::from_millis(5), Duration::from_millis(1000));
    health.unreachable(Duration::from_millis(2000));
    assert!(!health.is_paused(Duration::from_millis(2350)));
}
