//! Stand-in for the weight store and for adapter loading: concurrent loads beyond a limit slow each other down.

use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::time::Duration;

/// Load bandwidth shared by all engines.
#[derive(Debug)]
pub struct Loader {
    /// Number of concurrent loads that run at full speed.
    pub full_speed_loads: u32,
    /// Duration of one load at full speed.
    pub load_time: Duration,
    running: AtomicU32,
}

impl Loader {
    /// Creates a loader without running loads.
    pub fn new(full_speed_loads: u32, load_time: Duration) -> Self {
        Self {
            full_speed_loads,
            load_time,
            running: AtomicU32::new(0),
        }
    }

    /// Simulates one load; it takes proportionally longer when more than `full_speed_loads` loads run.
    pub async fn load(&self) {
        let running = self.running.fetch_add(1, SeqCst) + 1;
        let slowdown = running.max(self.full_speed_loads);
        tokio::time::sleep(self.load_time * slowdown / self.full_speed_loads).await;
        self.running.fetch_sub(1, SeqCst);
    }
}
