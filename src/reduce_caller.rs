//! Events of callers: discovery, requests, calls, resumes and cancels.

use std::time::Duration;

use crate::claim::ClaimKey;
use crate::claim_record::parse_timestamp;
use crate::context::Context;
use crate::discovery::{DiscoveryScope, list_addresses};
use crate::events::{
    AddressAnswer, CallSubmission, CallerAsk, CallerId, CallerReply, Effect, ModelSubmission,
};
use crate::ids::{Incarnation, PoolKind, WorkspaceName, format_incarnation, parse_key};
use crate::lookup::LookupRequest;
use crate::reducer::route_work;
use crate::request::{Arrival, WorkEffect, refuse, reply_effect};
use crate::result_code::ResultCode;
use crate::state::State;

/// Addresses that discovery gives out at most.
const MAX_ADDRESSES: usize = 16;

pub(crate) fn ask(
    state: &mut State,
    caller: CallerId,
    token: Option<&str>,
    ask: CallerAsk,
    context: &mut Context,
) -> Vec<Effect> {
    let work = match ask {
        CallerAsk::Hosts => vec![reply_effect(caller, hosts(state, context))],
        CallerAsk::Submit(submission) => match check_caller(state, token) {
            Ok(workspace) => submit(state, caller, &workspace, submission, context),
            Err(code) => refuse(caller, code),
        },
        CallerAsk::Call(submission) => match check_caller(state, token) {
            Ok(workspace) => call(state, caller, &workspace, submission, context),
            Err(code) => refuse(caller, code),
        },
        CallerAsk::Resume { key, from } => match check_caller(state, token) {
            Ok(workspace) => by_key(state, caller, workspace, key, Some(from), context),
            Err(code) => refuse(caller, code),
        },
        CallerAsk::Cancel { key } => match check_caller(state, token) {
            Ok(workspace) => by_key(state, caller, workspace, key, None, context),
            Err(code) => refuse(caller, code),
        },
    };
    route_work(state, work, context)
}

fn hosts(state: &mut State, context: &Context) -> CallerReply {
    state.discovery_turn = state.discovery_turn.wrapping_add(1);
    let live = state.members.live_hosts(context.now);
    let names = live.iter().map(|(brief, _)| &brief.name);
    let drained = names
        .filter(|name| state.config.is_host_drained(name))
        .cloned()
        .collect();
    let zones = live.iter().map(|(brief, _)| &brief.zone);
    let zones_out = zones
        .filter(|zone| state.config.is_zone_out(zone))
        .cloned()
        .collect();
    let scope = DiscoveryScope {
        drained: &drained,
        zones_out: &zones_out,
        own_zone: &context.brief.zone,
        rotation: state.discovery_turn,
        limit: MAX_ADDRESSES,
    };
    let hosts = list_addresses(&live, &scope);
    CallerReply::Hosts(
        hosts
            .into_iter()
            .map(|brief| AddressAnswer {
                address: brief.caller_address,
                home: format_incarnation(brief.incarnation),
                zone: brief.zone.clone(),
            })
            .collect(),
    )
}

/// The workspace of a caller's token.
fn check_caller(state: &State, token: Option<&str>) -> Result<WorkspaceName, ResultCode> {
    let token = token.ok_or(ResultCode::MissingCredentials)?;
    if state.config.version() == 0 {
        return Err(ResultCode::NotReady);
    }
    state
        .config
        .workspace_by_token(token)
        .map(|workspace| workspace.name.clone())
        .ok_or(ResultCode::WrongCredentials)
}

