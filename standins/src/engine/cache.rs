//! Prefix cache of limited size whose events arrive late and with gaps.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use persimmoncroft::protocol::engine::{BLOCK_BYTES, Event, Events, block_hashes};

const MAX_EVENTS: usize = 8192;
const LOST_EVENT_INTERVAL: u64 = 50;
const BYTES_PER_TOKEN: u64 = 4;

#[derive(Debug, Default)]
struct State {
    stored: HashSet<u64>,
    insertion_order: VecDeque<u64>,
    events: VecDeque<(Instant, Event)>,
    sequence: u64,
}

/// Cache of prompt blocks with first-in, first-out eviction.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    event_delay: Duration,
    state: Mutex<State>,
}

impl Cache {
    /// Creates an empty cache of `capacity` blocks; events become visible after `event_delay`.
    pub fn new(capacity: usize, event_delay: Duration) -> Self {
        Self {
            capacity,
            event_delay,
            state: Mutex::default(),
        }
    }

    /// Stores the blocks of a prompt and returns the number of its tokens that were already cached.
    pub fn insert_prompt(&self, model: &str, prompt: &str) -> u64 {
        let blocks = block_hashes(model, prompt);
        let mut state = self.state.lock();
        let cached = blocks
            .iter()
            .take_while(|block| state.stored.contains(block))
            .count();
        for block in &blocks[cached..] {
            state.store(*block);
        }
        while state.insertion_order.len() > self.capacity {
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
        let visible = state.events.iter().filter(|(at, event)| {
            event.sequence > after
                && at.elapsed() >= self.event_delay
                && event.sequence % LOST_EVENT_INTERVAL != 0
        });
        Events {
            events: visible.map(|(_, event)| event.clone()).collect(),
        }
    }
}

impl State {
    fn store(&mut self, block: u64) {
        if self.stored.insert(block) {
            self.insertion_order.push_back(block);
            self.record(block, true);
        }
    }

    fn evict(&mut self) {
        if let Some(block) = self.insertion_order.pop_front() {
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
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
