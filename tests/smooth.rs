//! Deferrable work stays below the highest window and still meets its deadlines.

use std::time::Duration;

use persimmoncroft::coordination::smooth::{Meter, STEPS_PER_WINDOW, Waiting};
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

/// A grant without pressing jobs never raises the highest window at the moment it is made.
#[test]
fn grants_stay_below_the_mark() {
    fn property(load: Load) -> bool {
        let mut meter = Meter::open(WINDOW, 0, Duration::ZERO);
        for (second, tokens) in load.0.iter().enumerate() {
            let now = SECOND * second as u32;
            meter.use_tokens(u64::from(*tokens), now);
            let before = meter.mark();
            let grant = meter.allowance(&[]);
            meter.grant(grant, now);
            if meter.mark() > before {
                return false;
            }
        }
        true
    }
    check(property);
}

/// Without any room, jobs are paced so that all are granted before their deadlines, and never in one burst.
#[test]
fn pressing_jobs_meet_their_deadlines_at_an_even_pace() {
    const JOBS: u64 = 100;
    const TOKENS: u64 = 50;
    const TIME: u32 = 1200;
    let mut meter = Meter::open(WINDOW, 0, Duration::ZERO);
    let mut left = JOBS;
    let mut most = 0;
    let mut recent = vec![0; WINDOW.as_secs() as usize];
    for second in 0..TIME {
        let now = SECOND * second;
        meter.use_tokens(0, now);
        let waiting = Waiting {
            tokens: TOKENS,
            age: SECOND * second,
            left: SECOND * (TIME - second),
        };
        let pressing = if waiting.presses() {
            vec![waiting; left as usize]
        } else {
            Vec::new()
        };
        let granted = meter.allowance(&pressing).min(left * TOKENS) / TOKENS;
        meter.grant(granted * TOKENS, now);
        left -= granted;
        recent[second as usize % WINDOW.as_secs() as usize] = granted;
        most = most.max(recent.iter().sum());
    }
    assert_eq!(left, 0);
    let even = JOBS * WINDOW.as_secs() / u64::from(TIME / 2);
    assert!(
        most <= 2 * even,
        "{most} jobs in one window, {even} at an even pace"
    );
}

/// A long job is not passed over for ever by short ones that keep arriving.
#[test]
fn an_old_long_job_goes_before_new_short_ones() {
    let left = Duration::from_secs(86_400);
    let long = Waiting {
        tokens: 4000,
        age: Duration::from_secs(600),
        left,
    };
    let short = Waiting {
        tokens: 20,
        age: Duration::ZERO,
        left,
    };
    assert!(long.rank() < short.rank());
    assert!(
        short.rank()
            < Waiting {
                age: Duration::ZERO,
                ..long
            }
            .rank()
    );
}

/// The forecast leaves room for interactive work that is about to come.
#[test]
fn a_rise_of_interactive_work_closes_the_room() {
    let step = WINDOW / STEPS_PER_WINDOW;
    let mut meter = Meter::open(WINDOW, 1200, Duration::ZERO);
    for index in 0..STEPS_PER_WINDOW {
        meter.use_tokens(10, step * index);
    }
    let calm = meter.headroom();
    for index in STEPS_PER_WINDOW..STEPS_PER_WINDOW + 3 {
        meter.use_tokens(100, step * index);
    }
    let measured = 1200 - (10 * (u64::from(STEPS_PER_WINDOW) - 3) + 300);
    assert!(calm > 1000);
    assert!(meter.headroom() < measured);
}
