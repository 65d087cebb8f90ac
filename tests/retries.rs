//! Retries of a whole fleet stay within a share of the requests of any window and a number beyond.

use std::time::Duration;

use persimmoncroft::coordination::retry::{Allowed, Recent};
use quickcheck::{TestResult, quickcheck};

const WINDOW: u64 = 10_000;

fn allowed(daemons: usize) -> Allowed {
    Allowed {
        window: Duration::from_millis(WINDOW),
        share: 0.2,
        extra: 54.0,
        daemons,
    }
}

fn count(times: &[u64], from: u64, until: u64) -> u64 {
    times
        .iter()
        .filter(|at| (from..until).contains(*at))
        .count() as u64
}

/// The most retries in a window beyond what is allowed, where requests count in the best of the window, the one before
/// it and the one half a window before it.
fn over(requests: &[u64], retries: &[u64]) -> f64 {
    let over = retries.iter().map(|first| {
        let until = first + WINDOW;
        let earlier = [0, WINDOW / 2, WINDOW];
        let best = earlier.map(|by| count(requests, first.saturating_sub(by), until - by));
        let best = best.into_iter().max().unwrap_or_default();
        count(retries, *first, until) as f64 - (best as f64 * 0.2 + 54.0)
    });
    over.fold(f64::MIN, f64::max)
}

quickcheck! {
    /// Requests in bursts, and a retry asked for after each of them: what is given never goes beyond the limit.
    fn fleet_stays_within_its_limit(steps: Vec<(u8, u16, u8)>) -> TestResult {
        let daemons = 4;
        let allowed = allowed(daemons);
        let mut fleet: Vec<Recent> = (0..daemons).map(|_| Recent::open(Duration::ZERO)).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut at = 0;
        for (daemon, pause, burst) in steps {
            at += u64::from(pause % 3000);
            let recent = &mut fleet[usize::from(daemon) % daemons];
            let now = Duration::from_millis(at);
            for _ in 0..burst % 24 {
                recent.request(&allowed, now);
                requests.push(at);
            }
            for _ in 0..burst % 24 {
                if recent.take(&allowed, now) {
                    retries.push(at);
                }
            }
        }
        TestResult::from_bool(retries.is_empty() || over(&requests, &retries) <= 0.0)
    }
}

/// A replica dies with many streams at once, after ten seconds of steady traffic: 84 of 141 broken streams of trouble-3 of
/// glockenhof could not go on, since each daemon had saved six retries at most.
#[test]
fn streams_of_a_replica_that_dies_go_on_within_the_share_of_the_window() {
    let allowed = allowed(7);
    let mut recent = Recent::open(Duration::ZERO);
    for tenth in 0..200 {
        for _ in 0..2 {
            recent.request(&allowed, Duration::from_millis(tenth * 100));
        }
    }
    let now = Duration::from_secs(20);
    let resumed = (0..30).filter(|_| recent.take(&allowed, now)).count();
    assert_eq!(resumed, 30);
    let most = (0..1000).filter(|_| recent.take(&allowed, now)).count() + resumed;
    assert!(most <= 200 / 5 + 54 / 7, "{most}");
}

#[test]
fn restarted_daemon_brings_no_extra_retries_of_its_own() {
    let allowed = allowed(7);
    let mut first = Recent::open(Duration::ZERO);
    for _ in 0..50 {
        first.request(&allowed, Duration::ZERO);
    }
    let taken = (0..100).filter(|_| first.take(&allowed, Duration::ZERO));
    assert_eq!(taken.count(), 8);

    let mut recent = Recent::open(Duration::from_secs(3));
    assert!(!recent.take(&allowed, Duration::from_secs(4)));
    for _ in 0..50 {
        recent.request(&allowed, Duration::from_secs(4));
    }
    let taken = (0..100).filter(|_| recent.take(&allowed, Duration::from_secs(4)));
    assert_eq!(taken.count(), 8);
}
