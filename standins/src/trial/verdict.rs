//! Computes the measures of a trial from observations of callers and stand-ins, not from reports of the daemons; only
//! the configuration revisions and the control traffic are read from the daemons.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use serde::Serialize;

use super::caller::ACCEPTED;
use super::plan::{Ask, Plan};
use super::run::{Exchange, Log, Trial};
use super::site::Site;
use crate::judge::{Recorder, find_tag};

/// Maximum total time of an attained completion.
const COMPLETION_DEADLINE: Duration = Duration::from_secs(3);
/// Maximum total time of an attained service call.
const SERVICE_DEADLINE: Duration = Duration::from_secs(2);
/// Time within which a record change must take effect at every daemon.
const IN_FORCE: Duration = Duration::from_secs(4);
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
    pub missing: Vec<usize>,
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
pub const ZERO: [&str; 15] = [
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
        let deadline = match self.arrival.ask {
            Ask::Completion { .. } => COMPLETION_DEADLINE,
            Ask::Job { .. } => Duration::MAX,
            Ask::Charge { .. } | Ask::Lookup => SERVICE_DEADLINE,
        };
        self.answer.right && self.answer.total <= deadline
    }

    fn refused(&self) -> bool {
        self.answer
            .status
            .is_some_and(|status| status == 429 || status == 503)
    }

    fn end(&self) -> Duration {
        self.sent + self.answer.total
    }
}

/// Computes the verdict of a trial.
pub fn evaluate(trial: &Trial, plan: &Plan, exchanges: &[Exchange]) -> Verdict {
    let log = trial.log.lock();
    let recorder = &trial.recorder;
    let valid: Vec<&Exchange> = exchanges.iter().filter(|e| !withdrawn(&log, e)).collect();
    let within: Vec<&Exchange> = valid.iter().copied().filter(|e| e.arrival.within).collect();
    let attained = valid.iter().filter(|exchange| exchange.attained()).count();
    let (median, p99) = first_token(exchanges);
    Verdict {
        scenario: String::new(),
        policy: String::new(),
        site: trial.site.name.to_owned(),
        seed: 0,
        seconds: plan.seconds,
        requests: exchanges.len(),
        attainment_per_accelerator: attained as f64 / trial.site.engines as f64,
        moves: recorder.moves.load(Relaxed),
        worst_workspace_attainment: worst(&trial.site, &within),
        refused_within_rate: within.iter().filter(|exchange| exchange.refused()).count(),
        failed_within_rate: within
            .iter()
            .filter(|e| !e.refused() && !e.attained())
            .count(),
        zone_service: plan
            .window
            .map(|window| service(&within, log.begun, window)),
        peak_minute_tokens: peak(recorder),
        over_rate_tokens: over_rate(&trial.site, recorder),
        memory_overcommits: recorder.memory_overcommits.load(Relaxed),
        cold_overloads: recorder.cold_overloads.load(Relaxed),
        unreachable_models: unreachable(&log),
        wrong_workspace: recorder.workspace_mismatches.load(Relaxed),
        keys_seen_by_endpoints: recorder.leaked_keys.load(Relaxed),
        withdrawn_key_accepted: (!log.withdrawals.is_empty()).then(|| accepted(&log, exchanges)),
        partial_or_crossed_answers: exchanges.iter().filter(|e| partial(&log, e)).count(),
        false_not_run: false_not_run(recorder, exchanges),
        double_runs: plan.charges.then(|| recorder.double_runs()),
        lost_jobs: (plan.jobs > 0.0).then(|| lost_jobs(exchanges)),
        work_after_zone_out: (!log.outs.is_empty()).then(|| work_after_out(&log, recorder)),
        work_after_leave: (!log.leaves.is_empty()).then(|| work_after_leave(&log, recorder)),
        cut_by_shutdown: (!log.stops.is_empty()).then(|| cut(&log, exchanges)),
        config_reverts: reverts(&log) + trial.reverted(),
        refused_changes: log.refused_changes,
        config_seconds_to_everywhere: slowest_change(&log),
        control_bytes_per_second: log.control_bytes,
        control_cpu_share: log.idle_cpu,
        daemon_rss_mb: None,
        median_first_ms: median,
        p99_first_ms: p99,
    }
}

/// Returns true if the request used a key that was withdrawn before it ended.
fn withdrawn(log: &Log, exchange: &Exchange) -> bool {
    let arrival = &exchange.arrival;
    let mut withdrawals = log.withdrawals.iter();
    withdrawals.any(|(workspace, key, at)| {
        (*workspace, *key) == (arrival.workspace, arrival.key) && exchange.end() >= *at
    })
}

fn accepted(log: &Log, exchanges: &[Exchange]) -> usize {
    let late = |exchange: &&Exchange| {
        log.withdrawals.iter().any(|(workspace, key, at)| {
            (*workspace, *key) == (exchange.arrival.workspace, exchange.arrival.key)
                && exchange.sent > *at + IN_FORCE
        })
    };
    let served = exchanges
        .iter()
        .filter(late)
        .filter(|e| e.answer.status == Some(200));
    served.count()
}

