//! Compares the runs of a new version with those of the old one, separately for each route, and
//! splits dispatches between the versions in an exact share. The rollouts of the daemon's pools and
//! of the gateway both use it.

mod route;
mod sequential;
mod settings;

pub use route::{RouteEntry, RouteTable, RunFinding, ShareCount};
pub use sequential::RateCount;
pub use settings::RolloutSettings;

use compact_str::CompactString;

/// Share that covers all runs, in thousandths.
pub const FULL_SHARE_PERMILLE: u16 = 1_000;

type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Version that a run belongs to, relative to a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutSide {
    Old,
    New,
}

/// Outcome of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunObservation {
    pub side: RolloutSide,
    pub endpoint: CompactString,
    pub route: CompactString,
    pub high_load: bool,
    pub failed: bool,
    /// Ratio of the run's time to its predicted time. Predictions for both versions are made in the
    /// same way.
    pub work_time_ratio: f64,
}
