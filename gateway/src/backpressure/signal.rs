//! One statement of an endpoint about itself.

use std::time::Duration;

/// Requests per second, in thousandths.
pub type RateMilli = u32;

/// Maximum rate of a limit. No single endpoint serves more, so a higher figure is an error.
const MAX_RATE_PER_S: f64 = 1_000_000.0;
/// Minimum rate at which a limited endpoint is used. Only its answers show when the limit ends.
const MIN_RATE_MILLI: RateMilli = 100;
/// Maximum pause. An endpoint that wants a longer one says so again.
const MAX_PAUSE: Duration = Duration::from_mins(1);

/// What an endpoint says of itself in one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointSignal {
    /// The endpoint takes this many requests per second from all hosts together.
    RateLimit(RateMilli),
    /// The endpoint names no limit, so that an earlier one no longer applies.
    NoRateLimit,
    /// The endpoint wants no request from this host for this time.
    Pause(Duration),
    /// The endpoint is about to stop and wants no new requests.
    Leaving,
}

/// Parses a limit in requests per second. Returns `None` if the text is not a plausible rate.
#[must_use]
pub fn parse_rate_limit(text: &str) -> Option<RateMilli> {
    let rate: f64 = text.trim().parse().ok()?;
    if !(0.0..=MAX_RATE_PER_S).contains(&rate) {
        return None;
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the range was checked"
    )]
    let rate = (rate * 1_000.0).round() as RateMilli;
    Some(rate.max(MIN_RATE_MILLI))
}

/// Parses a pause in seconds. Returns `None` if the text is not a time span.
#[must_use]
pub fn parse_pause(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    let is_valid = seconds.is_finite() && seconds >= 0.0;
    is_valid.then(|| Duration::from_secs_f64(seconds.min(MAX_PAUSE.as_secs_f64())))
}
