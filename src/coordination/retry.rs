//! Retry budgets: retries are limited to a share of requests, so that they do not amplify an overload.

use std::collections::VecDeque;
use std::time::Duration;

/// Tokens, in tenths of a retry, that a request adds.
const TOKENS_PER_REQUEST: u64 = 2;

/// Tokens that a retry takes.
const TOKENS_PER_RETRY: u64 = 10;

/// Maximum number of tokens in the budget.
const MAX_TOKENS: u64 = 200;

/// Retry budget of one daemon: one retry per five requests, with at most twenty retries saved.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Budget {
    level: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { level: MAX_TOKENS }
    }
}

impl Budget {
    /// Adds the tokens of a request.
    pub fn deposit(&mut self) {
        self.level = (self.level + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes the tokens of a retry. Returns whether the budget allowed it.
    ///
    /// ```
    /// use persimmoncroft::coordination::retry::Budget;
    /// let mut budget = Budget::default();
    /// assert_eq!((0..100).filter(|_| budget.take()).count(), 20);
    /// ```
    pub fn take(&mut self) -> bool {
        let is_allowed = self.level >= TOKENS_PER_RETRY;
        if is_allowed {
            self.level -= TOKENS_PER_RETRY;
        }
        is_allowed
    }
}

/// Share of the limit that a daemon uses: it counts only what reached it, and the limit holds in windows that start at
/// other times than its own, too.
const USABLE_SHARE: f64 = 0.8;

/// Slots per window.
const SLOTS_PER_WINDOW: u32 = 20;

/// Limit on the retries of a fleet to one service within any window of a given length.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Length of the window.
    pub window: Duration,
    /// Retries per request of the window.
    pub share: f64,
    /// Additional retries of the whole fleet.
    pub extra: f64,
    /// Daemons that share the additional retries.
    pub daemons: usize,
}

/// Requests and retries of one daemon to one service in the last window.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::retry::{Limit, Window};
/// let second = Duration::from_secs(1);
/// let limit = Limit { window: 10 * second, share: 0.2, extra: 50.0, daemons: 5 };
/// let mut window = Window::open(Duration::ZERO);
/// // Each daemon's share is ten extra retries, of which it uses eight once a window has passed since its start.
/// let taken = |window: &mut Window, at| (0..100).filter(|_| window.take(&limit, at)).count();
/// assert_eq!(taken(&mut window, 9 * second), 0);
/// assert_eq!(taken(&mut window, 11 * second), 8);
/// assert_eq!(taken(&mut window, 15 * second), 0);
/// ```
#[derive(Debug, Clone)]
pub struct Window {
    opened_at: Duration,
    slots: VecDeque<Slot>,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    number: u128,
    requests: u64,
    retries: u64,
}

impl Window {
    /// Creates the counts of a daemon that starts now. Retries sent before a restart are not known, so it gets no share
    /// of the extra retries for one window.
    pub fn open(now: Duration) -> Self {
        Self {
            opened_at: now,
            slots: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn request(&mut self, limit: &Limit, now: Duration) {
        self.slot(limit, now).requests += 1;
    }

    /// Counts a retry if one is allowed. Returns whether it is.
    pub fn take(&mut self, limit: &Limit, now: Duration) -> bool {
        let number = self.slot(limit, now).number;
        // The oldest slot is only partly within the window: its retries count, its requests do not.
        let is_fully_inside = |slot: &&Slot| slot.number + u128::from(SLOTS_PER_WINDOW) > number;
        let inside = self.slots.iter().filter(is_fully_inside);
        let requests: u64 = inside.map(|slot| slot.requests).sum();
        let retries: u64 = self.slots.iter().map(|slot| slot.retries).sum();
        let extra = match now > self.opened_at + limit.window {
            true => limit.extra / limit.daemons.max(1) as f64,
            false => 0.0,
        };
        let max_retries = (requests as f64 * limit.share + extra) * USABLE_SHARE;
        let is_allowed = (retries + 1) as f64 <= max_retries;
        if is_allowed {
            self.slot(limit, now).retries += 1;
        }
        is_allowed
    }

    /// Drops the slots that have left the window and returns the current one.
    fn slot(&mut self, limit: &Limit, now: Duration) -> &mut Slot {
        let length = (limit.window / SLOTS_PER_WINDOW).max(Duration::from_millis(1));
        let number = now.as_nanos() / length.as_nanos();
        let has_left = |slot: &Slot| slot.number + u128::from(SLOTS_PER_WINDOW) < number;
        while self.slots.front().is_some_and(has_left) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| slot.number < number) {
            self.slots.push_back(Slot {
                number,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
