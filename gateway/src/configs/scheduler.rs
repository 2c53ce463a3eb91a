//! Settings of the scheduler.

use std::time::Duration;

#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// Hosts that may send to one cold endpoint. Eight hosts with a burst of one each stay below
    /// the 5 requests and half the rate by which a cold endpoint may be exceeded.
    pub max_cold_senders: usize,
    /// Longest wait in the queue by tier; the last value serves all lower tiers. A request that
    /// has waited so long, or that can't be on time any more, is refused unrun while its caller
    /// still has time to come back.
    pub max_queue_wait: Vec<Duration>,
    /// Wait that is granted to every request, also where its target leaves less: about the time in
    /// which an endpoint reads a long prompt.
    pub min_queue_wait: Duration,
    /// Time by which each tier of routes steps back behind the one above it: the usual target of a
    /// first token, so that a higher tier goes first while it can be on time.
    pub tier_delay: Duration,
    /// Time from dispatch to first byte that is expected apart from reading the prompt.
    pub first_byte_margin: Duration,
    /// Time in which an endpoint reads 1,000 tokens of a prompt, about.
    pub prefill_time_per_1k_tokens: Duration,
    /// A tier of routes that is sent less often than this part of what all requests are goes first
    /// until it is not. Half keeps clear of a quarter, at which users count a route as starved.
    pub min_tier_share: f64,
    /// Time in which the counts for this halve.
    pub share_half_life: Duration,
    /// Requests that wait at one host; bounds memory at about 64 KB a waiting prompt.
    pub max_queued: usize,
    /// First pause after an endpoint could not be reached; doubles up to the longest.
    pub min_backoff: Duration,
    /// Longest such pause: a crashed endpoint is back after some seconds.
    pub max_backoff: Duration,
    /// Milliseconds that a certain failure counts for in the choice of an endpoint: the usual
    /// target of a first token, which a failed run misses.
    pub failure_penalty_ms: f64,
    /// Time in which the memory of a failure halves.
    pub failure_half_life: Duration,
    /// Reports of a peer that is silent for longer are dropped; four missed beats.
    pub peer_expiry: Duration,
    /// Weight of the delay that reading a prompt causes to each run beside it.
    pub interference_weight: f64,
    /// Weight of the time that the answer's tokens occupy a slot.
    pub decode_weight: f64,
    /// Hosts that may look at all endpoints for each choice; with more hosts each looks at a part.
    /// Nine hosts that look at all gain from it; 61 and 85 choose the same endpoints.
    pub max_full_scan_hosts: f64,
    /// Factor on the cost of endpoints in other zones, where a fleet is divided by zones: their
    /// loads are known 0.3 s later, and each token crosses zones.
    pub remote_zone_factor: f64,
    /// How many times a free place is dealt out over all hosts of a large fleet. More than once,
    /// since not every host has a request for it; few of those that collide wait long.
    pub credit_overcommit: f64,
    /// Pause after an endpoint refused unrun: it is full, and its places look free.
    pub refusal_backoff: Duration,
    /// Relative spread of the random factor on each score; keeps hosts that see the same reports
    /// from choosing the same endpoint.
    pub score_noise: f64,
    /// The same for plain services in large fleets: a service has few endpoints, and their answers
    /// are shorter than the time between two summaries.
    pub plain_score_noise: f64,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            max_cold_senders: 8,
            max_queue_wait: vec![
                Duration::from_millis(2_500),
                Duration::from_millis(1_200),
                Duration::from_millis(800),
            ],
            min_queue_wait: Duration::from_millis(200),
            tier_delay: Duration::from_millis(400),
            first_byte_margin: Duration::from_millis(80),
            prefill_time_per_1k_tokens: Duration::from_millis(25),
            min_tier_share: 0.5,
            share_half_life: Duration::from_secs(4),
            max_queued: 2_000,
            min_backoff: Duration::from_millis(200),
            max_backoff: Duration::from_millis(1_600),
            failure_penalty_ms: 800.0,
            failure_half_life: Duration::from_secs(2),
            peer_expiry: Duration::from_secs(1),
            interference_weight: 0.1,
            decode_weight: 0.25,
            max_full_scan_hosts: 12.0,
            remote_zone_factor: 1.3,
            credit_overcommit: 2.5,
            refusal_backoff: Duration::from_millis(120),
            plain_score_noise: 2.0,
            score_noise: 0.1,
        }
    }
}
