//! An address of the electorate and the incarnation that last sent a heartbeat from it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::host_listing::LeavingHold;
use crate::ids::{ConfigVersion, FastMap, HostBrief, HostName, HostState, Incarnation, PoolName};
use crate::messages::Heartbeat;

/// Number of replaced incarnations kept per address, so that their delayed messages are recognised.
const MAX_RETIRED: usize = 8;

/// Status of the current incarnation at an address, from its newest heartbeat.
pub struct PeerStatus {
    pub brief: HostBrief,
    pub state: HostState,
    pub sequence: u64,
    pub received_at: Instant,
    /// Highest sequence number of this host that the other host echoed.
    pub echoed_sequence: u64,
    /// Time at which that sequence number was sent. The other host was certainly running after this
    /// time, however long its message was in transit.
    pub echoed_sent_at: Option<Instant>,
    pub config_version: ConfigVersion,
    pub electorate_size: usize,
    pub lease: Duration,
    /// End of each lease that the host granted to this incarnation, by pool.
    pub leases: FastMap<PoolName, Instant>,
    /// Whether the host sent a goodbye; this incarnation sends nothing more.
    pub stopped: bool,
    /// Time of the goodbye, if the host had reported before that it was leaving.
    pub(crate) departed_at: Option<Instant>,
    /// Whether `HostGone` was emitted.
    pub gone: bool,
}

/// State of one address of the region.
pub struct MemberSlot {
    pub name: HostName,
    pub status: Option<PeerStatus>,
    pub hold: LeavingHold,
    pub(crate) listed: bool,
    pub(crate) seed: bool,
    pub(crate) unlisted_since: Option<Instant>,
    /// Replaced incarnations, each with this host's newest sequence number at the time of the
    /// replacement.
    retired: VecDeque<(Incarnation, u64)>,
}

/// Effect of a heartbeat on the slot of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The heartbeat is a duplicate, out of order, or from an incarnation that was replaced or sent
    /// a goodbye.
    Ignored,
    Accepted,
    /// The sender is a new incarnation; the previous one at its address is gone.
    Replaced(Incarnation),
}

/// The heartbeat of this host that a received heartbeat echoes.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeartbeatEcho {
    pub sequence: u64,
    pub sent_at: Option<Instant>,
    /// Newest sequence number of this host at the time of receipt.
    pub newest: u64,
}

impl MemberSlot {
    pub(crate) fn named(name: HostName) -> Self {
        Self {
            name,
            status: None,
            hold: LeavingHold::default(),
            listed: false,
            seed: false,
            unlisted_since: None,
            retired: VecDeque::new(),
        }
    }

    pub(crate) fn seed(address: SocketAddr) -> Self {
        let mut slot = Self::named(compact_str::format_compact!("{address}"));
        slot.seed = true;
        slot
    }

    /// Returns whether the host counts as an elector. A host leaves the electorate one lease after
    /// its goodbye, when every lease that it granted has ended; earlier removal could give two
    /// owners a majority of different electorates.
    pub(crate) fn is_elector(&self, now: Instant) -> bool {
        let Some(status) = &self.status else {
            return true;
        };
        !self.has_departed(status.lease, now)
    }

    pub(crate) fn has_departed(&self, wait: Duration, now: Instant) -> bool {
        let departed_at = self.status.as_ref().and_then(|status| status.departed_at);
        departed_at.is_some_and(|at| now.saturating_duration_since(at) >= wait)
    }

    /// Decides whether a heartbeat is newer than the recorded status of this address.
    ///
    /// Incarnations are random, so only the sequence numbers that they echo show which of two is
    /// the newer. A replaced incarnation has stopped, so it cannot echo a heartbeat that was sent
    /// after its replacement. If it does, the replacement came from a delayed message of an older
    /// incarnation, and is reversed.
    pub(crate) fn classify(
        &self,
        incarnation: Incarnation,
        sequence: u64,
        echo: HeartbeatEcho,
    ) -> HeartbeatOutcome {
        let Some(status) = &self.status else {
            return HeartbeatOutcome::Accepted;
        };
        let current = status.brief.incarnation;
        if current == incarnation {
            let newer = sequence > status.sequence && !status.stopped;
            return if newer {
                HeartbeatOutcome::Accepted
            } else {
                HeartbeatOutcome::Ignored
            };
        }
        let retired = self.retired.iter().find(|(old, _)| *old == incarnation);
        let newer = match (retired, echo.sequence) {
            (Some((_, retired_at)), echoed) => echoed > *retired_at,
            (None, 0) => true,
            (None, echoed) => echoed >= status.echoed_sequence,
        };
        if newer {
            HeartbeatOutcome::Replaced(current)
        } else {
            HeartbeatOutcome::Ignored
        }
    }

    pub(crate) fn retire(&mut self, old: Incarnation, newest: u64) {
        self.status = None;
        self.retired.retain(|(incarnation, _)| *incarnation != old);
        if self.retired.len() == MAX_RETIRED {
            self.retired.pop_front();
        }
        self.retired.push_back((old, newest));
    }
}

impl PeerStatus {
    pub(crate) fn new(
        from: &HostBrief,
        heartbeat: &Heartbeat,
        echo: HeartbeatEcho,
        now: Instant,
    ) -> Self {
        let mut status = Self {
            brief: from.clone(),
            state: heartbeat.state,
            sequence: 0,
            received_at: now,
            echoed_sequence: 0,
            echoed_sent_at: None,
            config_version: 0,
            electorate_size: 0,
            lease: heartbeat.lease,
            leases: FastMap::default(),
            stopped: false,
            departed_at: None,
            gone: false,
        };
        status.update(heartbeat, echo, now);
        status
    }

    pub(crate) fn update(&mut self, heartbeat: &Heartbeat, echo: HeartbeatEcho, now: Instant) {
        self.state = heartbeat.state;
        self.sequence = heartbeat.sequence;
        self.received_at = now;
        if echo.sequence > self.echoed_sequence {
            self.echoed_sequence = echo.sequence;
            self.echoed_sent_at = echo.sent_at;
        }
        self.config_version = self.config_version.max(heartbeat.config_version);
        self.electorate_size = usize::from(heartbeat.electorate_size);
        self.lease = heartbeat.lease;
        self.gone = false;
        if heartbeat.state == HostState::Starting {
            return;
        }
        let Some(sent_at) = echo.sent_at else { return };
        let end = sent_at + heartbeat.lease;
        for pool in &heartbeat.follows {
            let lease = self.leases.entry(pool.clone()).or_insert(end);
            *lease = end.max(*lease);
        }
        self.leases.retain(|_, lease| now < *lease);
    }
}
