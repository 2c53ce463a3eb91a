//! Response bodies of the gateway.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Buf, Bytes};
use caller_limits::HeldBytes;
use futures_util::Stream;
use hyper::body::{Body, Frame, SizeHint};

/// Events of a stream. An error closes the connection of the caller.
pub(crate) type EventStream = Pin<Box<dyn Stream<Item = std::io::Result<Bytes>>>>;

/// Body of a reply to a caller.
pub(crate) enum EdgeBody {
    /// A complete body, `None` once it is sent or if it is empty. Its memory stays in the account
    /// until it is written.
    Complete(Option<HeldBytes>),
    /// A stream of events.
    Events(EventStream),
}

impl EdgeBody {
    /// Returns an empty body.
    pub fn empty() -> Self {
        Self::Complete(None)
    }

    /// Returns a body that this host has made itself.
    pub fn complete(bytes: impl Into<Bytes>) -> Self {
        Self::Complete(Some(bytes.into().into()))
    }
}

impl Body for EdgeBody {
    type Data = HeldBytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<HeldBytes>, std::io::Error>>> {
        match &mut *self {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Events(events) => events
                .as_mut()
                .poll_next(context)
                .map(|next| next.map(|bytes| bytes.map(|bytes| Frame::data(bytes.into())))),
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
            Self::Events(_) => SizeHint::default(),
        }
    }
}
