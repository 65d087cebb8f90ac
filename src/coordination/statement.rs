//! What endpoints state about themselves in their responses, as this daemon and its peers have heard it.
//!
//! The latest statement about an endpoint holds, whichever daemon heard it, until a response states something else. A
//! response without a limit withdraws the limit.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::record::Name;

/// Transit time added to the age of what a peer has heard.
const HOP_DELAY: Duration = Duration::from_millis(50);

/// Time for which a withdrawn limit is remembered, so that older statements of peers do not bring it back.
const WITHDRAWAL_TIME: Duration = Duration::from_secs(20);

/// Change of a limit, as a share of it, up to which peers learn of it with the next heartbeat.
const MINOR_CHANGE: f64 = 0.1;

/// Maximum number of statements in one message.
const MAX_REPORTED: usize = 64;

/// A statement, for peers.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Heard {
    /// Identifier of the endpoint.
    #[serde(rename = "e")]
    pub endpoint: Name,
    /// Requests per second that it takes from all daemons together; `None` if it takes any number.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub rate_limit: Option<f64>,
    /// Time since a response stated this, in milliseconds.
    #[serde(rename = "a", default)]
    pub age_millis: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Statement {
    rate_limit: Option<f64>,
    heard_at: Duration,
}

/// Latest statements by endpoint.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::statement::Statements;
/// let (mut one, mut other) = (Statements::default(), Statements::default());
/// let second = Duration::from_secs(1);
/// assert!(one.observe(&"e1".into(), Some(6.0), second));
/// for heard in one.report(second) {
///     other.adopt(&heard, second);
/// }
/// assert_eq!(other.rate_limit("e1"), Some(6.0));
/// assert!(other.observe(&"e1".into(), None, second * 2));
/// assert_eq!(other.rate_limit("e1"), None);
/// ```
#[derive(Debug, Default)]
pub struct Statements {
    by_endpoint: HashMap<Name, Statement>,
}

impl Statements {
    /// Records what a response of an endpoint stated; returns whether peers should hear of it at once.
    pub fn observe(&mut self, endpoint: &Name, rate_limit: Option<f64>, now: Duration) -> bool {
        if rate_limit.is_none() && !self.by_endpoint.contains_key(endpoint) {
            return false;
        }
        self.record(endpoint, rate_limit, now)
    }

    /// Adopts what a peer has heard, unless this daemon knows something later; returns whether that changed much.
    pub fn adopt(&mut self, heard: &Heard, now: Duration) -> bool {
        let age = Duration::from_millis(heard.age_millis) + HOP_DELAY;
        let heard_at = now.saturating_sub(age);
        let known = self.by_endpoint.get(&heard.endpoint);
        if known.is_some_and(|known| known.heard_at >= heard_at) {
            return false;
        }
        self.record(&heard.endpoint, heard.rate_limit, heard_at)
    }

    fn record(&mut self, endpoint: &Name, rate_limit: Option<f64>, heard_at: Duration) -> bool {
        let statement = Statement {
            rate_limit,
            heard_at,
        };
        let before = self.by_endpoint.insert(endpoint.clone(), statement);
        match (before.and_then(|before| before.rate_limit), rate_limit) {
            (None, None) => false,
            (Some(before), Some(after)) => (after - before).abs() > before * MINOR_CHANGE,
            _ => true,
        }
    }

    /// Requests per second that an endpoint takes from all daemons together, if it has named a limit.
    pub fn rate_limit(&self, endpoint: &str) -> Option<f64> {
        self.by_endpoint.get(endpoint)?.rate_limit
    }

    /// Number of endpoints that have named a limit.
    pub fn limited(&self) -> usize {
        let statements = self.by_endpoint.values();
        statements.filter(|it| it.rate_limit.is_some()).count()
    }

    /// Statements for peers, latest first.
    pub fn report(&self, now: Duration) -> Vec<Heard> {
        let mut statements: Vec<(&Name, &Statement)> = self.by_endpoint.iter().collect();
        statements.sort_by_key(|(_, statement)| std::cmp::Reverse(statement.heard_at));
        let statements = statements.into_iter().take(MAX_REPORTED);
        let heard = statements.map(|(endpoint, statement)| Heard {
            endpoint: endpoint.clone(),
            rate_limit: statement.rate_limit,
            age_millis: now.saturating_sub(statement.heard_at).as_millis() as u64,
        });
        heard.collect()
    }

    /// Drops statements of endpoints that do not satisfy `is_known`, and limits that were withdrawn long ago.
    pub fn prune(&mut self, is_known: impl Fn(&Name) -> bool, now: Duration) {
        self.by_endpoint.retain(|endpoint, statement| {
            let is_recent = statement.heard_at + WITHDRAWAL_TIME > now;
            is_known(endpoint) && (statement.rate_limit.is_some() || is_recent)
        });
    }
}
