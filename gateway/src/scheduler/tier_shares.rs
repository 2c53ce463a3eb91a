//! Keeps the routes of one tier from starving behind those above it.

use std::time::Instant;

use crate::configs::SchedulerSettings;
use crate::ids::{FastMap, ServiceName, TierNumber};

/// Requests of a tier below which nothing is concluded.
const MIN_REQUESTS: f64 = 3.0;

/// Requests that requested for an endpoint and that were dispatched to one, lately.
#[derive(Clone, Copy, Debug)]
struct TierCount {
    requested: f64,
    dispatched: f64,
    updated: Instant,
}

impl TierCount {
    fn decayed(&self, settings: &SchedulerSettings, now: Instant) -> (f64, f64) {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        let factor = 0.5_f64.powf(age / settings.share_half_life.as_secs_f64());
        (self.requested * factor, self.dispatched * factor)
    }

    fn add(&mut self, requested: f64, dispatched: f64, settings: &SchedulerSettings, now: Instant) {
        let (requested_before, dispatched_before) = self.decayed(settings, now);
        *self = Self {
            requested: requested_before + requested,
            dispatched: dispatched_before + dispatched,
            updated: now,
        };
    }
}

/// Counts of one service by tier of routes.
#[derive(Debug, Default)]
pub(crate) struct TierShares {
    tiers: FastMap<TierNumber, TierCount>,
    /// Whether every place that may be used was taken when one was last looked for.
    pub slots_full: bool,
    /// Since when requests have waited for places without a moment in which none did.
    pub overload_since: Option<Instant>,
}

impl TierShares {
    pub fn record_request(&mut self, tier: TierNumber, settings: &SchedulerSettings, now: Instant) {
        self.add(tier, 1.0, 0.0, settings, now);
    }

    pub fn record_dispatch(
        &mut self,
        tier: TierNumber,
        settings: &SchedulerSettings,
        now: Instant,
    ) {
        self.add(tier, 0.0, 1.0, settings, now);
    }

    /// Requests dispatched in one second, on average over the last few.
    pub fn dispatch_rate_per_s(&self, settings: &SchedulerSettings, now: Instant) -> f64 {
        let dispatched: f64 = self
            .tiers
            .values()
            .map(|count| count.decayed(settings, now).1)
            .sum();
        dispatched * std::f64::consts::LN_2 / settings.share_half_life.as_secs_f64()
    }

    /// Whether the tier is dispatched much less often than all requests are.
    pub fn is_underserved(
        &self,
        tier: TierNumber,
        settings: &SchedulerSettings,
        now: Instant,
    ) -> bool {
        let Some(count) = self.tiers.get(&tier) else {
            return false;
        };
        let (requested, dispatched) = count.decayed(settings, now);
        if requested < MIN_REQUESTS {
            return false;
        }
        let (all_requested, all_dispatched) = self
            .tiers
            .values()
            .map(|count| count.decayed(settings, now))
            .fold((0.0, 0.0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
        dispatched / requested < settings.min_tier_share * all_dispatched / all_requested
    }

    fn add(
        &mut self,
        tier: TierNumber,
        requested: f64,
        dispatched: f64,
        settings: &SchedulerSettings,
        now: Instant,
    ) {
        let count = self.tiers.entry(tier).or_insert(TierCount {
            requested: 0.0,
            dispatched: 0.0,
            updated: now,
        });
        count.add(requested, dispatched, settings, now);
    }
}

/// Counts by service.
pub(crate) type ServiceShares = FastMap<ServiceName, TierShares>;
