//! Requests whose home is another host: what is asked there, and what callers are told.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::events::{CallerId, CallerReply, Effect};
use crate::ids::{FastMap, RequestKey, WorkspaceName};
use crate::messages::{HomeStatus, PeerMessage};
use crate::prefix::endpoint_request_id;
use crate::request::{WorkEffect, refuse, reply_effect};
use crate::result_code::ResultCode;

/// Longest wait for a home's answer.
const HOME_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest search for a stream at the endpoints.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_LOOKUPS: usize = 10_000;

#[derive(Clone, Debug)]
struct LookupEntry {
    key: RequestKey,
    workspace: WorkspaceName,
    from: u32,
    /// True if the caller wants to cancel, not to read.
    cancel: bool,
    since: Instant,
    searching: bool,
}

/// Open lookups by caller.
#[derive(Default)]
pub(crate) struct LookupTable {
    entries: FastMap<CallerId, LookupEntry>,
}

/// A caller's question about a key of another home.
pub(crate) struct LookupRequest {
    pub caller: CallerId,
    pub key: RequestKey,
    pub workspace: WorkspaceName,
    pub from: u32,
    pub cancel: bool,
}

impl LookupTable {
    /// Asks the home, or searches the endpoints at once when the home is not known.
    pub(crate) fn start(
        &mut self,
        ask: LookupRequest,
        home: Option<SocketAddr>,
        endpoints: &[SocketAddr],
        now: Instant,
    ) -> Vec<WorkEffect> {
        if self.entries.len() >= MAX_LOOKUPS {
            return refuse(ask.caller, ResultCode::HostFull);
        }
        let caller = ask.caller;
        let message = PeerMessage::HomeQuery {
            key: ask.key.clone(),
            workspace: ask.workspace.clone(),
        };
        self.entries.insert(
            caller,
            LookupEntry {
                key: ask.key,
                workspace: ask.workspace,
                from: ask.from,
                cancel: ask.cancel,
                since: now,
                searching: false,
            },
        );
        match home {
            Some(to) => vec![Effect::Send { to, message }.into()],
            None => self.search(caller, endpoints, now),
        }
    }

    /// Looks for the stream at the endpoints: the home is silent.
    fn search(
        &mut self,
        caller: CallerId,
        endpoints: &[SocketAddr],
        now: Instant,
    ) -> Vec<WorkEffect> {
        let Some(entry) = self.entries.get_mut(&caller) else {
            return Vec::new();
        };
        entry.searching = true;
        entry.since = now;
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

    /// The home answered a workspace; each of its callers that waits for this key is told. The
    /// answer differs between workspaces.
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
                entry.key == key && entry.workspace == workspace && !entry.searching
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

    /// The search at the endpoints ended.
    pub(crate) fn finish_search(
        &mut self,
        caller: CallerId,
        found: Option<SocketAddr>,
    ) -> Vec<WorkEffect> {
        let Some(entry) = self.entries.remove(&caller) else {
            return Vec::new();
        };
        match found {
            Some(address) => read_at(caller, &entry, address),
            // The home may be paused with the request still in its queue.
            None => refuse(caller, ResultCode::MayHaveRun),
        }
    }

    pub(crate) fn remove_caller(&mut self, caller: CallerId) {
        self.entries.remove(&caller);
    }

    pub(crate) fn tick(&mut self, endpoints: &[SocketAddr], now: Instant) -> Vec<WorkEffect> {
        let mut silent = Vec::new();
        let mut lost = Vec::new();
        for (caller, entry) in &self.entries {
            let age = now.saturating_duration_since(entry.since);
            if entry.searching && age >= SEARCH_TIMEOUT {
                lost.push(*caller);
            } else if !entry.searching && age >= HOME_TIMEOUT {
                silent.push(*caller);
            }
        }
        silent.sort_unstable();
        lost.sort_unstable();
        let mut effects = Vec::new();
        for caller in silent {
            effects.extend(self.search(caller, endpoints, now));
        }
        for caller in lost {
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
        HomeStatus::Dispatched { address, .. } => read_at(caller, entry, *address),
    }
}

fn read_at(caller: CallerId, entry: &LookupEntry, address: SocketAddr) -> Vec<WorkEffect> {
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
