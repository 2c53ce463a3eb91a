//! Settings for the detection of requests that crash endpoints.

use std::time::Duration;

#[derive(Clone, Debug)]
pub struct SuspectSettings {
    /// Number of crashes after which requests with the same content are refused.
    pub quarantine_crashes: u8,
    /// Time for which a content stays suspect or quarantined after its last crash.
    pub quarantine_time: Duration,
    /// Time after a broken connection within which evidence of a crash must follow.
    pub confirm_window: Duration,
    pub max_entries: usize,
}

impl Default for SuspectSettings {
    fn default() -> Self {
        Self {
            quarantine_crashes: 2,
            quarantine_time: Duration::from_mins(10),
            confirm_window: Duration::from_secs(5),
            max_entries: 2_000,
        }
    }
}
