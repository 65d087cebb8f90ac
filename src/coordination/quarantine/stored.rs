//! Holds outside the daemons: which are to be stored, removed or adopted.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Held, Hold, Quarantine, announce, has_content, is_content};

/// A hold that is to be stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unstored {
    /// Key to store it under.
    pub key: u64,
    /// Other key under which an earlier state of it is stored.
    pub replaces: Option<u64>,
    /// The hold, without its age.
    pub hold: Hold,
}

impl Quarantine {
    /// Holds in force that are not stored, or not with their present parts, or not since the store was restored.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::quarantine::{Hold, Quarantine};
    /// let mut quarantine = Quarantine::default();
    /// let hold = Hold { parts: vec![1 << 63], left_millis: 20_000, ..Hold::default() };
    /// quarantine.adopt(hold, Duration::ZERO);
    /// let unstored = quarantine.unstored(Duration::ZERO);
    /// assert_eq!(unstored[0].hold.parts, [1 << 63]);
    /// quarantine.stored(&unstored[0].hold);
    /// assert!(quarantine.unstored(Duration::ZERO).is_empty());
    /// ```
    pub fn unstored(&self, now: Duration) -> Vec<Unstored> {
        let active = self.holds.iter().filter(|hold| now < hold.until);
        let is_stored =
            |hold: &Held| hold.stored_as == Some(hold.key()) && hold.stored_era >= self.era;
        let unstored = active.filter(|hold| !is_stored(hold));
        let unstored = unstored.map(|hold| {
            let key = hold.key();
            Unstored {
                key,
                replaces: hold.stored_as.filter(|stored_as| *stored_as != key),
                hold: Hold {
                    age_millis: 0,
                    stored_as: Some(key),
                    stored_era: self.era,
                    ..announce(hold, now)
                },
            }
        });
        unstored.collect()
    }

    /// Records that a hold of [`unstored`](Self::unstored) is stored.
    pub fn stored(&mut self, stored: &Hold) {
        let holds = self.holds.iter_mut();
        for hold in holds.filter(|hold| Some(hold.key()) == stored.stored_as) {
            hold.take_stored(stored.stored_as, stored.stored_era);
        }
    }

    /// Records how often the store has been restored from a copy, which may lack what was stored before. Returns whether it
    /// has been since this was last recorded.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::quarantine::{Hold, Quarantine};
    /// let mut quarantine = Quarantine::default();
    /// let hold = Hold { parts: vec![1], left_millis: 20_000, ..Hold::default() };
    /// quarantine.adopt(hold, Duration::ZERO);
    /// let unstored = quarantine.unstored(Duration::ZERO);
    /// quarantine.stored(&unstored[0].hold);
    /// assert!(quarantine.restored(1, Duration::ZERO));
    /// assert!(!quarantine.restored(1, Duration::ZERO));
    /// assert_eq!(quarantine.unstored(Duration::ZERO)[0].hold.stored_era, 1);
    /// ```
    pub fn restored(&mut self, era: u64, now: Duration) -> bool {
        if era <= self.era {
            return false;
        }
        self.era = era;
        self.restored_at = Some(now);
        let probed = self.holds.iter().filter(|hold| hold.probes > 0);
        let probed = probed.filter(|hold| has_content(&hold.parts));
        self.lost_probes = probed.map(|hold| (hold.key(), hold.probes)).collect();
        true
    }

    /// Keys of holds whose probes are to be stored again, with the number of probes.
    pub fn lost_probes(&self) -> &[(u64, u32)] {
        &self.lost_probes
    }

    /// Records that the probes of holds are stored again.
    pub fn probes_stored(&mut self, stored: &[(u64, u32)]) {
        self.lost_probes.retain(|probes| !stored.contains(probes));
    }

    /// Takes the keys of stored holds that are not in force any more.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::quarantine::{Hold, Quarantine};
    /// let mut quarantine = Quarantine::default();
    /// let hold = Hold { parts: vec![1], left_millis: 20_000, stored_as: Some(7), ..Hold::default() };
    /// quarantine.restore(hold, Duration::ZERO);
    /// assert!(quarantine.take_released(Duration::ZERO).is_empty());
    /// assert_eq!(quarantine.take_released(Duration::from_secs(20)), [7]);
    /// assert!(quarantine.take_released(Duration::from_secs(20)).is_empty());
    /// ```
    pub fn take_released(&mut self, now: Duration) -> Vec<u64> {
        let ended = self.holds.iter_mut().filter(|hold| now >= hold.until);
        let ended = ended.filter_map(|hold| hold.stored_as.take());
        self.released.extend(ended);
        let active = self.holds.iter().filter(|hold| now < hold.until);
        let stored: BTreeSet<u64> = active.filter_map(|hold| hold.stored_as).collect();
        let released = std::mem::take(&mut self.released);
        released.difference(&stored).copied().collect()
    }

    /// Has the removal of a stored hold tried again.
    pub fn release_again(&mut self, key: u64) {
        self.released.insert(key);
    }

    /// Adopts a hold that was stored, unless a content of it was found sound since.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::quarantine::{Hold, Quarantine};
    /// let mut quarantine = Quarantine::default();
    /// let hold = Hold { parts: vec![1 << 63], left_millis: 20_000, stored_as: Some(7), ..Hold::default() };
    /// quarantine.survived(&[1 << 63], Duration::ZERO);
    /// quarantine.restore(hold, Duration::ZERO);
    /// assert_eq!(quarantine.count(Duration::ZERO), 0);
    /// assert_eq!(quarantine.take_released(Duration::ZERO), [7]);
    /// ```
    pub fn restore(&mut self, hold: Hold, now: Duration) {
        let is_sound = |part: &u64| is_content(*part) && self.sound.contains_key(part);
        if hold.parts.iter().any(is_sound) {
            self.released.extend(hold.stored_as);
            return;
        }
        let known = self.holds.iter_mut().find(|it| it.parts == hold.parts);
        match known {
            Some(known) => known.take_stored(hold.stored_as, hold.stored_era),
            None => drop(self.adopt(hold, now)),
        }
    }
}
