//! Benchmarks one daemon: latency added to direct engine calls, requests per second, memory.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use persimmoncroft::settings::Policy;
use persimmoncroft::transport::http::Client;
use serde::Serialize;
use serde_json::json;
use tokio::task::JoinSet;

use super::run::Trial;
use super::site::{self, Site, lakeshore};
use crate::engine::batch::Speed;

const PAIRS: usize = 1500;
const WORKERS: usize = 4;
const TOKENS_PER_STREAM: u64 = 16;
const LOAD_CALLERS: usize = 64;
const LOAD_DURATION: Duration = Duration::from_secs(5);
const WORKSPACE_TOKENS_PER_SECOND: u64 = 10_000_000;
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Results for one daemon on one worker thread.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// Streams measured directly, and as many through the daemon.
    pub pairs: usize,
    pub direct_first_median_us: u64,
    pub daemon_first_median_us: u64,
    pub direct_first_p99_us: u64,
    pub daemon_first_p99_us: u64,
    pub ratio_first_median: f64,
    pub ratio_first_p99: f64,
    pub direct_whole_median_us: u64,
    pub daemon_whole_median_us: u64,
    pub direct_whole_p99_us: u64,
    pub daemon_whole_p99_us: u64,
    pub ratio_whole_median: f64,
    pub ratio_whole_p99: f64,
    pub requests_per_second: f64,
    pub failed_requests: usize,
    /// CPU time of the daemon's thread per request.
    pub cpu_us_per_request: f64,
    /// Resident memory of the process, in MiB, before the trial starts, after its start, and after the load.
    pub rss_before_mb: f64,
    pub rss_started_mb: f64,
    pub rss_loaded_mb: f64,
}

fn small_site() -> Site {
    Site {
        daemons: 1,
        engines: 1,
        services: 1,
        models: 1,
        adapters: 1,
        slots: 256,
        speed: Speed {
            step: Duration::from_millis(5),
            step_per_sequence: Duration::ZERO,
            prefill_per_token: Duration::ZERO,
        },
        workspaces: [
            ("w0", WORKSPACE_TOKENS_PER_SECOND),
            ("w1", WORKSPACE_TOKENS_PER_SECOND),
            ("w2", WORKSPACE_TOKENS_PER_SECOND),
            ("w3", WORKSPACE_TOKENS_PER_SECOND),
            ("w4", WORKSPACE_TOKENS_PER_SECOND),
        ],
        ..lakeshore()
    }
}

/// Runs the benchmark.
///
/// # Errors
/// Returns an error if a component cannot start or a request fails in the latency measurement.
pub async fn run() -> Result<Figures, Box<dyn Error>> {
    let rss_before_mb = rss_mb();
    let trial = Arc::new(Trial::start(small_site(), Policy::Current).await?);
    let rss_started_mb = rss_mb();
    let (direct, proxied) = measure_latencies(&trial).await?;
    let ticks_before: u64 = trial.fleet.cpu_ticks().iter().sum();
    let (served, failed, seconds) = measure_throughput(&trial).await;
    let ticks_spent = trial.fleet.cpu_ticks().iter().sum::<u64>() - ticks_before;
    let rss_loaded_mb = rss_mb();
    trial.fleet.shut_down();
    let at = |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile);
    let ratio = |select: fn(&Timing) -> &Histogram<u64>, quantile| {
        at(select(&proxied), quantile) as f64 / at(select(&direct), quantile) as f64
    };
    Ok(Figures {
        pairs: PAIRS,
        direct_first_median_us: at(&direct.first, 0.5),
        daemon_first_median_us: at(&proxied.first, 0.5),
        direct_first_p99_us: at(&direct.first, 0.99),
        daemon_first_p99_us: at(&proxied.first, 0.99),
        ratio_first_median: ratio(|timing| &timing.first, 0.5),
        ratio_first_p99: ratio(|timing| &timing.first, 0.99),
        direct_whole_median_us: at(&direct.total, 0.5),
        daemon_whole_median_us: at(&proxied.total, 0.5),
        direct_whole_p99_us: at(&direct.total, 0.99),
        daemon_whole_p99_us: at(&proxied.total, 0.99),
        ratio_whole_median: ratio(|timing| &timing.total, 0.5),
        ratio_whole_p99: ratio(|timing| &timing.total, 0.99),
        requests_per_second: served as f64 / seconds,
        failed_requests: failed,
        cpu_us_per_request: ticks_spent as f64 / CLOCK_TICKS_PER_SECOND * 1e6
            / served.max(1) as f64,
        rss_before_mb,
        rss_started_mb,
        rss_loaded_mb,
    })
}

