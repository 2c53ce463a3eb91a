//! Serves HTTP/1.1 connections with limits on connections, header size and idle time.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
use caller_limits::{
    AnswerBody, CallerConnection, CallerStream, ConnectionTable, HeldBytes, MemoryPool,
};
use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use futures_channel::mpsc;
use futures_util::StreamExt;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::service::service_fn;
use serde::Serialize;
use snafu::Snafu;

/// Response whose body is either complete or streamed.
pub type HttpReply = Response<ReplyBody>;

/// Sending side of a streamed response body. A failed send means that the peer has disconnected.
pub type BodySender = mpsc::Sender<Bytes>;

/// Delay before an accept is retried after a transient error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Limits of one listening socket.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of connections served at the same time. Further ones are answered with 503
    /// and closed.
    pub max_connections: usize,
    /// Maximum size of a request head that a handler accepts. Heads larger than twice this size are
    /// answered with 431 without a body.
    pub max_header_bytes: usize,
    /// Time in which a client must send a request head, which also limits idle connections.
    pub header_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            max_header_bytes: 16 * 1024,
            header_timeout: Duration::from_mins(1),
        }
    }
}

/// Reason why a request body could not be read.
#[derive(Debug, Snafu)]
pub enum BodyError {
    #[snafu(display("the body is longer than {limit_bytes} bytes"))]
    TooLarge { limit_bytes: usize },
    #[snafu(display("the body ended early"))]
    Truncated,
    #[snafu(display("the body was not complete within {} ms", timeout.as_millis()))]
    TooSlow { timeout: Duration },
}

/// Accepts connections until the listener fails, and answers each request with `handler`.
///
/// `rejected` is called for each connection above the limit and returns the body of its response.
///
/// # Errors
///
/// Returns the error of the listening socket.
pub async fn serve_http<H, F, R>(
    listener: TcpListener,
    limits: ServerLimits,
    handler: H,
    rejected: R,
) -> std::io::Result<()>
where
    H: Fn(http::Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = HttpReply> + 'static,
    R: Fn() -> Option<Bytes> + 'static,
{
    let connected = move |request, _: CallerConnection| handler(request);
    serve_http_with_memory(listener, limits, None, connected, rejected).await
}

/// Does the same, and tells `handler` of the connection on which a request came. Long heads draw from
/// `memory`. When all connections are taken, one whose caller makes no progress is closed for a new
/// one.
///
/// # Errors
///
/// Returns the error of the listening socket.
pub async fn serve_http_with_memory<H, F, R>(
    listener: TcpListener,
    limits: ServerLimits,
    memory: Option<MemoryPool>,
    handler: H,
    rejected: R,
) -> std::io::Result<()>
where
    H: Fn(http::Request<Incoming>, CallerConnection) -> F + Clone + 'static,
    F: Future<Output = HttpReply> + 'static,
    R: Fn() -> Option<Bytes> + 'static,
{
    let connections = ConnectionTable::new(limits.max_connections, memory);
    loop {
        let stream = accept(&listener).await?;
        let Some(admitted) = connections.admit(Instant::now()) else {
            let reply = rejected();
            compio::runtime::spawn(reject_connection(stream, reply)).detach();
            continue;
        };
        let handler = handler.clone();
        compio::runtime::spawn(async move {
            let serving = |connection| serve_connection(stream, limits, connection, handler);
            // A connection that was closed has nothing left to do.
            let _ = admitted.serve(serving).await;
        })
        .detach();
    }
}

/// Accepts the next connection. Retries after a short delay if the peer reset the connection before
/// it was accepted, or if no file descriptor was free.
///
/// # Errors
///
/// Returns the error of a listening socket that can no longer be used.
pub async fn accept(listener: &TcpListener) -> std::io::Result<TcpStream> {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return Ok(stream),
            Err(error) if is_transient(&error) => compio::time::sleep(ACCEPT_RETRY_DELAY).await,
            Err(error) => return Err(error),
        }
    }
}

/// Returns whether a listening socket remains usable after this error of `accept`.
fn is_transient(error: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(
        error.kind(),
        ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted
    ) || matches!(error.raw_os_error(), Some(23 | 24))
}

