//! HTTP for callers: reads requests, hands them to the reducer and sends its answers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use caller_limits::{
    BodyUse, CallerConnection, HeldBytes, HeldText, MemoryHold, MemoryPool, ReadFailure,
    read_whole_body,
};
use compact_str::CompactString;
use compio::net::TcpListener;
use futures_channel::oneshot;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_util::{
    HttpReply, ServerLimits, body_channel, head_bytes, held_json_reply, json_reply,
    serve_http_with_memory,
};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use serde_json::value::{RawValue, to_raw_value};

use crate::canonical_json::CanonicalJson;
use crate::endpoint_client::EventSink;
use crate::events::{CallSubmission, CallerAsk, CallerId, CallerReply, Event, ModelSubmission};
use crate::ids::FastMap;
use crate::remote_stream::relay_remote_stream;
use crate::result_code::ResultCode;
use crate::stream_hub::{StreamHub, StreamSender};

/// Streamed chunks that may wait for a slow caller.
const BODY_CHANNEL_CHUNKS: usize = 16;

/// Limits of the callers' port.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerLimits {
    pub server: ServerLimits,
    pub max_body_bytes: usize,
    pub body_timeout: Duration,
    /// Time in which the caller of a stream has to take something.
    pub unread_timeout: Duration,
    pub keep_seconds: u64,
}

type ReplySlots = Rc<RefCell<FastMap<CallerId, oneshot::Sender<CallerReply>>>>;

/// Callers that wait for an answer of the reducer.
#[derive(Clone, Default)]
pub(crate) struct CallerDesk {
    slots: ReplySlots,
    next: Rc<RefCell<CallerId>>,
}

impl CallerDesk {
    fn open(&self) -> (CallerId, oneshot::Receiver<CallerReply>) {
        let (sender, receiver) = oneshot::channel();
        let mut next = self.next.borrow_mut();
        *next += 1;
        self.slots.borrow_mut().insert(*next, sender);
        (*next, receiver)
    }

    /// Answers a caller; one that has gone is ignored.
    pub(crate) fn reply(&self, caller: CallerId, reply: CallerReply) {
        let sender = self.slots.borrow_mut().remove(&caller);
        if let Some(sender) = sender {
            let _ = sender.send(reply);
        }
    }
}

/// Tells the reducer when the caller's connection ends, however it ends.
struct CallerGuard<S: EventSink> {
    caller: CallerId,
    desk: CallerDesk,
    sink: S,
}

impl<S: EventSink> Drop for CallerGuard<S> {
    fn drop(&mut self) {
        self.desk.slots.borrow_mut().remove(&self.caller);
        self.sink.emit(Event::CallerGone {
            caller: self.caller,
        });
    }
}

/// Serves callers until the listener fails.
///
/// # Errors
///
/// Returns the error of the listening socket.
pub(crate) async fn serve_callers<S: EventSink + Clone + 'static>(
    listener: TcpListener,
    limits: CallerLimits,
    memory: MemoryPool,
    desk: CallerDesk,
    hub: StreamHub,
    sink: S,
) -> std::io::Result<()> {
    let rejected_sink = sink.clone();
    let head_memory = memory.clone();
    let handler = move |request, connection| {
        let parts = ServerParts {
            limits,
            memory: memory.clone(),
            desk: desk.clone(),
            hub: hub.clone(),
            sink: sink.clone(),
        };
        handle_request(request, connection, parts)
    };
    let rejected = move || {
        rejected_sink.emit(Event::CallerRejected(ResultCode::TooManyConnections));
        Some(Bytes::from(
            refusal_body(ResultCode::TooManyConnections, None).to_string(),
        ))
    };
    serve_http_with_memory(
        listener,
        limits.server,
        Some(head_memory),
        handler,
        rejected,
    )
    .await
}

/// What the handler of a request needs.
struct ServerParts<S> {
    limits: CallerLimits,
    memory: MemoryPool,
    desk: CallerDesk,
    hub: StreamHub,
    sink: S,
}

