//! What this host knows of the store, and how news of it reach this host and others.

use std::time::Instant;

use futures_channel::oneshot;

use super::state::Edge;
use crate::membership::{FeedAction, FeedTopic, FeedUpdate, STORE_READERS};

impl Edge {
    /// The store answered a call about a topic.
    pub fn record_store_response(&self, topic: FeedTopic) {
        let now = Instant::now();
        let state = &mut *self.state.borrow_mut();
        let was_reached = state.marks.is_store_reachable();
        state.marks.record_answer(topic);
        if !was_reached && state.marks.is_store_reachable() {
            log::info!(config_version = state.catalog.version(); "store: reached");
        }
        if topic == FeedTopic::Endpoints {
            state.removals.record_store_answer(now);
        }
    }

    /// This host has read a topic of the store up to `next`.
    pub fn record_feed_position(&self, topic: FeedTopic, next: u64, moved: bool) {
        let state = &mut *self.state.borrow_mut();
        state.marks.record_own(topic, next, Instant::now());
        state.marks_moved |= moved;
    }

    /// What this host has to do to learn of news after `next`.
    #[must_use]
    pub fn feed_action(&self, topic: FeedTopic, next: u64) -> FeedAction {
        let now = Instant::now();
        let state = self.state.borrow();
        let relayed = state.plan.is_relayed();
        let watches = if relayed {
            // Hubs tell all others what they have read.
            self.settings.is_among(&state.plan.readers)
        } else {
            state.members.is_elected(STORE_READERS, now)
        };
        state.marks.next_action(topic, next, watches, relayed, now)
    }

    /// Whether this host or a peer has lately seen news after `next`.
    #[must_use]
    pub fn is_behind(&self, topic: FeedTopic, next: u64) -> bool {
        let state = self.state.borrow();
        let relayed = state.plan.is_relayed();
        let furthest = state.marks.latest_offset(topic, relayed, Instant::now());
        furthest.is_some_and(|mark| mark > next)
    }

    /// Passes on what this host has read from the store, if others rely on it.
    pub fn relay_update(&self, news: FeedUpdate) {
        if self.is_hub() {
            self.state.borrow_mut().updates_to_send.push(news);
        }
    }

    /// Takes what hubs have read from a topic of the store; `None` where nobody passes it on.
    #[must_use]
    pub fn take_updates(&self, topic: FeedTopic) -> Option<Vec<FeedUpdate>> {
        let heard = self.state.borrow_mut().received_updates.take_topic(topic);
        self.is_relayed().then_some(heard)
    }

    /// Completes when a datagram has told of news of the store.
    pub async fn wait_for_update(&self) {
        let (sender, receiver) = oneshot::channel();
        {
            let waiters = &mut self.state.borrow_mut().update_waiters;
            waiters.retain(|waiter| !waiter.is_canceled());
            waiters.push(sender);
        }
        // A sender that is dropped ends the wait as well.
        let _ = receiver.await;
    }

    /// The store refused, broke or gave no answer to a call about a topic.
    pub fn record_store_failure(&self, topic: FeedTopic, cause: &str) {
        let state = &mut *self.state.borrow_mut();
        if state.marks.is_store_reachable() {
            log::warn!(config_version = state.catalog.version(), feed = topic.label(), cause = cause; "store: lost");
        }
        state.marks.record_failure(topic, Instant::now());
        if topic == FeedTopic::Endpoints {
            state.removals.record_store_failure();
        }
    }

    /// Wakes what waits for news of the store.
    pub(crate) fn wake_update_waiters(&self) {
        let waiters = std::mem::take(&mut self.state.borrow_mut().update_waiters);
        for waiter in waiters {
            // Its receiver may have stopped to wait.
            let _ = waiter.send(());
        }
    }
}
