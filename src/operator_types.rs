//! Requests of operators and the answers to them, free of generated RPC types.

use std::time::Duration;

use compact_str::CompactString;
use futures_channel::{mpsc, oneshot};

use crate::ids::{
    ConfigVersion, EndpointName, HostName, HostState, Incarnation, PoolName, RegionName,
    RolloutName, TierNumber, VersionName, ZoneName,
};
use crate::result_code::ResultCode;

/// One call of an operator, on its way to the thread that owns the daemon's state.
#[derive(Debug)]
pub struct OperatorCall {
    pub request: OperatorRequest,
    /// Bearer token from the `authorization` metadata.
    pub token: Option<String>,
    pub reply: ReplySender,
}

/// Where the answer goes. A dropped sender is answered with code 3105 (outcome unknown).
#[derive(Debug)]
pub enum ReplySender {
    Unary(oneshot::Sender<OperatorReply>),
    /// Carries one reply per event; dropping it ends the stream.
    Stream(mpsc::Sender<OperatorReply>),
}

impl ReplySender {
    /// Sends the only answer, or the last item of a stream. A caller that has gone is ignored.
    pub fn finish(self, reply: OperatorReply) {
        match self {
            Self::Unary(sender) => drop(sender.send(reply)),
            Self::Stream(mut sender) => drop(sender.try_send(reply)),
        }
    }
}

/// One variant per RPC of `proto/operator.proto`.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
    PublishConfig {
        document: String,
        /// `None` publishes on top of the version that the host has applied.
        expected_version: Option<ConfigVersion>,
    },
    GetConfig,
    ValidateConfig {
        document: String,
    },
    PutTier {
        tier: TierNumber,
        name: CompactString,
        default_deadline: Duration,
    },
    SetZone {
        zone: ZoneName,
        out: bool,
        expected_version: Option<ConfigVersion>,
    },
    StartRollout {
        rollout: RolloutName,
        pool: PoolName,
        version: VersionName,
        /// Time since the Unix epoch.
        deadline: Duration,
    },
    AbortRollout {
        rollout: RolloutName,
    },
    DrainHost {
        host: HostName,
        drained: bool,
    },
    Status,
    Rollouts,
    /// Answered by a stream that ends with the verdict.
    WatchRollout {
        rollout: RolloutName,
    },
    /// Answered by a stream that ends when the zone's state is in force on every host.
    WatchZone {
        zone: ZoneName,
    },
    Counters,
}

impl OperatorRequest {
    /// Returns the reply variant that answers this request, if it changes the configuration.
    #[must_use]
    pub fn change_reply(&self) -> Option<fn(ChangeReport) -> OperatorReply> {
        match self {
            Self::PublishConfig { .. } => Some(OperatorReply::PublishConfig),
            Self::PutTier { .. } => Some(OperatorReply::PutTier),
            Self::SetZone { .. } => Some(OperatorReply::SetZone),
            Self::StartRollout { .. } => Some(OperatorReply::StartRollout),
            Self::AbortRollout { .. } => Some(OperatorReply::AbortRollout),
            Self::DrainHost { .. } => Some(OperatorReply::DrainHost),
            Self::GetConfig
            | Self::ValidateConfig { .. }
            | Self::Status
            | Self::Rollouts
            | Self::WatchRollout { .. }
            | Self::WatchZone { .. }
            | Self::Counters => None,
        }
    }
}

/// One variant per RPC, and `Refused`, which may answer any of them.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorReply {
    Refused(OperatorResult),
    PublishConfig(ChangeReport),
    GetConfig {
        document: String,
        config_version: ConfigVersion,
    },
    ValidateConfig,
    PutTier(ChangeReport),
    SetZone(ChangeReport),
    StartRollout(ChangeReport),
    AbortRollout(ChangeReport),
    DrainHost(ChangeReport),
    Status(Box<StatusReport>),
    Rollouts(Vec<RolloutReport>),
    WatchRollout(RolloutReport),
    WatchZone(ZoneReport),
    Counters(Vec<CounterEntry>),
}

/// Code and explanation of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorResult {
    pub code: ResultCode,
    pub message: String,
    /// Field of the request or document that is at fault, such as `pools[2].name`.
    pub field: Option<String>,
}

impl OperatorResult {
    #[must_use]
    pub fn new(code: ResultCode) -> Self {
        Self::with_message(code, code.message())
    }

    #[must_use]
    pub fn with_message(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            field: None,
        }
    }

    #[must_use]
    pub fn in_field(mut self, field: impl Into<String>) -> Self {
        self.field = Some(field.into());
        self
    }
}

/// How far a configuration change has got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeReport {
    /// `Completed`, or `ConfigUnconfirmed` if too few hosts confirmed the change in time.
    pub result: OperatorResult,
    pub config_version: ConfigVersion,
    /// Hosts of the electorate that have applied this version.
    pub confirmed: u32,
    pub electorate: u32,
    pub missing_hosts: Vec<HostName>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct StatusReport {
    pub name: HostName,
    pub region: RegionName,
    pub zone: ZoneName,
    pub incarnation: Incarnation,
    pub state: HostState,
    pub config_version: ConfigVersion,
    /// Time since the end of the config topic was last read; `None` if it never was.
    pub log_age: Option<Duration>,
    pub electorate: Vec<ElectorReport>,
    pub pools: Vec<PoolReport>,
    pub counters: Vec<CounterEntry>,
}

/// An entry host of the region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ElectorReport {
    pub name: HostName,
    pub zone: ZoneName,
    pub incarnation: Incarnation,
    pub state: HostState,
}

/// A pool as this host sees it; only the owner knows its queue and its endpoints' loads.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolReport {
    pub name: PoolName,
    pub owner: Option<HostName>,
    pub tiers: Vec<TierLoad>,
    pub endpoints: Vec<EndpointReport>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TierLoad {
    pub tier: TierNumber,
    pub queued: u32,
    pub running: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    Serving,
    /// In slow start: its limit rises with each success.
    Cold,
    /// Listed, but its zone is out or it is leaving: keeps its work, receives none.
    Excluded,
    /// It does not answer load requests.
    Unreachable,
}

#[derive(Clone, Debug, PartialEq)]
pub struct EndpointReport {
    pub name: EndpointName,
    pub zone: ZoneName,
    pub version: VersionName,
    pub state: EndpointState,
    /// Requests that the owner allows at the same time.
    pub limit: u32,
    pub running: u32,
    pub prefill_tokens_per_second: f64,
    pub decode_tokens_per_second: f64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutReport {
    pub name: RolloutName,
    pub pool: PoolName,
    pub from: VersionName,
    pub to: VersionName,
    /// Time since the Unix epoch.
    pub started: Duration,
    /// Time since the Unix epoch.
    pub deadline: Duration,
    pub step: u32,
    pub share_permille: u16,
    pub outcome: RolloutOutcome,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutOutcome {
    Running,
    Done,
    TakenBack { reason: CompactString },
}

/// Progress of a zone change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneReport {
    pub zone: ZoneName,
    pub out: bool,
    pub config_version: ConfigVersion,
    pub confirmed: u32,
    pub electorate: u32,
    pub missing_hosts: Vec<HostName>,
    /// Requests that run on endpoints of the zone, as the pool owners stated it last.
    pub running: u32,
    /// Every host of the electorate has confirmed the state.
    pub in_force: bool,
    /// Taken out: nothing runs there and nothing new can be sent. Returned: every pool owner may
    /// send requests there.
    pub done: bool,
    /// One sentence: "done: ..." or "not done yet because ...".
    pub verdict: String,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CounterEntry {
    pub name: CompactString,
    pub value: u64,
}
