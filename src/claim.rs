//! Claims of non-idempotent calls: a fold of the claims topic, and the batches to append.

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
    /// The call may run now, here, once.
    Won,
    /// The call ran before; this is its outcome.
    Known {
        result: Result<String, ResultCode>,
    },
    Refused(ResultCode),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEffect {
    /// Answers every caller that waits for the claim.
    Decided {
        claim: ClaimKey,
        answer: ClaimAnswer,
    },
    Append {
        batch: u64,
        records: Vec<String>,
    },
}

/// Why an append did not return an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendFailure {
    /// The log surely holds none of the records, now and later.
    NotAppended,
    /// The answer was lost: the records may be in the log, or may still appear there.
    Unknown,
}

/// Claims of this host and of all others.
///
/// The first claim of a key by offset wins, and only its claimant's incarnation may run the call,
/// at most once. A claim is recognised by its nonce and is never transferred.
///
/// An outcome record "not run" of the first claim frees the key: the next claim in the topic, with
/// another nonce, is then the first. The claimant itself runs nothing under the old nonce once it
/// has made that record, and all hosts see both records in the same order.
///
/// A lost append answer is resolved by reading. When the topic was read to an end that was reported
/// after the append had ended, and neither the claim nor another one of its key is there, the
/// caller gets 1203, "not run". No amount of reading excludes that the record appears later, but
/// that is safe: the claim is parked, so nothing runs on it unless a caller sends the key to this
/// incarnation again. Such a resend takes up the same nonce, so whichever copy of the record comes
/// first, the call runs once. A resend to another host either claims the key first, or finds the
/// late record and answers 2102, which is true as well.
///
/// When the topic cannot be read before the time-out, an earlier claim of another host may exist.
/// The caller then gets 2102, and the claim is closed: it never runs.
///
/// The reader must begin at the oldest retained record, or at one that is older than the window,
/// the time ahead and the margin together; before it has read on to the end, every new key gets
/// 1203. If records expired before they were read, undecided claims are closed with 2102.
pub struct ClaimTable {
    pub(crate) settings: ClaimSettings,
    pub(crate) random: SmallRng,
    pub(crate) ledger: ClaimLedger,
    pub(crate) queue: AppendQueue,
    pub(crate) coverage: TopicCoverage,
    /// Claims whose append had a lost answer.
    pub(crate) unresolved: Vec<ClaimKey>,
    /// Decisions that `finish` made; `tick` hands them out.
    pub(crate) ready: Vec<ClaimEffect>,
    pub(crate) forget_at: Option<Instant>,
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
            ready: Vec::new(),
            forget_at: None,
        }
    }

    /// Begins or joins the claim of a key; a decision that is `Pending` follows as an effect.
    pub fn request(
        &mut self,
        claim: ClaimKey,
        digest: ContentDigest,
        context: &Context,
    ) -> ClaimAnswer {
        self.coverage.advance_time(context.unix_time);
        let is_valid = |stamp: &u64| self.coverage.stamp_is_valid(*stamp, &self.settings);
        let Some(stamp) = parse_timestamp(&claim.key).filter(is_valid) else {
            return ClaimAnswer::Refused(ResultCode::KeyAge);
        };
        let known = self.ledger.entries.get(&claim);
        if known.is_some_and(|entry| !entry.is_free()) {
            return self.request_known(&claim, digest, context);
        }
        let is_new = known.is_none();
        if !self.coverage.is_complete(&self.settings) {
            return ClaimAnswer::Refused(ResultCode::LogUnavailable);
        }
        let is_full = is_new && self.ledger.entries.len() >= self.settings.max_entries;
        if is_full || self.coverage.may_be_dropped(stamp) {
            return ClaimAnswer::Refused(ResultCode::ClaimTableFull);
        }
        let nonce = self.random.random();
        let entry = self.ledger.entries.entry(claim.clone()).or_default();
        entry.stamp = stamp;
        entry.own = Some(Box::new(OwnClaim::queued(digest, nonce)));
        self.queue_claim(&claim, digest, nonce, context.brief.incarnation);
        self.ledger
            .wait(claim, context.now + self.settings.claim_wait)
    }

    fn request_known(
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
        let own_is_first = entry.own_is_first();
        let is_held = entry.first.is_some();
        let Some(own) = entry.own.as_mut().filter(|_| own_is_first || !is_held) else {
            return self
                .ledger
                .wait(claim.clone(), context.now + self.settings.outcome_wait);
        };
        match own.phase {
            ClaimPhase::Closed => ClaimAnswer::Refused(ResultCode::CallMayHaveRun),
            ClaimPhase::Started | ClaimPhase::Released => self
                .ledger
                .wait(claim.clone(), context.now + self.settings.outcome_wait),
            ClaimPhase::Parked if own_is_first => {
                own.phase = ClaimPhase::Started;
                ClaimAnswer::Won
            }
            ClaimPhase::Parked => {
                own.phase = ClaimPhase::Queued;
                let nonce = own.nonce;
                self.queue_claim(claim, digest, nonce, context.brief.incarnation);
                self.ledger
                    .wait(claim.clone(), context.now + self.settings.claim_wait)
            }
            ClaimPhase::Queued | ClaimPhase::Sent | ClaimPhase::Unknown { .. } => self
                .ledger
                .wait(claim.clone(), context.now + self.settings.claim_wait),
        }
    }

    /// Records the outcome of a call that `Won`, for every later resend.
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
        let is_freed = entry.is_freed_by(&result);
        self.queue_outcome(claim, nonce, result.clone());
        if is_freed {
            if let Some(own) = self.ledger.own_mut(claim) {
                own.phase = ClaimPhase::Released;
            }
            return;
        }
        if let Some(effect) = self.set_outcome(claim, result) {
            self.ready.push(effect);
        }
    }

    /// Folds one record of the claims topic.
    pub fn apply_record(
        &mut self,
        offset: LogOffset,
        at: Duration,
        data: &str,
        context: &Context,
    ) -> Vec<ClaimEffect> {
        self.coverage.advance_time(context.unix_time);
        let mut effects = match self.coverage.advance(offset, at) {
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
                let is_freed = entry.is_some_and(|entry| entry.is_freed_by(&result));
                match (matches, is_freed) {
                    (true, true) => {
                        self.free_key(&claim, context);
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
        let is_old = |stamp: u64| self.coverage.is_forgettable(stamp, &self.settings);
        let stamp = parse_timestamp(&claim.key).filter(|stamp| !is_old(*stamp))?;
        let entries = &mut self.ledger.entries;
        if !entries.contains_key(claim) && entries.len() >= self.settings.max_entries {
            // Without an entry, the key must not be claimed here: see `request`.
            self.coverage.drop_stamp(stamp);
            return None;
        }
        let entry = entries.entry(claim.clone()).or_default();
        entry.stamp = stamp;
        if entry.first.is_some() || entry.released.contains(&first.nonce) {
            return None;
        }
        let won = is_own
            && entry
                .own
                .as_ref()
                .is_some_and(|own| own.nonce == first.nonce);
        let same_digest = entry.digest().is_none_or(|digest| digest == first.digest);
        let nonce = first.nonce;
        entry.first = Some(first);
        let Some(own) = entry.own.as_mut().filter(|_| won) else {
            entry.own = None;
            if is_own {
                // A claim that this incarnation had dropped became the first after the key was
                // freed. Nothing will run on it, so it must not block the key.
                self.queue_outcome(claim, nonce, Err(ResultCode::LogUnavailable));
            }
            let entry = self.ledger.entries.get_mut(claim)?;
            if !same_digest {
                return self.ledger.refuse(claim, ResultCode::KeyConflict);
            }
            if entry.wait_until.is_some() {
                entry.wait_until = Some(now + self.settings.outcome_wait);
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
