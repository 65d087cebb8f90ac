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
struct Entry {
    slot: Option<Slot>,
    version: u64,
    unchanged_since: Duration,
}

/// Cached slot rows.
#[derive(Debug, Default)]
pub struct Slots {
    count: usize,
    expires_after: Duration,
    updated_at: Duration,
    entries: HashMap<String, Entry>,
}

impl Slots {
    /// Updates the cache from the rows read. A slot whose row is unchanged for `expires_after` counts as free, because
    /// its holder is presumed dead.
    pub fn update(&mut self, rows: &[Row], count: usize, expires_after: Duration, now: Duration) {
        self.count = count;
        self.expires_after = expires_after;
        self.updated_at = now;
        self.entries
            .retain(|key, _| rows.iter().any(|row| row.key == *key));
        for row in rows {
            let known = self.entries.get(&row.key);
            if known.is_some_and(|entry| entry.version == row.version) {
                continue;
            }
            let entry = Entry {
                slot: row.json().ok(),
                version: row.version,
                unchanged_since: now,
            };
            self.entries.insert(row.key.clone(), entry);
        }
    }

    /// Number of free slots.
    pub fn free_count(&self) -> usize {
        (0..self.count)
            .filter(|&number| self.is_free(number))
            .count()
    }

    /// Adds the claim of a free slot to a transaction. Returns the transaction and the slot's key, or `None` if no slot
    /// is free.
    pub fn claim(&self, transaction: Transaction, slot: &Slot) -> Option<(Transaction, String)> {
        let start = rand::random_range(0..self.count.max(1));
        let mut numbers = (0..self.count).map(|offset| (start + offset) % self.count);
        let number = numbers.find(|&number| self.is_free(number))?;
        let key = key(number);
        let version = self.entries.get(&key).map(|entry| entry.version);
        let transaction = transaction.unchanged(&key, version).put(&key, slot);
        Some((transaction, key))
    }

    /// Adds the release of an order's slot to a transaction; no-op if the order has none.
    pub fn release(&self, transaction: Transaction, order: &str) -> Transaction {
        let mut entries = self.entries.iter();
        let own = entries.find(|(_, entry)| {
            let slot = entry.slot.as_ref();
            slot.is_some_and(|slot| &*slot.order == order)
        });
        match own {
            Some((key, entry)) => transaction.unchanged(key, Some(entry.version)).delete(key),
            None => transaction,
        }
    }

    /// Records that a committed transaction claimed a slot.
    pub fn claimed(&mut self, key: String, slot: Slot, version: u64) {
        let unchanged_since = self.updated_at;
        let slot = Some(slot);
        let entry = Entry {
            slot,
            version,
            unchanged_since,
        };
        self.entries.insert(key, entry);
    }

    fn is_free(&self, number: usize) -> bool {
        let entry = self.entries.get(&key(number));
        entry.is_none_or(|entry| self.updated_at >= entry.unchanged_since + self.expires_after)
    }
}

fn key(number: usize) -> String {
    format!("{PREFIX}{number}")
}
