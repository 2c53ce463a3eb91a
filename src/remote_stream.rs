//! Reads a stream at its endpoint for a caller whose home is another host.

use std::net::SocketAddr;
use std::time::Duration;

use http_util::{BodySender, LineReader};

use crate::endpoint_client::{
    MAX_LINE_BYTES, MAX_RESUMES, ReadEnd, buffer_line, open_resume, read_line,
};
use crate::result_code::ResultCode;
use crate::stream_buffer::StreamBuffer;
use crate::stream_hub::{MAX_ANSWER_BYTES, dispatched_line, end_line, send_line, token_line};

/// How reading one connection ended.
enum RemoteEnd {
    Stream(ReadEnd),
    CallerGone,
}

/// Relays an endpoint's stream to a caller from an index on, resuming it after interruptions.
pub(crate) async fn relay_remote_stream(
    address: SocketAddr,
    request_id: &str,
    key: &str,
    from: u32,
    sender: &mut BodySender,
) {
    let head = dispatched_line(key, &address.to_string(), from);
    if !send_line(sender, &head).await {
        return;
    }
    // Reading starts at the first chunk: the buffer then knows when the answer is whole.
    let mut buffer = StreamBuffer::new(MAX_ANSWER_BYTES);
    let mut sent = from;
    let mut resumes = 0;
    let code = loop {
        let before = buffer.len();
        let end = match open_resume(address, request_id, before).await {
            Some(stream) => {
                let mut reader = LineReader::new(stream, MAX_LINE_BYTES);
                read_remote(&mut reader, &mut buffer, &mut sent, sender).await
            }
            None => RemoteEnd::Stream(ReadEnd::Interrupted),
        };
        if buffer.len() > before {
            resumes = 0;
        }
        match end {
            RemoteEnd::CallerGone => return,
            RemoteEnd::Stream(ReadEnd::Done) => break ResultCode::Completed,
            RemoteEnd::Stream(ReadEnd::Failed) => break ResultCode::EndpointFailed,
            RemoteEnd::Stream(ReadEnd::TooLong) => break ResultCode::AnswerTooLarge,
            RemoteEnd::Stream(ReadEnd::Interrupted) if resumes == MAX_RESUMES => {
                break ResultCode::EndpointLost;
            }
            RemoteEnd::Stream(ReadEnd::Interrupted) => {}
        }
        compio::time::sleep(Duration::from_millis(100 << resumes)).await;
        resumes += 1;
    };
    send_line(sender, &end_line(code, buffer.len())).await;
}

async fn read_remote(
    reader: &mut LineReader,
    buffer: &mut StreamBuffer,
    sent: &mut u32,
    sender: &mut BodySender,
) -> RemoteEnd {
    loop {
        let Some(line) = read_line(reader).await else {
            return RemoteEnd::Stream(ReadEnd::Interrupted);
        };
        let end = buffer_line(line, buffer);
        if !send_chunks(buffer, sent, sender).await {
            return RemoteEnd::CallerGone;
        }
        if let Some(end) = end {
            return RemoteEnd::Stream(end);
        }
    }
}

/// Sends the chunks that are complete; false if the caller went away.
async fn send_chunks(buffer: &StreamBuffer, sent: &mut u32, sender: &mut BodySender) -> bool {
    for (index, text) in buffer.chunks_from(*sent) {
        if !send_line(sender, &token_line(index, text)).await {
            return false;
        }
        *sent = index + 1;
    }
    true
}
