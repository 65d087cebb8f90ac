//! Stores which software version began which stream, while a service has several. Each zone's beginnings are rows of
//! their own, which the daemon that keeps them reads after its start.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use super::{admission, keeper};
use crate::coordination::lineage::Beginnings;
use crate::serving::peers::commit;
use crate::serving::{Node, feed, jitter};
use crate::state::record::Name;
use crate::state::row::{Change, Row};
use crate::transport::exchange::Channel;

/// Table of the beginnings of streams.
const TABLE: &str = "streams";

/// Interval at which beginnings are handed to the daemon that keeps those of the zone.
const SEND_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between writes to the store.
const WRITE_INTERVAL: Duration = Duration::from_millis(400);

/// Interval at which nothing but the versions of endpoints is looked at.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which stored beginnings are kept, which is longer than a stream lasts: 30 s.
pub(super) const ROW_TTL: Duration = Duration::from_secs(30);

/// Age by the time of day from which rows of daemons that have ended are removed: 120 s.
const ABANDONED_AGE: Duration = Duration::from_secs(120);

/// Maximum number of streams in a row and in a message.
pub(super) const MAX_STREAMS: usize = 1000;

/// Maximum number of rows in a transaction.
const MAX_ROWS: usize = 40;

/// Maximum number of rows that wait to be written; beyond it, the oldest are dropped.
const MAX_WAITING: usize = 100;

/// Age up to which a read of the stored beginnings is not repeated.
const MAX_READ_AGE: Duration = WRITE_INTERVAL;

/// Pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(150);

/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// A row of beginnings.
#[derive(Debug, Deserialize, Serialize)]
struct Value {
    /// Time of day of the write, in milliseconds since the Unix epoch.
    at: u64,
    begun: Beginnings,
}

/// When the stored beginnings of a zone were read.
#[derive(Debug, Default)]
pub(super) struct Reading {
    /// Start of the last read that succeeded.
    succeeded: Option<Duration>,
    /// End of the last read that failed.
    failed: Option<Duration>,
}

/// Rows of this daemon.
#[derive(Debug, Default)]
pub(super) struct Writer {
    waiting: VecDeque<Beginnings>,
    /// Rows in the store, with the time of their write.
    written: VecDeque<(Name, Duration)>,
    /// Rows of daemons that have ended.
    abandoned: Vec<Name>,
    next: u64,
}

impl Writer {
    /// Adds beginnings to those that are to be written.
    pub(super) fn add(&mut self, beginnings: Beginnings) {
        for (version, ids) in beginnings {
            for ids in ids.chunks(MAX_STREAMS) {
                let last = self.waiting.back_mut();
                let last = last.filter(|it| count(it) + ids.len() <= MAX_STREAMS);
                match last {
                    Some(last) => last.entry(version.clone()).or_default().extend(ids),
                    None => self
                        .waiting
                        .push_back([(version.clone(), ids.to_vec())].into()),
                }
            }
        }
        let surplus = self.waiting.len().saturating_sub(MAX_WAITING);
        self.waiting.drain(..surplus);
    }

    /// Takes the rows to write next, with their keys; others may be added while they are written.
    fn take(&mut self, prefix: &str) -> Vec<(Name, Value)> {
        let count = self.waiting.len().min(MAX_ROWS);
        let rows = self.waiting.drain(..count).zip(self.next..);
        let rows: Vec<(Name, Value)> = rows
            .map(|(begun, number)| {
                let at = unix_millis();
                (format!("{prefix}/{number}").into(), Value { at, begun })
            })
            .collect();
        self.next += rows.len() as u64;
        rows
    }

    /// Keys of rows that are no longer needed.
    fn outdated(&self, now: Duration) -> Vec<Name> {
        let old = self.written.iter().filter(|(_, at)| *at + ROW_TTL <= now);
        let old = old.map(|(key, _)| key).chain(&self.abandoned);
        old.take(MAX_ROWS).cloned().collect()
    }
}

fn count(beginnings: &Beginnings) -> usize {
    beginnings.values().map(Vec::len).sum()
}

/// Stores versions and beginnings of streams until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let channel = Channel::open(node.settings.store_address);
    let task = async {
        let mut plan = admission::Plan::default();
        let mut write_at = Duration::ZERO;
        let mut has_read = false;
        loop {
            let is_listed = node.peers.is_listed();
            if is_listed {
                while admission::update(&node, &channel, &mut plan).await {}
            }
            let are_mixed = node.lineage.versions.lock().are_mixed();
            if is_listed && are_mixed && !has_read && keeper::is_keeper(&node) {
                // Questions about the streams of an earlier start come soon, and rows of it may be left.
                has_read = read(&node, &node.settings.zone).await;
            }
            if are_mixed {
                keeper::hand_over(&node).await;
            }
            if node.now() >= write_at {
                write_at = node.now() + jitter(WRITE_INTERVAL);
                write(&node, &channel).await;
            }
            node.lineage.streams.lock().expire(node.now());
            let interval = match are_mixed {
                true => SEND_INTERVAL,
                false => IDLE_INTERVAL,
            };
            tokio::select! {
                () = sleep(jitter(interval)) => {}
                () = node.lineage.wanted.notified(), if !are_mixed => sleep(SEND_INTERVAL / 10).await,
            }
        }
    };
    node.until_stopped(task).await;
}

