//! Fields of each record kind by schema version, and their validation.

use std::net::SocketAddr;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// A record as JSON fields.
pub type Fields = Map<String, Value>;

/// Highest schema version that this program supports, over all kinds.
pub const NEWEST_VERSION: u64 = 2;

/// Fields that every record may have in addition to those of its kind.
pub const COMMON_FIELDS: [&str; 4] = ["kind", "name", "schema", "revision"];

const MAX_NAME_BYTES: usize = 128;
const MAX_COUNT: u64 = 1 << 48;

/// Type of a field's value.
#[derive(Debug, Clone, Copy)]
pub enum Shape {
    /// Printable text without whitespace.
    Name,
    /// An integer in an inclusive range.
    Count(u64, u64),
    /// `true` or `false`.
    Flag,
    /// An IP address and port.
    Address,
    /// One of several words.
    Choice(&'static [&'static str]),
    /// A SHA-256 in lower-case hexadecimal.
    Digest,
    /// A path that begins with `/`.
    Path,
    /// A group of fields.
    Group(&'static [Field]),
}

/// Definition of one field of a kind.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    /// Name of the field.
    pub name: &'static str,
    /// Type of the value.
    pub shape: Shape,
    /// Whether a record without the field is rejected.
    pub required: bool,
}

/// One mistake in a record.
#[derive(Debug, Clone, Display, PartialEq, Eq, Deserialize, Serialize)]
#[displaydoc("{record}: {field}: expected {expected}, found {value}")]
pub struct Mistake {
    /// Path of the record, `kind/name`.
    pub record: String,
    /// Name of the field.
    pub field: String,
    /// Value found, as JSON.
    pub value: String,
    /// Description of the allowed values.
    pub expected: String,
}

impl Mistake {
    /// Creates a mistake from the value found and a description of the allowed values.
    pub fn new(record: &str, field: &str, value: &Value, expected: impl Into<String>) -> Self {
        Self {
            record: record.into(),
            field: field.into(),
            value: value.to_string(),
            expected: expected.into(),
        }
    }
}

/// Names of all record kinds.
pub const KINDS: [&str; 7] = [
    "adapter",
    "endpoint",
    "key",
    "model",
    "route",
    "workspace",
    "zone",
];

const fn required(name: &'static str, shape: Shape) -> Field {
    let required = true;
    Field {
        name,
        shape,
        required,
    }
}

const fn optional(name: &'static str, shape: Shape) -> Field {
    let required = false;
    Field {
        name,
        shape,
        required,
    }
}

const ANY_COUNT: Shape = Shape::Count(0, MAX_COUNT);
const POSITIVE_COUNT: Shape = Shape::Count(1, MAX_COUNT);
const SMALL_COUNT: Shape = Shape::Count(1, 1 << 20);

const MODEL: &[Field] = &[
    optional("version", POSITIVE_COUNT),
    required("memory_mib", POSITIVE_COUNT),
    optional("min_replicas", SMALL_COUNT),
];
const ADAPTER: &[Field] = &[
    required("model", Shape::Name),
    required("memory_mib", POSITIVE_COUNT),
];
const LIMIT: &[Field] = &[
    required("rate_tokens_per_second", POSITIVE_COUNT),
    required("burst_tokens", POSITIVE_COUNT),
];
const WORKSPACE_V1: &[Field] = &[
    required("rate_tokens_per_second", POSITIVE_COUNT),
    required("burst_tokens", POSITIVE_COUNT),
    optional("weight", SMALL_COUNT),
    optional("max_stale_seconds", POSITIVE_COUNT),
];
const WORKSPACE_V2: &[Field] = &[
    required("limit", Shape::Group(LIMIT)),
    optional("weight", SMALL_COUNT),
    optional("max_stale_seconds", POSITIVE_COUNT),
];
const KEY: &[Field] = &[
    required("digest", Shape::Digest),
    required("workspace", Shape::Name),
    optional("withdrawn", Shape::Flag),
];
const ZONE: &[Field] = &[
    optional("region", Shape::Name),
    optional("out", Shape::Flag),
];
const ENDPOINT: &[Field] = &[
    required("zone", Shape::Name),
    required("address", Shape::Address),
    required("type", Shape::Choice(&["engine", "service"])),
    optional("service", Shape::Name),
    optional("memory_mib", ANY_COUNT),
    optional("adapter_pool_mib", ANY_COUNT),
    required("slots", SMALL_COUNT),
    optional("cold_slots", SMALL_COUNT),
    optional("ramp_seconds", ANY_COUNT),
    optional("fenced", Shape::Flag),
    optional("leaving", Shape::Flag),
];
const ROUTE: &[Field] = &[
    required("prefix", Shape::Path),
    required("service", Shape::Name),
    optional("idempotent", Shape::Flag),
    optional("open", Shape::Flag),
    optional("cost_tokens", ANY_COUNT),
];

/// Returns the fields of a kind at a schema version; `None` if this program does not support it.
///
/// ```
/// use persimmoncroft::state::schema::fields;
/// assert!(fields("workspace", 2).is_some());
/// assert!(fields("workspace", 3).is_none());
/// ```
pub fn fields(kind: &str, version: u64) -> Option<&'static [Field]> {
    match (kind, version) {
        ("model", 1) => Some(MODEL),
        ("adapter", 1) => Some(ADAPTER),
        ("workspace", 1) => Some(WORKSPACE_V1),
        ("workspace", 2) => Some(WORKSPACE_V2),
        ("key", 1) => Some(KEY),
        ("zone", 1) => Some(ZONE),
        ("endpoint", 1) => Some(ENDPOINT),
        ("route", 1) => Some(ROUTE),
        _ => None,
    }
}

