//! What this host knows of the other hosts: the relay plan, the directory and peer addresses.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Instant;

use rand::seq::SliceRandom;

use super::state::Edge;
use crate::ids::{HostAddress, ZoneName};
use crate::membership::{FeedTopic, LogPosition, select_hosts};
use crate::scheduler::SchedulerEvent;

impl Edge {
    /// Adds a host that registered itself in the store. Its zone and size may be unknown.
    pub fn add_registered_host(&self, host: HostAddress, zone: ZoneName, cpu_permille: u32) {
        let members = &mut self.state.borrow_mut().members;
        members.add_registered_host(host, zone, cpu_permille, Instant::now());
    }

    /// Returns the zone and size of this host for its registration.
    #[must_use]
    pub fn own_registration(&self) -> (&ZoneName, u32) {
        (&self.settings.zone, self.settings.cpu_permille)
    }

    /// Returns whether this host should read the list of hosts from the store: it follows no hub,
    /// or it is a hub itself and has to know all hosts.
    #[must_use]
    pub fn needs_host_list(&self) -> bool {
        let state = self.state.borrow();
        !state.hub_choice.is_following(Instant::now())
            || self.settings.is_among(&state.relay_plan.hubs)
    }

    /// Updates the relay plan after changes of the known hosts.
    pub(super) fn update_relay_plan(&self, now: Instant) {
        let settings = &self.settings;
        let cell = {
            let state = &mut *self.state.borrow_mut();
            let plan = state
                .members
                .plan(&settings.zone, settings.cpu_permille, now);
            if plan == state.relay_plan {
                return;
            }
            log::info!(
                cell = plan.cell.as_deref().unwrap_or("-"), hubs = format!("{:?}", plan.hubs).as_str(),
                other_hubs = plan.other_hubs.len(), readers = format!("{:?}", plan.readers).as_str();
                "hubs: relay plan changed"
            );
            let cell = plan.cell.clone();
            let cell_changed = cell != state.relay_plan.cell;
            state.relay_plan = plan;
            if !cell_changed {
                return;
            }
            cell
        };
        self.schedule(SchedulerEvent::CellChanged(cell));
    }

    /// Tells the scheduler which hosts were heard recently if they have changed.
    pub(super) fn update_live_hosts(&self, now: Instant) {
        let hosts = {
            let state = &mut *self.state.borrow_mut();
            let hosts = state.members.live(now);
            if hosts == state.live_hosts {
                return;
            }
            state.live_hosts.clone_from(&hosts);
            hosts
        };
        self.schedule(SchedulerEvent::LiveHostsChanged(hosts));
    }

    /// Returns how many hosts may be serving callers, including this one.
    #[must_use]
    pub fn counted_hosts(&self) -> usize {
        self.state.borrow().member_view.counted.len()
    }

    /// Returns the newest version of the configuration that a reachable host has, if this host has an
    /// older one.
    #[must_use]
    pub fn newer_configuration(&self) -> Option<u64> {
        let state = self.state.borrow();
        let (_, version) = state.members.newest_configuration(Instant::now())?;
        (version > state.catalog.version()).then_some(version)
    }

    /// Returns the control addresses of the reachable hosts in random order. Those that have a newer
    /// configuration than this host, or have read a topic beyond `known_end`, come first.
    #[must_use]
    pub fn peers_to_query(
        &self,
        topic: FeedTopic,
        known_end: Option<LogPosition>,
    ) -> Vec<SocketAddr> {
        let Some(own_address) = self.settings.control_address else {
            return Vec::new();
        };
        let state = self.state.borrow();
        let version = state.catalog.version();
        let positions = &state.feed_positions;
        let mut peers = state.members.reachable(usize::MAX, Instant::now());
        peers.shuffle(&mut *self.random.borrow_mut());
        peers.sort_by_key(|host| {
            let is_newer = topic == FeedTopic::Operators
                && state.members.configuration_of(*host) > Some(version);
            let is_ahead = positions.position_of(*host, topic) > known_end;
            Reverse((is_newer, is_ahead))
        });
        peers
            .into_iter()
            .map(|host| (host, own_address.port()).into())
            .collect()
    }

    /// Returns addresses of serving hosts for a caller in `zone`. They may include this host.
    pub(crate) fn directory_addresses(
        &self,
        zone: Option<&ZoneName>,
        max_addresses: usize,
    ) -> Vec<SocketAddr> {
        let now = Instant::now();
        let port = self.settings.caller_address.port();
        let own = (self.settings.host, self.settings.zone.clone());
        let own = self.is_ready().then_some(own);
        let peers = self.state.borrow().members.serving(now);
        let serving = own.into_iter().chain(peers).collect();
        let selected = select_hosts(serving, zone, max_addresses, &mut *self.random.borrow_mut());
        selected
            .into_iter()
            .map(|host| (host, port).into())
            .collect()
    }
}
