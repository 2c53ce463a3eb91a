//! Settings of one owned pool.

use std::time::Duration;

use super::choice::ChoiceSettings;
use super::fairness::FairnessSettings;
use super::learned::LearnedSettings;
use super::rollout::RolloutSettings;
use super::slow_start::SlowStartSettings;
use super::suspect::SuspectSettings;

/// How a pool orders requests and chooses endpoints. Only `Current` is for operation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum PoolPolicy {
    #[default]
    Current,
    /// The next endpoint in turn, first come first served.
    RoundRobin,
    /// The endpoint with the fewest outstanding requests, first come first served.
    LeastOutstanding,
}

#[derive(Clone, Debug)]
pub struct PoolSettings {
    pub policy: PoolPolicy,
    /// Number of requests above its reported capacity that a baseline policy places on an endpoint.
    pub baseline_accept_depth: u32,
    /// Time without a usable endpoint after which queued requests are refused.
    pub unusable_timeout: Duration,
    /// Time for which the runs of a lost home still count against the limits of their endpoints.
    pub orphan_timeout: Duration,
    /// First backoff of an endpoint that declined a request or was unreachable.
    pub backoff_base: Duration,
    pub max_backoff: Duration,
    /// Time for which an endpoint receives nothing after a broken connection, unless a later load
    /// report ends it.
    pub break_hold: Duration,
    /// Window over which first attempts and retries are counted.
    pub retry_window: Duration,
    /// Number of retries allowed per 100 first attempts in the window.
    pub retry_percent: u32,
    /// Number of retries allowed in the window in addition to the percentage.
    pub min_retries: u32,
    /// Maximum number of declined requests that are remembered until their home resends them.
    pub retry_entries: usize,
    /// Maximum number of tickets that one call of `grant` skips per tier. Bounds the cost of a
    /// call.
    pub max_skipped: usize,
    /// Maximum number of permits and running requests.
    pub running_limit: usize,
    pub fairness: FairnessSettings,
    pub choice: ChoiceSettings,
    pub slow_start: SlowStartSettings,
    pub learned: LearnedSettings,
    pub suspect: SuspectSettings,
    pub rollout: RolloutSettings,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            policy: PoolPolicy::Current,
            baseline_accept_depth: 8,
            unusable_timeout: Duration::from_secs(5),
            orphan_timeout: Duration::from_secs(10),
            backoff_base: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
            break_hold: Duration::from_secs(1),
            retry_window: Duration::from_secs(10),
            retry_percent: 10,
            min_retries: 10,
            retry_entries: 10_000,
            max_skipped: 32,
            running_limit: 50_000,
            fairness: FairnessSettings::default(),
            choice: ChoiceSettings::default(),
            slow_start: SlowStartSettings::default(),
            learned: LearnedSettings::default(),
            suspect: SuspectSettings::default(),
            rollout: RolloutSettings::default(),
        }
    }
}
