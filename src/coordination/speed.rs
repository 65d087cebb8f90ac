//! Speeds of endpoints, learned from their responses, and the selection of an endpoint by them.
//!
//! The logarithm of an observed speed is taken as the sum of a value of the model and one of the endpoint, so that a model
//! that is slow everywhere does not make its endpoints look slow, and an endpoint's speed is known for models that it has
//! not been seen with.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::choice::{Candidate, PREFILL_TOKENS_PER_MILLI};
use crate::state::record::Name;

/// Time in which the weight of observations halves; an endpoint that was slow for a moment is used again soon.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Greatest weight of the observations of one value, in samples.
const MAX_WEIGHT: f64 = 16.0;

/// Greatest weight of one peer's observations of an endpoint, so that a daemon with a poor link can't decide.
const MAX_SHARE_WEIGHT: f64 = 8.0;

/// Greatest weight of all peers' observations of an endpoint. Without it, the number of daemons would keep an endpoint slow
/// for many half-lives.
const MAX_PEERS_WEIGHT: f64 = 32.0;

/// Weight of the assumption that an endpoint is as fast as others, in samples.
const PRIOR_WEIGHT: f64 = 2.0;

/// Ratio to the model's typical speed, and its reciprocal, between which estimates are kept.
const MAX_RATIO: f64 = 8.0;

/// Bounds of an observed value: tokens per millisecond, or milliseconds.
const BOUNDS: (f64, f64) = (1e-3, 1e6);

/// Number of models whose speed is remembered per endpoint; the one not observed for the longest is dropped.
const MAX_MODELS: usize = 16;

/// Number of endpoints whose speed is shared with peers.
pub const MAX_SHARES: usize = 32;

/// Ratio to the typical speed from which an endpoint is shared.
const SHARED_RATIO: f64 = 1.15;

/// Tokens added to a prompt for the work that doesn't depend on its length; 10 ms at the speed of a usual engine.
const FIXED_TOKENS: f64 = 350.0;

/// Events of a stream for which one sample is recorded.
const EVENTS_PER_SAMPLE: u32 = 8;

/// Time between events of a model that was never seen, in milliseconds.
const UNKNOWN_INTERVAL_MILLIS: f64 = 30.0;

/// Time for which a request is taken to occupy a slot where that was never seen, in milliseconds.
const UNKNOWN_RUN_MILLIS: f64 = 1000.0;

/// Delay of the reader of a stream from which the time since the event before says nothing of the endpoint.
const MAX_READER_DELAY: Duration = Duration::from_millis(20);

/// Share of the time left until the objective that the expected time to the first event may take.
const OBJECTIVE_SHARE: f64 = 0.8;

/// Rounds in which values of models and of endpoints are fitted to each other.
const FIT_ROUNDS: usize = 3;

/// Mean of logarithms whose weight decays with time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Mean {
    log: f64,
    weight: f64,
    at: Duration,
}

impl Mean {
    fn weight(&self, now: Duration) -> f64 {
        self.weight * decay(now.saturating_sub(self.at))
    }

    fn add(&mut self, value: f64, now: Duration) {
        if !value.is_finite() {
            return;
        }
        let log = value.clamp(BOUNDS.0, BOUNDS.1).ln();
        self.weight = (self.weight(now) + 1.0).min(MAX_WEIGHT);
        self.log += (log - self.log) / self.weight;
        self.at = self.at.max(now);
    }
}

fn decay(age: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
}

/// One observation of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sample {
    /// The first event came: tokens prefilled until then, and the time that took.
    First {
        /// Prompt tokens.
        tokens: f64,
        /// Time from the send to the first event.
        elapsed: Duration,
        /// Requests beyond the endpoint's slots, whose end this one had to wait for, per slot.
        waiting: f64,
    },
    /// Some events came.
    Events {
        /// Mean time between them.
        interval: Duration,
        /// Longest time between two of them.
        pause: Duration,
        /// Requests in flight per slot, at least 1.
        crowding: f64,
    },
    /// The response is complete: time since the send.
    Run(Duration),
}

