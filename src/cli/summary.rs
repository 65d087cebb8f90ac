//! Statistics over the logs of all daemons.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use plotters::prelude::*;
use serde::Serialize;

use super::line::{Line, Lines};
use super::show;

/// Events that the plot counts for each second, with their colours.
const PLOTTED_EVENTS: [(&str, RGBColor); 4] = [
    ("relay: refused", RED),
    ("stream: late", BLUE),
    ("stream: broken", MAGENTA),
    ("relay: unreachable", BLACK),
];

/// Width and height of a plot, in pixels.
const PLOT_SIZE_PIXELS: (u32, u32) = (1000, 400);

/// Percentiles of the latency table.
const PERCENTILES: [usize; 3] = [50, 95, 99];

/// Time to the first byte of sampled responses on one route.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Number of sampled responses.
    pub samples: usize,
    /// Median, 95th and 99th percentile, in milliseconds.
    pub percentiles_ms: Vec<u64>,
}

/// Statistics of a set of log lines.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Unix times of the first and last line, in milliseconds.
    pub span_ms: (u64, u64),
    /// Number of daemons that wrote lines.
    pub daemons: usize,
    /// Number of lines by event.
    pub events: BTreeMap<String, usize>,
    /// Number of refused requests by status and reason.
    pub refusals: BTreeMap<String, usize>,
    /// Number of broken streams by reason, and whether they were resumed or why not.
    pub broken_streams: BTreeMap<String, usize>,
    /// Number of lines that report a failed, silent, refusing or unreachable endpoint, by endpoint.
    pub endpoints: BTreeMap<String, usize>,
    /// Number of daemons that put each configuration version in force.
    pub configurations: BTreeMap<u64, usize>,
    /// Unix times in milliseconds at which a daemon took the placement lease, and the daemon, oldest first.
    pub leases: Vec<(u64, String)>,
    /// Latency by route.
    pub latencies: BTreeMap<String, Latency>,
    /// Number of lines that the daemons dropped to limit the log rate.
    pub dropped: u64,
    /// Number of lines that could not be parsed.
    pub skipped: usize,
}

/// Summarizes log lines.
pub fn summarize(lines: &Lines) -> Summary {
    let first = lines.all.first().map_or(0, |line| line.timestamp);
    let last = lines.all.last().map_or(0, |line| line.timestamp);
    let daemons: BTreeSet<&str> = lines.all.iter().map(|line| &*line.daemon).collect();
    let mut summary = Summary {
        span_ms: (first, last),
        daemons: daemons.len(),
        skipped: lines.skipped,
        ..Summary::default()
    };
    let mut first_byte_times: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for line in &lines.all {
        add_line(&mut summary, &mut first_byte_times, line);
    }
    for (route, mut first_byte_times) in first_byte_times {
        first_byte_times.sort_unstable();
        let percentile = |percent| first_byte_times[(first_byte_times.len() - 1) * percent / 100];
        let latency = Latency {
            samples: first_byte_times.len(),
            percentiles_ms: PERCENTILES.map(percentile).to_vec(),
        };
        summary.latencies.insert(route, latency);
    }
    summary
}

fn add_line(summary: &mut Summary, first_byte_times: &mut BTreeMap<String, Vec<u64>>, line: &Line) {
    let text = |field| line.text(field).unwrap_or_else(|| "-".into());
    *summary.events.entry(line.event.clone()).or_default() += 1;
    match &*line.event {
        "relay: refused" => {
            let key = format!("{} {}", text("status"), text("reason"));
            *summary.refusals.entry(key).or_default() += 1;
        }
        "stream: broken" => {
            let key = match &*text("resumed") {
                "true" => format!("{}, went on", text("reason")),
                _ => format!("{}, {}", text("reason"), text("because")),
            };
            *summary.broken_streams.entry(key).or_default() += 1;
        }
        "relay: unreachable" | "relay: broken" | "relay: silent" | "relay: turned_away" => {
            *summary.endpoints.entry(text("endpoint")).or_default() += 1;
        }
        "config: in force" => {
            let version = line.number("version").unwrap_or_default();
            *summary.configurations.entry(version).or_default() += 1;
        }
        "placer: lease taken" => {
            summary.leases.push((line.timestamp, line.daemon.clone()));
        }
        "relay: answered" => {
            let first = line.number("first_ms").unwrap_or_default();
            first_byte_times
                .entry(text("route"))
                .or_default()
                .push(first);
        }
        "journal: lines dropped" => summary.dropped += line.number("lines").unwrap_or_default(),
        _ => {}
    }
}

