//! What hosts tell each other of a rollout.

use serde::{Deserialize, Serialize};

use super::plan::RolloutPhase;
use crate::ids::NameHash;

/// Standard errors by which bad runs must exceed what the old version's rate explains. They are
/// looked at many times in a rollout.
const EXCESS_ERRORS: f64 = 4.0;
/// Bad runs beyond that, so that a handful never decides.
const LEAST_EXCESS: f64 = 3.0;
/// Runs of the old version, at an assumed rate, that are added to what was seen of it.
const PRIOR_RUNS: f64 = 50.0;
const PRIOR_RATE: f64 = 0.05;

/// A version is several times slower from this factor on. Less may be slower hardware.
const SLOWER_FACTOR: f64 = 2.5;
/// Runs without which means say nothing.
const LEAST_OLD_PACES: u32 = 20;
const LEAST_NEW_PACES: u32 = 5;
/// Range of paces that are told apart.
const LEAST_PACE_MS: f64 = 0.01;
const MOST_PACE_MS: f64 = 1e6;

/// Runs of one version. Slow: beside the old version on the same route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    pub runs: u32,
    pub failed: u32,
    /// Runs on routes whose usual time was known, and how many of these were slow.
    pub timed: u32,
    pub slow: u32,
    pub paces: PaceSums,
}

/// Sums over the logarithms of paces, in thousandths. Requests are split at random, so both
/// versions get the same mix of routes, and the means of all hosts' runs can be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceSums {
    pub runs: u32,
    pub sum: i64,
    pub squares: u64,
}

impl PaceSums {
    /// `pace_ms`: time for one unit of work.
    fn note(&mut self, pace_ms: f64) {
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

    /// Whether these runs are several times slower than `old` ones, beyond chance.
    fn is_slower_than(&self, old: &Self) -> bool {
        if old.runs < LEAST_OLD_PACES || self.runs < LEAST_NEW_PACES {
            return false;
        }
        let shift = self.mean() - old.mean();
        let variance = self.variance().max(old.variance()).max(1.0);
        let error = (variance / f64::from(old.runs) + variance / f64::from(self.runs)).sqrt();
        shift >= SLOWER_FACTOR.ln() * 1_000.0 && shift >= EXCESS_ERRORS * error
    }
}

/// How long a run took.
pub(super) struct RunTime {
    /// Beside the usual time of its route; `None` where that isn't known.
    pub slow: Option<bool>,
    /// Time for one unit of work.
    pub pace_ms: f64,
}

fn log_thousandths(pace_ms: f64) -> i64 {
    #[expect(clippy::cast_possible_truncation, reason = "a logarithm is small")]
    let log = (pace_ms.clamp(LEAST_PACE_MS, MOST_PACE_MS).ln() * 1_000.0) as i64;
    log
}

impl RunCounts {
    /// `time`: `None` when it must not be compared.
    pub(super) fn note(&mut self, failed: bool, time: Option<RunTime>) {
        self.runs += 1;
        self.failed += u32::from(failed);
        let Some(time) = time.filter(|_| !failed) else {
            return;
        };
        self.timed += u32::from(time.slow.is_some());
        self.slow += u32::from(time.slow.unwrap_or(false));
        self.paces.note(time.pace_ms);
    }

    /// Whether a pace is slower than the mean.
    pub(super) fn is_above_mean(&self, pace_ms: f64) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "a logarithm is small")]
        let log = log_thousandths(pace_ms) as f64;
        self.paces.runs > 0 && log > self.paces.mean()
    }

    fn add(&mut self, other: &Self) {
        self.runs = self.runs.saturating_add(other.runs);
        self.failed = self.failed.saturating_add(other.failed);
        self.timed = self.timed.saturating_add(other.timed);
        self.slow = self.slow.saturating_add(other.slow);
        self.paces.add(&other.paces);
    }
}

/// Runs of both versions since a host heard of the rollout.
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

    /// Whether the new version fails, or is slow, more often than chance explains.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        let (old, new) = (&self.old, &self.new);
        is_worse(old.runs, old.failed, new.runs, new.failed)
            || is_worse(old.timed, old.slow, new.timed, new.slow)
            || new.paces.is_slower_than(&old.paces)
    }

    pub(super) fn new_good(&self) -> u32 {
        let bad = self.new.failed.saturating_add(self.new.slow);
        self.new.runs.saturating_sub(bad)
    }
}

/// Compares two shares of runs; the old one with a prior, as it may be known from few runs.
fn is_worse(old_runs: u32, old_hits: u32, new_runs: u32, new_hits: u32) -> bool {
    let old = f64::from(old_runs) + PRIOR_RUNS;
    let new = f64::from(new_runs.max(1));
    let rate = (f64::from(old_hits) + PRIOR_RATE * PRIOR_RUNS) / old;
    let error = (rate * (1.0 - rate) * (1.0 / old + 1.0 / new)).sqrt();
    let excess = f64::from(new_hits) - rate * new;
    excess > EXCESS_ERRORS * error * new + LEAST_EXCESS
}

/// What one host, or a hub for many, tells of one rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    pub service: NameHash,
    /// Number of the order; a later order of the same service has a higher one.
    pub order: u64,
    pub phase: RolloutPhase,
    /// Milliseconds since the order.
    pub elapsed_ms: u32,
    pub counts: SideCounts,
}

/// Sums the lines of many hosts: one for each service, about its newest order.
pub fn merge_reports<'a>(lines: impl Iterator<Item = &'a RolloutReport>) -> Vec<RolloutReport> {
    let mut merged: Vec<RolloutReport> = Vec::new();
    for line in lines {
        let Some(sum) = merged.iter_mut().find(|sum| sum.service == line.service) else {
            merged.push(*line);
            continue;
        };
        if line.order > sum.order {
            *sum = *line;
        } else if line.order == sum.order {
            sum.phase = sum.phase.max(line.phase);
            sum.elapsed_ms = sum.elapsed_ms.max(line.elapsed_ms);
            sum.counts.add(&line.counts);
        }
    }
    merged
}
