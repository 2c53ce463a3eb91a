//! Folds changes into the catalog. Versions only rise.

use std::rc::Rc;
use std::time::Duration;

use super::{EndpointEntry, RoutingTable};
use crate::ids::{EndpointId, FastMap, ServiceName, VersionName, ZoneName};

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    pub header_timeout: Duration,
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// In force until the first configuration: the sizes that HTTP servers commonly use.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One whole configuration.
#[derive(Debug)]
pub struct ConfigurationSnapshot {
    pub version: u64,
    pub routing: RoutingTable,
    pub limits: CallerLimits,
}

/// Something that the operators or the endpoints published.
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
        /// Rises with each order of a service.
        order: u64,
    },
    RolloutWithdrawn(ServiceName),
}

/// What is in force on this host.
#[derive(Debug, Default)]
pub struct CatalogState {
    version: u64,
    routing: Rc<RoutingTable>,
    limits: CallerLimits,
    evacuated_zones: Vec<ZoneName>,
    endpoints: FastMap<EndpointId, Rc<EndpointEntry>>,
}

impl CatalogState {
    /// Takes a configuration; returns false for one that is not newer.
    pub fn apply_configuration(&mut self, image: ConfigurationSnapshot) -> bool {
        if image.version <= self.version {
            return false;
        }
        self.version = image.version;
        self.routing = Rc::new(image.routing);
        self.limits = image.limits;
        true
    }

    /// Returns false if the zone was out already.
    pub fn evacuate_zone(&mut self, zone: ZoneName) -> bool {
        let news = !self.is_zone_evacuated(&zone);
        if news {
            self.evacuated_zones.push(zone);
        }
        news
    }

    /// Returns false if the zone was not out.
    pub fn restore_zone(&mut self, zone: &str) -> bool {
        let news = self.is_zone_evacuated(zone);
        self.evacuated_zones.retain(|out| out != zone);
        news
    }

    #[must_use]
    pub fn is_zone_evacuated(&self, zone: &str) -> bool {
        self.evacuated_zones.iter().any(|out| out == zone)
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

    /// Version of the configuration in force; 0 before the first one.
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
