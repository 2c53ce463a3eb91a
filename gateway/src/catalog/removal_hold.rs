//! Holds back removals that a store's outage may have caused.
//!
//! Entries lapse while the store is away, and living endpoints are back in it about two seconds
//! after its return. Only what is still missing then is gone.

use std::time::{Duration, Instant};

use crate::ids::EndpointId;

/// Time that a living endpoint needs to register again, with a small margin.
pub(crate) const REREGISTRATION_TIME: Duration = Duration::from_millis(2_300);

#[derive(Debug, Default)]
pub struct RemovalHold {
    down: bool,
    hold_until: Option<Instant>,
    vouched: bool,
    held: Vec<HeldRemoval>,
}

/// A removal that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldRemoval {
    pub id: EndpointId,
    pub since: Instant,
}

impl RemovalHold {
    pub fn record_store_failure(&mut self) {
        self.down = true;
    }

    pub fn record_store_answer(&mut self, now: Instant) {
        if std::mem::take(&mut self.down) {
            self.hold_until = Some(now + REREGISTRATION_TIME);
        }
    }

    /// Takes whether a peer says now that the store has been there for longer than living endpoints
    /// need to be back. Then this host alone lost it, and what is missing is gone.
    pub fn set_confirmed(&mut self, vouched: bool) {
        self.vouched = vouched;
    }

    /// Whether this host's own contact with the store doesn't show that what is missing is gone.
    #[must_use]
    pub fn is_unsure(&self, now: Instant) -> bool {
        self.down || self.hold_until.is_some_and(|until| now < until)
    }

    /// Whether removals are held back.
    fn is_holding(&self, now: Instant) -> bool {
        self.is_unsure(now) && !self.vouched
    }

    /// Takes a removal; false when it is held back.
    pub fn admit_removal(&mut self, id: &EndpointId, now: Instant) -> bool {
        let holding = self.is_holding(now);
        if holding && !self.held.iter().any(|held| held.id == *id) {
            let id = id.clone();
            self.held.push(HeldRemoval { id, since: now });
        }
        !holding
    }

    /// Removals that wait, the longest first.
    #[must_use]
    pub fn held(&self) -> &[HeldRemoval] {
        &self.held
    }

    /// The endpoint has registered again.
    pub fn cancel(&mut self, id: &EndpointId) {
        self.held.retain(|held| held.id != *id);
    }

    /// Removals that are due now.
    pub fn take_due(&mut self, now: Instant) -> Vec<HeldRemoval> {
        if self.is_holding(now) {
            return Vec::new();
        }
        std::mem::take(&mut self.held)
    }
}
