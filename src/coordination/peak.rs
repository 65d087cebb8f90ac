//! Peak shaving: keeps deferrable work below the month's peak billing window.
//!
//! Tokens are counted in steps of a twelfth of the window. The headroom for deferrable work is the peak window so far,
//! less the interactive work, measured or forecast, and less the tokens already granted in the same window.

use std::collections::VecDeque;
use std::time::Duration;

use super::forecast::Forecast;

/// Steps per billing window.
pub const STEPS_PER_WINDOW: u32 = 12;

/// Share of a job's total time, as a divisor, that must be left for it to wait for headroom.
const DEADLINE_SLACK_DIVISOR: u64 = 2;

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Step {
    interactive: u64,
    granted: u64,
}

/// Token usage in the last window and the peak window so far.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Meter {
    window: Duration,
    peak: u64,
    steps: VecDeque<Step>,
    step_start: Duration,
    forecast: Forecast,
}

/// A job that has not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Candidate {
    /// Maximum number of tokens it uses.
    pub tokens: u64,
    /// Time since it was accepted.
    pub age: Duration,
    /// Time until its deadline; zero when that has passed.
    pub left: Duration,
}

impl Candidate {
    /// Whether the deadline is too close to wait for headroom.
    pub fn is_urgent(&self) -> bool {
        let total = self.age + self.left;
        self.left.as_millis() * u128::from(DEADLINE_SLACK_DIVISOR) <= total.as_millis()
    }

    /// Sort key of the execution order: short jobs first, with aging so that no job starves.
    pub fn rank(&self) -> u64 {
        let age = self.age.as_secs() + 1;
        self.tokens / age
    }
}

impl Meter {
    /// Creates a meter with the length of the billing window and the known peak in tokens.
    ///
    /// ```
    /// use persimmoncroft::coordination::peak::Meter;
    /// use std::time::Duration;
    /// let mut meter = Meter::open(Duration::from_secs(60), 1000, Duration::ZERO);
    /// meter.use_tokens(300, Duration::from_secs(1));
    /// assert_eq!(meter.headroom(), 700);
    /// ```
    pub fn open(window: Duration, peak: u64, now: Duration) -> Self {
        Self {
            window,
            peak,
            steps: VecDeque::from([Step::default()]),
            step_start: now,
            forecast: Forecast::default(),
        }
    }

    /// Counts tokens of interactive work.
    pub fn use_tokens(&mut self, tokens: u64, now: Duration) {
        self.advance(now);
        if let Some(step) = self.steps.back_mut() {
            step.interactive += tokens;
        }
        self.peak = self.peak.max(self.used());
    }

    /// Counts tokens granted to deferrable work.
    pub fn grant(&mut self, tokens: u64, now: Duration) {
        self.advance(now);
        if let Some(step) = self.steps.back_mut() {
            step.granted += tokens;
        }
        self.peak = self.peak.max(self.used());
    }

    /// Raises the peak to one that another daemon recorded.
    pub fn learn(&mut self, peak: u64) {
        self.peak = self.peak.max(peak);
    }

    /// Peak window so far, in tokens.
    pub fn peak(&self) -> u64 {
        self.peak
    }

    /// Tokens that deferrable work may use now without raising the peak.
    pub fn headroom(&self) -> u64 {
        let interactive: u64 = self.steps.iter().map(|step| step.interactive).sum();
        let granted: u64 = self.steps.iter().map(|step| step.granted).sum();
        let expected = self.forecast.expected() * u64::from(STEPS_PER_WINDOW);
        self.peak
            .saturating_sub(interactive.max(expected))
            .saturating_sub(granted)
    }

    /// Tokens that may be granted now: the headroom, or more if the deadlines of the urgent jobs require it.
    pub fn allowance(&self, urgent: &[Candidate]) -> u64 {
        let granted: u64 = self.steps.iter().map(|step| step.granted).sum();
        let required = required_rate(urgent, self.window).saturating_sub(granted);
        self.headroom().max(required)
    }

    fn used(&self) -> u64 {
        self.steps.iter().map(|s| s.interactive + s.granted).sum()
    }

    fn advance(&mut self, now: Duration) {
        let step_length = self.window / STEPS_PER_WINDOW;
        if now > self.step_start + self.window * 2 {
            self.steps.clear();
            self.step_start = now;
            self.steps.push_back(Step::default());
        }
        while now >= self.step_start + step_length {
            let interactive = self.steps.back().map_or(0, |step| step.interactive);
            self.forecast.sample(interactive);
            self.step_start += step_length;
            self.steps.push_back(Step::default());
            if self.steps.len() > STEPS_PER_WINDOW as usize {
                self.steps.pop_front();
            }
        }
    }
}

/// Tokens per window that meet the deadlines of all jobs at an even rate.
fn required_rate(jobs: &[Candidate], window: Duration) -> u64 {
    let mut jobs: Vec<Candidate> = jobs.to_vec();
    jobs.sort_by_key(|job| job.left);
    let mut due = 0;
    let mut rate = 0;
    for job in jobs {
        due += job.tokens;
        let left = job.left.as_millis().max(1);
        let needed = u128::from(due) * window.as_millis().min(left) / left;
        rate = rate.max(u64::try_from(needed).unwrap_or(u64::MAX).min(due));
    }
    rate
}
