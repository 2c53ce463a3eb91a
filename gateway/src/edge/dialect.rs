//! Names and encodings that callers and endpoints use. The adapter of a deployment fills them in.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;

use crate::ids::ZoneName;

/// Header names that have a meaning to the gateway.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; endpoints echo it.
    pub request_id: HeaderName,
    /// Milliseconds that the caller, or the gateway, still waits.
    pub deadline_ms: HeaderName,
    /// Size of a generation: prompt tokens and most output tokens.
    pub token_usage: HeaderName,
    /// The caller's estimate of the output tokens; right at the median, often far off.
    pub length_hint: HeaderName,
    /// The endpoint's signature; an answer without it is not the endpoint's.
    pub signature: HeaderName,
    /// The endpoint states that it did not run the request.
    pub not_run: HeaderName,
    /// Names the endpoint that may run the request.
    pub expected_endpoint: HeaderName,
    /// Names the caller's workspace to the endpoint.
    pub workspace: HeaderName,
    /// The caller's key.
    pub key: HeaderName,
    /// Further headers that only the gateway may set; removed from what callers send.
    pub reserved: Vec<HeaderName>,
}

/// How a deployment's callers and endpoints speak.
#[derive(Clone, Debug)]
pub struct WireDialect {
    pub headers: HeaderNames,
    pub readiness_path: &'static str,
    pub directory_path: &'static str,
    /// Reads the caller's zone from the query of a question for hosts.
    pub parse_caller_zone: fn(&str) -> Option<ZoneName>,
    /// Encodes the addresses that callers may use, and for how long.
    pub encode_directory: fn(&[SocketAddr], Duration) -> Bytes,
    /// Reads prompt tokens and most output tokens from the usage header.
    pub parse_usage: fn(&str) -> Option<(u32, u32)>,
}

/// Keeps what was published as it came, so that a host that starts while the store is away can
/// take it from a peer.
pub trait CatalogArchive {
    /// Encodes everything kept under `topic`; `None` for an unknown topic or before the first
    /// listing of the store.
    fn encode(&self, topic: &str) -> Option<Bytes>;
}
