//! Holds back removals that an outage of the store may have caused.
//!
//! The entries of live endpoints expire during an outage, and the endpoints register again within
//! about two seconds after it. Only endpoints that are still missing by then are gone.

use std::time::{Duration, Instant};

use crate::ids::EndpointId;

/// Time within which a live endpoint registers again after an outage, with a small margin.
pub(crate) const REREGISTRATION_TIME: Duration = Duration::from_millis(2_300);

/// The removals that are held back, and the state of the store that decides on them.
#[derive(Debug, Default)]
pub struct RemovalHold {
    is_store_down: bool,
    hold_until: Option<Instant>,
    is_confirmed: bool,
    held: Vec<HeldRemoval>,
}

/// A removal that is held back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldRemoval {
    pub id: EndpointId,
    pub since: Instant,
}

impl RemovalHold {
    pub fn record_store_failure(&mut self) {
        self.is_store_down = true;
    }

    pub fn record_store_answer(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_store_down) {
            self.hold_until = Some(now + REREGISTRATION_TIME);
        }
    }

    /// Records that the store came back from an older copy, which endpoints that have registered
    /// since are missing from.
    pub fn record_older_store(&mut self, now: Instant) {
        self.hold_until = Some(now + REREGISTRATION_TIME);
        self.is_confirmed = false;
    }

    /// Sets whether peers currently confirm that they could reach the store for longer than live
    /// endpoints need to register again. In that case only this host lost the store, and missing
    /// endpoints are gone.
    pub fn set_confirmed(&mut self, is_confirmed: bool) {
        self.is_confirmed = is_confirmed;
    }

    /// Returns whether this host has lost the store or reached it again too recently to conclude,
    /// on its own, that missing endpoints are gone.
    #[must_use]
    pub fn is_unsure(&self, now: Instant) -> bool {
        self.is_store_down || self.hold_until.is_some_and(|until| now < until)
    }

    /// Returns whether removals are held back.
    fn is_holding(&self, now: Instant) -> bool {
        self.is_unsure(now) && !self.is_confirmed
    }

    /// Returns whether a removal may be applied now. Otherwise records it as held back.
    pub fn admit_removal(&mut self, id: &EndpointId, now: Instant) -> bool {
        let is_holding = self.is_holding(now);
        if is_holding && !self.held.iter().any(|held| held.id == *id) {
            let id = id.clone();
            self.held.push(HeldRemoval { id, since: now });
        }
        !is_holding
    }

    /// Returns the removals that are held back, oldest first.
    #[must_use]
    pub fn held(&self) -> &[HeldRemoval] {
        &self.held
    }

    /// Cancels the removal of an endpoint that has registered again.
    pub fn cancel(&mut self, id: &EndpointId) {
        self.held.retain(|held| held.id != *id);
    }

    /// Removes and returns the removals that may be applied now.
    pub fn take_due(&mut self, now: Instant) -> Vec<HeldRemoval> {
        if self.is_holding(now) {
            return Vec::new();
        }
        std::mem::take(&mut self.held)
    }
}
