//! A daemon's quota of the fleet-wide rate limits: its seat, its loans and the token buckets it is home of.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64;

use super::Node;
use crate::coordination::bucket::{Bucket, PARTS, Rate};
use crate::coordination::holder::{Holder, Identity};
use crate::coordination::loan::{Borrower, GROUPS, Lender, Terms, group_of};
use crate::coordination::seat::Timing;
use crate::protocol::peer::{Asks, Borrow, Grants, Heartbeat, Loan};
use crate::settings::{Policy, Settings};
use crate::state::record::{Name, Workspace};

/// Lifetime of a grant.
const GRANT_LIFETIME: Duration = Duration::from_secs(1);

/// Minimum lifetime of a loan, to which the time for some heartbeats to every daemon is added.
const MIN_LOAN_LIFETIME: Duration = Duration::from_secs(2);

/// Number of times that a lender can be asked during the lifetime of a loan.
const ASKS_PER_LOAN: u32 = 4;

/// Maximum clock drift, in thousandths.
const MAX_CLOCK_DRIFT_PERMILLE: u32 = 10;

/// Time during which the new home of a group asks for loans more often.
const LOAN_COLLECTION_TIME: Duration = Duration::from_secs(3);

const SHARDS: usize = 16;

/// Buckets of one shard by workspace.
type Shard = Mutex<HashMap<Name, Bucket>>;

/// A daemon's quota of the fleet-wide rate limits.
#[derive(Debug)]
pub struct Quota {
    /// The daemon's seat.
    pub seat: Mutex<Holder>,
    lender: Mutex<Lender>,
    borrower: Mutex<Borrower>,
    buckets: [Shard; SHARDS],
    /// Bit mask of the groups that this daemon is home of.
    home_groups: AtomicU32,
    sequence: AtomicU64,
    loan_ms: AtomicU64,
    returned: Mutex<(u32, u64)>,
}

impl Quota {
    /// Creates an empty quota.
    pub fn open(identity: Identity) -> Self {
        Self {
            seat: Mutex::new(Holder::open(identity, Duration::ZERO)),
            lender: Mutex::default(),
            borrower: Mutex::default(),
            buckets: std::array::from_fn(|_| Mutex::default()),
            home_groups: AtomicU32::new(0),
            sequence: AtomicU64::new(0),
            loan_ms: AtomicU64::new(MIN_LOAN_LIFETIME.as_millis() as u64),
            returned: Mutex::default(),
        }
    }

    /// Returns the current lifetimes of loans and grants.
    pub fn terms(&self) -> Terms {
        terms(self.loan_ms.load(Ordering::Relaxed))
    }

    /// Returns the durations that determine whether a seat is usable.
    pub fn timing(&self, settings: &Settings) -> Timing {
        Timing {
            lease: settings.seat_lease,
            isolation: settings.isolation_timeout,
            terms: self.terms(),
        }
    }

    /// Returns the parts of a group, out of [`PARTS`], from which this daemon makes grants.
    pub fn parts(&self, node: &Node, group: u32, now: Duration) -> u32 {
        if node.settings.policy == Policy::Naive {
            return PARTS / node.membership.listed().max(1);
        }
        if self.home_groups.load(Ordering::SeqCst) & (1 << group) == 0 {
            return 0;
        }
        let own_parts = self.own_parts(node, now);
        let lent = self.lender.lock().lent_parts(group, now);
        own_parts.saturating_sub(lent) + self.borrower.lock().parts(group, now)
    }

    fn own_parts(&self, node: &Node, now: Duration) -> u32 {
        let timing = self.timing(&node.settings);
        self.seat.lock().usable(now, &timing)
    }

    /// Returns the number of live loans to this daemon.
    pub fn loans(&self, now: Duration) -> usize {
        self.borrower.lock().count(now)
    }

    /// Returns the largest number of the daemon's own parts that are lent, over all groups.
    pub fn lent(&self, now: Duration) -> u32 {
        let lender = self.lender.lock();
        (0..GROUPS)
            .map(|group| lender.lent_parts(group, now))
            .max()
            .unwrap_or(0)
    }

    /// Returns the tokens of a group that were granted but not yet spent.
    fn outstanding(&self, group: u32) -> u64 {
        let shards = self.buckets.iter();
        shards
            .map(|shard| {
                let shard = shard.lock();
                let buckets = shard.iter().filter(|(name, _)| group_of(name) == group);
                buckets.map(|(_, bucket)| bucket.outstanding()).sum::<u64>()
            })
            .sum()
    }

    fn shard(&self, workspace: &str) -> &Shard {
        &self.buckets[xxh3_64(workspace.as_bytes()) as usize / 64 % SHARDS]
    }
}

/// Returns the terms for a loan lifetime in milliseconds.
fn terms(loan_ms: u64) -> Terms {
    Terms {
        loan: Duration::from_millis(loan_ms),
        grant: GRANT_LIFETIME,
        drift_permille: MAX_CLOCK_DRIFT_PERMILLE,
    }
}

fn rate_of(workspace: &Workspace) -> Rate {
    Rate {
        tokens_per_second: workspace.rate_tokens_per_second,
        burst_tokens: workspace.burst_tokens,
    }
}

/// Refills all buckets and updates which groups this daemon is home of.
pub fn refresh(node: &Node) {
    let quota = &node.quota;
    let cycle = node.membership.cycle(node);
    let loan = MIN_LOAN_LIFETIME + cycle * ASKS_PER_LOAN;
    quota
        .loan_ms
        .store(loan.as_millis() as u64, Ordering::Relaxed);
    let home = home_groups(node);
    let before = quota.home_groups.swap(home, Ordering::SeqCst);
    if home & !before != 0 {
        node.membership.speed_up(node.now() + LOAN_COLLECTION_TIME);
    }
    let now = node.now();
    quota.lender.lock().expire(now);
    quota.borrower.lock().expire(now);
    for workspace in node.config.load().workspaces.values() {
        let mut shard = quota.shard(&workspace.name).lock();
        let bucket = shard
            .entry(workspace.name.clone())
            .or_insert_with(|| Bucket::open(now));
        let parts = quota.parts(node, group_of(&workspace.name), now);
        bucket.refresh(rate_of(workspace), parts, now);
    }
    return_loans(node, now);
}

