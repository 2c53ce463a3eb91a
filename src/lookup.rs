//! Lookups of requests whose home is another host.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::events::{CallerId, CallerReply, Effect};
use crate::ids::{FastMap, RequestKey, WorkspaceName};
use crate::messages::{HomeStatus, PeerMessage};
use crate::prefix::endpoint_request_id;
use crate::request::{WorkEffect, refuse, reply_effect};
use crate::result_code::ResultCode;

/// Maximum wait for the answer of a home.
const HOME_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum duration of the search for a stream at the endpoints.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_LOOKUPS: usize = 10_000;

#[derive(Clone, Debug)]
struct LookupEntry {
    key: RequestKey,
    workspace: WorkspaceName,
    /// Index of the first chunk that the caller wants to read.
    from: u32,
    /// Whether the caller cancels the request instead of reading its answer.
    cancel: bool,
    /// Start of the query to the home, or of the search at the endpoints.
    started: Instant,
    is_searching: bool,
}

/// Lookups in progress, by caller.
#[derive(Default)]
pub(crate) struct LookupTable {
    entries: FastMap<CallerId, LookupEntry>,
}

/// Request of a caller for a key that belongs to another home.
pub(crate) struct LookupRequest {
    pub caller: CallerId,
    pub key: RequestKey,
    pub workspace: WorkspaceName,
    pub from: u32,
    pub cancel: bool,
}

impl LookupTable {
    /// Queries the home, or searches the endpoints at once if the home is unknown.
    pub(crate) fn start(
        &mut self,
        request: LookupRequest,
        home: Option<SocketAddr>,
        endpoints: &[SocketAddr],
        now: Instant,
    ) -> Vec<WorkEffect> {
        if self.entries.len() >= MAX_LOOKUPS {
            return refuse(request.caller, ResultCode::HostFull);
        }
        let caller = request.caller;
        let message = PeerMessage::HomeQuery {
            key: request.key.clone(),
            workspace: request.workspace.clone(),
        };
        self.entries.insert(
            caller,
            LookupEntry {
                key: request.key,
                workspace: request.workspace,
                from: request.from,
                cancel: request.cancel,
                started: now,
                is_searching: false,
            },
        );
        match home {
            Some(to) => vec![Effect::Send { to, message }.into()],
            None => self.start_search(caller, endpoints, now),
        }
    }

    /// Searches the endpoints for the stream, because the home is unknown or does not answer.
    fn start_search(
        &mut self,
        caller: CallerId,
        endpoints: &[SocketAddr],
        now: Instant,
    ) -> Vec<WorkEffect> {
        let Some(entry) = self.entries.get_mut(&caller) else {
            return Vec::new();
        };
        entry.is_searching = true;
        entry.started = now;
        let request_id = endpoint_request_id(&entry.workspace, &entry.key);
        vec![
            Effect::FindStream {
                caller,
                request_id,
                candidates: endpoints.to_vec(),
            }
            .into(),
        ]
    }

    /// Answers every caller of the workspace that waits for this key. The answer of the home
    /// differs between workspaces.
    pub(crate) fn apply_home_answer(
        &mut self,
        key: &str,
        workspace: &str,
        status: &HomeStatus,
    ) -> Vec<WorkEffect> {
        let mut callers: Vec<CallerId> = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                entry.key == key && entry.workspace == workspace && !entry.is_searching
            })
            .map(|(caller, _)| *caller)
            .collect();
        callers.sort_unstable();
        let mut effects = Vec::new();
        for caller in callers {
            let Some(entry) = self.entries.remove(&caller) else {
                continue;
            };
            effects.extend(answer_caller(caller, &entry, status));
        }
        effects
    }

    /// Answers the caller after the search at the endpoints ended.
    pub(crate) fn finish_search(
        &mut self,
        caller: CallerId,
        found: Option<SocketAddr>,
    ) -> Vec<WorkEffect> {
        let Some(entry) = self.entries.remove(&caller) else {
            return Vec::new();
        };
        match found {
            Some(address) => resume_or_cancel(caller, &entry, address),
            // The home may be paused and still hold the request in its queue.
            None => refuse(caller, ResultCode::MayHaveRun),
        }
    }

    pub(crate) fn remove_caller(&mut self, caller: CallerId) {
        self.entries.remove(&caller);
    }

    pub(crate) fn tick(&mut self, endpoints: &[SocketAddr], now: Instant) -> Vec<WorkEffect> {
        let mut unanswered = Vec::new();
        let mut not_found = Vec::new();
        for (caller, entry) in &self.entries {
            let age = now.saturating_duration_since(entry.started);
            if entry.is_searching && age >= SEARCH_TIMEOUT {
                not_found.push(*caller);
            } else if !entry.is_searching && age >= HOME_TIMEOUT {
                unanswered.push(*caller);
            }
        }
        unanswered.sort_unstable();
        not_found.sort_unstable();
        let mut effects = Vec::new();
        for caller in unanswered {
            effects.extend(self.start_search(caller, endpoints, now));
        }
        for caller in not_found {
            effects.extend(self.finish_search(caller, None));
        }
        effects
    }
}

fn answer_caller(caller: CallerId, entry: &LookupEntry, status: &HomeStatus) -> Vec<WorkEffect> {
    match status {
        HomeStatus::GivenUp if entry.cancel => vec![reply_effect(caller, CallerReply::Cancelled)],
        HomeStatus::GivenUp => refuse(caller, ResultCode::KeyGivenUp),
        HomeStatus::Queued => refuse(caller, ResultCode::InProgress),
        HomeStatus::Refused(code) => refuse(caller, *code),
        HomeStatus::Forbidden => refuse(caller, ResultCode::Forbidden),
        HomeStatus::Dispatched { address, .. } => resume_or_cancel(caller, entry, *address),
    }
}

fn resume_or_cancel(caller: CallerId, entry: &LookupEntry, address: SocketAddr) -> Vec<WorkEffect> {
    let request_id = endpoint_request_id(&entry.workspace, &entry.key);
    if entry.cancel {
        let effect = Effect::CancelStream {
            address,
            request_id,
        };
        return vec![effect.into(), reply_effect(caller, CallerReply::Cancelled)];
    }
    let reply = CallerReply::ResumeAt {
        address,
        request_id,
        key: entry.key.clone(),
        from: entry.from,
    };
    vec![reply_effect(caller, reply)]
}
