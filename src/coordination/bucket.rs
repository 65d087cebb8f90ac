//! Token bucket of one workspace at its home, the daemon that grants the workspace's tokens.
//!
//! A bucket holds some parts of the workspace's rate and burst. Tokens granted to daemons and not yet spent count
//! against its capacity: `level + outstanding <= capacity`. All buckets of a workspace together therefore allow no more
//! than a single strict bucket.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::loan::Terms;

/// Number of parts into which every fleet-wide limit is divided.
pub const PARTS: u32 = 1 << 20;

/// Microtokens per token; levels are kept in microtokens.
const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// Interval between entries of the overflow history.
const TICK: Duration = Duration::from_millis(500);

/// Length of the overflow history, in ticks.
const HISTORY_TICKS: usize = 128;

/// Time without requests after which an account is removed.
const ACCOUNT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Grants ahead of demand, over all daemons, take at most this fraction (as a divisor) of the capacity.
const PREFETCH_DIVISOR: u64 = 4;

/// Fleet-wide rate limit of a workspace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Rate {
    /// Refill rate.
    pub tokens_per_second: u64,
    /// Capacity.
    pub burst_tokens: u64,
}

/// A daemon's request for tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(default)]
pub struct Ask {
    /// Sequence number; increases within a session.
    #[serde(rename = "s", skip_serializing_if = "is_zero")]
    pub sequence: u64,
    /// Unspent tokens that the daemon holds.
    #[serde(rename = "h", skip_serializing_if = "is_zero")]
    pub held: u64,
    /// Unspent tokens that the daemon returns.
    #[serde(rename = "r", skip_serializing_if = "is_zero")]
    pub returned: u64,
    /// Tokens missing for its oldest waiting request.
    #[serde(rename = "n", skip_serializing_if = "is_zero")]
    pub need: u64,
    /// Tokens that it can use in addition.
    #[serde(rename = "m", skip_serializing_if = "is_zero")]
    pub more: u64,
    /// Tokens missing for all its waiting requests.
    #[serde(rename = "b", skip_serializing_if = "is_zero")]
    pub backlog: u64,
    /// Pairs of a tick and the tokens that requests reserved but did not use; the tick is the latest known when they
    /// were sent.
    #[serde(rename = "f", skip_serializing_if = "Vec::is_empty")]
    pub refunds: Vec<(u64, u64)>,
}

/// Reply of the home to a request for tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(default)]
pub struct Grant {
    /// Tokens granted now.
    #[serde(rename = "g", skip_serializing_if = "is_zero")]
    pub tokens: u64,
    /// Whether the lifetime of the tokens already held was renewed.
    #[serde(rename = "y", skip_serializing_if = "std::ops::Not::not")]
    pub renewed: bool,
    /// Time in milliseconds until the needed tokens can be granted; less if others return some.
    #[serde(rename = "w", skip_serializing_if = "is_zero")]
    pub wait_ms: u64,
    /// Tokens missing for the waiting requests of other daemons.
    #[serde(rename = "b", skip_serializing_if = "is_zero")]
    pub backlog: u64,
    /// Refill rate of the home's parts, in tokens per second.
    #[serde(rename = "t", skip_serializing_if = "is_zero")]
    pub tokens_per_second: u64,
    /// Capacity of the home's parts, in tokens.
    #[serde(rename = "c", skip_serializing_if = "is_zero")]
    pub capacity: u64,
    /// Current tick of the home's overflow history.
    #[serde(rename = "k", skip_serializing_if = "is_zero")]
    pub tick: u64,
    /// Whether another daemon is waiting, so that idle tokens should be returned.
    #[serde(rename = "x", skip_serializing_if = "std::ops::Not::not")]
    pub contended: bool,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Account {
    sequence: u64,
    held: u64,
    expires_at: Duration,
    asked_at: Duration,
    need: u64,
    need_since: Duration,
    backlog: u64,
}

/// Token bucket of one workspace at one daemon.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::bucket::{Ask, Bucket, PARTS, Rate};
/// use persimmoncroft::coordination::loan::Terms;
/// let second = Duration::from_secs(1);
/// let terms = Terms { loan: 5 * second, grant: second, drift_permille: 0 };
/// let rate = Rate { tokens_per_second: 100, burst_tokens: 150 };
/// let mut bucket = Bucket::open(second);
/// bucket.refresh(rate, PARTS, second);
/// bucket.refresh(rate, PARTS, 2 * second);
/// let ask = Ask { sequence: 1, need: 60, ..Ask::default() };
/// assert_eq!(bucket.ask(&"d".into(), &ask, 2 * second, &terms).tokens, 60);
/// assert_eq!((bucket.level(), bucket.outstanding()), (40, 60));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Bucket {
    rate: Rate,
    parts: u32,
    level_microtokens: u64,
    refilled_at: Duration,
    accounts: BTreeMap<Arc<str>, Account>,
    headroom: VecDeque<u64>,
    tick: u64,
    tick_started: Duration,
}

