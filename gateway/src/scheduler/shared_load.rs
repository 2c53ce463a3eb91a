//! Applies the loads that other hosts report, and accounts for the number of hosts that compete for
//! the same endpoints.

use std::time::Instant;

use rand::Rng;

use super::choice::is_remote;
use super::state::SchedulerState;
use super::types::EndpointReport;
use crate::ids::{FastMap, FastSet, HostAddress, NameHash, ZoneName};
use crate::rendezvous::hosts_before;

impl SchedulerState {
    pub(super) fn apply_peer_report(
        &mut self,
        peer: HostAddress,
        reports: &[EndpointReport],
        now: Instant,
    ) {
        let by_endpoint: FastMap<_, _> = reports
            .iter()
            .map(|report| (report.endpoint, report))
            .collect();
        for load in &mut self.loads {
            load.set_peer_load(peer, by_endpoint.get(&load.hash).copied(), now);
        }
    }

    /// Applies a hub's report, which replaces the loads of all peers for the endpoints of one zone
    /// or of all zones, and assigns credits for the free slots.
    pub(super) fn apply_hub_report(
        &mut self,
        peer: HostAddress,
        reports: &[EndpointReport],
        zone: Option<&ZoneName>,
        now: Instant,
    ) {
        let by_endpoint: FastMap<_, _> = reports
            .iter()
            .map(|report| (report.endpoint, report))
            .collect();
        let (local, remote) = self.competing_hosts();
        for load in &mut self.loads {
            if zone.is_some_and(|zone| *zone != load.entry.zone) {
                continue;
            }
            load.clear_peer_loads();
            load.set_peer_load(peer, by_endpoint.get(&load.hash).copied(), now);
            let is_remote = is_remote(self.cell.as_ref(), &load.entry);
            let hosts = if is_remote { remote } else { local };
            let share = (self.settings.credit_overcommit / hosts).min(1.0);
            let draw = self.random.random::<f64>();
            load.assign_slot_credits(share, draw, self.settings.peer_expiry, now);
        }
    }

    /// Returns how many hosts, this one included, compete for the endpoints of its own zone, and
    /// how many for those of other zones.
    #[expect(clippy::cast_precision_loss, reason = "at most some hundred hosts")]
    pub(super) fn competing_hosts(&self) -> (f64, f64) {
        let all = self.hosts.len().max(1);
        let local = match self.cell {
            Some(_) => self.hosts_in_zone.clamp(1, all),
            None => all,
        };
        (local as f64, all as f64)
    }

    /// Returns the hashes of the endpoints in a zone.
    #[must_use]
    pub fn endpoint_hashes_in(&self, zone: &ZoneName) -> FastSet<NameHash> {
        let in_zone = self.loads.iter().filter(|load| load.entry.zone == *zone);
        in_zone.map(|load| load.hash).collect()
    }

    /// Assigns the rates of cold endpoints to the hosts that rank first for them. Nothing is
    /// computed for warm endpoints, because a large fleet has hundreds of endpoints and of hosts.
    pub(super) fn assign_cold_rates(&mut self, now: Instant) {
        let Some(own) = self.own_host else { return };
        if self.cold_sends_from.is_some_and(|from| now < from) {
            return;
        }
        // A host that knows no other host may not have discovered them yet.
        let known_hosts = self.hosts.len();
        let max_senders = self.settings.max_cold_senders;
        let senders = if known_hosts < 2 {
            max_senders
        } else {
            max_senders.min(known_hosts)
        };
        for load in &mut self.loads {
            if load.applied_cold_rate_version == Some(self.cold_rate_version)
                || !load.gate.is_cold(now)
            {
                continue;
            }
            load.applied_cold_rate_version = Some(self.cold_rate_version);
            let service = self.services.get(&load.entry.service);
            let rate = service.map_or(0.0, |service| service.cold_rate_per_s);
            let position = hosts_before(load.hash, own, &self.hosts);
            #[expect(clippy::cast_precision_loss, reason = "a handful of hosts")]
            let share = rate / senders as f64;
            load.cold_share_per_s = if position < senders { share } else { 0.0 };
        }
    }
}
