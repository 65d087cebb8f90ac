//! Operator client that changes records through the operator API of any daemon.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use parking_lot::Mutex;
use persimmoncroft::coordination::revision::Change;
use persimmoncroft::protocol::operator::Accepted;
use persimmoncroft::state::record::Record;
use persimmoncroft::transport::http::{Client, collect};
use rand::seq::IndexedRandom;
use serde_json::Value;

use super::fleet::Fleet;
use crate::platform::Platform;

const MAX_ATTEMPTS: usize = 20;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// State expected of a record after an accepted change.
#[derive(Debug, Clone)]
pub struct Expected {
    /// Revision of the change.
    pub revision: u64,
    /// Fields that the record must have until a later change is accepted.
    pub fields: Value,
}

/// Operator client of a fleet.
#[derive(Debug)]
pub struct Operators {
    client: Client,
    token: String,
    expected: Mutex<HashMap<String, Expected>>,
}

impl Operators {
    /// Creates a client with the fleet's operator token.
    pub fn new(token: &str) -> Self {
        Self {
            client: Client::open(Default::default()),
            token: token.to_owned(),
            expected: Mutex::default(),
        }
    }

    /// Submits a change to random daemons, always under the same id, until it is accepted or refused.
    ///
    /// Returns the revision, or none if the change was refused or its outcome is still unknown after all attempts.
    pub async fn apply(&self, fleet: &Fleet, records: &[Record], base: Option<u64>) -> Option<u64> {
        let change = Change {
            id: uuid::Uuid::new_v4().to_string(),
            records: records.iter().filter_map(fields).collect(),
            base,
            ..Change::default()
        };
        for _ in 0..MAX_ATTEMPTS {
            let replica = fleet.replicas.choose(&mut rand::rng())?;
            let url = format!("http://{}/v1/changes", replica.operator);
            let response = tokio::time::timeout(REQUEST_TIMEOUT, self.submit(&url, &change)).await;
            match response {
                Ok(Some((200, Some(accepted)))) => {
                    self.record_expected(records, accepted.revision);
                    return Some(accepted.revision);
                }
                Ok(Some((409 | 422, _))) => return None,
                _ => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
        None
    }

    /// Counts records in the table that differ from their latest accepted change.
    pub fn count_reverted(&self, platform: &Platform) -> usize {
        let state = platform.state.lock();
        let expected = self.expected.lock();
        let is_current = |path: &str, expected: &Expected| {
            let rows = state.range(&format!("record/{path}"), "");
            let value = rows.first().and_then(|row| row.json::<Value>().ok());
            let matches = |(name, field): (&String, &Value)| {
                value.as_ref().is_some_and(|v| v[name] == *field)
            };
            expected
                .fields
                .as_object()
                .is_some_and(|fields| fields.iter().all(matches))
        };
        expected
            .iter()
            .filter(|(path, expected)| !is_current(path, expected))
            .count()
    }

    async fn submit(&self, url: &str, change: &Change) -> Option<(u16, Option<Accepted>)> {
        let body = serde_json::to_vec(change).ok()?;
        let request = Request::post(url)
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let response = self.client.send(request).await.ok()?;
        let status = response.status().as_u16();
        let bytes = collect(response.into_body()).await.ok()?;
        Some((status, serde_json::from_slice(&bytes).ok()))
    }

    fn record_expected(&self, records: &[Record], revision: u64) {
        let mut expected = self.expected.lock();
        for record in records {
            let latest = expected
                .get(&record.path())
                .is_none_or(|known| known.revision < revision);
            if let (true, Ok(fields)) = (latest, serde_json::to_value(record)) {
                expected.insert(record.path(), Expected { revision, fields });
            }
        }
    }
}

fn fields(record: &Record) -> Option<persimmoncroft::state::schema::Fields> {
    let value = serde_json::to_value(record).ok()?;
    serde_json::from_value(value).ok()
}
