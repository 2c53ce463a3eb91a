//! One account for the memory that bodies of requests and responses occupy in a process.
//! `MemoryAccount` decides, without a network, who gets memory and who gives it back when it is
//! short; `docs/design/memory.md` describes the design.

mod account;

pub use account::{BodyUse, HolderNumber, MemoryAccount, MemoryUsage, ReserveOutcome};
