//! Retries of a whole fleet stay within a share of the requests of any window plus a fixed number.

use std::time::Duration;

use persimmoncroft::coordination::retry::{Limit, Window};
use quickcheck::{TestResult, quickcheck};

const WINDOW_MILLIS: u64 = 10_000;

fn limit(daemons: usize) -> Limit {
    Limit {
        window: Duration::from_millis(WINDOW_MILLIS),
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

/// Largest excess of retries over the limit in any window. The request count is the highest of the window itself, the
/// one before it and the one half a window before it.
fn excess(requests: &[u64], retries: &[u64]) -> f64 {
    let excess = retries.iter().map(|first| {
        let until = first + WINDOW_MILLIS;
        let earlier = [0, WINDOW_MILLIS / 2, WINDOW_MILLIS];
        let best = earlier.map(|by| count(requests, first.saturating_sub(by), until - by));
        let best = best.into_iter().max().unwrap_or_default();
        count(retries, *first, until) as f64 - (best as f64 * 0.2 + 54.0)
    });
    excess.fold(f64::MIN, f64::max)
}

quickcheck! {
    /// Requests come in bursts, and a retry is attempted for each of them; the retries taken never exceed the limit.
    fn fleet_stays_within_its_limit(steps: Vec<(u8, u16, u8)>) -> TestResult {
        let daemons = 4;
        let limit = limit(daemons);
        let mut fleet: Vec<Window> = (0..daemons).map(|_| Window::open(Duration::ZERO)).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut at = 0;
        for (daemon, pause, burst) in steps {
            at += u64::from(pause % 3000);
            let window = &mut fleet[usize::from(daemon) % daemons];
            let now = Duration::from_millis(at);
            for _ in 0..burst % 24 {
                window.request(&limit, now);
                requests.push(at);
            }
            for _ in 0..burst % 24 {
                if window.take(&limit, now) {
                    retries.push(at);
                }
            }
        }
        TestResult::from_bool(retries.is_empty() || excess(&requests, &retries) <= 0.0)
    }
}

/// Regression test: a replica dies with many open streams after at least ten seconds of steady traffic. 84 of 141
/// broken streams could not be resumed, since each daemon had saved at most six retries (trial trouble-3,
/// site glockenhof).
#[test]
fn broken_streams_are_resumed_within_the_retry_share_of_the_window() {
    let limit = limit(7);
    let mut window = Window::open(Duration::ZERO);
    for tenth in 0..200 {
        for _ in 0..2 {
            window.request(&limit, Duration::from_millis(tenth * 100));
        }
    }
    let now = Duration::from_secs(20);
    let resumed = (0..30).filter(|_| window.take(&limit, now)).count();
    assert_eq!(resumed, 30);
    let most = (0..1000).filter(|_| window.take(&limit, now)).count() + resumed;
    assert!(most <= 200 / 5 + 54 / 7, "{most}");
}

#[test]
fn restarted_daemon_gets_no_extra_retries() {
    let limit = limit(7);
    let mut first = Window::open(Duration::ZERO);
    for _ in 0..50 {
        first.request(&limit, Duration::ZERO);
    }
    let taken = (0..100).filter(|_| first.take(&limit, Duration::ZERO));
    assert_eq!(taken.count(), 8);

    let mut window = Window::open(Duration::from_secs(3));
    assert!(!window.take(&limit, Duration::from_secs(4)));
    for _ in 0..50 {
        window.request(&limit, Duration::from_secs(4));
    }
    let taken = (0..100).filter(|_| window.take(&limit, Duration::from_secs(4)));
    assert_eq!(taken.count(), 8);
}
