//! Asks the owners of engines' permits for a request to a contended service, and waits until one grants it.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::timeout;

use super::owner;
use super::permit::Permit;
use crate::coordination::owner::{Decision, Holding, Turn, Want};
use crate::coordination::queue::Class;
use crate::coordination::room::Message;
use crate::coordination::urgency::{Input, Urgency, urgency};
use crate::protocol::digest::Body;
use crate::serving::choose::{self, Choice, Unavailable};
use crate::serving::endpoint::Endpoint;
use crate::serving::meter::RouteLabel;
use crate::serving::peers::{self, Home};
use crate::serving::send::Context;
use crate::serving::{Node, statement};
use crate::state::record::Name;

/// Time within which an owner responds; the round trip takes 3 ms between zones, and slow daemons have 0.09 cores. It is asked
/// twice, as this daemon itself may not have run in the meantime.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(40);

/// Interval at which a request that waits asks again: messages may have been lost, or the owner replaced.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

/// The same of batch work.
const BATCH_REPEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Requests to an owner without a first response after which it is taken for silent.
const MAX_UNANSWERED: u32 = 2;

/// Repetitions without a response after which a request no longer waits at an owner.
const MAX_MISSED: u32 = 3;

/// Interval at which a request looks for an engine again whose engines are all paused, or full by the estimate.
const PAUSE_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum number of engines whose permits one request waits for.
const MAX_ASKED: usize = 4;

/// Longest wait of a request that takes a stream up, from its arrival.
const MAX_RESUME_WAIT: Duration = Duration::from_millis(1500);

/// Longest wait of a stream that is to go on elsewhere.
const MAX_MOVE_WAIT: Duration = Duration::from_millis(150);

/// Wait after which it is checked that an engine can still be used.
const RECHECK_AFTER: Duration = Duration::from_millis(50);

/// Counts of permits that a daemon makes per millisecond, at most.
const COUNTS_PER_MILLI: u64 = 1024;

/// What a request that found no permit is told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Denial {
    /// Time for which it waited.
    pub waited: Duration,
    /// Smallest number of requests that are served before at one of the engines.
    pub position: u32,
    /// Time after which a permit is expected; zero if it is not known.
    pub expected: Duration,
}

/// A request to an owner. Dropping it tells the owner that the request no longer waits.
struct Asked {
    node: Arc<Node>,
    id: u64,
    owner: Home,
    choice: Choice,
    asked_at: Duration,
    /// Whether the owner has responded.
    has_response: bool,
    /// Requests sent since the last response.
    missed: u32,
    /// Whether there is nothing to tell the owner.
    is_settled: bool,
}

impl Asked {
    fn endpoint(&self) -> &Name {
        &self.choice.endpoint.entry.id
    }

    /// Turns a granted request into the permit.
    fn into_permit(mut self) -> (Choice, Permit) {
        self.is_settled = true;
        let (node, endpoint) = (self.node.clone(), &self.choice.endpoint);
        node.rooms.turns.lock().remove(&self.id);
        node.rooms.with(self.endpoint(), |places| {
            places.turns.open.remove(&self.id);
            places.turns.held.insert(self.id);
        });
        let permit = Permit::granted(&node, endpoint, self.id);
        (self.choice.clone(), permit)
    }
}

impl Drop for Asked {
    fn drop(&mut self) {
        let node = &self.node;
        node.rooms.turns.lock().remove(&self.id);
        if self.is_settled
            && node
                .rooms
                .with(self.endpoint(), |it| it.turns.held.contains(&self.id))
        {
            return;
        }
        node.rooms.with(self.endpoint(), |places| {
            places.turns.open.remove(&self.id);
        });
        if !self.is_settled {
            report(node, &self.choice.endpoint);
        }
    }
}

/// Hands an owner's response to the request that waits for it; returns whether there is one.
pub(super) fn deliver(node: &Node, id: u64, turn: Turn) -> bool {
    let waiting = node.rooms.turns.lock().get(&id).cloned();
    waiting.is_some_and(|sender| sender.send((id, turn)).is_ok())
}

/// Handles an owner's response; gives a permit back that no request waits for any more.
pub(super) fn receive(node: &Node, daemon: &Name, id: u64, turn: Turn) {
    let mut responses = node.rooms.responses.lock();
    responses.insert(daemon.clone(), node.now());
    drop(responses);
    if deliver(node, id, turn) || turn.decision != Decision::Granted {
        return;
    }
    let view = node.fleet.view.load();
    let places: Vec<Name> = {
        let places = node.rooms.places.lock();
        if places.values().any(|it| it.turns.held.contains(&id)) {
            // A repeated response.
            return;
        }
        let asked = places.iter().filter(|(_, it)| it.turns.last > 0);
        asked.map(|(id, _)| id.clone()).collect()
    };
    // The response does not name the engine.
    for id in places {
        let endpoint = view.all.get(&id);
        let owned = endpoint.filter(|endpoint| {
            owner::owner(node, endpoint).is_some_and(|owner| owner.daemon == *daemon)
        });
        if let Some(endpoint) = owned {
            report(node, endpoint);
        }
    }
}

