//! Closes connections so that no answer is lost.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use caller_limits::{CallerConnection, CallerStream};
use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};

/// Maximum time for which a connection is read after its last answer was written.
const MAX_LINGER_TIME: Duration = Duration::from_millis(500);
/// Size of a read whose bytes are discarded.
const DISCARD_BYTES: usize = 8 * 1024;
/// Number of such reads after which a connection yields to other tasks.
const MAX_READS_PER_TURN: usize = 8;

type LingerTimer = Pin<Box<dyn Future<Output = ()>>>;

/// Stream that, after its last answer, reads until the peer closes the connection. Closing a socket
/// with unread bytes would reset the connection, and the peer could lose the answer. A connection
/// that was idle is closed at once: a request that arrives then must not be read.
pub(crate) struct LingeringStream {
    stream: CallerStream<HyperStream<TcpStream>>,
    /// Time at which bytes were last written.
    written: Option<Instant>,
    /// Set once the sending side is closed.
    timer: Option<LingerTimer>,
}

impl LingeringStream {
    pub fn new(stream: TcpStream, connection: CallerConnection) -> Self {
        Self {
            stream: CallerStream::new(HyperStream::new_plain(stream), connection),
            written: None,
            timer: None,
        }
    }

    /// Returns for how long the peer may still need to receive what was written.
    fn linger_time(&self) -> Duration {
        let elapsed = self.written.map(|written| written.elapsed());
        elapsed.map_or(Duration::ZERO, |elapsed| {
            MAX_LINGER_TIME.saturating_sub(elapsed)
        })
    }

    /// Discards what the peer sends; returns `Ready` when it has closed the connection.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; DISCARD_BYTES];
        for _ in 0..MAX_READS_PER_TURN {
            let mut buffer = ReadBuf::new(&mut bytes);
            let stream = Pin::new(self.stream.inner_mut());
            let read = ready!(stream.poll_read(context, buffer.unfilled()));
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(());
            }
        }
        context.waker().wake_by_ref();
        Poll::Pending
    }
}

impl Read for LingeringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        target: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, target)
    }
}

impl Write for LingeringStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.written = Some(Instant::now());
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.written = Some(Instant::now());
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
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
        if self.timer.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
        }
        let linger_time = self.linger_time();
        if linger_time.is_zero() {
            return Poll::Ready(Ok(()));
        }
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(compio::time::sleep(linger_time)));
        let has_expired = timer.as_mut().poll(context).is_ready();
        if has_expired || self.poll_discard(context).is_ready() {
            return Poll::Ready(Ok(()));
        }
        Poll::Pending
    }
}
