//! Adapter pool of one endpoint: a fixed part of its memory, filled on demand.
//!
//! At most one load is in flight. It is resent under the same identifier until it is answered, and an endpoint carries
//! out an identifier once per process. After a change of planner or of the endpoint's process, at most one load unknown
//! to the new planner can therefore still arrive from each earlier one. Room for these loads is kept free for the
//! lifetime of an order.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::state::record::Name;

/// Fraction of the pool, as a divisor, that a new planner keeps free for loads it does not know of.
const RESERVE_DIVISOR: u64 = 2;

/// Time after a change within which reports may not show it yet.
const REPORT_LAG: Duration = Duration::from_secs(2);

/// Next action to make an adapter usable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// No action: the adapter is loaded.
    Ready,
    /// Send this order until it is answered, then call [`Pool::prepare`] again.
    Send(Order),
    /// No action possible now: all other adapters are in use, or memory is reserved.
    Full,
}

/// A load or unload order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Order {
    /// Identifier, the same in all duplicates of the order.
    pub id: Arc<str>,
    /// Name of the adapter.
    pub adapter: Name,
    /// Memory of an adapter to load, in MiB; `None` to unload it.
    pub load_mib: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Entry {
    memory_mib: u64,
    last_used: Duration,
    changed_at: Duration,
    users: BTreeMap<Arc<str>, u32>,
}

/// Adapter pool of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Pool {
    capacity_mib: u64,
    loaded: BTreeMap<Name, Entry>,
    in_flight: Option<Order>,
    reserved_until: Duration,
}

impl Pool {
    /// Creates the pool of an endpoint whose earlier orders are unknown.
    ///
    /// ```
    /// use persimmoncroft::coordination::adapter::{Pool, Step};
    /// use std::time::Duration;
    /// let mut pool = Pool::open(100, Duration::ZERO, Duration::from_secs(30));
    /// let step = pool.prepare(&"tone".into(), 40, "o1", Duration::ZERO);
    /// assert!(matches!(step, Step::Send(_)));
    /// ```
    pub fn open(capacity_mib: u64, now: Duration, order_life: Duration) -> Self {
        Self {
            capacity_mib,
            loaded: BTreeMap::new(),
            in_flight: None,
            reserved_until: now + order_life,
        }
    }

    /// Applies a report that was read at `read_at`.
    pub fn observe(&mut self, reported: &BTreeMap<Name, u64>, read_at: Duration) {
        let settled = |entry: &Entry| read_at > entry.changed_at + REPORT_LAG;
        self.loaded
            .retain(|name, entry| reported.contains_key(name) || !settled(entry));
        for (name, memory_mib) in reported {
            if !self.loaded.contains_key(name) {
                let entry = Entry::open(*memory_mib, read_at);
                self.loaded.insert(name.clone(), entry);
            }
        }
    }

    /// Returns the next action to make an adapter usable.
    pub fn prepare(&mut self, adapter: &Name, memory_mib: u64, id: &str, now: Duration) -> Step {
        if let Some(order) = &self.in_flight {
            return Step::Send(order.clone());
        }
        if self.loaded.contains_key(adapter) {
            return Step::Ready;
        }
        let order = if self.used_mib() + memory_mib <= self.usable_mib(now) {
            Order {
                id: id.into(),
                adapter: adapter.clone(),
                load_mib: Some(memory_mib),
            }
        } else {
            let Some(victim) = self.least_recently_used() else {
                return Step::Full;
            };
            Order {
                id: id.into(),
                adapter: victim,
                load_mib: None,
            }
        };
        self.in_flight = Some(order.clone());
        Step::Send(order)
    }

    /// Ends the order in flight, which the endpoint has answered.
    pub fn answer(&mut self, id: &str, done: bool, now: Duration) {
        let Some(order) = self.in_flight.take_if(|order| &*order.id == id) else {
            return;
        };
        match order.load_mib {
            Some(memory_mib) if done => {
                let entry = Entry::open(memory_mib, now);
                self.loaded.insert(order.adapter, entry);
            }
            None if done => drop(self.loaded.remove(&order.adapter)),
            _ => {}
        }
    }

    /// Records that a request of a daemon uses an adapter, which keeps it from eviction. Returns `false` if the adapter
    /// is not loaded or is about to be unloaded.
    pub fn hold(&mut self, adapter: &str, daemon: &Arc<str>, now: Duration) -> bool {
        let unloading = self
            .in_flight
            .as_ref()
            .is_some_and(|order| &*order.adapter == adapter);
        let Some(entry) = self.loaded.get_mut(adapter).filter(|_| !unloading) else {
            return false;
        };
        entry.last_used = now;
        *entry.users.entry(daemon.clone()).or_default() += 1;
        true
    }

    /// Ends one use of an adapter.
    pub fn release(&mut self, adapter: &str, daemon: &str) {
        let Some(entry) = self.loaded.get_mut(adapter) else {
            return;
        };
        let Some(count) = entry.users.get_mut(daemon) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            entry.users.remove(daemon);
        }
    }

    /// Ends the uses by daemons that are gone.
    pub fn retain_daemons(&mut self, live: &BTreeSet<Arc<str>>) {
        for entry in self.loaded.values_mut() {
            entry.users.retain(|daemon, _| live.contains(daemon));
        }
    }

    /// Returns the maximum memory in use by everything this planner knows of, in MiB.
    pub fn used_mib(&self) -> u64 {
        let loaded: u64 = self.loaded.values().map(|entry| entry.memory_mib).sum();
        let loading = self.in_flight.as_ref().and_then(|order| order.load_mib);
        loaded + loading.unwrap_or(0)
    }

    fn usable_mib(&self, now: Duration) -> u64 {
        if now < self.reserved_until {
            return self.capacity_mib - self.capacity_mib / RESERVE_DIVISOR;
        }
        self.capacity_mib
    }

    /// Returns the least recently used adapter without users.
    fn least_recently_used(&self) -> Option<Name> {
        let idle = self
            .loaded
            .iter()
            .filter(|(_, entry)| entry.users.is_empty());
        let oldest = idle.min_by_key(|(_, entry)| entry.last_used);
        oldest.map(|(name, _)| name.clone())
    }
}

impl Entry {
    fn open(memory_mib: u64, now: Duration) -> Self {
        Self {
            memory_mib,
            last_used: now,
            changed_at: now,
            users: BTreeMap::new(),
        }
    }
}
