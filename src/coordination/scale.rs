//! Numbers of replicas of a service in each availability zone, which the holder of the lease orders from the platform.
//!
//! A refused request costs more than a second of a replica, so the number rises as soon as load or refusals ask for it and
//! falls by single replicas after a time without either.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::state::record::Name;

/// Share of the slots that are to be in use. Demand that rises by half while a replica boots then still fits: 0.6 x 1.5 is 0.9.
/// It is also the share up to which an engine's events stay on time.
pub const TARGET_SHARE: f64 = 0.6;

/// Share of the slots that the highest load of the last [`PEAK_TIME`] may use after a decrease. Below [`TARGET_SHARE`], so that
/// a slightly higher peak doesn't take the decrease back.
const LOWER_SHARE: f64 = 0.5;

/// Time after an increase, a refusal or the begin of a term in which no number falls.
pub const HYSTERESIS: Duration = Duration::from_secs(30);

/// Time between two decreases of a zone, so that the load after the first is seen before the second.
const DECREASE_INTERVAL: Duration = Duration::from_secs(10);

/// Time over which the highest load counts against a decrease; a wave of a shorter period doesn't move the number down.
const PEAK_TIME: Duration = Duration::from_secs(60);

/// Shortest time between two calls for one zone, and the pause after the first call that wasn't accepted.
pub const CALL_INTERVAL: Duration = Duration::from_secs(2);

/// Longest pause after a call that wasn't accepted.
const MAX_CALL_PAUSE: Duration = Duration::from_secs(8);

/// Time over which the load is averaged for the trend.
const TREND_AVERAGE: Duration = Duration::from_secs(4);

/// Time between the two averages that make the trend.
const TREND_SPAN: Duration = Duration::from_secs(6);

/// Standard deviations of a load of independent requests that a rise has to exceed to count as a trend.
const TREND_DEVIATIONS: f64 = 1.5;

/// Highest factor by which a trend raises the expected load: demand swings by half within 13 s, about the time ahead.
const MAX_TREND_FACTOR: f64 = 1.5;

/// Share of the replicas needed that are ordered in place of failed ones, as a divisor. Bounded, since replacements that fail
/// as well would otherwise add to the number for ever.
const FAILED_DIVISOR: u32 = 4;

/// Bounds and costs of a service's replicas.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Minimum number of replicas in each zone.
    pub min: u32,
    /// Maximum number of replicas in each zone.
    pub max: u32,
    /// Time from an order until a new replica serves.
    pub boot: Duration,
    /// Time to load a model; zero if replicas load none.
    pub load: Duration,
    /// Concurrent requests of a replica.
    pub slots: u32,
    /// Number of replicas, over all zones, that hold all models; see [`floor`].
    pub floor: u32,
    /// Loads per second from the weight store; `None` if replicas load no models.
    pub loads_per_second: Option<f64>,
}

/// Requests refused since the last decision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Refused {
    /// For lack of capacity.
    pub full: u32,
    /// For lack of a model or an adapter.
    pub model: u32,
}

impl Refused {
    /// Adds others.
    pub fn add(&mut self, others: Self) {
        self.full = self.full.saturating_add(others.full);
        self.model = self.model.saturating_add(others.model);
    }

    /// Whether any request was refused.
    pub fn any(self) -> bool {
        self.full > 0 || self.model > 0
    }
}

/// What is known of a service in one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Zone {
    /// Replicas that are listed and not draining.
    pub listed: u32,
    /// Those that can be connected to.
    pub ready: u32,
    /// Ready replicas without a model, if they load any.
    pub empty: u32,
    /// Replicas that are draining.
    pub draining: u32,
    /// Requests in flight, of all daemons.
    pub in_flight: u32,
    /// Requests refused since the last decision.
    pub refused: Refused,
    /// Whether the zone is in use.
    pub in_use: bool,
    /// Whether the zone's daemons are heard.
    pub heard: bool,
}

impl Zone {
    /// Replicas that are listed, but can't be connected to.
    pub fn failed(&self) -> u32 {
        self.listed.saturating_sub(self.ready)
    }
}

/// A changed number, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Availability zone.
    pub zone: Name,
    /// Number before.
    pub before: u32,
    /// Number to order.
    pub wanted: u32,
    /// Expected number of requests in flight.
    pub expected: u32,
}

/// A number to order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Availability zone.
    pub zone: Name,
    /// Number of replicas in the zone.
    pub wanted: u32,
    /// Number that the platform last acknowledged, or that was known at the begin of the term.
    pub before: u32,
}

