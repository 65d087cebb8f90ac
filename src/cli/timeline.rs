//! What all daemons logged about one request, with what they believed when it came.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::line::Line;
use super::show;

/// Events that say what a daemon believes, and the field that tells several beliefs of a kind apart.
const BELIEFS: [(&str, &str); 7] = [
    ("daemon: started", ""),
    ("config: in force", ""),
    ("config: zone", "zone"),
    ("peers: limits divided", ""),
    ("feed: lost", "table"),
    ("feed: regained", "table"),
    ("placer: lease taken", ""),
];

/// Events about an endpoint that matter to a request which met it.
const ENDPOINTS: [&str; 2] = ["endpoints: known", "endpoints: gone"];

/// Events about a model that matter to a request for it.
const PLACEMENT: [&str; 2] = ["placer: load", "placer: order"];

/// Orders for the request's model before its end that are shown.
const LAST_ORDERS: usize = 4;

/// Why a line is shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// It tells what was believed when the request came.
    Belief,
    /// It tells what became of the request.
    Request,
}

/// One line of a timeline.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Entry {
    /// Why it is shown.
    pub part: Part,
    /// The line.
    #[serde(flatten)]
    pub line: Line,
}

/// Returns the timeline of a request; empty if no line names it.
///
/// A caller's next attempt has another identifier and another timeline.
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
        // Who places models concerns all daemons; all else is each daemon's own belief.
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

/// The kind of belief that a line tells, and what tells it apart from others of its kind.
fn belief(line: &Line, endpoints: &BTreeSet<String>) -> Option<(&'static str, String)> {
    if ENDPOINTS.contains(&&*line.event) {
        let endpoint = line.text("endpoint")?;
        return endpoints
            .contains(&endpoint)
            .then_some(("endpoints", endpoint));
    }
    let (event, field) = BELIEFS.iter().find(|(event, _)| *event == line.event)?;
    // A lost and a regained feed are one belief: the later one holds.
    let kind = if event.starts_with("feed") {
        "feed"
    } else {
        event
    };
    Some((kind, line.text(field).unwrap_or_default()))
}

/// Draws a timeline; times count from the request's first line.
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
