//! The part of the claims topic that this host has read, and the keys that it may therefore accept.

use std::time::Duration;

use crate::configs::claim::ClaimSettings;
use crate::ids::LogOffset;

/// Position of a record relative to the records before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordOrder {
    Repeated,
    Next,
    AfterGap,
}

#[derive(Debug, Default)]
pub(crate) struct TopicCoverage {
    next_offset: Option<LogOffset>,
    /// Log time from which on every record has been read; zero if no record is missing.
    covered_from: Option<Duration>,
    is_end_reached: bool,
    /// Latest timestamp among the claims that were dropped because the table was full.
    dropped_timestamp: Option<u64>,
    /// Latest wall-clock time seen. A clock that is set back must not make a removed key valid
    /// again.
    unix_time: Duration,
}

impl TopicCoverage {
    pub(crate) fn advance_time(&mut self, unix_time: Duration) {
        self.unix_time = self.unix_time.max(unix_time);
    }

    pub(crate) fn record_offset(&mut self, offset: LogOffset, at: Duration) -> RecordOrder {
        let order = match self.next_offset {
            Some(next) if offset < next => return RecordOrder::Repeated,
            Some(next) if offset > next => {
                self.covered_from = Some(at);
                self.is_end_reached = false;
                RecordOrder::AfterGap
            }
            Some(_) => RecordOrder::Next,
            None => {
                self.covered_from = Some(if offset == 0 { Duration::ZERO } else { at });
                RecordOrder::Next
            }
        };
        self.next_offset = Some(offset + 1);
        order
    }

    /// Records the end of the topic. Returns whether every record before it has been read.
    pub(crate) fn record_end(&mut self, end: LogOffset) -> bool {
        if self.next_offset.is_some_and(|next| next < end) {
            return false;
        }
        // If no record was read, all appended records have expired.
        self.next_offset.get_or_insert(end);
        self.covered_from.get_or_insert(Duration::ZERO);
        self.is_end_reached = true;
        true
    }

    /// Returns whether every claim of a key that is still valid has been read.
    pub(crate) fn is_complete(&self, settings: &ClaimSettings) -> bool {
        let look_back = settings.window + settings.max_clock_lead + settings.margin;
        let is_covered = self
            .covered_from
            .is_some_and(|from| from.is_zero() || from + look_back <= self.unix_time);
        is_covered && self.is_end_reached
    }

    /// Records a claim that was dropped because the table was full.
    pub(crate) fn record_dropped_claim(&mut self, timestamp: u64) {
        self.dropped_timestamp = self.dropped_timestamp.max(Some(timestamp));
    }

    /// Returns whether a claim of a key with this timestamp may have been dropped.
    pub(crate) fn may_have_dropped(&self, timestamp: u64) -> bool {
        self.dropped_timestamp
            .is_some_and(|dropped| timestamp <= dropped)
    }

    pub(crate) fn is_timestamp_valid(&self, timestamp: u64, settings: &ClaimSettings) -> bool {
        let time = Duration::from_secs(timestamp);
        time + settings.window >= self.unix_time && time <= self.unix_time + settings.max_clock_lead
    }

    /// Returns whether a key may be removed: it left the claim window more than the margin ago.
    pub(crate) fn is_expired(&self, timestamp: u64, settings: &ClaimSettings) -> bool {
        Duration::from_secs(timestamp) + settings.window + settings.margin < self.unix_time
    }
}
