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
    /// Milliseconds since which the store has answered the host without a pause.
    pub reached_ms: u32,
}

/// Age up to which a peer's mark saves a call to the store. News must be in force two seconds
/// after the store has them: this age, a beat and a read stay below that.
const FRESH_MARK: Duration = Duration::from_millis(1_100);
/// The same of a host that hears of marks through hubs, two datagrams later.
const FRESH_RELAYED_MARK: Duration = Duration::from_millis(1_500);

/// Time without an answer after which a host can't say that the store was there. Readers ask at
/// least every 0.8 s.
const ANSWER_GAP: Duration = Duration::from_millis(1_500);

/// What this host read last of a topic.
#[derive(Debug)]
struct OwnMark {
    next: u64,
    read: Instant,
    reached_since: Instant,
}

/// Marks of this host and of its peers.
#[derive(Debug, Default)]
pub struct FeedMarks {
    own: FastMap<FeedTopic, OwnMark>,
    peers: FastMap<HostAddress, Vec<(FeedMark, Instant)>>,
    /// The furthest place that any peer has told.
    furthest: FastMap<FeedTopic, u64>,
}

impl FeedMarks {
    /// The store answered this host, which has read up to `next`.
    pub fn note_own(&mut self, topic: FeedTopic, next: u64, now: Instant) {
        let before = self.own.get(&topic);
        let reached_since = before
            .filter(|before| now.duration_since(before.read) <= ANSWER_GAP)
            .map_or(now, |before| before.reached_since);
        let mark = OwnMark {
            next,
            read: now,
            reached_since,
        };
        self.own.insert(topic, mark);
    }

    /// The store failed to answer this host.
    pub fn note_failed(&mut self, now: Instant) {
        for mark in self.own.values_mut() {
            mark.reached_since = now;
        }
    }

    /// Takes what a peer tells; true when it has read further than any before.
    pub fn note_peer(&mut self, peer: HostAddress, marks: Vec<FeedMark>, now: Instant) -> bool {
        let mut moved = false;
        for mark in &marks {
            let furthest = self.furthest.entry(mark.topic).or_default();
            moved |= mark.next > *furthest;
            *furthest = mark.next.max(*furthest);
        }
        let marks = marks.into_iter().map(|mark| (mark, now)).collect();
        self.peers.insert(peer, marks);
        moved
    }

    /// Own marks for the beat. Only what this host read itself is told on.
    #[must_use]
    pub fn own(&self, now: Instant) -> Vec<FeedMark> {
        let marks = self.own.iter().map(|(topic, mark)| FeedMark {
            topic: *topic,
            next: mark.next,
            age_ms: millis(now.duration_since(mark.read)),
            reached_ms: millis(mark.read.saturating_duration_since(mark.reached_since)),
        });
        marks.collect()
    }

    /// The freshest mark of each topic, own or heard, for a hub's summary.
    #[must_use]
    pub fn newest(&self, now: Instant) -> Vec<FeedMark> {
        let heard = self.peers.values().flatten().map(|(mark, heard)| {
            let since = millis(now.duration_since(*heard));
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

    /// Whether a peer was answered by the store lately, and for at least this time before.
    ///
    /// `relayed`: hubs pass marks on.
    #[must_use]
    pub fn is_vouched(
        &self,
        topic: FeedTopic,
        reached: Duration,
        relayed: bool,
        now: Instant,
    ) -> bool {
        let fresh_for = fresh_for(relayed);
        let mut marks = self.peers.values().flatten();
        marks.any(|(mark, heard)| {
            let age = Duration::from_millis(mark.age_ms.into()) + now.duration_since(*heard);
            let mark_reached = Duration::from_millis(mark.reached_ms.into());
            mark.topic == topic && age <= fresh_for && mark_reached >= reached
        })
    }

    /// What a host that has read up to `next` does to learn of news.
    ///
    /// `asks`: waiting at the store is its task, or the store did not answer it last. That one must
    /// go on until it does: whoever rests on the word of others never learns that the store is back,
    /// and holds removals back for good.
    #[must_use]
    pub fn duty(
        &self,
        topic: FeedTopic,
        next: u64,
        asks: bool,
        relayed: bool,
        now: Instant,
    ) -> FeedDuty {
        if asks {
            return FeedDuty::Watch;
        }
        match self.fresh(topic, relayed, now) {
            None => FeedDuty::Watch,
            Some(mark) if mark > next => FeedDuty::Fetch,
            Some(_) => FeedDuty::Rest,
        }
    }

    /// The furthest place that this host or a peer has seen lately; `None` when none has asked the
    /// store lately.
    ///
    /// `relayed`: hubs pass marks on.
    #[must_use]
    pub fn fresh(&self, topic: FeedTopic, relayed: bool, now: Instant) -> Option<u64> {
        let fresh_for = fresh_for(relayed);
        let own = self.own.get(&topic);
        let own = own.filter(|own| now.duration_since(own.read) <= fresh_for);
        let marks = self.peers.values().flatten();
        let fresh = marks.filter(|(mark, heard)| {
            let age = Duration::from_millis(mark.age_ms.into()) + now.duration_since(*heard);
            mark.topic == topic && age <= fresh_for
        });
        let peers = fresh.map(|(mark, _)| mark.next);
        peers.chain(own.map(|own| own.next)).max()
    }
}

/// Age up to which a mark counts.
fn fresh_for(relayed: bool) -> Duration {
    if relayed {
        FRESH_RELAYED_MARK
    } else {
        FRESH_MARK
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
