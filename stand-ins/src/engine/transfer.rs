//! Reading of streams, and export and import of their KV cache.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_util::BodySender;
use serde::{Deserialize, Serialize};

use crate::engine::state::Engine;
use crate::engine::stream::{StreamEnd, StreamPhase, StreamState};
use crate::server::send_chunk;
use crate::signal::Signal;

/// Interval at which a waiting reader checks that its peer is still connected.
const PEER_CHECK: Duration = Duration::from_millis(200);
/// Longest piece of a stream that is sent at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// The KV cache of a stream as it is exported and imported.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KvExport {
    pub model: String,
    pub route: String,
    pub prompt_tokens: u32,
    pub max_tokens: u32,
    /// Prompt tokens whose cache is part of the export.
    pub computed_tokens: u32,
    /// Answer tokens that the stream has produced.
    pub produced: u32,
    pub blocks: Vec<String>,
}

/// Counts a reader as waiting while it exists, so that its stream does not count as unread.
struct WaitingReader<'a> {
    engine: &'a Engine,
    request_id: &'a str,
}

impl<'a> WaitingReader<'a> {
    fn new(engine: &'a Engine, request_id: &'a str) -> Self {
        if let Some(stream) = engine.state().streams.get_mut(request_id) {
            stream.waiting_readers += 1;
        }
        Self { engine, request_id }
    }
}

impl Drop for WaitingReader<'_> {
    fn drop(&mut self) {
        if let Some(stream) = self.engine.state().streams.get_mut(self.request_id) {
            stream.waiting_readers = stream.waiting_readers.saturating_sub(1);
            stream.last_read = Instant::now();
        }
    }
}

/// What a reader finds at its position.
enum ReadStep {
    Send { text: String, next: u32, last: bool },
    Wait(Rc<Signal>),
    Gone,
}

impl Engine {
    /// Sends a stream from token `from` on until it ends or the peer disconnects.
    pub async fn send_stream(&self, request_id: &str, from: u32, mut sender: BodySender) {
        let mut position = None;
        loop {
            match self.read_step(request_id, position, from) {
                ReadStep::Send { text, next, last } => {
                    position = Some(next);
                    if !send_chunk(&mut sender, Bytes::from(text)).await || last {
                        return;
                    }
                }
                ReadStep::Wait(signal) => {
                    let _reader = WaitingReader::new(self, request_id);
                    signal.wait_at_most(PEER_CHECK).await;
                    if sender.is_closed() {
                        return;
                    }
                }
                ReadStep::Gone => return,
            }
        }
    }

    // A position of `None` means that the start line has not been sent.
    fn read_step(&self, request_id: &str, position: Option<u32>, from: u32) -> ReadStep {
        let mut state = self.state();
        let Some(stream) = state.streams.get_mut(request_id) else {
            return ReadStep::Gone;
        };
        stream.last_read = Instant::now();
        let mut text = String::new();
        if position.is_none()
            && let Some(line) = stream.start_line()
        {
            text.push_str(&line);
        }
        let mut next = position.unwrap_or(from);
        let has_started = position.is_some() || !text.is_empty() || stream.is_ended();
        while has_started && text.len() < CHUNK_BYTES {
            // A position beyond the last token of an ended stream gets the last line.
            let Some(line) = stream.line(next) else {
                break;
            };
            text.push_str(&line.text);
            next = next.saturating_add(1);
            if line.last {
                return ReadStep::Send {
                    text,
                    next,
                    last: true,
                };
            }
        }
        if text.is_empty() {
            return ReadStep::Wait(Rc::clone(&stream.signal));
        }
        ReadStep::Send {
            text,
            next,
            last: false,
        }
    }

    /// Waits for the end of a stream as its reader; `None` when it is unknown.
    pub async fn wait_end(&self, request_id: &str) -> Option<StreamEnd> {
        loop {
            let signal = {
                let state = self.state();
                let stream = state.streams.get(request_id)?;
                if let StreamPhase::Ended(end) = &stream.phase {
                    return Some(end.clone());
                }
                Rc::clone(&stream.signal)
            };
            let _reader = WaitingReader::new(self, request_id);
            signal.wait_at_most(PEER_CHECK).await;
        }
    }

    /// Exports the KV cache of a stream; `None` when it is unknown.
    #[must_use]
    pub fn export_kv(&self, request_id: &str) -> Option<KvExport> {
        let state = self.state();
        let stream = state.streams.get(request_id)?;
        Some(KvExport {
            model: stream.model.clone(),
            route: stream.route.clone(),
            prompt_tokens: stream.prompt_tokens,
            max_tokens: stream.max_tokens,
            computed_tokens: stream.cached_tokens + stream.prefilled_tokens,
            produced: stream.produced,
            blocks: stream
                .blocks
                .iter()
                .map(|block| format!("{block:016x}"))
                .collect(),
        })
    }

    /// Imports a KV cache; its stream goes on after the tokens that were already produced.
    /// Returns false when the request id is in use.
    ///
    /// # Errors
    ///
    /// Names the field that is malformed.
    pub fn import_kv(&self, request_id: &str, export: KvExport) -> Result<bool, String> {
        let parse = |block: &String| u64::from_str_radix(block, 16);
        let blocks: Result<Vec<u64>, _> = export.blocks.iter().map(parse).collect();
        let blocks = blocks.map_err(|_| "blocks holds a malformed hash")?;
        if export.produced > export.max_tokens || export.computed_tokens > export.prompt_tokens {
            return Err("produced or computed_tokens is out of range".to_owned());
        }
        let mut state = self.state();
        if state.streams.contains_key(request_id) {
            return Ok(false);
        }
        let stream = StreamState {
            blocks,
            prompt_tokens: export.prompt_tokens,
            cached_tokens: export.computed_tokens,
            produced: export.produced,
            route_factor: state.faults.route_factor(&export.route),
            ..StreamState::new(
                export.model,
                export.route,
                export.max_tokens,
                Instant::now(),
            )
        };
        state.stats.imported += 1;
        state.queue(request_id.to_owned(), stream);
        drop(state);
        self.wake.notify();
        Ok(true)
    }
}
