//! Writes idempotency claims to the table, records their outcomes and answers peers about them.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;
use serde::{Deserialize, Serialize};

use super::Node;
use crate::coordination::claim::{
    Answer, Attempt, Claim, Found, PREFIX, Phase, Reply, State, Step, Subject, Verdict, Written,
    examine, resolve,
};
use crate::metric;
use crate::protocol::table::{Commit, Row, Transaction};
use crate::transport::table;

/// Name of the peer method that queries the state of an attempt.
pub const METHOD: &str = "claim";

/// Days that a claim row is kept after its creation.
pub const RETENTION_DAYS: u64 = 7;

const MAX_RECENT_ATTEMPTS: usize = 65_536;
const MAX_CONFLICTS: usize = 3;
const ASK_TIMEOUT: Duration = Duration::from_millis(1000);
const MIN_CLOSE_BACKOFF: Duration = Duration::from_millis(200);
const MAX_CLOSE_BACKOFF: Duration = Duration::from_secs(5);
const MAX_CLOSE_TIME_LEAVING: Duration = Duration::from_secs(20);
const SWEEP_INTERVAL: Duration = Duration::from_secs(3600);
const SWEEP_SHARDS: u8 = 16;

/// Recent attempts of this daemon, and counters of duplicates.
#[derive(Debug)]
pub struct Tracker {
    recent: Mutex<Recent>,
    replayed: Counter,
    refused: Counter,
    unknown: Counter,
}

#[derive(Debug, Default)]
struct Recent {
    attempts: HashMap<Arc<str>, Arc<Mutex<Attempt>>>,
    order: VecDeque<Arc<str>>,
}

impl Tracker {
    /// Creates an empty tracker and registers its metrics.
    pub fn open(registry: &mut Registry) -> Self {
        let help = "Duplicates that got the stored answer";
        Self {
            recent: Mutex::default(),
            replayed: metric::register(registry, "claim_replayed", help),
            refused: metric::register(registry, "claim_refused", "Duplicates refused"),
            unknown: metric::register(registry, "claim_unknown", "Calls whose outcome is unknown"),
        }
    }

    /// Returns the state of an attempt made by this daemon.
    pub fn status(&self, nonce: &str) -> Reply {
        let attempt = self.recent.lock().attempts.get(nonce).cloned();
        attempt.map_or(Reply::Unknown, |attempt| attempt.lock().reply())
    }

    fn insert(&self, nonce: Arc<str>, attempt: Arc<Mutex<Attempt>>) {
        let mut recent = self.recent.lock();
        recent.attempts.insert(nonce.clone(), attempt);
        recent.order.push_back(nonce);
        if recent.order.len() > MAX_RECENT_ATTEMPTS {
            recent.evict_oldest();
        }
    }
}

impl Recent {
    /// Evicts the oldest attempt that has ended; evicted attempts are reported as unknown.
    fn evict_oldest(&mut self) {
        let attempts = &self.attempts;
        let ended = |nonce: &Arc<str>| {
            let attempt = attempts.get(nonce);
            attempt.is_none_or(|attempt| attempt.lock().reply() != Reply::InProgress)
        };
        let Some(index) = self.order.iter().position(ended) else {
            return;
        };
        if let Some(nonce) = self.order.remove(index) {
            self.attempts.remove(&nonce);
        }
    }
}

/// Parameters of [`METHOD`].
#[derive(Debug, Deserialize, Serialize)]
pub struct Query {
    /// Nonce of the attempt.
    pub nonce: Arc<str>,
    /// Session of the daemon that made the attempt.
    pub session: Arc<str>,
}

/// Result of [`METHOD`]; `reply` is `None` if the session is not the one asked about.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Response {
    /// State of the attempt.
    #[serde(rename = "word")]
    pub reply: Option<Reply>,
}

/// Answers a peer's query about an attempt.
pub fn answer(node: &Node, query: &Query) -> Response {
    let known = query.session == node.session;
    Response {
        reply: known.then(|| node.claims.status(&query.nonce)),
    }
}

/// A claim held by this daemon: the call may be sent once.
#[derive(Debug)]
pub struct Handle {
    key: String,
    claim: Claim,
    attempt: Arc<Mutex<Attempt>>,
}

/// Result of opening a claim.
#[derive(Debug)]
pub enum Opened {
    /// The claim is held.
    Held(Handle),
    /// A duplicate of a finished call: return its answer, stored under this nonce.
    Replay(Answer, Arc<str>),
    /// A duplicate of a running call.
    InProgress,
    /// A duplicate of a call that may have run.
    Unknown,
    /// The key was used for another request.
    Mismatch,
    /// The table does not answer, so nothing may be sent.
    Unavailable,
}

