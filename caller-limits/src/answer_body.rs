//! Body of an answer, which tells its connection when it has been handed over.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use hyper::body::{Body, Frame, SizeHint};

use crate::caller_connection::CallerConnection;
use crate::held_bytes::HeldBytes;

/// Body of an answer on a connection.
#[derive(Debug)]
pub struct AnswerBody<B> {
    body: B,
    connection: CallerConnection,
}

impl<B> AnswerBody<B> {
    pub fn new(body: B, connection: CallerConnection) -> Self {
        connection.begin_answer();
        Self { body, connection }
    }
}

impl<B: Body<Data = HeldBytes> + Unpin> Body for AnswerBody<B> {
    type Data = HeldBytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<HeldBytes>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if let Some(Ok(frame)) = &frame
            && let Some(bytes) = frame.data_ref()
        {
            bytes.deliver(&self.connection);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for AnswerBody<B> {
    fn drop(&mut self) {
        self.connection.end_answer();
    }
}
