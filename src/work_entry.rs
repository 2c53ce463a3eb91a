//! One model request or service call at its home, from arrival to end.

use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::claim::ClaimKey;
use crate::events::{CallerId, DispatchOrder, DispatchWork};
use crate::ids::{
    ContentDigest, FastSet, PoolName, RequestKey, RouteName, TierNumber, WorkspaceName,
};
use crate::messages::{PermitGrant, QueueTicket, RunningEntry};
use crate::prefix::{PromptShape, endpoint_request_id};
use crate::result_code::ResultCode;

/// Name of a request within this host and at the pool owner. A model request's key is unique by
/// its home; a call's key is chosen by its caller and carries a tag of the workspace here.
pub(crate) type WorkKey = RequestKey;

#[derive(Clone, Debug)]
pub(crate) enum WorkBody {
    Generate {
        prompt: Rc<str>,
        max_tokens: u32,
    },
    Call {
        operation: CompactString,
        body: Rc<str>,
        /// Present when the call must not be repeated.
        claim: Option<ClaimKey>,
    },
}

/// The endpoint that a request was dispatched to, or is about to be.
#[derive(Clone, Debug)]
pub(crate) struct RunSlot {
    pub grant: PermitGrant,
    pub since: Instant,
}

#[derive(Clone, Debug)]
pub(crate) enum WorkPhase {
    /// Waits for the claim in the log.
    Claiming,
    /// Waits for a permit; with `retry_at`, for the end of a back-off.
    Queued { retry_at: Option<Instant> },
    /// A permit is being used.
    Running(RunSlot),
    Ended {
        code: ResultCode,
        /// Set until the endpoint's stream has ended as well.
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
    /// Permit of the endpoint that accepted the request; the answer can be read from the buffer.
    pub accepted_by: Option<PermitGrant>,
    /// Result of a service call.
    pub result: Option<String>,
    /// Callers without an answer so far, with the index that they want to read from.
    pub waiting: Vec<(CallerId, u32)>,
    /// Callers that read the answer.
    pub readers: FastSet<CallerId>,
    /// Since when nobody waits or reads.
    pub detached_since: Option<Instant>,
    /// Another host resumed the stream for the caller.
    pub resumed_elsewhere: bool,
    pub attempts: u32,
}

impl WorkEntry {
    /// A new request with one caller that waits; the rest is for the maker to fill in.
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
            waiting: vec![(caller, 0)],
            readers: FastSet::default(),
            detached_since: None,
            resumed_elsewhere: false,
            attempts: 0,
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        !matches!(self.phase, WorkPhase::Ended { .. })
    }

    /// Name under which the endpoint knows the request.
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

    /// The work that a permit allows.
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
                prompt: Rc::clone(prompt),
                max_tokens: *max_tokens,
            },
            WorkBody::Call {
                operation, body, ..
            } => DispatchWork::Call {
                workspace: self.workspace.clone(),
                operation: operation.clone(),
                body: Rc::clone(body),
                timeout: call_timeout,
            },
        };
        DispatchOrder { grant, work }
    }

    /// The endpoint slot, while the request runs or its stream has yet to end.
    pub(crate) fn slot(&self) -> Option<&RunSlot> {
        match &self.phase {
            WorkPhase::Running(slot) => Some(slot),
            WorkPhase::Ended { slot, .. } => slot.as_ref(),
            WorkPhase::Claiming | WorkPhase::Queued { .. } => None,
        }
    }
}
