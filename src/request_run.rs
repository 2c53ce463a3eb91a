//! The steps of a request at its home, from the permit to the end of the dispatch.

use std::time::{Duration, Instant};

use caller_limits::HeldText;
use rand::Rng;

use crate::context::Context;
use crate::events::{Counter, DispatchEnd, DispatchResult, Effect, PermitReason, RetryReason};
use crate::ids::PermitNumber;
use crate::messages::{FinishReport, PeerMessage, PermitGrant, RunOutcome};
use crate::request::{RequestTable, WorkEffect, take_slot};
use crate::result_code::ResultCode;
use crate::work_entry::{RunSlot, WorkBody, WorkEntry, WorkPhase};

impl RequestTable {
    /// Dispatches a request with the permit that its pool owner granted, or returns the permit.
    /// `excluded` is set if this host's own configuration excludes the endpoint.
    pub(crate) fn accept_permit(
        &mut self,
        grant: PermitGrant,
        excluded: bool,
        context: &Context,
    ) -> Vec<WorkEffect> {
        let call_timeout = self.settings.call_timeout;
        let entry = self.entries.get_mut(&grant.key);
        let slot = entry.as_ref().and_then(|entry| entry.slot());
        if slot.is_some_and(|slot| slot.grant.permit == grant.permit) {
            // The message is a duplicate; returning the permit would free a slot that is in use.
            return vec![count(Counter::PermitRejected(PermitReason::NotQueued))];
        }
        let queued = entry
            .as_ref()
            .is_some_and(|entry| matches!(entry.phase, WorkPhase::Queued { .. }));
        let reason = match entry {
            Some(entry) if queued && !excluded => {
                entry.attempts += 1;
                entry.phase = WorkPhase::Running(RunSlot {
                    grant: grant.clone(),
                    since: context.now,
                });
                return vec![Effect::Dispatch(entry.dispatch_order(grant, call_timeout)).into()];
            }
            Some(_) if queued => PermitReason::EndpointExcluded,
            Some(_) | None => PermitReason::NotQueued,
        };
        let mut effects = vec![
            count(Counter::PermitRejected(reason)),
            return_permit(&grant),
        ];
        if reason == PermitReason::NotQueued {
            // Without the withdrawal, the owner would grant permits for the same ticket repeatedly.
            effects.push(WorkEffect::ToOwner {
                pool: grant.pool.clone(),
                message: PeerMessage::Withdraw {
                    pool: grant.pool,
                    key: grant.key,
                },
            });
        }
        effects
    }

    /// Reports to the pool owner that the dispatch is about to send its first byte.
    pub(crate) fn record_dispatch_started(
        &self,
        key: &str,
        permit: PermitNumber,
    ) -> Vec<WorkEffect> {
        let slot = self.entries.get(key).and_then(WorkEntry::slot);
        let Some(slot) = slot.filter(|slot| slot.grant.permit == permit) else {
            return Vec::new();
        };
        vec![WorkEffect::ToOwner {
            pool: slot.grant.pool.clone(),
            message: PeerMessage::Started {
                pool: slot.grant.pool.clone(),
                key: slot.grant.key.clone(),
                permit: slot.grant.permit,
            },
        }]
    }

    /// Records that the endpoint accepted the request, and attaches the waiting callers to its
    /// stream.
    pub(crate) fn record_dispatch_accepted(&mut self, key: &str) -> Vec<WorkEffect> {
        let Some(entry) = self.entries.get_mut(key) else {
            return Vec::new();
        };
        let Some(grant) = entry.slot().map(|slot| slot.grant.clone()) else {
            return Vec::new();
        };
        entry.accepted_by = Some(grant);
        let waiting = std::mem::take(&mut entry.waiting);
        let key = entry.key.clone();
        waiting
            .into_iter()
            .flat_map(|(caller, from)| self.attach_caller(&key, caller, from))
            .collect()
    }

    /// Records the end of a dispatch: reports it to the pool owner, then ends the request or queues
    /// it again.
    pub(crate) fn record_dispatch_ended(
        &mut self,
        end: DispatchEnd,
        context: &mut Context,
    ) -> Vec<WorkEffect> {
        let Some(entry) = self.entries.get_mut(&end.key) else {
            return Vec::new();
        };
        let Some(slot) = take_slot(entry) else {
            return Vec::new();
        };
        if slot.grant.permit != end.permit {
            return Vec::new();
        }
        let outcome = match end.result {
            // A request that was cancelled in the meantime stays ended.
            DispatchResult::PermitExpired if !entry.is_open() => {
                return vec![return_permit(&slot.grant)];
            }
            DispatchResult::PermitExpired => {
                entry.phase = WorkPhase::Queued { retry_at: None };
                let reason = Counter::Retry(RetryReason::PermitExpired);
                return vec![count(reason), return_permit(&slot.grant)];
            }
            DispatchResult::Ran(outcome) if entry.is_open() => outcome,
            // The caller cancelled the request, or the answer exceeds the size limit.
            DispatchResult::Ran(_) | DispatchResult::TooLong => RunOutcome::Cancelled,
        };
        let mut effects = vec![WorkEffect::ToOwner {
            pool: entry.pool.clone(),
            message: PeerMessage::Finished(finish_report(entry, &slot, &end, outcome)),
        }];
        entry.result = end.answer;
        if !entry.is_open() {
            // It was cancelled, and its answer so far is kept.
            self.kept_bytes = self.kept_bytes - entry.answer_bytes + end.answer_bytes;
        }
        entry.answer_bytes = end.answer_bytes;
        match end_code(outcome, end.result) {
            Some(code) => {
                effects.extend(self.end(&end.key, code, context));
                if end.result == DispatchResult::TooLong {
                    effects.push(cancel_effect(&self.entries[&end.key], &slot));
                }
            }
            None => effects.extend(self.requeue(&end.key, outcome, context)),
        }
        effects
    }

