//! One account of the memory and the descriptors that clients make a daemon hold.
//!
//! [`Ledger`] decides who yields, without a network or a clock. [`Account`] shares one between the connections of all listeners.

use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use hyper::body::{Body, Frame, SizeHint};
use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

use crate::metric;

/// What a connection takes besides its requests: task, HTTP state and the first read buffer, in bytes.
const CONNECTION_BYTES: usize = 16 << 10;

/// Size up to which a request is ordinary; larger ones leave it room.
const SMALL_BYTES: usize = 64 << 10;

/// Bytes by which a request must grow to count as progress, so that a byte now and then is none.
const PROGRESS_BYTES: usize = 4 << 10;

/// Time without progress after which a request may be cut for the sake of another large one.
const STALLED: Duration = Duration::from_secs(1);

/// Time without progress after which a response that its client doesn't read may be cut.
const UNREAD: Duration = Duration::from_secs(5);

/// Time without progress after which a response that its client doesn't read is cut.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum size of the request that opens a connection of peers, in bytes.
const MAX_UPGRADE_BYTES: u64 = 32 << 10;

/// Limits of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Memory of all requests and connections, in bytes.
    pub bytes: usize,
    /// Part of it that is kept for requests of ordinary size, in bytes.
    pub reserve: usize,
    /// Memory of each request that isn't counted, in bytes.
    pub free: usize,
    /// Connections at once.
    pub connections: usize,
    /// Whether connections yield; otherwise what doesn't fit is refused.
    pub yields: bool,
}

impl Default for Bounds {
    /// Limits of a machine that isn't known: 32 MiB for what requests hold beyond 64 KiB each.
    fn default() -> Self {
        Self {
            bytes: 32 << 20,
            reserve: 0,
            free: SMALL_BYTES,
            connections: usize::MAX,
            yields: false,
        }
    }
}

impl Bounds {
    /// Derives limits from a machine's memory, in MB, and the number of its descriptors. Requests and connections get a third of
    /// the memory, of which a quarter is kept for requests of ordinary size, and connections half of the descriptors; the rest is for
    /// the process itself, endpoints, peers and the store.
    ///
    /// ```
    /// use persimmoncroft::transport::account::Bounds;
    /// let bounds = Bounds::of(Some(120.0), Some(3075.0));
    /// assert_eq!((bounds.bytes, bounds.connections), (40 << 20, 1537));
    /// assert_eq!(Bounds::of(None, None), Bounds::default());
    /// ```
    pub fn of(memory_mb: Option<f64>, descriptors: Option<f64>) -> Self {
        let mut bounds = Self::default();
        if let Some(megabytes) = memory_mb {
            bounds.bytes = (megabytes * f64::from(1 << 20) / 3.0) as usize;
            bounds.reserve = bounds.bytes / 4;
            bounds.free = 0;
            bounds.yields = true;
        }
        if let Some(descriptors) = descriptors {
            bounds.connections = (descriptors / 2.0) as usize;
            bounds.yields = true;
        }
        bounds
    }

    /// Whether the memory of connections and small requests counts.
    fn counts_all(&self) -> bool {
        self.free == 0
    }
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Nothing has been received yet.
    New,
    /// A header section is being received.
    Head,
    /// A body is being received.
    Body,
    /// The request has been received and may run.
    Running,
    /// The client doesn't read the response.
    Unread,
    /// The response is complete, and the next request is awaited.
    Idle,
}

/// A connection, or the body of a request, in a [`Ledger`].
#[derive(Debug, Clone, Copy)]
pub struct Entry {
    /// Whether it is a connection.
    pub is_connection: bool,
    /// What it is doing.
    pub stage: Stage,
    /// Memory that is counted for it, in bytes.
    pub held: usize,
    /// When its stage last changed or enough bytes had come.
    pub progress_at: Duration,
    /// When its stage began.
    pub since: Duration,
    grown: usize,
}

impl Entry {
    /// Whether it may be closed. A request that may have run is never cut, unless its client hasn't read for some time.
    fn may_yield(&self, now: Duration) -> bool {
        match self.stage {
            Stage::Running => false,
            Stage::Unread => now.saturating_sub(self.progress_at) >= UNREAD,
            Stage::New | Stage::Head | Stage::Body | Stage::Idle => true,
        }
    }
}

