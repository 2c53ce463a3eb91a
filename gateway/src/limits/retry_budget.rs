//! Limits how often this host retries requests.

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

#[derive(Debug, Default)]
struct ServiceCount {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// Counts the requests and retries of each service in a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    hosts: usize,
    counts: FastMap<ServiceName, ServiceCount>,
}

impl RetryBudget {
    #[must_use]
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            hosts: 1,
            counts: FastMap::default(),
        }
    }

    /// Applies changed settings.
    pub fn apply_settings(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
    }

    /// Sets the number of hosts that share the slack.
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
        let count = self.counts.entry(service.clone()).or_default();
        Self::drop_expired(&self.settings, count, now);
        #[expect(clippy::cast_precision_loss, reason = "counts of a few seconds")]
        let (requests, retries, hosts) = (
            count.requests.len() as f64,
            count.retries.len() as f64,
            self.hosts as f64,
        );
        let allowed = self.settings.ratio * requests + self.settings.slack / hosts;
        let granted = retries + 1.0 <= allowed * USABLE_SHARE;
        if granted {
            count.retries.push_back(now);
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
