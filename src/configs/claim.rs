//! Settings of claims for non-idempotent calls.

use std::time::Duration;

#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// Maximum age of a key. The log must retain records for at least three times as long.
    pub window: Duration,
    /// Maximum time that a key may lie in the future, for callers whose clocks run ahead.
    pub max_clock_lead: Duration,
    /// Time for which a key is kept after it has left the window. Also the maximum difference
    /// between the clocks of this host and the log at which the host reads far enough back in the
    /// topic.
    pub margin: Duration,
    /// Minimum time between two appends, which allows 20 appends per second.
    pub append_interval: Duration,
    pub max_batch_records: usize,
    pub max_batch_bytes: usize,
    /// Time after a failed append before a batch without claims is appended again.
    pub outcome_retry_delay: Duration,
    /// Maximum wait for the outcome of a claim that is already held.
    pub max_outcome_wait: Duration,
    /// Maximum wait until a claim of this host is decided.
    pub max_claim_wait: Duration,
    pub max_entries: usize,
    /// Maximum size of the result in one outcome record.
    pub max_result_bytes: usize,
    /// Maximum size of all results in memory together.
    pub max_total_result_bytes: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_mins(10),
            max_clock_lead: Duration::from_secs(30),
            margin: Duration::from_mins(1),
            append_interval: Duration::from_millis(50),
            max_batch_records: 256,
            max_batch_bytes: 256 * 1_024,
            outcome_retry_delay: Duration::from_millis(500),
            max_outcome_wait: Duration::from_secs(5),
            max_claim_wait: Duration::from_secs(15),
            max_entries: 200_000,
            max_result_bytes: 4 * 1_024,
            max_total_result_bytes: 16 * 1_024 * 1_024,
        }
    }
}
