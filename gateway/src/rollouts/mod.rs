//! Shifts traffic to a new version of a service while comparing it with the old one. The entry
//! point is [`RolloutController`].

mod controller;
mod counts;
mod endpoint_speed;
mod plan;
mod run;

pub use controller::{RolloutController, RolloutStatus, StatusKind, VersionShare};
pub use counts::{RolloutReport, RunCounts, SideCounts, merge_reports};
pub use plan::{ExposureBound, RolloutPhase};
pub use run::VersionRun;
pub(crate) use run::pace_ms;
