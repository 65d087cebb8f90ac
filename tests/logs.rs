//! Timelines and summaries built from the logs of several daemons.

use std::io::Write;
use std::process::Command;
use std::sync::Arc;

use persimmoncroft::cli::line::{Line, parse};
use persimmoncroft::cli::summary;
use persimmoncroft::cli::timeline::{self, Part};
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{Sink, WriteSink};

/// Log lines of two daemons: a stream resumes after the loss of its endpoint, and another request is refused.
const LOGS: &str = r#"
{"level":"info","timestamp":1000,"payload":"daemon: started","kv":{"name":"d1","zone":"a"},"logger":"d1","tid":1}
{"level":"info","timestamp":1000,"payload":"daemon: started","kv":{"name":"d2","zone":"b"},"logger":"d2","tid":1}
{"level":"info","timestamp":1010,"payload":"config: in force","kv":{"version":3,"before":0},"logger":"d1","tid":1}
{"level":"info","timestamp":1011,"payload":"config: in force","kv":{"version":3,"before":0},"logger":"d2","tid":1}
{"level":"info","timestamp":1012,"payload":"endpoints: known","kv":{"endpoint":"e1","zone":"a"},"logger":"d1","tid":1}
{"level":"info","timestamp":1012,"payload":"endpoints: known","kv":{"endpoint":"e9","zone":"a"},"logger":"d1","tid":1}
{"level":"info","timestamp":1012,"payload":"feed: age","kv":{"table":"Endpoints","overdue":true,"age_ms":2100},"logger":"d1","tid":1}
{"level":"info","timestamp":1012,"payload":"endpoints: stated","kv":{"endpoint":"e7","limit_per_second":4.5,"leaving":false,"source":"peer"},"logger":"d1","tid":1}
{"level":"info","timestamp":1012,"payload":"endpoints: stated","kv":{"endpoint":"e7","limit_per_second":6.5,"leaving":false,"source":"peer"},"logger":"d2","tid":1}
{"level":"info","timestamp":1013,"payload":"placer: lease taken","kv":{"fence":1},"logger":"d2","tid":1}
{"level":"warn","timestamp":1500,"payload":"feed: lost","kv":{"table":"Operator"},"logger":"d1","tid":1}
{"level":"info","timestamp":1700,"payload":"feed: regained","kv":{"table":"Operator"},"logger":"d1","tid":1}
{"level":"info","timestamp":1800,"payload":"placer: load","kv":{"model":"m1","engine":"e2","done":true},"logger":"d2"}
{"level":"info","timestamp":1900,"payload":"config: in force","kv":{"version":5,"before":3},"logger":"d1","tid":1}
{"level":"info","timestamp":2000,"payload":"relay: silent","kv":{"request":"r1","endpoint":"e1","runs":1},"logger":"d1"}
{"level":"info","timestamp":2050,"payload":"stream: broken","kv":{"request":"r1","reason":"stream_broken","endpoint":"e1","last_event":4,"resumed":true,"because":"-","runs":2},"logger":"d1"}
{"level":"info","timestamp":2060,"payload":"stream: late","kv":{"request":"r1","route":"draft","model":"m1","first_ms":900},"logger":"d1"}
{"level":"info","timestamp":2070,"payload":"relay: refused","kv":{"request":"r2","status":503,"reason":"no_model","retry_after_ms":4500},"logger":"d2"}
{"level":"info","timestamp":2080,"payload":"relay: answered","kv":{"request":"r3","route":"draft","status":200,"first_ms":40,"runs":1},"logger":"d2"}
{"level":"info","timestamp":2090,"payload":"relay: answered","kv":{"request":"r4","route":"draft","status":200,"first_ms":80,"runs":1},"logger":"d2"}
{"level":"info","timestamp":4000,"payload":"journal: lines dropped","kv":{"lines":7,"over_ms":1000},"logger":"d2"}
"#;

