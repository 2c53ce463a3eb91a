//! Limits how often this host retries requests.
//!
//! The budget covers the retries of all hosts in any span of one window, and no host knows what the
//! process before it on its machine has sent, or what all hosts sent before all of them were lost.
//! Each process therefore leaves room for a successor that starts at any moment:
//!
//! - Each request grants an immediate part of a retry.
//! - The rest of the ratio, and this host's share of the slack, form a reserve. Over every span of
//!   up to one window, a host sends no more retries than the reserve and the immediate parts of the
//!   requests of that span.
//! - A process has no reserve until it has run for one window, unless the whole system starts for
//!   the first time. Until then it sends only what the immediate parts of its own requests pay for.
//!
//! A span that begins in one process and ends in its successors thus holds one reserve, and
//! immediate parts of requests of that span, which together are within the budget.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::ids::{FastMap, ServiceName};

#[derive(Clone, Debug)]
pub struct RetryBudgetSettings {
    /// Retries that all hosts may send, as a share of the requests.
    pub ratio: f64,
    /// Time window in which retries and requests are counted.
    pub window: Duration,
    /// Retries that all hosts may send beyond that share.
    pub slack: f64,
}

/// Share of the budget that is used. A tenth is reserved for hosts that count differently because
/// they joined or left within the window.
const USABLE_SHARE: f64 = 0.9;
/// Part of the ratio that requests grant at once; the rest belongs to the reserve. A larger part
/// gives restarted hosts more retries, a smaller one leaves more for many failures at once.
const IMMEDIATE_PART: f64 = 0.5;

/// Arrivals and retries of one service, in order of time.
#[derive(Debug, Default)]
struct ServiceCount {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl ServiceCount {
    /// Returns whether another retry would keep to the budget of a host without a reserve.
    fn may_retry_without_reserve(&self, immediate_ratio: f64) -> bool {
        count(self.retries.len() + 1) <= immediate_ratio * count(self.requests.len())
    }

    /// Returns whether another retry would keep to the budget in every span that ends now.
    fn may_retry(&self, reserve: f64, immediate_ratio: f64) -> bool {
        // A span that begins with an earlier retry holds the retries and the requests since.
        let mut requests_before = self.requests.len();
        let has_room = |retries: usize, requests_before: usize| {
            let requests = self.requests.len() - requests_before;
            count(retries) <= reserve + immediate_ratio * count(requests)
        };
        for (later_retries, start) in self.retries.iter().rev().enumerate() {
            while requests_before > 0 && self.requests[requests_before - 1] >= *start {
                requests_before -= 1;
            }
            if !has_room(later_retries + 2, requests_before) {
                return false;
            }
        }
        has_room(self.retries.len() + 1, 0)
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of a few seconds")]
fn count(number: usize) -> f64 {
    number as f64
}

/// Counts the requests and retries of each service in a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// Start of this process, if another one may have sent retries before it.
    started: Option<Instant>,
    hosts: usize,
    counts: FastMap<ServiceName, ServiceCount>,
}

impl RetryBudget {
    /// `started` is when this process started, or `None` if the whole system starts for the first
    /// time, so that no process has sent retries before.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings, started: Option<Instant>) -> Self {
        Self {
            settings,
            started,
            hosts: 1,
            counts: FastMap::default(),
        }
    }

    /// Applies changed settings.
    pub fn apply_settings(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
    }

    /// Sets the number of hosts that share the slack. Hosts that are leaving or have left within
    /// the window have used their share, so they count.
    pub fn set_host_count(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    pub fn record_request(&mut self, service: &ServiceName, now: Instant) {
        let count = self.counts.entry(service.clone()).or_default();
        count.requests.push_back(now);
        Self::drop_expired(&self.settings, count, now);
    }

    /// Takes one retry from the budget; returns false if the budget is used up.
    pub fn try_retry(&mut self, service: &ServiceName, now: Instant) -> bool {
        let service_count = self.counts.entry(service.clone()).or_default();
        Self::drop_expired(&self.settings, service_count, now);
        let immediate_ratio = self.settings.ratio * USABLE_SHARE * IMMEDIATE_PART;
        let has_reserve = self
            .started
            .is_none_or(|started| now.saturating_duration_since(started) > self.settings.window);
        let granted = if has_reserve {
            let saved_ratio = self.settings.ratio * USABLE_SHARE * (1.0 - IMMEDIATE_PART);
            let slack = self.settings.slack * USABLE_SHARE / count(self.hosts);
            let reserve = slack + saved_ratio * count(service_count.requests.len());
            service_count.may_retry(reserve, immediate_ratio)
        } else {
            service_count.may_retry_without_reserve(immediate_ratio)
        };
        if granted {
            service_count.retries.push_back(now);
        }
        granted
    }

    /// Returns a retry that was taken at `taken_at` and not sent.
    pub fn refund_retry(&mut self, service: &ServiceName, taken_at: Instant) {
        if let Some(count) = self.counts.get_mut(service) {
            let index = count.retries.iter().rposition(|time| *time == taken_at);
            index.and_then(|index| count.retries.remove(index));
        }
    }

    fn drop_expired(settings: &RetryBudgetSettings, count: &mut ServiceCount, now: Instant) {
        for times in [&mut count.requests, &mut count.retries] {
            while times
                .front()
                .is_some_and(|time| now.duration_since(*time) > settings.window)
            {
                times.pop_front();
            }
        }
    }
}
