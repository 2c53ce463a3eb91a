//! The electorate: the entry hosts of this host's region, from the host list and from received
//! heartbeats.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::configs::membership::MemberSettings;
use crate::host_listing::LeavingHold;
use crate::ids::{HostBrief, HostName, HostState, Incarnation, RegionName, ZoneName};
use crate::member_slot::{HeartbeatEcho, HeartbeatOutcome, MemberSlot, PeerStatus};
use crate::messages::Heartbeat;

/// Entry of an entry host in the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryListing {
    pub name: HostName,
    pub region: RegionName,
    pub zone: ZoneName,
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub leaving: bool,
}

/// All peer addresses of the region except that of this host.
pub struct Electorate {
    slots: BTreeMap<SocketAddr, MemberSlot>,
    /// Whether a list that shows this host has been received.
    list_shows_self: bool,
    listed_once: bool,
    seeded: bool,
    own_leaving_hold: LeavingHold,
}

impl Electorate {
    /// Creates an electorate of the seeds, which count as electors until the first list that shows
    /// this host.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        let seeded = !seeds.is_empty();
        let slots = seeds
            .into_iter()
            .map(|address| (address, MemberSlot::seed(address)));
        Self {
            slots: slots.collect(),
            list_shows_self: false,
            listed_once: false,
            seeded,
            own_leaving_hold: LeavingHold::default(),
        }
    }

    /// Removes this host's own address, which may be among the seeds.
    pub fn remove_own(&mut self, own: &HostBrief) {
        self.slots.remove(&own.peer_address);
    }

    /// Applies the newest host list. Hosts are added immediately and removed late: a host is
    /// removed only after it was missing from the lists and sent no heartbeat for `forget_after`,
    /// and only by a list that shows this host, since a list that does not is older than this host
    /// or wrong. While the list is unreachable, no host is removed, so that the two sides of a
    /// partition cannot both shrink their electorates.
    pub fn apply_listing(
        &mut self,
        listing: &[EntryListing],
        own: &HostBrief,
        settings: &MemberSettings,
        now: Instant,
    ) {
        self.listed_once = true;
        for slot in self.slots.values_mut() {
            slot.listed = false;
        }
        let mut shows_self = false;
        for entry in listing.iter().filter(|entry| entry.region == own.region) {
            if entry.peer_address == own.peer_address {
                shows_self = true;
                self.own_leaving_hold.record_state(entry.leaving, now);
            } else {
                self.record_entry(entry, now);
            }
        }
        if shows_self {
            self.remove_unlisted(settings.forget_after, now);
            self.list_shows_self = true;
        }
    }

    fn record_entry(&mut self, entry: &EntryListing, now: Instant) {
        let slot = self
            .slots
            .entry(entry.peer_address)
            .or_insert_with(|| MemberSlot::named(entry.name.clone()));
        slot.name.clone_from(&entry.name);
        slot.listed = true;
        slot.seed = false;
        slot.unlisted_since = None;
        slot.hold.record_state(entry.leaving, now);
    }

    fn remove_unlisted(&mut self, forget_after: Duration, now: Instant) {
        self.slots.retain(|_, slot| {
            if slot.listed {
                return true;
            }
            let unlisted_since = *slot.unlisted_since.get_or_insert(now);
            let received_at = slot.status.as_ref().map(|status| status.received_at);
            if slot.seed && received_at.is_none() {
                return false;
            }
            let silent_since = received_at.map_or(unlisted_since, |at| at.max(unlisted_since));
            now.saturating_duration_since(silent_since) < forget_after
        });
    }

    /// Records a heartbeat from this region; `echo` identifies the own heartbeat that it echoes.
    pub fn record_heartbeat(
        &mut self,
        from: &HostBrief,
        heartbeat: &Heartbeat,
        echo: HeartbeatEcho,
        now: Instant,
    ) -> HeartbeatOutcome {
        let slot = self
            .slots
            .entry(from.peer_address)
            .or_insert_with(|| MemberSlot::named(from.name.clone()));
        let outcome = slot.classify(from.incarnation, heartbeat.sequence, echo);
        match outcome {
            HeartbeatOutcome::Ignored => return outcome,
            HeartbeatOutcome::Replaced(old) => slot.retire(old, echo.newest),
            HeartbeatOutcome::Accepted => {}
        }
        slot.name.clone_from(&from.name);
        slot.seed = false;
        match &mut slot.status {
            Some(status) => status.update(heartbeat, echo, now),
            None => slot.status = Some(PeerStatus::new(from, heartbeat, echo, now)),
        }
        outcome
    }

    /// Marks the sender as stopped. Returns `false` if the sender is not the current incarnation at
    /// its address, or was already known to be stopped or gone.
    ///
    /// A host leaves the electorate only if it sent a heartbeat in state `Leaving` shortly before
    /// its goodbye. Such a heartbeat carries the newest configuration version that the host
    /// confirmed, so this host knows the version without the other's vote.
    pub fn record_goodbye(
        &mut self,
        from: &HostBrief,
        settings: &MemberSettings,
        now: Instant,
    ) -> bool {
        let Some(status) = self.status_mut(from.peer_address, from.incarnation) else {
            return false;
        };
        if std::mem::replace(&mut status.stopped, true) {
            return false;
        }
        let recently = now.saturating_duration_since(status.received_at) < settings.gone_after;
        if status.state == HostState::Leaving && recently {
            status.departed_at = Some(now);
        }
        status.leases.clear();
        let was_gone = std::mem::replace(&mut status.gone, true);
        !was_gone
    }

    fn status_mut(
        &mut self,
        address: SocketAddr,
        incarnation: Incarnation,
    ) -> Option<&mut PeerStatus> {
        let status = self.slots.get_mut(&address)?.status.as_mut()?;
        (status.brief.incarnation == incarnation).then_some(status)
    }

    /// Removes departed hosts, and returns the hosts whose last heartbeat is now older than
    /// `gone_after`.
    pub fn expire(&mut self, settings: &MemberSettings, now: Instant) -> Vec<Incarnation> {
        let mut gone = Vec::new();
        for status in self
            .slots
            .values_mut()
            .filter_map(|slot| slot.status.as_mut())
        {
            let silence = now.saturating_duration_since(status.received_at);
            if !status.gone && silence >= settings.gone_after {
                status.gone = true;
                status.leases.clear();
                gone.push(status.brief.incarnation);
            }
        }
        self.slots
            .retain(|_, slot| slot.listed || !slot.has_departed(settings.forget_after, now));
        gone
    }

    /// Returns the addresses and slots of the electors, without this host.
    pub fn electors(&self, now: Instant) -> impl Iterator<Item = (&SocketAddr, &MemberSlot)> {
        self.slots
            .iter()
            .filter(move |(_, slot)| slot.is_elector(now))
    }

    /// Returns the size of the electorate, including this host.
    #[must_use]
    pub fn size(&self, now: Instant) -> usize {
        self.electors(now).count() + 1
    }

    /// Returns the hosts that sent heartbeats, are not gone and sent no goodbye.
    pub fn present_hosts(&self) -> impl Iterator<Item = (&MemberSlot, &PeerStatus)> {
        self.slots.values().filter_map(|slot| {
            let status = slot.status.as_ref().filter(|status| !status.gone)?;
            Some((slot, status))
        })
    }

    /// Returns whether the list shows this host as leaving, or did so within the hold time. The
    /// hold is longer than any lease: followers end their promises as soon as an owner reports that
    /// it is leaving, so its earlier leases must have ended before it is live again.
    #[must_use]
    pub fn own_leaving(&self, hold: Duration, now: Instant) -> bool {
        self.own_leaving_hold.is_leaving(now, hold)
    }

    /// Returns whether this host can know the other members: it has read the list, has seeds, or
    /// received a heartbeat.
    #[must_use]
    pub fn can_know_members(&self) -> bool {
        self.listed_once || self.seeded || !self.slots.is_empty()
    }

    /// Returns whether a list was read that shows this host, and no other host is known.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.list_shows_self && self.slots.is_empty()
    }
}
