//! Records: multiple schema versions, unknown fields, references and malformed input.

use std::collections::BTreeMap;
use std::sync::Arc;

use persimmoncroft::cli::records;
use persimmoncroft::coordination::revision::{Change, Refusal, plan};
use persimmoncroft::protocol::peer::{Heartbeat, Update};
use persimmoncroft::state::config::{Config, Delta};
use persimmoncroft::state::document::Document;
use persimmoncroft::state::record::Record;
use persimmoncroft::state::schema::{self, Fields};
use quickcheck::{Arbitrary, Gen};
use serde_json::{Value, json};

const CASES: usize = 400;

fn fields(value: Value) -> Fields {
    value.as_object().unwrap().clone()
}

fn document(value: Value) -> Document {
    Document::new(&fields(value))
}

fn base_config() -> Config {
    let digest = "0".repeat(64);
    let records = [
        json!({"kind": "zone", "name": "a"}),
        json!({"kind": "model", "name": "notes", "memory_mib": 600}),
        json!({"kind": "adapter", "name": "tone", "model": "notes", "memory_mib": 8}),
        json!({"kind": "workspace", "name": "lab", "rate_tokens_per_second": 5, "burst_tokens": 9, "revision": 3}),
        json!({"kind": "key", "name": "k", "digest": digest, "workspace": "lab"}),
        json!({"kind": "endpoint", "name": "e", "zone": "a", "address": "127.0.0.1:9000", "type": "engine", "slots": 4, "memory_mib": 1000, "adapter_pool_mib": 100}),
        json!({"kind": "route", "name": "r", "prefix": "/shop", "service": "shop"}),
    ];
    let (config, mistakes) = Config::from_documents(7, records.map(document));
    assert!(mistakes.is_empty());
    config
}

fn rejected_fields(change: Change) -> Vec<(String, String)> {
    match plan(&base_config(), 7, &change) {
        Err(Refusal::Mistakes(found)) => found.into_iter().map(|m| (m.record, m.field)).collect(),
        other => panic!("expected mistakes, found {other:?}"),
    }
}

fn change_of(value: Value) -> Change {
    Change {
        id: "c".into(),
        records: vec![fields(value)],
        ..Change::default()
    }
}

#[test]
fn workspace_is_equal_in_both_schema_versions() {
    let mut g = Gen::from_size_and_seed(64, 1);
    for _ in 0..CASES {
        let (rate, burst) = (u32::arbitrary(&mut g) as u64, u32::arbitrary(&mut g) as u64);
        let weight = u16::arbitrary(&mut g);
        let old = json!({"kind": "workspace", "name": "lab", "schema": 1, "weight": weight,
            "rate_tokens_per_second": rate, "burst_tokens": burst});
        let new = json!({"kind": "workspace", "name": "lab", "schema": 2, "weight": weight,
            "limit": {"rate_tokens_per_second": rate, "burst_tokens": burst}});
        match (document(old).record(), document(new).record()) {
            (Ok(old), Ok(new)) => assert_eq!(old, new),
            (Err(old), Err(new)) => assert_eq!(old.len(), new.len()),
            (old, new) => panic!("versions differ: {old:?} {new:?}"),
        }
    }
}

#[test]
fn every_field_of_a_record_is_in_its_schema() {
    for document in base_config().documents.values() {
        let value = serde_json::to_value(document.record().unwrap()).unwrap();
        let unknown = schema::unknown(value.as_object().unwrap());
        assert!(unknown.is_empty(), "{}: {unknown:?}", document.path);
    }
}

#[test]
fn rewrite_keeps_unknown_fields() {
    let stored = document(
        json!({"kind": "workspace", "name": "lab", "schema": 2, "color": "red",
        "limit": {"rate_tokens_per_second": 5, "burst_tokens": 9, "per_model": {"notes": 1}}}),
    );
    let delta = Delta {
        written: vec![stored],
        ..Delta::default()
    };
    let (config, _) = base_config().advance(8, &delta);
    let change = change_of(json!({"kind": "workspace", "name": "lab", "schema": 2,
        "limit": {"rate_tokens_per_second": 6, "burst_tokens": 9}}));
    let rewritten = plan(&config, 8, &change).unwrap().written[0].fields();
    assert_eq!(rewritten["color"], "red");
    assert_eq!(rewritten["limit"]["per_model"]["notes"], 1);
    assert_eq!(rewritten["limit"]["rate_tokens_per_second"], 6);
}

#[test]
fn unreadable_record_is_kept_but_not_indexed() {
    let newer = document(json!({"kind": "key", "name": "k", "schema": 9, "secret_box": "x"}));
    let delta = Delta {
        written: vec![newer.clone()],
        ..Delta::default()
    };
    let (config, mistakes) = base_config().advance(8, &delta);
    assert_eq!(mistakes[0].field, "schema");
    assert!(config.keys.is_empty());
    assert!(config.unreadable.contains("key/k"));
    assert_eq!(config.documents["key/k"], newer);
    assert!(config.workspaces.contains_key("lab"));
}

