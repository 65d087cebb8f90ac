//! Services whose requests of very different objectives compete for the same engines.

use std::collections::HashMap;
use std::time::Duration;

use crate::state::catalog::Catalog;
use crate::state::record::Name;

/// Smallest ratio between the largest and the smallest objective of the routes to a contended service.
pub const MIN_SPREAD: u32 = 10;

/// Objective and priority of a route; 0 is the most urgent priority.
type Demand = (Duration, u8);

/// Contended services, each with the shortest objective of the routes to it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Contention {
    services: HashMap<Name, Duration>,
}

impl Contention {
    /// Finds the services with engines whose routes have objectives at least [`MIN_SPREAD`] apart, the longest of a less urgent
    /// priority than the shortest: work of the same priority is not to yield. Routes that send a service
    /// nothing, or have no objective, are not considered.
    pub fn of(catalog: &Catalog) -> Self {
        let mut ranges: HashMap<&Name, (Demand, Demand)> = HashMap::new();
        for route in catalog.routes().filter(|it| !it.objective.is_zero()) {
            let receiving = route.services.iter().filter(|(_, weight)| *weight > 0);
            let demand = (route.objective, route.priority);
            for (service, _) in receiving {
                let (shortest, longest) = ranges.entry(service).or_insert((demand, demand));
                *shortest = demand.min(*shortest);
                *longest = demand.max(*longest);
            }
        }
        let has_engine = |service: &Name| {
            let service = catalog.services.get(service);
            service.is_some_and(|service| service.engine.is_some())
        };
        let contended = ranges.into_iter().filter(|(service, (shortest, longest))| {
            let is_far = longest.0 >= shortest.0.saturating_mul(MIN_SPREAD);
            has_engine(service) && is_far && longest.1 > shortest.1
        });
        Self {
            services: contended
                .map(|(service, ((shortest, _), _))| (service.clone(), shortest))
                .collect(),
        }
    }

    /// Shortest objective of the routes to a service, if it is contended.
    pub fn shortest_objective(&self, service: &str) -> Option<Duration> {
        self.services.get(service).copied()
    }

    /// Whether a service is contended.
    pub fn contains(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Whether no service is contended.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }
}
