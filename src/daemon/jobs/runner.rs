//! Runs jobs from the queue shards assigned to this daemon.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use super::{DAY_MS, billing, ended_key, unix_ms};
use crate::coordination::job::{
    Answer, ENDED_PREFIX, Job, SHARDS, State, Ticket, job_key, queue_key, shard_prefix,
};
use crate::coordination::peak::Candidate;
use crate::coordination::queue::Class;
use crate::daemon::Node;
use crate::daemon::caller::Refusal;
use crate::daemon::dispatch::{Requirements, Target};
use crate::daemon::relay;
use crate::protocol::caller::Completion;
use crate::protocol::table::{Commit, Transaction};
use crate::transport::http::MAX_ANSWER_BYTES;

/// Maximum number of jobs that a daemon runs concurrently.
const MAX_RUNNING: usize = 16;

/// Maximum size of an answer stored inline in the job's row, in bytes; longer ones go to the object store.
const MAX_INLINE_BYTES: usize = 32 << 10;

/// Delay before retrying a run or a write.
const RETRY_DELAY: Duration = Duration::from_secs(2);

const RETENTION_DAYS: u64 = 7;
const SWEEP_INTERVAL: Duration = Duration::from_secs(3600);
const MAX_RECORD_ATTEMPTS: u32 = 20;

#[derive(Debug)]
struct Entry {
    ticket: Ticket,
    version: u64,
    unchanged_since: Duration,
}

/// Queue entries of this daemon's shards and the jobs that it runs.
#[derive(Debug, Default)]
struct Runner {
    entries: HashMap<String, Entry>,
    running: Arc<Mutex<HashSet<Arc<str>>>>,
    retry_at: Arc<Mutex<HashMap<Arc<str>, Duration>>>,
    swept_at: Duration,
}

/// Polls the queue and runs jobs until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let mut runner = Runner::default();
    loop {
        let poll = node.settings.job_poll;
        let jitter = rand::random_range(0..=poll.as_millis() as u64 / 4);
        tokio::select! {
            () = tokio::time::sleep(poll + Duration::from_millis(jitter)) => {}
            () = node.stopped.cancelled() => return,
        }
        billing::sync(&node).await;
        if node.leaving.is_cancelled() || node.config.load().revision == 0 {
            continue;
        }
        runner.scan(&node).await;
        runner.start(&node).await;
        runner.sweep(&node).await;
    }
}

impl Runner {
    /// Reads the queue shards assigned to this daemon.
    async fn scan(&mut self, node: &Node) {
        let mut entries = HashMap::new();
        for shard in 0..SHARDS {
            let prefix = shard_prefix(shard);
            let home = node.membership.home(&prefix, None);
            if home.is_none_or(|home| home.address != node.peer_address) {
                continue;
            }
            let Ok(rows) = node.table.scan(&prefix).await else {
                return;
            };
            for row in rows {
                let Ok(ticket) = row.json::<Ticket>() else {
                    continue;
                };
                let version = row.version;
                let before = self.entries.remove(&row.key);
                let unchanged = before.filter(|entry| entry.version == version);
                let unchanged_since = unchanged.map_or(node.now(), |entry| entry.unchanged_since);
                let entry = Entry {
                    ticket,
                    version,
                    unchanged_since,
                };
                entries.insert(row.key, entry);
            }
        }
        self.entries = entries;
    }

    /// Claims and starts jobs by urgency and rank, within the tokens granted by the fleet's meter. Overdue jobs start
    /// without a grant.
    async fn start(&mut self, node: &Arc<Node>) {
        let now = node.now();
        let lease = node.settings.job_lease;
        let running = self.running.lock().clone();
        self.retry_at.lock().retain(|_, until| now < *until);
        let retry_at = self.retry_at.lock().clone();
        let mut ready: Vec<(&String, &Entry, Candidate)> = self
            .entries
            .iter()
            .filter(|(_, entry)| !running.contains(&entry.ticket.id))
            .filter(|(_, entry)| !retry_at.contains_key(&entry.ticket.id))
            .filter(|(_, entry)| {
                entry.ticket.holder.is_none() || now >= entry.unchanged_since + lease
            })
            .map(|(key, entry)| (key, entry, candidate(&entry.ticket)))
            .collect();
        ready.sort_by_key(|(_, entry, candidate)| {
            (
                !candidate.is_urgent(),
                candidate.rank(),
                entry.ticket.id.clone(),
            )
        });
        ready.truncate(MAX_RUNNING.saturating_sub(running.len()));
        let candidates = ready.iter().map(|(_, _, candidate)| *candidate);
        let urgent: Vec<Candidate> = candidates.filter(Candidate::is_urgent).collect();
        let wanted = ready.iter().map(|(_, _, candidate)| candidate.tokens).sum();
        let mut granted = billing::request_tokens(node, &urgent, wanted).await;
        for (key, entry, candidate) in ready {
            let overdue = candidate.left.is_zero();
            if candidate.tokens > granted && !overdue {
                break;
            }
            granted = granted.saturating_sub(candidate.tokens);
            let claimed = entry.ticket.claimed_by(&node.session);
            let transaction = Transaction::default()
                .unchanged(key, Some(entry.version))
                .put(key, &claimed);
            let Ok(Commit::Applied { version }) = node.table.commit(&transaction).await else {
                continue;
            };
            self.spawn(node, claimed, version);
        }
    }

