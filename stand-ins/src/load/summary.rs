//! Outcomes of requests and their summary.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::{Value, json};

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutcomeKind {
    Complete,
    /// Not run, with the code of the refusal.
    Refused(String),
    /// Ran or may have run without a whole answer.
    Failed(String),
}

/// What was observed of one request.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    pub key: String,
    pub kind: OutcomeKind,
    /// Planned time of sending since the start of the run.
    pub sent: Duration,
    /// From the planned time of sending, so that a slow system cannot hide waiting.
    pub first_token: Option<Duration>,
    pub whole: Duration,
    pub tokens: u32,
    /// Tokens or results that do not belong to the request, or are out of order.
    pub is_wrong: bool,
    pub resumes: u32,
    pub resends: u32,
}

#[derive(Default)]
struct CodeCounts(BTreeMap<String, u64>);

impl CodeCounts {
    fn add(&mut self, code: &str) {
        *self.0.entry(code.to_owned()).or_default() += 1;
    }
}

/// Totals of one class.
struct ClassSummary {
    sent: u64,
    in_time: u64,
    late: u64,
    refused: CodeCounts,
    failed: CodeCounts,
    wrong_answers: u64,
    resumes: u64,
    resends: u64,
    tokens: u64,
    first_token_us: Histogram<u64>,
    whole_us: Histogram<u64>,
}

#[derive(Clone, Debug, Serialize)]
struct KeyEntry {
    key: String,
    class: String,
    outcome: String,
    /// Planned time of sending since the start of the run.
    sent_ms: u64,
    /// From the planned time of sending to the end.
    whole_ms: u64,
    tokens: u32,
    in_time: bool,
}

/// Totals of all classes.
pub struct LoadSummary {
    classes: BTreeMap<String, ClassSummary>,
    keys: Option<Vec<KeyEntry>>,
    not_sent: u64,
}

// From 1 microsecond to an hour with 3 significant digits.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("the bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.saturating_record(
        u64::try_from(duration.as_micros())
            .unwrap_or(u64::MAX)
            .max(1),
    );
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn quantiles(histogram: &Histogram<u64>) -> Value {
    // Below 2^52 microseconds.
    #[allow(clippy::cast_precision_loss)]
    let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    json!({
        "count": histogram.len(),
        "p50": millis(0.5),
        "p99": millis(0.99),
        "p99_9": millis(0.999),
    })
}

impl ClassSummary {
    fn new() -> Self {
        Self {
            sent: 0,
            in_time: 0,
            late: 0,
            refused: CodeCounts::default(),
            failed: CodeCounts::default(),
            wrong_answers: 0,
            resumes: 0,
            resends: 0,
            tokens: 0,
            first_token_us: new_histogram(),
            whole_us: new_histogram(),
        }
    }

    fn add(&mut self, outcome: &RequestOutcome, deadline: Duration) -> String {
        self.sent += 1;
        self.tokens += u64::from(outcome.tokens);
        self.wrong_answers += u64::from(outcome.is_wrong);
        self.resumes += u64::from(outcome.resumes);
        self.resends += u64::from(outcome.resends);
        if let Some(first_token) = outcome.first_token {
            record(&mut self.first_token_us, first_token);
        }
        match &outcome.kind {
            OutcomeKind::Complete => {
                record(&mut self.whole_us, outcome.whole);
                if outcome.whole <= deadline {
                    self.in_time += 1;
                } else {
                    self.late += 1;
                }
                "complete".to_owned()
            }
            OutcomeKind::Refused(code) => {
                self.refused.add(code);
                format!("refused {code}")
            }
            OutcomeKind::Failed(code) => {
                self.failed.add(code);
                format!("failed {code}")
            }
        }
    }

    fn describe(&self) -> Value {
        json!({
            "sent": self.sent,
            "complete_in_time": self.in_time,
            "complete_late": self.late,
            "refused": self.refused.0,
            "failed": self.failed.0,
            "wrong_answers": self.wrong_answers,
            "resumes": self.resumes,
            "resends": self.resends,
            "tokens": self.tokens,
            "first_token_ms": quantiles(&self.first_token_us),
            "whole_ms": quantiles(&self.whole_us),
        })
    }
}

impl LoadSummary {
    #[must_use]
    pub fn new(class_names: impl Iterator<Item = String>, lists_keys: bool) -> Self {
        Self {
            classes: class_names
                .map(|name| (name, ClassSummary::new()))
                .collect(),
            keys: lists_keys.then(Vec::new),
            not_sent: 0,
        }
    }

    pub fn add(&mut self, class: &str, outcome: &RequestOutcome, deadline: Duration) {
        let totals = self
            .classes
            .entry(class.to_owned())
            .or_insert_with(ClassSummary::new);
        let described = totals.add(outcome, deadline);
        if let Some(keys) = &mut self.keys {
            keys.push(KeyEntry {
                key: outcome.key.clone(),
                class: class.to_owned(),
                outcome: described,
                sent_ms: millis(outcome.sent),
                whole_ms: millis(outcome.whole),
                tokens: outcome.tokens,
                in_time: outcome.kind == OutcomeKind::Complete && outcome.whole <= deadline,
            });
        }
    }

    /// Counts a request that was not sent because too many were open.
    pub fn add_not_sent(&mut self) {
        self.not_sent += 1;
    }

    #[must_use]
    pub fn describe(&self, seed: u64, elapsed: Duration, discovery_failures: u64) -> Value {
        let classes: BTreeMap<&String, Value> = self
            .classes
            .iter()
            .map(|(name, class)| (name, class.describe()))
            .collect();
        let mut summary = json!({
            "seed": seed,
            "elapsed_seconds": elapsed.as_secs_f64(),
            "not_sent": self.not_sent,
            "discovery_failures": discovery_failures,
            "wrong_answers": self.classes.values().map(|class| class.wrong_answers).sum::<u64>(),
            "classes": classes,
        });
        if let Some(keys) = &self.keys {
            summary["keys"] = json!(keys);
        }
        summary
    }
}
