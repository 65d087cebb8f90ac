//! Rate-limited log of requests, so that high load does not flood the log.

use std::time::{Duration, Instant};

use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64;

/// Sustained rate of log lines.
const LINES_PER_SECOND: f64 = 40.0;

/// Maximum burst of log lines.
const BURST_LINES: f64 = 120.0;

/// One in this many successful requests is logged.
const SAMPLE_INTERVAL: u64 = 64;

/// Whether a successful request is logged; all daemons choose the same requests.
pub fn is_sampled(request: &str) -> bool {
    xxh3_64(request.as_bytes()).is_multiple_of(SAMPLE_INTERVAL)
}

/// Formats digests for a log line.
///
/// ```
/// use persimmoncroft::serving::journal::hex;
/// assert_eq!(hex(&[255, 16]), "ff,10");
/// assert_eq!(hex(&[]), "-");
/// ```
pub fn hex(digests: &[u64]) -> String {
    if digests.is_empty() {
        return "-".to_owned();
    }
    let digests: Vec<String> = digests.iter().map(|digest| format!("{digest:x}")).collect();
    digests.join(",")
}

/// Writes log lines up to a rate and counts the dropped ones.
#[derive(Debug)]
pub struct Journal {
    bucket: Mutex<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    updated: Instant,
    dropped: u64,
}

impl Default for Journal {
    fn default() -> Self {
        let bucket = Bucket {
            tokens: BURST_LINES,
            updated: Instant::now(),
            dropped: 0,
        };
        Self {
            bucket: Mutex::new(bucket),
        }
    }
}

impl Journal {
    /// Calls `write` if the rate limit allows another line.
    pub fn line(&self, write: impl FnOnce()) {
        if self.allows(Instant::now()) {
            write();
        }
    }

    fn allows(&self, now: Instant) -> bool {
        let mut bucket = self.bucket.lock();
        let elapsed = now.saturating_duration_since(bucket.updated).as_secs_f64();
        bucket.updated = now;
        bucket.tokens = (bucket.tokens + elapsed * LINES_PER_SECOND).min(BURST_LINES);
        if bucket.tokens < 1.0 {
            bucket.dropped += 1;
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Logs how many lines were dropped in the past `interval`, if any.
    pub fn report_dropped(&self, interval: Duration) {
        let dropped = std::mem::take(&mut self.bucket.lock().dropped);
        if dropped > 0 {
            let over_ms = interval.as_millis() as u64;
            spdlog::info!("journal: lines dropped", kv: { lines = dropped, over_ms });
        }
    }
}
