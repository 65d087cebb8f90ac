//! Quarantine of requests and prompt parts that crash endpoints.
//!
//! Each daemon reports the requests that had no response yet, or had just got its head, when an endpoint ended. What is
//! reported of a request are the parts of its prompt and its content: a digest that its attempts share. Both are called
//! parts here. A part that accounts for several crashes is held: requests that contain it are refused. Parts that no
//! report tells apart are held together, so that a request that shares only some of them still runs and shows which of
//! them is the cause. A part of a request that outlived its start is sound.
//!
//! When many endpoints end at one moment, with several requests each that share a part which was sound shortly before, the
//! cause may be another one, such as a loss of power. Such a part is held only after two seconds, or when an endpoint ends
//! at another moment, unless it is found sound before.
//!
//! A hold keeps away the requests that could show that its parts are sound. Some time after its last crash, a single
//! request with them is let through as a probe: if it outlives its start, the parts are released, and if it crashes its
//! endpoint, the hold is confirmed and gets no further probe. A hold of a content gets two probes at most, since the
//! number of its retries is limited for good.
//!
//! Holds are to be kept outside the daemons, so that they outlive them.

mod message;
mod stored;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use super::attribution::{self, Evidence, Finding, MIN_CRASHES, contains, count_crashes};
pub use super::held::MAX_CONTENT_PROBES;
use super::held::{Announcement, Held, full_time, has_content, is_content, is_within};
use super::recency::forget_older;
pub use message::{Hold, Occurrence, Probe, Suspect};
pub use stored::Unstored;

/// Time for which an occurrence counts, and for which a hold is remembered after its end: 10 min.
const EVIDENCE_TTL: Duration = Duration::from_secs(600);

/// Time for which a part that was sound is vouched for: 60 s.
const VOUCHING_TTL: Duration = Duration::from_secs(60);

/// Number of crashes from which a group is held for ten minutes, unless its parts are all vouched for.
const LONG_HOLD_CRASHES: usize = 5;

/// Time for which a group is held after its last crash.
const SHORT_HOLD: Duration = Duration::from_secs(30);

/// Maximum delay of a message between daemons.
const MESSAGE_DELAY: Duration = Duration::from_secs(1);

/// Maximum number of occurrences; beyond it, the oldest ones are dropped.
const MAX_OCCURRENCES: usize = 1024;

/// Maximum number of parts of one occurrence or hold; further ones are ignored.
const MAX_PARTS: usize = 64;

/// Maximum number of sound parts that are remembered; beyond it, the least recently used half is dropped.
const MAX_SOUND_PARTS: usize = 8192;

/// Maximum number of holds of prompt parts; beyond it, those that end first are dropped.
const MAX_HOLDS: usize = 64;

/// Maximum number of holds of contents; beyond it, those that end first are dropped.
const MAX_CONTENT_HOLDS: usize = 1024;

/// Maximum number of holds of prompt parts that are announced to peers.
const MAX_ANNOUNCED_HOLDS: usize = 16;

/// Maximum number of holds of contents that are announced to peers; the others are stored.
const MAX_ANNOUNCED_CONTENT_HOLDS: usize = 16;

/// Time after their last crash for which holds of contents are announced to peers: 60 s.
const CONTENT_ANNOUNCEMENT_TIME: Duration = Duration::from_secs(60);

/// Maximum number of parts of a hold that is announced to peers.
const MAX_ANNOUNCED_PARTS: usize = 16;

/// Evidence against parts of prompts, and the holds that follow from it.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::quarantine::{Occurrence, Quarantine, Suspect};
/// let mut quarantine = Quarantine::default();
/// let now = Duration::from_secs(1);
/// for crash in 1..=3 {
///     // Part 7 is common to all requests, part 8 only to those that crash, the last one is unique.
///     let parts = [7, 8, 100 + crash].map(|part| Suspect { part, vouched: false });
///     quarantine.record(Occurrence { crash, request: crash, parts: parts.to_vec() }, now);
///     quarantine.survived(&[7, 9], now);
/// }
/// assert!(quarantine.held(&[7, 8, 200], now).is_some());
/// assert!(quarantine.held(&[7, 9, 200], now).is_none());
/// ```
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    evidence: VecDeque<Evidence>,
    /// Number of occurrences by part.
    counts: BTreeMap<u64, usize>,
    sound: HashMap<u64, Duration>,
    holds: Vec<Held>,
    /// Keys of stored holds that were released here.
    released: BTreeSet<u64>,
    /// How often the store has been restored from a copy.
    era: u64,
    /// Time of the last restore that was noticed.
    restored_at: Option<Duration>,
    /// Keys of holds whose probes the store may have lost, with the number of probes.
    lost_probes: Vec<(u64, u32)>,
    /// Time at which groups are held whose crashes may have a common cause until then.
    doubtful_until: Option<Duration>,
}