async fn reject_connection(mut stream: TcpStream, reply: Option<Bytes>) {
    use compio::io::AsyncWriteExt;
    let body = reply.unwrap_or_default();
    let head = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    let mut message = head.into_bytes();
    message.extend_from_slice(&body);
    // A failure means that the peer has disconnected, so nothing more can be sent to it.
    let _ = stream.write_all(message).await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: ServerLimits,
    connection: CallerConnection,
    handler: H,
) where
    H: Fn(http::Request<Incoming>, CallerConnection) -> F + 'static,
    F: Future<Output = HttpReply> + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let stream = CallerStream::new(HyperStream::new_plain(stream), connection.clone());
    let service = service_fn(move |request| {
        connection.begin_body();
        let reply = handler(request, connection.clone());
        let connection = connection.clone();
        async move {
            let reply = reply.await;
            match reply.extensions().get::<CloseMarker>() {
                Some(CloseMarker) => {
                    Err(std::io::Error::from(std::io::ErrorKind::ConnectionAborted))
                }
                None => Ok(reply.map(|body| AnswerBody::new(body, connection))),
            }
        }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.header_timeout)
        // Twice the limit, so that the handler can send its own reply to most heads that exceed it.
        .max_buf_size(limits.max_header_bytes.saturating_mul(2).max(8192))
        .serve_connection(stream, service)
        .await;
    // A broken connection needs no handling here: its requests see the error when they read or
    // write their bodies.
    drop(served);
}

/// Returns the size of a request head, without the separators of its first line.
#[must_use]
pub fn head_bytes<B>(request: &http::Request<B>) -> usize {
    let target = request
        .uri()
        .path_and_query()
        .map_or("", |path| path.as_str());
    let headers = request.headers().iter();
    let fields = headers.map(|(name, value)| name.as_str().len() + value.len() + 4);
    request.method().as_str().len() + target.len() + fields.sum::<usize>()
}

/// Reads a whole request body within the size limit and the timeout.
///
/// # Errors
///
/// Returns a [`BodyError`] if the body is too large, too slow or truncated.
pub async fn read_body(
    body: Incoming,
    limit_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    // A declared length above the limit is rejected before the body arrives.
    if body.size_hint().lower() > limit_bytes as u64 {
        return Err(BodyError::TooLarge { limit_bytes });
    }
    let collected = Limited::new(body, limit_bytes).collect();
    match compio::time::timeout(timeout, collected).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(BodyError::TooLarge { limit_bytes })
        }
        Ok(Err(_)) => Err(BodyError::Truncated),
        Err(_) => Err(BodyError::TooSlow { timeout }),
    }
}

/// Builds a reply with a JSON body.
///
/// # Panics
///
/// Panics if `value` can't be serialized as JSON, which is a bug in its type.
pub fn json_reply(status: StatusCode, value: &impl Serialize) -> HttpReply {
    let body = serde_json::to_vec(value).expect("the reply type serializes to JSON");
    Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(ReplyBody::complete(body))
        .expect("the reply head is valid")
}

/// Builds a reply without a body.
///
/// # Panics
///
/// Never panics for a valid status code.
#[must_use]
pub fn empty_reply(status: StatusCode) -> HttpReply {
    Response::builder()
        .status(status)
        .body(ReplyBody::Complete(None))
        .expect("the reply head is valid")
}

/// Extension of a reply that makes the server close the connection instead of sending it.
#[derive(Clone, Copy)]
struct CloseMarker;

/// Builds a reply that is never sent. The server closes the connection instead.
#[must_use]
pub fn closed_reply() -> HttpReply {
    let mut reply = empty_reply(StatusCode::SERVICE_UNAVAILABLE);
    reply.extensions_mut().insert(CloseMarker);
    reply
}

/// Builds a streamed NDJSON reply, and the sender of its chunks.
///
/// # Panics
///
/// Never panics for a valid status code.
#[must_use]
pub fn body_channel(status: StatusCode, capacity: usize) -> (BodySender, HttpReply) {
    let (sender, receiver) = mpsc::channel(capacity);
    let reply = Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, "application/x-ndjson")
        .body(ReplyBody::Channel(receiver))
        .expect("the reply head is valid");
    (sender, reply)
}

/// Builds a reply with a JSON body whose memory stays in the account until it is written.
///
/// # Panics
///
/// Never panics for a valid status code.
#[must_use]
pub fn held_json_reply(status: StatusCode, body: HeldBytes) -> HttpReply {
    Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(ReplyBody::Complete(Some(body)))
        .expect("the reply head is valid")
}

/// Body of a reply.
#[derive(Debug)]
pub enum ReplyBody {
    /// A complete body, `None` once it is sent or if it is empty.
    Complete(Option<HeldBytes>),
    /// Chunks that arrive through a channel.
    Channel(mpsc::Receiver<Bytes>),
}

impl ReplyBody {
    fn complete(bytes: Vec<u8>) -> Self {
        let bytes = HeldBytes::from(Bytes::from(bytes));
        Self::Complete(bytes.has_remaining().then_some(bytes))
    }
}

impl Body for ReplyBody {
    type Data = HeldBytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<HeldBytes>, Infallible>>> {
        match &mut *self {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Channel(receiver) => {
                let chunk = ready!(receiver.poll_next_unpin(context));
                Poll::Ready(chunk.map(|bytes| Ok(Frame::data(bytes.into()))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                let length = bytes.as_ref().map_or(0, Buf::remaining);
                SizeHint::with_exact(length as u64)
            }
            Self::Channel(_) => SizeHint::default(),
        }
    }
}