#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Rates {
    /// Prompt tokens per millisecond.
    prefill: Mean,
    /// Milliseconds between events.
    interval: Mean,
    /// Longest time between events, in milliseconds.
    pause: Mean,
    /// Time for which a request is in flight, in milliseconds.
    run: Mean,
    seen: Duration,
}

/// One daemon's observations of the speed of an endpoint, by model.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Learned {
    models: HashMap<Name, Rates>,
}

impl Learned {
    /// Whether nothing was observed.
    pub fn is_empty(&self) -> bool {
        self.models.is_empty()
    }

    /// Records an observation of a request for a model.
    pub fn record(&mut self, model: &Name, sample: Sample, now: Duration) {
        if !self.models.contains_key(model) && self.models.len() >= MAX_MODELS {
            let oldest = self.models.iter().min_by_key(|(_, rates)| rates.seen);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.models.remove(&oldest);
            }
        }
        let rates = self.models.entry(model.clone()).or_default();
        rates.seen = rates.seen.max(now);
        match sample {
            Sample::First {
                tokens,
                elapsed,
                waiting,
            } => {
                let run = match rates.run.weight > 0.0 {
                    true => rates.run.log.exp(),
                    false => UNKNOWN_RUN_MILLIS,
                };
                let elapsed = millis(elapsed).max(1.0);
                // The time in the queue is an estimate; it must not make an endpoint look faster than four times.
                let prefill = (elapsed - waiting.max(0.0) * run).max(elapsed / 4.0);
                rates.prefill.add((tokens + FIXED_TOKENS) / prefill, now);
            }
            Sample::Events {
                interval,
                pause,
                crowding,
            } => {
                let crowding = crowding.max(1.0);
                rates.interval.add(millis(interval) / crowding, now);
                rates.pause.add(millis(pause) / crowding, now);
            }
            Sample::Run(run) => rates.run.add(millis(run), now),
        }
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// Observes the events of one response.
#[derive(Debug, Clone, PartialEq)]
pub struct Progress {
    sent_at: Duration,
    tokens: f64,
    waiting: f64,
    crowding: f64,
    /// Whether the time to the first event shows the speed of prefill; not where a stream goes on.
    is_start: bool,
    last_event: Option<Duration>,
    events: u32,
    total: Duration,
    pause: Duration,
}

impl Progress {
    /// Time of the send.
    pub fn sent_at(&self) -> Duration {
        self.sent_at
    }

    /// Begins with a request that is sent to a candidate.
    pub fn open(candidate: &Candidate, is_start: bool, sent_at: Duration) -> Self {
        let slots = candidate.slots.max(1.0);
        let in_flight = candidate.in_flight + 1.0;
        Self {
            sent_at,
            tokens: candidate.prefill_tokens,
            waiting: (in_flight - slots).max(0.0) / slots,
            crowding: (in_flight / slots).max(1.0),
            is_start,
            last_event: None,
            events: 0,
            total: Duration::ZERO,
            pause: Duration::ZERO,
        }
    }

    /// Takes note of an event for which the reader has waited since `asked_at`.
    pub fn event(&mut self, asked_at: Duration, now: Duration) -> Option<Sample> {
        let Some(last) = self.last_event.replace(now) else {
            return self.is_start.then(|| Sample::First {
                tokens: self.tokens,
                elapsed: now.saturating_sub(self.sent_at),
                waiting: self.waiting,
            });
        };
        if asked_at > last + MAX_READER_DELAY {
            return None;
        }
        let pause = now.saturating_sub(last);
        self.events += 1;
        self.total += pause;
        self.pause = self.pause.max(pause);
        if self.events < EVENTS_PER_SAMPLE {
            return None;
        }
        let sample = Sample::Events {
            interval: self.total / self.events,
            pause: self.pause,
            crowding: self.crowding,
        };
        (self.events, self.total, self.pause) = (0, Duration::ZERO, Duration::ZERO);
        Some(sample)
    }