/// Prefix of the keys of a zone's rows.
fn zone_prefix(zone: &str) -> String {
    format!("{zone}/")
}

/// Writes the beginnings that wait, and removes the rows that are no longer needed.
async fn write(node: &Node, channel: &Channel) {
    let now = node.now();
    let (rows, removed) = {
        let mut writer = node.lineage.writer.lock();
        let own = &node.settings;
        let prefix = format!("{}{}/{}", zone_prefix(&own.zone), own.name, node.session);
        (writer.take(&prefix), writer.outdated(now))
    };
    if rows.is_empty() && removed.is_empty() {
        return;
    }
    let write = rows.iter().map(|(key, value)| {
        let value = Bytes::from(serde_json::to_vec(value).unwrap_or_default());
        (TABLE.into(), key.clone(), value)
    });
    let change = Change {
        expected: Vec::new(),
        write: write.collect(),
        remove: removed
            .iter()
            .map(|key| (TABLE.into(), key.clone()))
            .collect(),
    };
    match commit::commit(node, channel, &change).await {
        Ok(_) => {
            let mut writer = node.lineage.writer.lock();
            let keys = rows.into_iter().map(|(key, _)| (key, now));
            writer.written.extend(keys);
            writer.written.retain(|(key, _)| !removed.contains(key));
            writer.abandoned.retain(|key| !removed.contains(key));
        }
        Err(error) => {
            let mut writer = node.lineage.writer.lock();
            for (_, value) in rows.into_iter().rev() {
                writer.waiting.push_front(value.begun);
            }
            node.journal.line(
                || spdlog::info!("versions: cannot store beginnings", kv: { error: = error }),
            );
        }
    }
}

/// Reads the stored beginnings of a zone, unless that was done lately; returns whether they are known.
pub(super) async fn read(node: &Node, zone: &Name) -> bool {
    let reading = {
        let mut readings = node.lineage.readings.lock();
        readings.entry(zone.clone()).or_default().clone()
    };
    let asked = node.now();
    let mut reading = reading.lock().await;
    let now = node.now();
    let is_after = |at: Option<Duration>, earliest| at.is_some_and(|at| at >= earliest);
    if is_after(reading.succeeded, asked.saturating_sub(MAX_READ_AGE)) {
        return true;
    }
    if is_after(reading.failed, now.saturating_sub(READ_PAUSE)) {
        return false;
    }
    let channel = Channel::open(node.settings.store_address);
    let prefix = zone_prefix(zone);
    let list = feed::read::list_prefix(node, &channel, TABLE, &prefix);
    let error = match timeout(READ_TIMEOUT, list).await {
        Ok(Ok(page)) => {
            reading.succeeded = Some(now);
            log_read(node, zone, &page.rows, now);
            adopt(node, zone, &page.rows);
            return true;
        }
        Ok(Err(error)) => error,
        Err(_) => feed::Error::Silent,
    };
    reading.failed = Some(node.now());
    node.journal.line(|| {
        spdlog::info!("versions: cannot read beginnings", kv: { zone: = zone, error: = error });
    });
    false
}

fn log_read(node: &Node, zone: &Name, rows: &[Row], started: Duration) {
    node.journal.line(|| {
        let values = rows.iter().filter_map(|row| row.value.as_ref());
        let took = node.now().saturating_sub(started);
        spdlog::info!("versions: beginnings read", kv: {
            zone: = zone,
            rows = rows.len(),
            bytes = values.map(Bytes::len).sum::<usize>(),
            took_ms = took.as_millis() as u64,
        });
    });
}

fn adopt(node: &Node, zone: &Name, rows: &[Row]) {
    let (now, time) = (node.now(), unix_millis());
    let mut abandoned = Vec::new();
    let mut streams = node.lineage.streams.lock();
    for row in rows {
        let value = row.value.as_ref();
        let Some(value) = value.and_then(|it| serde_json::from_slice::<Value>(it).ok()) else {
            continue;
        };
        if value.at.saturating_add(ABANDONED_AGE.as_millis() as u64) < time {
            abandoned.push(row.key.clone());
        }
        streams.learn(&value.begun, now);
    }
    drop(streams);
    if *zone == node.settings.zone && keeper::is_keeper(node) {
        node.lineage.writer.lock().abandoned = abandoned;
    }
}

fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
