//! Puts the chunks of one answer in order: late, doubled and reordered chunks included.

use std::collections::BTreeMap;

use compact_str::CompactString;

/// Chunks that may wait for an earlier one before the stream is resumed from the gap.
const MAX_WAITING_CHUNKS: usize = 256;

/// What a chunk did to the buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChunkOutcome {
    /// The chunk extended the answer.
    Extended,
    /// The chunk was known already.
    Repeated,
    /// An earlier chunk is missing.
    Waiting,
    /// Too many chunks wait; the stream must be resumed from `StreamBuffer::len`.
    GapTooLong,
    /// The answer is longer than the limit.
    TooLong,
}

/// The answer so far, complete from the first chunk on.
#[derive(Debug)]
pub(crate) struct StreamBuffer {
    chunks: Vec<CompactString>,
    waiting: BTreeMap<u32, CompactString>,
    bytes: usize,
    limit_bytes: usize,
}

impl StreamBuffer {
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self {
            chunks: Vec::new(),
            waiting: BTreeMap::new(),
            bytes: 0,
            limit_bytes,
        }
    }

    /// Adds the chunk with an index, in any order.
    pub(crate) fn add_chunk(&mut self, index: u32, text: CompactString) -> ChunkOutcome {
        let next = self.len();
        if index < next || self.waiting.contains_key(&index) {
            return ChunkOutcome::Repeated;
        }
        if self.bytes + text.len() > self.limit_bytes {
            return ChunkOutcome::TooLong;
        }
        self.bytes += text.len();
        if index > next {
            self.waiting.insert(index, text);
            return if self.waiting.len() > MAX_WAITING_CHUNKS {
                ChunkOutcome::GapTooLong
            } else {
                ChunkOutcome::Waiting
            };
        }
        self.chunks.push(text);
        while let Some(text) = self.waiting.remove(&self.len()) {
            self.chunks.push(text);
        }
        ChunkOutcome::Extended
    }

    /// Number of chunks that are complete from the start.
    pub(crate) fn len(&self) -> u32 {
        u32::try_from(self.chunks.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether an answer of `tokens` chunks is here as a whole.
    pub(crate) fn is_complete(&self, tokens: u32) -> bool {
        self.len() == tokens && self.waiting.is_empty()
    }

    /// The complete chunks from an index on, with their indexes.
    pub(crate) fn chunks_from(&self, from: u32) -> impl Iterator<Item = (u32, &CompactString)> {
        (from..self.len()).zip(self.chunks.iter().skip(from as usize))
    }
}
