//! Rate limits of workspaces, enforced where requests arrive: requests wait in FIFO order for tokens that the
//! workspace's home daemon grants.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use prometheus_client::registry::Registry;
use tokio::sync::{Notify, oneshot};
use xxhash_rust::xxh3::xxh3_64;

use super::meter::Meter;
use super::{Node, share};
use crate::coordination::bucket::{Ask, Grant};
use crate::coordination::loan::group_of;
use crate::coordination::purse::{Hold, Purse};
use crate::protocol::peer::{Asks, Grants, method};
use crate::settings::Policy;
use crate::state::record::{Name, Workspace};

/// Interval between checks of all token balances, in addition to those triggered by requests.
const TICK: Duration = Duration::from_millis(100);

/// Timeout of a call to a home daemon.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before retrying a home daemon that did not answer.
const RETRY: Duration = Duration::from_millis(50);

/// Minimum and maximum delay before asking a home daemon again for tokens that it did not have.
const REASK: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(200)];

/// Age from which a backlog reported by a home daemon is no longer used to refuse requests.
const STALE: Duration = Duration::from_millis(500);

/// Retry hint to callers while no home daemon has reported a rate.
const UNKNOWN_RATE_RETRY: Duration = Duration::from_secs(5);

/// Fraction of the fleet-wide capacity below which a home daemon is assumed to be still collecting its loans.
const WHOLE_FRACTION: (u64, u64) = (9, 10);

const SHARDS: usize = 16;

/// Why tokens were not reserved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Delay before the caller should retry.
    pub retry_after: Duration,
    /// Whether the request needs more tokens than the burst and can never be served.
    pub too_large: bool,
}

/// Tokens reserved for one request; released if dropped before [`Limiter::begin`].
#[derive(Debug)]
pub struct Reservation {
    cell: Arc<Cell>,
    origin: Instant,
    hold: Option<Hold>,
    begun: Option<Begun>,
}

/// Position in the home daemon's overflow history when a request was sent.
#[derive(Debug, Clone, Copy)]
struct Begun {
    tokens: u64,
    tick: u64,
    epoch: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(hold) = self.hold.take() {
            let mut book = self.cell.book.lock();
            book.purse.release(&hold, self.origin.elapsed());
        }
    }
}

/// One workspace's tokens and waiting requests.
#[derive(Debug)]
struct Cell {
    name: Name,
    book: Mutex<Book>,
}

#[derive(Debug, Default)]
struct Book {
    purse: Purse,
    queue: VecDeque<Waiter>,
    asking: bool,
    next_ask: Duration,
    home: Option<SocketAddr>,
    home_session: Option<Arc<str>>,
    epoch: u64,
    news: Option<(Grant, Duration)>,
    small_since: Option<Duration>,
    partial_since: Option<Duration>,
    farewell: Option<(SocketAddr, Ask)>,
}

#[derive(Debug)]
struct Waiter {
    tokens: u64,
    deadline: Duration,
    sender: oneshot::Sender<Result<Reservation, Refusal>>,
}

/// The result of a waiting request, to be sent after the lock is released.
type Outcome = (
    oneshot::Sender<Result<Reservation, Refusal>>,
    Result<Reservation, Refusal>,
);

/// Tokens and waiting requests by workspace.
#[derive(Debug)]
pub struct Limiter {
    shards: [Mutex<HashMap<Name, Arc<Cell>>>; SHARDS],
    wake: Notify,
    meter: Meter,
}

impl Limiter {
    /// Creates a limiter without tokens and registers its metrics.
    pub fn open(metrics: &mut Registry) -> Self {
        Self {
            shards: std::array::from_fn(|_| Mutex::default()),
            wake: Notify::new(),
            meter: Meter::open(metrics),
        }
    }

    /// Reserves tokens for a request, waiting for a refill until the deadline.
    ///
    /// # Errors
    /// Returns a [`Refusal`] as soon as it is known that the tokens will not be available before the deadline.
    pub async fn reserve(
        &self,
        node: &Node,
        workspace: &Workspace,
        tokens: u64,
        deadline: Duration,
    ) -> Result<Reservation, Refusal> {
        let result = self.wait(node, workspace, tokens, deadline).await;
        if let Err(refusal) = &result {
            self.meter.refused.inc();
            spdlog::info!(
                "limit: refused workspace={} tokens={tokens} retry_after_ms={}",
                workspace.name,
                refusal.retry_after.as_millis()
            );
        }
        result
    }

