//! Keeps the routes of one tier from starving behind those above it.

use std::time::Instant;

use crate::configs::SchedulerSettings;
use crate::ids::{FastMap, ServiceName, TierNumber};

/// Requests of a tier below which nothing is concluded.
const LEAST_ASKED: f64 = 3.0;

/// Requests that asked for an endpoint and that were sent to one, lately.
#[derive(Clone, Copy, Debug)]
struct TierCount {
    asked: f64,
    sent: f64,
    noted: Instant,
}

impl TierCount {
    fn decayed(&self, settings: &SchedulerSettings, now: Instant) -> (f64, f64) {
        let age = now.saturating_duration_since(self.noted).as_secs_f64();
        let factor = 0.5_f64.powf(age / settings.share_half_life.as_secs_f64());
        (self.asked * factor, self.sent * factor)
    }

    fn add(&mut self, asked: f64, sent: f64, settings: &SchedulerSettings, now: Instant) {
        let (asked_before, sent_before) = self.decayed(settings, now);
        *self = Self {
            asked: asked_before + asked,
            sent: sent_before + sent,
            noted: now,
        };
    }
}

/// Counts of one service by tier of routes.
#[derive(Debug, Default)]
pub(crate) struct TierShares {
    tiers: FastMap<TierNumber, TierCount>,
    /// Whether every place that may be used was taken when one was last looked for.
    pub places_full: bool,
    /// Since when requests have waited for places without a moment in which none did.
    pub overload_since: Option<Instant>,
}

impl TierShares {
    pub fn note_asked(&mut self, tier: TierNumber, settings: &SchedulerSettings, now: Instant) {
        self.add(tier, 1.0, 0.0, settings, now);
    }

    pub fn note_sent(&mut self, tier: TierNumber, settings: &SchedulerSettings, now: Instant) {
        self.add(tier, 0.0, 1.0, settings, now);
    }

    /// Requests sent in one second, on average over the last few.
    pub fn sent_per_s(&self, settings: &SchedulerSettings, now: Instant) -> f64 {
        let sent: f64 = self
            .tiers
            .values()
            .map(|count| count.decayed(settings, now).1)
            .sum();
        sent * std::f64::consts::LN_2 / settings.share_half_life.as_secs_f64()
    }

    /// Whether the tier is sent much less often than all requests are.
    pub fn is_short(&self, tier: TierNumber, settings: &SchedulerSettings, now: Instant) -> bool {
        let Some(count) = self.tiers.get(&tier) else {
            return false;
        };
        let (asked, sent) = count.decayed(settings, now);
        if asked < LEAST_ASKED {
            return false;
        }
        let (all_asked, all_sent) = self
            .tiers
            .values()
            .map(|count| count.decayed(settings, now))
            .fold((0.0, 0.0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
        sent / asked < settings.min_tier_share * all_sent / all_asked
    }

    fn add(
        &mut self,
        tier: TierNumber,
        asked: f64,
        sent: f64,
        settings: &SchedulerSettings,
        now: Instant,
    ) {
        let count = self.tiers.entry(tier).or_insert(TierCount {
            asked: 0.0,
            sent: 0.0,
            noted: now,
        });
        count.add(asked, sent, settings, now);
    }
}

/// Counts by service.
pub(crate) type ServiceShares = FastMap<ServiceName, TierShares>;
