//! How fast an endpoint reads prompts and writes answers, learned from its runs.

use std::time::Duration;

use super::types::PaceReport;
use crate::ids::NameHash;

/// Milliseconds for reading one prompt token before anything was learned: an accelerator of the
/// usual kind reads about 50 tokens in a millisecond.
const DEFAULT_READ_MS: f64 = 0.02;
/// Milliseconds to a first byte that do not depend on the prompt: connection, queue, first step.
const FIRST_BYTE_BASE_MS: f64 = 12.0;
/// Milliseconds between two events before anything was learned.
const DEFAULT_EVENT_MS: f64 = 30.0;
/// Milliseconds for an answer of a plain service before anything was learned.
const DEFAULT_ANSWER_MS: f64 = 40.0;
/// Weight of one more observation.
const LEARNING_WEIGHT: f64 = 0.15;
/// Bounds of what one token of a prompt may be said to take.
const LEAST_READ_MS: f64 = 0.001;
const MOST_READ_MS: f64 = 1.0;
/// Weight of reads below which they are not worth a report.
const LEAST_READS: f64 = 0.5;
const NS_PER_MS: f64 = 1_000_000.0;
const US_PER_MS: f64 = 1_000.0;
/// Prompts from this size on carry the full weight; the time to the first byte of a short one
/// says little about reading.
const FULL_WEIGHT_TOKENS: f64 = 2_000.0;
/// Prompt length at which attention costs as much as all the rest of reading it.
const ATTENTION_TOKENS: f64 = 50_000.0;

/// Runs of one report that are counted at most: a few settle the estimate.
const MOST_REPORTED_RUNS: u32 = 8;

/// Events of a run from which on its mean gap says how fast the endpoint is when little loads it. A
/// few events may come together.
const LEAST_GAP_EVENTS: u32 = 8;

/// An average in which late observations weigh more, and the first ones count in full.
#[derive(Clone, Copy, Debug)]
struct LearnedTime {
    millis: f64,
    /// Weights of the observations so far.
    seen: f64,
}

impl LearnedTime {
    fn unknown(millis: f64) -> Self {
        Self { millis, seen: 0.0 }
    }

    fn note(&mut self, millis: f64, weight: f64) {
        if weight <= 0.0 {
            return;
        }
        self.seen += weight;
        let part = (weight / self.seen).max(LEARNING_WEIGHT * weight);
        self.millis += part * (millis - self.millis);
    }
}

/// Sums of what this host has observed since its last report.
#[derive(Clone, Copy, Debug, Default)]
struct FreshTimes {
    reading: f64,
    reads: f64,
    writing: f64,
    writes: u32,
    min_gap_ms: Option<f64>,
}

#[derive(Debug)]
pub(crate) struct PaceEstimate {
    /// For reading one weighted token of a prompt.
    reading: LearnedTime,
    /// Between two events of a stream.
    writing: LearnedTime,
    /// Least mean time between two events of a longer run, by whichever host.
    min_gap_ms: Option<f64>,
    /// For the answer of a plain service.
    answering: LearnedTime,
    fresh: FreshTimes,
}

impl Default for PaceEstimate {
    fn default() -> Self {
        Self {
            reading: LearnedTime::unknown(DEFAULT_READ_MS),
            writing: LearnedTime::unknown(DEFAULT_EVENT_MS),
            min_gap_ms: None,
            answering: LearnedTime::unknown(DEFAULT_ANSWER_MS),
            fresh: FreshTimes::default(),
        }
    }
}

impl PaceEstimate {
    /// Milliseconds to the first byte when `tokens` weighted tokens are read up to it.
    pub fn first_byte_ms(&self, tokens: f64) -> f64 {
        FIRST_BYTE_BASE_MS + tokens * self.reading.millis
    }

    pub fn read_ms(&self, tokens: f64) -> f64 {
        tokens * self.reading.millis
    }

    pub fn event_ms(&self) -> f64 {
        self.writing.millis
    }

    pub fn answer_ms(&self) -> f64 {
        self.answering.millis
    }

    pub fn note_first_byte(&mut self, tokens: f64, took: Duration) {
        let reading = (took.as_secs_f64() * 1_000.0 - FIRST_BYTE_BASE_MS).max(0.0);
        let observed = (reading / tokens.max(1.0)).clamp(LEAST_READ_MS, MOST_READ_MS);
        let weight = (tokens / FULL_WEIGHT_TOKENS).min(1.0);
        self.reading.note(observed, weight);
        self.fresh.reading += observed * weight;
        self.fresh.reads += weight;
    }

