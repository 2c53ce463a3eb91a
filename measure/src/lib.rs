//! Measurements with real daemons and stand-ins. `docs/measurements.md` says what each figure means.

pub mod control;
pub mod fleets;
pub mod goodput;
pub mod keys;
pub mod latency;
pub mod load;
pub mod plot;
pub mod proc_stat;
pub mod recovery;
pub mod report;
pub mod rollouts;
pub mod scale;
pub mod shapes;
pub mod slope;
pub mod waste;
pub mod zone_move;