/// Formats a summary as tables.
pub fn tables(summary: &Summary) -> String {
    let counts = |title: &str, counts: &BTreeMap<String, usize>| {
        let mut rows: Vec<(&String, &usize)> = counts.iter().collect();
        rows.sort_by(|a, b| b.1.cmp(a.1).then(a.0.cmp(b.0)));
        let rows = rows
            .into_iter()
            .map(|(key, count)| vec![key.clone(), count.to_string()]);
        show::table(&[title, "lines"], rows)
    };
    let (first, last) = summary.span_ms;
    let latencies = summary.latencies.iter().map(|(route, latency)| {
        let percentiles = latency.percentiles_ms.iter().map(u64::to_string);
        let row = [route.clone(), latency.samples.to_string()];
        row.into_iter().chain(percentiles).collect()
    });
    let configurations = summary.configurations.iter();
    let configurations =
        configurations.map(|(version, count)| vec![version.to_string(), count.to_string()]);
    let leases = summary.leases.iter().map(|(at, daemon)| {
        let seconds = at.saturating_sub(first) as f64 / 1000.0;
        vec![format!("{seconds:.1} s"), daemon.clone()]
    });
    [
        format!(
            "{} daemons, {:.1} s, {} lines left out by daemons, {} not readable",
            summary.daemons,
            (last - first) as f64 / 1000.0,
            summary.dropped,
            summary.skipped
        ),
        counts("event", &summary.events),
        counts("refusal", &summary.refusals),
        counts("broken stream", &summary.broken_streams),
        counts("failing endpoint", &summary.endpoints),
        show::table(&["configuration", "daemons"], configurations),
        show::table(&["lease taken at", "by"], leases),
        show::table(
            &["route", "samples", "p50 ms", "p95 ms", "p99 ms"],
            latencies,
        ),
    ]
    .join("\n\n")
}

/// Plots refusals, late and broken streams and unreachable endpoints for each second, as an SVG file.
///
/// # Errors
/// A message with the path and the cause if the file cannot be drawn or written.
pub fn plot(lines: &[Line], path: &Path) -> Result<(), String> {
    draw_plot(lines, path).map_err(|error| format!("{}: {error}", path.display()))
}

fn draw_plot(lines: &[Line], path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let first = lines.first().map_or(0, |line| line.timestamp);
    let last = lines.last().map_or(0, |line| line.timestamp);
    let seconds = ((last - first) / 1000) as usize + 1;
    let counts = PLOTTED_EVENTS.map(|(event, colour)| {
        let mut counts = vec![0_u32; seconds];
        for line in lines.iter().filter(|line| line.event == event) {
            counts[((line.timestamp - first) / 1000) as usize] += 1;
        }
        (event, colour, counts)
    });
    let max_count = counts.iter().flat_map(|(_, _, counts)| counts).max();
    let max_count = max_count.copied().unwrap_or_default().max(1);
    let area = SVGBackend::new(path, PLOT_SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0..seconds, 0..max_count)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("lines a second")
        .draw()?;
    for (event, colour, counts) in counts {
        let points = counts.into_iter().enumerate();
        let series = chart.draw_series(LineSeries::new(points, &colour))?;
        series
            .label(event)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
    }
    chart.configure_series_labels().draw()?;
    area.present()?;
    Ok(())
}
