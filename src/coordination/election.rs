//! Leader election by a lease row of the table; holder and observers each use their own monotonic clock.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Value of a lease row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct Lease {
    /// Session of the holder; empty when released.
    pub session: Arc<str>,
    /// Address of the holder's peer listener.
    pub address: std::net::SocketAddr,
    /// Fencing token; it increases with every new holder.
    pub fence: u64,
}

/// What to do about a lease now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Leave the row as it is.
    Wait,
    /// Write the row if it is unchanged since it was read.
    Claim {
        /// Fencing token to write.
        fence: u64,
        /// Version of the row as read; `None` if there was no row.
        version: Option<u64>,
    },
}

/// A term that a daemon begins as a new holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// Fencing token.
    pub fence: u64,
    /// Whether an earlier holder may still act, so that the new one has to wait for a lease's duration.
    pub waits: bool,
}

impl Term {
    /// The term that follows all earlier ones. `claimed` is the token by the row, `highest` the highest one known from
    /// elsewhere (0 if none), `restores` how often the table was restored from a copy, which may lack the latest terms.
    ///
    /// ```
    /// use persimmoncroft::coordination::election::Term;
    /// assert_eq!(Term::after(1, false, 0, 0), Term { fence: 1, waits: false });
    /// assert_eq!(Term::after(3, true, 6, 0), Term { fence: 7, waits: true });
    /// assert!(Term::after(1, false, 0, 1).fence > Term::after(900, true, 0, 0).fence);
    /// ```
    pub fn after(claimed: u64, has_row: bool, highest: u64, restores: u64) -> Self {
        let least = (restores << RESTORE_SHIFT) + 1;
        Self {
            fence: claimed.max(highest.saturating_add(1)).max(least),
            waits: has_row || highest > 0 || restores > 0,
        }
    }
}

/// Bits by which the number of restores is shifted in a fencing token, above the terms between two restores.
const RESTORE_SHIFT: u32 = 32;

/// One daemon's view of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Election {
    lease_duration: Duration,
    /// Version of another session's row, and when it was first read.
    observed: Option<(u64, Duration)>,
    held: Option<Held>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Held {
    fence: u64,
    version: u64,
    renewed_at: Duration,
}

impl Election {
    /// Creates a view of a lease with the given duration.
    pub fn open(lease_duration: Duration) -> Self {
        Self {
            lease_duration,
            observed: None,
            held: None,
        }
    }

    /// Whether this daemon may act as the holder now.
    pub fn holds(&self, now: Duration) -> bool {
        now < self.until()
    }

    /// Version of the row while this daemon holds the lease.
    pub fn version(&self) -> Option<u64> {
        self.held.as_ref().map(|held| held.version)
    }

    /// Time until which this daemon may act as the holder.
    pub fn until(&self) -> Duration {
        let held = self.held.as_ref();
        held.map_or(Duration::ZERO, |held| {
            held.renewed_at + self.lease_duration * 3 / 4
        })
    }

    /// Whether the holder should read and renew the row now.
    pub fn due(&self, now: Duration) -> bool {
        let renewed_at = self.held.as_ref().map(|held| held.renewed_at);
        renewed_at.is_none_or(|renewed_at| now >= renewed_at + self.lease_duration / 4)
    }

    /// Decides what to do about the row as read: a lease and its version, or `None` without a row. `session` is this
    /// daemon's.
    ///
    /// ```
    /// use persimmoncroft::coordination::election::{Election, Step};
    /// use std::time::Duration;
    /// let mut election = Election::open(Duration::from_secs(10));
    /// let step = election.decide(None, "me", Duration::ZERO);
    /// assert_eq!(step, Step::Claim { fence: 1, version: None });
    /// ```
    pub fn decide(&mut self, row: Option<(&Lease, u64)>, session: &str, now: Duration) -> Step {
        let Some((lease, version)) = row else {
            self.held = None;
            return Step::Claim {
                fence: 1,
                version: None,
            };
        };
        if &*lease.session == session {
            return Step::Claim {
                fence: lease.fence,
                version: Some(version),
            };
        }
        self.held = None;
        let unchanged = self.observed.filter(|observed| observed.0 == version);
        let since = unchanged.map_or(now, |observed| observed.1);
        self.observed = Some((version, since));
        let released = lease.session.is_empty();
        if released || now >= since + self.lease_duration {
            return Step::Claim {
                fence: lease.fence.saturating_add(1),
                version: Some(version),
            };
        }
        Step::Wait
    }

    /// Records a successful write that was started at `asked`.
    pub fn claimed(&mut self, fence: u64, version: u64, asked: Duration) {
        self.held = Some(Held {
            fence,
            version,
            renewed_at: asked,
        });
    }

    /// Gives up the lease, after another daemon has written the row or before this one releases it.
    pub fn clear(&mut self) {
        self.held = None;
    }
}
