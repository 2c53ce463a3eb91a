//! Records of the store that hubs pass on, so that few hosts of a large fleet read them there.

use serde::{Deserialize, Serialize};

use super::feed_positions::FeedTopic;

/// One answer of the store to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedUpdate {
    pub topic: FeedTopic,
    /// Offset from which was read.
    pub from_offset: u64,
    /// Offset after the last record.
    pub next_offset: u64,
    /// The answer as the store encodes it; the adapter that read it decodes it.
    pub body: Vec<u8>,
}

/// News on their way from one part of a host to another. What has no room is left out: hosts that
/// miss it read it from the store.
#[derive(Debug)]
pub struct UpdateQueue {
    waiting: Vec<FeedUpdate>,
    most_bytes: usize,
}

impl UpdateQueue {
    #[must_use]
    pub fn new(most_bytes: usize) -> Self {
        Self {
            waiting: Vec::new(),
            most_bytes,
        }
    }

    pub fn push(&mut self, news: FeedUpdate) {
        let held: usize = self.waiting.iter().map(|news| news.body.len()).sum();
        if held + news.body.len() <= self.most_bytes {
            self.waiting.push(news);
        }
    }

    pub fn take_all(&mut self) -> Vec<FeedUpdate> {
        std::mem::take(&mut self.waiting)
    }

    /// Takes the news of one topic, those from lower offsets first.
    pub fn take_topic(&mut self, topic: FeedTopic) -> Vec<FeedUpdate> {
        let (mut taken, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|news| news.topic == topic);
        self.waiting = rest;
        taken.sort_by_key(|news| news.from_offset);
        taken
    }
}
