//! A rate limit that the daemons of a fleet share, and which of them hold it.

use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::Node;
use super::peers::Home;
use crate::protocol::digest::Subject;
use crate::state::catalog::Workspace;
use crate::state::record::Name;

/// Lowest rate of requests to an endpoint, so that it can withdraw its limit in a response.
const MIN_ENDPOINT_RATE: f64 = 0.25;

/// Zones that may hold a part of an endpoint's limit, beside those for each request per second. A part can be overdrawn
/// by one request, and an endpoint takes a burst of as many requests as this.
const MIN_ENDPOINT_HOMES: f64 = 5.0;

/// A rate limit for the whole fleet.
#[derive(Debug, Clone)]
pub struct Quota {
    /// What the limit applies to.
    pub subject: Subject,
    /// Units per second.
    pub rate: f64,
    /// Bucket capacity, in units.
    pub burst: f64,
}

impl Quota {
    /// Limit of a workspace's requests.
    pub fn workspace(workspace: &Workspace) -> Self {
        Self {
            subject: Subject::Workspace(workspace.name.clone()),
            rate: workspace.rate,
            burst: workspace.burst,
        }
    }

    /// Limit of the requests to an endpoint that takes `rate_limit` of them per second.
    pub fn endpoint(id: &Name, rate_limit: f64) -> Self {
        let rate = rate_limit.max(MIN_ENDPOINT_RATE);
        Self {
            subject: Subject::Endpoint(id.clone()),
            rate,
            burst: rate,
        }
    }

    /// The limit of a subject as this daemon knows it.
    pub fn find(node: &Node, subject: &Subject) -> Option<Self> {
        match subject {
            Subject::Workspace(name) => {
                let catalog = node.fleet.catalog.load();
                catalog
                    .as_ref()?
                    .workspaces
                    .get(name)
                    .map(|it| Self::workspace(it))
            }
            Subject::Endpoint(id) => {
                let rate_limit = node.statements.lock().rate_limit(id)?;
                Some(Self::endpoint(id, rate_limit))
            }
        }
    }

    /// Daemons that hold the limit, that of this daemon's zone first.
    pub fn homes(&self, node: &Node) -> Arc<[Home]> {
        match &self.subject {
            Subject::Workspace(name) => node.peers.homes(&node.settings, name),
            Subject::Endpoint(id) => {
                let key = format!("endpoint/{id}");
                let homes = node.peers.homes(&node.settings, &key.as_str().into());
                let most = (MIN_ENDPOINT_HOMES + self.rate) as usize;
                match homes.len() > most {
                    true => first_by_rank(&homes, &key, most).into(),
                    false => homes,
                }
            }
        }
    }
}

/// The homes that rank first for a key, in their order; all daemons choose the same ones.
fn first_by_rank(homes: &[Home], key: &str, count: usize) -> Vec<Home> {
    let seed = xxh3_64(key.as_bytes());
    let rank = |home: &Home| xxh3_64_with_seed(home.daemon.as_bytes(), seed);
    let mut ranks: Vec<u64> = homes.iter().map(rank).collect();
    ranks.sort_unstable();
    let chosen = homes
        .iter()
        .filter(|home| ranks[..count].contains(&rank(home)));
    chosen.cloned().collect()
}
