//! Memory ledger of one endpoint: what may be in its accelerator memory, and the one order in flight to it.
//!
//! The ledger is stored in the table before an order is sent. Reserved memory includes all resident models, the model
//! that the order in flight may load, and models that a delayed duplicate of an earlier load may still bring back.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::record::Name;

/// A model version in the memory of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
pub struct Holding {
    /// Name of the model.
    pub model: Name,
    /// Version of the model.
    pub version: u64,
    /// Memory in use, in MiB.
    pub memory_mib: u64,
}

/// Change requested by an order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Load a model.
    Load(Holding),
    /// Unload all versions of a model up to the given one.
    Unload {
        /// Name of the model.
        model: Name,
        /// Highest version to unload.
        version: u64,
    },
}

/// The order in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct Pending {
    /// Identifier, the same in all duplicates of the order.
    pub id: Arc<str>,
    /// Fencing number; higher than that of any earlier order to the endpoint.
    pub fence: u64,
    /// The requested change.
    pub change: Change,
}

/// A load order of which a duplicate may still arrive.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct Recent {
    /// Identifier of the order.
    pub id: Arc<str>,
    /// The model that it loads.
    pub holding: Holding,
}

/// A model in an endpoint's report.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReportedModel {
    /// The model version.
    pub holding: Holding,
    /// Whether it has finished loading.
    pub ready: bool,
}

/// Status reported by an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Report {
    /// Identifier of the endpoint's process.
    pub boot: Arc<str>,
    /// Identifier of the last order that was carried out or refused.
    pub last_order: Option<Arc<str>>,
    /// Highest fencing number seen by the endpoint.
    pub fence: u64,
    /// Models in memory.
    pub copies: Vec<ReportedModel>,
}

/// Why an order cannot begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Another order is in flight.
    Busy,
    /// The memory is not guaranteed to be free.
    Memory,
    /// The model is already loaded, or is not there to be unloaded.
    NoEffect,
}

/// Ledger of one endpoint; stored as one table row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct Ledger {
    /// Identifier of the endpoint process that the resident set belongs to.
    pub boot: Arc<str>,
    /// Fencing number of the latest order.
    pub fence: u64,
    /// Models in memory.
    pub resident: Vec<Holding>,
    /// The order in flight.
    pub pending: Option<Pending>,
    /// Load orders of which duplicates may still arrive.
    pub recent: Vec<Recent>,
}

impl Ledger {
    /// Creates the ledger of an endpoint that has none, from the endpoint's report.
    pub fn adopt(report: &Report) -> Self {
        let mut ledger = Self {
            boot: report.boot.clone(),
            fence: report.fence,
            resident: Vec::new(),
            pending: None,
            recent: Vec::new(),
        };
        ledger.resident = reported_holdings(report);
        ledger
    }

    /// Returns an upper bound of the memory in use from now on, in MiB.
    ///
    /// ```
    /// use persimmoncroft::coordination::ledger::{Change, Holding, Ledger, Report};
    /// let report = Report { boot: "b1".into(), last_order: None, fence: 0, copies: Vec::new() };
    /// let mut ledger = Ledger::adopt(&report);
    /// let notes = Holding { model: "notes".into(), version: 1, memory_mib: 60 };
    /// ledger.begin("o1", Change::Load(notes), 100).unwrap();
    /// assert_eq!(ledger.reserved_mib(), 60);
    /// ```
    pub fn reserved_mib(&self) -> u64 {
        self.possible_memory(None).values().sum()
    }

    /// Returns whether a model version is guaranteed to fit in the memory.
    pub fn fits(&self, holding: &Holding, capacity_mib: u64) -> bool {
        self.possible_memory(Some(holding)).values().sum::<u64>() <= capacity_mib
    }

    /// Returns whether a version of a model is in memory.
    pub fn holds(&self, model: &str, version: u64) -> bool {
        let mut resident = self.resident.iter();
        resident.any(|holding| &*holding.model == model && holding.version == version)
    }

    /// Begins an order. The ledger must be stored before the order is sent.
    ///
    /// # Errors
    /// Returns a [`Refusal`] and leaves the ledger unchanged.
    pub fn begin(&mut self, id: &str, change: Change, capacity_mib: u64) -> Result<(), Refusal> {
        if self.pending.is_some() {
            return Err(Refusal::Busy);
        }
        let id: Arc<str> = id.into();
        match &change {
            Change::Load(holding) => {
                if self.holds(&holding.model, holding.version) {
                    return Err(Refusal::NoEffect);
                }
                if !self.fits(holding, capacity_mib) {
                    return Err(Refusal::Memory);
                }
                self.recent.push(Recent {
                    id: id.clone(),
                    holding: holding.clone(),
                });
            }
            Change::Unload { model, version } => {
                let mut resident = self.resident.iter();
                if !resident.any(|holding| covers(holding, model, *version)) {
                    return Err(Refusal::NoEffect);
                }
            }
        }
        self.fence += 1;
        self.pending = Some(Pending {
            id,
            fence: self.fence,
            change,
        });
        Ok(())
    }

