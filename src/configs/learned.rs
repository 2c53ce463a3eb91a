//! Settings of what a pool learns about its endpoints.

use std::time::Duration;

#[derive(Clone, Debug)]
pub struct LearnedSettings {
    /// Assumed until something was learned about any endpoint of the version.
    pub prefill_tokens_per_second: f64,
    pub decode_tokens_per_second: f64,
    /// Factor by which each new sample lowers the weight of the older ones.
    pub decay: f64,
    /// Tokens that a load report's rate counts for, next to finished requests.
    pub report_weight_tokens: f64,
    /// Time for which reports must have stated the same number of running requests before their
    /// rate counts. Longer than the second over which engines average it: a report made while an
    /// engine took up work again showed a tenth of its speed, and it then got no work for 30 s.
    pub report_steady_time: Duration,
    /// Age after which a speed no longer justifies a refusal. An endpoint that recovered while it
    /// got no work would otherwise be refused work forever.
    pub speed_validity: Duration,
    /// Pairs of version and endpoint class with a speed.
    pub max_speed_entries: usize,
    /// Concurrency limit until a load report states the capacity.
    pub default_capacity: u32,
    /// Percentage that remains of the limit when an endpoint declines a request as full.
    pub overload_limit_percent: u32,
}

impl Default for LearnedSettings {
    fn default() -> Self {
        Self {
            prefill_tokens_per_second: 4_000.0,
            decode_tokens_per_second: 40.0,
            decay: 0.9,
            report_weight_tokens: 16.0,
            report_steady_time: Duration::from_millis(1500),
            speed_validity: Duration::from_secs(30),
            max_speed_entries: 64,
            default_capacity: 8,
            overload_limit_percent: 80,
        }
    }
}
