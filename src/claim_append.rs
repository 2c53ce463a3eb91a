//! Handles appends of claims and outcomes, lost append answers and time-outs of the claim table.

use std::time::Duration;

use rand::Rng;

use crate::claim::{AppendFailure, ClaimEffect, ClaimTable};
use crate::claim_entry::{ClaimPhase, OwnClaim};
use crate::claim_ledger::ClaimLedger;
use crate::claim_queue::QueuedLine;
use crate::claim_record::{ClaimKey, ClaimRecord};
use crate::context::Context;
use crate::ids::{ContentDigest, Incarnation, LogOffset};
use crate::result_code::ResultCode;

/// Interval between two passes that remove expired keys. Each pass visits every entry.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);
/// Number of complete reads that must follow a lost append answer. The first one may answer a read
/// request that was sent before the append ended; the second one was requested after it.
const READS_AFTER_LOSS: u8 = 2;

impl ClaimTable {
    /// Records that the answer to a read request covered the topic up to `end`.
    pub fn record_topic_end(&mut self, end: LogOffset, context: &Context) -> Vec<ClaimEffect> {
        self.coverage.advance_time(context.unix_time);
        if !self.coverage.record_end(end) {
            return Vec::new();
        }
        let claims = std::mem::take(&mut self.unresolved);
        claims
            .into_iter()
            .filter_map(|claim| self.count_read(claim))
            .collect()
    }

    /// Counts one complete read for a claim whose append answer was lost.
    fn count_read(&mut self, claim: ClaimKey) -> Option<ClaimEffect> {
        let own = self.ledger.own_mut(&claim)?;
        let ClaimPhase::Unknown { reads_needed } = own.phase else {
            return None;
        };
        if reads_needed > 1 {
            own.phase = ClaimPhase::Unknown {
                reads_needed: reads_needed - 1,
            };
            self.unresolved.push(claim);
            return None;
        }
        own.phase = ClaimPhase::Parked;
        self.ledger.refuse(&claim, ResultCode::LogUnavailable)
    }

    /// Records the answer to one `Append`.
    pub fn record_append_answer(
        &mut self,
        batch: u64,
        answer: Result<LogOffset, AppendFailure>,
        context: &Context,
    ) -> Vec<ClaimEffect> {
        let lines = self.queue.take_batch(batch);
        let Err(failure) = answer else {
            return Vec::new();
        };
        self.queue
            .delay_outcomes(context.now + self.settings.outcome_retry_delay);
        let mut effects = Vec::new();
        for line in lines {
            if line.is_claim {
                effects.extend(self.record_claim_failure(line.claim, failure));
            } else if self.ledger.entries.contains_key(&line.claim) {
                // A duplicate outcome record has no effect, so the outcome is appended again
                // without reading the topic first.
                self.queue.push(line);
            }
        }
        effects
    }

    fn record_claim_failure(
        &mut self,
        claim: ClaimKey,
        failure: AppendFailure,
    ) -> Option<ClaimEffect> {
        let own = self
            .ledger
            .own_mut(&claim)
            .filter(|own| own.phase == ClaimPhase::Sent)?;
        match failure {
            AppendFailure::Unknown => {
                own.may_appear = true;
                own.phase = ClaimPhase::Unknown {
                    reads_needed: READS_AFTER_LOSS,
                };
                self.unresolved.push(claim);
                None
            }
            AppendFailure::NotAppended => {
                own.phase = ClaimPhase::Parked;
                let may_appear = own.may_appear;
                let effect = self.ledger.refuse(&claim, ResultCode::LogUnavailable);
                if !may_appear {
                    self.ledger.remove_own(&claim);
                }
                effect
            }
        }
    }

    /// Returns the next batch, ends expired waits and removes expired keys.
    pub fn tick(&mut self, context: &Context) -> Vec<ClaimEffect> {
        self.coverage.advance_time(context.unix_time);
        let mut effects = std::mem::take(&mut self.ready_effects);
        let expired = self.ledger.expired_waits(context.now);
        effects.extend(expired.iter().filter_map(|claim| self.end_wait(claim)));
        if self.next_expiry_at.is_none_or(|at| context.now >= at) {
            self.next_expiry_at = Some(context.now + EXPIRY_INTERVAL);
            let is_old = |timestamp| self.coverage.is_expired(timestamp, &self.settings);
            effects.extend(self.ledger.remove_expired(is_old));
        }
        let ledger = &mut self.ledger;
        let is_wanted = |line: &QueuedLine| !line.is_claim || mark_sent(ledger, line);
        if let Some((batch, records)) =
            self.queue
                .next_batch(&self.settings, context.now, is_wanted)
        {
            effects.push(ClaimEffect::Append { batch, records });
        }
        effects
    }

    fn end_wait(&mut self, claim: &ClaimKey) -> Option<ClaimEffect> {
        let own = self.ledger.own_mut(claim);
        if own
            .as_ref()
            .is_some_and(|own| own.phase == ClaimPhase::Released)
        {
            // The call did not run. Its key can be claimed again once the log holds that outcome.
            return self.ledger.refuse(claim, ResultCode::LogUnavailable);
        }
        if own.is_none_or(|own| own.phase != ClaimPhase::Queued || own.may_appear) {
            return self.ledger.close(claim);
        }
        // The claim was never sent, so it is not in the log.
        let effect = self.ledger.refuse(claim, ResultCode::LogUnavailable);
        self.ledger.remove_own(claim);
        effect
    }

    /// Releases a key whose call did not run, and claims it again if a caller waits on this host.
    pub(crate) fn release_key(&mut self, claim: &ClaimKey, context: &Context) {
        let Some(entry) = self.ledger.entries.get_mut(claim) else {
            return;
        };
        let Some(first) = entry.first.take() else {
            return;
        };
        entry.released.push(first.nonce);
        entry.own = None;
        if entry.wait_until.is_none() {
            return;
        }
        let nonce = self.random.random();
        entry.own = Some(Box::new(OwnClaim::queued(first.digest, nonce)));
        self.queue_claim(claim, first.digest, nonce, context.brief.incarnation);
        self.ledger
            .start_wait(claim.clone(), context.now + self.settings.max_claim_wait);
    }

    pub(crate) fn queue_outcome(
        &mut self,
        claim: &ClaimKey,
        nonce: u64,
        result: Result<String, ResultCode>,
    ) {
        let record = ClaimRecord::Outcome {
            claim: claim.clone(),
            nonce,
            result,
        };
        let line = QueuedLine {
            claim: claim.clone(),
            nonce,
            line: record.encode(),
            is_claim: false,
        };
        self.queue.push(line);
    }

    pub(crate) fn queue_claim(
        &mut self,
        claim: &ClaimKey,
        digest: ContentDigest,
        nonce: u64,
        claimant: Incarnation,
    ) {
        let record = ClaimRecord::Claim {
            claim: claim.clone(),
            digest,
            nonce,
            claimant,
        };
        let line = QueuedLine {
            claim: claim.clone(),
            nonce,
            line: record.encode(),
            is_claim: true,
        };
        self.queue.push(line);
    }
}

/// Moves a queued claim to `Sent`. Returns false if the claim is no longer queued.
fn mark_sent(ledger: &mut ClaimLedger, line: &QueuedLine) -> bool {
    let own = ledger.own_mut(&line.claim);
    let queued = own.filter(|own| own.nonce == line.nonce && own.phase == ClaimPhase::Queued);
    queued.map(|own| own.phase = ClaimPhase::Sent).is_some()
}
