//! Response bodies of the gateway.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use hyper::body::{Body, Frame, SizeHint};

use super::body_reader::MemoryHold;

/// Events of a stream. An error closes the connection of the caller.
pub(crate) type EventStream = Pin<Box<dyn Stream<Item = std::io::Result<Bytes>>>>;

/// Body of a reply to a caller.
pub(crate) enum EdgeBody {
    /// A complete body, `None` once it is sent or if it is empty.
    Complete(Option<Bytes>),
    /// A complete body whose memory stays in the account until the HTTP library has taken it.
    Held {
        bytes: Option<Bytes>,
        _memory: MemoryHold,
    },
    /// A stream of events.
    Events(EventStream),
}

impl EdgeBody {
    /// Returns an empty body.
    pub fn empty() -> Self {
        Self::Complete(None)
    }
}

impl Body for EdgeBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match &mut *self {
            Self::Complete(bytes) | Self::Held { bytes, .. } => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Events(events) => events
                .as_mut()
                .poll_next(context)
                .map(|next| next.map(|bytes| bytes.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None) | Self::Held { bytes: None, .. })
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) | Self::Held { bytes, .. } => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Events(_) => SizeHint::default(),
        }
    }
}
