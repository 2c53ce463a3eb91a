//! The offsets up to which hosts have read the store's topics. Hosts share them, so that few hosts
//! need to poll the store.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::log_position::LogPosition;
use crate::ids::{FastMap, FastSet, HostAddress};

/// A topic of the store, named after the writers of its records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FeedTopic {
    Operators,
    Endpoints,
}

impl FeedTopic {
    pub(crate) const ALL: [Self; 2] = [Self::Operators, Self::Endpoints];

    /// Returns the name of the topic in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Endpoints => "endpoints",
        }
    }
}

/// The next step of a host that keeps up with a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedAction {
    /// Send the store a read that waits for new records: either this host is a reader, or no peer
    /// has read the topic recently.
    Watch,
    /// Read once without waiting: a peer has seen newer records.
    Fetch,
    /// Send nothing: a peer has read the topic recently and found nothing newer.
    Idle,
}

/// The position of a host in a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedPosition {
    pub topic: FeedTopic,
    /// Position of the first record that the host has not read.
    pub next: LogPosition,
    /// Milliseconds since the store's answer that confirmed this position.
    pub age_ms: u32,
    /// Milliseconds for which the store had answered the host without a gap, up to that answer.
    pub contact_ms: u32,
}

/// Maximum age at which the position of a peer replaces a read of the store. An update must be in
/// force two seconds after the store has it: this age, a heartbeat and a read together stay below
/// that.
const MAX_POSITION_AGE: Duration = Duration::from_millis(1_100);
/// The same for a host that receives positions through hubs, two datagrams later.
const MAX_RELAYED_POSITION_AGE: Duration = Duration::from_millis(1_500);

/// Time for which the position that a peer reported shows what the peer has; it reports its position
/// several times a second.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// Maximum time between two answers of an uninterrupted contact with the store. Readers send a
/// read at least every 0.8 s.
const MAX_ANSWER_GAP: Duration = Duration::from_millis(1_500);

/// A period in which the store answered without a gap. Both ends are given as time before now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ContactSpan {
    pub began: Duration,
    pub ended: Duration,
}

impl ContactSpan {
    /// Returns the contact that a position proves, given the `age` of its answer.
    fn from_position(position: &FeedPosition, age: Duration) -> Self {
        Self {
            began: age + Duration::from_millis(position.contact_ms.into()),
            ended: age,
        }
    }

    /// Merges the most recent span with all spans that reach up to it.
    fn merge_latest(mut spans: Vec<Self>) -> Option<Self> {
        spans.sort_unstable_by_key(|span| span.ended);
        let mut spans = spans.into_iter();
        let latest = spans.next()?;
        Some(spans.fold(latest, |merged, span| {
            if span.ended > merged.began + MAX_ANSWER_GAP {
                return merged;
            }
            let began = merged.began.max(span.began);
            Self { began, ..merged }
        }))
    }

    /// Extends this contact by an earlier one of this host, which a failed call ended, if the answers
    /// that a peer got continue that one. The failure was then this host's alone.
    fn extend_by_earlier(self, earlier: Self, peers: &[Self]) -> Self {
        let is_continued = peers.iter().any(|peer| {
            let is_part = peer.began <= self.began && peer.ended >= self.ended;
            is_part && earlier.ended <= peer.began + MAX_ANSWER_GAP
        });
        if !is_continued {
            return self;
        }
        let began = self.began.max(earlier.began);
        Self { began, ..self }
    }

    pub fn length(self) -> Duration {
        self.began.saturating_sub(self.ended)
    }
}

/// The position of this host in a topic.
#[derive(Debug)]
struct OwnPosition {
    next: LogPosition,
    read_at: Instant,
    contact_since: Instant,
    /// When the contact before the last failed call began and ended.
    earlier_contact: Option<(Instant, Instant)>,
}

impl OwnPosition {
    /// Ends the contact at a failed call. Further failures change nothing until the next read.
    fn end_contact(&mut self, now: Instant) {
        if self.read_at >= self.contact_since {
            self.earlier_contact = Some((self.contact_since, self.read_at));
        }
        self.contact_since = now;
    }

    fn earlier_span(&self, now: Instant) -> Option<ContactSpan> {
        let (began, ended) = self.earlier_contact?;
        Some(ContactSpan {
            began: now.saturating_duration_since(began),
            ended: now.saturating_duration_since(ended),
        })
    }

    fn to_feed_position(&self, topic: FeedTopic, now: Instant) -> FeedPosition {
        FeedPosition {
            topic,
            next: self.next,
            age_ms: to_millis(now.duration_since(self.read_at)),
            contact_ms: to_millis(self.read_at.saturating_duration_since(self.contact_since)),
        }
    }
}

/// The positions of this host and of its peers.
#[derive(Debug, Default)]
pub struct FeedPositions {
    own: FastMap<FeedTopic, OwnPosition>,
    /// Topics for which the store answered this host's last request.
    answered: FastSet<FeedTopic>,
    peers: FastMap<HostAddress, Vec<(FeedPosition, Instant)>>,
    /// The latest position that any peer has reported for each topic.
    latest_positions: FastMap<FeedTopic, LogPosition>,
}

