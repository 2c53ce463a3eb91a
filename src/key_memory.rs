//! Tracks the used keys of this home, with a few bytes for each key.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::{ContentDigest, FastMap};
use crate::prefix::digest_fields;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyState {
    /// A request with this key was admitted.
    Used,
    /// This host has answered another host that the key will never be dispatched.
    Abandoned,
}

/// Digests of keys in the order of their first use.
#[derive(Debug, Default)]
pub(crate) struct KeyMemory {
    states: FastMap<ContentDigest, KeyState>,
    order: VecDeque<(Duration, ContentDigest)>,
}

impl KeyMemory {
    pub(crate) fn len(&self) -> usize {
        self.states.len()
    }

    pub(crate) fn state(&self, key: &str) -> Option<KeyState> {
        self.states.get(&digest_fields(&[key])).copied()
    }

    pub(crate) fn insert(&mut self, key: &str, state: KeyState, unix_time: Duration) {
        let digest = digest_fields(&[key]);
        if self.states.insert(digest, state).is_none() {
            self.order.push_back((unix_time, digest));
        }
    }

    /// Removes keys that were first used longer than `retention` ago.
    pub(crate) fn remove_expired(&mut self, unix_time: Duration, retention: Duration) {
        while let Some((at, digest)) = self.order.front() {
            if *at + retention >= unix_time {
                break;
            }
            self.states.remove(digest);
            self.order.pop_front();
        }
    }
}
