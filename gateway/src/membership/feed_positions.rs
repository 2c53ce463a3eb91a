//! How far hosts have read the store's topics, so that few of them need to ask it.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{FastMap, FastSet, HostAddress};

/// What a topic of the store is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FeedTopic {
    Operators,
    Endpoints,
}

impl FeedTopic {
    pub(crate) const ALL: [Self; 2] = [Self::Operators, Self::Endpoints];

    /// The word for it in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Endpoints => "endpoints",
        }
    }
}

/// What a host does to learn of news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedAction {
    /// Wait at the store: it is this host's task, or no peer has asked lately.
    Watch,
    /// Read once: a peer has found news.
    Fetch,
    /// Nothing: a peer has asked lately and found nothing newer.
    Idle,
}

/// A host's place in a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedPosition {
    pub topic: FeedTopic,
    /// Offset up to which the host had read.
    pub next_offset: u64,
    /// Milliseconds since the store's answer that showed it.
    pub age_ms: u32,
    /// Milliseconds since which the store has answered the host without a pause.
    pub contact_ms: u32,
}

/// Age up to which a peer's mark saves a call to the store. News must be in force two seconds
/// after the store has them: this age, a beat and a read stay below that.
const FRESH_MARK: Duration = Duration::from_millis(1_100);
/// The same of a host that hears of marks through hubs, two datagrams later.
const FRESH_RELAYED_MARK: Duration = Duration::from_millis(1_500);

/// Time without an answer after which a host can't say that the store was there. Readers ask at
/// least every 0.8 s.
const ANSWER_GAP: Duration = Duration::from_millis(1_500);

/// A span in which the store answered, as times back from now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ContactSpan {
    pub began: Duration,
    pub ended: Duration,
}

impl ContactSpan {
    /// What a mark shows of an answer that came `age` ago.
    fn of(mark: &FeedPosition, age: Duration) -> Self {
        Self {
            began: age + Duration::from_millis(mark.contact_ms.into()),
            ended: age,
        }
    }

    /// Joins the span that ended last with all that reach up to it.
    fn join_last(mut spans: Vec<Self>) -> Option<Self> {
        spans.sort_unstable_by_key(|span| span.ended);
        let mut spans = spans.into_iter();
        let last = spans.next()?;
        Some(spans.fold(last, |joined, span| {
            if span.ended > joined.began + ANSWER_GAP {
                return joined;
            }
            let began = joined.began.max(span.began);
            Self { began, ..joined }
        }))
    }

    pub fn length(self) -> Duration {
        self.began.saturating_sub(self.ended)
    }
}

/// What this host read last of a topic.
#[derive(Debug)]
struct OwnMark {
    next: u64,
    read: Instant,
    reached_since: Instant,
}

impl OwnMark {
    fn told(&self, topic: FeedTopic, now: Instant) -> FeedPosition {
        FeedPosition {
            topic,
            next_offset: self.next,
            age_ms: millis(now.duration_since(self.read)),
            contact_ms: millis(self.read.saturating_duration_since(self.reached_since)),
        }
    }
}

/// Marks of this host and of its peers.
#[derive(Debug, Default)]
pub struct FeedPositions {
    own: FastMap<FeedTopic, OwnMark>,
    /// Topics whose last call the store answered.
    answered: FastSet<FeedTopic>,
    peers: FastMap<HostAddress, Vec<(FeedPosition, Instant)>>,
    /// The furthest place that any peer has told.
    furthest: FastMap<FeedTopic, u64>,
}

