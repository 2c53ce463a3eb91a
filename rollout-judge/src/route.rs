//! Share counting and tests of one route in a rollout.

use compact_str::CompactString;

use crate::sequential::{RateCount, SequentialTest};
use crate::settings::RolloutSettings;
use crate::{FastMap, RolloutSide, RunObservation};

/// Routes with statistics of their own. Route labels come from callers, so the number is bounded;
/// further routes share one entry.
const MAX_ROUTES: usize = 64;
/// Runs of the old version whose times give the median.
const WINDOW_RUNS: usize = 128;
/// The median is computed anew after this number of runs, as sorting the window is the most
/// expensive part of an observation.
const MEDIAN_EVERY: usize = 8;
/// Runs of the old version without which slowness is not tested.
const LEAST_WINDOW: usize = 20;
/// Endpoints of the old version with times of their own, per route and load band.
const MAX_ENDPOINTS: usize = 64;
/// Weight of the failure rate over all routes in a route's own rate.
const PRIOR_RUNS: f64 = 50.0;
/// Dispatches that a new version without room may catch up later. A larger credit would send it
/// a burst far above its share when it gets room again.
const MAX_CREDIT_PERMILLE: i64 = 1_999;

/// Exact share of the new version among the dispatches of one route.
///
/// Every dispatch earns the share; one to the new version costs 1000. So of n dispatches at share
/// s at most n*s/1000 went to the new version, and the first only after enough to the old one.
#[derive(Clone, Debug, Default)]
pub struct ShareCount {
    credit_permille: i64,
}

impl ShareCount {
    /// The side that the next dispatch should take.
    #[must_use]
    pub fn side(&self, share_permille: u16) -> RolloutSide {
        if share_permille > 0 && self.credit_permille + i64::from(share_permille) >= 1_000 {
            RolloutSide::New
        } else {
            RolloutSide::Old
        }
    }

    pub fn record_dispatch(&mut self, side: RolloutSide, share_permille: u16) {
        let cost = match side {
            RolloutSide::Old => 0,
            RolloutSide::New => 1_000,
        };
        let credit = self.credit_permille + i64::from(share_permille) - cost;
        self.credit_permille = credit.min(MAX_CREDIT_PERMILLE);
    }

    /// Drops credit that would exceed the bound at the new share.
    pub fn limit_credit(&mut self) {
        self.credit_permille = self.credit_permille.min(999);
    }
}

/// Run times of the old version relative to their predictions.
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
        if self.ratios.len() >= LEAST_WINDOW && self.next.is_multiple_of(MEDIAN_EVERY) {
            let mut sorted = self.ratios.clone();
            let middle = sorted.len() / 2;
            let (_, median, _) = sorted.select_nth_unstable_by(middle, f64::total_cmp);
            self.median = Some(*median);
        }
    }
}

/// Run times of the old version on one endpoint, and how many of them were slow.
#[derive(Clone, Debug, Default)]
struct EndpointTimes {
    window: TimeWindow,
    slow: RateCount,
}

/// Baseline and tests of one route in one load band.
#[derive(Clone, Debug, Default)]
struct BandTests {
    old_failures: RateCount,
    /// By endpoint: engines differ in speed several-fold, so a pooled median would call a new
    /// version slow for running on slower hardware.
    old_times: FastMap<CompactString, EndpointTimes>,
    failure_test: SequentialTest,
    slow_test: SequentialTest,
}

impl BandTests {
    /// Median of the old version's times on the endpoint where it is slowest. A new version that
    /// is no slower than that may merely have been given slower hardware.
    fn slowest_median(&self) -> Option<f64> {
        let medians = self
            .old_times
            .values()
            .filter_map(|times| times.window.median);
        medians.max_by(f64::total_cmp)
    }

    /// Rate of slow runs of the old version on the endpoint where it is highest.
    fn highest_slow_rate(&self, settings: &RolloutSettings) -> f64 {
        let measured = self
            .old_times
            .values()
            .filter(|times| times.window.median.is_some());
        measured
            .map(|times| times.slow.upper_rate_bound())
            .fold(settings.slow_floor, f64::max)
    }
}

