//! Rate limit for requests to a cold endpoint, divided so that all daemons together stay within what it can handle.

use std::collections::VecDeque;
use std::time::Duration;

use super::rendezvous;

/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Margin for network jitter, by which requests may arrive closer together than they were sent.
const JITTER: Duration = Duration::from_millis(150);

/// Requests sent by one daemon to one endpoint in the last second.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Warmup {
    sent: VecDeque<Duration>,
}

impl Warmup {
    /// Whether one more request may be sent now; `share` is this daemon's limit in requests per second.
    pub fn allows(&mut self, share: usize, now: Duration) -> bool {
        self.forget_older(now);
        self.sent.len() < share
    }

    /// Whether the requests sent, including one that is about to be, are within the limit.
    pub fn is_within(&mut self, share: usize, now: Duration) -> bool {
        self.forget_older(now);
        self.sent.len() <= share
    }

    /// Records a request that is sent, whether the endpoint is known to be cold or not: it may turn out to be.
    pub fn sent(&mut self, now: Duration) {
        self.forget_older(now);
        self.sent.push_back(now);
    }

    /// Takes back the last request recorded, which was not sent after all.
    pub fn unsent(&mut self) {
        self.sent.pop_back();
    }

    fn forget_older(&mut self, now: Duration) {
        let is_old = |sent: &Duration| *sent + WINDOW + JITTER < now;
        while self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
    }
}

/// Requests per second that this daemon may send to a cold endpoint.
///
/// With more daemons than requests per second, only those that rank first by rendezvous hashing may send one each.
///
/// ```
/// use persimmoncroft::coordination::warmup::share;
/// let daemons = ["a", "b", "c"];
/// assert_eq!(share("endpoint", "b", &daemons, 29.0), 9);
/// let one = daemons.iter().filter(|name| share("endpoint", name, &daemons, 1.0) == 1).count();
/// assert_eq!(one, 1);
/// ```
pub fn share(endpoint: &str, daemon: &str, daemons: &[&str], per_second: f64) -> usize {
    let total = per_second.floor() as usize;
    let count = daemons.len().max(1);
    if total >= count {
        return total / count;
    }
    let mut remaining: Vec<&str> = daemons.to_vec();
    for _ in 0..total {
        let Some(first) = rendezvous::choose(endpoint, remaining.iter().copied(), |name| *name)
        else {
            return 0;
        };
        if first == daemon {
            return 1;
        }
        remaining.retain(|name| *name != first);
    }
    0
}
