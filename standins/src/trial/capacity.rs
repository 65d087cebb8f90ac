//! Measures how the control overhead of a daemon grows with one size at a time and fits a line to each series.

use std::error::Error;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use persimmoncroft::settings::Policy;
use persimmoncroft::state::record::Record;
use serde::Serialize;
use serde_json::json;
use tabled::Tabled;
use tokio::task::JoinSet;
use tokio::time::interval;

use super::bench::{rss_mb, time_stream};
use super::run::Trial;
use super::site::{Site, lakeshore};
use crate::engine::batch::Speed;

const MEASUREMENT_WINDOW: Duration = Duration::from_secs(5);
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
const BYTES_PER_KB: f64 = 1000.0;
const WORKSPACE_TOKENS_PER_SECOND: u64 = 10_000_000;

/// Control overhead of one daemon at one size.
#[derive(Debug, Clone, Serialize, Tabled)]
pub struct Sample {
    /// Name of the sweep.
    pub sweep: &'static str,
    /// Value of the varied size.
    pub size: usize,
    /// Number of running daemons.
    pub daemons: usize,
    /// CPU use in percent of a core.
    #[tabled(format = "{:.2}")]
    pub core_percent: f64,
    /// Payload exchanged with peers, in kB per second; twice the counted bytes, so both directions.
    #[tabled(format = "{:.2}")]
    pub peer_kb_per_second: f64,
    /// Peer calls per second.
    #[tabled(format = "{:.1}")]
    pub peer_calls_per_second: f64,
    /// Reads of the table, object store and instance list per second.
    #[tabled(format = "{:.2}")]
    pub reads_per_second: f64,
    /// Writes to the table and object store per second.
    #[tabled(format = "{:.2}")]
    pub writes_per_second: f64,
    /// Resident memory of the whole process including the stand-ins, in MiB.
    #[tabled(format = "{:.1}")]
    pub process_mb: f64,
}

/// Linear fit of one metric over a sweep.
#[derive(Debug, Clone, Serialize, Tabled)]
pub struct Fit {
    /// Name of the sweep.
    pub sweep: &'static str,
    /// Name of the metric.
    pub figure: &'static str,
    /// Value at size zero.
    #[tabled(format = "{:.4}")]
    pub base: f64,
    /// Increase per unit of size.
    #[tabled(format = "{:.5}")]
    pub slope: f64,
    /// Standard error of the residuals.
    #[tabled(format = "{:.4}")]
    pub error: f64,
}

/// Results of a capacity run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// All samples.
    pub samples: Vec<Sample>,
    /// One fit for each sweep and metric.
    pub fits: Vec<Fit>,
}

/// A parameter sweep.
struct Sweep {
    name: &'static str,
    sizes: &'static [usize],
    site: fn(usize) -> Site,
    /// Additional idle workspaces, each with one key.
    workspaces: fn(usize) -> usize,
    /// Requests per second to each daemon.
    requests: fn(usize) -> usize,
}

const SWEEPS: &[Sweep] = &[
    Sweep {
        name: "daemons",
        sizes: &[6, 12, 24, 48],
        site: |daemons| Site {
            daemons,
            ..lakeshore()
        },
        workspaces: |_| 0,
        requests: |_| 0,
    },
    Sweep {
        name: "engines",
        sizes: &[9, 36, 72],
        site: |engines| Site {
            engines,
            ..lakeshore()
        },
        workspaces: |_| 0,
        requests: |_| 0,
    },
    Sweep {
        name: "workspaces",
        sizes: &[0, 500, 1000],
        site: |_| lakeshore(),
        workspaces: |size| size,
        requests: |_| 0,
    },
    Sweep {
        name: "requests",
        sizes: &[0, 10, 20, 40],
        site: |_| fast_site(),
        workspaces: |_| 0,
        requests: |size| size,
    },
];

/// Returns a site with fast engines, so that the daemons limit the request rate.
fn fast_site() -> Site {
    Site {
        slots: 64,
        workspaces: ["w0", "w1", "w2", "w3", "w4"].map(|name| (name, WORKSPACE_TOKENS_PER_SECOND)),
        speed: Speed {
            step: Duration::from_millis(5),
            step_per_sequence: Duration::ZERO,
            prefill_per_token: Duration::ZERO,
        },
        ..lakeshore()
    }
}

/// Runs all sweeps.
///
/// # Errors
/// Returns an error if a component cannot start.
pub async fn run() -> Result<Report, Box<dyn Error>> {
    let mut samples = Vec::new();
    let mut fits = Vec::new();
    for sweep in SWEEPS {
        let mut sweep_samples = Vec::new();
        for size in sweep.sizes {
            sweep_samples.push(measure(sweep, *size).await?);
        }
        fits.extend(fit_all(sweep.name, &sweep_samples));
        samples.extend(sweep_samples);
    }
    Ok(Report { samples, fits })
}

