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

use super::limit_metrics::Meter;
use super::{Node, quota};
use crate::coordination::balance::{Balance, Hold};
use crate::coordination::bucket::{Ask, Grant};
use crate::coordination::loan::group_of;
use crate::protocol::peer::{Asks, Grants, method};
use crate::settings::Policy;
use crate::state::record::{Name, Workspace};

/// Interval between checks of all token balances, in addition to those triggered by requests.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a call to a home daemon.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before retrying a home daemon that did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Minimum and maximum delay before asking a home daemon again for tokens that it did not have.
const REASK_DELAY_RANGE: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(200)];

/// Age from which a backlog reported by a home daemon is no longer used to refuse requests.
const MAX_BACKLOG_AGE: Duration = Duration::from_millis(500);

/// Retry hint to callers while no home daemon has reported a rate.
const UNKNOWN_RATE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Fraction of the fleet-wide capacity below which a home daemon is assumed to be still collecting its loans.
const FULL_CAPACITY_FRACTION: (u64, u64) = (9, 10);

const SHARDS: usize = 16;

/// Why tokens were not reserved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Delay before the caller should retry.
    pub retry_after: Duration,
    /// Whether the request needs more tokens than the burst and can never be served.
    pub too_large: bool,
}

/// Tokens reserved for one request; released if dropped before [`Limiter::commit`].
#[derive(Debug)]
pub struct Reservation {
    account: Arc<Account>,
    daemon_started_at: Instant,
    hold: Option<Hold>,
    spent: Option<Spent>,
}

/// Position in the home daemon's overflow history when a request was sent.
#[derive(Debug, Clone, Copy)]
struct Spent {
    tokens: u64,
    tick: u64,
    epoch: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(hold) = self.hold.take() {
            let mut state = self.account.state.lock();
            state
                .balance
                .release(&hold, self.daemon_started_at.elapsed());
        }
    }
}

/// One workspace's tokens and waiting requests.
#[derive(Debug)]
struct Account {
    name: Name,
    state: Mutex<AccountState>,
}

