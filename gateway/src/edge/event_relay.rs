//! Relays a stream of events to the caller and resumes it at another endpoint if it breaks.

use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use caller_limits::CallerConnection;
use compio::runtime::JoinHandle;
use futures_util::stream;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::body::EdgeBody;
use super::connection_pool::EndpointConnection;
use super::dispatch::{DispatchFailure, send_job, silence_limit};
use super::event_splitter::{CompleteEvents, EventSplitter, MAX_EVENT_BYTES};
use super::failover::{AnswerWait, fail_over};
use super::forward::{
    EndpointExchange, ForwardJob, is_resumable, log_request_end, may_retry, place_job,
};
use super::headers;
use super::placement::PlacedRun;
use crate::scheduler::RunEnd;

/// Gap between events after which another endpoint is requested for a resumable stream, as a
/// multiple of the target gap. Callers give up at eight times the target gap.
const STALL_FACTOR: u32 = 4;
/// Minimum gap after which another endpoint is requested.
const MIN_STALL: Duration = Duration::from_millis(1_200);

/// Time after the time limit of a request at which a stream ends that its caller doesn't read.
const UNREAD_MARGIN: Duration = Duration::from_millis(250);

/// A stream in progress. Dropping it closes the connection to the endpoint, which then stops
/// working on the request.
struct StreamRelay {
    job: ForwardJob,
    source: Option<StreamSource>,
    splitter: EventSplitter,
    /// Id of the last event sent to the caller.
    last_id: Option<u64>,
    /// Bytes after the last complete event of a stream that has ended.
    remainder: Option<Bytes>,
    /// Closes the connection of a caller that doesn't read the stream.
    _closer: JoinHandle<()>,
}

/// The endpoint from which the stream is currently read.
struct StreamSource {
    run: PlacedRun,
    connection: EndpointConnection,
    body: Incoming,
    /// Whether the body has a length or chunks. Otherwise the end of the connection ends it, which
    /// may also be a failure.
    is_delimited: bool,
}

/// Result of reading the next part of a stream.
enum StreamStep {
    /// One or more complete events.
    Events(CompleteEvents),
    /// The stream has ended.
    Done,
    /// The endpoint broke the connection, or was silent for too long and another one was granted.
    Broken(RunEnd),
    /// The time limit of the request has expired.
    Timeout,
}

/// Builds the reply that relays the endpoint's events.
pub(crate) fn relay_events(
    job: ForwardJob,
    exchange: EndpointExchange,
    connection: CallerConnection,
) -> Response<EdgeBody> {
    let (source, parts) = StreamSource::new(exchange);
    let resumed_from = headers::text(
        &job.headers,
        &http::HeaderName::from_static("last-event-id"),
    )
    .and_then(|text| text.parse().ok());
    let time_left = job.deadline.saturating_duration_since(Instant::now());
    let closer = compio::runtime::spawn(async move {
        // The time limit itself is only noticed while the caller reads.
        compio::time::sleep(time_left + UNREAD_MARGIN).await;
        connection.close();
    });
    let state = StreamRelay {
        job,
        source: Some(source),
        splitter: EventSplitter::default(),
        last_id: resumed_from,
        remainder: None,
        _closer: closer,
    };
    let events = stream::try_unfold(state, |state| async move { next_events(state).await });
    let mut reply = Response::new(EdgeBody::Events(Box::pin(events)));
    *reply.status_mut() = parts.status;
    let mut relayed_headers = headers::end_to_end(&parts.headers);
    // A resumed stream may have another length.
    relayed_headers.remove(CONTENT_LENGTH);
    *reply.headers_mut() = relayed_headers;
    reply
}

impl StreamSource {
    fn new(exchange: EndpointExchange) -> (Self, http::response::Parts) {
        let (parts, body) = exchange.response.into_parts();
        let is_delimited = parts.headers.contains_key(CONTENT_LENGTH)
            || parts.headers.contains_key(TRANSFER_ENCODING);
        exchange.connection.allow_body(MAX_EVENT_BYTES);
        let source = Self {
            run: exchange.run,
            connection: exchange.connection,
            body,
            is_delimited,
        };
        (source, parts)
    }

    /// Returns whether a body that has ended is complete.
    fn is_complete(&self, splitter: &EventSplitter) -> bool {
        self.is_delimited || self.run.has_events() && splitter.is_at_event_end()
    }
}

/// Returns the next events for the caller, or `None` at the end of the stream.
async fn next_events(mut state: StreamRelay) -> std::io::Result<Option<(Bytes, StreamRelay)>> {
    loop {
        if let Some(remainder) = state.remainder.take() {
            return Ok(Some((remainder, state)));
        }
        let Some(source) = state.source.as_mut() else {
            return Ok(None);
        };
        match next_step(&mut state.job, source, &mut state.splitter).await {
            StreamStep::Events(events) => {
                let job = &mut state.job;
                job.record_begun(Instant::now());
                job.first_byte.get_or_insert_with(|| job.arrived.elapsed());
                state.last_id = events.last_id.or(state.last_id);
                return Ok(Some((events.bytes, state)));
            }
            StreamStep::Done => finish_stream(&mut state),
            StreamStep::Broken(end) => resume_stream(&mut state, end).await?,
            StreamStep::Timeout => {
                log_request_end(&state.job, StatusCode::GATEWAY_TIMEOUT, "stream_timeout");
                state.job.edge.count("stream_timeout");
                return Err(std::io::ErrorKind::TimedOut.into());
            }
        }
    }
}

