//! Metrics of the daemon on a platform.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::metric;
use crate::state::catalog::Route;

/// Labels of the request counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Outcome {
    /// Reason code.
    pub reason: &'static str,
    /// Status code.
    pub status: u16,
}

/// Labels of the counter of moves.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Move {
    /// How the attempt ended.
    pub outcome: &'static str,
}

/// Labels of the counter of take-ups.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Origin {
    /// Where the version that began the stream was known.
    pub source: &'static str,
}

/// Labels of the counters of requests that daemons hand to each other.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Handover {
    /// How it ended.
    pub outcome: &'static str,
}

/// Labels of metrics by route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteLabel {
    /// Name of the route.
    pub route: String,
}

impl RouteLabel {
    /// Label of a route.
    pub fn of(route: &Route) -> Self {
        Self {
            route: route.name.to_string(),
        }
    }
}

/// Labels of the gauge of tables' ages.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Age {
    /// The table.
    pub table: &'static str,
}

/// Labels of the counter of inferred starts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Inferred {
    /// Why the endpoint is taken to have started.
    pub cause: &'static str,
}

/// Labels of the counter of usage reports.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Report {
    /// How it ended.
    pub outcome: &'static str,
}

/// Labels of the gauges of replicas.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Replicas {
    /// The service.
    pub service: String,
    /// The availability zone.
    pub zone: String,
}

/// Labels of the gauge of endpoints' limits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Paced {
    /// The endpoint.
    pub endpoint: String,
}

/// Metrics of the daemon.
#[derive(Debug)]
pub struct Meter {
    /// Requests by outcome.
    pub outcomes: Family<Outcome, Counter>,
    /// Time to the first byte of a response, in seconds.
    pub first_byte: Histogram,
    /// Requests sent again to another endpoint.
    pub retries: Counter,
    /// Streams resumed at another endpoint.
    pub resumes: Counter,
    /// Responses whose head was late.
    pub late_heads: Counter,
    /// Attempts to move streams from silent endpoints, by how they ended.
    pub moves: Family<Move, Counter>,
    /// Requests that take a stream up again, by where the version that began it was known.
    pub origins: Family<Origin, Counter>,
    /// Responses that were cut at their start, as evidence against the parts of their prompts.
    pub crashes: Counter,
    /// Groups of prompt parts whose requests are refused.
    pub held_parts: Gauge,
    /// Requests that were not sent to an endpoint because it takes no more.
    pub limited: Counter,
    /// Endpoints that have named a limit.
    pub limited_endpoints: Gauge,
    /// 1 while the links to the endpoints are lost, or not yet all back.
    pub links_lost: Gauge,
    /// Probes of endpoints to find out whether the links are lost.
    pub link_probes: Counter,
    /// Requests handed to other daemons, by how that ended.
    pub handovers: Family<Handover, Counter>,
    /// Requests of other daemons, by how they ended.
    pub received: Family<Handover, Counter>,
    /// Attempts to get what another daemon has in force, by how they ended.
    pub catch_ups: Family<Handover, Counter>,
    /// Requests that were not sent to an endpoint for want of room there.
    pub no_room: Counter,
    /// Requests to contended services that wait for a permit, by route.
    pub waiting: Family<RouteLabel, Gauge>,
    /// Requests to contended services that got a permit, by route.
    pub begun: Family<RouteLabel, Counter>,
    /// Requests to contended services that were refused, by route.
    pub refused: Family<RouteLabel, Counter>,
    /// Services whose endpoints must not be made to reject requests.
    pub bounded_services: Gauge,
    /// Limits of endpoints that have started or recovered, by endpoint; 0 without a limit.
    pub paces: Family<Paced, Gauge>,
    /// Streams that completed but were not on time.
    pub late: Counter,
    /// Connections from callers and checks that ended with an error.
    pub failed_connections: Counter,
    /// New connections to endpoints.
    pub connects: Counter,
    /// Starts of endpoints that their entries have not told of, by why they are inferred.
    pub inferred_starts: Family<Inferred, Counter>,
    /// Requests that were not sent on a new connection because the endpoint turned out to be cold.
    pub cold_unsent: Counter,
    /// Time for which changes of a table may have been missed, in milliseconds.
    pub table_age: Family<Age, Gauge>,
    /// Polls of the store that were not answered in time.
    pub late_polls: Counter,
    /// Calls to the platform's store.
    pub store_calls: Counter,
    /// Orders sent to engines.
    pub orders: Counter,
    /// Reports read from engines.
    pub reports: Counter,
    /// Datagrams sent to peers.
    pub digests: Counter,
    /// Replicas that are ordered, at the daemon that orders them.
    pub replicas_desired: Family<Replicas, Gauge>,
    /// Replicas that can be connected to, at the daemon that orders them.
    pub replicas_ready: Family<Replicas, Gauge>,
    /// Replicas that are ordered and not yet listed, at the daemon that orders them.
    pub replicas_booting: Family<Replicas, Gauge>,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// 1 while this daemon may make calls to the platform's API for the fleet.
    pub duties_held: Gauge,
    /// Usage reports and attempts to send them, by how they ended.
    pub usage_reports: Family<Report, Counter>,
}

