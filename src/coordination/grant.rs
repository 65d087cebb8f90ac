//! Units of a workspace's rate limit that a daemon has been granted by the workspace's homes, for the requests that it
//! has or expects.

use std::time::Duration;

/// Time constant of the moving average of demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Time for which a daemon asks for units ahead of requests. All granted units together stay well below the tolerance of
/// the limit.
const HORIZON: Duration = Duration::from_millis(300);

/// Level, as a share of the units of [`HORIZON`], below which more are asked for.
const LOW_SHARE: f64 = 0.5;

/// Level, as a multiple of the units of [`HORIZON`], above which units are returned.
const SURPLUS_FACTOR: f64 = 2.0;

/// Longest time for which requests are refused without asking again.
const MAX_DENIAL: Duration = Duration::from_millis(250);

/// Units that a daemon asks a home for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Units of a request that waits for them; 0 if none does.
    pub needed: f64,
    /// Units that also cover expected requests.
    pub ahead: f64,
}

/// Granted units of one workspace.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::grant::Balance;
/// let mut balance = Balance::default();
/// let now = Duration::from_secs(1);
/// assert!(!balance.take(700.0, now));
/// let request = balance.request(700.0, now);
/// assert_eq!(request.needed, 700.0);
/// balance.receive(request.needed, now);
/// assert!(balance.take(700.0, now));
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Balance {
    level: f64,
    at: Duration,
    /// Units per second of recent requests.
    demand: f64,
    denied_until: Duration,
}

impl Balance {
    /// Counts the units of a request as demand.
    pub fn expect(&mut self, units: f64, now: Duration) {
        self.advance(now);
        self.demand += units / DEMAND_TIME_CONSTANT.as_secs_f64();
    }

    /// Takes units for a request; returns whether there were enough.
    pub fn take(&mut self, units: f64, now: Duration) -> bool {
        self.advance(now);
        let is_enough = self.level >= units;
        if is_enough {
            self.level -= units;
        }
        is_enough
    }

    /// Units to ask for because a request of `needed` units could not be served.
    pub fn request(&mut self, needed: f64, now: Duration) -> Request {
        self.advance(now);
        Request {
            needed: (needed - self.level).max(0.0),
            ahead: (needed + self.horizon() - self.level).max(0.0),
        }
    }

    /// Units to ask for before requests need them, if the level is low.
    pub fn request_ahead(&mut self, now: Duration) -> Option<Request> {
        self.advance(now);
        let is_low = self.level < self.horizon() * LOW_SHARE;
        is_low.then(|| Request {
            needed: 0.0,
            ahead: self.horizon() - self.level,
        })
    }

    /// Adds units, granted or of a request that did not run.
    pub fn receive(&mut self, units: f64, now: Duration) {
        self.advance(now);
        self.level += units;
    }

    /// Deducts the units beyond the expected demand, to return them to a home.
    pub fn surplus(&mut self, now: Duration) -> f64 {
        self.advance(now);
        let surplus = self.level - self.horizon() * SURPLUS_FACTOR;
        let surplus = surplus.max(0.0).floor();
        self.level -= surplus;
        surplus
    }

    /// Records that no home has units for the time `wait`.
    pub fn denied(&mut self, wait: Duration, now: Duration) {
        self.denied_until = now + wait.min(MAX_DENIAL);
    }

    /// Time for which homes are not asked because they had no units; `None` if they are.
    pub fn denial(&self, now: Duration) -> Option<Duration> {
        (self.denied_until > now).then(|| self.denied_until - now)
    }

    fn horizon(&self) -> f64 {
        self.demand * HORIZON.as_secs_f64()
    }

    fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.demand *= (-elapsed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
    }
}