/// Times to the first chunk and to the end of a stream, in microseconds.
struct Timing {
    first: Histogram<u64>,
    total: Histogram<u64>,
}

impl Timing {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("valid precision");
        Self {
            first: histogram(),
            total: histogram(),
        }
    }
}

/// Reads each stream once directly and once through the daemon, alternately.
async fn measure_latencies(trial: &Arc<Trial>) -> Result<(Timing, Timing), Box<dyn Error>> {
    let (mut direct, mut proxied) = (Timing::new(), Timing::new());
    let mut workers = JoinSet::new();
    for worker in 0..WORKERS {
        let engine = trial.engines[0].address;
        let daemon = trial.fleet.replicas[0].caller;
        workers.spawn(async move {
            let client = Client::open(Default::default());
            let mut times = Vec::new();
            for pair in 0..PAIRS / WORKERS {
                let prompt = format!("worker {worker} pair {pair}");
                times.push((
                    time_stream(&client, engine, &prompt, TOKENS_PER_STREAM).await,
                    time_stream(&client, daemon, &prompt, TOKENS_PER_STREAM).await,
                ));
            }
            times
        });
    }
    for (direct_times, proxied_times) in workers.join_all().await.into_iter().flatten() {
        for (timing, times) in [(&mut direct, direct_times), (&mut proxied, proxied_times)] {
            let (first, total) = times.ok_or("a request failed")?;
            timing.first.record(first.as_micros() as u64)?;
            timing.total.record(total.as_micros() as u64)?;
        }
    }
    Ok((direct, proxied))
}

/// Sends requests from concurrent callers; returns the answered and failed requests and the elapsed seconds.
async fn measure_throughput(trial: &Arc<Trial>) -> (usize, usize, f64) {
    let started = Instant::now();
    let mut callers = JoinSet::new();
    for caller in 0..LOAD_CALLERS {
        let daemon = trial.fleet.replicas[0].caller;
        callers.spawn(async move {
            let client = Client::open(Default::default());
            let (mut served, mut failed) = (0, 0);
            while started.elapsed() < LOAD_DURATION {
                match time_stream(&client, daemon, &format!("caller {caller} {served}"), 1).await {
                    Some(_) => served += 1,
                    None => failed += 1,
                }
            }
            (served, failed)
        });
    }
    let counts = callers.join_all().await;
    let seconds = started.elapsed().as_secs_f64();
    let served = counts.iter().map(|count| count.0).sum();
    (served, counts.iter().map(|count| count.1).sum(), seconds)
}

/// Reads one stream; returns the times to the first chunk and to the end, or none if it was incomplete.
pub(super) async fn time_stream(
    client: &Client,
    address: SocketAddr,
    prompt: &str,
    tokens: u64,
) -> Option<(Duration, Duration)> {
    let body = json!({"model": "model-0", "prompt": prompt, "max_tokens": tokens, "stream": true});
    let request = Request::post(format!("http://{address}/v1/completions"))
        .header(
            header::AUTHORIZATION,
            format!("Bearer {}", site::secret("w0", 0)),
        )
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .ok()?;
    let started = Instant::now();
    let mut response = client.send(request).await.ok()?;
    let mut first = None;
    let mut end = Bytes::new();
    while let Some(frame) = response.body_mut().frame().await {
        first.get_or_insert_with(|| started.elapsed());
        end = frame.ok()?.into_data().ok()?;
    }
    let complete = response.status() == 200 && end.ends_with(b"[DONE]\n\n");
    complete.then(|| (first.unwrap_or_default(), started.elapsed()))
}

/// Returns the resident memory of the process, in MiB.
pub(super) fn rss_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kib.unwrap_or_default() / 1024.0
}
