//! Settings of the links between entry hosts.

use std::time::Duration;

/// Limits of the nng sockets between entry hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// Maximum size of a message that is sent or accepted.
    pub max_message_bytes: usize,
    /// Maximum number of messages that are buffered per peer while its connection is slow or down.
    /// Buffered messages are stale when the peer returns, so the buffer only covers a burst, such
    /// as the permits of one full pool.
    pub max_send_buffer_messages: u16,
    /// Maximum number of received messages that wait for the event loop; further messages are
    /// dropped and counted.
    pub max_inbox_messages: usize,
    pub min_reconnect_delay: Duration,
    pub max_reconnect_delay: Duration,
    /// Time after which a peer is disconnected if no message was sent to it.
    pub idle_timeout: Duration,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            max_message_bytes: crate::message_codec::MAX_MESSAGE_BYTES,
            max_send_buffer_messages: 1024,
            max_inbox_messages: 4096,
            min_reconnect_delay: Duration::from_millis(100),
            max_reconnect_delay: Duration::from_secs(1),
            idle_timeout: Duration::from_mins(1),
        }
    }
}
