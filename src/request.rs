//! Requests and calls at their home: submission, resume, cancellation and end. `request_run` covers
//! the steps from the permit to the end of the dispatch, `request_tick` the timeouts.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::claim::ClaimKey;
use crate::configs::request::RequestSettings;
use crate::context::Context;
use crate::events::{CallSubmission, CallerId, CallerReply, Counter, Effect, ModelSubmission};
use crate::ids::{FastMap, PoolName, parse_key};
use crate::key_memory::{KeyMemory, KeyState};
use crate::messages::{HomeStatus, PeerMessage, PoolSync};
use crate::pool_sync::split_sync;
use crate::prefix::{digest_fields, endpoint_request_id, measure_prompt};
use crate::result_code::ResultCode;
use crate::work_entry::{RunSlot, WorkBody, WorkEntry, WorkKey, WorkPhase};

/// An effect of the request table that the reducer carries out.
#[derive(Debug)]
pub(crate) enum WorkEffect {
    Plain(Effect),
    /// Sends a message to the owner of a pool, which may be this host.
    ToOwner {
        pool: PoolName,
        message: PeerMessage,
    },
    /// Requests the claim of a call that must not be repeated.
    Claim {
        claim: ClaimKey,
        digest: crate::ids::ContentDigest,
    },
    /// Records the outcome of a claimed call.
    ClaimFinished {
        claim: ClaimKey,
        result: Result<String, ResultCode>,
    },
}

impl From<Effect> for WorkEffect {
    fn from(effect: Effect) -> Self {
        Self::Plain(effect)
    }
}

/// The requests whose home is this host.
pub(crate) struct RequestTable {
    pub(crate) settings: RequestSettings,
    pub(crate) entries: FastMap<WorkKey, WorkEntry>,
    /// Ended entries with the time of their end, in that order.
    pub(crate) ended: VecDeque<(Instant, WorkKey)>,
    pub(crate) keys: KeyMemory,
    /// Key of the request that each attached caller waits for or reads.
    by_caller: FastMap<CallerId, WorkKey>,
    /// Number of entries that have not ended.
    open: usize,
    /// Size of the answers of ended entries.
    pub(crate) kept_bytes: usize,
}

/// The data that both kinds of submissions share.
pub(crate) struct Arrival<'a> {
    pub caller: CallerId,
    pub workspace: &'a str,
    pub default_deadline: Duration,
}

impl RequestTable {
    pub(crate) fn new(settings: RequestSettings) -> Self {
        Self {
            settings,
            entries: FastMap::default(),
            ended: VecDeque::new(),
            keys: KeyMemory::default(),
            by_caller: FastMap::default(),
            open: 0,
            kept_bytes: 0,
        }
    }

    /// Returns the number of requests that have not ended.
    pub(crate) fn open(&self) -> usize {
        self.open
    }

    /// Returns whether all requests have ended and no caller reads an answer.
    pub(crate) fn is_drained(&self) -> bool {
        self.open == 0 && self.entries.values().all(|entry| entry.readers.is_empty())
    }

    /// Submits a model request whose home is this host. A request that is sent again with the same
    /// key reads the existing answer.
    pub(crate) fn submit(
        &mut self,
        submission: ModelSubmission,
        arrival: &Arrival,
        context: &Context,
    ) -> Vec<WorkEffect> {
        let digest = digest_fields(&[arrival.workspace, &submission.pool, &submission.prompt]);
        if let Some(entry) = self.entries.get(&submission.key) {
            let code = if entry.workspace != arrival.workspace {
                Some(ResultCode::Forbidden)
            } else if entry.digest != digest || entry.max_tokens() != submission.max_tokens {
                Some(ResultCode::DuplicateKey)
            } else {
                None
            };
            return match code {
                Some(code) => refuse(arrival.caller, code),
                None => self.attach_caller(&submission.key, arrival.caller, 0),
            };
        }
        if let Err(code) = self.register_key(&submission.key, context) {
            return refuse(arrival.caller, code);
        }
        let deadline = submission.deadline.unwrap_or(arrival.default_deadline);
        let shape = measure_prompt(&submission.prompt);
        let body = WorkBody::Generate {
            prompt: submission.prompt,
            max_tokens: submission.max_tokens,
        };
        let entry = WorkEntry {
            workspace: arrival.workspace.into(),
            pool: submission.pool,
            route: submission.route,
            tier: submission.tier,
            deadline: context.now + deadline,
            digest,
            shape,
            ..WorkEntry::new(submission.key, body, arrival.caller, context.now)
        };
        self.admit(entry, arrival.caller, context)
    }

