//! Short leases of consent by which at most one daemon of a zone acts as home for a duty.
//!
//! Every daemon of a zone lends its consent for a duty to one borrower at a time. A daemon becomes home once all
//! members that it knows have consented, and stays home while at least one other member still consents. Among three
//! or more members, one that does not respond is ignored. Of two members, the home continues alone, because the other
//! cannot become home without its consent. Two daemons therefore never act as home at once, whatever each assumes
//! about the other. A borrower counts a lease from when it asked, a lender from when it answered.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::state::record::Name;

/// Duration of a consent lease.
pub const LEASE: Duration = Duration::from_millis(3000);

/// Part of the lease that a borrower leaves unused, to allow for clock drift.
pub const MARGIN: Duration = Duration::from_millis(100);

/// Time after a home last acted until all permits that only it knew of have expired.
pub const DRAIN_TIME: Duration = Duration::from_millis(5000);

/// Time within which all lenders learn that a former home handed over.
const HANDOVER_PROPAGATION: Duration = Duration::from_millis(1500);

/// A former home that may have granted permits unknown to its successor.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Predecessor {
    /// The former home.
    pub home: SocketAddr,
    /// When the last of its permits has expired.
    pub drained_at: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Loan {
    borrower: SocketAddr,
    until: Duration,
    predecessors: Vec<Predecessor>,
    blocked: Option<(SocketAddr, Duration)>,
}

/// The lending side: at most one borrower per duty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Lender {
    loans: BTreeMap<Name, Loan>,
}

impl Lender {
    /// Lends consent for a duty, or renews it, unless another borrower holds it.
    ///
    /// Returns the former homes whose permits may be unknown to the borrower.
    ///
    /// ```
    /// use persimmoncroft::coordination::consent::{LEASE, Lender};
    /// use std::time::Duration;
    /// let (first, second) = ("127.0.0.1:1".parse().unwrap(), "127.0.0.1:2".parse().unwrap());
    /// let mut lender = Lender::default();
    /// assert!(lender.ask(&"endpoint/e1".into(), first, Duration::ZERO).is_some());
    /// assert!(lender.ask(&"endpoint/e1".into(), second, Duration::ZERO).is_none());
    /// assert!(lender.ask(&"endpoint/e1".into(), second, LEASE).is_some());
    /// ```
    pub fn ask(
        &mut self,
        duty: &Name,
        borrower: SocketAddr,
        now: Duration,
    ) -> Option<Vec<Predecessor>> {
        let loan = self.loans.entry(duty.clone()).or_insert(Loan {
            borrower,
            until: now,
            predecessors: Vec::new(),
            blocked: None,
        });
        let blocked = |(former, until)| former == borrower && now < until;
        if loan.blocked.is_some_and(blocked) {
            return None;
        }
        if loan.borrower != borrower {
            if now < loan.until {
                return None;
            }
            loan.predecessors.push(Predecessor {
                home: loan.borrower,
                drained_at: loan.until + DRAIN_TIME,
            });
            loan.borrower = borrower;
        }
        loan.until = now + LEASE;
        loan.predecessors
            .retain(|predecessor| predecessor.drained_at > now);
        Some(loan.predecessors.clone())
    }

    /// Records that the borrower knows of all outstanding permits.
    pub fn complete(&mut self, duty: &Name, borrower: SocketAddr) {
        if let Some(loan) = self.loans.get_mut(duty)
            && loan.borrower == borrower
        {
            loan.predecessors.clear();
        }
    }

    /// Ends a lease early because the borrower stopped; its requests that are still in transit are refused.
    pub fn release(&mut self, duty: &Name, borrower: SocketAddr, now: Duration) {
        if let Some(loan) = self.loans.get_mut(duty)
            && loan.borrower == borrower
        {
            loan.until = loan.until.min(now);
            loan.blocked = Some((borrower, now + HANDOVER_PROPAGATION));
        }
    }
}

/// Members of a zone, as known to one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Zone {
    /// The daemon that evaluates the zone.
    pub me: SocketAddr,
    /// All members not known to be gone, itself included, and whether each is leaving.
    pub members: BTreeMap<SocketAddr, bool>,
    /// Whether the daemon has long heard from neither the platform nor another member.
    pub isolated: bool,
}

/// A daemon's standing as home for a duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Standing {
    /// Not home.
    None,
    /// Home, but may only learn of existing permits and grant none before the given time.
    Learning(Duration),
    /// Home, and may grant permits.
    Ready,
}

/// The borrowing side of one duty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Authority {
    consent_until: BTreeMap<SocketAddr, Duration>,
    answered_at: BTreeMap<SocketAddr, Duration>,
    predecessors: BTreeMap<SocketAddr, Duration>,
    handed_over_at: Option<Duration>,
    stopped_at: Option<Duration>,
    is_home: bool,
}

