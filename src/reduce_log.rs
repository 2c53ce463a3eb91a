//! Events of the platform's log: configuration records, claims, answers to appends.

use std::time::Duration;

use caller_limits::HeldText;

use crate::claim::{AppendFailure, ClaimAnswer, ClaimEffect, ClaimKey};
use crate::config_change::{ChangeKind, ConfigChange, encode_change, parse_change};
use crate::config_state::ApplyOutcome;
use crate::context::Context;
use crate::events::{AppendId, Counter, Effect, LogRead, LogTopic};
use crate::ids::LogOffset;
use crate::messages::{ConfigRecord, PeerMessage};
use crate::reduce_caller::work_key;
use crate::reducer::route_work;
use crate::result_code::ResultCode;
use crate::state::{AppendPurpose, State};
use crate::{reduce_operator, reduce_peer, reduce_pool};

const SNAPSHOT_CHECK_INTERVAL: Duration = Duration::from_secs(5);

pub(crate) fn config_read(state: &mut State, read: LogRead, context: &mut Context) -> Vec<Effect> {
    match read {
        LogRead::Unavailable => Vec::new(),
        LogRead::Forgotten { first } => config_forgotten(state, first, context),
        LogRead::Records { records, end } => {
            let mut effects = apply_records(state, &records, true, context);
            state.log.end = end;
            let next = records.last().map_or(end, |record| record.offset + 1);
            let at_end = next >= end;
            if at_end && !state.log.needs_snapshot {
                state.log.record_end_read(context.now);
            } else if at_end {
                effects.extend(request_snapshots(state, context));
            }
            effects
        }
    }
}

/// The log no longer has the record that comes next here.
fn config_forgotten(state: &mut State, first: LogOffset, context: &Context) -> Vec<Effect> {
    if state.config.version() < first {
        log::warn!(first; "config: older records are gone; a snapshot is needed");
        state.log.needs_snapshot = true;
    }
    let mut effects = request_snapshots(state, context);
    effects.push(Effect::SeekLog {
        topic: LogTopic::Config,
        from: first,
    });
    effects
}

fn request_snapshots(state: &State, context: &Context) -> Vec<Effect> {
    reduce_peer::other_hosts(state, context)
        .into_iter()
        .map(|host| Effect::Send {
            to: host.peer_address,
            message: PeerMessage::SnapshotRequest,
        })
        .collect()
}

/// Applies configuration records that continue the own version. Records of the log may be older
/// or newer than it; records of a peer are taken only if they continue it.
pub(crate) fn apply_records(
    state: &mut State,
    records: &[ConfigRecord],
    from_log: bool,
    context: &mut Context,
) -> Vec<Effect> {
    let mut changed = false;
    let mut own_records = Vec::new();
    for record in records {
        if record.offset < state.config.version() {
            continue;
        }
        if !from_log && record.offset != state.config.version() {
            break;
        }
        let change = parse_change(&record.data).ok();
        let is_snapshot = change
            .as_ref()
            .is_some_and(|change| matches!(change.change, ChangeKind::Snapshot { .. }));
        if state.log.needs_snapshot && !is_snapshot {
            // The fold cannot start in the middle.
            continue;
        }
        let outcome = state.config.apply(record);
        changed = true;
        // A snapshot that another record overtook is refused; it must not end the wait for one,
        // nor count as published.
        if is_snapshot && outcome == ApplyOutcome::Applied {
            state.log.snapshot_at = record.at;
            state.log.needs_snapshot = false;
        }
        let counter = match &outcome {
            ApplyOutcome::Applied => Some(Counter::ConfigApplied),
            ApplyOutcome::Rejected { code, reason } => {
                log::warn!(offset = record.offset, code = code.number(); "config: record refused: {reason}");
                Some(Counter::ConfigRejected)
            }
            ApplyOutcome::Duplicate => None,
        };
        if let Some(counter) = counter {
            *state.counters.entry(counter).or_default() += 1;
        }
        if let Some(change) = change
            && state.operators.applied(&change.id, record.offset, &outcome)
        {
            own_records.push(record.clone());
        }
    }
    if !changed {
        return Vec::new();
    }
    let mut effects = config_changed(state, context);
    if from_log && !own_records.is_empty() {
        effects.extend(push_records(state, &own_records, context));
    }
    effects
}

/// Sends an own operator's change to every other host at once: the log may go down before they
/// have read it.
fn push_records(state: &State, records: &[ConfigRecord], context: &Context) -> Vec<Effect> {
    reduce_peer::other_hosts(state, context)
        .into_iter()
        .map(|host| Effect::Send {
            to: host.peer_address,
            message: PeerMessage::ConfigRecords(records.to_vec()),
        })
        .collect()
}

/// Brings everything that depends on the configuration up to date.
pub(crate) fn config_changed(state: &mut State, context: &mut Context) -> Vec<Effect> {
    let mut names: Vec<_> = state
        .config
        .document()
        .pools
        .iter()
        .map(|pool| pool.name.clone())
        .collect();
    names.sort();
    state.pool_names = names;
    let zones = &state.config.document().zones;
    let version = state.config.version();
    state.moves.apply_zones(zones, version, context.unix_time);
    let State { brakes, config, .. } = state;
    // A brake is needed until the verdict that it anticipates is in force.
    brakes.retain(|brake| {
        config
            .running_rollout(&brake.pool)
            .is_some_and(|rollout| rollout.name == brake.rollout)
    });
    let mut effects = reduce_pool::refresh_views(state, context);
    effects.extend(reduce_peer::tick(state, context));
    effects.extend(reduce_operator::config_changed(state, context));
    effects
}

