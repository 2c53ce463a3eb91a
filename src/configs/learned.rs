//! Settings for the learned speeds and limits of a pool's endpoints.

use std::time::Duration;

#[derive(Clone, Debug)]
pub struct LearnedSettings {
    /// Prefill speed that is assumed until a speed of the version is learned.
    pub prefill_tokens_per_second: f64,
    /// Decode speed that is assumed until a speed of the version is learned.
    pub decode_tokens_per_second: f64,
    /// Factor that each new sample applies to the weight of the older ones.
    pub decay: f64,
    /// Weight of the rate in a load report, as the number of tokens of a finished request.
    pub report_weight_tokens: f64,
    /// Time for which load reports must state the same number of running requests before their rate
    /// is used. It must exceed the second over which engines average the rate: a report from an
    /// engine that had just resumed work showed a tenth of its speed, and the engine then received
    /// no work for 30 s.
    pub report_steady_time: Duration,
    /// Age after which a learned speed no longer justifies a refusal. Otherwise an endpoint that
    /// recovers while it receives no work would never receive work again.
    pub speed_validity: Duration,
    /// Maximum number of pairs of version and endpoint class whose speed is kept.
    pub max_speed_entries: usize,
    /// Concurrency limit of an endpoint until a load report states its capacity.
    pub default_capacity: u32,
    /// Percentage to which the concurrency limit is lowered when an endpoint is overloaded.
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
