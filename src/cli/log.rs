//! Logger setup: plain text on stderr, or JSON lines on stdout.

use std::num::NonZeroUsize;

use spdlog::formatter::{JsonFormatter, PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger, ThreadPool};

/// Capacity of the queue of log lines to write, in lines.
const QUEUE_CAPACITY: NonZeroUsize = NonZeroUsize::new(2048).unwrap();

/// Installs a default logger that writes lines of `level` or more severe to stderr: time, level and message.
///
/// # Errors
/// When the logger cannot be built.
pub fn open(level: Level) -> spdlog::Result<()> {
    let line = pattern!("{date}T{time}.{millisecond} {level} {payload}{eol}");
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(PatternFormatter::new(line))
        .build_arc()?;
    let sink: std::sync::Arc<dyn Sink> = sink;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::MoreSevereEqual(Level::Warn))
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Installs a default logger that writes JSON lines to stdout from a separate thread; new lines are dropped while the
/// queue is full.
///
/// Each line carries the daemon's name as its `logger`.
///
/// # Errors
/// When the logger cannot be built, or the daemon's name is not a valid logger name.
pub fn open_stdout(level: Level, daemon: &str) -> spdlog::Result<()> {
    let out = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let queue = ThreadPool::builder().capacity(QUEUE_CAPACITY).build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(out)
        .thread_pool(queue)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    let sink: std::sync::Arc<dyn Sink> = sink;
    let logger = Logger::builder()
        .name(daemon)
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::All)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Changes the minimum level that is written.
pub fn set_level(level: Level) {
    spdlog::default_logger().set_level_filter(LevelFilter::MoreSevereEqual(level));
}