#[test]
fn invalid_records_are_rejected_with_their_field() {
    let cases = [
        (json!({"kind": "zoo", "name": "x"}), "kind"),
        (json!({"kind": "zone", "name": "x", "schema": 9}), "schema"),
        (json!({"kind": "zone", "name": "two words"}), "name"),
        (json!({"kind": "zone", "name": "x", "ouut": true}), "ouut"),
        (json!({"kind": "zone", "name": "x", "out": "yes"}), "out"),
        (
            json!({"kind": "model", "name": "m", "memory_mib": 901}),
            "memory_mib",
        ),
        (
            json!({"kind": "model", "name": "tone", "memory_mib": 1}),
            "name",
        ),
        (
            json!({"kind": "adapter", "name": "x", "model": "none", "memory_mib": 1}),
            "model",
        ),
        (
            json!({"kind": "key", "name": "x", "digest": "1".repeat(64), "workspace": "none"}),
            "workspace",
        ),
        (
            json!({"kind": "key", "name": "x", "digest": "0".repeat(64), "workspace": "lab"}),
            "digest",
        ),
        (
            json!({"kind": "workspace", "name": "x", "rate_tokens_per_second": 0, "burst_tokens": 1}),
            "rate_tokens_per_second",
        ),
        (
            json!({"kind": "workspace", "name": "x", "schema": 2, "limit": {"burst_tokens": 1}}),
            "limit.rate_tokens_per_second",
        ),
        (
            json!({"kind": "route", "name": "x", "prefix": "/shop", "service": "s"}),
            "prefix",
        ),
        (
            json!({"kind": "endpoint", "name": "x", "zone": "a", "address": "127.0.0.1:9000", "type": "engine", "slots": 1, "memory_mib": 9}),
            "address",
        ),
        (
            json!({"kind": "endpoint", "name": "x", "zone": "z", "address": "127.0.0.1:9001", "type": "engine", "slots": 1, "memory_mib": 9}),
            "zone",
        ),
        (
            json!({"kind": "endpoint", "name": "e", "zone": "a", "address": "127.0.0.1:9000", "type": "engine", "slots": 1, "memory_mib": 500}),
            "memory_mib",
        ),
    ];
    for (record, field) in cases {
        let found = rejected_fields(change_of(record.clone()));
        assert!(
            found.iter().any(|(_, found_field)| found_field == field),
            "{record}: {found:?}"
        );
    }
}

#[test]
fn deleting_referenced_or_missing_records_is_rejected() {
    for path in ["zone/a", "model/notes", "workspace/lab", "zone/none"] {
        let change = Change {
            id: "c".into(),
            withdraw: vec![path.into()],
            ..Change::default()
        };
        assert_eq!(rejected_fields(change)[0].0, path);
    }
}

#[test]
fn record_based_on_an_older_revision_conflicts() {
    let mine = json!({"kind": "workspace", "name": "lab", "rate_tokens_per_second": 6, "burst_tokens": 9, "revision": 2});
    let Err(Refusal::Conflict(differences)) = plan(&base_config(), 7, &change_of(mine)) else {
        panic!("expected a conflict");
    };
    assert_eq!(differences.len(), 1);
    assert_eq!(differences[0].field, "rate_tokens_per_second");
    assert_eq!((&*differences[0].mine, &*differences[0].theirs), ("6", "5"));
}

/// Compares snapshots that are updated with each change to snapshots built from all rows.
#[test]
fn incremental_snapshots_equal_full_snapshots() {
    let mut g = Gen::from_size_and_seed(32, 2);
    let mut rows: BTreeMap<Arc<str>, Document> = BTreeMap::new();
    let mut config = Config::default();
    for revision in 1..=CASES as u64 {
        let mut delta = Delta::default();
        let name = format!("n{}", u8::arbitrary(&mut g) % 5);
        let digest = format!("{:064}", u8::arbitrary(&mut g) % 3);
        let schema = 1 + u64::from(u8::arbitrary(&mut g) % 8 == 0);
        let record = match u8::arbitrary(&mut g) % 3 {
            0 => {
                json!({"kind": "key", "name": name, "digest": digest, "workspace": "w", "schema": schema})
            }
            1 => json!({"kind": "zone", "name": name, "out": bool::arbitrary(&mut g)}),
            _ => {
                json!({"kind": "model", "name": name, "memory_mib": 1 + u64::from(u8::arbitrary(&mut g))})
            }
        };
        let written = document(record);
        let has_same_digest = |other: &Document| {
            other.path != written.path
                && other.fields().get("digest") == written.fields().get("digest")
        };
        let duplicate_digest =
            written.path.starts_with("key/") && rows.values().any(has_same_digest);
        if bool::arbitrary(&mut g) && !duplicate_digest {
            rows.insert(written.path.clone(), written.clone());
            delta.written.push(written);
        } else {
            rows.remove(&written.path);
            delta.deleted.push(written.path);
        }
        config = config.advance(revision, &delta).0;
        let (scanned, _) = Config::from_documents(revision, rows.values().cloned());
        assert_eq!(config.keys, scanned.keys);
        assert_eq!(config.zones, scanned.zones);
        assert_eq!(config.models, scanned.models);
        assert_eq!(config.unreadable, scanned.unreadable);
        assert_eq!(config.documents, scanned.documents);
    }
}

