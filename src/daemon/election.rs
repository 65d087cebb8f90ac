//! Claims, renews and releases a lease row of the table.

use super::Node;
use crate::coordination::election::{Election, Lease, Step};
use crate::protocol::table::{Commit, Transaction};
use crate::transport::table::Error;

/// Reads the lease row, and claims or renews the lease if due.
///
/// # Errors
/// Returns the table's [`Error`]; the lease then expires unless a later call renews it.
pub async fn acquire_or_renew(
    node: &Node,
    key: &str,
    election: &mut Election,
) -> Result<(), Error> {
    let asked_at = node.now();
    if !election.due(asked_at) {
        return Ok(());
    }
    let row = node.table.read(key).await?;
    let lease: Option<Lease> = row.as_ref().and_then(|row| row.json().ok());
    let version = row.as_ref().map(|row| row.version);
    let current = lease.as_ref().zip(version);
    let step = match (current, version) {
        (None, Some(version)) => Step::Claim {
            fence: 1,
            version: Some(version),
        },
        _ => election.decide(current, &node.session, node.now()),
    };
    let Step::Claim { fence, version } = step else {
        return Ok(());
    };
    let lease = Lease {
        session: node.session.clone(),
        address: node.peer_address,
        fence,
    };
    let transaction = Transaction::default()
        .unchanged(key, version)
        .put(key, &lease);
    match node.table.commit(&transaction).await {
        Ok(Commit::Applied { version }) => election.claimed(fence, version, asked_at),
        Ok(Commit::Conflict) => election.clear(),
        // The lease lasts from the last renewal known to have succeeded; the next call reads the row again.
        Err(error) => return Err(error),
    }
    Ok(())
}

/// Releases a lease so that another daemon can claim it at once.
pub async fn release(node: &Node, key: &str, election: &mut Election) {
    let Some(version) = election.version() else {
        return;
    };
    election.clear();
    let Ok(Some(row)) = node.table.read(key).await else {
        return;
    };
    let Ok(lease) = row.json::<Lease>() else {
        return;
    };
    if row.version != version || lease.session != node.session {
        return;
    }
    let released = Lease {
        session: "".into(),
        ..lease
    };
    let transaction = Transaction::default()
        .unchanged(key, Some(version))
        .put(key, &released);
    let _ = node.table.commit(&transaction).await;
}
