//! Seeded request schedule and timed faults of a trial.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};

use super::site::Site;
use crate::recorder;

/// Time under load before the trial begins, in which the daemons detect that the engines are warm.
pub const WARM_UP: Duration = Duration::from_secs(5);

const MODEL_ZIPF_EXPONENT: f64 = 0.9;
const SHARED_PROMPTS: usize = 4;
const PROMPT_BYTES: usize = 128;
const SERVICE_COST_TOKENS: u64 = 1;

/// A fault or operator action.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Marks a zone as out in its record, or back in.
    ZoneOut(usize, bool),
    /// Partitions a zone from the platform and the other zones, or heals the partition.
    Partition(usize, bool),
    /// The store doesn't answer.
    StoreHangs,
    /// The store is slow and loses the responses to applied writes.
    StoreSlow,
    /// The store refuses connections.
    StoreRefuses,
    /// The store works normally again.
    StoreRestored,
    /// Kills a daemon without a graceful shutdown.
    Kill(usize),
    /// Starts a killed daemon again.
    Start(usize),
    /// Freezes a daemon for a duration.
    Pause(usize, Duration),
    /// Stops a daemon gracefully and starts it again.
    Restart(usize),
    /// An engine restarts.
    EngineRestart(usize),
    /// An engine becomes cold without a restart.
    EngineCold(usize),
    /// An engine's record is marked as leaving.
    EngineLeaving(usize),
    /// Starts or ends faults of placement orders: lost, late, duplicated, or with a lost response.
    OrderFaults(bool),
    /// Starts or ends breaking streams midway.
    StreamFaults(bool),
    /// Withdraws the second key of a workspace.
    WithdrawKey(usize),
    /// Operators concurrently change one workspace.
    OperatorRace,
}

/// Operation that a request calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// A completion.
    Completion {
        model: String,
        prompt: String,
        max_tokens: u64,
        stream: bool,
        chat: bool,
    },
    /// A service call that is not idempotent.
    Charge { retries: bool },
    /// An idempotent service call.
    Lookup,
    /// A completion submitted as a deferrable job.
    Job {
        model: String,
        prompt: String,
        max_tokens: u64,
    },
}

/// A scheduled request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time since the start of the load, including the warm-up.
    pub at: Duration,
    /// Index of the workspace.
    pub workspace: usize,
    /// Index of the workspace's key.
    pub key: usize,
    /// Tag that identifies the request at the endpoints.
    pub tag: String,
    /// Operation to call.
    pub call: Call,
    /// Whether the workspace was within its rate and burst, counting everything that it requested.
    pub within_rate: bool,
}

/// Load and faults of a trial.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Duration of the load after the warm-up, in seconds.
    pub seconds: u64,
    /// Faults and the times to inject them, in milliseconds after the warm-up.
    pub faults: Vec<(u64, Fault)>,
    /// Offered load as a fraction of each workspace's rate.
    pub load: f64,
    /// Workspace that multiplies its load: index, start and end in seconds, factor.
    pub greedy: Option<(usize, f64, f64, f64)>,
    /// Time in seconds at which the popularity ranking of the models is reversed.
    pub demand_shift: Option<f64>,
    /// Service calls (charges and lookups) per second.
    pub service_calls: f64,
    /// Whether service calls include charges; responses of the services are then lost and delayed.
    pub charges: bool,
    /// Any positive value makes workspace 3 send its completions as deferrable jobs.
    pub jobs: f64,
    /// Window in which the share of served requests is measured separately, in milliseconds after the warm-up.
    pub service_window: Option<(u64, u64)>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seconds: 10,
            faults: Vec::new(),
            load: 0.6,
            greedy: None,
            demand_shift: None,
            service_calls: 5.0,
            charges: false,
            jobs: 0.0,
            service_window: None,
        }
    }
}

