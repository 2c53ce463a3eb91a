//! Limits of the operators' port.

use std::time::Duration;

#[derive(Clone, Copy, Debug)]
pub struct OperatorLimits {
    /// Connections at the same time; calls on further ones are refused with code 1110.
    pub max_connections: usize,
    /// Calls at the same time on all connections; further ones are refused with code 1309.
    /// Their messages draw from the account of memory.
    pub max_calls: usize,
    /// Calls at the same time on one connection.
    pub max_streams: u32,
    /// Longest request message; a longer one is refused with code 1102.
    pub max_message_bytes: usize,
    /// Longest request head.
    pub max_header_bytes: u32,
    /// Time allowed for a request message to arrive; code 1103 after that.
    pub body_timeout: Duration,
    /// Time after which a connection without any call is closed.
    pub first_call_timeout: Duration,
    /// Time between the pings that find out whether a peer is still there.
    pub keep_alive_interval: Duration,
    /// Time allowed for the answer to a ping.
    pub keep_alive_timeout: Duration,
}

impl Default for OperatorLimits {
    fn default() -> Self {
        Self {
            max_connections: 64,
            max_calls: 16,
            max_streams: 32,
            max_message_bytes: 8 * 1024 * 1024,
            max_header_bytes: 16 * 1024,
            body_timeout: Duration::from_secs(10),
            first_call_timeout: Duration::from_secs(10),
            keep_alive_interval: Duration::from_secs(20),
            keep_alive_timeout: Duration::from_secs(10),
        }
    }
}