impl FeedPositions {
    /// The store answered this host, which has read up to `next`.
    pub fn record_own(&mut self, topic: FeedTopic, next: u64, now: Instant) {
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

    /// The store answered this host's last call about a topic.
    pub fn record_answer(&mut self, topic: FeedTopic) {
        self.answered.insert(topic);
    }

    /// The store failed to answer this host's last call about a topic. Each topic may fail alone.
    pub fn record_failure(&mut self, topic: FeedTopic, now: Instant) {
        self.answered.remove(&topic);
        if let Some(mark) = self.own.get_mut(&topic) {
            mark.reached_since = now;
        }
    }

    /// Whether the store answered this host's last call about every topic.
    #[must_use]
    pub fn is_store_reachable(&self) -> bool {
        FeedTopic::ALL
            .iter()
            .all(|topic| self.answered.contains(topic))
    }

    /// Takes what a peer tells; true when it has read further than any before.
    pub fn apply_peer_positions(
        &mut self,
        peer: HostAddress,
        marks: Vec<FeedPosition>,
        now: Instant,
    ) -> bool {
        let mut moved = false;
        for mark in &marks {
            let furthest = self.furthest.entry(mark.topic).or_default();
            moved |= mark.next_offset > *furthest;
            *furthest = mark.next_offset.max(*furthest);
        }
        let marks = marks.into_iter().map(|mark| (mark, now)).collect();
        self.peers.insert(peer, marks);
        moved
    }

    /// Own marks for the beat. Only what this host read itself is told on.
    #[must_use]
    pub fn own_positions(&self, now: Instant) -> Vec<FeedPosition> {
        let marks = self.own.iter();
        marks.map(|(topic, mark)| mark.told(*topic, now)).collect()
    }

    /// The freshest mark of each topic, own or heard, with the contact of all hosts together, for a
    /// hub's summary.
    #[must_use]
    pub fn freshest_positions(&self, now: Instant) -> Vec<FeedPosition> {
        let newest = FeedTopic::ALL.map(|topic| {
            let (freshest, age) = self
                .positions_with_age(topic, now)
                .min_by_key(|(_, age)| *age)?;
            let contact = self.last_contact(topic, now)?;
            Some(FeedPosition {
                age_ms: millis(age),
                contact_ms: millis(contact.length()),
                ..freshest
            })
        });
        newest.into_iter().flatten().collect()
    }

    /// Time since this host or a peer read each topic.
    #[must_use]
    pub fn ages(&self, now: Instant) -> Vec<(FeedTopic, Duration)> {
        let age = |topic| {
            let ages = self.positions_with_age(topic, now).map(|(_, age)| age);
            Some((topic, ages.min()?))
        };
        FeedTopic::ALL.into_iter().filter_map(age).collect()
    }

    /// Marks of a topic, heard and own, each with the time since the store's answer.
    fn positions_with_age(
        &self,
        topic: FeedTopic,
        now: Instant,
    ) -> impl Iterator<Item = (FeedPosition, Duration)> {
        let heard = self.peers.values().flatten().map(move |(mark, heard)| {
            let told = Duration::from_millis(mark.age_ms.into());
            (*mark, told + now.duration_since(*heard))
        });
        let own = self.own.get(&topic);
        let own = own.map(|own| (own.told(topic, now), now.duration_since(own.read)));
        heard
            .filter(move |(mark, _)| mark.topic == topic)
            .chain(own)
    }

    /// Whether the store has answered the hosts lately, and for at least this time before.
    ///
    /// `relayed`: hubs pass marks on.
    #[must_use]
    pub fn is_contact_confirmed(
        &self,
        topic: FeedTopic,
        reached: Duration,
        relayed: bool,
        now: Instant,
    ) -> bool {
        let contact = self.last_contact(topic, now);
        contact.is_some_and(|contact| {
            contact.ended <= fresh_for(relayed) && contact.length() >= reached
        })
    }

    /// The last span in which the store answered the hosts without a pause, whichever of them it was.
    /// That of a single host says little: those that come back from a cut have just reached the
    /// store, and become its readers in place of those that could tell of a long contact.
    #[must_use]
    pub(crate) fn last_contact(&self, topic: FeedTopic, now: Instant) -> Option<ContactSpan> {
        let marks = self.positions_with_age(topic, now);
        let spans = marks.map(|(mark, age)| ContactSpan::of(&mark, age));
        ContactSpan::join_last(spans.collect())
    }

    /// What a host that has read up to `next` does to learn of news.
    ///
    /// `watches`: waiting at the store is its task. So it is while the store did not answer its last
    /// call: whoever rests on the word of others never learns that the store is back.
    #[must_use]
    pub fn next_action(
        &self,
        topic: FeedTopic,
        next: u64,
        watches: bool,
        relayed: bool,
        now: Instant,
    ) -> FeedAction {
        if watches || !self.answered.contains(&topic) {
            return FeedAction::Watch;
        }
        match self.latest_offset(topic, relayed, now) {
            None => FeedAction::Watch,
            Some(mark) if mark > next => FeedAction::Fetch,
            Some(_) => FeedAction::Idle,
        }
    }

    /// The furthest place that this host or a peer has seen lately; `None` when none has asked the
    /// store lately.
    ///
    /// `relayed`: hubs pass marks on.
    #[must_use]
    pub fn latest_offset(&self, topic: FeedTopic, relayed: bool, now: Instant) -> Option<u64> {
        let fresh_for = fresh_for(relayed);
        let fresh = self
            .positions_with_age(topic, now)
            .filter(|(_, age)| *age <= fresh_for);
        fresh.map(|(mark, _)| mark.next_offset).max()
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