/// Tells the owner of an engine's permits what this daemon has of them.
pub(super) fn report(node: &Node, endpoint: &Endpoint) {
    let Some(owner) = owner::owner(node, endpoint) else {
        return;
    };
    let holding = holding(node, &endpoint.entry.id);
    let holdings = vec![(endpoint.entry.id.clone(), holding)];
    match owner.address {
        Some(address) => peers::send(node, Body::Room(Message::Holdings(holdings)), address),
        None => owner::record(node, &node.settings.name, &holdings),
    }
}

/// What this daemon has at an engine.
pub(super) fn holding(node: &Node, id: &Name) -> Holding {
    node.rooms.with(id, |places| {
        let count = node
            .rooms
            .counts
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        Holding {
            last: node.rooms.owner_calls.last_id(),
            order: node.session * COUNTS_PER_MILLI + count,
            ..places.turns.clone()
        }
    })
}

/// Counts a request that waits, until this is dropped.
struct Waiting {
    node: Arc<Node>,
    label: RouteLabel,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.node.meter.waiting.get_or_create(&self.label).dec();
    }
}

/// A search for a permit.
struct Search<'a> {
    ctx: &'a Context,
    urgency: Urgency,
    resumes: bool,
    until: Duration,
    /// Endpoints that are not asked, or not again.
    excluded: Vec<Name>,
    asked: Vec<Asked>,
    sender: UnboundedSender<(u64, Turn)>,
    receiver: UnboundedReceiver<(u64, Turn)>,
    denial: Option<Denial>,
    /// Whether no owner is asked any more.
    goes_by_estimate: bool,
    /// Whether an owner has denied the request, as it can't be expected to get a permit in time.
    is_denied: bool,
    /// Whether the owners were asked again since `denial` was learned.
    is_stale: bool,
}

/// Chooses an endpoint of a contended service that was not tried and takes a permit there, for which it waits as long as the
/// request's urgency allows. Without an owner that responds, the estimate of the requests in flight decides.
///
/// # Errors
/// The reason why the request can't be sent now, and what it is told about permits.
pub async fn acquire(ctx: &Context) -> Result<Choice, (Unavailable, Denial)> {
    let node = &ctx.node;
    let label = RouteLabel::of(&ctx.admission.route);
    node.meter.waiting.get_or_create(&label).inc();
    let _waiting = Waiting {
        node: node.clone(),
        label: label.clone(),
    };
    let started = node.now();
    let result = Search::open(ctx, started).run().await;
    match result {
        Ok(choice) => {
            node.meter.begun.get_or_create(&label).inc();
            Ok(choice)
        }
        Err((cause, denial)) => {
            let waited = node.now().saturating_sub(started);
            Err((cause, Denial { waited, ..denial }))
        }
    }
}

impl<'a> Search<'a> {
    fn open(ctx: &'a Context, now: Duration) -> Self {
        let (node, admission) = (&ctx.node, &ctx.admission);
        let contention = node.fleet.contention.load();
        let objective = admission.route.objective;
        let shortest = contention.shortest_objective(&admission.service.name);
        let waited = now.saturating_sub(admission.arrived);
        let mut urgency = urgency(&Input {
            objective,
            shortest: shortest.unwrap_or(objective),
            priority: admission.priority,
            waited,
            execution: node.lines.held(&admission.service.name),
            tokens: ctx.call.tokens().unwrap_or_default(),
        });
        let has_begun = ctx.answered_by.is_some();
        let resumes = ctx.takes_up_stream() || has_begun;
        if resumes {
            urgency.class = Class::Interactive;
            urgency.wait = match has_begun {
                true => MAX_MOVE_WAIT,
                false => MAX_RESUME_WAIT.saturating_sub(waited),
            };
        }
        let (sender, receiver) = unbounded_channel();
        Self {
            ctx,
            urgency,
            resumes,
            until: now + urgency.wait.min(ctx.remaining()),
            excluded: ctx.tried.clone(),
            asked: Vec::new(),
            sender,
            receiver,
            denial: None,
            goes_by_estimate: false,
            is_denied: false,
            is_stale: false,
        }
    }

