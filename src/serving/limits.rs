//! Rate limits of workspaces, and those that endpoints name: the homes of a limit hold it, other daemons ask them for units.
//!
//! Each zone has one home per limit, so that a zone that is cut off keeps its share. A daemon asks the home of its own
//! zone first and the others if that one has no units or does not answer.

use std::collections::HashMap;
use std::time::Duration;

use http::StatusCode;
use parking_lot::Mutex;
use tokio::time::sleep;

use super::Node;
use super::admit::{Admission, Refusal};
use super::peers::calls::Calls;
use super::peers::{self, Home};
use super::quota::Quota;
use crate::coordination::allowance::{Allowance, Terms};
use crate::coordination::grant::{Balance, Request};
use crate::protocol::digest::{Ask, Body, Grant, Subject};
use crate::state::call::Call;
use crate::state::catalog::Workspace;
use crate::state::record::Name;

/// Maximum time for which a request waits for units.
const MAX_WAIT: Duration = Duration::from_millis(300);

/// Maximum time for which a request that takes a stream up waits for units; its caller gives up after a gap of 2 s.
const MAX_RESUME_WAIT: Duration = Duration::from_secs(1);

/// `Retry-After` if no home responded.
const UNKNOWN_WAIT: Duration = Duration::from_millis(300);

/// Shortest `Retry-After` of a request over the rate.
const MIN_WAIT: Duration = Duration::from_millis(50);

/// This daemon's part of one limit.
#[derive(Debug, Clone)]
enum Share {
    /// This daemon is a home of the limit; the balance is what it asked other homes for.
    Home(Allowance, Balance),
    /// Other daemons are.
    Granted(Balance),
}

/// This daemon's shares of all rate limits.
#[derive(Debug, Default)]
pub struct Limits {
    shares: Mutex<HashMap<Subject, Share>>,
    /// Requests to homes.
    calls: Calls<Grant>,
}

/// Outcome of an attempt to take units from this daemon's own share.
enum Attempt {
    Taken,
    /// Units have to be asked for; the time is that of the own bucket, if there is one.
    Ask(Request, Option<Duration>),
    /// No home has units for this time.
    Denied(Duration),
}

impl Limits {
    /// Takes units for a call, asking homes for them if needed.
    ///
    /// # Errors
    /// A [`Refusal`] if no home has units.
    pub async fn take(
        &self,
        node: &Node,
        workspace: &Workspace,
        call: &Call,
        units: f64,
    ) -> Result<(), Refusal> {
        if workspace.rate <= 0.0 {
            return Ok(());
        }
        let quota = Quota::workspace(workspace);
        let homes = quota.homes(node);
        self.with(node, &quota, &homes, |share, now| {
            if let Share::Granted(balance) = share {
                balance.expect(units, now);
            }
        });
        let started = node.now();
        loop {
            let Err(wait) = self.reserve(node, &quota, &homes, units).await else {
                return Ok(());
            };
            // The caller of a stream that broke off has received a part of it, and may have no further attempt.
            let may_wait =
                call.last_event.is_some() && node.now() + wait < started + MAX_RESUME_WAIT;
            if !may_wait {
                return Err(self.refuse(node, workspace, call, units, wait));
            }
            sleep(wait.max(MIN_WAIT)).await;
        }
    }

    /// Takes one request to an endpoint that takes `rate_limit` requests per second from all daemons.
    ///
    /// # Errors
    /// The time until the endpoint is expected to take another one.
    pub async fn take_endpoint(
        &self,
        node: &Node,
        id: &Name,
        rate_limit: f64,
    ) -> Result<(), Duration> {
        let quota = Quota::endpoint(id, rate_limit);
        let homes = quota.homes(node);
        self.reserve(node, &quota, &homes, 1.0).await
    }

