//! Parser for the INI form of the settings.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use displaydoc::Display;
use ini::{Ini, Properties};
use spdlog::Level;

use super::Settings;

/// Default of `drain_grace_ms` in settings files.
const DEFAULT_DRAIN_GRACE: Duration = Duration::from_secs(5);

const ADDRESS: &str = "IP:PORT";
const OWN_ADDRESS: &str = "IP:PORT with the IP number that other daemons reach";
const ADDRESSES: &str = "IP:PORT, IP:PORT, ...";
const COUNT: &str = "a whole number from 1";
const NAME: &str = "a name without blanks";
const TOKEN: &str = "a token of 8 characters or more without blanks";
const LEVEL: &str = "one of critical, error, warn, info, debug, trace";

/// A mistake in a settings file.
#[derive(Debug, Clone, Display, PartialEq, Eq)]
#[displaydoc("{line}: [{section}] {key}: expected {expected}, found {found}")]
pub struct Mistake {
    /// Line number, from 1.
    pub line: usize,
    /// Name of the section.
    pub section: String,
    /// Name of the key; `-` if the mistake is in the section itself.
    pub key: String,
    /// Description of the allowed values.
    pub expected: String,
    /// Value found.
    pub found: String,
}

/// Definition of one key of the settings file.
#[derive(Debug, Clone, Copy)]
pub struct Key {
    /// Name of the section.
    pub section: &'static str,
    /// Name of the key.
    pub name: &'static str,
    /// Description of the allowed values.
    pub expected: &'static str,
    /// Whether a file without the key is rejected.
    pub required: bool,
    set: fn(&mut Settings, &str) -> Option<()>,
}

const fn required(
    section: &'static str,
    name: &'static str,
    expected: &'static str,
    set: fn(&mut Settings, &str) -> Option<()>,
) -> Key {
    Key {
        section,
        name,
        expected,
        required: true,
        set,
    }
}

const fn optional(
    section: &'static str,
    name: &'static str,
    expected: &'static str,
    set: fn(&mut Settings, &str) -> Option<()>,
) -> Key {
    Key {
        section,
        name,
        expected,
        required: false,
        set,
    }
}

