//! Keeps the routes of one tier from starving behind those of higher tiers.

use std::time::Instant;

use crate::configs::SchedulerSettings;
use crate::ids::{FastMap, ServiceName, TierNumber};

/// Minimum number of recent requests of a tier for comparing its share.
const MIN_REQUESTS_TO_COMPARE: f64 = 3.0;

/// Recent requests that asked for an endpoint and that were dispatched to one, both decaying over
/// time.
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

/// Recent requests of one service by tier of their routes.
#[derive(Debug, Default)]
pub(crate) struct TierShares {
    tiers: FastMap<TierNumber, TierCount>,
    /// Whether all usable slots were taken when one was last looked for.
    pub slots_full: bool,
    /// When all usable slots were last found taken.
    pub last_full: Option<Instant>,
    /// Start of the current overload: since then, there were always requests waiting for slots.
    pub overload_since: Option<Instant>,
}

impl TierShares {
    /// Records whether all usable slots were taken when one was looked for.
    pub fn record_look(&mut self, is_full: bool, now: Instant) {
        self.slots_full = is_full;
        if is_full {
            self.last_full = Some(now);
            self.overload_since.get_or_insert(now);
        }
    }

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

    /// Returns the average number of requests dispatched per second over the last few seconds.
    pub fn dispatch_rate_per_s(&self, settings: &SchedulerSettings, now: Instant) -> f64 {
        let dispatched: f64 = self
            .tiers
            .values()
            .map(|count| count.decayed(settings, now).1)
            .sum();
        dispatched * std::f64::consts::LN_2 / settings.share_half_life.as_secs_f64()
    }

    /// Returns whether a much smaller share of the tier's requests is dispatched than of all
    /// requests.
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
        if requested < MIN_REQUESTS_TO_COMPARE {
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

/// Recent requests by service.
pub(crate) type ServiceShares = FastMap<ServiceName, TierShares>;
