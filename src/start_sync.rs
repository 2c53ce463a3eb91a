//! The start-up rule: when a host that has no memory may vote.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{ConfigVersion, FastMap, Incarnation};

/// Progress of one host from its start until it is synchronised.
///
/// A restarted host does not know whom it followed and which configuration it confirmed. It waits
/// one lease, after which the promises of its old incarnation have ended. Then it reads the log to
/// its end or takes snapshots from so many others that one of them knows every version that a
/// majority confirmed. Snapshots count only when they were asked for after the wait: an older one
/// may predate a confirmation that still counted the old incarnation.
pub struct StartSync {
    started_at: Instant,
    requested_at: FastMap<SocketAddr, Instant>,
    snapshot_versions: FastMap<Incarnation, ConfigVersion>,
}

impl StartSync {
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            requested_at: FastMap::default(),
            snapshot_versions: FastMap::default(),
        }
    }

    /// Whether the promises of an earlier incarnation have ended.
    #[must_use]
    pub fn has_waited(&self, lease: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.started_at) >= lease
    }

    /// Whether to ask a host for its snapshot now; notes that it was asked.
    pub fn try_request(
        &mut self,
        address: SocketAddr,
        incarnation: Incarnation,
        retry: Duration,
        now: Instant,
    ) -> bool {
        let requested_recently = |at: &Instant| now.saturating_duration_since(*at) < retry;
        if self.snapshot_versions.contains_key(&incarnation)
            || self
                .requested_at
                .get(&address)
                .is_some_and(requested_recently)
        {
            return false;
        }
        self.requested_at.insert(address, now);
        true
    }

    /// Counts a snapshot that was asked for.
    pub fn record_snapshot(
        &mut self,
        address: SocketAddr,
        incarnation: Incarnation,
        version: ConfigVersion,
    ) {
        if self.requested_at.contains_key(&address) {
            let known = self.snapshot_versions.entry(incarnation).or_insert(version);
            *known = version.max(*known);
        }
    }

    #[must_use]
    pub fn has_snapshot(&self, incarnation: Incarnation) -> bool {
        self.snapshot_versions.contains_key(&incarnation)
    }

    /// Newest version among the snapshots.
    #[must_use]
    pub fn newest_version(&self) -> ConfigVersion {
        self.snapshot_versions.values().copied().max().unwrap_or(0)
    }
}

/// Snapshots of others that are needed in an electorate of this size. The own host may have been
/// in any confirming majority, so the snapshots must meet the rest of it: at least half of the
/// electorate, which for odd sizes is a majority.
#[must_use]
pub fn snapshots_needed(electors: usize) -> usize {
    electors.div_ceil(2)
}