/// Number of a connection or body in a [`Ledger`].
pub type Id = u64;

/// What a [`Ledger`] says to a wish for memory or a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It is granted, after the connections in the list have been closed.
    Granted(Vec<Id>),
    /// It is not granted, and nothing has changed.
    Refused,
}

/// Connections, bodies and the memory that they hold.
#[derive(Debug, Default)]
pub struct Ledger {
    bounds: Bounds,
    entries: HashMap<Id, Entry>,
    connections: usize,
    used: usize,
    next: Id,
}

impl Ledger {
    /// Creates a ledger without connections.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Number of connections.
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Sum of what connections and bodies hold, in bytes.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Connections and bodies.
    pub fn entries(&self) -> &HashMap<Id, Entry> {
        &self.entries
    }

    /// Adds a connection; returns its number and those that yield to it, or `None` if it must be refused.
    ///
    /// ```
    /// use std::time::Duration;
    /// use persimmoncroft::transport::account::{Bounds, Ledger};
    /// let bounds = Bounds { connections: 1, yields: true, ..Bounds::default() };
    /// let mut ledger = Ledger::new(bounds);
    /// let (first, _) = ledger.open(Duration::ZERO).unwrap();
    /// // The first one has sent nothing.
    /// let (_, yielded) = ledger.open(Duration::from_secs(1)).unwrap();
    /// assert_eq!(yielded, [first]);
    /// ```
    pub fn open(&mut self, now: Duration) -> Option<(Id, Vec<Id>)> {
        let base = match self.bounds.counts_all() {
            true => CONNECTION_BYTES,
            false => 0,
        };
        let mut yielded = Vec::new();
        if self.connections >= self.bounds.connections {
            let id = self.first_to_yield(now, None, |it| it.is_connection)?;
            self.close(id);
            yielded.push(id);
        }
        let id = self.add(Stage::New, true, now);
        match self.resize(id, base, now) {
            Verdict::Granted(more) => {
                yielded.extend(more);
                Some((id, yielded))
            }
            Verdict::Refused => {
                self.close(id);
                None
            }
        }
    }

    /// Adds the body of a request, which holds nothing yet.
    pub fn begin(&mut self, now: Duration) -> Id {
        self.add(Stage::Body, false, now)
    }

    fn add(&mut self, stage: Stage, is_connection: bool, now: Duration) -> Id {
        let id = self.next;
        self.next += 1;
        self.connections += usize::from(is_connection);
        let entry = Entry {
            is_connection,
            stage,
            held: 0,
            progress_at: now,
            since: now,
            grown: 0,
        };
        self.entries.insert(id, entry);
        id
    }

    /// Removes a connection or body and returns its memory.
    pub fn close(&mut self, id: Id) {
        if let Some(entry) = self.entries.remove(&id) {
            self.used -= entry.held;
            self.connections -= usize::from(entry.is_connection);
        }
    }

    /// Closes what has taken too long: header sections after `head`, and responses that aren't read.
    pub fn expire(&mut self, head: Duration, now: Duration) -> Vec<Id> {
        let is_late = |it: &Entry| match it.stage {
            Stage::Head => now.saturating_sub(it.since) >= head,
            Stage::Unread => now.saturating_sub(it.progress_at) >= UNREAD_TIMEOUT,
            Stage::New | Stage::Body | Stage::Running | Stage::Idle => false,
        };
        let late = self.entries.iter().filter(|(_, it)| is_late(it));
        let late: Vec<Id> = match self.bounds.yields {
            true => late.map(|(id, _)| *id).collect(),
            false => Vec::new(),
        };
        for id in &late {
            self.close(*id);
        }
        late
    }

    /// Sets the stage of a connection or body.
    pub fn enter(&mut self, id: Id, stage: Stage, now: Duration) {
        let entry = self.entries.get_mut(&id);
        if let Some(entry) = entry.filter(|it| it.stage != stage) {
            entry.stage = stage;
            (entry.progress_at, entry.since, entry.grown) = (now, now, 0);
        }
    }

