//! Pools: who owns them, their views, messages between homes and owners, and polls of load.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::context::Context;
use crate::events::{Counter, Effect, LogTopic};
use crate::ids::{FastSet, HostBrief, Incarnation, PoolName, ZoneName};
use crate::messages::{PeerMessage, PermitGrant, PoolWork};
use crate::pool::{LoadReport, PoolEffect, PoolState, PoolView};
use crate::reducer::route_work;
use crate::result_code::ResultCode;
use crate::rollout::RolloutProposal;
use crate::state::{AppendPurpose, State};
use crate::{reduce_operator, reduce_peer};

/// Time between two load polls of an endpoint.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The pool's configuration and endpoints, as this host sees them.
fn build_view(state: &State, name: &str) -> Option<PoolView> {
    let pool = state.config.pool(name)?;
    let endpoints: Vec<_> = state
        .endpoints
        .iter()
        .filter(|endpoint| endpoint.pool == name)
        .cloned()
        .collect();
    let excluded: FastSet<_> = endpoints
        .iter()
        .filter(|endpoint| state.is_excluded(endpoint))
        .map(|endpoint| endpoint.name.clone())
        .collect();
    let document = state.config.document();
    Some(PoolView {
        excluded,
        endpoints,
        version: pool.version.clone(),
        rollout: state.config.running_rollout(name).cloned(),
        weights: document
            .workspaces
            .iter()
            .map(|workspace| (workspace.name.clone(), workspace.weight))
            .collect(),
        config_version: state.config.version(),
    })
}

/// Hands the current view to every owned pool.
pub(crate) fn refresh_views(state: &mut State, context: &mut Context) -> Vec<Effect> {
    let mut names: Vec<PoolName> = state.pools.keys().cloned().collect();
    names.sort();
    let mut effects = Vec::new();
    for name in names {
        let Some(view) = build_view(state, &name) else {
            state.pools.remove(&name);
            continue;
        };
        if let Some(pool) = state.pools.get_mut(&name) {
            let pool_effects = pool.set_view(view, context);
            effects.extend(route_pool(state, &name, pool_effects, context));
        }
    }
    effects
}

pub(crate) fn ownership_gained(
    state: &mut State,
    name: &PoolName,
    context: &mut Context,
) -> Vec<Effect> {
    let Some(view) = build_view(state, name) else {
        return Vec::new();
    };
    log::info!(pool:% = name; "pool: ownership gained");
    let mut pool = PoolState::new(name.clone(), state.pool_settings.clone(), context.now);
    let mut pool_effects = pool.set_view(view, context);
    for brake in state.brakes.iter().filter(|brake| brake.pool == *name) {
        pool.adopt_brake(brake);
    }
    for (heard, suspect) in state
        .suspects
        .iter()
        .filter(|(_, entry)| entry.pool == *name)
    {
        let mut entry = suspect.clone();
        entry.age += context.now.saturating_duration_since(*heard);
        pool.adopt_suspect(&entry, context.now);
    }
    for part in state.requests.pool_sync(name, context.now) {
        pool_effects.extend(pool.apply_sync(context.brief.incarnation, part, context));
    }
    state.pools.insert(name.clone(), pool);
    let mut effects = route_pool(state, name, pool_effects, context);
    for host in reduce_peer::other_hosts(state, context) {
        effects.push(Effect::Send {
            to: host.peer_address,
            message: PeerMessage::SyncRequest { pool: name.clone() },
        });
    }
    effects
}

/// This host follows another owner now: everything that it has in the pool goes there.
pub(crate) fn owner_changed(
    state: &mut State,
    name: &PoolName,
    owner: Option<&HostBrief>,
    context: &mut Context,
) -> Vec<Effect> {
    let Some(owner) = owner else {
        state.ownerless.entry(name.clone()).or_insert(context.now);
        return Vec::new();
    };
    state.ownerless.remove(name);
    log::info!(pool:% = name, owner:% = owner.name; "pool: follows an owner");
    let counter = Counter::OwnerChanged;
    let mut effects = vec![Effect::Count { counter }];
    effects.extend(send_sync(state, name, context));
    effects
}

/// Tells the pool's owner everything that this host has in the pool.
fn send_sync(state: &mut State, name: &PoolName, context: &mut Context) -> Vec<Effect> {
    let parts = state.requests.pool_sync(name, context.now);
    let messages = parts.into_iter().map(PeerMessage::PoolSync);
    messages
        .flat_map(|message| send_to_owner(state, name, message, context))
        .collect()
}

