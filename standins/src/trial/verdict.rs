//! Computes the measures of a trial from observations of callers and stand-ins, not from reports of the daemons; only
//! the configuration revisions and the control traffic are read from the daemons.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use serde::Serialize;

use super::caller::JOB_ACCEPTED_STATUS;
use super::plan::{Call, Plan};
use super::run::{Exchange, Observations, Trial};
use super::site::Site;
use crate::recorder::{Recorder, find_tag};

/// Maximum total time of an attained completion.
const COMPLETION_DEADLINE: Duration = Duration::from_secs(3);
/// Maximum total time of an attained service call.
const SERVICE_DEADLINE: Duration = Duration::from_secs(2);
/// Time within which a record change must take effect at every daemon.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(4);
/// Length of the window for peak token usage.
const PEAK_WINDOW: Duration = Duration::from_secs(5);
/// Tolerance for rounding in the strict token bucket.
const TOLERANCE_TOKENS: f64 = 1.0;

/// An accepted record change.
#[derive(Debug, Clone, Copy)]
pub struct Change {
    /// Time at which its acceptance was received.
    pub at: Duration,
    /// Revision of the change.
    pub revision: u64,
}

/// State of the fleet at one time.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Time of the sample.
    pub at: Duration,
    /// Daemon index, session and revision in force of each running daemon.
    pub revisions: Vec<(usize, Arc<str>, u64)>,
    /// Models without a ready replica.
    pub missing_models: Vec<usize>,
}

/// Measures of one trial; `None` if the scenario doesn't exercise a measure or it was not taken.
#[derive(Debug, Clone, Serialize)]
pub struct Verdict {
    pub scenario: String,
    pub policy: String,
    pub site: String,
    pub seed: u64,
    pub seconds: u64,
    pub requests: usize,
    pub attainment_per_accelerator: f64,
    pub moves: u64,
    pub worst_workspace_attainment: f64,
    pub refused_within_rate: usize,
    pub failed_within_rate: usize,
    pub zone_service: Option<f64>,
    pub peak_minute_tokens: u64,
    pub over_rate_tokens: u64,
    pub memory_overcommits: u64,
    pub cold_overloads: u64,
    pub unreachable_models: usize,
    pub wrong_workspace: u64,
    pub keys_seen_by_endpoints: u64,
    pub withdrawn_key_accepted: Option<usize>,
    pub partial_or_crossed_answers: usize,
    pub false_not_run: usize,
    pub double_runs: Option<u64>,
    pub lost_jobs: Option<usize>,
    pub work_after_zone_out: Option<usize>,
    pub work_after_leave: Option<usize>,
    pub cut_by_shutdown: Option<usize>,
    pub config_reverts: usize,
    pub refused_changes: usize,
    pub config_seconds_to_everywhere: Option<f64>,
    pub control_bytes_per_second: f64,
    pub control_cpu_share: f64,
    pub daemon_rss_mb: Option<f64>,
    pub median_first_ms: u64,
    pub p99_first_ms: u64,
}

/// Names of the counts that must be zero under the current policy.
pub const MUST_BE_ZERO: [&str; 15] = [
    "over_rate_tokens",
    "memory_overcommits",
    "cold_overloads",
    "unreachable_models",
    "wrong_workspace",
    "keys_seen_by_endpoints",
    "withdrawn_key_accepted",
    "partial_or_crossed_answers",
    "false_not_run",
    "double_runs",
    "lost_jobs",
    "work_after_zone_out",
    "work_after_leave",
    "cut_by_shutdown",
    "config_reverts",
];

impl Exchange {
    /// Returns true if the answer was correct and in time.
    pub fn attained(&self) -> bool {
        let deadline = match self.arrival.call {
            Call::Completion { .. } => COMPLETION_DEADLINE,
            Call::Job { .. } => Duration::MAX,
            Call::Charge { .. } | Call::Lookup => SERVICE_DEADLINE,
        };
        self.outcome.correct && self.outcome.total_time <= deadline
    }

    fn refused(&self) -> bool {
        self.outcome
            .status
            .is_some_and(|status| status == 429 || status == 503)
    }

    fn end(&self) -> Duration {
        self.sent + self.outcome.total_time
    }
}

