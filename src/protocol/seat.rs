//! Conversion of seats from table rows and to table transactions.

use super::table::{Row, Transaction};
use crate::coordination::seat::{POOL_KEY, Plan, Snapshot};

/// Parses all seats and the pool; rows that cannot be parsed are skipped.
pub fn snapshot(rows: &[Row]) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for row in rows {
        if row.key == POOL_KEY {
            snapshot.pool = row.json().ok().map(|pool| (row.version, pool));
        } else if let Ok(seat) = row.json() {
            let key = row.key.as_str().into();
            snapshot.seats.insert(key, (row.version, seat));
        }
    }
    snapshot
}

/// Converts a plan to a transaction that applies only if the rows have not changed since the plan was made.
pub fn transaction(plan: &Plan) -> Transaction {
    let mut transaction = Transaction::default()
        .unchanged(&plan.key, plan.version)
        .put(&plan.key, &plan.seat);
    if let Some((version, pool)) = &plan.pool {
        transaction = transaction
            .unchanged(POOL_KEY, *version)
            .put(POOL_KEY, pool);
    }
    if let Some((key, version)) = &plan.taken_over {
        transaction = transaction.unchanged(key, Some(*version)).delete(key);
    }
    transaction
}
