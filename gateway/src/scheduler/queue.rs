//! Queue of the requests that wait at this host for an endpoint.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::tier_shares::{ServiceShares, TierShares};
use super::types::WorkItem;
use crate::configs::SchedulerSettings;
use crate::ids::{ServiceName, TicketNumber, TierNumber};

/// Maximum number of tier delays that are added to a request's arrival time.
const MAX_TIER_DELAYS: u32 = 8;

#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    items: Vec<WorkItem>,
}

impl WaitQueue {
    pub fn push(&mut self, item: WorkItem) {
        self.items.push(item);
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns the number of waiting requests of each tier.
    pub fn count_by_tier(&self) -> Vec<(TierNumber, usize)> {
        let mut counts = BTreeMap::new();
        for item in &self.items {
            *counts.entry(item.tier).or_default() += 1;
        }
        counts.into_iter().collect()
    }

    /// Returns the number of waiting requests of the same service that precede a new request of
    /// this tier.
    pub fn count_ahead_of(&self, item: &WorkItem) -> usize {
        let ahead = self.items.iter().filter(|other| {
            other.service == item.service
                && (other.tier, other.route_tier) <= (item.tier, item.route_tier)
        });
        ahead.count()
    }

    /// Returns whether requests of a service are waiting.
    pub fn has_any(&self, service: &ServiceName) -> bool {
        self.items.iter().any(|item| item.service == *service)
    }

    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    pub fn remove(&mut self, ticket: TicketNumber) -> Option<WorkItem> {
        let index = self.items.iter().position(|item| item.ticket == ticket)?;
        Some(self.items.remove(index))
    }

    /// Removes and returns the requests that have waited for their maximum time.
    pub fn take_expired(
        &mut self,
        shares: &ServiceShares,
        settings: &SchedulerSettings,
        now: Instant,
    ) -> Vec<WorkItem> {
        let wait_end = |item: &WorkItem| {
            let full = shares
                .get(&item.service)
                .is_some_and(|shares| shares.slots_full);
            item.arrived + max_wait(item, full, settings)
        };
        let (expired, rest) = std::mem::take(&mut self.items)
            .into_iter()
            .partition(|item| now >= wait_end(item));
        self.items = rest;
        expired
    }

    /// Returns the tickets of one service in the order in which they should be dispatched.
    pub fn ordered_tickets(
        &self,
        service: &ServiceName,
        shares: &TierShares,
        settings: &SchedulerSettings,
        now: Instant,
    ) -> Vec<TicketNumber> {
        let mut waiting: Vec<_> = self
            .items
            .iter()
            .filter(|item| item.service == *service)
            .map(|item| {
                let is_late = is_late(item, settings, now);
                let underserved = shares.is_underserved(item.route_tier, settings, now);
                let arrival = virtual_arrival(item, settings);
                (item.tier, is_late, !underserved, arrival, item.ticket)
            })
            .collect();
        waiting.sort_unstable();
        waiting.into_iter().map(|(.., ticket)| ticket).collect()
    }

    pub fn get(&self, ticket: TicketNumber) -> Option<&WorkItem> {
        self.items.iter().find(|item| item.ticket == ticket)
    }

    /// Returns the service of each waiting request.
    pub fn item_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.items.iter().map(|item| &item.service)
    }

    pub fn services(&self) -> Vec<ServiceName> {
        let mut services: Vec<_> = self.items.iter().map(|item| item.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        services
    }
}

/// Returns whether a request can no longer meet its first-byte deadline. A late answer is worth
/// less to its caller than one that is on time, so such requests are dispatched only if nothing
/// else waits.
fn is_late(item: &WorkItem, settings: &SchedulerSettings, now: Instant) -> bool {
    now >= item.arrived + max_on_time_wait(item, settings)
}

/// Returns how long a request may wait and still meet its first-byte deadline.
fn max_on_time_wait(item: &WorkItem, settings: &SchedulerSettings) -> Duration {
    let prefill_time = settings
        .prefill_time_per_1k_tokens
        .mul_f64(f64::from(item.prompt_tokens) / 1_000.0);
    let target = item
        .first_byte_deadline
        .saturating_duration_since(item.arrived);
    target.saturating_sub(settings.first_byte_margin + prefill_time)
}

/// Returns the arrival time that orders requests. It is delayed by a bounded time for lower route
/// tiers, so that they are served later but do not starve.
fn virtual_arrival(item: &WorkItem, settings: &SchedulerSettings) -> Instant {
    item.arrived + settings.tier_delay * u32::from(item.route_tier).min(MAX_TIER_DELAYS)
}

/// Returns how long a request may wait. While all slots are taken, a slot that a late request takes
/// is missing for a request that can still be on time, here or at another host, so the late caller
/// is better refused and asked to retry. While endpoints are unreachable, no other request gains
/// from a refusal.
pub(crate) fn max_wait(
    item: &WorkItem,
    slots_full: bool,
    settings: &SchedulerSettings,
) -> Duration {
    let last = settings.max_queue_wait.len().saturating_sub(1);
    let bound = settings
        .max_queue_wait
        .get(usize::from(item.route_tier).min(last))
        .copied()
        .unwrap_or(Duration::ZERO);
    let half = item.deadline.saturating_duration_since(item.arrived) / 2;
    let wait = bound.min(half);
    if slots_full {
        wait.min(max_on_time_wait(item, settings).max(settings.min_queue_wait))
    } else {
        wait
    }
}
