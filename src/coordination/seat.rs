//! Seats: leased table rows that divide the fleet-wide limits among daemons.
//!
//! The parts of all seats and of the pool always sum to [`super::bucket::PARTS`]: each change moves parts in one
//! transaction that checks the versions of the rows it writes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::loan::Terms;

/// Key prefix of seats; followed by zone and number.
pub const PREFIX: &str = "seat/";

/// Key of the row with the unassigned parts.
pub const POOL_KEY: &str = "seat/pool";

/// Value of a seat's row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct Seat {
    /// Session of the holder's process.
    pub session: Arc<str>,
    /// Address of the holder's peer listener.
    pub address: SocketAddr,
    /// Fencing number; increases with every claim.
    pub fence: u64,
    /// Share of the fleet-wide limits, out of [`super::bucket::PARTS`].
    pub parts: u32,
    /// Longest loan that the holder gives, in milliseconds.
    pub loan_ms: u64,
    /// Whether the holder has stopped, so that any daemon may take over the seat.
    #[serde(default)]
    pub resigned: bool,
}

/// Value of the pool's row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct Pool {
    /// Unassigned parts.
    pub parts: u32,
    /// Fencing number of the latest claim.
    pub fence: u64,
}

/// A consistent read of the pool and all seats.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Snapshot {
    /// The pool and its row version; `None` before the first claim.
    pub pool: Option<(u64, Pool)>,
    /// Seats and their row versions by key.
    pub seats: BTreeMap<Arc<str>, (u64, Seat)>,
}

/// Durations that govern seats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Timing {
    /// Lease of a seat.
    pub lease: Duration,
    /// Time without contact to the platform and to zone peers after which a daemon stops using its seat.
    pub isolation: Duration,
    /// Durations of loans and grants.
    pub terms: Terms,
}

/// One transaction on seats and the pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Plan {
    /// Key of the daemon's own seat.
    pub key: Arc<str>,
    /// Expected version of that row; `None` for a claim.
    pub version: Option<u64>,
    /// New value of that row.
    pub seat: Seat,
    /// Expected version and new value of the pool, if it changes.
    pub pool: Option<(Option<u64>, Pool)>,
    /// Key and expected version of a seat that is taken over from a failed holder.
    pub taken_over: Option<(Arc<str>, u64)>,
    /// Time for which gained parts must stay unused.
    pub quarantine: Duration,
}

/// Returns the time after which everything that the holder of a seat lent or granted has expired.
pub fn quarantine(seat: &Seat, timing: &Timing) -> Duration {
    let loan = Duration::from_millis(seat.loan_ms).max(timing.terms.loan);
    Terms {
        loan,
        ..timing.terms
    }
    .quarantine()
}

/// Longest loan to allow in a seat's row, in milliseconds.
pub(super) fn loan_ms(timing: &Timing) -> u64 {
    timing.terms.loan.as_millis() as u64 * 5 / 4
}