impl Plan {
    /// Draws the request schedule.
    pub fn draw(&self, site: &Site, seed: u64) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for workspace in 0..site.workspaces.len() {
            let mut rng = ChaCha8Rng::seed_from_u64(seed * 100 + workspace as u64);
            self.draw_workspace(site, workspace, &mut rng, &mut arrivals);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed * 100 + 99);
        self.draw_services(site, &mut rng, &mut arrivals);
        arrivals.sort_by_key(|arrival| arrival.at);
        for (serial, arrival) in arrivals.iter_mut().enumerate() {
            arrival.set_tag(site, serial as u64);
        }
        self.mark_within_rate(site, &mut arrivals);
        arrivals
    }

    fn draw_workspace(
        &self,
        site: &Site,
        workspace: usize,
        rng: &mut ChaCha8Rng,
        arrivals: &mut Vec<Arrival>,
    ) {
        let rate = site.workspaces[workspace].1 as f64 * self.load;
        let popularity =
            Zipf::new(site.models as f64, MODEL_ZIPF_EXPONENT).expect("valid distribution");
        let mut at = -WARM_UP.as_secs_f64();
        while at < self.seconds as f64 {
            let greedy = self.greedy.filter(|greedy| greedy.0 == workspace);
            let greedy = greedy.filter(|(_, from, to, _)| (*from..*to).contains(&at));
            let factor = greedy.map_or(1.0, |greedy| greedy.3);
            let max_tokens = rng.random_range(8..48);
            let rank = popularity.sample(rng) as usize - 1;
            let reversed = self
                .demand_shift
                .is_some_and(|demand_shift| at >= demand_shift);
            let model = if reversed {
                site.models - 1 - rank
            } else {
                rank
            };
            let call = completion(
                site,
                model,
                max_tokens,
                rng,
                self.jobs > 0.0 && workspace == 3,
            );
            let cost = call.cost() as f64;
            at += Exp::new(rate * factor / cost)
                .expect("valid distribution")
                .sample(rng);
            arrivals.push(arrival(at, workspace, rng, call));
        }
    }

    fn draw_services(&self, site: &Site, rng: &mut ChaCha8Rng, arrivals: &mut Vec<Arrival>) {
        let mut at = -WARM_UP.as_secs_f64();
        while at < self.seconds as f64 && self.service_calls > 0.0 {
            at += Exp::new(self.service_calls)
                .expect("valid distribution")
                .sample(rng);
            let charge = self.charges && rng.random_bool(0.7);
            let call = match charge {
                true => Call::Charge { retries: true },
                false => Call::Lookup,
            };
            let workspace = rng.random_range(0..site.workspaces.len());
            arrivals.push(arrival(at, workspace, rng, call));
        }
    }

    /// Sets `within_rate` from one token bucket per workspace over all its requests; the debt is limited to one burst.
    fn mark_within_rate(&self, site: &Site, arrivals: &mut [Arrival]) {
        let burst = |workspace: usize| site.burst(site.workspaces[workspace].1) as f64;
        let mut buckets: Vec<(f64, Duration)> = (0..site.workspaces.len())
            .map(|workspace| (burst(workspace), Duration::ZERO))
            .collect();
        for arrival in arrivals {
            let (level, last) = &mut buckets[arrival.workspace];
            let rate = site.workspaces[arrival.workspace].1 as f64;
            let capacity = burst(arrival.workspace);
            *level = (*level + (arrival.at - *last).as_secs_f64() * rate).min(capacity);
            *last = arrival.at;
            let cost = arrival.call.cost() as f64;
            arrival.within_rate = *level >= cost;
            *level = (*level - cost).max(-capacity);
        }
    }
}

impl Call {
    /// Returns the tokens that the request reserves.
    pub fn cost(&self) -> u64 {
        match self {
            Self::Completion {
                prompt, max_tokens, ..
            }
            | Self::Job {
                prompt, max_tokens, ..
            } => persimmoncroft::protocol::caller::prompt_tokens(prompt) + max_tokens,
            Self::Charge { .. } | Self::Lookup => SERVICE_COST_TOKENS,
        }
    }
}

impl Arrival {
    fn set_tag(&mut self, site: &Site, serial: u64) {
        self.tag = recorder::tag(site.workspaces[self.workspace].0, serial);
        match &mut self.call {
            Call::Completion { prompt, .. } | Call::Job { prompt, .. } => {
                prompt.push_str(&self.tag)
            }
            Call::Charge { .. } | Call::Lookup => {}
        }
    }
}

fn arrival(at: f64, workspace: usize, rng: &mut ChaCha8Rng, call: Call) -> Arrival {
    Arrival {
        at: WARM_UP + Duration::from_secs_f64(at.max(0.0))
            - Duration::from_secs_f64((-at).max(0.0)),
        workspace,
        key: usize::from(rng.random_bool(0.3)),
        tag: String::new(),
        call,
        within_rate: true,
    }
}

fn completion(site: &Site, model: usize, max_tokens: u64, rng: &mut ChaCha8Rng, job: bool) -> Call {
    let shared = rng.random_range(0..SHARED_PROMPTS);
    let line = format!("shared prompt {shared} of model {model}. ");
    let prompt: String = line.chars().cycle().take(PROMPT_BYTES).collect();
    let model = site.model_name(model).to_string();
    if job {
        return Call::Job {
            model,
            prompt,
            max_tokens,
        };
    }
    Call::Completion {
        model,
        prompt,
        max_tokens,
        stream: rng.random_bool(0.7),
        chat: rng.random_bool(0.5),
    }
}