    /// Takes units, asking homes for them if needed.
    ///
    /// # Errors
    /// The time until a home has units, if none has.
    async fn reserve(
        &self,
        node: &Node,
        quota: &Quota,
        homes: &[Home],
        units: f64,
    ) -> Result<(), Duration> {
        let started = node.now();
        let mut shortest: Option<Duration> = None;
        for home in homes.iter().filter(|home| home.address.is_some()) {
            match self.attempt(node, quota, homes, units) {
                Attempt::Taken => {
                    self.ask_ahead(node, quota, homes);
                    return Ok(());
                }
                Attempt::Denied(wait) => return Err(wait),
                Attempt::Ask(request, own) => {
                    shortest = shorter(shortest, own);
                    if node.now() > started + MAX_WAIT {
                        break;
                    }
                    let response = self.ask(node, home, quota, request).await;
                    shortest = shorter(shortest, response);
                }
            }
        }
        let wait = match self.attempt(node, quota, homes, units) {
            Attempt::Taken => return Ok(()),
            Attempt::Denied(wait) => wait,
            Attempt::Ask(_, own) => shorter(shortest, own).unwrap_or(UNKNOWN_WAIT),
        };
        self.with(node, quota, homes, |share, now| {
            let (Share::Home(_, balance) | Share::Granted(balance)) = share;
            balance.denied(wait, now);
        });
        Err(wait)
    }

    fn attempt(&self, node: &Node, quota: &Quota, homes: &[Home], units: f64) -> Attempt {
        self.with(node, quota, homes, |share, now| match share {
            Share::Home(allowance, balance) => match allowance.take(units, now) {
                Ok(()) => Attempt::Taken,
                Err(wait) => match balance.denial(now) {
                    Some(wait) => Attempt::Denied(wait),
                    None => Attempt::Ask(balance.request(units, now), Some(wait)),
                },
            },
            Share::Granted(balance) => match (balance.take(units, now), balance.denial(now)) {
                (true, _) => Attempt::Taken,
                (false, Some(wait)) => Attempt::Denied(wait),
                (false, None) => Attempt::Ask(balance.request(units, now), None),
            },
        })
    }

    /// Asks for the units of expected requests, without waiting.
    fn ask_ahead(&self, node: &Node, quota: &Quota, homes: &[Home]) {
        let request = self.with(node, quota, homes, |share, now| match share {
            Share::Home(..) => None,
            Share::Granted(balance) => balance.request_ahead(now),
        });
        let address = homes.first().and_then(|home| home.address);
        if let Some((request, address)) = request.zip(address) {
            let id = self.calls.next_id();
            peers::send(node, Body::Ask(message(id, quota, request)), address);
        }
    }

    /// Asks a home for units and adds what it grants; returns the time until it has units if it has none.
    async fn ask(
        &self,
        node: &Node,
        home: &Home,
        quota: &Quota,
        request: Request,
    ) -> Option<Duration> {
        let address = home.address?;
        if self.calls.is_silent(node, &home.daemon) {
            return None;
        }
        let message = |id| Body::Ask(message(id, quota, request));
        let response = self.calls.ask(node, (&home.daemon, address), message);
        let Some(grant) = response.await else {
            node.journal.line(
                || spdlog::info!("limits: home is silent", kv: { subject:? = quota.subject, home: = home.daemon }),
            );
            return None;
        };
        (grant.units == 0).then(|| Duration::from_millis(grant.wait_millis))
    }

    /// Answers another daemon's request for units.
    pub fn grant(&self, node: &Node, ask: &Ask) -> Option<Grant> {
        let granted = match (Quota::find(node, &ask.subject), &ask.subject) {
            // Before the configuration is read, the home is not silent.
            (None, Subject::Workspace(_)) if node.fleet.catalog.load().is_none() => {
                Err(UNKNOWN_WAIT)
            }
            (None, Subject::Workspace(_)) => return None,
            // An endpoint's limit was withdrawn, or this daemon has not heard of it yet.
            (None, Subject::Endpoint(_)) => Err(UNKNOWN_WAIT),
            (Some(quota), _) => {
                let homes = quota.homes(node);
                let (needed, ahead) = (ask.needed as f64, ask.ahead as f64);
                self.with(node, &quota, &homes, |share, now| match share {
                    Share::Home(allowance, _) => allowance.grant(needed, ahead, now),
                    Share::Granted(_) => Err(UNKNOWN_WAIT),
                })
            }
        };
        let wait = granted.as_ref().err().copied().unwrap_or_default();
        Some(Grant {
            id: ask.id,
            subject: ask.subject.clone(),
            units: granted.unwrap_or_default() as u64,
            wait_millis: wait.as_millis() as u64,
        })
    }

    /// Adds the units of a home's response and wakes the request that waits for them.
    pub fn granted(&self, node: &Node, home: &Name, grant: Grant) {
        self.calls.heard(home);
        // The request may have stopped waiting; its units stay with this daemon.
        self.returned(node, &grant.subject, grant.units as f64);
        self.calls.answer(grant.id, grant);
    }

