//! Limits the requests that this host sends to a cold endpoint.

use std::time::Instant;

/// Token bucket that holds at most one permit and is refilled at this host's share of the
/// endpoint's cold rate.
#[derive(Debug, Default)]
pub(crate) struct ColdGate {
    cold_until: Option<Instant>,
    permits: f64,
    refilled: Option<Instant>,
}

impl ColdGate {
    /// Extends the cold period; an end before the current one is ignored.
    pub fn mark_cold(&mut self, until: Instant) {
        if self.cold_until.is_none_or(|known| known < until) {
            self.cold_until = Some(until);
        }
    }

    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Returns whether one more request may be sent, after refilling at `rate_per_s`.
    pub fn admits(&mut self, rate_per_s: f64, now: Instant) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let elapsed = self
            .refilled
            .map_or(1.0, |refilled| now.duration_since(refilled).as_secs_f64());
        self.permits = (self.permits + elapsed * rate_per_s).min(1.0);
        self.refilled = Some(now);
        self.permits >= 1.0
    }

    pub fn consume_permit(&mut self) {
        self.permits = (self.permits - 1.0).max(0.0);
    }
}
