//! Tests of the fair queue: agreement with a reference implementation, fairness and ageing.

use std::collections::BTreeMap;
use std::time::Duration;

use persimmoncroft::coordination::queue::{AGING_INTERVAL, Class, Entry, Queue};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

/// Reference implementation: an unordered list with linear search.
struct ReferenceQueue {
    waiting: Vec<(Entry<u32>, u64, u64)>,
    finish: BTreeMap<String, u64>,
    virtual_time: u64,
    sequence: u64,
}

impl ReferenceQueue {
    fn push(&mut self, entry: Entry<u32>) {
        let finish = self.finish.get(&*entry.workspace).copied().unwrap_or(0);
        let start = finish.max(self.virtual_time);
        let cost = entry.tokens.max(1) * 1024 / u64::from(entry.weight.max(1));
        self.finish
            .insert(entry.workspace.to_string(), start + cost);
        self.waiting.push((entry, start, self.sequence));
        self.sequence += 1;
    }

    fn pop(&mut self, now: Duration) -> Option<Entry<u32>> {
        let rank = |(entry, start, sequence): &(Entry<u32>, u64, u64)| {
            let promotions = ((now - entry.arrived).as_millis() / AGING_INTERVAL.as_millis()) as u8;
            (
                entry.class.number().saturating_sub(promotions),
                *start,
                *sequence,
            )
        };
        let first = self.waiting.iter().map(rank).min()?;
        let index = self
            .waiting
            .iter()
            .position(|waiting| rank(waiting) == first)?;
        let (entry, start, _) = self.waiting.remove(index);
        self.virtual_time = self.virtual_time.max(start);
        Some(entry)
    }

    fn remove(&mut self, item: u32) -> bool {
        let Some(index) = self
            .waiting
            .iter()
            .position(|(entry, ..)| entry.item == item)
        else {
            return false;
        };
        let (entry, start, _) = self.waiting.remove(index);
        let cost = entry.tokens.max(1) * 1024 / u64::from(entry.weight.max(1));
        let finish = self.finish.get_mut(&*entry.workspace).unwrap();
        if *finish == start + cost {
            *finish = start;
        }
        true
    }
}

#[derive(Debug, Clone)]
enum Step {
    Push {
        workspace: u8,
        class: u8,
        tokens: u16,
        weight: u8,
    },
    Pop,
    Remove(u8),
    Wait(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..=3 => Self::Push {
                workspace: u8::arbitrary(g) % 4,
                class: u8::arbitrary(g) % 3,
                tokens: u16::arbitrary(g),
                weight: u8::arbitrary(g) % 4,
            },
            4 | 5 => Self::Pop,
            6 => Self::Remove(u8::arbitrary(g)),
            _ => Self::Wait(u16::arbitrary(g)),
        }
    }
}

fn entry(item: u32, workspace: &str, class: Class, tokens: u64, now: Duration) -> Entry<u32> {
    Entry {
        item,
        workspace: workspace.into(),
        weight: 1,
        class,
        tokens,
        deadline: Duration::MAX,
        arrived: now,
    }
}

fn matches_reference(steps: Vec<Step>) -> TestResult {
    let mut queue = Queue::open(usize::MAX);
    let mut reference = ReferenceQueue {
        waiting: Vec::new(),
        finish: BTreeMap::new(),
        virtual_time: 0,
        sequence: 0,
    };
    let (mut now, mut items) = (Duration::ZERO, 0);
    for step in steps {
        match step {
            Step::Push {
                workspace,
                class,
                tokens,
                weight,
            } => {
                let class = Class::from_number(class);
                let mut entry = entry(items, &workspace.to_string(), class, tokens.into(), now);
                entry.weight = weight.into();
                items += 1;
                reference.push(entry.clone());
                queue.push(entry, now);
            }
            Step::Pop => {
                if queue.pop(now) != reference.pop(now) {
                    return TestResult::failed();
                }
            }
            Step::Remove(item) => {
                let item = u32::from(item) % items.max(1);
                if queue.remove(&item).is_some() != reference.remove(item) {
                    return TestResult::failed();
                }
            }
            Step::Wait(millis) => now += Duration::from_millis(millis.into()),
        }
    }
    TestResult::from_bool(queue.len() == reference.waiting.len())
}

#[test]
fn queue_matches_reference() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 11))
        .tests(500)
        .quickcheck(matches_reference as fn(Vec<Step>) -> TestResult);
}

#[test]
fn greedy_workspace_does_not_delay_another() {
    let now = Duration::ZERO;
    let mut queue = Queue::open(1000);
    for item in 0..100 {
        queue.push(entry(item, "greedy", Class::Normal, 100, now), now);
    }
    queue.push(entry(100, "modest", Class::Normal, 100, now), now);
    let order: Vec<u32> = std::iter::from_fn(|| queue.pop(now))
        .map(|e| e.item)
        .collect();
    let position = order.iter().position(|item| *item == 100).unwrap();
    assert!(position <= 1, "served at position {position}");
}

#[test]
fn deferrable_entry_is_served_under_steady_interactive_load() {
    let mut queue = Queue::open(1000);
    queue.push(
        entry(0, "night", Class::Deferrable, 10, Duration::ZERO),
        Duration::ZERO,
    );
    let mut now = Duration::ZERO;
    for item in 1..1000 {
        now += Duration::from_millis(100);
        queue.push(entry(item, "day", Class::Interactive, 10, now), now);
        queue.push(entry(item + 1000, "day", Class::Interactive, 10, now), now);
        if queue.pop(now).unwrap().item == 0 {
            assert!(now <= AGING_INTERVAL * 2 + Duration::from_millis(100));
            return;
        }
    }
    panic!("the deferrable entry starved");
}

#[test]
fn full_queue_sheds_last_entry() {
    let now = Duration::ZERO;
    let mut queue = Queue::open(2);
    assert!(
        queue
            .push(entry(0, "a", Class::Normal, 10, now), now)
            .is_none()
    );
    assert!(
        queue
            .push(entry(1, "a", Class::Normal, 10, now), now)
            .is_none()
    );
    let shed = queue.push(entry(2, "b", Class::Normal, 10, now), now);
    assert_eq!(shed.map(|entry| entry.item), Some(1));
}
