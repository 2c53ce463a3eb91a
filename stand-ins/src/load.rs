//! Parts of the load tool.

pub mod caller;
pub mod directory;
pub mod model;
pub mod summary;
pub mod workload;
