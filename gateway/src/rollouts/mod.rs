//! Moves traffic to a new version, and judges it meanwhile. Callers use `RolloutBoard`.

mod board;
mod counts;
mod hardware;
mod plan;
mod run;

pub use board::{RolloutBoard, RolloutStatus, StatusWord, VersionShare};
pub use counts::{RolloutLine, RunCounts, SideCounts, merge_lines};
pub use plan::{ExposureBound, RolloutPhase};
pub use run::VersionRun;