impl FeedPositions {
    /// Records a read of this host, after which `next` is the first position that it has not read.
    ///
    /// A contact with the store ends when the store comes back from an older copy, because endpoints
    /// that have registered since then first have to do so again.
    pub fn record_read(&mut self, topic: FeedTopic, next: LogPosition, now: Instant) {
        let previous = self.own.get(&topic);
        let previous = previous.filter(|previous| previous.next.era == next.era);
        let contact_since = previous
            .filter(|previous| now.duration_since(previous.read_at) <= MAX_ANSWER_GAP)
            .map_or(now, |previous| previous.contact_since);
        let position = OwnPosition {
            next,
            read_at: now,
            contact_since,
            earlier_contact: previous.and_then(|previous| previous.earlier_contact),
        };
        self.own.insert(topic, position);
    }

    /// Records that the store answered this host's last request for a topic.
    pub fn record_answer(&mut self, topic: FeedTopic) {
        self.answered.insert(topic);
    }

    /// Records that the store did not answer this host's last request for a topic. Requests for one
    /// topic may fail while those for the other succeed.
    pub fn record_failure(&mut self, topic: FeedTopic, now: Instant) {
        self.answered.remove(&topic);
        if let Some(position) = self.own.get_mut(&topic) {
            position.end_contact(now);
        }
    }

    /// Returns whether the store answered this host's last request for every topic.
    #[must_use]
    pub fn is_store_reachable(&self) -> bool {
        FeedTopic::ALL
            .iter()
            .all(|topic| self.answered.contains(topic))
    }

    /// Applies the positions that a peer reports. Returns true if the peer has read further than
    /// any peer before.
    pub fn apply_peer_positions(
        &mut self,
        peer: HostAddress,
        positions: Vec<FeedPosition>,
        now: Instant,
    ) -> bool {
        let mut has_advanced = false;
        for position in &positions {
            let latest = self.latest_positions.entry(position.topic).or_default();
            has_advanced |= position.next > *latest;
            *latest = position.next.max(*latest);
        }
        let positions = positions
            .into_iter()
            .map(|position| (position, now))
            .collect();
        self.peers.insert(peer, positions);
        has_advanced
    }

    /// Returns the era of the store that this host has read.
    #[must_use]
    pub fn era(&self) -> u64 {
        let eras = self.own.values().map(|position| position.next.era);
        eras.max().unwrap_or_default()
    }

    /// Returns this host's own positions for a heartbeat. Positions of peers are not passed on in
    /// heartbeats.
    #[must_use]
    pub fn own_positions(&self, now: Instant) -> Vec<FeedPosition> {
        let positions = self.own.iter();
        positions
            .map(|(topic, position)| position.to_feed_position(*topic, now))
            .collect()
    }

    /// Returns the freshest position of each topic for a hub's summary, whether this host's own or
    /// a peer's, with the contact of all hosts together.
    #[must_use]
    pub fn freshest_positions(&self, now: Instant) -> Vec<FeedPosition> {
        let freshest = FeedTopic::ALL.map(|topic| {
            let (position, age) = self
                .positions_with_age(topic, now)
                .min_by_key(|(_, age)| *age)?;
            let contact = self.last_contact(topic, now)?;
            Some(FeedPosition {
                age_ms: to_millis(age),
                contact_ms: to_millis(contact.length()),
                ..position
            })
        });
        freshest.into_iter().flatten().collect()
    }

    /// Returns the time since this host or a peer last read each topic.
    #[must_use]
    pub fn ages(&self, now: Instant) -> Vec<(FeedTopic, Duration)> {
        let age = |topic| {
            let ages = self.positions_with_age(topic, now).map(|(_, age)| age);
            Some((topic, ages.min()?))
        };
        FeedTopic::ALL.into_iter().filter_map(age).collect()
    }

    /// Returns the positions of all peers and of this host in a topic, each with the time since the
    /// store's answer.
    fn positions_with_age(
        &self,
        topic: FeedTopic,
        now: Instant,
    ) -> impl Iterator<Item = (FeedPosition, Duration)> {
        let own = self.own.get(&topic);
        let own = own.map(|own| {
            (
                own.to_feed_position(topic, now),
                now.duration_since(own.read_at),
            )
        });
        self.peer_positions(topic, now).chain(own)
    }

    /// Returns the positions of all peers in a topic, each with the time since the store's answer.
    fn peer_positions(
        &self,
        topic: FeedTopic,
        now: Instant,
    ) -> impl Iterator<Item = (FeedPosition, Duration)> {
        let reported = self.peers.values().flatten();
        let reported = reported.map(move |(position, received_at)| {
            let reported_age = Duration::from_millis(position.age_ms.into());
            (*position, reported_age + now.duration_since(*received_at))
        });
        reported.filter(move |(position, _)| position.topic == topic)
    }