impl Meter {
    /// Registers all metrics.
    pub fn open(registry: &mut Registry) -> Self {
        let first_byte = Histogram::new(exponential_buckets(0.002, 2.0, 14));
        let help = "Time to the first byte";
        registry.register("first_byte_seconds", help, first_byte.clone());
        Self {
            outcomes: metric::register(registry, "requests", "Requests by how they ended"),
            first_byte,
            retries: metric::register(registry, "retries", "Requests sent again"),
            resumes: metric::register(registry, "resumes", "Streams resumed elsewhere"),
            late_heads: metric::register(registry, "late_heads", "Responses whose head was late"),
            moves: metric::register(registry, "moves", "Moves of streams from silent endpoints"),
            origins: metric::register(registry, "origins", "Streams taken up, by what knew them"),
            crashes: metric::register(registry, "crashes", "Responses cut at their start"),
            held_parts: metric::register(registry, "held_parts", "Groups of prompt parts refused"),
            limited: metric::register(registry, "limited", "Sends that a limit prevented"),
            waiting: metric::register(registry, "waiting", "Requests that wait for a permit"),
            begun: metric::register(registry, "begun", "Requests that got a permit"),
            refused: metric::register(registry, "refused", "Requests refused, by route"),
            no_room: metric::register(registry, "no_room", "Sends prevented for want of room"),
            bounded_services: metric::register(
                registry,
                "bounded_services",
                "Services whose endpoints must not be made to reject requests",
            ),
            paces: metric::register(registry, "paces", "Limits of endpoints that have started"),
            limited_endpoints: metric::register(
                registry,
                "limited_endpoints",
                "Endpoints that have named a limit",
            ),
            links_lost: metric::register(
                registry,
                "links_lost",
                "Whether the links to the endpoints are lost",
            ),
            link_probes: metric::register(registry, "link_probes", "Probes of endpoints' links"),
            handovers: metric::register(registry, "handovers", "Requests handed to other daemons"),
            received: metric::register(registry, "received", "Requests taken from other daemons"),
            catch_ups: metric::register(
                registry,
                "catch_ups",
                "Attempts to get what another daemon has in force",
            ),
            late: metric::register(registry, "late", "Complete streams not on time"),
            failed_connections: metric::register(
                registry,
                "failed_connections",
                "Connections from callers that ended with an error",
            ),
            connects: metric::register(registry, "connects", "New connections to endpoints"),
            inferred_starts: metric::register(
                registry,
                "inferred_starts",
                "Starts of endpoints that their entries have not told of",
            ),
            cold_unsent: metric::register(
                registry,
                "cold_unsent",
                "Sends prevented as the endpoint turned out to be cold",
            ),
            table_age: metric::register(
                registry,
                "table_age_milliseconds",
                "Time for which changes of a table may have been missed",
            ),
            late_polls: metric::register(registry, "late_polls", "Polls not answered in time"),
            store_calls: metric::register(registry, "store_calls", "Calls to the store"),
            orders: metric::register(registry, "orders", "Orders to engines"),
            reports: metric::register(registry, "reports", "Reports read from engines"),
            digests: metric::register(registry, "digests", "Datagrams sent to peers"),
            replicas_desired: metric::register(registry, "replicas_desired", "Replicas ordered"),
            replicas_ready: metric::register(registry, "replicas_ready", "Replicas that serve"),
            replicas_booting: metric::register(
                registry,
                "replicas_booting",
                "Replicas ordered and not yet listed",
            ),
            in_flight: metric::register(registry, "in_flight", "Requests in flight"),
            duties_held: metric::register(
                registry,
                "duties_held",
                "Whether this daemon calls the platform's API for the fleet",
            ),
            usage_reports: metric::register(registry, "usage_reports", "Usage reports"),
        }
    }

    /// Counts the end of a request.
    pub fn count_outcome(&self, reason: &'static str, status: u16) {
        let outcome = Outcome { reason, status };
        self.outcomes.get_or_create(&outcome).inc();
    }
}
