//! What the loads that other hosts report, and their number, mean for this host's choices.

use std::hash::{Hash, Hasher};
use std::time::Instant;

use rand::Rng;

use super::choice::is_remote;
use super::state::SchedulerState;
use super::types::EndpointReport;
use crate::ids::{FastMap, FastSet, HostAddress, NameHash, ZoneName};

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
        for load in &mut self.endpoints {
            load.set_peer_load(peer, by_endpoint.get(&load.hash).copied(), now);
        }
    }

    /// Takes the loads that a hub tells for all peers, of the endpoints of one zone or of all, and
    /// deals the free places.
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
        for load in &mut self.endpoints {
            if zone.is_some_and(|zone| *zone != load.entry.zone) {
                continue;
            }
            load.clear_peer_loads();
            load.set_peer_load(peer, by_endpoint.get(&load.hash).copied(), now);
            let is_remote = is_remote(self.cell.as_ref(), &load.entry);
            let hosts = if is_remote { remote } else { local };
            let part = (self.settings.credit_overcommit / hosts).min(1.0);
            let draw = self.random.random::<f64>();
            load.assign_slot_credits(part, draw, self.settings.peer_expiry, now);
        }
    }

    /// How many hosts, this one among them, choose among the endpoints of the own zone, and among
    /// those of others.
    #[expect(clippy::cast_precision_loss, reason = "at most some hundred hosts")]
    pub(super) fn competing_hosts(&self) -> (f64, f64) {
        let all = self.hosts.len().max(1);
        let local = match self.cell {
            Some(_) => self.hosts_in_zone.clamp(1, all),
            None => all,
        };
        (local as f64, all as f64)
    }

    /// Hashes of the endpoints in a zone.
    #[must_use]
    pub fn endpoint_hashes_in(&self, zone: &ZoneName) -> FastSet<NameHash> {
        let of_zone = self
            .endpoints
            .iter()
            .filter(|load| load.entry.zone == *zone);
        of_zone.map(|load| load.hash).collect()
    }

    /// Deals the rates of cold endpoints to the hosts that rank first for them. Of endpoints that are
    /// warm nothing is worked out: a large fleet has some hundred of them and as many hosts.
    pub(super) fn assign_cold_rates(&mut self, now: Instant) {
        let Some(own) = self.own_host else { return };
        // A host that knows no other may just not have found them yet.
        let known = self.hosts.len();
        let most = self.settings.max_cold_senders;
        let senders = if known < 2 { most } else { most.min(known) };
        for load in &mut self.endpoints {
            if load.applied_cold_rate_version == Some(self.cold_rate_version)
                || !load.gate.is_cold(now)
            {
                continue;
            }
            load.applied_cold_rate_version = Some(self.cold_rate_version);
            let service = self.services.get(&load.entry.service);
            let rate = service.map_or(0.0, |service| service.cold_rate_per_s);
            let own_rank = host_rank(load.hash, own);
            let ranks = self.hosts.iter().map(|host| host_rank(load.hash, *host));
            let before = ranks.filter(|rank| *rank < own_rank).count();
            #[expect(clippy::cast_precision_loss, reason = "a handful of hosts")]
            let share = rate / senders as f64;
            load.cold_share_per_s = if before < senders { share } else { 0.0 };
        }
    }
}

/// Rendezvous rank of a host for an endpoint, the same on every host.
fn host_rank(endpoint: NameHash, host: HostAddress) -> (u64, HostAddress) {
    let mut hasher = rustc_hash::FxHasher::default();
    (endpoint, host).hash(&mut hasher);
    (hasher.finish(), host)
}
