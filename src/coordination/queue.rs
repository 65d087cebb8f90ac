//! A bounded weighted fair queue by workspace, in tokens, with priority classes and ageing.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::state::record::Name;

/// Waiting time that raises an entry by one priority class.
pub const AGING_INTERVAL: Duration = Duration::from_secs(15);

/// Virtual time per token at weight 1.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1024;

/// Priority class; the first is served first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// A user is waiting for the response.
    Interactive,
    /// The default.
    #[default]
    Normal,
    /// May wait for hours.
    Deferrable,
}

impl Class {
    /// Returns the number used in messages and in the priority header; lower numbers are served first.
    pub fn number(self) -> u8 {
        self as u8
    }

    /// Returns the class for a number; unknown numbers are [`Class::Deferrable`].
    pub fn from_number(number: u8) -> Self {
        match number {
            0 => Self::Interactive,
            1 => Self::Normal,
            _ => Self::Deferrable,
        }
    }
}

/// A queued request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Entry<T> {
    /// Identifies the entry.
    pub item: T,
    /// Workspace; empty on open routes.
    pub workspace: Name,
    /// Weight of the workspace, at least 1.
    pub weight: u32,
    /// Priority class.
    pub class: Class,
    /// Cost, in tokens.
    pub tokens: u64,
    /// Latest start time that is still useful.
    pub deadline: Duration,
    /// Arrival time.
    pub arrived: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Queued<T> {
    entry: Entry<T>,
    virtual_start: u64,
    sequence: u64,
}

impl<T> Queued<T> {
    fn rank(&self, now: Duration) -> (u8, u64, u64) {
        let waited = now.saturating_sub(self.entry.arrived);
        let promotions = waited.as_millis() / AGING_INTERVAL.as_millis();
        let class = self.entry.class.number().saturating_sub(promotions as u8);
        (class, self.virtual_start, self.sequence)
    }
}

/// Queued entries by class and workspace, served in order of virtual start time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Queue<T> {
    capacity: usize,
    flows: BTreeMap<(Class, Name), VecDeque<Queued<T>>>,
    finish_times: BTreeMap<Name, u64>,
    virtual_time: u64,
    sequence: u64,
    length: usize,
}

