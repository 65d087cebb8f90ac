//! Stand-in for the platform: table, object store and instance list.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use persimmoncroft::protocol::table::{Check, Commit, Row, Transaction, Write, decode, wire};
use persimmoncroft::transport::platform::Instance;

use crate::server::{self, Body, Server};

/// Stored rows, objects and instance lists.
#[derive(Debug, Default)]
pub struct State {
    rows: BTreeMap<String, (Vec<u8>, u64)>,
    revision: u64,
    objects: BTreeMap<String, Bytes>,
    instances: VecDeque<(Instant, Vec<Instance>)>,
    instance_list_delay: Duration,
    write_counter: Counter,
    read_counter: Counter,
    /// Reads and writes so far, including refused ones.
    pub operations: u64,
}

/// Operations in the current second and in total.
#[derive(Debug, Default)]
struct Counter {
    second: u64,
    count: u64,
    total: u64,
}

impl Counter {
    fn admit(&mut self, second: u64, limit: u64) -> bool {
        if self.second != second {
            (self.second, self.count) = (second, 0);
        }
        self.count += 1;
        self.total += 1;
        self.count <= limit
    }
}

/// Faults to inject and rate limits.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    /// Calls have no effect and are never answered.
    pub hanging: bool,
    /// Delay before a call takes effect.
    pub delay: Duration,
    /// Writes applied whose response is lost, per thousand.
    pub lost_responses_per_mille: u64,
    /// Writes allowed per second; further ones are refused.
    pub writes_per_second: u64,
    /// Reads allowed per second; further ones are refused.
    pub reads_per_second: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            hanging: false,
            delay: Duration::ZERO,
            lost_responses_per_mille: 0,
            writes_per_second: 400,
            reads_per_second: 2000,
        }
    }
}

impl State {
    /// Applies a transaction if all of its checks hold.
    pub fn commit(&mut self, transaction: &Transaction) -> Commit {
        if !transaction.checks.iter().all(|check| self.holds(check)) {
            return Commit::Conflict;
        }
        self.revision += 1;
        for write in &transaction.writes {
            match write {
                Write::Put { key, value } => {
                    let row = (value.clone(), self.revision);
                    self.rows.insert(key.clone(), row);
                }
                Write::Delete { key } => drop(self.rows.remove(key)),
            }
        }
        Commit::Applied {
            version: self.revision,
        }
    }

    /// Returns the rows of a half-open key range; an empty `end` selects the single key.
    pub fn range(&self, key: &str, end: &str) -> Vec<Row> {
        let end = if end.is_empty() {
            format!("{key}\0")
        } else {
            end.to_owned()
        };
        self.rows
            .range(key.to_owned()..end)
            .map(|(key, (value, version))| Row {
                key: key.clone(),
                value: value.clone(),
                version: *version,
            })
            .collect()
    }

    /// Returns the numbers of reads and writes so far, including refused ones.
    pub fn operation_totals(&self) -> (u64, u64) {
        (self.read_counter.total, self.write_counter.total)
    }

    /// Returns the current revision of the table.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn visible_instances(&mut self) -> Vec<Instance> {
        while self.instances.len() > 1 && self.instances[1].0.elapsed() >= self.instance_list_delay
        {
            self.instances.pop_front();
        }
        let list = self.instances.front();
        list.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn holds(&self, check: &Check) -> bool {
        match check {
            Check::Absent { key } => !self.rows.contains_key(key),
            Check::Version { key, version } => {
                self.rows.get(key).is_some_and(|row| row.1 == *version)
            }
        }
    }
}

/// A running platform; dropping it stops it.
pub struct Platform {
    /// Listen address.
    pub address: SocketAddr,
    /// Stored data.
    pub state: Arc<Mutex<State>>,
    faults: Arc<Mutex<Faults>>,
    server: Server,
}

