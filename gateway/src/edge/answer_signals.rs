//! Reads what endpoints say of themselves from the heads of their answers.

use std::rc::Rc;
use std::time::Instant;

use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderName, StatusCode};

use super::state::Edge;
use crate::backpressure::{EndpointSignal, RateMilli, SignalChange, parse_pause, parse_rate_limit};
use crate::catalog::EndpointEntry;
use crate::ids::{EndpointId, ServiceName};
use crate::scheduler::SchedulerEvent;

/// Value of a header of which an answer should contain at most one.
enum HeaderReading<T> {
    Missing,
    Valid(T),
    Malformed,
}

/// Reads a header. Several values, or one that can't be parsed, are malformed.
fn read_header<T>(
    head: &HeaderMap,
    name: &HeaderName,
    parse: impl FnOnce(&str) -> Option<T>,
) -> HeaderReading<T> {
    let mut values = head.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => HeaderReading::Missing,
        (Some(value), None) => value
            .to_str()
            .ok()
            .and_then(parse)
            .map_or(HeaderReading::Malformed, HeaderReading::Valid),
        (Some(_), Some(_)) => HeaderReading::Malformed,
    }
}

/// Passes what an endpoint says of itself to the scheduler. The answer is one to this host's own
/// request, which was sent at `asked`.
pub(super) fn record_signals(
    edge: &Rc<Edge>,
    endpoint: &Rc<EndpointEntry>,
    status: StatusCode,
    head: &HeaderMap,
    asked: Instant,
) {
    let names = &edge.dialect.headers;
    let is_signed = head.contains_key(&names.signature);
    if !is_signed && !head.contains_key(&names.not_run) {
        return;
    }
    let record = |signal| {
        edge.schedule(SchedulerEvent::SignalReceived {
            endpoint: Rc::clone(endpoint),
            signal,
            asked,
        });
    };
    let ignore = |name| ignore_header(edge, &endpoint.id, name);
    match read_header(head, &names.rate_limit, parse_rate_limit) {
        HeaderReading::Valid(limit) => record(EndpointSignal::RateLimit(limit)),
        HeaderReading::Missing if is_signed => record(EndpointSignal::NoRateLimit),
        HeaderReading::Missing => {}
        HeaderReading::Malformed => ignore(&names.rate_limit),
    }
    match read_header(head, &names.leaving, |text| (text == "1").then_some(())) {
        HeaderReading::Valid(()) => record(EndpointSignal::Leaving),
        HeaderReading::Missing => {}
        HeaderReading::Malformed => ignore(&names.leaving),
    }
    record_brittleness(edge, &endpoint.service, &endpoint.id, head, asked);
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    match read_header(head, &RETRY_AFTER, parse_pause) {
        HeaderReading::Valid(pause) => record(EndpointSignal::Pause(pause)),
        HeaderReading::Missing => {}
        HeaderReading::Malformed => ignore(&RETRY_AFTER),
    }
}

/// Passes to the scheduler whether an answer says that its service is brittle. A host that has no
/// place at the endpoints hears of it only in the answers that `sender`, another host, passes back.
pub(super) fn record_brittleness(
    edge: &Edge,
    service: &ServiceName,
    sender: &EndpointId,
    head: &HeaderMap,
    asked: Instant,
) {
    let names = &edge.dialect.headers;
    let is_brittle = match read_header(head, &names.brittle, parse_borne_rejections) {
        HeaderReading::Valid(()) => true,
        HeaderReading::Missing if head.contains_key(&names.signature) => false,
        HeaderReading::Missing => return,
        HeaderReading::Malformed => return ignore_header(edge, sender, &names.brittle),
    };
    let scheduler = &mut edge.state.borrow_mut().scheduler;
    if scheduler.apply_brittleness(service, is_brittle, asked, Instant::now()) {
        edge.count("brittleness_changed");
        log::info!(service = service.as_str(), brittle = is_brittle, endpoint = sender.as_str(); "service: brittleness changed");
    }
}

fn ignore_header(edge: &Edge, sender: &EndpointId, name: &HeaderName) {
    edge.count("signal_malformed");
    log::warn!(endpoint = sender.as_str(), header = name.as_str(); "endpoint: malformed header ignored");
}

/// Checks the number of rejections that a brittle endpoint bears in a second. The number itself does
/// not matter: hosts send such an endpoint no more than it has places for.
fn parse_borne_rejections(text: &str) -> Option<()> {
    let rejections: f64 = text.trim().parse().ok()?;
    (rejections.is_finite() && rejections >= 0.0).then_some(())
}

impl Edge {
    /// Counts and logs a change of what is known of an endpoint.
    pub(super) fn log_signal_change(&self, endpoint: &str, change: SignalChange, reported: bool) {
        let source = if reported { "peer" } else { "answer" };
        match change {
            SignalChange::RateLimit { before, limit } => {
                self.count("rate_limit_changed");
                let (before, limit) = (rate_text(before), rate_text(limit));
                log::info!(endpoint = endpoint, before = before.as_str(), limit_per_s = limit.as_str(), source = source; "endpoint: rate limit changed");
            }
            SignalChange::Paused(pause) => {
                self.count("endpoint_paused");
                log::info!(endpoint = endpoint, pause_ms = pause.as_millis(); "endpoint: paused");
            }
            SignalChange::Leaving => {
                self.count("endpoint_leaving");
                log::info!(endpoint = endpoint, source = source; "endpoint: leaving");
            }
        }
    }
}

/// Renders a limit in requests per second; `-` if there is none.
fn rate_text(limit: Option<RateMilli>) -> String {
    limit.map_or("-".to_owned(), |limit| {
        (f64::from(limit) / 1_000.0).to_string()
    })
}
