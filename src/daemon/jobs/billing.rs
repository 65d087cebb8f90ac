//! Fleet-wide metering of the billing window. One daemon owns the meter; the others report their usage to it and
//! request tokens for deferrable jobs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::{DAY_MS, unix_ms};
use crate::coordination::peak::{Candidate, Meter};
use crate::daemon::Node;
use crate::protocol::peer::method;
use crate::protocol::table::Transaction;

/// Key prefix of the rows that store each month's highest billing window; followed by `YYYY-MM`.
pub const PREFIX: &str = "peak/";

/// Duty whose holder owns the meter.
const METER_DUTY: &str = "peak";

const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
const STORE_INTERVAL: Duration = Duration::from_secs(5);

/// Value of a row: the month's highest usage in one billing window, in tokens.
#[derive(Debug, Clone, Copy, Deserialize, Serialize)]
struct Maximum {
    tokens: u64,
}

/// Usage report and token request that a daemon sends to the meter's owner.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Request {
    /// Session of the requesting daemon.
    pub session: Arc<str>,
    /// Tokens of interactive requests since the daemon started.
    pub used: u64,
    /// Jobs too close to their deadline to wait for spare capacity: tokens, age in ms and time left in ms.
    pub pressing: Vec<(u64, u64, u64)>,
    /// Requested tokens.
    pub wanted: u64,
}

/// Response to a [`Request`].
#[derive(Debug, Clone, Copy, Deserialize, Serialize)]
pub struct Grant {
    /// Tokens that deferrable jobs may use.
    pub tokens: u64,
}

#[derive(Debug)]
struct State {
    meter: Meter,
    last_reported: HashMap<Arc<str>, u64>,
    pressing: HashMap<Arc<str>, (Duration, Vec<Candidate>)>,
    month: u64,
    stored_max: u64,
    synced_at: Duration,
}

/// State of the meter; set only while this daemon owns it.
#[derive(Debug, Default)]
pub struct Peak {
    state: Mutex<Option<State>>,
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
pub async fn request_tokens(node: &Node, urgent: &[Candidate], wanted: u64) -> u64 {
    let flows = node.placement.demand.totals();
    let request = Request {
        session: node.session.clone(),
        used: flows.values().map(|flow| flow.tokens).sum(),
        pressing: urgent
            .iter()
            .map(|job| (job.tokens, millis(job.age), millis(job.left)))
            .collect(),
        wanted,
    };
    let Some(owner) = node.membership.home(METER_DUTY, None) else {
        return 0;
    };
    if owner.address == node.peer_address {
        return handle(node, &request).tokens;
    }
    let call = node
        .peers
        .call::<_, Grant>(owner.address, method::PEAK, &request, CALL_TIMEOUT);
    call.await.map_or(0, |grant| grant.tokens)
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Handles a daemon's [`Request`].
pub fn handle(node: &Node, request: &Request) -> Grant {
    let now = node.now();
    let mut guard = node.jobs.peak.state.lock();
    let state = guard.get_or_insert_with(|| State::open(node.settings.billing_window, now));
    let previous = state
        .last_reported
        .insert(request.session.clone(), request.used);
    let used = request
        .used
        .saturating_sub(previous.unwrap_or(request.used));
    state.meter.use_tokens(used, now);
    let candidates = request
        .pressing
        .iter()
        .map(|&(tokens, age, left)| Candidate {
            tokens,
            age: Duration::from_millis(age),
            left: Duration::from_millis(left),
        });
    let entry = (now, candidates.collect());
    state.pressing.insert(request.session.clone(), entry);
    let window = node.settings.billing_window;
    state.pressing.retain(|_, (at, _)| now < *at + window);
    let urgent: Vec<Candidate> = state
        .pressing
        .values()
        .flat_map(|(_, jobs)| jobs.iter().copied())
        .collect();
    let tokens = state.meter.allowance(&urgent).min(request.wanted);
    state.meter.grant(tokens, now);
    Grant { tokens }
}

/// While this daemon owns the meter, reconciles the month's maximum with the stored row, keeping the higher value;
/// otherwise drops the meter.
pub async fn sync(node: &Node) {
    let now = node.now();
    let Some(owner) = node.membership.home(METER_DUTY, None) else {
        return;
    };
    if owner.address != node.peer_address {
        *node.jobs.peak.state.lock() = None;
        return;
    }
    let (month, metered_max) = {
        let mut guard = node.jobs.peak.state.lock();
        let state = guard.get_or_insert_with(|| State::open(node.settings.billing_window, now));
        if state.month != month() {
            *state = State::open(node.settings.billing_window, now);
        }
        let up_to_date = state.stored_max == state.meter.peak() && state.stored_max > 0;
        if up_to_date
            || (state.synced_at > Duration::ZERO && now < state.synced_at + STORE_INTERVAL)
        {
            return;
        }
        state.synced_at = now;
        (state.month, state.meter.peak())
    };
    let key = format!("{PREFIX}{:04}-{:02}", month / 12, month % 12 + 1);
    let Ok(row) = node.table.read(&key).await else {
        return;
    };
    let version = row.as_ref().map(|row| row.version);
    let maximum = row.and_then(|row| row.json::<Maximum>().ok());
    let stored_max = maximum.map_or(0, |maximum| maximum.tokens);
    if metered_max > stored_max {
        let transaction = Transaction::default().unchanged(&key, version).put(
            &key,
            &Maximum {
                tokens: metered_max,
            },
        );
        let _ = node.table.commit(&transaction).await;
    }
    if let Some(state) = node.jobs.peak.state.lock().as_mut() {
        state.meter.learn(stored_max);
        state.stored_max = metered_max.max(stored_max);
    }
}

impl State {
    fn open(window: Duration, now: Duration) -> Self {
        Self {
            meter: Meter::open(window, 0, now),
            last_reported: HashMap::new(),
            pressing: HashMap::new(),
            month: month(),
            stored_max: 0,
            synced_at: Duration::ZERO,
        }
    }
}
