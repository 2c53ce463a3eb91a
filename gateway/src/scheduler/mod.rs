//! Decides which endpoint runs which request, and when. Callers use `SchedulerState::reduce`.

mod brittle_services;
mod choice;
mod cold_gate;
mod endpoint_health;
mod endpoint_load;
mod endpoint_signals;
mod pace;
pub mod plain_admission;
mod queue;
mod service_load;
mod shared_load;
mod state;
mod tier_shares;
mod types;
mod version_shares;

pub use service_load::ServiceLoad;
pub use state::SchedulerState;
pub use types::{
    EndpointReport, PaceReport, RefusalReason, RunEnd, SchedulerEffect, SchedulerEvent, WorkItem,
};