/// Checks that hold for requests and calls alike; gives the default deadline of the tier.
fn check_work(
    state: &State,
    pool: &str,
    kind: PoolKind,
    tier: u8,
    context: &Context,
) -> Result<Duration, ResultCode> {
    if state
        .config
        .pool(pool)
        .is_none_or(|entry| entry.kind != kind)
    {
        return Err(ResultCode::UnknownPool);
    }
    let tier = state.config.tier(tier).ok_or(ResultCode::UnknownTier)?;
    let leaving_for = state
        .leaving_since
        .map(|since| context.now.saturating_duration_since(since));
    // Callers may use a cached address until discovery's answers have expired.
    if leaving_for.is_some_and(|waited| waited >= state.discovery_ttl) {
        return Err(ResultCode::Draining);
    }
    let ownerless_timeout = state.requests.settings.ownerless_timeout;
    let ownerless_for = state
        .ownerless
        .get(pool)
        .map(|since| context.now.saturating_duration_since(*since));
    if ownerless_for.is_some_and(|waited| waited >= ownerless_timeout) {
        return Err(ResultCode::Isolated);
    }
    Ok(Duration::from_millis(tier.default_deadline_ms))
}

fn submit(
    state: &mut State,
    caller: CallerId,
    workspace: &str,
    submission: ModelSubmission,
    context: &Context,
) -> Vec<WorkEffect> {
    let Some(parts) = parse_key(&submission.key) else {
        return refuse(caller, ResultCode::InvalidKey);
    };
    if parts.home != context.brief.incarnation {
        let key = submission.key;
        let workspace = workspace.into();
        return look_up(state, caller, workspace, parts.home, key, Some(0), context);
    }
    let checked = check_work(
        state,
        &submission.pool,
        PoolKind::Engine,
        submission.tier,
        context,
    );
    let known = state.requests.entries.contains_key(&submission.key);
    match checked {
        // A re-send of a request that is already here is answered whatever the host's state.
        Err(code) if !known => refuse(caller, code),
        checked => {
            let arrival = Arrival {
                caller,
                workspace,
                default_deadline: checked.unwrap_or_default(),
            };
            state.requests.submit(submission, &arrival, context)
        }
    }
}

fn call(
    state: &mut State,
    caller: CallerId,
    workspace: &str,
    submission: CallSubmission,
    context: &Context,
) -> Vec<WorkEffect> {
    let checked = check_work(
        state,
        &submission.pool,
        PoolKind::Service,
        submission.tier,
        context,
    );
    let default_deadline = match checked {
        Ok(deadline) => deadline,
        Err(code) => return refuse(caller, code),
    };
    // The configuration decides; a caller can only be stricter.
    let listed = state
        .config
        .pool(&submission.pool)
        .is_some_and(|pool| pool.non_idempotent.contains(&submission.operation));
    let repeatable = submission.idempotent && !listed;
    if parse_timestamp(&submission.key).is_none() {
        return refuse(caller, ResultCode::KeyAge);
    }
    let arrival = Arrival {
        caller,
        workspace,
        default_deadline,
    };
    state
        .requests
        .submit_call(submission, repeatable, &arrival, context)
}

/// Resumes (with an index) or cancels (without) by key.
fn by_key(
    state: &mut State,
    caller: CallerId,
    workspace: WorkspaceName,
    key: crate::ids::RequestKey,
    from: Option<u32>,
    context: &Context,
) -> Vec<WorkEffect> {
    let Some(parts) = parse_key(&key) else {
        return refuse(caller, ResultCode::InvalidKey);
    };
    if parts.home != context.brief.incarnation {
        return look_up(state, caller, workspace, parts.home, key, from, context);
    }
    match from {
        Some(from) => state.requests.resume(&key, &workspace, caller, from),
        None => state.requests.cancel(&key, &workspace, caller, context),
    }
}

fn look_up(
    state: &mut State,
    caller: CallerId,
    workspace: WorkspaceName,
    home: Incarnation,
    key: crate::ids::RequestKey,
    from: Option<u32>,
    context: &Context,
) -> Vec<WorkEffect> {
    let home = state
        .members
        .find(home, context.now)
        .map(|brief| brief.peer_address);
    let endpoints = state.engine_addresses();
    let ask = LookupRequest {
        caller,
        key,
        workspace,
        from: from.unwrap_or(0),
        cancel: from.is_none(),
    };
    state.lookups.start(ask, home, &endpoints, context.now)
}

/// The claim key of a call, as the claims topic names it.
pub(crate) fn work_key(claim: &ClaimKey) -> crate::work_entry::WorkKey {
    crate::prefix::endpoint_request_id(&claim.workspace, &claim.key).into()
}
