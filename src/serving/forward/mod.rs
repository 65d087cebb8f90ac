//! Hands requests to other daemons while this daemon has lost its links to the endpoints, or to all that could serve the
//! request. A request makes one such hop at most.

mod catchup;
pub mod receive;
mod stream;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use http::{Response, StatusCode, header, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use parking_lot::Mutex;
use rand::RngExt;
use tokio::time::{sleep, timeout};

use super::admit::Refusal;
use super::choose;
use super::meter::Handover;
use super::relay::{Body, forwarded_parts};
use super::send::{Context, FULL_PAUSE, Phase};
use crate::coordination::handover;
use crate::protocol::connection;
use crate::protocol::hop::{self, Outcome, Versions};
use crate::state::record::Name;
use crate::transport::body::read_whole;
use crate::transport::exchange::{Connection, Error, Pool};

/// Timeout of a connection to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Number of daemons that are asked to take a request.
const MAX_PEERS: usize = 4;

/// Time for which a daemon that was unreachable or took no request is not asked again.
const PEER_PAUSE: Duration = Duration::from_millis(500);

/// Time by which the receiver's deadline is earlier, so that its error still arrives in time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);

/// Interval of checks whether a daemon that has a request is still heard.
const HEARD_INTERVAL: Duration = Duration::from_millis(100);

/// State of handing requests over and of taking them.
#[derive(Debug, Default)]
pub struct Forwards {
    /// Idle connections to other daemons.
    pub pool: Pool,
    /// Daemons that are not asked, each with the time until which.
    paused: Mutex<HashMap<Name, Duration>>,
    /// Requests of other daemons that are in flight here.
    received: Arc<AtomicUsize>,
    /// Held while this daemon gets what another one has in force.
    catching_up: tokio::sync::Mutex<()>,
}

impl Forwards {
    /// Drops idle connections that are no longer usable and pauses that have ended.
    pub fn sweep(&self, now: Duration) {
        self.pool.prune(|_| true);
        self.paused.lock().retain(|_, until| *until > now);
    }
}

/// A daemon that may take requests of this one.
#[derive(Debug, Clone)]
pub struct Peer {
    /// What it is chosen by.
    pub candidate: handover::Candidate,
    /// Address of its listener for other daemons' requests.
    pub address: SocketAddr,
    /// Versions up to which it has read, as it last said; `None` if it gets what it lacks before it decides on a request, or has not
    /// sent a heartbeat yet.
    pub versions: Option<Versions>,
}

/// A response that another daemon has got for a request.
#[derive(Debug)]
pub struct Exchange {
    peer: Name,
    connection: Connection,
    parts: response::Parts,
    body: Incoming,
}

/// How handing a request over ended.
#[derive(Debug)]
pub enum Sent {
    /// An endpoint's response has arrived.
    Answered(Box<Exchange>),
    /// The other daemon refuses the request, or has lost its response.
    Refused(Refusal),
    /// The other daemon was not reached, or did not take the request.
    Untaken,
    /// The other daemon did not take the request since it had a newer configuration than this one, which has it now.
    Behind,
    /// Nothing was sent, which says nothing about the other daemon.
    Unsent,
    /// The request may have run; its response is lost.
    Broken,
}

/// Where a request is sent next.
#[derive(Debug, Clone)]
pub enum Way {
    /// To an endpoint.
    Endpoint,
    /// To another daemon.
    Peer(Peer),
    /// Nowhere: there are no links, and no other daemon that may take it.
    Nowhere,
}

/// Where a request is sent now.
pub fn way(ctx: &Context) -> Way {
    let links = &ctx.node.links;
    if !links.is_lost() || ctx.held().is_some() || has_link(ctx) {
        return Way::Endpoint;
    }
    let peer = match may_hand_over(ctx) {
        true => next_peer(ctx, &[]),
        false => None,
    };
    match peer {
        Some(peer) => Way::Peer(peer),
        // Some endpoints are reached, if only by kept connections.
        None if links.direct_share() > 0.0 || links.has_kept(ctx.node.now()) => Way::Endpoint,
        None => Way::Nowhere,
    }
}

/// The daemon to which a request is to be handed because this daemon connects to none of the endpoints that could serve it;
/// `None` if it does, or if no other daemon does either.
pub fn peer_in_reach(ctx: &Context) -> Option<Peer> {
    if !may_hand_over(ctx) || ctx.held().is_some() {
        return None;
    }
    let version = ctx.version.as_ref();
    let needed = choose::unreachable(&ctx.node, &ctx.admission, &ctx.call, version);
    match needed.is_empty() {
        true => None,
        false => next_peer(ctx, &needed),
    }
}

/// Whether a request may be handed to another daemon now.
fn may_hand_over(ctx: &Context) -> bool {
    let may_be_sent = ctx.runs == 0 || ctx.can_retry();
    ctx.admission.hop.is_none() && may_be_sent && ctx.asked_peers.len() < MAX_PEERS
}

/// The daemon that is asked next to take a request, if there is one. It connects to one of the endpoints `needed`, or to any if
/// none are given.
fn next_peer(ctx: &Context, needed: &[Name]) -> Option<Peer> {
    let node = &ctx.node;
    let now = node.now();
    let (mut peers, zone_cores) = node.peers.with_links_to(&node.settings, needed, now);
    let in_force = node.fleet.in_force();
    let paused = node.forwards.paused.lock();
    let is_paused = |name: &Name| paused.get(name).is_some_and(|until| *until > now);
    peers.retain(|peer| {
        let name = &peer.candidate.name;
        // A daemon that may decide by something older would undo what is in force here.
        let is_behind = |versions: Versions| !versions.covers(&in_force);
        let may_decide = !peer.versions.is_some_and(is_behind);
        may_decide && !ctx.asked_peers.contains(name) && !is_paused(name)
    });
    let candidates: Vec<_> = peers.iter().map(|peer| peer.candidate.clone()).collect();
    let mut rng = rand::rng();
    let draws = (rng.random(), rng.random());
    let index = handover::choose(&candidates, &node.settings.zone, zone_cores, draws)?;
    Some(peers.swap_remove(index))
}

/// Whether the request is sent to an endpoint although the links are not all there: as one of the share with which they are
/// tried again, or on a kept connection that works.
fn has_link(ctx: &Context) -> bool {
    let node = &ctx.node;
    if rand::rng().random::<f64>() < node.links.direct_share() {
        return true;
    }
    if ctx.takes_up_stream() && ctx.version.is_none() {
        // The version that began the stream is looked up by the daemon that takes the request.
        return false;
    }
    let version = ctx.version.as_ref();
    node.links.has_kept(node.now())
        && choose::choose(
            &ctx.node,
            &ctx.admission,
            &ctx.call,
            &ctx.tried,
            version,
            false,
        )
        .is_ok_and(|choice| choice.candidate.connected)
}

/// Hands a request to another daemon and waits for the head of the response. From when it is written until the other daemon
/// says otherwise, the request counts as run.
pub async fn send(ctx: &mut Context, peer: &Peer) -> Sent {
    let started = ctx.node.now();
    let name = &peer.candidate.name;
    ctx.asked_peers.push(name.clone());
    let (sent, outcome) = exchange(ctx, peer).await;
    let node = &ctx.node;
    if matches!(sent, Sent::Untaken) {
        let until = node.now() + PEER_PAUSE;
        node.forwards.paused.lock().insert(name.clone(), until);
    }
    let label = Handover { outcome };
    node.meter.handovers.get_or_create(&label).inc();
    node.journal.line(|| {
        spdlog::info!("forward: handed over", kv: {
            request: = ctx.call.id,
            route: = ctx.admission.route.name,
            peer: = name,
            zone: = peer.candidate.zone,
            outcome = outcome,
            took_ms = node.now().saturating_sub(started).as_millis() as u64,
            left_ms = ctx.remaining().as_millis() as u64,
            runs = ctx.runs,
        });
    });
    sent
}

async fn exchange(ctx: &mut Context, peer: &Peer) -> (Sent, &'static str) {
    let node = ctx.node.clone();
    let name = &peer.candidate.name;
    let connect_timeout = CONNECT_TIMEOUT.min(ctx.remaining());
    let connection = match node.forwards.pool.take(name) {
        Some(connection) => Ok(connection),
        None => Connection::connect(peer.address, connect_timeout).await,
    };
    let Ok(mut connection) = connection else {
        return (Sent::Untaken, "unreachable");
    };
    let is_reused = connection.is_used();
    if ctx.is_out_of_time() {
        return (Sent::Unsent, "unsent");
    }
    if !ctx.take_retry() {
        let refusal = Refusal::busy("retry_budget", FULL_PAUSE);
        return (Sent::Refused(refusal), "retry_budget");
    }
    let left = ctx.remaining().saturating_sub(DEADLINE_MARGIN);
    let mut request = (node.codec.forward)(&ctx.call, left);
    let attempts = ctx.admission.route.attempts.saturating_sub(ctx.runs).max(1);
    hop::set_attempts(request.headers_mut(), attempts);
    let in_force = node.fleet.in_force();
    hop::set_sender(request.headers_mut(), &node.settings.name, &in_force);
    ctx.phase = Phase::Sent;
    ctx.runs += 1;
    ctx.delivered += 1;
    let response = match while_heard(ctx, name, connection.send(request)).await {
        Some(Ok(response)) => response,
        Some(Err(Error::Unsent)) => {
            ctx.runs -= 1;
            ctx.delivered -= 1;
            if is_reused {
                ctx.asked_peers.retain(|asked| asked != name);
            }
            return (Sent::Unsent, "unsent");
        }
        Some(Err(_)) => return (Sent::Broken, "broken"),
        None => return (Sent::Broken, "silent"),
    };
    let (mut parts, body) = response.into_parts();
    let versions = hop::take_versions(&mut parts.headers);
    let Some(outcome) = hop::take_outcome(&mut parts.headers) else {
        return (Sent::Broken, "foreign");
    };
    let sent = match outcome {
        Outcome::Busy => {
            ctx.runs -= 1;
            ctx.delivered -= 1;
            // Another request may have caught up since this one was sent.
            let is_newer = |versions: &Versions| versions.catalog > in_force.catalog;
            match versions.filter(is_newer) {
                Some(newer) if catchup::catch_up(&node, name, &newer).await => Sent::Behind,
                _ => Sent::Untaken,
            }
        }
        Outcome::NotRun => {
            ctx.runs -= 1;
            Sent::Refused(refusal(&parts))
        }
        Outcome::Lost => Sent::Refused(Refusal::invalid(parts.status, "peer_lost")),
        Outcome::Answered if (node.codec.head)(&parts).id.as_ref() != Some(&ctx.call.id) => {
            return (Sent::Broken, "foreign");
        }
        Outcome::Answered => {
            ctx.phase = Phase::Reading;
            ctx.answered_by = Some(name.clone());
            return (
                Sent::Answered(Box::new(Exchange {
                    peer: name.clone(),
                    connection,
                    parts,
                    body,
                })),
                outcome.name(),
            );
        }
    };
    let keep_alive = connection::keep_alive(parts.version, &parts.headers);
    if body_is_empty(&parts) {
        put(&node.forwards.pool, name, connection, keep_alive);
    }
    if matches!(sent, Sent::Behind) {
        ctx.asked_peers.retain(|asked| asked != name);
        return (sent, "behind");
    }
    (sent, outcome.name())
}

/// Waits for a part of another daemon's response; `None` if the time of the request is over, or if the daemon is no longer
/// heard and the request can be sent again.
async fn while_heard<T>(ctx: &Context, peer: &Name, part: impl Future<Output = T>) -> Option<T> {
    let node = &ctx.node;
    let silence = async {
        while !ctx.can_retry() || node.peers.hears(peer, node.now()) {
            sleep(HEARD_INTERVAL).await;
        }
    };
    let first = async {
        tokio::select! {
            biased;
            part = part => Some(part),
            () = silence => None,
        }
    };
    timeout(ctx.remaining(), first).await.ok().flatten()
}

fn body_is_empty(parts: &response::Parts) -> bool {
    let length = parts.headers.get(header::CONTENT_LENGTH);
    length.is_some_and(|length| length == "0")
}

/// The refusal of another daemon as one of this daemon.
fn refusal(parts: &response::Parts) -> Refusal {
    let retry_after = parts.headers.get(header::RETRY_AFTER).and_then(|value| {
        let seconds = value.to_str().ok()?.parse().ok()?;
        Duration::try_from_secs_f64(seconds).ok()
    });
    Refusal {
        status: parts.status,
        reason: "peer_refused",
        retry_after,
    }
}

/// Reads the response that another daemon has got, and returns that for the caller.
///
/// # Errors
/// The request, if the response broke before anything could be returned to the caller.
pub async fn answer(ctx: Context, exchange: Exchange) -> Result<Response<Body>, Box<Context>> {
    let status = exchange.parts.status;
    if ctx.admission.route.kind.is_streaming() && status.is_success() {
        return stream::answer(ctx, exchange).await;
    }
    read(ctx, exchange).await
}

async fn read(mut ctx: Context, exchange: Exchange) -> Result<Response<Body>, Box<Context>> {
    let node = ctx.node.clone();
    let keep_alive = connection::keep_alive(exchange.parts.version, &exchange.parts.headers);
    let body = read_whole(exchange.body, &node.memory);
    let read = while_heard(&ctx, &exchange.peer, body).await;
    let Some(Some(bytes)) = read else {
        note_broken(&ctx, &exchange.peer, read.is_none());
        return Err(Box::new(ctx));
    };
    let pool = &node.forwards.pool;
    put(pool, &exchange.peer, exchange.connection, keep_alive);
    ctx.phase = Phase::Settled;
    note_answered(&ctx, exchange.parts.status);
    let body = Full::new(bytes).map_err(|never| match never {});
    let parts = forwarded_parts(exchange.parts);
    Ok(Response::from_parts(parts, body.boxed_unsync()))
}

/// Counts and logs a response of an endpoint that came through another daemon.
fn note_answered(ctx: &Context, status: StatusCode) {
    let node = &ctx.node;
    node.meter.count_outcome("answered", status.as_u16());
    let elapsed = node.now().saturating_sub(ctx.admission.arrived);
    node.meter.first_byte.observe(elapsed.as_secs_f64());
    ctx.log_answered(status, elapsed);
}

fn note_broken(ctx: &Context, peer: &Name, is_late: bool) {
    let outcome = "response_lost";
    let label = Handover { outcome };
    ctx.node.meter.handovers.get_or_create(&label).inc();
    ctx.node.journal.line(|| {
        spdlog::info!("forward: response incomplete", kv: {
            request: = ctx.call.id,
            peer: = peer,
            is_late,
            left_ms = ctx.remaining().as_millis() as u64,
            runs = ctx.runs,
        });
    });
}

fn put(
    pool: &Pool,
    peer: &Name,
    connection: Connection,
    keep_alive: crate::state::call::KeepAlive,
) {
    use crate::state::call::KeepAlive;
    match keep_alive {
        KeepAlive::Close => {}
        KeepAlive::Open => pool.put(peer, connection, None),
        KeepAlive::For(time) => pool.put(peer, connection, Some(time)),
    }
}
