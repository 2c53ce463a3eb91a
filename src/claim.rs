//! Claims of non-idempotent calls: state built from the claims topic, and batches to append.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::claim_coverage::{RecordOrder, TopicCoverage};
use crate::claim_entry::{ClaimPhase, FirstClaim, OwnClaim};
use crate::claim_ledger::ClaimLedger;
use crate::claim_queue::AppendQueue;
pub use crate::claim_record::ClaimKey;
use crate::claim_record::{ClaimRecord, parse_timestamp};
use crate::configs::claim::ClaimSettings;
use crate::context::Context;
use crate::ids::{ContentDigest, LogOffset};
use crate::result_code::ResultCode;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    Pending,
    /// This host holds the claim: the caller may run the call once, now.
    Won,
    /// The outcome of the call is already recorded.
    Known {
        result: Result<String, ResultCode>,
    },
    Refused(ResultCode),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEffect {
    /// The answer for every caller that waits for the claim.
    Decided {
        claim: ClaimKey,
        answer: ClaimAnswer,
    },
    Append {
        batch: u64,
        records: Vec<String>,
    },
}

/// Reason why an append did not return an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendFailure {
    /// The log holds none of the records and never will.
    NotAppended,
    /// The answer was lost: the records may be in the log already or may still appear there.
    Unknown,
}

/// Claims of this host and of all other hosts.
///
/// The claim with the lowest offset wins its key. Only the incarnation that made this claim may run
/// the call, at most once. A claim is identified by its nonce and is never transferred.
///
/// An outcome record of the first claim that says "not run" releases the key: the next claim in the
/// topic, with another nonce, then becomes the first. The claimant runs nothing under the old nonce
/// once it has written that record, and all hosts read both records in the same order.
///
/// A lost append answer is resolved by reading the topic. If the topic has been read to an end that
/// was reported after the append ended, and holds no claim of the key, the caller receives 1203,
/// "not run". The record may still appear later, however far the host reads. That is safe: the
/// claim is parked, so the call does not run unless a caller sends the key to this incarnation
/// again. Such a resend uses the same nonce, so the call runs once whichever copy of the record
/// comes first. A resend to another host either claims the key first, or finds the late record and
/// answers 2102, which is also correct.
///
/// If the topic cannot be read before the time-out, an earlier claim of another host may exist.
/// The caller then receives 2102, and the claim is closed: it never runs.
///
/// The reader must start at the oldest retained record, or at a record that is older than the sum
/// of the window, the maximum clock lead and the margin. Until it reaches the end of the topic,
/// every new key is refused with 1203. If records expire before they are read, undecided claims are
/// closed with 2102.
pub struct ClaimTable {
    pub(crate) settings: ClaimSettings,
    pub(crate) random: SmallRng,
    pub(crate) ledger: ClaimLedger,
    pub(crate) queue: AppendQueue,
    pub(crate) coverage: TopicCoverage,
    /// Claims whose append answer was lost.
    pub(crate) unresolved: Vec<ClaimKey>,
    /// Effects of `record_outcome`, which the next `tick` returns.
    pub(crate) ready_effects: Vec<ClaimEffect>,
    pub(crate) next_expiry_at: Option<Instant>,
}

impl ClaimTable {
    #[must_use]
    pub fn new(settings: ClaimSettings, nonce_seed: u64) -> Self {
        Self {
            settings,
            random: SmallRng::seed_from_u64(nonce_seed),
            ledger: ClaimLedger::default(),
            queue: AppendQueue::default(),
            coverage: TopicCoverage::default(),
            unresolved: Vec::new(),
            ready_effects: Vec::new(),
            next_expiry_at: None,
        }
    }

