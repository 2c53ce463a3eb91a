//! Turns answers to operators into the generated RPC messages.

use std::time::Duration;

use crate::generated::operator as rpc;
use crate::ids::{HostState, format_incarnation};
use crate::operator_types::{
    ChangeReport, CounterEntry, ElectorReport, EndpointReport, EndpointState, OperatorResult,
    PoolReport, RolloutOutcome, RolloutReport, StatusReport, TierLoad, ZoneReport,
};
use crate::result_code::ResultCode;

/// Result of a call that was done.
pub(crate) fn completed() -> rpc::Result {
    OperatorResult::with_message(ResultCode::Completed, "done").into()
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn texts(names: Vec<compact_str::CompactString>) -> Vec<String> {
    names.into_iter().map(String::from).collect()
}

fn convert_all<F, T: From<F>>(items: Vec<F>) -> Vec<T> {
    items.into_iter().map(T::from).collect()
}

fn zone_state(out: bool) -> i32 {
    let state = if out {
        rpc::ZoneState::Out
    } else {
        rpc::ZoneState::In
    };
    state.into()
}

impl From<OperatorResult> for rpc::Result {
    fn from(result: OperatorResult) -> Self {
        Self {
            code: result.code.number().into(),
            ran: result.code.ran().name().to_owned(),
            message: result.message,
            field: result.field.unwrap_or_default(),
        }
    }
}

impl From<ChangeReport> for rpc::ChangeReply {
    fn from(report: ChangeReport) -> Self {
        Self {
            result: Some(report.result.into()),
            config_version: report.config_version,
            confirmed: report.confirmed,
            electorate: report.electorate,
            missing_hosts: texts(report.missing_hosts),
        }
    }
}

impl From<HostState> for rpc::HostState {
    fn from(state: HostState) -> Self {
        match state {
            HostState::Starting => Self::Starting,
            HostState::Live => Self::Live,
            HostState::Leaving => Self::Leaving,
        }
    }
}

impl From<EndpointState> for rpc::EndpointState {
    fn from(state: EndpointState) -> Self {
        match state {
            EndpointState::Serving => Self::Serving,
            EndpointState::Cold => Self::Cold,
            EndpointState::Excluded => Self::Excluded,
            EndpointState::Unreachable => Self::Unreachable,
        }
    }
}

impl From<StatusReport> for rpc::StatusReply {
    fn from(report: StatusReport) -> Self {
        Self {
            result: Some(completed()),
            name: report.name.into(),
            region: report.region.into(),
            zone: report.zone.into(),
            incarnation: format_incarnation(report.incarnation).into(),
            state: rpc::HostState::from(report.state).into(),
            config_version: report.config_version,
            log_age_ms: report.log_age.map(milliseconds),
            electorate: convert_all(report.electorate),
            pools: convert_all(report.pools),
            counters: convert_all(report.counters),
        }
    }
}

impl From<ElectorReport> for rpc::Elector {
    fn from(report: ElectorReport) -> Self {
        Self {
            name: report.name.into(),
            zone: report.zone.into(),
            incarnation: format_incarnation(report.incarnation).into(),
            state: rpc::HostState::from(report.state).into(),
        }
    }
}

impl From<PoolReport> for rpc::Pool {
    fn from(report: PoolReport) -> Self {
        Self {
            name: report.name.into(),
            owner: report.owner.unwrap_or_default().into(),
            tiers: convert_all(report.tiers),
            endpoints: convert_all(report.endpoints),
        }
    }
}

impl From<TierLoad> for rpc::TierLoad {
    fn from(load: TierLoad) -> Self {
        Self {
            tier: load.tier.into(),
            queued: load.queued,
            running: load.running,
        }
    }
}

impl From<EndpointReport> for rpc::Endpoint {
    fn from(report: EndpointReport) -> Self {
        Self {
            name: report.name.into(),
            zone: report.zone.into(),
            version: report.version.into(),
            state: rpc::EndpointState::from(report.state).into(),
            limit: report.limit,
            running: report.running,
            prefill_tokens_per_second: report.prefill_tokens_per_second,
            decode_tokens_per_second: report.decode_tokens_per_second,
        }
    }
}

impl From<RolloutReport> for rpc::Rollout {
    fn from(report: RolloutReport) -> Self {
        let (verdict, reason) = match report.outcome {
            RolloutOutcome::Running => (rpc::RolloutVerdict::Running, String::new()),
            RolloutOutcome::Done => (rpc::RolloutVerdict::Done, String::new()),
            RolloutOutcome::TakenBack { reason } => (rpc::RolloutVerdict::TakenBack, reason.into()),
        };
        Self {
            name: report.name.into(),
            pool: report.pool.into(),
            from_version: report.from.into(),
            to_version: report.to.into(),
            started_ms: milliseconds(report.started),
            deadline_ms: milliseconds(report.deadline),
            step: report.step,
            share_permille: report.share_permille.into(),
            verdict: verdict.into(),
            reason,
        }
    }
}

impl From<ZoneReport> for rpc::WatchZoneReply {
    fn from(report: ZoneReport) -> Self {
        Self {
            result: Some(completed()),
            zone: report.zone.into(),
            state: zone_state(report.out),
            config_version: report.config_version,
            confirmed: report.confirmed,
            electorate: report.electorate,
            missing_hosts: texts(report.missing_hosts),
            running: report.running,
            in_force: report.in_force,
            done: report.done,
            verdict: report.verdict,
        }
    }
}

impl From<CounterEntry> for rpc::Counter {
    fn from(entry: CounterEntry) -> Self {
        Self {
            name: entry.name.into(),
            value: entry.value,
        }
    }
}
