//! Divides the memory of a host.

/// Memory of the program itself, its tables and its connections to endpoints.
const PROGRAM_BYTES: usize = 16 * 1024 * 1024;
/// Part of the other memory for the account of bodies, in percent.
const BODY_PERCENT: usize = 50;
/// Part of it for the connections of callers, in percent.
const CONNECTION_PERCENT: usize = 30;
/// Maximum memory that a connection occupies besides what is drawn from the account.
const MAX_BYTES_PER_CONNECTION: usize = 56 * 1024;

/// What callers may occupy on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Budget of the account.
    pub body_bytes: usize,
    /// Number of connections for which there is memory.
    pub max_connections: usize,
}

impl MemoryPlan {
    /// Divides the memory of a host. One that is too small for the program still serves a few callers.
    #[must_use]
    pub fn new(memory_bytes: usize) -> Self {
        let divided_bytes = memory_bytes
            .saturating_sub(PROGRAM_BYTES)
            .max(memory_bytes / 4);
        Self {
            body_bytes: divided_bytes / 100 * BODY_PERCENT,
            max_connections: divided_bytes / 100 * CONNECTION_PERCENT / MAX_BYTES_PER_CONNECTION,
        }
    }
}
