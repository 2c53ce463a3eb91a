//! Bounds how often this host sends requests more than once.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::ids::{FastMap, ServiceName};

#[derive(Clone, Debug)]
pub struct RetryBudgetSettings {
    /// Repeats that all hosts may send, as a share of the requests.
    pub ratio: f64,
    /// Span in which repeats and requests are counted.
    pub window: Duration,
    /// Repeats that all hosts may send beyond the share.
    pub slack: f64,
}

/// Part of the budget that is used: reserves a tenth for hosts that count differently because
/// they joined or left within the window.
const USED_PART: f64 = 0.9;

#[derive(Debug, Default)]
struct ServiceCount {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

/// Counts requests and repeats of each service in a sliding window.
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

    /// Takes over changed settings.
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
        Self::forget(&self.settings, count, now);
    }

    /// Takes one repeat from the budget; false when it is used up.
    pub fn try_retry(&mut self, service: &ServiceName, now: Instant) -> bool {
        let count = self.counts.entry(service.clone()).or_default();
        Self::forget(&self.settings, count, now);
        #[expect(clippy::cast_precision_loss, reason = "counts of a few seconds")]
        let (requests, repeats, hosts) = (
            count.requests.len() as f64,
            count.repeats.len() as f64,
            self.hosts as f64,
        );
        let allowed = self.settings.ratio * requests + self.settings.slack / hosts;
        let granted = repeats + 1.0 <= allowed * USED_PART;
        if granted {
            count.repeats.push_back(now);
        }
        granted
    }

    fn forget(settings: &RetryBudgetSettings, count: &mut ServiceCount, now: Instant) {
        for times in [&mut count.requests, &mut count.repeats] {
            while times
                .front()
                .is_some_and(|time| now.duration_since(*time) > settings.window)
            {
                times.pop_front();
            }
        }
    }
}