/// How the call for an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The platform has accepted it.
    Accepted,
    /// The platform has refused it; it had no effect.
    Refused,
    /// No response came; it may have had its effect.
    Unknown,
}

#[derive(Debug, Default)]
struct Subject {
    /// Number to order, or in force.
    desired: u32,
    /// Number last acknowledged, or known at the begin of the term.
    acknowledged: u32,
    /// Whether the replicas were listed or stored at some time.
    is_known: bool,
    /// Whether a call was made in this term.
    is_ordered: bool,
    /// Whether a call for `desired` may have had its effect.
    is_unanswered: bool,
    pause: Duration,
    next_call: Duration,
    raised_at: Option<Duration>,
    lowered_at: Option<Duration>,
    booting_until: Duration,
    listed: u32,
    /// Requests in flight at the last decisions.
    loads: VecDeque<(Duration, u32)>,
    /// Expected loads at the last decisions.
    expected_peaks: VecDeque<(Duration, f64)>,
}

impl Subject {
    fn booting(&self, now: Duration) -> u32 {
        match now < self.booting_until {
            true => self.desired.saturating_sub(self.listed),
            false => 0,
        }
    }

    fn note_load(&mut self, load: u32, now: Duration) {
        self.loads.push_back((now, load));
        while (self.loads.front()).is_some_and(|(at, _)| *at + PEAK_TIME < now) {
            self.loads.pop_front();
        }
    }

    fn note_expected(&mut self, expected: f64, now: Duration) {
        self.expected_peaks.push_back((now, expected));
        while (self.expected_peaks.front()).is_some_and(|(at, _)| *at + PEAK_TIME < now) {
            self.expected_peaks.pop_front();
        }
    }

    fn expected_peak(&self) -> f64 {
        let expected = self.expected_peaks.iter().map(|(_, expected)| *expected);
        expected.fold(0.0, f64::max)
    }

    fn peak(&self) -> u32 {
        self.loads.iter().map(|(_, load)| *load).max().unwrap_or(0)
    }

    fn mean(&self, until: Duration) -> Option<f64> {
        let recent = self
            .loads
            .iter()
            .filter(|(at, _)| *at <= until && *at + TREND_AVERAGE > until);
        let loads: Vec<f64> = recent.map(|(_, load)| f64::from(*load)).collect();
        (!loads.is_empty()).then(|| loads.iter().sum::<f64>() / loads.len() as f64)
    }

    /// Expected load after a time: the present one, and what a trend beyond noise adds.
    fn expected(&self, ahead: Duration, now: Duration) -> f64 {
        let latest = self.loads.back().map_or(0.0, |(_, load)| f64::from(*load));
        let earlier = now.checked_sub(TREND_SPAN).and_then(|at| self.mean(at));
        let (Some(earlier), Some(recent)) = (earlier, self.mean(now)) else {
            return latest;
        };
        let rise = recent - earlier - TREND_DEVIATIONS * recent.sqrt();
        let per_second = rise.max(0.0) / TREND_SPAN.as_secs_f64();
        let added = per_second * ahead.as_secs_f64();
        latest + added.min(latest * (MAX_TREND_FACTOR - 1.0))
    }
}

/// Numbers of replicas of one service in all zones, in one term of the holder.
///
/// ```
/// use persimmoncroft::coordination::scale::{Bounds, Refused, Scaler, Zone};
/// use std::time::Duration;
/// let bounds = Bounds {
///     min: 1, max: 9, boot: Duration::from_secs(5), load: Duration::ZERO, slots: 10, floor: 0, loads_per_second: None,
/// };
/// let zone = Zone {
///     listed: 2, ready: 2, empty: 0, draining: 0, in_flight: 20, refused: Refused::default(), in_use: true, heard: true,
/// };
/// let mut scaler = Scaler::begin(Duration::ZERO);
/// scaler.decide(&bounds, &[("a".into(), zone)].into(), Duration::ZERO);
/// let orders = scaler.due(Duration::ZERO);
/// assert_eq!((orders[0].before, orders[0].wanted), (2, 4));
/// ```
#[derive(Debug)]
pub struct Scaler {
    subjects: BTreeMap<Name, Subject>,
    began_at: Duration,
    refused_at: Option<Duration>,
    boot: Duration,
}

impl Scaler {
    /// Begins a term, in which nothing is known yet.
    pub fn begin(now: Duration) -> Self {
        Self {
            subjects: BTreeMap::new(),
            began_at: now,
            refused_at: None,
            boot: Duration::ZERO,
        }
    }

