//! Sizes of the two user sites: zones, daemons, endpoints, models, adapters and workspaces.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use persimmoncroft::state::record::{Adapter, Key, Kind, Model, Name, Record, Zone};
use serde_json::json;

use crate::engine::{self, batch::Speed};
use crate::recorder::SECRET_PREFIX;

/// Names of the availability zones.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// Number of keys per workspace.
pub const KEYS_PER_WORKSPACE: usize = 2;

/// Path prefix of calls that are not idempotent.
pub const CHARGES_PREFIX: &str = "/charges";

/// Path prefix of idempotent calls.
pub const LOOKUPS_PREFIX: &str = "/lookups";

const SERVICE_NAME: &str = "desk";
const ADAPTER_MIB: u64 = 64;
const ADAPTER_POOL_MIB: u64 = 8 * ADAPTER_MIB;
const MODELS_PER_ENGINE: u64 = 4;
const LARGEST_MODEL_MIB: u64 = 2000;
const REPLICAS_PER_MODEL: usize = 2;
const COLD_SLOTS: u32 = 2;
const RAMP_SECONDS: u64 = 3;
const ENGINE_SPEED: Speed = Speed {
    step: Duration::from_millis(10),
    step_per_sequence: Duration::from_millis(1),
    prefill_per_token: Duration::from_micros(500),
};
const SERVICE_SLOTS: u32 = 64;

/// Fleet and workload sizes of one user.
#[derive(Debug, Clone)]
pub struct Site {
    /// Name on the command line.
    pub name: &'static str,
    /// Number of daemons, spread over the zones.
    pub daemons: usize,
    /// Number of model engines, spread over the zones.
    pub engines: usize,
    /// Number of plain service replicas, spread over the zones.
    pub services: usize,
    /// Number of models.
    pub models: usize,
    /// Number of adapters, spread over the models.
    pub adapters: usize,
    /// Names of the workspaces and their rates in tokens per second.
    pub workspaces: [(&'static str, u64); 5],
    /// Number of concurrent model loads at full speed.
    pub concurrent_model_loads: u32,
    /// Number of concurrent adapter loads at full speed.
    pub concurrent_adapter_loads: u32,
    /// Duration of one adapter load at full speed.
    pub adapter_load_time: Duration,
    /// One-way delay between clients and daemons.
    pub client_delay: Duration,
    /// Concurrent sequences of a warm engine.
    pub slots: u32,
    /// Step and prefill times of the engines.
    pub speed: Speed,
}

impl FromStr for Site {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "lakeshore" => Ok(lakeshore()),
            "glockenhuber" => Ok(glockenhuber()),
            _ => Err("expected lakeshore or glockenhuber".into()),
        }
    }
}

/// Returns the site of Lakeshore Mailroom Film Lab.
pub fn lakeshore() -> Site {
    Site {
        name: "lakeshore",
        daemons: 8,
        engines: 9,
        services: 3,
        models: 14,
        adapters: 40,
        workspaces: [
            ("bench", 4500),
            ("desk", 3000),
            ("tags", 700),
            ("archive", 500),
            ("kiosk", 300),
        ],
        concurrent_model_loads: 6,
        concurrent_adapter_loads: 50,
        adapter_load_time: Duration::from_millis(8),
        client_delay: Duration::from_millis(1),
        slots: 16,
        speed: ENGINE_SPEED,
    }
}

/// Returns the site of Glockenhuber Schulklang.
pub fn glockenhuber() -> Site {
    Site {
        name: "glockenhuber",
        daemons: 7,
        engines: 9,
        services: 3,
        models: 13,
        adapters: 55,
        workspaces: [
            ("schools", 4000),
            ("shop", 3000),
            ("towns", 800),
            ("captions", 600),
            ("caretaker", 300),
        ],
        concurrent_model_loads: 3,
        concurrent_adapter_loads: 25,
        adapter_load_time: Duration::from_millis(6),
        client_delay: Duration::from_millis(3),
        slots: 16,
        speed: ENGINE_SPEED,
    }
}

