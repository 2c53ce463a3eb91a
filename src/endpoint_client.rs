//! Dispatches requests to endpoints and reads their answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use caller_limits::{HeldText, MemoryHold, MemoryPool};
use compact_str::CompactString;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use http_util::{ByteStream, DialedConnection, LineReader, request_json};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::events::{DispatchEnd, DispatchOrder, DispatchResult, DispatchWork, Event};
use crate::messages::{PermitGrant, RunOutcome};
use crate::stream_buffer::{ChunkOutcome, StreamBuffer};
use crate::stream_hub::StreamHub;

/// Time after the grant within which a permit may be used; an older one is returned unused.
const PERMIT_VALIDITY: Duration = Duration::from_millis(500);
/// Timeout for opening a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a line after which a stream counts as interrupted and is resumed.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of consecutive attempts to resume an interrupted stream, 100 ms to 1.6 s apart.
pub(crate) const MAX_RESUMES: u32 = 5;
pub(crate) const MAX_LINE_BYTES: usize = 64 * 1024;
const MAX_REPLY_BYTES: usize = 1024 * 1024;
/// Timeout for the answer to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Receives the events of a dispatch as they occur.
pub(crate) trait EventSink {
    fn emit(&self, event: Event);
}

/// One line of the stream of an engine.
#[derive(Debug, Deserialize)]
pub(crate) struct EngineLine {
    started: Option<bool>,
    #[serde(default)]
    cold: bool,
    index: Option<u32>,
    text: Option<CompactString>,
    done: Option<bool>,
    tokens: Option<u32>,
    cached_tokens: Option<u32>,
    error: Option<String>,
}

/// The body of an error response from an endpoint.
#[derive(Debug, Default, Deserialize)]
struct EndpointRefusal {
    #[serde(default)]
    error: CompactString,
    #[serde(default = "default_ran")]
    ran: bool,
}

fn default_ran() -> bool {
    true
}

/// Observations of one dispatch, collected while its answer is read.
pub(crate) struct DispatchTrace {
    pub started_at: Instant,
    pub cold: bool,
    pub cached_tokens: u32,
    pub first_token: Option<Duration>,
}

/// Why reading a stream ended.
pub(crate) enum ReadEnd {
    Done,
    Failed,
    TooLong,
    /// The connection broke, stalled or left a gap; the stream may be resumed.
    Interrupted,
}

/// Body of a generate request.
#[derive(Serialize)]
struct GenerateBody<'a> {
    max_tokens: u32,
    model: &'a str,
    prompt: &'a str,
    request_id: &'a str,
    route: &'a str,
}

/// Body of a call.
#[derive(Serialize)]
struct ServiceCallBody<'a> {
    body: &'a RawValue,
    key: &'a str,
    operation: &'a str,
    workspace: &'a str,
}

/// Answer of a service to a call.
#[derive(Deserialize)]
struct ServiceAnswer<'a> {
    #[serde(borrow)]
    result: &'a RawValue,
}