/// All keys that a settings file may contain.
pub const KEYS: &[Key] = &[
    required("daemon", "zone", NAME, |s, text| {
        s.zone = parse_word(text)?.into();
        Some(())
    }),
    optional("daemon", "log_level", LEVEL, |s, text| {
        s.log_level = Level::from_str(text).ok()?;
        Some(())
    }),
    optional("daemon", "memory_mb", COUNT, |s, text| {
        s.memory_mb = Some(parse_count(text)? as f64);
        Some(())
    }),
    optional("daemon", "descriptors", COUNT, |s, text| {
        s.descriptors = Some(parse_count(text)? as f64);
        Some(())
    }),
    optional("daemon", "drain_grace_ms", COUNT, |s, text| {
        set_millis(text, &mut s.drain_grace)
    }),
    required("platform", "address", ADDRESS, |s, text| {
        set_parsed(text, &mut s.platform_address)
    }),
    optional("platform", "timeout_ms", COUNT, |s, text| {
        set_millis(text, &mut s.platform_timeout)
    }),
    required("caller", "listen", ADDRESS, |s, text| {
        set_parsed(text, &mut s.caller_listen)
    }),
    optional("caller", "request_timeout_ms", COUNT, |s, text| {
        set_millis(text, &mut s.request_timeout)
    }),
    optional("caller", "max_body_bytes", COUNT, |s, text| {
        s.max_body_bytes = usize::try_from(parse_count(text)?).ok()?;
        Some(())
    }),
    required("operator", "listen", ADDRESS, |s, text| {
        set_parsed(text, &mut s.operator_listen)
    }),
    required("operator", "token", TOKEN, |s, text| {
        let token = parse_word(text).filter(|token| token.len() >= 8)?;
        s.operator_token = token.into();
        Some(())
    }),
    required("peer", "listen", OWN_ADDRESS, |s, text| {
        let address: SocketAddr = text.parse().ok()?;
        s.peer_listen = Some(address).filter(|address| !address.ip().is_unspecified())?;
        Some(())
    }),
    optional("peer", "seeds", ADDRESSES, |s, text| {
        let seeds = text.split(',').map(|address| address.trim().parse().ok());
        s.seeds = seeds.collect::<Option<_>>()?;
        Some(())
    }),
    optional("peer", "heartbeat_ms", COUNT, |s, text| {
        set_millis(text, &mut s.heartbeat)
    }),
    optional("peer", "seat_lease_seconds", COUNT, |s, text| {
        set_seconds(text, &mut s.seat_lease)
    }),
    optional("peer", "isolation_timeout_ms", COUNT, |s, text| {
        set_millis(text, &mut s.isolation_timeout)
    }),
    optional("config", "poll_ms", COUNT, |s, text| {
        set_millis(text, &mut s.config_poll)
    }),
    optional("endpoint", "load_poll_ms", COUNT, |s, text| {
        set_millis(text, &mut s.load_poll)
    }),
    optional("jobs", "poll_ms", COUNT, |s, text| {
        set_millis(text, &mut s.job_poll)
    }),
    optional("jobs", "lease_seconds", COUNT, |s, text| {
        set_seconds(text, &mut s.job_lease)
    }),
    optional("jobs", "billing_window_seconds", COUNT, |s, text| {
        set_seconds(text, &mut s.billing_window)
    }),
    optional("placement", "interval_ms", COUNT, |s, text| {
        set_millis(text, &mut s.placement_interval)
    }),
    optional("placement", "lease_seconds", COUNT, |s, text| {
        set_seconds(text, &mut s.placement_lease)
    }),
    optional("placement", "order_life_seconds", COUNT, |s, text| {
        set_seconds(text, &mut s.order_life)
    }),
    optional("placement", "order_resend_ms", COUNT, |s, text| {
        set_millis(text, &mut s.order_resend)
    }),
    optional("placement", "weight_store_loads", COUNT, |s, text| {
        s.weight_store_loads = usize::try_from(parse_count(text)?).ok()?;
        Some(())
    }),
    optional("placement", "load_time_ms", COUNT, |s, text| {
        set_millis(text, &mut s.load_time)
    }),
    optional("placement", "adapter_loads", COUNT, |s, text| {
        s.adapter_loads = usize::try_from(parse_count(text)?).ok()?;
        Some(())
    }),
    optional("placement", "demand_interval_ms", COUNT, |s, text| {
        set_millis(text, &mut s.demand_interval)
    }),
];

/// Parses settings from INI text.
///
/// # Errors
/// All mistakes, sorted by line.
pub fn parse(text: &str) -> Result<Settings, Vec<Mistake>> {
    let ini = Ini::load_from_str(text).map_err(|error| vec![syntax_mistake(&error)])?;
    let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = Settings::local("", placeholder);
    settings.drain_grace = DEFAULT_DRAIN_GRACE;
    let mut mistakes = Vec::new();
    let mut seen = Vec::new();
    for (section, properties) in &ini {
        let section = section.unwrap_or_default();
        let section_mistakes = read_section(text, section, properties, &mut seen, &mut settings);
        mistakes.extend(section_mistakes);
    }
    mistakes.extend(missing_keys(text, &seen));
    mistakes.sort_by_key(|mistake| mistake.line);
    if mistakes.is_empty() {
        Ok(settings)
    } else {
        Err(mistakes)
    }
}

