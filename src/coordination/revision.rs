//! Validation of configuration changes, and the writes that commit them.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::reference;
use crate::state::config::{Config, Delta};
use crate::state::document::{Document, overlay};
use crate::state::schema::{self, Fields, Mistake};

/// Maximum number of records that one change may write or withdraw.
pub const MAX_RECORDS: usize = 2000;

const MAX_ID_BYTES: usize = 128;

/// Records and withdrawals that are applied atomically.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Identifier; a change resent under the same identifier is not applied again.
    pub id: String,
    /// Records to create or replace.
    #[serde(default)]
    pub records: Vec<Fields>,
    /// Paths (kind and name) of records to withdraw: keys are revoked, other records are deleted.
    #[serde(default)]
    pub withdraw: Vec<String>,
    /// Revision known to the operator; later changes of the same records by others are conflicts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<u64>,
}

/// A field that two operators set to different values.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Difference {
    /// Path (kind and name) of the record.
    pub record: String,
    /// Name of the field; `-` if one side deleted the record.
    pub field: String,
    /// Value in the refused change, as JSON.
    pub mine: String,
    /// Current value, as JSON.
    pub theirs: String,
}

/// Why a change was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// Records are invalid.
    Mistakes(Vec<Mistake>),
    /// Another operator changed the same records.
    Conflict(Vec<Difference>),
}

/// Returns the writes of a change to a configuration; `base` is the revision known to its operator.
///
/// ```
/// use persimmoncroft::coordination::revision::{Change, plan};
/// use persimmoncroft::state::config::Config;
/// let zone = serde_json::from_str(r#"{"kind":"zone","name":"a"}"#).unwrap();
/// let change = Change { id: "1".into(), records: vec![zone], ..Change::default() };
/// let delta = plan(&Config::default(), 0, &change).unwrap();
/// assert_eq!(&*delta.written[0].path, "zone/a");
/// ```
///
/// # Errors
/// Returns a [`Refusal`]; no part of the change may then be applied.
pub fn plan(config: &Config, base: u64, change: &Change) -> Result<Delta, Refusal> {
    let mut mistakes = check_shape(change);
    for raw in &change.records {
        mistakes.extend(schema::check(raw).err().unwrap_or_default());
        mistakes.extend(check_unknown_fields(config, raw));
    }
    let withdrawn = plan_withdrawals(config, change, &mut mistakes);
    if !mistakes.is_empty() {
        return Err(Refusal::Mistakes(mistakes));
    }
    let differences = conflicts(config, base, change);
    if !differences.is_empty() {
        return Err(Refusal::Conflict(differences));
    }
    let revision = config.revision + 1;
    let mut delta = withdrawn;
    for raw in &change.records {
        delta.written.push(merge(config, raw, revision));
    }
    check_references(config, &delta)?;
    Ok(delta)
}

fn check_shape(change: &Change) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    let mut report = |field: &str, value: Value, expected: String| {
        mistakes.push(Mistake::new("change", field, &value, expected));
    };
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if change.id.is_empty() || change.id.len() > MAX_ID_BYTES || !change.id.chars().all(is_allowed)
    {
        let expected = format!("1 to {MAX_ID_BYTES} letters, digits or -_.:");
        report("id", json!(change.id), expected);
    }
    let count = change.records.len() + change.withdraw.len();
    if count == 0 || count > MAX_RECORDS {
        let expected = format!("1 to {MAX_RECORDS} records and withdrawals");
        report("records", json!(count), expected);
    }
    let mut seen = BTreeSet::new();
    let paths = change.records.iter().map(schema::path);
    for path in paths.chain(change.withdraw.iter().cloned()) {
        if !seen.insert(path.clone()) {
            report("records", json!(path), "each record once".into());
        }
    }
    mistakes
}

fn check_unknown_fields(config: &Config, raw: &Fields) -> Vec<Mistake> {
    let path = schema::path(raw);
    let stored = stored_fields(config, &path);
    let unknown = schema::unknown(raw).into_iter();
    let new = unknown.filter(|name| lookup(&stored, name) != lookup(raw, name));
    new.map(|name| {
        let value = lookup(raw, &name).cloned().unwrap_or_default();
        let expected = format!("one of the fields {}", known_field_names(raw));
        Mistake::new(&path, &name, &value, expected)
    })
    .collect()
}

fn known_field_names(raw: &Fields) -> String {
    let kind = raw.get("kind").and_then(Value::as_str).unwrap_or_default();
    let known = schema::version(raw).and_then(|version| schema::fields(kind, version));
    let names = known.unwrap_or_default().iter().map(|field| field.name);
    names.collect::<Vec<_>>().join(", ")
}

fn lookup<'a>(raw: &'a Fields, name: &str) -> Option<&'a Value> {
    match name.split_once('.') {
        None => raw.get(name),
        Some((group, rest)) => lookup(raw.get(group)?.as_object()?, rest),
    }
}

