//! Start-up synchronisation: decides when a host without persisted state may vote.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{ConfigVersion, FastMap, Incarnation};

/// Progress of one host from its start until it is synchronised.
///
/// A restarted host does not know which owners it followed and which configuration it confirmed. It
/// waits for one lease, after which the promises of its previous incarnation have ended. Then it
/// reads the log to its end, or fetches snapshots from so many other hosts that at least one of
/// them knows every version that a majority confirmed. Only snapshots that were requested after the
/// wait count: an earlier one may predate a confirmation that still counted the previous
/// incarnation.
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

    /// Returns whether the promises of a previous incarnation have ended.
    #[must_use]
    pub fn has_waited(&self, lease: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.started_at) >= lease
    }

    /// Returns whether to request a snapshot from a host now, and if so, records the request. A
    /// host that has answered is not asked again, any other at most once per `retry`.
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

    /// Records the version of a snapshot that was requested; ignores any other.
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

    /// Returns the newest version among the received snapshots; 0 if there are none.
    #[must_use]
    pub fn newest_version(&self) -> ConfigVersion {
        self.snapshot_versions.values().copied().max().unwrap_or(0)
    }
}

/// Returns the number of snapshots of other hosts that are needed in an electorate of this size.
/// This host may have been part of any confirming majority, so the snapshots must include a host of
/// the rest of that majority. This takes at least half of the electorate, which is a majority if
/// the size is odd.
#[must_use]
pub fn snapshots_needed(electorate_size: usize) -> usize {
    electorate_size.div_ceil(2)
}
