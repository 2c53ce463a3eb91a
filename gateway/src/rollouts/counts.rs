//! Run counts of a rollout that hosts report to each other.

use std::time::{Duration, Instant};

use rollout_judge::RolloutSide;
use serde::{Deserialize, Serialize};

use super::plan::{DispatchCounts, RolloutPhase};
use crate::ids::NameHash;

/// Number of standard errors by which the bad runs must exceed those expected at the old version's
/// rate. It is high because the counts are checked many times during a rollout.
const EXCESS_STANDARD_ERRORS: f64 = 4.0;
/// Additional excess of bad runs, so that a handful of runs never decides.
const MIN_EXCESS_RUNS: f64 = 3.0;
/// Prior for the old version: runs at an assumed rate that are added to its observed runs.
const PRIOR_RUNS: f64 = 50.0;
const PRIOR_RATE: f64 = 0.05;

/// Minimum slowdown of a version that is slow. Smaller slowdowns may come from slower hardware.
const MIN_SLOWDOWN_FACTOR: f64 = 2.5;
/// Minimum number of runs for comparing the mean paces of the versions.
const MIN_OLD_RUNS: u32 = 20;
const MIN_NEW_RUNS: u32 = 5;
/// Minimum weight of the recent paces of a version, in runs, for comparing them.
const MIN_RECENT_RUNS: f64 = 8.0;
/// Unit of the weight of recent paces in reports, in parts of a run.
const RECENT_SCALE: f64 = 100.0;
/// Range that paces are clamped to.
const MIN_PACE_MS: f64 = 0.01;
const MAX_PACE_MS: f64 = 1e6;

/// Run counts of one version. Slowness is relative to the old version on the same route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// Requests that were sent to the version.
    pub dispatched: u32,
    pub runs: u32,
    pub failed: u32,
    /// Successful runs that could be compared with the usual time of their route; `slow` counts
    /// those of them that were slow.
    pub timed: u32,
    pub slow: u32,
    pub paces: PaceSums,
    /// Initial paces: those of the first events of a stream, or of the whole run if it has fewer.
    pub initial: PaceSums,
    /// The same for the last seconds.
    pub recent: RecentPaces,
}

/// Sums over recent paces at the time of a report. Older paces weigh less, and the sums are in
/// hundredths of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentPaces {
    scaled: PaceSums,
}

impl RecentPaces {
    fn runs(&self) -> f64 {
        f64::from(self.scaled.runs) / RECENT_SCALE
    }

    /// Returns whether these paces are several times slower than those of the old version, beyond
    /// chance. `old` are its paces before the share rose, `old_recent` those of the same seconds,
    /// which count as long as there are enough of them: both versions may be slow for a while.
    fn is_slower_than(&self, old: &PaceSums, old_recent: &Self) -> bool {
        if old.runs < MIN_OLD_RUNS || self.runs() < MIN_RECENT_RUNS {
            return false;
        }
        let mut baseline = old.mean();
        if old_recent.runs() >= MIN_RECENT_RUNS {
            baseline = baseline.max(old_recent.scaled.mean());
        }
        let slowdown = self.scaled.mean() - baseline;
        is_several_times_slower(slowdown, &self.scaled, self.runs(), old)
    }
}

/// Recent paces of one version on one host, with weights that halve in a fixed time.
#[derive(Debug)]
pub(super) struct PaceDecay {
    half_life: Duration,
    weight: f64,
    sum: f64,
    squares: f64,
    updated: Instant,
}

impl PaceDecay {
    pub fn new(half_life: Duration, now: Instant) -> Self {
        Self {
            half_life,
            weight: 0.0,
            sum: 0.0,
            squares: 0.0,
            updated: now,
        }
    }

    pub fn record(&mut self, pace_ms: f64, now: Instant) {
        let factor = self.decay_factor(now);
        #[expect(clippy::cast_precision_loss, reason = "a logarithm is small")]
        let log = log_thousandths(pace_ms) as f64;
        self.weight = self.weight * factor + 1.0;
        self.sum = self.sum * factor + log;
        self.squares = self.squares * factor + log * log;
        self.updated = now;
    }

