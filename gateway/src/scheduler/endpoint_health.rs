//! Health of an endpoint, derived from the results of its requests. No health checks are sent.

use std::time::{Duration, Instant};

use super::types::RunEnd;
use crate::configs::SchedulerSettings;

/// Weight of each new result in the moving average of failures.
const RESULT_WEIGHT: f64 = 0.2;

#[derive(Debug, Default)]
pub(crate) struct EndpointHealth {
    /// Moving average of failures, between 0 and 1, at the time `as_of`.
    failure_rate: f64,
    as_of: Option<Instant>,
    /// Consecutive failures to reach the endpoint.
    unreachable_streak: u32,
    blocked_until: Option<Instant>,
}

impl EndpointHealth {
    pub fn is_blocked(&self, now: Instant) -> bool {
        self.blocked_until.is_some_and(|until| now < until)
    }

    /// Returns whether the last attempt could not reach the endpoint. Then only one request at a
    /// time is sent to it, to find out whether it is reachable again.
    pub fn is_suspect(&self) -> bool {
        self.unreachable_streak > 0
    }

    pub fn failure_rate(&self, settings: &SchedulerSettings, now: Instant) -> f64 {
        let Some(as_of) = self.as_of else { return 0.0 };
        let age = now.duration_since(as_of).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / settings.failure_half_life.as_secs_f64())
    }

    pub fn record_end(&mut self, end: RunEnd, settings: &SchedulerSettings, now: Instant) {
        let failed = match end {
            RunEnd::Completed => 0.0,
            RunEnd::Failed | RunEnd::Broken | RunEnd::Disconnected | RunEnd::Stalled => 1.0,
            RunEnd::NotRun => {
                let until = now + settings.refusal_backoff;
                self.blocked_until = self.blocked_until.max(Some(until));
                1.0
            }
            RunEnd::Unreachable | RunEnd::Misdirected => {
                self.block(settings, now);
                1.0
            }
            RunEnd::Abandoned => return,
        };
        let rate = self.failure_rate(settings, now);
        self.failure_rate = rate + RESULT_WEIGHT * (failed - rate);
        self.as_of = Some(now);
    }

    /// Records that the endpoint is reachable, as any byte of an answer shows.
    pub fn record_reachable(&mut self) {
        self.unreachable_streak = 0;
        self.blocked_until = None;
    }

    /// Blocks the endpoint for at least this time.
    pub fn block_for(&mut self, time: Duration, now: Instant) {
        self.blocked_until = self.blocked_until.max(Some(now + time));
    }

    fn block(&mut self, settings: &SchedulerSettings, now: Instant) {
        let factor = 2_u32.pow(self.unreachable_streak.min(8));
        let backoff = (settings.initial_backoff * factor).min(settings.max_backoff);
        self.unreachable_streak += 1;
        self.blocked_until = Some(now + backoff);
    }
}
