//! Counts the requests of this host for each service, as a measure of demand.

use super::DemandReport;
use crate::ids::{FastMap, NameHash};

#[derive(Clone, Copy, Debug, Default)]
struct ServiceCount {
    dispatched: u64,
    refused: u64,
}

#[derive(Debug, Default)]
pub(super) struct DemandCounter {
    services: FastMap<NameHash, ServiceCount>,
}

impl DemandCounter {
    pub fn record_dispatch(&mut self, service: NameHash) {
        self.services.entry(service).or_default().dispatched += 1;
    }

    pub fn record_refusal(&mut self, service: NameHash) {
        self.services.entry(service).or_default().refused += 1;
    }

    /// Returns the counts since the start. `waiting`: the requests that wait now, by service.
    pub fn reports(&self, waiting: &FastMap<NameHash, u32>) -> Vec<DemandReport> {
        let services = self.services.iter();
        services
            .map(|(service, count)| DemandReport {
                service: *service,
                dispatched: count.dispatched,
                refused: count.refused,
                waiting: waiting.get(service).copied().unwrap_or_default(),
            })
            .collect()
    }
}
