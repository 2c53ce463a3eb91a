//! The entries of a claim table, and the callers that wait for them.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::claim::{ClaimAnswer, ClaimEffect};
use crate::claim_entry::{ClaimEntry, ClaimPhase, OwnClaim};
use crate::claim_record::ClaimKey;
use crate::ids::FastMap;
use crate::result_code::ResultCode;

#[derive(Debug, Default)]
pub(crate) struct ClaimLedger {
    pub(crate) entries: FastMap<ClaimKey, ClaimEntry>,
    waiting: BTreeSet<ClaimKey>,
    result_bytes: usize,
}

impl ClaimLedger {
    pub(crate) fn own_mut(&mut self, claim: &ClaimKey) -> Option<&mut OwnClaim> {
        self.entries.get_mut(claim)?.own.as_deref_mut()
    }

    /// Removes a claim of this host that is not in the log. The state read from the topic stays.
    pub(crate) fn remove_own(&mut self, claim: &ClaimKey) {
        let Some(entry) = self.entries.get_mut(claim) else {
            return;
        };
        if entry.first.is_some() || !entry.released.is_empty() {
            entry.own = None;
        } else {
            self.entries.remove(claim);
        }
    }

    pub(crate) fn start_wait(&mut self, claim: ClaimKey, until: Instant) -> ClaimAnswer {
        if let Some(entry) = self.entries.get_mut(&claim) {
            entry.wait_until = Some(until);
            self.waiting.insert(claim);
        }
        ClaimAnswer::Pending
    }

    /// Ends the wait for a claim. Returns no effect if no caller waits.
    pub(crate) fn decide(&mut self, claim: &ClaimKey, answer: ClaimAnswer) -> Option<ClaimEffect> {
        self.entries.get_mut(claim)?.wait_until.take()?;
        self.waiting.remove(claim);
        Some(ClaimEffect::Decided {
            claim: claim.clone(),
            answer,
        })
    }

    pub(crate) fn refuse(&mut self, claim: &ClaimKey, code: ResultCode) -> Option<ClaimEffect> {
        self.decide(claim, ClaimAnswer::Refused(code))
    }

    /// Returns the claims for which the wait of the callers has expired.
    pub(crate) fn expired_waits(&self, now: Instant) -> Vec<ClaimKey> {
        let is_over = |claim: &&ClaimKey| {
            let entry = self.entries.get(*claim);
            entry
                .and_then(|entry| entry.wait_until)
                .is_some_and(|until| now >= until)
        };
        self.waiting.iter().filter(is_over).cloned().collect()
    }

    /// Refuses the callers with 2102. A claim of this host that has not started never runs.
    pub(crate) fn close(&mut self, claim: &ClaimKey) -> Option<ClaimEffect> {
        if let Some(own) = self
            .own_mut(claim)
            .filter(|own| own.phase != ClaimPhase::Started)
        {
            own.phase = ClaimPhase::Closed;
        }
        self.refuse(claim, ResultCode::CallMayHaveRun)
    }

    /// Closes undecided claims, because records that may decide them were lost.
    pub(crate) fn close_undecided(&mut self) -> Vec<ClaimEffect> {
        let claims = self.select(|entry| entry.first.is_none());
        claims
            .iter()
            .filter_map(|claim| self.close(claim))
            .collect()
    }

    pub(crate) fn set_outcome(
        &mut self,
        claim: &ClaimKey,
        result: Result<String, ResultCode>,
        max_total_bytes: usize,
    ) -> Option<ClaimEffect> {
        let entry = self
            .entries
            .get_mut(claim)
            .filter(|entry| entry.outcome.is_none())?;
        let result = result.and_then(|text| {
            let fits = self.result_bytes + text.len() <= max_total_bytes;
            if fits {
                Ok(text)
            } else {
                Err(ResultCode::AnswerTooLarge)
            }
        });
        entry.outcome = Some(result.clone());
        self.result_bytes += entry.result_bytes();
        self.decide(claim, ClaimAnswer::Known { result })
    }

    /// Removes the entries with expired timestamps. Callers that still wait receive 2102.
    pub(crate) fn remove_expired(&mut self, is_expired: impl Fn(u64) -> bool) -> Vec<ClaimEffect> {
        let claims = self.select(|entry| is_expired(entry.timestamp));
        let mut effects = Vec::new();
        for claim in claims {
            effects.extend(self.close(&claim));
            if let Some(entry) = self.entries.remove(&claim) {
                self.result_bytes -= entry.result_bytes();
            }
        }
        effects
    }

    /// Returns the matching claims in a fixed order, so that effects are reproducible.
    fn select(&self, matches: impl Fn(&ClaimEntry) -> bool) -> Vec<ClaimKey> {
        let entries = self.entries.iter().filter(|(_, entry)| matches(entry));
        let mut claims: Vec<ClaimKey> = entries.map(|(claim, _)| claim.clone()).collect();
        claims.sort_unstable();
        claims
    }
}
