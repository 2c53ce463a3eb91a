//! Counts the requests of this host that began to run, by window and workspace.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{WindowCounts, WindowNumber, millis};
use crate::ids::{FastMap, NameHash};

/// Number of windows that are kept. Reports of older ones are overdue.
const MAX_WINDOWS: usize = 12;

#[derive(Debug)]
pub struct UsageCounter {
    window_ms: u64,
    windows: BTreeMap<WindowNumber, FastMap<NameHash, u32>>,
}

impl UsageCounter {
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window_ms: millis(window).max(1),
            windows: BTreeMap::new(),
        }
    }

    /// Returns the window to which a time of day belongs.
    #[must_use]
    pub fn window_at(&self, fleet_ms: u64) -> WindowNumber {
        fleet_ms / self.window_ms
    }

    /// Counts a request that began to run at `fleet_ms`.
    pub fn record_begun(&mut self, workspace: NameHash, fleet_ms: u64) {
        let window = self.window_at(fleet_ms);
        let counts = self.windows.entry(window).or_default();
        *counts.entry(workspace).or_default() += 1;
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Returns the counts of `first` and later windows.
    #[must_use]
    pub fn counts_from(&self, first: WindowNumber) -> Vec<WindowCounts> {
        let windows = self.windows.range(first..);
        windows
            .map(|(window, counts)| WindowCounts {
                window: *window,
                counts: counts.iter().map(|(hash, count)| (*hash, *count)).collect(),
            })
            .collect()
    }
}
