//! The status of this host as operators see it.

use std::collections::BTreeMap;

use crate::context::Context;
use crate::ids::{HostState, PoolName, TierNumber};
use crate::operator::to_count;
use crate::operator_types::{
    ElectorReport, EndpointReport, EndpointState, PoolReport, StatusReport, TierLoad,
};
use crate::pool_summary::{EndpointCondition, EndpointSummary, PoolSummary};
use crate::reduce_operator::counters;
use crate::state::State;

pub(crate) fn status_report(state: &State, context: &Context) -> StatusReport {
    let electorate = state
        .members
        .live_hosts(context.now)
        .into_iter()
        .map(|(brief, host_state)| ElectorReport {
            name: brief.name.clone(),
            zone: brief.zone.clone(),
            incarnation: brief.incarnation,
            state: host_state,
        })
        .collect();
    StatusReport {
        name: context.brief.name.clone(),
        region: context.brief.region.clone(),
        zone: context.brief.zone.clone(),
        incarnation: context.brief.incarnation,
        state: own_state(state),
        config_version: state.config.version(),
        log_age: state.log.known_age(context.now),
        electorate,
        pools: state
            .pool_names
            .iter()
            .map(|name| pool_report(state, name, context))
            .collect(),
        counters: counters(state),
    }
}

fn own_state(state: &State) -> HostState {
    if state.leaving_since.is_some() {
        HostState::Leaving
    } else if state.members.is_synced() {
        HostState::Live
    } else {
        HostState::Starting
    }
}

fn pool_report(state: &State, name: &PoolName, context: &Context) -> PoolReport {
    let summary = state.pools.get(name).map(|pool| pool.summary(context.now));
    let (tiers, endpoints) = summary.map(owner_view).unwrap_or_default();
    PoolReport {
        name: name.clone(),
        owner: state
            .members
            .owner(name, context.now)
            .map(|owner| owner.name.clone()),
        tiers,
        endpoints,
    }
}

/// What only the owner of a pool knows: loads by tier and the state of each endpoint.
fn owner_view(summary: PoolSummary) -> (Vec<TierLoad>, Vec<EndpointReport>) {
    let mut loads: BTreeMap<TierNumber, TierLoad> = BTreeMap::new();
    let empty = |tier| TierLoad {
        tier,
        queued: 0,
        running: 0,
    };
    for (tier, count) in summary.queued {
        loads.entry(tier).or_insert(empty(tier)).queued = to_count(count);
    }
    for (tier, count) in summary.running {
        loads.entry(tier).or_insert(empty(tier)).running = to_count(count);
    }
    let endpoints = summary.endpoints.into_iter().map(endpoint_report);
    (loads.into_values().collect(), endpoints.collect())
}

fn endpoint_report(endpoint: EndpointSummary) -> EndpointReport {
    EndpointReport {
        name: endpoint.name,
        zone: endpoint.zone,
        version: endpoint.version,
        state: match endpoint.condition {
            EndpointCondition::Warm => EndpointState::Serving,
            EndpointCondition::Unknown | EndpointCondition::Cold => EndpointState::Cold,
            EndpointCondition::Excluded | EndpointCondition::Unlisted => EndpointState::Excluded,
            EndpointCondition::Unreachable => EndpointState::Unreachable,
        },
        limit: endpoint.limit,
        running: endpoint.in_flight,
        prefill_tokens_per_second: endpoint.prefill_tokens_per_second,
        decode_tokens_per_second: endpoint.decode_tokens_per_second,
    }
}
