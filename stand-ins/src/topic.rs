//! One topic of the append-only log.

use std::collections::VecDeque;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Serialize;

/// How long records are kept.
#[derive(Clone, Copy, Debug)]
pub struct RetentionLimits {
    pub age: Duration,
    pub records: usize,
}

/// A stored record as it is returned to readers.
#[derive(Clone, Debug, Serialize)]
pub struct TopicRecord {
    pub offset: u64,
    pub at_ms: u64,
    pub data: String,
}

/// Records of a topic; the first one has the offset `first`.
#[derive(Default)]
pub struct TopicLog {
    first: u64,
    records: VecDeque<(Instant, TopicRecord)>,
}

impl TopicLog {
    #[must_use]
    pub fn first(&self) -> u64 {
        self.first
    }

    /// The offset of the next record.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Appends records and returns the offset of the first one.
    pub fn append(&mut self, records: Vec<String>, now: Instant) -> u64 {
        let begin = self.end();
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let at_ms = u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX);
        for (offset, data) in (begin..).zip(records) {
            self.records.push_back((
                now,
                TopicRecord {
                    offset,
                    at_ms,
                    data,
                },
            ));
        }
        begin
    }

    /// Drops the records that are too old or too many.
    pub fn expire(&mut self, limits: RetentionLimits, now: Instant) {
        while let Some((at, _)) = self.records.front() {
            let is_old = now.duration_since(*at) >= limits.age;
            if !is_old && self.records.len() <= limits.records {
                return;
            }
            self.records.pop_front();
            self.first += 1;
        }
    }

    /// Reads at most `max` records from an offset on.
    #[must_use]
    pub fn read(&self, from: u64, max: usize) -> Vec<TopicRecord> {
        let skip = usize::try_from(from.saturating_sub(self.first)).unwrap_or(usize::MAX);
        let records = self.records.iter().skip(skip).take(max);
        records.map(|(_, record)| record.clone()).collect()
    }
}

/// Limits the rate of appends.
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    #[must_use]
    pub fn new(per_second: f64, burst: f64, now: Instant) -> Self {
        Self {
            per_second,
            burst,
            tokens: burst,
            filled_at: now,
        }
    }

    /// Takes one token if there is one.
    pub fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.duration_since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.burst);
        self.filled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
