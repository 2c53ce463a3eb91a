//! Slow start: how much an endpoint that may be cold receives.

use std::time::{Duration, Instant};

use crate::configs::slow_start::SlowStartSettings;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WarmthState {
    /// Seen for the first time after a takeover: may be warm or cold, idle or full.
    Unknown,
    Cold,
    Warm,
}

#[derive(Debug)]
pub(crate) struct SlowStart {
    state: WarmthState,
    /// Limit while not warm.
    limit: u32,
    /// Bearable load of the last report, if that said cold.
    bearable: Option<u32>,
    late_streak: u32,
    /// Only requests granted later show that the endpoint bears its present load.
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

    /// Number of permits that the endpoint may hold, given its learned limit.
    pub fn cap(&self, learned: u32) -> u32 {
        match self.state {
            WarmthState::Warm => learned,
            WarmthState::Cold | WarmthState::Unknown => self
                .limit
                .min(learned)
                .min(self.bearable.unwrap_or(u32::MAX)),
        }
    }

    /// Number of permits that it can be expected to bear after its slow start.
    pub fn expected_cap(&self, learned: u32) -> u32 {
        learned.min(self.bearable.unwrap_or(u32::MAX))
    }

    pub fn mark_cold(&mut self, now: Instant) {
        self.state = WarmthState::Cold;
        self.limit = 1;
        self.late_streak = 0;
        self.cold_since = now;
    }

    /// The wait for a report after a takeover is over.
    pub fn expire_unknown(&mut self, now: Instant) {
        if self.state == WarmthState::Unknown {
            self.mark_cold(now);
        }
    }

    /// Takes a report. `fresh`: made after the takeover.
    pub fn record_report(&mut self, cold: bool, bearable: u32, fresh: bool, now: Instant) {
        let newly_cold = cold && self.bearable.is_none();
        self.bearable = cold.then_some(bearable);
        match self.state {
            // An older report shows neither what runs there now nor whether it is still warm.
            WarmthState::Unknown if !fresh => {}
            WarmthState::Unknown if !cold => self.state = WarmthState::Warm,
            WarmthState::Unknown => self.mark_cold(now),
            // Also during a slow start: the endpoint was restarted once more.
            WarmthState::Cold | WarmthState::Warm if newly_cold => self.mark_cold(now),
            WarmthState::Cold | WarmthState::Warm => {}
        }
    }

    /// Counts a run whose first token came in time.
    pub fn record_timely_run(&mut self, granted: Instant, learned: u32) {
        self.late_streak = 0;
        if self.state != WarmthState::Cold || granted < self.cold_since {
            return;
        }
        let bound = self.bearable.unwrap_or(u32::MAX).max(1);
        self.limit = (self.limit + 1).min(bound).min(learned);
        if self.bearable.is_none() && self.limit >= learned {
            self.state = WarmthState::Warm;
        }
    }

    /// Counts a run whose first token came late; a streak makes the endpoint cold.
    pub fn record_late_run(&mut self, settings: &SlowStartSettings, now: Instant) {
        self.late_streak += 1;
        if self.late_streak >= settings.late_streak {
            self.mark_cold(now);
        }
    }
}

/// Whether a first token came later than the prediction allows.
pub(crate) fn is_late(
    first_token: Duration,
    predicted: Duration,
    settings: &SlowStartSettings,
) -> bool {
    let threshold = predicted.mul_f64(settings.late_factor) + settings.late_margin;
    first_token > threshold
}