    /// Queues a request that certainly did not run again, after a backoff with full jitter.
    fn requeue(
        &mut self,
        key: &str,
        outcome: RunOutcome,
        context: &mut Context,
    ) -> Vec<WorkEffect> {
        let (initial, max) = self.settings.backoff;
        let Some(entry) = self.entries.get_mut(key) else {
            return Vec::new();
        };
        if !entry.is_open() {
            return Vec::new();
        }
        let doublings = entry.attempts.saturating_sub(1).min(10);
        let ceiling = (initial * 2_u32.pow(doublings)).min(max);
        let backoff = ceiling.mul_f64(context.random.random::<f64>());
        entry.phase = WorkPhase::Queued {
            retry_at: Some(context.now + backoff),
        };
        let reason = if outcome == RunOutcome::Unreachable {
            RetryReason::ConnectRefused
        } else {
            RetryReason::Declined
        };
        vec![count(Counter::Retry(reason))]
    }

    /// Applies a refusal by the pool owner to a queued request.
    pub(crate) fn apply_refusal(
        &mut self,
        key: &str,
        code: ResultCode,
        context: &Context,
    ) -> Vec<WorkEffect> {
        match self.entries.get(key) {
            Some(entry) if matches!(entry.phase, WorkPhase::Queued { .. }) => {
                self.end(key, code, context)
            }
            Some(_) | None => Vec::new(),
        }
    }

    /// Queues a call whose claim this host has won.
    pub(crate) fn apply_claim_won(&mut self, key: &str, now: Instant) -> Vec<WorkEffect> {
        let Some(entry) = self.entries.get_mut(key) else {
            return Vec::new();
        };
        if !matches!(entry.phase, WorkPhase::Claiming) {
            return Vec::new();
        }
        entry.phase = WorkPhase::Queued { retry_at: None };
        vec![WorkEffect::ToOwner {
            pool: entry.pool.clone(),
            message: PeerMessage::Enqueue(entry.ticket(now)),
        }]
    }

    /// Ends a call that another host has claimed, or whose claim failed.
    pub(crate) fn apply_claim_result(
        &mut self,
        key: &str,
        result: Result<HeldText, ResultCode>,
        context: &Context,
    ) -> Vec<WorkEffect> {
        let Some(entry) = self.entries.get_mut(key) else {
            return Vec::new();
        };
        if !matches!(entry.phase, WorkPhase::Claiming) {
            return Vec::new();
        }
        // This host does not hold the claim, so it must not record an outcome.
        if let WorkBody::Call { claim, .. } = &mut entry.body {
            *claim = None;
        }
        let code = match result {
            Ok(result) => {
                entry.answer_bytes = result.len();
                entry.result = Some(result);
                ResultCode::Completed
            }
            Err(code) => code,
        };
        self.end(key, code, context)
    }
}

/// Returns the result code that ends a request, or `None` if it did not run and is queued again.
fn end_code(outcome: RunOutcome, result: DispatchResult) -> Option<ResultCode> {
    if result == DispatchResult::TooLong {
        return Some(ResultCode::AnswerTooLarge);
    }
    match outcome {
        RunOutcome::Completed => Some(ResultCode::Completed),
        RunOutcome::Failed => Some(ResultCode::EndpointFailed),
        RunOutcome::Broken => Some(ResultCode::EndpointLost),
        RunOutcome::Cancelled => Some(ResultCode::Cancelled),
        RunOutcome::Declined | RunOutcome::Unreachable => None,
    }
}

fn finish_report(
    entry: &WorkEntry,
    slot: &RunSlot,
    end: &DispatchEnd,
    outcome: RunOutcome,
) -> FinishReport {
    FinishReport {
        pool: entry.pool.clone(),
        key: entry.key.clone(),
        permit: slot.grant.permit,
        endpoint: slot.grant.endpoint.clone(),
        version: slot.grant.version.clone(),
        route: entry.route.clone(),
        digest: entry.digest,
        outcome,
        cold: end.cold,
        prompt_tokens: entry.shape.tokens,
        cached_tokens: end.cached_tokens,
        tokens: if matches!(entry.body, WorkBody::Call { .. }) {
            u32::from(outcome == RunOutcome::Completed)
        } else {
            end.tokens
        },
        first_token: if end.first_token == Duration::ZERO {
            end.total
        } else {
            end.first_token
        },
        total: end.total,
    }
}

fn cancel_effect(entry: &WorkEntry, slot: &RunSlot) -> WorkEffect {
    Effect::CancelStream {
        address: slot.grant.address,
        request_id: entry.request_id(),
    }
    .into()
}

fn return_permit(grant: &PermitGrant) -> WorkEffect {
    WorkEffect::ToOwner {
        pool: grant.pool.clone(),
        message: PeerMessage::PermitReturned {
            pool: grant.pool.clone(),
            key: grant.key.clone(),
            permit: grant.permit,
        },
    }
}

fn count(counter: Counter) -> WorkEffect {
    Effect::Count { counter }.into()
}
