//! How far this daemon's tables are behind those of its peers.

use std::time::Duration;

/// Tracks how long peers have had a newer version of a table than this daemon.
#[derive(Debug, Default)]
pub struct Lag {
    /// Version that a peer reported and this daemon did not have, and when that was seen.
    behind: Option<(u64, Duration)>,
}

impl Lag {
    /// Whether this daemon still lacks a version that a peer had more than `max_lag` ago; reports each such version once.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::serving::peers::lag::Lag;
    /// let second = Duration::from_secs(1);
    /// let mut lag = Lag::default();
    /// assert!(!lag.observe((4, 7), second, Duration::ZERO));
    /// // The version has arrived in the meantime; the next one is new.
    /// assert!(!lag.observe((7, 9), second, second * 2));
    /// assert!(lag.observe((7, 12), second, second * 3));
    /// ```
    pub fn observe(
        &mut self,
        (own_version, peer_version): (u64, u64),
        max_lag: Duration,
        now: Duration,
    ) -> bool {
        let behind = self.behind.filter(|(version, _)| *version > own_version);
        self.behind = behind.or((peer_version > own_version).then_some((peer_version, now)));
        let is_late = self.behind.is_some_and(|(_, since)| since + max_lag <= now);
        if is_late {
            self.behind = None;
        }
        is_late
    }
}
