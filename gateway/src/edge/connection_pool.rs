//! Pool of idle connections to endpoints.

use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use http_util::{KeepAliveConnection, SendFailure};
use hyper::body::Incoming;

use crate::catalog::EndpointEntry;
use crate::ids::{EndpointId, FastMap};

/// Time limit for opening a connection: a hundred round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which an idle connection may be reused, unless the endpoint announces a shorter one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Margin subtracted from the idle timeout that an endpoint announces, so that the endpoint does
/// not close the connection while a request is on its way.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum number of idle connections per endpoint. An endpoint has about as many slots.
const MAX_IDLE_PER_ENDPOINT: usize = 12;

/// A connection to an endpoint and its state in the pool.
pub(crate) struct EndpointConnection {
    connection: KeepAliveConnection,
    /// Time at which the connection was last released.
    idle_since: Instant,
    /// Idle time after which the connection is no longer used.
    idle_timeout: Duration,
    /// Whether the connection has served a request before.
    pub reused: bool,
}

impl EndpointConnection {
    async fn open(address: SocketAddr, local: Option<IpAddr>) -> std::io::Result<Self> {
        let connection = match local {
            Some(local) => KeepAliveConnection::open_from(local, address, CONNECT_TIMEOUT).await?,
            None => KeepAliveConnection::open(address, CONNECT_TIMEOUT).await?,
        };
        Ok(Self {
            connection,
            idle_since: Instant::now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            reused: false,
        })
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.connection.send(request).await
    }

    /// Allows `bytes` more bytes of the body to be read.
    pub fn allow_body(&self, bytes: usize) {
        self.connection.allow_body(bytes);
    }

    /// Applies the idle timeout that the endpoint announced.
    pub fn apply_keep_alive(&mut self, seconds: Option<u64>) {
        if let Some(seconds) = seconds {
            let announced = Duration::from_secs(seconds);
            self.idle_timeout = announced
                .saturating_sub(IDLE_MARGIN)
                .min(DEFAULT_IDLE_TIMEOUT);
        }
    }

    fn is_usable(&self, now: Instant) -> bool {
        self.connection.is_ready() && now.duration_since(self.idle_since) < self.idle_timeout
    }
}

/// Idle connections by the id and address of the endpoint.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<FastMap<(EndpointId, SocketAddr), Vec<EndpointConnection>>>,
}

impl ConnectionPool {
    /// Removes and returns an idle connection, or opens a new one. `local`: address from which it is
    /// opened, if the peer has to recognize it.
    pub async fn acquire(
        &self,
        endpoint: &EndpointEntry,
        local: Option<IpAddr>,
    ) -> std::io::Result<EndpointConnection> {
        if let Some(connection) = self.acquire_idle(endpoint) {
            return Ok(connection);
        }
        EndpointConnection::open(endpoint.address, local).await
    }

    fn acquire_idle(&self, endpoint: &EndpointEntry) -> Option<EndpointConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&(endpoint.id.clone(), endpoint.address))?;
        let now = Instant::now();
        while let Some(mut connection) = connections.pop() {
            if connection.is_usable(now) {
                connection.reused = true;
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response was read completely.
    pub fn release(&self, endpoint: &EndpointEntry, mut connection: EndpointConnection) {
        connection.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle
            .entry((endpoint.id.clone(), endpoint.address))
            .or_default();
        if connections.len() < MAX_IDLE_PER_ENDPOINT {
            connections.push(connection);
        }
    }

    /// Closes connections whose idle timeout has expired.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|connection| {
                now.duration_since(connection.idle_since) < connection.idle_timeout
            });
            !connections.is_empty()
        });
    }

    /// Closes all idle connections.
    pub fn close_all(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes all idle connections to an endpoint.
    pub fn close_endpoint(&self, id: &str) {
        self.idle.borrow_mut().retain(|(known, _), _| known != id);
    }
}
