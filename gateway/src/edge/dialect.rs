//! Header names, paths and encodings that callers and endpoints use. The adapter of a deployment
//! provides them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;

use crate::ids::{ContentHash, ZoneName};

/// Names of the headers that the gateway interprets or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller. Endpoints echo it.
    pub request_id: HeaderName,
    /// Remaining time in milliseconds for which the caller, or the gateway, waits.
    pub deadline_ms: HeaderName,
    /// Size of a generation: prompt tokens and maximum output tokens.
    pub token_usage: HeaderName,
    /// The caller's estimate of the number of output tokens. It is right at the median but often
    /// far off.
    pub length_hint: HeaderName,
    /// Parts of the prompt, in order.
    pub prompt_parts: HeaderName,
    /// Signature of the endpoint. A response without it does not come from the endpoint.
    pub signature: HeaderName,
    /// Set by an endpoint that did not run the request.
    pub not_run: HeaderName,
    /// Requests per second that an endpoint takes from all hosts together.
    pub rate_limit: HeaderName,
    /// Set by an endpoint that is about to stop.
    pub leaving: HeaderName,
    /// Rejections a second that an endpoint bears; set by the endpoints of a brittle service.
    pub brittle: HeaderName,
    /// Id of the only endpoint that may run the request.
    pub expected_endpoint: HeaderName,
    /// Workspace of the caller, sent to the endpoint.
    pub workspace: HeaderName,
    /// API key of the caller.
    pub api_key: HeaderName,
    /// Further headers that only the gateway may set. They are removed from requests of callers.
    pub reserved: Vec<HeaderName>,
}

/// Wire conventions between a deployment's callers, endpoints and gateway.
#[derive(Clone, Debug)]
pub struct WireDialect {
    pub headers: HeaderNames,
    pub readiness_path: &'static str,
    pub directory_path: &'static str,
    /// Parses the caller's zone from the query string of a directory request.
    pub parse_caller_zone: fn(&str) -> Option<ZoneName>,
    /// Encodes the addresses that callers may use and the time for which they may cache them.
    pub encode_directory: fn(&[SocketAddr], Duration) -> Bytes,
    /// Parses prompt tokens and maximum output tokens from the usage header.
    pub parse_usage: fn(&str) -> Option<(u32, u32)>,
    /// Returns the hashes of the parts of a prompt that other requests may share.
    pub parse_shared_parts: fn(&str) -> Vec<ContentHash>,
}

/// Archive of published records in their original encoding. A host that starts while the store is
/// unreachable can read them from a peer.
pub trait CatalogArchive {
    /// Encodes all records of `topic`. Returns `None` for an unknown topic or before the first
    /// complete list has been read from the store.
    fn encode(&self, topic: &str) -> Option<Bytes>;
}
