//! Differences between two configurations, by entry.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use serde::Serialize;

use super::catalog::{Catalog, Route};
use super::record::Name;

/// What a newer configuration does with an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// The entry is new.
    Added,
    /// The entry is dropped.
    Removed,
    /// The entry has other values.
    Changed,
}

/// An entry in which two configurations differ.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Difference {
    /// Kind and name of the entry.
    pub entry: String,
    /// What the newer configuration does with it.
    pub change: Change,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let change = match self.change {
            Change::Added => "added",
            Change::Removed => "removed",
            Change::Changed => "changed",
        };
        write!(f, "{change}: {}", self.entry)
    }
}

/// Differences between the configuration in force and a newer one, by entry. Keys are compared, but not named.
///
/// ```
/// use persimmoncroft::state::{catalog::Catalog, difference};
/// let newer = Catalog { version: 2, ..Catalog::default() };
/// let found = difference::between(&Catalog::default(), &newer);
/// assert_eq!(found.len(), 1);
/// assert_eq!(found[0].to_string(), "changed: version 0 to 2");
/// ```
pub fn between(older: &Catalog, newer: &Catalog) -> Vec<Difference> {
    let (before, after) = (entries(older), entries(newer));
    let mut all = Vec::new();
    if older.version != newer.version {
        all.push(Difference {
            entry: format!("version {} to {}", older.version, newer.version),
            change: Change::Changed,
        });
    }
    for (entry, value) in &after {
        let change = match before.get(entry) {
            None => Change::Added,
            Some(old) if old != value => Change::Changed,
            Some(_) => continue,
        };
        let entry = entry.clone();
        all.push(Difference { entry, change });
    }
    let removed = before.keys().filter(|entry| !after.contains_key(*entry));
    all.extend(removed.map(|entry| Difference {
        entry: entry.clone(),
        change: Change::Removed,
    }));
    all
}

/// Values of all entries in a form that can be compared.
fn entries(catalog: &Catalog) -> BTreeMap<String, String> {
    let mut entries = BTreeMap::new();
    for (host, routes) in &catalog.hosts {
        for route in routes {
            entries.insert(format!("route {}", route.name), route_value(host, route));
        }
    }
    for service in catalog.services.values() {
        let mut models = BTreeMap::new();
        let mut plain = (**service).clone();
        if let Some(engine) = &mut plain.engine {
            models.extend(std::mem::take(&mut engine.models));
        }
        for (model, value) in models {
            let entry = format!("model {model} of service {}", service.name);
            entries.insert(entry, format!("{value:?}"));
        }
        entries.insert(format!("service {}", service.name), format!("{plain:?}"));
    }
    let mut keys: HashMap<&Name, Vec<&Name>> = HashMap::new();
    for (key, workspace) in &catalog.keys {
        keys.entry(&workspace.name).or_default().push(key);
    }
    for workspace in catalog.workspaces.values() {
        let name = &workspace.name;
        let mut keys = keys.remove(name).unwrap_or_default();
        keys.sort();
        entries.insert(format!("workspace {name}"), format!("{workspace:?}"));
        entries.insert(format!("keys of workspace {name}"), format!("{keys:?}"));
    }
    entries.insert("bounds".to_owned(), format!("{:?}", catalog.bounds));
    entries
}

fn route_value(host: &str, route: &Route) -> String {
    format!("{host} {route:?}")
}
