//! Cross-record validation.

use serde_json::{Value, json};

use crate::state::config::Config;
use crate::state::record::{Endpoint, Key, Kind, Record};
use crate::state::schema::Mistake;

/// Checks the records written by a change, given the configurations before and after it.
///
/// ```
/// use persimmoncroft::coordination::reference::check_written;
/// use persimmoncroft::state::config::Config;
/// use persimmoncroft::state::record::{Adapter, Record};
/// let adapter = Adapter { name: "tone".into(), model: "notes".into(), memory_mib: 8 };
/// let mistakes = check_written(&Config::default(), &Config::default(), &[Record::Adapter(adapter)]);
/// assert_eq!(mistakes[0].field, "model");
/// ```
pub fn check_written(before: &Config, next: &Config, written: &[Record]) -> Vec<Mistake> {
    written
        .iter()
        .flat_map(|record| check_record(before, next, record))
        .collect()
}

fn check_record(before: &Config, next: &Config, record: &Record) -> Vec<Mistake> {
    let path = record.path();
    match record {
        Record::Model(model) => {
            let mut mistakes = Vec::new();
            if next.adapters.contains_key(&model.name) {
                let expected = "a name that no adapter has";
                mistakes.push(Mistake::new(&path, "name", &json!(model.name), expected));
            }
            let capacity = model_capacity(next);
            if capacity.is_some_and(|capacity| model.memory_mib > capacity) {
                let expected = format!("at most {}, the largest engine", capacity.unwrap_or(0));
                let value = json!(model.memory_mib);
                mistakes.push(Mistake::new(&path, "memory_mib", &value, expected));
            }
            mistakes
        }
        Record::Adapter(adapter) => {
            let mut mistakes = Vec::new();
            if !next.models.contains_key(&adapter.model) {
                mistakes.push(missing_reference(&path, "model", &adapter.model));
            }
            if next.models.contains_key(&adapter.name) {
                let expected = "a name that no model has";
                mistakes.push(Mistake::new(&path, "name", &json!(adapter.name), expected));
            }
            mistakes
        }
        Record::Key(key) => {
            let mut mistakes = Vec::new();
            if !next.workspaces.contains_key(&key.workspace) {
                mistakes.push(missing_reference(&path, "workspace", &key.workspace));
            }
            if digest_taken(before, next, key) {
                let expected = "a digest that no other key has";
                mistakes.push(Mistake::new(&path, "digest", &json!(key.digest), expected));
            }
            mistakes
        }
        Record::Endpoint(endpoint) => check_endpoint(next, &path, endpoint),
        Record::Route(route) => {
            let mut others = next.routes.values().filter(|r| r.name != route.name);
            if !others.any(|other| other.prefix == route.prefix) {
                return Vec::new();
            }
            let expected = "a prefix that no other route has";
            vec![Mistake::new(
                &path,
                "prefix",
                &json!(route.prefix),
                expected,
            )]
        }
        Record::Workspace(_) | Record::Zone(_) => Vec::new(),
    }
}

/// Returns whether another key has the same digest: in the new configuration, or in the old one and left unchanged.
fn digest_taken(before: &Config, next: &Config, key: &Key) -> bool {
    let other = |config: &Config| {
        let holder = config.keys.get(&key.digest)?;
        (holder.name != key.name).then(|| format!("key/{}", holder.name))
    };
    let kept = other(before).filter(|path| {
        let document = |config: &Config| config.documents.get(path.as_str()).cloned();
        document(before) == document(next)
    });
    other(next).is_some() || kept.is_some()
}

fn check_endpoint(next: &Config, path: &str, endpoint: &Endpoint) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    let mut report = |field: &str, value: Value, expected: String| {
        mistakes.push(Mistake::new(path, field, &value, expected));
    };
    if !next.zones.contains_key(&endpoint.zone) {
        let expected = "the name of an existing zone".to_owned();
        report("zone", json!(endpoint.zone), expected);
    }
    let mut others = next.endpoints.values().filter(|e| e.name != endpoint.name);
    if let Some(other) = others.find(|other| other.address == endpoint.address) {
        let expected = format!("an address other than that of endpoint/{}", other.name);
        report("address", json!(endpoint.address), expected);
    }
    if endpoint.cold_slots > endpoint.slots {
        let expected = format!("at most slots, {}", endpoint.slots);
        report("cold_slots", json!(endpoint.cold_slots), expected);
    }
    if endpoint.adapter_pool_mib > endpoint.memory_mib {
        let expected = format!("at most memory_mib, {}", endpoint.memory_mib);
        report(
            "adapter_pool_mib",
            json!(endpoint.adapter_pool_mib),
            expected,
        );
    }
    match endpoint.runs {
        Kind::Engine if endpoint.memory_mib == 0 => {
            let expected = "at least 1 for an engine".to_owned();
            report("memory_mib", json!(0), expected);
        }
        Kind::Service if endpoint.service.is_none() => {
            let expected = "the name of the plain service".to_owned();
            report("service", Value::Null, expected);
        }
        _ => {}
    }
    mistakes
}

/// Checks that nothing refers to a deleted record, and that every model still fits on an engine.
pub fn check_deleted(before: &Config, next: &Config, deleted: &[&str]) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    for path in deleted {
        let Some((kind, name)) = path.split_once('/') else {
            continue;
        };
        if let Some(user) = find_referrer(next, kind, name) {
            let expected = format!("no record that refers to it, but {user} does");
            mistakes.push(Mistake::new(path, "name", &json!(name), expected));
        }
    }
    mistakes.extend(check_capacity(before, next));
    mistakes
}

fn find_referrer(next: &Config, kind: &str, name: &str) -> Option<String> {
    match kind {
        "model" => {
            let mut adapters = next.adapters.values();
            let user = adapters.find(|adapter| &*adapter.model == name)?;
            Some(format!("adapter/{}", user.name))
        }
        "workspace" => {
            let mut keys = next.keys.values();
            let user = keys.find(|key| &*key.workspace == name)?;
            Some(format!("key/{}", user.name))
        }
        "zone" => {
            let mut endpoints = next.endpoints.values();
            let user = endpoints.find(|endpoint| &*endpoint.zone == name)?;
            Some(format!("endpoint/{}", user.name))
        }
        _ => None,
    }
}

fn check_capacity(before: &Config, next: &Config) -> Vec<Mistake> {
    let (Some(old), Some(new)) = (model_capacity(before), model_capacity(next)) else {
        return Vec::new();
    };
    let unplaceable = next
        .models
        .values()
        .filter(|model| model.memory_mib > new && model.memory_mib <= old);
    unplaceable
        .map(|model| {
            let path = format!("model/{}", model.name);
            let expected = format!("at most {new}, the largest engine after this change");
            Mistake::new(&path, "memory_mib", &json!(model.memory_mib), expected)
        })
        .collect()
}

/// Returns the largest model size that fits on an engine beside its adapter pool, in MiB; `None` without engines.
fn model_capacity(config: &Config) -> Option<u64> {
    let engines = config.endpoints.values().filter(|e| e.runs == Kind::Engine);
    engines
        .map(|engine| engine.memory_mib.saturating_sub(engine.adapter_pool_mib))
        .max()
}

fn missing_reference(path: &str, field: &str, name: &str) -> Mistake {
    let expected = format!("the name of an existing {field}");
    Mistake::new(path, field, &json!(name), expected)
}