    async fn run(mut self) -> Result<Choice, (Unavailable, Denial)> {
        let node = self.ctx.node.clone();
        let interval = match self.urgency.class {
            Class::Deferrable => BATCH_REPEAT_INTERVAL,
            _ => REPEAT_INTERVAL,
        };
        let mut repeat_at = node.now() + interval;
        loop {
            let cause = match self.ask_next() {
                Next::Free(choice) => match self.reserve(*choice, None).await {
                    Some(choice) => return Ok(choice),
                    None => continue,
                },
                Next::Asked => None,
                Next::None(cause) => Some(cause),
            };
            let now = node.now();
            if let Some(cause) = cause
                && self.asked.is_empty()
            {
                let denial = self.denial.unwrap_or_default();
                if self.is_denied {
                    return Err((Unavailable::Room, denial));
                }
                if !passes(cause) || now + PAUSE_INTERVAL > self.until || self.goes_by_estimate {
                    return Err((cause, denial));
                }
                tokio::time::sleep(PAUSE_INTERVAL).await;
                self.excluded.clone_from(&self.ctx.tried);
                continue;
            }
            if now >= self.until && self.denial.is_none() && !self.asked.is_empty() {
                // No owner has responded; the estimate decides, once.
                self.goes_by_estimate = true;
                while let Some(asked) = self.asked.pop() {
                    self.pass_over(asked);
                }
                continue;
            }
            if now >= self.until {
                return Err((Unavailable::Room, self.denial.unwrap_or_default()));
            }
            let unanswered = self.asked.iter().find(|it| !it.has_response);
            let wake_at = match unanswered {
                Some(asked) => asked.asked_at + RESPONSE_TIMEOUT,
                None => repeat_at.min(self.until),
            };
            let wait = wake_at.saturating_sub(now);
            match timeout(wait, self.receiver.recv()).await {
                Ok(Some((id, turn))) => {
                    if let Some(choice) = self.take(id, turn).await {
                        return Ok(choice);
                    }
                }
                Ok(None) => {}
                Err(_) => {
                    self.check_silent();
                    if node.now() >= repeat_at {
                        repeat_at = node.now() + interval;
                        self.repeat();
                    }
                }
            }
        }
    }

    /// Asks the owner of the next engine, unless enough were asked or one has yet to respond.
    fn ask_next(&mut self) -> Next {
        let node = &self.ctx.node;
        if self.asked.iter().any(|it| !it.has_response) {
            return Next::Asked;
        }
        if self.asked.len() >= MAX_ASKED {
            return Next::None(Unavailable::Room);
        }
        let choice = match choose::choose(
            node,
            &self.ctx.admission,
            &self.ctx.call,
            &self.excluded,
            self.ctx.version.as_ref(),
            self.ctx.may_be_trial(),
        ) {
            Ok(choice) => choice,
            Err(cause) => return Next::None(cause),
        };
        let owner = owner::owner(node, &choice.endpoint);
        let Some(owner) = owner.filter(|_| !self.goes_by_estimate) else {
            return Next::Free(Box::new(choice));
        };
        let id = node.rooms.owner_calls.next_id();
        let endpoint = choice.endpoint.entry.id.clone();
        self.excluded.push(endpoint.clone());
        node.rooms.with(&endpoint, |places| {
            places.turns.open.insert(id);
            places.turns.last = id;
        });
        node.rooms.turns.lock().insert(id, self.sender.clone());
        let asked = Asked {
            node: node.clone(),
            id,
            owner,
            choice,
            asked_at: node.now(),
            has_response: false,
            missed: 1,
            is_settled: false,
        };
        self.send(&asked);
        self.asked.push(asked);
        Next::Asked
    }

    fn send(&self, asked: &Asked) {
        let node = &self.ctx.node;
        let left = self.until.saturating_sub(node.now());
        let waited = self.urgency.wait.saturating_sub(left);
        let promotion = self.urgency.promotion.saturating_sub(waited);
        let copies = asked.choice.compared + self.asked.len();
        let want = Want {
            id: asked.id,
            endpoint: asked.endpoint().clone(),
            class: self.urgency.class.number(),
            workspace: self.ctx.admission.caller().into(),
            weight: self.urgency.weight,
            size: self.urgency.size,
            wait_millis: left.as_millis() as u64,
            promotion_millis: promotion.as_millis() as u64,
            copies: copies.min(MAX_ASKED) as u32,
            resumes: self.resumes,
            holding: holding(node, asked.endpoint()),
        };
        match asked.owner.address {
            Some(address) => {
                let message = Message::Want(Box::new(want));
                peers::send(node, Body::Room(message), address);
            }
            None => {
                let turn = owner::ask(node, &node.settings.name, &want);
                deliver(node, asked.id, turn);
            }
        }
    }

