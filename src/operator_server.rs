//! Serves the operators' RPCs over HTTP/2, with limits on connections, calls and sizes.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use caller_limits::{BodyUse, MemoryHold, MemoryPool, ReadFailure, read_whole_body};
use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioExecutor, CompioTimer, HyperStream};
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper_util::service::TowerToHyperService;
use tonic::body::Body;
use tower::Service;

use crate::configs::operator::OperatorLimits;
use crate::generated::operator::operator_server::OperatorServer;
use crate::operator_service::{OperatorService, bearer_token, coded_status};
use crate::operator_types::OperatorCall;
use crate::result_code::ResultCode;

/// A gRPC message follows one byte of flags and four bytes of length.
const MESSAGE_HEADER_BYTES: usize = 5;
/// Bytes of messages that a connection buffers before they are read.
const WINDOW_BYTES: u32 = 64 * 1024;
/// Time for which a connection above the limit is kept to be told its refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Counts what is open and gives its place back when dropped.
struct OpenSlot(Arc<AtomicUsize>);

impl OpenSlot {
    fn take(open: &Arc<AtomicUsize>, limit: usize) -> Option<Self> {
        if open.fetch_add(1, Ordering::Relaxed) < limit {
            return Some(Self(Arc::clone(open)));
        }
        open.fetch_sub(1, Ordering::Relaxed);
        None
    }
}

impl Drop for OpenSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What all connections share.
#[derive(Clone)]
struct SharedParts {
    server: OperatorServer<OperatorService>,
    limits: OperatorLimits,
    reads: mpsc::UnboundedSender<ReadJob>,
    open_calls: Arc<AtomicUsize>,
}

/// Keeps the memory of a message in the account until it is dropped.
type HoldToken = oneshot::Sender<Infallible>;

/// A message to be read.
struct ReadJob {
    body: Incoming,
    reply: oneshot::Sender<Result<(Bytes, HoldToken), ResultCode>>,
}

/// Accepts connections until the listener fails; each call is sent to `calls`.
///
/// Refusals of this server itself are gRPC statuses whose message starts with the number of the
/// result code; all others are in the `result` field of the reply.
///
/// # Errors
///
/// Returns the error of the listening socket.
pub async fn serve_operators(
    listener: TcpListener,
    calls: mpsc::Sender<OperatorCall>,
    limits: OperatorLimits,
    memory: MemoryPool,
) -> std::io::Result<()> {
    let (reads, jobs) = mpsc::unbounded();
    compio::runtime::spawn(read_messages(jobs, limits, memory)).detach();
    let parts = SharedParts {
        server: OperatorServer::new(OperatorService::new(calls))
            .max_decoding_message_size(limits.max_message_bytes),
        limits,
        reads,
        open_calls: Arc::default(),
    };
    let connections = Arc::default();
    let refusals = Arc::default();
    loop {
        let stream = http_util::accept(&listener).await?;
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        if let Some(slot) = OpenSlot::take(&connections, limits.max_connections) {
            let parts = parts.clone();
            spawn_with(slot, serve_connection(stream, parts));
        } else if let Some(slot) = OpenSlot::take(&refusals, limits.max_connections) {
            log::warn!("operator: refused a connection above the limit");
            spawn_with(slot, refuse_connection(stream));
        }
    }
}

fn spawn_with(slot: OpenSlot, work: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(async move {
        work.await;
        drop(slot);
    })
    .detach();
}

async fn serve_connection(stream: TcpStream, parts: SharedParts) {
    let limits = parts.limits;
    let called = Arc::new(AtomicBool::new(false));
    let called_by_service = Arc::clone(&called);
    let service = tower::service_fn(move |request| {
        called_by_service.store(true, Ordering::Relaxed);
        let parts = parts.clone();
        async move { Ok::<_, Infallible>(answer(parts, request).await) }
    });
    let connection = http2::Builder::new(CompioExecutor)
        .timer(CompioTimer)
        .max_concurrent_streams(limits.max_streams)
        .max_header_list_size(limits.max_header_bytes)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .keep_alive_interval(limits.keep_alive_interval)
        .keep_alive_timeout(limits.keep_alive_timeout)
        .serve_connection(
            HyperStream::new_plain(stream),
            TowerToHyperService::new(service),
        );
    let mut connection = pin!(connection);
    // A peer that connects and calls nothing must not keep one of the few connections.
    let first = compio::time::timeout(limits.first_call_timeout, connection.as_mut()).await;
    let ended = match first {
        Ok(ended) => ended,
        Err(_) if !called.load(Ordering::Relaxed) => return,
        Err(_) => connection.await,
    };
    if let Err(error) = ended {
        log::debug!("operator: a connection broke: {error}");
    }
}

