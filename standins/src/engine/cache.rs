//! Prefix cache of limited size whose events arrive late and with gaps.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use persimmoncroft::protocol::engine::{BLOCK_BYTES, Event, Events, block_hashes};

const EVENTS_KEPT: usize = 8192;
const LOST_ONE_IN: u64 = 50;
const BYTES_PER_TOKEN: u64 = 4;

#[derive(Debug, Default)]
struct State {
    stored: HashSet<u64>,
    order: VecDeque<u64>,
    events: VecDeque<(Instant, Event)>,
    sequence: u64,
}

/// Cache of prompt blocks with first-in, first-out eviction.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    lag: Duration,
    state: Mutex<State>,
}

impl Cache {
    /// Creates an empty cache of `capacity` blocks; events become visible after `lag`.
    pub fn open(capacity: usize, lag: Duration) -> Self {
        Self {
            capacity,
            lag,
            state: Mutex::default(),
        }
    }

    /// Stores the blocks of a prompt and returns the number of its tokens that were already cached.
    pub fn visit(&self, model: &str, prompt: &str) -> u64 {
        let blocks = block_hashes(model, prompt);
        let mut state = self.state.lock();
        let cached = blocks
            .iter()
            .take_while(|block| state.stored.contains(block))
            .count();
        for block in &blocks[cached..] {
            state.store(*block);
        }
        while state.order.len() > self.capacity {
            state.evict();
        }
        (cached * BLOCK_BYTES) as u64 / BYTES_PER_TOKEN
    }

    /// Clears the cache without emitting events, as a restart does.
    pub fn clear(&self) {
        *self.state.lock() = State::default();
    }

    /// Returns the sequence number of the newest event.
    pub fn sequence(&self) -> u64 {
        self.state.lock().sequence
    }

    /// Returns the visible events after a sequence number; every 50th event is lost.
    pub fn events(&self, after: u64) -> Events {
        let state = self.state.lock();
        let shown = state.events.iter().filter(|(at, event)| {
            event.sequence > after && at.elapsed() >= self.lag && event.sequence % LOST_ONE_IN != 0
        });
        Events {
            events: shown.map(|(_, event)| event.clone()).collect(),
        }
    }
}

impl State {
    fn store(&mut self, block: u64) {
        if self.stored.insert(block) {
            self.order.push_back(block);
            self.record(block, true);
        }
    }

    fn evict(&mut self) {
        if let Some(block) = self.order.pop_front() {
            self.stored.remove(&block);
            self.record(block, false);
        }
    }

    fn record(&mut self, block: u64, stored: bool) {
        self.sequence += 1;
        let event = Event {
            sequence: self.sequence,
            block,
            stored,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}
