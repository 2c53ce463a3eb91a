//! Keeps the times to the first byte of each route, and the allowance of second sends.
//!
//! The load that it answers: a few endpoints that are slow for a moment, while others have room. A
//! second send after nearly all answers have begun is likely faster than the rest of the first one.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::ids::{FastMap, RouteName};

/// Quantile of the times to the first byte after which an answer counts as slow.
const SLOW_QUANTILE: f64 = 0.95;
/// Minimum number of times from which this quantile is taken.
const MIN_TIMES: u64 = 20;
/// Number of times after which a histogram is replaced by an empty one; the one before is kept.
const TIMES_PER_HISTOGRAM: u64 = 200;
/// Maximum time that is told apart, in milliseconds.
const MAX_TIME_MS: u64 = 60_000;
/// Significant digits of the histograms, enough for a delay.
const PRECISION_DIGITS: u8 = 2;
/// Second sends that may be saved up: a few at once are slow by chance.
const MAX_CREDIT: f64 = 3.0;
/// Minimum delay of a second send. Shorter ones would be sent for answers that are on their way.
const MIN_DELAY: Duration = Duration::from_millis(30);
/// Prompt tokens that take about as long as the rest of the time to the first byte.
const TOKENS_PER_UNIT: f64 = 2_500.0;

/// Settings of second sends.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HedgeSettings {
    /// Maximum share of all requests that are sent a second time; 0 turns second sends off.
    pub max_share: f64,
}

/// Returns the factor by which a prompt of this size takes longer than an empty one.
#[must_use]
pub fn size_factor(prompt_tokens: u32) -> f64 {
    1.0 + f64::from(prompt_tokens) / TOKENS_PER_UNIT
}

/// Recent times to the first byte on one route, divided by the size factor.
#[derive(Debug)]
struct RouteTimes {
    current: Histogram<u16>,
    previous: Histogram<u16>,
}

impl RouteTimes {
    fn new() -> Option<Self> {
        let empty = Histogram::new_with_bounds(1, MAX_TIME_MS, PRECISION_DIGITS).ok()?;
        Some(Self {
            current: empty.clone(),
            previous: empty,
        })
    }

    fn record(&mut self, time_ms: u64) {
        self.current.saturating_record(time_ms.max(1));
        if self.current.len() >= TIMES_PER_HISTOGRAM {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
    }

    fn slow_ms(&self) -> Option<u64> {
        let mut all = self.previous.clone();
        all.add(&self.current).ok()?;
        (all.len() >= MIN_TIMES).then(|| all.value_at_quantile(SLOW_QUANTILE))
    }
}

/// Second sends of one host.
#[derive(Debug)]
pub struct HedgeControl {
    settings: HedgeSettings,
    credit: f64,
    routes: FastMap<RouteName, RouteTimes>,
}

impl HedgeControl {
    #[must_use]
    pub fn new(settings: HedgeSettings) -> Self {
        Self {
            settings,
            credit: 0.0,
            routes: FastMap::default(),
        }
    }

    fn is_on(&self) -> bool {
        self.settings.max_share > 0.0
    }

    /// Records a request, which allows a part of a second send.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + self.settings.max_share).min(MAX_CREDIT);
    }

    /// Records the time from a send to the first byte, or to the moment at which the endpoint was
    /// given up: without the latter, the times would seem shorter the more are given up.
    pub fn record_time(&mut self, route: &RouteName, size_factor: f64, took: Duration) {
        if !self.is_on() {
            return;
        }
        if !self.routes.contains_key(route)
            && let Some(times) = RouteTimes::new()
        {
            self.routes.insert(route.clone(), times);
        }
        if let Some(times) = self.routes.get_mut(route) {
            let scaled = took.div_f64(size_factor.max(1.0)).as_millis();
            times.record(u64::try_from(scaled).unwrap_or(MAX_TIME_MS));
        }
    }

    /// Returns the time after which a first byte is late on a route, or `None` if too little is
    /// known of it or second sends are off.
    #[must_use]
    pub fn delay(&self, route: &RouteName, size_factor: f64) -> Option<Duration> {
        let slow_ms = self.routes.get(route)?.slow_ms()?;
        let delay = Duration::from_millis(slow_ms).mul_f64(size_factor.max(1.0));
        Some(delay.max(MIN_DELAY))
    }

    /// Takes the allowance of one second send; returns false if there is none.
    pub fn try_take(&mut self) -> bool {
        let is_allowed = self.is_on() && self.credit >= 1.0;
        if is_allowed {
            self.credit -= 1.0;
        }
        is_allowed
    }

    /// Returns the allowance of a second send that was not sent.
    pub fn refund(&mut self) {
        self.credit = (self.credit + 1.0).min(MAX_CREDIT);
    }
}