async fn refuse_connection(stream: TcpStream) {
    let service = tower::service_fn(|_: Request<Incoming>| async {
        let status = coded_status(ResultCode::TooManyConnections);
        Ok::<_, Infallible>(status.into_http::<Body>())
    });
    let connection = http2::Builder::new(CompioExecutor)
        .timer(CompioTimer)
        .max_concurrent_streams(1)
        .serve_connection(
            HyperStream::new_plain(stream),
            TowerToHyperService::new(service),
        );
    // The peer is told at its first call; the connection is closed either way.
    drop(compio::time::timeout(REFUSAL_TIMEOUT, connection).await);
}

async fn answer(mut parts: SharedParts, request: Request<Incoming>) -> Response<Body> {
    let Some(slot) = OpenSlot::take(&parts.open_calls, parts.limits.max_calls) else {
        return refusal(ResultCode::HostFull);
    };
    let (head, body) = request.into_parts();
    if bearer_token(&head.headers).is_none() {
        return refusal(ResultCode::MissingCredentials);
    }
    let (reply, receiver) = oneshot::channel();
    // Fails only after the listener has failed.
    let _ = parts.reads.unbounded_send(ReadJob { body, reply });
    let (body, token) = match receiver.await {
        Ok(Ok(read)) => read,
        Ok(Err(code)) => return refusal(code),
        Err(_) => return refusal(ResultCode::BodyIncomplete),
    };
    let request = Request::from_parts(head, Full::new(body));
    let response = match parts.server.call(request).await {
        Ok(response) => response,
        Err(never) => match never {},
    };
    drop((slot, token));
    with_code(response)
}

/// Reads messages on the event loop's thread, which the account cannot leave. Calls bound their
/// number.
async fn read_messages(
    mut jobs: mpsc::UnboundedReceiver<ReadJob>,
    limits: OperatorLimits,
    memory: MemoryPool,
) {
    while let Some(ReadJob { body, mut reply }) = jobs.next().await {
        let memory = memory.clone();
        compio::runtime::spawn(async move {
            let reading = std::pin::pin!(read_message(body, limits, &memory));
            // A caller that has gone needs no message.
            let Either::Left((read, _)) = select(reading, reply.cancellation()).await else {
                return;
            };
            match read {
                Ok((bytes, hold)) => {
                    let (token, ended) = oneshot::channel();
                    if reply.send(Ok((bytes, token))).is_ok() {
                        // Ends when the token is dropped.
                        let _ = ended.await;
                    }
                    drop(hold);
                }
                Err(code) => {
                    let _ = reply.send(Err(code));
                }
            }
        })
        .detach();
    }
}

/// Reads a request body, and returns it with its memory.
async fn read_message(
    body: Incoming,
    limits: OperatorLimits,
    memory: &MemoryPool,
) -> Result<(Bytes, MemoryHold), ResultCode> {
    let limit_bytes = limits.max_message_bytes + MESSAGE_HEADER_BYTES;
    let reading = read_whole_body(memory, body, BodyUse::Request, limit_bytes);
    match compio::time::timeout(limits.body_timeout, reading).await {
        Ok(Ok(read)) => Ok(read),
        Ok(Err(ReadFailure::TooLarge)) => Err(ResultCode::BodyTooLarge),
        Ok(Err(ReadFailure::NoMemory)) => Err(ResultCode::MemoryFull),
        Ok(Err(ReadFailure::Truncated | ReadFailure::Reclaimed)) | Err(_) => {
            Err(ResultCode::BodyIncomplete)
        }
    }
}

fn refusal(code: ResultCode) -> Response<Body> {
    log::info!(code = code.number(); "operator: refused a call");
    coded_status(code).into_http()
}

/// Gives the refusals of the generated server their result code.
fn with_code(response: Response<Body>) -> Response<Body> {
    let Some(status) = tonic::Status::from_header_map(response.headers()) else {
        return response;
    };
    match status.code() {
        tonic::Code::Ok => response,
        tonic::Code::Unimplemented => refusal(ResultCode::UnknownPath),
        tonic::Code::OutOfRange | tonic::Code::ResourceExhausted => {
            refusal(ResultCode::BodyTooLarge)
        }
        _ => refusal(ResultCode::MalformedRequest),
    }
}
