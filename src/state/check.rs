//! Checks of a configuration before it is sent: errors, entries that can never match and limits that contradict each other.

use std::fmt;

use serde::Serialize;

use super::catalog::{Catalog, Engine, Repeated, Route, Service, Workspace};

/// How bad a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Requests are refused or go wrong.
    Error,
    /// Part of the entry has no effect.
    Warning,
}

/// Something wrong with an entry of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    /// How bad it is.
    pub severity: Severity,
    /// Kind and name of the entry.
    pub entry: String,
    /// What is wrong; contains no keys.
    pub problem: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(f, "{severity}: {}: {}", self.entry, self.problem)
    }
}

/// Findings about one entry.
struct Findings<'a> {
    all: &'a mut Vec<Finding>,
    entry: String,
}

impl Findings<'_> {
    fn error(&mut self, problem: impl Into<String>) {
        self.add(Severity::Error, problem.into());
    }

    fn warn(&mut self, problem: impl Into<String>) {
        self.add(Severity::Warning, problem.into());
    }

    fn add(&mut self, severity: Severity, problem: String) {
        self.all.push(Finding {
            severity,
            entry: self.entry.clone(),
            problem,
        });
    }
}

/// Checks a configuration with the rules by which daemons route, admit and place; errors come first.
///
/// ```
/// use persimmoncroft::state::{catalog::Catalog, check};
/// assert!(check::findings(&Catalog::default()).is_empty());
/// ```
pub fn findings(catalog: &Catalog) -> Vec<Finding> {
    let mut all = Vec::new();
    let mut about = |entry: String, check: &dyn Fn(&mut Findings)| {
        let all = &mut all;
        check(&mut Findings { all, entry });
    };
    for repeated in &catalog.repeated {
        about(entry_of(repeated), &|found| check_repeated(repeated, found));
    }
    for (host, routes) in &catalog.hosts {
        for (index, route) in routes.iter().enumerate() {
            about(format!("route {}", route.name), &|found| {
                // Routes are sorted by descending length of their prefixes, and the first match is taken.
                let before = routes[..index].iter().find(|it| it.prefix == route.prefix);
                if let Some(before) = before {
                    found.error(format!(
                        "never matches: route {} has the same prefix at host {host}",
                        before.name
                    ));
                }
                check_route(catalog, route, found);
            });
        }
    }
    for service in catalog.services.values() {
        about(format!("service {}", service.name), &|found| {
            check_service(catalog, service, found);
        });
    }
    for workspace in catalog.workspaces.values() {
        about(format!("workspace {}", workspace.name), &|found| {
            check_workspace(catalog, workspace, found);
        });
    }
    all.sort();
    all
}

fn entry_of(repeated: &Repeated) -> String {
    match repeated {
        Repeated::Key(_, workspace) | Repeated::Workspace(workspace) => {
            format!("workspace {workspace}")
        }
        Repeated::Service(service) => format!("service {service}"),
    }
}

fn check_repeated(repeated: &Repeated, found: &mut Findings) {
    match repeated {
        Repeated::Key(other, _) => found.error(format!("has a key of workspace {other}")),
        Repeated::Workspace(_) | Repeated::Service(_) => found.error("its name is used twice"),
    }
}

fn check_route(catalog: &Catalog, route: &Route, found: &mut Findings) {
    if !route.prefix.starts_with('/') {
        found.error("never matches: its prefix does not begin with a slash");
    }
    if route.timeout.is_zero() {
        found.error("its timeout is zero, so every request times out");
    }
    if route.objective > route.timeout {
        found.warn("its objective is longer than its timeout");
    }
    if route.attempts > 1 && !route.kind.is_repeatable() {
        found.warn("more than one attempt has an effect only after a rejection: its requests may not run twice");
    }
    if route.services.iter().all(|(_, weight)| *weight == 0) {
        found.error("no service has a weight, so weights do not decide");
    }
    for (service, weight) in &route.services {
        match catalog.services.contains_key(service) {
            false => found.error(format!("service {service} does not exist")),
            true if *weight == 0 => found.warn(format!("service {service} has weight zero")),
            true => {}
        }
    }
}

fn check_service(catalog: &Catalog, service: &Service, found: &mut Findings) {
    let mut routes = catalog.routes();
    let is_used = routes.any(|route| route.services.iter().any(|(name, _)| *name == service.name));
    if !is_used {
        found.warn("no route leads to it");
    }
    if service
        .scale
        .is_some_and(|scale| scale.max == 0 || scale.min > scale.max)
    {
        found.error("the bounds on the number of its replicas allow none");
    }
    if let Some(engine) = &service.engine {
        check_engine(engine, found);
    }
}

fn check_engine(engine: &Engine, found: &mut Findings) {
    if engine.slots == 0 {
        found.error("its endpoints have no slots");
    }
    for model in engine.models.values() {
        if model.megabytes > engine.megabytes {
            found.error(format!("model {} fits no endpoint", model.name));
        } else if model.adapters.is_empty() {
            continue;
        } else if engine.max_adapters == 0 {
            found.error(format!("adapters of model {} have no place", model.name));
        } else if model.megabytes + model.adapter_megabytes > engine.megabytes {
            found.error(format!("no adapter fits beside model {}", model.name));
        }
    }
}

fn check_workspace(catalog: &Catalog, workspace: &Workspace, found: &mut Findings) {
    if !catalog.keys.values().any(|it| it.name == workspace.name) {
        found.warn("it has no key, so nobody can send its requests");
    }
    if workspace.rate == 0.0 {
        if workspace.burst > 0.0 {
            found.warn("its burst has no effect: its rate is not limited");
        }
        return;
    }
    let request = match workspace.counts_tokens {
        true => workspace.default_tokens.max(1) as f64,
        false => 1.0,
    };
    if workspace.burst < request {
        found.error(format!(
            "its burst of {} is below one request of {request} units",
            workspace.burst
        ));
    }
}