    /// Returns the sums at a time, for a report.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "sums over the runs of a few seconds"
    )]
    pub fn sums(&self, now: Instant) -> RecentPaces {
        let scale = self.decay_factor(now) * RECENT_SCALE;
        let scaled = PaceSums {
            runs: (self.weight * scale) as u32,
            sum: (self.sum * scale) as i64,
            squares: (self.squares * scale) as u64,
        };
        RecentPaces { scaled }
    }

    fn decay_factor(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let half_lives = elapsed / self.half_life.as_secs_f64().max(f64::MIN_POSITIVE);
        (-half_lives).exp2()
    }
}

/// Sums over the logarithms of paces, in thousandths. Requests are split between the versions at
/// random, so both receive the same mix of routes, and the means over all hosts are comparable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceSums {
    pub runs: u32,
    pub sum: i64,
    pub squares: u64,
}

impl PaceSums {
    /// Records the pace of one run: its time for one unit of work.
    pub(super) fn record(&mut self, pace_ms: f64) {
        let log = log_thousandths(pace_ms);
        self.runs += 1;
        self.sum += log;
        self.squares += (log * log).unsigned_abs();
    }

    fn add(&mut self, other: &Self) {
        self.runs = self.runs.saturating_add(other.runs);
        self.sum = self.sum.saturating_add(other.sum);
        self.squares = self.squares.saturating_add(other.squares);
    }

    #[expect(clippy::cast_precision_loss, reason = "thousandths of a logarithm")]
    fn mean(&self) -> f64 {
        self.sum as f64 / f64::from(self.runs.max(1))
    }

    #[expect(clippy::cast_precision_loss, reason = "thousandths of a logarithm")]
    fn variance(&self) -> f64 {
        let mean = self.mean();
        (self.squares as f64 / f64::from(self.runs.max(1)) - mean * mean).max(0.0)
    }

    /// Returns whether these runs are several times slower than the `old` ones, beyond chance.
    fn is_slower_than(&self, old: &Self) -> bool {
        if old.runs < MIN_OLD_RUNS || self.runs < MIN_NEW_RUNS {
            return false;
        }
        let slowdown = self.mean() - old.mean();
        is_several_times_slower(slowdown, self, f64::from(self.runs), old)
    }
}

/// Returns whether a difference of the means, in thousandths of a logarithm, is that of a version
/// several times slower, beyond chance. `new` are the paces of `new_runs` runs.
fn is_several_times_slower(slowdown: f64, new: &PaceSums, new_runs: f64, old: &PaceSums) -> bool {
    let variance = new.variance().max(old.variance()).max(1.0);
    let error = (variance / f64::from(old.runs) + variance / new_runs).sqrt();
    slowdown >= MIN_SLOWDOWN_FACTOR.ln() * 1_000.0 && slowdown >= EXCESS_STANDARD_ERRORS * error
}

/// What the duration of one run says. The default says nothing.
#[derive(Default)]
pub(super) struct RunTime {
    /// Whether the run was slow for its route; `None` if that is unknown.
    pub slow: Option<bool>,
    /// Time for one unit of work; `None` if it must not be compared.
    pub pace_ms: Option<f64>,
}

fn log_thousandths(pace_ms: f64) -> i64 {
    #[expect(clippy::cast_possible_truncation, reason = "a logarithm is small")]
    let log = (pace_ms.clamp(MIN_PACE_MS, MAX_PACE_MS).ln() * 1_000.0) as i64;
    log
}

impl RunCounts {
    /// Records one run.
    pub(super) fn record(&mut self, failed: bool, time: &RunTime) {
        self.runs += 1;
        self.failed += u32::from(failed);
        if failed {
            return;
        }
        self.timed += u32::from(time.slow.is_some());
        self.slow += u32::from(time.slow.unwrap_or(false));
        if let Some(pace_ms) = time.pace_ms {
            self.paces.record(pace_ms);
        }
    }

