//! Settings of the requests that their home manages.

use std::time::Duration;

/// Limits and timeouts of the request table.
#[derive(Clone, Debug)]
pub struct RequestSettings {
    /// Maximum number of requests that wait or run at one home.
    pub max_open: usize,
    /// Maximum number of keys that are remembered so that no key is dispatched twice.
    pub max_keys: usize,
    /// Maximum age of a key at its first use; a used key is remembered for longer than this.
    pub max_key_age: Duration,
    /// Maximum time by which a key's timestamp may lie in the future, for callers whose clock is
    /// fast.
    pub max_key_lead: Duration,
    /// Time for which the answer of an ended request can be read again.
    pub answer_retention: Duration,
    /// Maximum size of the answers that are kept for this time.
    pub max_kept_bytes: usize,
    /// Time without a reader after which a request is cancelled.
    pub detach_timeout: Duration,
    /// Initial and maximum backoff before a declined request is queued again.
    pub backoff: (Duration, Duration),
    /// Time without a pool owner after which queued requests are refused.
    pub ownerless_timeout: Duration,
    /// Deadline of requests whose tier has no configured deadline.
    pub default_deadline: Duration,
    /// Time after the deadline within which a service call may still return its answer.
    pub call_timeout: Duration,
    /// Interval between full reports to the pool owner.
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
            max_kept_bytes: usize::MAX,
            detach_timeout: Duration::from_secs(10),
            backoff: (Duration::from_millis(50), Duration::from_secs(2)),
            ownerless_timeout: Duration::from_secs(3),
            default_deadline: Duration::from_mins(1),
            call_timeout: Duration::from_secs(30),
            sync_interval: Duration::from_secs(2),
        }
    }
}
