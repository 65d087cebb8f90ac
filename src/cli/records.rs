//! Parser for record files in INI or JSON.

use displaydoc::Display;
use ini::Ini;
use serde_json::{Map, Value};

use crate::state::schema::{self, Field, Fields, Shape};

/// Error in a record file.
#[derive(Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// invalid INI: {0}
    Ini(String),
    /// invalid JSON: {0}
    Json(String),
    /// expected a record, a list of records or an object with "records"
    Structure,
    /// section "{0}": expected a kind and a name, such as [workspace lab]
    Section(String),
    /// section "{0}": duplicate key "{1}"
    DuplicateKey(String, String),
}

impl std::error::Error for Error {}

/// Parses the records of a file: JSON if the text starts with a JSON object or a list of objects, INI otherwise.
///
/// ```
/// use persimmoncroft::cli::records::parse;
/// let text = "[workspace lab]\nschema = 2\nlimit.rate_tokens_per_second = 50\nlimit.burst_tokens = 100\n";
/// let records = parse(text).unwrap();
/// assert_eq!(records[0]["name"], "lab");
/// assert_eq!(records[0]["limit"]["burst_tokens"], 100);
/// ```
///
/// # Errors
/// [`Error`] for malformed text; the daemon validates the records themselves.
pub fn parse(text: &str) -> Result<Vec<Fields>, Error> {
    let trimmed = text.trim_start();
    let json = trimmed.starts_with('{') || trimmed.starts_with("[{") || is_json_list(trimmed);
    if json {
        parse_json(text)
    } else {
        parse_ini(text)
    }
}

fn is_json_list(text: &str) -> bool {
    let Some(rest) = text.strip_prefix('[') else {
        return false;
    };
    let rest = rest.trim_start();
    rest.starts_with('{') || rest.starts_with(']')
}

fn parse_json(text: &str) -> Result<Vec<Fields>, Error> {
    let value: Value =
        serde_json::from_str(text).map_err(|error| Error::Json(error.to_string()))?;
    let list = match value {
        Value::Array(list) => list,
        Value::Object(mut fields) => match fields.remove("records") {
            Some(Value::Array(list)) => list,
            Some(_) => return Err(Error::Structure),
            None => vec![Value::Object(fields)],
        },
        _ => return Err(Error::Structure),
    };
    let records = list.into_iter().map(|value| match value {
        Value::Object(fields) => Ok(fields),
        _ => Err(Error::Structure),
    });
    records.collect()
}

fn parse_ini(text: &str) -> Result<Vec<Fields>, Error> {
    let ini = Ini::load_from_str(text).map_err(|error| Error::Ini(error.to_string()))?;
    let mut records = Vec::new();
    for (section, properties) in &ini {
        let section = section.unwrap_or_default().trim();
        if section.is_empty() && properties.is_empty() {
            continue;
        }
        let Some((kind, name)) = section.split_once(char::is_whitespace) else {
            return Err(Error::Section(section.into()));
        };
        let mut raw = Map::new();
        raw.insert("kind".into(), kind.into());
        raw.insert("name".into(), name.trim().into());
        if let Some(version) = properties.get("schema") {
            raw.insert("schema".into(), parse_number(version));
        }
        let known = schema::version(&raw).and_then(|version| schema::fields(kind, version));
        for (key, value) in properties.iter().filter(|(key, _)| *key != "schema") {
            let value = parse_value(known.unwrap_or_default(), key, value.trim());
            if !insert_dotted(&mut raw, key, value) {
                return Err(Error::DuplicateKey(section.into(), key.into()));
            }
        }
        records.push(raw);
    }
    Ok(records)
}

/// Inserts a value under a dotted key, creating groups as needed; returns `false` if the key is already set.
fn insert_dotted(raw: &mut Fields, key: &str, value: Value) -> bool {
    let Some((group, rest)) = key.split_once('.') else {
        return raw.insert(key.to_owned(), value).is_none();
    };
    let inner = raw
        .entry(group.to_owned())
        .or_insert_with(|| Value::Object(Map::new()));
    match inner {
        Value::Object(inner) => insert_dotted(inner, rest, value),
        _ => false,
    }
}

fn parse_value(known: &[Field], key: &str, text: &str) -> Value {
    let (head, rest) = key.split_once('.').unwrap_or((key, ""));
    let shape = known.iter().find(|field| field.name == head);
    match shape.map(|field| field.shape) {
        Some(Shape::Group(inner)) => parse_value(inner, rest, text),
        Some(Shape::Count(..)) => parse_number(text),
        Some(Shape::Flag) => parse_flag(text),
        Some(_) => text.into(),
        None if head == "revision" => parse_number(text),
        None => parse_flag(text),
    }
}

fn parse_number(text: &str) -> Value {
    text.parse::<u64>()
        .map_or_else(|_| text.into(), Value::from)
}

fn parse_flag(text: &str) -> Value {
    match text {
        "true" => true.into(),
        "false" => false.into(),
        _ => text.into(),
    }
}
