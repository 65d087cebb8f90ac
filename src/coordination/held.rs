//! State of a hold: its end, its announcements and its probes.

use std::collections::VecDeque;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::state::call::CONTENT_BIT;

/// Time for which a group with many crashes is held after the last one.
pub(super) const LONG_HOLD: Duration = Duration::from_secs(600);

/// Time after the last crash of a hold from which a probe is let through: 3 s.
const PROBE_DELAY: Duration = Duration::from_secs(3);

/// Time for which a group with a whole request is held: 24 h.
pub(super) const CONTENT_HOLD: Duration = Duration::from_secs(24 * 3600);

/// Maximum number of probes of a group with a whole request, over all daemons.
pub const MAX_CONTENT_PROBES: u32 = 2;

/// Time after the first probe of a group with a whole request from which the second one is let through: 60 s.
const SECOND_PROBE_DELAY: Duration = Duration::from_secs(60);

/// Time after which a probe of which nothing was heard is taken not to have reached an endpoint: 2 s.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of announcements that are remembered per hold.
const MAX_ANNOUNCEMENTS: usize = 64;

/// A hold; it is kept for a while after its end, so that a late message does not bring it back.
#[derive(Debug, Clone)]
pub(super) struct Held {
    pub(super) parts: Vec<u64>,
    pub(super) crashes: usize,
    pub(super) last_crash: u64,
    pub(super) last_crash_at: Duration,
    pub(super) until: Duration,
    /// Whether its end was set by a peer.
    pub(super) is_adopted: bool,
    /// Time at which the last probe was let through.
    pub(super) probed_at: Option<Duration>,
    /// Number of probes that were let through, as far as known.
    pub(super) probes: u32,
    /// Key under which it is stored.
    pub(super) stored_as: Option<u64>,
    /// How often the store had been restored from a copy when it was stored.
    pub(super) stored_era: u64,
    /// Whether a probe has crashed an endpoint.
    pub(super) is_confirmed: bool,
    /// Announcements that have set its end. Each sets it once: daemons that return a hold to each other would prolong it
    /// by the delay of every message.
    pub(super) announced: VecDeque<Announcement>,
}

/// What tells one state of a hold from the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Announcement {
    pub(super) crashes: usize,
    pub(super) last_crash: u64,
    pub(super) is_confirmed: bool,
}

impl Held {
    pub(super) fn announcement(&self) -> Announcement {
        Announcement {
            crashes: self.crashes,
            last_crash: self.last_crash,
            is_confirmed: self.is_confirmed,
        }
    }

    /// Remembers an announcement; returns whether it is new.
    pub(super) fn announce(&mut self, announcement: Announcement) -> bool {
        let is_new = !self.announced.contains(&announcement);
        if is_new {
            self.announced.push_back(announcement);
            if self.announced.len() > MAX_ANNOUNCEMENTS {
                self.announced.pop_front();
            }
        }
        is_new
    }

    /// Moves the end to that of another hold, but never to an earlier time; returns whether this is now the end.
    pub(super) fn extend(&mut self, other: &Held) -> bool {
        self.crashes = self.crashes.max(other.crashes);
        self.last_crash_at = self.last_crash_at.max(other.last_crash_at);
        let is_end = other.until >= self.until;
        if is_end {
            self.last_crash = other.last_crash;
            self.until = other.until;
        }
        is_end
    }

    /// Takes over what is known of the probes of another hold.
    pub(super) fn take_probes(&mut self, other: &Held) {
        self.probed_at = self.probed_at.max(other.probed_at);
        self.probes = self.probes.max(other.probes);
        self.is_confirmed |= other.is_confirmed;
    }

    /// Takes over under which key, if any, and in which era of the store it was stored, unless it was in a later one.
    pub(super) fn take_stored(&mut self, stored_as: Option<u64>, era: u64) {
        if stored_as.is_some() && era >= self.stored_era {
            self.stored_as = stored_as;
            self.stored_era = era;
        }
    }

    /// Takes note of a crash with the parts of this hold; it confirms the hold if a probe was let through before.
    pub(super) fn crash(&mut self, crash: u64, at: Duration) {
        let is_known = self.announced.iter().any(|it| it.last_crash == crash);
        if is_known || self.probed_at.is_none_or(|probed_at| at < probed_at) {
            return;
        }
        self.is_confirmed = true;
        self.extend(&Held {
            last_crash: crash,
            last_crash_at: at,
            until: at + full_time(&self.parts),
            ..self.clone()
        });
        self.announce(self.announcement());
    }

    pub(super) fn matches(&self, parts: &[u64]) -> bool {
        is_within(&self.parts, parts)
    }

    pub(super) fn may_be_probed(&self, now: Duration) -> bool {
        let (pause, has_probes_left) = match has_content(&self.parts) {
            true => (SECOND_PROBE_DELAY, self.probes < MAX_CONTENT_PROBES),
            false => (PROBE_TIMEOUT, true),
        };
        let has_no_open_probe = self.probed_at.is_none_or(|at| now >= at + pause);
        let is_due = has_no_open_probe && now >= self.last_crash_at + PROBE_DELAY;
        !self.is_confirmed && has_probes_left && is_due
    }

    /// Key by which daemons agree on it.
    pub(super) fn key(&self) -> u64 {
        let chain = |seed, part: &u64| xxh3_64_with_seed(&part.to_le_bytes(), seed);
        self.parts.iter().fold(0, chain)
    }
}

/// Whether a digest is that of a whole request.
pub(super) fn is_content(digest: u64) -> bool {
    digest & CONTENT_BIT != 0
}

/// Whether a whole request is in a group.
pub(super) fn has_content(parts: &[u64]) -> bool {
    parts.iter().any(|part| is_content(*part))
}

/// Time for which a group is held at most.
pub(super) fn full_time(parts: &[u64]) -> Duration {
    match has_content(parts) {
        true => CONTENT_HOLD,
        false => LONG_HOLD,
    }
}

/// Whether all these parts are among the others.
pub(super) fn is_within(parts: &[u64], others: &[u64]) -> bool {
    parts.iter().all(|part| others.contains(part))
}