    /// Notes bytes that were received from a connection or written to it.
    pub fn advance(&mut self, id: Id, bytes: usize, now: Duration) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.grown += bytes;
            if entry.grown >= PROGRESS_BYTES {
                (entry.progress_at, entry.grown) = (now, 0);
            }
        }
    }

    /// Sets what a connection or body holds, and closes others if there isn't enough.
    pub fn resize(&mut self, id: Id, bytes: usize, now: Duration) -> Verdict {
        let bytes = bytes.saturating_sub(self.bounds.free);
        let Some(entry) = self.entries.get(&id) else {
            return Verdict::Refused;
        };
        let (held, bounds) = (entry.held, self.bounds);
        let is_small = bytes <= SMALL_BYTES + CONNECTION_BYTES;
        let limit = match is_small {
            true => bounds.bytes,
            false => bounds.bytes - bounds.reserve,
        };
        let excess = match bytes > held {
            true => (self.used - held + bytes).saturating_sub(limit),
            false => 0,
        };
        let gives_way = |it: &Entry| {
            let is_stalled = now.saturating_sub(it.progress_at) >= STALLED;
            match is_small {
                true => is_stalled || it.held > bytes,
                // Clients may reuse idle connections, and a large body would cost many of them.
                false => is_stalled && it.stage != Stage::Idle,
            }
        };
        let yielding = |ledger: &Self| -> usize {
            let others = ledger.entries.iter().filter(|(other, _)| **other != id);
            let others = others.filter(|(_, it)| it.may_yield(now) && gives_way(it));
            others.map(|(_, it)| it.held).sum()
        };
        // Nothing is closed in vain.
        if excess > 0 && (!bounds.yields || yielding(self) < excess) {
            return Verdict::Refused;
        }
        let mut yielded = Vec::new();
        while self.used - held + bytes > limit && bytes > held {
            let Some(other) = self.first_to_yield(now, Some(id), gives_way) else {
                break;
            };
            self.close(other);
            yielded.push(other);
        }
        self.used = self.used - held + bytes;
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.held = bytes;
        }
        Verdict::Granted(yielded)
    }

    /// The connection that has held the most for the longest without progress; those between two requests only after all others,
    /// since their clients may reuse them.
    fn first_to_yield(
        &self,
        now: Duration,
        except: Option<Id>,
        gives_way: impl Fn(&Entry) -> bool,
    ) -> Option<Id> {
        if !self.bounds.yields {
            return None;
        }
        let weight = |it: &Entry| {
            let time = now.saturating_sub(it.progress_at).as_millis() + 1;
            (
                it.stage != Stage::Idle,
                time * (it.held + CONNECTION_BYTES) as u128,
            )
        };
        let candidates = self
            .entries
            .iter()
            .filter(|(id, it)| Some(**id) != except && it.may_yield(now) && gives_way(it));
        let first = candidates.max_by_key(|(id, it)| (weight(it), std::cmp::Reverse(**id)));
        first.map(|(id, _)| *id)
    }
}

/// Labels of the counter of what the account has ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Cut {
    /// Why.
    reason: &'static str,
}

#[derive(Debug, Default)]
struct State {
    ledger: Ledger,
    ended: HashMap<Id, CancellationToken>,
}

#[derive(Debug)]
struct Inner {
    origin: Instant,
    bounds: Bounds,
    state: Mutex<State>,
    bytes: Gauge,
    connections: Gauge,
    cuts: Family<Cut, Counter>,
    /// What was counted since the last log line: yielded, refused and late ones.
    recent: [AtomicU64; REASONS.len()],
}

/// Why the account ends or refuses a connection or body.
const REASONS: [&str; 3] = ["yielded", "refused", "late"];

const YIELDED: usize = 0;
const REFUSED: usize = 1;
const LATE: usize = 2;

/// The account of a process; clones share it.
#[derive(Debug, Clone)]
pub struct Account {
    inner: Arc<Inner>,
}