impl Quarantine {
    /// Records an occurrence. Returns whether it is new; reports of several daemons about one request and crash are
    /// merged.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::quarantine::{Occurrence, Quarantine, Suspect};
    /// let mut quarantine = Quarantine::default();
    /// let parts = vec![Suspect { part: 1, vouched: false }];
    /// let occurrence = Occurrence { crash: 1, request: 1, parts };
    /// assert!(quarantine.record(occurrence.clone(), Duration::ZERO));
    /// assert!(!quarantine.record(occurrence, Duration::ZERO));
    /// ```
    pub fn record(&mut self, mut occurrence: Occurrence, now: Duration) -> bool {
        self.expire(now);
        let parts = &mut occurrence.parts;
        parts.sort_by_key(|suspect| (suspect.part, Reverse(suspect.vouched)));
        parts.dedup_by_key(|suspect| suspect.part);
        parts.sort_by_key(|suspect| suspect.vouched);
        parts.truncate(MAX_PARTS);
        if parts.is_empty() {
            return false;
        }
        let key = (occurrence.crash, occurrence.request);
        let mut known = self.evidence.iter_mut();
        let known = known.find(|it| (it.occurrence.crash, it.occurrence.request) == key);
        if let Some(known) = known {
            if known.vouch(&occurrence.parts) {
                self.revise(now);
            }
            return false;
        }
        self.note_crash(&occurrence, now);
        let mut may_be_held = false;
        let mut has_come_again = false;
        for suspect in &occurrence.parts {
            let count = self.counts.entry(suspect.part).or_default();
            *count += 1;
            may_be_held |= *count >= MIN_CRASHES;
            has_come_again |= *count > 1 && is_content(suspect.part);
        }
        if has_come_again {
            self.keep_evidence(&occurrence, now);
        }
        let ttl = match has_come_again {
            true => full_time(&parts_of(&occurrence)),
            false => EVIDENCE_TTL,
        };
        self.evidence.push_back(Evidence {
            occurrence,
            seen_at: now,
            expires_at: now + ttl,
        });
        if self.evidence.len() > MAX_OCCURRENCES
            && let Some(oldest) = self.evidence.pop_front()
        {
            discount(&mut self.counts, &oldest.occurrence.parts);
        }
        if may_be_held {
            self.revise(now);
        }
        true
    }

    /// Keeps the evidence against a content that has come again for as long as the content would be held.
    fn keep_evidence(&mut self, occurrence: &Occurrence, now: Duration) {
        let parts = parts_of(occurrence);
        for content in parts.iter().filter(|part| is_content(**part)) {
            for evidence in &mut self.evidence {
                if contains(&evidence.occurrence, &[*content]) {
                    evidence.expires_at = evidence.expires_at.max(now + full_time(&parts));
                }
            }
        }
    }

    /// Whether a content with this upper half is held or has occurred in a crash.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::quarantine::{Hold, Quarantine};
    /// let mut quarantine = Quarantine::default();
    /// let hold = Hold { parts: vec![0x8000_0007_1234_5678], left_millis: 20_000, ..Hold::default() };
    /// quarantine.adopt(hold, Duration::ZERO);
    /// assert!(quarantine.has_outline(0x8000_0007));
    /// assert!(!quarantine.has_outline(0x8000_0008));
    /// ```
    pub fn has_outline(&self, outline: u32) -> bool {
        let first = u64::from(outline) << 32;
        let last = first | u64::from(u32::MAX);
        let mut held = self.holds.iter().flat_map(|hold| &hold.parts);
        self.counts.range(first..=last).next().is_some()
            || held.any(|part| (first..=last).contains(part))
    }

