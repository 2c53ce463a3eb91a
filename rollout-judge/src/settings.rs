//! Settings of rollouts.

use std::time::Duration;

/// Settings that control how a rollout proceeds and how versions are compared.
#[derive(Clone, Debug)]
pub struct RolloutSettings {
    /// Shares of the new version in thousandths, one per step, rising to 1000.
    pub shares_permille: Vec<u16>,
    /// Probability that one test finds a version bad that is as good as the old one. Each test
    /// covers one kind of fault (failure or slowness) on one route in one load band, over the whole
    /// rollout.
    pub false_alarm: f64,
    /// Probability of missing a bad version at which a test accepts the version as good and starts
    /// over.
    pub missed_detection: f64,
    /// Minimum failure rate that is assumed for the old version.
    pub failure_floor: f64,
    /// Increase of the failure rate over the old version's that the tests detect.
    pub failure_rise: f64,
    /// Failure rate that is assumed for the old version until 50 of its runs have been observed.
    pub assumed_failure: f64,
    /// A run is slow if its time exceeds the old version's median by this factor.
    pub slow_factor: f64,
    /// Minimum rate of slow runs that is assumed for the old version.
    pub slow_floor: f64,
    /// Increase of the rate of slow runs over the old version's that the tests detect. A version
    /// that takes twice as long increases it by more than 40 percentage points, even if run times
    /// vary by a factor of two.
    pub slow_rise: f64,
    /// Minimum number of first runs of a route that must all fail to stop the rollout at once.
    pub min_first_failures: u32,
    /// Minimum duration of a step, so that a version that turns bad after a while is detected. A
    /// twentieth of the rollout's total time if that is shorter.
    pub min_step_time: Duration,
    /// Number of runs of the old version, at most 500, that the first step waits for, for at most a
    /// twentieth of the rollout's total time. With fewer, a bad version receives more requests
    /// before it is found bad.
    pub baseline_runs: u32,
    /// Number of good runs of the new version after which a step may end before its time is up. In
    /// 40 simulated rollouts, a version that fails in 11% of its runs, compared with 1% for the old
    /// one, passed the first step in 2 rollouts and the second in none.
    pub early_step_good_runs: u32,
    /// Minimum number of good runs in a step before the next one begins. A version that fails in
    /// 37% of its runs passes 10 of them with a probability of 1%.
    pub min_good_runs: u32,
    /// Time after which a proposal is repeated if it has not been recorded.
    pub proposal_retry_delay: Duration,
    /// Time that is reserved before the deadline for recording the verdict. A tenth of the
    /// rollout's total time if that is shorter.
    pub verdict_margin: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            shares_permille: vec![20, 100, 300, 600, 1_000],
            false_alarm: 0.001,
            missed_detection: 0.01,
            failure_floor: 0.01,
            failure_rise: 0.10,
            assumed_failure: 0.05,
            slow_factor: 1.5,
            slow_floor: 0.05,
            slow_rise: 0.25,
            min_first_failures: 3,
            min_step_time: Duration::from_mins(2),
            baseline_runs: 500,
            early_step_good_runs: 200,
            min_good_runs: 10,
            proposal_retry_delay: Duration::from_secs(2),
            verdict_margin: Duration::from_mins(1),
        }
    }
}