/// Performs one dispatch, from the connection to the endpoint until the end of the answer.
pub(crate) async fn run_dispatch(
    order: DispatchOrder,
    granted_at: Instant,
    hub: StreamHub,
    memory: MemoryPool,
    sink: impl EventSink,
) {
    let mut trace = DispatchTrace {
        started_at: Instant::now(),
        cold: false,
        cached_tokens: 0,
        first_token: None,
    };
    let grant = order.grant;
    let (result, answer) = match order.work {
        DispatchWork::Generate {
            request_id,
            model,
            route,
            prompt,
            max_tokens,
        } => {
            let body = GenerateBody {
                max_tokens,
                model: &model,
                prompt: &prompt,
                request_id: &request_id,
                route: &route,
            };
            let body = encode_body(&memory, &body, prompt.len()).await;
            // A resumed stream doesn't need the prompt again.
            drop(prompt);
            let result = generate(
                &grant,
                &request_id,
                body,
                granted_at,
                &hub,
                &sink,
                &mut trace,
            )
            .await;
            (result, None)
        }
        DispatchWork::Call {
            workspace,
            operation,
            body,
            timeout,
        } => {
            let call_body = ServiceCallBody {
                body: serde_json::from_str(&body).unwrap_or(RawValue::NULL),
                key: &grant.key,
                operation: &operation,
                workspace: &workspace,
            };
            let call_body = encode_body(&memory, &call_body, body.len()).await;
            drop(body);
            let call = call_service(&grant, call_body, granted_at, &memory, &sink);
            match compio::time::timeout(timeout, call).await {
                Ok(outcome) => outcome,
                Err(_) => (DispatchResult::Ran(RunOutcome::Broken), None),
            }
        }
    };
    let answer_bytes = answer.as_deref().map_or(0, str::len) + hub.stream_bytes(&grant.key);
    sink.emit(Event::DispatchEnded(DispatchEnd {
        tokens: hub.len(&grant.key),
        key: grant.key,
        permit: grant.permit,
        result,
        cold: trace.cold,
        cached_tokens: trace.cached_tokens,
        first_token: trace.first_token.unwrap_or_default(),
        total: trace.started_at.elapsed(),
        answer,
        answer_bytes,
    }));
}

/// Encodes a body of about `length` bytes. Its memory is held until its answer begins.
async fn encode_body(
    memory: &MemoryPool,
    body: &impl Serialize,
    length: usize,
) -> (Bytes, MemoryHold) {
    let hold = MemoryHold::take(memory, length).await;
    let mut bytes = Vec::with_capacity(length);
    serde_json::to_writer(&mut bytes, body).expect("the body serializes to JSON");
    (bytes.into(), hold)
}

/// Connects to the endpoint and sends the request. Returns an error with the result of the
/// dispatch if there is no answer to read.
async fn send_work(
    grant: &PermitGrant,
    path: &str,
    body: (Bytes, MemoryHold),
    granted_at: Instant,
    sink: &impl EventSink,
) -> Result<(StatusCode, ByteStream), DispatchResult> {
    let unreachable = DispatchResult::Ran(RunOutcome::Unreachable);
    let connecting = DialedConnection::open(grant.address);
    let Ok(Ok(connection)) = compio::time::timeout(CONNECT_TIMEOUT, connecting).await else {
        return Err(unreachable);
    };
    let (body, _hold) = body;
    let request = post_request(grant.address, path, body);
    // Nothing has been sent yet, so a process that was paused can still return an expired permit.
    if granted_at.elapsed() > PERMIT_VALIDITY {
        return Err(DispatchResult::PermitExpired);
    }
    sink.emit(Event::DispatchStarted {
        key: grant.key.clone(),
        permit: grant.permit,
    });
    let (head, stream) = connection
        .send(request)
        .await
        .map_err(|_| DispatchResult::Ran(RunOutcome::Broken))?;
    Ok((head.status(), stream))
}

fn post_request(address: SocketAddr, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .expect("the request head is valid")
}