async fn measure(sweep: &Sweep, size: usize) -> Result<Sample, Box<dyn Error>> {
    let site = (sweep.site)(size);
    let daemons = site.daemons;
    let trial = Arc::new(Trial::start(site, Policy::Current).await?);
    let extra = (sweep.workspaces)(size);
    if extra > 0 {
        trial.apply_records(&idle_workspaces(extra), None).await;
        tokio::time::sleep(MEASUREMENT_WINDOW).await;
    }
    let per_daemon = (sweep.requests)(size);
    let load_tasks = spawn_load(&trial, per_daemon);
    tokio::time::sleep(MEASUREMENT_WINDOW).await;
    let before = Counters::read(&trial);
    tokio::time::sleep(MEASUREMENT_WINDOW).await;
    let after = Counters::read(&trial);
    drop(load_tasks);
    trial.fleet.shut_down();
    let daemon_seconds = MEASUREMENT_WINDOW.as_secs_f64() * daemons as f64;
    let rate =
        |count: fn(&Counters) -> u64| (count(&after) - count(&before)) as f64 / daemon_seconds;
    Ok(Sample {
        sweep: sweep.name,
        size,
        daemons,
        core_percent: rate(|counters| counters.ticks) / CLOCK_TICKS_PER_SECOND * 100.0,
        peer_kb_per_second: 2.0 * rate(|counters| counters.bytes) / BYTES_PER_KB,
        peer_calls_per_second: rate(|counters| counters.calls),
        reads_per_second: rate(|counters| counters.reads),
        writes_per_second: rate(|counters| counters.writes),
        process_mb: rss_mb(),
    })
}

fn idle_workspaces(count: usize) -> Vec<Record> {
    let records = (0..count).flat_map(|index| {
        let workspace = format!("idle-{index}");
        let digest = format!("{index:064x}");
        [
            json!({"kind": "workspace", "name": workspace, "rate_tokens_per_second": 100, "burst_tokens": 200}),
            json!({"kind": "key", "name": workspace, "digest": digest, "workspace": workspace}),
        ]
    });
    records
        .map(|value| serde_json::from_value(value).expect("records are well-formed"))
        .collect()
}

/// Sends requests at a constant rate to each daemon until the returned set is dropped.
fn spawn_load(trial: &Arc<Trial>, per_second: usize) -> JoinSet<()> {
    let mut load_tasks = JoinSet::new();
    for replica in trial.fleet.replicas.iter().filter(|_| per_second > 0) {
        let address = replica.caller;
        load_tasks.spawn(async move {
            let client = persimmoncroft::transport::http::Client::open(Default::default());
            let mut ticker = interval(Duration::from_secs(1) / per_second as u32);
            let mut requests = JoinSet::new();
            for number in 0_usize.. {
                ticker.tick().await;
                let client = client.clone();
                requests.spawn(async move {
                    let prompt = format!("request {number} to {address}");
                    time_stream(&client, address, &prompt, 8).await
                });
                while requests.try_join_next().is_some() {}
            }
        });
    }
    load_tasks
}

/// Counters of all daemons and of the platform.
struct Counters {
    ticks: u64,
    bytes: u64,
    calls: u64,
    reads: u64,
    writes: u64,
}

impl Counters {
    fn read(trial: &Trial) -> Self {
        let nodes = trial.fleet.nodes();
        let traffic = nodes.iter().map(|(_, node)| node.peers.traffic());
        let (mut bytes, mut calls) = (0, 0);
        for traffic in traffic {
            bytes += traffic.bytes.load(Relaxed);
            calls += traffic.calls.load(Relaxed);
        }
        let (reads, writes) = trial.platform.state.lock().operation_totals();
        Self {
            ticks: trial.fleet.cpu_ticks().iter().sum(),
            bytes,
            calls,
            reads,
            writes,
        }
    }
}

/// Name of a metric and its accessor.
type Metric = (&'static str, fn(&Sample) -> f64);

fn fit_all(sweep: &'static str, samples: &[Sample]) -> Vec<Fit> {
    let metrics: [Metric; 6] = [
        ("core_percent", |sample| sample.core_percent),
        ("peer_kb_per_second", |sample| sample.peer_kb_per_second),
        ("peer_calls_per_second", |sample| {
            sample.peer_calls_per_second
        }),
        ("reads_per_second", |sample| sample.reads_per_second),
        ("writes_per_second", |sample| sample.writes_per_second),
        ("process_mb", |sample| sample.process_mb),
    ];
    let fits = metrics.into_iter().map(|(figure, value)| {
        let points: Vec<(f64, f64)> = samples
            .iter()
            .map(|sample| (sample.size as f64, value(sample)))
            .collect();
        fit(sweep, figure, &points)
    });
    fits.collect()
}

/// Fits a line by ordinary least squares.
fn fit(sweep: &'static str, figure: &'static str, points: &[(f64, f64)]) -> Fit {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let squared_deviations = points.iter().map(|point| (point.0 - mean_x).powi(2));
    let cross_products = points
        .iter()
        .map(|point| (point.0 - mean_x) * (point.1 - mean_y));
    let slope = cross_products.sum::<f64>() / squared_deviations.sum::<f64>();
    let base = mean_y - slope * mean_x;
    let residuals = points
        .iter()
        .map(|point| (point.1 - base - slope * point.0).powi(2));
    let error = (residuals.sum::<f64>() / (count - 2.0).max(1.0)).sqrt();
    Fit {
        sweep,
        figure,
        base,
        slope,
        error,
    }
}
