//! Settings of a host.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::duties::DutySettings;
use crate::hedging::HedgeSettings;
use crate::ids::ZoneName;
use crate::limits::{CapTolerance, RetryBudgetSettings};
use crate::rollouts::ExposureBound;

/// Settings of a host.
#[derive(Clone, Debug)]
pub struct EdgeSettings {
    /// Address by which peers identify this host.
    pub host: IpAddr,
    pub zone: ZoneName,
    /// Address on which callers connect. Its port is the same on all hosts.
    pub caller_address: SocketAddr,
    /// Address on which the readiness of this host is served.
    pub readiness_address: SocketAddr,
    /// Address on which callers look up hosts.
    pub directory_address: Option<SocketAddr>,
    /// Address on which peers read the catalog archive and operators read metrics. Its port is the
    /// same on all hosts.
    pub control_address: Option<SocketAddr>,
    /// Additional address on which metrics are served as text.
    pub metrics_address: Option<SocketAddr>,
    /// Port for datagrams between hosts, the same on all hosts.
    pub peer_port: u16,
    /// Size of this host, in thousandths of a core.
    pub cpu_permille: u32,
    /// Hosts that this host contacts at the start to discover the others.
    pub seeds: Vec<IpAddr>,
    /// Time between the signal to stop and the kill of the process.
    pub grace_period: Duration,
    pub retry_budget: RetryBudgetSettings,
    /// Whether the whole system starts for the first time, so that no process ran before this one.
    pub is_first_start: bool,
    pub cap_tolerance: CapTolerance,
    pub rollout_exposure: ExposureBound,
    /// Maximum number of open connections of callers.
    pub max_caller_connections: usize,
    /// Maximum number of open connections to the directory, which answers at once.
    pub max_directory_connections: usize,
    /// Memory that bodies of requests and responses may occupy together, in bytes.
    pub body_memory_bytes: usize,
    /// Second sends of slow requests.
    pub hedging: HedgeSettings,
    /// Duties that one host performs for all; `None` if the deployment has none.
    pub duties: Option<DutySettings>,
}

impl EdgeSettings {
    /// Returns whether this host is among `hosts`.
    pub(crate) fn is_among(&self, hosts: &[IpAddr]) -> bool {
        hosts.contains(&self.host)
    }
}
