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
    thread: String,
}

/// One instance; it keeps its addresses across restarts.
pub struct Slot {
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
    pub slots: Vec<Slot>,
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
        let mut slots = Vec::new();
        for index in 0..count {
            let mut settings = Settings::local(site::zone(index), platform.address);
            settings.link = Default::default();
            adjust(&mut settings);
            slots.push(open_slot(settings, site::zone(index)).await?);
        }
        let fleet = Self { slots, platform };
        fleet.publish();
        Ok(fleet)
    }

    /// Returns the nodes of the running daemons with their indexes.
    pub fn nodes(&self) -> Vec<(usize, Arc<Node>)> {
        let slots = self.slots.iter().enumerate();
        let running = slots.filter_map(|(index, slot)| {
            let running = slot.running.lock();
            running
                .as_ref()
                .map(|running| (index, running.node.clone()))
        });
        running.collect()
    }

    /// Returns the CPU time of each running daemon's worker thread, in clock ticks.
    pub fn ticks(&self) -> Vec<u64> {
        let slots = self.slots.iter();
        let running = slots.filter_map(|slot| {
            let running = slot.running.lock();
            running
                .as_ref()
                .map(|running| thread_ticks(&running.thread))
        });
        running.collect()
    }

    /// Kills a daemon without a graceful shutdown.
    pub fn kill(&self, index: usize) {
        let Some(running) = self.slots[index].running.lock().take() else {
            return;
        };
        running.runtime.shutdown_background();
        self.publish();
    }

    /// Restarts a daemon on the same addresses.
    ///
    /// # Errors
    /// Returns an error if the daemon cannot start.
    pub async fn start(&self, index: usize) -> Result<(), daemon::Error> {
        let slot = &self.slots[index];
        let settings = slot.settings.lock().clone();
        let running = start(settings).await?;
        *slot.running.lock() = Some(running);
        slot.leaving.store(false, Relaxed);
        self.publish();
        Ok(())
    }

    /// Stops a daemon gracefully and waits for it to finish.
    pub async fn stop(&self, index: usize) {
        let slot = &self.slots[index];
        slot.leaving.store(true, Relaxed);
        self.publish();
        let daemon = slot
            .running
            .lock()
            .as_mut()
            .and_then(|running| running.daemon.take());
        let Some(daemon) = daemon else {
            return;
        };
        let handle = slot
            .running
            .lock()
            .as_ref()
            .map(|running| running.runtime.handle().clone());
        if let Some(handle) = handle {
            let _ = handle.spawn(daemon.stop()).await;
        }
        if let Some(running) = slot.running.lock().take() {
            running.runtime.shutdown_background();
        }
        self.publish();
    }

    /// Freezes a daemon for a duration by blocking its only worker thread.
    pub fn pause(&self, index: usize, time: Duration) {
        if let Some(running) = self.slots[index].running.lock().as_ref() {
            running
                .runtime
                .spawn(async move { std::thread::sleep(time) });
        }
    }

    /// Creates or heals a network partition between a zone and everything else.
    pub fn cut(&self, zone: &str, endpoints: &[(SocketAddr, &str)], cut: bool) {
        for slot in &self.slots {
            let inside = slot.zone == zone;
            let peers = self.slots.iter().map(|slot| (slot.peer, slot.zone));
            let others = peers.chain(endpoints.iter().copied());
            let far = others.filter(|(_, other)| (*other == zone) != inside);
            let mut addresses: Vec<SocketAddr> = far.map(|(address, _)| address).collect();
            if inside {
                addresses.push(self.platform.address);
            }
            let link = slot.settings.lock().link.clone();
            for address in addresses {
                match cut {
                    true => link.block(address),
                    false => link.unblock(address),
                }
            }
        }
    }

    /// Kills all daemons.
    pub fn shut_down(&self) {
        for slot in &self.slots {
            if let Some(running) = slot.running.lock().take() {
                running.runtime.shutdown_background();
            }
        }
    }

    fn publish(&self) {
        let listed = self
            .slots
            .iter()
            .filter(|slot| slot.running.lock().is_some());
        let instance = |slot: &Slot| Instance {
            address: slot.peer,
            zone: slot.zone.into(),
            leaving: slot.leaving.load(Relaxed),
        };
        self.platform.set_instances(listed.map(instance).collect());
    }
}

async fn open_slot(mut settings: Settings, zone: &'static str) -> Result<Slot, daemon::Error> {
    let running = start(settings.clone()).await?;
    if let Some(daemon) = &running.daemon {
        settings.caller_listen = daemon.caller_address;
        settings.operator_listen = daemon.operator_address;
        settings.peer_listen = running.node.peer_address;
    }
    Ok(Slot {
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
async fn start(settings: Settings) -> Result<Running, daemon::Error> {
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
        Ok((daemon, thread)) => Ok(Running {
            runtime,
            node: daemon.node().clone(),
            daemon: Some(daemon),
            thread,
        }),
        Err(error) => {
            runtime.shutdown_background();
            Err(error)
        }
    }
}

/// Returns the user and system time of a thread, in clock ticks.
fn thread_ticks(stat: &str) -> u64 {
    let text = std::fs::read_to_string(stat).unwrap_or_default();
    let Some((_, fields)) = text.rsplit_once(')') else {
        return 0;
    };
    let fields: Vec<u64> = fields
        .split_whitespace()
        .map(|field| field.parse().unwrap_or(0))
        .collect();
    fields.get(11).unwrap_or(&0) + fields.get(12).unwrap_or(&0)
}
