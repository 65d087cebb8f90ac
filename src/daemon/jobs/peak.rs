//! Fleet-wide metering of the billing window. One daemon owns the meter; the others report their usage to it and
//! request tokens for deferrable jobs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::{DAY_MS, unix_ms};
use crate::coordination::smooth::{Meter, Waiting};
use crate::daemon::Node;
use crate::protocol::peer::method;
use crate::protocol::table::Transaction;

/// Key prefix of the rows that store each month's highest billing window; followed by `YYYY-MM`.
pub const PREFIX: &str = "peak/";

/// Duty whose holder owns the meter.
const DUTY: &str = "peak";

const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
const STORE_INTERVAL: Duration = Duration::from_secs(5);

/// Value of a row: the month's highest usage in one billing window, in tokens.
#[derive(Debug, Clone, Copy, Deserialize, Serialize)]
struct Mark {
    tokens: u64,
}

/// Usage report and token request that a daemon sends to the meter's owner.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Ask {
    /// Session of the requesting daemon.
    pub session: Arc<str>,
    /// Tokens of interactive requests since the daemon started.
    pub used: u64,
    /// Jobs too close to their deadline to wait for spare capacity: tokens, age in ms and time left in ms.
    pub pressing: Vec<(u64, u64, u64)>,
    /// Requested tokens.
    pub wanted: u64,
}

/// Response to an [`Ask`].
#[derive(Debug, Clone, Copy, Deserialize, Serialize)]
pub struct Grant {
    /// Tokens that deferrable jobs may use.
    pub tokens: u64,
}

#[derive(Debug)]
struct Keeper {
    meter: Meter,
    seen: HashMap<Arc<str>, u64>,
    pressing: HashMap<Arc<str>, (Duration, Vec<Waiting>)>,
    month: u64,
    stored: u64,
    synced: Duration,
}

/// State of the meter; set only while this daemon owns it.
#[derive(Debug, Default)]
pub struct Peak {
    keeper: Mutex<Option<Keeper>>,
}

/// Current calendar month, counted from January of year 0.
fn month() -> u64 {
    month_of(unix_ms() / DAY_MS)
}

/// Converts days since 1970-01-01 to a calendar month counted from January of year 0. The calculation starts years in
/// March, so that the leap day comes last.
fn month_of(day: u64) -> u64 {
    const DAYS_BEFORE_1970: u64 = 719_468;
    const DAYS_PER_ERA: u64 = 146_097;
    let day = day + DAYS_BEFORE_1970;
    let (era, day) = (day / DAYS_PER_ERA, day % DAYS_PER_ERA);
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let day_of_year = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day_of_year + 2) / 153;
    (era * 400 + year) * 12 + month + 2
}

/// Reports usage to the meter's owner and requests tokens. Returns 0 if the owner is unknown or unreachable.
pub async fn ask(node: &Node, pressing: &[Waiting], wanted: u64) -> u64 {
    let flows = node.placement.demand.flows();
    let ask = Ask {
        session: node.session.clone(),
        used: flows.values().map(|flow| flow.tokens).sum(),
        pressing: pressing
            .iter()
            .map(|job| (job.tokens, millis(job.age), millis(job.left)))
            .collect(),
        wanted,
    };
    let Some(home) = node.membership.home(DUTY, None) else {
        return 0;
    };
    if home.address == node.peer_address {
        return answer(node, &ask).tokens;
    }
    let call = node
        .peers
        .call::<_, Grant>(home.address, method::PEAK, &ask, CALL_TIMEOUT);
    call.await.map_or(0, |grant| grant.tokens)
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Handles a daemon's [`Ask`].
pub fn answer(node: &Node, ask: &Ask) -> Grant {
    let now = node.now();
    let mut kept = node.jobs.peak.keeper.lock();
    let keeper = kept.get_or_insert_with(|| Keeper::open(node.settings.billing_window, now));
    let seen = keeper.seen.insert(ask.session.clone(), ask.used);
    let used = ask.used.saturating_sub(seen.unwrap_or(ask.used));
    keeper.meter.use_tokens(used, now);
    let waiting = ask.pressing.iter().map(|&(tokens, age, left)| Waiting {
        tokens,
        age: Duration::from_millis(age),
        left: Duration::from_millis(left),
    });
    let told = (now, waiting.collect());
    keeper.pressing.insert(ask.session.clone(), told);
    let window = node.settings.billing_window;
    keeper.pressing.retain(|_, (at, _)| now < *at + window);
    let pressing: Vec<Waiting> = keeper
        .pressing
        .values()
        .flat_map(|(_, jobs)| jobs.iter().copied())
        .collect();
    let tokens = keeper.meter.allowance(&pressing).min(ask.wanted);
    keeper.meter.grant(tokens, now);
    Grant { tokens }
}

/// While this daemon owns the meter, raises the month's stored maximum to the meter's and the other way round;
/// otherwise drops the meter.
pub async fn sync(node: &Node) {
    let now = node.now();
    let Some(home) = node.membership.home(DUTY, None) else {
        return;
    };
    if home.address != node.peer_address {
        *node.jobs.peak.keeper.lock() = None;
        return;
    }
    let (month, mark) = {
        let mut kept = node.jobs.peak.keeper.lock();
        let keeper = kept.get_or_insert_with(|| Keeper::open(node.settings.billing_window, now));
        if keeper.month != month() {
            *keeper = Keeper::open(node.settings.billing_window, now);
        }
        let current = keeper.stored == keeper.meter.mark() && keeper.stored > 0;
        if current || (keeper.synced > Duration::ZERO && now < keeper.synced + STORE_INTERVAL) {
            return;
        }
        keeper.synced = now;
        (keeper.month, keeper.meter.mark())
    };
    let key = format!("{PREFIX}{:04}-{:02}", month / 12, month % 12 + 1);
    let Ok(row) = node.table.read(&key).await else {
        return;
    };
    let version = row.as_ref().map(|row| row.version);
    let found = row.and_then(|row| row.json::<Mark>().ok());
    let stored = found.map_or(0, |mark| mark.tokens);
    if mark > stored {
        let transaction = Transaction::default()
            .unchanged(&key, version)
            .put(&key, &Mark { tokens: mark });
        let _ = node.table.commit(&transaction).await;
    }
    if let Some(keeper) = node.jobs.peak.keeper.lock().as_mut() {
        keeper.meter.learn(stored);
        keeper.stored = mark.max(stored);
    }
}

impl Keeper {
    fn open(window: Duration, now: Duration) -> Self {
        Self {
            meter: Meter::open(window, 0, now),
            seen: HashMap::new(),
            pressing: HashMap::new(),
            month: month(),
            stored: 0,
            synced: Duration::ZERO,
        }
    }
}
