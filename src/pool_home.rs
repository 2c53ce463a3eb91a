//! Reports of homes to the owner of a pool: synchronisation, permits and lost homes.

use std::time::{Duration, Instant};

use crate::context::Context;
use crate::endpoint_state::FlightEntry;
use crate::fairness::TicketId;
use crate::ids::{FastSet, Incarnation, PermitNumber, RequestKey};
use crate::messages::{PoolSync, RunningEntry};
use crate::pool::{PoolEffect, PoolState, RunningPermit};
use crate::slow_start::WarmthState;

impl PoolState {
    /// Replaces the state of one home with the synced one. A sync that is only a part adds to it.
    pub fn apply_sync(
        &mut self,
        home: Incarnation,
        sync: PoolSync,
        context: &mut Context,
    ) -> Vec<PoolEffect> {
        let queued_keys: FastSet<&RequestKey> =
            sync.queued.iter().map(|ticket| &ticket.key).collect();
        let running_keys: FastSet<&RequestKey> =
            sync.running.iter().map(|entry| &entry.ticket.key).collect();
        for arrival in self.queue.arrivals_of_home(home) {
            let known = self.queue.get(arrival).map(|known| &known.ticket.key);
            if sync.complete && known.is_some_and(|key| !queued_keys.contains(key)) {
                self.drop_queued(arrival);
            }
        }
        for id in self.running_ids_of(home) {
            if sync.complete && !running_keys.contains(&id.1) && !queued_keys.contains(&id.1) {
                self.release(&id, context.now);
            }
            self.clear_orphaned(&id);
        }
        for entry in sync.running {
            self.sync_running(home, entry, context.now);
        }
        let tickets = sync.queued.into_iter();
        tickets
            .flat_map(|ticket| self.enqueue(home, ticket, context))
            .collect()
    }

    /// Returns the permits and runs of one home, in the order in which this owner recorded them.
    fn running_ids_of(&self, home: Incarnation) -> Vec<TicketId> {
        let own = self.running.iter().filter(|entry| entry.0.0 == home);
        let mut flights: Vec<_> = own
            .map(|(id, running)| (running.flight, id.clone()))
            .collect();
        flights.sort_unstable();
        flights.into_iter().map(|entry| entry.1).collect()
    }

    fn sync_running(&mut self, home: Incarnation, entry: RunningEntry, now: Instant) {
        let id = (home, entry.ticket.key.clone());
        if let Some(arrival) = self.queue.find(&id) {
            self.drop_queued(arrival);
        }
        let known = self.running.get_mut(&id);
        if let Some(known) = known.filter(|known| known.permit == entry.permit) {
            known.started = true;
            return;
        }
        self.release(&id, now);
        let index = self.ensure_endpoint(&entry.endpoint, WarmthState::Unknown, now);
        let granted = now.checked_sub(entry.running_for).unwrap_or(now);
        let queued = self.build_queued(home, entry.ticket, 0, now);
        self.next_flight += 1;
        let flight = FlightEntry {
            id: id.clone(),
            granted,
            ends: granted + queued.work,
            prefill: Duration::ZERO,
            orphaned: None,
        };
        self.endpoints[index].begin_flight(self.next_flight, flight);
        let running = RunningPermit {
            permit: entry.permit,
            endpoint: entry.endpoint,
            version: entry.version,
            flight: self.next_flight,
            granted,
            started: true,
            forecast: None,
            high_load: false,
            weight: 1,
            queued,
        };
        self.running.insert(id, running);
    }

    pub fn record_start(
        &mut self,
        home: Incarnation,
        key: &str,
        permit: PermitNumber,
        _now: Instant,
    ) {
        let running = self.running.get_mut(&(home, key.into()));
        if let Some(running) = running.filter(|running| running.permit == permit) {
            running.started = true;
        }
    }

    /// Returns the ticket of an unused permit to its position in the queue.
    pub fn record_returned_permit(
        &mut self,
        home: Incarnation,
        key: &str,
        permit: PermitNumber,
        context: &mut Context,
    ) {
        let id = (home, key.into());
        let is_unused = |running: &RunningPermit| running.permit == permit && !running.started;
        if !self.running.get(&id).is_some_and(is_unused) {
            return;
        }
        if let Some(running) = self.release(&id, context.now) {
            self.queue.put_back(running.queued, running.weight);
        }
    }

    /// Drops the queued tickets of a lost home and marks its permits and runs as orphaned. They
    /// still count, because requests that it dispatched may still run.
    pub fn record_lost_home(&mut self, home: Incarnation, now: Instant) {
        for arrival in self.queue.arrivals_of_home(home) {
            self.drop_queued(arrival);
        }
        for id in self.running_ids_of(home) {
            if let Some(flight) = self
                .flight_mut(&id)
                .filter(|flight| flight.orphaned.is_none())
            {
                flight.orphaned = Some(now);
                self.orphans.insert((now, id));
            }
        }
    }

    fn clear_orphaned(&mut self, id: &TicketId) {
        let orphaned = self
            .flight_mut(id)
            .and_then(|flight| flight.orphaned.take());
        if let Some(since) = orphaned {
            self.orphans.remove(&(since, id.clone()));
        }
    }

    fn flight_mut(&mut self, id: &TicketId) -> Option<&mut FlightEntry> {
        let running = self.running.get(id)?;
        let index = *self.endpoint_index.get(&running.endpoint)?;
        self.endpoints[index].flights.get_mut(&running.flight)
    }

    /// Releases the runs of lost homes after `orphan_timeout`.
    pub(crate) fn release_orphans(&mut self, now: Instant) {
        while let Some((since, id)) = self.orphans.first().cloned() {
            if now.saturating_duration_since(since) < self.settings.orphan_timeout {
                return;
            }
            self.orphans.pop_first();
            self.release(&id, now);
        }
    }
}
