//! The datagrams with which the holder of the duties collects counts.

use serde::{Deserialize, Serialize};

use super::{FencingToken, WindowNumber};
use crate::ids::{HostAddress, Incarnation, NameHash};

/// Asks a host for its counts, and announces the holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyPoll {
    pub sender: HostAddress,
    pub token: FencingToken,
    /// The fleet's time of day, in milliseconds since the start of 1970.
    pub fleet_ms: u64,
    /// The first window that is not reported yet.
    pub first_window: WindowNumber,
}

/// Requests of each workspace that began to run in one window, by the hash of its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    pub window: WindowNumber,
    pub counts: Vec<(NameHash, u32)>,
}

/// Requests for one service at one host, counted since the host started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    pub service: NameHash,
    pub dispatched: u64,
    /// Requests that were refused because no endpoint was free.
    pub refused: u64,
    /// Requests that are waiting for an endpoint.
    pub waiting: u32,
}

/// The counts of one host. A later reply of the same incarnation replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyReply {
    pub sender: HostAddress,
    pub incarnation: Incarnation,
    /// The fleet's time at which the host began to count.
    pub since_ms: u64,
    /// The fleet's time up to which the counts are complete.
    pub fleet_ms: u64,
    /// The host's own clock.
    pub wall_ms: u64,
    pub windows: Vec<WindowCounts>,
    pub demand: Vec<DemandReport>,
}
