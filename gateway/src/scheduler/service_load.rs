//! Load of a service over all of its endpoints.

use std::time::{Duration, Instant};

use super::plain_admission::PlainLoad;
use super::state::SchedulerState;
use crate::duties::ZoneEndpoints;
use crate::ids::{FastMap, ServiceName};

/// The endpoints of a service and the places that are taken, by the runs of all hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Maximum number of places of one endpoint.
    pub slots: u32,
    pub active: u32,
    pub zones: Vec<ZoneEndpoints>,
}

impl SchedulerState {
    /// Returns the load of a service.
    #[must_use]
    pub fn service_load(&self, service: &ServiceName, now: Instant) -> ServiceLoad {
        let mut load = ServiceLoad::default();
        let endpoints = self.loads.iter();
        for endpoint in endpoints.filter(|endpoint| endpoint.entry.service == *service) {
            load.slots = load.slots.max(endpoint.entry.slots);
            load.active += endpoint.active(self.settings.peer_expiry, now);
            let zone = &endpoint.entry.zone;
            match load.zones.iter_mut().find(|known| known.zone == *zone) {
                Some(known) => known.running += 1,
                None => load.zones.push(ZoneEndpoints {
                    zone: zone.clone(),
                    running: 1,
                    is_usable: !self.is_evacuated(zone),
                }),
            }
        }
        load.zones.sort_unstable_by(|a, b| a.zone.cmp(&b.zone));
        load
    }

    /// Returns the load of the usable endpoints of a plain service.
    pub(super) fn plain_load(&self, service: &ServiceName, now: Instant) -> PlainLoad {
        let mut load = PlainLoad::default();
        let mut answer_ms = 0.0;
        let mut endpoints = 0.0;
        for endpoint in &self.loads {
            let entry = &endpoint.entry;
            let is_usable = entry.service == *service
                && !entry.draining
                && !self.is_evacuated(&entry.zone)
                && !endpoint.health.is_blocked(now);
            if is_usable {
                load.slots += f64::from(entry.slots.max(1));
                load.active += f64::from(endpoint.active(self.settings.peer_expiry, now));
                answer_ms += endpoint.pace.uncrowded_answer_ms();
                endpoints += 1.0;
            }
        }
        if endpoints > 0.0 {
            load.answer_time = Duration::from_secs_f64(answer_ms / endpoints / 1_000.0);
        }
        load
    }

    /// Returns the number of requests that wait, by service.
    #[must_use]
    pub fn waiting_by_service(&self) -> FastMap<ServiceName, u32> {
        let mut waiting: FastMap<ServiceName, u32> = FastMap::default();
        for service in self.waiting_services() {
            *waiting.entry(service.clone()).or_default() += 1;
        }
        waiting
    }
}
