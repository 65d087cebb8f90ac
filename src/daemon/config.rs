//! Keeps the configuration snapshot up to date, from the platform's table or, failing that, from peers.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use displaydoc::Display;
use parking_lot::Mutex;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use rand::RngExt;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use super::Node;
use crate::coordination::revision::{Entry, complete};
use crate::protocol::peer::{ConfigParams, Update, method};
use crate::protocol::table::Transaction;
use crate::state::config::{Config, Delta};
use crate::state::document::Document;
use crate::state::record::Workspace;
use crate::state::schema::Mistake;
use crate::transport::{peer, table};

/// Key of the row that holds the current revision.
pub const REVISION_KEY: &str = "config/revision";

/// Key prefix of record rows; kind and name follow.
pub const RECORD_PREFIX: &str = "record/";

/// Key prefix of log rows; the revision in decimal digits follows.
const LOG_PREFIX: &str = "config/log/";

/// Maximum number of log entries fetched; a daemon that is further behind fetches all records.
const MAX_ENTRIES: u64 = 256;

const MAX_SCANS: usize = 5;
const PEERS_PER_REFRESH: usize = 2;
const PEER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Poll interval per live daemon, which limits a large fleet to 200 row reads per second.
const POLL_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(5);
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(3);

/// Value of the revision row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub struct Revision {
    /// The revision, which only increases.
    pub revision: u64,
}

/// Why the configuration could not be updated.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}
    Table(table::Error),
    /// revision row is malformed
    Malformed,
    /// table has revision {0}, older than revision {1} in force
    Older(u64, u64),
    /// records changed during every scan
    Unstable,
    /// no peer answered
    NoPeer,
    /// {0}
    Peer(peer::Error),
}

impl std::error::Error for Error {}

impl From<table::Error> for Error {
    fn from(error: table::Error) -> Self {
        Self::Table(error)
    }
}

/// Age of the snapshot, and the latest changes for peers that are behind.
#[derive(Debug, Default)]
pub struct Source {
    confirmed_at: AtomicU64,
    wake: tokio::sync::Notify,
    entries: Mutex<VecDeque<Entry>>,
    install_lock: Mutex<()>,
    table_unavailable: AtomicBool,
    revision: Gauge,
    unreadable: Counter,
    failures: Counter,
}

impl Source {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "config_revision",
            "Revision in force",
            self.revision.clone(),
        );
        let help = "Records that this version could not read";
        registry.register("config_unreadable_records", help, self.unreadable.clone());
        let help = "Polls that neither the table nor a peer answered";
        registry.register("config_failed_polls", help, self.failures.clone());
    }

    /// Triggers an update of the snapshot, because a peer has a newer one.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Returns the time since the snapshot was last confirmed to be the newest; `None` if it never was.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        match self.confirmed_at.load(Ordering::Relaxed) {
            0 => None,
            millis => Some(now.saturating_sub(Duration::from_millis(millis))),
        }
    }

    /// Returns whether the snapshot is fresh enough for a workspace: no older than the workspace allows.
    pub fn is_fresh_for(&self, workspace: &Workspace, now: Duration) -> bool {
        let bound = Duration::from_secs(workspace.max_stale_seconds);
        self.age(now).is_some_and(|age| age <= bound)
    }

    fn confirm(&self, at: Duration) {
        let millis = (at.as_millis() as u64).max(1);
        self.confirmed_at.fetch_max(millis, Ordering::Relaxed);
    }

    fn push_entries(&self, entries: impl IntoIterator<Item = Entry>) {
        let mut kept = self.entries.lock();
        kept.extend(entries);
        let excess = kept.len().saturating_sub(MAX_ENTRIES as usize);
        kept.drain(..excess);
    }

    fn entries_since(&self, since: u64, revision: u64) -> Option<Vec<Entry>> {
        let kept = self.entries.lock();
        let newer = kept
            .iter()
            .filter(|e| e.revision > since && e.revision <= revision);
        let entries: Vec<Entry> = newer.cloned().collect();
        complete(&entries, since, revision).then_some(entries)
    }
}

/// Returns the key of a revision's log row.
pub fn log_key(revision: u64) -> String {
    format!("{LOG_PREFIX}{revision:020}")
}