    /// Records that a request with these parts has outlived its start. Returns those of them that were held or had
    /// occurred in two or more crashes, in ascending order: peers have to learn that they are sound.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::quarantine::{Occurrence, Quarantine, Suspect};
    /// let mut quarantine = Quarantine::default();
    /// for crash in 1..=2 {
    ///     let parts = vec![Suspect { part: 1, vouched: false }];
    ///     quarantine.record(Occurrence { crash, request: crash, parts }, Duration::ZERO);
    /// }
    /// assert_eq!(quarantine.survived(&[1, 2], Duration::ZERO), [1]);
    /// assert!(quarantine.survived(&[1, 2], Duration::ZERO).is_empty());
    /// ```
    pub fn survived(&mut self, parts: &[u64], now: Duration) -> Vec<u64> {
        self.expire(now);
        let mut crashes: BTreeMap<u64, BTreeSet<u64>> = BTreeMap::new();
        if self.has_evidence(parts) {
            for Evidence { occurrence, .. } in &self.evidence {
                for suspect in &occurrence.parts {
                    if parts.contains(&suspect.part) {
                        let crashes = crashes.entry(suspect.part).or_default();
                        crashes.insert(occurrence.crash);
                    }
                }
            }
        }
        let mut cleared: BTreeSet<u64> = crashes
            .into_iter()
            .filter(|(_, crashes)| crashes.len() >= 2)
            .map(|(part, _)| part)
            .collect();
        let active = self.holds.iter().filter(|hold| now < hold.until);
        let held = active.flat_map(|hold| &hold.parts);
        cleared.extend(held.filter(|part| parts.contains(part)));
        self.clear(parts, now);
        cleared.into_iter().collect()
    }

    /// Records that a peer has found these parts sound.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::quarantine::{Hold, Quarantine};
    /// let mut quarantine = Quarantine::default();
    /// let hold = Hold { parts: vec![1], left_millis: 20_000, ..Hold::default() };
    /// quarantine.adopt(hold, Duration::ZERO);
    /// quarantine.clear(&[1], Duration::ZERO);
    /// assert!(quarantine.held(&[1], Duration::ZERO).is_none());
    /// ```
    pub fn clear(&mut self, parts: &[u64], now: Duration) {
        self.expire(now);
        self.remember_sound(parts, now);
        let changed = self.has_evidence(parts);
        if changed {
            for Evidence { occurrence, .. } in &mut self.evidence {
                // An occurrence without parts stays, so that a late report of it is not taken as new.
                occurrence.parts.retain(|it| !parts.contains(&it.part));
            }
            self.counts.retain(|part, _| !parts.contains(part));
        }
        let mut holds = std::mem::take(&mut self.holds);
        for hold in &mut holds {
            hold.parts.retain(|part| !parts.contains(part));
        }
        let (left, released): (Vec<Held>, Vec<Held>) =
            holds.into_iter().partition(|hold| !hold.parts.is_empty());
        let released = released.iter().filter_map(|hold| hold.stored_as);
        self.released.extend(released);
        for hold in left {
            self.merge(hold);
        }
        if changed {
            self.revise(now);
        }
    }

    /// Holds what was not held at first because many endpoints had ended at one moment, once it should have been found sound.
    /// Returns whether that was due; to be called every few hundred milliseconds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::quarantine::{Occurrence, Quarantine, Suspect};
    /// let mut quarantine = Quarantine::default();
    /// for request in 0..16 {
    ///     // Two requests at each of eight endpoints.
    ///     let parts = vec![Suspect { part: 1, vouched: true }];
    ///     quarantine.record(Occurrence { crash: request / 2, request, parts }, Duration::ZERO);
    /// }
    /// assert!(quarantine.held(&[1], Duration::ZERO).is_none());
    /// let now = Duration::from_secs(2);
    /// assert!(quarantine.advance(now));
    /// assert!(quarantine.held(&[1], now).is_some());
    /// ```
    pub fn advance(&mut self, now: Duration) -> bool {
        let is_due = self.is_due(now);
        if is_due {
            self.expire(now);
            self.revise(now);
        }
        is_due
    }

    /// Whether [`Self::advance`] has something to do.
    pub fn is_due(&self, now: Duration) -> bool {
        self.doubtful_until.is_some_and(|until| until <= now)
    }

    /// Whether a request with this part outlived its start within the last minute.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::quarantine::Quarantine;
    /// let mut quarantine = Quarantine::default();
    /// quarantine.survived(&[1], Duration::ZERO);
    /// assert!(quarantine.is_vouched(1, Duration::from_secs(59)));
    /// assert!(!quarantine.is_vouched(1, Duration::from_secs(61)));
    /// ```
    pub fn is_vouched(&self, part: u64, now: Duration) -> bool {
        let sound_at = self.sound.get(&part);
        sound_at.is_some_and(|at| now < *at + VOUCHING_TTL)
    }

