//! Tracks the request contents that were in flight when an endpoint crashed.

use std::collections::VecDeque;
use std::time::Instant;

use crate::configs::suspect::SuspectSettings;
use crate::ids::{ContentDigest, EndpointName, FastMap, PoolName};
use crate::messages::SuspectEntry;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SuspicionLevel {
    None,
    /// The request runs alone on its endpoint.
    Suspect,
    Quarantined,
}

#[derive(Clone, Debug)]
struct SuspectState {
    /// Number of crashes; 0 after a completion. A cleared state is kept so that older updates of
    /// other hosts do not restore the suspicion.
    crashes: u8,
    /// Time of the last crash, or of the completion that cleared it.
    changed: Instant,
}

/// A broken connection that may turn out to be a crash.
#[derive(Debug)]
struct ConnectionBreak {
    at: Instant,
    digests: Vec<ContentDigest>,
    /// Whether a crash was counted for this break.
    confirmed: bool,
}

#[derive(Debug)]
pub(crate) struct SuspectTable {
    settings: SuspectSettings,
    states: FastMap<ContentDigest, SuspectState>,
    /// Digests in the order in which they entered `states`.
    order: VecDeque<ContentDigest>,
    breaks: FastMap<EndpointName, ConnectionBreak>,
}

impl SuspectTable {
    pub fn new(settings: SuspectSettings) -> Self {
        Self {
            settings,
            states: FastMap::default(),
            order: VecDeque::new(),
            breaks: FastMap::default(),
        }
    }

    pub fn level(&self, digest: &ContentDigest, now: Instant) -> SuspicionLevel {
        let Some(state) = self.states.get(digest) else {
            return SuspicionLevel::None;
        };
        if state.crashes == 0 || self.has_expired(state, now) {
            SuspicionLevel::None
        } else if state.crashes >= self.settings.quarantine_crashes {
            SuspicionLevel::Quarantined
        } else {
            SuspicionLevel::Suspect
        }
    }

    /// Records the broken connection of a run that was granted at `granted`, with the grant times
    /// and digests of all requests in flight on the endpoint. A run that was granted before the
    /// last break belongs to that break: its report is late and must not count as a second crash.
    pub fn record_break(
        &mut self,
        endpoint: &str,
        granted: Instant,
        in_flight: &[(Instant, ContentDigest)],
        now: Instant,
    ) {
        let retention = self.settings.quarantine_time;
        self.breaks
            .retain(|_, known| now.saturating_duration_since(known.at) <= retention);
        let known = self.breaks.get(endpoint);
        if known.is_some_and(|known| granted <= known.at) {
            return;
        }
        let counted = known.filter(|known| known.confirmed).map(|known| known.at);
        let fresh = in_flight.iter().filter(|entry| Some(entry.0) > counted);
        let mut digests: Vec<_> = fresh.map(|entry| entry.1).collect();
        digests.sort_unstable();
        digests.dedup();
        let event = ConnectionBreak {
            at: now,
            digests,
            confirmed: false,
        };
        self.breaks.insert(endpoint.into(), event);
    }

    /// Records evidence at `seen` that the endpoint crashed. Returns whether a crash was counted.
    pub fn confirm_crash(&mut self, endpoint: &str, seen: Instant) -> bool {
        let window = self.settings.confirm_window;
        let Some(known) = self.breaks.get_mut(endpoint) else {
            return false;
        };
        let is_late = seen < known.at || seen.duration_since(known.at) > window;
        if known.confirmed || is_late {
            return false;
        }
        known.confirmed = true;
        for digest in std::mem::take(&mut known.digests) {
            self.count_crash(digest, seen);
        }
        true
    }

    /// Clears a digest that ran to completion, and removes it from unconfirmed breaks.
    pub fn record_completion(&mut self, digest: &ContentDigest, now: Instant) {
        for known in self.breaks.values_mut() {
            known.digests.retain(|other| other != digest);
        }
        if let Some(state) = self.states.get_mut(digest) {
            state.crashes = 0;
            state.changed = now;
        }
    }

    pub fn entries(&self, pool: &PoolName, now: Instant) -> Vec<SuspectEntry> {
        let entry = |digest: &ContentDigest| {
            let state = self.states.get(digest)?;
            let is_reported = state.crashes > 0 && !self.has_expired(state, now);
            is_reported.then(|| SuspectEntry {
                pool: pool.clone(),
                digest: *digest,
                crashes: state.crashes,
                age: now.saturating_duration_since(state.changed),
            })
        };
        self.order.iter().filter_map(entry).collect()
    }

    /// Applies an entry of another host. At an equal count, the local time stays: each hop shifts
    /// the time of the crash by its latency, so hosts that exchange entries would otherwise extend
    /// the quarantine indefinitely.
    pub fn apply_entry(&mut self, entry: &SuspectEntry, now: Instant) {
        let Some(changed) = now.checked_sub(entry.age) else {
            return;
        };
        let adopted = SuspectState {
            crashes: entry.crashes,
            changed,
        };
        if entry.crashes == 0 || self.has_expired(&adopted, now) {
            return;
        }
        match self.states.get_mut(&entry.digest) {
            Some(state) if state.crashes == 0 && changed <= state.changed => {}
            Some(state) if entry.crashes <= state.crashes => {}
            Some(state) => *state = adopted,
            None => self.insert(entry.digest, adopted, now),
        }
    }

    fn count_crash(&mut self, digest: ContentDigest, now: Instant) {
        let is_expired = self
            .states
            .get(&digest)
            .is_some_and(|state| self.has_expired(state, now));
        if let Some(state) = self.states.get_mut(&digest) {
            state.crashes = if is_expired {
                1
            } else {
                state.crashes.saturating_add(1)
            };
            state.changed = now;
            return;
        }
        let state = SuspectState {
            crashes: 1,
            changed: now,
        };
        self.insert(digest, state, now);
    }

    fn insert(&mut self, digest: ContentDigest, state: SuspectState, now: Instant) {
        while let Some(oldest) = self.order.front() {
            let is_expired = self
                .states
                .get(oldest)
                .is_none_or(|known| self.has_expired(known, now));
            if !is_expired && self.order.len() < self.settings.max_entries {
                break;
            }
            self.states.remove(oldest);
            self.order.pop_front();
        }
        self.states.insert(digest, state);
        self.order.push_back(digest);
    }

    fn has_expired(&self, state: &SuspectState, now: Instant) -> bool {
        now.saturating_duration_since(state.changed) >= self.settings.quarantine_time
    }
}