    /// Applies a report. `answered` tells that the endpoint acknowledged the order in flight before the report was
    /// read. Reports must be applied in the order in which they were read.
    pub fn observe(&mut self, report: &Report, answered: bool) {
        if report.boot != self.boot {
            self.boot = report.boot.clone();
            self.pending = None;
            self.resident = reported_holdings(report);
            return;
        }
        self.fence = self.fence.max(report.fence);
        for holding in reported_holdings(report) {
            if !self.holds(&holding.model, holding.version) {
                self.resident.push(holding);
            }
        }
        self.resident.sort();
        let Some(pending) = &self.pending else {
            self.resident.retain(|holding| is_reported(report, holding));
            return;
        };
        let acknowledged = answered || report.last_order.as_ref() == Some(&pending.id);
        if acknowledged && is_complete(report, &pending.change) {
            self.resident.retain(|holding| is_reported(report, holding));
            self.pending = None;
        }
    }

    /// Ends the order in flight because the endpoint refused it.
    pub fn refuse(&mut self, id: &str) {
        let matches = |pending: &Pending| &*pending.id == id;
        if self.pending.as_ref().is_some_and(matches) {
            self.pending = None;
        }
    }

    /// Raises the fencing number of the order in flight above one that the endpoint has seen.
    pub fn raise(&mut self, seen: u64) {
        self.fence = self.fence.max(seen) + 1;
        if let Some(pending) = &mut self.pending {
            pending.fence = self.fence;
        }
    }

    /// Stops counting an earlier load. Only sound once the lifetime of its last sent duplicate has passed.
    pub fn forget(&mut self, id: &str) {
        let pending = self.pending.as_ref().map(|pending| pending.id.clone());
        self.recent
            .retain(|recent| &*recent.id != id || pending.as_ref() == Some(&recent.id));
    }

    /// Returns the memory of each model version that may be in use, each counted once.
    fn possible_memory(&self, more: Option<&Holding>) -> BTreeMap<(Name, u64), u64> {
        let recent = self.recent.iter().map(|recent| &recent.holding);
        let mut possible_memory = BTreeMap::new();
        for holding in self.resident.iter().chain(recent).chain(more) {
            let key = (holding.model.clone(), holding.version);
            let memory = possible_memory.entry(key).or_insert(0);
            *memory = holding.memory_mib.max(*memory);
        }
        possible_memory
    }
}

/// When orders were last sent, by one daemon's clock. An order first seen in a ledger counts as sent at that time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Quarantine {
    sent_at: BTreeMap<Arc<str>, Duration>,
}

impl Quarantine {
    /// Records that an order was sent.
    pub fn send(&mut self, id: &Arc<str>, now: Duration) {
        self.sent_at.insert(id.clone(), now);
    }

    /// Returns when an order was last sent.
    pub fn sent(&self, id: &str) -> Option<Duration> {
        self.sent_at.get(id).copied()
    }

    /// Stops counting the loads of a ledger whose duplicates have all expired: the report that the ledger has just
    /// applied was read more than `life` after they were last sent.
    pub fn release(
        &mut self,
        ledger: &mut Ledger,
        read_at: Duration,
        now: Duration,
        life: Duration,
    ) {
        let mut known: Vec<Arc<str>> = ledger.recent.iter().map(|r| r.id.clone()).collect();
        known.extend(ledger.pending.iter().map(|pending| pending.id.clone()));
        self.sent_at.retain(|id, _| known.contains(id));
        for id in known {
            let since = *self.sent_at.entry(id.clone()).or_insert(now);
            if read_at > since + life {
                ledger.forget(&id);
            }
        }
    }
}

fn covers(holding: &Holding, model: &str, version: u64) -> bool {
    &*holding.model == model && holding.version <= version
}

fn reported_holdings(report: &Report) -> Vec<Holding> {
    let copies = report.copies.iter();
    let mut holdings: Vec<Holding> = copies.map(|copy| copy.holding.clone()).collect();
    holdings.sort();
    holdings
}

fn is_reported(report: &Report, holding: &Holding) -> bool {
    report
        .copies
        .iter()
        .any(|copy| copy.holding.model == holding.model && copy.holding.version == holding.version)
}

/// Returns whether a report shows that a change is complete.
fn is_complete(report: &Report, change: &Change) -> bool {
    let mut copies = report.copies.iter();
    match change {
        Change::Load(wanted) => copies.any(|copy| {
            let same = copy.holding.model == wanted.model;
            same && copy.holding.version == wanted.version && copy.ready
        }),
        Change::Unload { model, version } => {
            !copies.any(|copy| covers(&copy.holding, model, *version))
        }
    }
}
