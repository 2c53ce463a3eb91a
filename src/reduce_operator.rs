//! Calls of operators: configuration changes, status, watches.

use std::time::Duration;

use compact_str::{CompactString, ToCompactString, format_compact};
use rand::Rng;

use crate::claim::AppendFailure;
use crate::config_change::{ChangeKind, ConfigChange, RolloutState, RolloutVerdict, encode_change};
use crate::config_document::{ConfigError, TierEntry, ZoneState, parse_document};
use crate::context::Context;
use crate::events::{Counter, Effect, LogTopic, OperatorId};
use crate::ids::LogOffset;
use crate::operator::{OpenWatch, ReplyMaker, WatchTarget, final_reply};
use crate::operator_types::{
    CounterEntry, OperatorReply, OperatorRequest, OperatorResult, RolloutOutcome, RolloutReport,
};
use crate::result_code::ResultCode;
use crate::rollout::RolloutProposal;
use crate::state::{AppendPurpose, State};
use crate::status::status_report;
use crate::{reduce_log, reduce_zone};

/// Longest wait of a first zone report for the answers of the pool owners.
const ANSWER_WAIT: Duration = Duration::from_secs(1);

type CallResult = Result<Vec<Effect>, OperatorResult>;

pub(crate) fn call(
    state: &mut State,
    operator: OperatorId,
    token: Option<&str>,
    request: OperatorRequest,
    context: &mut Context,
) -> Vec<Effect> {
    let outcome =
        author(state, token).and_then(|author| dispatch(state, operator, author, request, context));
    outcome.unwrap_or_else(|result| {
        let counter = Counter::Refused(result.code);
        let reply = OperatorReply::Refused(result);
        vec![Effect::Count { counter }, final_reply(operator, reply)]
    })
}

/// Name of the operator that a token belongs to. Until a configuration names operators, the
/// peer secret serves as the token.
fn author(state: &State, token: Option<&str>) -> Result<CompactString, OperatorResult> {
    let token = token.ok_or(OperatorResult::new(ResultCode::MissingCredentials))?;
    if let Some(operator) = state.config.operator_by_token(token) {
        return Ok(operator.name.clone());
    }
    let bootstrap = state.config.document().operators.is_empty()
        && constant_time_eq(token, &state.bootstrap_token);
    if bootstrap {
        return Ok("bootstrap".into());
    }
    Err(OperatorResult::new(ResultCode::NotOperator))
}

fn constant_time_eq(left: &str, right: &str) -> bool {
    use subtle::ConstantTimeEq;
    left.as_bytes().ct_eq(right.as_bytes()).into()
}

fn dispatch(
    state: &mut State,
    operator: OperatorId,
    author: CompactString,
    request: OperatorRequest,
    context: &mut Context,
) -> CallResult {
    if let Some(maker) = request.change_reply() {
        let change = change_of(state, request)?;
        return begin_change(state, operator, author, change, maker, context);
    }
    let reply = match request {
        OperatorRequest::GetConfig => OperatorReply::GetConfig {
            document: serde_json::to_string_pretty(state.config.document()).unwrap_or_default(),
            config_version: state.config.version(),
        },
        OperatorRequest::ValidateConfig { document } => {
            parse_document(&document).map_err(|error| config_fault(&error))?;
            OperatorReply::ValidateConfig
        }
        OperatorRequest::Status => OperatorReply::Status(Box::new(status_report(state, context))),
        OperatorRequest::Rollouts => {
            OperatorReply::Rollouts(state.config.rollouts().map(rollout_report).collect())
        }
        OperatorRequest::Counters => OperatorReply::Counters(counters(state)),
        OperatorRequest::WatchRollout { rollout } => {
            return watch(state, operator, WatchTarget::Rollout(rollout), context);
        }
        OperatorRequest::WatchZone { zone } => {
            return watch(state, operator, WatchTarget::Zone(zone), context);
        }
        OperatorRequest::PublishConfig { .. }
        | OperatorRequest::PutTier { .. }
        | OperatorRequest::SetZone { .. }
        | OperatorRequest::StartRollout { .. }
        | OperatorRequest::AbortRollout { .. }
        | OperatorRequest::DrainHost { .. } => return Ok(Vec::new()),
    };
    Ok(vec![final_reply(operator, reply)])
}

fn config_fault(error: &ConfigError) -> OperatorResult {
    let (ConfigError::Invalid { path, .. }
    | ConfigError::Conflict { path, .. }
    | ConfigError::Unknown { path, .. }) = error;
    OperatorResult::with_message(error.code(), error.to_string()).in_field(path.as_str())
}

