//! Counters and histograms of the daemon on a platform.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Outcome {
    /// Short reason.
    pub reason: &'static str,
    /// Status code.
    pub status: u16,
}

/// All metrics.
#[derive(Debug)]
pub struct Meter {
    /// Requests by how they ended.
    pub outcomes: Family<Outcome, Counter>,
    /// Seconds until the first byte of an answer.
    pub first_byte: Histogram,
    /// Requests sent to a second endpoint.
    pub retries: Counter,
    /// Streams that went on at another endpoint.
    pub resumes: Counter,
    /// Streams that were complete but not on time.
    pub late: Counter,
    /// New connections to endpoints.
    pub connects: Counter,
    /// Calls to the platform's store.
    pub store_calls: Counter,
    /// Orders to engines.
    pub orders: Counter,
    /// Reports read from engines.
    pub reports: Counter,
    /// Datagrams sent to peers.
    pub digests: Counter,
    /// Requests in flight.
    pub in_flight: Gauge,
}

impl Meter {
    /// Registers all metrics.
    pub fn open(registry: &mut Registry) -> Self {
        let meter = Self {
            outcomes: Family::default(),
            first_byte: Histogram::new(exponential_buckets(0.002, 2.0, 14)),
            retries: Counter::default(),
            resumes: Counter::default(),
            late: Counter::default(),
            connects: Counter::default(),
            store_calls: Counter::default(),
            orders: Counter::default(),
            reports: Counter::default(),
            digests: Counter::default(),
            in_flight: Gauge::default(),
        };
        registry.register(
            "requests",
            "Requests by how they ended",
            meter.outcomes.clone(),
        );
        let first = meter.first_byte.clone();
        registry.register("first_byte_seconds", "Time to the first byte", first);
        registry.register("retries", "Requests sent again", meter.retries.clone());
        registry.register(
            "resumes",
            "Streams resumed elsewhere",
            meter.resumes.clone(),
        );
        registry.register("late", "Complete streams not on time", meter.late.clone());
        registry.register(
            "connects",
            "New connections to endpoints",
            meter.connects.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store",
            meter.store_calls.clone(),
        );
        registry.register("orders", "Orders to engines", meter.orders.clone());
        registry.register(
            "reports",
            "Reports read from engines",
            meter.reports.clone(),
        );
        registry.register("digests", "Datagrams sent to peers", meter.digests.clone());
        registry.register("in_flight", "Requests in flight", meter.in_flight.clone());
        meter
    }

    /// Counts the end of a request.
    pub fn ended(&self, reason: &'static str, status: u16) {
        let outcome = Outcome { reason, status };
        self.outcomes.get_or_create(&outcome).inc();
    }
}