async fn handle_request<S: EventSink + Clone + 'static>(
    request: Request<Incoming>,
    connection: CallerConnection,
    parts: ServerParts<S>,
) -> HttpReply {
    let sink = parts.sink.clone();
    if head_bytes(&request) > parts.limits.server.max_header_bytes {
        sink.emit(Event::CallerRejected(ResultCode::HeaderTooLarge));
        return refusal_reply(ResultCode::HeaderTooLarge, None);
    }
    let token = bearer_token(request.headers());
    let ask = match read_ask(request, parts.limits, &parts.memory).await {
        Ok(ask) => ask,
        Err((code, detail)) => {
            sink.emit(Event::CallerRejected(code));
            return refusal_reply(code, detail.as_deref());
        }
    };
    connection.begin_answer();
    let (caller, receiver) = parts.desk.open();
    let guard = CallerGuard {
        caller,
        desk: parts.desk.clone(),
        sink: sink.clone(),
    };
    sink.emit(Event::Caller { caller, token, ask });
    let Ok(reply) = receiver.await else {
        return refusal_reply(ResultCode::Draining, None);
    };
    send_reply(reply, parts, connection, guard).await
}

async fn send_reply<S: EventSink + 'static>(
    reply: CallerReply,
    parts: ServerParts<S>,
    connection: CallerConnection,
    guard: CallerGuard<S>,
) -> HttpReply {
    let hub = parts.hub;
    let unread_timeout = parts.limits.unread_timeout;
    match reply {
        CallerReply::Refused { code, detail } => refusal_reply(code, detail.as_deref()),
        CallerReply::Hosts(hosts) => json_reply(
            StatusCode::OK,
            &json!({"hosts": hosts, "keep_seconds": parts.limits.keep_seconds}),
        ),
        CallerReply::Result { key, result } => result_reply(&key, &result, &parts.memory).await,
        CallerReply::Cancelled => json_reply(StatusCode::OK, &json!({"cancelled": true})),
        CallerReply::Attach {
            key,
            endpoint,
            from,
        } => {
            let (mut sender, reply) = stream_reply(unread_timeout);
            compio::runtime::spawn(async move {
                if !hub.relay(&key, &endpoint, from, &mut sender).await {
                    connection.close();
                }
                drop(guard);
            })
            .detach();
            reply
        }
        CallerReply::ResumeAt {
            address,
            request_id,
            key,
            from,
        } => {
            let (mut sender, reply) = stream_reply(unread_timeout);
            compio::runtime::spawn(async move {
                let relayed =
                    relay_remote_stream(address, &request_id, &key, from, &mut sender).await;
                if !relayed {
                    connection.close();
                }
                drop(guard);
            })
            .detach();
            reply
        }
    }
}

/// Builds the reply of a stream, and the sender of its lines.
fn stream_reply(unread_timeout: Duration) -> (StreamSender, HttpReply) {
    let (body, reply) = body_channel(StatusCode::OK, BODY_CHANNEL_CHUNKS);
    let sender = StreamSender {
        body,
        unread_timeout,
    };
    (sender, reply)
}

/// Builds the reply with the result of a call, which is JSON, or else text.
async fn result_reply(key: &str, result: &str, memory: &MemoryPool) -> HttpReply {
    #[derive(Serialize)]
    struct ResultBody<'a> {
        key: &'a str,
        result: &'a RawValue,
    }
    let text: Box<RawValue>;
    let raw = if let Ok(raw) = serde_json::from_str(result) {
        raw
    } else {
        text = to_raw_value(result).expect("text serializes to JSON");
        &*text
    };
    let hold = MemoryHold::take(memory, key.len() + result.len()).await;
    let body = ResultBody { key, result: raw };
    let bytes = serde_json::to_vec(&body).expect("the reply type serializes to JSON");
    held_json_reply(StatusCode::OK, HeldBytes::new(bytes.into(), hold))
}

fn refusal_body(code: ResultCode, detail: Option<&str>) -> serde_json::Value {
    json!({
        "code": code.number(),
        "ran": code.ran(),
        "message": detail.unwrap_or(code.message()),
    })
}

