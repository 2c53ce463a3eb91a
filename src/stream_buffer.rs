//! Reassembles the chunks of one answer, which may arrive late, twice or out of order.

use std::collections::BTreeMap;

use compact_str::CompactString;

/// Maximum number of chunks behind a gap; beyond it the stream is resumed from the gap.
const MAX_WAITING_CHUNKS: usize = 256;

/// The result of adding a chunk to the buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChunkOutcome {
    /// The chunk extends the contiguous part of the answer.
    Extended,
    /// The buffer already holds the chunk.
    Repeated,
    /// The chunk is held until a missing earlier chunk arrives.
    Waiting,
    /// Too many chunks are held behind a gap; the stream must be resumed from `StreamBuffer::len`.
    GapTooLong,
    /// The answer exceeds the size limit.
    TooLong,
}

/// The chunks of an answer received so far.
#[derive(Debug)]
pub(crate) struct StreamBuffer {
    /// Contiguous chunks from the start of the answer.
    chunks: Vec<CompactString>,
    /// Chunks that follow a gap, by index.
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

    /// Adds the chunk at `index`; chunks may arrive in any order.
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

    /// Returns the number of contiguous chunks from the start of the answer.
    pub(crate) fn len(&self) -> u32 {
        u32::try_from(self.chunks.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether the buffer holds all chunks of an answer of `tokens` chunks.
    pub(crate) fn is_complete(&self, tokens: u32) -> bool {
        self.len() == tokens && self.waiting.is_empty()
    }

    /// Returns the contiguous chunks from index `from` onwards, with their indexes.
    pub(crate) fn chunks_from(&self, from: u32) -> impl Iterator<Item = (u32, &CompactString)> {
        (from..self.len()).zip(self.chunks.iter().skip(from as usize))
    }
}
