//! The entry that an endpoint registers.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{EndpointId, IncarnationHash, ServiceName, VersionName, ZoneName};

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

impl EndpointEntry {
    /// Returns the hash of this incarnation, which is the same in every process.
    #[must_use]
    pub fn incarnation_hash(&self) -> IncarnationHash {
        let mut hasher = rustc_hash::FxHasher::default();
        (&self.id, self.address, self.started_unix_ms).hash(&mut hasher);
        hasher.finish()
    }
}
