//! Stream of a caller's connection with bounded buffers, which records the caller's progress.

use std::io::IoSlice;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};

use crate::caller_connection::CallerConnection;
use crate::write_limiter::WriteLimiter;

/// Maximum size of a single read. The HTTP library's read buffer would grow with larger ones.
const MAX_READ_BYTES: usize = 4 * 1024;

/// A caller's stream.
#[derive(Debug)]
pub struct CallerStream<S> {
    stream: S,
    limiter: WriteLimiter,
    connection: CallerConnection,
}

impl<S> CallerStream<S> {
    pub fn new(stream: S, connection: CallerConnection) -> Self {
        Self {
            stream,
            limiter: WriteLimiter::default(),
            connection,
        }
    }

    /// Returns the stream without its limits, to discard what the caller still sends.
    pub fn inner_mut(&mut self) -> &mut S {
        &mut self.stream
    }

    fn record_write(&self, written: &Poll<std::io::Result<usize>>) {
        self.connection.set_write_blocked(written.is_pending());
        if let Poll::Ready(Ok(bytes)) = written {
            self.connection.record_written(*bytes);
        }
    }
}

impl<S: Read + Unpin> Read for CallerStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut target: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let mut bytes = [0; MAX_READ_BYTES];
        let length = target.remaining().min(MAX_READ_BYTES);
        let mut buffer = ReadBuf::new(&mut bytes[..length]);
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer.unfilled()))?;
        let filled = buffer.filled();
        if !self.connection.record_read(filled.len()) {
            return Poll::Ready(Err(std::io::ErrorKind::OutOfMemory.into()));
        }
        target.put_slice(filled);
        Poll::Ready(Ok(()))
    }
}

impl<S: Write + Unpin> Write for CallerStream<S> {
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
        parts: &[IoSlice<'_>],
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
        self.connection.set_write_blocked(flushed.is_pending());
        flushed
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
