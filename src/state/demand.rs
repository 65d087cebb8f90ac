//! Counters of the demand for each model.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use parking_lot::RwLock;
use serde::{Deserialize, Serialize};

use super::record::Name;

/// Cumulative demand.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Flow {
    /// Sum of the requests' tokens.
    pub tokens: u64,
    /// Sum of the times from a request's arrival to the end of its response, in milliseconds.
    pub busy_ms: u64,
}

impl Flow {
    /// Returns the increase since an earlier sample.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            tokens: self.tokens.saturating_sub(earlier.tokens),
            busy_ms: self.busy_ms.saturating_sub(earlier.busy_ms),
        }
    }

    /// Adds the counts of another flow.
    pub fn add(&mut self, other: &Self) {
        self.tokens += other.tokens;
        self.busy_ms += other.busy_ms;
    }
}

#[derive(Debug, Default)]
struct Counter {
    tokens: AtomicU64,
    busy_ms: AtomicU64,
}

/// Monotonic counters by model.
#[derive(Debug, Default)]
pub struct Demand {
    counters: RwLock<HashMap<Name, Arc<Counter>>>,
}

/// Guard for one request in progress; adds the elapsed time to the counter when dropped.
#[derive(Debug)]
pub struct InFlight {
    counter: Arc<Counter>,
    started: Instant,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let busy = self.started.elapsed().as_millis() as u64;
        self.counter.busy_ms.fetch_add(busy, Ordering::Relaxed);
    }
}

impl Demand {
    /// Counts a request that starts. Drop the returned guard at the end of its response.
    ///
    /// ```
    /// use persimmoncroft::state::demand::Demand;
    /// let demand = Demand::default();
    /// drop(demand.start(&"notes".into(), 40));
    /// assert_eq!(demand.totals()["notes"].tokens, 40);
    /// ```
    pub fn start(&self, model: &Name, tokens: u64) -> InFlight {
        let known = self.counters.read().get(model).cloned();
        let counter = known.unwrap_or_else(|| {
            let mut counters = self.counters.write();
            counters.entry(model.clone()).or_default().clone()
        });
        counter.tokens.fetch_add(tokens, Ordering::Relaxed);
        InFlight {
            counter,
            started: Instant::now(),
        }
    }

    /// Returns the current values by model.
    pub fn totals(&self) -> BTreeMap<Name, Flow> {
        let counters = self.counters.read();
        let flows = counters.iter().map(|(model, counter)| {
            let flow = Flow {
                tokens: counter.tokens.load(Ordering::Relaxed),
                busy_ms: counter.busy_ms.load(Ordering::Relaxed),
            };
            (model.clone(), flow)
        });
        flows.collect()
    }
}
