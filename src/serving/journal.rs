//! Log lines about requests, bounded in number so that load does not turn into log.

use std::time::{Duration, Instant};

use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64;

/// Lines per second.
const LINES_PER_SECOND: f64 = 40.0;

/// Lines that may come at once.
const BURST: f64 = 120.0;

/// Requests of which one that went well is logged.
const SAMPLE: u64 = 64;

/// Whether a request is logged although it went well; all daemons choose the same ones.
pub fn is_sampled(request: &str) -> bool {
    xxh3_64(request.as_bytes()).is_multiple_of(SAMPLE)
}

/// Writes log lines up to a rate and counts those that were left out.
#[derive(Debug)]
pub struct Journal {
    bucket: Mutex<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    level: f64,
    at: Instant,
    dropped: u64,
}

impl Default for Journal {
    fn default() -> Self {
        let bucket = Bucket {
            level: BURST,
            at: Instant::now(),
            dropped: 0,
        };
        Self {
            bucket: Mutex::new(bucket),
        }
    }
}

impl Journal {
    /// Lets a line be written if the rate allows it.
    pub fn line(&self, write: impl FnOnce()) {
        if self.allows(Instant::now()) {
            write();
        }
    }

    fn allows(&self, now: Instant) -> bool {
        let mut bucket = self.bucket.lock();
        let elapsed = now.saturating_duration_since(bucket.at).as_secs_f64();
        bucket.at = now;
        bucket.level = (bucket.level + elapsed * LINES_PER_SECOND).min(BURST);
        if bucket.level < 1.0 {
            bucket.dropped += 1;
            return false;
        }
        bucket.level -= 1.0;
        true
    }

    /// Writes how many lines were left out since the last time, if any were.
    pub fn sum_up(&self, over: Duration) {
        let dropped = std::mem::take(&mut self.bucket.lock().dropped);
        if dropped > 0 {
            let over_ms = over.as_millis() as u64;
            spdlog::info!("journal: lines dropped", kv: { lines = dropped, over_ms });
        }
    }
}
