//! Sum over a sliding time window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time span whose usage is kept as one sum.
const STEP: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
struct UsageStep {
    start: Instant,
    units: f64,
}

/// Recent usage. Usage counts from the time at which this host learns of it, so it stays in the
/// window slightly longer than necessary.
#[derive(Debug, Default)]
pub(super) struct UsageWindow {
    steps: VecDeque<UsageStep>,
    sum: f64,
}

impl UsageWindow {
    pub fn add(&mut self, units: f64, now: Instant) {
        self.sum += units;
        match self.steps.back_mut() {
            Some(step) if now.saturating_duration_since(step.start) < STEP => step.units += units,
            _ => self.steps.push_back(UsageStep { start: now, units }),
        }
    }

    /// Drops usage that is older than the window and returns the sum of the rest.
    pub fn sum(&mut self, window: Duration, now: Instant) -> f64 {
        while let Some(oldest) = self.steps.front()
            && now.saturating_duration_since(oldest.start) > window + STEP
        {
            self.sum -= oldest.units;
            self.steps.pop_front();
        }
        if self.steps.is_empty() {
            self.sum = 0.0;
        }
        self.sum
    }
}
