//! Runs one trial: starts all components, sends the load, injects the faults and records observations.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use parking_lot::Mutex;
use persimmoncroft::settings::{Policy, Settings};
use persimmoncroft::state::record::Record;
use tokio::task::JoinSet;

use super::caller::{Answer, Caller};
use super::fleet::Fleet;
use super::operator::Operators;
use super::plan::{Arrival, Fault, Plan, WARM_UP};
use super::site::{self, KEYS, Site, ZONES};
use super::verdict::{Change, Sample};
use crate::engine::Engine;
use crate::judge::Recorder;
use crate::platform::Platform;
use crate::service::Service;
use crate::weights::Loader;

const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for a new fleet to divide and lend its rate limits before the load starts.
const SETTLE: Duration = Duration::from_secs(12);
const HEALTH_INTERVAL: Duration = Duration::from_millis(250);
const HEALTH_TIMEOUT: Duration = Duration::from_millis(250);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
const IDLE: Duration = Duration::from_secs(3);
const LIST_LAG: Duration = Duration::from_secs(1);
const SLOW_STORE: Duration = Duration::from_millis(800);
const LOST_ANSWERS_PER_MILLE: u64 = 200;
const BAD_ORDERS_PER_MILLE: u64 = 200;
const CUT_STREAMS_PER_MILLE: u64 = 200;
const BAD_CHARGES_PER_MILLE: u64 = 100;
const DOWN: Duration = Duration::from_millis(300);

/// A request with its send time and outcome.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// Scheduled request.
    pub arrival: Arrival,
    /// Send time, by the recorder's clock.
    pub sent: Duration,
    /// Outcome.
    pub answer: Answer,
}

/// Observations of one trial other than the exchanges.
#[derive(Debug, Default)]
pub struct Log {
    /// End of the warm-up, by the recorder's clock.
    pub begun: Duration,
    /// Accepted record changes.
    pub changes: Vec<Change>,
    /// Samples of the configuration revisions and unreachable models.
    pub samples: Vec<Sample>,
    /// Graceful stops: daemon, start and end.
    pub stops: Vec<(usize, Duration, Duration)>,
    /// Killed or frozen daemons and when.
    pub kills: Vec<(usize, Duration)>,
    /// Zones marked as out: name, start and end.
    pub outs: Vec<(String, Duration, Duration)>,
    /// Endpoints marked as leaving and when.
    pub leaves: Vec<(String, Duration)>,
    /// Withdrawn keys: workspace, key and time.
    pub withdrawals: Vec<(usize, usize, Duration)>,
    /// Number of changes that were refused or whose outcome is unknown.
    pub refused_changes: usize,
    /// Bytes exchanged with peers, per second and daemon.
    pub control_bytes: f64,
    /// CPU use of a daemon without requests, as a fraction of a core.
    pub idle_cpu: f64,
}

/// A running trial.
pub struct Trial {
    /// Site that is simulated.
    pub site: Site,
    /// Recorder shared by all stand-ins.
    pub recorder: Arc<Recorder>,
    /// Stand-ins for engines.
    pub engines: Vec<Engine>,
    /// Stand-ins for plain services.
    pub services: Vec<Service>,
    /// Stand-in for the platform.
    pub platform: Arc<Platform>,
    /// Daemons under test.
    pub fleet: Arc<Fleet>,
    /// Observations so far.
    pub log: Mutex<Log>,
    operators: Operators,
}

