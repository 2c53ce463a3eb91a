//! Cuts a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Bytes of an event that has no end yet. What is longer is no event: one holds a few hundred bytes.
pub(crate) const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Bytes came that end no event within the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OversizedEvent;

/// Whole events and the id of the last one.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct CompleteEvents {
    pub bytes: Bytes,
    pub count: u32,
    pub last_id: Option<u64>,
}

/// Holds back the part of an event whose end has not come.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
}

impl EventSplitter {
    /// Takes a chunk and returns the events that are whole now, if any.
    ///
    /// # Errors
    ///
    /// Fails when more bytes came without the end of an event than any event has.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Option<CompleteEvents>, OversizedEvent> {
        // The end may begin with the last byte of what came before; the rest of it was searched.
        let searched = self.partial.len().saturating_sub(1);
        self.partial.extend_from_slice(chunk);
        let end = last_event_end(&self.partial[searched..]).map_or(0, |end| searched + end);
        if self.partial.len() - end > MAX_EVENT_BYTES {
            return Err(OversizedEvent);
        }
        if end == 0 {
            return Ok(None);
        }
        let bytes = self.partial.split_to(end).freeze();
        let (count, last_id) = scan_events(&bytes);
        Ok(Some(CompleteEvents {
            bytes,
            count,
            last_id,
        }))
    }

    /// Drops what came of an unfinished event, before the stream goes on elsewhere.
    pub fn clear(&mut self) {
        self.partial.clear();
    }

    /// Returns the rest after the last whole event of a complete stream.
    pub fn take_remainder(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

fn last_event_end(data: &[u8]) -> Option<usize> {
    let found = data.windows(2).rposition(|pair| pair == b"\n\n");
    found.map(|start| start + 2)
}

fn scan_events(data: &[u8]) -> (u32, Option<u64>) {
    let mut count = 0;
    let mut last_id = None;
    for line in data.split(|byte| *byte == b'\n') {
        if let Some(id) = line.strip_prefix(b"id:") {
            count += 1;
            let text = std::str::from_utf8(id).unwrap_or_default().trim();
            last_id = text.parse().ok().or(last_id);
        }
    }
    (count, last_id)
}
