//! Bytes of an answer that stay in the account until they are written.

use bytes::{Buf, Bytes};

use crate::caller_connection::CallerConnection;
use crate::memory_pool::MemoryHold;

/// Bytes of an answer, with their memory.
#[derive(Debug, Default)]
pub struct HeldBytes {
    bytes: Bytes,
    hold: Option<MemoryHold>,
}

impl HeldBytes {
    #[must_use]
    pub fn new(bytes: Bytes, hold: MemoryHold) -> Self {
        Self {
            bytes,
            hold: Some(hold),
        }
    }

    /// Records that the bytes are sent on a connection, which ends if its caller doesn't read them
    /// while memory is short.
    pub(crate) fn deliver(&self, connection: &CallerConnection) {
        if let Some(hold) = &self.hold {
            hold.deliver(connection.abort_handle());
        }
    }
}

impl From<Bytes> for HeldBytes {
    fn from(bytes: Bytes) -> Self {
        Self { bytes, hold: None }
    }
}

impl Buf for HeldBytes {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
        if let Some(hold) = &self.hold {
            hold.record_progress(count);
        }
    }
}
