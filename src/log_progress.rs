//! Progress of this host in reading the log's topics.

use std::time::{Duration, Instant};

use crate::ids::LogOffset;

/// Age that is reported until the end of the topic has been read for the first time.
const NEVER_READ: Duration = Duration::from_hours(24 * 365);

/// Progress in reading the config topic.
#[derive(Debug, Default)]
pub(crate) struct LogProgress {
    end_read_at: Option<Instant>,
    /// Whether older records have expired from the log, so that a snapshot is needed first.
    pub needs_snapshot: bool,
    /// Time at which the newest snapshot record was appended, on the log service's clock.
    pub snapshot_at: Duration,
    /// Time since which the next snapshot has been due.
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
