//! Cold endpoints: all daemons together stay within the request rate that a cold endpoint can handle.

use std::time::Duration;

use persimmoncroft::coordination::warmup::{Warmup, share};
use quickcheck::{TestResult, quickcheck};

quickcheck! {
    fn shares_sum_to_at_most_the_rate(daemons: u8, per_second: u8) -> TestResult {
        if daemons == 0 {
            return TestResult::discard();
        }
        let names: Vec<String> = (0..daemons).map(|n| format!("daemon-{n}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let rate = f64::from(per_second);
        let total: usize = names.iter().map(|name| share("endpoint", name, &names, rate)).sum();
        TestResult::from_bool(total <= usize::from(per_second))
    }
}

#[test]
fn only_as_many_daemons_as_the_rate_send_to_a_cold_endpoint() {
    let names: Vec<String> = (0..70).map(|n| format!("daemon-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let active = names
        .iter()
        .filter(|name| share("endpoint", name, &names, 29.0) == 1);
    assert_eq!(active.count(), 29);
}

#[test]
fn no_second_exceeds_the_share() {
    let mut warmup = Warmup::default();
    let mut sent: Vec<Duration> = Vec::new();
    for step in 0..5000_u64 {
        let now = Duration::from_millis(step);
        if warmup.allows(4, now) {
            warmup.sent(now);
            sent.push(now);
        }
    }
    for start in &sent {
        let end = *start + Duration::from_secs(1);
        assert!(sent.iter().filter(|at| *at >= start && **at < end).count() <= 4);
    }
}

/// Guards against the cold limit on top of what was sent in the second before the endpoint was known to be cold.
#[test]
fn requests_sent_before_count_towards_the_share() {
    let mut warmup = Warmup::default();
    for step in 0..10_u64 {
        warmup.sent(Duration::from_millis(step * 50));
    }
    assert!(!warmup.allows(4, Duration::from_millis(500)));
    // Six of them have left the window.
    assert!(!warmup.allows(4, Duration::from_millis(1440)));
    assert!(warmup.allows(4, Duration::from_millis(1500)));
}

/// Guards against requests that are not sent and take room from others.
#[test]
fn request_that_was_not_sent_does_not_count() {
    let mut warmup = Warmup::default();
    let now = Duration::from_secs(1);
    for _ in 0..3 {
        warmup.sent(now);
    }
    assert!(!warmup.is_within(2, now));
    warmup.unsent();
    assert!(warmup.is_within(2, now));
    assert!(!warmup.allows(2, now));
}
