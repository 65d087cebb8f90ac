//! Log lines of the daemon: time, level and a short sentence, on the standard error stream.

use std::num::NonZeroUsize;

use spdlog::formatter::{JsonFormatter, PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger, ThreadPool};

/// Lines that wait to be written at most.
const QUEUE: NonZeroUsize = NonZeroUsize::new(2048).unwrap();

/// Writes log lines of a level and those more severe from now on.
///
/// # Errors
/// When the log cannot be set up.
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

/// Writes log lines as JSON to the standard output from a thread of its own; lines are dropped while it is behind.
///
/// Each line names the daemon as its `logger`.
///
/// # Errors
/// When the log cannot be set up, or the daemon's name cannot be one of a logger.
pub fn open_stdout(level: Level, daemon: &str) -> spdlog::Result<()> {
    let out = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let queue = ThreadPool::builder().capacity(QUEUE).build_arc()?;
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

/// Changes the least severe level that is written.
pub fn set_level(level: Level) {
    spdlog::default_logger().set_level_filter(LevelFilter::MoreSevereEqual(level));
}
