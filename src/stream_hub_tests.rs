//! Streams on their way to callers.

use std::time::Duration;

use futures_util::StreamExt;
use http::StatusCode;
use http_body_util::BodyExt;
use http_util::body_channel;

use crate::result_code::ResultCode;
use crate::stream_hub::{StreamHub, StreamSender};

const CHUNKS: u32 = 1_000;
const UNREAD_TIMEOUT: Duration = Duration::from_millis(200);

/// Relays a whole stream to a caller that waits for `pause` before it reads what has come; returns
/// whether all of it was sent.
fn relay_to_caller(pause: Duration) -> bool {
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let hub = StreamHub::default();
        hub.open("key".into());
        hub.update_buffer("key", |buffer| {
            for index in 0..CHUNKS {
                buffer.add_chunk(index, "word ".into());
            }
        });
        hub.end("key", ResultCode::Completed);
        let (body, reply) = body_channel(StatusCode::OK, 1);
        let mut sender = StreamSender {
            body,
            unread_timeout: UNREAD_TIMEOUT,
        };
        let reading = async {
            compio::time::sleep(pause).await;
            let mut frames = reply.into_body().into_data_stream();
            while frames.next().await.is_some() {}
        };
        let relaying = async {
            let is_sent = hub.relay("key", "m1", 0, &mut sender).await;
            drop(sender);
            is_sent
        };
        futures_util::future::join(relaying, reading).await.0
    })
}

/// Guards against a stream that its caller doesn't read and that is kept for ever.
#[test]
fn a_stream_that_is_not_read_ends() {
    assert!(!relay_to_caller(4 * UNREAD_TIMEOUT));
}

/// Guards against a slow caller that loses its stream.
#[test]
fn a_slow_caller_gets_the_whole_stream() {
    assert!(relay_to_caller(UNREAD_TIMEOUT / 4));
}