#[derive(Debug, Default)]
struct AccountState {
    balance: Balance,
    queue: VecDeque<Waiter>,
    ask_in_flight: bool,
    next_ask_at: Duration,
    home: Option<SocketAddr>,
    home_session: Option<Arc<str>>,
    epoch: u64,
    latest_grant: Option<(Grant, Duration)>,
    undersized_since: Option<Duration>,
    partial_since: Option<Duration>,
    final_return: Option<(SocketAddr, Ask)>,
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
    shards: [Mutex<HashMap<Name, Arc<Account>>>; SHARDS],
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
        let account = self.account(&workspace.name);
        let receiver = {
            let now = node.now();
            let mut state = account.state.lock();
            if state.queue.is_empty()
                && let Some(hold) = state.balance.take(tokens, now)
            {
                return Ok(reservation(&account, node, hold));
            }
            let (sender, receiver) = oneshot::channel();
            state.queue.push_back(Waiter {
                tokens,
                deadline,
                sender,
            });
            receiver
        };
        self.complete_waiters(node, &account);
        self.wake.notify_one();
        self.meter.waiting.inc();
        let answer = tokio::time::timeout(deadline.saturating_sub(node.now()), receiver).await;
        self.meter.waiting.dec();
        match answer {
            Ok(Ok(result)) => result,
            _ => Err(Refusal {
                retry_after: account.state.lock().refill_time(tokens),
                too_large: false,
            }),
        }
    }

    /// Commits a reservation, which spends its tokens; call this right before sending the request to an endpoint.
    ///
    /// Tokens that expired while the request waited for an endpoint are reserved again.
    ///
    /// # Errors
    /// Returns a [`Refusal`] if expired tokens cannot be replaced before the deadline.
    pub async fn commit(
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
    pub fn refund(&self, mut reservation: Reservation, used: u64) {
        if let Some(hold) = reservation.hold.take() {
            let now = reservation.daemon_started_at.elapsed();
            let _ = reservation.spend(&hold, now);
        }
        let Some(spent) = reservation.spent else {
            return;
        };
        let mut state = reservation.account.state.lock();
        if spent.epoch == state.epoch {
            let unused = spent.tokens.saturating_sub(used);
            state.balance.refund(spent.tick, unused);
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

    fn account(&self, workspace: &Name) -> Arc<Account> {
        let shard = &self.shards[xxh3_64(workspace.as_bytes()) as usize % SHARDS];
        let mut shard = shard.lock();
        let account = shard.entry(workspace.clone()).or_insert_with(|| {
            Arc::new(Account {
                name: workspace.clone(),
                state: Mutex::default(),
            })
        });
        account.clone()
    }

    fn accounts(&self) -> Vec<Arc<Account>> {
        let shards = self.shards.iter();
        shards
            .flat_map(|shard| shard.lock().values().cloned().collect::<Vec<_>>())
            .collect()
    }

    /// Completes the waiting requests whose result is known.
    fn complete_waiters(&self, node: &Node, account: &Arc<Account>) {
        let outcomes = account.state.lock().take_outcomes(account, node);
        for (sender, outcome) in outcomes {
            let _ = sender.send(outcome);
        }
    }
}

impl Reservation {
    fn spend(&mut self, hold: &Hold, now: Duration) -> bool {
        let mut state = self.account.state.lock();
        let spent = state.balance.spend(hold, now);
        if spent {
            self.spent = Some(Spent {
                tokens: hold.tokens,
                tick: state.balance.tick(),
                epoch: state.epoch,
            });
        }
        spent
    }
}

fn reservation(account: &Arc<Account>, node: &Node, hold: Hold) -> Reservation {
    Reservation {
        account: account.clone(),
        daemon_started_at: node.started_at,
        hold: Some(hold),
        spent: None,
    }
}

impl AccountState {
    /// Dequeues the requests that have obtained their tokens or cannot obtain them in time.
    fn take_outcomes(&mut self, account: &Arc<Account>, node: &Node) -> Vec<Outcome> {
        let now = node.now();
        self.queue.retain(|waiter| !waiter.sender.is_closed());
        let mut outcomes = Vec::new();
        while let Some(waiter) = self.queue.front() {
            let Some(hold) = self.balance.take(waiter.tokens, now) else {
                break;
            };
            let Some(waiter) = self.queue.pop_front() else {
                break;
            };
            outcomes.push((waiter.sender, Ok(reservation(account, node, hold))));
        }
        let loan_window = node.quota.terms().loan * 2;
        let mut ahead = 0;
        let queue = std::mem::take(&mut self.queue);
        for waiter in queue {
            match self.wait_beyond_deadline(ahead + waiter.tokens, &waiter, now, loan_window) {
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
    fn wait_beyond_deadline(
        &self,
        tokens: u64,
        waiter: &Waiter,
        now: Duration,
        loan_window: Duration,
    ) -> Option<Duration> {
        if now >= waiter.deadline {
            return Some(self.refill_time(waiter.tokens));
        }
        let (grant, at) = self.latest_grant.as_ref()?;
        let partial = |since: Duration| now.saturating_sub(since) <= loan_window;
        if self.partial_since.is_some_and(partial) {
            return None;
        }
        let undersized = self
            .undersized_since
            .is_some_and(|since| now - since > loan_window);
        if undersized && waiter.tokens > grant.capacity {
            return Some(loan_window);
        }
        if now.saturating_sub(*at) > MAX_BACKLOG_AGE
            || grant.tokens_per_second == 0
            || !grant.renewed
        {
            return None;
        }
        let missing = (tokens + grant.backlog).saturating_sub(self.balance.available());
        let home_wait = Duration::from_millis(grant.wait_ms);
        let wait = duration_at_rate(missing, grant.tokens_per_second)
            .saturating_sub(self.level_credit(home_wait));
        (now + wait > waiter.deadline).then_some(wait)
    }

    /// Returns how much the token level of the home daemon shortens the wait of the first waiting request.
    fn level_credit(&self, wait: Duration) -> Duration {
        let Some((grant, _)) = &self.latest_grant else {
            return Duration::ZERO;
        };
        let first = self.queue.front().map_or(0, |waiter| waiter.tokens);
        let first = first.saturating_sub(self.balance.available());
        duration_at_rate(first, grant.tokens_per_second).saturating_sub(wait)
    }

    fn refill_time(&self, tokens: u64) -> Duration {
        let rate = self
            .latest_grant
            .map_or(0, |(grant, _)| grant.tokens_per_second);
        let shortest = Duration::from_secs(1);
        if rate == 0 {
            return UNKNOWN_RATE_RETRY_AFTER;
        }
        duration_at_rate(tokens, rate).clamp(shortest, 3600 * shortest)
    }

    fn backlog(&self) -> u64 {
        let waiting: u64 = self.queue.iter().map(|waiter| waiter.tokens).sum();
        waiting.saturating_sub(self.balance.available())
    }

    /// Starts a token request to the home daemon, if one is due.
    fn prepare_ask(&mut self, home: SocketAddr, node: &Node) -> Option<Ask> {
        let now = node.now();
        if self.ask_in_flight || now < self.next_ask_at {
            return None;
        }
        if self.home != Some(home) {
            let former = self.home.replace(home);
            self.home_session = None;
            let final_return = self.reset_home();
            self.final_return = former.zip(final_return);
        }
        if node.leaving.is_cancelled() {
            self.balance.return_idle();
        }
        let first = self.queue.front().map_or(0, |waiter| waiter.tokens);
        let need = first.saturating_sub(self.balance.available());
        if need == 0 && !self.balance.due(now, &node.quota.terms()) {
            return None;
        }
        self.ask_in_flight = true;
        Some(self.balance.ask(need, self.backlog(), now))
    }

    fn reset_home(&mut self) -> Option<Ask> {
        self.epoch += 1;
        self.latest_grant = None;
        self.balance.detach()
    }

    /// Applies the home daemon's answer to a token request that was sent at `asked_at`.
    fn receive(
        &mut self,
        session: &Arc<str>,
        sequence: u64,
        grant: &Grant,
        asked_at: Duration,
        fleet_capacity: u64,
        node: &Node,
    ) {
        let now = node.now();
        self.ask_in_flight = false;
        if self
            .home_session
            .as_ref()
            .is_some_and(|known| known != session)
        {
            self.reset_home();
        }
        self.home_session = Some(session.clone());
        self.balance
            .receive(sequence, grant, asked_at, now, &node.quota.terms());
        let first = self.queue.front().map_or(0, |waiter| waiter.tokens);
        match first > grant.capacity {
            true => drop(self.undersized_since.get_or_insert(now)),
            false => self.undersized_since = None,
        }
        match grant.capacity < fleet_capacity / FULL_CAPACITY_FRACTION.1 * FULL_CAPACITY_FRACTION.0
        {
            true => drop(self.partial_since.get_or_insert(now)),
            false => self.partial_since = None,
        }
        self.latest_grant = Some((*grant, now));
        if first > self.balance.available() {
            let wait = Duration::from_millis(grant.wait_ms);
            self.next_ask_at = now + wait.clamp(REASK_DELAY_RANGE[0], REASK_DELAY_RANGE[1]);
        }
    }
}

fn duration_at_rate(tokens: u64, rate: u64) -> Duration {
    Duration::from_millis(tokens.saturating_mul(1000) / rate.max(1))
}

/// Requests tokens from home daemons, renews and returns them, until the daemon stops.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::select! {
            () = node.limiter.wake.notified() => {}
            () = tokio::time::sleep(TICK_INTERVAL) => {}
            () = node.stopped.cancelled() => {
                poll_accounts(&node);
                return;
            }
        }
        poll_accounts(&node);
        node.limiter.meter.observe(&node);
    }
}

fn poll_accounts(node: &Arc<Node>) {
    let mut batches: BTreeMap<SocketAddr, Vec<(Arc<Account>, Ask)>> = BTreeMap::new();
    for account in node.limiter.accounts() {
        node.limiter.complete_waiters(node, &account);
        let home = home_of(node, &account.name);
        let (ask, final_return) = {
            let mut state = account.state.lock();
            (state.prepare_ask(home, node), state.final_return.take())
        };
        if let Some((former, final_return)) = final_return {
            send_final_return(node, former, &account, final_return);
        }
        if let Some(ask) = ask {
            batches.entry(home).or_default().push((account, ask));
        }
    }
    for (home, batch) in batches {
        if home == node.peer_address {
            let asks = build_asks(node, &batch);
            let asked_at = node.now();
            let grants = quota::grant(node, &asks);
            apply_grants(node, &batch, Some(&grants), asked_at);
        } else {
            tokio::spawn(request_grants(node.clone(), home, batch));
        }
    }
}

/// Returns unspent tokens to a former home daemon.
fn send_final_return(
    node: &Arc<Node>,
    former: SocketAddr,
    account: &Arc<Account>,
    final_return: Ask,
) {
    let asks = build_asks(node, &[(account.clone(), final_return)]);
    if former == node.peer_address {
        quota::grant(node, &asks);
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
        .home(&quota::duty_name(group_of(workspace)), None);
    home.map_or(node.peer_address, |home| home.address)
}

fn build_asks(node: &Node, batch: &[(Arc<Account>, Ask)]) -> Asks {
    let asks = batch.iter();
    Asks {
        session: node.session.clone(),
        address: node.peer_address,
        asks: asks
            .map(|(account, ask)| (account.name.clone(), ask.clone()))
            .collect(),
    }
}

async fn request_grants(node: Arc<Node>, home: SocketAddr, batch: Vec<(Arc<Account>, Ask)>) {
    let asks = build_asks(&node, &batch);
    let asked_at = node.now();
    let call = node
        .peers
        .call::<_, Grants>(home, method::GRANT, &asks, CALL_TIMEOUT);
    let answer = call.await.ok();
    let elapsed = node.now().saturating_sub(asked_at);
    node.limiter
        .meter
        .record_call(&asks, answer.as_ref(), elapsed);
    apply_grants(&node, &batch, answer.as_ref(), asked_at);
    node.limiter.wake.notify_one();
}

/// Returns the fleet-wide capacity of a workspace, in tokens.
fn fleet_capacity(node: &Node, workspace: &str) -> u64 {
    let config = node.config.load();
    let workspace = config.workspaces.get(workspace);
    workspace.map_or(0, |workspace| workspace.burst_tokens)
}

fn apply_grants(
    node: &Node,
    batch: &[(Arc<Account>, Ask)],
    answer: Option<&Grants>,
    asked_at: Duration,
) {
    for (index, (account, ask)) in batch.iter().enumerate() {
        let grant = answer.and_then(|answer| answer.grants.get(index));
        let mut state = account.state.lock();
        match (answer, grant) {
            (Some(answer), Some(grant)) => {
                let fleet_capacity = fleet_capacity(node, &account.name);
                state.receive(
                    &answer.session,
                    ask.sequence,
                    grant,
                    asked_at,
                    fleet_capacity,
                    node,
                );
            }
            _ => {
                state.ask_in_flight = false;
                state.next_ask_at = node.now() + RETRY_DELAY;
            }
        }
        drop(state);
        node.limiter.complete_waiters(node, account);
    }
}
