//! Admission control of one endpoint at its home, the daemon that grants the endpoint's permits.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::consent::{Authority, Standing};
use super::permit::{Id, Ledger};
use super::queue::{Entry, Queue};
use super::ramp::{Bounds, Outcome, Ramp};

/// Maximum number of queued requests per endpoint.
pub const QUEUE_CAPACITY: usize = 512;

/// Time after which a queued request is dropped if its holder no longer polls for it.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(3500);

/// Pause in granting permits after a refused connection.
const CONNECT_FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Pause after repeated broken connections, long enough for a load report to show a restart.
const BROKEN_CONNECTION_PAUSE: Duration = Duration::from_millis(250);

/// Shortest delay given to a refused client before it retries.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

const HOLD_AVERAGE_SAMPLES: u64 = 8;

/// Why a permit was not granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The request could not start before its deadline.
    Deadline,
    /// The queue is full of requests with higher precedence.
    Full,
    /// The endpoint accepts no new work.
    Closed,
    /// The holder cancelled the request.
    Returned,
}

/// Decision on a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The request may be sent.
    Granted,
    /// The request is queued, with its estimated waiting time.
    Wait(Duration),
    /// The request is refused; the client should retry after this delay.
    Refused(Reason, Duration),
    /// This daemon is not the home of the endpoint.
    NotHome,
}

/// Inputs to the gate's decisions that it does not keep itself.
#[derive(Debug, Clone, Copy)]
pub struct Context {
    /// Concurrency limits from the endpoint's record.
    pub bounds: Bounds,
    /// This daemon's standing as home of the endpoint.
    pub standing: Standing,
    /// Whether this daemon should be the home, given the known members.
    pub preferred: bool,
    /// Whether the endpoint accepts new work.
    pub open: bool,
}

/// Summary of a gate for route choice; may be out of date at its reader.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Digest {
    /// Maximum concurrent requests.
    pub limit: u32,
    /// Requests that hold a permit.
    pub used: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Average time for which a request holds its permit, in milliseconds.
    pub hold_millis: u32,
}

/// Admission state of one endpoint at its home.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Gate {
    /// Outstanding permits.
    pub ledger: Ledger,
    /// Queued requests.
    pub queue: Queue<Id>,
    /// Concurrency limit.
    pub ramp: Ramp,
    /// Authority to act as home.
    pub authority: Authority,
    granted_at: BTreeMap<Id, Duration>,
    polled_at: BTreeMap<Id, Duration>,
    average_hold_millis: u64,
    paused_until: Duration,
}

impl Gate {
    /// Creates a gate with the cold limit.
    ///
    /// ```
    /// use persimmoncroft::coordination::gate::Gate;
    /// use persimmoncroft::coordination::ramp::Bounds;
    /// let bounds = Bounds { slots: 8, cold: 2, ramp: std::time::Duration::from_secs(10) };
    /// assert_eq!(Gate::open(bounds).digest(bounds).limit, 2);
    /// ```
    pub fn open(bounds: Bounds) -> Self {
        Self {
            ledger: Ledger::default(),
            queue: Queue::open(QUEUE_CAPACITY),
            ramp: Ramp::cold(bounds),
            authority: Authority::default(),
            granted_at: BTreeMap::new(),
            polled_at: BTreeMap::new(),
            average_hold_millis: 0,
            paused_until: Duration::ZERO,
        }
    }

    /// Handles a new or repeated request. Returns verdicts to send at once, on it or on a request that it displaced.
    pub fn request(
        &mut self,
        entry: Entry<Id>,
        context: Context,
        now: Duration,
    ) -> Vec<(Id, Verdict)> {
        let id = entry.item;
        if self.ledger.is_released(id) {
            return vec![(id, Verdict::Refused(Reason::Returned, MIN_RETRY_AFTER))];
        }
        if context.standing == Standing::None && !context.preferred {
            return vec![(id, Verdict::NotHome)];
        }
        if !context.open {
            return vec![(id, Verdict::Refused(Reason::Closed, MIN_RETRY_AFTER))];
        }
        if self.ledger.holds(id) {
            return vec![(id, Verdict::Granted)];
        }
        self.polled_at.insert(id, now);
        if self.queue.contains(&id) {
            return Vec::new();
        }
        let ahead = self.queue.ahead(&entry.workspace, entry.class, now);
        let wait = self.wait(ahead, context, now);
        if now + wait > entry.deadline {
            self.polled_at.remove(&id);
            return vec![(id, refusal(Reason::Deadline, wait, entry.deadline, now))];
        }
        let Some(displaced) = self.queue.push(entry, now) else {
            return Vec::new();
        };
        self.polled_at.remove(&displaced.item);
        let wait = self.wait(QUEUE_CAPACITY, context, now);
        vec![(
            displaced.item,
            refusal(Reason::Full, wait, displaced.deadline, now),
        )]
    }

    /// Grants permits while slots are free and refuses requests that can no longer start in time.
    pub fn grant_permits(&mut self, context: Context, now: Duration) -> Vec<(Id, Verdict)> {
        let mut verdicts = Vec::new();
        if !context.open {
            return self.drain_queue(Verdict::Refused(Reason::Closed, MIN_RETRY_AFTER), now);
        }
        if context.standing == Standing::None && !context.preferred {
            return self.drain_queue(Verdict::NotHome, now);
        }
        if context.standing != Standing::Ready || now < self.paused_until {
            return verdicts;
        }
        while self.ledger.used() < self.ramp.limit(context.bounds) {
            let Some(entry) = self.queue.pop(now) else {
                break;
            };
            self.polled_at.remove(&entry.item);
            if now > entry.deadline {
                let verdict = Verdict::Refused(Reason::Deadline, MIN_RETRY_AFTER);
                verdicts.push((entry.item, verdict));
                continue;
            }
            if self.ledger.used() == 0 {
                self.ramp.wake(now);
            }
            if self.ledger.grant(entry.item, now) {
                self.granted_at.insert(entry.item, now);
                verdicts.push((entry.item, Verdict::Granted));
            }
        }
        verdicts
    }