/// Computes the verdict of a trial.
pub fn evaluate(trial: &Trial, plan: &Plan, exchanges: &[Exchange]) -> Verdict {
    let observations = trial.observations.lock();
    let recorder = &trial.recorder;
    let valid: Vec<&Exchange> = exchanges
        .iter()
        .filter(|e| !used_withdrawn_key(&observations, e))
        .collect();
    let within: Vec<&Exchange> = valid
        .iter()
        .copied()
        .filter(|e| e.arrival.within_rate)
        .collect();
    let attained = valid.iter().filter(|exchange| exchange.attained()).count();
    let (median, p99) = first_token_quantiles(exchanges);
    Verdict {
        scenario: String::new(),
        policy: String::new(),
        site: trial.site.name.to_owned(),
        seed: 0,
        seconds: plan.seconds,
        requests: exchanges.len(),
        attainment_per_accelerator: attained as f64 / trial.site.engines as f64,
        moves: recorder.moves.load(Relaxed),
        worst_workspace_attainment: worst_workspace(&trial.site, &within),
        refused_within_rate: within.iter().filter(|exchange| exchange.refused()).count(),
        failed_within_rate: within
            .iter()
            .filter(|e| !e.refused() && !e.attained())
            .count(),
        zone_service: plan
            .service_window
            .map(|window| window_service(&within, observations.warm_up_end, window)),
        peak_minute_tokens: peak_window_tokens(recorder),
        over_rate_tokens: over_rate(&trial.site, recorder),
        memory_overcommits: recorder.memory_overcommits.load(Relaxed),
        cold_overloads: recorder.cold_overloads.load(Relaxed),
        unreachable_models: unreachable_models(&observations),
        wrong_workspace: recorder.workspace_mismatches.load(Relaxed),
        keys_seen_by_endpoints: recorder.leaked_keys.load(Relaxed),
        withdrawn_key_accepted: (!observations.withdrawals.is_empty())
            .then(|| accepted_after_withdrawal(&observations, exchanges)),
        partial_or_crossed_answers: exchanges
            .iter()
            .filter(|e| is_partial(&observations, e))
            .count(),
        false_not_run: false_not_run(recorder, exchanges),
        double_runs: plan.charges.then(|| recorder.double_runs()),
        lost_jobs: (plan.jobs > 0.0).then(|| lost_jobs(exchanges)),
        work_after_zone_out: (!observations.zone_outages.is_empty())
            .then(|| runs_after_zone_out(&observations, recorder)),
        work_after_leave: (!observations.departures.is_empty())
            .then(|| runs_after_leave(&observations, recorder)),
        cut_by_shutdown: (!observations.stops.is_empty())
            .then(|| cut_by_shutdown(&observations, exchanges)),
        config_reverts: revision_reverts(&observations) + trial.count_reverted(),
        refused_changes: observations.refused_changes,
        config_seconds_to_everywhere: slowest_change(&observations),
        control_bytes_per_second: observations.peer_bytes_per_second,
        control_cpu_share: observations.idle_cpu_share,
        daemon_rss_mb: None,
        median_first_ms: median,
        p99_first_ms: p99,
    }
}

/// Returns true if the request used a key that was withdrawn before it ended.
fn used_withdrawn_key(observations: &Observations, exchange: &Exchange) -> bool {
    let arrival = &exchange.arrival;
    let mut withdrawals = observations.withdrawals.iter();
    withdrawals.any(|(workspace, key, at)| {
        (*workspace, *key) == (arrival.workspace, arrival.key) && exchange.end() >= *at
    })
}

fn accepted_after_withdrawal(observations: &Observations, exchanges: &[Exchange]) -> usize {
    let late = |exchange: &&Exchange| {
        observations.withdrawals.iter().any(|(workspace, key, at)| {
            (*workspace, *key) == (exchange.arrival.workspace, exchange.arrival.key)
                && exchange.sent > *at + PROPAGATION_LIMIT
        })
    };
    let served = exchanges
        .iter()
        .filter(late)
        .filter(|e| e.outcome.status == Some(200));
    served.count()
}

fn worst_workspace(site: &Site, within: &[&Exchange]) -> f64 {
    let share = |workspace| {
        let own = || within.iter().filter(|e| e.arrival.workspace == workspace);
        let attained = own().filter(|exchange| exchange.attained()).count();
        attained as f64 / own().count().max(1) as f64
    };
    (0..site.workspaces.len()).map(share).fold(1.0, f64::min)
}

fn window_service(within: &[&Exchange], start: Duration, window: (u64, u64)) -> f64 {
    let from = start + Duration::from_millis(window.0);
    let to = start + Duration::from_millis(window.1);
    let inside = || within.iter().filter(|e| (from..to).contains(&e.sent));
    let served = inside().filter(|exchange| exchange.outcome.correct).count();
    served as f64 / inside().count().max(1) as f64
}

fn peak_window_tokens(recorder: &Recorder) -> u64 {
    let usages = recorder.usages.lock();
    let (mut first, mut sum, mut peak) = (0, 0, 0);
    for last in 0..usages.len() {
        sum += usages[last].tokens;
        while usages[first].at + PEAK_WINDOW < usages[last].at {
            sum -= usages[first].tokens;
            first += 1;
        }
        peak = peak.max(sum);
    }
    peak
}

