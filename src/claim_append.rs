//! Appends of claims and outcomes, lost answers, and time-outs of the claim table.

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

/// Time between two passes that forget old keys; a pass visits every entry.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);
/// Reads to the end that must follow a lost append answer. The first may answer a request that was
/// sent before the append ended; the second was requested after it.
const READS_AFTER_LOSS: u8 = 2;

impl ClaimTable {
    /// Notes that the topic was read up to `end`, in the answer to one read request.
    pub fn record_topic_end(&mut self, end: LogOffset, context: &Context) -> Vec<ClaimEffect> {
        self.coverage.advance_time(context.unix_time);
        if !self.coverage.reach_end(end) {
            return Vec::new();
        }
        let claims = std::mem::take(&mut self.unresolved);
        claims
            .into_iter()
            .filter_map(|claim| self.resolve(claim))
            .collect()
    }

    /// Counts one read to the end for a claim whose append had a lost answer.
    fn resolve(&mut self, claim: ClaimKey) -> Option<ClaimEffect> {
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

    /// Takes the answer to one `Append`.
    pub fn record_append_answer(
        &mut self,
        batch: u64,
        answer: Result<LogOffset, AppendFailure>,
        context: &Context,
    ) -> Vec<ClaimEffect> {
        let lines = self.queue.answered(batch);
        let Err(failure) = answer else {
            return Vec::new();
        };
        self.queue
            .hold_outcomes(context.now + self.settings.outcome_retry);
        let mut effects = Vec::new();
        for line in lines {
            if line.is_claim {
                effects.extend(self.claim_append_failed(line.claim, failure));
            } else if self.ledger.entries.contains_key(&line.claim) {
                // A second copy of an outcome has no effect, so it need not be read back first.
                self.queue.push(line);
            }
        }
        effects
    }

    fn claim_append_failed(
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
                    self.ledger.drop_own(&claim);
                }
                effect
            }
        }
    }

    /// Hands out the next batch, ends waits that are over, and forgets old keys.
    pub fn tick(&mut self, context: &Context) -> Vec<ClaimEffect> {
        self.coverage.advance_time(context.unix_time);
        let mut effects = std::mem::take(&mut self.ready);
        let ended = self.ledger.ended_waits(context.now);
        effects.extend(ended.iter().filter_map(|claim| self.end_wait(claim)));
        if self.forget_at.is_none_or(|at| context.now >= at) {
            self.forget_at = Some(context.now + FORGET_INTERVAL);
            let is_old = |stamp| self.coverage.is_forgettable(stamp, &self.settings);
            effects.extend(self.ledger.forget(is_old));
        }
        let ledger = &mut self.ledger;
        let wanted = |line: &QueuedLine| !line.is_claim || mark_sent(ledger, line);
        if let Some((batch, records)) = self.queue.next_batch(&self.settings, context.now, wanted) {
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
            // The call did not run; it can be claimed again when the log has recorded that.
            return self.ledger.refuse(claim, ResultCode::LogUnavailable);
        }
        if own.is_none_or(|own| own.phase != ClaimPhase::Queued || own.may_appear) {
            return self.ledger.close(claim);
        }
        // Never handed out, so surely not appended.
        let effect = self.ledger.refuse(claim, ResultCode::LogUnavailable);
        self.ledger.drop_own(claim);
        effect
    }

    /// Frees a key whose call did not run. A caller that waits here claims it again.
    pub(crate) fn free_key(&mut self, claim: &ClaimKey, context: &Context) {
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
            .wait(claim.clone(), context.now + self.settings.claim_wait);
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

/// Moves a queued claim to `Sent`; returns false for one that was decided in the meantime.
fn mark_sent(ledger: &mut ClaimLedger, line: &QueuedLine) -> bool {
    let own = ledger.own_mut(&line.claim);
    let queued = own.filter(|own| own.nonce == line.nonce && own.phase == ClaimPhase::Queued);
    queued.map(|own| own.phase = ClaimPhase::Sent).is_some()
}
