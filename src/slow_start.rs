//! Slow start, which limits the load on an endpoint that may be cold.

use std::time::{Duration, Instant};

use crate::configs::slow_start::SlowStartSettings;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WarmthState {
    /// First seen after a takeover. The endpoint may be warm or cold, idle or full.
    Unknown,
    Cold,
    Warm,
}

#[derive(Debug)]
pub(crate) struct SlowStart {
    state: WarmthState,
    /// Limit while the endpoint isn't warm.
    limit: u32,
    /// Bearable load in the last report, if that report stated that the endpoint is cold.
    bearable: Option<u32>,
    late_streak: u32,
    /// Time at which the endpoint became cold. Only requests that were granted later show that it
    /// bears its current load.
    cold_since: Instant,
}

impl SlowStart {
    pub fn new(state: WarmthState, now: Instant) -> Self {
        Self {
            state,
            limit: 1,
            bearable: None,
            late_streak: 0,
            cold_since: now,
        }
    }

    pub fn state(&self) -> WarmthState {
        self.state
    }

    /// Returns the number of permits that the endpoint may hold, given its learned limit.
    pub fn cap(&self, learned_limit: u32) -> u32 {
        match self.state {
            WarmthState::Warm => learned_limit,
            WarmthState::Cold | WarmthState::Unknown => self
                .limit
                .min(learned_limit)
                .min(self.bearable.unwrap_or(u32::MAX)),
        }
    }

    /// Returns the number of permits that the endpoint is expected to bear after its slow start.
    pub fn expected_cap(&self, learned_limit: u32) -> u32 {
        learned_limit.min(self.bearable.unwrap_or(u32::MAX))
    }

    pub fn mark_cold(&mut self, now: Instant) {
        self.state = WarmthState::Cold;
        self.limit = 1;
        self.late_streak = 0;
        self.cold_since = now;
    }

    /// Treats an endpoint that hasn't reported since the takeover as cold.
    pub fn expire_unknown(&mut self, now: Instant) {
        if self.state == WarmthState::Unknown {
            self.mark_cold(now);
        }
    }

    /// Records the cold state from a load report. `fresh` is true if the report was made after the
    /// takeover.
    pub fn record_report(&mut self, cold: bool, bearable: u32, fresh: bool, now: Instant) {
        let newly_cold = cold && self.bearable.is_none();
        self.bearable = cold.then_some(bearable);
        match self.state {
            // An older report shows neither the current work nor whether the endpoint is still
            // warm.
            WarmthState::Unknown if !fresh => {}
            WarmthState::Unknown if !cold => self.state = WarmthState::Warm,
            WarmthState::Unknown => self.mark_cold(now),
            // This also applies during a slow start, since the endpoint has restarted again.
            WarmthState::Cold | WarmthState::Warm if newly_cold => self.mark_cold(now),
            WarmthState::Cold | WarmthState::Warm => {}
        }
    }

    /// Records a run whose first token arrived in time.
    pub fn record_timely_run(&mut self, granted: Instant, learned_limit: u32) {
        self.late_streak = 0;
        if self.state != WarmthState::Cold || granted < self.cold_since {
            return;
        }
        let max_limit = self.bearable.unwrap_or(u32::MAX).max(1);
        self.limit = self
            .limit
            .saturating_add(1)
            .min(max_limit)
            .min(learned_limit);
        if self.bearable.is_none() && self.limit >= learned_limit {
            self.state = WarmthState::Warm;
        }
    }

    /// Records a run whose first token was late. Several consecutive ones make the endpoint cold.
    pub fn record_late_run(&mut self, settings: &SlowStartSettings, now: Instant) {
        self.late_streak += 1;
        if self.late_streak >= settings.late_streak {
            self.mark_cold(now);
        }
    }
}

/// Returns whether a first token arrived later than the prediction allows.
pub(crate) fn is_late(
    first_token: Duration,
    predicted: Duration,
    settings: &SlowStartSettings,
) -> bool {
    let threshold = predicted.mul_f64(settings.late_factor) + settings.late_margin;
    first_token > threshold
}