    /// Returns whether some host has reached the store recently, after an uninterrupted contact of
    /// at least `min_length`.
    ///
    /// `relayed`: hubs pass positions on.
    #[must_use]
    pub fn is_contact_confirmed(
        &self,
        topic: FeedTopic,
        min_length: Duration,
        relayed: bool,
        now: Instant,
    ) -> bool {
        let contact = self.last_contact(topic, now);
        contact.is_some_and(|contact| {
            contact.ended <= max_position_age(relayed) && contact.length() >= min_length
        })
    }

    /// Returns the last period in which the store answered the hosts without a gap, whichever host
    /// it answered.
    ///
    /// The contact of a single host proves little. Hosts that return from a network partition have
    /// only just reached the store, yet they may take over as its readers from hosts that had a
    /// long contact.
    #[must_use]
    pub(crate) fn last_contact(&self, topic: FeedTopic, now: Instant) -> Option<ContactSpan> {
        let to_span = |(position, age)| ContactSpan::from_position(&position, age);
        let positions = self.positions_with_age(topic, now);
        let era = positions.map(|(position, _)| position.next.era).max()?;
        let is_current = |(position, _): &(FeedPosition, Duration)| position.next.era == era;
        let positions = self.positions_with_age(topic, now).filter(is_current);
        let contact = ContactSpan::merge_latest(positions.map(to_span).collect())?;
        let earlier = self.own.get(&topic).and_then(|own| own.earlier_span(now));
        Some(earlier.map_or(contact, |earlier| {
            let peers = self.peer_positions(topic, now).filter(is_current);
            let peers: Vec<_> = peers.map(to_span).collect();
            contact.extend_by_earlier(earlier, &peers)
        }))
    }

    /// Returns the next step of a host that keeps up with a topic and has read it up to `next`.
    ///
    /// `is_reader`: the host is one of those that wait for updates at the store. Every host also
    /// does so while the store has not answered its last request: a host that only relied on its
    /// peers would never notice that it can reach the store again. Its own read doesn't make a host
    /// idle either, as it may be the only one that the store serves.
    #[must_use]
    pub fn next_action(
        &self,
        topic: FeedTopic,
        next: LogPosition,
        is_reader: bool,
        relayed: bool,
        now: Instant,
    ) -> FeedAction {
        if is_reader || !self.answered.contains(&topic) {
            return FeedAction::Watch;
        }
        let peers = self.peer_positions(topic, now);
        match latest_recent(peers, relayed) {
            None => FeedAction::Watch,
            Some(position) if position > next => FeedAction::Fetch,
            Some(_) => FeedAction::Idle,
        }
    }

    /// Returns the last position that a peer has reported, which a hub may have from another host.
    #[must_use]
    pub fn position_of(&self, peer: HostAddress, topic: FeedTopic) -> Option<LogPosition> {
        let positions = self.peers.get(&peer)?;
        let position = positions
            .iter()
            .find(|(position, _)| position.topic == topic);
        position.map(|(position, _)| position.next)
    }

    /// Returns the furthest position that a peer has, however long ago it read the store.
    #[must_use]
    pub fn furthest_position(&self, topic: FeedTopic, now: Instant) -> Option<LogPosition> {
        let reported = self.peers.values().flatten();
        let reported = reported.filter(|(position, received_at)| {
            position.topic == topic && now.duration_since(*received_at) <= MAX_REPORT_AGE
        });
        reported.map(|(position, _)| position.next).max()
    }

    /// Returns for how long a position of a peer stays recent.
    #[must_use]
    pub fn recent_for(&self, topic: FeedTopic, relayed: bool, now: Instant) -> Duration {
        let ages = self.peer_positions(topic, now).map(|(_, age)| age);
        let age = ages.min().unwrap_or(Duration::MAX);
        max_position_age(relayed).saturating_sub(age)
    }

    /// Returns the latest position that this host or a peer has seen recently, or `None` if no host
    /// has read the topic recently.
    ///
    /// `relayed`: hubs pass positions on.
    #[must_use]
    pub fn latest_position(
        &self,
        topic: FeedTopic,
        relayed: bool,
        now: Instant,
    ) -> Option<LogPosition> {
        latest_recent(self.positions_with_age(topic, now), relayed)
    }
}

/// Returns the latest of the positions that are recent.
fn latest_recent(
    positions: impl Iterator<Item = (FeedPosition, Duration)>,
    relayed: bool,
) -> Option<LogPosition> {
    let max_age = max_position_age(relayed);
    let recent = positions.filter(|(_, age)| *age <= max_age);
    recent.map(|(position, _)| position.next).max()
}

/// Returns the age up to which a position counts.
fn max_position_age(relayed: bool) -> Duration {
    if relayed {
        MAX_RELAYED_POSITION_AGE
    } else {
        MAX_POSITION_AGE
    }
}

fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
