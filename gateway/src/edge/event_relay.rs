//! Passes a stream of events on, and continues it at another endpoint when it breaks.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::body::EdgeBody;
use super::connection_pool::EndpointConnection;
use super::dispatch::{DispatchFailure, send_job, silence_limit};
use super::event_splitter::{EventSplitter, MAX_EVENT_BYTES};
use super::forward::{
    EndpointAnswer, ForwardJob, is_resumable, log_request_end, may_retry, place_job,
};
use super::headers;
use super::placement::PlacedRun;
use crate::scheduler::RunEnd;

/// Pause between events after which a stream that may be resumed is, as a multiple of the pause
/// that is still on time: callers give up at eight times that pause.
const STALL_FACTOR: u32 = 4;
/// Shortest such pause.
const MIN_STALL: Duration = Duration::from_millis(1_200);

/// A stream in progress. Dropping it closes the endpoint's connection, which ends its work.
struct StreamRelay {
    job: ForwardJob,
    source: Option<StreamSource>,
    splitter: EventSplitter,
    last_id: Option<u64>,
    /// A remainder without an event's end, of a stream that ended whole.
    remainder: Option<Bytes>,
}

struct StreamSource {
    run: PlacedRun,
    connection: EndpointConnection,
    body: Incoming,
    /// Time for which an event was waited for. What the caller takes to read doesn't count.
    waited: Duration,
}

/// What reading on came to.
enum StreamStep {
    Events(Bytes),
    /// The stream is whole.
    Done,
    /// The endpoint broke off or fell silent.
    Broken(RunEnd),
    /// The time limit of the request.
    Timeout,
}

/// Builds the reply that streams the endpoint's events.
pub(crate) fn relay_events(job: ForwardJob, answer: EndpointAnswer) -> Response<EdgeBody> {
    let (source, parts) = StreamSource::new(answer);
    let resumed_from = headers::text(
        &job.headers,
        &http::HeaderName::from_static("last-event-id"),
    )
    .and_then(|text| text.parse().ok());
    let state = StreamRelay {
        job,
        source: Some(source),
        splitter: EventSplitter::default(),
        last_id: resumed_from,
        remainder: None,
    };
    let events = stream::try_unfold(state, |state| async move { next_events(state).await });
    let mut reply = Response::new(EdgeBody::Events(Box::pin(events)));
    *reply.status_mut() = parts.status;
    let mut kept = headers::end_to_end(&parts.headers);
    // A resumed stream may be framed differently.
    kept.remove(http::header::CONTENT_LENGTH);
    *reply.headers_mut() = kept;
    reply
}

impl StreamSource {
    fn new(answer: EndpointAnswer) -> (Self, http::response::Parts) {
        let (parts, body) = answer.response.into_parts();
        answer.connection.allow_body(MAX_EVENT_BYTES);
        let source = Self {
            run: answer.run,
            connection: answer.connection,
            body,
            waited: Duration::ZERO,
        };
        (source, parts)
    }
}

async fn next_events(mut state: StreamRelay) -> std::io::Result<Option<(Bytes, StreamRelay)>> {
    loop {
        if let Some(remainder) = state.remainder.take() {
            return Ok(Some((remainder, state)));
        }
        let Some(source) = state.source.as_mut() else {
            return Ok(None);
        };
        let step = read_step(
            &mut state.job,
            source,
            &mut state.splitter,
            &mut state.last_id,
        )
        .await;
        match step {
            StreamStep::Events(bytes) => return Ok(Some((bytes, state))),
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

async fn read_step(
    job: &mut ForwardJob,
    source: &mut StreamSource,
    splitter: &mut EventSplitter,
    last_id: &mut Option<u64>,
) -> StreamStep {
    loop {
        let now = Instant::now();
        let left = job.deadline.saturating_duration_since(now);
        // Bytes that end no event are no progress.
        let stall = stall_limit(job, source).map(|stall| stall.saturating_sub(source.waited));
        let limit = stall.map_or(left, |stall| stall.min(left));
        let frame = match compio::time::timeout(limit, source.body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return StreamStep::Broken(RunEnd::Broken),
            Ok(None) => return StreamStep::Done,
            Err(_) if limit < left => return StreamStep::Broken(RunEnd::Stalled),
            Err(_) => return StreamStep::Timeout,
        };
        source.waited += now.elapsed();
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        let Ok(pushed) = splitter.push(&chunk) else {
            return StreamStep::Broken(RunEnd::Broken);
        };
        if let Some(events) = pushed {
            source.waited = Duration::ZERO;
            source.connection.allow_body(MAX_EVENT_BYTES);
            source.run.record_events(events.count);
            job.first_byte.get_or_insert_with(|| job.arrived.elapsed());
            *last_id = events.last_id.or(*last_id);
            return StreamStep::Events(events.bytes);
        }
    }
}

/// Longest pause before the stream goes on elsewhere; `None` where it must not.
fn stall_limit(job: &ForwardJob, source: &StreamSource) -> Option<Duration> {
    if !is_resumable(job) || job.runs >= job.route.max_attempts {
        return None;
    }
    if !source.run.has_events() {
        return silence_limit(job);
    }
    Some((job.route.event_gap_target * STALL_FACTOR).max(MIN_STALL))
}

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

/// Goes on at another endpoint after the last whole event. The connection to the endpoint before
/// is closed first, so that it does not work on.
async fn resume_stream(state: &mut StreamRelay, end: RunEnd) -> std::io::Result<()> {
    if let Some(source) = state.source.take() {
        source.run.end(end);
        drop(source.connection);
    }
    state.splitter.clear();
    let mut failure = match end {
        RunEnd::Stalled => DispatchFailure::Silent,
        _ => DispatchFailure::MaybeRun,
    };
    while is_resumable(&state.job) && may_retry(&state.job, failure) {
        state.job.edge.count("stream_resume");
        log::info!(
            id = state.job.id.as_str(), cause = failure.cause(), after_event = state.last_id.unwrap_or(0),
            dispatches = state.job.dispatches;
            "stream: goes on elsewhere"
        );
        let left = state.job.deadline.saturating_duration_since(Instant::now());
        let placing = compio::time::timeout(left, place_job(&mut state.job)).await;
        let Ok(Ok(run)) = placing else { break };
        let sending = send_job(&mut state.job, run, state.last_id);
        match compio::time::timeout(left, sending).await {
            Ok(Ok(answer)) if answer.response.status().is_success() => {
                state.source = Some(StreamSource::new(answer).0);
                return Ok(());
            }
            Ok(Ok(answer)) => {
                answer.run.end(RunEnd::Failed);
                failure = DispatchFailure::Failed;
            }
            Ok(Err(next)) => failure = next,
            Err(_) => break,
        }
    }
    log_request_end(&state.job, StatusCode::BAD_GATEWAY, "stream_broken");
    state.job.edge.count("stream_broken");
    Err(std::io::ErrorKind::ConnectionAborted.into())
}
