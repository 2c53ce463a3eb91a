//! Messages of other entry hosts, and what membership asks for.

use crate::context::Context;
use crate::events::{Counter, Effect, PermitReason};
use crate::ids::{HostBrief, HostState, format_incarnation};
use crate::membership::MemberEffect;
use crate::messages::{
    ConfigSnapshot, Heartbeat, PeerEnvelope, PeerMessage, PermitGrant, VersionBrake,
};
use crate::pool::PoolState;
use crate::reducer::route_work;
use crate::snapshot_parts::split_snapshot;
use crate::state::State;
use crate::{reduce_log, reduce_pool};

/// Suspects and brakes remembered for a later ownership.
const MAX_REMEMBERED: usize = 1024;

pub(crate) fn tick(state: &mut State, context: &mut Context) -> Vec<Effect> {
    let (members, facts) = state.split_members(context.now);
    let effects = members.tick(&facts, context);
    route_members(state, effects, context)
}

pub(crate) fn receive(
    state: &mut State,
    envelope: PeerEnvelope,
    context: &mut Context,
) -> Vec<Effect> {
    let mut from = envelope.from;
    // The platform's list knows how a host is reached from here; its own address may not be.
    let listed = state
        .listing
        .entries
        .iter()
        .find(|entry| entry.name == from.name);
    if let Some(entry) = listed {
        from.peer_address = entry.peer_address;
    }
    if from.region != state.region || from.incarnation == context.brief.incarnation {
        return Vec::new();
    }
    match envelope.message {
        PeerMessage::Heartbeat(heartbeat) => receive_heartbeat(state, &from, &heartbeat, context),
        PeerMessage::Goodbye => {
            let effects = state.members.receive_goodbye(&from, context);
            route_members(state, effects, context)
        }
        PeerMessage::SnapshotRequest => {
            if state.config.version() == 0 {
                return Vec::new();
            }
            split_snapshot(&state.config.snapshot())
                .into_iter()
                .map(|part| send(&from, PeerMessage::Snapshot(part)))
                .collect()
        }
        PeerMessage::Snapshot(part) => {
            let whole = state.snapshots.add(from.incarnation, part);
            whole.map_or_else(Vec::new, |snapshot| {
                receive_snapshot(state, &from, &snapshot, context)
            })
        }
        PeerMessage::ConfigRecords(records) => {
            reduce_log::apply_records(state, &records, false, context)
        }
        PeerMessage::Permit(grant) => receive_permit(state, &from, grant, context),
        PeerMessage::Refused { pool, key, code } => {
            if !is_followed(state, &pool, &from, context) {
                return Vec::new();
            }
            let work = state.requests.apply_refusal(&key, code, context);
            route_work(state, work, context)
        }
        PeerMessage::HomeQuery { key, workspace } => {
            let status = state.requests.answer_query(&key, &workspace, context);
            let answer = PeerMessage::HomeAnswer {
                key,
                workspace,
                status,
            };
            vec![send(&from, answer)]
        }
        PeerMessage::HomeAnswer {
            key,
            workspace,
            status,
        } => {
            let work = state.lookups.apply_home_answer(&key, &workspace, &status);
            route_work(state, work, context)
        }
        PeerMessage::SyncRequest { pool } => {
            if !is_followed(state, &pool, &from, context) {
                return Vec::new();
            }
            let parts = state.requests.pool_sync(&pool, context.now);
            let messages = parts.into_iter().map(PeerMessage::PoolSync);
            messages.map(|message| send(&from, message)).collect()
        }
        PeerMessage::WorkQuery => {
            let work = reduce_pool::own_work(state, context);
            if work.is_empty() {
                return Vec::new();
            }
            vec![send(&from, PeerMessage::PoolWork(work))]
        }
        PeerMessage::PoolWork(work) => {
            state.moves.record_work(work, context.now);
            Vec::new()
        }
        message @ (PeerMessage::PoolSync(_)
        | PeerMessage::Enqueue(_)
        | PeerMessage::Withdraw { .. }
        | PeerMessage::PermitReturned { .. }
        | PeerMessage::Started { .. }
        | PeerMessage::Finished(_)) => {
            reduce_pool::from_home(state, from.incarnation, message, context)
        }
    }
}

fn receive_heartbeat(
    state: &mut State,
    from: &HostBrief,
    heartbeat: &Heartbeat,
    context: &mut Context,
) -> Vec<Effect> {
    for brake in &heartbeat.brakes {
        if let Some(pool) = state.pools.get_mut(&brake.pool) {
            pool.adopt_brake(brake);
        }
        remember_brake(state, brake, heartbeat);
    }
    for suspect in &heartbeat.suspects {
        if let Some(pool) = state.pools.get_mut(&suspect.pool) {
            pool.adopt_suspect(suspect, context.now);
        }
        state
            .suspects
            .retain(|(_, known)| known.pool != suspect.pool || known.digest != suspect.digest);
        if state.suspects.len() < MAX_REMEMBERED {
            state.suspects.push((context.now, suspect.clone()));
        }
    }
    let (members, facts) = state.split_members(context.now);
    let effects = members.receive_heartbeat(from, heartbeat, &facts, context);
    route_members(state, effects, context)
}