impl Account {
    /// Opens an account without connections, and registers its metrics.
    pub fn open(bounds: Bounds, registry: &mut Registry) -> Self {
        let state = State {
            ledger: Ledger::new(bounds),
            ended: HashMap::new(),
        };
        let inner = Inner {
            origin: Instant::now(),
            bounds,
            state: Mutex::new(state),
            bytes: metric::register(registry, "client_bytes", "Memory that clients hold"),
            connections: metric::register(registry, "client_connections", "Connections of clients"),
            cuts: metric::register(
                registry,
                "client_cuts",
                "Connections and bodies that were ended for want of memory, descriptors or progress",
            ),
            recent: Default::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Whether it closes connections for the sake of others, as the machine's limits are known.
    pub fn is_bounded(&self) -> bool {
        self.inner.bounds.yields
    }

    /// Adds a connection; `None` if it must be refused.
    pub fn connect(&self) -> Option<Arc<Client>> {
        let mut state = self.inner.state.lock();
        let opened = state.ledger.open(self.inner.origin.elapsed());
        let client = opened.map(|(id, yielded)| {
            self.end(&mut state, &yielded, YIELDED);
            let ended = CancellationToken::new();
            state.ended.insert(id, ended.clone());
            let item = Item {
                account: self.clone(),
                id,
                ended,
            };
            Arc::new(Client {
                item,
                received: AtomicU64::new(0),
            })
        });
        if client.is_none() {
            self.count(REFUSED, 1);
        }
        self.publish(&state);
        client
    }

    /// Adds the body of a request.
    pub fn body(&self) -> Item {
        let mut state = self.inner.state.lock();
        let id = state.ledger.begin(self.inner.origin.elapsed());
        let ended = CancellationToken::new();
        state.ended.insert(id, ended.clone());
        Item {
            account: self.clone(),
            id,
            ended,
        }
    }

    /// Ends what has taken too long, with a time for header sections, and logs what was ended or refused since the last call.
    pub fn expire(&self, head: Duration) {
        let mut state = self.inner.state.lock();
        let late = state.ledger.expire(head, self.inner.origin.elapsed());
        self.end(&mut state, &late, LATE);
        self.publish(&state);
        let (bytes, connections) = (state.ledger.used(), state.ledger.connections());
        drop(state);
        let [yielded, refused, late] =
            std::array::from_fn(|index| self.inner.recent[index].swap(0, Ordering::Relaxed));
        if yielded + refused + late > 0 {
            spdlog::info!("account: clients ended", kv: { yielded, refused, late, bytes, connections });
        }
    }

    fn end(&self, state: &mut State, ids: &[Id], reason: usize) {
        for id in ids {
            if let Some(ended) = state.ended.remove(id) {
                ended.cancel();
            }
        }
        self.count(reason, ids.len());
    }

    fn count(&self, reason: usize, number: usize) {
        if number > 0 {
            self.inner.recent[reason].fetch_add(number as u64, Ordering::Relaxed);
            let reason = REASONS[reason];
            let cuts = self.inner.cuts.get_or_create(&Cut { reason });
            cuts.inc_by(number as u64);
        }
    }

    fn publish(&self, state: &State) {
        self.inner.bytes.set(state.ledger.used() as i64);
        self.inner
            .connections
            .set(state.ledger.connections() as i64);
    }
}

/// A connection or body in an account; dropping it returns what it holds.
#[derive(Debug)]
pub struct Item {
    account: Account,
    id: Id,
    ended: CancellationToken,
}

impl Item {
    /// Waits until the account ends it for the sake of others, or since it takes too long.
    pub async fn ended(&self) {
        self.ended.cancelled().await;
    }

    /// Sets its stage.
    pub fn enter(&self, stage: Stage) {
        let inner = &self.account.inner;
        let now = inner.origin.elapsed();
        inner.state.lock().ledger.enter(self.id, stage, now);
    }

    /// Notes bytes that have come, or have been taken by the client.
    pub fn advance(&self, bytes: usize) {
        let inner = &self.account.inner;
        let now = inner.origin.elapsed();
        inner.state.lock().ledger.advance(self.id, bytes, now);
    }

    /// Sets what it holds; returns whether there was enough.
    pub fn resize(&self, bytes: usize) -> bool {
        let inner = &self.account.inner;
        let mut state = inner.state.lock();
        let verdict = state.ledger.resize(self.id, bytes, inner.origin.elapsed());
        match verdict {
            Verdict::Granted(yielded) => {
                self.account.end(&mut state, &yielded, YIELDED);
                self.account.publish(&state);
                true
            }
            Verdict::Refused => {
                self.account.count(REFUSED, 1);
                false
            }
        }
    }
}

impl Drop for Item {
    fn drop(&mut self) {
        let mut state = self.account.inner.state.lock();
        state.ledger.close(self.id);
        state.ended.remove(&self.id);
        self.account.publish(&state);
    }
}

/// A client's connection.
#[derive(Debug)]
pub struct Client {
    /// Its part of the account.
    pub item: Item,
    /// Bytes of the header section that is being received.
    received: AtomicU64,
}

impl Client {
    /// Notes that a whole header section has come, and that its request may run.
    pub fn begin(&self) {
        self.received.store(u64::MAX, Ordering::Relaxed);
        self.item.enter(Stage::Running);
    }

    /// Notes that the response to a request is complete.
    pub fn finish(&self) {
        self.received.store(0, Ordering::Relaxed);
        let _ = self.item.resize(self.base());
        self.item.enter(Stage::Idle);
    }

    fn base(&self) -> usize {
        match self.item.account.inner.bounds.counts_all() {
            true => CONNECTION_BYTES,
            false => 0,
        }
    }

    fn is_running(&self) -> bool {
        self.received.load(Ordering::Relaxed) == u64::MAX
    }

    /// Notes bytes that were received; returns whether there is memory for them. What comes before a connection's protocol changes
    /// is limited.
    fn receive(&self, bytes: usize, upgrades: bool) -> bool {
        let before = self.received.load(Ordering::Relaxed);
        if before == u64::MAX {
            // Body bytes are counted where they are collected.
            self.item.advance(bytes);
            return true;
        }
        let received = before + bytes as u64;
        self.received.store(received, Ordering::Relaxed);
        self.item.enter(Stage::Head);
        match self.base() {
            0 => true,
            _ if upgrades && received > MAX_UPGRADE_BYTES => false,
            base => self.item.resize(base + received as usize),
        }
    }
}

/// Counts a request as running until it is dropped.
#[derive(Debug)]
pub struct Running {
    client: Arc<Client>,
}

impl Running {
    /// Notes that a whole header section has come.
    pub fn begin(client: Arc<Client>) -> Self {
        client.begin();
        Self { client }
    }

    /// Ends the request with the body of its response.
    pub fn until_sent<B>(self, body: B) -> Sent<B> {
        Sent {
            body,
            _running: self,
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.client.finish();
    }
}

/// Body of a response, which ends its request.
#[derive(Debug)]
pub struct Sent<B> {
    body: B,
    _running: Running,
}

impl<B: Body + Unpin> Body for Sent<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A client's socket, whose bytes are counted.
#[derive(Debug)]
pub struct Counted<S> {
    stream: S,
    client: Arc<Client>,
    /// Whether the connection belongs to one protocol once the first response has begun, as those of peers.
    upgrades: bool,
    is_unread: bool,
    ended: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl<S> Counted<S> {
    /// Counts the bytes of a connection whose handler calls [`Client::begin`] and [`Client::finish`].
    pub fn new(stream: S, client: Arc<Client>) -> Self {
        let ended = client.item.ended.clone().cancelled_owned();
        Self {
            stream,
            client,
            upgrades: false,
            is_unread: false,
            ended: Box::pin(ended),
        }
    }

    /// Counts the bytes of a connection until its first response.
    pub fn until_response(stream: S, client: Arc<Client>) -> Self {
        Self {
            upgrades: true,
            ..Self::new(stream, client)
        }
    }

    /// Fails once the account has ended the connection.
    fn check(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        match self.ended.as_mut().poll(cx) {
            Poll::Ready(()) => Err(io::ErrorKind::ConnectionReset.into()),
            Poll::Pending => Ok(()),
        }
    }

    fn wrote(&mut self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Pending if !self.is_unread => {
                self.is_unread = true;
                self.client.item.enter(Stage::Unread);
            }
            Poll::Ready(Ok(bytes)) => {
                if std::mem::take(&mut self.is_unread) {
                    self.client.item.enter(match self.client.is_running() {
                        true => Stage::Running,
                        false => Stage::Idle,
                    });
                } else if self.upgrades {
                    self.client.begin();
                    self.upgrades = false;
                }
                self.client.item.advance(*bytes);
            }
            Poll::Pending | Poll::Ready(Err(_)) => {}
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(cx)?;
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let read = buffer.filled().len() - before;
        match read == 0 || self.client.receive(read, self.upgrades) {
            true => Poll::Ready(Ok(())),
            false => Poll::Ready(Err(io::Error::other("no memory for a header section"))),
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check(cx)?;
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.wrote(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check(cx)?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.wrote(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
