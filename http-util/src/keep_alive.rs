//! Client connection that carries several requests, one after another.

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use caller_limits::WriteLimiter;
use compio::net::{TcpSocket, TcpStream};
use compio::runtime::JoinHandle;
use cyper_core::HyperStream;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use socket2::{SockRef, TcpKeepalive};

/// Time after which unacknowledged data breaks a connection. There is no other sign that the peer
/// has lost power or that the network is partitioned.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first probe on a connection, and time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the connection breaks.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Size of a connection's read buffer, which also bounds the head of a response.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Allowance for the framing of a body, as a multiple of the body's size. Chunks may be small.
const FRAMING_FACTOR: usize = 2;
/// Number of bytes after which a connection yields to other tasks: the amount that a link of
/// 20 Mbit/s delivers in 25 ms.
const MAX_BYTES_PER_TURN: usize = 64 * 1024;
/// Maximum size of a single read, which is enough for several events of a stream.
const MAX_READ_BYTES: usize = 8 * 1024;

/// Reason why a request received no response head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// Nothing was written, so the peer can't have received the request.
    NotSent,
    /// The peer may have processed the request.
    MaybeRun,
}

/// Stream that limits the number of bytes that may be read, and yields to other tasks regularly.
/// Otherwise an endless series of interim responses or an endless chunk size line would block the
/// thread that serves all connections.
///
/// Its end is an error if a write has failed: a response without a length would otherwise seem
/// complete after a reset.
pub(crate) struct BoundedStream<S = HyperStream<TcpStream>> {
    stream: S,
    remaining_bytes: Rc<Cell<usize>>,
    buffer: Vec<u8>,
    /// Bytes read since the connection last yielded.
    turn_bytes: usize,
    limiter: WriteLimiter,
    /// Error of the first write that failed.
    write_failure: Option<std::io::ErrorKind>,
}

impl BoundedStream {
    /// Returns a stream from which any number of bytes may be read.
    pub fn without_limit(stream: TcpStream) -> Self {
        let remaining_bytes = Rc::new(Cell::new(usize::MAX));
        Self::new(HyperStream::new_plain(stream), remaining_bytes)
    }
}

impl<S> BoundedStream<S> {
    pub fn new(stream: S, remaining_bytes: Rc<Cell<usize>>) -> Self {
        Self {
            stream,
            remaining_bytes,
            buffer: Vec::new(),
            turn_bytes: 0,
            limiter: WriteLimiter::default(),
            write_failure: None,
        }
    }

    fn record_write<T>(&mut self, written: &Poll<std::io::Result<T>>) {
        if let Poll::Ready(Err(error)) = written {
            self.write_failure.get_or_insert(error.kind());
        }
    }
}

impl<S: Write + Unpin> BoundedStream<S> {
    /// Returns the error of a failed write at the end of the stream.
    fn check_end(&mut self, context: &mut Context<'_>) -> std::io::Result<()> {
        // A socket reports a reset only once, and the write in progress may have received it.
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        self.record_write(&flushed);
        match self.write_failure {
            Some(failure) => Err(failure.into()),
            None => Ok(()),
        }
    }
}

impl<S: Read + Write + Unpin> Read for BoundedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut target: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let this = self.get_mut();
        if this.turn_bytes >= MAX_BYTES_PER_TURN {
            this.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let max_bytes = target.remaining().min(MAX_READ_BYTES);
        this.buffer.resize(max_bytes, 0);
        let mut read_buffer = ReadBuf::new(&mut this.buffer);
        ready!(Pin::new(&mut this.stream).poll_read(context, read_buffer.unfilled()))?;
        let length = read_buffer.filled().len();
        if length == 0 && max_bytes > 0 {
            return Poll::Ready(this.check_end(context));
        }
        if length > this.remaining_bytes.get() {
            let error = "the response exceeds its byte limit";
            return Poll::Ready(Err(std::io::Error::other(error)));
        }
        this.turn_bytes += length;
        this.remaining_bytes
            .set(this.remaining_bytes.get() - length);
        target.put_slice(&this.buffer[..length]);
        Poll::Ready(Ok(()))
    }
}

impl<S: Write + Unpin> Write for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let this = &mut *self;
        let written = this.limiter.poll_write(&mut this.stream, context, bytes);
        this.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let this = &mut *self;
        let written = this
            .limiter
            .poll_write_vectored(&mut this.stream, context, parts);
        this.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        // Otherwise each body would be copied behind its head.
        true
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        self.record_write(&flushed);
        flushed
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Connection for requests that are sent one after another. Dropping it closes the socket.
pub struct KeepAliveConnection {
    /// Bytes that may still be read.
    remaining_bytes: Rc<Cell<usize>>,
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: JoinHandle<()>,
}

impl KeepAliveConnection {
    /// Opens a connection that detects an unresponsive peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer doesn't accept the connection within `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        Self::open_on(TcpStream::connect(address), timeout).await
    }

    /// Opens a connection from a local address, so that the peer recognizes this host.
    ///
    /// # Errors
    ///
    /// Fails if the local address can't be used, or if the peer doesn't accept the connection within
    /// `timeout`.
    pub async fn open_from(
        local: IpAddr,
        address: SocketAddr,
        timeout: Duration,
    ) -> std::io::Result<Self> {
        let connecting = async {
            let socket = match local {
                IpAddr::V4(_) => TcpSocket::new_v4().await?,
                IpAddr::V6(_) => TcpSocket::new_v6().await?,
            };
            socket.bind((local, 0).into()).await?;
            socket.connect(address).await
        };
        Self::open_on(connecting, timeout).await
    }

    async fn open_on(
        connecting: impl Future<Output = std::io::Result<TcpStream>>,
        timeout: Duration,
    ) -> std::io::Result<Self> {
        let stream = compio::time::timeout(timeout, connecting)
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        set_liveness_options(&stream)?;
        let remaining_bytes = Rc::new(Cell::new(0));
        let stream =
            BoundedStream::new(HyperStream::new_plain(stream), Rc::clone(&remaining_bytes));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(stream)
            .await
            .map_err(std::io::Error::other)?;
        let driver = compio::runtime::spawn(async move {
            // Errors of the connection are returned by the request that uses it.
            let _ = connection.await;
        });
        Ok(Self {
            remaining_bytes,
            sender,
            _driver: driver,
        })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns a [`SendFailure`] that says whether the peer may have received the request.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.remaining_bytes.set(READ_BUFFER_BYTES);
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => SendFailure::NotSent,
            None => SendFailure::MaybeRun,
        })
    }

    /// Sets the allowance to this many more bytes of the body, plus their framing. Without this
    /// call, the head and body of a response together are limited to the size of the read buffer.
    pub fn allow_body(&self, bytes: usize) {
        let framed = bytes.saturating_mul(FRAMING_FACTOR);
        self.remaining_bytes
            .set(framed.saturating_add(READ_BUFFER_BYTES));
    }

    /// Returns whether the next request can be sent.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }
}

/// Sets the socket options that detect an unresponsive peer.
fn set_liveness_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