    /// Takes note of a number that may be in force: stored by an earlier holder, or listed lately. The highest counts.
    pub fn adopt(&mut self, zone: &Name, number: u32) {
        let subject = self.subjects.entry(zone.clone()).or_default();
        subject.is_known = true;
        if !subject.is_ordered && number > subject.desired {
            subject.desired = number;
            subject.acknowledged = number;
        }
    }

    /// Decides the numbers of all zones from what is known of them; returns those that change.
    pub fn decide(
        &mut self,
        bounds: &Bounds,
        zones: &BTreeMap<Name, Zone>,
        now: Duration,
    ) -> Vec<Change> {
        self.boot = bounds.boot;
        if zones.values().any(|zone| zone.refused.any()) {
            self.refused_at = Some(now);
        }
        for (name, zone) in zones {
            if zone.listed > 0 {
                // A replica that is missing for a moment must not lower the first number of the term.
                self.adopt(name, zone.listed);
            }
            let subject = self.subjects.entry(name.clone()).or_default();
            subject.listed = zone.listed;
            if zone.heard {
                subject.note_load(zone.in_flight, now);
                subject.note_expected(subject.expected(bounds.boot + bounds.load, now), now);
            }
        }
        let in_use = zones.values().filter(|zone| zone.in_use).count() as u32;
        let share = bounds.floor.div_ceil(in_use.max(1));
        let lower = share.max(bounds.min).min(bounds.max);
        let mut changes = self.raise(bounds, zones, lower, now);
        changes.extend(self.lower(bounds, zones, lower, now));
        changes
    }

    fn raise(
        &mut self,
        bounds: &Bounds,
        zones: &BTreeMap<Name, Zone>,
        lower: u32,
        now: Duration,
    ) -> Vec<Change> {
        let ahead = bounds.boot + bounds.load;
        let mut room = bounds.loads_per_second.map(|per_second| {
            let loads = (per_second * ahead.as_secs_f64()).ceil().max(1.0) as u32;
            let waiting = zones.iter().map(|(name, zone)| {
                let subject = self.subjects.get(name);
                let booting = subject.map_or(0, |subject| subject.booting(now));
                zone.empty.saturating_add(booting)
            });
            loads.saturating_sub(waiting.fold(0, u32::saturating_add))
        });
        let mut needs = Vec::new();
        for (name, zone) in zones.iter().filter(|(_, zone)| zone.in_use && zone.heard) {
            let Some(subject) = self.subjects.get(name) else {
                continue;
            };
            let may_order = subject.is_known || now >= self.began_at + HYSTERESIS;
            if subject.is_unanswered || !may_order {
                continue;
            }
            let expected = subject.expected(ahead, now);
            let needed = needed(bounds, zone, expected).max(lower).min(bounds.max);
            if needed > subject.desired {
                needs.push((needed - subject.desired, name, needed, expected));
            }
        }
        needs.sort_by_key(|(missing, ..)| std::cmp::Reverse(*missing));
        let mut changes = Vec::new();
        for (_, name, needed, expected) in needs {
            let Some(subject) = self.subjects.get_mut(name) else {
                continue;
            };
            let before = subject.desired;
            let most = room.map_or(u32::MAX, |room| before.saturating_add(room));
            // What holds all models is ordered at once.
            let wanted = needed.min(most.max(lower));
            if wanted <= before {
                continue;
            }
            room = room.map(|room| room.saturating_sub(wanted - before));
            subject.desired = wanted;
            subject.raised_at = Some(now);
            subject.booting_until = now + bounds.boot * 2;
            changes.push(Change {
                zone: name.clone(),
                before,
                wanted,
                expected: expected as u32,
            });
        }
        changes
    }