/// Polls for updates of the snapshot until the daemon stops.
pub async fn run(node: Arc<Node>) {
    loop {
        if let Err(error) = refresh(&node).await {
            node.config_source.failures.inc();
            spdlog::debug!("config: poll failed: {error}");
        }
        tokio::select! {
            () = tokio::time::sleep(poll_interval(&node)) => {}
            () = node.config_source.wake.notified() => {}
            () = node.stopped.cancelled() => return,
        }
    }
}

fn poll_interval(node: &Node) -> Duration {
    let live = node.membership.live().len() as u32;
    let spread = (POLL_INTERVAL_PER_DAEMON * live).min(MAX_POLL_INTERVAL);
    let base = node.settings.config_poll.max(spread);
    base.mul_f64(rand::rng().random_range(0.75..1.25))
}

/// Updates the snapshot from the table or, failing that, from peers.
///
/// # Errors
/// Returns an [`Error`] if neither answered.
pub async fn refresh(node: &Node) -> Result<(), Error> {
    let answer = refresh_from_table(node).await;
    let was_unavailable = node
        .config_source
        .table_unavailable
        .swap(answer.is_err(), Ordering::Relaxed);
    match answer {
        Ok(()) if was_unavailable => spdlog::info!("config: table refresh succeeded again"),
        Ok(()) => {}
        Err(error) => {
            if !was_unavailable {
                spdlog::warn!("config: table refresh failed, polling peers instead: {error}");
            }
            refresh_from_peers(node).await?;
        }
    }
    Ok(())
}

/// Updates the snapshot from the table.
///
/// # Errors
/// Returns an [`Error`] if the table did not answer or is behind the snapshot.
pub async fn refresh_from_table(node: &Node) -> Result<(), Error> {
    let asked_at = node.now();
    let revision = read_revision(node).await?;
    let current = node.config.load_full();
    if revision < current.revision {
        return Err(Error::Older(revision, current.revision));
    }
    if revision > current.revision {
        fetch(node, &current, revision).await?;
    }
    node.config_source.confirm(asked_at);
    Ok(())
}

async fn read_revision(node: &Node) -> Result<u64, Error> {
    let Some(row) = node.table.read(REVISION_KEY).await? else {
        return Ok(0);
    };
    let value: Revision = row.json().map_err(|_| Error::Malformed)?;
    Ok(value.revision)
}

async fn fetch(node: &Node, current: &Config, revision: u64) -> Result<(), Error> {
    if current.revision > 0 && revision - current.revision <= MAX_ENTRIES {
        let from = log_key(current.revision + 1);
        let rows = node.table.range(&from, &log_key(revision + 1)).await?;
        let entries: Vec<Entry> = rows.iter().filter_map(|row| row.json().ok()).collect();
        if complete(&entries, current.revision, revision) {
            install_entries(node, entries);
            return Ok(());
        }
    }
    fetch_all(node).await
}

async fn fetch_all(node: &Node) -> Result<(), Error> {
    for _ in 0..MAX_SCANS {
        let before = read_revision(node).await?;
        let rows = node.table.scan(RECORD_PREFIX).await?;
        if read_revision(node).await? != before {
            continue;
        }
        let documents = rows.iter().map(|row| {
            let path = row.key.strip_prefix(RECORD_PREFIX).unwrap_or(&row.key);
            Document::from_row(path, &row.value)
        });
        let (config, mistakes) = Config::from_documents(before, documents);
        install(node, config, &mistakes, Vec::new());
        return Ok(());
    }
    Err(Error::Unstable)
}

/// Installs the entries that directly continue the snapshot; others are ignored.
pub fn install_entries(node: &Node, entries: Vec<Entry>) {
    let mut config = node.config.load_full();
    let mut mistakes = Vec::new();
    for entry in entries
        .iter()
        .filter(|e| e.revision > config.revision)
        .cloned()
        .collect::<Vec<_>>()
    {
        if entry.revision != config.revision + 1 {
            return;
        }
        let (next, found) = config.advance(entry.revision, &entry.delta());
        config = Arc::new(next);
        mistakes.extend(found);
    }
    install(node, (*config).clone(), &mistakes, entries);
}

