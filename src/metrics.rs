//! Counters and gauges through cadence, over UDP where an address is set.

use std::net::{SocketAddr, UdpSocket};

use cadence::{CountedExt, Gauged, NopMetricSink, StatsdClient, UdpMetricSink};

use crate::events::Counter;

/// Sends metrics; without an address they go nowhere.
pub(crate) struct MetricSender {
    client: StatsdClient,
}

impl MetricSender {
    /// # Errors
    ///
    /// Fails when no UDP socket can be opened.
    pub(crate) fn new(address: Option<SocketAddr>) -> std::io::Result<Self> {
        let Some(address) = address else {
            let client = StatsdClient::from_sink("wisteriapin", NopMetricSink);
            return Ok(Self { client });
        };
        let local: SocketAddr = if address.is_ipv4() {
            (std::net::Ipv4Addr::UNSPECIFIED, 0).into()
        } else {
            (std::net::Ipv6Addr::UNSPECIFIED, 0).into()
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        let client = StatsdClient::from_sink("wisteriapin", sink);
        Ok(Self { client })
    }

    /// Metrics are best effort: a full socket buffer loses them.
    pub(crate) fn count(&self, counter: Counter) {
        let _ = self.client.incr(&counter.name());
    }

    pub(crate) fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }
}
