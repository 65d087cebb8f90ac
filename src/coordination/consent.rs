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
pub const CLEARANCE: Duration = Duration::from_millis(5000);

/// Time within which all lenders learn that a former home handed over.
const SETTLING: Duration = Duration::from_millis(1500);

/// A former home that may have granted permits unknown to its successor.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Earlier {
    /// The former home.
    pub home: SocketAddr,
    /// When the last of its permits has expired.
    pub clear_at: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Loan {
    borrower: SocketAddr,
    until: Duration,
    earlier: Vec<Earlier>,
    barred: Option<(SocketAddr, Duration)>,
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
    ) -> Option<Vec<Earlier>> {
        let loan = self.loans.entry(duty.clone()).or_insert(Loan {
            borrower,
            until: now,
            earlier: Vec::new(),
            barred: None,
        });
        let barred = |(former, until)| former == borrower && now < until;
        if loan.barred.is_some_and(barred) {
            return None;
        }
        if loan.borrower != borrower {
            if now < loan.until {
                return None;
            }
            loan.earlier.push(Earlier {
                home: loan.borrower,
                clear_at: loan.until + CLEARANCE,
            });
            loan.borrower = borrower;
        }
        loan.until = now + LEASE;
        loan.earlier.retain(|earlier| earlier.clear_at > now);
        Some(loan.earlier.clone())
    }

    /// Records that the borrower knows of all outstanding permits.
    pub fn complete(&mut self, duty: &Name, borrower: SocketAddr) {
        if let Some(loan) = self.loans.get_mut(duty)
            && loan.borrower == borrower
        {
            loan.earlier.clear();
        }
    }

    /// Ends a lease early because the borrower stopped; its requests that are still in transit are refused.
    pub fn release(&mut self, duty: &Name, borrower: SocketAddr, now: Duration) {
        if let Some(loan) = self.loans.get_mut(duty)
            && loan.borrower == borrower
        {
            loan.until = loan.until.min(now);
            loan.barred = Some((borrower, now + SETTLING));
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
    consents: BTreeMap<SocketAddr, Duration>,
    answered: BTreeMap<SocketAddr, Duration>,
    earlier: BTreeMap<SocketAddr, Duration>,
    handed: Option<Duration>,
    stopped: Option<Duration>,
    held: bool,
}

impl Authority {
    /// Handles a lender's answer to a request sent at `asked`.
    pub fn answer(
        &mut self,
        lender: SocketAddr,
        consent: Option<Vec<Earlier>>,
        asked: Duration,
        now: Duration,
    ) {
        self.answered.insert(lender, now);
        if self.stopped.is_some_and(|stopped| asked <= stopped) {
            return;
        }
        let Some(earlier) = consent else {
            self.consents.remove(&lender);
            return;
        };
        let until = asked + LEASE - MARGIN;
        let known = self.consents.entry(lender).or_default();
        *known = until.max(*known);
        for Earlier { home, clear_at } in earlier {
            // A former home that handed over knew of everything before it.
            let handed = self.handed;
            if handed.is_none_or(|at| at + CLEARANCE + SETTLING < clear_at) {
                let known = self.earlier.entry(home).or_default();
                *known = clear_at.max(*known);
            }
        }
    }

    /// Records that a former home stopped and has listed all permits it knew.
    pub fn take_over(&mut self, former: SocketAddr, clear_at: Duration, now: Duration) {
        self.handed = Some(now);
        self.earlier.clear();
        self.earlier.insert(former, clear_at);
    }

    /// Records that a request sent at `asked` got no answer.
    pub fn miss(&mut self, lender: SocketAddr, asked: Duration) {
        self.answered.entry(lender).or_insert(asked);
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
        self.held = if self.held {
            self.keeps(zone, now)
        } else {
            self.gains(zone, now)
        };
        if !self.held {
            return Standing::None;
        }
        let clear_at = self.clear_at();
        if clear_at > now {
            return Standing::Learning(clear_at);
        }
        Standing::Ready
    }

    /// Returns when all permits of former homes that are unknown here have expired.
    pub fn clear_at(&self) -> Duration {
        self.earlier.values().max().copied().unwrap_or_default()
    }

    /// Gives up the duty for a successor. Answers to earlier requests no longer count. If this daemon becomes home
    /// again without hearing from a successor, it treats its own former permits as unknown.
    pub fn stop(&mut self, me: SocketAddr, now: Duration) {
        self.consents.clear();
        self.handed = None;
        self.held = false;
        self.stopped = Some(now);
        self.earlier.insert(me, now + CLEARANCE);
    }

    fn consents(&self, member: &SocketAddr, now: Duration) -> bool {
        self.consents.get(member).is_some_and(|until| now < *until)
    }

    fn gains(&self, zone: &Zone, now: Duration) -> bool {
        let missing: Vec<SocketAddr> = zone
            .members
            .iter()
            .filter(|(member, _)| !self.consents(member, now))
            .filter(|(member, leaving)| !(**leaving && self.silent(member, now)))
            .map(|(member, _)| *member)
            .collect();
        match missing[..] {
            [] => self.consents(&zone.me, now),
            [only] => zone.members.len() >= 3 && self.silent(&only, now),
            _ => false,
        }
    }

    fn keeps(&self, zone: &Zone, now: Duration) -> bool {
        if !self.consents(&zone.me, now) {
            return false;
        }
        let members = zone.members.keys();
        let lenders = members.filter(|member| self.consents(member, now)).count();
        let leaving = zone.members.get(&zone.me).copied().unwrap_or_default();
        match zone.members.len() {
            0 | 1 => true,
            2 if !leaving && !zone.isolated => true,
            _ => lenders >= 2,
        }
    }

    fn silent(&self, member: &SocketAddr, now: Duration) -> bool {
        let heard = self.answered.get(member);
        heard.is_some_and(|at| *at + LEASE <= now)
    }
}
