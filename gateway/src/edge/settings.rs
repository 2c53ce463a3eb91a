//! Settings of one host.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::ids::ZoneName;
use crate::limits::{CapTolerance, RetryBudgetSettings};
use crate::rollouts::ExposureBound;

#[derive(Clone, Debug)]
pub struct EdgeSettings {
    /// Address of this host, by which peers know it.
    pub host: IpAddr,
    pub zone: ZoneName,
    /// Where callers connect. Ports are the same on all hosts.
    pub caller_address: SocketAddr,
    pub readiness_address: SocketAddr,
    pub directory_address: Option<SocketAddr>,
    pub control_address: Option<SocketAddr>,
    /// Where metrics are served as text, besides the control address.
    pub metrics_address: Option<SocketAddr>,
    /// Port for datagrams between hosts, on every host.
    pub peer_port: u16,
    /// Size of this host, in thousandths of a core.
    pub cpu_permille: u32,
    /// Hosts that may be asked for others at the start.
    pub seeds: Vec<IpAddr>,
    /// Time between the request to stop and the kill.
    pub grace_period: Duration,
    pub retry_budget: RetryBudgetSettings,
    pub cap_tolerance: CapTolerance,
    pub rollout_exposure: ExposureBound,
    /// Connections that callers may hold open.
    pub max_caller_connections: usize,
}

impl EdgeSettings {
    /// Whether this host is among `hosts`.
    pub(crate) fn is_among(&self, hosts: &[IpAddr]) -> bool {
        hosts.contains(&self.host)
    }
}