fn refusal_reply(code: ResultCode, detail: Option<&str>) -> HttpReply {
    let status = StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::BAD_REQUEST);
    json_reply(status, &refusal_body(code, detail))
}

fn bearer_token(headers: &HeaderMap) -> Option<CompactString> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let token = value.strip_prefix("Bearer ")?.trim();
    (!token.is_empty()).then(|| token.into())
}

type AskError = (ResultCode, Option<String>);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SubmitBody {
    key: CompactString,
    pool: CompactString,
    #[serde(default)]
    route: CompactString,
    tier: u8,
    deadline_ms: Option<u64>,
    prompt: String,
    max_tokens: u32,
}

impl CallerBody for SubmitBody {
    fn example() -> serde_json::Value {
        json!({"key": "", "pool": "", "tier": 0, "prompt": "", "max_tokens": 1})
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CallBody {
    key: CompactString,
    pool: CompactString,
    operation: CompactString,
    #[serde(default)]
    idempotent: bool,
    tier: u8,
    deadline_ms: Option<u64>,
    #[serde(default)]
    body: CanonicalJson,
}

impl CallerBody for CallBody {
    fn example() -> serde_json::Value {
        json!({"key": "", "pool": "", "operation": "", "tier": 0})
    }
}

/// Reads what the caller asks for, or the code and detail of its refusal.
async fn read_ask(
    request: Request<Incoming>,
    limits: CallerLimits,
    memory: &MemoryPool,
) -> Result<CallerAsk, AskError> {
    let path = request.uri().path().to_owned();
    let key = path.strip_prefix("/v1/requests/").map(CompactString::from);
    match (request.method().clone(), path.as_str(), key) {
        (Method::GET, "/v1/hosts", _) => Ok(CallerAsk::Hosts),
        (Method::GET, _, Some(key)) => Ok(CallerAsk::Resume {
            key,
            from: read_from(request.uri().query())?,
        }),
        (Method::DELETE, _, Some(key)) => Ok(CallerAsk::Cancel { key }),
        (Method::POST, "/v1/requests", _) => {
            let (body, hold) = read_json::<SubmitBody>(request, limits, memory).await?;
            submission(body, hold).map(CallerAsk::Submit)
        }
        (Method::POST, "/v1/calls", _) => {
            let (body, hold) = read_json::<CallBody>(request, limits, memory).await?;
            call_submission(body, hold).map(CallerAsk::Call)
        }
        _ => Err((ResultCode::UnknownPath, None)),
    }
}

fn read_from(query: Option<&str>) -> Result<u32, AskError> {
    let Some(value) =
        query.and_then(|query| query.split('&').find_map(|pair| pair.strip_prefix("from=")))
    else {
        return Ok(0);
    };
    value.parse().map_err(|_| {
        let detail = "from must be a whole number from 0 to 4294967295".to_owned();
        (ResultCode::MalformedRequest, Some(detail))
    })
}

/// Reads a body, and returns it with its memory.
async fn read_json<T: CallerBody>(
    request: Request<Incoming>,
    limits: CallerLimits,
    memory: &MemoryPool,
) -> Result<(T, MemoryHold), AskError> {
    let limit_bytes = limits.max_body_bytes;
    let reading = read_whole_body(memory, request.into_body(), BodyUse::Request, limit_bytes);
    let (body, hold) = match compio::time::timeout(limits.body_timeout, reading).await {
        Ok(Ok(read)) => read,
        Ok(Err(failure)) => return Err(read_error(failure, limit_bytes)),
        Err(_) => {
            let timeout_ms = limits.body_timeout.as_millis();
            let detail = format!("the body was not complete within {timeout_ms} ms");
            return Err((ResultCode::BodyIncomplete, Some(detail)));
        }
    };
    let decoded = serde_json::from_slice(&body).map_err(|error| {
        let detail = match faulty_field::<T>(&body) {
            Some(field) => format!("{field}: {error}"),
            None => error.to_string(),
        };
        (ResultCode::MalformedRequest, Some(detail))
    });
    Ok((decoded?, hold))
}

/// Returns the code and detail of a body that could not be read.
fn read_error(failure: ReadFailure, limit_bytes: usize) -> AskError {
    match failure {
        ReadFailure::TooLarge => {
            let detail = format!("the body is longer than {limit_bytes} bytes");
            (ResultCode::BodyTooLarge, Some(detail))
        }
        ReadFailure::Truncated => {
            let detail = "the body ended early".to_owned();
            (ResultCode::BodyIncomplete, Some(detail))
        }
        ReadFailure::Reclaimed => {
            let detail = "the body came too slowly while memory was short".to_owned();
            (ResultCode::BodyIncomplete, Some(detail))
        }
        ReadFailure::NoMemory => (ResultCode::MemoryFull, None),
    }
}

/// A body that callers send, with an example whose fields are valid.
trait CallerBody: for<'a> Deserialize<'a> {
    fn example() -> serde_json::Value;
}

/// Finds the field whose value does not have the right type: the errors of the JSON reader name
/// only missing and unknown fields.
fn faulty_field<T: CallerBody>(body: &[u8]) -> Option<String> {
    let fields: BTreeMap<String, &RawValue> = serde_json::from_slice(body).ok()?;
    let example = T::example();
    let is_faulty = |(name, value): &(&String, &&RawValue)| {
        let mut changed: BTreeMap<&str, Box<RawValue>> = BTreeMap::new();
        for (field, value) in example.as_object().into_iter().flatten() {
            changed.insert(
                field,
                to_raw_value(value).expect("the value serializes to JSON"),
            );
        }
        changed.insert(name, (**value).to_owned());
        let changed = serde_json::to_vec(&changed).expect("the fields serialize to JSON");
        serde_json::from_slice::<T>(&changed).is_err()
    };
    let (name, _) = fields.iter().find(is_faulty)?;
    Some(name.chars().take(MAX_NAME_BYTES).collect())
}

fn check_field(valid: bool, detail: &str) -> Result<(), AskError> {
    if valid {
        Ok(())
    } else {
        Err((ResultCode::MalformedRequest, Some(detail.to_owned())))
    }
}

/// Longest deadline that a caller may set.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;
const MAX_OUTPUT_TOKENS: u32 = 1_000_000;
const MAX_NAME_BYTES: usize = 64;

fn read_deadline(deadline_ms: Option<u64>) -> Result<Option<Duration>, AskError> {
    check_field(
        deadline_ms.is_none_or(|value| (1..=MAX_DEADLINE_MS).contains(&value)),
        "deadline_ms must be from 1 to 86400000",
    )?;
    Ok(deadline_ms.map(Duration::from_millis))
}

fn submission(body: SubmitBody, hold: MemoryHold) -> Result<ModelSubmission, AskError> {
    check_field(
        (1..=MAX_OUTPUT_TOKENS).contains(&body.max_tokens),
        "max_tokens must be from 1 to 1000000",
    )?;
    check_field(
        body.route.len() <= MAX_NAME_BYTES,
        "route must have at most 64 bytes",
    )?;
    check_field(
        !body.prompt.trim().is_empty(),
        "prompt must hold at least one word",
    )?;
    Ok(ModelSubmission {
        deadline: read_deadline(body.deadline_ms)?,
        key: body.key,
        pool: body.pool,
        route: body.route,
        tier: body.tier,
        prompt: HeldText::new(body.prompt.into(), hold),
        max_tokens: body.max_tokens,
    })
}

fn call_submission(body: CallBody, hold: MemoryHold) -> Result<CallSubmission, AskError> {
    check_field(
        (1..=MAX_NAME_BYTES).contains(&body.operation.len()),
        "operation must have 1 to 64 bytes",
    )?;
    Ok(CallSubmission {
        deadline: read_deadline(body.deadline_ms)?,
        key: body.key,
        pool: body.pool,
        operation: body.operation,
        idempotent: body.idempotent,
        tier: body.tier,
        body: HeldText::new(body.body.0.into(), hold),
    })
}
