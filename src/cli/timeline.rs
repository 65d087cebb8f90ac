//! Timeline of one request from the logs of all daemons, with the state of the daemons when it arrived.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::line::Line;
use super::show;

/// Events that report a daemon's state, and the field that distinguishes several states of one kind.
const BELIEFS: [(&str, &str); 7] = [
    ("daemon: started", ""),
    ("config: in force", ""),
    ("config: zone", "zone"),
    ("peers: limits divided", ""),
    ("feed: lost", "table"),
    ("feed: regained", "table"),
    ("placer: lease taken", ""),
];

/// Events about endpoints; shown only for endpoints that the request was sent to.
const ENDPOINTS: [&str; 2] = ["endpoints: known", "endpoints: gone"];

/// Events about the placement of models; shown only for the request's model.
const PLACEMENT: [&str; 2] = ["placer: load", "placer: order"];

/// Number of the latest placement events to show, up to the request's last line.
const LAST_ORDERS: usize = 4;

/// Reason to show a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// State of a daemon or model when the request arrived.
    Belief,
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
pub fn of(lines: &[Line], request: &str) -> Vec<Entry> {
    let is_own = |line: &&Line| line.text("request").as_deref() == Some(request);
    let own: Vec<&Line> = lines.iter().filter(is_own).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let (from, until) = (first.timestamp, last.timestamp);
    let named = |field: &str| -> BTreeSet<String> {
        own.iter().filter_map(|line| line.text(field)).collect()
    };
    let (daemons, endpoints, models) = (daemons(&own), named("endpoint"), named("model"));
    let mut beliefs: BTreeMap<(String, &str, String), &Line> = BTreeMap::new();
    for line in lines.iter().take_while(|line| line.timestamp <= from) {
        let Some((event, key)) = belief(line, &endpoints) else {
            continue;
        };
        // The placement lease is fleet-wide state; all other states belong to one daemon.
        let of_all = event.starts_with("placer");
        if of_all || daemons.contains(&line.daemon) {
            let daemon = if of_all {
                String::new()
            } else {
                line.daemon.clone()
            };
            beliefs.insert((daemon, event, key), line);
        }
    }
    let orders = lines.iter().filter(|line| {
        let model = line.text("model").unwrap_or_default();
        PLACEMENT.contains(&&*line.event) && models.contains(&model) && line.timestamp <= until
    });
    let orders: Vec<&Line> = orders.collect();
    let recent = orders.len().saturating_sub(LAST_ORDERS);
    let beliefs = beliefs
        .into_values()
        .chain(orders[recent..].iter().copied());
    let entry = |part| {
        move |line: &Line| Entry {
            part,
            line: line.clone(),
        }
    };
    let mut entries: Vec<Entry> = beliefs.map(entry(Part::Belief)).collect();
    entries.extend(own.into_iter().map(entry(Part::Request)));
    entries.sort_by_key(|entry| (entry.line.timestamp, entry.part));
    entries
}

fn daemons(own: &[&Line]) -> BTreeSet<String> {
    own.iter().map(|line| line.daemon.clone()).collect()
}

/// Returns the kind of state that a line reports, and the value that distinguishes it within the kind.
fn belief(line: &Line, endpoints: &BTreeSet<String>) -> Option<(&'static str, String)> {
    if ENDPOINTS.contains(&&*line.event) {
        let endpoint = line.text("endpoint")?;
        return endpoints
            .contains(&endpoint)
            .then_some(("endpoints", endpoint));
    }
    let (event, field) = BELIEFS.iter().find(|(event, _)| *event == line.event)?;
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
    let own = entries.iter().find(|entry| entry.part == Part::Request);
    let zero = own.map_or(0, |entry| entry.line.timestamp) as i64;
    let rows = entries.iter().map(|entry| {
        let line = &entry.line;
        let mark = if entry.part == Part::Request {
            ">"
        } else {
            " "
        };
        vec![
            format!("{mark} {:+} ms", line.timestamp as i64 - zero),
            line.daemon.clone(),
            line.event.clone(),
            line.details(&["request"]),
        ]
    });
    show::table(&["time", "daemon", "event", "details"], rows)
}