impl Bucket {
    /// Creates an empty bucket without parts.
    pub fn open(now: Duration) -> Self {
        Self {
            rate: Rate::default(),
            parts: 0,
            level_microtokens: 0,
            refilled_at: now,
            accounts: BTreeMap::new(),
            headroom: VecDeque::from([0]),
            tick: 1,
            tick_started: now,
        }
    }

    /// Returns the whole tokens in the bucket.
    pub fn level(&self) -> u64 {
        self.level_microtokens / MICROTOKENS_PER_TOKEN
    }

    /// Returns the granted tokens that may still be spent.
    pub fn outstanding(&self) -> u64 {
        self.accounts.values().map(|account| account.held).sum()
    }

    /// Returns the capacity of the parts held, in tokens.
    pub fn capacity(&self) -> u64 {
        self.share(self.rate.burst_tokens) / MICROTOKENS_PER_TOKEN
    }

    /// Refills the bucket and applies the current rate and parts.
    ///
    /// The refill uses the smaller of the previous and the current rate and parts.
    pub fn refresh(&mut self, rate: Rate, parts: u32, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let rate_before = self.rate.tokens_per_second.min(rate.tokens_per_second);
        let parts_before = self.parts.min(parts);
        let refill = u128::from(rate_before) * u128::from(parts_before) * elapsed.as_micros();
        self.level_microtokens += u64::try_from(refill / u128::from(PARTS)).unwrap_or(u64::MAX / 4);
        self.refilled_at = self.refilled_at.max(now);
        self.rate = rate;
        self.parts = parts;
        self.expire(now);
        self.clamp(now);
    }

    /// Handles a daemon's request; call [`Bucket::refresh`] first.
    pub fn ask(&mut self, session: &Arc<str>, ask: &Ask, now: Duration, terms: &Terms) -> Grant {
        let Some(renewed) = self.update_account(session, ask, now, terms) else {
            return self.reply(session, 0, false);
        };
        self.clamp(now);
        let tokens = if renewed {
            self.grantable(session, ask)
        } else {
            0
        };
        if let Some(account) = self.accounts.get_mut(session) {
            account.held += tokens;
            account.need = if tokens < ask.need { ask.need } else { 0 };
            account.backlog = ask.backlog.saturating_sub(tokens);
        }
        self.level_microtokens -= tokens * MICROTOKENS_PER_TOKEN;
        self.reply(session, tokens, renewed)
    }

    /// Applies a daemon's report of the tokens it holds. Returns whether their lifetime was renewed, or `None` for an
    /// outdated request.
    fn update_account(
        &mut self,
        session: &Arc<str>,
        ask: &Ask,
        now: Duration,
        terms: &Terms,
    ) -> Option<bool> {
        let capacity = self.share(self.rate.burst_tokens);
        let known = self.accounts.contains_key(session);
        let account = self.accounts.entry(session.clone()).or_insert(Account {
            sequence: 0,
            held: 0,
            expires_at: now,
            asked_at: now,
            need: 0,
            need_since: now,
            backlog: 0,
        });
        if ask.sequence <= account.sequence {
            return None;
        }
        if account.need == 0 {
            account.need_since = now;
        }
        let freed = account.held.saturating_sub(ask.held);
        let confirmed = ask.held <= account.held;
        account.sequence = ask.sequence;
        account.asked_at = now;
        account.held -= freed;
        if known {
            self.level_microtokens += ask.returned.min(freed) * MICROTOKENS_PER_TOKEN;
            for (tick, tokens) in &ask.refunds {
                self.apply_refund(*tick, *tokens);
            }
        }
        let renewed = confirmed && self.outstanding() * MICROTOKENS_PER_TOKEN <= capacity;
        if let Some(account) = self.accounts.get_mut(session).filter(|_| renewed) {
            account.expires_at = now + terms.lengthened(terms.grant);
        }
        Some(renewed)
    }

