//! Connects rollouts to the scheduler and the store: traffic shares, records of runs, and statuses
//! to be stored.

use std::time::{Duration, Instant};

use rollout_judge::FULL_SHARE_PERMILLE;

use super::state::Edge;
use crate::catalog::EndpointEntry;
use crate::ids::ServiceName;
use crate::rollouts::{RolloutStatus, StatusKind, VersionRun};
use crate::scheduler::SchedulerEvent;

/// Number of hosts that write the statuses of rollouts to the store. Another host takes over when
/// the elected one is silent. The store rejects a write by either host that does not know of the
/// other's write.
const STATUS_WRITERS: usize = 1;

impl Edge {
    /// Advances rollouts and passes changed traffic shares to the scheduler.
    pub(super) fn advance_rollouts(&self, now: Instant) {
        let shares = {
            let state = &mut *self.state.borrow_mut();
            if state.rollouts.is_empty() {
                return;
            }
            let scheduler = &state.scheduler;
            let rollouts = &mut state.rollouts;
            rollouts.roll_back_slower_versions(|service| scheduler.min_event_gaps(service, now));
            // A version must not receive a larger share while its completion could not be recorded.
            let may_record = state.feed_positions.is_store_reachable()
                && state.members.is_elected(STATUS_WRITERS, now);
            rollouts.advance(may_record, now)
        };
        for share in shares {
            log::info!(
                service = share.service.as_str(), version = share.version.as_str(),
                permille = share.permille.unwrap_or(FULL_SHARE_PERMILLE);
                "rollout: traffic share changed"
            );
            self.schedule(SchedulerEvent::VersionShareChanged(share));
        }
    }

    /// Records a request that this host sends to an endpoint.
    pub(crate) fn record_version_dispatch(&self, endpoint: &EndpointEntry) {
        self.record_demand_dispatch(&endpoint.service);
        let rollouts = &mut self.state.borrow_mut().rollouts;
        rollouts.record_dispatch(&endpoint.service, &endpoint.version);
    }

    /// Records how fast an endpoint began an answer.
    pub(crate) fn record_initial_pace(&self, endpoint: &EndpointEntry, pace_ms: f64) {
        let (service, version) = (&endpoint.service, &endpoint.version);
        let rollouts = &mut self.state.borrow_mut().rollouts;
        rollouts.record_initial_pace(service, version, pace_ms, Instant::now());
    }

    /// Records a run of this host for the rollouts.
    pub(crate) fn record_run(&self, run: &VersionRun) {
        self.state.borrow_mut().rollouts.record_run(run);
    }

    /// Returns the statuses of rollouts that this host should write to the store, and whether it
    /// must first read the outcome of an order from the store.
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

    /// Applies the status of an order as recorded in the store, or `None` if there is none.
    pub fn apply_rollout_record(
        &self,
        service: &ServiceName,
        order: u64,
        status: Option<(StatusKind, Duration)>,
    ) {
        let now = Instant::now();
        log::info!(
            service = service.as_str(), order = order,
            status = format!("{:?}", status.map(|(kind, _)| kind)).as_str();
            "rollout: status recorded"
        );
        let rollouts = &mut self.state.borrow_mut().rollouts;
        rollouts.apply_stored_status(service, order, status, now);
    }
}
