//! Timeline of one request from the logs of all daemons, with the state of the daemons when it arrived.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::line::Line;
use super::show;

/// Events that report a daemon's state, and the field that distinguishes several states of one kind.
const STATE_EVENTS: [(&str, &str); 9] = [
    ("daemon: started", ""),
    ("config: in force", ""),
    ("config: zone", "zone"),
    ("endpoints: stated", "endpoint"),
    ("peers: limits divided", ""),
    ("feed: age", "table"),
    ("feed: lost", "table"),
    ("feed: regained", "table"),
    ("placer: lease taken", ""),
];

/// Events about endpoints; shown only for endpoints that the request was sent to.
const ENDPOINT_EVENTS: [&str; 2] = ["endpoints: known", "endpoints: gone"];

/// Events about the placement of models; shown only for the request's model.
const PLACEMENT_EVENTS: [&str; 2] = ["placer: load", "placer: order"];

/// Number of the latest placement events to show, up to the request's last line.
const MAX_PLACEMENT_EVENTS: usize = 4;

/// Reason to show a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// State of a daemon or model when the request arrived.
    #[serde(rename = "belief")]
    State,
    /// Progress of the request itself.
    Request,
}

/// One line of a timeline.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Entry {
    /// Reason to show the line.
    pub part: Part,
    /// The line.
    #[serde(flatten)]
    pub line: Line,
}

/// Returns the timeline of a request; empty if no line mentions it.
///
/// Each attempt of a caller has its own request id and its own timeline.
pub fn for_request(lines: &[Line], request: &str) -> Vec<Entry> {
    let mentions_request = |line: &&Line| line.text("request").as_deref() == Some(request);
    let request_lines: Vec<&Line> = lines.iter().filter(mentions_request).collect();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return Vec::new();
    };
    let (start, end) = (first.timestamp, last.timestamp);
    let field_values = |field: &str| -> BTreeSet<String> {
        request_lines
            .iter()
            .filter_map(|line| line.text(field))
            .collect()
    };
    let (daemons, endpoints, models) = (
        daemons(&request_lines),
        field_values("endpoint"),
        field_values("model"),
    );
    let mut states: BTreeMap<(String, &str, String), &Line> = BTreeMap::new();
    for line in lines.iter().take_while(|line| line.timestamp <= start) {
        let Some((event, key)) = state_key(line, &endpoints) else {
            continue;
        };
        // The placement lease is fleet-wide state; all other states belong to one daemon.
        let fleet_wide = event.starts_with("placer");
        if fleet_wide || daemons.contains(&line.daemon) {
            let daemon = if fleet_wide {
                String::new()
            } else {
                line.daemon.clone()
            };
            states.insert((daemon, event, key), line);
        }
    }
    let placements = lines.iter().filter(|line| {
        let model = line.text("model").unwrap_or_default();
        PLACEMENT_EVENTS.contains(&&*line.event) && models.contains(&model) && line.timestamp <= end
    });
    let placements: Vec<&Line> = placements.collect();
    let skipped = placements.len().saturating_sub(MAX_PLACEMENT_EVENTS);
    let states = states
        .into_values()
        .chain(placements[skipped..].iter().copied());
    let entry = |part| {
        move |line: &Line| Entry {
            part,
            line: line.clone(),
        }
    };
    let mut entries: Vec<Entry> = states.map(entry(Part::State)).collect();
    entries.extend(request_lines.into_iter().map(entry(Part::Request)));
    entries.sort_by_key(|entry| (entry.line.timestamp, entry.part));
    entries
}

fn daemons(lines: &[&Line]) -> BTreeSet<String> {
    lines.iter().map(|line| line.daemon.clone()).collect()
}

/// Returns the kind of state that a line reports, and the value that distinguishes it within the kind.
fn state_key(line: &Line, endpoints: &BTreeSet<String>) -> Option<(&'static str, String)> {
    if ENDPOINT_EVENTS.contains(&&*line.event) {
        let endpoint = line.text("endpoint")?;
        return endpoints
            .contains(&endpoint)
            .then_some(("endpoints", endpoint));
    }
    let (event, field) = STATE_EVENTS
        .iter()
        .find(|(event, _)| *event == line.event)?;
    // Losing and regaining a feed are one kind of state, so that the later line replaces the earlier.
    let kind = if event.starts_with("feed") {
        "feed"
    } else {
        event
    };
    Some((kind, line.text(field).unwrap_or_default()))
}

/// Formats a timeline as a table; times are relative to the request's first line.
pub fn table(entries: &[Entry]) -> String {
    let first = entries.iter().find(|entry| entry.part == Part::Request);
    let start_ms = first.map_or(0, |entry| entry.line.timestamp) as i64;
    let rows = entries.iter().map(|entry| {
        let line = &entry.line;
        let marker = if entry.part == Part::Request {
            ">"
        } else {
            " "
        };
        vec![
            format!("{marker} {:+} ms", line.timestamp as i64 - start_ms),
            line.daemon.clone(),
            line.event.clone(),
            line.details(&["request"]),
        ]
    });
    show::table(&["time", "daemon", "event", "details"], rows)
}