/// Returns the zone of the daemon, engine or service at an index.
pub fn zone(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

/// Returns the secret of a workspace's key.
pub fn secret(workspace: &str, key: usize) -> String {
    format!("{SECRET_PREFIX}{workspace}-{key}-0123456789")
}

impl Site {
    /// Returns the name of a model.
    pub fn model_name(&self, index: usize) -> Name {
        format!("model-{index}").into()
    }

    /// Returns the name of an adapter and the index of its base model.
    pub fn adapter(&self, index: usize) -> (Name, usize) {
        (format!("adapter-{index}").into(), index % self.models)
    }

    /// Returns the bucket capacity for a rate, in tokens.
    pub fn burst(&self, rate: u64) -> u64 {
        rate * 2
    }

    /// Returns the duration of one model load at full speed: two loads per second in total.
    pub fn model_load_time(&self) -> Duration {
        Duration::from_millis(500) * self.concurrent_model_loads
    }

    fn model_mib(&self, index: usize) -> u64 {
        LARGEST_MODEL_MIB - 100 * (index as u64 % 8)
    }

    fn memory_mib(&self) -> u64 {
        MODELS_PER_ENGINE * LARGEST_MODEL_MIB + ADAPTER_POOL_MIB
    }

    /// Returns the models loaded on an engine at start; each model is on two engines in different zones.
    pub fn initial_models(&self, engine: usize) -> Vec<usize> {
        let replicas = 0..self.models * REPLICAS_PER_MODEL;
        let assigned = replicas.filter(|replica| replica % self.engines == engine);
        let mut models: Vec<usize> = assigned
            .map(|replica| replica / REPLICAS_PER_MODEL)
            .collect();
        models.dedup();
        models
    }

    /// Returns the settings of an engine.
    pub fn engine_settings(&self, index: usize) -> engine::Settings {
        let models = self.initial_models(index);
        let adapters = (0..self.adapters).map(|index| self.adapter(index));
        let held = adapters.filter(|(_, model)| models.contains(model));
        engine::Settings {
            name: format!("engine-{index}").into(),
            zone: zone(index).into(),
            memory_mib: self.memory_mib(),
            slots: self.slots,
            cold_slots: COLD_SLOTS,
            ramp: Duration::from_secs(RAMP_SECONDS),
            fenced: index.is_multiple_of(2),
            report_delay: Duration::from_millis(200),
            speed: self.speed,
            adapters: held
                .take((ADAPTER_POOL_MIB / ADAPTER_MIB) as usize)
                .map(|(name, model)| (name, self.model_name(model), ADAPTER_MIB))
                .collect(),
            models: models
                .iter()
                .map(|model| (self.model_name(*model), self.model_mib(*model)))
                .collect(),
        }
    }

    /// Returns all records for the given endpoint addresses.
    pub fn records(&self, engines: &[SocketAddr], services: &[SocketAddr]) -> Vec<Record> {
        let mut records: Vec<Record> = ZONES
            .iter()
            .map(|zone| self.zone_record(zone, false))
            .collect();
        records.extend((0..self.models).map(|index| {
            Record::Model(Model {
                name: self.model_name(index),
                version: 1,
                memory_mib: self.model_mib(index),
                min_replicas: REPLICAS_PER_MODEL as u32,
            })
        }));
        records.extend((0..self.adapters).map(|index| {
            let (name, model) = self.adapter(index);
            let model = self.model_name(model);
            Record::Adapter(Adapter {
                name,
                model,
                memory_mib: ADAPTER_MIB,
            })
        }));
        for (name, rate) in self.workspaces {
            records.push(self.workspace_record(name, rate, 1));
            records.extend((0..KEYS_PER_WORKSPACE).map(|key| self.key_record(name, key, false)));
        }
        let endpoints = engines.iter().enumerate();
        records
            .extend(endpoints.map(|(index, address)| self.engine_record(index, *address, false)));
        let endpoints = services.iter().enumerate();
        records.extend(endpoints.map(|(index, address)| self.service_record(index, *address)));
        records.push(route("charges", CHARGES_PREFIX, false));
        records.push(route("lookups", LOOKUPS_PREFIX, true));
        records
    }

    /// Returns a zone record.
    pub fn zone_record(&self, name: &str, out: bool) -> Record {
        Record::Zone(Zone {
            name: name.into(),
            region: "default".into(),
            out,
        })
    }

    /// Returns a workspace record.
    pub fn workspace_record(&self, name: &str, rate: u64, weight: u32) -> Record {
        let burst = self.burst(rate);
        parse_record(json!({
            "kind": "workspace", "name": name, "rate_tokens_per_second": rate, "burst_tokens": burst,
            "weight": weight,
        }))
    }

    /// Returns a key record.
    pub fn key_record(&self, workspace: &str, key: usize, withdrawn: bool) -> Record {
        let digest = Key::digest_of(&secret(workspace, key));
        parse_record(json!({
            "kind": "key", "name": format!("{workspace}-{key}"), "digest": digest,
            "workspace": workspace, "withdrawn": withdrawn,
        }))
    }

    /// Returns the endpoint record of an engine.
    pub fn engine_record(&self, index: usize, address: SocketAddr, leaving: bool) -> Record {
        parse_record(json!({
            "kind": "endpoint", "name": format!("engine-{index}"), "zone": zone(index),
            "address": address, "type": Kind::Engine, "memory_mib": self.memory_mib(),
            "adapter_pool_mib": ADAPTER_POOL_MIB, "slots": self.slots, "cold_slots": COLD_SLOTS,
            "ramp_seconds": RAMP_SECONDS, "fenced": index.is_multiple_of(2), "leaving": leaving,
        }))
    }

    fn service_record(&self, index: usize, address: SocketAddr) -> Record {
        parse_record(json!({
            "kind": "endpoint", "name": format!("desk-{index}"), "zone": zone(index),
            "address": address, "type": Kind::Service, "service": SERVICE_NAME, "slots": SERVICE_SLOTS,
            "cold_slots": SERVICE_SLOTS,
        }))
    }
}

fn route(name: &str, prefix: &str, idempotent: bool) -> Record {
    parse_record(json!({
        "kind": "route", "name": name, "prefix": prefix, "service": SERVICE_NAME,
        "idempotent": idempotent, "cost_tokens": 1,
    }))
}

fn parse_record(value: serde_json::Value) -> Record {
    serde_json::from_value(value).expect("trial records are well-formed")
}
