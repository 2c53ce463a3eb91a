//! A client connection that carries several requests in turn.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use cyper_core::HyperStream;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use socket2::{SockRef, TcpKeepalive};

/// Unacknowledged data breaks a connection after this time. Hosts without power and partitions
/// give no other sign.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);
/// First probe on a connection without traffic, and time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer that break the connection.
const PROBES: u32 = 2;

/// Why a request got no response head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// Nothing was written; the peer cannot have seen the request.
    NotSent,
    /// The peer may have acted on the request.
    MaybeRun,
}

/// One connection. Dropping it closes the socket.
pub struct KeptConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: JoinHandle<()>,
}

impl KeptConnection {
    /// Opens a connection that notices a silent peer.
    ///
    /// # Errors
    ///
    /// Fails when the peer does not accept within `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        let stream = compio::time::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        set_liveness(&stream)?;
        let (sender, connection) = http1::handshake(HyperStream::new_plain(stream))
            .await
            .map_err(std::io::Error::other)?;
        let driver = compio::runtime::spawn(async move {
            // Errors of the connection surface at the request that runs on it.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            _driver: driver,
        })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Tells whether the peer may have seen the request.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => SendFailure::NotSent,
            None => SendFailure::MaybeRun,
        })
    }

    /// Whether the next request can be sent.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }
}

/// Sets the options that make a silent peer visible.
fn set_liveness(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}
