//! One request inside an engine.

use std::rc::Rc;
use std::time::Instant;

use serde_json::json;

use crate::signal::Signal;

/// How a stream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    Done,
    Failed,
    Cancelled,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamPhase {
    /// In the accept queue.
    Waiting,
    Prefilling,
    Decoding,
    Ended(StreamEnd),
}

/// Where an injected failure shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailPoint {
    /// Status 500 instead of a stream.
    Status,
    /// An error line after half of the tokens.
    Midway,
}

/// Facts that are fixed when a request starts to run.
#[derive(Clone, Debug)]
pub struct StartFacts {
    pub cold: bool,
    pub version: String,
    pub unix_ms: u64,
}

/// State of one request. The text of token `i` is always `t{i} `, so only a count is kept.
pub struct StreamState {
    pub model: String,
    pub route: String,
    pub blocks: Vec<u64>,
    /// Kept until the request starts, for the crash word.
    pub prompt: String,
    pub prompt_tokens: u32,
    pub max_tokens: u32,
    pub cached_tokens: u32,
    pub prefilled_tokens: u32,
    /// Tokens to prefill, known when the request starts.
    pub prefill_needed: u32,
    /// Prefill cost still to be paid; more than the number of tokens on a slow route.
    pub prefill_left: f64,
    pub route_factor: f64,
    pub decode_credit: f64,
    pub produced: u32,
    pub phase: StreamPhase,
    pub start: Option<StartFacts>,
    pub fail_point: Option<FailPoint>,
    pub signal: Rc<Signal>,
    /// Readers that have received everything and wait for more.
    pub waiting_readers: u32,
    pub last_read: Instant,
    pub ended_at: Option<Instant>,
}

/// A line of a stream and whether it is the last one.
pub struct StreamLine {
    pub text: String,
    pub last: bool,
}

impl StreamState {
    /// A stream in the accept queue, with an empty prompt.
    #[must_use]
    pub fn new(model: String, route: String, max_tokens: u32, now: Instant) -> Self {
        Self {
            model,
            route,
            blocks: Vec::new(),
            prompt: String::new(),
            prompt_tokens: 0,
            max_tokens,
            cached_tokens: 0,
            prefilled_tokens: 0,
            prefill_needed: 0,
            prefill_left: 0.0,
            route_factor: 1.0,
            decode_credit: 0.0,
            produced: 0,
            phase: StreamPhase::Waiting,
            start: None,
            fail_point: None,
            signal: Rc::new(Signal::default()),
            waiting_readers: 0,
            last_read: now,
            ended_at: None,
        }
    }

    /// The line that begins the stream, once the request has started to run.
    #[must_use]
    pub fn start_line(&self) -> Option<String> {
        let facts = self.start.as_ref()?;
        let line = json!({"started": true, "cold": facts.cold, "version": facts.version});
        Some(format!("{line}\n"))
    }

    /// The line for token `index` or, after the last token, the line that ends the stream.
    #[must_use]
    pub fn line(&self, index: u32) -> Option<StreamLine> {
        if index < self.produced {
            let text = token_line(index);
            return Some(StreamLine { text, last: false });
        }
        let StreamPhase::Ended(end) = &self.phase else {
            return None;
        };
        let text = format!("{}\n", self.end_line(end));
        Some(StreamLine { text, last: true })
    }

    fn end_line(&self, end: &StreamEnd) -> serde_json::Value {
        let ran = self.start.is_some();
        match end {
            StreamEnd::Done => json!({
                "done": true,
                "tokens": self.produced,
                "prefill_tokens": self.prefilled_tokens,
                "cached_tokens": self.cached_tokens,
            }),
            StreamEnd::Failed => json!({"error": "injected failure", "ran": ran}),
            StreamEnd::Cancelled => json!({"error": "cancelled", "ran": ran}),
        }
    }

    /// Pays for prefill up to `budget` and returns the cost and the tokens that it covered.
    pub fn prefill(&mut self, budget: f64) -> (f64, u32) {
        let cost = self.prefill_left.min(budget);
        self.prefill_left -= cost;
        let left = (self.prefill_left / self.route_factor).ceil();
        // At most the prompt's length, which fits.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let done = self.prefill_needed.saturating_sub(left as u32);
        let tokens = done.saturating_sub(self.prefilled_tokens);
        self.prefilled_tokens += tokens;
        (cost, tokens)
    }

    #[must_use]
    pub fn is_ended(&self) -> bool {
        matches!(self.phase, StreamPhase::Ended(_))
    }

    /// Whether the next token is replaced by an injected failure.
    #[must_use]
    pub fn fails_now(&self) -> bool {
        match self.fail_point {
            Some(FailPoint::Status) => true,
            Some(FailPoint::Midway) => self.produced >= self.max_tokens / 2,
            None => false,
        }
    }
}

fn token_line(index: u32) -> String {
    format!("{{\"index\":{index},\"text\":\"t{index} \"}}\n")
}
