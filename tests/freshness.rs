//! How old a daemon's copy of a table is, and when that is reported.

use std::time::Duration;

use persimmoncroft::coordination::freshness::Freshness;

const MILLI: Duration = Duration::from_millis(1);

/// Guards against a copy that counts as current because nothing has been heard.
#[test]
fn age_grows_until_the_next_proof() {
    let mut freshness = Freshness::default();
    freshness.prove(MILLI * 1000);
    // A proof that arrives late says nothing about the time since.
    freshness.prove(MILLI * 400);
    assert_eq!(freshness.age(MILLI * 2500), Some(MILLI * 1500));
    freshness.prove(MILLI * 2400);
    assert_eq!(freshness.age(MILLI * 2500), Some(MILLI * 100));
    // A follower may be told of a proof that is ahead of its clock.
    freshness.prove(MILLI * 2600);
    assert_eq!(freshness.age(MILLI * 2500), Some(Duration::ZERO));
}

#[test]
fn copy_that_is_too_old_is_reported_once_and_so_is_its_recovery() {
    let mut freshness = Freshness::default();
    let max_age = MILLI * 2000;
    assert_eq!(freshness.check(max_age, MILLI * 9000), None);
    freshness.prove(MILLI * 10_000);
    assert_eq!(freshness.check(max_age, MILLI * 12_000), None);
    assert_eq!(freshness.check(max_age, MILLI * 12_001), Some(true));
    assert_eq!(freshness.check(max_age, MILLI * 13_000), None);
    freshness.prove(MILLI * 12_500);
    assert_eq!(freshness.check(max_age, MILLI * 13_000), Some(false));
}
