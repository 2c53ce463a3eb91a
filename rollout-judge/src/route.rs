//! Share accounting and tests for each route of a rollout.

use compact_str::CompactString;

use crate::sequential::{RateCount, SequentialTest};
use crate::settings::RolloutSettings;
use crate::{FastMap, RolloutSide, RunObservation};

/// Maximum number of routes with separate statistics. Callers choose the route labels, so their
/// number must be bounded. Further routes share one entry.
const MAX_ROUTES: usize = 64;
/// Number of recent runs of the old version over which the median time is computed.
const WINDOW_RUNS: usize = 128;
/// Number of runs after which the median is recomputed. Sorting the window is the most expensive
/// part of an observation.
const MEDIAN_INTERVAL_RUNS: usize = 8;
/// Minimum number of runs of the old version before slowness is tested.
const MIN_WINDOW_RUNS: usize = 20;
/// Maximum number of the old version's endpoints with separate times, per route and load band.
const MAX_ENDPOINTS: usize = 64;
/// Weight, in runs, of the failure rate over all routes in the rate of a single route.
const PRIOR_RUNS: f64 = 50.0;
/// Maximum credit that a new version without free slots accumulates. A larger credit would send it
/// a burst far above its share once it has free slots again.
const MAX_CREDIT_PERMILLE: i64 = 1_999;

/// Exact share of the new version among the dispatches of one route.
///
/// Every dispatch adds the share to the credit, and one to the new version costs 1000. Of n
/// dispatches at share s, at most n*s/1000 therefore go to the new version, and the first of them
/// only after enough dispatches to the old one.
#[derive(Clone, Debug, Default)]
pub struct ShareCount {
    credit_permille: i64,
}

impl ShareCount {
    /// Returns the side that the next dispatch should go to.
    #[must_use]
    pub fn side(&self, share_permille: u16) -> RolloutSide {
        if share_permille > 0 && self.credit_permille + i64::from(share_permille) >= 1_000 {
            RolloutSide::New
        } else {
            RolloutSide::Old
        }
    }

    /// Updates the credit after a dispatch to a side.
    pub fn record_dispatch(&mut self, side: RolloutSide, share_permille: u16) {
        let cost = match side {
            RolloutSide::Old => 0,
            RolloutSide::New => 1_000,
        };
        let credit = self.credit_permille + i64::from(share_permille) - cost;
        self.credit_permille = credit.min(MAX_CREDIT_PERMILLE);
    }

    /// Removes credit that would exceed the bound after a change of the share.
    pub fn limit_credit(&mut self) {
        self.credit_permille = self.credit_permille.min(999);
    }
}

/// Run times of the old version, relative to their predictions, in a sliding window.
#[derive(Clone, Debug, Default)]
struct TimeWindow {
    ratios: Vec<f64>,
    next: usize,
    median: Option<f64>,
}

impl TimeWindow {
    fn add(&mut self, ratio: f64) {
        if self.ratios.len() < WINDOW_RUNS {
            self.ratios.push(ratio);
        } else {
            self.ratios[self.next] = ratio;
        }
        self.next = (self.next + 1) % WINDOW_RUNS;
        if self.ratios.len() >= MIN_WINDOW_RUNS && self.next.is_multiple_of(MEDIAN_INTERVAL_RUNS) {
            let mut sorted = self.ratios.clone();
            let middle = sorted.len() / 2;
            let (_, median, _) = sorted.select_nth_unstable_by(middle, f64::total_cmp);
            self.median = Some(*median);
        }
    }
}

/// Run times of the old version on one endpoint, and the rate of slow runs among them.
#[derive(Clone, Debug, Default)]
struct EndpointTimes {
    window: TimeWindow,
    slow_runs: RateCount,
}

/// Baselines and tests of one route in one load band.
#[derive(Clone, Debug, Default)]
struct BandTests {
    old_failures: RateCount,
    /// Times by endpoint. Engines differ in speed several-fold, so a pooled median would make a new
    /// version look slow if it runs on slower hardware.
    old_times: FastMap<CompactString, EndpointTimes>,
    failure_test: SequentialTest,
    slow_test: SequentialTest,
}

