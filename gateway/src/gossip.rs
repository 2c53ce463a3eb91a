//! Timing of what hosts tell each other without acknowledgements.

use std::time::{Duration, Instant};

/// Number of times that a change is reported at once, since datagrams may be lost.
const CHANGE_REPEATS: u8 = 3;
/// Time between two reports of a change.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two reports of what has not changed, for hosts that have started meanwhile.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// When one statement is reported next.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportSchedule {
    next: Option<Instant>,
    repeats_left: u8,
}

impl ReportSchedule {
    /// Schedules reports of a change.
    pub fn restart(&mut self, now: Instant) {
        self.next = Some(now);
        self.repeats_left = CHANGE_REPEATS;
    }

    /// Returns since when a report is due, or `None` if none is.
    pub fn due_since(&self, now: Instant) -> Option<Instant> {
        self.next.filter(|next| now >= *next)
    }

    /// Schedules the next report: soon after a change, and at long intervals later if `repeats` is
    /// set.
    pub fn advance(&mut self, repeats: bool, now: Instant) {
        self.repeats_left = self.repeats_left.saturating_sub(1);
        self.next = if self.repeats_left > 0 {
            Some(now + CHANGE_INTERVAL)
        } else {
            repeats.then(|| now + REPEAT_INTERVAL)
        };
    }

    /// Returns whether another report follows.
    pub fn is_scheduled(&self) -> bool {
        self.next.is_some()
    }
}

/// Returns the age of `time` in milliseconds.
pub(crate) fn age_ms(time: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(time).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX)
}

/// Returns the time that was this many milliseconds ago.
pub(crate) fn time_ago(age_ms: u32, now: Instant) -> Instant {
    let age = Duration::from_millis(age_ms.into());
    now.checked_sub(age).unwrap_or(now)
}
