//! Settings of the daemon on a platform, read from an INI file.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use ini::Ini;
use spdlog::Level;

use crate::settings::Mistake;
use crate::state::record::Name;

/// Settings that can change while the daemon runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// Minimum severity of log lines.
    pub log_level: Level,
    /// Time from SIGTERM until the platform kills the process.
    pub grace: Duration,
    /// Window in which retries are counted.
    pub retry_window: Duration,
    /// Retries allowed per request in a window.
    pub retry_share: f64,
    /// Retries allowed for the whole fleet in a window, in addition to the share of requests.
    pub retry_extra: f64,
    /// Factor applied to a cold endpoint's request rate to get the limit of the fleet.
    pub cold_over: f64,
    /// Window in which loads from the weight store are counted.
    pub load_window: Duration,
}

/// Calls to the platform that one daemon at a time makes for the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Duties {
    /// Address of the platform's API.
    pub address: SocketAddr,
    /// Whether the usage of each window is reported.
    pub reports_usage: bool,
    /// Whether numbers of replicas are ordered.
    pub scales: bool,
    /// Calls per second that the API accepts from all daemons together.
    pub per_second: f64,
    /// Length of a usage window.
    pub window: Duration,
    /// Time after the end of a window at which its report is due.
    pub late: Duration,
    /// Allowed relative error of each count in a report.
    pub usage_off: f64,
}

impl Default for Duties {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            reports_usage: false,
            scales: false,
            per_second: 10.0,
            window: Duration::from_secs(5),
            late: Duration::from_secs(10),
            usage_off: 0.05,
        }
    }
}

/// Settings of a daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of this daemon, unique in the fleet.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Processor time that this daemon's instance has, in cores; larger instances take duties first.
    pub cores: f64,
    /// Listener for callers.
    pub caller_listen: SocketAddr,
    /// Listener for the platform's readiness checks.
    pub ready_listen: SocketAddr,
    /// Listener for other daemons' calls.
    pub peer_listen: SocketAddr,
    /// Listener for requests that other daemons hand over.
    pub forward_listen: SocketAddr,
    /// Socket for datagrams between daemons.
    pub gossip_listen: SocketAddr,
    /// Listener for metrics.
    pub metrics_listen: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Time within which a change of the operators' table must be in force after the store has acknowledged it.
    pub apply_within: Duration,
    /// Time within which an endpoint gets no more requests after the store has acknowledged that it leaves.
    pub drain_within: Duration,
    /// Time after the lease holder's last order for which no other daemon may send orders.
    pub placement_lease: Duration,
    /// Memory of the instance, in MB; `None` if it is not known.
    pub memory_mb: Option<f64>,
    /// Number of file descriptors that the process may open; `None` if it is not known.
    pub descriptors: Option<f64>,
    /// Calls to the platform's API; `None` if the fleet has no such duties.
    pub duties: Option<Duties>,
    /// Settings that can change while the daemon runs.
    pub tuning: Tuning,
}

