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

use super::caller::{Caller, Outcome};
use super::fleet::Fleet;
use super::operator::Operators;
use super::plan::{Arrival, Fault, Plan, WARM_UP};
use super::site::{self, KEYS_PER_WORKSPACE, Site, ZONES};
use super::verdict::{Change, Sample};
use crate::engine::Engine;
use crate::loader::Loader;
use crate::platform::Platform;
use crate::recorder::Recorder;
use crate::service::Service;

const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for a new fleet to divide and lend its rate limits before the load starts.
const SETTLE_TIME: Duration = Duration::from_secs(12);
const HEALTH_INTERVAL: Duration = Duration::from_millis(250);
const HEALTH_TIMEOUT: Duration = Duration::from_millis(250);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
const IDLE_WINDOW: Duration = Duration::from_secs(3);
const INSTANCE_LIST_DELAY: Duration = Duration::from_secs(1);
const SLOW_STORE_DELAY: Duration = Duration::from_millis(800);
const LOST_RESPONSES_PER_MILLE: u64 = 200;
const FAULTY_ORDERS_PER_MILLE: u64 = 200;
const BROKEN_STREAMS_PER_MILLE: u64 = 200;
const FAULTY_CHARGES_PER_MILLE: u64 = 100;
const ENGINE_DOWNTIME: Duration = Duration::from_millis(300);

/// A request with its send time and outcome.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// Scheduled request.
    pub arrival: Arrival,
    /// Send time, by the recorder's clock.
    pub sent: Duration,
    /// Outcome.
    pub outcome: Outcome,
}

