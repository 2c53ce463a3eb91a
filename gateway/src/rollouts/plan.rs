//! Schedule of a rollout: the share of the new version over time.
//!
//! The new version receives a small share of the requests for most of the time. If it isn't found
//! bad, its share rises to all requests, and then the rollout is completed. The old endpoints stop
//! at that moment, so they must have no work left. A bad version must not receive more than the
//! share that the deployment sets, even if it turns bad late.

use std::time::Duration;

use rollout_judge::FULL_SHARE_PERMILLE;
use serde::{Deserialize, Serialize};

/// Initial fraction of the time limit in which only the old version runs, to measure its baselines.
const BASELINE_FRACTION: f64 = 0.05;
/// Fraction of the time limit after which the share rises, and the fraction that the rise takes. A
/// bad version that is found in the middle of the rise has received a tenth of the requests by the
/// time at which the rise would have ended.
const PROMOTION_START_FRACTION: f64 = 0.65;
const RAMP_FRACTION: f64 = 0.15;
/// Fraction of the time limit after which a rollout is completed. By then, the old version's long
/// answers have ended.
const COMPLETION_FRACTION: f64 = 0.88;
/// Fraction of the time limit after which a rollout that is still open is rolled back, so that the
/// rollback is recorded in time.
const ROLLBACK_FRACTION: f64 = 0.95;
/// Fraction of the permitted share that the version receives while it is tested. The rest is
/// reserved for the requests that it receives until it is found bad.
const TEST_EXPOSURE_FRACTION: f64 = 0.5;

/// Share of the version until it has used half of the tolerance, which is the number of requests
/// that a bad version may receive beyond its share. At low request rates, the small test share
/// would give too few runs for a comparison.
const EARLY_SHARE: f64 = 0.3;
const EARLY_TOLERANCE_FRACTION: f64 = 0.5;

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

/// Returns the share of the new version, in thousandths, at a time after the order. Returns `None`
/// if any version may be used, as the old endpoints have stopped.
pub(super) fn share_permille(
    phase: RolloutPhase,
    elapsed: Duration,
    time_limit: Duration,
    bound: &ExposureBound,
    new_runs: u32,
) -> Option<u16> {
    let fraction = elapsed_fraction(elapsed, time_limit);
    let is_early = f64::from(new_runs) < bound.tolerance * EARLY_TOLERANCE_FRACTION;
    let test_share = bound.share * TEST_EXPOSURE_FRACTION * f64::from(FULL_SHARE_PERMILLE);
    let share = match phase {
        RolloutPhase::Unknown | RolloutPhase::RolledBack => 0.0,
        RolloutPhase::Testing if fraction < BASELINE_FRACTION => 0.0,
        RolloutPhase::Testing if is_early => EARLY_SHARE * f64::from(FULL_SHARE_PERMILLE),
        RolloutPhase::Testing => test_share,
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