    /// Whether anything is held, or was lately; without holds, no request has to be compared with them.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::quarantine::{Hold, Quarantine};
    /// let mut quarantine = Quarantine::default();
    /// assert!(!quarantine.has_holds());
    /// let hold = Hold { parts: vec![1], left_millis: 20_000, ..Hold::default() };
    /// quarantine.adopt(hold, Duration::ZERO);
    /// assert!(quarantine.has_holds());
    /// ```
    pub fn has_holds(&self) -> bool {
        !self.holds.is_empty()
    }

    /// Time for which a request with these parts is refused, if it is.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::quarantine::{Hold, Quarantine};
    /// let mut quarantine = Quarantine::default();
    /// let hold = Hold { parts: vec![1, 2], left_millis: 20_000, ..Hold::default() };
    /// quarantine.adopt(hold, Duration::ZERO);
    /// let left = quarantine.held(&[1, 2, 3], Duration::from_secs(5));
    /// assert_eq!(left, Some(Duration::from_secs(15)));
    /// assert_eq!(quarantine.held(&[1, 3], Duration::from_secs(5)), None);
    /// ```
    pub fn held(&self, parts: &[u64], now: Duration) -> Option<Duration> {
        let matching = self.holds_of(parts, now);
        matching.map(|hold| hold.until - now).max()
    }

    /// Digest of the hold with the longest time left that refuses a request with these parts. Daemons agree by it which
    /// of them probes the hold.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::quarantine::{Hold, Quarantine};
    /// let mut quarantine = Quarantine::default();
    /// let hold = Hold { parts: vec![1, 2], left_millis: 20_000, ..Hold::default() };
    /// quarantine.adopt(hold, Duration::ZERO);
    /// assert_eq!(quarantine.matching(&[1, 2, 3], Duration::ZERO), Some(1));
    /// assert_eq!(quarantine.matching(&[1, 3], Duration::ZERO), None);
    /// ```
    pub fn matching(&self, parts: &[u64], now: Duration) -> Option<u64> {
        let matching = self.holds_of(parts, now);
        let longest = matching.max_by_key(|hold| (hold.until, Reverse(&hold.parts)));
        longest?.parts.first().copied()
    }

    /// Whether a request with these parts, which are held, could be sent as a probe now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::quarantine::{Hold, Quarantine};
    /// let mut quarantine = Quarantine::default();
    /// let hold = Hold { parts: vec![1], left_millis: 30_000, ..Hold::default() };
    /// quarantine.adopt(hold, Duration::ZERO);
    /// assert!(!quarantine.may_probe(&[1, 2], Duration::from_secs(2)));
    /// assert!(quarantine.may_probe(&[1, 2], Duration::from_secs(3)));
    /// ```
    pub fn may_probe(&self, parts: &[u64], now: Duration) -> bool {
        // A crash would not show which of several holds it is due to.
        let mut matching = self.holds_of(parts, now);
        let (Some(hold), None) = (matching.next(), matching.next()) else {
            return false;
        };
        hold.may_be_probed(now)
    }

    /// Whether a request with these parts, which are held, may be sent as a probe. The caller sends it if so: until the
    /// probe's outcome is known, further ones are only allowed after a timeout. A daemon that asks this must be the only
    /// one that does so for the hold that [`Self::matching`] tells, as far as it knows.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::quarantine::{Hold, Probe, Quarantine};
    /// let mut quarantine = Quarantine::default();
    /// let hold = Hold { parts: vec![1], left_millis: 30_000, ..Hold::default() };
    /// quarantine.adopt(hold, Duration::ZERO);
    /// assert_eq!(quarantine.probe(&[1, 2], Duration::from_secs(2)), None);
    /// assert_eq!(quarantine.probe(&[1, 2], Duration::from_secs(3)), Some(Probe::Free));
    /// assert_eq!(quarantine.probe(&[1, 2], Duration::from_secs(4)), None);
    /// ```
    pub fn probe(&mut self, parts: &[u64], now: Duration) -> Option<Probe> {
        if !self.may_probe(parts, now) {
            return None;
        }
        let mut holds = self.holds.iter_mut();
        let hold = holds.find(|hold| now < hold.until && hold.matches(parts))?;
        hold.probed_at = Some(now);
        hold.probes += 1;
        match has_content(&hold.parts) {
            true => Some(Probe::Numbered(hold.key(), hold.probes)),
            false => Some(Probe::Free),
        }
    }