/// Observations of one trial other than the exchanges.
#[derive(Debug, Default)]
pub struct Observations {
    /// End of the warm-up, by the recorder's clock.
    pub warm_up_end: Duration,
    /// Accepted record changes.
    pub changes: Vec<Change>,
    /// Samples of the configuration revisions and unreachable models.
    pub samples: Vec<Sample>,
    /// Graceful stops: daemon, start and end.
    pub stops: Vec<(usize, Duration, Duration)>,
    /// Killed or frozen daemons and when.
    pub kills: Vec<(usize, Duration)>,
    /// Zones marked as out: name, start and end.
    pub zone_outages: Vec<(String, Duration, Duration)>,
    /// Endpoints marked as leaving and when.
    pub departures: Vec<(String, Duration)>,
    /// Withdrawn keys: workspace, key and time.
    pub withdrawals: Vec<(usize, usize, Duration)>,
    /// Number of changes that were refused or whose outcome is unknown.
    pub refused_changes: usize,
    /// Bytes exchanged with peers, per second and daemon.
    pub peer_bytes_per_second: f64,
    /// CPU use of a daemon without requests, as a fraction of a core.
    pub idle_cpu_share: f64,
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
    pub observations: Mutex<Observations>,
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
        platform.set_instance_list_delay(INSTANCE_LIST_DELAY);
        let model_loader = Arc::new(Loader::new(
            site.concurrent_model_loads,
            site.model_load_time(),
        ));
        let adapter_loader = Arc::new(Loader::new(
            site.concurrent_adapter_loads,
            site.adapter_load_time,
        ));
        let mut engines = Vec::new();
        for index in 0..site.engines {
            let settings = site.engine_settings(index);
            engines.push(
                Engine::spawn_with(
                    settings,
                    recorder.clone(),
                    model_loader.clone(),
                    adapter_loader.clone(),
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
            operators: Operators::new(&Settings::local("", platform.address).operator_token),
            fleet: Arc::new(fleet.await?),
            observations: Mutex::default(),
            site,
            recorder,
            engines,
            services,
            platform,
        };
        trial.apply_records(&records, None).await;
        trial.wait_ready().await?;
        Ok(trial)
    }

    async fn wait_ready(&self) -> Result<(), Box<dyn Error>> {
        let started = self.recorder.now();
        loop {
            let nodes = self.fleet.nodes();
            let has_report = |engine: &Engine| {
                nodes
                    .iter()
                    .all(|(_, node)| node.load_reports.report(engine.name()).is_some())
            };
            if self.engines.iter().all(has_report) {
                break;
            }
            if self.recorder.now() > started + START_TIMEOUT {
                return Err("daemons did not become ready".into());
            }
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
        tokio::time::sleep(SETTLE_TIME).await;
        Ok(())
    }

    /// Applies records in one change and logs the time of its acceptance.
    pub(super) async fn apply_records(&self, records: &[Record], base: Option<u64>) -> Option<u64> {
        let revision = self.operators.apply(&self.fleet, records, base).await;
        let at = self.recorder.now();
        match revision {
            Some(revision) => self
                .observations
                .lock()
                .changes
                .push(Change { at, revision }),
            None => self.observations.lock().refused_changes += 1,
        }
        revision
    }

    /// Counts records in the table that differ from their latest accepted change.
    pub fn count_reverted(&self) -> usize {
        self.operators.count_reverted(&self.platform)
    }

    /// Runs a plan and returns the exchanges after the warm-up.
    pub async fn run(self: &Arc<Self>, plan: &Plan, seed: u64) -> Vec<Exchange> {
        let arrivals = plan.draw(&self.site, seed);
        let caller = Arc::new(Caller::new(self.fleet.clone(), self.site.clone()));
        let mut background_tasks = JoinSet::new();
        background_tasks.spawn(self.clone().record_samples());
        background_tasks.spawn(self.clone().check_health());
        if plan.charges {
            self.set_charge_faults(FAULTY_CHARGES_PER_MILLE);
        }
        let before = self.peer_bytes();
        let started = self.recorder.now();
        self.observations.lock().warm_up_end = started + WARM_UP;
        let mut faults = JoinSet::new();
        for (at, fault) in plan.faults.clone() {
            let trial = self.clone();
            faults.spawn(async move {
                trial
                    .wait_until(started + WARM_UP + Duration::from_millis(at))
                    .await;
                trial.inject(fault).await;
            });
        }
        let mut requests = JoinSet::new();
        for arrival in arrivals {
            self.wait_until(started + arrival.at).await;
            let (trial, caller) = (self.clone(), caller.clone());
            requests.spawn(async move {
                let sent = trial.recorder.now();
                let outcome = caller.send(&arrival).await;
                Exchange {
                    arrival,
                    sent,
                    outcome,
                }
            });
        }
        let mut exchanges = requests.join_all().await;
        exchanges.sort_by_key(|exchange| exchange.sent);
        faults.join_all().await;
        let seconds = (self.recorder.now() - started).as_secs_f64();
        let bytes = self.peer_bytes().saturating_sub(before) as f64;
        self.observations.lock().peer_bytes_per_second =
            bytes / seconds / self.fleet.replicas.len() as f64;
        self.measure_idle_cpu().await;
        background_tasks.abort_all();
        exchanges.retain(|exchange| exchange.arrival.at >= WARM_UP);
        exchanges
    }

    /// Measures the daemons' CPU use while no request runs.
    async fn measure_idle_cpu(&self) {
        let before: u64 = self.fleet.cpu_ticks().iter().sum();
        tokio::time::sleep(IDLE_WINDOW).await;
        let after = self.fleet.cpu_ticks();
        let ticks = after.iter().sum::<u64>().saturating_sub(before) as f64;
        let seconds = IDLE_WINDOW.as_secs_f64() * after.len().max(1) as f64;
        self.observations.lock().idle_cpu_share = ticks / 100.0 / seconds;
    }

    fn peer_bytes(&self) -> u64 {
        let nodes = self.fleet.nodes();
        nodes
            .iter()
            .map(|(_, node)| node.peers.traffic().bytes.load(Relaxed))
            .sum()
    }

    async fn wait_until(&self, at: Duration) {
        tokio::time::sleep(at.saturating_sub(self.recorder.now())).await;
    }

    async fn record_samples(self: Arc<Self>) {
        loop {
            let nodes = self.fleet.nodes();
            let revision = |(index, node): &(usize, Arc<persimmoncroft::daemon::Node>)| {
                (*index, node.session.clone(), node.config.load().revision)
            };
            let models = 0..self.site.models;
            let missing = models.filter(|model| {
                let name = self.site.model_name(*model);
                !self.engines.iter().any(|engine| engine.serves(&name))
            });
            let sample = Sample {
                at: self.recorder.now(),
                revisions: nodes.iter().map(revision).collect(),
                missing_models: missing.collect(),
            };
            self.observations.lock().samples.push(sample);
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Runs the load balancer's health checks.
    async fn check_health(self: Arc<Self>) {
        let client = persimmoncroft::transport::http::Client::open(Default::default());
        loop {
            let checks = self.fleet.replicas.iter().map(|replica| {
                let client = client.clone();
                async move {
                    let url = format!("http://{}/readyz", replica.operator);
                    let none: Option<&()> = None;
                    let response = client
                        .bytes(http::Method::GET, &url, none, HEALTH_TIMEOUT)
                        .await;
                    replica.healthy.store(response.is_ok(), Relaxed);
                }
            });
            futures::future::join_all(checks).await;
            tokio::time::sleep(HEALTH_INTERVAL).await;
        }
    }

    async fn inject(&self, fault: Fault) {
        let now = self.recorder.now();
        match fault {
            Fault::ZoneOut(zone, out) => self.set_zone_out(ZONES[zone], out).await,
            Fault::Partition(zone, active) => {
                self.fleet
                    .partition(ZONES[zone], &self.endpoint_zones(), active)
            }
            Fault::StoreHangs => self.platform.set_faults(|faults| faults.hanging = true),
            Fault::StoreRefuses => self.platform.stop(),
            Fault::StoreSlow => self.platform.set_faults(|faults| {
                faults.delay = SLOW_STORE_DELAY;
                faults.lost_responses_per_mille = LOST_RESPONSES_PER_MILLE;
            }),
            Fault::StoreRestored => self.restore_store().await,
            Fault::Kill(daemon) => {
                self.observations.lock().kills.push((daemon, now));
                self.fleet.kill(daemon);
            }
            Fault::Start(daemon) => self.start_daemon(daemon).await,
            Fault::Pause(daemon, time) => {
                self.observations.lock().kills.push((daemon, now));
                self.fleet.pause(daemon, time);
            }
            Fault::Restart(daemon) => {
                self.fleet.stop(daemon).await;
                let stop = (daemon, now, self.recorder.now());
                self.observations.lock().stops.push(stop);
                self.start_daemon(daemon).await;
            }
            Fault::EngineRestart(engine) => {
                let _ = self.engines[engine].restart(ENGINE_DOWNTIME).await;
            }
            Fault::EngineCold(engine) => self.engines[engine].make_cold(),
            Fault::EngineLeaving(engine) => {
                let address = self.engines[engine].address;
                self.apply_records(&[self.site.engine_record(engine, address, true)], None)
                    .await;
                let name = self.engines[engine].name().to_string();
                let at = self.recorder.now();
                self.observations.lock().departures.push((name, at));
            }
            Fault::OrderFaults(active) => {
                self.set_order_faults(if active { FAULTY_ORDERS_PER_MILLE } else { 0 })
            }
            Fault::StreamFaults(active) => {
                let per_mille = if active { BROKEN_STREAMS_PER_MILLE } else { 0 };
                self.engines.iter().for_each(|engine| {
                    engine.set_faults(|s| s.broken_streams_per_mille = per_mille)
                });
            }
            Fault::WithdrawKey(workspace) => {
                let key = KEYS_PER_WORKSPACE - 1;
                let name = self.site.workspaces[workspace].0;
                self.apply_records(&[self.site.key_record(name, key, true)], None)
                    .await;
                let at = self.recorder.now();
                self.observations
                    .lock()
                    .withdrawals
                    .push((workspace, key, at));
            }
            Fault::OperatorRace => self.race_operators().await,
        }
    }

    async fn set_zone_out(&self, zone: &str, out: bool) {
        self.apply_records(&[self.site.zone_record(zone, out)], None)
            .await;
        let now = self.recorder.now();
        let mut observations = self.observations.lock();
        match observations
            .zone_outages
            .iter_mut()
            .find(|(name, ..)| name == zone)
        {
            Some((.., end)) => *end = now,
            None => observations
                .zone_outages
                .push((zone.to_owned(), now, Duration::MAX)),
        }
    }

    /// Four operators concurrently change one record on the same base revision; those refused retry without a base.
    async fn race_operators(&self) {
        let nodes = self.fleet.nodes();
        let base = nodes
            .iter()
            .map(|(_, node)| node.config.load().revision)
            .max();
        let (name, rate) = self.site.workspaces[4];
        let operators = (1..=4).map(|weight| async move {
            let record = [self.site.workspace_record(name, rate, weight)];
            if self.apply_records(&record, base).await.is_none() {
                self.apply_records(&record, None).await;
            }
        });
        futures::future::join_all(operators).await;
    }

    async fn restore_store(&self) {
        self.platform
            .set_faults(|faults| *faults = Default::default());
        let _ = self.platform.resume().await;
    }

    async fn start_daemon(&self, daemon: usize) {
        if let Err(error) = self.fleet.start(daemon).await {
            eprintln!("daemon {daemon} did not start: {error}");
        }
    }

    fn endpoint_zones(&self) -> Vec<(SocketAddr, &'static str)> {
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

    fn set_order_faults(&self, per_mille: u64) {
        for engine in &self.engines {
            engine.set_faults(|faults| {
                faults.lost_orders_per_mille = per_mille;
                faults.late_orders_per_mille = per_mille;
                faults.lost_responses_per_mille = per_mille;
            });
        }
    }

    fn set_charge_faults(&self, per_mille: u64) {
        for service in &self.services {
            service
                .faults
                .lost_responses_per_mille
                .store(per_mille, Relaxed);
            service
                .faults
                .late_responses_per_mille
                .store(2 * per_mille, Relaxed);
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