    /// Drops requests that are no longer polled for, expires permits and sheds requests that would start too late.
    pub fn tick(&mut self, context: Context, now: Duration) -> Vec<(Id, Verdict)> {
        self.ledger.expire(now);
        let ledger = &self.ledger;
        self.granted_at.retain(|id, _| ledger.holds(*id));
        let mut verdicts = Vec::new();
        let mut ahead = 0;
        for entry in self.queue.order(now) {
            let id = entry.item;
            let is_abandoned = self
                .polled_at
                .get(&id)
                .is_none_or(|at| *at + POLL_TIMEOUT <= now);
            let wait = self.wait(ahead, context, now);
            if is_abandoned {
                self.drop_entry(id);
            } else if now + wait > entry.deadline {
                self.drop_entry(id);
                verdicts.push((id, refusal(Reason::Deadline, wait, entry.deadline, now)));
            } else {
                ahead += 1;
            }
        }
        verdicts.extend(self.grant_permits(context, now));
        verdicts
    }

    /// Releases a permit or cancels a request for one. Returns whether the concurrency limit fell.
    pub fn release(&mut self, id: Id, outcome: Outcome, bounds: Bounds, now: Duration) -> bool {
        self.drop_entry(id);
        let was_held = self.ledger.release(id, now);
        let granted_at = self.granted_at.remove(&id);
        if !was_held {
            return false;
        }
        let limit_fell = self.ramp.outcome(outcome, bounds, now);
        match outcome {
            Outcome::Failed => self.paused_until = now + CONNECT_FAILURE_PAUSE,
            Outcome::Broken if self.ramp.breaks() > 1 => {
                self.paused_until = self.paused_until.max(now + BROKEN_CONNECTION_PAUSE);
            }
            _ => {}
        }
        if let (Some(granted_at), Outcome::Answered(_)) = (granted_at, outcome) {
            let held = now.saturating_sub(granted_at).as_millis() as u64;
            self.update_average_hold(held);
        }
        limit_fell
    }

    /// Applies a load report. Returns whether the endpoint has restarted, as [`Ramp::boot`] does.
    pub fn observe(&mut self, boot: &str, running: usize, bounds: Bounds, now: Duration) -> bool {
        self.ledger.observe(running);
        self.ramp.boot(boot, bounds, now)
    }

    /// Hands the endpoint over to another home: discards permits and returns the queued requests.
    pub fn stop(&mut self, me: SocketAddr, now: Duration) -> Vec<(Id, Verdict)> {
        self.authority.stop(me, now);
        self.ledger.clear();
        self.granted_at.clear();
        self.drain_queue(Verdict::NotHome, now)
    }

    /// Returns the queued requests after consent was lost; permits stay counted until their leases expire.
    pub fn pause(&mut self, now: Duration) -> Vec<(Id, Verdict)> {
        self.drain_queue(Verdict::NotHome, now)
    }

    /// Returns the summary for route choice.
    pub fn digest(&self, bounds: Bounds) -> Digest {
        Digest {
            limit: self.ramp.limit(bounds) as u32,
            used: self.ledger.used() as u32,
            queued: self.queue.len() as u32,
            hold_millis: self.average_hold_millis as u32,
        }
    }

    /// Estimates the waiting time of a request behind `ahead` others.
    pub fn wait(&self, ahead: usize, context: Context, now: Duration) -> Duration {
        let learning_time = match context.standing {
            Standing::Learning(until) => until.saturating_sub(now),
            _ => Duration::ZERO,
        };
        let limit = self.ramp.limit(context.bounds);
        let free = limit.saturating_sub(self.ledger.used());
        if ahead < free {
            return learning_time;
        }
        let releases_needed = (ahead + 1 - free) as u64;
        let millis = releases_needed * self.average_hold_millis / limit.max(1) as u64;
        learning_time + Duration::from_millis(millis)
    }

    fn drop_entry(&mut self, id: Id) {
        self.polled_at.remove(&id);
        self.queue.remove(&id);
    }

    fn drain_queue(&mut self, verdict: Verdict, now: Duration) -> Vec<(Id, Verdict)> {
        self.polled_at.clear();
        let mut verdicts = Vec::new();
        while let Some(entry) = self.queue.pop(now) {
            verdicts.push((entry.item, verdict));
        }
        verdicts
    }

    fn update_average_hold(&mut self, held: u64) {
        self.average_hold_millis = if self.average_hold_millis == 0 {
            held.max(1)
        } else {
            (self.average_hold_millis * (HOLD_AVERAGE_SAMPLES - 1) + held)
                .div_ceil(HOLD_AVERAGE_SAMPLES)
        };
    }
}

fn refusal(reason: Reason, wait: Duration, deadline: Duration, now: Duration) -> Verdict {
    let time_left = deadline.saturating_sub(now);
    let retry_after = wait.saturating_sub(time_left).max(MIN_RETRY_AFTER);
    Verdict::Refused(reason, retry_after)
}
