//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an incomplete event. Events usually hold a few hundred bytes, so that longer
/// data is not an event.
pub(crate) const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Error for an event that is longer than the maximum size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OversizedEvent;

/// Complete events and the id of the last one.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct CompleteEvents {
    pub bytes: Bytes,
    pub count: u32,
    pub last_id: Option<u64>,
}

/// Buffers the beginning of an event until its end is received.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
}

impl EventSplitter {
    /// Adds a chunk and returns the events that are complete now, if any.
    ///
    /// # Errors
    ///
    /// Returns an error if the incomplete event exceeds the maximum size.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Option<CompleteEvents>, OversizedEvent> {
        // The delimiter may start with the last byte of the earlier chunks; the bytes before it
        // have been searched already.
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

    /// Returns whether no incomplete event is buffered.
    #[must_use]
    pub fn is_at_event_end(&self) -> bool {
        self.partial.is_empty()
    }

    /// Discards an incomplete event before the stream is resumed at another endpoint.
    pub fn clear(&mut self) {
        self.partial.clear();
    }

    /// Removes and returns the bytes after the last complete event of a stream that has ended.
    pub fn take_remainder(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

/// Returns the position after the last event delimiter.
fn last_event_end(data: &[u8]) -> Option<usize> {
    let found = data.windows(2).rposition(|pair| pair == b"\n\n");
    found.map(|start| start + 2)
}

/// Returns the number of event ids and the last valid id.
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
