//! Messages between entry hosts. They are encoded by position, so fields and variants keep their
//! order.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{
    ConfigVersion, ContentDigest, EndpointName, HostBrief, HostState, Incarnation, LogOffset,
    PermitNumber, PoolName, RequestKey, RolloutName, RouteName, TierNumber, VersionName,
    WorkspaceName, ZoneName,
};
use crate::result_code::ResultCode;

/// A message from one entry host to another, together with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    pub from: HostBrief,
    pub message: PeerMessage,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    Heartbeat(Heartbeat),
    /// The sender is stopping; all its leases end immediately.
    Goodbye,
    SnapshotRequest,
    Snapshot(SnapshotPart),
    ConfigRecords(Vec<ConfigRecord>),
    PoolSync(PoolSync),
    /// The sender has become the owner of the pool and requests a `PoolSync`.
    SyncRequest {
        pool: PoolName,
    },
    /// The sender asks pool owners which requests are still running.
    WorkQuery,
    /// The answer of a pool owner to a `WorkQuery`.
    PoolWork(Vec<PoolWork>),
    Enqueue(QueueTicket),
    Withdraw {
        pool: PoolName,
        key: RequestKey,
    },
    Permit(PermitGrant),
    /// The home returns a permit that it did not use; nothing was dispatched.
    PermitReturned {
        pool: PoolName,
        key: RequestKey,
        permit: PermitNumber,
    },
    Started {
        pool: PoolName,
        key: RequestKey,
        permit: PermitNumber,
    },
    Finished(FinishReport),
    Refused {
        pool: PoolName,
        key: RequestKey,
        code: ResultCode,
    },
    HomeQuery {
        key: RequestKey,
        workspace: WorkspaceName,
    },
    HomeAnswer {
        key: RequestKey,
        /// The workspace for which the key was queried.
        workspace: WorkspaceName,
        status: HomeStatus,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub state: HostState,
    pub sequence: u64,
    /// Highest sequence number received from the receiver's incarnation; 0 if none.
    pub echo: u64,
    /// Incarnation of the receiver to which `echo` refers.
    pub echo_incarnation: Incarnation,
    /// Pools for which the sender follows the receiver as owner.
    pub follows: Vec<PoolName>,
    /// Time for which the sender keeps following the receiver, counted from the receipt of the
    /// heartbeat in `echo`. It depends on the sender's electorate, so the receiver must not assume
    /// its own lease length.
    pub lease: Duration,
    /// Size of the sender's electorate, including the sender.
    pub electorate_size: u16,
    pub config_version: ConfigVersion,
    /// Time since the sender last reached the end of the config topic.
    pub log_age: Duration,
    pub brakes: Vec<VersionBrake>,
    pub suspects: Vec<SuspectEntry>,
}

/// A version that a pool owner stopped rolling out before the verdict is recorded in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionBrake {
    pub pool: PoolName,
    /// Name of the rollout. Names are never reused, so a delayed copy cannot stop a later rollout
    /// of the same version.
    pub rollout: RolloutName,
    pub version: VersionName,
    pub reason: CompactString,
}

/// Digest of a request body that was in flight when an endpoint crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntry {
    pub pool: PoolName,
    pub digest: ContentDigest,
    pub crashes: u8,
    pub age: Duration,
}

/// The configuration state at a version, serialised as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    pub version: ConfigVersion,
    pub state: String,
}

/// A part of a `ConfigSnapshot`, because a whole snapshot can exceed the maximum message size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    pub version: ConfigVersion,
    pub index: u16,
    pub count: u16,
    pub text: String,
}

/// One record of the config topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    pub offset: LogOffset,
    /// Time at which the record was appended, since the Unix epoch, by the log service's clock.
    pub at: Duration,
    pub data: String,
}

/// Requests that run or hold a permit in one pool, as counted by the pool's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolWork {
    pub pool: PoolName,
    /// Configuration version under which the owner grants permits.
    pub config_version: ConfigVersion,
    /// Number of requests in each zone that has endpoints of the pool.
    pub zones: Vec<(ZoneName, u32)>,
}

/// A request that waits for a permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueTicket {
    pub key: RequestKey,
    pub pool: PoolName,
    pub workspace: WorkspaceName,
    pub tier: TierNumber,
    pub route: RouteName,
    /// Time that was left until the deadline when the message was sent.
    pub deadline_in: Duration,
    pub prompt_tokens: u32,
    pub max_tokens: u32,
    /// Hashes of the prompt's leading blocks; each also covers all text before its block.
    pub prefix_blocks: Vec<u64>,
    pub digest: ContentDigest,
}

impl QueueTicket {
    /// Returns an upper bound of the encoded size, including the other fields of a `RunningEntry`.
    pub(crate) fn size_estimate(&self) -> usize {
        const NUMBERS: usize = 256;
        let names = [&self.key, &self.pool, &self.workspace, &self.route];
        let names: usize = names.iter().map(|name| name.len()).sum();
        // A 64-bit number is encoded in up to 10 bytes.
        NUMBERS + names + 10 * self.prefix_blocks.len()
    }
}

/// A request of the sender that runs on an endpoint or holds a permit for one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningEntry {
    pub ticket: QueueTicket,
    pub endpoint: EndpointName,
    pub permit: PermitNumber,
    pub version: VersionName,
    pub running_for: Duration,
}

/// The sender's queued and running requests in one pool; sent to the pool's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSync {
    pub pool: PoolName,
    /// Whether the message holds all requests of the sender, so that any other request that the
    /// receiver knows of has ended. False if the requests are spread over several messages.
    pub complete: bool,
    pub queued: Vec<QueueTicket>,
    pub running: Vec<RunningEntry>,
}

/// Permission to dispatch one request once to one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    pub pool: PoolName,
    pub key: RequestKey,
    pub permit: PermitNumber,
    pub endpoint: EndpointName,
    pub address: SocketAddr,
    pub version: VersionName,
    /// Configuration version under which the permit was granted.
    pub config_version: ConfigVersion,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    Completed,
    /// The endpoint accepted the request and then reported a failure.
    Failed,
    /// The endpoint rejected the request without running it, because it is cold or full.
    Declined,
    /// No connection could be established; no byte was sent.
    Unreachable,
    /// The connection broke when bytes may already have been sent.
    Broken,
    /// The caller cancelled the request, or its deadline passed.
    Cancelled,
}

/// Outcome and measurements of one dispatched request, as observed by its home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishReport {
    pub pool: PoolName,
    pub key: RequestKey,
    pub permit: PermitNumber,
    pub endpoint: EndpointName,
    pub version: VersionName,
    pub route: RouteName,
    pub digest: ContentDigest,
    pub outcome: RunOutcome,
    /// Whether the endpoint reported that it is in cold start.
    pub cold: bool,
    pub prompt_tokens: u32,
    pub cached_tokens: u32,
    pub tokens: u32,
    /// Time from dispatch to the first token; zero if no token was received.
    pub first_token: Duration,
    /// Time from dispatch to the end of the request.
    pub total: Duration,
}

/// Status of a request key at its home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HomeStatus {
    /// The home has never received the key, and has recorded that it will not dispatch it.
    GivenUp,
    Queued,
    Dispatched {
        pool: PoolName,
        endpoint: EndpointName,
        address: SocketAddr,
    },
    /// The request ended without being dispatched.
    Refused(ResultCode),
    /// The key belongs to another workspace.
    Forbidden,
}
