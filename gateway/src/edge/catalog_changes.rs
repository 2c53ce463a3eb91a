//! Applies the changes that operators and endpoints publish.

use std::time::{Duration, Instant};

use super::state::Edge;
use crate::catalog::{CatalogChange, ConfigurationSnapshot, EndpointEntry};
use crate::ids::{EndpointId, hash_name};
use crate::membership::{ContactSpan, FeedTopic};
use crate::scheduler::SchedulerEvent;

impl Edge {
    /// Applies a published change.
    pub fn apply_change(&self, change: CatalogChange) {
        let now = Instant::now();
        match change {
            CatalogChange::Configuration(snapshot) => self.install_configuration(*snapshot, now),
            CatalogChange::ZoneEvacuated(zone) => {
                if self.state.borrow_mut().catalog.evacuate_zone(zone.clone()) {
                    log::info!(zone = zone.as_str(); "zone: evacuated");
                    self.schedule(SchedulerEvent::ZoneEvacuated(zone));
                }
            }
            CatalogChange::ZoneRestored(zone) => {
                if self.state.borrow_mut().catalog.restore_zone(&zone) {
                    log::info!(zone = zone.as_str(); "zone: restored");
                    self.schedule(SchedulerEvent::ZoneRestored(zone));
                }
            }
            CatalogChange::EndpointUpdated(entry) => self.upsert_endpoint(*entry),
            CatalogChange::EndpointRemoved(id) => self.request_endpoint_removal(&id, now),
            CatalogChange::RolloutOrdered {
                service,
                target,
                within,
                order,
            } => {
                log::info!(
                    service = service.as_str(), target = target.as_str(), order = order,
                    within_s = within.as_secs();
                    "rollout: ordered"
                );
                {
                    let rollouts = &mut self.state.borrow_mut().rollouts;
                    rollouts.apply_order(service, target, within, order, now);
                }
                self.advance_rollouts(now);
            }
            CatalogChange::RolloutRewritten { service, order } => {
                log::info!(service = service.as_str(), order = order; "rollout: order written again");
                let rollouts = &mut self.state.borrow_mut().rollouts;
                rollouts.renumber_order(&service, order);
            }
            CatalogChange::RolloutWithdrawn(service) => {
                log::info!(service = service.as_str(); "rollout: withdrawn");
                self.state.borrow_mut().rollouts.withdraw_order(&service);
                self.advance_rollouts(now);
            }
        }
    }

    /// Applies the complete list of endpoints. Known endpoints that are missing from it are
    /// removed.
    pub fn apply_endpoint_list(&self, entries: Vec<EndpointEntry>) {
        let missing: Vec<EndpointId> = {
            let state = self.state.borrow();
            let known = state.catalog.endpoints();
            known
                .filter(|endpoint| !entries.iter().any(|entry| entry.id == endpoint.id))
                .map(|endpoint| endpoint.id.clone())
                .collect()
        };
        for entry in entries {
            self.upsert_endpoint(entry);
        }
        let now = Instant::now();
        for id in missing {
            self.request_endpoint_removal(&id, now);
        }
        let state = &mut *self.state.borrow_mut();
        state.endpoints_listed = true;
        log::info!(endpoints = state.catalog.endpoints().count(); "endpoints: listed");
    }

    /// Puts a configuration in force unless a newer one already is.
    fn install_configuration(&self, snapshot: ConfigurationSnapshot, now: Instant) {
        let version = snapshot.version;
        let services = {
            let state = &mut *self.state.borrow_mut();
            let before = state.catalog.version();
            if !state.catalog.apply_configuration(snapshot) {
                if version < before {
                    log::info!(in_force = before, version = version; "config: older version skipped");
                }
                return;
            }
            log::info!(before = before, version = version; "config: in force");
            state.heartbeat_due = true;
            let routing = state.catalog.routing();
            state.caps.apply_workspaces(routing.workspaces(), now);
            if let Some(duties) = &mut state.duties {
                let names = routing.workspaces().map(|workspace| &workspace.name);
                duties.add_workspaces(names.map(|name| (hash_name(name), name)));
            }
            for workspace in routing.workspaces() {
                if let Some(cap) = workspace.cap {
                    log::debug!(
                        workspace = workspace.name.as_str(), rate_per_s = cap.rate_per_s, burst = cap.burst;
                        "usage: cap applied"
                    );
                }
            }
            routing.services().cloned().collect()
        };
        self.schedule(SchedulerEvent::ServicesChanged(services));
    }

    /// Adds an endpoint or replaces its entry.
    fn upsert_endpoint(&self, entry: EndpointEntry) {
        let (entry, existed_at_start) = {
            let state = &mut *self.state.borrow_mut();
            state.removals.cancel(&entry.id);
            let before = state.catalog.endpoint(&entry.id);
            if before.is_some_and(|before| **before == entry) {
                return;
            }
            let existed_at_start = !state.endpoints_listed;
            (state.catalog.insert_endpoint(entry), existed_at_start)
        };
        // The first list of a large fleet is logged in one line instead of one per endpoint.
        let level = if existed_at_start {
            log::Level::Debug
        } else {
            log::Level::Info
        };
        log::log!(
            level, endpoint = entry.id.as_str(), service = entry.service.as_str(), zone = entry.zone.as_str(),
            version = entry.version.as_str(), draining = entry.draining, cold_ms = entry.cold_for.as_millis();
            "endpoint: seen"
        );
        self.schedule(SchedulerEvent::EndpointUpdated {
            entry,
            existed_at_start,
        });
    }

    /// Removes an endpoint unless its removal has to be held back.
    fn request_endpoint_removal(&self, id: &EndpointId, now: Instant) {
        let is_admitted = self.state.borrow_mut().removals.admit_removal(id, now);
        if !is_admitted {
            let state = self.state.borrow();
            let positions = &state.feed_positions;
            let contact = positions.last_contact(FeedTopic::Endpoints, now);
            let ended = contact.map_or(Duration::MAX, |contact| contact.ended);
            let length = contact.map_or(Duration::ZERO, ContactSpan::length);
            log::info!(
                endpoint = id.as_str(), store_reached = positions.is_store_reachable(),
                contact_ms = length.as_millis(), contact_age_ms = ended.as_millis();
                "endpoint: removal held back"
            );
            return;
        }
        self.remove_endpoint(id, Duration::ZERO);
    }

    /// Removes an endpoint. `held_for` is the time for which the removal was held back.
    pub(super) fn remove_endpoint(&self, id: &EndpointId, held_for: Duration) {
        if self
            .state
            .borrow_mut()
            .catalog
            .remove_endpoint(id)
            .is_none()
        {
            return;
        }
        log::info!(endpoint = id.as_str(), held_ms = held_for.as_millis(); "endpoint: gone");
        self.pool.close_endpoint(id);
        self.schedule(SchedulerEvent::EndpointRemoved(id.clone()));
    }
}
