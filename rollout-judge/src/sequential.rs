//! Sequential probability ratio test against a baseline, and the baseline's rate.

/// Standard errors by which a measured baseline is raised. An underestimated baseline would break
/// the false-alarm probability; three errors are exceeded in about 1 of 1,000 cases.
const RAISE_ERRORS: f64 = 3.0;
/// A count is halved at this number of runs, so that the rate follows recent runs.
const HALVE_AT: f64 = 1_000.0;

/// Number of runs, and how many of them had a property.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateCount {
    pub runs: f64,
    hits: f64,
}

impl RateCount {
    pub fn add(&mut self, hit: bool) {
        self.runs += 1.0;
        self.hits += f64::from(u8::from(hit));
        if self.runs >= HALVE_AT {
            self.runs /= 2.0;
            self.hits /= 2.0;
        }
    }

    /// Returns this count with `runs` further runs at a prior rate.
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

    /// Upper end of the Wilson interval of the rate; 1 without runs.
    #[must_use]
    pub fn upper_rate_bound(self) -> f64 {
        let square = RAISE_ERRORS * RAISE_ERRORS;
        let rate = self.rate().unwrap_or(1.0);
        let runs = self.runs.max(f64::MIN_POSITIVE);
        let spread = (rate * (1.0 - rate) / runs + square / (4.0 * runs * runs)).sqrt();
        let raised = (rate + square / (2.0 * runs) + RAISE_ERRORS * spread) / (1.0 + square / runs);
        if raised.is_finite() {
            raised.min(1.0)
        } else {
            1.0
        }
    }
}

/// Test of "no worse than the baseline" against "worse by a given rise".
///
/// The likelihood ratio is a supermartingale while the tested rate is at most the baseline, also
/// when the baseline changes between runs. So the probability that it ever reaches 1/a is at most
/// a (Ville's inequality). When the ratio falls to `missed_detection`, the evidence so far is
/// dropped, or a version that turns bad later would have to outweigh all its good runs. Section k
/// gets the part 1/(k(k+1)) of the false-alarm probability; the parts add up to 1, so the
/// probability holds for the whole life of the test.
#[derive(Clone, Debug, Default)]
pub struct SequentialTest {
    log_ratio: f64,
    sections_ended: u32,
}

impl SequentialTest {
    /// Adds one run; returns whether the version is now found bad.
    pub fn add(
        &mut self,
        hit: bool,
        baseline: f64,
        rise: f64,
        false_alarm: f64,
        missed_detection: f64,
    ) -> bool {
        let worse = baseline + rise;
        if worse >= 1.0 {
            return false;
        }
        self.log_ratio += if hit {
            (worse / baseline).ln()
        } else {
            ((1.0 - worse) / (1.0 - baseline)).ln()
        };
        if self.log_ratio <= missed_detection.ln() {
            self.log_ratio = 0.0;
            self.sections_ended += 1;
        }
        self.log_ratio >= self.bound(false_alarm)
    }

    /// Tells whether the evidence against the version has come half the way.
    #[must_use]
    pub fn is_doubtful(&self, false_alarm: f64) -> bool {
        self.log_ratio >= self.bound(false_alarm) / 2.0
    }

    fn bound(&self, false_alarm: f64) -> f64 {
        let section = f64::from(self.sections_ended) + 1.0;
        (section * (section + 1.0) / false_alarm).ln()
    }
}
