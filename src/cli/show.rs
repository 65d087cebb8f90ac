//! Human-readable tables.

use std::collections::BTreeSet;

use serde_json::Value;
use tabled::builder::Builder;
use tabled::settings::Style;

use crate::protocol::operator::{Explanation, Failure, Fleet};
use crate::state::schema::Fields;

/// Formats rows under a header.
pub fn table(header: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let mut builder = Builder::default();
    builder.push_record(header.iter().copied());
    for row in rows {
        builder.push_record(row);
    }
    builder.build().with(Style::blank()).to_string()
}

/// Formats records as one table for each kind, with one row for each record.
pub fn records(records: &[Fields]) -> String {
    let text = |raw: &Fields, field: &str| match raw.get(field) {
        None => "-".into(),
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
    };
    let kinds: BTreeSet<String> = records.iter().map(|raw| text(raw, "kind")).collect();
    let tables = kinds.iter().map(|kind| {
        let of_kind: Vec<&Fields> = records
            .iter()
            .filter(|r| text(r, "kind") == *kind)
            .collect();
        let fields: BTreeSet<&str> = of_kind
            .iter()
            .flat_map(|raw| raw.keys().map(String::as_str))
            .filter(|field| !["kind", "name", "digest"].contains(field))
            .collect();
        let mut header = vec![kind.as_str()];
        header.extend(&fields);
        let rows = of_kind.iter().map(|raw| {
            let rest = fields.iter().map(|field| text(raw, field));
            std::iter::once(text(raw, "name")).chain(rest).collect()
        });
        table(&header, rows)
    });
    tables.collect::<Vec<_>>().join("\n\n")
}

/// Formats the configuration revision in force at each zone and daemon.
pub fn fleet(fleet: &Fleet) -> String {
    let zones = fleet.zones.iter().map(|(name, zone)| {
        vec![
            name.to_string(),
            zone.revision.map_or("-".into(), |r| r.to_string()),
            format!("{} of {}", zone.confirmed, zone.daemons),
        ]
    });
    let daemons = fleet.daemons.iter().map(|status| {
        vec![
            status.address.to_string(),
            status.zone.to_string(),
            status.revision.to_string(),
            format_age(status.age_ms),
            if status.leaving { "leaving" } else { "serving" }.into(),
            status.version.clone(),
            status.unreadable.to_string(),
            join_or_dash(status.stale.iter().map(ToString::to_string)),
        ]
    });
    let silent = fleet.silent.iter().map(|(address, zone)| {
        let mut row = vec![address.to_string(), zone.to_string()];
        row.extend(["-", "-", "not confirmed", "-", "-", "-"].map(String::from));
        row
    });
    let bounds = fleet.max_stale_seconds.iter();
    let workspaces = bounds.map(|(name, bound)| vec![name.to_string(), bound.to_string()]);
    let everywhere = if fleet.everywhere {
        "in force everywhere"
    } else {
        "not in force everywhere"
    };
    let header = [
        "daemon",
        "zone",
        "revision",
        "age",
        "state",
        "version",
        "unreadable",
        "stale",
    ];
    [
        format!("revision {}, {everywhere}", fleet.revision),
        table(&["zone", "revision", "confirmed"], zones),
        table(&header, daemons.chain(silent)),
        table(&["workspace", "max_stale_seconds"], workspaces),
    ]
    .join("\n\n")
}

fn format_age(millis: Option<u64>) -> String {
    millis.map_or("never".into(), |millis| {
        format!("{}.{} s", millis / 1000, millis % 1000 / 100)
    })
}

fn join_or_dash(names: impl Iterator<Item = String>) -> String {
    let names: Vec<String> = names.collect();
    if names.is_empty() {
        return "-".into();
    }
    names.join(" ")
}

/// Formats the decisions about a request, grouped by daemon and oldest first.
pub fn explanation(explanation: &Explanation) -> String {
    let rows = explanation.daemons.iter().flat_map(|(daemon, decisions)| {
        decisions.iter().map(move |decision| {
            vec![
                daemon.clone(),
                format!("{:.3}", decision.at.as_secs_f64()),
                decision.part.to_string(),
                decision.workspace.as_deref().unwrap_or("-").into(),
                decision.candidates.to_string(),
                decision.choice.as_deref().unwrap_or("refused").into(),
                decision.reason.to_string(),
            ]
        })
    });
    let header = [
        "daemon",
        "uptime_s",
        "part",
        "workspace",
        "candidates",
        "choice",
        "reason",
    ];
    let mut text = table(&header, rows);
    if !explanation.silent.is_empty() {
        let silent = join_or_dash(explanation.silent.iter().map(ToString::to_string));
        text = format!("{text}\n\nnot answering: {silent}");
    }
    text
}

/// Lists the mistakes and conflicting fields of a refused change, one a line.
pub fn failure(failure: &Failure) -> String {
    let mistakes = failure.mistakes.iter().map(ToString::to_string);
    let differences = failure.differences.iter().map(|d| {
        let (record, field) = (&d.record, &d.field);
        format!("{record}: {field}: mine {}, theirs {}", d.mine, d.theirs)
    });
    let lines: Vec<String> = mistakes.chain(differences).collect();
    lines.join("\n")
}
