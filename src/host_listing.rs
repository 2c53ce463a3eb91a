//! Smooths the platform's host list, which lags behind and flaps.

use std::time::{Duration, Instant};

use crate::ids::{EndpointBrief, EndpointName, FastMap};

/// Time for which an entry counts as leaving after the list last showed it as leaving.
pub const LEAVING_HOLD: Duration = Duration::from_secs(30);

/// Keeps the leaving state of one listed host or endpoint while the list flaps.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeavingHold {
    shown_leaving: bool,
    last_shown_leaving: Option<Instant>,
}

impl LeavingHold {
    /// Records whether the newest list shows the entry as leaving.
    pub fn record_state(&mut self, leaving: bool, now: Instant) {
        self.shown_leaving = leaving;
        if leaving {
            self.last_shown_leaving = Some(now);
        }
    }

    /// Returns whether the entry counts as leaving: the newest list shows it as leaving, however
    /// old that list is, or a list did so within the hold time.
    #[must_use]
    pub fn is_leaving(&self, now: Instant, hold: Duration) -> bool {
        let recently = |shown| now.saturating_duration_since(shown) < hold;
        self.shown_leaving || self.last_shown_leaving.is_some_and(recently)
    }
}

/// Turns the platform's lists of endpoints into lists in which the leaving state does not flap.
///
/// An endpoint that is shown as leaving counts as leaving for another 30 s after the last such
/// list. An endpoint that disappears counts as leaving for 30 s and is then removed. An endpoint
/// that reappears at another address is a new process and inherits no state.
#[derive(Default)]
pub struct ListSmoother {
    entries: FastMap<EndpointName, SmoothedEntry>,
}

struct SmoothedEntry {
    brief: EndpointBrief,
    hold: LeavingHold,
    absent_since: Option<Instant>,
}

impl ListSmoother {
    /// Applies the newest list and returns the smoothed list, ordered by name.
    pub fn smooth(&mut self, listing: &[EndpointBrief], now: Instant) -> Vec<EndpointBrief> {
        for entry in self.entries.values_mut() {
            entry.absent_since.get_or_insert(now);
        }
        for brief in listing {
            self.record_entry(brief, now);
        }
        let held = |since| now.saturating_duration_since(since) < LEAVING_HOLD;
        self.entries
            .retain(|_, entry| entry.absent_since.is_none_or(held));
        let mut smoothed: Vec<_> = self
            .entries
            .values()
            .map(|entry| entry.smoothed(now))
            .collect();
        smoothed.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        smoothed
    }

    fn record_entry(&mut self, brief: &EndpointBrief, now: Instant) {
        let known = self.entries.get(&brief.name);
        let mut hold = known
            .filter(|entry| entry.brief.address == brief.address)
            .map_or_else(LeavingHold::default, |entry| entry.hold);
        hold.record_state(brief.leaving, now);
        let entry = SmoothedEntry {
            brief: brief.clone(),
            hold,
            absent_since: None,
        };
        self.entries.insert(brief.name.clone(), entry);
    }
}

impl SmoothedEntry {
    fn smoothed(&self, now: Instant) -> EndpointBrief {
        let leaving = self.absent_since.is_some() || self.hold.is_leaving(now, LEAVING_HOLD);
        EndpointBrief {
            leaving,
            ..self.brief.clone()
        }
    }
}
