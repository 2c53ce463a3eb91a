//! Keeps a stream from buffering whole messages.

use std::io::IoSlice;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use hyper::rt::Write;

/// Bytes that are written before the stream's own buffer is flushed. That buffer would otherwise hold
/// a copy of a whole body, up to 64 MiB.
const MAX_UNFLUSHED_BYTES: usize = 16 * 1024;

/// Counts the bytes that a stream may still hold in its buffer, and flushes it regularly.
#[derive(Debug, Default)]
pub struct WriteLimiter {
    unflushed_bytes: usize,
}

impl WriteLimiter {
    /// Writes a part of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns the error of the stream.
    pub fn poll_write<W: Write + Unpin>(
        &mut self,
        stream: &mut W,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        if self.unflushed_bytes >= MAX_UNFLUSHED_BYTES {
            ready!(Pin::new(&mut *stream).poll_flush(context))?;
            self.unflushed_bytes = 0;
        }
        let length = bytes.len().min(MAX_UNFLUSHED_BYTES - self.unflushed_bytes);
        let written = ready!(Pin::new(stream).poll_write(context, &bytes[..length]))?;
        self.unflushed_bytes += written;
        Poll::Ready(Ok(written))
    }

    /// Writes a part of the first of `parts` that isn't empty.
    ///
    /// # Errors
    ///
    /// Returns the error of the stream.
    pub fn poll_write_vectored<W: Write + Unpin>(
        &mut self,
        stream: &mut W,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let first = parts.iter().find(|part| !part.is_empty());
        let first = first.map_or(&[][..], |part| part);
        self.poll_write(stream, context, first)
    }
}