impl Settings {
    /// Settings for a daemon on the loopback interface that binds free ports.
    ///
    /// ```
    /// use persimmoncroft::serving::settings::Settings;
    /// let settings = Settings::local("d1", "a", "127.0.0.1:8225".parse().unwrap());
    /// assert_eq!(settings.caller_listen.port(), 0);
    /// ```
    pub fn local(name: &str, zone: &str, store_address: SocketAddr) -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: name.into(),
            zone: zone.into(),
            cores: 1.0,
            caller_listen: free,
            ready_listen: free,
            peer_listen: free,
            forward_listen: free,
            gossip_listen: free,
            metrics_listen: free,
            store_address,
            apply_within: Duration::from_secs(2),
            drain_within: Duration::from_secs(2),
            placement_lease: Duration::from_secs(3),
            memory_mb: None,
            descriptors: None,
            duties: None,
            tuning: Tuning {
                log_level: Level::Info,
                grace: Duration::from_secs(8),
                retry_window: Duration::from_secs(10),
                retry_share: 0.2,
                retry_extra: 50.0,
                cold_over: 1.0,
                load_window: Duration::from_secs(5),
            },
        }
    }

    /// Whether two settings are equal except for [`Tuning`].
    ///
    /// ```
    /// use persimmoncroft::serving::settings::Settings;
    /// let settings = Settings::local("d1", "a", "127.0.0.1:8225".parse().unwrap());
    /// let mut others = settings.clone();
    /// others.tuning.retry_extra += 1.0;
    /// assert!(settings.differs_only_in_tuning(&others));
    /// others.zone = "b".into();
    /// assert!(!settings.differs_only_in_tuning(&others));
    /// ```
    pub fn differs_only_in_tuning(&self, others: &Self) -> bool {
        let tuned = Self {
            tuning: others.tuning,
            ..self.clone()
        };
        tuned == *others
    }

    /// Reads settings from INI text.
    ///
    /// # Errors
    /// Every mistake, with its line, section, key and the expected value.
    ///
    /// ```
    /// use persimmoncroft::serving::settings::Settings;
    /// let mistakes = Settings::parse("[daemon]\nzones = a\n").unwrap_err();
    /// assert!(mistakes.iter().any(|mistake| mistake.line == 2 && mistake.key == "zones"));
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<Mistake>> {
        let mut settings = Self::local("-", "-", SocketAddr::from(([0, 0, 0, 0], 0)));
        let mut mistakes = Vec::new();
        let file = match Ini::load_from_str(text) {
            Ok(file) => file,
            Err(error) => {
                let found = error.msg.to_string();
                return Err(vec![Mistake {
                    line: error.line,
                    section: "-".into(),
                    key: "-".into(),
                    expected: "INI text".into(),
                    found,
                }]);
            }
        };
        for (section, properties) in file.iter() {
            let section = section.unwrap_or("-");
            for (name, value) in properties.iter() {
                let mistake = |expected: &str| Mistake {
                    line: line_of(text, section, name),
                    section: section.to_owned(),
                    key: name.to_owned(),
                    expected: expected.to_owned(),
                    found: format!("\"{value}\""),
                };
                match KEYS
                    .iter()
                    .find(|key| key.section == section && key.name == name)
                {
                    None => mistakes.push(mistake("a known key")),
                    Some(key) => {
                        if (key.set)(&mut settings, value.trim()).is_none() {
                            mistakes.push(mistake(key.expected));
                        }
                    }
                }
            }
        }
        for key in KEYS.iter().filter(|key| key.required) {
            let found = file
                .section(Some(key.section))
                .and_then(|s| s.get(key.name));
            if found.is_none() {
                mistakes.push(Mistake {
                    line: 0,
                    section: key.section.into(),
                    key: key.name.into(),
                    expected: key.expected.into(),
                    found: "nothing".into(),
                });
            }
        }
        let has_duties_address = file
            .section(Some("duties"))
            .is_some_and(|duties| duties.contains_key("address"));
        if settings.duties.is_some() && !has_duties_address {
            mistakes.push(Mistake {
                line: 0,
                section: "duties".into(),
                key: "address".into(),
                expected: ADDRESS.into(),
                found: "nothing".into(),
            });
        }
        let has_forwarded = file
            .section(Some("listen"))
            .is_some_and(|listen| listen.contains_key("forwarded"));
        if !has_forwarded {
            settings.forward_listen = SocketAddr::new(settings.peer_listen.ip(), 0);
        }
        if mistakes.is_empty() {
            Ok(settings)
        } else {
            mistakes.sort_by_key(|mistake| mistake.line);
            Err(mistakes)
        }
    }
}

/// One key of the settings file.
struct Key {
    section: &'static str,
    name: &'static str,
    expected: &'static str,
    required: bool,
    set: fn(&mut Settings, &str) -> Option<()>,
}

const ADDRESS: &str = "IP:PORT";
const NAME: &str = "a name without blanks";
const NUMBER: &str = "a number from 0";
const BOUND: &str = "a number from 200";
const BOUND_SECONDS: &str = "a whole number from 1";
const DUTIES: &str = "a list of usage_report and autoscale";
const LEVEL: &str = "one of critical, error, warn, info, debug, trace";

