//! Controller of one running rollout at the pool owner: it counts and tests the runs of both
//! versions.

use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use rollout_judge::{FULL_SHARE_PERMILLE, RateCount, RouteTable, RunFinding};
pub use rollout_judge::{RolloutSide, RunObservation};

use crate::config_change::{RolloutState, RolloutVerdict};
use crate::configs::rollout::RolloutSettings;
use crate::context::Context;
use crate::ids::RolloutName;

pub const DEADLINE_REASON: &str = "deadline passed";

/// A record that the owner should append to the config topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutProposal {
    Step {
        rollout: RolloutName,
        follows_step: u32,
        share_permille: u16,
    },
    Verdict {
        rollout: RolloutName,
        follows_step: u32,
        verdict: RolloutVerdict,
    },
}

/// Times since the Unix epoch at which the current step may end.
#[derive(Debug, Clone, Copy)]
struct StepSchedule {
    /// Earliest end, if `early_step_good_runs` good runs were recorded by then.
    earliest_end: Duration,
    /// End of the step's time, from which `min_good_runs` good runs are enough.
    end: Duration,
}

/// Controls one rollout at the pool owner.
///
/// The share changes only through `apply_state`, that is through recorded steps, so it never rises
/// while the log is down. A brake takes effect at once. All counts are lost when the owner changes:
/// the next owner continues at the recorded step with new baselines. At a share of 1000 there are
/// no runs of the old version: slowness is not tested, and failures are tested against the failure
/// rate that was recorded before, or against an assumed rate if the owner recorded none.
#[derive(Debug)]
pub struct RolloutRunner {
    settings: RolloutSettings,
    state: RolloutState,
    brake_reason: Option<CompactString>,
    routes: RouteTable,
    old_failures: RateCount,
    /// Number of good runs of the new version since the last step.
    good_runs: u32,
    /// Set by the first tick of the current step.
    step_schedule: Option<StepSchedule>,
    proposed: Option<(RolloutProposal, Instant)>,
}

impl RolloutRunner {
    #[must_use]
    pub fn new(state: &RolloutState, settings: &RolloutSettings, _now: Instant) -> Self {
        Self {
            settings: settings.clone(),
            state: state.clone(),
            brake_reason: None,
            routes: RouteTable::default(),
            old_failures: RateCount::default(),
            good_runs: 0,
            step_schedule: None,
            proposed: None,
        }
    }

    /// Applies the recorded state after a configuration change.
    pub fn apply_state(&mut self, state: &RolloutState, _now: Instant) {
        let has_advanced = state.step != self.state.step || state.verdict != self.state.verdict;
        self.state = state.clone();
        if !has_advanced {
            return;
        }
        self.good_runs = 0;
        self.step_schedule = None;
        self.proposed = None;
        self.routes.limit_credit();
    }

    /// Stops the new version. The reason may come from another host.
    pub fn brake(&mut self, reason: &str) {
        if self.brake_reason.is_none() && self.state.verdict == RolloutVerdict::Running {
            self.brake_reason = Some(reason.into());
            self.proposed = None;
        }
    }

    /// Returns the reason for which the new version is stopped, possibly before its verdict is
    /// recorded.
    #[must_use]
    pub fn brake_reason(&self) -> Option<&str> {
        self.brake_reason.as_deref()
    }

    /// Returns the side to which the next request of a route should be dispatched.
    #[must_use]
    pub fn choose_side(&self, route: &str) -> RolloutSide {
        match self.state.verdict {
            RolloutVerdict::Running => self.routes.side(route, self.share_permille()),
            RolloutVerdict::Done => RolloutSide::New,
            RolloutVerdict::TakenBack { .. } => RolloutSide::Old,
        }
    }

    pub fn record_dispatch(&mut self, route: &str, side: RolloutSide) {
        let share_permille = self.share_permille();
        self.routes
            .entry(route)
            .share
            .record_dispatch(side, share_permille);
    }

