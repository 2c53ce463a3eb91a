//! A model engine with continuous batching.

pub mod cache;
pub mod faults;
pub mod load;
pub mod settings;
pub mod state;
pub mod stats;
pub mod steps;
pub mod stream;
pub mod transfer;
