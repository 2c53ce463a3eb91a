//! Relays a stream from its endpoint to a caller when the home of the request is another host.

use std::net::SocketAddr;
use std::time::Duration;

use http_util::LineReader;

use crate::endpoint_client::{
    MAX_LINE_BYTES, MAX_RESUMES, ReadEnd, buffer_line, open_resume, read_line,
};
use crate::result_code::ResultCode;
use crate::stream_buffer::StreamBuffer;
use crate::stream_hub::{
    MAX_ANSWER_BYTES, StreamSender, dispatched_line, end_line, send_line, token_line,
};

/// Why reading from one connection to the endpoint ended.
enum RemoteEnd {
    Stream(ReadEnd),
    CallerGone,
}

/// Relays the stream of an endpoint to a caller from index `from` onwards, and resumes it after
/// interruptions. Returns false if the caller closed the connection or doesn't read.
pub(crate) async fn relay_remote_stream(
    address: SocketAddr,
    request_id: &str,
    key: &str,
    from: u32,
    sender: &mut StreamSender,
) -> bool {
    let head = dispatched_line(key, &address.to_string(), from);
    if !send_line(sender, &head).await {
        return false;
    }
    // Reads from the first chunk so that the buffer can tell when the answer is complete.
    let mut buffer = StreamBuffer::new(MAX_ANSWER_BYTES);
    let mut next = from;
    let mut resumes = 0;
    let code = loop {
        let len_before = buffer.len();
        let end = match open_resume(address, request_id, len_before).await {
            Some(stream) => {
                let mut reader = LineReader::new(stream, MAX_LINE_BYTES);
                read_connection(&mut reader, &mut buffer, &mut next, sender).await
            }
            None => RemoteEnd::Stream(ReadEnd::Interrupted),
        };
        if buffer.len() > len_before {
            resumes = 0;
        }
        match end {
            RemoteEnd::CallerGone => return false,
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
    send_line(sender, &end_line(code, buffer.len())).await
}

/// Reads lines from one connection into the buffer and forwards complete chunks to the caller.
async fn read_connection(
    reader: &mut LineReader,
    buffer: &mut StreamBuffer,
    next: &mut u32,
    sender: &mut StreamSender,
) -> RemoteEnd {
    loop {
        let Some(line) = read_line(reader).await else {
            return RemoteEnd::Stream(ReadEnd::Interrupted);
        };
        let end = buffer_line(line, buffer);
        if !send_chunks(buffer, next, sender).await {
            return RemoteEnd::CallerGone;
        }
        if let Some(end) = end {
            return RemoteEnd::Stream(end);
        }
    }
}

/// Sends the contiguous chunks that were not sent yet; returns false if the caller closed the
/// connection.
async fn send_chunks(buffer: &StreamBuffer, next: &mut u32, sender: &mut StreamSender) -> bool {
    for (index, text) in buffer.chunks_from(*next) {
        if !send_line(sender, &token_line(index, text)).await {
            return false;
        }
        *next = index + 1;
    }
    true
}
