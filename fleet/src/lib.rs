//! Starts real daemons and stand-ins as processes on loopback addresses, sends them signals and
//! faults, and talks to them as callers and operators do. For integration tests and measurements.

mod client;
mod fleet;
mod plan;
mod process;

pub use client::{CallerStream, Reply, discover, home_key, send, submit_body, unix_seconds};
pub use fleet::{Fleet, wait_until};
pub use plan::{EnginePlan, FleetPlan, ServicePlan, document, token_digest};
pub use process::{Process, binary, run_command};
