//! Answers which hosts callers may use, whether this one is ready, and what it measures.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use super::body::EdgeBody;
use super::state::Edge;

/// Addresses in one answer; callers take no more.
const MAX_ADDRESSES: usize = 64;
/// Time for which callers keep an answer: twice the time in which a silent host is dropped would
/// name dead hosts for long, and half of it would double the questions.
const DIRECTORY_TTL: Duration = Duration::from_secs(2);
const METRICS_PATH: &str = "/metrics";
/// The form that `prometheus-client` writes.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Path before the name of a topic on the control address.
pub const CATALOG_PATH: &str = "/v1/catalog/";

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
    json_body((edge.dialect.encode_directory)(&addresses, DIRECTORY_TTL))
}

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

pub(crate) fn control_reply(edge: &Rc<Edge>, request: &Request<Incoming>) -> Response<EdgeBody> {
    let path = request.uri().path();
    if let Some(topic) = path.strip_prefix(CATALOG_PATH) {
        let kept = edge.archive.encode(topic);
        return kept.map_or_else(|| status_reply(StatusCode::NOT_FOUND), json_body);
    }
    match path {
        METRICS_PATH => {
            let text = edge.metrics.render(&edge.gauges());
            let mut reply = Response::new(EdgeBody::Whole(Some(Bytes::from(text))));
            let form = HeaderValue::from_static(METRICS_CONTENT_TYPE);
            reply.headers_mut().insert(header::CONTENT_TYPE, form);
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

fn json_body(body: Bytes) -> Response<EdgeBody> {
    let mut reply = Response::new(EdgeBody::Whole(Some(body)));
    reply.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    reply
}