    /// Holds in force, for peers that do not have the evidence: of those of prompt parts the 16 that end last, in this
    /// order, then of those of contents the 16 with the latest crashes within the last minute, or ever in the minute after
    /// a restore of the store. Groups of more than 16 parts are held by this daemon but not announced.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::quarantine::{Hold, Quarantine};
    /// let hold = Hold { parts: vec![1, 2], left_millis: 20_000, ..Hold::default() };
    /// let mut quarantine = Quarantine::default();
    /// quarantine.adopt(hold.clone(), Duration::ZERO);
    /// assert_eq!(quarantine.holds(Duration::ZERO), [hold]);
    /// assert!(quarantine.holds(Duration::from_secs(20)).is_empty());
    /// ```
    pub fn holds(&self, now: Duration) -> Vec<Hold> {
        let active = self.holds.iter().filter(|hold| now < hold.until);
        let short = active.filter(|hold| hold.parts.len() <= MAX_ANNOUNCED_PARTS);
        let (mut contents, mut holds): (Vec<&Held>, Vec<&Held>) =
            short.partition(|hold| has_content(&hold.parts));
        holds.sort_by_key(|hold| (Reverse(hold.until), &hold.parts));
        holds.truncate(MAX_ANNOUNCED_HOLDS);
        let is_recent = |at: Duration| now < at + CONTENT_ANNOUNCEMENT_TIME;
        // After a restore of the store, peers have to learn which holds are stored again.
        let is_restored = self.restored_at.is_some_and(is_recent);
        contents.retain(|hold| is_restored || is_recent(hold.last_crash_at));
        contents.sort_by_key(|hold| (Reverse(hold.last_crash_at), &hold.parts));
        contents.truncate(MAX_ANNOUNCED_CONTENT_HOLDS);
        let holds = holds.into_iter().chain(contents);
        holds.map(|hold| announce(hold, now)).collect()
    }

    /// Number of holds in force.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::quarantine::{Hold, Quarantine};
    /// let mut quarantine = Quarantine::default();
    /// quarantine.adopt(Hold { parts: vec![1], left_millis: 20_000, ..Hold::default() }, Duration::ZERO);
    /// assert_eq!(quarantine.count(Duration::from_secs(1)), 1);
    /// assert_eq!(quarantine.count(Duration::from_secs(21)), 0);
    /// ```
    pub fn count(&self, now: Duration) -> usize {
        let active = self.holds.iter().filter(|hold| now < hold.until);
        active.count()
    }

    /// Adopts a peer's hold; of two holds of the same parts, the longer time counts. Parts that were found sound after
    /// the hold's last crash are left out. Returns those that surely were, in ascending order: the peer has missed it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::quarantine::{Hold, Quarantine};
    /// let mut quarantine = Quarantine::default();
    /// let hold = Hold { parts: vec![1], left_millis: 20_000, ..Hold::default() };
    /// quarantine.adopt(hold.clone(), Duration::ZERO);
    /// // A message that was delayed does not prolong it.
    /// quarantine.adopt(hold, Duration::from_secs(5));
    /// let left = quarantine.held(&[1], Duration::from_secs(5));
    /// assert_eq!(left, Some(Duration::from_secs(15)));
    /// // A request with part 3 survives two seconds before the hold arrives, and one after its last crash.
    /// quarantine.survived(&[3], Duration::from_secs(6));
    /// let hold = Hold { parts: vec![2, 3], left_millis: 20_000, age_millis: 3_000, ..Hold::default() };
    /// assert_eq!(quarantine.adopt(hold, Duration::from_secs(8)), [3]);
    /// ```
    pub fn adopt(&mut self, hold: Hold, now: Duration) -> Vec<u64> {
        self.expire(now);
        let full_time = match hold.is_confirmed {
            true => full_time(&hold.parts),
            false => hold_time(&hold.parts, hold.crashes),
        };
        let left = Duration::from_millis(hold.left_millis).min(full_time);
        let last_crash_at = now.saturating_sub(Duration::from_millis(hold.age_millis));
        let crashed_at = last_crash_at.saturating_sub(MESSAGE_DELAY);
        let mut parts = hold.parts;
        parts.sort_unstable();
        parts.dedup();
        if left.is_zero() || parts.len() > MAX_PARTS {
            return Vec::new();
        }
        let sound_since = |part: &u64, since| self.sound.get(part).is_some_and(|at| *at >= since);
        let sound = parts.iter().copied();
        let sound = sound.filter(|part| sound_since(part, last_crash_at));
        let sound: Vec<u64> = sound.collect();
        // The message may have been under way for a while, so the crash may be that much earlier.
        parts.retain(|part| !sound_since(part, crashed_at));
        if parts.is_empty() {
            return sound;
        }
        let known = self.holds.iter_mut().find(|it| it.parts == parts);
        if let Some(known) = known {
            known.crash(hold.last_crash, last_crash_at);
        }
        let announcement = Announcement {
            crashes: hold.crashes,
            last_crash: hold.last_crash,
            is_confirmed: hold.is_confirmed,
        };
        self.merge(Held {
            parts,
            crashes: hold.crashes,
            last_crash: hold.last_crash,
            last_crash_at,
            until: now + left,
            is_adopted: true,
            probed_at: None,
            probes: 0,
            stored_as: hold.stored_as,
            stored_era: hold.stored_era,
            is_confirmed: hold.is_confirmed,
            announced: [announcement].into(),
        });
        sound
    }