    /// Adds units that another daemon deducted, or that were taken for a request that was not sent.
    pub fn returned(&self, node: &Node, subject: &Subject, units: f64) {
        let Some(quota) = Quota::find(node, subject).filter(|_| units > 0.0) else {
            return;
        };
        let homes = quota.homes(node);
        self.with(node, &quota, &homes, |share, now| match share {
            Share::Home(allowance, _) => allowance.transfer_in(units, now),
            Share::Granted(balance) => balance.receive(units, now),
        });
    }

    /// Returns units beyond the expected demand to the homes.
    pub fn return_surplus(&self, node: &Node) {
        let now = node.now();
        let mut surplus = Vec::new();
        for (subject, share) in self.shares.lock().iter_mut() {
            if let Share::Granted(balance) = share {
                let units = balance.surplus(now);
                // Units of an endpoint that came too late are dropped, as its limit does not last.
                if let (Subject::Workspace(name), true) = (subject, units >= 1.0) {
                    surplus.push((name.clone(), units as u64));
                }
            }
        }
        for (name, units) in surplus {
            let homes = node.peers.homes(&node.settings, &name);
            if let Some(address) = homes.first().and_then(|home| home.address) {
                peers::send(node, Body::Given(vec![(name, units)]), address);
            }
        }
    }

    /// Returns the units taken for a request that did not run.
    pub fn refund(&self, node: &Node, admission: &Admission) {
        let Some(workspace) = &admission.workspace else {
            return;
        };
        if workspace.rate <= 0.0 {
            return;
        }
        let subject = Subject::Workspace(workspace.name.clone());
        self.returned(node, &subject, admission.units);
    }

    /// Forgets the shares of endpoints whose limits are not known any more, and homes that may be asked again.
    pub fn prune(&self, node: &Node) {
        self.calls.sweep(node.now());
        let statements = node.statements.lock();
        let mut shares = self.shares.lock();
        shares.retain(|subject, _| match subject {
            Subject::Workspace(_) => true,
            Subject::Endpoint(id) => statements.rate_limit(id).is_some(),
        });
    }

    fn refuse(
        &self,
        node: &Node,
        workspace: &Workspace,
        call: &Call,
        units: f64,
        wait: Duration,
    ) -> Refusal {
        node.journal.line(|| {
            let subject = Subject::Workspace(workspace.name.clone());
            let share = self.shares.lock().get(&subject).cloned();
            spdlog::info!("limits: over rate", kv: {
                request: = call.id,
                workspace: = workspace.name,
                units = units,
                share:? = share,
            });
        });
        Refusal {
            status: StatusCode::TOO_MANY_REQUESTS,
            reason: "over_rate",
            retry_after: Some(wait.max(MIN_WAIT)),
        }
    }

    /// Applies a function to this daemon's share of a limit, after adapting it to the current homes.
    fn with<T>(
        &self,
        node: &Node,
        quota: &Quota,
        homes: &[Home],
        apply: impl FnOnce(&mut Share, Duration) -> T,
    ) -> T {
        let now = node.now();
        let terms = Terms {
            rate: quota.rate,
            burst: quota.burst,
            daemons: homes.len(),
        };
        let is_home = homes.first().is_none_or(|home| home.address.is_none());
        let mut shares = self.shares.lock();
        let open = || match is_home {
            true => Share::Home(Allowance::open(terms, now), Balance::default()),
            false => Share::Granted(Balance::default()),
        };
        let share = shares.entry(quota.subject.clone()).or_insert_with(open);
        // A former home keeps nothing: the new one fills its own bucket.
        if matches!(share, Share::Home(..)) != is_home {
            *share = open();
        }
        if let Share::Home(allowance, _) = share {
            allowance.set(terms, now);
        }
        apply(share, now)
    }
}

fn message(id: u64, quota: &Quota, request: Request) -> Ask {
    Ask {
        id,
        subject: quota.subject.clone(),
        needed: request.needed.ceil() as u64,
        ahead: request.ahead.ceil() as u64,
    }
}

fn shorter(one: Option<Duration>, other: Option<Duration>) -> Option<Duration> {
    one.into_iter().chain(other).min()
}