/// Waits for the next step of the stream within the time limit of the request. Bytes that do not
/// complete an event do not count as progress.
async fn next_step(
    job: &mut ForwardJob,
    source: &mut StreamSource,
    splitter: &mut EventSplitter,
) -> StreamStep {
    let time_left = job.deadline.saturating_duration_since(Instant::now());
    let max_gap = stall_limit(job, source).filter(|max_gap| *max_gap < time_left);
    let mut step = pin!(read_step(source, splitter));
    let first_wait = max_gap.unwrap_or(time_left);
    if let Ok(step) = compio::time::timeout(first_wait, step.as_mut()).await {
        return step;
    }
    let Some(max_gap) = max_gap else {
        return StreamStep::Timeout;
    };
    let time_left = time_left.saturating_sub(max_gap);
    match compio::time::timeout(time_left, fail_over(job, step)).await {
        Ok(AnswerWait::Ended(step)) => step,
        Ok(AnswerWait::Replaced) => StreamStep::Broken(job.replaced_end()),
        Err(_) => StreamStep::Timeout,
    }
}

/// Reads from the endpoint until an event is complete or the stream ends.
async fn read_step(source: &mut StreamSource, splitter: &mut EventSplitter) -> StreamStep {
    loop {
        let frame = match source.body.frame().await {
            Some(Ok(frame)) => frame,
            None if source.is_complete(splitter) => return StreamStep::Done,
            Some(Err(_)) | None => return StreamStep::Broken(RunEnd::Disconnected),
        };
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        let Ok(completed) = splitter.push(&chunk) else {
            return StreamStep::Broken(RunEnd::Broken);
        };
        if let Some(events) = completed {
            source.connection.allow_body(MAX_EVENT_BYTES);
            source.run.record_events(events.count);
            return StreamStep::Events(events);
        }
    }
}

/// Returns the maximum gap before another endpoint is requested for the stream, or `None` if it may
/// not be resumed.
fn stall_limit(job: &ForwardJob, source: &StreamSource) -> Option<Duration> {
    if !is_resumable(job) || !job.may_fail_over() {
        return None;
    }
    if !source.run.has_events() {
        return silence_limit(job);
    }
    Some((job.route.event_gap_target * STALL_FACTOR).max(MIN_STALL))
}

/// Ends a stream that was read completely and releases its connection.
fn finish_stream(state: &mut StreamRelay) {
    let Some(source) = state.source.take() else {
        return;
    };
    let remainder = state.splitter.take_remainder();
    state.remainder = (!remainder.is_empty()).then_some(remainder);
    let endpoint = std::rc::Rc::clone(&source.run.endpoint);
    source.run.end(RunEnd::Completed);
    state.job.edge.pool.release(&endpoint, source.connection);
    log_request_end(&state.job, StatusCode::OK, "streamed");
}

/// Resumes the stream at another endpoint after the last complete event. The connection to the
/// previous endpoint is closed first, so that it stops working on the request.
async fn resume_stream(state: &mut StreamRelay, end: RunEnd) -> std::io::Result<()> {
    if let Some(source) = state.source.take() {
        if state.job.is_hedged && !source.run.has_events() {
            source.run.record_hedge_time();
        }
        source.run.end(end);
        drop(source.connection);
    }
    state.splitter.clear();
    let mut failure = match end {
        RunEnd::Stalled | RunEnd::Abandoned => DispatchFailure::Silent,
        _ => DispatchFailure::MayHaveRun,
    };
    while is_resumable(&state.job) && may_retry(&mut state.job, failure) {
        state.job.edge.count("stream_resume");
        log::info!(
            id = state.job.id.as_str(), cause = failure.cause(), after_event = state.last_id.unwrap_or(0),
            dispatches = state.job.dispatches;
            "stream: resuming at another endpoint"
        );
        let deadline = state.job.deadline;
        let time_left = || deadline.saturating_duration_since(Instant::now());
        let placing = compio::time::timeout(time_left(), place_job(&mut state.job)).await;
        let Ok(Ok(run)) = placing else { break };
        let sending = send_job(&mut state.job, run, state.last_id);
        match compio::time::timeout(time_left(), sending).await {
            Ok(Ok(exchange)) if exchange.response.status().is_success() => {
                state.source = Some(StreamSource::new(exchange).0);
                return Ok(());
            }
            Ok(Ok(exchange)) => {
                exchange.run.end(RunEnd::Failed);
                failure = DispatchFailure::Failed;
            }
            Ok(Err(next_failure)) => failure = next_failure,
            Err(_) => break,
        }
    }
    log_request_end(&state.job, StatusCode::BAD_GATEWAY, "stream_broken");
    state.job.edge.count("stream_broken");
    Err(std::io::ErrorKind::ConnectionAborted.into())
}
