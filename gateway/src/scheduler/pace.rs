//! Estimates of how fast an endpoint processes prompts and writes answers, learned from its runs.

use std::time::Duration;

use super::types::PaceReport;
use crate::ids::NameHash;

/// Milliseconds of prefill per prompt token before any observation. A common accelerator processes
/// about 50 tokens per millisecond.
const DEFAULT_PREFILL_MS: f64 = 0.02;
/// Milliseconds to the first byte that do not depend on the prompt: connection, queueing and the
/// first decode step.
const FIRST_BYTE_BASE_MS: f64 = 12.0;
/// Milliseconds between two events of a stream before any observation.
const DEFAULT_EVENT_GAP_MS: f64 = 30.0;
/// Milliseconds for the answer of a plain service before any observation.
const DEFAULT_ANSWER_MS: f64 = 40.0;
/// Minimum weight of a new observation in a moving average.
const LEARNING_WEIGHT: f64 = 0.15;
/// Bounds of an observed prefill time per token, in milliseconds.
const MIN_PREFILL_MS: f64 = 0.001;
const MAX_PREFILL_MS: f64 = 1.0;
/// Weight of prefill observations below which they are not reported.
const MIN_REPORTED_PREFILL_WEIGHT: f64 = 0.5;
const NS_PER_MS: f64 = 1_000_000.0;
const US_PER_MS: f64 = 1_000.0;
/// Prompt size from which an observation has full weight. The time to the first byte of a short
/// prompt says little about the prefill speed.
const FULL_WEIGHT_TOKENS: f64 = 2_000.0;
/// Prompt length at which attention costs as much as the rest of the prefill.
const ATTENTION_TOKENS: f64 = 50_000.0;

/// Maximum number of runs that one report counts for; a few are enough to settle the estimate.
const MAX_REPORTED_RUNS: u32 = 8;

/// Minimum number of events in a run whose mean gap counts towards the minimum gap, which shows the
/// endpoint's speed under low load. In shorter runs, events that arrive together would distort the
/// mean.
const MIN_GAP_EVENTS: u32 = 8;

/// Moving average that starts as a plain mean, so that the first observations count in full, and
/// then favours recent ones.
#[derive(Clone, Copy, Debug)]
struct LearnedTime {
    millis: f64,
    /// Sum of the weights of all observations.
    total_weight: f64,
}

impl LearnedTime {
    fn unknown(millis: f64) -> Self {
        Self {
            millis,
            total_weight: 0.0,
        }
    }

    fn record(&mut self, millis: f64, weight: f64) {
        if weight <= 0.0 {
            return;
        }
        self.total_weight += weight;
        let step = (weight / self.total_weight).max(LEARNING_WEIGHT * weight);
        self.millis += step * (millis - self.millis);
    }
}

/// Sums of this host's observations since its last report.
#[derive(Clone, Copy, Debug, Default)]
struct UnreportedTimes {
    prefill_sum: f64,
    prefill_weight: f64,
    event_gap_sum: f64,
    event_gap_runs: u32,
    min_gap_ms: Option<f64>,
}

#[derive(Debug)]
pub(crate) struct PaceEstimate {
    /// Prefill time per weighted prompt token.
    prefill: LearnedTime,
    /// Time between two events of a stream.
    event_gap: LearnedTime,
    /// Minimum over all longer runs of their mean time between two events, observed by any host.
    min_gap_ms: Option<f64>,
    /// Time for the answer of a plain service.
    answer: LearnedTime,
    /// Time for such an answer while the endpoint has a slot for each request.
    uncrowded_answer: LearnedTime,
    unreported: UnreportedTimes,
}

impl Default for PaceEstimate {
    fn default() -> Self {
        Self {
            prefill: LearnedTime::unknown(DEFAULT_PREFILL_MS),
            event_gap: LearnedTime::unknown(DEFAULT_EVENT_GAP_MS),
            min_gap_ms: None,
            answer: LearnedTime::unknown(DEFAULT_ANSWER_MS),
            uncrowded_answer: LearnedTime::unknown(DEFAULT_ANSWER_MS),
            unreported: UnreportedTimes::default(),
        }
    }
}

