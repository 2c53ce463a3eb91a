//! Settings of slow start.

use std::time::Duration;

#[derive(Clone, Debug)]
pub struct SlowStartSettings {
    /// Multiple of the predicted time after which a first token counts as late.
    pub late_factor: f64,
    /// Time added to the threshold for late first tokens. It covers network and event loop delays
    /// with very short prompts.
    pub late_margin: Duration,
    /// Number of consecutive late first tokens after which an endpoint counts as cold.
    pub late_streak: u32,
    /// Number of consecutive failed load requests after which an endpoint counts as lost.
    pub failed_load_streak: u32,
    /// Time after a takeover for which the in-flight work of other homes is treated as unknown.
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