/// Opens a claim for a call, or looks up the outcome of the call it duplicates.
pub async fn open(node: &Node, subject: Subject<'_>, fingerprint: &Arc<str>) -> Opened {
    let key = subject.row_key();
    for _ in 0..MAX_CONFLICTS {
        let Ok(row) = node.table.read(&key).await else {
            return Opened::Unavailable;
        };
        let before = match row.as_ref().map(parse) {
            Some(None) => return Opened::Unknown,
            Some(Some(claim)) => Some(claim),
            None => None,
        };
        match examine(before.as_ref(), fingerprint) {
            Step::Write => {}
            Step::Mismatch => return Opened::Mismatch,
            Step::Unknown => return refuse(node, Opened::Unknown),
            Step::Replay(answer) => return replay(node, answer, before),
            Step::Ask => match ask_holder(node, before.as_ref()).await {
                Verdict::Write => {}
                Verdict::Replay(answer) => return replay(node, answer, before),
                Verdict::InProgress => return refuse(node, Opened::InProgress),
                Verdict::Unknown => return refuse(node, Opened::Unknown),
            },
        }
        let version = row.as_ref().map(|row| row.version);
        match write(node, &key, fingerprint, version).await {
            Ok(handle) => return Opened::Held(handle),
            Err(WriteError::Conflict) => {}
            Err(WriteError::Unavailable) => return Opened::Unavailable,
        }
    }
    refuse(node, Opened::InProgress)
}

fn refuse(node: &Node, opened: Opened) -> Opened {
    node.claims.refused.inc();
    opened
}

fn replay(node: &Node, answer: Answer, claim: Option<Claim>) -> Opened {
    node.claims.replayed.inc();
    let nonce = claim.map_or_else(|| "".into(), |claim| claim.nonce);
    Opened::Replay(answer, nonce)
}

fn parse(row: &Row) -> Option<Claim> {
    match row.json() {
        Ok(claim) => Some(claim),
        Err(error) => {
            spdlog::error!("claim: row {} is malformed: {error}", row.key);
            None
        }
    }
}

async fn ask_holder(node: &Node, claim: Option<&Claim>) -> Verdict {
    let Some(claim) = claim else {
        return Verdict::Write;
    };
    if claim.session == node.session {
        return resolve(Some(node.claims.status(&claim.nonce)));
    }
    let query = Query {
        nonce: claim.nonce.clone(),
        session: claim.session.clone(),
    };
    let response: Result<Response, _> = node
        .peers
        .call(claim.address, METHOD, &query, ASK_TIMEOUT)
        .await;
    resolve(response.ok().and_then(|response| response.reply))
}

enum WriteError {
    Conflict,
    Unavailable,
}

async fn write(
    node: &Node,
    key: &str,
    fingerprint: &Arc<str>,
    before: Option<u64>,
) -> Result<Handle, WriteError> {
    let claim = new_claim(node, node.peer_address, fingerprint);
    let attempt = Arc::new(Mutex::new(Attempt::open()));
    node.claims.insert(claim.nonce.clone(), attempt.clone());
    let transaction = Transaction::default()
        .unchanged(key, before)
        .put(key, &claim);
    loop {
        let phase = attempt.lock().phase().clone();
        match phase {
            Phase::Writing { .. } => {
                let written = write_outcome(node.table.commit(&transaction).await);
                attempt.lock().written(written);
            }
            Phase::Reading { .. } => {
                let found = read_back(node, key, &claim, before).await;
                attempt.lock().found(found);
                if found == Found::Other {
                    return Err(WriteError::Conflict);
                }
            }
            Phase::Held { .. } => {
                let key = key.to_owned();
                return Ok(Handle {
                    key,
                    claim,
                    attempt,
                });
            }
            _ => return Err(WriteError::Unavailable),
        }
    }
}

fn new_claim(node: &Node, address: SocketAddr, fingerprint: &Arc<str>) -> Claim {
    Claim {
        nonce: uuid::Uuid::new_v4().to_string().into(),
        session: node.session.clone(),
        address,
        fingerprint: fingerprint.clone(),
        day: days_since_epoch(),
        state: State::Held,
    }
}

