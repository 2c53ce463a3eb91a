//! Queue of records to append, and of appends that wait for an answer.

use std::collections::VecDeque;
use std::time::Instant;

use crate::claim_record::ClaimKey;
use crate::configs::claim::ClaimSettings;
use crate::ids::FastMap;

/// One record to append.
#[derive(Clone, Debug)]
pub(crate) struct QueuedLine {
    pub(crate) claim: ClaimKey,
    pub(crate) nonce: u64,
    pub(crate) line: String,
    pub(crate) is_claim: bool,
}

/// Forms at most one batch per interval. Claims precede outcomes, because callers wait for them.
#[derive(Debug, Default)]
pub(crate) struct AppendQueue {
    claims: VecDeque<QueuedLine>,
    outcomes: VecDeque<QueuedLine>,
    sent: FastMap<u64, Vec<QueuedLine>>,
    last_batch: u64,
    last_batch_at: Option<Instant>,
    /// Time before which a batch must contain a claim.
    outcomes_after: Option<Instant>,
}

impl AppendQueue {
    pub(crate) fn push(&mut self, line: QueuedLine) {
        if line.is_claim {
            self.claims.push_back(line);
        } else {
            self.outcomes.push_back(line);
        }
    }

    /// Returns the next batch if one is due. Drops lines for which `is_wanted` returns false.
    pub(crate) fn next_batch(
        &mut self,
        settings: &ClaimSettings,
        now: Instant,
        mut is_wanted: impl FnMut(&QueuedLine) -> bool,
    ) -> Option<(u64, Vec<String>)> {
        let is_too_soon = |last| now.saturating_duration_since(last) < settings.append_interval;
        let are_outcomes_due = self.outcomes_after.is_none_or(|after| now >= after);
        if self.last_batch_at.is_some_and(is_too_soon)
            || (self.claims.is_empty() && !are_outcomes_due)
        {
            return None;
        }
        let mut lines = Vec::new();
        let mut bytes = 0;
        while lines.len() < settings.max_batch_records && bytes < settings.max_batch_bytes {
            let Some(line) = self
                .claims
                .pop_front()
                .or_else(|| self.outcomes.pop_front())
            else {
                break;
            };
            if is_wanted(&line) {
                bytes += line.line.len();
                lines.push(line);
            }
        }
        if lines.is_empty() {
            return None;
        }
        self.last_batch_at = Some(now);
        self.last_batch += 1;
        let records = lines.iter().map(|line| line.line.clone()).collect();
        self.sent.insert(self.last_batch, lines);
        Some((self.last_batch, records))
    }

    /// Removes an answered batch and returns its lines.
    pub(crate) fn take_batch(&mut self, batch: u64) -> Vec<QueuedLine> {
        self.sent.remove(&batch).unwrap_or_default()
    }

    pub(crate) fn delay_outcomes(&mut self, until: Instant) {
        self.outcomes_after = Some(until);
    }
}
