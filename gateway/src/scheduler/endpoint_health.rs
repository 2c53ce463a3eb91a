//! What failures of requests say of an endpoint. No status checks are sent.

use std::time::Instant;

use super::types::RunEnd;
use crate::configs::SchedulerSettings;

/// Weight of one more result in the average of failures.
const RESULT_WEIGHT: f64 = 0.2;

#[derive(Debug, Default)]
pub(crate) struct EndpointHealth {
    /// Average of failures, 0 to 1, as of `as_of`.
    failure_rate: f64,
    as_of: Option<Instant>,
    /// Failures to reach it without a success since.
    unreachable_streak: u32,
    blocked_until: Option<Instant>,
}

impl EndpointHealth {
    pub fn is_blocked(&self, now: Instant) -> bool {
        self.blocked_until.is_some_and(|until| now < until)
    }

    /// Not reached lately: one request at a time finds out whether it is back.
    pub fn is_suspect(&self) -> bool {
        self.unreachable_streak > 0
    }

    pub fn failure_rate(&self, settings: &SchedulerSettings, now: Instant) -> f64 {
        let Some(as_of) = self.as_of else {
            return 0.0;
        };
        let age = now.duration_since(as_of).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / settings.failure_half_life.as_secs_f64())
    }

    pub fn record_end(&mut self, end: RunEnd, settings: &SchedulerSettings, now: Instant) {
        let failed = match end {
            RunEnd::Completed => 0.0,
            RunEnd::Failed | RunEnd::Broken | RunEnd::Stalled => 1.0,
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

    /// Any byte of an answer shows that the endpoint is there.
    pub fn record_reachable(&mut self) {
        self.unreachable_streak = 0;
        self.blocked_until = None;
    }

    fn block(&mut self, settings: &SchedulerSettings, now: Instant) {
        let factor = 2_u32.pow(self.unreachable_streak.min(8));
        let backoff = (settings.min_backoff * factor).min(settings.max_backoff);
        self.unreachable_streak += 1;
        self.blocked_until = Some(now + backoff);
    }
}
