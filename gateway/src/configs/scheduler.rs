//! Settings of the scheduler.

use std::time::Duration;

#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// Maximum number of hosts that send to one cold endpoint. Eight hosts with a burst of one
    /// request each stay within the 5 requests and half the rate by which a cold endpoint's rate
    /// may be exceeded.
    pub max_cold_senders: usize,
    /// Maximum wait in the queue by route tier; the last value applies to all lower tiers. A
    /// request that has waited this long, or that can no longer be on time, is refused before it
    /// runs, while its caller still has time to retry.
    pub max_queue_wait: Vec<Duration>,
    /// Minimum wait that every request is granted even if its target leaves less: about the time
    /// that an endpoint needs for the prefill of a long prompt.
    pub min_queue_wait: Duration,
    /// Delay by which each route tier ranks behind the tier above it. It equals the usual target
    /// for a first token, so that a higher tier goes first while it can be on time.
    pub tier_delay: Duration,
    /// Expected time from dispatch to first byte, apart from the prefill.
    pub first_byte_margin: Duration,
    /// Approximate prefill time of 1,000 prompt tokens.
    pub prefill_time_per_1k_tokens: Duration,
    /// A route tier whose share of dispatched requests falls below this fraction of the overall
    /// share goes first until it has caught up. One half leaves a margin to one quarter, below
    /// which users consider a route starved.
    pub min_tier_share: f64,
    /// Half-life of the counts behind this share.
    pub share_half_life: Duration,
    /// Time after a service was found full for which it counts as overloaded. A host of a large
    /// fleet has few requests in it.
    pub overload_memory: Duration,
    /// Maximum number of requests that wait at one host. It bounds memory at about 64 KB per
    /// waiting prompt.
    pub max_queued: usize,
    /// Initial backoff after an endpoint was unreachable; doubles up to the maximum.
    pub initial_backoff: Duration,
    /// Maximum backoff; a crashed endpoint returns after some seconds.
    pub max_backoff: Duration,
    /// Cost in milliseconds of a certain failure in the choice of an endpoint. It equals the usual
    /// target for a first token, which a failed run misses.
    pub failure_penalty_ms: f64,
    /// Half-life of recorded failures.
    pub failure_half_life: Duration,
    /// Age at which a peer's reports expire: four missed heartbeats.
    pub peer_expiry: Duration,
    /// Weight of the delay that the prefill of a prompt causes to each run beside it.
    pub interference_weight: f64,
    /// Weight of the time for which the answer's tokens occupy a slot.
    pub decode_weight: f64,
    /// Number of hosts up to which each choice considers all endpoints; with more hosts, each
    /// choice considers a share of them. Nine hosts gain from considering all endpoints; 61 and 85
    /// hosts would choose the same ones.
    pub max_full_scan_hosts: f64,
    /// Factor on the cost of endpoints in other zones, in a fleet that is divided by zones: their
    /// loads become known 0.3 s later, and each token crosses zones.
    pub remote_zone_factor: f64,
    /// Number of credits that all hosts of a large fleet are assigned for each free slot. It
    /// exceeds one because not every host has a request for its credit; few of the requests that
    /// collide wait long.
    pub credit_overcommit: f64,
    /// Backoff after an endpoint refused a request without running it: it is full, although its
    /// slots appear free.
    pub refusal_backoff: Duration,
    /// Relative range of the random factor on each cost. It keeps hosts with the same reports from
    /// choosing the same endpoint.
    pub cost_noise: f64,
    /// The same range for plain services in large fleets: a service has few endpoints, and their
    /// answers are shorter than the time between two summaries.
    pub plain_cost_noise: f64,
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
            overload_memory: Duration::from_millis(1_500),
            max_queued: 2_000,
            initial_backoff: Duration::from_millis(200),
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
            plain_cost_noise: 2.0,
            cost_noise: 0.1,
        }
    }
}
