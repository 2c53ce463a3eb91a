//! Services whose endpoints say that they are brittle: they let few requests wait and fall over when
//! they have to reject many.
//!
//! Loads that hosts report are always a little old, so hosts that compete for the last places of an
//! endpoint send more than it has room for. While a service is brittle, each place of its endpoints
//! therefore belongs to one host.

use std::time::{Duration, Instant};

use super::endpoint_load::EndpointLoad;
use super::state::SchedulerState;
use crate::ids::{FastMap, HostAddress, ServiceName};
use crate::rendezvous::{host_rank, hosts_before};

/// Time for which a statement holds if no later answer of the service says otherwise.
const STATEMENT_TIME: Duration = Duration::from_secs(10);

/// The services that are brittle, as far as this host has heard.
#[derive(Debug, Default)]
pub(super) struct BrittleServices {
    /// When an answer of the service last said so.
    heard: FastMap<ServiceName, Instant>,
}

impl BrittleServices {
    /// Applies an answer of a service to a request that was sent at `asked`. Returns whether that
    /// changes what is known.
    pub fn apply_answer(
        &mut self,
        service: &ServiceName,
        is_brittle: bool,
        asked: Instant,
        now: Instant,
    ) -> bool {
        if is_brittle {
            let was_known = self.contains(service, now);
            self.heard.insert(service.clone(), now);
            return !was_known;
        }
        // Answers of requests that run side by side arrive in any order.
        let is_ended = self.heard.get(service).is_some_and(|heard| asked > *heard);
        if is_ended {
            self.heard.remove(service);
        }
        is_ended
    }

    /// Returns the host `own` and all hosts that share the places of a service, if it is brittle.
    pub fn sharers<'a>(
        &self,
        service: &ServiceName,
        own: Option<HostAddress>,
        hosts: &'a [HostAddress],
        now: Instant,
    ) -> Option<(HostAddress, &'a [HostAddress])> {
        let own = own.filter(|_| self.contains(service, now))?;
        Some((own, hosts))
    }

    pub fn contains(&self, service: &ServiceName, now: Instant) -> bool {
        let heard = self.heard.get(service);
        heard.is_some_and(|heard| now.duration_since(*heard) < STATEMENT_TIME)
    }
}

impl SchedulerState {
    /// Applies whether an answer of a service, to a request that was sent at `asked`, says that the
    /// service is brittle. Returns whether that changes what is known.
    pub fn apply_brittleness(
        &mut self,
        service: &ServiceName,
        is_brittle: bool,
        asked: Instant,
        now: Instant,
    ) -> bool {
        self.brittle_services
            .apply_answer(service, is_brittle, asked, now)
    }

    /// Returns whether a service is brittle and none of the places at its usable endpoints belongs
    /// to this host.
    #[must_use]
    pub fn lacks_place(&self, service: &ServiceName, now: Instant) -> bool {
        let services = &self.brittle_services;
        let sharers = services.sharers(service, self.own_host, &self.live_hosts, now);
        sharers.is_some_and(|(own, hosts)| {
            let mut loads = self.usable_loads(service, now);
            !loads.any(|load| place_share(load, own, hosts) > 0)
        })
    }

    /// Returns the hosts to which the places at the usable endpoints of a brittle service belong,
    /// each as often as it has places, if there are fewer places than hosts at each.
    #[must_use]
    pub fn place_owners(&self, service: &ServiceName, now: Instant) -> Vec<HostAddress> {
        let loads = self.usable_loads(service, now);
        loads
            .flat_map(|load| first_hosts(load, &self.live_hosts))
            .collect()
    }

    /// Returns the endpoints of a service to which requests may be sent now.
    fn usable_loads<'a>(
        &'a self,
        service: &'a ServiceName,
        now: Instant,
    ) -> impl Iterator<Item = &'a EndpointLoad> {
        self.loads.iter().filter(move |load| {
            let entry = &load.entry;
            entry.service == *service
                && !entry.draining
                && !self.is_evacuated(&entry.zone)
                && !load.health.is_blocked(now)
        })
    }
}

/// Returns the hosts that rank first for an endpoint, one for each of its places.
fn first_hosts(load: &EndpointLoad, hosts: &[HostAddress]) -> Vec<HostAddress> {
    let mut ranked = hosts.to_vec();
    ranked.sort_unstable_by_key(|host| host_rank(load.hash, *host));
    ranked.truncate(slot_count(load));
    ranked
}

fn slot_count(load: &EndpointLoad) -> usize {
    usize::try_from(load.entry.slots.max(1)).unwrap_or(usize::MAX)
}

/// Returns how many places of an endpoint belong to the host `own`.
pub(super) fn place_share(load: &EndpointLoad, own: HostAddress, hosts: &[HostAddress]) -> usize {
    let count = hosts.len().max(1);
    let slots = slot_count(load);
    let position = hosts_before(load.hash, own, hosts);
    slots / count + usize::from(position < slots % count)
}
