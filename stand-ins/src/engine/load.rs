//! Load reports that are stale on arrival.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::engine::state::Engine;

/// Period over which the decode speed is averaged.
const SPEED_PERIOD: Duration = Duration::from_secs(1);

/// The answer of `GET /v1/load`.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    pub age_ms: u64,
    pub version: String,
    pub cold: bool,
    pub bearable: u32,
    pub running: u32,
    pub waiting: u32,
    pub capacity: u32,
    pub tokens_per_second: f64,
}

/// Samples of the load, oldest first.
pub struct LoadHistory {
    lag: Duration,
    samples: VecDeque<(Instant, LoadReport)>,
    decoded: VecDeque<(Instant, u64)>,
}

impl LoadHistory {
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            samples: VecDeque::new(),
            decoded: VecDeque::new(),
        }
    }

    fn push(&mut self, mut report: LoadReport, decoded: u64, now: Instant) {
        self.decoded.push_back((now, decoded));
        while self.decoded.len() > 2 && now.duration_since(self.decoded[1].0) >= SPEED_PERIOD {
            self.decoded.pop_front();
        }
        let (since, before) = self.decoded[0];
        let seconds = now.duration_since(since).as_secs_f64();
        if seconds > 0.0 {
            // Counts of one second are far below 2^52.
            #[allow(clippy::cast_precision_loss)]
            let tokens = (decoded - before) as f64;
            report.tokens_per_second = tokens / seconds;
        }
        self.samples.push_back((now, report));
        let lag = self.lag;
        // The second sample replaces the first as soon as it is old enough.
        while self.samples.len() > 1 && now.duration_since(self.samples[1].0) >= lag {
            self.samples.pop_front();
        }
    }

    /// The newest sample that is at least as old as the lag, or the first sample ever taken.
    #[must_use]
    pub fn report(&self, now: Instant) -> Option<LoadReport> {
        let is_old = |at: Instant| now.duration_since(at) >= self.lag;
        let newest_old = self.samples.iter().rev().find(|(at, _)| is_old(*at));
        let (at, report) = newest_old.or(self.samples.front())?;
        let age_ms = u64::try_from(now.duration_since(*at).as_millis()).unwrap_or(u64::MAX);
        Some(LoadReport {
            age_ms,
            ..report.clone()
        })
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

impl Engine {
    /// Records the present load.
    pub fn sample_load(&self, now: Instant) {
        let mut state = self.state();
        let is_cold = state.cold.is_some();
        let capacity = self.settings.capacity;
        let report = LoadReport {
            age_ms: 0,
            version: state.version.clone(),
            cold: is_cold,
            bearable: if is_cold {
                self.settings.bearable
            } else {
                capacity
            },
            running: count(state.running.len()),
            waiting: count(state.waiting.len()),
            capacity,
            tokens_per_second: 0.0,
        };
        let decoded = state.stats.decode_tokens;
        state.load.push(report, decoded, now);
    }

    /// Samples the load and cleans up at the report interval, without end.
    pub async fn run_housekeeping(&self) {
        let interval = Duration::from_millis(self.settings.report_interval_ms);
        loop {
            compio::time::sleep(interval).await;
            let now = Instant::now();
            self.clean_up(now);
            self.sample_load(now);
        }
    }
}