    /// Starts or joins the claim of a key. After `Pending`, the answer follows as an effect.
    pub fn request(
        &mut self,
        claim: ClaimKey,
        digest: ContentDigest,
        context: &Context,
    ) -> ClaimAnswer {
        self.coverage.advance_time(context.unix_time);
        let is_valid =
            |timestamp: &u64| self.coverage.is_timestamp_valid(*timestamp, &self.settings);
        let Some(timestamp) = parse_timestamp(&claim.key).filter(is_valid) else {
            return ClaimAnswer::Refused(ResultCode::KeyAge);
        };
        let known = self.ledger.entries.get(&claim);
        if known.is_some_and(|entry| !entry.is_free()) {
            return self.request_existing(&claim, digest, context);
        }
        let is_new = known.is_none();
        if !self.coverage.is_complete(&self.settings) {
            return ClaimAnswer::Refused(ResultCode::LogUnavailable);
        }
        let is_full = is_new && self.ledger.entries.len() >= self.settings.max_entries;
        if is_full || self.coverage.may_have_dropped(timestamp) {
            return ClaimAnswer::Refused(ResultCode::ClaimTableFull);
        }
        let nonce = self.random.random();
        let entry = self.ledger.entries.entry(claim.clone()).or_default();
        entry.timestamp = timestamp;
        entry.own = Some(Box::new(OwnClaim::queued(digest, nonce)));
        self.queue_claim(&claim, digest, nonce, context.brief.incarnation);
        self.ledger
            .start_wait(claim, context.now + self.settings.max_claim_wait)
    }

    fn request_existing(
        &mut self,
        claim: &ClaimKey,
        digest: ContentDigest,
        context: &Context,
    ) -> ClaimAnswer {
        let Some(entry) = self.ledger.entries.get_mut(claim) else {
            return ClaimAnswer::Pending;
        };
        if entry.digest().is_some_and(|known| known != digest) {
            return ClaimAnswer::Refused(ResultCode::KeyConflict);
        }
        if let Some(result) = &entry.outcome {
            return ClaimAnswer::Known {
                result: result.clone(),
            };
        }
        if entry.wait_until.is_some() {
            return ClaimAnswer::Pending;
        }
        let is_own_first = entry.is_own_first();
        let is_held = entry.first.is_some();
        let Some(own) = entry.own.as_mut().filter(|_| is_own_first || !is_held) else {
            return self
                .ledger
                .start_wait(claim.clone(), context.now + self.settings.max_outcome_wait);
        };
        match own.phase {
            ClaimPhase::Closed => ClaimAnswer::Refused(ResultCode::CallMayHaveRun),
            ClaimPhase::Started | ClaimPhase::Released => self
                .ledger
                .start_wait(claim.clone(), context.now + self.settings.max_outcome_wait),
            ClaimPhase::Parked if is_own_first => {
                own.phase = ClaimPhase::Started;
                ClaimAnswer::Won
            }
            ClaimPhase::Parked => {
                own.phase = ClaimPhase::Queued;
                let nonce = own.nonce;
                self.queue_claim(claim, digest, nonce, context.brief.incarnation);
                self.ledger
                    .start_wait(claim.clone(), context.now + self.settings.max_claim_wait)
            }
            ClaimPhase::Queued | ClaimPhase::Sent | ClaimPhase::Unknown { .. } => self
                .ledger
                .start_wait(claim.clone(), context.now + self.settings.max_claim_wait),
        }
    }

    /// Records the outcome of a call whose claim was `Won`, as the answer to later resends.
    pub fn record_outcome(
        &mut self,
        claim: &ClaimKey,
        result: Result<String, ResultCode>,
        _context: &Context,
    ) {
        let Some(entry) = self.ledger.entries.get(claim) else {
            return;
        };
        let Some(own) = entry
            .own
            .as_ref()
            .filter(|own| own.phase == ClaimPhase::Started)
        else {
            return;
        };
        if entry.outcome.is_some() {
            return;
        }
        let fits = |text: &String| text.len() <= self.settings.max_result_bytes;
        let result = result.and_then(|text| {
            if fits(&text) {
                Ok(text)
            } else {
                Err(ResultCode::AnswerTooLarge)
            }
        });
        let nonce = own.nonce;
        let is_released = entry.is_released_by(&result);
        self.queue_outcome(claim, nonce, result.clone());
        if is_released {
            if let Some(own) = self.ledger.own_mut(claim) {
                own.phase = ClaimPhase::Released;
            }
            return;
        }
        if let Some(effect) = self.set_outcome(claim, result) {
            self.ready_effects.push(effect);
        }
    }

