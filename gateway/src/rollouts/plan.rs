//! The course of a rollout over its time.
//!
//! The new version gets a small share for most of the time. When nothing speaks against it, its
//! share rises to the whole, and then the rollout is completed: the old endpoints stop at that
//! moment, so they must have nothing left to do. A bad version must not have had more than the
//! share that the deployment states, and one may turn bad late.

use std::time::Duration;

use rollout_judge::FULL_SHARE_PERMILLE;
use serde::{Deserialize, Serialize};

/// Part of the time in which only the old version runs, for its baselines.
const BASELINE_PART: f64 = 0.05;
/// Part after which the share rises, and the time that the rise takes. At the end of the rise a
/// bad version that was found in the middle of it has had a tenth of the requests of the time.
const MOVE_PART: f64 = 0.65;
const RISE_PART: f64 = 0.15;
/// Part after which a rollout is completed: the old version's long answers have ended.
const COMPLETE_PART: f64 = 0.88;
/// Part after which a rollout that is not being completed is taken back, so that this is recorded
/// in time.
const LAST_PART: f64 = 0.95;
/// Part of the permitted exposure that is used while the version is tested. The rest is for what
/// it gets until it is found bad.
const EXPOSURE_PART: f64 = 0.5;

/// Share until the version had half of the requests that a bad one may get beyond its share: where
/// requests are few, the small share alone would give too few runs to judge by.
const EARLY_SHARE: f64 = 0.3;
const EARLY_PART: f64 = 0.5;

/// What a bad version may get.
#[derive(Clone, Copy, Debug)]
pub struct ExposureBound {
    /// Part of a service's requests, from 0 to 1.
    pub share: f64,
    /// Requests beyond that.
    pub tolerance: f64,
}

/// How far a rollout is. Of two hosts the one that is further is right.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// It isn't known whether it was decided before this host started; the version gets nothing.
    #[default]
    Unknown,
    /// The new version gets a small share.
    Testing,
    /// Its share rises to the whole.
    Promoting,
    /// It gets nothing any more.
    RolledBack,
    /// The store has recorded that it is completed.
    Completed,
}

/// Share of the new version, in thousandths, `elapsed` after the order; `None` when any version may
/// be used, as the old endpoints have stopped.
pub(super) fn share_permille(
    phase: RolloutPhase,
    elapsed: Duration,
    within: Duration,
    bound: &ExposureBound,
    new_runs: u32,
) -> Option<u16> {
    let part = part_of(elapsed, within);
    let is_early = f64::from(new_runs) < bound.tolerance * EARLY_PART;
    let test = bound.share * EXPOSURE_PART * f64::from(FULL_SHARE_PERMILLE);
    let share = match phase {
        RolloutPhase::Unknown | RolloutPhase::RolledBack => 0.0,
        RolloutPhase::Testing if part < BASELINE_PART => 0.0,
        RolloutPhase::Testing if is_early => EARLY_SHARE * f64::from(FULL_SHARE_PERMILLE),
        RolloutPhase::Testing => test,
        RolloutPhase::Promoting => {
            let risen = ((part - MOVE_PART) / RISE_PART).clamp(0.0, 1.0);
            test + (f64::from(FULL_SHARE_PERMILLE) - test) * risen
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

pub(super) fn may_move(elapsed: Duration, within: Duration) -> bool {
    part_of(elapsed, within) >= MOVE_PART
}

pub(super) fn is_complete(elapsed: Duration, within: Duration) -> bool {
    part_of(elapsed, within) >= COMPLETE_PART
}

pub(super) fn is_late(elapsed: Duration, within: Duration) -> bool {
    part_of(elapsed, within) >= LAST_PART
}

fn part_of(elapsed: Duration, within: Duration) -> f64 {
    elapsed.as_secs_f64() / within.as_secs_f64().max(f64::MIN_POSITIVE)
}