/// Keeps the brakes of a pool that another host owns from now on.
fn keep_brakes(state: &mut State, pool: &PoolState) {
    for brake in pool.brakes() {
        if !state.brakes.contains(&brake) && state.brakes.len() < MAX_REMEMBERED {
            state.brakes.push(brake);
        }
    }
}

/// Keeps a brake of a rollout that runs, or that this host may not know of yet.
fn remember_brake(state: &mut State, brake: &VersionBrake, heartbeat: &Heartbeat) {
    let runs = state
        .config
        .running_rollout(&brake.pool)
        .is_some_and(|rollout| rollout.name == brake.rollout);
    let known = |brakes: &[VersionBrake]| brakes.iter().any(|kept| kept.rollout == brake.rollout);
    if (runs || heartbeat.config_version > state.config.version())
        && !known(&state.brakes)
        && state.brakes.len() < MAX_REMEMBERED
    {
        state.brakes.push(brake.clone());
    }
}

fn receive_snapshot(
    state: &mut State,
    from: &HostBrief,
    snapshot: &ConfigSnapshot,
    context: &mut Context,
) -> Vec<Effect> {
    let adopted = match state.config.apply_snapshot(snapshot) {
        Ok(adopted) => adopted,
        Err(error) => {
            log::warn!(host:% = from.name, error:%; "config: refused a snapshot");
            return Vec::new();
        }
    };
    let mut effects = Vec::new();
    if adopted {
        log::info!(host:% = from.name, version = snapshot.version; "config: took a snapshot");
        effects.push(Effect::SeekLog {
            topic: crate::events::LogTopic::Config,
            from: snapshot.version,
        });
        state.log.needs_snapshot = false;
        effects.extend(reduce_log::config_changed(state, context));
    }
    let member_effects = state
        .members
        .receive_snapshot(from, snapshot.version, context);
    effects.extend(route_members(state, member_effects, context));
    effects
}

fn receive_permit(
    state: &mut State,
    from: &HostBrief,
    grant: PermitGrant,
    context: &mut Context,
) -> Vec<Effect> {
    if !is_followed(state, &grant.pool, from, context) {
        let counter = Counter::PermitRejected(PermitReason::NotFollowed);
        let message = PeerMessage::PermitReturned {
            pool: grant.pool,
            key: grant.key,
            permit: grant.permit,
        };
        return vec![Effect::Count { counter }, send(from, message)];
    }
    reduce_pool::use_permit(state, grant, context)
}

fn is_followed(state: &State, pool: &str, from: &HostBrief, context: &Context) -> bool {
    state
        .members
        .owner(pool, context.now)
        .is_some_and(|owner| owner.incarnation == from.incarnation)
}

fn send(to: &HostBrief, message: PeerMessage) -> Effect {
    Effect::Send {
        to: to.peer_address,
        message,
    }
}

/// Performs what membership asked for.
pub(crate) fn route_members(
    state: &mut State,
    members: Vec<MemberEffect>,
    context: &mut Context,
) -> Vec<Effect> {
    let mut effects = Vec::new();
    for effect in members {
        match effect {
            MemberEffect::Send { to, message } => effects.push(Effect::Send { to, message }),
            MemberEffect::FetchSnapshot { from } => effects.push(Effect::Send {
                to: from,
                message: PeerMessage::SnapshotRequest,
            }),
            MemberEffect::OwnerChanged { pool, owner } => {
                effects.extend(reduce_pool::owner_changed(
                    state,
                    &pool,
                    owner.as_ref(),
                    context,
                ));
            }
            MemberEffect::OwnershipGained { pool } => {
                effects.extend(reduce_pool::ownership_gained(state, &pool, context));
            }
            MemberEffect::OwnershipLost { pool } => {
                log::info!(pool:%; "pool: ownership lost");
                if let Some(pool) = state.pools.remove(&pool) {
                    keep_brakes(state, &pool);
                }
            }
            MemberEffect::HostGone { incarnation } => {
                log::info!(incarnation:% = format_incarnation(incarnation); "members: a host is gone");
                for pool in state.pools.values_mut() {
                    pool.record_lost_home(incarnation, context.now);
                }
            }
            MemberEffect::Synced => log::info!("members: synchronised, following owners"),
        }
    }
    effects
}

/// Live hosts of the region other than this one.
pub(crate) fn other_hosts(state: &State, context: &Context) -> Vec<HostBrief> {
    state
        .members
        .live_hosts(context.now)
        .into_iter()
        .filter(|(brief, host_state)| {
            brief.incarnation != context.brief.incarnation && *host_state != HostState::Leaving
        })
        .map(|(brief, _)| brief.clone())
        .collect()
}
