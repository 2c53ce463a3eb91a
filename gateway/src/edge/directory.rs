//! Serves the host directory, the readiness of this host, its metrics and its copy of the catalog.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use super::body::EdgeBody;
use super::state::Edge;

/// Maximum number of addresses in one reply. Callers ignore further ones.
const MAX_ADDRESSES: usize = 64;
/// Time for which callers cache a reply. Twice the time after which a silent host is dropped would
/// keep dead hosts in use for long, and half of this value would double the number of queries.
const DIRECTORY_TTL: Duration = Duration::from_secs(2);
/// Path of the metrics on the control address.
const METRICS_PATH: &str = "/metrics";
/// Format that `prometheus-client` writes.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Path prefix on the control address, followed by the name of a topic.
pub const CATALOG_PATH: &str = "/v1/catalog/";

/// Replies with the hosts that a caller may use.
pub(crate) fn directory_reply(edge: &Rc<Edge>, request: &Request<Incoming>) -> Response<EdgeBody> {
    if request.uri().path() != edge.dialect.directory_path {
        return status_reply(StatusCode::NOT_FOUND);
    }
    let query = request.uri().query().unwrap_or_default();
    let zone = (edge.dialect.parse_caller_zone)(query);
    let addresses = edge.directory_addresses(zone.as_ref(), MAX_ADDRESSES);
    if addresses.is_empty() {
        return status_reply(StatusCode::SERVICE_UNAVAILABLE);
    }
    json_reply((edge.dialect.encode_directory)(&addresses, DIRECTORY_TTL))
}

/// Replies whether this host is ready.
pub(crate) fn readiness_reply(edge: &Rc<Edge>, request: &Request<Incoming>) -> Response<EdgeBody> {
    if request.uri().path() != edge.dialect.readiness_path {
        return status_reply(StatusCode::NOT_FOUND);
    }
    if edge.is_ready() {
        status_reply(StatusCode::OK)
    } else {
        status_reply(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// Replies with a topic of the catalog archive or with the metrics.
pub(crate) fn control_reply(edge: &Rc<Edge>, request: &Request<Incoming>) -> Response<EdgeBody> {
    let path = request.uri().path();
    if let Some(topic) = path.strip_prefix(CATALOG_PATH) {
        let records = edge.archive.encode(topic);
        return records.map_or_else(|| status_reply(StatusCode::NOT_FOUND), json_reply);
    }
    match path {
        METRICS_PATH => {
            let text = edge.metrics.render(&edge.gauges());
            let mut reply = Response::new(EdgeBody::complete(text));
            let content_type = HeaderValue::from_static(METRICS_CONTENT_TYPE);
            reply
                .headers_mut()
                .insert(header::CONTENT_TYPE, content_type);
            reply
        }
        _ => status_reply(StatusCode::NOT_FOUND),
    }
}

fn status_reply(status: StatusCode) -> Response<EdgeBody> {
    let mut reply = Response::new(EdgeBody::empty());
    *reply.status_mut() = status;
    reply
}

fn json_reply(body: Bytes) -> Response<EdgeBody> {
    let mut reply = Response::new(EdgeBody::complete(body));
    reply.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    reply
}
