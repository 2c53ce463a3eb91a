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
    /// Requests above its reported capacity that a baseline policy places on an endpoint.
    pub baseline_accept_depth: u32,
    /// Time without any usable endpoint after which queued requests are refused.
    pub unusable_timeout: Duration,
    /// Time for which the work of a lost home stays counted against its endpoints.
    pub orphan_timeout: Duration,
    /// First backoff of an endpoint that declined or could not be reached.
    pub backoff_base: Duration,
    pub max_backoff: Duration,
    /// Hold of an endpoint after a broken connection, unless a later load report ends it.
    pub break_hold: Duration,
    /// Window over which first tries and retries are counted.
    pub retry_window: Duration,
    /// Retries allowed per 100 first tries in the window.
    pub retry_percent: u32,
    /// Retries allowed in the window in addition to the percentage.
    pub min_retries: u32,
    /// Declined requests that are remembered until their home sends them again.
    pub retry_entries: usize,
    /// Tickets that one call of `grant` may pass over in one tier. Bounds the cost of a call.
    pub max_skipped: usize,
    /// Permits and running requests above which nothing more is granted.
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