    async fn wait(
        &self,
        node: &Node,
        workspace: &Workspace,
        tokens: u64,
        deadline: Duration,
    ) -> Result<Reservation, Refusal> {
        if tokens > workspace.burst_tokens {
            let rate = workspace.rate_tokens_per_second.max(1);
            return Err(Refusal {
                retry_after: Duration::from_secs(tokens / rate),
                too_large: true,
            });
        }
        let cell = self.cell(&workspace.name);
        let receiver = {
            let now = node.now();
            let mut book = cell.book.lock();
            if book.queue.is_empty()
                && let Some(hold) = book.purse.take(tokens, now)
            {
                return Ok(reservation(&cell, node, hold));
            }
            let (sender, receiver) = oneshot::channel();
            book.queue.push_back(Waiter {
                tokens,
                deadline,
                sender,
            });
            receiver
        };
        self.settle_queue(node, &cell);
        self.wake.notify_one();
        self.meter.waiting.inc();
        let answer = tokio::time::timeout(deadline.saturating_sub(node.now()), receiver).await;
        self.meter.waiting.dec();
        match answer {
            Ok(Ok(result)) => result,
            _ => Err(Refusal {
                retry_after: cell.book.lock().refill_time(tokens),
                too_large: false,
            }),
        }
    }

    /// Spends a reservation; call this right before sending the request to an endpoint.
    ///
    /// Tokens that expired while the request waited for an endpoint are reserved again.
    ///
    /// # Errors
    /// Returns a [`Refusal`] if expired tokens cannot be replaced before the deadline.
    pub async fn begin(
        &self,
        node: &Node,
        workspace: &Workspace,
        reservation: &mut Reservation,
        deadline: Duration,
    ) -> Result<(), Refusal> {
        while let Some(hold) = reservation.hold.take() {
            if reservation.spend(&hold, node.now()) {
                break;
            }
            *reservation = self.reserve(node, workspace, hold.tokens, deadline).await?;
        }
        Ok(())
    }

    /// Refunds the tokens that a request did not use.
    pub fn settle(&self, mut reservation: Reservation, used: u64) {
        if let Some(hold) = reservation.hold.take() {
            let now = reservation.origin.elapsed();
            let _ = reservation.spend(&hold, now);
        }
        let Some(begun) = reservation.begun else {
            return;
        };
        let mut book = reservation.cell.book.lock();
        if begun.epoch == book.epoch {
            let unused = begun.tokens.saturating_sub(used);
            book.purse.refund(begun.tick, unused);
        }
    }

    /// Returns the number of tokens granted by other daemons so far.
    pub fn granted(&self) -> u64 {
        self.meter.granted()
    }

    /// Formats the cost of all token requests to home daemons so far.
    pub fn cost(&self) -> String {
        self.meter.cost()
    }

    fn cell(&self, workspace: &Name) -> Arc<Cell> {
        let shard = &self.shards[xxh3_64(workspace.as_bytes()) as usize % SHARDS];
        let mut shard = shard.lock();
        let cell = shard.entry(workspace.clone()).or_insert_with(|| {
            Arc::new(Cell {
                name: workspace.clone(),
                book: Mutex::default(),
            })
        });
        cell.clone()
    }

    fn cells(&self) -> Vec<Arc<Cell>> {
        let shards = self.shards.iter();
        shards
            .flat_map(|shard| shard.lock().values().cloned().collect::<Vec<_>>())
            .collect()
    }

    /// Completes the waiting requests whose result is known.
    fn settle_queue(&self, node: &Node, cell: &Arc<Cell>) {
        let outcomes = cell.book.lock().outcomes(cell, node);
        for (sender, outcome) in outcomes {
            let _ = sender.send(outcome);
        }
    }
}

impl Reservation {
    fn spend(&mut self, hold: &Hold, now: Duration) -> bool {
        let mut book = self.cell.book.lock();
        let spent = book.purse.spend(hold, now);
        if spent {
            self.begun = Some(Begun {
                tokens: hold.tokens,
                tick: book.purse.tick(),
                epoch: book.epoch,
            });
        }
        spent
    }
}

fn reservation(cell: &Arc<Cell>, node: &Node, hold: Hold) -> Reservation {
    Reservation {
        cell: cell.clone(),
        origin: node.origin,
        hold: Some(hold),
        begun: None,
    }
}

