//! Copy of one table of the platform's store, from which other daemons can follow the table.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::record::Name;
use super::row::Row;

/// Deleted rows that are remembered; a daemon that is further behind gets all rows.
const MAX_DELETED: usize = 1024;

/// Rows that changed after a version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Changed rows, including deleted ones.
    pub rows: Vec<Row>,
    /// Version up to which the table has been read.
    pub version: u64,
    /// Whether these are all rows of the table: others that the receiver knows do not exist.
    pub all: bool,
}

/// Latest known state of each row of a table.
///
/// ```
/// use persimmoncroft::state::mirror::{Changes, Mirror};
/// use persimmoncroft::state::row::Row;
/// let row = |key: &str, version| Row { table: "t".into(), key: key.into(), value: Some("v".into()), version };
/// let changes = |rows, version, all| Changes { rows, version, all };
/// let mut mirror = Mirror::default();
/// mirror.apply(&changes(vec![row("a", 1)], 1, true));
/// mirror.apply(&changes(vec![row("b", 3)], 3, false));
/// assert_eq!(mirror.changes_after("t", 1), changes(vec![row("b", 3)], 3, false));
/// assert_eq!(mirror.changes_after("t", 0).rows.len(), 2);
/// ```
#[derive(Debug, Default)]
pub struct Mirror {
    rows: BTreeMap<Name, (Option<Bytes>, u64)>,
    version: u64,
    /// Changes up to this version are only known as part of all rows.
    oldest: u64,
}

impl Mirror {
    /// Version up to which the table has been read.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies changes read from the store or from another daemon; older versions of a row change nothing.
    pub fn apply(&mut self, changes: &Changes) {
        if changes.all {
            let listed = |key: &Name| changes.rows.iter().any(|row| row.key == *key);
            let version = changes.version;
            for (key, (value, row_version)) in &mut self.rows {
                if value.is_some() && *row_version <= version && !listed(key) {
                    (*value, *row_version) = (None, version);
                }
            }
        }
        for row in &changes.rows {
            let known = self.rows.get(&row.key).map_or(0, |(_, version)| *version);
            if row.version >= known {
                self.rows
                    .insert(row.key.clone(), (row.value.clone(), row.version));
            }
        }
        if self.version == 0 {
            self.oldest = changes.version;
        }
        self.version = self.version.max(changes.version);
        self.forget_deleted();
    }

    /// Rows of the table that changed after a version.
    pub fn changes_after(&self, table: &str, after: u64) -> Changes {
        let all = after < self.oldest;
        let is_new = |value: &Option<Bytes>, version: u64| match all {
            true => value.is_some(),
            false => version > after,
        };
        let rows = self.rows.iter();
        let rows = rows.filter(|(_, (value, version))| is_new(value, *version));
        let rows = rows.map(|(key, (value, version))| Row {
            table: table.into(),
            key: key.clone(),
            value: value.clone(),
            version: *version,
        });
        Changes {
            rows: rows.collect(),
            version: self.version,
            all,
        }
    }

    fn forget_deleted(&mut self) {
        let deleted = self.rows.values().filter(|(value, _)| value.is_none());
        let mut versions: Vec<u64> = deleted.map(|(_, version)| *version).collect();
        if versions.len() <= MAX_DELETED {
            return;
        }
        versions.sort_unstable();
        let oldest = versions[versions.len() / 2];
        self.oldest = self.oldest.max(oldest);
        self.rows
            .retain(|_, (value, version)| value.is_some() || *version > oldest);
    }
}