async fn generate(
    grant: &PermitGrant,
    request_id: &str,
    body: (Bytes, MemoryHold),
    granted_at: Instant,
    hub: &StreamHub,
    sink: &impl EventSink,
    trace: &mut DispatchTrace,
) -> DispatchResult {
    let mut end = match send_work(grant, "/v1/generate", body, granted_at, sink).await {
        Ok((StatusCode::OK, stream)) => {
            sink.emit(Event::DispatchAccepted {
                key: grant.key.clone(),
            });
            read_stream(grant, stream, hub, trace).await
        }
        Ok((_, stream)) => return read_refusal(stream, trace).await,
        Err(DispatchResult::Ran(RunOutcome::Broken)) => ReadEnd::Interrupted,
        Err(result) => return result,
    };
    let mut resumes = 0;
    let mut backoff = Duration::from_millis(100);
    loop {
        match end {
            ReadEnd::Done => return DispatchResult::Ran(RunOutcome::Completed),
            ReadEnd::Failed => return DispatchResult::Ran(RunOutcome::Failed),
            ReadEnd::TooLong => return DispatchResult::TooLong,
            ReadEnd::Interrupted if resumes == MAX_RESUMES => {
                return DispatchResult::Ran(RunOutcome::Broken);
            }
            ReadEnd::Interrupted => {}
        }
        resumes += 1;
        let len_before = hub.len(&grant.key);
        end = match open_resume(grant.address, request_id, len_before).await {
            Some(stream) => {
                // The response to the dispatch itself may have been lost, so this may be the first
                // sign that the endpoint accepted the request.
                sink.emit(Event::DispatchAccepted {
                    key: grant.key.clone(),
                });
                read_stream(grant, stream, hub, trace).await
            }
            None => ReadEnd::Interrupted,
        };
        if hub.len(&grant.key) > len_before {
            resumes = 0;
            backoff = Duration::from_millis(100);
        } else if matches!(end, ReadEnd::Interrupted) {
            compio::time::sleep(backoff).await;
            backoff *= 2;
        }
    }
}

