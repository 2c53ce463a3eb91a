//! Counters and latency histograms, served as text.

use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::ids::FastMap;

/// Longest time that a histogram tells apart.
const MOST_MILLIS: u64 = 60_000;
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// All metrics of one process.
#[derive(Default)]
pub(crate) struct EdgeMetrics {
    counters: FastMap<&'static str, u64>,
    histograms: FastMap<&'static str, Histogram<u32>>,
}

impl EdgeMetrics {
    pub fn count(&mut self, name: &'static str) {
        *self.counters.entry(name).or_default() += 1;
    }

    pub fn record(&mut self, name: &'static str, took: Duration) {
        let millis = u64::try_from(took.as_millis()).unwrap_or(MOST_MILLIS);
        let histogram = self.histograms.entry(name).or_insert_with(|| {
            Histogram::new_with_bounds(1, MOST_MILLIS, 2).expect("the bounds are valid")
        });
        histogram.saturating_record(millis.max(1));
    }

    /// One metric a line: a name, labels and a value.
    pub fn render(&self) -> String {
        let mut lines: Vec<String> = self
            .counters
            .iter()
            .map(|(name, value)| format!("wisteriapin_{name}_total {value}"))
            .collect();
        for (name, histogram) in &self.histograms {
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                lines.push(format!(
                    "wisteriapin_{name}_ms{{quantile=\"{quantile}\"}} {value}"
                ));
            }
            lines.push(format!("wisteriapin_{name}_ms_count {}", histogram.len()));
        }
        lines.sort_unstable();
        lines.iter().fold(String::new(), |mut text, line| {
            let _ = writeln!(text, "{line}");
            text
        })
    }
}
