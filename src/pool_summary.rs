//! Summary of one owned pool for status reports.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::endpoint_state::EndpointState;
use crate::ids::{EndpointName, PoolName, TierNumber, VersionName, ZoneName};
use crate::pool::PoolState;
use crate::slow_start::WarmthState;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointCondition {
    /// Hasn't reported since the takeover.
    Unknown,
    Cold,
    Warm,
    /// Doesn't answer load requests.
    Unreachable,
    /// Is listed but receives no new work.
    Excluded,
    /// Is no longer listed but still has work in flight.
    Unlisted,
}

#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSummary {
    pub name: EndpointName,
    pub zone: ZoneName,
    pub version: VersionName,
    pub condition: EndpointCondition,
    /// Number of permits that it may currently hold.
    pub limit: u32,
    /// Number of permits and runs that count against the limit.
    pub in_flight: u32,
    pub prefill_tokens_per_second: f64,
    pub decode_tokens_per_second: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct PoolSummary {
    pub name: PoolName,
    /// Queued tickets per tier, highest priority first. Tiers without tickets are omitted.
    pub queued: Vec<(TierNumber, usize)>,
    pub running: Vec<(TierNumber, usize)>,
    pub endpoints: Vec<EndpointSummary>,
}

impl PoolState {
    #[must_use]
    pub fn summary(&self, now: Instant) -> PoolSummary {
        let mut running: BTreeMap<TierNumber, usize> = BTreeMap::new();
        for permit in self.running.values() {
            *running.entry(permit.queued.ticket.tier).or_default() += 1;
        }
        let endpoints = self.endpoints.iter();
        PoolSummary {
            name: self.name.clone(),
            queued: self.queue.counts(),
            running: running.into_iter().collect(),
            endpoints: endpoints
                .map(|endpoint| self.summarise(endpoint, now))
                .collect(),
        }
    }

    /// Returns whether every home has had time to report its runs to this owner.
    pub(crate) fn is_settled(&self, now: Instant) -> bool {
        let owned_for = now.saturating_duration_since(self.owned_since);
        owned_for >= self.settings.slow_start.takeover_wait
    }

    fn summarise(&self, endpoint: &EndpointState, now: Instant) -> EndpointSummary {
        let speeds = self.chooser().endpoint_speeds(endpoint, now);
        EndpointSummary {
            name: endpoint.name.clone(),
            zone: endpoint.zone.clone(),
            version: endpoint.version.clone(),
            condition: condition(endpoint),
            limit: endpoint.cap(),
            in_flight: endpoint.occupied(),
            prefill_tokens_per_second: speeds.prefill,
            decode_tokens_per_second: speeds.decode,
        }
    }
}

fn condition(endpoint: &EndpointState) -> EndpointCondition {
    if !endpoint.listed {
        return EndpointCondition::Unlisted;
    }
    if endpoint.excluded {
        return EndpointCondition::Excluded;
    }
    if !endpoint.is_usable() {
        return EndpointCondition::Unreachable;
    }
    match endpoint.slow_start.state() {
        WarmthState::Unknown => EndpointCondition::Unknown,
        WarmthState::Cold => EndpointCondition::Cold,
        WarmthState::Warm => EndpointCondition::Warm,
    }
}
