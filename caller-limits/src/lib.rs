//! Bounds what callers that aren't controlled occupy in a process. `docs/design/memory.md` describes
//! the design.
//!
//! - `MemoryPlan` divides the memory of a host.
//! - `MemoryAccount` decides, without a network, which bodies may grow and which give their memory
//!   back; `MemoryPool` shares it, and `read_whole_body`, `HeldBytes` and `HeldText` draw from it.
//! - `ConnectionTable` decides which connections stay open, and `CallerStream` tells it of their
//!   progress.

mod answer_body;
mod body_buffer;
mod body_reader;
mod caller_connection;
mod caller_stream;
mod connection_table;
#[cfg(test)]
mod connection_tests;
mod held_bytes;
mod held_text;
mod memory_account;
mod memory_plan;
mod memory_pool;
mod progress_meter;
mod write_limiter;

pub use answer_body::AnswerBody;
pub use body_reader::{ReadFailure, read_whole_body};
pub use caller_connection::CallerConnection;
pub use caller_stream::CallerStream;
pub use connection_table::{AdmittedConnection, ConnectionTable};
pub use held_bytes::HeldBytes;
pub use held_text::HeldText;
pub use memory_account::{BodyUse, HolderNumber, MemoryAccount, MemoryUsage, ReserveOutcome};
pub use memory_plan::MemoryPlan;
pub use memory_pool::{MemoryHold, MemoryPool};
pub use write_limiter::WriteLimiter;

/// Hash map with a fast hasher, for keys that callers don't choose.
pub(crate) type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;