const KEYS: &[Key] = &[
    key("daemon", "name", NAME, true, |s, text| {
        assign(&mut s.name, parse_name(text)?.into())
    }),
    key("daemon", "zone", NAME, true, |s, text| {
        assign(&mut s.zone, parse_name(text)?.into())
    }),
    key("daemon", "cores", NUMBER, false, |s, text| {
        assign(&mut s.cores, parse_number(text)?)
    }),
    key("daemon", "memory_mb", NUMBER, false, |s, text| {
        assign(&mut s.memory_mb, Some(parse_number(text)?))
    }),
    key("daemon", "descriptors", NUMBER, false, |s, text| {
        assign(&mut s.descriptors, Some(parse_number(text)?))
    }),
    key("daemon", "log_level", LEVEL, false, |s, text| {
        assign(&mut s.tuning.log_level, Level::from_str(text).ok()?)
    }),
    key("daemon", "grace_s", NUMBER, false, |s, text| {
        assign(&mut s.tuning.grace, parse_seconds(text)?)
    }),
    key("listen", "callers", ADDRESS, true, |s, text| {
        assign(&mut s.caller_listen, text.parse().ok()?)
    }),
    key("listen", "ready", ADDRESS, true, |s, text| {
        assign(&mut s.ready_listen, text.parse().ok()?)
    }),
    key("listen", "peers", ADDRESS, true, |s, text| {
        assign(&mut s.peer_listen, text.parse().ok()?)
    }),
    key("listen", "forwarded", ADDRESS, false, |s, text| {
        assign(&mut s.forward_listen, text.parse().ok()?)
    }),
    key("listen", "gossip", ADDRESS, true, |s, text| {
        assign(&mut s.gossip_listen, text.parse().ok()?)
    }),
    key("listen", "metrics", ADDRESS, true, |s, text| {
        assign(&mut s.metrics_listen, text.parse().ok()?)
    }),
    key("platform", "store", ADDRESS, true, |s, text| {
        assign(&mut s.store_address, text.parse().ok()?)
    }),
    key("platform", "apply_ms", BOUND, false, |s, text| {
        assign(&mut s.apply_within, parse_bound(text)?)
    }),
    key("platform", "drain_ms", BOUND, false, |s, text| {
        assign(&mut s.drain_within, parse_bound(text)?)
    }),
    key("limits", "retry_window_s", NUMBER, false, |s, text| {
        assign(&mut s.tuning.retry_window, parse_seconds(text)?)
    }),
    key("limits", "retry_share", NUMBER, false, |s, text| {
        assign(&mut s.tuning.retry_share, parse_number(text)?)
    }),
    key("limits", "retry_extra", NUMBER, false, |s, text| {
        assign(&mut s.tuning.retry_extra, parse_number(text)?)
    }),
    key("limits", "cold_over", NUMBER, false, |s, text| {
        assign(&mut s.tuning.cold_over, parse_number(text)?)
    }),
    key("placement", "lease_ms", NUMBER, false, |s, text| {
        assign(&mut s.placement_lease, parse_millis(text)?)
    }),
    key("placement", "load_window_s", NUMBER, false, |s, text| {
        assign(&mut s.tuning.load_window, parse_seconds(text)?)
    }),
    key("duties", "address", ADDRESS, false, |s, text| {
        assign(&mut duties(s).address, text.parse().ok()?)
    }),
    key("duties", "tasks", DUTIES, false, |s, text| {
        text.split(',').try_for_each(|task| match task.trim() {
            "usage_report" => assign(&mut duties(s).reports_usage, true),
            "autoscale" => assign(&mut duties(s).scales, true),
            _ => None,
        })
    }),
    key("duties", "per_second", NUMBER, false, |s, text| {
        assign(&mut duties(s).per_second, parse_number(text)?)
    }),
    key("duties", "window_s", BOUND_SECONDS, false, |s, text| {
        assign(&mut duties(s).window, parse_window(text)?)
    }),
    key("duties", "late_s", NUMBER, false, |s, text| {
        assign(&mut duties(s).late, parse_seconds(text)?)
    }),
    key("duties", "usage_off", NUMBER, false, |s, text| {
        assign(&mut duties(s).usage_off, parse_number(text)?)
    }),
];

const fn key(
    section: &'static str,
    name: &'static str,
    expected: &'static str,
    required: bool,
    set: fn(&mut Settings, &str) -> Option<()>,
) -> Key {
    Key {
        section,
        name,
        expected,
        required,
        set,
    }
}

/// The duties, with defaults before their first key.
fn duties(settings: &mut Settings) -> &mut Duties {
    settings.duties.get_or_insert_default()
}

fn assign<T>(field: &mut T, value: T) -> Option<()> {
    *field = value;
    Some(())
}

fn parse_name(text: &str) -> Option<&str> {
    let plain = !text.is_empty() && !text.contains(char::is_whitespace);
    plain.then_some(text)
}

fn parse_number(text: &str) -> Option<f64> {
    let is_valid = |number: &f64| number.is_finite() && *number >= 0.0;
    text.parse().ok().filter(is_valid)
}

fn parse_seconds(text: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(parse_number(text)?).ok()
}

fn parse_millis(text: &str) -> Option<Duration> {
    Some(parse_seconds(text)? / 1000)
}

/// Time within which a change must be in force; a shorter one would need polls that are not answered before the next.
fn parse_bound(text: &str) -> Option<Duration> {
    parse_millis(text).filter(|bound| *bound >= Duration::from_millis(200))
}

/// Length of a usage window; windows are numbered from the Unix epoch in whole seconds.
fn parse_window(text: &str) -> Option<Duration> {
    let seconds = parse_seconds(text)?;
    (seconds.as_secs() > 0 && seconds.subsec_nanos() == 0).then_some(seconds)
}

/// Line number of a key in a section, from 1; 0 if it is not found.
fn line_of(text: &str, section: &str, name: &str) -> usize {
    let mut current = "-";
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(header) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
            current = header;
        } else if current == section && line.split('=').next().is_some_and(|k| k.trim() == name) {
            return index + 1;
        }
    }
    0
}
