//! Connects the duties to the datagrams between hosts, the scheduler and the platform.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use super::state::Edge;
use crate::catalog::ServiceEntry;
use crate::duties::{
    AppendOutcome, BootTime, CallOutcome, CandidateRank, CapacityObservation, ClockReading,
    DutyCall, DutyHosts, DutyListing, DutyLogAction, DutyPoll, DutyReply,
};
use crate::ids::{FastMap, HostAddress, NameHash, ServiceName, WorkspaceName, hash_name};

/// Number of hosts that take over first in a fleet without hubs.
const PREFERRED_CANDIDATES: usize = 2;

/// Reads the clock that runs on while the machine is suspended, and the time of day.
pub(crate) fn read_clocks() -> ClockReading {
    let boot = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(boot.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(boot.tv_nsec).unwrap_or(0);
    ClockReading {
        boot: BootTime::new(seconds, nanos),
        wall: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default(),
    }
}

impl Edge {
    /// Counts a request of a workspace that began to run at `begun`.
    pub(crate) fn record_usage_begun(&self, workspace: &WorkspaceName, begun: Instant) {
        if let Some(duties) = &mut self.state.borrow_mut().duties {
            let boot = read_clocks().boot.saturating_sub(begun.elapsed());
            duties.record_begun(hash_name(workspace), boot);
        }
    }

    /// Counts a request that found an endpoint.
    pub(crate) fn record_demand_dispatch(&self, service: &ServiceName) {
        if let Some(duties) = &mut self.state.borrow_mut().duties {
            duties.record_dispatch(hash_name(service));
        }
    }

    /// Counts a request that found no endpoint.
    pub(crate) fn record_unserved(&self, service: &ServiceName) {
        if let Some(duties) = &mut self.state.borrow_mut().duties {
            duties.record_refusal(hash_name(service));
        }
    }

    /// Returns the poll that is due and the hosts that receive it, if this host holds the duties.
    pub(crate) fn next_duty_poll(&self) -> Option<(DutyPoll, Vec<HostAddress>)> {
        let poll = {
            let state = &mut *self.state.borrow_mut();
            state.duties.as_mut()?.next_poll(read_clocks())?
        };
        if let Some(own_reply) = self.apply_duty_poll(&poll) {
            self.apply_duty_reply(own_reply);
        }
        let state = self.state.borrow();
        let targets = state.members.reachable(usize::MAX, Instant::now());
        Some((poll, targets))
    }

    /// Applies the holder's poll and returns the counts of this host.
    pub(crate) fn apply_duty_poll(&self, poll: &DutyPoll) -> Option<DutyReply> {
        let state = &mut *self.state.borrow_mut();
        let duties = state.duties.as_mut()?;
        let mut waiting: FastMap<NameHash, u32> = FastMap::default();
        for (service, count) in state.scheduler.waiting_by_service() {
            waiting.insert(hash_name(&service), count);
        }
        Some(duties.apply_poll(poll, &waiting, read_clocks()))
    }

    /// Applies the counts of a host.
    pub(crate) fn apply_duty_reply(&self, reply: DutyReply) {
        if let Some(duties) = &mut self.state.borrow_mut().duties {
            duties.apply_reply(reply, read_clocks().boot);
        }
    }

    /// Passes the load of the services whose endpoints may be ordered to the holder's plan.
    pub(super) fn observe_duty_load(&self, now: Instant) {
        let state = &mut *self.state.borrow_mut();
        let Some(duties) = &mut state.duties else {
            return;
        };
        let boot = read_clocks().boot;
        if !duties.observes_load(boot) {
            return;
        }
        let routing = state.catalog.routing();
        let scaled = routing
            .services()
            .filter_map(|service| Some((service, service.scaling?)));
        for (service, bounds) in scaled {
            let ServiceEntry { name, .. } = service;
            let load = state.scheduler.service_load(name, now);
            let demand = duties.service_demand(hash_name(name), boot);
            let observation = CapacityObservation {
                service: name.clone(),
                bounds,
                slots: load.slots,
                active: load.active,
                waiting: demand.waiting,
                dispatched: demand.dispatched,
                refused: demand.refused,
                zones: load.zones,
            };
            duties.observe_load(&observation, boot);
        }
    }

    /// Returns what to do at the log for the duties.
    #[must_use]
    pub fn next_duty_log_action(&self) -> DutyLogAction {
        let now = Instant::now();
        let state = &mut *self.state.borrow_mut();
        let is_preferred = if state.relay_plan.is_relayed() {
            self.settings.is_among(&state.relay_plan.readers)
        } else {
            state.members.is_elected(PREFERRED_CANDIDATES, now)
        };
        let rank = match state.leaving_since {
            Some(_) => CandidateRank::Leaving,
            None if is_preferred => CandidateRank::Preferred,
            None => CandidateRank::Reserve,
        };
        let mut live = state.members.reachable(usize::MAX, now);
        live.push(self.settings.host);
        let Some(duties) = &mut state.duties else {
            return DutyLogAction::Wait;
        };
        duties.next_log_action(&DutyHosts { rank, live }, read_clocks())
    }

    /// Applies what the log of the duties holds.
    pub fn apply_duty_listing(&self, listing: DutyListing) {
        if let Some(duties) = &mut self.state.borrow_mut().duties {
            duties.apply_listing(listing, read_clocks());
        }
    }

    /// Applies the outcome of an append to the log of the duties.
    pub fn apply_duty_append(&self, outcome: AppendOutcome) {
        if let Some(duties) = &mut self.state.borrow_mut().duties {
            duties.apply_append(outcome, read_clocks());
        }
    }

    /// Returns the next call of the duties, if one is due.
    #[must_use]
    pub fn next_duty_call(&self) -> Option<DutyCall> {
        let duties = &mut self.state.borrow_mut().duties;
        duties.as_mut()?.next_call(read_clocks())
    }

    /// Applies the outcome of a call.
    pub fn apply_duty_call(&self, call: &DutyCall, outcome: CallOutcome) {
        self.count(match outcome {
            CallOutcome::Accepted => "duty_call_accepted",
            CallOutcome::Fenced => "duty_call_fenced",
            CallOutcome::Rejected => "duty_call_rejected",
            CallOutcome::Unanswered => "duty_call_unanswered",
        });
        if let Some(duties) = &mut self.state.borrow_mut().duties {
            duties.apply_call(call, outcome, read_clocks().boot);
        }
    }
}
