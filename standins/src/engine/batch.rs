//! Continuous batching: each step generates one token per running sequence; its duration grows with the batch size.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc};

use crate::answer;
use crate::recorder::Recorder;

const STALL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Step and prefill times of an engine.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    /// Base duration of a step.
    pub step: Duration,
    /// Duration added to a step by each running sequence.
    pub step_per_sequence: Duration,
    /// Prefill time per prompt token that is not in the prefix cache.
    pub prefill_per_token: Duration,
}

/// A request admitted to the engine.
#[derive(Debug)]
pub struct Sequence {
    /// Scheduling priority; lower values run first.
    pub priority: u8,
    /// Base model; unloading it cancels the sequence.
    pub base_model: Arc<str>,
    /// Requested model or adapter.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Trial tag of the request; empty if it has none.
    pub tag: Arc<str>,
    /// Index of the next token to generate.
    pub next_token: u64,
    /// Number of tokens in the answer.
    pub token_count: u64,
    /// Time at which prefill is done and tokens may be generated.
    pub prefilled_at: Instant,
    /// Token index at which the stream is broken off, if a fault was drawn.
    pub break_at: Option<u64>,
    /// Receives the tokens; dropped when the answer ends or is broken off.
    pub sender: mpsc::UnboundedSender<String>,
}

/// Running and waiting sequences of one engine; the first `slots` of them run.
#[derive(Debug)]
pub struct Batch {
    speed: Speed,
    slots: usize,
    sequences: Mutex<Vec<Sequence>>,
    arrived: Notify,
}

impl Batch {
    /// Creates an empty batch with a number of concurrent sequences.
    pub fn new(speed: Speed, slots: usize) -> Self {
        Self {
            speed,
            slots,
            sequences: Mutex::default(),
            arrived: Notify::new(),
        }
    }

    /// Returns the number of running and waiting sequences, after removing those whose client is gone.
    pub fn len(&self) -> usize {
        let mut sequences = self.sequences.lock();
        sequences.retain(|sequence| !sequence.sender.is_closed());
        sequences.len()
    }

    /// Returns true if no sequence runs or waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Queues a sequence behind those of the same or a higher priority.
    pub fn push(&self, sequence: Sequence) {
        let mut sequences = self.sequences.lock();
        let position = sequences.partition_point(|other| other.priority <= sequence.priority);
        sequences.insert(position, sequence);
        self.arrived.notify_one();
    }

    /// Cancels the sequences of a base model, or all sequences; their streams break off.
    pub fn cancel(&self, base_model: Option<&str>) {
        let matches = |sequence: &Sequence| {
            base_model.is_none_or(|base_model| &*sequence.base_model == base_model)
        };
        self.sequences.lock().retain(|sequence| !matches(sequence));
    }

    /// Runs steps forever; a step is held back while `stalled` returns true, and `on_step` gets the duration of each.
    pub async fn run(
        &self,
        recorder: &Recorder,
        stalled: impl Fn() -> bool,
        on_step: impl Fn(Duration),
    ) {
        loop {
            let running = self.len().min(self.slots);
            if running == 0 {
                self.arrived.notified().await;
                continue;
            }
            let step = self.speed.step + self.speed.step_per_sequence * running as u32;
            tokio::time::sleep(step).await;
            while stalled() {
                tokio::time::sleep(STALL_POLL_INTERVAL).await;
            }
            on_step(step);
            self.step(recorder);
        }
    }

    /// Returns the prefill time of a number of uncached prompt tokens.
    pub fn prefill(&self, tokens: u64) -> Duration {
        self.speed.prefill_per_token * tokens as u32
    }

    fn step(&self, recorder: &Recorder) {
        let now = Instant::now();
        let mut sequences = self.sequences.lock();
        let running = sequences.iter_mut().take(self.slots);
        for sequence in running.filter(|sequence| sequence.prefilled_at <= now) {
            if sequence.break_at == Some(sequence.next_token) {
                sequence.token_count = 0;
                continue;
            }
            let token = answer::token(&sequence.model, &sequence.prompt, sequence.next_token);
            sequence.next_token += 1;
            if sequence.sender.send(token).is_ok() {
                recorder.record_tokens(&sequence.tag, 1);
            }
        }
        sequences.retain(|sequence| sequence.next_token < sequence.token_count);
    }
}
