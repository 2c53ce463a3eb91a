//! Replies that the gateway generates itself.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};

use super::body::EdgeBody;

/// Reason for which the gateway itself answers a request. Codes are stable and listed in
/// `docs/result-codes.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EdgeFault {
    /// The host has not received a configuration yet.
    NotConfigured,
    NoRoute,
    UnknownKey,
    BodyTooLarge,
    HeadTooLarge,
    BodyTooSlow,
    BodyCut,
    OverCap,
    /// The request reached the maximum wait in the queue.
    QueueWait,
    QueueFull,
    /// The workspace asks for more than its share while there is not enough room for all.
    OverShare,
    NoEndpoint,
    /// There is no memory for the body of the request.
    MemoryFull,
    Stopping,
    /// The time limit expired before the request was sent to an endpoint.
    TimeoutUnrun,
    /// The time limit expired while an endpoint may have been running the request.
    Timeout,
    /// The endpoint failed without a response and may have run the request.
    EndpointBroken,
    /// The grace period of a stopping host ended while an endpoint may have been running the
    /// request.
    GraceEnded,
    /// Endpoints rejected the request without running it, and no further attempt is allowed.
    EndpointsRefused,
    /// All endpoints of the service limit their requests or pause.
    EndpointsRestricted,
    /// The request holds a content that crashes endpoints.
    Quarantined,
    /// As `Quarantined`, after an endpoint may have run the request.
    QuarantinedRun,
    /// This host can't serve a request that another host has passed on; a third one may.
    NotRelayed,
}

impl EdgeFault {
    /// Returns the result code, the HTTP status and the reason used in logs and counters.
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
            Self::EndpointsRestricted => (
                2309,
                StatusCode::SERVICE_UNAVAILABLE,
                "endpoints_restricted",
            ),
            Self::Quarantined => (2310, StatusCode::SERVICE_UNAVAILABLE, "quarantined"),
            Self::OverShare => (2311, StatusCode::SERVICE_UNAVAILABLE, "over_share"),
            Self::MemoryFull => (2312, StatusCode::SERVICE_UNAVAILABLE, "memory_full"),
            Self::NotRelayed => (2313, StatusCode::MISDIRECTED_REQUEST, "not_relayed"),
            Self::Timeout => (2501, StatusCode::GATEWAY_TIMEOUT, "timeout"),
            Self::EndpointBroken => (2502, StatusCode::BAD_GATEWAY, "endpoint_broken"),
            Self::GraceEnded => (2503, StatusCode::GATEWAY_TIMEOUT, "grace_ended"),
            Self::QuarantinedRun => (2504, StatusCode::BAD_GATEWAY, "quarantined_after_run"),
        }
    }

    /// All faults, ordered by code.
    pub const ALL: [Self; 23] = [
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
        Self::EndpointsRestricted,
        Self::Quarantined,
        Self::OverShare,
        Self::MemoryFull,
        Self::NotRelayed,
        Self::Timeout,
        Self::EndpointBroken,
        Self::GraceEnded,
        Self::QuarantinedRun,
    ];

    /// Returns the reason used in logs and counters.
    #[must_use]
    pub fn reason(self) -> &'static str {
        self.code_status_reason().2
    }
}

/// Builds the reply for a fault. `retry_after` is sent in seconds with two decimals.
pub(crate) fn fault_reply(fault: EdgeFault, retry_after: Option<Duration>) -> Response<EdgeBody> {
    let (code, status, reason) = fault.code_status_reason();
    let body = format!("{{\"code\":{code},\"reason\":\"{reason}\"}}");
    let mut reply = Response::new(EdgeBody::complete(body));
    *reply.status_mut() = status;
    let headers = reply.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let seconds = retry_after.map(|wait| format!("{:.2}", wait.as_secs_f64()));
    if let Some(value) = seconds.and_then(|text| HeaderValue::from_str(&text).ok()) {
        headers.insert(header::RETRY_AFTER, value);
    }
    reply
}