/// Returns the supported schema versions of a kind.
pub fn versions(kind: &str) -> Vec<u64> {
    (1..=NEWEST_VERSION)
        .filter(|version| fields(kind, *version).is_some())
        .collect()
}

/// Returns the schema version of a record: 1 if it has none, `None` if it is not an unsigned integer.
pub fn version(raw: &Fields) -> Option<u64> {
    match raw.get("schema") {
        None => Some(1),
        Some(value) => value.as_u64(),
    }
}

/// Returns the path of a record, `kind/name`, as in its table key.
pub fn path(raw: &Fields) -> String {
    let text = |field| raw.get(field).and_then(Value::as_str).unwrap_or("?");
    format!("{}/{}", text("kind"), text("name"))
}

/// Validates every known field of a record.
///
/// # Errors
/// All mistakes found.
pub fn check(raw: &Fields) -> Result<(), Vec<Mistake>> {
    let record = path(raw);
    let value_of = |field: &str| raw.get(field).unwrap_or(&Value::Null);
    let kind = value_of("kind").as_str().unwrap_or_default();
    if !KINDS.contains(&kind) {
        let expected = format!("one of {}", KINDS.join(", "));
        return Err(vec![Mistake::new(
            &record,
            "kind",
            value_of("kind"),
            expected,
        )]);
    }
    let Some(known) = version(raw).and_then(|version| fields(kind, version)) else {
        let expected = format!("one of the schema versions {:?}", versions(kind));
        let mistake = Mistake::new(&record, "schema", value_of("schema"), expected);
        return Err(vec![mistake]);
    };
    let mut mistakes = Vec::new();
    check_value(
        &record,
        "name",
        Shape::Name,
        value_of("name"),
        &mut mistakes,
    );
    check_fields(&record, "", known, raw, &mut mistakes);
    if mistakes.is_empty() {
        Ok(())
    } else {
        Err(mistakes)
    }
}

/// Returns the names of a record's unknown fields; fields in groups are written as `group.field`.
pub fn unknown(raw: &Fields) -> Vec<String> {
    let kind = raw.get("kind").and_then(Value::as_str).unwrap_or_default();
    let Some(known) = version(raw).and_then(|version| fields(kind, version)) else {
        return Vec::new();
    };
    let mut names = Vec::new();
    collect_unknown("", known, raw, &mut names);
    names
}

fn collect_unknown(prefix: &str, known: &[Field], raw: &Fields, names: &mut Vec<String>) {
    for (name, value) in raw {
        if prefix.is_empty() && COMMON_FIELDS.contains(&name.as_str()) {
            continue;
        }
        match known.iter().find(|field| field.name == name) {
            None => names.push(format!("{prefix}{name}")),
            Some(field) => {
                if let (Shape::Group(inner), Value::Object(group)) = (field.shape, value) {
                    collect_unknown(&format!("{prefix}{name}."), inner, group, names);
                }
            }
        }
    }
}

fn check_fields(
    record: &str,
    prefix: &str,
    known: &[Field],
    raw: &Fields,
    mistakes: &mut Vec<Mistake>,
) {
    for field in known {
        let name = format!("{prefix}{}", field.name);
        match raw.get(field.name) {
            None | Some(Value::Null) if !field.required => {}
            None => mistakes.push(Mistake::new(
                record,
                &name,
                &Value::Null,
                expectation(field.shape),
            )),
            Some(value) => check_value(record, &name, field.shape, value, mistakes),
        }
    }
}

fn check_value(record: &str, name: &str, shape: Shape, value: &Value, mistakes: &mut Vec<Mistake>) {
    if let (Shape::Group(inner), Value::Object(group)) = (shape, value) {
        check_fields(record, &format!("{name}."), inner, group, mistakes);
    } else if !allows(shape, value) {
        mistakes.push(Mistake::new(record, name, value, expectation(shape)));
    }
}

fn allows(shape: Shape, value: &Value) -> bool {
    let text = value.as_str();
    match shape {
        Shape::Name => text.is_some_and(is_name),
        Shape::Count(low, high) => value
            .as_u64()
            .is_some_and(|count| (low..=high).contains(&count)),
        Shape::Flag => value.is_boolean(),
        Shape::Address => text.is_some_and(|text| text.parse::<SocketAddr>().is_ok()),
        Shape::Choice(words) => text.is_some_and(|text| words.contains(&text)),
        Shape::Digest => text.is_some_and(is_digest),
        Shape::Path => text.is_some_and(|text| text.starts_with('/') && is_name(text)),
        Shape::Group(_) => false,
    }
}

fn is_name(text: &str) -> bool {
    let printable = |c: char| !c.is_whitespace() && !c.is_control();
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.chars().all(printable)
}

fn is_digest(text: &str) -> bool {
    let is_hex_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    text.len() == 64 && text.chars().all(is_hex_digit)
}

/// Describes the values that a shape allows.
pub fn expectation(shape: Shape) -> String {
    match shape {
        Shape::Name => format!("text of 1 to {MAX_NAME_BYTES} bytes without blanks"),
        Shape::Count(low, high) => format!("a whole number from {low} to {high}"),
        Shape::Flag => "true or false".into(),
        Shape::Address => "IP:PORT".into(),
        Shape::Choice(words) => format!("one of {}", words.join(", ")),
        Shape::Digest => "64 lower-case hexadecimal digits, the SHA-256 of the key".into(),
        Shape::Path => "a path that begins with / and has no blanks".into(),
        Shape::Group(fields) => {
            let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
            format!("a group of {}", names.join(", "))
        }
    }
}
