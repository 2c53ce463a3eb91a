//! Services whose endpoints say that they are brittle: they let few requests wait and fall over when
//! they have to reject many.
//!
//! Loads that hosts report are always a little old, so hosts that compete for the last places of an
//! endpoint send more than it has room for. While a service is brittle, each place of its endpoints
//! therefore belongs to one host.

use std::time::{Duration, Instant};

use super::endpoint_load::EndpointLoad;
use super::state::SchedulerState;
use crate::ids::{FastMap, FastSet, HostAddress, ServiceName};
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

    /// Returns the hosts to which the places of a brittle service belong, if none belongs to this
    /// host.
    #[must_use]
    pub fn place_owners(&self, service: &ServiceName, now: Instant) -> Vec<HostAddress> {
        let services = &self.brittle_services;
        let Some((own, hosts)) = services.sharers(service, self.own_host, &self.live_hosts, now)
        else {
            return Vec::new();
        };
        let loads = self.loads.iter().filter(|load| {
            let entry = &load.entry;
            entry.service == *service && !entry.draining
        });
        if loads.clone().any(|load| place_share(load, own, hosts) > 0) {
            return Vec::new();
        }
        // An endpoint where this host has no place has fewer places than there are hosts.
        let owners: FastSet<_> = loads.flat_map(|load| first_hosts(load, hosts)).collect();
        owners.into_iter().collect()
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