#[test]
fn timeline_contains_the_request_and_the_state_of_its_daemon() {
    let lines = parse(LOGS).all;
    let entries = timeline::for_request(&lines, "r1");
    let events_of = |part| -> Vec<(&str, u64)> {
        let entries = entries.iter().filter(|entry| entry.part == part);
        entries
            .map(|entry| (&*entry.line.event, entry.line.timestamp))
            .collect()
    };
    assert_eq!(
        events_of(Part::Request),
        [
            ("relay: silent", 2000),
            ("stream: broken", 2050),
            ("stream: late", 2060)
        ]
    );
    // The latest state of each kind, only of this daemon except for placement, and only of the request's endpoints.
    assert_eq!(
        events_of(Part::State),
        [
            ("daemon: started", 1000),
            ("endpoints: known", 1012),
            ("endpoints: stated", 1012),
            ("feed: age", 1012),
            ("placer: lease taken", 1013),
            ("feed: regained", 1700),
            ("placer: load", 1800),
            ("config: in force", 1900),
        ]
    );
    let table = timeline::table(&entries);
    assert!(
        table.contains("> +50 ms") && table.contains("-1000 ms"),
        "{table}"
    );
    assert!(timeline::for_request(&lines, "r9").is_empty());
}

#[test]
fn summary_counts_the_lines_of_a_day() {
    let summary = summary::summarize(&parse(LOGS));
    assert_eq!(
        (summary.daemons, summary.dropped, summary.skipped),
        (2, 7, 0)
    );
    assert_eq!(summary.refusals["503 no_model"], 1);
    assert_eq!(summary.broken_streams["stream_broken, went on"], 1);
    assert_eq!(summary.configurations, [(3, 2), (5, 1)].into());
    assert_eq!(summary.leases, [(1013, "d2".to_owned())]);
    let latency = &summary.latencies["draft"];
    assert_eq!((latency.samples, latency.percentiles_ms[0]), (2, 40));
    assert!(summary::tables(&summary).contains("2 daemons, 3.0 s, 7 lines left out"));
}

/// The parser must read the output of the daemon's log formatter.
#[test]
fn logger_output_is_parsed() {
    let sink = WriteSink::builder()
        .target(Vec::new())
        .formatter(JsonFormatter::new())
        .build_arc()
        .unwrap();
    let dynamic: Arc<dyn Sink> = sink.clone();
    let logger = spdlog::Logger::builder()
        .name("d1")
        .sink(dynamic)
        .build()
        .unwrap();
    let id: Arc<str> = "r\"1".into();
    spdlog::info!(logger: logger, "relay: refused", kv: { request: = id, status = 503_u16, reason = "no_model" });
    let written = String::from_utf8(sink.clone_target()).unwrap();
    let lines = parse(&written);
    assert_eq!((lines.all.len(), lines.skipped), (1, 0), "{written}");
    let line: &Line = &lines.all[0];
    assert_eq!((&*line.daemon, &*line.event), ("d1", "relay: refused"));
    assert_eq!(line.text("request").unwrap(), "r\"1");
    assert_eq!(line.number("status"), Some(503));
}

#[test]
fn commands_read_log_files_and_exit_with_the_documented_codes() {
    let directory = std::env::temp_dir().join(format!("persimmon-logs-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let mut file = std::fs::File::create(directory.join("all.log")).unwrap();
    file.write_all(LOGS.as_bytes()).unwrap();
    let run = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_persimmonctl"));
        command.args(arguments).output().unwrap()
    };
    let path = directory.to_str().unwrap();
    let explained = run(&["--output", "json", "explain", "r1", "--logs", path]);
    assert!(explained.status.success());
    let entries: serde_json::Value = serde_json::from_slice(&explained.stdout).unwrap();
    assert_eq!(entries[10]["event"], "stream: late");
    assert_eq!(entries[10]["part"], "request");

    assert_eq!(
        run(&["explain", "r9", "--logs", path]).status.code(),
        Some(9)
    );
    let plot = directory.join("day.svg");
    let report = run(&["report", "--plot", plot.to_str().unwrap(), path]);
    assert!(report.status.success(), "{report:?}");
    assert!(std::fs::read_to_string(&plot).unwrap().contains("<svg"));
    let missing = run(&["report", "/nowhere/at/all"]);
    assert_eq!(missing.status.code(), Some(2));
    std::fs::remove_dir_all(&directory).unwrap();
}
