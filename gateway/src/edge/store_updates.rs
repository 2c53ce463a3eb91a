//! Tracks whether the store is reachable and how far this host has read it, and exchanges updates
//! of the store with other hosts.

use std::time::{Duration, Instant};

use futures_channel::oneshot;

use super::state::Edge;
use crate::membership::{FeedAction, FeedTopic, FeedUpdate, LogPosition, STORE_READERS};

/// Maximum number of characters of a store's key or of a cause in a log line.
const MAX_LOGGED_CHARS: usize = 120;

impl Edge {
    /// Records that the entry of a key in a topic of the store cannot be used.
    pub fn record_unusable_entry(&self, topic: &str, key: &str, cause: &str) {
        self.count("entry_unusable");
        let (key, cause) = (printable(key), printable(cause));
        log::warn!(topic = topic, key = key.as_str(), cause = cause.as_str(); "store: entry not used");
    }

    /// Records that the store answered a call about a topic.
    pub fn record_store_response(&self, topic: FeedTopic) {
        let now = Instant::now();
        let state = &mut *self.state.borrow_mut();
        let was_reachable = state.feed_positions.is_store_reachable();
        state.feed_positions.record_answer(topic);
        if !was_reachable && state.feed_positions.is_store_reachable() {
            log::info!(config_version = state.catalog.version(); "store: reached");
        }
        if topic == FeedTopic::Endpoints {
            state.removals.record_store_answer(now);
        }
    }

    /// Records that the store came back from an older copy.
    pub fn record_older_store(&self, topic: FeedTopic) {
        self.count("store_older");
        if topic == FeedTopic::Endpoints {
            let removals = &mut self.state.borrow_mut().removals;
            removals.record_older_store(Instant::now());
        }
    }

    /// Records that this host has read a topic of the store up to `next`.
    pub fn record_feed_position(&self, topic: FeedTopic, next: LogPosition, has_advanced: bool) {
        let state = &mut *self.state.borrow_mut();
        state
            .feed_positions
            .record_read(topic, next, Instant::now());
        state.heartbeat_due |= has_advanced;
    }

    /// Returns how this host obtains the updates of a topic from `next` on.
    #[must_use]
    pub fn feed_action(&self, topic: FeedTopic, next: LogPosition) -> FeedAction {
        let now = Instant::now();
        let state = self.state.borrow();
        let relayed = state.relay_plan.is_relayed();
        let is_reader = if relayed {
            // Hubs relay the updates that they read to all other hosts.
            self.settings.is_among(&state.relay_plan.readers)
        } else {
            state.members.is_elected_reader(STORE_READERS, now)
        };
        state
            .feed_positions
            .next_action(topic, next, is_reader, relayed, now)
    }

    /// Returns the furthest position that a peer has in a topic, if it is beyond `next`.
    #[must_use]
    pub fn position_beyond(&self, topic: FeedTopic, next: LogPosition) -> Option<LogPosition> {
        let positions = &self.state.borrow().feed_positions;
        let furthest = positions.furthest_position(topic, Instant::now());
        furthest.filter(|position| *position > next)
    }

    /// Returns for how long this host may still rely on what the hosts have read of a topic.
    #[must_use]
    pub fn feed_recent_for(&self, topic: FeedTopic) -> Duration {
        let state = self.state.borrow();
        let relayed = state.relay_plan.is_relayed();
        state
            .feed_positions
            .recent_for(topic, relayed, Instant::now())
    }

    /// Queues an update read from the store for relaying if this host is a hub.
    pub fn relay_update(&self, update: FeedUpdate) {
        if self.is_hub() {
            self.state.borrow_mut().updates_to_send.push(update);
        }
    }

    /// Removes and returns the updates of a topic that hubs have relayed. Returns `None` if no hub
    /// relays updates to this host.
    #[must_use]
    pub fn take_updates(&self, topic: FeedTopic) -> Option<Vec<FeedUpdate>> {
        let updates = self.state.borrow_mut().received_updates.take_topic(topic);
        self.is_relayed().then_some(updates)
    }

    /// Returns whether hubs relay no more updates of what this host lacks: the summary that states
    /// the version of a hub also has its last updates, unless they are too large for it.
    #[must_use]
    pub fn is_relay_over(&self, topic: FeedTopic) -> bool {
        topic == FeedTopic::Operators && self.newer_configuration().is_some()
    }

    /// Waits until a datagram announces an update of the store.
    pub async fn wait_for_update(&self) {
        let (sender, receiver) = oneshot::channel();
        {
            let waiters = &mut self.state.borrow_mut().update_waiters;
            waiters.retain(|waiter| !waiter.is_canceled());
            waiters.push(sender);
        }
        // A dropped sender ends the wait as well.
        let _ = receiver.await;
    }

    /// Records that the store rejected a call about a topic, broke the connection or did not
    /// answer.
    pub fn record_store_failure(&self, topic: FeedTopic, cause: &str) {
        let state = &mut *self.state.borrow_mut();
        if state.feed_positions.is_store_reachable() {
            log::warn!(config_version = state.catalog.version(), feed = topic.label(), cause = cause; "store: lost");
        }
        state.feed_positions.record_failure(topic, Instant::now());
        if topic == FeedTopic::Endpoints {
            state.removals.record_store_failure();
        }
    }

    /// Wakes the tasks that wait for an update of the store.
    pub fn wake_update_waiters(&self) {
        let waiters = std::mem::take(&mut self.state.borrow_mut().update_waiters);
        for waiter in waiters {
            // The receiver may have been dropped.
            let _ = waiter.send(());
        }
    }
}

/// Returns the beginning of a text of another writer on one line of ASCII characters.
fn printable(text: &str) -> String {
    let escaped = text.escape_default();
    escaped.take(MAX_LOGGED_CHARS).collect()
}