    /// The observation of a complete response.
    pub fn end(&self, now: Duration) -> Sample {
        Sample::Run(now.saturating_sub(self.sent_at))
    }
}

/// An endpoint whose speed differs from that of others, as observed by one daemon.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Share {
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: Name,
    /// Its speed, as a percentage of the typical one.
    #[serde(rename = "p")]
    pub percent: u32,
    /// Weight of the observations, in samples.
    #[serde(rename = "n")]
    pub samples: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Kind {
    Prefill,
    Generation,
}

/// Typical speeds of models, and speeds of endpoints relative to them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    /// Logarithms of the typical speeds.
    models: HashMap<(Name, Kind), f64>,
    /// Logarithms of the typical speeds of all models.
    typical: HashMap<Kind, f64>,
    /// Logarithms of the endpoints' relative speeds.
    endpoints: HashMap<Name, f64>,
    shares: Vec<Share>,
}

impl Table {
    /// Combines this daemon's observations with what peers have shared, each with its age.
    pub fn build<'a>(
        learned: &[(Name, Learned)],
        peers: impl IntoIterator<Item = (Duration, &'a [Share])>,
        now: Duration,
    ) -> Self {
        let cells = cells(learned, now);
        let mut own: BTreeMap<Name, (f64, f64)> = BTreeMap::new();
        let mut models = HashMap::new();
        for _ in 0..FIT_ROUNDS {
            models = medians(cells.iter().map(|cell| {
                let endpoint = own.get(&cell.endpoint).map_or(0.0, |(log, _)| *log);
                ((cell.model.clone(), cell.kind), cell.log - endpoint)
            }));
            own = relative_speeds(&cells, &models);
        }
        let typical = medians(models.iter().map(|((_, kind), log)| (*kind, *log)));
        let mut shared: HashMap<&Name, (f64, f64, u32)> = HashMap::new();
        for (age, shares) in peers {
            for share in shares.iter().take(MAX_SHARES) {
                let log = (f64::from(share.percent) / 100.0)
                    .clamp(1.0 / MAX_RATIO, MAX_RATIO)
                    .ln();
                let weight = f64::from(share.samples).min(MAX_SHARE_WEIGHT) * decay(age);
                let sum = shared.entry(&share.endpoint).or_default();
                *sum = (sum.0 + weight * log, sum.1 + weight, sum.2 + 1);
            }
        }
        let mut endpoints = HashMap::new();
        for (name, (log, weight)) in &own {
            endpoints.insert(name.clone(), log * weight / (weight + PRIOR_WEIGHT));
        }
        for (name, (sum, weight, count)) in shared {
            let (log, own_weight) = own.get(name).copied().unwrap_or_default();
            // One daemon's observation may be that of its own link.
            if weight <= 0.0 || count + u32::from(own_weight >= 1.0) < 2 {
                continue;
            }
            let peers_weight = weight.min(MAX_PEERS_WEIGHT);
            let total = log * own_weight + sum / weight * peers_weight;
            let weight = own_weight + peers_weight + PRIOR_WEIGHT;
            endpoints.insert(name.clone(), total / weight);
        }
        Self {
            models,
            typical,
            endpoints,
            shares: most_deviating(&own),
        }
    }

    /// The endpoints of this daemon's own observations that differ most from others, for its peers.
    pub fn shares(&self) -> &[Share] {
        &self.shares
    }

    /// Expected speeds of an endpoint with a model.
    pub fn estimate(
        &self,
        endpoint: &Name,
        model: &Name,
        learned: &Learned,
        now: Duration,
    ) -> Estimate {
        let rates = learned.models.get(model).copied().unwrap_or_default();
        let relative = self.endpoints.get(endpoint).copied().unwrap_or_default();
        let blend = |kind: Kind, mean: Mean, sign: f64, unknown: f64| {
            let usual = self.models.get(&(model.clone(), kind));
            let usual = usual.or(self.typical.get(&kind)).copied();
            let usual = usual.unwrap_or(sign * unknown.ln());
            let weight = mean.weight(now);
            let expected = usual + relative;
            let log =
                (sign * mean.log * weight + expected * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT);
            let bound = MAX_RATIO.ln();
            let deviation = (log - usual).clamp(-bound, bound);
            ((sign * (usual + deviation)).exp(), deviation)
        };
        let unknown = PREFILL_TOKENS_PER_MILLI;
        let (prefill, first) = blend(Kind::Prefill, rates.prefill, 1.0, unknown);
        let unknown = UNKNOWN_INTERVAL_MILLIS;
        let (interval, generation) = blend(Kind::Generation, rates.interval, -1.0, unknown);
        let pause_weight = rates.pause.weight(now);
        let pause_share = pause_weight / (pause_weight + PRIOR_WEIGHT);
        let pause = rates.pause.log * pause_share + interval.ln() * (1.0 - pause_share);
        let run = match rates.run.weight > 0.0 {
            true => rates.run.log.exp(),
            false => UNKNOWN_RUN_MILLIS,
        };
        Estimate {
            tokens_per_milli: prefill,
            interval_millis: interval,
            pause_millis: pause.exp().max(interval),
            run_millis: run,
            prefill_ratio: first.exp(),
            speed: ((first + generation) / 2.0).exp(),
        }
    }
}

