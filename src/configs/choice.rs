//! Settings for choosing an endpoint.

use std::time::Duration;

#[derive(Clone, Debug)]
pub struct ChoiceSettings {
    /// Percentage of the concurrency limit that is reserved for tier numbers below `low_tier`.
    /// At least one slot is reserved.
    pub reserved_percent: u32,
    /// Smallest tier number that may not use the reserved slots.
    pub low_tier: u8,
    /// Predicted run time at which low-tier work starts to count as long.
    pub long_work: Duration,
    /// Percentage of slots in use on the fastest endpoint at which long low-tier work starts to
    /// prefer other endpoints.
    pub long_work_percent: u32,
    /// Weight of an endpoint's load relative to the predicted run time.
    pub load_weight: f64,
    /// Percentage of the concurrency limit in use at which a run counts as high load in a rollout.
    pub high_load_percent: u32,
    /// Number of prompt tokens per prefix block.
    pub block_tokens: u32,
    /// Maximum number of leading prompt blocks that are compared and remembered.
    pub block_limit: usize,
    /// Maximum number of prefix blocks remembered per endpoint.
    pub prefix_entries: usize,
}

impl Default for ChoiceSettings {
    fn default() -> Self {
        Self {
            reserved_percent: 20,
            low_tier: 2,
            long_work: Duration::from_secs(5),
            long_work_percent: 60,
            load_weight: 0.5,
            high_load_percent: 50,
            block_tokens: 64,
            block_limit: 256,
            prefix_entries: 4_096,
        }
    }
}