    /// Returns whether a pace is slower than the mean of these runs.
    pub(super) fn is_slower_than_mean(&self, pace_ms: f64) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "a logarithm is small")]
        let log = log_thousandths(pace_ms) as f64;
        self.paces.runs > 0 && log > self.paces.mean()
    }

    fn add(&mut self, other: &Self) {
        self.dispatched = self.dispatched.saturating_add(other.dispatched);
        self.runs = self.runs.saturating_add(other.runs);
        self.failed = self.failed.saturating_add(other.failed);
        self.timed = self.timed.saturating_add(other.timed);
        self.slow = self.slow.saturating_add(other.slow);
        self.paces.add(&other.paces);
        self.initial.add(&other.initial);
        self.recent.scaled.add(&other.recent.scaled);
    }
}

/// Run counts of both versions since a host received the rollout order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SideCounts {
    pub old: RunCounts,
    pub new: RunCounts,
}

impl SideCounts {
    pub(super) fn add(&mut self, other: &Self) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    /// Returns whether the new version fails more often or is slower than the old one, beyond
    /// chance.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        let (old, new) = (&self.old, &self.new);
        is_rate_higher(old.runs, old.failed, new.runs, new.failed)
            || is_rate_higher(old.timed, old.slow, new.timed, new.slow)
            || new.paces.is_slower_than(&old.paces)
            || new.recent.is_slower_than(&old.initial, &old.recent)
    }

    pub(super) fn dispatches(&self) -> DispatchCounts {
        DispatchCounts {
            old: self.old.dispatched,
            new: self.new.dispatched,
        }
    }

    pub(super) fn side_mut(&mut self, side: RolloutSide) -> &mut RunCounts {
        match side {
            RolloutSide::Old => &mut self.old,
            RolloutSide::New => &mut self.new,
        }
    }

    /// Returns these counts without what was recent in them, for when their host counts anew.
    pub(super) fn ended(mut self) -> Self {
        self.old.recent = RecentPaces::default();
        self.new.recent = RecentPaces::default();
        self
    }

    /// Returns whether a host that reported `earlier` has begun to count anew.
    pub(super) fn is_before(&self, earlier: &Self) -> bool {
        self.old.dispatched < earlier.old.dispatched || self.new.dispatched < earlier.new.dispatched
    }

    pub(super) fn new_good_runs(&self) -> u32 {
        let bad = self.new.failed.saturating_add(self.new.slow);
        self.new.runs.saturating_sub(bad)
    }
}

/// Returns whether the rate of hits is higher for the new version, beyond chance. The old version's
/// rate includes a prior, as it may be based on few runs.
fn is_rate_higher(old_runs: u32, old_hits: u32, new_runs: u32, new_hits: u32) -> bool {
    let old = f64::from(old_runs) + PRIOR_RUNS;
    let new = f64::from(new_runs.max(1));
    let rate = (f64::from(old_hits) + PRIOR_RATE * PRIOR_RUNS) / old;
    let error = (rate * (1.0 - rate) * (1.0 / old + 1.0 / new)).sqrt();
    let excess = f64::from(new_hits) - rate * new;
    excess > EXCESS_STANDARD_ERRORS * error * new + MIN_EXCESS_RUNS
}

/// State of one rollout, reported by one host, or by a hub for many hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    pub service: NameHash,
    /// Number of the order; later orders of the same service have higher numbers.
    pub order: u64,
    pub phase: RolloutPhase,
    /// Time since the order.
    pub elapsed_ms: u32,
    pub counts: SideCounts,
}

impl RolloutReport {
    /// Returns this report without what was recent in it, for when its host has restarted.
    #[must_use]
    pub fn ended(mut self) -> Self {
        self.counts = self.counts.ended();
        self
    }
}

/// Merges the reports of many hosts into one for each service, which covers its newest order.
pub fn merge_reports<'a>(reports: impl Iterator<Item = &'a RolloutReport>) -> Vec<RolloutReport> {
    let mut merged: Vec<RolloutReport> = Vec::new();
    for report in reports {
        let Some(sum) = merged.iter_mut().find(|sum| sum.service == report.service) else {
            merged.push(*report);
            continue;
        };
        if report.order > sum.order {
            *sum = *report;
        } else if report.order == sum.order {
            sum.phase = sum.phase.max(report.phase);
            sum.elapsed_ms = sum.elapsed_ms.max(report.elapsed_ms);
            sum.counts.add(&report.counts);
        }
    }
    merged
}
