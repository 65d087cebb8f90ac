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

use crate::serve::{self, Body, Server};

/// Stored rows, objects and instance lists.
#[derive(Debug, Default)]
pub struct State {
    rows: BTreeMap<String, (Vec<u8>, u64)>,
    revision: u64,
    objects: BTreeMap<String, Bytes>,
    instances: VecDeque<(Instant, Vec<Instance>)>,
    list_lag: Duration,
    written: Rate,
    read: Rate,
    /// Reads and writes so far, including refused ones.
    pub operations: u64,
}

/// Operations in the current second and in total.
#[derive(Debug, Default)]
struct Rate {
    second: u64,
    count: u64,
    total: u64,
}

impl Rate {
    fn take(&mut self, second: u64, limit: u64) -> bool {
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
pub struct Switches {
    /// Calls have no effect and are never answered.
    pub hanging: bool,
    /// Delay before a call takes effect.
    pub delay: Duration,
    /// Writes applied whose response is lost, per thousand.
    pub lost_answers_per_mille: u64,
    /// Writes allowed per second; further ones are refused.
    pub writes_per_second: u64,
    /// Reads allowed per second; further ones are refused.
    pub reads_per_second: u64,
}

impl Default for Switches {
    fn default() -> Self {
        Self {
            hanging: false,
            delay: Duration::ZERO,
            lost_answers_per_mille: 0,
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

    /// Reads and writes so far, including refused ones.
    pub fn served(&self) -> (u64, u64) {
        (self.read.total, self.written.total)
    }

    /// Returns the current revision of the table.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn listed(&mut self) -> Vec<Instance> {
        while self.instances.len() > 1 && self.instances[1].0.elapsed() >= self.list_lag {
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
    switches: Arc<Mutex<Switches>>,
    server: Server,
}

impl Platform {
    /// Starts a platform on a free loopback port.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be bound.
    pub async fn spawn() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let switches = Arc::<Mutex<Switches>>::default();
        let origin = Instant::now();
        let (handler_state, handler_switches) = (state.clone(), switches.clone());
        let handler: serve::Handler = Arc::new(move |request| {
            let (state, switches) = (handler_state.clone(), handler_switches.clone());
            Box::pin(async move {
                let now = *switches.lock();
                if now.hanging {
                    return std::future::pending().await;
                }
                tokio::time::sleep(now.delay).await;
                answer(&state, now, origin.elapsed().as_secs(), &request).await
            })
        });
        let server = Server::bind(handler).await?;
        Ok(Self {
            address: server.address,
            state,
            switches,
            server,
        })
    }

    /// Replaces the instance list; readers see it after the configured delay.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        let mut state = self.state.lock();
        state.instances.push_back((Instant::now(), instances));
    }

    /// Sets the delay after which a new instance list is visible.
    pub fn set_list_lag(&self, lag: Duration) {
        self.state.lock().list_lag = lag;
    }

    /// Changes the injected faults and limits.
    pub fn switch(&self, change: impl FnOnce(&mut Switches)) {
        change(&mut self.switches.lock());
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

async fn answer(
    state: &Mutex<State>,
    switches: Switches,
    second: u64,
    request: &Request<Bytes>,
) -> Response<Body> {
    let path = request.uri().path();
    state.lock().operations += 1;
    let writes = path == "/v3/kv/txn" || request.method() == Method::PUT;
    let allowed = match writes {
        true => state
            .lock()
            .written
            .take(second, switches.writes_per_second),
        false => state.lock().read.take(second, switches.reads_per_second),
    };
    if !allowed {
        return empty(StatusCode::TOO_MANY_REQUESTS);
    }
    let response = act(state, request);
    let lost = rand::random_range(0..1000) < switches.lost_answers_per_mille;
    if writes && lost {
        return std::future::pending().await;
    }
    response
}

fn act(state: &Mutex<State>, request: &Request<Bytes>) -> Response<Body> {
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::POST, "/v3/kv/range") => range(state, request.body()),
        (&Method::POST, "/v3/kv/txn") => commit(state, request.body()),
        (&Method::GET, "/instances") => serve::json(StatusCode::OK, &state.lock().listed()),
        (&Method::GET, _) => match state.lock().objects.get(path) {
            Some(object) => serve::bytes(StatusCode::OK, object.clone()),
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
    serve::bytes(status, Bytes::new())
}

fn range(state: &Mutex<State>, body: &Bytes) -> Response<Body> {
    let Ok(body) = serde_json::from_slice::<wire::RangeRequest>(body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let (Some(key), Some(end)) = (text(&body.key), text(&body.range_end)) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let rows = state.lock().range(&key, &end);
    let kvs = rows.iter().map(Row::to_wire).collect();
    serve::json(StatusCode::OK, &wire::RangeResponse { kvs })
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
    serve::json(StatusCode::OK, &wire::TxnResponse { header, succeeded })
}

fn text(encoded: &str) -> Option<String> {
    String::from_utf8(decode(encoded)?).ok()
}
