//! Measures the time for configuration changes to reach every daemon and the platform operations per change.
//!
//! Usage: distribution DAEMONS CHANGES

use std::time::{Duration, Instant};

use persimmoncroft::cli::client::Client;
use persimmoncroft::coordination::revision::Change;
use persimmoncroft::transport::platform::Instance;
use persimmoncroft::{Daemon, Settings};
use serde_json::json;
use standins::platform::Platform;

const ZONES: [&str; 3] = ["a", "b", "c"];
const SETTLE_TIME: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

fn model_change(number: u64) -> Change {
    let record =
        json!({"kind": "model", "name": format!("m{}", number % 50), "memory_mib": 1 + number});
    Change {
        id: format!("c{number}"),
        records: record.as_object().cloned().into_iter().collect(),
        ..Change::default()
    }
}

async fn wait_everywhere(daemons: &[Daemon], revision: u64) {
    let behind = |daemon: &Daemon| daemon.node().config.load().revision < revision;
    while daemons.iter().any(behind) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let arguments: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    let [count, changes] = arguments[..] else {
        return Err("expected DAEMONS CHANGES".into());
    };
    let platform = Platform::spawn().await?;
    let mut daemons = Vec::new();
    for n in 0..count as usize {
        let zone = ZONES[n % ZONES.len()];
        daemons.push(Daemon::spawn(Settings::local(zone, platform.address)).await?);
    }
    let list = daemons.iter().map(|daemon| Instance {
        address: daemon.node().peer_address,
        zone: daemon.node().settings.zone.clone(),
        leaving: false,
    });
    platform.set_instances(list.collect());
    tokio::time::sleep(SETTLE_TIME).await;
    let before = platform.state.lock().operations;
    tokio::time::sleep(SETTLE_TIME).await;
    let idle = (platform.state.lock().operations - before) as f64 / SETTLE_TIME.as_secs_f64();
    let (mut times, mut operations) = (Vec::new(), 0.0);
    for number in 1..=changes {
        let daemon = &daemons[number as usize % daemons.len()];
        let operator = Client::open(
            daemon.operator_address,
            &daemon.node().settings.operator_token,
        );
        let (started, before) = (Instant::now(), platform.state.lock().operations);
        let accepted = operator.submit(&model_change(number)).await?;
        wait_everywhere(&daemons, accepted.revision).await;
        let elapsed = started.elapsed();
        let background = idle * elapsed.as_secs_f64();
        operations += (platform.state.lock().operations - before) as f64 - background;
        times.push(elapsed);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    times.sort();
    println!(
        "daemons={count} changes={changes} idle_operations_per_second={idle:.0} operations_per_change={:.1} median={:?} worst={:?}",
        operations / changes as f64,
        times[times.len() / 2],
        times[times.len() - 1]
    );
    Ok(())
}
