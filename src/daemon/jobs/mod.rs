//! Deferrable jobs: accepted once stored, run under a lease, and their results recorded exactly once.

pub mod billing;
pub mod runner;

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::{HeaderMap, StatusCode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use viz::Response;

use super::Node;
use super::caller::{Refusal, json_response};
use crate::coordination::job::{ENDED_PREFIX, Job, State, Ticket, job_key, queue_key};
use crate::metric;
use crate::protocol::caller::Completion;
use crate::protocol::table::{Commit, Transaction};
use crate::state::record::Workspace;
use crate::transport::table;

/// Request header that makes resubmission idempotent: the same key returns the existing job.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Maximum size of a job's completion request, in bytes.
const MAX_JOB_BYTES: usize = 256 << 10;

const MAX_DEADLINE_SECONDS: u64 = 7 * 24 * 3600;
const RETRY_AFTER: Duration = Duration::from_secs(2);
const DAY_MS: u64 = 24 * 3600 * 1000;

/// Job metrics and the fleet's token meter.
#[derive(Debug, Default)]
pub struct Jobs {
    /// Meter of the fleet's token usage, maintained while this daemon owns it.
    pub peak: billing::Peak,
    accepted: Counter,
    done: Counter,
    retried: Counter,
    cancelled: Counter,
}

impl Jobs {
    /// Creates the job state and registers its metrics.
    pub fn open(registry: &mut Registry) -> Self {
        Self {
            peak: billing::Peak::default(),
            accepted: metric::register(registry, "jobs_accepted", "Jobs stored"),
            done: metric::register(registry, "jobs_done", "Jobs whose answer was recorded"),
            retried: metric::register(
                registry,
                "jobs_retried",
                "Runs that ended without an answer",
            ),
            cancelled: metric::register(
                registry,
                "jobs_cancelled",
                "Jobs withdrawn by their owner",
            ),
        }
    }
}

/// Body of `POST /v1/jobs`.
#[derive(Debug, Deserialize)]
struct Submission<'a> {
    /// Path of the completion endpoint.
    #[serde(default = "default_path")]
    path: String,
    /// JSON body of the completion request.
    #[serde(borrow)]
    body: &'a RawValue,
    /// Time from acceptance to the deadline, in seconds.
    deadline_seconds: u64,
}

fn default_path() -> String {
    "/v1/completions".into()
}

/// Current Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.unwrap_or_default().as_millis() as u64
}

/// Validates a job and accepts it once it is stored.
///
/// # Errors
/// [`Refusal`], marked `not_run` only if the job is known not to be stored.
pub async fn submit(
    node: &Arc<Node>,
    workspace: &Workspace,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<Response, Refusal> {
    let submission: Submission = serde_json::from_slice(body).map_err(invalid)?;
    let completion: Completion = serde_json::from_str(submission.body.get()).map_err(invalid)?;
    validate(node, &submission, &completion)?;
    let digest = hex::encode(Sha256::digest(
        format!("{}\n{}", submission.path, submission.body.get()).as_bytes(),
    ));
    let now = unix_ms();
    let job = Job {
        id: job_id(workspace, headers),
        workspace: workspace.name.clone(),
        path: submission.path.clone(),
        body: submission.body.get().to_owned(),
        digest: digest.into(),
        state: State::Accepted,
        deadline_unix_ms: now + submission.deadline_seconds * 1000,
        answer: None,
    };
    let ticket = Ticket {
        id: job.id.clone(),
        workspace: workspace.name.clone(),
        tokens: completion.most_tokens(),
        accepted_unix_ms: now,
        deadline_unix_ms: job.deadline_unix_ms,
        holder: None,
        fence: 0,
    };
    store(node, &job, &ticket).await?;
    node.jobs.accepted.inc();
    spdlog::info!("job: accepted job={} workspace={}", job.id, workspace.name);
    Ok(json_response(StatusCode::ACCEPTED, &job_json(&job, None)))
}

fn validate(node: &Node, submission: &Submission, completion: &Completion) -> Result<(), Refusal> {
    let paths = ["/v1/completions", "/v1/chat/completions"];
    if !paths.contains(&&*submission.path) {
        return Err(invalid("path is not that of a completion"));
    }
    if completion.stream {
        return Err(invalid("the answer of a job is not a stream"));
    }
    if submission.deadline_seconds == 0 || submission.deadline_seconds > MAX_DEADLINE_SECONDS {
        return Err(invalid("deadline_seconds is zero or more than a week"));
    }
    if submission.body.get().len() > MAX_JOB_BYTES {
        let message = format!("the body of a job is larger than {MAX_JOB_BYTES} bytes");
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        return Err(Refusal::invalid(status, "body_too_large", message));
    }
    if node.config.load().resolve(&completion.model).is_none() {
        let message = format!("no model or adapter is named \"{}\"", completion.model);
        return Err(Refusal::invalid(
            StatusCode::NOT_FOUND,
            "model_not_found",
            message,
        ));
    }
    Ok(())
}

fn invalid(message: impl std::fmt::Display) -> Refusal {
    let message = format!("not a job: {message}");
    Refusal::invalid(StatusCode::BAD_REQUEST, "invalid_body", message)
}

/// Derives the job's identifier from the workspace and the idempotency key; random without a key.
fn job_id(workspace: &Workspace, headers: &HeaderMap) -> Arc<str> {
    let Some(key) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return uuid::Uuid::new_v4().simple().to_string().into();
    };
    let mut hash = Sha256::new();
    hash.update(workspace.name.as_bytes());
    hash.update(b"\n");
    hash.update(key.as_bytes());
    hex::encode(&hash.finalize()[..16]).into()
}