struct Cell {
    endpoint: Name,
    model: Name,
    kind: Kind,
    log: f64,
    weight: f64,
}

fn cells(learned: &[(Name, Learned)], now: Duration) -> Vec<Cell> {
    let mut cells = Vec::new();
    for (endpoint, learned) in learned {
        for (model, rates) in &learned.models {
            let prefill = (Kind::Prefill, rates.prefill, 1.0);
            for (kind, mean, sign) in [prefill, (Kind::Generation, rates.interval, -1.0)] {
                let weight = mean.weight(now);
                if weight >= 0.1 {
                    cells.push(Cell {
                        endpoint: endpoint.clone(),
                        model: model.clone(),
                        kind,
                        log: sign * mean.log,
                        weight,
                    });
                }
            }
        }
    }
    cells
}

fn medians<K: Eq + std::hash::Hash>(values: impl Iterator<Item = (K, f64)>) -> HashMap<K, f64> {
    let mut groups: HashMap<K, Vec<f64>> = HashMap::new();
    for (key, value) in values {
        groups.entry(key).or_default().push(value);
    }
    let medians = groups
        .into_iter()
        .map(|(key, values)| (key, median(values)));
    medians.collect()
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    match values.len() {
        0 => 0.0,
        len => f64::midpoint(values[(len - 1) / 2], values[len / 2]),
    }
}

/// Logarithms of the endpoints' speeds relative to the models', with their weights.
fn relative_speeds(
    cells: &[Cell],
    models: &HashMap<(Name, Kind), f64>,
) -> BTreeMap<Name, (f64, f64)> {
    let mut sums: BTreeMap<Name, (f64, f64)> = BTreeMap::new();
    for cell in cells {
        let usual = models.get(&(cell.model.clone(), cell.kind));
        let relative = cell.log - usual.copied().unwrap_or(cell.log);
        let sum = sums.entry(cell.endpoint.clone()).or_default();
        *sum = (sum.0 + relative * cell.weight, sum.1 + cell.weight);
    }
    let center = median(sums.values().map(|(sum, weight)| sum / weight).collect());
    let bound = MAX_RATIO.ln();
    for (sum, weight) in sums.values_mut() {
        *sum = (*sum / *weight - center).clamp(-bound, bound);
        *weight = weight.min(MAX_WEIGHT);
    }
    sums
}

fn most_deviating(own: &BTreeMap<Name, (f64, f64)>) -> Vec<Share> {
    let deviating = own
        .iter()
        .filter(|(_, (log, weight))| log.abs() >= SHARED_RATIO.ln() && *weight >= 1.0);
    let shares = deviating.map(|(endpoint, (log, weight))| Share {
        endpoint: endpoint.clone(),
        percent: (log.exp() * 100.0).round() as u32,
        samples: *weight as u32,
    });
    let mut shares: Vec<Share> = shares.collect();
    let deviation = |share: &Share| {
        let ratio = f64::from(share.percent.max(1)) / 100.0;
        (ratio.ln().abs() * 1000.0) as u64
    };
    shares.sort_by_key(|share| Reverse(deviation(share)));
    shares.truncate(MAX_SHARES);
    shares
}

