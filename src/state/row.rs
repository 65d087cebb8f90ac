//! Rows of the platform's metadata store.

use bytes::Bytes;

use super::record::Name;

/// One row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Table.
    pub table: Name,
    /// Key in the table.
    pub key: Name,
    /// Value; none when the row was removed.
    pub value: Option<Bytes>,
    /// Version, from one counter over all rows.
    pub version: u64,
}

/// Rows as of one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// Newest version of the store.
    pub version: u64,
    /// Whether there are more rows.
    pub more: bool,
}

/// A condition and writes that apply together or not at all; all rows have an empty partition key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Change {
    /// Rows and the version that each must have; 0 when there must be none.
    pub expected: Vec<(Name, Name, u64)>,
    /// Rows to write: table, key and value.
    pub write: Vec<(Name, Name, Bytes)>,
    /// Rows to remove: table and key.
    pub remove: Vec<(Name, Name)>,
}
