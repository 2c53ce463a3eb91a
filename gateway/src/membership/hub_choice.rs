//! The choice of the hub whose loads a host uses.

use std::time::{Duration, Instant};

use crate::ids::{FastMap, HostAddress, Incarnation};

/// Time without a summary after which a host switches to another hub: six summaries.
pub(crate) const HUB_TIMEOUT: Duration = Duration::from_millis(600);

/// How a host treats a summary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SummaryOutcome {
    /// A newer summary of the same hub arrived before; the whole summary is discarded.
    Stale,
    /// The hub is not the followed one; its loads are not used.
    NotFollowed,
    /// The hub was followed before and still is.
    Followed,
    /// The hub is followed from now on.
    Switched,
}

/// Identifies the newest summary of a hub by the hub's incarnation and a sequence number.
#[derive(Debug, PartialEq, Eq)]
struct SummaryVersion {
    incarnation: Incarnation,
    sequence: u64,
}

/// The followed hub and the newest summary of each hub.
#[derive(Debug, Default)]
pub struct HubChoice {
    followed: Option<(HostAddress, Instant)>,
    newest: FastMap<HostAddress, SummaryVersion>,
}

impl HubChoice {
    /// Returns whether the sums of a hub are available, so that heartbeats of single hosts don't
    /// count.
    #[must_use]
    pub fn is_following(&self, now: Instant) -> bool {
        self.followed(now).is_some()
    }

    /// Returns the hub whose loads this host uses now.
    #[must_use]
    pub fn followed(&self, now: Instant) -> Option<HostAddress> {
        let (hub, last_summary) = self.followed?;
        (now.duration_since(last_summary) <= HUB_TIMEOUT).then_some(hub)
    }

    /// Records a summary and decides whether its sender is followed. The preferred hub always is;
    /// another hub is followed only while the followed one is silent.
    pub fn record_summary(
        &mut self,
        hub: HostAddress,
        incarnation: Incarnation,
        sequence: u64,
        is_preferred: bool,
        now: Instant,
    ) -> SummaryOutcome {
        let version = SummaryVersion {
            incarnation,
            sequence,
        };
        let last = self.newest.get(&hub);
        if last.is_some_and(|last| {
            last.incarnation == version.incarnation && last.sequence >= version.sequence
        }) {
            return SummaryOutcome::Stale;
        }
        self.newest.insert(hub, version);
        let current = self.followed(now);
        if current.is_some_and(|current| current != hub) && !is_preferred {
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
