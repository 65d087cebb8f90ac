//! Differential test of rate limits: several daemons against a single strict token bucket.

use std::sync::Arc;
use std::time::Duration;

use persimmoncroft::coordination::balance::{Balance, Hold};
use persimmoncroft::coordination::bucket::{Ask, Bucket, PARTS, Rate};
use persimmoncroft::coordination::loan::Terms;
use quickcheck::{Arbitrary, Gen};

const TERMS: Terms = Terms {
    loan: Duration::from_secs(5),
    grant: Duration::from_secs(1),
    drift_permille: 10,
};

const RATE: Rate = Rate {
    tokens_per_second: 100,
    burst_tokens: 250,
};

const DAEMONS: usize = 3;
const SEED: u64 = 0x7065_7273;

#[derive(Debug, Clone)]
enum Event {
    /// Time passes, in milliseconds.
    Wait(u64),
    /// A daemon requests tokens from the home; the reply may be lost.
    Ask {
        daemon: usize,
        need: u64,
        lost: bool,
    },
    /// A daemon reserves tokens and sends a request.
    Send { daemon: usize, tokens: u64 },
    /// A daemon's oldest request ends, having used this share of its tokens in thousandths.
    End { daemon: usize, permille: u64 },
    /// The home gains or loses parts.
    Parts(u32),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let daemon = usize::arbitrary(g) % DAEMONS;
        match u8::arbitrary(g) % 12 {
            0..=3 => Self::Wait(u64::arbitrary(g) % 400),
            4..=6 => Self::Ask {
                daemon,
                need: u64::arbitrary(g) % 80,
                lost: u8::arbitrary(g) % 8 == 0,
            },
            7..=8 => Self::Send {
                daemon,
                tokens: u64::arbitrary(g) % 60,
            },
            9..=10 => Self::End {
                daemon,
                permille: u64::arbitrary(g) % 1001,
            },
            _ => Self::Parts([PARTS, PARTS / 2][usize::arbitrary(g) % 2]),
        }
    }
}

/// Requests in flight at one daemon: send time, tokens, and the home's tick at that time.
type InFlight = Vec<(Duration, u64, u64)>;

/// Spending seen by the endpoints: time and tokens.
type Spending = Vec<(Duration, u64)>;

fn run(events: &[Event]) -> (Spending, Vec<(u64, u64)>) {
    let mut now = Duration::from_secs(10);
    let mut bucket = Bucket::open(now);
    let mut parts = PARTS;
    let mut balances = [const { None::<Balance> }; DAEMONS].map(|_| Balance::default());
    let mut in_flight: [InFlight; DAEMONS] = Default::default();
    let mut spending = Spending::new();
    let mut totals = Vec::new();
    for event in events {
        bucket.refresh(RATE, parts, now);
        match *event {
            Event::Wait(millis) => now += Duration::from_millis(millis),
            Event::Ask { daemon, need, lost } => {
                let ask: Ask = balances[daemon].ask(need, need, now);
                let session: Arc<str> = daemon.to_string().into();
                let grant = bucket.ask(&session, &ask, now, &TERMS);
                if !lost {
                    balances[daemon].receive(ask.sequence, &grant, now, now, &TERMS);
                }
            }
            Event::Send { daemon, tokens } => {
                let balance = &mut balances[daemon];
                let hold: Option<Hold> = balance.take(tokens, now);
                if hold.is_some_and(|hold| balance.spend(&hold, now)) {
                    in_flight[daemon].push((now, tokens, balance.tick()));
                }
            }
            Event::End { daemon, permille } => {
                if !in_flight[daemon].is_empty() {
                    let (sent, tokens, tick) = in_flight[daemon].remove(0);
                    let used = tokens * permille / 1000;
                    balances[daemon].refund(tick, tokens - used);
                    spending.push((sent, used));
                }
            }
            Event::Parts(new) => parts = new,
        }
        let held: u64 = balances.iter().map(|balance| balance.held(now)).sum();
        totals.push((bucket.level() + held, bucket.level() + bucket.outstanding()));
    }
    for (sent, tokens, _) in in_flight.into_iter().flatten() {
        spending.push((sent, tokens));
    }
    spending.sort();
    (spending, totals)
}

/// Returns whether a single strict token bucket allows the spending.
fn fits_strict_bucket(spending: &Spending) -> bool {
    let mut level = i128::from(RATE.burst_tokens) * 1_000_000;
    let mut at = Duration::ZERO;
    spending.iter().all(|(time, tokens)| {
        let refill = (*time - at).as_micros() as i128 * i128::from(RATE.tokens_per_second);
        at = *time;
        level = (level + refill).min(i128::from(RATE.burst_tokens) * 1_000_000);
        level -= i128::from(*tokens) * 1_000_000;
        level >= 0
    })
}

#[test]
fn fleet_spends_no_more_than_one_bucket() {
    let mut generator = Gen::from_size_and_seed(400, SEED);
    let mut spent = 0;
    for _ in 0..300 {
        let events = Vec::<Event>::arbitrary(&mut generator);
        let (spending, totals) = run(&events);
        assert!(fits_strict_bucket(&spending), "{events:?}");
        assert!(totals.iter().all(|(held, _)| *held <= RATE.burst_tokens));
        spent += spending.iter().map(|(_, tokens)| tokens).sum::<u64>();
    }
    assert!(spent > 10_000, "only {spent} tokens were spent");
}

#[test]
fn refund_after_full_bucket_is_dropped() {
    let second = Duration::from_secs(1);
    let mut bucket = Bucket::open(second);
    let mut balance = Balance::default();
    let ask = |bucket: &mut Bucket, balance: &mut Balance, need, now| {
        bucket.refresh(RATE, PARTS, now);
        let ask = balance.ask(need, need, now);
        let grant = bucket.ask(&"d".into(), &ask, now, &TERMS);
        balance.receive(ask.sequence, &grant, now, now, &TERMS);
        grant.tokens
    };
    ask(&mut bucket, &mut balance, 0, second);
    assert_eq!(ask(&mut bucket, &mut balance, 100, 10 * second), 100);
    let hold = balance.take(100, 10 * second).unwrap();
    assert!(balance.spend(&hold, 10 * second));
    let tick = balance.tick();
    ask(&mut bucket, &mut balance, 0, 20 * second);
    assert_eq!(ask(&mut bucket, &mut balance, 250, 20 * second), 250);
    assert!(balance.take(250, 20 * second).is_some());
    balance.refund(tick, 100);
    ask(&mut bucket, &mut balance, 0, 20 * second);
    assert_eq!(bucket.level(), 0);
}