/// Installs a snapshot if it is newer than the current one.
fn install(node: &Node, config: Config, mistakes: &[Mistake], entries: Vec<Entry>) {
    let _guard = node.config_source.install_lock.lock();
    let current = node.config.load().revision;
    if config.revision <= current {
        return;
    }
    for mistake in mistakes {
        node.config_source.unreadable.inc();
        spdlog::error!("config: record skipped, this version cannot read it: {mistake}");
    }
    let (revision, records) = (config.revision, config.documents.len());
    node.config.store(Arc::new(config));
    node.config_source
        .push_entries(entries.into_iter().filter(|e| e.revision > current));
    node.config_source.revision.set(revision as i64);
    spdlog::info!("config: revision {revision} in force records={records}");
}

async fn refresh_from_peers(node: &Node) -> Result<(), Error> {
    let chosen = choose_peers(node);
    let refreshes = chosen
        .into_iter()
        .map(|address| refresh_from_peer(node, address));
    let answers = futures::future::join_all(refreshes).await;
    let mut result = Err(Error::NoPeer);
    for answer in answers {
        match answer {
            Ok(()) => result = Ok(()),
            Err(error) if result.is_err() => result = Err(error),
            Err(_) => {}
        }
    }
    result
}

/// Chooses random peers, and the peer with the newest known revision if it is ahead.
fn choose_peers(node: &Node) -> Vec<SocketAddr> {
    let live = node.membership.live();
    let seeds = node.settings.seeds.iter().copied();
    let mut others: Vec<SocketAddr> = live.iter().map(|member| member.address).collect();
    if others.len() <= 1 {
        others.extend(seeds);
    }
    others.retain(|address| *address != node.peer_address);
    let sample = others.sample(&mut rand::rng(), PEERS_PER_REFRESH);
    let mut chosen: Vec<SocketAddr> = sample.copied().collect();
    let current = node.config.load().revision;
    let newest = node.membership.newest_revision();
    let ahead = newest.filter(|(revision, _)| *revision > current);
    chosen.extend(ahead.map(|(_, address)| address));
    chosen
}

async fn refresh_from_peer(node: &Node, address: SocketAddr) -> Result<(), Error> {
    let asked_at = node.now();
    let params = ConfigParams {
        revision: node.config.load().revision,
    };
    let update: Update = node
        .peers
        .call(address, method::CONFIG, &params, PEER_TIMEOUT)
        .await
        .map_err(Error::Peer)?;
    apply_update(node, update, asked_at);
    Ok(())
}

fn apply_update(node: &Node, update: Update, asked_at: Duration) {
    if update.documents.is_empty() {
        install_entries(node, update.entries);
    } else {
        let documents = update
            .documents
            .into_iter()
            .map(|row| Document::from_row(&row.path, row.text.as_bytes()));
        let (config, mistakes) = Config::from_documents(update.revision, documents);
        install(node, config, &mistakes, Vec::new());
    }
    let Some(age) = update.age_ms.map(Duration::from_millis) else {
        return;
    };
    if node.config.load().revision >= update.revision && asked_at > age {
        node.config_source.confirm(asked_at - age);
    }
}

/// Returns the changes since a peer's revision, or all records.
pub fn update_since(node: &Node, since: u64) -> Update {
    let age = node.config_source.age(node.now());
    let config = node.config.load_full();
    let mut update = Update {
        revision: config.revision,
        age_ms: age.map(|age| age.as_millis() as u64),
        ..Update::default()
    };
    if since >= config.revision {
        return update;
    }
    match node.config_source.entries_since(since, config.revision) {
        Some(entries) => update.entries = entries,
        None => update.documents = config.documents.values().map(Into::into).collect(),
    }
    update
}

/// Adds the record writes and deletions of a change to a transaction.
pub fn write_rows(mut transaction: Transaction, delta: &Delta) -> Transaction {
    for document in &delta.written {
        let key = format!("{RECORD_PREFIX}{}", document.path);
        transaction = transaction.put(&key, &document.fields());
    }
    for path in &delta.deleted {
        transaction = transaction.delete(&format!("{RECORD_PREFIX}{path}"));
    }
    transaction
}
