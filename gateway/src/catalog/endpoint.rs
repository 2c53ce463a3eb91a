//! The entry that an endpoint registers.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{EndpointId, ServiceName, VersionName, ZoneName};

/// A registered endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    pub id: EndpointId,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub zone: ZoneName,
    pub version: VersionName,
    /// Number of requests that the endpoint can run at the same time.
    pub slots: u32,
    pub draining: bool,
    /// Time for which the endpoint remains cold after the entry was written.
    pub cold_for: Duration,
    /// Start of this incarnation in Unix milliseconds. An endpoint may restart under the same id.
    pub started_unix_ms: Option<u64>,
}