impl<T: Clone + PartialEq> Queue<T> {
    /// Creates an empty queue that holds up to `capacity` entries.
    ///
    /// ```
    /// use persimmoncroft::coordination::queue::Queue;
    /// assert!(Queue::<u32>::open(8).is_empty());
    /// ```
    pub fn open(capacity: usize) -> Self {
        Self {
            capacity,
            flows: BTreeMap::new(),
            finish_times: BTreeMap::new(),
            virtual_time: 0,
            sequence: 0,
            length: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.length
    }

    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds an entry. If the queue was full, removes and returns the entry that would be served last.
    pub fn push(&mut self, entry: Entry<T>, now: Duration) -> Option<Entry<T>> {
        let start = self.start_of(&entry.workspace);
        self.finish_times
            .insert(entry.workspace.clone(), start + cost(&entry));
        let flow = (entry.class, entry.workspace.clone());
        let sequence = self.sequence;
        self.sequence += 1;
        self.length += 1;
        self.flows.entry(flow).or_default().push_back(Queued {
            entry,
            virtual_start: start,
            sequence,
        });
        if self.length > self.capacity {
            return self.pop_last(now);
        }
        None
    }

    /// Removes and returns the entry to serve next.
    pub fn pop(&mut self, now: Duration) -> Option<Entry<T>> {
        let heads = self.flows.iter();
        let (flow, _) = heads
            .filter_map(|(flow, waiting)| Some((flow.clone(), waiting.front()?.rank(now))))
            .min_by_key(|(_, rank)| *rank)?;
        let waiting = self.flows.get_mut(&flow)?.pop_front()?;
        self.length -= 1;
        self.virtual_time = self.virtual_time.max(waiting.virtual_start);
        self.prune(&flow);
        Some(waiting.entry)
    }

    /// Returns the entry to serve next.
    pub fn first(&self, now: Duration) -> Option<&Entry<T>> {
        let heads = self.flows.values().filter_map(VecDeque::front);
        let first = heads.min_by_key(|waiting| waiting.rank(now))?;
        Some(&first.entry)
    }

    /// Removes the entry of an item.
    pub fn remove(&mut self, item: &T) -> Option<Entry<T>> {
        let (flow, index) = self.flows.iter().find_map(|(flow, waiting)| {
            let index = waiting.iter().position(|w| w.entry.item == *item)?;
            Some((flow.clone(), index))
        })?;
        self.remove_at(&flow, index)
    }

    /// Returns whether an item is queued.
    pub fn contains(&self, item: &T) -> bool {
        let mut all = self.flows.values().flatten();
        all.any(|waiting| waiting.entry.item == *item)
    }

    /// Returns the number of entries that would be served before a new one.
    pub fn ahead(&self, workspace: &Name, class: Class, now: Duration) -> usize {
        let rank = (class.number(), self.start_of(workspace), self.sequence);
        let all = self.flows.values().flatten();
        all.filter(|waiting| waiting.rank(now) < rank).count()
    }

    /// Returns the number of entries that are served before an item's, and the class of its entry.
    pub fn position(&self, item: &T, now: Duration) -> Option<(usize, Class)> {
        let mut all = self.flows.values().flatten();
        let own = all.find(|waiting| waiting.entry.item == *item)?;
        let rank = own.rank(now);
        let all = self.flows.values().flatten();
        let ahead = all.filter(|waiting| waiting.rank(now) < rank).count();
        Some((ahead, own.entry.class))
    }

    /// Returns all entries in the order of service.
    pub fn order(&self, now: Duration) -> Vec<Entry<T>> {
        let mut all: Vec<&Queued<T>> = self.flows.values().flatten().collect();
        all.sort_by_key(|waiting| waiting.rank(now));
        all.into_iter()
            .map(|waiting| waiting.entry.clone())
            .collect()
    }

    fn start_of(&self, workspace: &Name) -> u64 {
        let finish = self
            .finish_times
            .get(workspace)
            .copied()
            .unwrap_or_default();
        finish.max(self.virtual_time)
    }

    fn pop_last(&mut self, now: Duration) -> Option<Entry<T>> {
        let tails = self.flows.iter();
        let (flow, index, _) = tails
            .filter_map(|(flow, waiting)| {
                let last = waiting.len().checked_sub(1)?;
                Some((flow.clone(), last, waiting[last].rank(now)))
            })
            .max_by_key(|(_, _, rank)| *rank)?;
        self.remove_at(&flow, index)
    }

    fn remove_at(&mut self, flow: &(Class, Name), index: usize) -> Option<Entry<T>> {
        let waiting = self.flows.get_mut(flow)?.remove(index)?;
        self.length -= 1;
        // Refund only the newest entry of the workspace, so that its later entries keep their order.
        let end = waiting.virtual_start + cost(&waiting.entry);
        if let Some(finish) = self.finish_times.get_mut(&waiting.entry.workspace)
            && *finish == end
        {
            *finish = waiting.virtual_start;
        }
        self.prune(flow);
        Some(waiting.entry)
    }

    fn prune(&mut self, flow: &(Class, Name)) {
        if self.flows.get(flow).is_some_and(VecDeque::is_empty) {
            self.flows.remove(flow);
        }
        let virtual_time = self.virtual_time;
        self.finish_times.retain(|_, finish| *finish > virtual_time);
    }
}

fn cost<T>(entry: &Entry<T>) -> u64 {
    entry.tokens.max(1) * VIRTUAL_TIME_PER_TOKEN / u64::from(entry.weight.max(1))
}
