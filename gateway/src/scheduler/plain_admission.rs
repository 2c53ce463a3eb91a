//! Admission to services with few endpoints and many senders.
//!
//! The load that it answers: more requests than a plain service can answer in time, from so many
//! hosts that its answers are shorter than the age of the reports by which the hosts know its load.
//! Permits cannot be passed around fast enough then, and a queue at each host makes every answer
//! late. Instead each host refuses a share of the requests, controlled so that the wait at the
//! endpoints stays a part of the time that an answer may take. The control is proportional and
//! integral: a share that only followed the reported wait would swing with the age of the reports.

use std::time::{Duration, Instant};

use crate::ids::TierNumber;

/// Wait at the endpoints that the control aims at, as a part of the time that an answer may take
/// beyond its own. The rest is for answers that take longer than the mean.
const AIMED_WAIT: f64 = 0.3;
/// Increase of the refused share in a second for each unit by which the wait exceeds its aim.
const INTEGRAL_GAIN: f64 = 1.0;
/// Increase at once for each such unit.
const PROPORTIONAL_GAIN: f64 = 0.5;
/// Maximum share that is refused for long, so that the control learns when the load has gone.
const MAX_INTEGRAL: f64 = 0.9;
/// Maximum time that one update of the integral covers.
const MAX_UPDATE_TIME: Duration = Duration::from_secs(2);
/// Part of the refused share that applies to the highest tier.
const TOP_TIER_PART: f64 = 0.5;

/// Load of a plain service over all hosts, as last reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlainLoad {
    /// Places of the usable endpoints.
    pub slots: f64,
    /// Requests at these endpoints, waiting ones included.
    pub active: f64,
    /// Mean answer time of an endpoint that is not crowded.
    pub answer_time: Duration,
}

impl PlainLoad {
    /// Returns the expected wait at the endpoints as a part of the time that an answer may take
    /// beyond its own. Where that is less than the answer itself takes, a wait as long counts.
    fn relative_wait(&self, target: Duration) -> f64 {
        let crowding = self.active / self.slots.max(1.0);
        let wait = self.answer_time.mul_f64((crowding - 1.0).max(0.0));
        let slack = target
            .saturating_sub(self.answer_time)
            .max(self.answer_time);
        wait.as_secs_f64() / slack.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

/// Control of the share of requests for one plain service that this host refuses.
#[derive(Debug, Default)]
pub struct PlainAdmission {
    integral: f64,
    updated: Option<Instant>,
}

impl PlainAdmission {
    /// Returns the share of the requests that should be refused.
    ///
    /// `target`: the time that is left for an answer in time.
    pub fn refused_share(
        &mut self,
        load: &PlainLoad,
        target: Duration,
        tier: TierNumber,
        now: Instant,
    ) -> f64 {
        let elapsed = self
            .updated
            .replace(now)
            .map_or(Duration::ZERO, |updated| now.duration_since(updated))
            .min(MAX_UPDATE_TIME);
        if load.slots <= 0.0 {
            return 0.0;
        }
        let excess = load.relative_wait(target) - AIMED_WAIT;
        let change = excess * INTEGRAL_GAIN * elapsed.as_secs_f64();
        self.integral = (self.integral + change).clamp(0.0, MAX_INTEGRAL);
        let share = (self.integral + PROPORTIONAL_GAIN * excess).clamp(0.0, 1.0);
        if tier == 0 {
            share * TOP_TIER_PART
        } else {
            share
        }
    }
}

/// Returns the number of requests that an endpoint may hold for each of its places, so that each is
/// still answered in time.
#[must_use]
pub fn max_crowding(answer_time: Duration, target: Duration) -> f64 {
    (target.as_secs_f64() / answer_time.as_secs_f64().max(f64::MIN_POSITIVE)).max(1.0)
}
