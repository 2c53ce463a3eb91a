//! Queries of a `MemberTable` about owners, hosts and confirmations.

use std::time::{Duration, Instant};

use crate::ids::{ConfigVersion, HostBrief, HostState, Incarnation};
use crate::member_slot::{MemberSlot, PeerStatus};
use crate::membership::{ConfirmationTally, MemberTable};

impl MemberTable {
    /// Returns the owner to which this host has promised the pool, unless that owner is gone.
    #[must_use]
    pub fn owner(&self, pool: &str, now: Instant) -> Option<&HostBrief> {
        let owner = self.follows.owner(pool, now)?;
        self.find(owner.incarnation, now)
    }

    /// Returns whether this host may grant permits for the pool now: it is live, holds leases from
    /// more than half of the electorate, and no host has reported a newer configuration.
    #[must_use]
    pub fn owns(&self, pool: &str, config_version: ConfigVersion, now: Instant) -> bool {
        self.own_state(now) == HostState::Live
            && config_version >= self.newest_version
            && self.holds_majority(pool, now)
    }

    /// Returns whether more than half of the electorate echoed this host's heartbeats within the
    /// last lease.
    #[must_use]
    pub fn has_majority(&self, now: Instant) -> bool {
        let lease = self.lease(now);
        self.count_electors(now, |status| echoed_within(status, lease, now))
            .majority
    }

    /// Counts the live hosts that apply `version` or a newer one.
    ///
    /// Starting hosts have no state yet, and leaving hosts may stop before others learn the version
    /// from them, so neither counts. A host counts only while it echoes heartbeats: a restarted
    /// host has lost its state, and its new incarnation requests snapshots only after a lease.
    #[must_use]
    pub fn confirmations(&self, version: ConfigVersion, now: Instant) -> ConfirmationTally {
        let lease = self.lease(now);
        let own = self.own_state(now) == HostState::Live && self.facts.config_version >= version;
        let confirms = |status: &PeerStatus| {
            status.state == HostState::Live
                && status.config_version >= version
                && echoed_within(status, lease.min(status.lease), now)
        };
        let mut tally = self.count_electors(now, confirms);
        if !own {
            tally.confirmed -= 1;
            tally.majority = 2 * tally.confirmed > tally.electorate;
            tally
                .missing
                .extend(self.own.as_ref().map(|own| own.name.clone()));
        }
        tally.missing.sort_unstable();
        tally
    }

    /// Returns the hosts that currently send heartbeats, including this one, in order of address.
    #[must_use]
    pub fn live_hosts(&self, now: Instant) -> Vec<(&HostBrief, HostState)> {
        let mut hosts: Vec<_> = self
            .electorate
            .present_hosts()
            .filter(|(_, status)| !self.is_suspected(status, now))
            .map(|(slot, status)| (&status.brief, self.effective_state(slot, status, now)))
            .collect();
        let own_state = self.own_state(now);
        hosts.extend(self.own.as_ref().map(|own| (own, own_state)));
        hosts.sort_unstable_by_key(|(brief, _)| brief.peer_address);
        hosts
    }

    /// Finds a host that is not gone by its incarnation; this host is included.
    #[must_use]
    pub fn find(&self, incarnation: Incarnation, now: Instant) -> Option<&HostBrief> {
        let silent = |status: &PeerStatus| {
            now.saturating_duration_since(status.received_at) >= self.settings.gone_after
        };
        let mut present = self.electorate.present_hosts().map(|(_, status)| status);
        let own = self.own.as_ref();
        own.filter(|own| own.incarnation == incarnation)
            .or_else(|| {
                present
                    .find(|status| status.brief.incarnation == incarnation && !silent(status))
                    .map(|status| &status.brief)
            })
    }

    /// Returns whether start-up is complete.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Returns the heartbeat interval for the current size of the electorate.
    #[must_use]
    pub fn heartbeat_interval(&self, now: Instant) -> Duration {
        let peers = u32::try_from(self.electorate.size(now) - 1).unwrap_or(u32::MAX);
        let spread = Duration::from_secs(1)
            .saturating_mul(peers)
            .checked_div(self.settings.max_heartbeats_per_second)
            .unwrap_or_default();
        self.settings.heartbeat_interval.max(spread)
    }

    /// Returns the length of the leases that this host grants.
    #[must_use]
    pub fn lease(&self, now: Instant) -> Duration {
        let lease = self.heartbeat_interval(now) * self.settings.lease_intervals;
        lease.max(self.settings.min_lease)
    }

    pub(crate) fn own_state(&self, now: Instant) -> HostState {
        if self.leaving {
            return HostState::Leaving;
        }
        if !self.synced {
            return HostState::Starting;
        }
        let hold = self.settings.leaving_hold.max(self.lease(now));
        if self.electorate.own_leaving(hold, now) {
            return HostState::Leaving;
        }
        HostState::Live
    }

    pub(crate) fn effective_state(
        &self,
        slot: &MemberSlot,
        status: &PeerStatus,
        now: Instant,
    ) -> HostState {
        if slot.hold.is_leaving(now, self.settings.leaving_hold) {
            return HostState::Leaving;
        }
        status.state
    }

    /// Returns whether too many heartbeats of a host are missing. A host that knows a larger
    /// electorate has a longer interval, which is derived from its lease.
    pub(crate) fn is_suspected(&self, status: &PeerStatus, now: Instant) -> bool {
        let mut interval = self.heartbeat_interval(now);
        // The interval cannot be derived from a lease of the minimum length.
        if status.lease > self.settings.min_lease {
            interval = interval.max(status.lease / self.settings.lease_intervals.max(1));
        }
        let limit = interval * self.settings.suspect_intervals;
        now.saturating_duration_since(status.received_at) > limit
    }

    /// Counts this host and the electors that satisfy the condition. The majority is taken of the
    /// largest electorate that any of them reports.
    pub(crate) fn count_electors(
        &self,
        now: Instant,
        counts: impl Fn(&PeerStatus) -> bool,
    ) -> ConfirmationTally {
        let mut electorate = self.electorate.size(now);
        let mut confirmed = 1;
        let mut missing = Vec::new();
        for (_, slot) in self.electorate.electors(now) {
            match slot.status.as_ref().filter(|status| counts(status)) {
                Some(status) => {
                    confirmed += 1;
                    electorate = electorate.max(status.electorate_size);
                }
                None => missing.push(slot.name.clone()),
            }
        }
        ConfirmationTally {
            confirmed,
            electorate,
            majority: 2 * confirmed > electorate,
            missing,
        }
    }

    pub(crate) fn holds_majority(&self, pool: &str, now: Instant) -> bool {
        let own = self.own.as_ref().map(|own| own.incarnation);
        let followed = self.follows.owner(pool, now);
        // A host that does not follow itself may not count its own vote.
        if own.is_none() || followed.map(|owner| owner.incarnation) != own {
            return false;
        }
        let grants = |status: &PeerStatus| status.leases.get(pool).is_some_and(|end| now < *end);
        self.count_electors(now, grants).majority
    }
}

/// Returns whether the host echoed a heartbeat that was sent within the last `limit`, which proves
/// that it was running since then, whatever the delay of its messages.
pub(crate) fn echoed_within(status: &PeerStatus, limit: Duration, now: Instant) -> bool {
    let recently = |at| now.saturating_duration_since(at) < limit;
    !status.gone && status.echoed_sent_at.is_some_and(recently)
}
