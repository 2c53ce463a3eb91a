//! Which hub's loads a host uses.

use std::time::{Duration, Instant};

use crate::ids::{FastMap, HostAddress, Incarnation};

/// A hub that is silent for longer is left for another: six of its summaries.
pub(crate) const HUB_SILENCE: Duration = Duration::from_millis(600);

/// What a summary is good for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SummaryOutcome {
    /// A newer one of the same hub came before; nothing of it counts.
    Stale,
    /// From a hub that isn't followed; its loads don't count.
    NotFollowed,
    /// From the hub that was followed before.
    Followed,
    /// From a hub that is followed from now on.
    Switched,
}

/// The last summary of a hub, by its sender's run and its number.
#[derive(Debug, PartialEq, Eq)]
struct SummaryMark {
    incarnation: Incarnation,
    number: u64,
}

/// The followed hub and the newest summary of each hub.
#[derive(Debug, Default)]
pub struct HubChoice {
    followed: Option<(HostAddress, Instant)>,
    newest: FastMap<HostAddress, SummaryMark>,
}

impl HubChoice {
    /// Whether sums of a hub are at hand, so that the beats of single hosts don't count.
    #[must_use]
    pub fn is_following(&self, now: Instant) -> bool {
        self.followed(now).is_some()
    }

    /// The hub whose loads count now.
    #[must_use]
    pub fn followed(&self, now: Instant) -> Option<HostAddress> {
        let (hub, heard) = self.followed?;
        (now.duration_since(heard) <= HUB_SILENCE).then_some(hub)
    }

    /// Decides on what a hub tells with this number. Of several hubs the first counts; another one
    /// takes its place while it is silent.
    pub fn record_summary(
        &mut self,
        hub: HostAddress,
        incarnation: Incarnation,
        number: u64,
        is_first: bool,
        now: Instant,
    ) -> SummaryOutcome {
        let mark = SummaryMark {
            incarnation,
            number,
        };
        let last = self.newest.get(&hub);
        if last
            .is_some_and(|last| last.incarnation == mark.incarnation && last.number >= mark.number)
        {
            return SummaryOutcome::Stale;
        }
        self.newest.insert(hub, mark);
        let current = self.followed(now);
        if current.is_some_and(|current| current != hub) && !is_first {
            return SummaryOutcome::NotFollowed;
        }
        self.followed = Some((hub, now));
        if current == Some(hub) {
            SummaryOutcome::Followed
        } else {
            SummaryOutcome::Switched
        }
    }
}
