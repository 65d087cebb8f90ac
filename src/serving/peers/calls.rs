//! Calls to homes by datagrams: each waits for its response, and a home that did not respond is not asked for a while.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::send;
use crate::protocol::digest::Body;
use crate::serving::Node;
use crate::state::record::Name;

/// Timeout of a home's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(60);

/// First time for which a home that did not respond is not asked; one message may have been lost.
const INITIAL_SILENCE_PAUSE: Duration = Duration::from_millis(100);

/// Longest time for which a home that did not respond is not asked.
const MAX_SILENCE_PAUSE: Duration = Duration::from_secs(2);

/// A home that did not respond.
#[derive(Debug, Clone, Copy)]
struct Silence {
    /// Session of the process that was asked; another one may respond.
    session: Option<u64>,
    pause: Duration,
    /// Time until which the home is not asked.
    until: Duration,
}

/// Calls of one kind with responses of type `T`.
#[derive(Debug)]
pub struct Calls<T> {
    /// Calls that have not been answered.
    pending: Mutex<HashMap<u64, oneshot::Sender<T>>>,
    last_id: AtomicU64,
    silent: Mutex<HashMap<Name, Silence>>,
}

impl<T> Default for Calls<T> {
    fn default() -> Self {
        Self {
            pending: Mutex::default(),
            last_id: AtomicU64::default(),
            silent: Mutex::default(),
        }
    }
}

impl<T> Calls<T> {
    /// Identifier of a message to homes.
    pub fn next_id(&self) -> u64 {
        self.last_id.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Identifier of the latest message; 0 if there is none.
    pub fn last_id(&self) -> u64 {
        self.last_id.load(Ordering::Relaxed)
    }

    /// Sends a home the message with an identifier and waits for the response; without one, the home counts as silent.
    pub async fn ask(
        &self,
        node: &Node,
        (home, address): (&Name, SocketAddr),
        message: impl FnOnce(u64) -> Body,
    ) -> Option<T> {
        let id = self.next_id();
        let (sender, receiver) = oneshot::channel();
        self.pending.lock().insert(id, sender);
        let _pending = Pending { calls: self, id };
        let session = node.peers.session(home);
        send(node, message(id), address);
        if let Ok(Ok(response)) = timeout(RESPONSE_TIMEOUT, receiver).await {
            return Some(response);
        }
        self.note_silence(home, session, node.now());
        None
    }

    /// Records that the process of a home that runs now did not respond.
    pub fn note_silent(&self, node: &Node, home: &Name) {
        self.note_silence(home, node.peers.session(home), node.now());
    }

    /// Records that a home did not respond, which pauses it for twice as long after each further time.
    fn note_silence(&self, home: &Name, session: Option<u64>, now: Duration) {
        let mut silent = self.silent.lock();
        let known = silent.get(home).filter(|it| it.session == session);
        // Several calls that were sent together are one observation.
        if known.is_some_and(|it| now < it.until) {
            return;
        }
        let before = known.map_or(Duration::ZERO, |it| it.pause);
        let pause = (before * 2).clamp(INITIAL_SILENCE_PAUSE, MAX_SILENCE_PAUSE);
        let silence = Silence {
            session,
            pause,
            until: now + pause,
        };
        silent.insert(home.clone(), silence);
    }

    /// Time for which a home is not asked at a time.
    pub fn pause(&self, home: &Name) -> Duration {
        let silent = self.silent.lock();
        silent.get(home).map_or(Duration::ZERO, |it| it.pause)
    }

    /// Hands a response to the call that waits for it; the call may have stopped waiting.
    pub fn answer(&self, id: u64, response: T) {
        if let Some(waiting) = self.pending.lock().remove(&id) {
            let _ = waiting.send(response);
        }
    }

    /// Whether a home did not respond lately and has not started anew since.
    pub fn is_silent(&self, node: &Node, home: &Name) -> bool {
        let silence = self.silent.lock().get(home).copied();
        silence.is_some_and(|silence| {
            node.now() < silence.until && silence.session == node.peers.session(home)
        })
    }

    /// Has a home asked again that has sent a message.
    pub fn heard(&self, home: &Name) {
        self.silent.lock().remove(home);
    }

    /// Forgets the homes that have been free to be asked for long.
    pub fn sweep(&self, now: Duration) {
        let mut silent = self.silent.lock();
        silent.retain(|_, silence| silence.until + MAX_SILENCE_PAUSE > now);
    }
}

/// Entry of a call that waits for its response.
struct Pending<'a, T> {
    calls: &'a Calls<T>,
    id: u64,
}

impl<T> Drop for Pending<'_, T> {
    fn drop(&mut self) {
        self.calls.pending.lock().remove(&self.id);
    }
}
