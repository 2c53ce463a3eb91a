//! How fast an endpoint reads prompts and writes answers, learned from its runs.

use std::time::Duration;

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
/// Prompts from this size on carry the full weight; the time to the first byte of a short one
/// says little about reading.
const FULL_WEIGHT_TOKENS: f64 = 2_000.0;
/// Prompt length at which attention costs as much as all the rest of reading it.
const ATTENTION_TOKENS: f64 = 50_000.0;

#[derive(Debug)]
pub(crate) struct PaceEstimate {
    /// Milliseconds for reading one weighted token of a prompt.
    reading: f64,
    /// Milliseconds between two events of a stream.
    writing: f64,
    /// Milliseconds for the answer of a plain service.
    answering: f64,
}

impl Default for PaceEstimate {
    fn default() -> Self {
        Self {
            reading: DEFAULT_READ_MS,
            writing: DEFAULT_EVENT_MS,
            answering: DEFAULT_ANSWER_MS,
        }
    }
}

impl PaceEstimate {
    /// Milliseconds to the first byte when `tokens` weighted tokens are read up to it.
    pub fn first_byte_ms(&self, tokens: f64) -> f64 {
        FIRST_BYTE_BASE_MS + tokens * self.reading
    }

    pub fn read_ms(&self, tokens: f64) -> f64 {
        tokens * self.reading
    }

    pub fn event_ms(&self) -> f64 {
        self.writing
    }

    pub fn answer_ms(&self) -> f64 {
        self.answering
    }

    pub fn note_first_byte(&mut self, tokens: f64, took: Duration) {
        let reading = (took.as_secs_f64() * 1_000.0 - FIRST_BYTE_BASE_MS).max(0.0);
        let observed = (reading / tokens.max(1.0)).clamp(0.001, 1.0);
        let weight = LEARNING_WEIGHT * (tokens / FULL_WEIGHT_TOKENS).min(1.0);
        self.reading += weight * (observed - self.reading);
    }

    pub fn note_events(&mut self, events: u32, streamed_for: Duration) {
        if events >= 2 {
            let observed = streamed_for.as_secs_f64() * 1_000.0 / f64::from(events - 1);
            self.writing += LEARNING_WEIGHT * (observed - self.writing);
        }
    }

    pub fn note_answer(&mut self, took: Duration) {
        let observed = took.as_secs_f64() * 1_000.0;
        self.answering += LEARNING_WEIGHT * (observed - self.answering);
    }
}

/// Prompt tokens weighted by what they cost to read: attention grows with the square.
pub(crate) fn weighted_tokens(prompt_tokens: u32) -> f64 {
    let tokens = f64::from(prompt_tokens);
    tokens * (1.0 + tokens / ATTENTION_TOKENS)
}