    /// Applies one record of the claims topic.
    pub fn apply_record(
        &mut self,
        offset: LogOffset,
        at: Duration,
        data: &str,
        context: &Context,
    ) -> Vec<ClaimEffect> {
        self.coverage.advance_time(context.unix_time);
        let mut effects = match self.coverage.record_offset(offset, at) {
            RecordOrder::Repeated => return Vec::new(),
            RecordOrder::Next => Vec::new(),
            RecordOrder::AfterGap => self.ledger.close_undecided(),
        };
        let effect = match ClaimRecord::decode(data) {
            Some(ClaimRecord::Claim {
                claim,
                digest,
                nonce,
                claimant,
            }) => {
                let is_own = claimant == context.brief.incarnation;
                self.apply_claim(&claim, FirstClaim { digest, nonce }, is_own, context.now)
            }
            Some(ClaimRecord::Outcome {
                claim,
                nonce,
                result,
            }) => {
                let entry = self.ledger.entries.get(&claim);
                let first = entry.and_then(|entry| entry.first.as_ref());
                let matches = first.is_some_and(|first| first.nonce == nonce);
                let is_released = entry.is_some_and(|entry| entry.is_released_by(&result));
                match (matches, is_released) {
                    (true, true) => {
                        self.release_key(&claim, context);
                        None
                    }
                    (true, false) => self.set_outcome(&claim, result),
                    (false, _) => None,
                }
            }
            None => None,
        };
        effects.extend(effect);
        effects
    }

    fn apply_claim(
        &mut self,
        claim: &ClaimKey,
        first: FirstClaim,
        is_own: bool,
        now: Instant,
    ) -> Option<ClaimEffect> {
        let is_old = |timestamp: u64| self.coverage.is_expired(timestamp, &self.settings);
        let timestamp = parse_timestamp(&claim.key).filter(|timestamp| !is_old(*timestamp))?;
        let entries = &mut self.ledger.entries;
        if !entries.contains_key(claim) && entries.len() >= self.settings.max_entries {
            // A key without an entry must not be claimed on this host; `request` refuses it.
            self.coverage.record_dropped_claim(timestamp);
            return None;
        }
        let entry = entries.entry(claim.clone()).or_default();
        entry.timestamp = timestamp;
        if entry.first.is_some() || entry.released.contains(&first.nonce) {
            return None;
        }
        let is_won = is_own
            && entry
                .own
                .as_ref()
                .is_some_and(|own| own.nonce == first.nonce);
        let is_same_digest = entry.digest().is_none_or(|digest| digest == first.digest);
        let nonce = first.nonce;
        entry.first = Some(first);
        let Some(own) = entry.own.as_mut().filter(|_| is_won) else {
            entry.own = None;
            if is_own {
                // A claim that this incarnation had removed became the first after the key was
                // released. The call will not run under it, so it must not block the key.
                self.queue_outcome(claim, nonce, Err(ResultCode::LogUnavailable));
            }
            let entry = self.ledger.entries.get_mut(claim)?;
            if !is_same_digest {
                return self.ledger.refuse(claim, ResultCode::KeyConflict);
            }
            if entry.wait_until.is_some() {
                entry.wait_until = Some(now + self.settings.max_outcome_wait);
            }
            return None;
        };
        match own.phase {
            ClaimPhase::Parked
            | ClaimPhase::Closed
            | ClaimPhase::Started
            | ClaimPhase::Released => None,
            ClaimPhase::Queued | ClaimPhase::Sent | ClaimPhase::Unknown { .. } => {
                own.phase = ClaimPhase::Started;
                self.ledger.decide(claim, ClaimAnswer::Won)
            }
        }
    }

    fn set_outcome(
        &mut self,
        claim: &ClaimKey,
        result: Result<String, ResultCode>,
    ) -> Option<ClaimEffect> {
        self.ledger
            .set_outcome(claim, result, self.settings.max_total_result_bytes)
    }
}
