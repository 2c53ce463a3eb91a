//! Reads the load reports and cache events of endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{Method, StatusCode};
use http_util::{DialedConnection, request_json};
use serde::Deserialize;

use crate::events::TrafficKind;
use crate::ids::{EndpointBrief, VersionName};
use crate::pool::LoadReport;
use crate::traffic;

const POLL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_REPLY_BYTES: usize = 1024 * 1024;

#[derive(Debug, Deserialize)]
struct LoadReply {
    age_ms: u64,
    version: VersionName,
    cold: bool,
    bearable: u32,
    running: u32,
    waiting: u32,
    capacity: u32,
    tokens_per_second: f64,
}

/// Fetches the load report of an endpoint.
pub(crate) async fn fetch_load_report(address: SocketAddr) -> Option<LoadReport> {
    let body = poll_endpoint(address, "/v1/load").await?;
    let reply: LoadReply = serde_json::from_slice(&body).ok()?;
    Some(LoadReport {
        age: Duration::from_millis(reply.age_ms),
        version: reply.version,
        cold: reply.cold,
        bearable: reply.bearable,
        running: reply.running,
        waiting: reply.waiting,
        capacity: reply.capacity,
        tokens_per_second: reply.tokens_per_second,
    })
}

/// Number of concurrent calls assumed for a service endpoint, which reports no capacity.
const SERVICE_CAPACITY: u32 = 64;

/// Returns a load report for a service endpoint. Services report no load; one that accepts a
/// connection counts as ready.
pub(crate) async fn probe_service(endpoint: &EndpointBrief) -> Option<LoadReport> {
    let connecting = DialedConnection::open(endpoint.address);
    compio::time::timeout(POLL_TIMEOUT, connecting)
        .await
        .ok()?
        .ok()?;
    Some(LoadReport {
        age: Duration::ZERO,
        version: endpoint.version.clone(),
        cold: false,
        bearable: SERVICE_CAPACITY,
        running: 0,
        waiting: 0,
        capacity: SERVICE_CAPACITY,
        tokens_per_second: 0.0,
    })
}

#[derive(Debug, Deserialize)]
struct CacheReply {
    next: u64,
    events: Vec<CacheEvent>,
}

#[derive(Debug, Deserialize)]
struct CacheEvent {
    kind: CompactString,
    prefix: CompactString,
}

/// Prefixes that an engine stored and evicted, and the sequence number of the next event.
pub(crate) struct CacheUpdate {
    pub next: u64,
    pub stored: Vec<u64>,
    pub evicted: Vec<u64>,
}

/// Fetches the cache events of an engine from sequence number `from` onwards.
pub(crate) async fn fetch_cache_events(address: SocketAddr, from: u64) -> Option<CacheUpdate> {
    let body = poll_endpoint(address, &format!("/v1/cache-events?from={from}")).await?;
    let reply: CacheReply = serde_json::from_slice(&body).ok()?;
    let mut update = CacheUpdate {
        next: reply.next,
        stored: Vec::new(),
        evicted: Vec::new(),
    };
    for event in reply.events {
        let Ok(prefix) = u64::from_str_radix(&event.prefix, 16) else {
            continue;
        };
        match event.kind.as_str() {
            "stored" => update.stored.push(prefix),
            "evicted" => update.evicted.push(prefix),
            _ => {}
        }
    }
    Some(update)
}

/// Sends a GET request to an endpoint and returns the body of a successful response.
async fn poll_endpoint(address: SocketAddr, path: &str) -> Option<Bytes> {
    let call = request_json(address, Method::GET, path, None, MAX_REPLY_BYTES);
    match compio::time::timeout(POLL_TIMEOUT, call).await {
        Ok(Ok((StatusCode::OK, body))) => {
            traffic::count(
                TrafficKind::PollBytes,
                TrafficKind::PollMessages,
                path.len() + body.len(),
            );
            Some(body)
        }
        Ok(Ok(_) | Err(_)) | Err(_) => None,
    }
}
