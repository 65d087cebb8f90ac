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
const REVISIONS_KEPT: u64 = 10_000;

const ATTEMPTS: u32 = 12;
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Value of a change row, which makes resubmission idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
struct Memory {
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
    let mut in_doubt = false;
    let mut last = String::new();
    for attempt in 0..ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(pause(attempt)).await;
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
            Step::Raced => {}
            Step::Away(error) => last = error,
            Step::InDoubt(error) => {
                in_doubt = true;
                last = error;
            }
        }
    }
    spdlog::warn!("change: id={} not settled: {last}", change.id);
    if in_doubt {
        return Err(Error::Unknown);
    }
    Err(Error::Unavailable(last))
}

/// Result of one attempt.
enum Step {
    Done(u64),
    Refused(Error),
    Raced,
    Away(String),
    InDoubt(String),
}

async fn attempt_once(node: &Node, change: &Change, digest: &str, base: &mut Option<u64>) -> Step {
    match remembered(node, change, digest).await {
        Ok(None) => {}
        Ok(Some(step)) => return step,
        Err(error) => return Step::Away(error.to_string()),
    }
    let row = match node.table.read(REVISION_KEY).await {
        Ok(row) => row,
        Err(error) => return Step::Away(error.to_string()),
    };
    if let Err(error) = config::refresh_from_table(node).await {
        return Step::Away(error.to_string());
    }
    let current = node.config.load_full();
    if revision_of(row.as_ref()) != Some(current.revision) {
        return Step::Raced;
    }
    let base = *base.get_or_insert(current.revision);
    let delta = match revision::plan(&current, base, change) {
        Ok(delta) => delta,
        Err(revision::Refusal::Mistakes(m)) => return Step::Refused(Error::Mistakes(m)),
        Err(revision::Refusal::Conflict(d)) => return Step::Refused(Error::Conflict(d)),
    };
    let entry = Entry::new(current.revision + 1, &change.id, &delta);
    let memory = Memory {
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
        .put(&change_key(&change.id), &memory)
        .put(&log_key(entry.revision), &entry);
    let transaction = config::write_rows(transaction, &delta);
    let transaction = match forget_old(node, entry.revision, transaction).await {
        Ok(transaction) => transaction,
        Err(error) => return Step::Away(error.to_string()),
    };
    match node.table.commit(&transaction).await {
        Ok(Commit::Applied { .. }) => {
            let revision = entry.revision;
            config::install_entries(node, vec![entry]);
            Step::Done(revision)
        }
        Ok(Commit::Conflict) => Step::Raced,
        Err(table::Error::Unavailable(error)) => Step::Away(error.to_string()),
        Err(table::Error::Unknown(error)) => Step::InDoubt(error.to_string()),
    }
}

/// Looks up an earlier commit of the change.
async fn remembered(
    node: &Node,
    change: &Change,
    digest: &str,
) -> Result<Option<Step>, table::Error> {
    let Some(row) = node.table.read(&change_key(&change.id)).await? else {
        return Ok(None);
    };
    let memory = row.json::<Memory>().ok();
    Ok(Some(
        match memory.filter(|memory| memory.digest == digest) {
            Some(memory) => Step::Done(memory.revision),
            None => Step::Refused(Error::Reused),
        },
    ))
}

/// Adds the deletion of the oldest log entry and its change row to a transaction.
async fn forget_old(
    node: &Node,
    revision: u64,
    transaction: Transaction,
) -> Result<Transaction, table::Error> {
    let Some(old) = revision.checked_sub(REVISIONS_KEPT) else {
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

fn pause(attempt: u32) -> Duration {
    let pause = (FIRST_PAUSE * 2u32.saturating_pow(attempt - 1)).min(MAX_PAUSE);
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}