fn worst(site: &Site, within: &[&Exchange]) -> f64 {
    let share = |workspace| {
        let own = || within.iter().filter(|e| e.arrival.workspace == workspace);
        let attained = own().filter(|exchange| exchange.attained()).count();
        attained as f64 / own().count().max(1) as f64
    };
    (0..site.workspaces.len()).map(share).fold(1.0, f64::min)
}

fn service(within: &[&Exchange], begun: Duration, window: (u64, u64)) -> f64 {
    let from = begun + Duration::from_millis(window.0);
    let to = begun + Duration::from_millis(window.1);
    let inside = || within.iter().filter(|e| (from..to).contains(&e.sent));
    let served = inside().filter(|exchange| exchange.answer.right).count();
    served as f64 / inside().count().max(1) as f64
}

fn peak(recorder: &Recorder) -> u64 {
    let usages = recorder.usages.lock();
    let (mut first, mut sum, mut most) = (0, 0, 0);
    for last in 0..usages.len() {
        sum += usages[last].tokens;
        while usages[first].at + PEAK_WINDOW < usages[last].at {
            sum -= usages[first].tokens;
            first += 1;
        }
        most = most.max(sum);
    }
    most
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

fn unreachable(log: &Log) -> usize {
    let samples = log.samples.iter().filter(|sample| sample.at >= log.begun);
    let missing: HashSet<usize> = samples.flat_map(|s| s.missing.iter().copied()).collect();
    missing.len()
}

/// Counts accepted jobs without a correct answer.
fn lost_jobs(exchanges: &[Exchange]) -> usize {
    let accepted = exchanges.iter().filter(|exchange| {
        let job = matches!(exchange.arrival.ask, Ask::Job { .. });
        job && exchange.answer.status == Some(ACCEPTED)
    });
    accepted.filter(|exchange| !exchange.answer.right).count()
}

/// Returns true for a 200 response with wrong text, or one broken off while its daemon was not killed or frozen.
fn partial(log: &Log, exchange: &Exchange) -> bool {
    let answer = &exchange.answer;
    if answer.status != Some(200) || answer.right {
        return false;
    }
    let excused = log.kills.iter().any(|(daemon, at)| {
        *daemon == answer.daemon && exchange.sent <= *at + IN_FORCE && exchange.end() >= *at
    });
    answer.ended || !excused
}

fn false_not_run(recorder: &Recorder, exchanges: &[Exchange]) -> usize {
    let ran = recorder.run_tags();
    let claims = exchanges.iter().filter(|exchange| exchange.answer.not_run);
    claims
        .filter(|e| find_tag(&e.arrival.tag).is_some_and(|tag| ran.contains(tag)))
        .count()
}

fn work_after_out(log: &Log, recorder: &Recorder) -> usize {
    let runs = recorder.runs.lock();
    let late = runs.iter().filter(|run| {
        log.outs
            .iter()
            .any(|(zone, from, to)| *zone == *run.zone && run.at > *from + IN_FORCE && run.at < *to)
    });
    late.count()
}

fn work_after_leave(log: &Log, recorder: &Recorder) -> usize {
    let runs = recorder.runs.lock();
    let late = runs.iter().filter(|run| {
        log.leaves
            .iter()
            .any(|(name, at)| **name == *run.endpoint && run.at > *at + IN_FORCE)
    });
    late.count()
}

/// Counts requests broken off at a daemon during its graceful stop.
fn cut(log: &Log, exchanges: &[Exchange]) -> usize {
    let broken = exchanges
        .iter()
        .filter(|e| e.answer.status.is_none() || (e.answer.status == Some(200) && !e.answer.ended));
    let stopping = broken.filter(|e| {
        log.stops.iter().any(|(daemon, from, to)| {
            *daemon == e.answer.daemon && e.sent <= *to && e.end() >= *from
        })
    });
    stopping.count()
}

fn reverts(log: &Log) -> usize {
    let mut highest: HashMap<&str, u64> = HashMap::new();
    let mut reverts = 0;
    for (_, session, revision) in log.samples.iter().flat_map(|sample| &sample.revisions) {
        let known = highest.entry(session).or_default();
        reverts += usize::from(revision < known);
        *known = (*known).max(*revision);
    }
    reverts
}

/// Returns the longest time, in seconds, from a change until no running daemon has an older revision.
fn slowest_change(log: &Log) -> Option<f64> {
    let changes = log.changes.iter().filter(|change| change.at >= log.begun);
    let times = changes.map(|change| {
        let after = log.samples.iter().filter(|sample| sample.at >= change.at);
        let mut behind = after.filter(|s| s.revisions.iter().any(|(.., r)| *r < change.revision));
        let last = behind.next_back().map_or(change.at, |sample| sample.at);
        (last - change.at).as_secs_f64()
    });
    times.reduce(f64::max)
}

fn first_token(exchanges: &[Exchange]) -> (u64, u64) {
    let mut histogram = hdrhistogram::Histogram::<u64>::new(3).expect("valid precision");
    let streams = exchanges.iter().filter(|e| {
        e.answer.right && matches!(e.arrival.ask, Ask::Completion { stream: true, .. })
    });
    for exchange in streams {
        let _ = histogram.record(exchange.answer.first.as_millis() as u64);
    }
    (
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
    )
}