    /// Adds a hold, or joins it with the one of the same parts.
    fn merge(&mut self, hold: Held) {
        let known = self.holds.iter_mut().find(|it| it.parts == hold.parts);
        if let Some(known) = known {
            known.take_probes(&hold);
            known.take_stored(hold.stored_as, hold.stored_era);
            let announced = hold.announced.iter();
            let news = announced.filter(|it| known.announce(**it));
            if news.count() > 0 && known.extend(&hold) {
                known.is_adopted = hold.is_adopted;
            }
            return;
        }
        let is_content = has_content(&hold.parts);
        let max_holds = match is_content {
            true => MAX_CONTENT_HOLDS,
            false => MAX_HOLDS,
        };
        self.holds.push(hold);
        let holds = self.holds.iter().enumerate();
        let same_kind = holds.filter(|(_, it)| has_content(&it.parts) == is_content);
        if same_kind.clone().count() > max_holds {
            let first = same_kind.min_by_key(|(_, it)| it.until);
            let first = first.map(|(at, _)| at);
            first.map(|at| self.holds.remove(at));
        }
    }

    fn remember_sound(&mut self, parts: &[u64], now: Duration) {
        self.sound.extend(parts.iter().map(|part| (*part, now)));
        forget_older(&mut self.sound, MAX_SOUND_PARTS, |last_use| *last_use);
    }

    fn expire(&mut self, now: Duration) {
        let counts = &mut self.counts;
        self.evidence.retain(|evidence| {
            let is_valid = now < evidence.expires_at;
            if !is_valid {
                discount(counts, &evidence.occurrence.parts);
            }
            is_valid
        });
        self.holds.retain(|hold| now < hold.until + EVIDENCE_TTL);
    }

    fn has_evidence(&self, parts: &[u64]) -> bool {
        parts.iter().any(|part| self.counts.contains_key(part))
    }

    /// Holds in force that refuse a request with these parts.
    fn holds_of<'a>(&'a self, parts: &'a [u64], now: Duration) -> impl Iterator<Item = &'a Held> {
        let active = self.holds.iter().filter(move |hold| now < hold.until);
        active.filter(|hold| hold.matches(parts))
    }

    /// Takes note of an occurrence for the holds of which its crash is a new one.
    fn note_crash(&mut self, occurrence: &Occurrence, now: Duration) {
        let parts = parts_of(occurrence);
        for hold in self.holds.iter_mut().filter(|hold| hold.matches(&parts)) {
            let same_crash = self.evidence.iter().map(|it| &it.occurrence);
            let mut same_crash = same_crash.filter(|it| it.crash == occurrence.crash);
            if !same_crash.any(|it| contains(it, &hold.parts)) {
                hold.crash(occurrence.crash, now);
            }
        }
    }

