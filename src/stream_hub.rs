//! Buffers the streams of running and recently ended requests and relays them to callers.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::SinkExt;
use http_util::BodySender;
use serde_json::json;

use crate::ids::{FastMap, RequestKey};
use crate::result_code::ResultCode;
use crate::stream_buffer::StreamBuffer;

/// Maximum size of a buffered answer.
pub(crate) const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of chunks in one write to a caller.
const CHUNKS_PER_WRITE: usize = 64;

struct StreamEntry {
    buffer: StreamBuffer,
    end: Option<ResultCode>,
    /// Wakes the readers that wait for more chunks or the end.
    waiting: Vec<oneshot::Sender<()>>,
}

/// The stream buffers, shared by the tasks that fill and those that read them, all on one thread.
#[derive(Clone, Default)]
pub(crate) struct StreamHub {
    streams: Rc<RefCell<FastMap<RequestKey, StreamEntry>>>,
}

/// The way of a stream to its caller.
pub(crate) struct StreamSender {
    pub(crate) body: BodySender,
    /// Time in which the caller has to take something.
    pub(crate) unread_timeout: Duration,
}

impl StreamSender {
    /// Sends bytes; returns false if the caller closed the connection or takes nothing.
    async fn send(&mut self, bytes: Vec<u8>) -> bool {
        let sending = self.body.send(Bytes::from(bytes));
        let sent = compio::time::timeout(self.unread_timeout, sending).await;
        sent.is_ok_and(|sent| sent.is_ok())
    }
}

/// The next step of a reader, from the current state of its stream.
enum ReadStep {
    Lines { lines: Vec<u8>, next: u32 },
    Ended(ResultCode),
    Wait(oneshot::Receiver<()>),
    Unknown,
}

impl StreamHub {
    pub(crate) fn open(&self, key: RequestKey) {
        self.streams
            .borrow_mut()
            .entry(key)
            .or_insert_with(|| StreamEntry {
                buffer: StreamBuffer::new(MAX_ANSWER_BYTES),
                end: None,
                waiting: Vec::new(),
            });
    }

    /// Applies `change` to the buffer of a stream and wakes the readers that wait for chunks if the
    /// buffer grew. Returns `None` if there is no such stream.
    pub(crate) fn update_buffer<T>(
        &self,
        key: &str,
        change: impl FnOnce(&mut StreamBuffer) -> T,
    ) -> Option<T> {
        let mut streams = self.streams.borrow_mut();
        let entry = streams.get_mut(key)?;
        let before = entry.buffer.len();
        let result = change(&mut entry.buffer);
        if entry.buffer.len() > before {
            // A dropped sender wakes its reader.
            entry.waiting.clear();
        }
        Some(result)
    }

    /// Returns the number of contiguous chunks from the start of a stream.
    pub(crate) fn len(&self, key: &str) -> u32 {
        let streams = self.streams.borrow();
        streams.get(key).map_or(0, |entry| entry.buffer.len())
    }

    /// Returns the number of bytes in the buffer of a stream.
    pub(crate) fn stream_bytes(&self, key: &str) -> usize {
        let streams = self.streams.borrow();
        streams.get(key).map_or(0, |entry| entry.buffer.bytes())
    }

    /// Ends a stream; later calls keep the first result code.
    pub(crate) fn end(&self, key: &str, code: ResultCode) {
        if let Some(entry) = self.streams.borrow_mut().get_mut(key) {
            entry.end.get_or_insert(code);
            // A dropped sender wakes its reader.
            entry.waiting.clear();
        }
    }

    pub(crate) fn remove(&self, key: &str) {
        self.streams.borrow_mut().remove(key);
    }

    /// Returns the number of bytes in all buffers.
    pub(crate) fn bytes(&self) -> usize {
        let streams = self.streams.borrow();
        streams.values().map(|entry| entry.buffer.bytes()).sum()
    }

    /// Returns the next lines of a stream, its end, or a receiver that wakes at the next change.
    fn read(&self, key: &str, from: u32) -> ReadStep {
        let mut streams = self.streams.borrow_mut();
        let Some(entry) = streams.get_mut(key) else {
            return ReadStep::Unknown;
        };
        let mut lines = Vec::new();
        let mut next = from;
        for (index, text) in entry.buffer.chunks_from(from).take(CHUNKS_PER_WRITE) {
            push_line(&mut lines, &token_line(index, text));
            next = index + 1;
        }
        if !lines.is_empty() {
            return ReadStep::Lines { lines, next };
        }
        if let Some(code) = entry.end {
            return ReadStep::Ended(code);
        }
        let (sender, receiver) = oneshot::channel();
        entry.waiting.push(sender);
        ReadStep::Wait(receiver)
    }

    /// Sends a stream to a caller from index `from` onwards. Returns false if the caller closed the
    /// connection or doesn't read.
    pub(crate) async fn relay(
        &self,
        key: &str,
        endpoint: &str,
        from: u32,
        sender: &mut StreamSender,
    ) -> bool {
        let mut next = from;
        if !send_line(sender, &dispatched_line(key, endpoint, from)).await {
            return false;
        }
        loop {
            match self.read(key, next) {
                ReadStep::Lines { lines, next: after } => {
                    if !sender.send(lines).await {
                        return false;
                    }
                    next = after;
                }
                ReadStep::Ended(code) => return send_line(sender, &end_line(code, next)).await,
                ReadStep::Unknown => {
                    return send_line(sender, &end_line(ResultCode::KeyUnknown, next)).await;
                }
                ReadStep::Wait(receiver) => {
                    if !wait_or_closed(receiver, sender).await {
                        return false;
                    }
                }
            }
        }
    }
}

/// Waits for a change of the stream; returns false if the caller closes the connection first.
async fn wait_or_closed(receiver: oneshot::Receiver<()>, sender: &StreamSender) -> bool {
    use futures_util::future::{Either, select};
    // The body channel does not signal that its receiver was dropped, so the closing is polled.
    let closed = std::pin::pin!(async {
        loop {
            compio::time::sleep(Duration::from_millis(200)).await;
            if sender.body.is_closed() {
                return;
            }
        }
    });
    match select(receiver, closed).await {
        Either::Left(_) => true,
        Either::Right(((), _)) => false,
    }
}

/// Returns the first line of a stream.
pub(crate) fn dispatched_line(key: &str, endpoint: &str, from: u32) -> serde_json::Value {
    json!({"event": "dispatched", "key": key, "endpoint": endpoint, "from": from})
}

/// Returns the line of one chunk.
pub(crate) fn token_line(index: u32, text: &str) -> serde_json::Value {
    json!({"event": "token", "index": index, "text": text})
}

/// Returns the last line of a stream.
pub(crate) fn end_line(code: ResultCode, tokens: u32) -> serde_json::Value {
    match code {
        ResultCode::Completed => json!({"event": "done", "tokens": tokens}),
        _ => json!({
            "event": "failed", "code": code.number(), "ran": code.ran(), "message": code.message(),
        }),
    }
}

fn push_line(lines: &mut Vec<u8>, value: &serde_json::Value) {
    lines.extend_from_slice(value.to_string().as_bytes());
    lines.push(b'\n');
}

/// Sends one NDJSON line; returns false if the caller closed the connection or doesn't read.
pub(crate) async fn send_line(sender: &mut StreamSender, value: &serde_json::Value) -> bool {
    let mut line = Vec::new();
    push_line(&mut line, value);
    sender.send(line).await
}