    /// Handles a response; returns the choice if it grants a permit that can be used.
    async fn take(&mut self, id: u64, turn: Turn) -> Option<Choice> {
        let index = self.asked.iter().position(|it| it.id == id)?;
        match turn.decision {
            Decision::Granted => {
                let now = self.ctx.node.now();
                let asked = self.asked.swap_remove(index);
                let has_waited = now > asked.asked_at + RECHECK_AFTER;
                let (choice, permit) = asked.into_permit();
                let (ctx, endpoint) = (self.ctx, &choice.endpoint);
                let version = ctx.version.as_ref();
                let is_usable = !has_waited
                    || choose::is_usable(&ctx.node, &ctx.admission, &ctx.call, endpoint, version);
                match is_usable {
                    true => self.reserve(choice, Some(permit)).await,
                    false => {
                        let id = &choice.endpoint.entry.id;
                        self.excluded.retain(|excluded| excluded != id);
                        None
                    }
                }
            }
            Decision::Queued => {
                self.asked[index].missed = 0;
                self.asked[index].has_response = true;
                self.note(&turn);
                None
            }
            Decision::Denied => {
                self.asked.remove(index).is_settled = true;
                self.is_denied = true;
                self.note(&turn);
                None
            }
            Decision::Foreign => {
                let asked = self.asked.remove(index);
                self.pass_over(asked);
                None
            }
        }
    }

    /// Takes what the endpoint's own statements require; `None` if they allow nothing now.
    async fn reserve(&mut self, mut choice: Choice, permit: Option<Permit>) -> Option<Choice> {
        let node = &self.ctx.node;
        let permit = permit.unwrap_or_else(|| Permit::free(node, &choice.endpoint));
        if !statement::reserve(node, &choice.endpoint).await {
            self.excluded.push(choice.endpoint.entry.id.clone());
            return None;
        }
        choice.permit = Some(Arc::new(permit));
        Some(choice)
    }

    fn note(&mut self, turn: &Turn) {
        let expected = Duration::from_millis(turn.expected_millis);
        let is_better = self.denial.is_none_or(|it| expected < it.expected);
        if is_better || self.is_stale {
            self.is_stale = false;
            self.denial = Some(Denial {
                waited: Duration::ZERO,
                position: turn.position,
                expected,
            });
        }
    }

    /// Records that an owner did not respond, or is none; the estimate then decides about the engine.
    fn pass_over(&mut self, asked: Asked) {
        let node = &self.ctx.node;
        node.rooms
            .owner_calls
            .note_silent(node, &asked.owner.daemon);
        self.excluded.retain(|id| id != asked.endpoint());
        node.journal.line(|| {
            spdlog::info!("permits: owner did not respond", kv: {
                endpoint: = asked.endpoint(),
                owner: = asked.owner.daemon,
                paused_ms = node.rooms.owner_calls.pause(&asked.owner.daemon).as_millis() as u64,
            });
        });
    }

    /// Asks owners again that have not responded in time, and gives those up that have not responded then either.
    fn check_silent(&mut self) {
        let now = self.ctx.node.now();
        for index in (0..self.asked.len()).rev() {
            let asked = &mut self.asked[index];
            if asked.has_response || now < asked.asked_at + RESPONSE_TIMEOUT {
                continue;
            }
            let responses = self.ctx.node.rooms.responses.lock();
            let responded_at = responses.get(&asked.owner.daemon).copied();
            drop(responses);
            // An owner that responds to others is busy, or a message was lost.
            let is_busy = responded_at.is_some_and(|at| at >= asked.asked_at);
            if is_busy || asked.missed < MAX_UNANSWERED {
                asked.missed += u32::from(!is_busy);
                asked.asked_at = now;
                self.send(&self.asked[index]);
            } else {
                let asked = self.asked.remove(index);
                self.pass_over(asked);
            }
        }
    }

    /// Asks again where the request waits; an owner that has responded before and does no more is given up.
    fn repeat(&mut self) {
        self.is_stale = true;
        for index in (0..self.asked.len()).rev() {
            let asked = &mut self.asked[index];
            if !asked.has_response {
                continue;
            }
            asked.missed += 1;
            if asked.missed > MAX_MISSED {
                let asked = self.asked.remove(index);
                self.pass_over(asked);
            } else {
                self.send(&self.asked[index]);
            }
        }
    }
}

/// Whether an endpoint that can't be used for this reason can soon be used again.
fn passes(cause: Unavailable) -> bool {
    matches!(
        cause,
        Unavailable::Paused
            | Unavailable::Limited
            | Unavailable::Room
            | Unavailable::Cold
            | Unavailable::Full
    )
}

/// What to do next in a search.
enum Next {
    /// No owner decides about this engine; the estimate lets the request be sent there.
    Free(Box<Choice>),
    /// An owner was asked that has not responded.
    Asked,
    /// No further engine can be asked, for this reason.
    None(Unavailable),
}
