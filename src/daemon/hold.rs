//! The holder's side of permits: renewal, release and expiry.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::future::join_all;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::Node;
use super::home::{duty, outcome_code};
use crate::coordination::permit::{LEASE, MARGIN};
use crate::coordination::ramp::Outcome;
use crate::protocol::permit::{Held, Hold, Return, method};
use crate::state::record::Name;

/// Time for which releases are batched before they are sent.
const BATCH: Duration = Duration::from_millis(5);

/// Interval between renewals.
const RENEWAL: Duration = Duration::from_millis(1000);

const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Maximum number of messages in which a release is sent.
const ATTEMPTS: u8 = 4;

/// Largest integer that all JSON implementations represent exactly.
const JSON_SAFE: u64 = (1 << 53) - 1;

#[derive(Debug)]
struct Holding {
    endpoint: Name,
    home: SocketAddr,
    until: Duration,
    lapsed: CancellationToken,
}

#[derive(Debug)]
struct Returned {
    home: SocketAddr,
    entry: Return,
    attempts: u8,
}

/// Permits held by this daemon.
#[derive(Debug)]
pub struct Holder {
    /// Identifier of the holder in messages: a hash of the session.
    pub id: u64,
    next: AtomicU64,
    held: Mutex<HashMap<u64, Holding>>,
    returned: Mutex<Vec<Returned>>,
    wake: Notify,
}

impl Holder {
    /// Creates the holder of a session.
    pub fn open(session: &str) -> Self {
        Self {
            id: xxh3_64(session.as_bytes()) & JSON_SAFE,
            next: AtomicU64::new(1),
            held: Mutex::default(),
            returned: Mutex::default(),
            wake: Notify::new(),
        }
    }

    /// Returns an unused permit number.
    pub fn number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Registers a permit whose lease starts when it was requested; the token is cancelled when the lease expires.
    pub fn take(
        &self,
        endpoint: &Name,
        number: u64,
        home: SocketAddr,
        asked: Duration,
    ) -> CancellationToken {
        let lapsed = CancellationToken::new();
        let holding = Holding {
            endpoint: endpoint.clone(),
            home,
            until: asked + LEASE - MARGIN,
            lapsed: lapsed.clone(),
        };
        self.held.lock().insert(number, holding);
        lapsed
    }

    /// Releases a permit, or withdraws a request for one.
    pub fn give_back(&self, endpoint: &Name, number: u64, home: SocketAddr, outcome: Outcome) {
        self.held.lock().remove(&number);
        let (code, millis) = outcome_code(outcome);
        self.returned.lock().push(Returned {
            home,
            entry: (endpoint.clone(), number, code, millis),
            attempts: 0,
        });
        self.wake.notify_one();
    }

    /// Returns the number of permits held for an endpoint.
    pub fn count(&self, endpoint: &str) -> u32 {
        let held = self.held.lock();
        let here = held.values().filter(|held| &*held.endpoint == endpoint);
        here.count() as u32
    }

    /// Drops permits whose lease has expired.
    fn expire(&self, now: Duration) {
        let mut held = self.held.lock();
        held.retain(|number, holding| {
            let valid = now < holding.until;
            if !valid {
                spdlog::warn!(
                    "permit: lapsed endpoint={} number={number}",
                    holding.endpoint
                );
                holding.lapsed.cancel();
            }
            valid
        });
    }

    fn renewed(&self, answer: &Held, home: SocketAddr, asked: Duration) {
        let mut held = self.held.lock();
        for number in answer.kept.values().flatten() {
            if let Some(holding) = held.get_mut(number) {
                holding.until = holding.until.max(asked + LEASE - MARGIN);
                holding.home = home;
            }
        }
    }
}

/// Releases and renews permits until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let holder = node.dispatcher.holder.clone();
    let mut renewed = node.now();
    loop {
        tokio::select! {
            () = holder.wake.notified() => tokio::time::sleep(BATCH).await,
            () = tokio::time::sleep(RENEWAL / 4) => {}
            () = node.stopped.cancelled() => {
                flush(&node).await;
                return;
            }
        }
        holder.expire(node.now());
        let due = node.now() >= renewed + RENEWAL;
        if due {
            renewed = node.now();
        }
        let batches = batches(&node, due);
        // A slow home daemon must not delay the others or the next batch.
        for (home, hold, returned) in batches {
            let node = node.clone();
            tokio::spawn(async move { send(&node, home, hold, returned).await });
        }
    }
}

/// Sends the pending releases once and waits for the answers.
async fn flush(node: &Arc<Node>) {
    let batches = batches(node, false);
    let sends = batches
        .into_iter()
        .map(|(home, hold, returned)| send(node, home, hold, returned));
    join_all(sends).await;
}

async fn send(node: &Node, home: SocketAddr, hold: Hold, returned: Vec<Returned>) {
    let asked = node.now();
    let answer = if home == node.peer_address {
        Some(node.dispatcher.homes.hold(node, hold))
    } else {
        let call = node
            .peers
            .call::<_, Held>(home, method::HOLD, &hold, CALL_TIMEOUT);
        call.await.ok()
    };
    let holder = &node.dispatcher.holder;
    let Some(answer) = answer else {
        let again = returned.into_iter().filter(|one| one.attempts < ATTEMPTS);
        holder.returned.lock().extend(again);
        return;
    };
    holder.renewed(&answer, home, asked);
    for (endpoint, digest) in &answer.digests {
        node.dispatcher.learn(endpoint, *digest, asked);
    }
}

fn batches(node: &Node, renew: bool) -> Vec<(SocketAddr, Hold, Vec<Returned>)> {
    let holder = &node.dispatcher.holder;
    let mut by_home: BTreeMap<SocketAddr, (Hold, Vec<Returned>)> = BTreeMap::new();
    let empty = || {
        let hold = Hold {
            holder: holder.id,
            keep: BTreeMap::new(),
            returned: Vec::new(),
        };
        (hold, Vec::new())
    };
    let returned = std::mem::take(&mut *holder.returned.lock());
    for mut one in returned {
        one.attempts += 1;
        if let Some(other) = current(node, &one.entry.0).filter(|home| *home != one.home) {
            let batch = by_home.entry(other).or_insert_with(empty);
            batch.0.returned.push(one.entry.clone());
        }
        let batch = by_home.entry(one.home).or_insert_with(empty);
        batch.0.returned.push(one.entry.clone());
        batch.1.push(one);
    }
    if renew {
        for (number, holding) in holder.held.lock().iter() {
            let homes = [Some(holding.home), current(node, &holding.endpoint)];
            let other = homes[1].filter(|home| *home != holding.home);
            for home in [homes[0], other].into_iter().flatten() {
                let batch = by_home.entry(home).or_insert_with(empty);
                let keep = batch.0.keep.entry(holding.endpoint.clone());
                keep.or_default().push(*number);
            }
        }
    }
    let batches = by_home.into_iter();
    batches
        .map(|(home, (hold, returned))| (home, hold, returned))
        .collect()
}

fn current(node: &Node, endpoint: &Name) -> Option<SocketAddr> {
    let config = node.config.load();
    let zone = &config.endpoints.get(endpoint)?.zone;
    let home = node.membership.home(&duty(endpoint), Some(zone))?;
    Some(home.address)
}
