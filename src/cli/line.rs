//! Parser for the daemons' JSON log lines.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::error::Error;

/// One line of a daemon's log.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Line {
    /// Unix time in milliseconds, by the daemon's clock.
    pub timestamp: u64,
    /// Severity.
    pub level: String,
    /// Daemon that wrote the line.
    #[serde(default, rename(deserialize = "logger", serialize = "daemon"))]
    pub daemon: String,
    /// Event name, the line's message.
    #[serde(rename(deserialize = "payload", serialize = "event"))]
    pub event: String,
    /// Key-value pairs of the line.
    #[serde(default, rename(deserialize = "kv", serialize = "fields"))]
    pub fields: Map<String, Value>,
}

impl Line {
    /// Returns a field as text; strings come without quotes.
    pub fn text(&self, field: &str) -> Option<String> {
        self.fields.get(field).map(|value| match value {
            Value::String(text) => text.clone(),
            value => value.to_string(),
        })
    }

    /// Returns a field as an unsigned integer.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field).and_then(Value::as_u64)
    }

    /// Formats all fields except `but` as `key=value` pairs.
    pub fn details(&self, excluded: &[&str]) -> String {
        let fields = self
            .fields
            .keys()
            .filter(|key| !excluded.contains(&&***key));
        let pairs = fields.map(|key| format!("{key}={}", self.text(key).unwrap_or_default()));
        pairs.collect::<Vec<_>>().join(" ")
    }
}

/// Log lines sorted by time, and the number of lines that were skipped.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Lines {
    /// Log lines, oldest first.
    pub all: Vec<Line>,
    /// Number of non-empty lines that are not log lines of a daemon.
    pub skipped: usize,
}

/// Parses log lines; text before the first brace, such as a log collector's prefix, is ignored.
///
/// ```
/// use persimmoncroft::cli::line::parse;
/// let text = r#"d1 {"level":"info","timestamp":5,"payload":"feed: lost","kv":{"table":"Operator"},"logger":"d1"}
/// no line of a daemon"#;
/// let lines = parse(text);
/// assert_eq!((lines.all.len(), lines.skipped), (1, 1));
/// assert_eq!(lines.all[0].text("table").unwrap(), "Operator");
/// ```
pub fn parse(text: &str) -> Lines {
    let mut lines = Lines::default();
    for raw in text.lines() {
        let record = raw
            .find('{')
            .map(|start| serde_json::from_str(&raw[start..]));
        match record {
            Some(Ok(line)) => lines.all.push(line),
            _ if raw.trim().is_empty() => {}
            _ => lines.skipped += 1,
        }
    }
    lines.all.sort_by_key(|line: &Line| line.timestamp);
    lines
}

/// Reads log lines from files, and from all files in directories (not recursively).
///
/// # Errors
/// [`Error::Usage`] when a file cannot be read or no log line of a daemon is found.
pub fn read(paths: &[PathBuf]) -> Result<Lines, Error> {
    let mut merged = Lines::default();
    for path in paths {
        for file in list_files(path)? {
            let bytes = std::fs::read(&file).map_err(|error| read_error(&file, &error))?;
            let lines = parse(&String::from_utf8_lossy(&bytes));
            merged.all.extend(lines.all);
            merged.skipped += lines.skipped;
        }
    }
    if merged.all.is_empty() {
        return Err(Error::Usage(
            "the files contain no log line of a daemon".into(),
        ));
    }
    merged.all.sort_by_key(|line| line.timestamp);
    Ok(merged)
}

fn list_files(path: &Path) -> Result<Vec<PathBuf>, Error> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let entries = std::fs::read_dir(path).map_err(|error| read_error(path, &error))?;
    let mut files = Vec::new();
    for entry in entries {
        let entry = entry.map_err(|error| read_error(path, &error))?;
        if entry.path().is_file() {
            files.push(entry.path());
        }
    }
    files.sort();
    Ok(files)
}

fn read_error(path: &Path, error: &std::io::Error) -> Error {
    Error::Usage(format!("{}: {error}", path.display()))
}