/// Stores a job. If the outcome of the write is unknown, reads the row back.
async fn store(node: &Node, job: &Job, ticket: &Ticket) -> Result<(), Refusal> {
    let (job_key, queue_key) = (job_key(&job.workspace, &job.id), queue_key(&job.id));
    let transaction = Transaction::default()
        .unchanged(&job_key, None)
        .put(&job_key, job)
        .put(&queue_key, ticket);
    match node.table.commit(&transaction).await {
        Ok(Commit::Applied { .. }) => return Ok(()),
        Err(table::Error::Unavailable(_)) => {
            let message = "jobs cannot be stored now";
            return Err(Refusal::unavailable(
                "store_unavailable",
                message,
                RETRY_AFTER,
            ));
        }
        Ok(Commit::Conflict) | Err(table::Error::Unknown(_)) => {}
    }
    match node.table.read(&job_key).await {
        Ok(Some(row)) => match row.json::<Job>() {
            Ok(found) if found.digest == job.digest => Ok(()),
            _ => {
                let message = "the idempotency key belongs to another job";
                Err(Refusal::invalid(
                    StatusCode::CONFLICT,
                    "key_reused",
                    message,
                ))
            }
        },
        // The write may still be applied later, so the response must not claim that the job did not run.
        _ => Err(Refusal {
            not_run: false,
            ..Refusal::unavailable(
                "outcome_unknown",
                "the job may have been stored",
                RETRY_AFTER,
            )
        }),
    }
}

/// Returns a job's state and, once done, its answer.
///
/// # Errors
/// [`Refusal`] if the workspace has no such job or the store is unavailable.
pub async fn show(node: &Node, workspace: &Workspace, id: &str) -> Result<Response, Refusal> {
    let (job, _) = find(node, workspace, id).await?;
    let body = match job.answer.as_ref() {
        Some(answer) => Some(answer_body(node, answer).await?),
        None => None,
    };
    Ok(json_response(StatusCode::OK, &job_json(&job, body)))
}

async fn answer_body(
    node: &Node,
    answer: &crate::coordination::job::Answer,
) -> Result<Value, Refusal> {
    let text = match (&answer.body, &answer.object) {
        (Some(body), _) => body.clone(),
        (None, Some(object)) => {
            let bytes = node
                .platform
                .get_object(object)
                .await
                .map_err(|_| store_unavailable())?;
            serde_json::from_slice(&bytes).unwrap_or_default()
        }
        (None, None) => String::new(),
    };
    Ok(serde_json::from_str(&text).unwrap_or(Value::String(text)))
}

fn job_json(job: &Job, body: Option<Value>) -> Value {
    let mut object = json!({
        "id": job.id, "object": "job", "state": job.state,
        "deadline_unix_ms": job.deadline_unix_ms,
    });
    if let Some(answer) = &job.answer {
        object["status"] = answer.status.into();
        object["answer"] = body.unwrap_or_default();
    }
    object
}

/// Cancels a job that has not ended. The result of a run in progress is discarded.
///
/// # Errors
/// [`Refusal`] if the workspace has no such job, the job has ended, or the store is unavailable.
pub async fn cancel(node: &Node, workspace: &Workspace, id: &str) -> Result<Response, Refusal> {
    let (mut job, version) = find(node, workspace, id).await?;
    if job.state == State::Cancelled {
        return Ok(json_response(StatusCode::OK, &job_json(&job, None)));
    }
    if job.state == State::Done {
        let message = "the job has ended";
        return Err(Refusal::invalid(StatusCode::CONFLICT, "job_ended", message));
    }
    job.state = State::Cancelled;
    let key = job_key(&workspace.name, id);
    let transaction = Transaction::default()
        .unchanged(&key, Some(version))
        .put(&key, &job)
        .put(&ended_key(&job), &json!({}))
        .delete(&queue_key(id));
    match node.table.commit(&transaction).await {
        Ok(Commit::Applied { .. }) => {}
        Ok(Commit::Conflict) => {
            let message = "the job has ended";
            return Err(Refusal::invalid(StatusCode::CONFLICT, "job_ended", message));
        }
        Err(_) => match find(node, workspace, id).await? {
            (found, _) if found.state == State::Cancelled => {}
            _ => return Err(store_unavailable()),
        },
    }
    node.jobs.cancelled.inc();
    spdlog::info!("job: cancelled job={id} workspace={}", workspace.name);
    Ok(json_response(StatusCode::OK, &job_json(&job, None)))
}

async fn find(node: &Node, workspace: &Workspace, id: &str) -> Result<(Job, u64), Refusal> {
    let not_found = || Refusal::invalid(StatusCode::NOT_FOUND, "job_not_found", "no such job");
    if id.contains('/') {
        return Err(not_found());
    }
    let key = job_key(&workspace.name, id);
    let row = node
        .table
        .read(&key)
        .await
        .map_err(|_| store_unavailable())?;
    let row = row.ok_or_else(not_found)?;
    let job = row.json::<Job>().map_err(|_| not_found())?;
    Ok((job, row.version))
}

fn store_unavailable() -> Refusal {
    Refusal {
        not_run: false,
        ..Refusal::unavailable("store_unavailable", "jobs cannot be read now", RETRY_AFTER)
    }
}

/// Key of the row that indexes an ended job by day, for removal after the retention period.
fn ended_key(job: &Job) -> String {
    let day = unix_ms() / DAY_MS;
    format!("{ENDED_PREFIX}{day:08}/{}/{}", job.workspace, job.id)
}
