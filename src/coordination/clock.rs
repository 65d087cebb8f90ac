//! Time of day that a jump of one machine's clock doesn't change: the median over daemons of how far each wall clock is ahead of
//! this daemon's monotonic clock.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::state::record::Name;

/// Time after which a peer's sample is dropped; daemons of the largest fleets send each other heartbeats every 10 s.
const SAMPLE_LIFE: Duration = Duration::from_secs(30);

/// One daemon's estimate of the time of day.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::clock::Clock;
/// let second = Duration::from_secs(1);
/// let mut clock = Clock::default();
/// clock.observe_peer(&"a".into(), second * 100, second);
/// clock.observe_peer(&"b".into(), second * 100, second);
/// // This machine's own clock is two seconds ahead.
/// clock.observe_own(second * 102, second);
/// assert_eq!(clock.time(second * 2), second * 101);
/// ```
#[derive(Debug, Default)]
pub struct Clock {
    /// Offset of each peer, in microseconds, and when it was observed.
    peers: BTreeMap<Name, (i64, Duration)>,
    /// Median of all offsets, in microseconds.
    median: i64,
}

impl Clock {
    /// Records a peer's wall-clock time, as received at `now` by the monotonic clock.
    pub fn observe_peer(&mut self, peer: &Name, wall: Duration, now: Duration) {
        self.peers.insert(peer.clone(), (offset(wall, now), now));
    }

    /// Records this daemon's own wall-clock time at `now`, and computes the median again.
    pub fn observe_own(&mut self, wall: Duration, now: Duration) {
        self.peers.retain(|_, (_, at)| *at + SAMPLE_LIFE > now);
        let peers = self.peers.values().map(|(offset, _)| *offset);
        let mut offsets: Vec<i64> = peers.chain([offset(wall, now)]).collect();
        offsets.sort_unstable();
        let (low, high) = (offsets[(offsets.len() - 1) / 2], offsets[offsets.len() / 2]);
        self.median = ((i128::from(low) + i128::from(high)) / 2) as i64;
    }

    /// Time since the Unix epoch at `now` by the monotonic clock.
    pub fn time(&self, now: Duration) -> Duration {
        let micros = (now.as_micros() as i64).saturating_add(self.median);
        Duration::from_micros(micros.max(0) as u64)
    }
}

fn offset(wall: Duration, now: Duration) -> i64 {
    (wall.as_micros() as i64).saturating_sub(now.as_micros() as i64)
}
