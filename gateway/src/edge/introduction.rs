//! The start of a host, which takes no requests before it has what its peers know.

use std::time::{Duration, Instant};

use super::state::Edge;

/// Time after its start for which a host waits to hear what its peers have blocked.
const INTRODUCTION_TIME: Duration = Duration::from_millis(500);
/// Time after its start for which a host waits for the configuration that its peers have.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);

/// What a host that starts has heard from its peers.
#[derive(Debug, Default)]
pub(crate) struct IntroductionState {
    /// Whether a peer has reported all that it knows of blocked contents.
    pub(super) has_block_list: bool,
    is_complete: bool,
}

impl Edge {
    /// Returns whether this host may take requests, as of the last tick.
    pub(crate) fn is_introduced(&self) -> bool {
        self.state.borrow().introduction.is_complete
    }

    /// Checks whether a host that starts has heard from a peer which contents are blocked, and has
    /// the newest configuration, or has waited long enough. The store may hold an older one.
    pub(super) fn update_introduction(&self, now: Instant) {
        let state = &mut *self.state.borrow_mut();
        if state.introduction.is_complete || state.catalog.version() == 0 {
            return;
        }
        let age = now.duration_since(self.started);
        let newest = state.members.newest_configuration(now);
        let is_behind = newest.is_some_and(|(_, version)| version > state.catalog.version());
        let has_blocks = state.introduction.has_block_list || age >= INTRODUCTION_TIME;
        state.introduction.is_complete = has_blocks && (!is_behind || age >= CATCH_UP_TIME);
    }
}
