//! Connections to endpoints, kept for later requests.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use http_util::{KeepAliveConnection, SendFailure};
use hyper::body::Incoming;

use crate::catalog::EndpointEntry;
use crate::ids::{EndpointId, FastMap};

/// Longest wait for a connection: a hundred round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// An idle connection is reused within this time unless the endpoint names another one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Part of the endpoint's own idle limit that is used, so that its close does not cross a request.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections kept for one endpoint; its slots are about as many.
const MAX_IDLE_PER_ENDPOINT: usize = 12;

/// A connection to an endpoint with what its pool must know.
pub(crate) struct EndpointConnection {
    connection: KeepAliveConnection,
    idle_since: Instant,
    idle_timeout: Duration,
    pub reused: bool,
}

impl EndpointConnection {
    async fn open(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self {
            connection: KeepAliveConnection::open(address, CONNECT_TIMEOUT).await?,
            idle_since: Instant::now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            reused: false,
        })
    }

    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.connection.send(request).await
    }

    /// Lets a body of so many bytes more be read.
    pub fn allow_body(&self, bytes: usize) {
        self.connection.allow_body(bytes);
    }

    /// Takes over the idle limit that the endpoint named.
    pub fn apply_keep_alive(&mut self, seconds: Option<u64>) {
        if let Some(seconds) = seconds {
            let named = Duration::from_secs(seconds);
            self.idle_timeout = named.saturating_sub(IDLE_MARGIN).min(DEFAULT_IDLE_TIMEOUT);
        }
    }

    fn is_usable(&self, now: Instant) -> bool {
        self.connection.is_ready() && now.duration_since(self.idle_since) < self.idle_timeout
    }
}

/// Idle connections by endpoint.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<FastMap<(EndpointId, SocketAddr), Vec<EndpointConnection>>>,
}

impl ConnectionPool {
    /// Takes an idle connection or opens one.
    pub async fn acquire(&self, endpoint: &EndpointEntry) -> std::io::Result<EndpointConnection> {
        if let Some(connection) = self.acquire_idle(endpoint) {
            return Ok(connection);
        }
        EndpointConnection::open(endpoint.address).await
    }

    fn acquire_idle(&self, endpoint: &EndpointEntry) -> Option<EndpointConnection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&(endpoint.id.clone(), endpoint.address))?;
        let now = Instant::now();
        while let Some(mut connection) = list.pop() {
            if connection.is_usable(now) {
                connection.reused = true;
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose response was read to its end.
    pub fn release(&self, endpoint: &EndpointEntry, mut connection: EndpointConnection) {
        connection.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let list = idle
            .entry((endpoint.id.clone(), endpoint.address))
            .or_default();
        if list.len() < MAX_IDLE_PER_ENDPOINT {
            list.push(connection);
        }
    }

    /// Closes connections that are too old to be used.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, list| {
            list.retain(|connection| {
                now.duration_since(connection.idle_since) < connection.idle_timeout
            });
            !list.is_empty()
        });
    }

    pub fn close_endpoint(&self, id: &str) {
        self.idle.borrow_mut().retain(|(known, _), _| known != id);
    }
}
