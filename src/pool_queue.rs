//! Admission of requests to the queue of one owned pool.

use std::time::Instant;

use crate::choice::ChoiceQuery;
use crate::context::Context;
use crate::endpoint_state::EndpointState;
use crate::fairness::{ArrivalNumber, QueueCapacity, QueuedTicket, TicketId};
use crate::ids::Incarnation;
use crate::messages::{PermitGrant, QueueTicket};
use crate::pool::{PoolEffect, PoolState, RunningPermit};
use crate::result_code::ResultCode;
use crate::suspect::SuspicionLevel;

impl PoolState {
    pub fn enqueue(
        &mut self,
        home: Incarnation,
        ticket: QueueTicket,
        context: &mut Context,
    ) -> Vec<PoolEffect> {
        let now = context.now;
        let id = (home, ticket.key.clone());
        if self.running.contains_key(&id) {
            return self.repeat_grant(&id).into_iter().collect();
        }
        if self.queue.contains(&id) {
            return Vec::new();
        }
        let arrival = match self.retries.take_declined(&id) {
            Some(_) if !self.retries.try_retry(now) => {
                return vec![refusal(id, ResultCode::RetryBudget)];
            }
            Some(arrival) => arrival,
            None => {
                self.retries.record_first_attempt(now);
                self.next_arrival += 1;
                self.next_arrival
            }
        };
        let queued = self.build_queued(home, ticket, arrival, now);
        if let Some(code) = self.find_early_refusal(&queued, now) {
            return vec![refusal(id, code)];
        }
        let digest = queued.ticket.digest;
        let effects = self.admit(queued);
        if !self.is_baseline() && self.suspects.level(&digest, now) == SuspicionLevel::Suspect {
            self.park(arrival);
        }
        effects
    }

    /// Sends a permit again that its home may not have received. The permit number stays the same,
    /// so that a home that has received it doesn't dispatch the request twice.
    fn repeat_grant(&self, id: &TicketId) -> Option<PoolEffect> {
        let running = self.running.get(id)?;
        let endpoint = &self.endpoints[*self.endpoint_index.get(&running.endpoint)?];
        let allowed = self.versions_for(&running.queued.ticket.route).0.allowed;
        let is_eligible = endpoint.is_usable() && allowed.contains(&endpoint.version);
        if running.started || !is_eligible || endpoint.version != running.version {
            return None;
        }
        self.grant_effect(id, running, endpoint)
    }

    pub(crate) fn grant_effect(
        &self,
        id: &TicketId,
        running: &RunningPermit,
        endpoint: &EndpointState,
    ) -> Option<PoolEffect> {
        let grant = PermitGrant {
            pool: self.name.clone(),
            key: id.1.clone(),
            permit: running.permit,
            endpoint: running.endpoint.clone(),
            address: endpoint.address?,
            version: running.version.clone(),
            config_version: self.view.config_version,
        };
        Some(PoolEffect::Grant { home: id.0, grant })
    }

    pub(crate) fn build_queued(
        &self,
        home: Incarnation,
        ticket: QueueTicket,
        arrival: ArrivalNumber,
        now: Instant,
    ) -> QueuedTicket {
        let speeds = self.speeds.average_speeds(&self.view.version, now);
        let work =
            speeds.prefill_time(ticket.prompt_tokens) + speeds.decode_time(ticket.max_tokens);
        QueuedTicket {
            home,
            arrival,
            deadline: now + ticket.deadline_in,
            work,
            ticket,
        }
    }

    fn find_early_refusal(&self, queued: &QueuedTicket, now: Instant) -> Option<ResultCode> {
        let ticket = &queued.ticket;
        if queued.deadline <= now {
            return Some(ResultCode::DeadlinePassed);
        }
        if self.suspects.level(&ticket.digest, now) == SuspicionLevel::Quarantined {
            return Some(ResultCode::Quarantined);
        }
        if self.is_closed(now) {
            return Some(ResultCode::NoEndpoint);
        }
        if self.is_baseline() {
            return None;
        }
        let work_ahead = self
            .queue
            .work_ahead(&ticket.workspace, ticket.tier, queued.deadline);
        let (versions, _) = self.versions_for(&ticket.route);
        let query = ChoiceQuery {
            queued,
            versions: &versions,
            requires_idle: false,
            kept_free: None,
            now,
        };
        let is_reachable = self.chooser().can_finish(&query, work_ahead);
        (!is_reachable).then_some(ResultCode::DeadlineUnreachable)
    }

    /// Queues a ticket. If a queue limit is reached, sheds another ticket or refuses this one.
    fn admit(&mut self, queued: QueuedTicket) -> Vec<PoolEffect> {
        let ticket = &queued.ticket;
        let (code, victim) = match self.queue.queue_capacity(&ticket.workspace, ticket.tier) {
            QueueCapacity::Free => {
                self.queue.push(queued);
                return Vec::new();
            }
            QueueCapacity::PoolFull { victim } => (ResultCode::QueueFull, victim),
            QueueCapacity::WorkspaceFull { victim } => (ResultCode::WorkspaceQueueFull, victim),
        };
        let victim = victim.filter(|_| !self.is_baseline());
        match victim.and_then(|victim| self.drop_queued(victim)) {
            Some(shed) => {
                self.queue.push(queued);
                vec![refusal(shed.id(), code)]
            }
            None => vec![refusal(queued.id(), code)],
        }
    }

    /// Removes a ticket from the queue and from the parked suspects.
    pub(crate) fn drop_queued(&mut self, arrival: ArrivalNumber) -> Option<QueuedTicket> {
        let queued = self.queue.remove(arrival)?;
        self.parked
            .remove(&(queued.ticket.tier, queued.deadline, arrival));
        Some(queued)
    }

    pub fn withdraw(&mut self, home: Incarnation, key: &str) {
        if let Some(arrival) = self.queue.find(&(home, key.into())) {
            self.drop_queued(arrival);
        }
    }
}

pub(crate) fn refusal(id: TicketId, code: ResultCode) -> PoolEffect {
    PoolEffect::Refuse {
        home: id.0,
        key: id.1,
        code,
    }
}
