//! Scheduling policies of a plain proxy, used only as a baseline in measurements. They ignore
//! tiers, fair shares, deadlines, prefixes, slow start and reserved slots.

use std::time::Instant;

use crate::choice::RunForecast;
use crate::configs::pool::PoolPolicy;
use crate::context::Context;
use crate::endpoint_state::EndpointState;
use crate::fairness::{ArrivalNumber, QueuedTicket};
use crate::pool::{PoolEffect, PoolState};
use crate::rollout::RolloutSide;

/// Endpoint and rollout side that are chosen for the next request.
struct BaselineChoice {
    index: usize,
    side: RolloutSide,
}

impl PoolState {
    pub(crate) fn is_baseline(&self) -> bool {
        match self.settings.policy {
            PoolPolicy::Current => false,
            PoolPolicy::RoundRobin | PoolPolicy::LeastOutstanding => true,
        }
    }

    /// Grants requests in order of arrival while any endpoint accepts more.
    pub(crate) fn grant_baseline(&mut self, context: &mut Context, effects: &mut Vec<PoolEffect>) {
        while self.running.len() < self.settings.running_limit {
            let next = self.queue.oldest();
            let Some((arrival, choice)) = next
                .and_then(|arrival| Some((arrival, self.choose_baseline(arrival, context.now)?)))
            else {
                return;
            };
            let Some(forecast) = self.baseline_forecast(arrival, choice.index, context.now) else {
                return;
            };
            self.next_baseline_index = choice.index + 1;
            effects.extend(self.issue_permit(
                arrival,
                choice.index,
                forecast,
                choice.side,
                context,
            ));
        }
    }

    fn choose_baseline(&self, arrival: ArrivalNumber, now: Instant) -> Option<BaselineChoice> {
        let route = &self.queue.get(arrival)?.ticket.route;
        let (versions, side) = self.versions_for(route);
        let is_eligible = |index: &usize| {
            let endpoint = &self.endpoints[*index];
            endpoint.version == versions.side && self.accepts_baseline(endpoint, now)
        };
        let count = self.endpoints.len();
        let mut candidates = (0..count)
            .map(|offset| (self.next_baseline_index + offset) % count)
            .filter(is_eligible);
        let index = match self.settings.policy {
            PoolPolicy::LeastOutstanding => {
                candidates.min_by_key(|index| self.endpoints[*index].flights.len())
            }
            PoolPolicy::RoundRobin | PoolPolicy::Current => candidates.next(),
        };
        index.map(|index| BaselineChoice { index, side })
    }

    /// Returns whether the endpoint has fewer requests in flight than its reported capacity plus
    /// `baseline_accept_depth`.
    fn accepts_baseline(&self, endpoint: &EndpointState, now: Instant) -> bool {
        let reported = match endpoint.limit.class() {
            0 => self.settings.learned.default_capacity,
            capacity => capacity,
        };
        let limit = reported.saturating_add(self.settings.baseline_accept_depth);
        endpoint.is_usable()
            && endpoint.held_until(now).is_none()
            && endpoint.flights.len() < limit as usize
    }

    fn baseline_forecast(
        &self,
        arrival: ArrivalNumber,
        index: usize,
        now: Instant,
    ) -> Option<RunForecast> {
        let QueuedTicket { ticket, .. } = self.queue.get(arrival)?;
        let chooser = self.chooser();
        let endpoint = &self.endpoints[index];
        let speeds = chooser.endpoint_speeds(endpoint, now);
        Some(chooser.forecast(endpoint, &speeds, ticket, now))
    }
}
