//! Daemons on separate runtimes, so that each can be killed, frozen, partitioned and restarted on its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;

use parking_lot::Mutex;
use persimmoncroft::daemon::Node;
use persimmoncroft::settings::Settings;
use persimmoncroft::transport::platform::Instance;
use persimmoncroft::{Daemon, daemon};
use tokio::runtime::{Builder, Runtime};

use super::site;
use crate::platform::Platform;

/// A running daemon.
struct Running {
    runtime: Runtime,
    daemon: Option<Daemon>,
    node: Arc<Node>,
    stat_path: String,
}

/// One instance; it keeps its addresses across restarts.
pub struct Replica {
    settings: Mutex<Settings>,
    /// Listen address for callers.
    pub caller: SocketAddr,
    /// Listen address for operators.
    pub operator: SocketAddr,
    /// Listen address for peers.
    pub peer: SocketAddr,
    /// Availability zone.
    pub zone: &'static str,
    /// Whether the load balancer considers it healthy.
    pub healthy: AtomicBool,
    leaving: AtomicBool,
    running: Mutex<Option<Running>>,
}

/// All daemon instances and the platform that lists them.
pub struct Fleet {
    /// All instances, running or not.
    pub replicas: Vec<Replica>,
    platform: Arc<Platform>,
}

impl Fleet {
    /// Starts `count` daemons, spread over the zones.
    ///
    /// # Errors
    /// Returns an error if a daemon cannot start.
    pub async fn spawn(
        count: usize,
        platform: Arc<Platform>,
        adjust: impl Fn(&mut Settings),
    ) -> Result<Self, daemon::Error> {
        let mut replicas = Vec::new();
        for index in 0..count {
            let mut settings = Settings::local(site::zone(index), platform.address);
            settings.partition = Default::default();
            adjust(&mut settings);
            replicas.push(spawn_replica(settings, site::zone(index)).await?);
        }
        let fleet = Self { replicas, platform };
        fleet.publish_instances();
        Ok(fleet)
    }

    /// Returns the nodes of the running daemons with their indexes.
    pub fn nodes(&self) -> Vec<(usize, Arc<Node>)> {
        let replicas = self.replicas.iter().enumerate();
        let running = replicas.filter_map(|(index, replica)| {
            let running = replica.running.lock();
            running
                .as_ref()
                .map(|running| (index, running.node.clone()))
        });
        running.collect()
    }

    /// Returns the CPU time of each running daemon's worker thread, in clock ticks.
    pub fn cpu_ticks(&self) -> Vec<u64> {
        let replicas = self.replicas.iter();
        let running = replicas.filter_map(|replica| {
            let running = replica.running.lock();
            running
                .as_ref()
                .map(|running| thread_cpu_ticks(&running.stat_path))
        });
        running.collect()
    }

    /// Kills a daemon without a graceful shutdown.
    pub fn kill(&self, index: usize) {
        let Some(running) = self.replicas[index].running.lock().take() else {
            return;
        };
        running.runtime.shutdown_background();
        self.publish_instances();
    }

    /// Restarts a daemon on the same addresses.
    ///
    /// # Errors
    /// Returns an error if the daemon cannot start.
    pub async fn start(&self, index: usize) -> Result<(), daemon::Error> {
        let replica = &self.replicas[index];
        let settings = replica.settings.lock().clone();
        let running = start_daemon(settings).await?;
        *replica.running.lock() = Some(running);
        replica.leaving.store(false, Relaxed);
        self.publish_instances();
        Ok(())
    }

    /// Stops a daemon gracefully and waits for it to finish.
    pub async fn stop(&self, index: usize) {
        let replica = &self.replicas[index];
        replica.leaving.store(true, Relaxed);
        self.publish_instances();
        let daemon = replica
            .running
            .lock()
            .as_mut()
            .and_then(|running| running.daemon.take());
        let Some(daemon) = daemon else {
            return;
        };
        let handle = replica
            .running
            .lock()
            .as_ref()
            .map(|running| running.runtime.handle().clone());
        if let Some(handle) = handle {
            let _ = handle.spawn(daemon.stop()).await;
        }
        if let Some(running) = replica.running.lock().take() {
            running.runtime.shutdown_background();
        }
        self.publish_instances();
    }

