//! Stored form of a record, including fields unknown to this program.

use std::sync::Arc;

use serde_json::{Map, Value};

use super::record::Record;
use super::schema::{self, Fields, Mistake};

/// Stored form of one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Kind and name, as `kind/name`.
    pub path: Arc<str>,
    /// The record as JSON text.
    pub text: Arc<str>,
    /// Revision of the change that wrote the record; 0 if unknown.
    pub revision: u64,
}

impl Document {
    /// Creates a document from the fields of a record.
    pub fn new(raw: &Fields) -> Self {
        Self {
            path: schema::path(raw).into(),
            text: Value::Object(raw.clone()).to_string().into(),
            revision: raw.get("revision").and_then(Value::as_u64).unwrap_or(0),
        }
    }

    /// Creates a document from a stored row; `path` comes from the row's key.
    pub fn from_row(path: &str, value: &[u8]) -> Self {
        let text = String::from_utf8_lossy(value);
        let raw: Fields = serde_json::from_str(&text).unwrap_or_default();
        Self {
            path: path.into(),
            text: text.into(),
            revision: raw.get("revision").and_then(Value::as_u64).unwrap_or(0),
        }
    }

    /// Parses the fields; returns no fields if the text is not a JSON object.
    pub fn fields(&self) -> Fields {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    /// Parses the record, whichever supported schema version it has.
    ///
    /// # Errors
    /// All mistakes, if this program cannot read the record.
    ///
    /// ```
    /// use persimmoncroft::state::document::Document;
    /// let text = br#"{"kind":"zone","name":"a","color":"red"}"#;
    /// assert!(Document::from_row("zone/a", text).record().is_ok());
    /// ```
    pub fn record(&self) -> Result<Record, Vec<Mistake>> {
        let raw = self.fields();
        schema::check(&raw)?;
        if schema::path(&raw) != *self.path {
            let name = raw.get("name").cloned().unwrap_or_default();
            let expected = "the name in the row's key";
            return Err(vec![Mistake::new(&self.path, "name", &name, expected)]);
        }
        let current = upgrade(raw);
        serde_json::from_value(Value::Object(current)).map_err(|error| {
            let expected = format!("a readable record: {error}");
            vec![Mistake::new(&self.path, "-", &Value::Null, expected)]
        })
    }
}

/// Converts the fields of a record to the form that [`Record`] deserializes from.
fn upgrade(mut raw: Fields) -> Fields {
    raw.retain(|_, value| !value.is_null());
    if raw.get("kind").and_then(Value::as_str) == Some("workspace")
        && let Some(Value::Object(limit)) = raw.remove("limit")
    {
        raw.extend(limit);
    }
    raw
}

/// Returns a new form of a record with the unknown fields of its stored form added, so that a rewrite keeps them.
///
/// ```
/// use persimmoncroft::state::document::overlay;
/// let json = |text| serde_json::from_str(text).unwrap();
/// let stored = json(r#"{"kind":"zone","name":"a","out":true,"color":"red"}"#);
/// let merged = overlay(&stored, json(r#"{"kind":"zone","name":"a"}"#));
/// assert_eq!(merged["color"], "red");
/// assert!(!merged.contains_key("out"));
/// ```
pub fn overlay(stored: &Fields, mut new: Fields) -> Fields {
    for name in schema::unknown(stored) {
        copy_if_absent(stored, &mut new, &name);
    }
    new
}

fn copy_if_absent(from: &Fields, to: &mut Fields, name: &str) {
    let Some((group, rest)) = name.split_once('.') else {
        if let (false, Some(value)) = (to.contains_key(name), from.get(name)) {
            to.insert(name.to_owned(), value.clone());
        }
        return;
    };
    let Some(Value::Object(inner)) = from.get(group) else {
        return;
    };
    let target = to
        .entry(group.to_owned())
        .or_insert_with(|| Value::Object(Map::new()));
    if let Value::Object(target) = target {
        copy_if_absent(inner, target, rest);
    }
}
