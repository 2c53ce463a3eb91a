//! The electorate: the entry hosts of the own region, as listed and as heard.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::configs::membership::MemberSettings;
use crate::host_listing::LeavingHold;
use crate::ids::{HostBrief, HostName, HostState, Incarnation, RegionName, ZoneName};
use crate::member_slot::{HeartbeatEcho, HeartbeatOutcome, MemberSlot, PeerStatus};
use crate::messages::Heartbeat;

/// One entry host as the platform's host list shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryListing {
    pub name: HostName,
    pub region: RegionName,
    pub zone: ZoneName,
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub leaving: bool,
}

/// All addresses of the region but the own one.
pub struct Electorate {
    slots: BTreeMap<SocketAddr, MemberSlot>,
    /// A list that shows the own host has been received.
    list_shows_self: bool,
    listed_once: bool,
    seeded: bool,
    own_leaving_hold: LeavingHold,
}

impl Electorate {
    /// Starts with the seeds, which count as electors until the first list that shows this host.
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

    /// Removes the own address, which the list of seeds may contain.
    pub fn remove_own(&mut self, own: &HostBrief) {
        self.slots.remove(&own.peer_address);
    }

    /// Takes the newest host list. Hosts are added at once and removed late: only a list that
    /// shows this host removes others, since one that does not is older than this host or wrong,
    /// and only after the lists omitted them and nothing was heard of them for `forget_after`.
    /// While the list is unreachable nobody is removed, so that the two sides of a partition
    /// cannot both shrink their electorates.
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
                self.own_leaving_hold.observe(entry.leaving, now);
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
        slot.hold.observe(entry.leaving, now);
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

    /// Takes a heartbeat of the own region; `proof` dates the own heartbeat that it echoes.
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

    /// Marks the sender as stopped; `false` if it is not the current incarnation or known to be.
    ///
    /// A host leaves the electorate only if it was heard leaving shortly before its goodbye: such a
    /// heartbeat carries the newest configuration version that the host confirmed, so that this
    /// host knows it without the vote of the other.
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

    /// Reports hosts that were not heard for `gone_after` and forgets departed ones.
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

    /// Addresses and slots of the electors.
    pub fn electors(&self, now: Instant) -> impl Iterator<Item = (&SocketAddr, &MemberSlot)> {
        self.slots
            .iter()
            .filter(move |(_, slot)| slot.is_elector(now))
    }

    /// Size of the electorate, the own host included.
    #[must_use]
    pub fn size(&self, now: Instant) -> usize {
        self.electors(now).count() + 1
    }

    /// Hosts that were heard, are not gone and said no goodbye.
    pub fn present_hosts(&self) -> impl Iterator<Item = (&MemberSlot, &PeerStatus)> {
        self.slots.values().filter_map(|slot| {
            let status = slot.status.as_ref().filter(|status| !status.gone)?;
            Some((slot, status))
        })
    }

    /// The list says that this host is leaving, or said so within the hold time. The hold outlasts
    /// every lease: followers end their promises when they record_heartbeat that an owner is leaving, so the
    /// leases from before must have ended when it is live again.
    #[must_use]
    pub fn own_leaving(&self, hold: Duration, now: Instant) -> bool {
        self.own_leaving_hold.is_leaving(now, hold)
    }

    /// Whether this host can know who the others are: it read the list, has seeds or heard one.
    #[must_use]
    pub fn can_know_members(&self) -> bool {
        self.listed_once || self.seeded || !self.slots.is_empty()
    }

    /// Whether a list was read and shows this host and no other.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.list_shows_self && self.slots.is_empty()
    }
}
