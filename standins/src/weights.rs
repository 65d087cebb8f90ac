//! Stand-in for the weight store and for adapter loading: concurrent loads beyond a limit slow each other down.

use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::time::Duration;

/// Load bandwidth shared by all engines.
#[derive(Debug)]
pub struct Rate {
    /// Number of concurrent loads that run at full speed.
    pub at_once: u32,
    /// Duration of one load at full speed.
    pub load_time: Duration,
    running: AtomicU32,
}

impl Rate {
    /// Creates a loader without running loads.
    pub fn open(at_once: u32, load_time: Duration) -> Self {
        Self {
            at_once,
            load_time,
            running: AtomicU32::new(0),
        }
    }

    /// Simulates one load; it takes proportionally longer when more than `at_once` loads run.
    pub async fn load(&self) {
        let running = self.running.fetch_add(1, SeqCst) + 1;
        let slowdown = running.max(self.at_once);
        tokio::time::sleep(self.load_time * slowdown / self.at_once).await;
        self.running.fetch_sub(1, SeqCst);
    }
}
