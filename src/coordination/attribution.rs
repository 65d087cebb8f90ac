//! Attribution of crashes to groups of digests that no report tells apart.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::time::Duration;

use super::held::has_content;
use super::quarantine::{Occurrence, Suspect};

/// Number of crashes from which a group of parts is held.
pub(super) const MIN_CRASHES: usize = 3;

/// Number of crashes from which a group is held whose parts are all vouched for.
const MIN_VOUCHED_CRASHES: usize = 8;

/// Time within which crashes count as having happened at one moment. Daemons learn of one within some hundred milliseconds of
/// each other.
const SAME_MOMENT: Duration = Duration::from_secs(1);

/// Time from the first crash for which a group is not held whose crashes may have a common cause. Shorter than the 3 s from the
/// fifth crash on in which the requests with a crashing part that reach endpoints are not counted.
const DOUBT: Duration = Duration::from_secs(2);

/// An occurrence and the time for which it counts.
#[derive(Debug, Clone)]
pub(super) struct Evidence {
    pub(super) occurrence: Occurrence,
    pub(super) seen_at: Duration,
    pub(super) expires_at: Duration,
}

/// Parts with the same occurrences.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) parts: Vec<u64>,
    pub(super) is_vouched: bool,
    /// Positions of its occurrences, oldest first.
    pub(super) occurrences: Vec<usize>,
    pub(super) crashes: BTreeSet<u64>,
}

/// A group with the number of crashes for which there is no better explanation.
#[derive(Debug)]
pub(super) struct Finding {
    pub(super) group: Group,
    pub(super) crashes: usize,
    /// Time until which the group is not held, if its crashes may have a common cause.
    pub(super) doubtful_until: Option<Duration>,
}

impl Group {
    /// Time until which the group is not held: its requests may all have been at endpoints that something else has ended.
    /// They were sound shortly before, all crashes happened at one moment, and at half of the endpoints or more there were
    /// several of them, while one is enough for a crash. Copies of a request are told by its content and always count.
    fn doubtful_until(&self, evidence: &VecDeque<Evidence>) -> Option<Duration> {
        if !self.is_vouched || has_content(&self.parts) {
            return None;
        }
        let mut crashes: BTreeMap<u64, (Duration, usize)> = BTreeMap::new();
        for it in self.occurrences.iter().filter_map(|at| evidence.get(*at)) {
            let new = (it.seen_at, 0);
            let (seen_at, requests) = crashes.entry(it.occurrence.crash).or_insert(new);
            *seen_at = it.seen_at.min(*seen_at);
            *requests += 1;
        }
        let seen = crashes.values().map(|(seen_at, _)| *seen_at);
        let (first, last) = (seen.clone().min()?, seen.max()?);
        let shared = crashes.values().filter(|(_, requests)| *requests > 1);
        let is_doubtful = last < first + SAME_MOMENT && shared.count() * 2 >= crashes.len();
        is_doubtful.then(|| first + DOUBT)
    }
}

impl Evidence {
    /// Takes over what another report of the occurrence vouches for; returns whether that is new.
    pub(super) fn vouch(&mut self, parts: &[Suspect]) -> bool {
        let mut changed = false;
        for suspect in &mut self.occurrence.parts {
            let mut others = parts.iter().filter(|other| other.part == suspect.part);
            let vouched = others.any(|other| other.vouched);
            changed |= vouched && !suspect.vouched;
            suspect.vouched |= vouched;
        }
        changed
    }
}

/// Explains crashes by groups: first by groups that are not vouched for, among them by the one with the most crashes,
/// and among these by the one with the fewest occurrences. Crashes that a group explains don't count for those after
/// it; this is also true of a group that is not held yet because its crashes may have a common cause, since that explains
/// them as well. A group with a whole request counts as having no occurrences: holding it refuses no other request, and one that
/// crashes endpoints may have been sent to one of them several times.
pub(super) fn attribute(
    evidence: &VecDeque<Evidence>,
    counts: &BTreeMap<u64, usize>,
) -> Vec<Finding> {
    let mut groups = groups(evidence, counts);
    let mut explained: HashSet<u64> = HashSet::new();
    let mut findings = Vec::new();
    loop {
        let rank = |group: &Group| {
            let crashes = group.crashes.iter().filter(|it| !explained.contains(it));
            let crashes = crashes.count();
            let min_crashes = match group.is_vouched {
                true => MIN_VOUCHED_CRASHES,
                false => MIN_CRASHES,
            };
            let occurrences = match has_content(&group.parts) {
                true => 0,
                false => group.occurrences.len(),
            };
            let rank = (group.is_vouched, Reverse(crashes), occurrences);
            (crashes >= min_crashes).then_some(rank)
        };
        let Some(best) = groups.iter().filter_map(rank).min() else {
            return findings;
        };
        let (_, Reverse(crashes), _) = best;
        let (found, others): (Vec<Group>, Vec<Group>) =
            groups.into_iter().partition(|it| rank(it) == Some(best));
        groups = others;
        for group in found {
            explained.extend(&group.crashes);
            findings.push(Finding {
                doubtful_until: group.doubtful_until(evidence),
                group,
                crashes,
            });
        }
    }
}

/// Groups of parts that have enough crashes to be held.
fn groups(evidence: &VecDeque<Evidence>, counts: &BTreeMap<u64, usize>) -> Vec<Group> {
    let mut by_part: BTreeMap<u64, (Vec<usize>, bool)> = BTreeMap::new();
    for (at, it) in evidence.iter().enumerate() {
        let suspects = it.occurrence.parts.iter();
        let count = |part| counts.get(part).copied().unwrap_or_default();
        for suspect in suspects.filter(|it| count(&it.part) >= MIN_CRASHES) {
            let (occurrences, is_vouched) = by_part.entry(suspect.part).or_default();
            occurrences.push(at);
            *is_vouched |= suspect.vouched;
        }
    }
    let mut groups: BTreeMap<Vec<usize>, Group> = BTreeMap::new();
    for (part, (occurrences, is_vouched)) in by_part {
        let crash = |at: &usize| evidence.get(*at).map(|it| it.occurrence.crash);
        let crashes: BTreeSet<u64> = occurrences.iter().filter_map(crash).collect();
        let group = groups.entry(occurrences.clone()).or_insert(Group {
            parts: Vec::new(),
            is_vouched: true,
            occurrences,
            crashes,
        });
        group.parts.push(part);
        group.is_vouched &= is_vouched;
    }
    groups.into_values().collect()
}

/// Number of crashes with an occurrence that contains all these parts.
pub(super) fn count_crashes(evidence: &VecDeque<Evidence>, parts: &[u64]) -> usize {
    let occurrences = evidence.iter().map(|evidence| &evidence.occurrence);
    let matching = occurrences.filter(|it| contains(it, parts));
    let crashes: HashSet<u64> = matching.map(|it| it.crash).collect();
    crashes.len()
}

/// Whether the request of an occurrence had all these parts.
pub(super) fn contains(occurrence: &Occurrence, parts: &[u64]) -> bool {
    let has = |part: &u64| occurrence.parts.iter().any(|it| it.part == *part);
    parts.iter().all(has)
}
