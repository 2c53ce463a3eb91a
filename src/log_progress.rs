//! How far this host has read the log's topics.

use std::time::{Duration, Instant};

use crate::ids::LogOffset;

/// Age that is reported while the end of the topic has never been read.
const NEVER_READ: Duration = Duration::from_hours(24 * 365);

/// Progress in the config topic.
#[derive(Debug, Default)]
pub(crate) struct LogProgress {
    end_read_at: Option<Instant>,
    /// Older records are gone, so only a snapshot can start the fold.
    pub needs_snapshot: bool,
    /// When the newest snapshot record was appended, by the log's clock.
    pub snapshot_at: Duration,
    /// Since when the next snapshot is due.
    pub snapshot_due: Option<Instant>,
    pub end: LogOffset,
}

impl LogProgress {
    pub(crate) fn record_end_read(&mut self, now: Instant) {
        self.end_read_at = Some(now);
    }

    pub(crate) fn has_read_end(&self) -> bool {
        self.end_read_at.is_some()
    }

    pub(crate) fn age(&self, now: Instant) -> Duration {
        self.end_read_at
            .map_or(NEVER_READ, |at| now.saturating_duration_since(at))
    }

    pub(crate) fn known_age(&self, now: Instant) -> Option<Duration> {
        self.end_read_at.map(|at| now.saturating_duration_since(at))
    }
}
