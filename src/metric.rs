//! Registration of metrics.

use prometheus_client::registry::{Metric, Registry};

/// Registers a new metric and returns a handle to it.
///
/// ```
/// use persimmoncroft::metric;
/// use prometheus_client::metrics::counter::Counter;
/// use prometheus_client::registry::Registry;
/// let mut registry = Registry::default();
/// let retries: Counter = metric::register(&mut registry, "retries", "Requests sent again");
/// assert_eq!(retries.inc(), 0);
/// ```
pub fn register<M: Metric + Clone + Default>(registry: &mut Registry, name: &str, help: &str) -> M {
    let metric = M::default();
    registry.register(name, help, metric.clone());
    metric
}