    /// Derives the holds from the evidence.
    fn revise(&mut self, now: Duration) {
        let findings = attribution::attribute(&self.evidence, &self.counts);
        let (doubtful, findings): (Vec<Finding>, Vec<Finding>) = findings
            .into_iter()
            .partition(|finding| finding.doubtful_until.is_some_and(|until| now < until));
        let until = doubtful.iter().filter_map(|it| it.doubtful_until);
        self.doubtful_until = until.min();
        for finding in &findings {
            self.hold(finding);
        }
        for hold in &mut self.holds {
            let mut groups = findings.iter().map(|finding| &finding.group);
            if hold.is_adopted || groups.any(|group| group.parts == hold.parts) {
                continue;
            }
            // Only a part of it can be a better explanation than the one that a probe has confirmed.
            let mut groups = findings.iter().map(|finding| &finding.group);
            if hold.is_confirmed && !groups.any(|group| is_within(&group.parts, &hold.parts)) {
                continue;
            }
            // A hold whose evidence was dropped stays: nothing else is known to account for its crashes.
            if count_crashes(&self.evidence, &hold.parts) >= hold.crashes {
                hold.until = hold.until.min(now);
                hold.probed_at = None;
                hold.is_confirmed = false;
            }
        }
    }

    /// Holds a group from its last crash on.
    fn hold(&mut self, finding: &Finding) {
        let Finding { group, crashes, .. } = finding;
        let last = group
            .occurrences
            .last()
            .and_then(|at| self.evidence.get(*at));
        let Some(last) = last else {
            return;
        };
        let mut hold = Held {
            parts: group.parts.clone(),
            crashes: *crashes,
            last_crash: last.occurrence.crash,
            last_crash_at: last.seen_at,
            until: last.seen_at,
            is_adopted: false,
            probed_at: None,
            probes: 0,
            stored_as: None,
            stored_era: 0,
            is_confirmed: false,
            announced: VecDeque::new(),
        };
        // It has crashed endpoints since it was found sound, if it ever was.
        for content in hold.parts.iter().filter(|part| is_content(**part)) {
            self.sound.remove(content);
        }
        // Parts that a new report tells apart have been probed together.
        for wider in &self.holds {
            if is_within(&hold.parts, &wider.parts) {
                hold.take_probes(wider);
            }
        }
        hold.until = match (hold.is_confirmed, group.is_vouched) {
            (true, _) => last.seen_at + full_time(&hold.parts),
            (false, true) if !has_content(&hold.parts) => last.seen_at + SHORT_HOLD,
            (false, _) => last.seen_at + hold_time(&hold.parts, *crashes),
        };
        // The next crash after the hold counts together with those before it.
        for at in &group.occurrences {
            if let Some(evidence) = self.evidence.get_mut(*at) {
                evidence.expires_at = evidence.expires_at.max(hold.until + EVIDENCE_TTL);
            }
        }
        let announcement = hold.announcement();
        let known = self.holds.iter_mut().find(|it| it.parts == hold.parts);
        if let Some(known) = known {
            known.announce(announcement);
            known.take_probes(&hold);
            // The report that vouches for the last of the parts may come late.
            if group.is_vouched && !known.is_confirmed && !known.is_adopted {
                known.until = known.until.min(hold.until);
            }
            known.extend(&hold);
            known.is_adopted = false;
            return;
        }
        hold.announce(announcement);
        self.merge(hold);
    }
}

/// A hold as it is announced to peers.
fn announce(hold: &Held, now: Duration) -> Hold {
    Hold {
        parts: hold.parts.clone(),
        left_millis: (hold.until - now).as_millis() as u64,
        crashes: hold.crashes,
        last_crash: hold.last_crash,
        age_millis: now.saturating_sub(hold.last_crash_at).as_millis() as u64,
        is_confirmed: hold.is_confirmed,
        stored_as: hold.stored_as,
        stored_era: hold.stored_era,
    }
}

fn parts_of(occurrence: &Occurrence) -> Vec<u64> {
    occurrence.parts.iter().map(|it| it.part).collect()
}

/// Takes the parts of a dropped occurrence off their counts.
fn discount(counts: &mut BTreeMap<u64, usize>, parts: &[Suspect]) {
    for suspect in parts {
        if let Some(count) = counts.get_mut(&suspect.part) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&suspect.part);
            }
        }
    }
}

/// Time for which a group with this number of crashes is held after the last one.
fn hold_time(parts: &[u64], crashes: usize) -> Duration {
    match has_content(parts) || crashes >= LONG_HOLD_CRASHES {
        true => full_time(parts),
        false => SHORT_HOLD,
    }
}