fn write_outcome(result: Result<Commit, table::Error>) -> Written {
    match result {
        Ok(Commit::Applied { version }) => Written::Applied { version },
        Ok(Commit::Conflict) => Written::Conflict,
        Err(table::Error::Unavailable(_)) => Written::Unavailable,
        Err(table::Error::Unknown(_)) => Written::Lost,
    }
}

async fn read_back(node: &Node, key: &str, claim: &Claim, before: Option<u64>) -> Found {
    let Ok(row) = node.table.read(key).await else {
        return Found::Nothing;
    };
    let version = row.as_ref().map(|row| row.version);
    if version == before {
        return Found::Before;
    }
    let Some(row) = row else {
        return Found::Other;
    };
    match row.json::<Claim>() {
        Ok(found) if found == *claim => Found::Own {
            version: row.version,
        },
        _ => Found::Other,
    }
}

impl Handle {
    /// Returns the attempt's identifier, under which the object store keeps a large answer.
    pub fn nonce(&self) -> &Arc<str> {
        &self.claim.nonce
    }

    /// Returns whether the call may be sent now, which is true once.
    #[must_use]
    pub fn send(&self) -> bool {
        self.attempt.lock().send()
    }

    /// Records that the endpoint certainly received nothing, so the call may be sent again.
    pub fn not_sent(&self) {
        self.attempt.lock().not_sent();
    }

    /// Abandons the call before sending and releases the row.
    pub fn abandon(self, node: &Arc<Node>) {
        self.attempt.lock().abandon();
        self.close(node);
    }

    /// Records the answer in the row, or that the outcome is unknown.
    pub fn finish(self, node: &Arc<Node>, answer: Option<Answer>) {
        if answer.is_none() {
            node.claims.unknown.inc();
        }
        self.attempt.lock().finish(answer);
        self.close(node);
    }

    fn close(self, node: &Arc<Node>) {
        let final_write = self.attempt.lock().final_write();
        let Some((version, state)) = final_write else {
            return;
        };
        let claim = Claim {
            state,
            ..self.claim
        };
        let node = node.clone();
        let key = self.key;
        node.requests
            .spawn(close_row(node.clone(), key, claim, version));
    }
}

/// Writes the end of an attempt into its row, retrying until the table has stored it.
async fn close_row(node: Arc<Node>, key: String, claim: Claim, version: u64) {
    let transaction = Transaction::default()
        .unchanged(&key, Some(version))
        .put(&key, &claim);
    let mut backoff = MIN_CLOSE_BACKOFF;
    let mut leaving_since = None;
    // A conflict means that an earlier write was applied although its answer was lost.
    while node.table.commit(&transaction).await.is_err() {
        if node.leaving.is_cancelled() {
            let since = *leaving_since.get_or_insert(node.now());
            if node.now() - since > MAX_CLOSE_TIME_LEAVING {
                spdlog::error!("claim: row {key} is left open because the table does not answer");
                return;
            }
        }
        tokio::time::sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
        backoff = (backoff * 2).min(MAX_CLOSE_BACKOFF);
    }
}

fn days_since_epoch() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_secs() / (24 * 3600))
}

/// Deletes expired rows until the daemon stops; the shards are divided among live daemons.
pub async fn run(node: Arc<Node>) {
    loop {
        let jitter = rand::random_range(0.5..1.5);
        tokio::select! {
            () = tokio::time::sleep(SWEEP_INTERVAL.mul_f64(jitter)) => {}
            () = node.stopped.cancelled() => return,
        }
        for shard in 0..SWEEP_SHARDS {
            let prefix = format!("{PREFIX}{shard:x}/");
            let home = node.membership.home(&prefix, None);
            if home.is_some_and(|home| home.address == node.peer_address)
                && let Err(error) = sweep(&node, &prefix, days_since_epoch()).await
            {
                spdlog::warn!("claim: sweep of {prefix} failed: {error}");
            }
        }
    }
}

/// Deletes the rows of a shard that are past their retention on a day, counted since the Unix epoch.
///
/// # Errors
/// Fails if the table does not answer; the next sweep deletes the remaining rows.
pub async fn sweep(node: &Node, prefix: &str, day: u64) -> Result<usize, table::Error> {
    let mut removed = 0;
    for row in node.table.scan(prefix).await? {
        let Some(claim) = parse(&row) else {
            continue;
        };
        if claim.day + RETENTION_DAYS >= day {
            continue;
        }
        let transaction = Transaction::default()
            .unchanged(&row.key, Some(row.version))
            .delete(&row.key);
        node.table.commit(&transaction).await?;
        removed += 1;
    }
    Ok(removed)
}