    /// Records one run in the baselines or the tests. Returns a proposal if the run causes one.
    pub fn record_run(
        &mut self,
        run: &RunObservation,
        context: &Context,
    ) -> Option<RolloutProposal> {
        if self.state.verdict != RolloutVerdict::Running {
            return None;
        }
        match run.side {
            RolloutSide::Old => {
                self.old_failures.add(run.failed);
                self.routes
                    .entry(&run.route)
                    .observe_old(run, &self.settings);
                return None;
            }
            RolloutSide::New => {}
        }
        if self.brake_reason.is_some() {
            return None;
        }
        // At the full share the engines of the new version do all the work, and no run of the old
        // version shows how long runs take under that load.
        let compare_times = self.state.share_permille < FULL_SHARE_PERMILLE;
        let entry = self.routes.entry(&run.route);
        match entry.observe_new(run, self.old_failures, compare_times, &self.settings) {
            RunFinding::Good => {
                self.good_runs += 1;
                None
            }
            RunFinding::Poor => None,
            RunFinding::Bad(reason) => {
                let band = if run.high_load { "high" } else { "low" };
                self.brake(&format_compact!(
                    "route {} at {band} load: {reason}",
                    run.route
                ));
                self.tick(context)
            }
        }
    }

    /// Returns the proposal that is due: a step, a verdict, or the repetition of a proposal that
    /// has not been recorded.
    pub fn tick(&mut self, context: &Context) -> Option<RolloutProposal> {
        if self.state.verdict != RolloutVerdict::Running {
            return None;
        }
        let due = self.due_proposal(context)?;
        if let Some((proposal, at)) = &self.proposed
            && *proposal == due
            && context.now.saturating_duration_since(*at) < self.settings.proposal_retry_delay
        {
            return None;
        }
        self.proposed = Some((due.clone(), context.now));
        Some(due)
    }

    fn due_proposal(&mut self, context: &Context) -> Option<RolloutProposal> {
        if let Some(reason) = self.brake_reason.clone() {
            return Some(self.verdict(RolloutVerdict::TakenBack { reason }));
        }
        if context.unix_time >= self.state.deadline {
            let reason = DEADLINE_REASON.into();
            return Some(self.verdict(RolloutVerdict::TakenBack { reason }));
        }
        if let Some((proposal, _)) = &self.proposed {
            return Some(proposal.clone());
        }
        if !self.is_step_over(context.unix_time) {
            return None;
        }
        match self.remaining_shares().next() {
            Some(share_permille) => Some(RolloutProposal::Step {
                rollout: self.state.name.clone(),
                follows_step: self.state.step,
                share_permille,
            }),
            None => Some(self.verdict(RolloutVerdict::Done)),
        }
    }

    /// Returns whether the current step may end: enough runs were recorded, or the minimum of them
    /// by the end of the step's time.
    fn is_step_over(&mut self, unix_time: Duration) -> bool {
        let total_time = self.state.deadline.saturating_sub(self.state.started);
        if self.state.step == 0 {
            return self.old_failures.runs >= f64::from(self.settings.baseline_runs)
                || unix_time >= self.state.started + total_time / 20;
        }
        let schedule = self.step_schedule(total_time, unix_time);
        if unix_time >= schedule.end {
            return self.good_runs >= self.settings.min_good_runs;
        }
        unix_time >= schedule.earliest_end
            && self.good_runs >= self.settings.early_step_good_runs
            && !self.routes.is_doubtful(&self.settings)
    }

    /// Returns the schedule of the current step. The time that remains at the first tick of the
    /// step is divided evenly among this step and the remaining ones.
    fn step_schedule(&mut self, total_time: Duration, unix_time: Duration) -> StepSchedule {
        let parts = u32::try_from(self.remaining_shares().count() + 1).unwrap_or(u32::MAX);
        let margin = self.settings.verdict_margin.min(total_time / 10);
        let remaining_time = self
            .state
            .deadline
            .saturating_sub(margin)
            .saturating_sub(unix_time);
        let min_time = self.settings.min_step_time.min(total_time / 20);
        *self.step_schedule.get_or_insert(StepSchedule {
            earliest_end: unix_time + min_time,
            end: unix_time + remaining_time / parts,
        })
    }

    fn remaining_shares(&self) -> impl Iterator<Item = u16> {
        let current_share = self.state.share_permille;
        let shares = self.settings.shares_permille.iter().copied();
        shares.filter(move |share| *share > current_share && *share <= FULL_SHARE_PERMILLE)
    }

    fn verdict(&self, verdict: RolloutVerdict) -> RolloutProposal {
        RolloutProposal::Verdict {
            rollout: self.state.name.clone(),
            follows_step: self.state.step,
            verdict,
        }
    }

    fn share_permille(&self) -> u16 {
        if self.brake_reason.is_some() {
            0
        } else {
            self.state.share_permille
        }
    }
}
