//! State of a model request or service call at its home, from arrival to its end.

use std::time::{Duration, Instant};

use caller_limits::HeldText;
use compact_str::CompactString;

use crate::claim::ClaimKey;
use crate::events::{CallerId, DispatchOrder, DispatchWork};
use crate::ids::{
    ContentDigest, FastSet, PoolName, RequestKey, RouteName, TierNumber, WorkspaceName,
};
use crate::messages::{PermitGrant, QueueTicket, RunningEntry};
use crate::prefix::{PromptShape, endpoint_request_id};
use crate::result_code::ResultCode;

/// Key of a request on this host and at the pool owner. The key of a model request is unique
/// because it contains the home. The caller chooses the key of a service call, to which this host
/// adds a tag of the workspace.
pub(crate) type WorkKey = RequestKey;

#[derive(Clone, Debug)]
pub(crate) enum WorkBody {
    Generate {
        prompt: HeldText,
        max_tokens: u32,
    },
    Call {
        operation: CompactString,
        body: HeldText,
        /// Claim of a call that must not run twice; `None` for an idempotent call.
        claim: Option<ClaimKey>,
    },
}

/// The slot at an endpoint to which a request was or will be dispatched.
#[derive(Clone, Debug)]
pub(crate) struct RunSlot {
    pub grant: PermitGrant,
    pub since: Instant,
}

#[derive(Clone, Debug)]
pub(crate) enum WorkPhase {
    /// Waits for the decision on its claim.
    Claiming,
    /// Waits for a permit, or until `retry_at` for the end of a backoff.
    Queued { retry_at: Option<Instant> },
    /// Uses a permit at an endpoint.
    Running(RunSlot),
    Ended {
        code: ResultCode,
        /// Slot that is still in use, until the stream of the endpoint has ended too.
        slot: Option<RunSlot>,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct WorkEntry {
    pub key: WorkKey,
    pub workspace: WorkspaceName,
    pub pool: PoolName,
    pub route: RouteName,
    pub tier: TierNumber,
    pub deadline: Instant,
    pub digest: ContentDigest,
    pub shape: PromptShape,
    pub body: WorkBody,
    pub phase: WorkPhase,
    /// Permit of the endpoint that accepted the request. The answer is then read from the buffer.
    pub accepted_by: Option<PermitGrant>,
    /// Result of a service call.
    pub result: Option<HeldText>,
    /// Size of the answer that is kept.
    pub answer_bytes: usize,
    /// Callers that have received no answer yet, with the index from which they read.
    pub waiting: Vec<(CallerId, u32)>,
    /// Callers that are reading the answer.
    pub readers: FastSet<CallerId>,
    /// Time since which no caller waits or reads.
    pub detached_since: Option<Instant>,
    /// Whether another host resumed the stream for the caller.
    pub resumed_elsewhere: bool,
    pub attempts: u32,
}

impl WorkEntry {
    /// Returns a new request with one waiting caller. The caller of this function sets the other
    /// fields.
    pub(crate) fn new(key: WorkKey, body: WorkBody, caller: CallerId, now: Instant) -> Self {
        Self {
            key,
            workspace: WorkspaceName::default(),
            pool: PoolName::default(),
            route: RouteName::default(),
            tier: TierNumber::default(),
            deadline: now,
            digest: ContentDigest::default(),
            shape: PromptShape {
                tokens: 1,
                prefix_blocks: Vec::new(),
            },
            body,
            phase: WorkPhase::Queued { retry_at: None },
            accepted_by: None,
            result: None,
            answer_bytes: 0,
            waiting: vec![(caller, 0)],
            readers: FastSet::default(),
            detached_since: None,
            resumed_elsewhere: false,
            attempts: 0,
        }
    }

    /// Gives back the memory of a body that is no longer needed.
    pub(crate) fn release_body(&mut self) {
        match &mut self.body {
            WorkBody::Generate { prompt: text, .. } | WorkBody::Call { body: text, .. } => {
                *text = HeldText::from("");
            }
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        !matches!(self.phase, WorkPhase::Ended { .. })
    }

    /// Returns the request id that is sent to the endpoint.
    pub(crate) fn request_id(&self) -> String {
        match self.body {
            WorkBody::Generate { .. } => endpoint_request_id(&self.workspace, &self.key),
            WorkBody::Call { .. } => self.key.to_string(),
        }
    }

    pub(crate) fn max_tokens(&self) -> u32 {
        match self.body {
            WorkBody::Generate { max_tokens, .. } => max_tokens,
            WorkBody::Call { .. } => 1,
        }
    }

    pub(crate) fn ticket(&self, now: Instant) -> QueueTicket {
        QueueTicket {
            key: self.key.clone(),
            pool: self.pool.clone(),
            workspace: self.workspace.clone(),
            tier: self.tier,
            route: self.route.clone(),
            deadline_in: self.deadline.saturating_duration_since(now),
            prompt_tokens: self.shape.tokens,
            max_tokens: self.max_tokens(),
            prefix_blocks: self.shape.prefix_blocks.clone(),
            digest: self.digest,
        }
    }

    pub(crate) fn running_entry(&self, slot: &RunSlot, now: Instant) -> RunningEntry {
        RunningEntry {
            ticket: self.ticket(now),
            endpoint: slot.grant.endpoint.clone(),
            permit: slot.grant.permit,
            version: slot.grant.version.clone(),
            running_for: now.saturating_duration_since(slot.since),
        }
    }

    /// Returns the order to dispatch the request under a permit.
    pub(crate) fn dispatch_order(
        &self,
        grant: PermitGrant,
        call_timeout: Duration,
    ) -> DispatchOrder {
        let work = match &self.body {
            WorkBody::Generate { prompt, max_tokens } => DispatchWork::Generate {
                request_id: self.request_id(),
                model: self.pool.clone(),
                route: self.route.clone(),
                prompt: prompt.clone(),
                max_tokens: *max_tokens,
            },
            WorkBody::Call {
                operation, body, ..
            } => DispatchWork::Call {
                workspace: self.workspace.clone(),
                operation: operation.clone(),
                body: body.clone(),
                timeout: call_timeout,
            },
        };
        DispatchOrder { grant, work }
    }

    /// Returns the slot at the endpoint while the request runs or its stream has not ended.
    pub(crate) fn slot(&self) -> Option<&RunSlot> {
        match &self.phase {
            WorkPhase::Running(slot) => Some(slot),
            WorkPhase::Ended { slot, .. } => slot.as_ref(),
            WorkPhase::Claiming | WorkPhase::Queued { .. } => None,
        }
    }
}