fn plan_withdrawals(config: &Config, change: &Change, mistakes: &mut Vec<Mistake>) -> Delta {
    let mut delta = Delta::default();
    for path in &change.withdraw {
        let Some(document) = config.documents.get(path.as_str()) else {
            let expected = "kind and name of an existing record";
            mistakes.push(Mistake::new(path, "withdraw", &json!(path), expected));
            continue;
        };
        if !path.starts_with("key/") {
            delta.deleted.push(document.path.clone());
            continue;
        }
        let mut raw = document.fields();
        raw.insert("withdrawn".into(), Value::Bool(true));
        raw.insert("revision".into(), json!(config.revision + 1));
        delta.written.push(Document::new(&raw));
    }
    delta
}

fn merge(config: &Config, raw: &Fields, revision: u64) -> Document {
    let stored = stored_fields(config, &schema::path(raw));
    let mut merged = overlay(&stored, raw.clone());
    merged.insert("revision".into(), json!(revision));
    Document::new(&merged)
}

fn stored_fields(config: &Config, path: &str) -> Fields {
    let document = config.documents.get(path);
    document.map(Document::fields).unwrap_or_default()
}

fn conflicts(config: &Config, base: u64, change: &Change) -> Vec<Difference> {
    let mut differences = Vec::new();
    for raw in &change.records {
        let path = schema::path(raw);
        let known = raw.get("revision").and_then(Value::as_u64).unwrap_or(base);
        match config.documents.get(path.as_str()) {
            Some(theirs) if theirs.revision > known => {
                differences.extend(compare(&path, raw, &theirs.fields()));
            }
            None if raw.get("revision").is_some_and(|r| *r != json!(0)) => {
                differences.push(Difference {
                    record: path,
                    field: "-".into(),
                    mine: "written".into(),
                    theirs: "deleted".into(),
                });
            }
            _ => {}
        }
    }
    let deletions = change.withdraw.iter().filter(|p| !p.starts_with("key/"));
    for path in deletions {
        let document = config.documents.get(path.as_str());
        if document.is_some_and(|document| document.revision > base) {
            differences.push(Difference {
                record: path.clone(),
                field: "-".into(),
                mine: "deleted".into(),
                theirs: "written".into(),
            });
        }
    }
    differences
}

/// Lists the fields that differ between two versions of a record.
pub fn compare(path: &str, mine: &Fields, theirs: &Fields) -> Vec<Difference> {
    let names: BTreeSet<&String> = mine.keys().chain(theirs.keys()).collect();
    let unknown = schema::unknown(theirs);
    let relevant = names.into_iter().filter(|name| {
        let kept = unknown.contains(name) && !mine.contains_key(*name);
        *name != "revision" && !kept
    });
    let text = |value: Option<&Value>| value.map_or("absent".into(), Value::to_string);
    relevant
        .filter(|name| mine.get(*name) != theirs.get(*name))
        .map(|name| Difference {
            record: path.to_owned(),
            field: name.clone(),
            mine: text(mine.get(name)),
            theirs: text(theirs.get(name)),
        })
        .collect()
}

fn check_references(config: &Config, delta: &Delta) -> Result<(), Refusal> {
    let (next, mut mistakes) = config.advance(config.revision + 1, delta);
    let records: Vec<_> = delta
        .written
        .iter()
        .filter_map(|document| document.record().ok())
        .collect();
    mistakes.extend(reference::check_written(config, &next, &records));
    let deleted: Vec<&str> = delta.deleted.iter().map(|path| &**path).collect();
    mistakes.extend(reference::check_deleted(config, &next, &deleted));
    if mistakes.is_empty() {
        Ok(())
    } else {
        Err(Refusal::Mistakes(mistakes))
    }
}

/// Entry of the configuration log: the change that leads from one revision to the next, as fetched by daemons.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Entry {
    /// Revision after the change.
    pub revision: u64,
    /// Identifier of the change.
    pub change: Arc<str>,
    /// Records created or replaced.
    #[serde(default)]
    pub written: Vec<Fields>,
    /// Paths (kind and name) of deleted records.
    #[serde(default)]
    pub deleted: Vec<Arc<str>>,
}

impl Entry {
    /// Creates the entry of a planned change.
    pub fn new(revision: u64, change: &str, delta: &Delta) -> Self {
        Self {
            revision,
            change: change.into(),
            written: delta.written.iter().map(Document::fields).collect(),
            deleted: delta.deleted.clone(),
        }
    }

    /// Returns the writes of the change.
    pub fn delta(&self) -> Delta {
        Delta {
            written: self.written.iter().map(Document::new).collect(),
            deleted: self.deleted.clone(),
        }
    }
}

/// Returns whether the entries lead from one revision to another without a gap.
///
/// ```
/// use persimmoncroft::coordination::revision::{Entry, complete};
/// let entry = |revision| Entry { revision, change: "c".into(), written: vec![], deleted: vec![] };
/// assert!(complete(&[entry(3), entry(4)], 2, 4));
/// assert!(!complete(&[entry(4)], 2, 4));
/// ```
pub fn complete(entries: &[Entry], from: u64, to: u64) -> bool {
    let expected = from + 1..=to;
    entries.len() as u64 == to.saturating_sub(from)
        && entries.iter().map(|entry| entry.revision).eq(expected)
}