pub(crate) fn claims_read(state: &mut State, read: LogRead, context: &mut Context) -> Vec<Effect> {
    let mut claim_effects = Vec::new();
    match read {
        LogRead::Unavailable => {}
        LogRead::Forgotten { first } => {
            return vec![Effect::SeekLog {
                topic: LogTopic::Claims,
                from: first,
            }];
        }
        LogRead::Records { records, end } => {
            for record in &records {
                claim_effects.extend(state.claims.apply_record(
                    record.offset,
                    record.at,
                    &record.data,
                    context,
                ));
            }
            let next = records.last().map_or(end, |record| record.offset + 1);
            if next >= end {
                claim_effects.extend(state.claims.record_topic_end(end, context));
            }
        }
    }
    route_claims(state, claim_effects, context)
}

fn route_claims(
    state: &mut State,
    claim_effects: Vec<ClaimEffect>,
    context: &mut Context,
) -> Vec<Effect> {
    let mut effects = Vec::new();
    for effect in claim_effects {
        match effect {
            ClaimEffect::Decided { claim, answer } => {
                effects.extend(claim_decided(state, &claim, answer, context));
            }
            ClaimEffect::Append { batch, records } => {
                let purpose = AppendPurpose::Claims { batch };
                effects.push(state.append(LogTopic::Claims, records, purpose));
            }
        }
    }
    effects
}

/// Tells the call that waits for a claim how it was decided.
pub(crate) fn claim_decided(
    state: &mut State,
    claim: &ClaimKey,
    answer: ClaimAnswer,
    context: &mut Context,
) -> Vec<Effect> {
    let key = work_key(claim);
    let work = match answer {
        ClaimAnswer::Pending => Vec::new(),
        ClaimAnswer::Won => state.requests.apply_claim_won(&key, context.now),
        ClaimAnswer::Known { result } => {
            let result = result.map(HeldText::from);
            state.requests.apply_claim_result(&key, result, context)
        }
        ClaimAnswer::Refused(code) => state.requests.apply_claim_result(&key, Err(code), context),
    };
    route_work(state, work, context)
}

pub(crate) fn append_answered(
    state: &mut State,
    append: AppendId,
    answer: Result<LogOffset, AppendFailure>,
    context: &mut Context,
) -> Vec<Effect> {
    match state.appends.remove(&append) {
        Some(AppendPurpose::Claims { batch }) => {
            let claim_effects = state.claims.record_append_answer(batch, answer, context);
            route_claims(state, claim_effects, context)
        }
        Some(AppendPurpose::OperatorChange { id }) => {
            reduce_operator::append_answered(state, &id, answer)
        }
        Some(AppendPurpose::Housekeeping) | None => Vec::new(),
    }
}

/// Sends claim batches and keeps a snapshot of the configuration in the log.
pub(crate) fn tick(state: &mut State, context: &mut Context) -> Vec<Effect> {
    let claim_effects = state.claims.tick(context);
    let mut effects = route_claims(state, claim_effects, context);
    if context.now >= state.next_snapshot_check {
        state.next_snapshot_check = context.now + SNAPSHOT_CHECK_INTERVAL;
        effects.extend(publish_snapshot(state, context));
    }
    effects
}

/// The live host with the smallest incarnation appends a snapshot before records are forgotten.
/// A second one by a host with another view does no harm.
fn publish_snapshot(state: &mut State, context: &Context) -> Option<Effect> {
    let fresh_log = state.log.age(context.now) < SNAPSHOT_CHECK_INTERVAL;
    if !fresh_log || state.config.version() == 0 || !state.members.is_synced() {
        return None;
    }
    // The first host in order may be cut off from the log, so the others follow in turn.
    let own = context.brief.incarnation;
    let live = state.members.live_hosts(context.now);
    let before = live.iter().filter(|(brief, _)| brief.incarnation < own);
    let turn = u32::try_from(before.count()).unwrap_or(u32::MAX);
    if context.unix_time < state.log.snapshot_at + state.snapshot_interval {
        state.log.snapshot_due = None;
        return None;
    }
    let due = *state.log.snapshot_due.get_or_insert(context.now);
    if context.now < due + SNAPSHOT_CHECK_INTERVAL * turn {
        return None;
    }
    let snapshot = state.config.snapshot();
    log::info!(version = snapshot.version; "config: appends a snapshot");
    let change = ConfigChange {
        id: compact_str::format_compact!("snapshot-{}-{own:016x}", snapshot.version),
        author: context.brief.name.clone(),
        change: ChangeKind::Snapshot {
            state: snapshot.state,
            version: snapshot.version,
        },
    };
    let record = encode_change(&change);
    Some(state.append(LogTopic::Config, vec![record], AppendPurpose::Housekeeping))
}

/// Code for an operator whose change could not be appended.
pub(crate) fn append_code(failure: AppendFailure) -> ResultCode {
    match failure {
        AppendFailure::NotAppended => ResultCode::ConfigLogUnavailable,
        AppendFailure::Unknown => ResultCode::ConfigUnknownOutcome,
    }
}