impl Book {
    /// Dequeues the requests that have obtained their tokens or cannot obtain them in time.
    fn outcomes(&mut self, cell: &Arc<Cell>, node: &Node) -> Vec<Outcome> {
        let now = node.now();
        self.queue.retain(|waiter| !waiter.sender.is_closed());
        let mut outcomes = Vec::new();
        while let Some(waiter) = self.queue.front() {
            let Some(hold) = self.purse.take(waiter.tokens, now) else {
                break;
            };
            let Some(waiter) = self.queue.pop_front() else {
                break;
            };
            outcomes.push((waiter.sender, Ok(reservation(cell, node, hold))));
        }
        let patience = node.share.terms().loan * 2;
        let mut ahead = 0;
        let queue = std::mem::take(&mut self.queue);
        for waiter in queue {
            match self.too_late(ahead + waiter.tokens, &waiter, now, patience) {
                Some(retry_after) => {
                    let too_large = false;
                    let refusal = Refusal {
                        retry_after,
                        too_large,
                    };
                    outcomes.push((waiter.sender, Err(refusal)));
                }
                None => {
                    ahead += waiter.tokens;
                    self.queue.push_back(waiter);
                }
            }
        }
        outcomes
    }

    /// Returns the wait until a request can be served, if it certainly exceeds the deadline.
    fn too_late(
        &self,
        tokens: u64,
        waiter: &Waiter,
        now: Duration,
        patience: Duration,
    ) -> Option<Duration> {
        if now >= waiter.deadline {
            return Some(self.refill_time(waiter.tokens));
        }
        let (news, at) = self.news.as_ref()?;
        let partial = |since: Duration| now.saturating_sub(since) <= patience;
        if self.partial_since.is_some_and(partial) {
            return None;
        }
        let small = self.small_since.is_some_and(|since| now - since > patience);
        if small && waiter.tokens > news.capacity {
            return Some(patience);
        }
        if now.saturating_sub(*at) > STALE || news.tokens_per_second == 0 || !news.renewed {
            return None;
        }
        let missing = (tokens + news.backlog).saturating_sub(self.purse.available());
        let spare = Duration::from_millis(news.wait_ms);
        let wait = seconds(missing, news.tokens_per_second).saturating_sub(self.covered(spare));
        (now + wait > waiter.deadline).then_some(wait)
    }

    /// Returns how much the token level of the home daemon shortens the wait of the first waiting request.
    fn covered(&self, wait: Duration) -> Duration {
        let Some((news, _)) = &self.news else {
            return Duration::ZERO;
        };
        let first = self.queue.front().map_or(0, |waiter| waiter.tokens);
        let first = first.saturating_sub(self.purse.available());
        seconds(first, news.tokens_per_second).saturating_sub(wait)
    }

    fn refill_time(&self, tokens: u64) -> Duration {
        let rate = self.news.map_or(0, |(news, _)| news.tokens_per_second);
        let shortest = Duration::from_secs(1);
        if rate == 0 {
            return UNKNOWN_RATE_RETRY;
        }
        seconds(tokens, rate).clamp(shortest, 3600 * shortest)
    }

    fn backlog(&self) -> u64 {
        let waiting: u64 = self.queue.iter().map(|waiter| waiter.tokens).sum();
        waiting.saturating_sub(self.purse.available())
    }

    /// Starts a token request to the home daemon, if one is due.
    fn ask(&mut self, home: SocketAddr, node: &Node) -> Option<Ask> {
        let now = node.now();
        if self.asking || now < self.next_ask {
            return None;
        }
        if self.home != Some(home) {
            let former = self.home.replace(home);
            self.home_session = None;
            let farewell = self.move_home();
            self.farewell = former.zip(farewell);
        }
        if node.leaving.is_cancelled() {
            self.purse.hurry();
        }
        let first = self.queue.front().map_or(0, |waiter| waiter.tokens);
        let need = first.saturating_sub(self.purse.available());
        if need == 0 && !self.purse.due(now, &node.share.terms()) {
            return None;
        }
        self.asking = true;
        Some(self.purse.ask(need, self.backlog(), now))
    }

    fn move_home(&mut self) -> Option<Ask> {
        self.epoch += 1;
        self.news = None;
        self.purse.leave()
    }

    /// Applies the home daemon's answer to a token request that was sent at `asked`.
    fn receive(
        &mut self,
        session: &Arc<str>,
        sequence: u64,
        grant: &Grant,
        asked: Duration,
        whole: u64,
        node: &Node,
    ) {
        let now = node.now();
        self.asking = false;
        if self
            .home_session
            .as_ref()
            .is_some_and(|known| known != session)
        {
            self.move_home();
        }
        self.home_session = Some(session.clone());
        self.purse
            .receive(sequence, grant, asked, now, &node.share.terms());
        let first = self.queue.front().map_or(0, |waiter| waiter.tokens);
        match first > grant.capacity {
            true => drop(self.small_since.get_or_insert(now)),
            false => self.small_since = None,
        }
        match grant.capacity < whole / WHOLE_FRACTION.1 * WHOLE_FRACTION.0 {
            true => drop(self.partial_since.get_or_insert(now)),
            false => self.partial_since = None,
        }
        self.news = Some((*grant, now));
        if first > self.purse.available() {
            let wait = Duration::from_millis(grant.wait_ms);
            self.next_ask = now + wait.clamp(REASK[0], REASK[1]);
        }
    }
}