impl Trial {
    /// Starts stand-ins and daemons and waits until every daemon has a load report of every engine.
    ///
    /// # Errors
    /// Returns an error if a component cannot start.
    pub async fn start(site: Site, policy: Policy) -> Result<Self, Box<dyn Error>> {
        let recorder = Arc::new(Recorder::default());
        let platform = Arc::new(Platform::spawn().await?);
        platform.set_instance_list_delay(LIST_LAG);
        let weights = Arc::new(Loader::new(site.loads_at_once, site.load_time()));
        let adapters = Arc::new(Loader::new(site.adapters_at_once, site.adapter_time));
        let mut engines = Vec::new();
        for index in 0..site.engines {
            let settings = site.engine(index);
            engines.push(
                Engine::spawn_with(
                    settings,
                    recorder.clone(),
                    weights.clone(),
                    adapters.clone(),
                )
                .await?,
            );
        }
        let mut services = Vec::new();
        for index in 0..site.services {
            let name = format!("desk-{index}").into();
            services.push(Service::spawn(name, site::zone(index).into(), recorder.clone()).await?);
        }
        let engine_addresses: Vec<SocketAddr> =
            engines.iter().map(|engine| engine.address).collect();
        let service_addresses: Vec<SocketAddr> =
            services.iter().map(|service| service.address).collect();
        let records = site.records(&engine_addresses, &service_addresses);
        let fleet = Fleet::spawn(site.daemons, platform.clone(), |settings| {
            settings.policy = policy;
        });
        let trial = Self {
            operators: Operators::open(&Settings::local("", platform.address).operator_token),
            fleet: Arc::new(fleet.await?),
            log: Mutex::default(),
            site,
            recorder,
            engines,
            services,
            platform,
        };
        trial.write(&records, None).await;
        trial.ready().await?;
        Ok(trial)
    }

