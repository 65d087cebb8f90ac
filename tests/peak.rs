//! Peak shaving: deferrable work stays below the peak window and still meets its deadlines.

use std::time::Duration;

use persimmoncroft::coordination::peak::{Candidate, Meter, STEPS_PER_WINDOW};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const WINDOW: Duration = Duration::from_secs(60);
const SECOND: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
struct Load(Vec<u16>);

impl Arbitrary for Load {
    fn arbitrary(source: &mut Gen) -> Self {
        Self((0..600).map(|_| u16::arbitrary(source) % 200).collect())
    }
}

fn check(property: fn(Load) -> bool) {
    let source = Gen::from_size_and_seed(100, 7);
    QuickCheck::new()
        .rng(source)
        .tests(100)
        .quickcheck(property);
}

/// A grant without urgent jobs never raises the peak at the time of the grant.
#[test]
fn grants_do_not_raise_the_peak() {
    fn property(load: Load) -> bool {
        let mut meter = Meter::open(WINDOW, 0, Duration::ZERO);
        for (second, tokens) in load.0.iter().enumerate() {
            let now = SECOND * second as u32;
            meter.use_tokens(u64::from(*tokens), now);
            let before = meter.peak();
            let grant = meter.allowance(&[]);
            meter.grant(grant, now);
            if meter.peak() > before {
                return false;
            }
        }
        true
    }
    check(property);
}

/// Without headroom, urgent jobs are paced so that all are granted before their deadlines, without a burst.
#[test]
fn urgent_jobs_meet_their_deadlines_at_an_even_rate() {
    const JOBS: u64 = 100;
    const TOKENS_PER_JOB: u64 = 50;
    const DEADLINE_SECONDS: u32 = 1200;
    let mut meter = Meter::open(WINDOW, 0, Duration::ZERO);
    let mut left = JOBS;
    let mut most = 0;
    let mut recent = vec![0; WINDOW.as_secs() as usize];
    for second in 0..DEADLINE_SECONDS {
        let now = SECOND * second;
        meter.use_tokens(0, now);
        let candidate = Candidate {
            tokens: TOKENS_PER_JOB,
            age: SECOND * second,
            left: SECOND * (DEADLINE_SECONDS - second),
        };
        let urgent = if candidate.is_urgent() {
            vec![candidate; left as usize]
        } else {
            Vec::new()
        };
        let granted = meter.allowance(&urgent).min(left * TOKENS_PER_JOB) / TOKENS_PER_JOB;
        meter.grant(granted * TOKENS_PER_JOB, now);
        left -= granted;
        recent[second as usize % WINDOW.as_secs() as usize] = granted;
        most = most.max(recent.iter().sum());
    }
    assert_eq!(left, 0);
    let even = JOBS * WINDOW.as_secs() / u64::from(DEADLINE_SECONDS / 2);
    assert!(
        most <= 2 * even,
        "{most} jobs in one window, {even} at an even pace"
    );
}

/// A steady arrival of short jobs does not starve a long one.
#[test]
fn old_long_job_runs_before_new_short_jobs() {
    let left = Duration::from_secs(86_400);
    let long = Candidate {
        tokens: 4000,
        age: Duration::from_secs(600),
        left,
    };
    let short = Candidate {
        tokens: 20,
        age: Duration::ZERO,
        left,
    };
    assert!(long.rank() < short.rank());
    assert!(
        short.rank()
            < Candidate {
                age: Duration::ZERO,
                ..long
            }
            .rank()
    );
}

/// The forecast reserves headroom for interactive work that is expected to come.
#[test]
fn rising_interactive_work_reduces_headroom() {
    let step = WINDOW / STEPS_PER_WINDOW;
    let mut meter = Meter::open(WINDOW, 1200, Duration::ZERO);
    for index in 0..STEPS_PER_WINDOW {
        meter.use_tokens(10, step * index);
    }
    let steady = meter.headroom();
    for index in STEPS_PER_WINDOW..STEPS_PER_WINDOW + 3 {
        meter.use_tokens(100, step * index);
    }
    let unforecast = 1200 - (10 * (u64::from(STEPS_PER_WINDOW) - 3) + 300);
    assert!(steady > 1000);
    assert!(meter.headroom() < unforecast);
}
