//! The state of the catalog. The version of the configuration only increases.

use std::rc::Rc;
use std::time::Duration;

use super::{EndpointEntry, RoutingTable};
use crate::ids::{EndpointId, FastMap, ServiceName, VersionName, ZoneName};

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    pub header_timeout: Duration,
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until the first configuration: the usual values of HTTP
    /// servers.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One complete version of the configuration.
#[derive(Debug)]
pub struct ConfigurationSnapshot {
    pub version: u64,
    pub routing: RoutingTable,
    pub limits: CallerLimits,
}

/// A change that the operators or the endpoints published.
#[derive(Debug)]
pub enum CatalogChange {
    Configuration(Box<ConfigurationSnapshot>),
    ZoneEvacuated(ZoneName),
    ZoneRestored(ZoneName),
    EndpointUpdated(Box<EndpointEntry>),
    EndpointRemoved(EndpointId),
    RolloutOrdered {
        service: ServiceName,
        target: VersionName,
        within: Duration,
        /// Number that increases with each order for a service.
        order: u64,
    },
    /// The store had lost the order of a service, and the same order was written again.
    RolloutRewritten {
        service: ServiceName,
        /// Its new number.
        order: u64,
    },
    RolloutWithdrawn(ServiceName),
}

/// The configuration, evacuated zones and endpoints that this host uses.
#[derive(Debug, Default)]
pub struct CatalogState {
    version: u64,
    routing: Rc<RoutingTable>,
    limits: CallerLimits,
    evacuated_zones: Vec<ZoneName>,
    endpoints: FastMap<EndpointId, Rc<EndpointEntry>>,
}

impl CatalogState {
    /// Applies a configuration. Returns false if it is not newer than the current one.
    pub fn apply_configuration(&mut self, snapshot: ConfigurationSnapshot) -> bool {
        if snapshot.version <= self.version {
            return false;
        }
        self.version = snapshot.version;
        self.routing = Rc::new(snapshot.routing);
        self.limits = snapshot.limits;
        true
    }

    /// Takes a zone out of service. Returns false if it already was.
    pub fn evacuate_zone(&mut self, zone: ZoneName) -> bool {
        let is_changed = !self.is_zone_evacuated(&zone);
        if is_changed {
            self.evacuated_zones.push(zone);
        }
        is_changed
    }

    /// Puts a zone back into service. Returns false if it was not evacuated.
    pub fn restore_zone(&mut self, zone: &str) -> bool {
        let is_changed = self.is_zone_evacuated(zone);
        self.evacuated_zones.retain(|evacuated| evacuated != zone);
        is_changed
    }

    #[must_use]
    pub fn is_zone_evacuated(&self, zone: &str) -> bool {
        self.evacuated_zones
            .iter()
            .any(|evacuated| evacuated == zone)
    }

    pub fn insert_endpoint(&mut self, entry: EndpointEntry) -> Rc<EndpointEntry> {
        let entry = Rc::new(entry);
        self.endpoints.insert(entry.id.clone(), Rc::clone(&entry));
        entry
    }

    pub fn remove_endpoint(&mut self, id: &str) -> Option<Rc<EndpointEntry>> {
        self.endpoints.remove(id)
    }

    #[must_use]
    pub fn endpoint(&self, id: &str) -> Option<&Rc<EndpointEntry>> {
        self.endpoints.get(id)
    }

    pub fn endpoints(&self) -> impl Iterator<Item = &Rc<EndpointEntry>> {
        self.endpoints.values()
    }

    /// Returns the version of the current configuration; 0 before the first one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    #[must_use]
    pub fn routing(&self) -> Rc<RoutingTable> {
        Rc::clone(&self.routing)
    }

    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}
