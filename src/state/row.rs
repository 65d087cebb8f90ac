//! Rows of the platform's metadata store.

use bytes::Bytes;

use super::record::Name;

/// One row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Name of the table.
    pub table: Name,
    /// Key within the table.
    pub key: Name,
    /// Value; `None` if the row was deleted.
    pub value: Option<Bytes>,
    /// Version, from one counter shared by all rows.
    pub version: u64,
}

/// Number of bits of a version that count the transactions since the store was last restored from a copy.
const TRANSACTION_BITS: u32 = 48;

/// Version of a row or of the store: ordered by how often the store was restored from a copy, then by transaction, since
/// transactions after a restore get numbers that were used before.
///
/// ```
/// use persimmoncroft::state::row::{restores, transaction, version};
/// assert_eq!(version(0, 7), 7);
/// assert!(version(1, 7) > version(0, 900));
/// assert_eq!((restores(version(3, 7)), transaction(version(3, 7))), (3, 7));
/// ```
pub fn version(restores: u64, transaction: u64) -> u64 {
    restores << TRANSACTION_BITS | transaction
}

/// How often the store had been restored from a copy at a version.
pub fn restores(version: u64) -> u64 {
    version >> TRANSACTION_BITS
}

/// Number of the transaction of a version, as the store knows it.
pub fn transaction(version: u64) -> u64 {
    version & ((1 << TRANSACTION_BITS) - 1)
}

/// One page of rows, read at one version of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// Latest version of the store.
    pub version: u64,
    /// Whether more pages follow.
    pub more: bool,
}

/// Conditions and writes that are applied atomically; all rows have an empty partition key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Change {
    /// Conditions: table, key and the version that the row must have; 0 if the row must not exist.
    pub expected: Vec<(Name, Name, u64)>,
    /// Rows to write: table, key and value.
    pub write: Vec<(Name, Name, Bytes)>,
    /// Rows to delete: table and key.
    pub remove: Vec<(Name, Name)>,
}
