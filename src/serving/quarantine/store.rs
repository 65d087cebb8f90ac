//! Keeps holds in the store, so that they outlive the daemons. They are rows of the daemons' table, which a daemon
//! reads before it serves.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use super::is_responsible;
use crate::coordination::quarantine::{Hold, MAX_CONTENT_PROBES, Unstored};
use crate::serving::peers::{commit, discover::DAEMON_TABLE};
use crate::serving::{Node, jitter};
use crate::state::record::Name;
use crate::state::row::{Change, Row};
use crate::transport::exchange::Channel;

/// Prefix of the keys of stored holds; names of daemons have no slash.
const HOLD_PREFIX: &str = "hold/";

/// Prefix of the keys of probes that were taken.
const PROBE_PREFIX: &str = "probe/";

/// Time for which the other daemons leave a hold to the one that is to store it, in a small fleet.
const TURN: Duration = Duration::from_secs(1);

/// Interval at which holds that have ended are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Stores holds, and removes those that were released, until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let channel = Channel::open(node.settings.store_address);
    let task = async {
        // Time at which each hold that is not stored was first seen so.
        let mut seen: HashMap<u64, Duration> = HashMap::new();
        loop {
            let now = node.now();
            let (unstored, released, probes) = {
                let mut quarantine = node.quarantine.lock();
                let unstored = quarantine.unstored(now);
                let released = quarantine.take_released(now);
                (unstored, released, quarantine.lost_probes().to_vec())
            };
            seen.retain(|key, _| unstored.iter().any(|it| it.key == *key));
            for hold in &unstored {
                seen.entry(hold.key).or_insert(now);
            }
            let own = |key: u64| is_responsible(&node, key);
            let turn = TURN * node.peers.interval_factor();
            let due = |hold: &&Unstored| own(hold.key) || now >= seen[&hold.key] + turn;
            let due: Vec<&Unstored> = unstored.iter().filter(due).collect();
            let own_released = released.into_iter().filter(|key| own(*key)).collect();
            let is_done = write(&node, &channel, &due, own_released, &probes).await;
            let is_waiting = unstored.len() > due.len();
            let pause = match is_done && !is_waiting {
                true => SWEEP_INTERVAL,
                false => RETRY_PAUSE,
            };
            tokio::select! {
                () = node.holds_changed.notified(), if is_done => {}
                () = sleep(jitter(pause)) => {}
            }
        }
    };
    node.until_stopped(task).await;
}

/// Writes holds and probes that were taken, and removes other holds, in one transaction; returns whether nothing is left to
/// do.
async fn write(
    node: &Node,
    channel: &Channel,
    holds: &[&Unstored],
    released: Vec<u64>,
    probes: &[(u64, u32)],
) -> bool {
    if holds.is_empty() && released.is_empty() && probes.is_empty() {
        return true;
    }
    let mut change = Change::default();
    for Unstored {
        key,
        hold,
        replaces,
    } in holds
    {
        let value = serde_json::to_vec(hold).unwrap_or_default();
        let row = (DAEMON_TABLE.into(), hold_key(*key), Bytes::from(value));
        change.write.push(row);
        change
            .remove
            .extend(replaces.iter().flat_map(|key| rows(*key)));
    }
    let removed = released.iter().flat_map(|key| rows(*key));
    change.remove.extend(removed);
    let probed = probes.iter().flat_map(|(key, count)| {
        let numbers = 1..=*count;
        numbers.map(|number| probe_row(*key, number))
    });
    let is_removed =
        |(_, key, _): &(Name, Name, Bytes)| change.remove.iter().any(|(_, it)| it == key);
    let probed: Vec<_> = probed.filter(|row| !is_removed(row)).collect();
    change.write.extend(probed);
    let written = commit::commit(node, channel, &change).await;
    if let Err(error) = &written {
        node.journal
            .line(|| spdlog::info!("quarantine: cannot store holds", kv: { error: = error }));
    }
    let mut quarantine = node.quarantine.lock();
    if written.is_err() {
        released
            .iter()
            .for_each(|key| quarantine.release_again(*key));
        return false;
    }
    holds.iter().for_each(|it| quarantine.stored(&it.hold));
    quarantine.probes_stored(probes);
    spdlog::info!("quarantine: holds stored", kv: {
        written = holds.len(),
        released = released.len(),
        probed = probes.len(),
        era = holds.first().map_or(0, |it| it.hold.stored_era),
    });
    true
}

/// Takes a probe of a hold; returns whether this daemon is the one that has it.
pub async fn take_probe(node: &Node, key: u64, number: u32) -> bool {
    let channel = Channel::open(node.settings.store_address);
    let change = Change {
        expected: vec![(DAEMON_TABLE.into(), probe_key(key, number), 0)],
        write: vec![probe_row(key, number)],
        remove: Vec::new(),
    };
    let written = node.commit(&channel, &change).await;
    node.journal.line(|| {
        spdlog::info!("quarantine: probe taken in the store", kv: { number, result:? = written });
    });
    matches!(written, Ok(Some(_)))
}

/// Has holds and probes stored again if the store has been restored from a copy, `era` times in all.
pub fn note_restore(node: &Node, era: u64) {
    let is_new = node.quarantine.lock().restored(era, node.now());
    if is_new {
        node.holds_changed.notify_one();
    }
}

/// Adopts the holds in a listing of the daemons' table.
pub fn adopt(node: &Node, rows: &[Row]) {
    let holds = rows.iter().filter(|row| row.key.starts_with(HOLD_PREFIX));
    let holds = holds.filter_map(|row| serde_json::from_slice::<Hold>(row.value.as_ref()?).ok());
    let holds: Vec<Hold> = holds.collect();
    if holds.is_empty() {
        return;
    }
    let now = node.now();
    super::update(node, |quarantine| {
        for hold in holds {
            quarantine.restore(hold, now);
        }
    });
}

/// Keys of all rows of a hold.
fn rows(key: u64) -> impl Iterator<Item = (Name, Name)> {
    let probes = (1..=MAX_CONTENT_PROBES).map(move |number| probe_key(key, number));
    let keys = std::iter::once(hold_key(key)).chain(probes);
    keys.map(|key| (DAEMON_TABLE.into(), key))
}

fn probe_row(key: u64, number: u32) -> (Name, Name, Bytes) {
    let value = Bytes::from_static(b"{}");
    (DAEMON_TABLE.into(), probe_key(key, number), value)
}

fn hold_key(key: u64) -> Name {
    format!("{HOLD_PREFIX}{key:016x}").into()
}

fn probe_key(key: u64, number: u32) -> Name {
    format!("{PROBE_PREFIX}{key:016x}/{number}").into()
}
