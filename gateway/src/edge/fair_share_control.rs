//! Passes the shares of workspaces from the usage caps to the scheduler.

use std::time::{Duration, Instant};

use super::state::Edge;
use crate::ids::{FastMap, NameHash, TierNumber, hash_name};
use crate::limits::kept_shares;
use crate::scheduler::SchedulerEvent;

/// Time between two computations of the shares: a fraction of the time over which usage is averaged.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

impl Edge {
    /// Computes the shares of workspaces anew if that is due.
    pub(super) fn update_kept_shares(&self, now: Instant) {
        let shares = {
            let state = &mut *self.state.borrow_mut();
            let last = state.kept_shares_updated;
            if last.is_some_and(|(last, _)| now.duration_since(last) < UPDATE_INTERVAL) {
                return;
            }
            let mut demands = state.caps.recent_demands(now);
            if demands.is_empty() {
                return;
            }
            let routing = state.catalog.routing();
            let tiers: FastMap<NameHash, Option<TierNumber>> = routing
                .workspaces()
                .map(|workspace| (hash_name(&workspace.name), workspace.tier))
                .collect();
            for demand in &mut demands {
                demand.tier = tiers.get(&demand.workspace).copied().flatten();
            }
            let shares = kept_shares(&demands);
            let limited_before = last.map_or(0, |(_, limited)| limited);
            if (limited_before == 0) != shares.is_empty() {
                let lowest = shares.values().copied().fold(1.0, f64::min);
                log::info!(
                    workspaces = demands.len(), limited = shares.len(), lowest_share = lowest;
                    "shares: limited workspaces changed"
                );
            }
            state.kept_shares_updated = Some((now, shares.len()));
            if shares.is_empty() && limited_before == 0 {
                return;
            }
            shares
        };
        self.schedule(SchedulerEvent::KeptSharesChanged(shares));
    }
}