/// Returns the tokens used beyond a strict token bucket per workspace.
pub fn over_rate(site: &Site, recorder: &Recorder) -> u64 {
    let rates: HashMap<&str, u64> = site.workspaces.into_iter().collect();
    let mut buckets: HashMap<&str, (f64, Duration)> = HashMap::new();
    let mut over = 0.0;
    let usages = recorder.usages.lock();
    for usage in usages.iter() {
        let workspace = usage.tag.split('/').next().unwrap_or_default();
        let Some((name, rate)) = rates.get_key_value(workspace) else {
            continue;
        };
        let burst = site.burst(*rate) as f64;
        let (level, last) = buckets.entry(name).or_insert((burst, usage.at));
        *level =
            (*level + (usage.at.saturating_sub(*last)).as_secs_f64() * *rate as f64).min(burst);
        *last = usage.at;
        *level -= usage.tokens as f64;
        if *level < -TOLERANCE_TOKENS {
            over -= *level;
            *level = 0.0;
        }
    }
    over as u64
}

fn unreachable_models(observations: &Observations) -> usize {
    let samples = observations
        .samples
        .iter()
        .filter(|sample| sample.at >= observations.warm_up_end);
    let missing: HashSet<usize> = samples
        .flat_map(|s| s.missing_models.iter().copied())
        .collect();
    missing.len()
}

/// Counts accepted jobs without a correct answer.
fn lost_jobs(exchanges: &[Exchange]) -> usize {
    let accepted = exchanges.iter().filter(|exchange| {
        let job = matches!(exchange.arrival.call, Call::Job { .. });
        job && exchange.outcome.status == Some(JOB_ACCEPTED_STATUS)
    });
    accepted
        .filter(|exchange| !exchange.outcome.correct)
        .count()
}

/// Returns true for a 200 response with wrong text, or one broken off while its daemon was not killed or frozen.
fn is_partial(observations: &Observations, exchange: &Exchange) -> bool {
    let outcome = &exchange.outcome;
    if outcome.status != Some(200) || outcome.correct {
        return false;
    }
    let excused = observations.kills.iter().any(|(daemon, at)| {
        *daemon == outcome.daemon
            && exchange.sent <= *at + PROPAGATION_LIMIT
            && exchange.end() >= *at
    });
    outcome.completed || !excused
}

fn false_not_run(recorder: &Recorder, exchanges: &[Exchange]) -> usize {
    let ran = recorder.run_tags();
    let refusals = exchanges.iter().filter(|exchange| exchange.outcome.not_run);
    refusals
        .filter(|e| find_tag(&e.arrival.tag).is_some_and(|tag| ran.contains(tag)))
        .count()
}

fn runs_after_zone_out(observations: &Observations, recorder: &Recorder) -> usize {
    let runs = recorder.runs.lock();
    let late = runs.iter().filter(|run| {
        observations.zone_outages.iter().any(|(zone, from, to)| {
            *zone == *run.zone && run.at > *from + PROPAGATION_LIMIT && run.at < *to
        })
    });
    late.count()
}

fn runs_after_leave(observations: &Observations, recorder: &Recorder) -> usize {
    let runs = recorder.runs.lock();
    let late = runs.iter().filter(|run| {
        observations
            .departures
            .iter()
            .any(|(name, at)| **name == *run.endpoint && run.at > *at + PROPAGATION_LIMIT)
    });
    late.count()
}

/// Counts requests broken off at a daemon during its graceful stop.
fn cut_by_shutdown(observations: &Observations, exchanges: &[Exchange]) -> usize {
    let broken = exchanges.iter().filter(|e| {
        e.outcome.status.is_none() || (e.outcome.status == Some(200) && !e.outcome.completed)
    });
    let stopping = broken.filter(|e| {
        observations.stops.iter().any(|(daemon, from, to)| {
            *daemon == e.outcome.daemon && e.sent <= *to && e.end() >= *from
        })
    });
    stopping.count()
}

fn revision_reverts(observations: &Observations) -> usize {
    let mut highest: HashMap<&str, u64> = HashMap::new();
    let mut reverts = 0;
    for (_, session, revision) in observations
        .samples
        .iter()
        .flat_map(|sample| &sample.revisions)
    {
        let known = highest.entry(session).or_default();
        reverts += usize::from(revision < known);
        *known = (*known).max(*revision);
    }
    reverts
}

/// Returns the longest time, in seconds, from a change until no running daemon has an older revision.
fn slowest_change(observations: &Observations) -> Option<f64> {
    let changes = observations
        .changes
        .iter()
        .filter(|change| change.at >= observations.warm_up_end);
    let times = changes.map(|change| {
        let after = observations
            .samples
            .iter()
            .filter(|sample| sample.at >= change.at);
        let mut outdated = after.filter(|s| s.revisions.iter().any(|(.., r)| *r < change.revision));
        let last = outdated.next_back().map_or(change.at, |sample| sample.at);
        (last - change.at).as_secs_f64()
    });
    times.reduce(f64::max)
}

fn first_token_quantiles(exchanges: &[Exchange]) -> (u64, u64) {
    let mut histogram = hdrhistogram::Histogram::<u64>::new(3).expect("valid precision");
    let streams = exchanges.iter().filter(|e| {
        e.outcome.correct && matches!(e.arrival.call, Call::Completion { stream: true, .. })
    });
    for exchange in streams {
        let _ = histogram.record(exchange.outcome.time_to_first_token.as_millis() as u64);
    }
    (
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
    )
}
