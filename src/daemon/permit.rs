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
use super::admission::{duty_name, outcome_code};
use crate::coordination::permit::{LEASE, MARGIN};
use crate::coordination::ramp::Outcome;
use crate::protocol::permit::{Held, Hold, Return, method};
use crate::state::record::Name;

/// Time for which releases are batched before they are sent.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Interval between renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1000);

const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Maximum number of messages in which a release is sent.
const MAX_SEND_ATTEMPTS: u8 = 4;

/// Largest integer that all JSON implementations represent exactly.
const MAX_SAFE_INTEGER: u64 = (1 << 53) - 1;

#[derive(Debug)]
struct HeldPermit {
    endpoint: Name,
    home: SocketAddr,
    expires_at: Duration,
    expired: CancellationToken,
}

#[derive(Debug)]
struct Release {
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
    held: Mutex<HashMap<u64, HeldPermit>>,
    releases: Mutex<Vec<Release>>,
    wake: Notify,
}

impl Holder {
    /// Creates the holder of a session.
    pub fn open(session: &str) -> Self {
        Self {
            id: xxh3_64(session.as_bytes()) & MAX_SAFE_INTEGER,
            next: AtomicU64::new(1),
            held: Mutex::default(),
            releases: Mutex::default(),
            wake: Notify::new(),
        }
    }

    /// Returns an unused permit number.
    pub fn next_number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Registers a permit whose lease starts when it was requested; the token is cancelled when the lease expires.
    pub fn register(
        &self,
        endpoint: &Name,
        number: u64,
        home: SocketAddr,
        asked_at: Duration,
    ) -> CancellationToken {
        let expired = CancellationToken::new();
        let permit = HeldPermit {
            endpoint: endpoint.clone(),
            home,
            expires_at: asked_at + LEASE - MARGIN,
            expired: expired.clone(),
        };
        self.held.lock().insert(number, permit);
        expired
    }

    /// Releases a permit, or withdraws a request for one.
    pub fn release(&self, endpoint: &Name, number: u64, home: SocketAddr, outcome: Outcome) {
        self.held.lock().remove(&number);
        let (code, millis) = outcome_code(outcome);
        self.releases.lock().push(Release {
            home,
            entry: (endpoint.clone(), number, code, millis),
            attempts: 0,
        });
        self.wake.notify_one();
    }

    /// Returns the number of permits held for an endpoint.
    pub fn count(&self, endpoint: &str) -> u32 {
        let held = self.held.lock();
        let at_endpoint = held.values().filter(|held| &*held.endpoint == endpoint);
        at_endpoint.count() as u32
    }

    /// Drops permits whose lease has expired.
    fn expire(&self, now: Duration) {
        let mut held = self.held.lock();
        held.retain(|number, permit| {
            let valid = now < permit.expires_at;
            if !valid {
                spdlog::warn!(
                    "permit: lease expired endpoint={} number={number}",
                    permit.endpoint
                );
                permit.expired.cancel();
            }
            valid
        });
    }

    fn extend_leases(&self, answer: &Held, home: SocketAddr, asked_at: Duration) {
        let mut held = self.held.lock();
        for number in answer.kept.values().flatten() {
            if let Some(permit) = held.get_mut(number) {
                permit.expires_at = permit.expires_at.max(asked_at + LEASE - MARGIN);
                permit.home = home;
            }
        }
    }
}

/// Releases and renews permits until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let holder = node.dispatcher.holder.clone();
    let mut renewed_at = node.now();
    loop {
        tokio::select! {
            () = holder.wake.notified() => tokio::time::sleep(BATCH_DELAY).await,
            () = tokio::time::sleep(RENEWAL_INTERVAL / 4) => {}
            () = node.stopped.cancelled() => {
                flush(&node).await;
                return;
            }
        }
        holder.expire(node.now());
        let due = node.now() >= renewed_at + RENEWAL_INTERVAL;
        if due {
            renewed_at = node.now();
        }
        let batches = batches(&node, due);
        // A slow home daemon must not delay the others or the next batch.
        for (home, hold, releases) in batches {
            let node = node.clone();
            tokio::spawn(async move { send(&node, home, hold, releases).await });
        }
    }
}

/// Sends the pending releases once and waits for the answers.
async fn flush(node: &Arc<Node>) {
    let batches = batches(node, false);
    let sends = batches
        .into_iter()
        .map(|(home, hold, releases)| send(node, home, hold, releases));
    join_all(sends).await;
}

async fn send(node: &Node, home: SocketAddr, hold: Hold, releases: Vec<Release>) {
    let asked_at = node.now();
    let answer = if home == node.peer_address {
        Some(node.dispatcher.gates.apply_hold(node, hold))
    } else {
        let call = node
            .peers
            .call::<_, Held>(home, method::HOLD, &hold, CALL_TIMEOUT);
        call.await.ok()
    };
    let holder = &node.dispatcher.holder;
    let Some(answer) = answer else {
        let retryable = releases
            .into_iter()
            .filter(|release| release.attempts < MAX_SEND_ATTEMPTS);
        holder.releases.lock().extend(retryable);
        return;
    };
    holder.extend_leases(&answer, home, asked_at);
    for (endpoint, digest) in &answer.digests {
        node.dispatcher.store_digest(endpoint, *digest, asked_at);
    }
}

fn batches(node: &Node, renew: bool) -> Vec<(SocketAddr, Hold, Vec<Release>)> {
    let holder = &node.dispatcher.holder;
    let mut by_home: BTreeMap<SocketAddr, (Hold, Vec<Release>)> = BTreeMap::new();
    let new_batch = || {
        let hold = Hold {
            holder: holder.id,
            keep: BTreeMap::new(),
            returned: Vec::new(),
        };
        (hold, Vec::new())
    };
    let releases = std::mem::take(&mut *holder.releases.lock());
    for mut release in releases {
        release.attempts += 1;
        if let Some(other) =
            current_home(node, &release.entry.0).filter(|home| *home != release.home)
        {
            let batch = by_home.entry(other).or_insert_with(new_batch);
            batch.0.returned.push(release.entry.clone());
        }
        let batch = by_home.entry(release.home).or_insert_with(new_batch);
        batch.0.returned.push(release.entry.clone());
        batch.1.push(release);
    }
    if renew {
        for (number, permit) in holder.held.lock().iter() {
            let homes = [Some(permit.home), current_home(node, &permit.endpoint)];
            let other = homes[1].filter(|home| *home != permit.home);
            for home in [homes[0], other].into_iter().flatten() {
                let batch = by_home.entry(home).or_insert_with(new_batch);
                let keep = batch.0.keep.entry(permit.endpoint.clone());
                keep.or_default().push(*number);
            }
        }
    }
    let batches = by_home.into_iter();
    batches
        .map(|(home, (hold, releases))| (home, hold, releases))
        .collect()
}

fn current_home(node: &Node, endpoint: &Name) -> Option<SocketAddr> {
    let config = node.config.load();
    let zone = &config.endpoints.get(endpoint)?.zone;
    let home = node.membership.home(&duty_name(endpoint), Some(zone))?;
    Some(home.address)
}
