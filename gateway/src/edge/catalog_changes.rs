//! Takes over what operators and endpoints publish.

use std::time::{Duration, Instant};

use super::state::Edge;
use crate::catalog::{CatalogChange, ConfigurationSnapshot, EndpointEntry};
use crate::ids::EndpointId;
use crate::membership::{ContactSpan, FeedTopic};
use crate::scheduler::SchedulerEvent;

impl Edge {
    /// Takes a change that was published.
    pub fn apply_change(&self, change: CatalogChange) {
        let now = Instant::now();
        match change {
            CatalogChange::Configuration(image) => self.install(*image, now),
            CatalogChange::ZoneEvacuated(zone) => {
                if self.state.borrow_mut().catalog.evacuate_zone(zone.clone()) {
                    log::info!(zone = zone.as_str(); "zone: taken out");
                    self.schedule(SchedulerEvent::ZoneEvacuated(zone));
                }
            }
            CatalogChange::ZoneRestored(zone) => {
                if self.state.borrow_mut().catalog.restore_zone(&zone) {
                    log::info!(zone = zone.as_str(); "zone: returned");
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
            CatalogChange::RolloutWithdrawn(service) => {
                log::info!(service = service.as_str(); "rollout: withdrawn");
                self.state.borrow_mut().rollouts.withdraw_order(&service);
                self.advance_rollouts(now);
            }
        }
    }

    /// Takes the whole list of endpoints; those missing from it are gone.
    pub fn apply_endpoint_list(&self, entries: Vec<EndpointEntry>) {
        let missing: Vec<EndpointId> = {
            let state = self.state.borrow();
            let known = state.catalog.endpoints();
            known
                .filter(|known| !entries.iter().any(|entry| entry.id == known.id))
                .map(|known| known.id.clone())
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

    fn install(&self, image: ConfigurationSnapshot, now: Instant) {
        let version = image.version;
        let services = {
            let state = &mut *self.state.borrow_mut();
            let before = state.catalog.version();
            if !state.catalog.apply_configuration(image) {
                return;
            }
            log::info!(before = before, version = version; "config: in force");
            let routing = state.catalog.routing();
            state.caps.apply_workspaces(routing.workspaces(), now);
            for workspace in routing.workspaces() {
                if let Some(cap) = workspace.cap {
                    log::debug!(
                        workspace = workspace.name.as_str(), rate_per_s = cap.rate_per_s, burst = cap.burst;
                        "usage: cap in force"
                    );
                }
            }
            routing.services().cloned().collect()
        };
        self.schedule(SchedulerEvent::ServicesChanged(services));
    }

    fn upsert_endpoint(&self, entry: EndpointEntry) {
        let (entry, known) = {
            let state = &mut *self.state.borrow_mut();
            state.removals.cancel(&entry.id);
            let before = state.catalog.endpoint(&entry.id);
            if before.is_some_and(|before| **before == entry) {
                return;
            }
            let known = !state.endpoints_listed;
            (state.catalog.insert_endpoint(entry), known)
        };
        // The first listing of a large fleet is told in one line.
        let level = if known {
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
            existed_at_start: known,
        });
    }

    fn request_endpoint_removal(&self, id: &EndpointId, now: Instant) {
        let admitted = self.state.borrow_mut().removals.admit_removal(id, now);
        if !admitted {
            let state = self.state.borrow();
            let marks = &state.marks;
            let contact = marks.last_contact(FeedTopic::Endpoints, now);
            let ended = contact.map_or(Duration::MAX, |contact| contact.ended);
            let length = contact.map_or(Duration::ZERO, ContactSpan::length);
            log::info!(
                endpoint = id.as_str(), store_reached = marks.is_store_reachable(),
                contact_ms = length.as_millis(), contact_age_ms = ended.as_millis();
                "endpoint: removal held back"
            );
            return;
        }
        self.remove_endpoint(id, Duration::ZERO);
    }

    /// `held`: time for which the removal was held back.
    pub(super) fn remove_endpoint(&self, id: &EndpointId, held: Duration) {
        if self
            .state
            .borrow_mut()
            .catalog
            .remove_endpoint(id)
            .is_none()
        {
            return;
        }
        log::info!(endpoint = id.as_str(), held_ms = held.as_millis(); "endpoint: gone");
        self.pool.close_endpoint(id);
        self.schedule(SchedulerEvent::EndpointRemoved(id.clone()));
    }
}