impl PaceEstimate {
    /// Returns the expected milliseconds to the first byte if `tokens` weighted tokens are
    /// processed before it.
    pub fn first_byte_ms(&self, tokens: f64) -> f64 {
        FIRST_BYTE_BASE_MS + tokens * self.prefill.millis
    }

    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens * self.prefill.millis
    }

    pub fn event_gap_ms(&self) -> f64 {
        self.event_gap.millis
    }

    pub fn answer_ms(&self) -> f64 {
        self.answer.millis
    }

    pub fn record_first_byte(&mut self, tokens: f64, took: Duration) {
        let prefill_ms = (took.as_secs_f64() * 1_000.0 - FIRST_BYTE_BASE_MS).max(0.0);
        let observed = (prefill_ms / tokens.max(1.0)).clamp(MIN_PREFILL_MS, MAX_PREFILL_MS);
        let weight = (tokens / FULL_WEIGHT_TOKENS).min(1.0);
        self.prefill.record(observed, weight);
        self.unreported.prefill_sum += observed * weight;
        self.unreported.prefill_weight += weight;
    }

    pub fn record_events(&mut self, events: u32, streamed_for: Duration) {
        if events >= 2 {
            let observed = streamed_for.as_secs_f64() * 1_000.0 / f64::from(events - 1);
            self.event_gap.record(observed, 1.0);
            self.unreported.event_gap_sum += observed;
            self.unreported.event_gap_runs += 1;
            if events >= MIN_GAP_EVENTS {
                update_min(&mut self.min_gap_ms, observed);
                update_min(&mut self.unreported.min_gap_ms, observed);
            }
        }
    }

    /// Returns the minimum mean time between two events of a longer run that any host has observed
    /// at this endpoint.
    pub fn min_gap_ms(&self) -> Option<f64> {
        self.min_gap_ms
    }

    /// Records the time for an answer of a plain service. `crowding`: the requests for each slot of
    /// the endpoint when this one was sent.
    pub fn record_answer(&mut self, took: Duration, crowding: f64) {
        let millis = took.as_secs_f64() * 1_000.0;
        self.answer.record(millis, 1.0);
        self.uncrowded_answer.record(millis / crowding, 1.0);
    }

    pub fn uncrowded_answer_ms(&self) -> f64 {
        self.uncrowded_answer.millis
    }

    /// Removes and returns this host's observations since its last report; `None` while there are
    /// too few.
    pub fn take_report(&mut self, endpoint: NameHash) -> Option<PaceReport> {
        let unreported = std::mem::take(&mut self.unreported);
        if unreported.event_gap_runs == 0 && unreported.prefill_weight < MIN_REPORTED_PREFILL_WEIGHT
        {
            self.unreported = unreported;
            return None;
        }
        let mean = |sum: f64, count: f64, units: f64| {
            if count > 0.0 {
                to_units(sum / count, units)
            } else {
                0
            }
        };
        Some(PaceReport {
            endpoint,
            runs: unreported.event_gap_runs.clamp(1, MAX_REPORTED_RUNS),
            prefill_ns: mean(unreported.prefill_sum, unreported.prefill_weight, NS_PER_MS),
            event_gap_us: mean(
                unreported.event_gap_sum,
                f64::from(unreported.event_gap_runs),
                US_PER_MS,
            ),
            min_gap_percent: min_gap_percent(
                unreported.min_gap_ms,
                unreported.event_gap_sum / f64::from(unreported.event_gap_runs),
            ),
        })
    }

    fn apply_min_gap(&mut self, report: &PaceReport) {
        if report.min_gap_percent > 0 && report.event_gap_us > 0 {
            let mean = from_units(report.event_gap_us, US_PER_MS);
            let min_gap = mean * f64::from(report.min_gap_percent) / 100.0;
            update_min(&mut self.min_gap_ms, min_gap);
        }
    }

    /// Applies the observations of another host.
    pub fn apply_report(&mut self, report: &PaceReport) {
        self.apply_min_gap(report);
        for _ in 0..report.runs.min(MAX_REPORTED_RUNS) {
            if report.prefill_ns > 0 {
                self.prefill
                    .record(from_units(report.prefill_ns, NS_PER_MS), 1.0);
            }
            if report.event_gap_us > 0 {
                self.event_gap
                    .record(from_units(report.event_gap_us, US_PER_MS), 1.0);
            }
        }
    }

    /// Returns the estimate for hosts that learn of few runs; `None` before any observation.
    pub fn estimate(&self, endpoint: NameHash) -> Option<PaceReport> {
        let reported = |time: LearnedTime, units: f64| match time.total_weight {
            0.0 => 0,
            _ => to_units(time.millis, units),
        };
        let report = PaceReport {
            endpoint,
            runs: MAX_REPORTED_RUNS,
            prefill_ns: reported(self.prefill, NS_PER_MS),
            event_gap_us: reported(self.event_gap, US_PER_MS),
            min_gap_percent: min_gap_percent(self.min_gap_ms, self.event_gap.millis),
        };
        (report.prefill_ns > 0 || report.event_gap_us > 0).then_some(report)
    }

    /// Replaces the estimate by that of a host that learns of all runs.
    pub fn apply_estimate(&mut self, report: &PaceReport) {
        self.apply_min_gap(report);
        let learned = |units: u32, per_ms: f64| LearnedTime {
            millis: from_units(units, per_ms),
            total_weight: f64::from(report.runs),
        };
        if report.prefill_ns > 0 {
            self.prefill = learned(report.prefill_ns, NS_PER_MS);
        }
        if report.event_gap_us > 0 {
            self.event_gap = learned(report.event_gap_us, US_PER_MS);
        }
    }
}

fn update_min(min: &mut Option<f64>, observed: f64) {
    *min = Some(min.map_or(observed, |min| min.min(observed)));
}

/// Returns the minimum gap as a percentage of the mean gap; 0 if it is unknown.
fn min_gap_percent(gap_ms: Option<f64>, mean_ms: f64) -> u8 {
    // Rounded up, because hosts keep the lowest value that they receive and relay it to others.
    let percent = gap_ms.map(|gap_ms| (gap_ms / mean_ms * 100.0).ceil());
    let percent = percent.filter(|percent| percent.is_finite());
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the range"
    )]
    percent.map_or(0, |percent| percent.clamp(1.0, f64::from(u8::MAX)) as u8)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range"
)]
fn to_units(millis: f64, per_ms: f64) -> u32 {
    (millis * per_ms).clamp(1.0, f64::from(u32::MAX)) as u32
}

fn from_units(units: u32, per_ms: f64) -> f64 {
    f64::from(units) / per_ms
}

/// Returns the prompt tokens weighted by their prefill cost, as attention grows with the square of
/// the length.
pub(crate) fn weighted_tokens(prompt_tokens: u32) -> f64 {
    let tokens = f64::from(prompt_tokens);
    tokens * (1.0 + tokens / ATTENTION_TOKENS)
}
