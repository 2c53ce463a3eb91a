//! Schedule of a rollout: the share of the new version over time.
//!
//! The new version receives a small share of the requests for most of the time. If it isn't found
//! bad, its share rises to all requests, and then the rollout is completed. The old endpoints stop
//! at that moment.
//!
//! A version may turn bad at any time, and nothing can be taken back once the old endpoints have
//! stopped. The parts of the schedule therefore add up to less than a tenth of the requests between
//! the order and its time limit, including those after the completion:
//!
//! | part | fraction of the time | mean share | requests |
//! |---|---|---|---|
//! | test | 0.875 | 0.03 | 0.026 |
//! | rise | 0.02 | 0.51 | 0.01 |
//! | full share | 0.02 | 1 | 0.02 |
//! | after the completion | 0.035 | 1 | 0.035 |
//!
//! The early requests come out of the tolerance. What is left is for rates that rise towards the
//! end.

use std::time::Duration;

use rollout_judge::FULL_SHARE_PERMILLE;
use serde::{Deserialize, Serialize};

/// Initial fraction of the time limit in which only the old version runs, to measure its baselines.
const BASELINE_FRACTION: f64 = 0.05;
/// Fraction of the time limit after which the share rises, and the fraction that the rise takes.
const PROMOTION_START_FRACTION: f64 = 0.925;
const RAMP_FRACTION: f64 = 0.02;
/// Fraction of the time limit after which a rollout is completed.
const COMPLETION_FRACTION: f64 = 0.965;
/// Fraction of the time limit after which a rollout that is still open is rolled back, so that the
/// rollback is recorded in time.
const ROLLBACK_FRACTION: f64 = 0.99;
/// Fraction of the permitted share that the version receives while it is tested.
const TEST_EXPOSURE_FRACTION: f64 = 0.3;

/// Maximum share of the version until it has received its early requests. At low request rates, the
/// small test share would give too few runs for a comparison.
const MAX_EARLY_SHARE: f64 = 0.3;
/// Fraction of the tolerance that the early requests use: the number of requests that a bad version
/// may receive beyond its share.
const EARLY_TOLERANCE_FRACTION: f64 = 0.9;
/// Fraction of the requests expected until the time limit by which the early requests are fewer. At
/// high rates the test share is enough, and the tolerance is left for rates that rise.
const EARLY_REDUCTION: f64 = 0.015;
/// Fraction of the time limit over which these early requests are spread. Hosts learn of each
/// other's requests with a delay, and a burst of early requests would pass the tolerance meanwhile.
const EARLY_FRACTION: f64 = 0.1;

/// Bound on the requests that a bad version may receive.
#[derive(Clone, Copy, Debug)]
pub struct ExposureBound {
    /// Fraction of a service's requests, from 0 to 1.
    pub share: f64,
    /// Number of requests beyond that share.
    pub tolerance: f64,
}

/// Phase of a rollout. If hosts disagree, the later phase applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// The store hasn't been read yet, so the rollout may have been decided before this host
    /// started. The new version receives nothing.
    #[default]
    Unknown,
    /// The new version receives a small share.
    Testing,
    /// The share of the new version rises to all requests.
    Promoting,
    /// The new version receives nothing.
    RolledBack,
    /// The store has recorded the completion.
    Completed,
}

/// Requests that all hosts have sent to either version since the order.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DispatchCounts {
    pub old: u32,
    pub new: u32,
}

/// Returns the share of the new version, in thousandths, at a time after the order. Returns `None`
/// if any version may be used, as the old endpoints have stopped.
pub(super) fn share_permille(
    phase: RolloutPhase,
    elapsed: Duration,
    time_limit: Duration,
    bound: &ExposureBound,
    dispatches: DispatchCounts,
) -> Option<u16> {
    let fraction = elapsed_fraction(elapsed, time_limit);
    let test_share = bound.share * TEST_EXPOSURE_FRACTION * f64::from(FULL_SHARE_PERMILLE);
    let share = match phase {
        RolloutPhase::Unknown | RolloutPhase::RolledBack => 0.0,
        RolloutPhase::Testing if fraction < BASELINE_FRACTION => 0.0,
        RolloutPhase::Testing => {
            let early_share = early_share(fraction, bound, dispatches);
            test_share.max(early_share * f64::from(FULL_SHARE_PERMILLE))
        }
        RolloutPhase::Promoting => {
            let ramp_progress =
                ((fraction - PROMOTION_START_FRACTION) / RAMP_FRACTION).clamp(0.0, 1.0);
            test_share + (f64::from(FULL_SHARE_PERMILLE) - test_share) * ramp_progress
        }
        RolloutPhase::Completed => return None,
    };
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "within 0 and 1000"
    )]
    let share = share.clamp(0.0, f64::from(FULL_SHARE_PERMILLE)) as u16;
    Some(share)
}

/// Returns the share with which the early requests are spread over `EARLY_FRACTION`; 0 once the
/// version has received them.
fn early_share(fraction: f64, bound: &ExposureBound, dispatches: DispatchCounts) -> f64 {
    let all = f64::from(dispatches.old) + f64::from(dispatches.new);
    let expected = all / fraction.max(f64::MIN_POSITIVE);
    let early_requests = bound.tolerance * EARLY_TOLERANCE_FRACTION - EARLY_REDUCTION * expected;
    if f64::from(dispatches.new) >= early_requests {
        return 0.0;
    }
    (early_requests / (EARLY_FRACTION * expected).max(1.0)).min(MAX_EARLY_SHARE)
}

pub(super) fn may_promote(elapsed: Duration, time_limit: Duration) -> bool {
    elapsed_fraction(elapsed, time_limit) >= PROMOTION_START_FRACTION
}

pub(super) fn is_complete(elapsed: Duration, time_limit: Duration) -> bool {
    elapsed_fraction(elapsed, time_limit) >= COMPLETION_FRACTION
}

pub(super) fn is_overdue(elapsed: Duration, time_limit: Duration) -> bool {
    elapsed_fraction(elapsed, time_limit) >= ROLLBACK_FRACTION
}

fn elapsed_fraction(elapsed: Duration, time_limit: Duration) -> f64 {
    elapsed.as_secs_f64() / time_limit.as_secs_f64().max(f64::MIN_POSITIVE)
}