    /// Adds unused tokens, as far as the bucket would not have overflowed with them since a tick.
    fn apply_refund(&mut self, tick: u64, tokens: u64) {
        let oldest = self.tick + 1 - self.headroom.len() as u64;
        if tick < oldest || tick > self.tick {
            return;
        }
        let start = (tick - oldest) as usize;
        let room = self.headroom.range(start..).min().copied().unwrap_or(0);
        let refund = (tokens * MICROTOKENS_PER_TOKEN).min(room);
        for headroom in self.headroom.range_mut(start..) {
            *headroom -= refund;
        }
        self.level_microtokens += refund;
    }

    fn grantable(&self, session: &Arc<str>, ask: &Ask) -> u64 {
        let free = self.level().saturating_sub(self.need_ahead_of(session));
        if free < ask.need {
            return 0;
        }
        let accounts = self.accounts.len() as u64;
        let prefetch = self.capacity() / PREFETCH_DIVISOR / accounts.max(1);
        let spare = free - ask.need;
        ask.need + ask.more.min(prefetch).min(spare)
    }

    /// Returns the tokens missing for daemons that have waited longer than `session`.
    fn need_ahead_of(&self, session: &Arc<str>) -> u64 {
        let Some(own) = self.accounts.get(session) else {
            return 0;
        };
        let own_key = (own.need_since, session);
        let others = self
            .accounts
            .iter()
            .filter(|(other, account)| account.need > 0 && (account.need_since, *other) < own_key);
        others.map(|(_, account)| account.need).sum()
    }

    fn reply(&self, session: &Arc<str>, tokens: u64, renewed: bool) -> Grant {
        let others = self.accounts.iter().filter(|(other, _)| *other != session);
        let backlog = others.clone().map(|(_, account)| account.backlog).sum();
        let contended = others.clone().any(|(_, account)| account.need > 0);
        let own = self.accounts.get(session).map_or(0, |account| account.need);
        let missing = (self.need_ahead_of(session) + own) * MICROTOKENS_PER_TOKEN;
        let rate = self.share(self.rate.tokens_per_second).max(1);
        let missing = u128::from(missing.saturating_sub(self.level_microtokens));
        let wait = (missing * 1000).div_ceil(u128::from(rate));
        Grant {
            tokens,
            renewed,
            wait_ms: u64::try_from(wait).unwrap_or(u64::MAX),
            backlog,
            tokens_per_second: rate / MICROTOKENS_PER_TOKEN,
            capacity: self.capacity(),
            tick: self.tick,
            contended,
        }
    }

    fn share(&self, amount: u64) -> u64 {
        let share = u128::from(amount) * u128::from(self.parts) * u128::from(MICROTOKENS_PER_TOKEN);
        u64::try_from(share / u128::from(PARTS)).unwrap_or(u64::MAX / 4)
    }

    fn expire(&mut self, now: Duration) {
        self.accounts.retain(|_, account| {
            if account.expires_at <= now {
                account.held = 0;
                account.need = 0;
                account.backlog = 0;
            }
            account.held > 0 || now.saturating_sub(account.asked_at) < ACCOUNT_IDLE_TIMEOUT
        });
    }

    /// Limits the level to the capacity less outstanding tokens and updates the overflow history.
    fn clamp(&mut self, now: Duration) {
        let capacity = self.share(self.rate.burst_tokens);
        let max_level = capacity.saturating_sub(self.outstanding() * MICROTOKENS_PER_TOKEN);
        self.level_microtokens = self.level_microtokens.min(max_level);
        let headroom = max_level - self.level_microtokens;
        if now.saturating_sub(self.tick_started) >= TICK {
            self.tick += 1;
            self.tick_started = now;
            self.headroom.push_back(headroom);
        }
        if self.headroom.len() > HISTORY_TICKS {
            self.headroom.pop_front();
        }
        if let Some(last) = self.headroom.back_mut() {
            *last = headroom.min(*last);
        }
    }
}