fn read_section<'a>(
    text: &str,
    section: &'a str,
    properties: &'a Properties,
    seen: &mut Vec<(&'a str, &'a str)>,
    settings: &mut Settings,
) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    let known = KEYS.iter().any(|key| key.section == section);
    let is_empty_preamble = section.is_empty() && properties.is_empty();
    if !known && !is_empty_preamble {
        mistakes.push(Mistake {
            line: line_of(text, section, None, 0),
            section: section.into(),
            key: "-".into(),
            expected: format!("one of the sections {}", section_names()),
            found: format!("\"{section}\""),
        });
        return mistakes;
    }
    for (name, value) in properties.iter() {
        let previous = seen.iter().filter(|other| **other == (section, name));
        let previous = previous.count();
        seen.push((section, name));
        let line = line_of(text, section, Some(name), previous);
        let mut report = |expected: String, found: &str| {
            mistakes.push(Mistake {
                line,
                section: section.into(),
                key: name.into(),
                expected,
                found: format!("\"{found}\""),
            });
        };
        let key = KEYS.iter().find(|k| k.section == section && k.name == name);
        match key {
            None => report(format!("one of the keys {}", key_names(section)), name),
            Some(_) if previous > 0 => report("each key once".into(), name),
            Some(key) => {
                if (key.set)(settings, value.trim()).is_none() {
                    let secret = name == "token";
                    report(key.expected.into(), if secret { "..." } else { value });
                }
            }
        }
    }
    mistakes
}

fn missing_keys(text: &str, seen: &[(&str, &str)]) -> Vec<Mistake> {
    let absent = KEYS.iter().filter(|key| {
        let given = seen.contains(&(key.section, key.name));
        key.required && !given
    });
    absent
        .map(|key| Mistake {
            line: line_of(text, key.section, None, 0),
            section: key.section.into(),
            key: key.name.into(),
            expected: key.expected.into(),
            found: "nothing".into(),
        })
        .collect()
}

fn syntax_mistake(error: &ini::ParseError) -> Mistake {
    Mistake {
        line: error.line + 1,
        section: "-".into(),
        key: "-".into(),
        expected: "[section] or key = value".into(),
        found: error.msg.to_string(),
    }
}

fn section_names() -> String {
    let mut names: Vec<&str> = KEYS.iter().map(|key| key.section).collect();
    names.dedup();
    names.join(", ")
}

fn key_names(section: &str) -> String {
    let keys = KEYS.iter().filter(|key| key.section == section);
    keys.map(|key| key.name).collect::<Vec<_>>().join(", ")
}

/// Returns the line number of a section, or of an occurrence of a key in it (from 0); if absent, the last line.
fn line_of(text: &str, section: &str, key: Option<&str>, occurrence: usize) -> usize {
    let mut current = "";
    let mut remaining = occurrence;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(header) = line.strip_prefix('[') {
            current = header.split(']').next().unwrap_or_default().trim();
            if key.is_none() && current == section {
                return index + 1;
            }
            continue;
        }
        let name = line.split(['=', ':']).next().unwrap_or_default().trim();
        let matches_key = key.is_none_or(|key| key == name);
        if current == section && matches_key && !name.is_empty() {
            if remaining == 0 {
                return index + 1;
            }
            remaining -= 1;
        }
    }
    text.lines().count().max(1)
}

fn parse_word(text: &str) -> Option<&str> {
    let blank = |c: char| c.is_whitespace() || c.is_control();
    (!text.is_empty() && !text.contains(blank)).then_some(text)
}

fn parse_count(text: &str) -> Option<u64> {
    text.parse().ok().filter(|count| *count > 0)
}

fn set_millis(text: &str, target: &mut Duration) -> Option<()> {
    *target = Duration::from_millis(parse_count(text)?);
    Some(())
}

fn set_seconds(text: &str, target: &mut Duration) -> Option<()> {
    *target = Duration::from_secs(parse_count(text)?);
    Some(())
}

fn set_parsed<T: FromStr>(text: &str, target: &mut T) -> Option<()> {
    *target = text.parse().ok()?;
    Some(())
}