    pub fn note_events(&mut self, events: u32, streamed_for: Duration) {
        if events >= 2 {
            let observed = streamed_for.as_secs_f64() * 1_000.0 / f64::from(events - 1);
            self.writing.note(observed, 1.0);
            self.fresh.writing += observed;
            self.fresh.writes += 1;
            if events >= LEAST_GAP_EVENTS {
                note_least(&mut self.min_gap_ms, observed);
                note_least(&mut self.fresh.min_gap_ms, observed);
            }
        }
    }

    /// Least mean time between two events of a longer run that any host has seen here.
    pub fn min_gap_ms(&self) -> Option<f64> {
        self.min_gap_ms
    }

    pub fn note_answer(&mut self, took: Duration) {
        self.answering.note(took.as_secs_f64() * 1_000.0, 1.0);
    }

    /// Takes what this host has observed since the last call.
    pub fn take_fresh(&mut self, endpoint: NameHash) -> Option<PaceReport> {
        let fresh = std::mem::take(&mut self.fresh);
        if fresh.writes == 0 && fresh.reads < LEAST_READS {
            self.fresh = fresh;
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
            runs: fresh.writes.clamp(1, MOST_REPORTED_RUNS),
            prefill_ns: mean(fresh.reading, fresh.reads, NS_PER_MS),
            event_gap_us: mean(fresh.writing, f64::from(fresh.writes), US_PER_MS),
            min_gap_percent: min_gap_percent(
                fresh.min_gap_ms,
                fresh.writing / f64::from(fresh.writes),
            ),
        })
    }

    fn take_least_gap(&mut self, report: &PaceReport) {
        if report.min_gap_percent > 0 && report.event_gap_us > 0 {
            let usual = from_units(report.event_gap_us, US_PER_MS);
            let least = usual * f64::from(report.min_gap_percent) / 100.0;
            note_least(&mut self.min_gap_ms, least);
        }
    }

    /// Takes what another host has observed.
    pub fn note_report(&mut self, report: &PaceReport) {
        self.take_least_gap(report);
        for _ in 0..report.runs.min(MOST_REPORTED_RUNS) {
            if report.prefill_ns > 0 {
                self.reading
                    .note(from_units(report.prefill_ns, NS_PER_MS), 1.0);
            }
            if report.event_gap_us > 0 {
                self.writing
                    .note(from_units(report.event_gap_us, US_PER_MS), 1.0);
            }
        }
    }

    /// The estimate itself, for hosts that hear of few runs; `None` before anything was learned.
    pub fn estimate(&self, endpoint: NameHash) -> Option<PaceReport> {
        let told = |time: LearnedTime, units: f64| match time.seen {
            0.0 => 0,
            _ => to_units(time.millis, units),
        };
        let report = PaceReport {
            endpoint,
            runs: MOST_REPORTED_RUNS,
            prefill_ns: told(self.reading, NS_PER_MS),
            event_gap_us: told(self.writing, US_PER_MS),
            min_gap_percent: min_gap_percent(self.min_gap_ms, self.writing.millis),
        };
        (report.prefill_ns > 0 || report.event_gap_us > 0).then_some(report)
    }

    /// Replaces the estimate by that of a host that hears of all runs.
    pub fn adopt(&mut self, report: &PaceReport) {
        self.take_least_gap(report);
        let learned = |units: u32, per_ms: f64| LearnedTime {
            millis: from_units(units, per_ms),
            seen: f64::from(report.runs),
        };
        if report.prefill_ns > 0 {
            self.reading = learned(report.prefill_ns, NS_PER_MS);
        }
        if report.event_gap_us > 0 {
            self.writing = learned(report.event_gap_us, US_PER_MS);
        }
    }
}

fn note_least(least: &mut Option<f64>, observed: f64) {
    *least = Some(least.map_or(observed, |least| least.min(observed)));
}

/// The least gap in hundredths of the usual one; 0 where it isn't known.
fn min_gap_percent(gap_ms: Option<f64>, usual_ms: f64) -> u8 {
    // Rounded up: hosts keep the least that they hear, and tell it on.
    let percent = gap_ms.map(|gap_ms| (gap_ms / usual_ms * 100.0).ceil());
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

/// Prompt tokens weighted by what they cost to read: attention grows with the square.
pub(crate) fn weighted_tokens(prompt_tokens: u32) -> f64 {
    let tokens = f64::from(prompt_tokens);
    tokens * (1.0 + tokens / ATTENTION_TOKENS)
}
