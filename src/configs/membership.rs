//! Settings of membership and pool ownership. They must be equal on all hosts of a region.

use std::time::Duration;

/// Times and counts of heartbeats, leases and the electorate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSettings {
    /// Heartbeat interval of a small region.
    pub heartbeat_interval: Duration,
    /// Most heartbeats that a host sends per second; stretches the interval in a large region.
    pub heartbeats_per_second: u32,
    /// Length of a lease in heartbeat intervals.
    pub lease_intervals: u32,
    pub lease_min: Duration,
    /// A host not heard for this many intervals is suspected and no longer ranked.
    pub suspect_intervals: u32,
    /// A host not heard for this time is reported as gone.
    pub gone_after: Duration,
    /// A host that the list omits and that is not heard leaves the electorate after this time.
    pub forget_after: Duration,
    /// Time for which a host stays leaving after the list last showed it so.
    pub leaving_hold: Duration,
    /// Time between two requests for a configuration snapshot to the same host.
    pub snapshot_retry: Duration,
    /// Time for which a host that is behind waits for the log before it asks for a snapshot.
    pub catch_up_grace: Duration,
    /// Send times kept, by sequence, to date the leases that echo them.
    pub send_ring_size: usize,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(250),
            heartbeats_per_second: 40,
            lease_intervals: 4,
            lease_min: Duration::from_millis(1500),
            suspect_intervals: 4,
            gone_after: Duration::from_secs(10),
            forget_after: Duration::from_mins(1),
            leaving_hold: Duration::from_secs(30),
            snapshot_retry: Duration::from_secs(1),
            catch_up_grace: Duration::from_secs(1),
            send_ring_size: 64,
        }
    }
}
