//! Settings of rollouts.

use std::time::Duration;

#[derive(Clone, Debug)]
pub struct RolloutSettings {
    /// Shares of the new version, one per step, rising to 1000.
    pub shares_permille: Vec<u16>,
    /// Probability that one test calls a version bad that is as good as the old one. A test is one
    /// kind (failure or slowness) on one route in one load band, over the whole rollout.
    pub false_alarm: f64,
    /// Probability at which a test is content that the version is not bad, and starts afresh.
    pub missed_detection: f64,
    /// Lowest failure rate that is assumed for the old version.
    pub failure_floor: f64,
    /// Rise of the failure rate above the old version's that the tests look for.
    pub failure_rise: f64,
    /// Failure rate assumed for the old version while fewer than 50 of its runs were seen.
    pub assumed_failure: f64,
    /// A run is slow when its time exceeds the old version's median by this factor.
    pub slow_factor: f64,
    /// Lowest rate of slow runs that is assumed for the old version.
    pub slow_floor: f64,
    /// Rise of the rate of slow runs that the tests look for. A version that takes twice as long
    /// raises it by more than 40 points even when run times vary by a factor of two.
    pub slow_rise: f64,
    /// Fewest first runs of a route that must all fail to stop the rollout at once.
    pub min_first_failures: u32,
    /// Shortest time of a step, so that a version that turns bad after a while is seen to; a
    /// twentieth of the rollout's whole time if that is shorter.
    pub min_step_time: Duration,
    /// Runs of the old version, 500 at most, that are awaited before the first step, for a twentieth of the
    /// rollout's time at most. With fewer, a bad version receives more before it is found bad.
    pub baseline_runs: u32,
    /// Good runs of the new version after which a step may go up before its time. In 40 simulated
    /// rollouts, a version that fails in 11% of its runs, against 1% of the old one's, passed the
    /// first step in 2 and the second in none.
    pub early_step_good_runs: u32,
    /// Good runs without which no step goes up. A version that fails in 37% of its runs passes
    /// 10 of them with a probability of 1%.
    pub min_good_runs: u32,
    /// Time after which a proposal that is not recorded is proposed again.
    pub proposal_retry_delay: Duration,
    /// Longest time kept free before the deadline for recording the verdict; a tenth of the
    /// rollout's whole time if that is shorter.
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
