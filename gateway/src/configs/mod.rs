//! Settings of each concern, with their defaults.

mod scheduler;

pub use scheduler::SchedulerSettings;
