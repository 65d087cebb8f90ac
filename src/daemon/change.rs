//! Commits operators' configuration changes to the platform's table.

use std::time::Duration;

use displaydoc::Display;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::Node;
use super::config::{self, REVISION_KEY, Revision, log_key};
use crate::coordination::revision::{self, Change, Difference, Entry};
use crate::protocol::operator::Accepted;
use crate::protocol::table::{Commit, Row, Transaction};
use crate::state::schema::Mistake;
use crate::transport::table;

/// Key prefix of the rows of committed changes; the change id follows.
const CHANGE_PREFIX: &str = "change/";

/// Number of revisions after which a change's log entry and change row are deleted.
const MAX_LOG_REVISIONS: u64 = 10_000;

const MAX_ATTEMPTS: u32 = 12;
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Value of a change row, which makes resubmission idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
struct ChangeRow {
    revision: u64,
    digest: String,
}

/// Why a change was not accepted.
#[derive(Debug, Display)]
pub enum Error {
    /// records are wrong, nothing was applied
    Mistakes(Vec<Mistake>),
    /// another operator changed the same records, nothing was applied
    Conflict(Vec<Difference>),
    /// the change id was used before for another change, nothing was applied
    Reused,
    /// the table is unavailable, nothing was applied: {0}
    Unavailable(String),
    /// the outcome is unknown: send the change again under the same id
    Unknown,
}

impl std::error::Error for Error {}

/// Commits a change and installs it at this daemon; the change may be resubmitted under its id.
///
/// # Errors
/// Returns an [`Error`]; the change may have been applied only after [`Error::Unknown`].
pub async fn submit(node: &Node, change: &Change) -> Result<Accepted, Error> {
    let digest = digest_of(change);
    let mut base = change.base;
    let mut may_be_applied = false;
    let mut last_error = String::new();
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(backoff(attempt)).await;
        }
        match attempt_once(node, change, &digest, &mut base).await {
            Step::Done(revision) => {
                spdlog::info!("change: id={} accepted revision={revision}", change.id);
                let id = change.id.clone();
                return Ok(Accepted { id, revision });
            }
            Step::Refused(error) => {
                spdlog::info!("change: id={} refused: {error}", change.id);
                return Err(error);
            }
            Step::Conflict => {}
            Step::Unavailable(error) => last_error = error,
            Step::Unknown(error) => {
                may_be_applied = true;
                last_error = error;
            }
        }
    }
    spdlog::warn!("change: id={} gave up retrying: {last_error}", change.id);
    if may_be_applied {
        return Err(Error::Unknown);
    }
    Err(Error::Unavailable(last_error))
}

/// Result of one attempt.
enum Step {
    Done(u64),
    Refused(Error),
    Conflict,
    Unavailable(String),
    Unknown(String),
}

async fn attempt_once(node: &Node, change: &Change, digest: &str, base: &mut Option<u64>) -> Step {
    match find_committed(node, change, digest).await {
        Ok(None) => {}
        Ok(Some(step)) => return step,
        Err(error) => return Step::Unavailable(error.to_string()),
    }
    let row = match node.table.read(REVISION_KEY).await {
        Ok(row) => row,
        Err(error) => return Step::Unavailable(error.to_string()),
    };
    if let Err(error) = config::refresh_from_table(node).await {
        return Step::Unavailable(error.to_string());
    }
    let current = node.config.load_full();
    if revision_of(row.as_ref()) != Some(current.revision) {
        return Step::Conflict;
    }
    let base = *base.get_or_insert(current.revision);
    let delta = match revision::plan(&current, base, change) {
        Ok(delta) => delta,
        Err(revision::Refusal::Mistakes(m)) => return Step::Refused(Error::Mistakes(m)),
        Err(revision::Refusal::Conflict(d)) => return Step::Refused(Error::Conflict(d)),
    };
    let entry = Entry::new(current.revision + 1, &change.id, &delta);
    let change_row = ChangeRow {
        revision: entry.revision,
        digest: digest.to_owned(),
    };
    let transaction = Transaction::default()
        .unchanged(REVISION_KEY, row.map(|row| row.version))
        .unchanged(&change_key(&change.id), None)
        .put(
            REVISION_KEY,
            &Revision {
                revision: entry.revision,
            },
        )
        .put(&change_key(&change.id), &change_row)
        .put(&log_key(entry.revision), &entry);
    let transaction = config::write_rows(transaction, &delta);
    let transaction = match prune_log(node, entry.revision, transaction).await {
        Ok(transaction) => transaction,
        Err(error) => return Step::Unavailable(error.to_string()),
    };
    match node.table.commit(&transaction).await {
        Ok(Commit::Applied { .. }) => {
            let revision = entry.revision;
            config::install_entries(node, vec![entry]);
            Step::Done(revision)
        }
        Ok(Commit::Conflict) => Step::Conflict,
        Err(table::Error::Unavailable(error)) => Step::Unavailable(error.to_string()),
        Err(table::Error::Unknown(error)) => Step::Unknown(error.to_string()),
    }
}

/// Looks up an earlier commit of the change.
async fn find_committed(
    node: &Node,
    change: &Change,
    digest: &str,
) -> Result<Option<Step>, table::Error> {
    let Some(row) = node.table.read(&change_key(&change.id)).await? else {
        return Ok(None);
    };
    let change_row = row.json::<ChangeRow>().ok();
    Ok(Some(
        match change_row.filter(|change_row| change_row.digest == digest) {
            Some(change_row) => Step::Done(change_row.revision),
            None => Step::Refused(Error::Reused),
        },
    ))
}

/// Adds the deletion of the oldest log entry and its change row to a transaction.
async fn prune_log(
    node: &Node,
    revision: u64,
    transaction: Transaction,
) -> Result<Transaction, table::Error> {
    let Some(old) = revision.checked_sub(MAX_LOG_REVISIONS) else {
        return Ok(transaction);
    };
    let key = log_key(old);
    let Some(row) = node.table.read(&key).await? else {
        return Ok(transaction);
    };
    let transaction = transaction.delete(&key);
    Ok(match row.json::<Entry>() {
        Ok(entry) => transaction.delete(&change_key(&entry.change)),
        Err(_) => transaction,
    })
}

fn revision_of(row: Option<&Row>) -> Option<u64> {
    match row {
        None => Some(0),
        Some(row) => row.json::<Revision>().ok().map(|value| value.revision),
    }
}

fn change_key(id: &str) -> String {
    format!("{CHANGE_PREFIX}{id}")
}

fn digest_of(change: &Change) -> String {
    let bytes = serde_json::to_vec(change).unwrap_or_default();
    hex::encode(Sha256::digest(&bytes))
}

fn backoff(attempt: u32) -> Duration {
    let backoff = (MIN_BACKOFF * 2u32.saturating_pow(attempt - 1)).min(MAX_BACKOFF);
    backoff.mul_f64(rand::rng().random_range(0.5..1.0))
}
