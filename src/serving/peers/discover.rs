//! Registers this daemon in the store and discovers its peers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use super::{LOST_AFTER, Peer, Peers};
use crate::protocol::digest::Registration;
use crate::serving::{Node, feed, jitter, lineage, quarantine};
use crate::state::row::Change;
use crate::transport::exchange::Channel;

/// Table of the platform's store in which daemons register; it also has the holds of the quarantine and the software
/// versions at which streams may begin, which a daemon has to know before it serves.
pub const DAEMON_TABLE: &str = "daemons";

/// Interval between reads of the daemons' table in a small fleet.
const LIST_INTERVAL: Duration = Duration::from_secs(15);

/// Pause after a failed registration; a part of the store takes some hundred writes a second.
const REGISTER_PAUSE: Duration = Duration::from_secs(1);

/// Minimum interval between reads in a small fleet when unknown daemons send messages.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Registers this daemon and keeps the list of peers up to date until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let channel = Channel::open(node.settings.store_address);
    let task = async {
        loop {
            match read_list(&node, &channel).await {
                Ok(true) => remove_lost_peers(&node, &channel).await,
                // Read again after the registration, since daemons that registered before do not know this one.
                Ok(false) if register(&node, &channel).await => continue,
                Ok(false) => {
                    sleep(jitter(REGISTER_PAUSE)).await;
                    continue;
                }
                Err(error) => {
                    node.journal.line(
                        || spdlog::info!("peers: cannot list daemons", kv: { error: = error }),
                    );
                }
            }
            let interval = match node.peers.is_listed() {
                true => LIST_INTERVAL * node.peers.interval_factor(),
                false => REGISTER_PAUSE,
            };
            tokio::select! {
                () = sleep(jitter(interval)) => {}
                () = node.peers.unknown_sender.notified() => {
                    // The few daemons that read for their zones don't burden the store.
                    let factor = match node.peers.reads_store(&node.settings, node.now()) {
                        true => 1,
                        false => node.peers.interval_factor(),
                    };
                    sleep(jitter(MIN_LIST_INTERVAL * factor)).await;
                }
            }
        }
    };
    node.until_stopped(task).await;
}

/// Writes this daemon's row; returns whether it was written.
async fn register(node: &Node, channel: &Channel) -> bool {
    let value = serde_json::to_vec(&Peers::registration(node)).unwrap_or_default();
    let row = (
        DAEMON_TABLE.into(),
        node.settings.name.clone(),
        Bytes::from(value),
    );
    let change = Change {
        write: vec![row],
        ..Change::default()
    };
    let written = node.commit(channel, &change).await;
    if let Err(error) = &written {
        node.journal
            .line(|| spdlog::info!("peers: cannot register", kv: { error: = error }));
    }
    written.is_ok()
}

/// Reads the daemons' table; returns whether this daemon's row is there and up to date.
async fn read_list(node: &Node, channel: &Channel) -> Result<bool, feed::Error> {
    let page = feed::read::list(node, channel, DAEMON_TABLE).await?;
    quarantine::store::adopt(node, &page.rows);
    lineage::admission::adopt(node, &page.rows);
    let now = node.now();
    let (mut is_registered, mut has_moved) = (false, false);
    {
        let mut inner = node.peers.inner.lock();
        let mut listed = Vec::new();
        for row in &page.rows {
            let Some(value) = &row.value else {
                continue;
            };
            let Ok(registration) = serde_json::from_slice::<Registration>(value) else {
                continue;
            };
            if row.key == node.settings.name {
                is_registered = registration == Peers::registration(node);
                continue;
            }
            listed.push(row.key.clone());
            let peer = inner
                .entry(row.key.clone())
                .or_insert_with(|| Peer::open(registration.clone(), now));
            has_moved |= peer.list_registration(registration, now);
        }
        inner.retain(|name, peer| listed.contains(name) || peer.last_heard + LOST_AFTER > now);
    }
    if has_moved {
        node.peers.forget_homes();
    }
    node.peers.update_names(&node.settings, now);
    node.peers.listed.store(true, Ordering::Relaxed);
    Ok(is_registered)
}

/// Removes the rows of daemons that have been silent for long; only the placer does so, for the whole fleet.
async fn remove_lost_peers(node: &Node, channel: &Channel) {
    let lost = node.peers.lost(node.now());
    if lost.is_empty() || !node.placer.is_holder(node) {
        return;
    }
    let change = Change {
        remove: lost
            .iter()
            .map(|name| (DAEMON_TABLE.into(), name.clone()))
            .collect(),
        ..Change::default()
    };
    match node.commit(channel, &change).await {
        Ok(_) => {
            spdlog::info!("peers: removed rows of lost daemons", kv: { daemons: = lost.join(",") })
        }
        Err(error) => {
            node.journal.line(
                || spdlog::info!("peers: failed to remove rows of lost daemons", kv: { error: = error }),
            );
        }
    }
}