impl BandTests {
    /// Returns the median of the old version's times on the endpoint where it is slowest. A new
    /// version that is no slower than that may merely run on slower hardware.
    fn slowest_median(&self) -> Option<f64> {
        let medians = self
            .old_times
            .values()
            .filter_map(|times| times.window.median);
        medians.max_by(f64::total_cmp)
    }

    /// Returns the old version's rate of slow runs on the endpoint where that rate is highest.
    fn highest_slow_rate(&self, settings: &RolloutSettings) -> f64 {
        let measured_endpoints = self
            .old_times
            .values()
            .filter(|times| times.window.median.is_some());
        measured_endpoints
            .map(|times| times.slow_runs.upper_rate_bound())
            .fold(settings.slow_floor, f64::max)
    }
}

/// Finding about the new version after one of its runs.
#[derive(Debug)]
pub enum RunFinding {
    Good,
    /// The run failed or was slow, but the evidence is not enough to find the version bad.
    Poor,
    /// The version is bad, for the given reason.
    Bad(&'static str),
}

/// Share, baselines and tests of one route.
#[derive(Clone, Debug, Default)]
pub struct RouteEntry {
    pub share: ShareCount,
    low: BandTests,
    high: BandTests,
    /// Number of the new version's first runs, counted while all of them have failed.
    first_failures: u32,
    seen_success: bool,
}

impl RouteEntry {
    /// Adds one run of the old version to the baselines and returns whether it failed or was slow.
    pub fn observe_old(&mut self, run: &RunObservation, settings: &RolloutSettings) -> bool {
        let band = if run.high_load {
            &mut self.high
        } else {
            &mut self.low
        };
        band.old_failures.add(run.failed);
        if run.failed || !ratio_is_valid(run) {
            return run.failed;
        }
        let mut was_slow = false;
        let median = band.slowest_median();
        let is_tracked = band.old_times.contains_key(&run.endpoint);
        if is_tracked || band.old_times.len() < MAX_ENDPOINTS {
            let times = band.old_times.entry(run.endpoint.clone()).or_default();
            if let Some(median) = median {
                was_slow = run.work_time_ratio > settings.slow_factor * median;
                times.slow_runs.add(was_slow);
            }
            times.window.add(run.work_time_ratio);
        }
        was_slow
    }

    /// Adds one run of the old version whose time must not be compared.
    pub fn observe_old_failure(&mut self, failed: bool) {
        self.low.old_failures.add(failed);
    }

    fn band(&self, run: &RunObservation) -> &BandTests {
        if run.high_load { &self.high } else { &self.low }
    }

    /// Returns whether the old version's median time is known for the load band of this run.
    #[must_use]
    pub fn is_measured(&self, run: &RunObservation) -> bool {
        self.band(run).slowest_median().is_some()
    }

    /// Returns whether the old version is slowest on this endpoint, among those measured.
    #[must_use]
    pub fn is_slowest(&self, run: &RunObservation) -> bool {
        let band = self.band(run);
        let times = band.old_times.get(&run.endpoint);
        let median = times.and_then(|times| times.window.median);
        median.is_some() && median == band.slowest_median()
    }

    /// Returns whether a run is slow compared with the old version. Returns `false` while too few
    /// runs of the old version have been observed.
    #[must_use]
    pub fn is_slow(&self, run: &RunObservation, settings: &RolloutSettings) -> bool {
        let median = self.band(run).slowest_median();
        let median = median.filter(|_| ratio_is_valid(run));
        median.is_some_and(|median| run.work_time_ratio > settings.slow_factor * median)
    }