    fn spawn(&self, node: &Arc<Node>, ticket: Ticket, version: u64) {
        let (node, running, retry_at) = (node.clone(), self.running.clone(), self.retry_at.clone());
        running.lock().insert(ticket.id.clone());
        let token = node.requests.token();
        tokio::spawn(async move {
            let _token = token;
            let id = ticket.id.clone();
            if !run_leased(&node, ticket, version).await {
                node.jobs.retried.inc();
                let until = node.now() + RETRY_DELAY;
                retry_at.lock().insert(id.clone(), until);
            }
            running.lock().remove(&id);
        });
    }

    /// Deletes jobs that ended [`RETENTION_DAYS`] days ago.
    async fn sweep(&mut self, node: &Node) {
        let now = node.now();
        let home = node.membership.home(ENDED_PREFIX, None);
        let is_home = home.is_some_and(|home| home.address == node.peer_address);
        if !is_home || now < self.swept_at + SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        let day = (unix_ms() / DAY_MS).saturating_sub(RETENTION_DAYS);
        let prefix = format!("{ENDED_PREFIX}{day:08}/");
        let Ok(rows) = node.table.scan(&prefix).await else {
            return;
        };
        for row in rows {
            let Some((workspace, id)) = row.key[prefix.len()..].split_once('/') else {
                continue;
            };
            let transaction = Transaction::default()
                .delete(&job_key(workspace, id))
                .delete(&row.key);
            let _ = node.table.commit(&transaction).await;
        }
    }
}

fn candidate(ticket: &Ticket) -> Candidate {
    let now = unix_ms();
    Candidate {
        tokens: ticket.tokens,
        age: Duration::from_millis(now.saturating_sub(ticket.accepted_unix_ms)),
        left: Duration::from_millis(ticket.deadline_unix_ms.saturating_sub(now)),
    }
}

/// Runs a job under its lease. Returns `false` if the job has to be retried.
async fn run_leased(node: &Arc<Node>, ticket: Ticket, version: u64) -> bool {
    let key = job_key(&ticket.workspace, &ticket.id);
    let Ok(Some(row)) = node.table.read(&key).await else {
        return release(node, &ticket, version).await;
    };
    let Ok(job) = row.json::<Job>() else {
        return release(node, &ticket, version).await;
    };
    if job.state != State::Accepted {
        return true;
    }
    let lease = Mutex::new(version);
    let result = tokio::select! {
        result = complete(node, &job, &ticket) => result,
        () = renew_lease(node, &ticket, &lease) => return true,
    };
    let version = *lease.lock();
    match result {
        Ok(answer) => record_answer(node, job, &ticket, row.version, version, answer).await,
        Err(refusal) => {
            spdlog::info!(
                "job: released for retry job={} code={}",
                ticket.id,
                refusal.code
            );
            release(node, &ticket, version).await
        }
    }
}

/// Renews the lease periodically; returns when the lease is lost.
async fn renew_lease(node: &Node, ticket: &Ticket, version: &Mutex<u64>) {
    let key = queue_key(&ticket.id);
    loop {
        tokio::time::sleep(node.settings.job_lease / 3).await;
        let current = *version.lock();
        let transaction = Transaction::default()
            .unchanged(&key, Some(current))
            .put(&key, ticket);
        match node.table.commit(&transaction).await {
            Ok(Commit::Applied { version: next }) => *version.lock() = next,
            Ok(Commit::Conflict) | Err(_) => match node.table.read(&key).await {
                Ok(Some(row)) if row.json::<Ticket>().is_ok_and(|stored| stored == *ticket) => {
                    *version.lock() = row.version;
                }
                Ok(_) => return,
                // While the store is unavailable no other daemon can claim the job, and recording the result checks the
                // lease's version.
                Err(_) => {}
            },
        }
    }
}

