//! What an engine observed, for `GET /admin/stats`.

use std::time::Instant;

use rustc_hash::FxHashMap;
use serde::Serialize;

use crate::engine::cache::unix_ms;

/// One received request.
#[derive(Clone, Debug, Serialize)]
pub struct DispatchEntry {
    pub request_id: String,
    pub route: String,
    pub at_ms: u64,
    pub unix_ms: u64,
}

/// Prefill of one request that started.
#[derive(Clone, Debug, Serialize)]
pub struct PrefillEntry {
    pub request_id: String,
    /// Wall-clock time of the start, which is comparable between engines.
    pub unix_ms: u64,
    pub prompt_tokens: u32,
    pub cached_tokens: u32,
    /// Hashes of the prompt's whole blocks.
    pub blocks: Vec<u64>,
    /// Tokens prefilled until the request ended.
    pub prefilled_tokens: u32,
}

/// Totals since the start of the process.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EngineStats {
    /// Times that each request was received and not refused.
    pub dispatched: FxHashMap<String, u64>,
    pub order: Vec<DispatchEntry>,
    pub refused: u64,
    pub started: u64,
    pub completed: u64,
    pub failed: u64,
    pub cancelled: u64,
    pub imported: u64,
    pub prefill_tokens: u64,
    pub cached_tokens: u64,
    pub decode_tokens: u64,
    /// Prefilled tokens of requests that were cancelled.
    pub wasted_prefill_tokens: u64,
    /// Ended requests that had started, oldest end first. Empty unless prefill is recorded.
    pub prefills: Vec<PrefillEntry>,
    pub max_running: u32,
    pub max_running_cold: u32,
    /// Accepted orders, oldest first.
    pub orders: Vec<String>,
    pub rejected_orders: u64,
}

impl EngineStats {
    pub fn dispatch(&mut self, request_id: &str, route: &str, start: Instant, now: Instant) {
        *self.dispatched.entry(request_id.to_owned()).or_default() += 1;
        let elapsed = now.duration_since(start).as_millis();
        self.order.push(DispatchEntry {
            request_id: request_id.to_owned(),
            route: route.to_owned(),
            at_ms: u64::try_from(elapsed).unwrap_or(u64::MAX),
            unix_ms: unix_ms(),
        });
    }
}
