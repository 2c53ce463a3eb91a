//! Requests that wait at this host for an endpoint.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::tier_shares::{ServiceShares, TierShares};
use super::types::WorkItem;
use crate::configs::SchedulerSettings;
use crate::ids::{ServiceName, TicketNumber, TierNumber};

/// Tiers below this one step back no further.
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

    /// How many requests of each tier wait.
    pub fn count_by_tier(&self) -> Vec<(TierNumber, usize)> {
        let mut counts = BTreeMap::new();
        for item in &self.items {
            *counts.entry(item.tier).or_default() += 1;
        }
        counts.into_iter().collect()
    }

    /// Waiting requests of a service that a new one of this tier waits for.
    pub fn ahead_of(&self, item: &WorkItem) -> usize {
        let ahead = self.items.iter().filter(|other| {
            other.service == item.service
                && (other.tier, other.route_tier) <= (item.tier, item.route_tier)
        });
        ahead.count()
    }

    /// Whether requests of a service wait.
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

    /// Takes the items whose wait is over.
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
            item.arrived + longest_wait(item, full, settings)
        };
        let (expired, rest) = std::mem::take(&mut self.items)
            .into_iter()
            .partition(|item| now >= wait_end(item));
        self.items = rest;
        expired
    }

    /// Tickets of one service in the order in which they should be sent.
    pub fn ordered(
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
                let late = cannot_be_on_time(item, settings, now);
                let favoured = shares.is_underserved(item.route_tier, settings, now);
                let arrival = virtual_arrival(item, settings);
                (item.tier, late, !favoured, arrival, item.ticket)
            })
            .collect();
        waiting.sort_unstable();
        waiting.into_iter().map(|(.., ticket)| ticket).collect()
    }

    pub fn get(&self, ticket: TicketNumber) -> Option<&WorkItem> {
        self.items.iter().find(|item| item.ticket == ticket)
    }

    pub fn services(&self) -> Vec<ServiceName> {
        let mut services: Vec<_> = self.items.iter().map(|item| item.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        services
    }
}

/// A late answer is worth less to its caller than one that can still be on time, so requests that
/// have missed their target are sent when nothing else waits.
fn cannot_be_on_time(item: &WorkItem, settings: &SchedulerSettings, now: Instant) -> bool {
    now >= item.arrived + on_time_wait(item, settings)
}

/// How long a request may wait and still have its first byte on time.
fn on_time_wait(item: &WorkItem, settings: &SchedulerSettings) -> Duration {
    let reading = settings
        .prefill_time_per_1k_tokens
        .mul_f64(f64::from(item.prompt_tokens) / 1_000.0);
    let target = item
        .first_byte_deadline
        .saturating_duration_since(item.arrived);
    target.saturating_sub(settings.first_byte_margin + reading)
}

/// Arrival of a request; those of lower routes step back by a bounded time, so that they are
/// served later but not starved.
fn virtual_arrival(item: &WorkItem, settings: &SchedulerSettings) -> Instant {
    item.arrived + settings.tier_delay * u32::from(item.route_tier).min(MAX_TIER_DELAYS)
}

/// How long a request may wait. While all places are taken, a place that it took later would be
/// missing for one that can still be on time, here or at another host; its caller is better told
/// to come back. While endpoints are away, nobody gains from a refusal.
pub(crate) fn longest_wait(
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
        wait.min(on_time_wait(item, settings).max(settings.min_queue_wait))
    } else {
        wait
    }
}
