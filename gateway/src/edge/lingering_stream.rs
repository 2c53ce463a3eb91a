//! Closes connections so that no answer is lost.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};

/// Maximum time for which a connection is read after its last answer.
const MAX_LINGER_TIME: Duration = Duration::from_millis(500);
/// Size of a read whose bytes are discarded.
const DISCARD_BYTES: usize = 8 * 1024;
/// Number of such reads after which a connection yields to other tasks.
const MAX_READS_PER_TURN: usize = 8;

type LingerTimer = Pin<Box<dyn Future<Output = ()>>>;

/// Stream that, after its last answer, reads until the peer closes the connection. Closing a socket
/// with unread bytes would reset the connection, and the peer could lose the answer.
pub(crate) struct LingeringStream {
    stream: HyperStream<TcpStream>,
    /// Set once the sending side is closed.
    timer: Option<LingerTimer>,
}

impl LingeringStream {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream: HyperStream::new_plain(stream),
            timer: None,
        }
    }

    /// Discards what the peer sends; returns `Ready` when it has closed the connection.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; DISCARD_BYTES];
        for _ in 0..MAX_READS_PER_TURN {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.stream).poll_read(context, buffer.unfilled()));
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
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
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
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(compio::time::sleep(MAX_LINGER_TIME)));
        let has_expired = timer.as_mut().poll(context).is_ready();
        if has_expired || self.poll_discard(context).is_ready() {
            return Poll::Ready(Ok(()));
        }
        Poll::Pending
    }
}
