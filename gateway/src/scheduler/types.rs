//! Events, effects and the work that they are about.

use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::catalog::{EndpointEntry, ServiceEntry};
use crate::ids::{
    EndpointId, HostAddress, NameHash, ServiceName, TicketNumber, TierNumber, ZoneName,
};
use crate::rollouts::VersionShare;

/// A request that wants an endpoint.
#[derive(Clone, Debug)]
pub struct WorkItem {
    pub ticket: TicketNumber,
    pub service: ServiceName,
    /// Tier of the workspace, or of the route where the workspace has none. A higher tier always
    /// goes first.
    pub tier: TierNumber,
    /// Tier of the route; orders requests of one `tier`.
    pub route_tier: TierNumber,
    /// When the caller's request arrived at this host.
    pub arrived: Instant,
    /// Until when a first byte is on time.
    pub first_byte_deadline: Instant,
    /// When the final answer is due.
    pub deadline: Instant,
    pub prompt_tokens: u32,
    /// Tokens of the answer that are expected.
    pub output_tokens: u32,
    /// Endpoints that had this request before.
    pub excluded: Vec<EndpointId>,
}

/// How a run at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The whole answer came.
    Completed,
    /// The endpoint answered with a failure of its own.
    Failed,
    /// The endpoint refused it unrun.
    NotRun,
    /// The endpoint is another one than expected.
    Misdirected,
    /// No connection; no byte was sent.
    Unreachable,
    /// The connection broke, or what came was no answer.
    Broken,
    /// It gave no sign for too long.
    Stalled,
    /// The caller left or its time was over.
    Abandoned,
}

/// What one host has at one endpoint, as told to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    pub endpoint: NameHash,
    pub active: u16,
    /// Prompt tokens of runs that have not shown a first byte.
    pub pending_prefill_tokens: u32,
}

/// How fast an endpoint was seen to work. Zero where nothing was seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReport {
    pub endpoint: NameHash,
    /// Runs that it is an average of.
    pub runs: u32,
    /// Nanoseconds for reading one weighted token of a prompt.
    pub prefill_ns: u32,
    /// Microseconds between two events of a stream.
    pub event_gap_us: u32,
    /// The least mean time between two events of a longer run that was seen, in hundredths of
    /// `event_gap_us`; 0 for none.
    pub min_gap_percent: u8,
}

#[derive(Debug)]
pub enum SchedulerEvent {
    Submitted(WorkItem),
    /// A waiting request needs no endpoint any more.
    Withdrawn(TicketNumber),
    FirstByte(TicketNumber),
    /// `events`: events of a stream that came, and the time from the first to the last.
    Ended {
        ticket: TicketNumber,
        end: RunEnd,
        events: u32,
        streamed_for: Duration,
    },
    ServicesChanged(Vec<ServiceEntry>),
    /// `known`: registered before this host started.
    EndpointUpdated {
        entry: Rc<EndpointEntry>,
        existed_at_start: bool,
    },
    EndpointRemoved(EndpointId),
    /// Endpoints of this version get this part of the service's requests.
    VersionShareChanged(VersionShare),
    ZoneEvacuated(ZoneName),
    ZoneRestored(ZoneName),
    PeerReported {
        peer: HostAddress,
        reports: Vec<EndpointReport>,
    },
    /// The reports of a hub replace those of all peers, for endpoints of this zone or for all.
    HubReported {
        peer: HostAddress,
        reports: Vec<EndpointReport>,
        zone: Option<ZoneName>,
    },
    /// What a peer has observed of endpoints' pace.
    PacesObserved(Vec<PaceReport>),
    /// Estimates of a host that hears of all runs.
    PacesEstimated(Vec<PaceReport>),
    /// The hosts that are alive, this one among them; `local` of them in its zone.
    HostsChanged {
        own: HostAddress,
        hosts: Vec<HostAddress>,
        hosts_in_zone: usize,
    },
    /// The zone whose loads this host hears first; `None` in a fleet that isn't divided.
    CellChanged(Option<ZoneName>),
    Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// It waited as long as its tier may.
    WaitExpired,
    /// The queue of this host is full.
    QueueFull,
    /// No endpoint of the service may be used.
    NoEndpoint,
}

#[derive(Debug)]
pub enum SchedulerEffect {
    Dispatch {
        ticket: TicketNumber,
        endpoint: Rc<EndpointEntry>,
    },
    Refuse {
        ticket: TicketNumber,
        reason: RefusalReason,
        retry_after: Duration,
    },
}