impl Authority {
    /// Handles a lender's answer to a request sent at `asked`.
    pub fn answer(
        &mut self,
        lender: SocketAddr,
        consent: Option<Vec<Predecessor>>,
        asked: Duration,
        now: Duration,
    ) {
        self.answered_at.insert(lender, now);
        if self
            .stopped_at
            .is_some_and(|stopped_at| asked <= stopped_at)
        {
            return;
        }
        let Some(predecessors) = consent else {
            self.consent_until.remove(&lender);
            return;
        };
        let until = asked + LEASE - MARGIN;
        let current = self.consent_until.entry(lender).or_default();
        *current = until.max(*current);
        for Predecessor { home, drained_at } in predecessors {
            // A former home that handed over knew of everything before it.
            let handed_over_at = self.handed_over_at;
            if handed_over_at.is_none_or(|at| at + DRAIN_TIME + HANDOVER_PROPAGATION < drained_at) {
                let current = self.predecessors.entry(home).or_default();
                *current = drained_at.max(*current);
            }
        }
    }

    /// Records that a former home stopped and has listed all permits it knew.
    pub fn take_over(&mut self, former: SocketAddr, drained_at: Duration, now: Duration) {
        self.handed_over_at = Some(now);
        self.predecessors.clear();
        self.predecessors.insert(former, drained_at);
    }

    /// Records that a request sent at `asked` got no answer.
    pub fn miss(&mut self, lender: SocketAddr, asked: Duration) {
        self.answered_at.entry(lender).or_insert(asked);
    }

    /// Evaluates the standing among the zone's members, this daemon included.
    ///
    /// ```
    /// use persimmoncroft::coordination::consent::{Authority, Standing, Zone};
    /// use std::time::Duration;
    /// let me = "127.0.0.1:1".parse().unwrap();
    /// let zone = Zone { me, members: [(me, false)].into(), isolated: false };
    /// let mut authority = Authority::default();
    /// assert_eq!(authority.check(&zone, Duration::ZERO), Standing::None);
    /// authority.answer(me, Some(vec![]), Duration::ZERO, Duration::ZERO);
    /// assert_eq!(authority.check(&zone, Duration::ZERO), Standing::Ready);
    /// ```
    pub fn check(&mut self, zone: &Zone, now: Duration) -> Standing {
        self.is_home = if self.is_home {
            self.can_remain_home(zone, now)
        } else {
            self.can_become_home(zone, now)
        };
        if !self.is_home {
            return Standing::None;
        }
        let drained_at = self.drained_at();
        if drained_at > now {
            return Standing::Learning(drained_at);
        }
        Standing::Ready
    }

    /// Returns when all permits of former homes that are unknown here have expired.
    pub fn drained_at(&self) -> Duration {
        self.predecessors
            .values()
            .max()
            .copied()
            .unwrap_or_default()
    }

    /// Gives up the duty for a successor. Answers to earlier requests no longer count. If this daemon becomes home
    /// again without hearing from a successor, it treats its own former permits as unknown.
    pub fn stop(&mut self, me: SocketAddr, now: Duration) {
        self.consent_until.clear();
        self.handed_over_at = None;
        self.is_home = false;
        self.stopped_at = Some(now);
        self.predecessors.insert(me, now + DRAIN_TIME);
    }

    fn has_consent(&self, member: &SocketAddr, now: Duration) -> bool {
        self.consent_until
            .get(member)
            .is_some_and(|until| now < *until)
    }

    fn can_become_home(&self, zone: &Zone, now: Duration) -> bool {
        let missing: Vec<SocketAddr> = zone
            .members
            .iter()
            .filter(|(member, _)| !self.has_consent(member, now))
            .filter(|(member, leaving)| !(**leaving && self.is_unresponsive(member, now)))
            .map(|(member, _)| *member)
            .collect();
        match missing[..] {
            [] => self.has_consent(&zone.me, now),
            [absent] => zone.members.len() >= 3 && self.is_unresponsive(&absent, now),
            _ => false,
        }
    }

    fn can_remain_home(&self, zone: &Zone, now: Duration) -> bool {
        if !self.has_consent(&zone.me, now) {
            return false;
        }
        let members = zone.members.keys();
        let lenders = members
            .filter(|member| self.has_consent(member, now))
            .count();
        let leaving = zone.members.get(&zone.me).copied().unwrap_or_default();
        match zone.members.len() {
            0 | 1 => true,
            2 if !leaving && !zone.isolated => true,
            _ => lenders >= 2,
        }
    }

    fn is_unresponsive(&self, member: &SocketAddr, now: Duration) -> bool {
        let last_answer = self.answered_at.get(member);
        last_answer.is_some_and(|at| *at + LEASE <= now)
    }
}
