//! One endpoint as it registered itself.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{EndpointId, ServiceName, VersionName, ZoneName};

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    pub id: EndpointId,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub zone: ZoneName,
    pub version: VersionName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    pub draining: bool,
    /// How much longer the endpoint is cold, counted from when the entry was written.
    pub cold_for: Duration,
    /// Start of this incarnation, Unix milliseconds; the same id may start again.
    pub started_unix_ms: Option<u64>,
}