async fn complete(node: &Arc<Node>, job: &Job, ticket: &Ticket) -> Result<Answer, Refusal> {
    let config = node.config.load_full();
    let malformed =
        |message: String| Refusal::invalid(http::StatusCode::BAD_REQUEST, "invalid_body", message);
    let completion: Completion =
        serde_json::from_str(&job.body).map_err(|error| malformed(error.to_string()))?;
    let Some(workspace) = config.workspaces.get(&job.workspace).cloned() else {
        return Ok(rejection(403, "the workspace has been withdrawn"));
    };
    let Some((model, adapter)) = config.resolve(&completion.model) else {
        return Ok(rejection(404, "the model has been withdrawn"));
    };
    let requirements = Requirements {
        id: uuid::Uuid::new_v4().to_string(),
        workspace: Some(workspace.name.clone()),
        key: None,
        class: Class::Deferrable,
        target: Target::Model {
            model: model.name.clone(),
            adapter: adapter.map(|adapter| adapter.name.clone()),
        },
        tokens: ticket.tokens,
        prompt: completion.prompt_text(),
        deadline: node.now() + node.settings.request_timeout,
        excluded: Vec::new(),
    };
    let body = bytes::Bytes::from(job.body.clone());
    let response = relay::complete(node, &workspace, requirements, &job.path, body, false).await?;
    let status = response.status();
    let body = http_body_util::Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let collected = http_body_util::BodyExt::collect(body).await;
    let no_answer = || Refusal::unavailable("broken_answer", "the answer broke off", RETRY_DELAY);
    let bytes = collected.map_err(|_| no_answer())?.to_bytes();
    if status.is_server_error() || status.as_u16() == 429 {
        return Err(no_answer());
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let fence = ticket.fence;
    store_answer(node, job, fence, status.as_u16(), text)
        .await
        .ok_or_else(no_answer)
}

fn rejection(status: u16, message: &str) -> Answer {
    Answer {
        status,
        body: Some(message.to_owned()),
        object: None,
    }
}

/// Builds the job's answer. A long body goes to the object store, under a name unique to the run's fencing token;
/// returns `None` if that write fails.
async fn store_answer(
    node: &Node,
    job: &Job,
    fence: u64,
    status: u16,
    text: String,
) -> Option<Answer> {
    if text.len() <= MAX_INLINE_BYTES {
        return Some(Answer {
            status,
            body: Some(text),
            object: None,
        });
    }
    let object = format!("jobs/{}/{}/{fence}", job.workspace, job.id);
    node.platform.put_object(&object, &text).await.ok()?;
    Some(Answer {
        status,
        body: None,
        object: Some(object),
    })
}

/// Records an answer exactly once, on condition that the lease and job rows are unchanged. While the store is
/// unavailable, keeps the answer in memory and retries. Returns `false` if the job has to be run again.
async fn record_answer(
    node: &Node,
    job: Job,
    ticket: &Ticket,
    job_version: u64,
    mut lease: u64,
    answer: Answer,
) -> bool {
    let (key, queue_key) = (job_key(&job.workspace, &job.id), queue_key(&job.id));
    let done = Job {
        state: State::Done,
        answer: Some(answer),
        ..job
    };
    for _ in 0..MAX_RECORD_ATTEMPTS {
        let transaction = Transaction::default()
            .unchanged(&queue_key, Some(lease))
            .unchanged(&key, Some(job_version))
            .put(&key, &done)
            .put(&ended_key(&done), &serde_json::json!({}))
            .delete(&queue_key);
        match node.table.commit(&transaction).await {
            Ok(Commit::Applied { .. }) => {
                node.jobs.done.inc();
                spdlog::info!("job: done job={} fence={}", done.id, ticket.fence);
                return true;
            }
            // An earlier attempt recorded the answer, or the job was cancelled or taken over, unless a late renewal
            // changed the lease's version.
            Ok(Commit::Conflict) => match node.table.read(&queue_key).await {
                Ok(Some(row)) if row.json::<Ticket>().is_ok_and(|stored| stored == *ticket) => {
                    lease = row.version;
                    continue;
                }
                Ok(_) => return true,
                Err(_) => {}
            },
            Err(error) => {
                spdlog::warn!("job: recording the answer failed job={}: {error}", done.id)
            }
        }
        tokio::select! {
            () = tokio::time::sleep(RETRY_DELAY) => {}
            () = node.leaving.cancelled() => return false,
        }
    }
    false
}

/// Releases the lease so that the job can be retried before the lease expires. If that fails, the lease expires.
async fn release(node: &Node, ticket: &Ticket, version: u64) -> bool {
    let key = queue_key(&ticket.id);
    let transaction = Transaction::default()
        .unchanged(&key, Some(version))
        .put(&key, &ticket.released());
    let _ = node.table.commit(&transaction).await;
    false
}
