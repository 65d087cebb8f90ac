//! Tokens of one workspace that a daemon was granted by the workspace's home.

use std::time::Duration;

use super::bucket::{Ask, Grant};
use super::loan::Terms;

/// Time without requests after which unused tokens are returned.
const IDLE_TIME: Duration = Duration::from_millis(1000);

/// Maximum number of refunds in one message; older ones are dropped.
const MAX_REFUNDS: usize = 32;

/// Tokens reserved for a request until it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Hold {
    pub tokens: u64,
    generation: u64,
    expires_at: Duration,
}

/// Token balance of one workspace at one daemon.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::bucket::Grant;
/// use persimmoncroft::coordination::loan::Terms;
/// use persimmoncroft::coordination::balance::Balance;
/// let second = Duration::from_secs(1);
/// let terms = Terms { loan: 5 * second, grant: second, drift_permille: 0 };
/// let mut balance = Balance::default();
/// let ask = balance.ask(30, 30, second);
/// let grant = Grant { tokens: 30, renewed: true, ..Grant::default() };
/// balance.receive(ask.sequence, &grant, second, second, &terms);
/// let hold = balance.take(30, second).unwrap();
/// assert!(balance.spend(&hold, second));
/// assert!(balance.take(1, second).is_none());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Balance {
    available: u64,
    reserved: u64,
    expires_at: Duration,
    generation: u64,
    sequence: u64,
    tick: u64,
    refunds: Vec<(u64, u64)>,
    taken_since_ask: u64,
    last_taken: Duration,
    contended: bool,
}

impl Balance {
    /// Reserves tokens for a request, if enough are available.
    pub fn take(&mut self, tokens: u64, now: Duration) -> Option<Hold> {
        self.expire(now);
        if self.available < tokens {
            return None;
        }
        self.available -= tokens;
        self.reserved += tokens;
        self.taken_since_ask += tokens;
        self.last_taken = now;
        Some(Hold {
            tokens,
            generation: self.generation,
            expires_at: self.expires_at,
        })
    }

    /// Spends reserved tokens for a request that is about to be sent; returns `false` if they have expired.
    pub fn spend(&mut self, hold: &Hold, now: Duration) -> bool {
        self.expire(now);
        if hold.generation == self.generation {
            self.reserved -= hold.tokens;
            return true;
        }
        now < hold.expires_at
    }

    /// Releases the tokens of a request that will not be sent.
    pub fn release(&mut self, hold: &Hold, now: Duration) {
        self.expire(now);
        if hold.generation == self.generation {
            self.reserved -= hold.tokens;
            self.available += hold.tokens;
        }
    }

    /// Records tokens that a request reserved but did not use, with the tick known when it was sent.
    pub fn refund(&mut self, tick: u64, tokens: u64) {
        if tokens == 0 || tick == 0 {
            return;
        }
        match self.refunds.iter_mut().find(|refund| refund.0 == tick) {
            Some(refund) => refund.1 += tokens,
            None => self.refunds.push((tick, tokens)),
        }
        if self.refunds.len() > MAX_REFUNDS {
            self.refunds.remove(0);
        }
    }

    /// Returns the latest known tick of the home's overflow history.
    pub fn tick(&self) -> u64 {
        self.tick
    }

    /// Returns the tokens that are not reserved.
    pub fn available(&self) -> u64 {
        self.available
    }

    /// Returns the unspent tokens, including reserved ones.
    pub fn held(&self, now: Duration) -> u64 {
        let valid = now < self.expires_at;
        if valid {
            self.available + self.reserved
        } else {
            0
        }
    }

    /// Returns whether to contact the home although no request is waiting: to renew or return tokens, to get more, or
    /// to report refunds.
    pub fn due(&self, now: Duration, terms: &Terms) -> bool {
        let expires_soon = self.expires_at.saturating_sub(now) < terms.grant / 2;
        let idle = self.available > 0 && (self.contended || self.idle(now));
        let low = self.taken_since_ask > 0 && self.available < self.taken_since_ask;
        low || (self.held(now) > 0 && expires_soon) || !self.refunds.is_empty() || idle
    }

    /// Creates a request to the home; replies to earlier requests are then ignored.
    pub fn ask(&mut self, need: u64, backlog: u64, now: Duration) -> Ask {
        self.expire(now);
        self.sequence += 1;
        let idle = need == 0 && (self.contended || self.idle(now));
        let returned = if idle { self.available } else { 0 };
        self.available -= returned;
        let more = (backlog.saturating_sub(need)) + 2 * self.taken_since_ask;
        self.taken_since_ask = 0;
        Ask {
            sequence: self.sequence,
            held: self.available + self.reserved,
            returned,
            need,
            more: if idle { 0 } else { more },
            backlog,
            refunds: std::mem::take(&mut self.refunds),
        }
    }

    /// Handles the reply to the latest request, which was sent at `asked`.
    pub fn receive(
        &mut self,
        sequence: u64,
        grant: &Grant,
        asked: Duration,
        now: Duration,
        terms: &Terms,
    ) {
        if sequence != self.sequence {
            return;
        }
        self.expire(now);
        let expires_at = asked + terms.shortened(terms.grant);
        self.tick = grant.tick;
        self.contended = grant.contended;
        if !grant.renewed || now >= expires_at {
            return;
        }
        self.expires_at = expires_at;
        self.available += grant.tokens;
    }

    /// Makes the next request to the home return idle tokens.
    pub fn return_idle(&mut self) {
        self.contended = true;
    }

    /// Detaches from the home. Returns the last message to it, if any tokens are held.
    ///
    /// Reserved tokens stay valid until they expire but are no longer renewed. All others are returned, so that the
    /// home need not wait for them to expire.
    pub fn detach(&mut self) -> Option<Ask> {
        let held = self.available + self.reserved;
        let final_ask = (held > 0).then(|| Ask {
            sequence: self.sequence + 1,
            held: self.reserved,
            returned: self.available,
            ..Ask::default()
        });
        self.generation += 1;
        self.sequence += 2;
        self.available = 0;
        self.reserved = 0;
        self.refunds.clear();
        self.tick = 0;
        self.expires_at = Duration::ZERO;
        self.contended = false;
        final_ask
    }

    fn idle(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_taken) > IDLE_TIME
    }

    fn expire(&mut self, now: Duration) {
        if now < self.expires_at || self.available + self.reserved == 0 {
            return;
        }
        self.generation += 1;
        self.available = 0;
        self.reserved = 0;
    }
}
