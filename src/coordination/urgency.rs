//! Urgency of requests for permits at the engines of a contended service.

use std::time::Duration;

use super::queue::Class;

/// Ratio of a route's objective to the shortest one of its service from which its requests are less than the most urgent.
const NORMAL_RATIO: f64 = 2.5;

/// The same from which its requests are batch work.
const BATCH_RATIO: f64 = 10.0;

/// Share of an engine's room that requests of normal urgency may fill.
const NORMAL_SHARE: f64 = 0.92;

/// Share of an engine's room that batch work may fill.
const BATCH_SHARE: f64 = 0.75;

/// Requests beyond the room, as a share of it, that urgent work may add: the engine starts them as others end.
const URGENT_EXTRA_SHARE: f64 = 0.08;

/// The same of streams that are taken up again or go on elsewhere.
const RESUME_EXTRA_SHARE: f64 = 0.17;

/// Share of its objective after which a request that waits counts as urgent.
const PROMOTION_SHARE: f64 = 0.6;

/// Share of the objective for which batch work waits at least, if its execution time is long.
const MIN_BATCH_WAIT_SHARE: f64 = 0.5;

/// Tokens of a request that count as much as one request more.
const TOKENS_PER_UNIT: u64 = 2048;

/// Largest size of a request, in units.
const MAX_SIZE: u64 = 4;

/// Least urgent priority.
const LOWEST_PRIORITY: u8 = 9;

/// What the urgency of a request depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Input {
    /// Objective of its route.
    pub objective: Duration,
    /// Shortest objective of the routes to its service.
    pub shortest: Duration,
    /// Priority of its workspace and its route, 0 (most urgent) to 9.
    pub priority: u8,
    /// Time since it arrived.
    pub waited: Duration,
    /// Time for which requests of the service hold a permit, or zero if it is not known.
    pub execution: Duration,
    /// Prompt tokens and maximum number of generated tokens.
    pub tokens: u64,
}

/// Urgency of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// Class; more urgent classes are served first.
    pub class: Class,
    /// Weight within the class, from 1 to 10.
    pub weight: u32,
    /// Size, from 1 to 4 units.
    pub size: u64,
    /// Longest further wait that is useful.
    pub wait: Duration,
    /// Time until the request counts as urgent, however low its class.
    pub promotion: Duration,
}

/// Urgency of a request.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::coordination::queue::Class;
/// use persimmoncroft::coordination::urgency::{Input, urgency};
/// let stream = Input {
///     objective: Duration::from_millis(250), shortest: Duration::from_millis(250), priority: 0, waited: Duration::ZERO,
///     execution: Duration::from_secs(1), tokens: 100,
/// };
/// assert_eq!(urgency(&stream).class, Class::Interactive);
/// assert_eq!(urgency(&stream).wait, Duration::from_millis(125));
/// let batch = Input { objective: Duration::from_secs(8), ..stream };
/// assert_eq!(urgency(&batch).class, Class::Deferrable);
/// assert_eq!(urgency(&batch).wait, Duration::from_secs(7));
/// ```
pub fn urgency(input: &Input) -> Urgency {
    let ratio = input.objective.as_secs_f64() / input.shortest.as_secs_f64().max(0.001);
    let class = match ratio {
        ratio if ratio < NORMAL_RATIO => Class::Interactive,
        ratio if ratio < BATCH_RATIO => Class::Normal,
        _ => Class::Deferrable,
    };
    let longest = match class {
        Class::Deferrable => {
            let least = input.objective.mul_f64(MIN_BATCH_WAIT_SHARE);
            input.objective.saturating_sub(input.execution).max(least)
        }
        _ => input.objective / 2,
    };
    Urgency {
        class,
        weight: u32::from(LOWEST_PRIORITY - input.priority.min(LOWEST_PRIORITY)) + 1,
        size: (1 + input.tokens / TOKENS_PER_UNIT).min(MAX_SIZE),
        wait: longest.saturating_sub(input.waited),
        promotion: input
            .objective
            .mul_f64(PROMOTION_SHARE)
            .saturating_sub(input.waited),
    }
}

/// Requests at an engine of some room up to which another one of a class gets a permit.
///
/// ```
/// use persimmoncroft::coordination::queue::Class;
/// use persimmoncroft::coordination::urgency::limit;
/// assert_eq!(limit(Class::Deferrable, 12), 9);
/// assert_eq!(limit(Class::Normal, 12), 11);
/// assert_eq!(limit(Class::Interactive, 12), 13);
/// assert_eq!(limit(Class::Deferrable, 1), 1);
/// ```
pub fn limit(class: Class, room: u32) -> u32 {
    let share = |share: f64| ((f64::from(room) * share) as u32).max(1);
    match class {
        Class::Interactive => room + extra(room, URGENT_EXTRA_SHARE),
        Class::Normal => share(NORMAL_SHARE),
        Class::Deferrable => share(BATCH_SHARE),
    }
}

/// As [`limit`], for streams that are taken up again or go on elsewhere.
///
/// ```
/// use persimmoncroft::coordination::urgency::resume_limit;
/// assert_eq!(resume_limit(12), 14);
/// ```
pub fn resume_limit(room: u32) -> u32 {
    room + extra(room, RESUME_EXTRA_SHARE).max(1)
}

fn extra(room: u32, share: f64) -> u32 {
    (f64::from(room) * share).round() as u32
}
