//! What every concern may read while it handles one event.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;

use crate::ids::HostBrief;

/// Time, identity and randomness as data, so that decisions can be replayed.
pub struct Context {
    /// This host.
    pub brief: HostBrief,
    /// Monotonic time of the event.
    pub now: Instant,
    /// Wall-clock time of the event since the Unix epoch.
    pub unix_time: Duration,
    /// Seeded generator for jitter.
    pub random: SmallRng,
}
