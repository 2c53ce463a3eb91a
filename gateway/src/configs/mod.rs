//! Settings of each part, with their defaults.

mod scheduler;

pub use scheduler::SchedulerSettings;
