//! Settings of slow start.

use std::time::Duration;

#[derive(Clone, Debug)]
pub struct SlowStartSettings {
    /// A first token is late when it takes this many times the predicted time.
    pub late_factor: f64,
    /// Added to the late threshold; covers network and event loop time on very short prompts.
    pub late_margin: Duration,
    /// Late first tokens in a row after which an endpoint counts as cold.
    pub late_streak: u32,
    /// Failed load requests in a row after which an endpoint counts as lost.
    pub failed_load_streak: u32,
    /// Time after a takeover for which the in-flight work of other homes counts as unknown.
    pub takeover_wait: Duration,
}

impl Default for SlowStartSettings {
    fn default() -> Self {
        Self {
            late_factor: 3.0,
            late_margin: Duration::from_millis(100),
            late_streak: 2,
            failed_load_streak: 2,
            takeover_wait: Duration::from_secs(3),
        }
    }
}
