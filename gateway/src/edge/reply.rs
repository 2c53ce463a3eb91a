//! Answers that the gateway makes itself.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};

use super::body::EdgeBody;

/// Why the gateway answers itself. Codes are stable; `docs/result-codes.md` lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EdgeFault {
    /// No configuration yet.
    NotConfigured,
    NoRoute,
    UnknownKey,
    BodyTooLarge,
    HeadTooLarge,
    BodyTooSlow,
    BodyCut,
    OverCap,
    /// Waited in the queue as long as it may.
    QueueWait,
    QueueFull,
    NoEndpoint,
    Stopping,
    /// Time was over before anything was sent.
    TimeoutUnrun,
    /// Time was over while an endpoint may have been at work.
    Timeout,
    /// The endpoint failed without an answer; it may have run the request.
    EndpointBroken,
    /// Endpoints refused it unrun, and no further attempt is allowed.
    EndpointsRefused,
}

impl EdgeFault {
    /// Result code, HTTP status, and the word for logs and counters.
    #[must_use]
    pub fn code_status_reason(self) -> (u16, StatusCode, &'static str) {
        match self {
            Self::NotConfigured => (2301, StatusCode::SERVICE_UNAVAILABLE, "not_configured"),
            Self::NoRoute => (2101, StatusCode::NOT_FOUND, "no_route"),
            Self::UnknownKey => (2102, StatusCode::UNAUTHORIZED, "unknown_key"),
            Self::BodyTooLarge => (2103, StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
            Self::HeadTooLarge => (
                2104,
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                "head_too_large",
            ),
            Self::BodyTooSlow => (2105, StatusCode::REQUEST_TIMEOUT, "body_too_slow"),
            Self::BodyCut => (2106, StatusCode::BAD_REQUEST, "body_cut"),
            Self::OverCap => (2302, StatusCode::TOO_MANY_REQUESTS, "over_cap"),
            Self::QueueWait => (2303, StatusCode::SERVICE_UNAVAILABLE, "queue_wait"),
            Self::QueueFull => (2304, StatusCode::SERVICE_UNAVAILABLE, "queue_full"),
            Self::NoEndpoint => (2305, StatusCode::SERVICE_UNAVAILABLE, "no_endpoint"),
            Self::Stopping => (2306, StatusCode::SERVICE_UNAVAILABLE, "stopping"),
            Self::TimeoutUnrun => (2307, StatusCode::SERVICE_UNAVAILABLE, "timeout_unrun"),
            Self::EndpointsRefused => (2308, StatusCode::SERVICE_UNAVAILABLE, "endpoints_refused"),
            Self::Timeout => (2501, StatusCode::GATEWAY_TIMEOUT, "timeout"),
            Self::EndpointBroken => (2502, StatusCode::BAD_GATEWAY, "endpoint_broken"),
        }
    }

    /// Every fault, by its code.
    pub const ALL: [Self; 16] = [
        Self::NoRoute,
        Self::UnknownKey,
        Self::BodyTooLarge,
        Self::HeadTooLarge,
        Self::BodyTooSlow,
        Self::BodyCut,
        Self::NotConfigured,
        Self::OverCap,
        Self::QueueWait,
        Self::QueueFull,
        Self::NoEndpoint,
        Self::Stopping,
        Self::TimeoutUnrun,
        Self::EndpointsRefused,
        Self::Timeout,
        Self::EndpointBroken,
    ];

    #[must_use]
    pub fn reason(self) -> &'static str {
        self.code_status_reason().2
    }
}

/// Builds the answer for a fault. `retry_after` is told with a fraction of a second.
pub(crate) fn fault_reply(fault: EdgeFault, retry_after: Option<Duration>) -> Response<EdgeBody> {
    let (code, status, reason) = fault.code_status_reason();
    let body = format!("{{\"code\":{code},\"reason\":\"{reason}\"}}");
    let mut reply = Response::new(EdgeBody::Whole(Some(Bytes::from(body))));
    *reply.status_mut() = status;
    let headers = reply.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let told = retry_after.map(|wait| format!("{:.2}", wait.as_secs_f64()));
    if let Some(value) = told.and_then(|text| HeaderValue::from_str(&text).ok()) {
        headers.insert(header::RETRY_AFTER, value);
    }
    reply
}