/// The configuration change that an operator asks for.
fn change_of(state: &State, request: OperatorRequest) -> Result<ChangeKind, OperatorResult> {
    Ok(match request {
        OperatorRequest::PublishConfig {
            document,
            expected_version,
        } => ChangeKind::Publish {
            expected_version: expected_version.unwrap_or(state.config.version()),
            document: parse_document(&document).map_err(|error| config_fault(&error))?,
        },
        OperatorRequest::PutTier {
            tier,
            name,
            default_deadline,
        } => ChangeKind::PutTier {
            tier: TierEntry {
                tier,
                name,
                default_deadline_ms: u64::try_from(default_deadline.as_millis())
                    .unwrap_or(u64::MAX),
            },
        },
        OperatorRequest::SetZone {
            zone,
            out,
            expected_version,
        } => ChangeKind::SetZone {
            zone,
            state: if out { ZoneState::Out } else { ZoneState::In },
            expected_version,
        },
        OperatorRequest::StartRollout {
            rollout,
            pool,
            version,
            deadline,
        } => ChangeKind::StartRollout {
            rollout,
            pool,
            version,
            deadline,
        },
        OperatorRequest::AbortRollout { rollout } => {
            let running = find_rollout(state, &rollout)
                .ok_or(OperatorResult::new(ResultCode::UnknownObject).in_field("rollout"))?;
            ChangeKind::RolloutVerdict {
                follows_step: running.step,
                rollout,
                verdict: RolloutVerdict::TakenBack {
                    reason: "aborted by an operator".into(),
                },
            }
        }
        OperatorRequest::DrainHost { host, drained } => ChangeKind::DrainHost { host, drained },
        OperatorRequest::GetConfig
        | OperatorRequest::ValidateConfig { .. }
        | OperatorRequest::Status
        | OperatorRequest::Rollouts
        | OperatorRequest::WatchRollout { .. }
        | OperatorRequest::WatchZone { .. }
        | OperatorRequest::Counters => {
            return Err(OperatorResult::new(ResultCode::MalformedRequest));
        }
    })
}

fn find_rollout<'a>(state: &'a State, name: &str) -> Option<&'a RolloutState> {
    state.config.rollouts().find(|rollout| rollout.name == name)
}

/// Checks a change and appends it. It is answered once most hosts have applied it.
fn begin_change(
    state: &mut State,
    operator: OperatorId,
    author: CompactString,
    change: ChangeKind,
    maker: ReplyMaker,
    context: &mut Context,
) -> CallResult {
    if state.operators.is_full() {
        return Err(OperatorResult::new(ResultCode::HostFull));
    }
    if !state.members.is_synced() {
        return Err(OperatorResult::new(ResultCode::NotReady));
    }
    // Without most hosts the change could be recorded, but nobody could say that it is in force.
    if !state.members.has_majority(context.now) {
        return Err(OperatorResult::new(ResultCode::NoQuorum));
    }
    // With the incarnation, since a host that restarts with the same seed draws the same numbers.
    let incarnation = context.brief.incarnation;
    let id = format_compact!("{incarnation:016x}{:016x}", context.random.random::<u64>());
    let change = ConfigChange {
        id: id.clone(),
        author,
        change,
    };
    state
        .config
        .check_at(&change, context.unix_time)
        .map_err(|error| config_fault(&error))?;
    log::info!(id:%, author:% = change.author; "operator: appends a change");
    state
        .operators
        .open(id.clone(), operator, maker, context.now);
    let purpose = AppendPurpose::OperatorChange { id };
    let record = encode_change(&change);
    Ok(vec![state.append(LogTopic::Config, vec![record], purpose)])
}

pub(crate) fn append_answered(
    state: &mut State,
    id: &str,
    answer: Result<LogOffset, AppendFailure>,
) -> Vec<Effect> {
    if let Err(failure) = answer {
        state
            .operators
            .append_failed(id, reduce_log::append_code(failure));
    }
    Vec::new()
}

fn watch(
    state: &mut State,
    operator: OperatorId,
    target: WatchTarget,
    context: &Context,
) -> CallResult {
    if state.operators.is_full() {
        return Err(OperatorResult::new(ResultCode::HostFull));
    }
    if watch_reply(state, &target, context).is_none() {
        return Err(OperatorResult::new(ResultCode::UnknownObject));
    }
    state.operators.watches.push(OpenWatch {
        operator,
        target,
        answers_until: context.now + ANSWER_WAIT,
        last: None,
    });
    let mut effects = reduce_zone::query_owners(state, context);
    effects.extend(send_watches(state, context));
    Ok(effects)
}

