//! Tells peers that make progress from those that don't.

use std::time::{Duration, Instant};

/// Time after which a peer is asked for its progress. Sound endpoints may be silent for about a
/// second.
const PROGRESS_TIME: Duration = Duration::from_secs(2);
/// Bytes that a peer must send or take in this time: 64 kbit/s.
const MIN_PROGRESS_BYTES: usize = 16 * 1024;

/// Bytes that a peer has sent or taken lately.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProgressMeter {
    /// Start of the span in which progress is measured, and the bytes since.
    span_start: Instant,
    span_bytes: usize,
    /// Whether the last whole span had enough progress.
    has_progressed: bool,
}

impl ProgressMeter {
    pub fn new(now: Instant) -> Self {
        Self {
            span_start: now,
            span_bytes: 0,
            has_progressed: true,
        }
    }

    pub fn record(&mut self, bytes: usize, now: Instant) {
        self.span_bytes = self.span_bytes.saturating_add(bytes);
        if self.is_span_over(now) {
            self.has_progressed = self.span_bytes >= MIN_PROGRESS_BYTES;
            self.span_start = now;
            self.span_bytes = 0;
        }
    }

    pub fn is_stalled(&self, now: Instant) -> bool {
        if now.duration_since(self.span_start) >= 2 * PROGRESS_TIME {
            // Nothing came in a whole span: recording would have started a new one.
            return true;
        }
        if self.is_span_over(now) {
            self.span_bytes < MIN_PROGRESS_BYTES
        } else {
            !self.has_progressed
        }
    }

    /// Returns the start of the current span.
    pub fn span_start(&self) -> Instant {
        self.span_start
    }

    fn is_span_over(&self, now: Instant) -> bool {
        now.duration_since(self.span_start) >= PROGRESS_TIME
    }
}