#[test]
fn ini_and_json_records_are_equal() {
    let ini = "[workspace lab]\nschema = 2\nlimit.rate_tokens_per_second = 5\nlimit.burst_tokens = 9\n\n[zone 7]\nout = true\nregion = 12\n";
    let json = r#"[{"kind":"workspace","name":"lab","schema":2,"limit":{"rate_tokens_per_second":5,"burst_tokens":9}},
        {"kind":"zone","name":"7","out":true,"region":"12"}]"#;
    assert_eq!(records::parse(ini).unwrap(), records::parse(json).unwrap());
}

/// Truncates and overwrites a valid text at random positions.
fn corrupt(g: &mut Gen, text: &str) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..1 + u8::arbitrary(g) % 4 {
        let position = usize::arbitrary(g) % bytes.len().max(1);
        if bool::arbitrary(g) {
            bytes.truncate(position);
        } else if let Some(byte) = bytes.get_mut(position) {
            *byte = u8::arbitrary(g);
        }
    }
    bytes
}

#[test]
fn corrupted_input_is_rejected_or_parsed_without_panic() {
    let record = r#"{"kind":"workspace","name":"lab","schema":2,"limit":{"rate_tokens_per_second":5,"burst_tokens":9}}"#;
    let update = format!(
        r#"{{"revision":4,"age_ms":3,"entries":[{{"revision":4,"change":"c","written":[{record}]}}]}}"#
    );
    let ini = "[workspace lab]\nschema = 2\nlimit.rate_tokens_per_second = 5\n";
    let settings =
        "[daemon]\nzone = a\n[peer]\nlisten = 127.0.0.1:1\nseeds = 127.0.0.1:2, 127.0.0.1:3\n";
    let mut g = Gen::from_size_and_seed(64, 3);
    assert!(
        Document::from_row("workspace/lab", record.as_bytes())
            .record()
            .is_ok()
    );
    assert_eq!(
        serde_json::from_str::<Update>(&update)
            .unwrap()
            .entries
            .len(),
        1
    );
    for _ in 0..CASES * 5 {
        let bytes = corrupt(&mut g, record);
        let document = Document::from_row("workspace/lab", &bytes);
        let (config, mistakes) = Config::from_documents(1, [document]);
        assert_eq!(config.workspaces.is_empty(), !mistakes.is_empty());
        if let Ok(raw) = serde_json::from_slice::<Fields>(&bytes) {
            let change = change_of(Value::Object(raw));
            let _ = plan(&base_config(), 7, &change);
        }
        let _ = serde_json::from_slice::<Update>(&corrupt(&mut g, &update)).map(|update| {
            let deltas = update.entries.iter().map(|entry| entry.delta());
            deltas.for_each(|delta| drop(base_config().advance(8, &delta)));
        });
        let _ = serde_json::from_slice::<Heartbeat>(&bytes);
        let text = String::from_utf8_lossy(&corrupt(&mut g, ini)).into_owned();
        let _ = records::parse(&text);
        let text = String::from_utf8_lossy(&corrupt(&mut g, settings)).into_owned();
        let mistakes = persimmoncroft::Settings::parse(&text).unwrap_err();
        assert!(mistakes.iter().all(|mistake| mistake.line >= 1));
    }
}

#[test]
fn arbitrary_json_is_rejected() {
    let mut g = Gen::from_size_and_seed(24, 4);
    for _ in 0..CASES {
        let raw: BTreeMap<String, String> = Arbitrary::arbitrary(&mut g);
        let raw: Fields = raw.into_iter().map(|(k, v)| (k, v.into())).collect();
        assert!(schema::check(&raw).is_err());
        let record: Result<Record, _> = Document::new(&raw).record();
        assert!(record.is_err());
    }
}

#[test]
fn example_files_are_valid() {
    let text = include_str!("../examples/records.ini");
    let change = Change {
        id: "c".into(),
        records: records::parse(text).unwrap(),
        ..Change::default()
    };
    let delta = plan(&Config::default(), 0, &change).unwrap();
    let (config, mistakes) = Config::default().advance(1, &delta);
    assert!(mistakes.is_empty());
    let change = Change {
        id: "d".into(),
        records: records::parse(include_str!("../examples/zone-out.json")).unwrap(),
        ..Change::default()
    };
    let delta = plan(&config, 1, &change).unwrap();
    assert!(config.advance(2, &delta).0.zones["b"].out);
    let settings = include_str!("../examples/persimmond.ini");
    assert!(persimmoncroft::Settings::parse(settings).is_ok());
}
