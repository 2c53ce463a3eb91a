//! Speed and size of an engine.

use std::net::SocketAddr;

/// Settings that stay fixed while the engine runs.
#[derive(Clone, Debug, clap::Args)]
pub struct EngineSettings {
    /// Version that the engine reports.
    #[arg(long, default_value = "v1")]
    pub version: String,
    /// Models that are loaded at start; none means that every model is accepted.
    #[arg(long = "model")]
    pub models: Vec<String>,
    /// Prefill speed in tokens per second.
    #[arg(long, default_value_t = 8000.0)]
    pub prefill_tokens_per_second: f64,
    /// Time of one decode step in milliseconds.
    #[arg(long, default_value_t = 20.0)]
    pub decode_step_ms: f64,
    /// Tokens that one step may process; decode tokens are counted first.
    #[arg(long, default_value_t = 512)]
    pub step_tokens: u32,
    /// Requests that run at the same time.
    #[arg(long, default_value_t = 16)]
    pub capacity: u32,
    /// Requests in the accept queue above which the engine answers "full".
    #[arg(long, default_value_t = 1000)]
    pub queue_limit: usize,
    /// Blocks of 64 words in the prefix cache.
    #[arg(long, default_value_t = 4096)]
    pub cache_blocks: usize,
    /// Age of a load report in milliseconds.
    #[arg(long, default_value_t = 1000)]
    pub report_lag_ms: u64,
    /// Interval between samples of the load in milliseconds.
    #[arg(long, default_value_t = 100)]
    pub report_interval_ms: u64,
    /// Delay of cache events in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub event_lag_ms: u64,
    /// Share of cache events that are never published.
    #[arg(long, default_value_t = 0.0)]
    pub event_gap_ratio: f64,
    /// Cache events kept for readers; older ones are lost.
    #[arg(long, default_value_t = 10_000)]
    pub event_limit: usize,
    /// Running requests that the engine sustains while cold; above it the process exits with 101.
    #[arg(long, default_value_t = 2)]
    pub bearable: u32,
    /// Factor by which steps take longer while cold.
    #[arg(long, default_value_t = 2.0)]
    pub cold_slow_factor: f64,
    /// Completed requests after which a cold engine is warm.
    #[arg(long, default_value_t = 8)]
    pub warm_after_requests: u64,
    /// Time after which a cold engine is warm, in milliseconds; 0 means never by time.
    #[arg(long, default_value_t = 0)]
    pub warm_after_ms: u64,
    /// Answer 503 "cold" instead of exceeding the bearable number while cold.
    #[arg(long)]
    pub refuse_above_bearable: bool,
    /// Reject orders whose fencing number is older than the newest one seen.
    #[arg(long)]
    pub checks_fence: bool,
    /// Weight store from which models and versions are loaded.
    #[arg(long)]
    pub weights: Option<SocketAddr>,
    /// Become cold after a version was loaded.
    #[arg(long)]
    pub cold_after_load: bool,
    /// Time without a reader after which a stream is cancelled, in milliseconds.
    #[arg(long, default_value_t = 30_000)]
    pub unread_limit_ms: u64,
    /// Time for which ended streams can be resumed, in milliseconds.
    #[arg(long, default_value_t = 60_000)]
    pub keep_ended_ms: u64,
}

impl EngineSettings {
    /// Checks the ranges of the settings.
    ///
    /// # Errors
    ///
    /// Names the setting that is out of range.
    pub fn check(&self) -> Result<(), String> {
        use crate::behaviour::{check_factor, check_ratio};
        check_factor("prefill_tokens_per_second", self.prefill_tokens_per_second)?;
        check_factor("decode_step_ms", self.decode_step_ms)?;
        check_factor("cold_slow_factor", self.cold_slow_factor)?;
        check_ratio("event_gap_ratio", self.event_gap_ratio)?;
        if self.step_tokens == 0 || self.capacity == 0 || self.report_interval_ms == 0 {
            return Err("step_tokens, capacity and report_interval_ms must be above 0".to_owned());
        }
        Ok(())
    }
}
