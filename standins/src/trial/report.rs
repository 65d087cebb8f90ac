//! Formats verdicts as tables and JSON.

use serde_json::Value;
use tabled::builder::Builder;
use tabled::settings::Style;

use super::run::Exchange;
use super::verdict::{MUST_BE_ZERO, Verdict};

/// Formats a verdict as a JSON object on one line.
pub fn json(verdict: &Verdict) -> String {
    serde_json::to_string(verdict).unwrap_or_default()
}

/// Formats a table with one column per verdict; ` !` marks nonzero counts that must be zero.
pub fn table(verdicts: &[Verdict]) -> String {
    let mut builder = Builder::default();
    let columns: Vec<Vec<(String, String)>> = verdicts.iter().map(column).collect();
    let Some(first) = columns.first() else {
        return String::new();
    };
    for (row, (name, _)) in first.iter().enumerate() {
        let values = columns.iter().map(|column| column[row].1.clone());
        builder.push_record(std::iter::once(name.clone()).chain(values));
    }
    builder.build().with(Style::sharp()).to_string()
}

/// Prints a request that was within its rate but not attained.
pub fn print_failure(exchange: &Exchange) {
    let (arrival, outcome) = (&exchange.arrival, &exchange.outcome);
    if exchange.attained() || !arrival.within_rate {
        return;
    }
    println!(
        "{:.3}s {} status={} code={} ended={} right={} total={}ms daemon={}",
        exchange.sent.as_secs_f64(),
        arrival.tag,
        outcome
            .status
            .map_or("-".into(), |status| status.to_string()),
        outcome.error_code,
        outcome.completed,
        outcome.correct,
        outcome.total_time.as_millis(),
        outcome.daemon
    );
}

/// Returns the names of the nonzero counts that must be zero.
pub fn violations(verdict: &Verdict) -> Vec<String> {
    let value = serde_json::to_value(verdict).unwrap_or_default();
    let violated = MUST_BE_ZERO
        .iter()
        .filter(|name| value[**name].as_u64().unwrap_or(0) > 0);
    violated.map(|name| (*name).to_owned()).collect()
}

fn column(verdict: &Verdict) -> Vec<(String, String)> {
    let Ok(Value::Object(fields)) = serde_json::to_value(verdict) else {
        return Vec::new();
    };
    let violated = violations(verdict);
    let text = json(verdict);
    let mut fields: Vec<(String, Value)> = fields.into_iter().collect();
    fields.sort_by_key(|(name, _)| text.find(&format!("\"{name}\":")));
    let rows = fields.into_iter().map(|(name, value)| {
        let suffix = if violated.contains(&name) { " !" } else { "" };
        let text = match &value {
            Value::Null => "-".to_owned(),
            Value::String(text) => text.clone(),
            Value::Number(number) if number.is_f64() => {
                format!("{:.4}", number.as_f64().unwrap_or_default())
            }
            other => other.to_string(),
        };
        (name, text + suffix)
    });
    rows.collect()
}
