//! How far hosts have read the store's topics, so that few of them need to ask it.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{FastMap, HostAddress};

/// What a topic of the store is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FeedTopic {
    Operators,
    Endpoints,
}

/// What a host does to learn of news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedDuty {
    /// Wait at the store: it is this host's task, or no peer has asked lately.
    Watch,
    /// Read once: a peer has found news.
    Fetch,
    /// Nothing: a peer has asked lately and found nothing newer.
    Rest,
}

/// A host's place in a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedMark {
    pub topic: FeedTopic,
    /// Offset up to which the host had read.
    pub next: u64,
    /// Milliseconds since the store's answer that showed it.
    pub age_ms: u32,
}

/// Age up to which a peer's mark saves a call to the store. News must be in force two seconds
/// after the store has them: this age, a beat and a read stay below that.
const FRESH_MARK: Duration = Duration::from_millis(1_100);

/// Marks of this host and of its peers.
#[derive(Debug, Default)]
pub struct FeedMarks {
    own: FastMap<FeedTopic, (u64, Instant)>,
    peers: FastMap<HostAddress, Vec<(FeedMark, Instant)>>,
}

impl FeedMarks {
    /// The store answered this host, which has read up to `next`.
    pub fn note_own(&mut self, topic: FeedTopic, next: u64, now: Instant) {
        self.own.insert(topic, (next, now));
    }

    pub fn note_peer(&mut self, peer: HostAddress, marks: Vec<FeedMark>, now: Instant) {
        let marks = marks.into_iter().map(|mark| (mark, now)).collect();
        self.peers.insert(peer, marks);
    }

    /// Own marks for the beat. Only what this host read itself is told on.
    #[must_use]
    pub fn own(&self, now: Instant) -> Vec<FeedMark> {
        let marks = self.own.iter().map(|(topic, (next, read))| FeedMark {
            topic: *topic,
            next: *next,
            age_ms: u32::try_from(now.duration_since(*read).as_millis()).unwrap_or(u32::MAX),
        });
        marks.collect()
    }

    /// The freshest mark of each topic, own or heard, for a hub's summary.
    #[must_use]
    pub fn newest(&self, now: Instant) -> Vec<FeedMark> {
        let heard = self.peers.values().flatten().map(|(mark, heard)| {
            let since = u32::try_from(now.duration_since(*heard).as_millis()).unwrap_or(u32::MAX);
            FeedMark {
                age_ms: mark.age_ms.saturating_add(since),
                ..*mark
            }
        });
        let all: Vec<FeedMark> = heard.chain(self.own(now)).collect();
        let freshest = [FeedTopic::Operators, FeedTopic::Endpoints].map(|topic| {
            let marks = all.iter().filter(|mark| mark.topic == topic);
            marks.min_by_key(|mark| mark.age_ms).copied()
        });
        freshest.into_iter().flatten().collect()
    }

    /// The furthest place that a peer has seen lately; `None` when no peer has asked the store
    /// lately.
    #[must_use]
    pub fn fresh_peer(&self, topic: FeedTopic, now: Instant) -> Option<u64> {
        let marks = self.peers.values().flatten();
        let fresh = marks.filter(|(mark, heard)| {
            let age = Duration::from_millis(mark.age_ms.into()) + now.duration_since(*heard);
            mark.topic == topic && age <= FRESH_MARK
        });
        fresh.map(|(mark, _)| mark.next).max()
    }
}
