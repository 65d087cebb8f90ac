//! Metrics of seats, loans, grants and rate limits.

use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::Node;
use crate::metric;
use crate::protocol::peer::{Asks, Grants};

/// Counters and gauges of seats, loans, grants and rate limits.
#[derive(Debug)]
pub struct Meter {
    /// Requests refused because of their workspace's rate.
    pub refused: Counter,
    /// Requests waiting for tokens.
    pub waiting: Gauge,
    grant_calls: Counter,
    grant_asks: Counter,
    grant_failures: Counter,
    grant_tokens: Counter,
    grant_microseconds: Counter,
    parts: Gauge,
    usable: Gauge,
    lent: Gauge,
    loans: Gauge,
}

impl Meter {
    /// Registers all metrics.
    pub fn open(metrics: &mut Registry) -> Self {
        Self {
            refused: metric::register(metrics, "limit_refused", "Requests refused for their rate"),
            waiting: metric::register(metrics, "limit_waiting", "Requests waiting for tokens"),
            grant_calls: metric::register(metrics, "grant_calls", "Messages to homes for tokens"),
            grant_asks: metric::register(
                metrics,
                "grant_asks",
                "Requests for tokens in those messages",
            ),
            grant_failures: metric::register(
                metrics,
                "grant_failures",
                "Messages without an answer",
            ),
            grant_tokens: metric::register(
                metrics,
                "grant_tokens",
                "Tokens granted by other daemons",
            ),
            grant_microseconds: metric::register(
                metrics,
                "grant_microseconds",
                "Time waited for homes",
            ),
            parts: metric::register(metrics, "seat_parts", "Parts of 1048576 in the seat"),
            usable: metric::register(metrics, "seat_usable_parts", "Parts that may be used now"),
            lent: metric::register(metrics, "seat_lent_parts", "Parts that are lent"),
            loans: metric::register(metrics, "loans_borrowed", "Loans to this daemon"),
        }
    }

    /// Counts one message to a home daemon.
    pub fn record_call(&self, asks: &Asks, answer: Option<&Grants>, elapsed: Duration) {
        self.grant_calls.inc();
        self.grant_asks.inc_by(asks.asks.len() as u64);
        self.grant_microseconds.inc_by(elapsed.as_micros() as u64);
        match answer {
            Some(answer) => {
                let tokens = answer.grants.iter().map(|grant| grant.tokens).sum();
                self.grant_tokens.inc_by(tokens);
            }
            None => drop(self.grant_failures.inc()),
        }
    }

    /// Returns the number of tokens granted by other daemons so far.
    pub fn granted(&self) -> u64 {
        self.grant_tokens.get()
    }

    /// Formats the cost of all messages to home daemons so far.
    pub fn cost(&self) -> String {
        let calls = self.grant_calls.get();
        let mean = self.grant_microseconds.get() / calls.max(1);
        let tokens = self.grant_tokens.get();
        format!("grants: messages={calls} tokens={tokens} mean_microseconds={mean}")
    }

    /// Updates the gauges from the daemon's current state.
    pub fn observe(&self, node: &Node) {
        let now = node.now();
        let timing = node.quota.timing(&node.settings);
        let seat = node.quota.seat.lock();
        self.parts.set(i64::from(seat.parts()));
        self.usable.set(i64::from(seat.usable(now, &timing)));
        drop(seat);
        self.lent.set(i64::from(node.quota.lent(now)));
        self.loans.set(node.quota.loans(now) as i64);
    }
}