    /// Freezes a daemon for a duration by blocking its only worker thread.
    pub fn pause(&self, index: usize, time: Duration) {
        if let Some(running) = self.replicas[index].running.lock().as_ref() {
            running
                .runtime
                .spawn(async move { std::thread::sleep(time) });
        }
    }

    /// Creates or heals a network partition between a zone and everything else.
    pub fn partition(&self, zone: &str, endpoints: &[(SocketAddr, &str)], active: bool) {
        for replica in &self.replicas {
            let inside = replica.zone == zone;
            let peers = self
                .replicas
                .iter()
                .map(|replica| (replica.peer, replica.zone));
            let others = peers.chain(endpoints.iter().copied());
            let remote = others.filter(|(_, other)| (*other == zone) != inside);
            let mut addresses: Vec<SocketAddr> = remote.map(|(address, _)| address).collect();
            if inside {
                addresses.push(self.platform.address);
            }
            let partition = replica.settings.lock().partition.clone();
            for address in addresses {
                match active {
                    true => partition.block(address),
                    false => partition.unblock(address),
                }
            }
        }
    }

    /// Kills all daemons.
    pub fn shut_down(&self) {
        for replica in &self.replicas {
            if let Some(running) = replica.running.lock().take() {
                running.runtime.shutdown_background();
            }
        }
    }

    fn publish_instances(&self) {
        let listed = self
            .replicas
            .iter()
            .filter(|replica| replica.running.lock().is_some());
        let instance = |replica: &Replica| Instance {
            address: replica.peer,
            zone: replica.zone.into(),
            leaving: replica.leaving.load(Relaxed),
        };
        self.platform.set_instances(listed.map(instance).collect());
    }
}

async fn spawn_replica(
    mut settings: Settings,
    zone: &'static str,
) -> Result<Replica, daemon::Error> {
    let running = start_daemon(settings.clone()).await?;
    if let Some(daemon) = &running.daemon {
        settings.caller_listen = daemon.caller_address;
        settings.operator_listen = daemon.operator_address;
        settings.peer_listen = running.node.peer_address;
    }
    Ok(Replica {
        caller: settings.caller_listen,
        operator: settings.operator_listen,
        peer: settings.peer_listen,
        settings: Mutex::new(settings),
        zone,
        healthy: AtomicBool::new(true),
        leaving: AtomicBool::new(false),
        running: Mutex::new(Some(running)),
    })
}

/// Starts a daemon on a runtime with a single worker, so that one blocking task freezes all of it.
async fn start_daemon(settings: Settings) -> Result<Running, daemon::Error> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime can be built");
    let spawned = runtime.spawn(async move {
        let thread = std::fs::read_link("/proc/thread-self").unwrap_or_default();
        let daemon = Daemon::spawn(settings).await?;
        Ok::<_, daemon::Error>((daemon, format!("/proc/{}/stat", thread.display())))
    });
    match spawned.await.expect("a daemon starts without panic") {
        Ok((daemon, stat_path)) => Ok(Running {
            runtime,
            node: daemon.node().clone(),
            daemon: Some(daemon),
            stat_path,
        }),
        Err(error) => {
            runtime.shutdown_background();
            Err(error)
        }
    }
}

/// Returns the user and system time of a thread, in clock ticks.
fn thread_cpu_ticks(stat_path: &str) -> u64 {
    let text = std::fs::read_to_string(stat_path).unwrap_or_default();
    let Some((_, fields)) = text.rsplit_once(')') else {
        return 0;
    };
    let fields: Vec<u64> = fields
        .split_whitespace()
        .map(|field| field.parse().unwrap_or(0))
        .collect();
    fields.get(11).unwrap_or(&0) + fields.get(12).unwrap_or(&0)
}
