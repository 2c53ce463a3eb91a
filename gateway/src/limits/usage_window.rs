//! A sum over a sliding window of time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Span whose usage is kept as one sum.
const SLOT: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
struct UsageSlot {
    begin: Instant,
    units: f64,
}

/// What was used lately. It counts from when this host heard of it, so it stays a little longer than it
/// must.
#[derive(Debug, Default)]
pub(super) struct UsageWindow {
    slots: VecDeque<UsageSlot>,
    sum: f64,
}

impl UsageWindow {
    /// Adds units.
    pub fn add(&mut self, units: f64, now: Instant) {
        self.sum += units;
        match self.slots.back_mut() {
            Some(slot) if now.saturating_duration_since(slot.begin) < SLOT => slot.units += units,
            _ => self.slots.push_back(UsageSlot { begin: now, units }),
        }
    }

    /// Forgets what is older than the window and returns the sum of the rest.
    pub fn sum(&mut self, window: Duration, now: Instant) -> f64 {
        while let Some(oldest) = self.slots.front()
            && now.saturating_duration_since(oldest.begin) > window + SLOT
        {
            self.sum -= oldest.units;
            self.slots.pop_front();
        }
        if self.slots.is_empty() {
            self.sum = 0.0;
        }
        self.sum
    }
}
