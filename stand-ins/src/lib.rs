//! Shared parts of the stand-ins.

pub mod behaviour;
pub mod blocks;
pub mod chance;
pub mod engine;
pub mod host_entries;
pub mod load;
pub mod proxy;
pub mod server;
pub mod signal;
pub mod topic;

pub use blocks::{BLOCK_WORDS, block_hashes};
