//! Parsing of settings files and the reported mistakes.

use std::time::Duration;

use persimmoncroft::Settings;
use persimmoncroft::settings::file::KEYS;

const COMPLETE: &str = "\
[daemon]
zone = a
log_level = warn
drain_grace_ms = 1500

[platform]
address = 10.0.0.1:2379
timeout_ms = 700

[caller]
listen = 10.0.0.2:8080

[operator]
listen = 10.0.0.2:8081
token = correct-horse

[peer]
listen = 10.0.0.2:8082
seeds = 10.0.0.3:8082, 10.0.0.4:8082
seat_lease_seconds = 1800
";

#[test]
fn complete_file_is_parsed() {
    let settings = Settings::parse(COMPLETE).unwrap();
    assert_eq!(&*settings.zone, "a");
    assert_eq!(settings.drain_grace, Duration::from_millis(1500));
    assert_eq!(settings.platform_timeout, Duration::from_millis(700));
    assert_eq!(settings.seat_lease, Duration::from_secs(1800));
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.operator_token, "correct-horse");
}

#[test]
fn every_mistake_is_reported_with_its_line() {
    let text = COMPLETE
        .replace("warn", "loud")
        .replace("timeout_ms = 700", "timeout = 700")
        .replace("10.0.0.2:8082", "0.0.0.0:8082")
        .replace("[operator]", "[operators]");
    let mistakes = Settings::parse(&text).unwrap_err();
    let found: Vec<_> = mistakes
        .iter()
        .map(|m| (m.line, &*m.section, &*m.key))
        .collect();
    for expected in [
        (3, "daemon", "log_level"),
        (8, "platform", "timeout"),
        (13, "operators", "-"),
        (18, "peer", "listen"),
    ] {
        assert!(found.contains(&expected), "{expected:?} in {found:?}");
    }
    assert!(
        mistakes
            .iter()
            .any(|m| m.section == "operator" && m.key == "token")
    );
}

#[test]
fn each_missing_required_key_is_reported() {
    for key in KEYS.iter().filter(|key| key.required) {
        let mut section = "";
        let remaining = COMPLETE.lines().filter(|line| {
            if line.starts_with('[') {
                section = line.trim_matches(['[', ']']);
            }
            !(section == key.section && line.split(" = ").next() == Some(key.name))
        });
        let text = remaining.collect::<Vec<_>>().join("\n");
        let mistakes = Settings::parse(&text).unwrap_err();
        assert_eq!(mistakes.len(), 1, "{mistakes:?}");
        assert_eq!(
            (&*mistakes[0].section, &*mistakes[0].key),
            (key.section, key.name)
        );
    }
}

#[test]
fn invalid_counts_are_rejected_for_every_key() {
    for key in KEYS
        .iter()
        .filter(|key| key.expected.contains("whole number"))
    {
        for value in ["0", "-1", "1s", "", "18446744073709551616"] {
            let line = format!("[{}]\n{} = {value}\n", key.section, key.name);
            let mistakes = Settings::parse(&line).unwrap_err();
            assert!(
                mistakes.iter().any(|m| m.line == 2 && m.key == key.name),
                "{line}"
            );
        }
    }
}

#[test]
fn token_is_redacted() {
    let text = COMPLETE.replace("correct-horse", "my secret token");
    let mistakes = Settings::parse(&text).unwrap_err();
    assert!(
        mistakes
            .iter()
            .all(|mistake| !mistake.to_string().contains("secret"))
    );
}

/// Fields without a key: the baseline policy and simulated network partitions are only for measurements and tests.
const FIELDS_WITHOUT_KEY: [&str; 2] = ["policy", "partition"];

/// Sets every key to a value other than its default, so that a field without a key is found by its unchanged value.
#[test]
fn every_field_except_internal_ones_has_a_key() {
    let value = |expected: &str| match expected {
        text if text.starts_with("a whole") => "4321",
        text if text.starts_with("one of") => "trace",
        text if text.starts_with("IP:PORT") => "10.9.8.7:65",
        _ => "unlike-default",
    };
    let lines = KEYS.iter().map(|key| {
        let value = value(key.expected);
        format!("[{}]\n{} = {value}\n", key.section, key.name)
    });
    let text: String = lines.collect();
    let changed = format!("{:#?}", Settings::parse(&text).unwrap());
    let address = "127.0.0.1:1".parse().unwrap();
    let default = format!("{:#?}", Settings::local("a", address));
    let fields = |shown: &str| -> Vec<String> {
        let parts = shown.split("\n    ").skip(1);
        let mut fields: Vec<String> = Vec::new();
        for part in parts {
            match part.starts_with([' ', '}', ']', ')']) {
                true => fields.last_mut().unwrap().push_str(part),
                false => fields.push(part.to_owned()),
            }
        }
        fields
    };
    for (new, old) in fields(&changed).iter().zip(fields(&default)) {
        let name = new.split(':').next().unwrap();
        let is_internal = FIELDS_WITHOUT_KEY.contains(&name);
        assert_eq!(
            *new == old,
            is_internal,
            "{name} needs a key in the settings file"
        );
    }
}
