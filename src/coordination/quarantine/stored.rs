//! Holds outside the daemons: which are to be stored, removed or adopted.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Hold, Quarantine, announce, is_content};

/// A hold that is to be stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unstored {
    /// Key to store it under.
    pub key: u64,
    /// Key under which an earlier state of it is stored.
    pub replaces: Option<u64>,
    /// The hold, without its age.
    pub hold: Hold,
}

impl Quarantine {
    /// Holds in force that are not stored, or not with their present parts.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::coordination::quarantine::{Hold, Quarantine};
    /// let mut quarantine = Quarantine::default();
    /// let hold = Hold { parts: vec![1 << 63], left_millis: 20_000, ..Hold::default() };
    /// quarantine.adopt(hold, Duration::ZERO);
    /// let unstored = quarantine.unstored(Duration::ZERO);
    /// assert_eq!(unstored[0].hold.parts, [1 << 63]);
    /// quarantine.stored(unstored[0].key);
    /// assert!(quarantine.unstored(Duration::ZERO).is_empty());
    /// ```
    pub fn unstored(&self, now: Duration) -> Vec<Unstored> {
        let active = self.holds.iter().filter(|hold| now < hold.until);
        let unstored = active.filter(|hold| hold.stored_as != Some(hold.key()));
        let unstored = unstored.map(|hold| {
            let key = hold.key();
            Unstored {
                key,
                replaces: hold.stored_as,
                hold: Hold {
                    age_millis: 0,
                    stored_as: Some(key),
                    ..announce(hold, now)
                },
            }
        });
        unstored.collect()
    }

    /// Records that a hold is stored.
    pub fn stored(&mut self, key: u64) {
        let holds = self.holds.iter_mut();
        for hold in holds.filter(|hold| hold.key() == key) {
            hold.stored_as = Some(key);
        }
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
            Some(known) => known.stored_as = hold.stored_as,
            None => drop(self.adopt(hold, now)),
        }
    }
}