    /// Submits a call to a service endpoint.
    pub(crate) fn submit_call(
        &mut self,
        submission: CallSubmission,
        repeatable: bool,
        arrival: &Arrival,
        context: &Context,
    ) -> Vec<WorkEffect> {
        let digest = digest_fields(&[
            arrival.workspace,
            &submission.pool,
            &submission.operation,
            &submission.body,
        ]);
        let key: WorkKey = endpoint_request_id(arrival.workspace, &submission.key).into();
        if let Some(entry) = self.entries.get(&key) {
            if entry.digest != digest {
                return refuse(arrival.caller, ResultCode::KeyConflict);
            }
            // A call that ended without running may be tried again, and the outcome of a call
            // through another host may be known by now. The claim decides both cases.
            let may_try_again = matches!(&entry.phase, WorkPhase::Ended { code, slot: None, .. }
                if code.ran() == crate::result_code::RanState::NotRun
                    || *code == ResultCode::CallMayHaveRun);
            if !may_try_again {
                return self.attach_caller(&key, arrival.caller, 0);
            }
            self.remove_ended(&key);
        }
        let deadline = submission.deadline.unwrap_or(arrival.default_deadline);
        let claim = (!repeatable).then(|| ClaimKey {
            workspace: arrival.workspace.into(),
            key: submission.key.clone(),
        });
        let phase = if claim.is_some() {
            WorkPhase::Claiming
        } else {
            WorkPhase::Queued { retry_at: None }
        };
        let route = submission.operation.clone();
        let body = WorkBody::Call {
            operation: submission.operation,
            body: submission.body,
            claim,
        };
        let entry = WorkEntry {
            workspace: arrival.workspace.into(),
            pool: submission.pool,
            route,
            tier: submission.tier,
            deadline: context.now + deadline,
            digest,
            phase,
            ..WorkEntry::new(key, body, arrival.caller, context.now)
        };
        self.admit(entry, arrival.caller, context)
    }

    /// Records a new key as used. Rejects a key that is too old: used keys expire from the memory,
    /// and an expired one could otherwise be dispatched a second time.
    fn register_key(&mut self, key: &str, context: &Context) -> Result<(), ResultCode> {
        let created_at = parse_key(key).ok_or(ResultCode::InvalidKey)?.created_at;
        let settings = &self.settings;
        if created_at + settings.max_key_age < context.unix_time
            || created_at > context.unix_time + settings.max_key_lead
        {
            return Err(ResultCode::KeyExpired);
        }
        match self.keys.state(key) {
            Some(KeyState::Abandoned) => return Err(ResultCode::KeyGivenUp),
            Some(KeyState::Used) => return Err(ResultCode::KeyUnknown),
            None => {}
        }
        if self.open >= settings.max_open || self.keys.len() >= settings.max_keys {
            return Err(ResultCode::HostFull);
        }
        self.keys.insert(key, KeyState::Used, context.unix_time);
        Ok(())
    }

    /// Adds a request to the table and requests its claim, or a permit for it.
    fn admit(&mut self, entry: WorkEntry, caller: CallerId, context: &Context) -> Vec<WorkEffect> {
        if self.open >= self.settings.max_open {
            return refuse(caller, ResultCode::HostFull);
        }
        let effect = match &entry.body {
            WorkBody::Call {
                claim: Some(claim), ..
            } => WorkEffect::Claim {
                claim: claim.clone(),
                digest: entry.digest,
            },
            WorkBody::Call { claim: None, .. } | WorkBody::Generate { .. } => WorkEffect::ToOwner {
                pool: entry.pool.clone(),
                message: PeerMessage::Enqueue(entry.ticket(context.now)),
            },
        };
        self.open += 1;
        self.by_caller.insert(caller, entry.key.clone());
        self.entries.insert(entry.key.clone(), entry);
        vec![effect]
    }

    /// Attaches a caller to a known request, to read its answer from index `from` onwards.
    pub(crate) fn attach_caller(
        &mut self,
        key: &str,
        caller: CallerId,
        from: u32,
    ) -> Vec<WorkEffect> {
        let Some(entry) = self.entries.get_mut(key) else {
            return refuse(caller, ResultCode::KeyUnknown);
        };
        entry.detached_since = None;
        let key = entry.key.clone();
        if let Some(reply) = immediate_reply(entry, from) {
            if matches!(reply, CallerReply::Attach { .. }) {
                entry.readers.insert(caller);
                self.by_caller.insert(caller, key);
            }
            return vec![reply_effect(caller, reply)];
        }
        entry.waiting.push((caller, from));
        self.by_caller.insert(caller, key);
        Vec::new()
    }