impl Platform {
    /// Starts a platform on a free loopback port.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be bound.
    pub async fn spawn() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let faults = Arc::<Mutex<Faults>>::default();
        let origin = Instant::now();
        let (handler_state, handler_faults) = (state.clone(), faults.clone());
        let handler: server::Handler = Arc::new(move |request| {
            let (state, faults) = (handler_state.clone(), handler_faults.clone());
            Box::pin(async move {
                let current = *faults.lock();
                if current.hanging {
                    return std::future::pending().await;
                }
                tokio::time::sleep(current.delay).await;
                handle(&state, current, origin.elapsed().as_secs(), &request).await
            })
        });
        let server = Server::bind(handler).await?;
        Ok(Self {
            address: server.address,
            state,
            faults,
            server,
        })
    }

    /// Replaces the instance list; readers see it after the configured delay.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        let mut state = self.state.lock();
        state.instances.push_back((Instant::now(), instances));
    }

    /// Sets the delay after which a new instance list is visible.
    pub fn set_instance_list_delay(&self, delay: Duration) {
        self.state.lock().instance_list_delay = delay;
    }

    /// Changes the injected faults and limits.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.faults.lock());
    }

    /// Closes the listener and all connections until [`Platform::resume`].
    pub fn stop(&self) {
        self.server.stop();
    }

    /// Listens again on the same port.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be bound.
    pub async fn resume(&self) -> io::Result<()> {
        self.server.resume().await
    }
}

async fn handle(
    state: &Mutex<State>,
    faults: Faults,
    second: u64,
    request: &Request<Bytes>,
) -> Response<Body> {
    let path = request.uri().path();
    state.lock().operations += 1;
    let is_write = path == "/v3/kv/txn" || request.method() == Method::PUT;
    let allowed = match is_write {
        true => state
            .lock()
            .write_counter
            .admit(second, faults.writes_per_second),
        false => state
            .lock()
            .read_counter
            .admit(second, faults.reads_per_second),
    };
    if !allowed {
        return empty(StatusCode::TOO_MANY_REQUESTS);
    }
    let response = dispatch(state, request);
    let lost = rand::random_range(0..1000) < faults.lost_responses_per_mille;
    if is_write && lost {
        return std::future::pending().await;
    }
    response
}

fn dispatch(state: &Mutex<State>, request: &Request<Bytes>) -> Response<Body> {
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::POST, "/v3/kv/range") => range(state, request.body()),
        (&Method::POST, "/v3/kv/txn") => commit(state, request.body()),
        (&Method::GET, "/instances") => {
            server::json(StatusCode::OK, &state.lock().visible_instances())
        }
        (&Method::GET, _) => match state.lock().objects.get(path) {
            Some(object) => server::bytes(StatusCode::OK, object.clone()),
            None => empty(StatusCode::NOT_FOUND),
        },
        (&Method::PUT, _) => {
            let object = request.body().clone();
            state.lock().objects.insert(path.to_owned(), object);
            empty(StatusCode::NO_CONTENT)
        }
        _ => empty(StatusCode::NOT_FOUND),
    }
}

fn empty(status: StatusCode) -> Response<Body> {
    server::bytes(status, Bytes::new())
}

fn range(state: &Mutex<State>, body: &Bytes) -> Response<Body> {
    let Ok(body) = serde_json::from_slice::<wire::RangeRequest>(body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let (Some(key), Some(end)) = (decode_text(&body.key), decode_text(&body.range_end)) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let rows = state.lock().range(&key, &end);
    let kvs = rows.iter().map(Row::to_wire).collect();
    server::json(StatusCode::OK, &wire::RangeResponse { kvs })
}

fn commit(state: &Mutex<State>, body: &Bytes) -> Response<Body> {
    let body = serde_json::from_slice::<wire::TxnRequest>(body).ok();
    let Some(transaction) = body.and_then(|body| Transaction::from_wire(&body)) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let mut state = state.lock();
    let commit = state.commit(&transaction);
    let header = wire::Header {
        revision: state.revision.to_string(),
    };
    let succeeded = commit != Commit::Conflict;
    server::json(StatusCode::OK, &wire::TxnResponse { header, succeeded })
}

fn decode_text(encoded: &str) -> Option<String> {
    String::from_utf8(decode(encoded)?).ok()
}