/// Opens a stream at an endpoint from index `from` onwards. Returns `None` if the endpoint cannot
/// be reached or has no such stream.
pub(crate) async fn open_resume(
    address: SocketAddr,
    request_id: &str,
    from: u32,
) -> Option<ByteStream> {
    let request = Request::builder()
        .uri(format!("/v1/streams/{request_id}?from={from}"))
        .header(http::header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let attempt = async {
        let connection = DialedConnection::open(address).await?;
        connection.send(request).await
    };
    match compio::time::timeout(CONNECT_TIMEOUT, attempt).await {
        Ok(Ok((head, stream))) if head.status() == StatusCode::OK => Some(stream),
        _ => None,
    }
}

async fn read_stream(
    grant: &PermitGrant,
    stream: ByteStream,
    hub: &StreamHub,
    trace: &mut DispatchTrace,
) -> ReadEnd {
    let mut reader = LineReader::new(stream, MAX_LINE_BYTES);
    loop {
        let Some(line) = read_line(&mut reader).await else {
            return ReadEnd::Interrupted;
        };
        if let Some(end) = apply_line(grant, line, hub, trace) {
            return end;
        }
    }
}

/// Reads the next line of a stream. Returns `None` if the stream broke or stalled, or if the line
/// is malformed.
pub(crate) async fn read_line(reader: &mut LineReader) -> Option<EngineLine> {
    let read = compio::time::timeout(STREAM_IDLE_TIMEOUT, reader.next_line()).await;
    serde_json::from_slice(&read.ok()?.ok()??).ok()
}

/// Applies one line of a stream to the buffer and the trace. Returns why the stream ends if the
/// line ends it.
pub(crate) fn apply_line(
    grant: &PermitGrant,
    line: EngineLine,
    hub: &StreamHub,
    trace: &mut DispatchTrace,
) -> Option<ReadEnd> {
    if line.started.is_some() {
        trace.cold |= line.cold;
    }
    if line.index.is_some() && line.text.is_some() {
        trace
            .first_token
            .get_or_insert_with(|| trace.started_at.elapsed());
    } else if line.error.is_none() && line.done == Some(true) {
        trace.cached_tokens = line.cached_tokens.unwrap_or(0);
    }
    // The buffer of a cancelled request may be removed while the endpoint still streams.
    let end_without_buffer = match (line.error.is_some(), line.done) {
        (true, _) => Some(ReadEnd::Failed),
        (false, Some(true)) => Some(ReadEnd::Interrupted),
        (false, Some(false) | None) => None,
    };
    hub.update_buffer(&grant.key, |buffer| buffer_line(line, buffer))
        .unwrap_or(end_without_buffer)
}

/// Adds one line of a stream to its buffer. Returns why the stream ends if the line ends it.
pub(crate) fn buffer_line(line: EngineLine, buffer: &mut StreamBuffer) -> Option<ReadEnd> {
    if let (Some(index), Some(text)) = (line.index, line.text) {
        return match buffer.add_chunk(index, text) {
            ChunkOutcome::Extended | ChunkOutcome::Repeated | ChunkOutcome::Waiting => None,
            ChunkOutcome::GapTooLong => Some(ReadEnd::Interrupted),
            ChunkOutcome::TooLong => Some(ReadEnd::TooLong),
        };
    }
    if line.error.is_some() {
        return Some(ReadEnd::Failed);
    }
    if line.done != Some(true) {
        return None;
    }
    let is_complete = line.tokens.is_some_and(|tokens| buffer.is_complete(tokens));
    // A "done" that overtakes chunks or follows lost ones does not end the stream; the missing
    // chunks are fetched by a resume.
    Some(if is_complete {
        ReadEnd::Done
    } else {
        ReadEnd::Interrupted
    })
}

/// Reads an error response to a generate request and returns the result of the dispatch.
async fn read_refusal(stream: ByteStream, trace: &mut DispatchTrace) -> DispatchResult {
    let Ok(body) = stream.read_all(MAX_REPLY_BYTES).await else {
        return DispatchResult::Ran(RunOutcome::Broken);
    };
    let Ok(refusal) = serde_json::from_slice::<EndpointRefusal>(&body) else {
        return DispatchResult::Ran(RunOutcome::Failed);
    };
    trace.cold |= refusal.error == "cold";
    DispatchResult::Ran(if refusal.ran {
        RunOutcome::Failed
    } else {
        RunOutcome::Declined
    })
}

async fn call_service(
    grant: &PermitGrant,
    body: (Bytes, MemoryHold),
    granted_at: Instant,
    memory: &MemoryPool,
    sink: &impl EventSink,
) -> (DispatchResult, Option<HeldText>) {
    let broken = DispatchResult::Ran(RunOutcome::Broken);
    let (status, stream) = match send_work(grant, "/v1/call", body, granted_at, sink).await {
        Ok(sent) => sent,
        Err(result) => return (result, None),
    };
    let Ok((reply, hold)) = stream.read_held(memory, MAX_REPLY_BYTES).await else {
        return (broken, None);
    };
    if status != StatusCode::OK {
        let refusal: EndpointRefusal = serde_json::from_slice(&reply).unwrap_or_default();
        let not_run = status == StatusCode::SERVICE_UNAVAILABLE
            && !refusal.ran
            && serde_json::from_slice::<EndpointRefusal>(&reply).is_ok();
        let outcome = if not_run {
            RunOutcome::Declined
        } else {
            RunOutcome::Failed
        };
        return (DispatchResult::Ran(outcome), None);
    }
    match serde_json::from_slice::<ServiceAnswer>(&reply) {
        Ok(answer) => {
            let text = HeldText::new(answer.result.get().into(), hold);
            (DispatchResult::Ran(RunOutcome::Completed), Some(text))
        }
        Err(_) => (DispatchResult::Ran(RunOutcome::Failed), None),
    }
}

/// Cancels a stream at its engine. If the message is lost, the engine cancels the stream by itself
/// later.
pub(crate) async fn cancel_stream(address: SocketAddr, request_id: String) {
    let path = format!("/v1/streams/{request_id}");
    let call = request_json(address, Method::DELETE, &path, None, MAX_REPLY_BYTES);
    let _ = compio::time::timeout(CANCEL_TIMEOUT, call).await;
}

/// Searches the endpoints for a stream, up to eight at a time.
pub(crate) async fn find_stream(request_id: &str, candidates: &[SocketAddr]) -> Option<SocketAddr> {
    for group in candidates.chunks(8) {
        let searches = group.iter().map(|address| async move {
            let stream = open_resume(*address, request_id, u32::MAX).await;
            stream.map(|_| *address)
        });
        let found = futures_util::future::join_all(searches).await;
        if let Some(address) = found.into_iter().flatten().next() {
            return Some(address);
        }
    }
    None
}
