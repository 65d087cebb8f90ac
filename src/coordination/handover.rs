//! To which other daemon a daemon without links hands a request.

use crate::state::record::Name;

/// Weight of a daemon that does not state its processor time.
const MIN_CORES: f64 = 0.05;

/// A daemon that may take requests of others.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Name of the daemon.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Processor time of its instance, in cores.
    pub cores: f64,
}

/// Processor time that a daemon counts with.
pub fn weight(cores: f64) -> f64 {
    cores.max(MIN_CORES)
}

/// Index of the daemon that takes a request, or `None` without candidates. Daemons of the zone `own_zone` are preferred as
/// long as they have to take no more than their own load again; `zone_cores` is the sum of the [`weight`]s of all daemons
/// of that zone, with or without links. The random numbers in `0..1` pick the zone and the daemon.
///
/// ```
/// use persimmoncroft::coordination::handover::{Candidate, choose};
/// let daemon = |name: &str, zone: &str| Candidate { name: name.into(), zone: zone.into(), cores: 1.0 };
/// let others = [daemon("a2", "a"), daemon("b1", "b")];
/// // Half of the zone has links.
/// assert_eq!(choose(&others, "a", 2.0, (0.9, 0.5)), Some(0));
/// // A quarter of the zone has links.
/// assert_eq!(choose(&others, "a", 4.0, (0.9, 0.5)), Some(1));
/// ```
pub fn choose(
    candidates: &[Candidate],
    own_zone: &str,
    zone_cores: f64,
    (zone_draw, draw): (f64, f64),
) -> Option<usize> {
    let in_zone = |candidate: &Candidate| &*candidate.zone == own_zone;
    let linked = candidates.iter().filter(|candidate| in_zone(candidate));
    let linked: f64 = linked.map(|candidate| weight(candidate.cores)).sum();
    let unlinked = (zone_cores - linked).max(0.0);
    let stays = unlinked <= linked || zone_draw < linked / unlinked;
    let preferred: Vec<usize> = (0..candidates.len())
        .filter(|index| in_zone(&candidates[*index]) == stays)
        .collect();
    let pool = match preferred.is_empty() {
        true => (0..candidates.len()).collect(),
        false => preferred,
    };
    let weight_of = |index: &usize| weight(candidates[*index].cores);
    let mut left = draw * pool.iter().map(weight_of).sum::<f64>();
    let chosen = pool.iter().find(|index| {
        left -= weight_of(index);
        left < 0.0
    });
    chosen.or(pool.last()).copied()
}