/// Bit mask of the groups that this daemon is home of.
fn home_groups(node: &Node) -> u32 {
    let is_home = |group: &u32| {
        let home = node.membership.home(&duty_name(*group), None);
        home.is_some_and(|home| home.address == node.peer_address)
    };
    (0..GROUPS)
        .filter(is_home)
        .fold(0, |mask, group| mask | 1 << group)
}

/// Returns the name of a group's home duty, by which its daemon is chosen.
pub fn duty_name(group: u32) -> String {
    format!("rate/{group}")
}

/// Returns the loans of groups that this daemon is no longer home of, once all grants made from them have ended.
fn return_loans(node: &Node, now: Duration) {
    let quota = &node.quota;
    let home = quota.home_groups.load(Ordering::SeqCst);
    let mut returned = quota.returned.lock();
    for group in 0..GROUPS {
        let bit = 1 << group;
        if home & bit != 0 {
            returned.0 &= !bit;
            continue;
        }
        let borrowed = quota.borrower.lock().parts(group, now) > 0;
        if borrowed && quota.outstanding(group) == 0 {
            let sequence = quota.sequence.load(Ordering::SeqCst);
            quota.borrower.lock().give_back(group, sequence);
            *returned = (returned.0 | bit, sequence);
            node.membership.speed_up(now);
            spdlog::info!("limit: returned loans group={group}");
        }
    }
}

/// Builds the loan request that a heartbeat carries.
pub fn loan_request(node: &Node) -> Option<Borrow> {
    if node.settings.policy == Policy::Naive {
        return None;
    }
    let quota = &node.quota;
    let (returned, returned_sequence) = *quota.returned.lock();
    Some(Borrow {
        sequence: quota.sequence.fetch_add(1, Ordering::SeqCst) + 1,
        groups: quota.home_groups.load(Ordering::SeqCst),
        loan_ms: quota.loan_ms.load(Ordering::Relaxed),
        returned,
        returned_sequence,
    })
}

/// Lends what a peer's heartbeat requests, for the groups whose home is the peer in this daemon's view, too.
pub fn lend(node: &Node, from: &Heartbeat) -> Option<Loan> {
    let borrow = from.borrow?;
    let quota = &node.quota;
    let now = node.now();
    for group in (0..GROUPS).filter(|group| borrow.returned & (1 << group) != 0) {
        let mut lender = quota.lender.lock();
        lender.take_back(group, &from.session, borrow.returned_sequence);
    }
    let terms = terms(borrow.loan_ms);
    let longest = quota.seat.lock().longest_loan();
    if terms.loan > longest || node.settings.policy == Policy::Naive {
        return None;
    }
    let parts = quota.own_parts(node, now);
    let wanted = (0..GROUPS).filter(|group| borrow.groups & (1 << group) != 0);
    let mut groups = 0;
    for group in wanted {
        let home = node.membership.home(&duty_name(group), None);
        let peer_is_home = home.is_some_and(|home| home.address == from.address);
        let not_home = quota.home_groups.load(Ordering::SeqCst) & (1 << group) == 0;
        if !peer_is_home || !not_home || quota.outstanding(group) > 0 {
            continue;
        }
        let mut lender = quota.lender.lock();
        let lent = lender.lend(group, &from.session, borrow.sequence, parts, now, &terms);
        if lent > 0 {
            groups |= 1 << group;
        }
    }
    (groups != 0).then_some(Loan {
        sequence: borrow.sequence,
        groups,
        parts,
    })
}

/// Records the loan in a peer's answer to a request that was sent at `asked_at`.
pub fn receive_loan(node: &Node, from: &Heartbeat, borrow: &Borrow, asked_at: Duration) {
    let Some(loan) = from.loan.filter(|loan| loan.sequence == borrow.sequence) else {
        return;
    };
    let terms = terms(borrow.loan_ms);
    let mut borrower = node.quota.borrower.lock();
    let lent = (0..GROUPS).filter(|group| loan.groups & borrow.groups & (1 << group) != 0);
    for group in lent {
        borrower.receive(
            group,
            &from.session,
            loan.sequence,
            loan.parts,
            asked_at,
            &terms,
        );
    }
}

/// Answers a daemon's token requests.
pub fn grant(node: &Node, asks: &Asks) -> Grants {
    let config = node.config.load();
    let terms = node.quota.terms();
    let now = node.now();
    let answer = |(name, ask): &(Name, _)| {
        let Some(workspace) = config.workspaces.get(name) else {
            return Default::default();
        };
        let mut shard = node.quota.shard(name).lock();
        let bucket = shard
            .entry(name.clone())
            .or_insert_with(|| Bucket::open(now));
        let parts = node.quota.parts(node, group_of(name), now);
        bucket.refresh(rate_of(workspace), parts, now);
        bucket.ask(&asks.session, ask, now, &terms)
    };
    Grants {
        session: node.session.clone(),
        grants: asks.asks.iter().map(answer).collect(),
    }
}

/// Answers a peer's token requests; `None` if they do not arrive before the daemon stops.
pub async fn answer(node: Arc<Node>, asks: Asks) -> Option<Grants> {
    let is_heard = node.hears(asks.address).await;
    is_heard.then(|| grant(&node, &asks))
}