/// What one run of the new version showed.
#[derive(Debug)]
pub enum RunFinding {
    Good,
    /// Failed or slow, but not enough to call the version bad.
    Poor,
    Bad(&'static str),
}

/// Share, baselines and tests of one route.
#[derive(Clone, Debug, Default)]
pub struct RouteEntry {
    pub share: ShareCount,
    low: BandTests,
    high: BandTests,
    /// Runs of the new version so far, while all of them failed.
    first_failures: u32,
    seen_success: bool,
}

impl RouteEntry {
    /// Adds one run of the old version to the baselines; returns whether it failed or was slow.
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
        let known = band.old_times.contains_key(&run.endpoint);
        if known || band.old_times.len() < MAX_ENDPOINTS {
            let times = band.old_times.entry(run.endpoint.clone()).or_default();
            if let Some(median) = median {
                was_slow = run.work_time_ratio > settings.slow_factor * median;
                times.slow.add(was_slow);
            }
            times.window.add(run.work_time_ratio);
        }
        was_slow
    }

    fn band(&self, run: &RunObservation) -> &BandTests {
        if run.high_load { &self.high } else { &self.low }
    }

    /// Whether the old version's usual time is known for runs like this one.
    #[must_use]
    pub fn is_measured(&self, run: &RunObservation) -> bool {
        self.band(run).slowest_median().is_some()
    }

    /// Whether a run is slow beside the old version; false while too few of its runs were seen.
    #[must_use]
    pub fn is_slow(&self, run: &RunObservation, settings: &RolloutSettings) -> bool {
        let median = self.band(run).slowest_median();
        let median = median.filter(|_| ratio_is_valid(run));
        median.is_some_and(|median| run.work_time_ratio > settings.slow_factor * median)
    }

    /// Tests one run of the new version; `overall` counts failures of the old one on all routes.
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

    /// Tells whether the route's first runs all failed, and are too many for chance.
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
        let own = self.low.old_failures.merge(self.high.old_failures);
        let needed = settings.false_alarm.ln() / failure_baseline(own, prior, settings).ln();
        self.first_failures >= settings.min_first_failures
            && f64::from(self.first_failures) >= needed
    }

    #[must_use]
    pub fn is_doubtful(&self, settings: &RolloutSettings) -> bool {
        [&self.low, &self.high].iter().any(|band| {
            band.failure_test.is_doubtful(settings.false_alarm)
                || band.slow_test.is_doubtful(settings.false_alarm)
        })
    }
}

fn failure_baseline(own: RateCount, prior: f64, settings: &RolloutSettings) -> f64 {
    own.with_prior(prior, PRIOR_RUNS)
        .upper_rate_bound()
        .max(settings.failure_floor)
}

fn ratio_is_valid(run: &RunObservation) -> bool {
    run.work_time_ratio.is_finite() && run.work_time_ratio >= 0.0
}

/// The entries of all routes.
#[derive(Debug, Default)]
pub struct RouteTable {
    entries: FastMap<CompactString, RouteEntry>,
    other: RouteEntry,
}

impl RouteTable {
    pub fn entry(&mut self, route: &str) -> &mut RouteEntry {
        if self.entries.contains_key(route) || self.entries.len() < MAX_ROUTES {
            self.entries.entry(route.into()).or_default()
        } else {
            &mut self.other
        }
    }

    #[must_use]
    pub fn side(&self, route: &str, share_permille: u16) -> RolloutSide {
        match self.entries.get(route) {
            Some(entry) => entry.share.side(share_permille),
            // The route will get its own entry, which begins without credit.
            None if self.entries.len() < MAX_ROUTES => ShareCount::default().side(share_permille),
            None => self.other.share.side(share_permille),
        }
    }

    pub fn limit_credit(&mut self) {
        self.other.share.limit_credit();
        for entry in self.entries.values_mut() {
            entry.share.limit_credit();
        }
    }

    #[must_use]
    pub fn is_doubtful(&self, settings: &RolloutSettings) -> bool {
        let mut entries = self.entries.values().chain([&self.other]);
        entries.any(|entry| entry.is_doubtful(settings))
    }
}
