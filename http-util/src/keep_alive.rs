//! A client connection that carries several requests in turn.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use cyper_core::HyperStream;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use socket2::{SockRef, TcpKeepalive};

/// Unacknowledged data breaks a connection after this time. Hosts without power and partitions
/// give no other sign.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);
/// First probe on a connection without traffic, and time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer that break the connection.
const PROBES: u32 = 2;

/// Bytes that are read ahead on one connection, and the longest head of a response.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Bytes of a body with its framing, as a multiple of those without: chunks may be small.
const FRAMING_FACTOR: usize = 2;
/// Bytes after which others have their turn: what a link of 20 Mbit/s brings in 25 ms.
const BYTES_IN_TURN: usize = 64 * 1024;
/// Bytes that are read at once: some events of a stream.
const READ_AT_ONCE_BYTES: usize = 8 * 1024;

/// Why a request got no response head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// Nothing was written; the peer cannot have seen the request.
    NotSent,
    /// The peer may have acted on the request.
    MaybeRun,
}

/// A stream of which only so many bytes may be read, and which lets others have their turn.
/// Interim responses or a chunk size without end would else keep the thread busy that serves all
/// connections.
struct BoundedStream {
    stream: HyperStream<TcpStream>,
    left: Rc<Cell<usize>>,
    buffer: Vec<u8>,
    /// Bytes that were read since others had their turn.
    in_turn: usize,
}

impl Read for BoundedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut target: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let this = self.get_mut();
        if this.in_turn >= BYTES_IN_TURN {
            this.in_turn = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let most = target.remaining().min(READ_AT_ONCE_BYTES);
        this.buffer.resize(most, 0);
        let mut part = ReadBuf::new(&mut this.buffer);
        ready!(Pin::new(&mut this.stream).poll_read(context, part.unfilled()))?;
        let read = part.filled();
        if read.len() > this.left.get() {
            let error = "more bytes than a response may have";
            return Poll::Ready(Err(std::io::Error::other(error)));
        }
        this.in_turn += read.len();
        this.left.set(this.left.get() - read.len());
        target.put_slice(read);
        Poll::Ready(Ok(()))
    }
}

impl Write for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// One connection. Dropping it closes the socket.
pub struct KeepAliveConnection {
    /// Bytes that may still be read.
    left: Rc<Cell<usize>>,
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: JoinHandle<()>,
}

impl KeepAliveConnection {
    /// Opens a connection that notices a silent peer.
    ///
    /// # Errors
    ///
    /// Fails when the peer does not accept within `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        let stream = compio::time::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        set_liveness(&stream)?;
        let left = Rc::new(Cell::new(0));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(BoundedStream {
                stream: HyperStream::new_plain(stream),
                left: Rc::clone(&left),
                buffer: Vec::new(),
                in_turn: 0,
            })
            .await
            .map_err(std::io::Error::other)?;
        let driver = compio::runtime::spawn(async move {
            // Errors of the connection surface at the request that runs on it.
            let _ = connection.await;
        });
        Ok(Self {
            left,
            sender,
            _driver: driver,
        })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Tells whether the peer may have seen the request.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.left.set(READ_BUFFER_BYTES);
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => SendFailure::NotSent,
            None => SendFailure::MaybeRun,
        })
    }

    /// Lets a body of so many bytes more be read, with its framing. Without it, a body may have what
    /// a head may have.
    pub fn allow_body(&self, bytes: usize) {
        let framed = bytes.saturating_mul(FRAMING_FACTOR);
        self.left.set(framed.saturating_add(READ_BUFFER_BYTES));
    }

    /// Whether the next request can be sent.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }
}

/// Sets the options that make a silent peer visible.
fn set_liveness(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}
