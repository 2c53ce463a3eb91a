//! Tests of the stream below a client connection.

use std::cell::Cell;
use std::io::ErrorKind;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};

use crate::keep_alive::BoundedStream;

/// State of a stream whose writes don't succeed.
#[derive(Clone, Copy, Debug)]
enum WriteState {
    Blocked,
    Failed(ErrorKind),
}

/// Stream that has ended, and that reports the error of a write once.
struct EndedStream {
    state: WriteState,
}

impl EndedStream {
    fn poll_state<T>(&mut self) -> Poll<std::io::Result<T>> {
        match std::mem::replace(&mut self.state, WriteState::Blocked) {
            WriteState::Blocked => Poll::Pending,
            WriteState::Failed(error) => Poll::Ready(Err(error.into())),
        }
    }
}

impl Read for EndedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        _target: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl Write for EndedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        _bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.poll_state()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        self.poll_state()
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        self.poll_state()
    }
}

/// Reads the end of a stream, after a write if `writes_first`.
fn read_end(state: WriteState, writes_first: bool) -> Poll<Result<(), ErrorKind>> {
    let remaining_bytes = Rc::new(Cell::new(usize::MAX));
    let mut stream = BoundedStream::new(EndedStream { state }, remaining_bytes);
    let mut context = Context::from_waker(Waker::noop());
    if writes_first {
        let written = Pin::new(&mut stream).poll_write(&mut context, b"upload");
        assert!(!matches!(written, Poll::Ready(Ok(_))));
    }
    let mut bytes = [0; 16];
    let mut buffer = ReadBuf::new(&mut bytes);
    let read = Pin::new(&mut stream).poll_read(&mut context, buffer.unfilled());
    read.map_err(|error| error.kind())
}

/// Guards against an end that counts as clean because a write consumed the error of the connection.
#[test]
fn an_end_after_a_failed_write_is_an_error() {
    for error in [
        ErrorKind::ConnectionReset,
        ErrorKind::BrokenPipe,
        ErrorKind::TimedOut,
    ] {
        for writes_first in [false, true] {
            let end = read_end(WriteState::Failed(error), writes_first);
            assert_eq!(end, Poll::Ready(Err(error)), "{writes_first}");
        }
    }
}

/// Guards against an end that counts as an error because a write is still waiting.
#[test]
fn an_end_during_a_blocked_write_is_clean() {
    for writes_first in [false, true] {
        let end = read_end(WriteState::Blocked, writes_first);
        assert_eq!(end, Poll::Ready(Ok(())), "{writes_first}");
    }
}