    /// Attaches a caller to a request if the request belongs to the workspace of the caller.
    pub(crate) fn resume(
        &mut self,
        key: &str,
        workspace: &str,
        caller: CallerId,
        from: u32,
    ) -> Vec<WorkEffect> {
        match self.entries.get(key) {
            None => refuse(caller, ResultCode::KeyUnknown),
            Some(entry) if entry.workspace != workspace => refuse(caller, ResultCode::Forbidden),
            Some(_) => self.attach_caller(key, caller, from),
        }
    }

    /// Cancels a request if it belongs to the workspace of the caller.
    pub(crate) fn cancel(
        &mut self,
        key: &str,
        workspace: &str,
        caller: CallerId,
        context: &Context,
    ) -> Vec<WorkEffect> {
        let Some(entry) = self.entries.get(key) else {
            return refuse(caller, ResultCode::KeyUnknown);
        };
        if entry.workspace != workspace {
            return refuse(caller, ResultCode::Forbidden);
        }
        let mut effects = self.cancel_entry(key, context);
        effects.push(reply_effect(caller, CallerReply::Cancelled));
        effects
    }

    /// Cancels a request that the caller no longer wants.
    pub(crate) fn cancel_entry(&mut self, key: &str, context: &Context) -> Vec<WorkEffect> {
        let Some(entry) = self.entries.get(key) else {
            return Vec::new();
        };
        match &entry.phase {
            WorkPhase::Claiming | WorkPhase::Ended { .. } => Vec::new(),
            WorkPhase::Queued { .. } => {
                self.end_undispatched(key, ResultCode::CancelledQueued, context)
            }
            WorkPhase::Running(slot) => {
                let effect = Effect::CancelStream {
                    address: slot.grant.address,
                    request_id: entry.request_id(),
                };
                // A service call cannot be cancelled; its outcome is still recorded.
                if matches!(entry.body, WorkBody::Call { .. }) {
                    return Vec::new();
                }
                let mut effects = self.end(key, ResultCode::Cancelled, context);
                effects.push(effect.into());
                effects
            }
        }
    }

    /// Ends a request that is not dispatched and withdraws it from the pool owner.
    pub(crate) fn end_undispatched(
        &mut self,
        key: &str,
        code: ResultCode,
        context: &Context,
    ) -> Vec<WorkEffect> {
        let Some(entry) = self.entries.get(key) else {
            return Vec::new();
        };
        let withdraw = WorkEffect::ToOwner {
            pool: entry.pool.clone(),
            message: PeerMessage::Withdraw {
                pool: entry.pool.clone(),
                key: entry.key.clone(),
            },
        };
        let mut effects = self.end(key, code, context);
        effects.push(withdraw);
        effects
    }

    /// Ends a request, records its result and replies to the callers that wait for it.
    pub(crate) fn end(
        &mut self,
        key: &str,
        code: ResultCode,
        context: &Context,
    ) -> Vec<WorkEffect> {
        let Some(entry) = self.entries.get_mut(key) else {
            return Vec::new();
        };
        if !entry.is_open() {
            return Vec::new();
        }
        let slot = match &entry.phase {
            WorkPhase::Running(slot) if code == ResultCode::Cancelled => Some(slot.clone()),
            WorkPhase::Running(_)
            | WorkPhase::Claiming
            | WorkPhase::Queued { .. }
            | WorkPhase::Ended { .. } => None,
        };
        entry.phase = WorkPhase::Ended { code, slot };
        entry.release_body();
        self.open -= 1;
        self.kept_bytes += entry.answer_bytes;
        self.ended.push_back((context.now, entry.key.clone()));
        let counter = match code {
            ResultCode::Completed => Counter::Ended(code),
            _ if code.ran() == crate::result_code::RanState::NotRun => Counter::Refused(code),
            _ => Counter::Ended(code),
        };
        let mut effects = vec![Effect::Count { counter }.into()];
        if entry.accepted_by.is_some() {
            let key = entry.key.clone();
            effects.push(Effect::EndStream { key, code }.into());
        }
        if let WorkBody::Call {
            claim: Some(claim), ..
        } = &entry.body
        {
            let result = entry.result.as_deref().map(str::to_owned).ok_or(code);
            let claim = claim.clone();
            effects.push(WorkEffect::ClaimFinished { claim, result });
        }
        for (caller, from) in std::mem::take(&mut entry.waiting) {
            if let Some(reply) = immediate_reply(entry, from) {
                self.by_caller.remove(&caller);
                effects.push(reply_effect(caller, reply));
            }
        }
        effects
    }

    /// Removes an ended request and its answer.
    pub(crate) fn remove_ended(&mut self, key: &str) {
        if let Some(entry) = self.entries.remove(key) {
            self.kept_bytes -= entry.answer_bytes;
        }
    }