fn seconds(tokens: u64, rate: u64) -> Duration {
    Duration::from_millis(tokens.saturating_mul(1000) / rate.max(1))
}

/// Requests tokens from home daemons, renews and returns them, until the daemon stops.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::select! {
            () = node.limiter.wake.notified() => {}
            () = tokio::time::sleep(TICK) => {}
            () = node.stopped.cancelled() => {
                pump(&node);
                return;
            }
        }
        pump(&node);
        node.limiter.meter.observe(&node);
    }
}

fn pump(node: &Arc<Node>) {
    let mut batches: BTreeMap<SocketAddr, Vec<(Arc<Cell>, Ask)>> = BTreeMap::new();
    for cell in node.limiter.cells() {
        node.limiter.settle_queue(node, &cell);
        let home = home_of(node, &cell.name);
        let (ask, farewell) = {
            let mut book = cell.book.lock();
            (book.ask(home, node), book.farewell.take())
        };
        if let Some((former, farewell)) = farewell {
            tell_farewell(node, former, &cell, farewell);
        }
        if let Some(ask) = ask {
            batches.entry(home).or_default().push((cell, ask));
        }
    }
    for (home, batch) in batches {
        if home == node.peer_address {
            let asks = message(node, &batch);
            let asked = node.now();
            let grants = share::grant(node, &asks);
            take_in(node, &batch, Some(&grants), asked);
        } else {
            tokio::spawn(call(node.clone(), home, batch));
        }
    }
}

/// Returns unspent tokens to a former home daemon.
fn tell_farewell(node: &Arc<Node>, former: SocketAddr, cell: &Arc<Cell>, farewell: Ask) {
    let asks = message(node, &[(cell.clone(), farewell)]);
    if former == node.peer_address {
        share::grant(node, &asks);
        return;
    }
    let node = node.clone();
    tokio::spawn(async move {
        let call = node
            .peers
            .call::<_, Grants>(former, method::GRANT, &asks, CALL_TIMEOUT);
        // If the call fails, the tokens expire on their own.
        let _ = call.await;
    });
}

fn home_of(node: &Node, workspace: &str) -> SocketAddr {
    if node.settings.policy == Policy::Naive {
        return node.peer_address;
    }
    let home = node
        .membership
        .home(&share::duty(group_of(workspace)), None);
    home.map_or(node.peer_address, |home| home.address)
}

fn message(node: &Node, batch: &[(Arc<Cell>, Ask)]) -> Asks {
    let asks = batch.iter();
    Asks {
        session: node.session.clone(),
        address: node.peer_address,
        asks: asks
            .map(|(cell, ask)| (cell.name.clone(), ask.clone()))
            .collect(),
    }
}

async fn call(node: Arc<Node>, home: SocketAddr, batch: Vec<(Arc<Cell>, Ask)>) {
    let asks = message(&node, &batch);
    let asked = node.now();
    let call = node
        .peers
        .call::<_, Grants>(home, method::GRANT, &asks, CALL_TIMEOUT);
    let answer = call.await.ok();
    let elapsed = node.now().saturating_sub(asked);
    node.limiter.meter.call(&asks, answer.as_ref(), elapsed);
    take_in(&node, &batch, answer.as_ref(), asked);
    node.limiter.wake.notify_one();
}

/// Returns the fleet-wide capacity of a workspace, in tokens.
fn whole_capacity(node: &Node, workspace: &str) -> u64 {
    let config = node.config.load();
    let workspace = config.workspaces.get(workspace);
    workspace.map_or(0, |workspace| workspace.burst_tokens)
}

fn take_in(node: &Node, batch: &[(Arc<Cell>, Ask)], answer: Option<&Grants>, asked: Duration) {
    for (index, (cell, ask)) in batch.iter().enumerate() {
        let grant = answer.and_then(|answer| answer.grants.get(index));
        let mut book = cell.book.lock();
        match (answer, grant) {
            (Some(answer), Some(grant)) => {
                let whole = whole_capacity(node, &cell.name);
                book.receive(&answer.session, ask.sequence, grant, asked, whole, node);
            }
            _ => {
                book.asking = false;
                book.next_ask = node.now() + RETRY;
            }
        }
        drop(book);
        node.limiter.settle_queue(node, cell);
    }
}
