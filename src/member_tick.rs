//! The steps of `MemberTable::tick`: start-up, configuration catch-up, follow promises and
//! heartbeats.

use std::time::{Duration, Instant};

use crate::context::Context;
use crate::ids::{HostBrief, HostState, Incarnation};
use crate::member_slot::PeerStatus;
use crate::member_view::echoed_within;
use crate::membership::{LocalFacts, MemberEffect, MemberTable};
use crate::messages::{Heartbeat, PeerMessage};
use crate::start_sync::snapshots_needed;

impl MemberTable {
    /// Completes start-up, or requests the snapshots that are needed for it.
    pub(crate) fn advance_start_up(
        &mut self,
        facts: &LocalFacts,
        now: Instant,
        effects: &mut Vec<MemberEffect>,
    ) {
        if !self.sync.has_waited(self.longest_lease(now), now)
            || !self.electorate.can_know_members()
        {
            return;
        }
        let may_start =
            facts.log_end_read || self.electorate.is_alone() || self.has_snapshots(facts, now);
        if may_start {
            self.synced = true;
            self.follow_from = now + 2 * self.heartbeat_interval(now);
            effects.push(MemberEffect::Synced);
            return;
        }
        let retry = self.settings.snapshot_retry;
        for (address, slot) in self.electorate.electors(now) {
            let Some(status) = slot.status.as_ref().filter(|status| !status.gone) else {
                continue;
            };
            let incarnation = status.brief.incarnation;
            if status.state == HostState::Live
                && self.sync.try_request(*address, incarnation, retry, now)
            {
                effects.push(MemberEffect::FetchSnapshot { from: *address });
            }
        }
    }

    /// Returns the longest lease that a previous incarnation may have granted: its leases may have
    /// been as long as those that other hosts report now.
    fn longest_lease(&self, now: Instant) -> Duration {
        let stated = self
            .electorate
            .present_hosts()
            .map(|(_, status)| status.lease);
        stated.fold(self.lease(now), Duration::max)
    }

    fn has_snapshots(&self, facts: &LocalFacts, now: Instant) -> bool {
        if facts.config_version < self.sync.newest_version() {
            return false;
        }
        let answered = |status: &PeerStatus| {
            status.state == HostState::Live && self.sync.has_snapshot(status.brief.incarnation)
        };
        let tally = self.count_electors(now, answered);
        // The tally includes this host, which provides no snapshot.
        let snapshots = tally.confirmed - 1;
        snapshots > 0 && snapshots >= snapshots_needed(tally.electorate)
    }

    /// Requests a snapshot from a host with a newer configuration if the log does not deliver it in
    /// time.
    pub(crate) fn catch_up(
        &mut self,
        facts: &LocalFacts,
        now: Instant,
        effects: &mut Vec<MemberEffect>,
    ) {
        if facts.config_version >= self.newest_version {
            self.behind_since = None;
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        let waited = now.saturating_duration_since(since) >= self.settings.catch_up_grace;
        if !waited || now < self.next_catch_up {
            return;
        }
        let newest = self
            .electorate
            .present_hosts()
            .map(|(_, status)| status)
            .filter(|status| status.state != HostState::Starting && !self.is_suspected(status, now))
            .max_by_key(|status| status.config_version)
            .filter(|status| status.config_version > facts.config_version);
        if let Some(status) = newest {
            let from = status.brief.peer_address;
            self.next_catch_up = now + self.settings.snapshot_retry;
            effects.push(MemberEffect::FetchSnapshot { from });
        }
    }

    /// Follows the first-ranked candidate of each pool, unless an earlier promise is still in
    /// force.
    pub(crate) fn refresh_follows(&mut self, facts: &LocalFacts, context: &Context) {
        let now = context.now;
        // Hosts that start at the same time would otherwise each follow themselves for a whole
        // lease, before they receive heartbeats that show that the others have started too.
        if now < self.follow_from && !self.electorate.is_alone() {
            return;
        }
        if self.own_state(now) == HostState::Leaving {
            self.follows.release(context.brief.incarnation);
        }
        let candidates = self.owner_candidates(&context.brief, now);
        let incarnations: Vec<Incarnation> = candidates
            .iter()
            .map(|(brief, _)| brief.incarnation)
            .collect();
        self.ranks.retain(facts.pools, &incarnations);
        for pool in facts.pools {
            let first = self.ranks.first(pool, &incarnations);
            let target = candidates
                .iter()
                .find(|(brief, _)| Some(brief.incarnation) == first)
                .map(|(brief, until)| (brief, *until));
            self.follows.refresh(pool, target, now);
        }
        self.follows.retain(facts.pools, now);
    }

    /// Returns the hosts that may own pools, each with the end of a promise that is made to it now.
    ///
    /// Whether another host is leaving depends on its own heartbeats, not on the list as read here:
    /// hosts that read the list at different times would otherwise follow different owners, and the
    /// hold of the leaving state would make them disagree for 30 s. A host that does not receive
    /// this host's heartbeats cannot use its leases, so it is not a candidate either.
    fn owner_candidates(&self, own: &HostBrief, now: Instant) -> Vec<(HostBrief, Instant)> {
        let lease = self.lease(now);
        let mut candidates: Vec<_> = self
            .electorate
            .present_hosts()
            .map(|(_, status)| status)
            .filter(|status| status.state == HostState::Live)
            .filter(|status| !self.is_suspected(status, now) && echoed_within(status, lease, now))
            .map(|status| (status.brief.clone(), status.received_at + lease))
            .collect();
        if self.own_state(now) == HostState::Live {
            candidates.push((own.clone(), now + lease));
        }
        candidates
    }

    /// Sends a heartbeat to every elector. All heartbeats of a round share one sequence number and
    /// send time.
    pub(crate) fn send_heartbeats(&mut self, context: &Context, effects: &mut Vec<MemberEffect>) {
        let now = context.now;
        let interval = self.heartbeat_interval(now);
        let next = self.next_heartbeat + interval;
        self.next_heartbeat = if next > now { next } else { now + interval };
        let sequence = self.ring.record(now);
        let size = self.electorate.size(now);
        for (address, slot) in self.electorate.electors(now) {
            let status = slot.status.as_ref();
            if status.is_some_and(|status| status.stopped) {
                continue;
            }
            let heartbeat = self.build_heartbeat(status, sequence, size, now);
            effects.push(MemberEffect::Send {
                to: *address,
                message: PeerMessage::Heartbeat(heartbeat),
            });
        }
    }

    fn build_heartbeat(
        &self,
        to: Option<&PeerStatus>,
        sequence: u64,
        size: usize,
        now: Instant,
    ) -> Heartbeat {
        let follows = to.map(|to| self.follows.renewed_pools(to.brief.incarnation));
        Heartbeat {
            state: self.own_state(now),
            sequence,
            echo: to.map_or(0, |to| to.sequence),
            echo_incarnation: to.map_or(0, |to| to.brief.incarnation),
            follows: follows.unwrap_or_default(),
            lease: self.lease(now),
            electorate_size: u16::try_from(size).unwrap_or(u16::MAX),
            config_version: self.facts.config_version,
            log_age: self.facts.log_age,
            brakes: self.facts.brakes.clone(),
            suspects: self.facts.suspects.clone(),
        }
    }
}
