//! What hosts tell each other of the statements of endpoints.

use serde::{Deserialize, Serialize};

use super::signal::RateMilli;
use crate::ids::IncarnationHash;

/// Maximum number of reports in one message, which bounds the traffic when all endpoints of a large
/// fleet state something at once.
pub(super) const MAX_REPORTS: usize = 32;
/// A statement that holds for all hosts. Pauses concern single hosts and are not reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportedSignal {
    RateLimit(RateMilli),
    NoRateLimit,
    Leaving,
}

/// What a host has heard of one endpoint. Times are ages, because hosts share no clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignalReport {
    pub endpoint: IncarnationHash,
    pub signal: ReportedSignal,
    /// Milliseconds since the request was sent whose answer said so.
    pub asked_ago_ms: u32,
    /// Milliseconds since an answer last said so.
    pub heard_ago_ms: u32,
}
