//! Settings of the requests that a home holds.

use std::time::Duration;

/// Bounds and times of the request table.
#[derive(Clone, Debug)]
pub struct RequestSettings {
    /// Requests waiting or running at a home.
    pub max_open: usize,
    /// Keys that are remembered, so that none is dispatched twice.
    pub max_keys: usize,
    /// Oldest age of a key at its first use; a used key is remembered for longer than this.
    pub max_key_age: Duration,
    /// How far a key's time may lie in the future, for callers whose clock is fast.
    pub max_key_lead: Duration,
    /// Time for which an ended request's answer can be read again.
    pub answer_retention: Duration,
    /// Time that a request without a reader waits before it is cancelled.
    pub detach_timeout: Duration,
    /// First and longest pause before a declined dispatch is queued again.
    pub backoff: (Duration, Duration),
    /// Time without a pool owner after which waiting requests are refused.
    pub ownerless_timeout: Duration,
    /// Deadline of requests whose tier has none configured.
    pub default_deadline: Duration,
    /// Time after the deadline during which a service call may still answer.
    pub call_timeout: Duration,
    /// Time between two full reports to the pool owner.
    pub sync_interval: Duration,
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self {
            max_open: 10_000,
            max_keys: 200_000,
            max_key_age: Duration::from_mins(10),
            max_key_lead: Duration::from_secs(30),
            answer_retention: Duration::from_mins(1),
            detach_timeout: Duration::from_secs(10),
            backoff: (Duration::from_millis(50), Duration::from_secs(2)),
            ownerless_timeout: Duration::from_secs(3),
            default_deadline: Duration::from_mins(1),
            call_timeout: Duration::from_secs(30),
            sync_interval: Duration::from_secs(2),
        }
    }
}
