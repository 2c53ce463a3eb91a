//! What hosts tell each other of the statements of endpoints.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::signal::RateMilli;
use crate::ids::IncarnationHash;

/// Maximum number of reports in one message, which bounds the traffic when all endpoints of a large
/// fleet state something at once.
pub(super) const MAX_REPORTS: usize = 32;
/// Number of times that a change is reported at once, since datagrams may be lost.
const CHANGE_REPEATS: u8 = 3;
/// Time between two reports of a change.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two reports of what has not changed, for hosts that have started meanwhile.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// A statement that holds for all hosts. Pauses concern single hosts and are not reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportedSignal {
    RateLimit(RateMilli),
    NoRateLimit,
    Leaving,
}

/// What a host has heard of one endpoint. Times are ages, because hosts share no clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignalReport {
    pub endpoint: IncarnationHash,
    pub signal: ReportedSignal,
    /// Milliseconds since the request was sent whose answer said so.
    pub asked_ago_ms: u32,
    /// Milliseconds since an answer last said so.
    pub heard_ago_ms: u32,
}

/// When the statements of one endpoint are reported next.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportSchedule {
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

    pub fn advance(&mut self, now: Instant) {
        self.repeats_left = self.repeats_left.saturating_sub(1);
        let interval = if self.repeats_left > 0 {
            CHANGE_INTERVAL
        } else {
            REPEAT_INTERVAL
        };
        self.next = Some(now + interval);
    }
}

/// Returns the age of `time` in milliseconds.
pub(super) fn age_ms(time: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(time).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX)
}

/// Returns the time that was this many milliseconds ago.
pub(super) fn time_ago(age_ms: u32, now: Instant) -> Instant {
    let age = Duration::from_millis(age_ms.into());
    now.checked_sub(age).unwrap_or(now)
}
