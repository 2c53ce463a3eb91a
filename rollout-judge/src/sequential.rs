//! Sequential probability ratio test against a baseline rate, and the estimate of that rate.

/// Number of standard errors that the upper bound of a measured baseline lies above its estimate.
/// An underestimated baseline would invalidate the false-alarm probability. Three standard errors
/// are exceeded in about 1 of 1,000 cases.
const BOUND_STANDARD_ERRORS: f64 = 3.0;
/// Number of runs at which a count is halved, so that the rate follows recent runs.
const HALVING_RUNS: f64 = 1_000.0;

/// Number of runs, and the number of hits among them: runs with a certain property.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateCount {
    pub runs: f64,
    hits: f64,
}

impl RateCount {
    pub fn add(&mut self, hit: bool) {
        self.runs += 1.0;
        self.hits += f64::from(u8::from(hit));
        if self.runs >= HALVING_RUNS {
            self.runs /= 2.0;
            self.hits /= 2.0;
        }
    }

    /// Returns this count plus `runs` further runs at a prior rate.
    #[must_use]
    pub fn with_prior(self, rate: f64, runs: f64) -> Self {
        Self {
            runs: self.runs + runs,
            hits: self.hits + rate * runs,
        }
    }

    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        Self {
            runs: self.runs + other.runs,
            hits: self.hits + other.hits,
        }
    }

    #[must_use]
    pub fn rate(self) -> Option<f64> {
        (self.runs > 0.0).then(|| self.hits / self.runs)
    }

    /// Returns the upper bound of the Wilson score interval of the rate, or 1 without runs.
    #[must_use]
    pub fn upper_rate_bound(self) -> f64 {
        let errors_squared = BOUND_STANDARD_ERRORS * BOUND_STANDARD_ERRORS;
        let rate = self.rate().unwrap_or(1.0);
        let runs = self.runs.max(f64::MIN_POSITIVE);
        let spread = (rate * (1.0 - rate) / runs + errors_squared / (4.0 * runs * runs)).sqrt();
        let upper_bound = (rate + errors_squared / (2.0 * runs) + BOUND_STANDARD_ERRORS * spread)
            / (1.0 + errors_squared / runs);
        if upper_bound.is_finite() {
            upper_bound.min(1.0)
        } else {
            1.0
        }
    }
}

/// Test of the hypothesis "no worse than the baseline" against "worse by a given rise".
///
/// The likelihood ratio is a supermartingale while the tested rate is at most the baseline, even if
/// the baseline changes between runs. The probability that it ever reaches 1/a is therefore at most
/// a (Ville's inequality). When the ratio falls to `missed_detection`, the test discards the
/// evidence so far and starts a new section. Otherwise a version that turns bad later would have to
/// outweigh all its good runs. Section k is allotted the fraction 1/(k(k+1)) of the false-alarm
/// probability. These fractions add up to 1, so the probability holds for the whole life of the
/// test.
#[derive(Clone, Debug, Default)]
pub struct SequentialTest {
    log_ratio: f64,
    sections_ended: u32,
}

impl SequentialTest {
    /// Adds one run and returns whether the version is now found bad.
    pub fn add(
        &mut self,
        hit: bool,
        baseline: f64,
        rise: f64,
        false_alarm: f64,
        missed_detection: f64,
    ) -> bool {
        let bad_rate = baseline + rise;
        if bad_rate >= 1.0 {
            return false;
        }
        self.log_ratio += if hit {
            (bad_rate / baseline).ln()
        } else {
            ((1.0 - bad_rate) / (1.0 - baseline)).ln()
        };
        if self.log_ratio <= missed_detection.ln() {
            self.log_ratio = 0.0;
            self.sections_ended += 1;
        }
        self.log_ratio >= self.bound(false_alarm)
    }

    /// Returns whether the evidence against the version has reached half of the bound for a
    /// verdict, on a logarithmic scale.
    #[must_use]
    pub fn is_doubtful(&self, false_alarm: f64) -> bool {
        self.log_ratio >= self.bound(false_alarm) / 2.0
    }

    fn bound(&self, false_alarm: f64) -> f64 {
        let section = f64::from(self.sections_ended) + 1.0;
        (section * (section + 1.0) / false_alarm).ln()
    }
}