    /// Detaches a caller that closed its connection.
    pub(crate) fn remove_caller(&mut self, caller: CallerId, now: Instant) {
        let Some(key) = self.by_caller.remove(&caller) else {
            return;
        };
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.waiting.retain(|(waiting, _)| *waiting != caller);
            entry.readers.remove(&caller);
            if entry.waiting.is_empty() && entry.readers.is_empty() {
                entry.detached_since = Some(now);
            }
        }
    }

    /// Answers the query of another host about a key of this home. An unknown key is recorded as
    /// abandoned, so that this host does not dispatch it later.
    pub(crate) fn answer_query(
        &mut self,
        key: &str,
        workspace: &str,
        context: &Context,
    ) -> HomeStatus {
        let Some(entry) = self.entries.get_mut(key) else {
            return match self.keys.state(key) {
                Some(KeyState::Used) => HomeStatus::Refused(ResultCode::KeyUnknown),
                Some(KeyState::Abandoned) => HomeStatus::GivenUp,
                // An abandoned key must be remembered; if the memory is full, the key is not
                // abandoned.
                None if self.keys.len() >= self.settings.max_keys => HomeStatus::Queued,
                None => {
                    self.keys
                        .insert(key, KeyState::Abandoned, context.unix_time);
                    HomeStatus::GivenUp
                }
            };
        };
        if entry.workspace != workspace {
            return HomeStatus::Forbidden;
        }
        let grant = match (&entry.phase, &entry.accepted_by) {
            (WorkPhase::Claiming | WorkPhase::Queued { .. }, _) => return HomeStatus::Queued,
            (WorkPhase::Running(slot), _) => slot.grant.clone(),
            // The endpoint retains the answer for as long as this host does.
            (WorkPhase::Ended { code, .. }, Some(grant)) if *code == ResultCode::Completed => {
                grant.clone()
            }
            (WorkPhase::Ended { code, .. }, _) => return HomeStatus::Refused(*code),
        };
        entry.resumed_elsewhere = true;
        HomeStatus::Dispatched {
            pool: entry.pool.clone(),
            endpoint: grant.endpoint,
            address: grant.address,
        }
    }

    /// Returns this host's queued and running requests in a pool, split into parts that fit into
    /// one message each.
    pub(crate) fn pool_sync(&self, pool: &str, now: Instant) -> Vec<PoolSync> {
        let mut queued = Vec::new();
        let mut running = Vec::new();
        for entry in self.entries.values().filter(|entry| entry.pool == pool) {
            match (&entry.phase, entry.slot()) {
                (_, Some(slot)) => running.push(entry.running_entry(slot, now)),
                (WorkPhase::Queued { retry_at: None }, None) => queued.push(entry.ticket(now)),
                _ => {}
            }
        }
        queued.sort_by(|left, right| left.key.cmp(&right.key));
        running.sort_by(|left, right| left.ticket.key.cmp(&right.ticket.key));
        split_sync(pool, queued, running)
    }
}

/// Returns the reply that a caller can receive immediately, if there is one.
fn immediate_reply(entry: &WorkEntry, from: u32) -> Option<CallerReply> {
    let is_call = matches!(entry.body, WorkBody::Call { .. });
    if let Some(grant) = entry.accepted_by.as_ref().filter(|_| !is_call) {
        return Some(CallerReply::Attach {
            key: entry.key.clone(),
            endpoint: grant.endpoint.clone(),
            from,
        });
    }
    let WorkPhase::Ended { code, .. } = &entry.phase else {
        return None;
    };
    Some(match (&entry.result, code) {
        (Some(result), ResultCode::Completed) => CallerReply::Result {
            key: entry.key.clone(),
            result: result.clone(),
        },
        _ => CallerReply::Refused {
            code: *code,
            detail: None,
        },
    })
}

/// Returns the effect that sends a reply to a caller.
pub(crate) fn reply_effect(caller: CallerId, reply: CallerReply) -> WorkEffect {
    Effect::Reply { caller, reply }.into()
}

/// Returns the effects that count a refusal and send it to the caller.
pub(crate) fn refuse(caller: CallerId, code: ResultCode) -> Vec<WorkEffect> {
    let counter = Counter::Refused(code);
    let reply = CallerReply::Refused { code, detail: None };
    vec![
        Effect::Count { counter }.into(),
        reply_effect(caller, reply),
    ]
}

/// Returns the slot of a dispatched request, and removes it if the request has ended.
pub(crate) fn take_slot(entry: &mut WorkEntry) -> Option<RunSlot> {
    match &mut entry.phase {
        WorkPhase::Ended { slot, .. } => slot.take(),
        WorkPhase::Running(slot) => Some(slot.clone()),
        WorkPhase::Claiming | WorkPhase::Queued { .. } => None,
    }
}