/// The present state of a watched object, and whether it is the last word.
fn watch_reply(
    state: &State,
    target: &WatchTarget,
    context: &Context,
) -> Option<(OperatorReply, bool)> {
    match target {
        WatchTarget::Rollout(name) => {
            let report = rollout_report(find_rollout(state, name)?);
            let last = report.outcome != RolloutOutcome::Running;
            Some((OperatorReply::WatchRollout(report), last))
        }
        WatchTarget::Zone(name) => {
            let report = reduce_zone::zone_report(state, name, context)?;
            let last = report.in_force && report.done;
            Some((OperatorReply::WatchZone(report), last))
        }
    }
}

fn send_watches(state: &mut State, context: &Context) -> Vec<Effect> {
    let mut watches = std::mem::take(&mut state.operators.watches);
    let mut effects = Vec::new();
    watches.retain_mut(|watch| {
        if reduce_zone::awaits_answers(state, watch, context) {
            return true;
        }
        let Some((reply, last)) = watch_reply(state, &watch.target, context) else {
            return true;
        };
        if last || watch.last.as_ref() != Some(&reply) {
            watch.last = Some(reply.clone());
            effects.push(Effect::OperatorReply {
                operator: watch.operator,
                reply: Box::new(reply),
                last,
            });
        }
        !last
    });
    state.operators.watches = watches;
    effects
}

pub(crate) fn config_changed(state: &mut State, context: &mut Context) -> Vec<Effect> {
    tick(state, context)
}

/// Finishes changes that are in force or have timed out, and updates watches.
pub(crate) fn tick(state: &mut State, context: &mut Context) -> Vec<Effect> {
    let members = &state.members;
    let now = context.now;
    let mut effects = state
        .operators
        .settle(now, |version| members.confirmations(version, now));
    let State { members, moves, .. } = state;
    moves.confirm(context.unix_time, |version| {
        members.confirmations(version, now).majority
    });
    effects.extend(reduce_zone::query_owners(state, context));
    effects.extend(send_watches(state, context));
    effects
}

/// The record of a rollout proposal. Its id is the same each time, so that only the first of
/// several appended copies has an effect.
pub(crate) fn proposal_record(proposal: &RolloutProposal, context: &Context) -> String {
    let (id, change) = match proposal {
        RolloutProposal::Step {
            rollout,
            follows_step,
            share_permille,
        } => (
            format_compact!("step-{rollout}-{follows_step}-{share_permille}"),
            ChangeKind::RolloutStep {
                rollout: rollout.clone(),
                follows_step: *follows_step,
                share_permille: *share_permille,
            },
        ),
        RolloutProposal::Verdict {
            rollout,
            follows_step,
            verdict,
        } => (
            format_compact!("verdict-{rollout}-{follows_step}"),
            ChangeKind::RolloutVerdict {
                rollout: rollout.clone(),
                follows_step: *follows_step,
                verdict: verdict.clone(),
            },
        ),
    };
    encode_change(&ConfigChange {
        id,
        author: context.brief.name.clone(),
        change,
    })
}

pub(crate) fn rollout_report(rollout: &RolloutState) -> RolloutReport {
    RolloutReport {
        name: rollout.name.clone(),
        pool: rollout.pool.clone(),
        from: rollout.from.clone(),
        to: rollout.to.clone(),
        started: rollout.started,
        deadline: rollout.deadline,
        step: rollout.step,
        share_permille: rollout.share_permille,
        outcome: match &rollout.verdict {
            RolloutVerdict::Running => RolloutOutcome::Running,
            RolloutVerdict::Done => RolloutOutcome::Done,
            RolloutVerdict::TakenBack { reason } => RolloutOutcome::TakenBack {
                reason: reason.clone(),
            },
        },
    }
}

pub(crate) fn counters(state: &State) -> Vec<CounterEntry> {
    let mut entries: Vec<CounterEntry> = state
        .counters
        .iter()
        .map(|(counter, value)| CounterEntry {
            name: counter.name().to_compact_string(),
            value: *value,
        })
        .collect();
    entries.sort_by(|left, right| left.name.cmp(&right.name));
    entries
}
