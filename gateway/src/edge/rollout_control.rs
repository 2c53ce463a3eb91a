//! What the host does for rollouts: shares, what its runs teach, what the store should hold.

use std::time::{Duration, Instant};

use rollout_judge::FULL_SHARE_PERMILLE;

use super::state::Edge;
use crate::ids::ServiceName;
use crate::rollouts::{RolloutStatus, StatusKind, VersionRun};
use crate::scheduler::SchedulerEvent;

/// Hosts that record the statuses of rollouts. Another one takes over when it is silent; the store
/// refuses what either writes without knowing of the other.
const STATUS_WRITERS: usize = 1;

impl Edge {
    /// Moves rollouts on, and has the scheduler keep the shares that changed.
    pub(super) fn advance_rollouts(&self, now: Instant) {
        let shares = {
            let state = &mut *self.state.borrow_mut();
            if state.rollouts.is_empty() {
                return;
            }
            let scheduler = &state.scheduler;
            let rollouts = &mut state.rollouts;
            rollouts.roll_back_slower_versions(|service| scheduler.min_event_gaps(service, now));
            // A version that could not be recorded as completed must not get more.
            let records = state.feed_positions.is_store_reachable()
                && state.members.is_elected(STATUS_WRITERS, now);
            rollouts.advance(records, now)
        };
        for share in shares {
            log::info!(
                service = share.service.as_str(), version = share.version.as_str(),
                permille = share.permille.unwrap_or(FULL_SHARE_PERMILLE);
                "rollout: share"
            );
            self.schedule(SchedulerEvent::VersionShareChanged(share));
        }
    }

    /// Learns from a run of this host for the rollouts.
    pub(crate) fn record_run(&self, run: &VersionRun) {
        self.state.borrow_mut().rollouts.record_run(run);
    }

    /// Statuses of rollouts that this host should record in the store, and whether it must first
    /// ask what became of an order.
    #[must_use]
    pub fn rollouts_to_record(&self) -> (Vec<RolloutStatus>, bool) {
        let now = Instant::now();
        let state = self.state.borrow();
        if !state.members.is_elected(STATUS_WRITERS, now) {
            return (Vec::new(), false);
        }
        (
            state.rollouts.statuses(now),
            state.rollouts.has_unknown_phase(),
        )
    }

    /// Takes what the store holds about an order; `None` when it holds nothing.
    pub fn apply_rollout_record(
        &self,
        service: &ServiceName,
        order: u64,
        status: Option<(StatusKind, Duration)>,
    ) {
        let now = Instant::now();
        log::info!(
            service = service.as_str(), order = order,
            status = format!("{:?}", status.map(|(word, _)| word)).as_str();
            "rollout: recorded"
        );
        let rollouts = &mut self.state.borrow_mut().rollouts;
        rollouts.apply_stored_status(service, order, status, now);
    }
}