    fn lower(
        &mut self,
        bounds: &Bounds,
        zones: &BTreeMap<Name, Zone>,
        lower: u32,
        now: Duration,
    ) -> Vec<Change> {
        let is_recent = |at: Option<Duration>, time| at.is_some_and(|at| now < at + time);
        // Load of a zone that isn't heard, or is out of use, may come to the others at any moment.
        let is_informed = zones.values().all(|zone| zone.heard && zone.in_use)
            && self.subjects.keys().all(|zone| zones.contains_key(zone));
        if !is_informed
            || is_recent(Some(self.began_at), HYSTERESIS.max(PEAK_TIME))
            || is_recent(self.refused_at, HYSTERESIS)
        {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for (name, zone) in zones {
            let Some(subject) = self.subjects.get_mut(name) else {
                continue;
            };
            let before = subject.desired;
            let is_settled = subject.acknowledged == before && zone.listed == before;
            if !is_settled
                || before <= lower
                || is_recent(subject.raised_at, HYSTERESIS)
                || is_recent(subject.lowered_at, DECREASE_INTERVAL)
            {
                continue;
            }
            let wanted = (before - 1).min(bounds.max);
            let peak = f64::from(subject.peak());
            let slots = f64::from(bounds.slots.max(1)) * f64::from(wanted);
            let fits = peak <= slots * LOWER_SHARE
                && peak + 2.0 * peak.sqrt() <= slots * TARGET_SHARE
                && needed(bounds, zone, subject.expected_peak()) <= wanted;
            if !fits {
                continue;
            }
            subject.desired = wanted;
            subject.lowered_at = Some(now);
            changes.push(Change {
                zone: name.clone(),
                before,
                wanted,
                expected: subject.peak(),
            });
        }
        changes
    }

    /// Orders that are due.
    pub fn due(&self, now: Duration) -> Vec<Order> {
        let due = self.subjects.iter().filter(|(_, subject)| {
            let is_open = subject.is_unanswered || subject.desired != subject.acknowledged;
            is_open && now >= subject.next_call
        });
        due.map(|(zone, subject)| Order {
            zone: zone.clone(),
            wanted: subject.desired,
            before: subject.acknowledged,
        })
        .collect()
    }

    /// Takes note of how the call for an order ended. An order that may have had its effect is repeated unchanged.
    pub fn answered(&mut self, order: &Order, answer: Answer, now: Duration) {
        let Some(subject) = self.subjects.get_mut(&order.zone) else {
            return;
        };
        subject.is_ordered = true;
        if order.wanted > order.before && answer != Answer::Refused {
            subject.raised_at = Some(now);
            subject.booting_until = now + self.boot * 2;
        }
        subject.pause = match answer {
            Answer::Accepted => Duration::ZERO,
            _ => (subject.pause * 2).clamp(CALL_INTERVAL, MAX_CALL_PAUSE),
        };
        subject.next_call = now + subject.pause.max(CALL_INTERVAL);
        match answer {
            Answer::Accepted => {
                subject.acknowledged = order.wanted;
                subject.is_unanswered = false;
            }
            Answer::Refused => {}
            Answer::Unknown => subject.is_unanswered = true,
        }
    }

    /// Number to order, or in force, and the replicas that boot, by zone.
    pub fn numbers(&self, now: Duration) -> impl Iterator<Item = (&Name, u32, u32)> {
        let subjects = self.subjects.iter();
        subjects.map(move |(zone, subject)| (zone, subject.desired, subject.booting(now)))
    }
}

/// Number of replicas of a zone for an expected load and the requests refused. It doesn't depend on what was ordered, so
/// that orders that aren't followed don't raise it further.
fn needed(bounds: &Bounds, zone: &Zone, expected: f64) -> u32 {
    let per_replica = f64::from(bounds.slots.max(1)) * TARGET_SHARE;
    let by_load = (expected / per_replica).ceil() as u32;
    let Refused { full, model } = zone.refused;
    let added = match (full, model) {
        (0, 0) => 0,
        (0, _) => 1,
        _ => (f64::from(full) / per_replica).ceil() as u32,
    };
    let by_refusals = match added {
        0 => 0,
        _ => zone.ready.saturating_add(added),
    };
    let needed = by_load.max(by_refusals);
    needed.saturating_add(zone.failed().min(needed.div_ceil(FAILED_DIVISOR)))
}

/// Number of replicas that hold `copies` of each model, on different replicas: pairs of megabytes and copies.
///
/// ```
/// use persimmoncroft::coordination::scale::floor;
/// assert_eq!(floor(&[(6.0, 1), (4.0, 2), (5.0, 1)], 10.0), 2);
/// ```
pub fn floor(models: &[(f64, u32)], megabytes: f64) -> u32 {
    let mut models: Vec<&(f64, u32)> = models.iter().collect();
    models.sort_by(|one, other| other.0.total_cmp(&one.0));
    let mut left: Vec<f64> = Vec::new();
    for (size, copies) in models {
        let mut missing = *copies;
        for free in left.iter_mut().filter(|free| **free >= *size) {
            if missing == 0 {
                break;
            }
            *free -= size;
            missing -= 1;
        }
        // A model that fits nowhere takes a replica, as the planner finds no place for it either.
        left.extend((0..missing).map(|_| megabytes - size));
    }
    left.len() as u32
}
