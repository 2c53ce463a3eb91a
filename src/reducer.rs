//! The one reducer: an event changes the state and yields effects as data.

use crate::context::Context;
use crate::events::{Counter, Effect, Event, LogTopic};
use crate::messages::PeerMessage;
use crate::request::WorkEffect;
use crate::result_code::ResultCode;
use crate::state::State;
use crate::{reduce_caller, reduce_listing, reduce_log, reduce_operator, reduce_peer, reduce_pool};

/// Applies one event.
pub(crate) fn reduce(state: &mut State, event: Event, context: &mut Context) -> Vec<Effect> {
    let effects = match event {
        Event::Tick => tick(state, context),
        Event::Peer(envelope) => reduce_peer::receive(state, *envelope, context),
        Event::Listing(listing) => reduce_listing::take_listing(state, listing, context),
        Event::LogRead { topic, read } => match topic {
            LogTopic::Config => reduce_log::config_read(state, read, context),
            LogTopic::Claims => reduce_log::claims_read(state, read, context),
        },
        Event::AppendAnswered { append, answer } => {
            reduce_log::append_answered(state, append, answer, context)
        }
        Event::Caller { caller, token, ask } => {
            reduce_caller::ask(state, caller, token.as_deref(), ask, context)
        }
        Event::CallerGone { caller } => {
            state.requests.remove_caller(caller, context.now);
            state.lookups.remove_caller(caller);
            Vec::new()
        }
        Event::CallerRejected(code) => vec![count_refusal(code)],
        Event::PeerMalformed => vec![Effect::Count {
            counter: Counter::PeerMalformed,
        }],
        Event::PeerDropped => vec![Effect::Count {
            counter: Counter::PeerDropped,
        }],
        Event::Traffic(totals) => {
            let totals = totals.into_iter();
            let totals = totals.map(|(kind, total)| (Counter::Traffic(kind), total));
            state.counters.extend(totals);
            Vec::new()
        }
        Event::DispatchStarted { key, permit } => {
            let effects = state.requests.record_dispatch_started(&key, permit);
            route_work(state, effects, context)
        }
        Event::DispatchAccepted { key } => {
            let effects = state.requests.record_dispatch_accepted(&key);
            route_work(state, effects, context)
        }
        Event::DispatchEnded(end) => {
            let effects = state.requests.record_dispatch_ended(end, context);
            route_work(state, effects, context)
        }
        Event::StreamFound { caller, found } => {
            let effects = state.lookups.finish_search(caller, found);
            route_work(state, effects, context)
        }
        Event::Load {
            pool,
            endpoint,
            report,
        } => reduce_pool::load_answered(state, &pool, &endpoint, report.as_ref(), context),
        Event::CacheEvents {
            pool,
            endpoint,
            stored,
            evicted,
        } => {
            if let Some(pool) = state.pools.get_mut(&pool) {
                pool.record_cache_event(&endpoint, &stored, &evicted);
            }
            Vec::new()
        }
        Event::Operator {
            operator,
            token,
            request,
        } => reduce_operator::call(state, operator, token.as_deref(), request, context),
        Event::OperatorGone { operator } => {
            state.operators.gone(operator);
            Vec::new()
        }
        Event::Terminate => terminate(state, context),
    };
    for effect in &effects {
        if let Effect::Count { counter } = effect {
            *state.counters.entry(*counter).or_default() += 1;
        }
    }
    effects
}

fn count_refusal(code: ResultCode) -> Effect {
    Effect::Count {
        counter: Counter::Refused(code),
    }
}

fn tick(state: &mut State, context: &mut Context) -> Vec<Effect> {
    let mut effects = reduce_peer::tick(state, context);
    effects.extend(reduce_pool::tick(state, context));
    let work = state.requests.tick(context);
    effects.extend(route_work(state, work, context));
    let endpoints = state.engine_addresses();
    let work = state.lookups.tick(&endpoints, context.now);
    effects.extend(route_work(state, work, context));
    effects.extend(reduce_log::tick(state, context));
    effects.extend(reduce_operator::tick(state, context));
    effects.extend(check_exit(state, context));
    effects
}

/// Starts a graceful shutdown.
fn terminate(state: &mut State, context: &mut Context) -> Vec<Effect> {
    if state.leaving_since.is_some() {
        return Vec::new();
    }
    log::info!(open = state.requests.open(); "drain: leaving");
    state.leaving_since = Some(context.now);
    let effects = state.members.leave(context);
    reduce_peer::route_members(state, effects, context)
}

/// Ends the process once callers have forgotten this address and the last request has ended.
fn check_exit(state: &mut State, context: &Context) -> Vec<Effect> {
    let Some(since) = state.leaving_since else {
        return Vec::new();
    };
    let waited = context.now.saturating_duration_since(since);
    let drained = waited >= state.discovery_ttl && state.requests.is_drained();
    if !drained && waited < state.drain_limit {
        return Vec::new();
    }
    log::info!(open = state.requests.open(); "drain: exiting");
    let mut effects: Vec<Effect> = state
        .members
        .live_hosts(context.now)
        .into_iter()
        .filter(|(brief, _)| brief.incarnation != context.brief.incarnation)
        .map(|(brief, _)| Effect::Send {
            to: brief.peer_address,
            message: PeerMessage::Goodbye,
        })
        .collect();
    effects.push(Effect::Exit);
    effects
}

/// Performs what the request table asked for: messages to owners, claims, plain effects.
pub(crate) fn route_work(
    state: &mut State,
    work: Vec<WorkEffect>,
    context: &mut Context,
) -> Vec<Effect> {
    let mut effects = Vec::new();
    for effect in work {
        match effect {
            WorkEffect::Plain(effect) => effects.push(effect),
            WorkEffect::ToOwner { pool, message } => {
                effects.extend(reduce_pool::send_to_owner(state, &pool, message, context));
            }
            WorkEffect::Claim { claim, digest } => {
                let answer = state.claims.request(claim.clone(), digest, context);
                effects.extend(reduce_log::claim_decided(state, &claim, answer, context));
            }
            WorkEffect::ClaimFinished { claim, result } => {
                state.claims.record_outcome(&claim, result, context);
            }
        }
    }
    effects
}