    async fn ready(&self) -> Result<(), Box<dyn Error>> {
        let begun = self.recorder.now();
        loop {
            let nodes = self.fleet.nodes();
            let knows = |engine: &Engine| {
                nodes
                    .iter()
                    .all(|(_, node)| node.watch.report(engine.name()).is_some())
            };
            if self.engines.iter().all(knows) {
                break;
            }
            if self.recorder.now() > begun + START_TIMEOUT {
                return Err("daemons did not become ready".into());
            }
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
        tokio::time::sleep(SETTLE).await;
        Ok(())
    }

    /// Applies records in one change and logs the time of its acceptance.
    pub(super) async fn write(&self, records: &[Record], base: Option<u64>) -> Option<u64> {
        let revision = self.operators.apply(&self.fleet, records, base).await;
        let at = self.recorder.now();
        match revision {
            Some(revision) => self.log.lock().changes.push(Change { at, revision }),
            None => self.log.lock().refused_changes += 1,
        }
        revision
    }

    /// Counts records in the table that differ from their latest accepted change.
    pub fn reverted(&self) -> usize {
        self.operators.reverted(&self.platform)
    }

    /// Runs a plan and returns the exchanges after the warm-up.
    pub async fn run(self: &Arc<Self>, plan: &Plan, seed: u64) -> Vec<Exchange> {
        let arrivals = plan.draw(&self.site, seed);
        let caller = Arc::new(Caller::open(self.fleet.clone(), self.site.clone()));
        let mut watchers = JoinSet::new();
        watchers.spawn(self.clone().sample());
        watchers.spawn(self.clone().check_health());
        if plan.charges {
            self.break_charges(BAD_CHARGES_PER_MILLE);
        }
        let before = self.traffic();
        let begun = self.recorder.now();
        self.log.lock().begun = begun + WARM_UP;
        let mut faults = JoinSet::new();
        for (at, fault) in plan.faults.clone() {
            let trial = self.clone();
            faults.spawn(async move {
                trial
                    .wait_until(begun + WARM_UP + Duration::from_millis(at))
                    .await;
                trial.inject(fault).await;
            });
        }
        let mut requests = JoinSet::new();
        for arrival in arrivals {
            self.wait_until(begun + arrival.at).await;
            let (trial, caller) = (self.clone(), caller.clone());
            requests.spawn(async move {
                let sent = trial.recorder.now();
                let answer = caller.ask(&arrival).await;
                Exchange {
                    arrival,
                    sent,
                    answer,
                }
            });
        }
        let mut exchanges = requests.join_all().await;
        exchanges.sort_by_key(|exchange| exchange.sent);
        faults.join_all().await;
        let seconds = (self.recorder.now() - begun).as_secs_f64();
        let bytes = self.traffic().saturating_sub(before) as f64;
        self.log.lock().control_bytes = bytes / seconds / self.fleet.slots.len() as f64;
        self.rest().await;
        watchers.abort_all();
        exchanges.retain(|exchange| exchange.arrival.at >= WARM_UP);
        exchanges
    }

    /// Measures the daemons' CPU use while no request runs.
    async fn rest(&self) {
        let before: u64 = self.fleet.ticks().iter().sum();
        tokio::time::sleep(IDLE).await;
        let after = self.fleet.ticks();
        let ticks = after.iter().sum::<u64>().saturating_sub(before) as f64;
        let seconds = IDLE.as_secs_f64() * after.len().max(1) as f64;
        self.log.lock().idle_cpu = ticks / 100.0 / seconds;
    }

    fn traffic(&self) -> u64 {
        let nodes = self.fleet.nodes();
        nodes
            .iter()
            .map(|(_, node)| node.peers.traffic().bytes.load(Relaxed))
            .sum()
    }

    async fn wait_until(&self, at: Duration) {
        tokio::time::sleep(at.saturating_sub(self.recorder.now())).await;
    }

    async fn sample(self: Arc<Self>) {
        loop {
            let nodes = self.fleet.nodes();
            let revision = |(index, node): &(usize, Arc<persimmoncroft::daemon::Node>)| {
                (*index, node.session.clone(), node.config.load().revision)
            };
            let models = 0..self.site.models;
            let missing = models.filter(|model| {
                let name = self.site.model(*model);
                !self.engines.iter().any(|engine| engine.serves(&name))
            });
            let sample = Sample {
                at: self.recorder.now(),
                revisions: nodes.iter().map(revision).collect(),
                missing: missing.collect(),
            };
            self.log.lock().samples.push(sample);
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Runs the load balancer's health checks.
    async fn check_health(self: Arc<Self>) {
        let client = persimmoncroft::transport::http::Client::open(Default::default());
        loop {
            let checks = self.fleet.slots.iter().map(|slot| {
                let client = client.clone();
                async move {
                    let url = format!("http://{}/readyz", slot.operator);
                    let none: Option<&()> = None;
                    let answer = client
                        .bytes(http::Method::GET, &url, none, HEALTH_TIMEOUT)
                        .await;
                    slot.healthy.store(answer.is_ok(), Relaxed);
                }
            });
            futures::future::join_all(checks).await;
            tokio::time::sleep(HEALTH_INTERVAL).await;
        }
    }

    async fn inject(&self, fault: Fault) {
        let now = self.recorder.now();
        match fault {
            Fault::ZoneOut(zone, out) => self.take_out(ZONES[zone], out).await,
            Fault::Cut(zone, cut) => self.fleet.cut(ZONES[zone], &self.endpoints(), cut),
            Fault::StoreHangs => self.platform.set_faults(|faults| faults.hanging = true),
            Fault::StoreRefuses => self.platform.stop(),
            Fault::StoreSlow => self.platform.set_faults(|faults| {
                faults.delay = SLOW_STORE;
                faults.lost_responses_per_mille = LOST_ANSWERS_PER_MILLE;
            }),
            Fault::StoreWell => self.mend_store().await,
            Fault::Kill(daemon) => {
                self.log.lock().kills.push((daemon, now));
                self.fleet.kill(daemon);
            }
            Fault::Start(daemon) => self.start_daemon(daemon).await,
            Fault::Pause(daemon, time) => {
                self.log.lock().kills.push((daemon, now));
                self.fleet.pause(daemon, time);
            }
            Fault::Roll(daemon) => {
                self.fleet.stop(daemon).await;
                let stop = (daemon, now, self.recorder.now());
                self.log.lock().stops.push(stop);
                self.start_daemon(daemon).await;
            }
            Fault::EngineRestart(engine) => {
                let _ = self.engines[engine].restart(DOWN).await;
            }
            Fault::EngineCold(engine) => self.engines[engine].make_cold(),
            Fault::EngineLeaves(engine) => {
                let address = self.engines[engine].address;
                self.write(&[self.site.engine_record(engine, address, true)], None)
                    .await;
                let name = self.engines[engine].name().to_string();
                let at = self.recorder.now();
                self.log.lock().leaves.push((name, at));
            }
            Fault::Orders(bad) => self.break_orders(if bad { BAD_ORDERS_PER_MILLE } else { 0 }),
            Fault::Streams(bad) => {
                let share = if bad { CUT_STREAMS_PER_MILLE } else { 0 };
                self.engines
                    .iter()
                    .for_each(|engine| engine.set_faults(|s| s.broken_streams_per_mille = share));
            }
            Fault::Withdraw(workspace) => {
                let key = KEYS - 1;
                let name = self.site.workspaces[workspace].0;
                self.write(&[self.site.key_record(name, key, true)], None)
                    .await;
                let at = self.recorder.now();
                self.log.lock().withdrawals.push((workspace, key, at));
            }
            Fault::Race => self.race().await,
        }
    }

    async fn take_out(&self, zone: &str, out: bool) {
        self.write(&[self.site.zone_record(zone, out)], None).await;
        let now = self.recorder.now();
        let mut log = self.log.lock();
        match log.outs.iter_mut().find(|(name, ..)| name == zone) {
            Some((.., end)) => *end = now,
            None => log.outs.push((zone.to_owned(), now, Duration::MAX)),
        }
    }

    /// Four operators concurrently change one record on the same base revision; those refused retry without a base.
    async fn race(&self) {
        let nodes = self.fleet.nodes();
        let base = nodes
            .iter()
            .map(|(_, node)| node.config.load().revision)
            .max();
        let (name, rate) = self.site.workspaces[4];
        let operators = (1..=4).map(|weight| async move {
            let record = [self.site.workspace_record(name, rate, weight)];
            if self.write(&record, base).await.is_none() {
                self.write(&record, None).await;
            }
        });
        futures::future::join_all(operators).await;
    }

    async fn mend_store(&self) {
        self.platform
            .set_faults(|faults| *faults = Default::default());
        let _ = self.platform.resume().await;
    }

    async fn start_daemon(&self, daemon: usize) {
        if let Err(error) = self.fleet.start(daemon).await {
            eprintln!("daemon {daemon} did not start: {error}");
        }
    }

    fn endpoints(&self) -> Vec<(SocketAddr, &'static str)> {
        let engines = self.engines.iter().map(|engine| engine.address).enumerate();
        let services = self
            .services
            .iter()
            .map(|service| service.address)
            .enumerate();
        let all = engines.chain(services);
        all.map(|(index, address)| (address, site::zone(index)))
            .collect()
    }

    fn break_orders(&self, share: u64) {
        for engine in &self.engines {
            engine.set_faults(|faults| {
                faults.lost_orders_per_mille = share;
                faults.late_orders_per_mille = share;
                faults.lost_responses_per_mille = share;
            });
        }
    }

    fn break_charges(&self, share: u64) {
        for service in &self.services {
            service
                .faults
                .lost_responses_per_mille
                .store(share, Relaxed);
            service
                .faults
                .late_responses_per_mille
                .store(2 * share, Relaxed);
        }
    }
}

/// Runs one trial and returns it with its exchanges.
///
/// # Errors
/// Returns an error if a component cannot start.
pub async fn run(
    site: Site,
    policy: Policy,
    plan: &Plan,
    seed: u64,
) -> Result<(Arc<Trial>, Vec<Exchange>), Box<dyn Error>> {
    let trial = Arc::new(Trial::start(site, policy).await?);
    let exchanges = trial.run(plan, seed).await;
    trial.fleet.shut_down();
    Ok((trial, exchanges))
}
