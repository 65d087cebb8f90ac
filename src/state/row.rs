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
