//! Loans of rate limit shares: each seat holder lends its share of a group of workspaces to the group's home.
//!
//! The borrower counts a loan from when it asked and the lender from when it answered, so the borrower always stops
//! first. A lender lends a group to one borrower at a time, so it is harmless if two daemons both consider themselves
//! the home.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Number of workspace groups.
pub const GROUPS: u32 = 32;

/// Returns the group of a workspace.
///
/// ```
/// use persimmoncroft::coordination::loan::{GROUPS, group_of};
/// assert!(group_of("lab") < GROUPS);
/// ```
pub fn group_of(workspace: &str) -> u32 {
    (xxh3_64(workspace.as_bytes()) % u64::from(GROUPS)) as u32
}

/// Durations observed by lenders, borrowers and daemons with grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Duration of a loan.
    pub loan: Duration,
    /// Duration of a grant.
    pub grant: Duration,
    /// Largest error of a clock's rate, in thousandths.
    pub drift_permille: u32,
}

impl Terms {
    /// Returns the time shortened by clock drift: how long a borrower may use something lent, by its own clock.
    pub fn shortened(&self, time: Duration) -> Duration {
        time - time * self.drift_permille / 1000
    }

    /// Returns the time lengthened by clock drift: how long something lent may be in use, by the lender's clock.
    pub fn lengthened(&self, time: Duration) -> Duration {
        time + time * self.drift_permille / 1000
    }

    /// Returns until when a borrower may make grants from a loan requested at `asked`.
    ///
    /// All those grants have expired when the lender reclaims the share.
    pub fn borrower_end(&self, asked: Duration) -> Duration {
        let grants = self.lengthened(self.grant);
        asked + self.shortened(self.loan).saturating_sub(grants)
    }

    /// Returns until when a lender must not use a share that it lent at `answered`.
    pub fn lender_end(&self, answered: Duration) -> Duration {
        answered + self.lengthened(self.loan)
    }

    /// Returns the time after which everything that a failed daemon lent or granted has expired.
    pub fn quarantine(&self) -> Duration {
        self.lengthened(self.loan) + self.lengthened(self.grant)
    }
}

/// A lent share of one group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Lent {
    borrower: Arc<str>,
    sequence: u64,
    expiries: Vec<(u32, Duration)>,
}

/// The loans that one daemon has given.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::loan::{Lender, Terms};
/// let second = Duration::from_secs(1);
/// let terms = Terms { loan: 5 * second, grant: second, drift_permille: 10 };
/// let mut lender = Lender::default();
/// assert_eq!(lender.lend(3, &"b".into(), 1, 100, second, &terms), 100);
/// assert_eq!(lender.lend(3, &"c".into(), 1, 100, second, &terms), 0);
/// assert_eq!(lender.lent_parts(3, 2 * second), 100);
/// assert_eq!(lender.lent_parts(3, 7 * second), 0);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Lender {
    lent: BTreeMap<u32, Lent>,
}

impl Lender {
    /// Lends parts of a group, or renews the loan. Returns the number of parts lent.
    ///
    /// Lends nothing while another borrower holds the group, or if the request is out of date.
    pub fn lend(
        &mut self,
        group: u32,
        borrower: &Arc<str>,
        sequence: u64,
        parts: u32,
        now: Duration,
        terms: &Terms,
    ) -> u32 {
        self.expire(now);
        if parts == 0 {
            return 0;
        }
        let lent = self.lent.entry(group).or_insert_with(|| Lent {
            borrower: borrower.clone(),
            sequence: 0,
            expiries: Vec::new(),
        });
        if lent.borrower != *borrower || lent.sequence >= sequence {
            return 0;
        }
        lent.sequence = sequence;
        lent.expiries.retain(|(earlier, _)| *earlier > parts);
        lent.expiries.push((parts, terms.lender_end(now)));
        parts
    }

    /// Returns the parts of a group that are on loan.
    pub fn lent_parts(&self, group: u32, now: Duration) -> u32 {
        let Some(lent) = self.lent.get(&group) else {
            return 0;
        };
        let running = lent.expiries.iter().filter(|(_, until)| now < *until);
        running.map(|(parts, _)| *parts).max().unwrap_or(0)
    }

    /// Takes back a group whose borrower has stopped using everything it requested up to a sequence number.
    pub fn take_back(&mut self, group: u32, borrower: &str, sequence: u64) {
        let ended = |lent: &Lent| &*lent.borrower == borrower && lent.sequence <= sequence;
        if self.lent.get(&group).is_some_and(ended) {
            self.lent.remove(&group);
        }
    }

    /// Cancels a loan that was never announced to the borrower.
    pub fn cancel(&mut self, group: u32) {
        self.lent.remove(&group);
    }

    /// Removes expired loans.
    pub fn expire(&mut self, now: Duration) {
        self.lent.retain(|_, lent| {
            lent.expiries.retain(|(_, until)| now < *until);
            !lent.expiries.is_empty()
        });
    }
}

/// A borrowed share of one group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Loan {
    parts: u32,
    sequence: u64,
    until: Duration,
}

/// The loans that one daemon has received.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::loan::{Borrower, Terms};
/// let second = Duration::from_secs(1);
/// let terms = Terms { loan: 5 * second, grant: second, drift_permille: 0 };
/// let mut borrower = Borrower::default();
/// borrower.receive(3, &"a".into(), 1, 100, second, &terms);
/// assert_eq!(borrower.parts(3, 4 * second), 100);
/// assert_eq!(borrower.parts(3, 5 * second), 0);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Borrower {
    loans: BTreeMap<(u32, Arc<str>), Loan>,
    returned: BTreeMap<u32, u64>,
}

impl Borrower {
    /// Handles a lender's answer to a request sent at `asked`.
    pub fn receive(
        &mut self,
        group: u32,
        lender: &Arc<str>,
        sequence: u64,
        parts: u32,
        asked: Duration,
        terms: &Terms,
    ) {
        let returned = self.returned.get(&group).copied().unwrap_or(0);
        let key = (group, lender.clone());
        let latest = self.loans.get(&key).map_or(0, |loan| loan.sequence);
        if sequence <= returned || sequence <= latest || parts == 0 {
            return;
        }
        let loan = Loan {
            parts,
            sequence,
            until: terms.borrower_end(asked),
        };
        self.loans.insert(key, loan);
    }

    /// Returns the parts of a group that are borrowed.
    pub fn parts(&self, group: u32, now: Duration) -> u32 {
        let first = (group, Arc::from(""));
        let group_loans = self
            .loans
            .range(first..)
            .take_while(|(key, _)| key.0 == group);
        let running = group_loans.filter(|(_, loan)| now < loan.until);
        running.map(|(_, loan)| loan.parts).sum()
    }

    /// Stops using everything of a group that was requested up to a sequence number.
    pub fn give_back(&mut self, group: u32, sequence: u64) {
        self.loans.retain(|key, _| key.0 != group);
        let returned = self.returned.entry(group).or_default();
        *returned = sequence.max(*returned);
    }

    /// Removes expired loans.
    pub fn expire(&mut self, now: Duration) {
        self.loans.retain(|_, loan| now < loan.until);
    }

    /// Returns the number of active loans.
    pub fn count(&self, now: Duration) -> usize {
        let loans = self.loans.values();
        loans.filter(|loan| now < loan.until).count()
    }
}
