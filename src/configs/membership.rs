//! Settings of membership and pool ownership. All hosts of a region must use the same values.

use std::time::Duration;

/// Times and counts of heartbeats, leases and the electorate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSettings {
    /// Heartbeat interval in a small region.
    pub heartbeat_interval: Duration,
    /// Maximum number of heartbeats that a host sends per second; lengthens the interval in a large
    /// region.
    pub max_heartbeats_per_second: u32,
    /// Length of a lease, in heartbeat intervals.
    pub lease_intervals: u32,
    /// Minimum length of a lease.
    pub min_lease: Duration,
    /// Number of intervals without a heartbeat after which a host is suspected and no longer
    /// ranked.
    pub suspect_intervals: u32,
    /// Time without a heartbeat after which a host is reported as gone.
    pub gone_after: Duration,
    /// Time after which a host leaves the electorate if it is missing from the list and sends no
    /// heartbeat.
    pub forget_after: Duration,
    /// Time for which a host counts as leaving after the list last showed it as leaving.
    pub leaving_hold: Duration,
    /// Minimum time between two requests to the same host for a configuration snapshot.
    pub snapshot_retry: Duration,
    /// Time for which a host with an old configuration waits for the log before it requests a
    /// snapshot.
    pub catch_up_grace: Duration,
    /// Number of heartbeat send times that are kept to determine when leases began.
    pub send_ring_size: usize,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(250),
            max_heartbeats_per_second: 40,
            lease_intervals: 4,
            min_lease: Duration::from_millis(1500),
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
