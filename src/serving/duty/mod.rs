//! Calls to the platform that one daemon makes for the whole fleet: the one that holds the placer's lease.

pub mod scale;
pub mod usage;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use parking_lot::Mutex;
use tokio::time::sleep;

use super::Node;
use super::codec::Holder;
use crate::serving::settings::Duties;
use crate::transport::exchange::{Channel, Error};

/// Timeout of a call; half of the time for which no other daemon acts after the end of a lease. A call is abandoned sooner if
/// the lease ends.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Longest interval between checks of whether this daemon still may act while a call is unanswered.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Share of the rate that the platform accepts which this daemon uses; a holder before it may have used some of it.
const RATE_SHARE: f64 = 0.5;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The platform has accepted it.
    Accepted,
    /// The platform has refused it; it had no effect.
    Refused(StatusCode),
    /// No response came; the call may have had its effect.
    Unknown,
    /// It was not sent: this daemon may not act now, has used up the rate, or has no connection.
    Unsent,
}

/// Paces the calls of this daemon.
#[derive(Debug, Default)]
pub struct Pacer {
    next_at: Mutex<Duration>,
}

impl Pacer {
    /// Takes a call from the rate `per_second`; returns whether it may be made now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::serving::duty::Pacer;
    /// let pacer = Pacer::default();
    /// assert!(pacer.take(2.0, Duration::ZERO));
    /// assert!(!pacer.take(2.0, Duration::from_millis(499)));
    /// assert!(pacer.take(2.0, Duration::from_millis(500)));
    /// ```
    pub fn take(&self, per_second: f64, now: Duration) -> bool {
        let mut next_at = self.next_at.lock();
        if per_second <= 0.0 || now < *next_at {
            return false;
        }
        *next_at = now + Duration::from_secs_f64(per_second.recip().min(3600.0));
        true
    }

    /// Whether a call may be made now.
    pub fn is_free(&self, now: Duration) -> bool {
        now >= *self.next_at.lock()
    }
}

/// This daemon as the holder, while it may act for the fleet.
pub fn holder(node: &Node) -> Option<Holder> {
    let fence = node.placer.acting_fence(node)?;
    Some(Holder {
        name: node.settings.name.clone(),
        fence,
    })
}

/// Makes the call that `request` builds, if this daemon may act now. Whether it may is checked again when the connection is open,
/// right before the request is written; when the lease ends, the call is abandoned and its connection closed.
pub async fn call(
    node: &Arc<Node>,
    duties: &Duties,
    channel: &Channel,
    request: impl FnOnce(&Holder) -> Request<Full<Bytes>>,
) -> Reply {
    let Some(holder) = holder(node) else {
        return Reply::Unsent;
    };
    let per_second = duties.per_second * RATE_SHARE;
    if !node.duty_pacer.is_free(node.now()) {
        return Reply::Unsent;
    }
    let is_written = AtomicBool::new(false);
    let build = || {
        let may_act = node.placer.acting_fence(node) == Some(holder.fence);
        // The rate counts requests as they are written, whatever time the connection has taken.
        let may_send = may_act && node.duty_pacer.take(per_second, node.now());
        is_written.store(may_send, Ordering::Relaxed);
        may_send.then(|| request(&holder))
    };
    let response = tokio::select! {
        biased;
        () = lease_end(node, holder.fence) => None,
        response = channel.fetch_when(CALL_TIMEOUT, build) => Some(response),
    };
    let is_written = is_written.load(Ordering::Relaxed);
    match response {
        Some(Ok(Some(response))) if response.status().is_success() => Reply::Accepted,
        Some(Ok(Some(response))) => Reply::Refused(response.status()),
        Some(Err(error)) if !is_written || matches!(error, Error::Unsent) => {
            // The platform is likely down for all daemons, so the lease is kept.
            node.duty_pacer.take(per_second, node.now());
            node.journal
                .line(|| spdlog::info!("duty: no connection to the API", kv: { error: = error }));
            Reply::Unsent
        }
        Some(Err(error)) => {
            node.journal
                .line(|| spdlog::info!("duty: call unanswered", kv: { error: = error }));
            Reply::Unknown
        }
        None if is_written => {
            spdlog::warn!("duty: call abandoned at the end of the lease", kv: { fence = holder.fence });
            Reply::Unknown
        }
        None | Some(Ok(None)) => Reply::Unsent,
    }
}

/// Waits until this daemon may not act any more under a fencing token.
async fn lease_end(node: &Node, fence: u64) {
    while node.placer.acting_fence(node) == Some(fence) {
        sleep(CHECK_INTERVAL).await;
    }
}
