//! Records of the store that hubs pass on, so that few hosts of a large fleet read them from the
//! store.

use serde::{Deserialize, Serialize};

use super::feed_positions::FeedTopic;
use super::log_position::LogPosition;

/// One answer of the store to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedUpdate {
    pub topic: FeedTopic,
    /// Position at which the read began.
    pub from: LogPosition,
    /// Position after the last record.
    pub next: LogPosition,
    /// The answer as the store encodes it. The adapter that read it decodes it.
    pub body: Vec<u8>,
}

/// A queue of updates between two parts of a host, bounded by the size of their bodies. Updates
/// that don't fit are dropped; hosts that miss them read them from the store.
#[derive(Debug)]
pub struct UpdateQueue {
    waiting: Vec<FeedUpdate>,
    max_bytes: usize,
}

impl UpdateQueue {
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            waiting: Vec::new(),
            max_bytes,
        }
    }

    pub fn push(&mut self, update: FeedUpdate) {
        let queued_bytes: usize = self.waiting.iter().map(|update| update.body.len()).sum();
        if queued_bytes + update.body.len() <= self.max_bytes {
            self.waiting.push(update);
        }
    }

    pub fn take_all(&mut self) -> Vec<FeedUpdate> {
        std::mem::take(&mut self.waiting)
    }

    /// Removes and returns the updates of one topic, ordered by where they begin.
    pub fn take_topic(&mut self, topic: FeedTopic) -> Vec<FeedUpdate> {
        let (mut taken, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|update| update.topic == topic);
        self.waiting = rest;
        taken.sort_by_key(|update| update.from);
        taken
    }
}