/// Sends a message to the pool's owner, which may be this host. Without an owner it is dropped:
/// the next owner gets a full `PoolSync`.
pub(crate) fn send_to_owner(
    state: &mut State,
    pool: &str,
    message: PeerMessage,
    context: &mut Context,
) -> Vec<Effect> {
    let Some(owner) = state.members.owner(pool, context.now) else {
        return Vec::new();
    };
    if owner.incarnation == context.brief.incarnation {
        return from_home(state, context.brief.incarnation, message, context);
    }
    let to = owner.peer_address;
    vec![Effect::Send { to, message }]
}

/// Handles a home's message about a pool that this host owns; others are ignored.
pub(crate) fn from_home(
    state: &mut State,
    home: Incarnation,
    message: PeerMessage,
    context: &mut Context,
) -> Vec<Effect> {
    let name = match &message {
        PeerMessage::PoolSync(sync) => &sync.pool,
        PeerMessage::Enqueue(ticket) => &ticket.pool,
        PeerMessage::Finished(report) => &report.pool,
        PeerMessage::Withdraw { pool, .. }
        | PeerMessage::PermitReturned { pool, .. }
        | PeerMessage::Started { pool, .. } => pool,
        PeerMessage::Heartbeat(_)
        | PeerMessage::Goodbye
        | PeerMessage::SnapshotRequest
        | PeerMessage::Snapshot(_)
        | PeerMessage::ConfigRecords(_)
        | PeerMessage::SyncRequest { .. }
        | PeerMessage::WorkQuery
        | PeerMessage::PoolWork(_)
        | PeerMessage::Permit(_)
        | PeerMessage::Refused { .. }
        | PeerMessage::HomeQuery { .. }
        | PeerMessage::HomeAnswer { .. } => return Vec::new(),
    };
    let name = name.clone();
    let Some(pool) = state.pools.get_mut(&name) else {
        return Vec::new();
    };
    let mut pool_effects = match message {
        PeerMessage::PoolSync(sync) => pool.apply_sync(home, sync, context),
        PeerMessage::Enqueue(ticket) => pool.enqueue(home, ticket, context),
        PeerMessage::Finished(report) => pool.record_finish(home, &report, context),
        PeerMessage::Withdraw { key, .. } => {
            pool.withdraw(home, &key);
            Vec::new()
        }
        PeerMessage::PermitReturned { key, permit, .. } => {
            pool.record_returned_permit(home, &key, permit, context);
            Vec::new()
        }
        PeerMessage::Started { key, permit, .. } => {
            pool.record_start(home, &key, permit, context.now);
            Vec::new()
        }
        _ => Vec::new(),
    };
    if state
        .members
        .owns(&name, state.config.version(), context.now)
    {
        pool_effects.extend(pool.grant(context));
    }
    route_pool(state, &name, pool_effects, context)
}

/// Uses a permit of the followed owner.
pub(crate) fn use_permit(
    state: &mut State,
    grant: PermitGrant,
    context: &mut Context,
) -> Vec<Effect> {
    let excluded = state
        .endpoints
        .iter()
        .find(|endpoint| endpoint.name == grant.endpoint)
        .is_some_and(|endpoint| state.is_excluded(endpoint));
    let work = state.requests.accept_permit(grant, excluded, context);
    route_work(state, work, context)
}

/// Performs what an owned pool decided.
pub(crate) fn route_pool(
    state: &mut State,
    name: &PoolName,
    pool_effects: Vec<PoolEffect>,
    context: &mut Context,
) -> Vec<Effect> {
    let mut effects = Vec::new();
    for effect in pool_effects {
        match effect {
            PoolEffect::Grant { home, grant } if home == context.brief.incarnation => {
                effects.extend(use_permit(state, grant, context));
            }
            PoolEffect::Grant { home, grant } => {
                effects.extend(send_home(state, home, PeerMessage::Permit(grant), context));
            }
            PoolEffect::Refuse { home, key, code } if home == context.brief.incarnation => {
                let work = state.requests.apply_refusal(&key, code, context);
                effects.extend(route_work(state, work, context));
            }
            PoolEffect::Refuse { home, key, code } => {
                let pool = name.clone();
                let message = PeerMessage::Refused { pool, key, code };
                effects.extend(send_home(state, home, message, context));
            }
            PoolEffect::Propose(proposal) => {
                log::info!(pool:% = name; "rollout: proposes {proposal:?}");
                if matches!(proposal, RolloutProposal::Verdict { .. }) {
                    // The next owner must know of a brake even if this process ends soon.
                    state.members.next_heartbeat = context.now;
                    effects.extend(reduce_peer::tick(state, context));
                }
                let record = reduce_operator::proposal_record(&proposal, context);
                let purpose = AppendPurpose::Housekeeping;
                effects.push(state.append(LogTopic::Config, vec![record], purpose));
            }
        }
    }
    effects
}