/// Expected speeds of an endpoint with a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Prompt tokens per millisecond.
    pub tokens_per_milli: f64,
    /// Milliseconds between events.
    pub interval_millis: f64,
    /// Longest time between events while the endpoint has free slots, in milliseconds.
    pub pause_millis: f64,
    /// Time for which a request is in flight, in milliseconds.
    pub run_millis: f64,
    /// Speed of prefill relative to that of other endpoints.
    pub prefill_ratio: f64,
    /// Speed relative to that of other endpoints.
    pub speed: f64,
}

/// What a request is expected to meet at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Expected {
    /// Time to the first event, in milliseconds.
    pub first_millis: f64,
    /// The same if the endpoint is as fast as others, in milliseconds.
    pub usual_first_millis: f64,
    /// Longest pause between events, in milliseconds.
    pub pause_millis: f64,
    /// Cost of the choice, in milliseconds.
    pub cost: f64,
}

impl Estimate {
    /// What a request is expected to meet at a candidate.
    pub fn expect(&self, candidate: &Candidate) -> Expected {
        let slots = candidate.slots.max(1.0);
        let in_flight = candidate.in_flight + 1.0;
        let queueing = (in_flight - slots).max(0.0) / slots * self.run_millis;
        let prefill = (candidate.prefill_tokens + FIXED_TOKENS) / self.tokens_per_milli;
        // The learned values take the place of those by which the usual cost assumes equal engines.
        let learned = Candidate {
            slots: slots * self.speed,
            prefill_tokens: prefill * PREFILL_TOKENS_PER_MILLI,
            latency_millis: queueing,
            ..*candidate
        };
        Expected {
            first_millis: queueing + prefill,
            usual_first_millis: queueing + prefill * self.prefill_ratio,
            pause_millis: self.pause_millis * (in_flight / slots).max(1.0),
            cost: learned.cost(),
        }
    }
}

/// Index of the cheaper one of two candidates drawn by the random numbers `draws` in `0..1` among those that are expected to
/// meet the objective and the gap, or among all if none is; `None` without candidates.
///
/// Candidates are drawn with weights in inverse proportion to their cost, so that daemons with the same stale view spread and
/// fast endpoints are drawn more often. In `tests/speed.rs`, equal weights left the busiest engine at 1.57 times the mean
/// load per speed; weights that fall with a higher power of the cost made up to five times as many requests late.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::speed::{Expected, choose};
/// let near = Expected { first_millis: 80.0, usual_first_millis: 80.0, pause_millis: 40.0, cost: 90.0 };
/// let slow = Expected { first_millis: 400.0, ..near };
/// let (objective, gap) = (Duration::from_millis(250), Duration::from_millis(200));
/// assert_eq!(choose(&[slow, near], objective, gap, [0.1, 0.1]), Some(1));
/// assert_eq!(choose(&[slow], objective, gap, [0.1, 0.1]), Some(0));
/// ```
pub fn choose(
    candidates: &[Expected],
    left: Duration,
    gap: Duration,
    draws: [f64; 2],
) -> Option<usize> {
    let left = millis(left) * OBJECTIVE_SHARE;
    let gap = if gap.is_zero() { f64::MAX } else { millis(gap) };
    let fits = |it: &Expected| it.first_millis <= left && it.pause_millis <= gap;
    let mut pool: Vec<usize> = (0..candidates.len())
        .filter(|index| fits(&candidates[*index]))
        .collect();
    if pool.is_empty() {
        pool = (0..candidates.len()).collect();
    }
    let first = draw(candidates, &pool, draws[0])?;
    pool.retain(|index| *index != first);
    let Some(second) = draw(candidates, &pool, draws[1]) else {
        return Some(first);
    };
    match candidates[second].cost < candidates[first].cost {
        true => Some(second),
        false => Some(first),
    }
}

fn draw(candidates: &[Expected], pool: &[usize], draw: f64) -> Option<usize> {
    let weight = |index: &usize| candidates[*index].cost.max(1.0).recip();
    let mut point = draw * pool.iter().map(weight).sum::<f64>();
    for index in pool {
        point -= weight(index);
        if point < 0.0 {
            return Some(*index);
        }
    }
    pool.last().copied()
}