    /// Adds one run of the new version to the tests. `overall` counts the failures of the old
    /// version on all routes.
    pub fn observe_new(
        &mut self,
        run: &RunObservation,
        overall: RateCount,
        compares_times: bool,
        settings: &RolloutSettings,
    ) -> RunFinding {
        let prior = match overall.rate() {
            Some(rate) if overall.runs >= PRIOR_RUNS => rate,
            Some(_) | None => settings.assumed_failure,
        };
        if self.all_first_failed(run, prior, settings) {
            return RunFinding::Bad("its first runs all failed");
        }
        let band = if run.high_load {
            &mut self.high
        } else {
            &mut self.low
        };
        let baseline = failure_baseline(band.old_failures, prior, settings);
        let (alarm, missed) = (settings.false_alarm, settings.missed_detection);
        let rise = settings.failure_rise;
        if band
            .failure_test
            .add(run.failed, baseline, rise, alarm, missed)
        {
            return RunFinding::Bad("it fails more often than the old version");
        }
        if run.failed {
            return RunFinding::Poor;
        }
        let comparable = compares_times && ratio_is_valid(run);
        let Some(median) = band.slowest_median().filter(|_| comparable) else {
            return RunFinding::Good;
        };
        let slow = run.work_time_ratio > settings.slow_factor * median;
        let baseline = band.highest_slow_rate(settings);
        if band
            .slow_test
            .add(slow, baseline, settings.slow_rise, alarm, missed)
        {
            return RunFinding::Bad("it is slower than the old version");
        }
        if slow {
            RunFinding::Poor
        } else {
            RunFinding::Good
        }
    }

    /// Returns whether the route's first runs all failed, and are too many to be explained by
    /// chance.
    fn all_first_failed(
        &mut self,
        run: &RunObservation,
        prior: f64,
        settings: &RolloutSettings,
    ) -> bool {
        self.seen_success |= !run.failed;
        if self.seen_success {
            return false;
        }
        self.first_failures += 1;
        let route_failures = self.low.old_failures.merge(self.high.old_failures);
        let min_failures =
            settings.false_alarm.ln() / failure_baseline(route_failures, prior, settings).ln();
        self.first_failures >= settings.min_first_failures
            && f64::from(self.first_failures) >= min_failures
    }

    /// Returns whether the evidence of any test has reached half of the bound for a verdict.
    #[must_use]
    pub fn is_doubtful(&self, settings: &RolloutSettings) -> bool {
        [&self.low, &self.high].iter().any(|band| {
            band.failure_test.is_doubtful(settings.false_alarm)
                || band.slow_test.is_doubtful(settings.false_alarm)
        })
    }
}

fn failure_baseline(old_failures: RateCount, prior: f64, settings: &RolloutSettings) -> f64 {
    old_failures
        .with_prior(prior, PRIOR_RUNS)
        .upper_rate_bound()
        .max(settings.failure_floor)
}

fn ratio_is_valid(run: &RunObservation) -> bool {
    run.work_time_ratio.is_finite() && run.work_time_ratio >= 0.0
}

/// Entries of all routes.
#[derive(Debug, Default)]
pub struct RouteTable {
    entries: FastMap<CompactString, RouteEntry>,
    /// Entry that routes beyond `MAX_ROUTES` share.
    shared_entry: RouteEntry,
}

impl RouteTable {
    /// Returns the entry of a route, which is created if there is room for it.
    pub fn entry(&mut self, route: &str) -> &mut RouteEntry {
        if self.entries.contains_key(route) || self.entries.len() < MAX_ROUTES {
            self.entries.entry(route.into()).or_default()
        } else {
            &mut self.shared_entry
        }
    }

    /// Returns the side that the next dispatch of a route should go to.
    #[must_use]
    pub fn side(&self, route: &str, share_permille: u16) -> RolloutSide {
        match self.entries.get(route) {
            Some(entry) => entry.share.side(share_permille),
            // The route will get its own entry, which starts without credit.
            None if self.entries.len() < MAX_ROUTES => ShareCount::default().side(share_permille),
            None => self.shared_entry.share.side(share_permille),
        }
    }

    /// Removes credit of all routes that would exceed the bound after a change of the share.
    pub fn limit_credit(&mut self) {
        self.shared_entry.share.limit_credit();
        for entry in self.entries.values_mut() {
            entry.share.limit_credit();
        }
    }

    /// Returns whether the evidence of any test of any route has reached half of the bound for a
    /// verdict.
    #[must_use]
    pub fn is_doubtful(&self, settings: &RolloutSettings) -> bool {
        let mut entries = self.entries.values().chain([&self.shared_entry]);
        entries.any(|entry| entry.is_doubtful(settings))
    }
}