/// What runs in the pools that this host owns. A pool that was taken over lately is left out: not
/// every home has told yet what it runs there.
pub(crate) fn own_work(state: &State, context: &Context) -> Vec<PoolWork> {
    let version = state.config.version();
    let owned = state.pool_names.iter().filter(|name| {
        let pool = state.pools.get(*name);
        state.members.owns(name, version, context.now)
            && pool.is_some_and(|pool| pool.is_settled(context.now))
    });
    owned
        .map(|name| {
            let mut zones: BTreeMap<ZoneName, u32> = BTreeMap::new();
            for endpoint in state.pools[name].summary(context.now).endpoints {
                *zones.entry(endpoint.zone).or_default() += endpoint.in_flight;
            }
            PoolWork {
                pool: name.clone(),
                config_version: version,
                zones: zones.into_iter().collect(),
            }
        })
        .collect()
}

fn send_home(
    state: &State,
    home: Incarnation,
    message: PeerMessage,
    context: &Context,
) -> Option<Effect> {
    let to = state.members.find(home, context.now)?.peer_address;
    Some(Effect::Send { to, message })
}

pub(crate) fn load_answered(
    state: &mut State,
    pool: &str,
    endpoint: &str,
    report: Option<&LoadReport>,
    context: &mut Context,
) -> Vec<Effect> {
    if let Some(pool) = state.pools.get_mut(pool) {
        match report {
            Some(report) => pool.record_load_report(endpoint, report, context),
            None => pool.record_load_failure(endpoint, context),
        }
    }
    Vec::new()
}

/// Grants, polls, periodic reports to owners, and refusals where no owner is left.
pub(crate) fn tick(state: &mut State, context: &mut Context) -> Vec<Effect> {
    let mut effects = Vec::new();
    let mut names: Vec<PoolName> = state.pools.keys().cloned().collect();
    names.sort();
    for name in names {
        if !state
            .members
            .owns(&name, state.config.version(), context.now)
        {
            continue;
        }
        if let Some(pool) = state.pools.get_mut(&name) {
            let pool_effects = pool.grant(context);
            effects.extend(route_pool(state, &name, pool_effects, context));
        }
    }
    if context.now >= state.next_poll {
        state.next_poll = context.now + POLL_INTERVAL;
        effects.extend(poll_endpoints(state));
    }
    if context.now >= state.next_sync {
        state.next_sync = context.now + state.requests.settings.sync_interval;
        for name in state.pool_names.clone() {
            effects.extend(send_sync(state, &name, context));
        }
    }
    effects.extend(refuse_ownerless(state, context));
    effects
}

fn poll_endpoints(state: &State) -> Vec<Effect> {
    state
        .endpoints
        .iter()
        .filter(|endpoint| state.pools.contains_key(&endpoint.pool))
        .map(|endpoint| Effect::PollEndpoint {
            endpoint: endpoint.clone(),
        })
        .collect()
}

fn refuse_ownerless(state: &mut State, context: &mut Context) -> Vec<Effect> {
    let wait = state.requests.settings.ownerless_timeout;
    // A host without contact to a majority follows itself, or another host in the same position,
    // and neither can grant anything.
    let connected = state.members.has_majority(context.now);
    let mut overdue = Vec::new();
    for name in &state.pool_names {
        if connected && state.members.owner(name, context.now).is_some() {
            state.ownerless.remove(name);
            continue;
        }
        let since = *state.ownerless.entry(name.clone()).or_insert(context.now);
        if context.now.saturating_duration_since(since) >= wait {
            overdue.push(name.clone());
        }
    }
    let mut effects = Vec::new();
    for name in overdue {
        let work = state
            .requests
            .refuse_queued(&name, ResultCode::Isolated, context);
        effects.extend(route_work(state, work, context));
    }
    effects
}
