//! Slot rows that limit concurrent loads from the weight store across all zones.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::protocol::table::{Row, Transaction};
use crate::state::record::Name;

/// Key prefix of slot rows; followed by the slot's number, below the limit of concurrent loads.
pub const PREFIX: &str = "slot/load/";

/// Value of a row: the load that occupies the slot.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Slot {
    /// Identifier of the load order.
    pub order: Arc<str>,
    /// Endpoint that loads the model.
    pub endpoint: Name,
}

#[derive(Debug)]
struct Seen {
    slot: Option<Slot>,
    version: u64,
    since: Duration,
}

/// Cached slot rows.
#[derive(Debug, Default)]
pub struct Slots {
    count: usize,
    expired_after: Duration,
    now: Duration,
    seen: HashMap<String, Seen>,
}

impl Slots {
    /// Updates the cache from the rows read. A slot whose row is unchanged for `expired_after` counts as free, because
    /// its holder is no longer alive.
    pub fn read(&mut self, rows: &[Row], count: usize, expired_after: Duration, now: Duration) {
        self.count = count;
        self.expired_after = expired_after;
        self.now = now;
        self.seen
            .retain(|key, _| rows.iter().any(|row| row.key == *key));
        for row in rows {
            let known = self.seen.get(&row.key);
            if known.is_some_and(|seen| seen.version == row.version) {
                continue;
            }
            let seen = Seen {
                slot: row.json().ok(),
                version: row.version,
                since: now,
            };
            self.seen.insert(row.key.clone(), seen);
        }
    }

    /// Number of free slots.
    pub fn free(&self) -> usize {
        (0..self.count)
            .filter(|&number| self.is_free(number))
            .count()
    }

    /// Adds the claim of a free slot to a transaction. Returns the transaction and the slot's key, or `None` if no slot
    /// is free.
    pub fn take(&self, transaction: Transaction, slot: &Slot) -> Option<(Transaction, String)> {
        let start = rand::random_range(0..self.count.max(1));
        let mut numbers = (0..self.count).map(|offset| (start + offset) % self.count);
        let number = numbers.find(|&number| self.is_free(number))?;
        let key = key(number);
        let version = self.seen.get(&key).map(|seen| seen.version);
        let transaction = transaction.unchanged(&key, version).put(&key, slot);
        Some((transaction, key))
    }

    /// Adds the release of an order's slot to a transaction; no-op if the order has none.
    pub fn give_back(&self, transaction: Transaction, order: &str) -> Transaction {
        let mut seen = self.seen.iter();
        let mine = seen.find(|(_, seen)| {
            let slot = seen.slot.as_ref();
            slot.is_some_and(|slot| &*slot.order == order)
        });
        match mine {
            Some((key, seen)) => transaction.unchanged(key, Some(seen.version)).delete(key),
            None => transaction,
        }
    }

    /// Records that a committed transaction claimed a slot.
    pub fn taken(&mut self, key: String, slot: Slot, version: u64) {
        let since = self.now;
        let slot = Some(slot);
        let seen = Seen {
            slot,
            version,
            since,
        };
        self.seen.insert(key, seen);
    }

    fn is_free(&self, number: usize) -> bool {
        let seen = self.seen.get(&key(number));
        seen.is_none_or(|seen| self.now >= seen.since + self.expired_after)
    }
}

fn key(number: usize) -> String {
    format!("{PREFIX}{number}")
}
