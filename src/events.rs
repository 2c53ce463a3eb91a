//! Everything that the reducer is told, and everything that it asks for.

use std::net::SocketAddr;
use std::time::Duration;

use caller_limits::HeldText;
use compact_str::CompactString;

use crate::claim::AppendFailure;
use crate::ids::{
    EndpointBrief, EndpointName, LogOffset, PermitNumber, PoolName, RequestKey, RouteName,
    TierNumber,
};
use crate::membership::EntryListing;
use crate::messages::{ConfigRecord, PeerEnvelope, PeerMessage, PermitGrant, RunOutcome};
use crate::operator_types::{OperatorReply, OperatorRequest};
use crate::pool::LoadReport;
use crate::result_code::ResultCode;

/// One waiting call of a caller's connection.
pub(crate) type CallerId = u64;
/// One waiting call of an operator.
pub(crate) type OperatorId = u64;
/// One append to the log.
pub(crate) type AppendId = u64;

/// Topics of the platform's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum LogTopic {
    Config,
    Claims,
}

impl LogTopic {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Claims => "claims",
        }
    }
}

/// A model request as a caller sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ModelSubmission {
    pub key: RequestKey,
    pub pool: PoolName,
    pub route: RouteName,
    pub tier: TierNumber,
    pub deadline: Option<Duration>,
    pub prompt: HeldText,
    pub max_tokens: u32,
}

/// A call to a plain service as a caller sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallSubmission {
    pub key: RequestKey,
    pub pool: PoolName,
    pub operation: CompactString,
    pub idempotent: bool,
    pub tier: TierNumber,
    pub deadline: Option<Duration>,
    pub body: HeldText,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallerAsk {
    Hosts,
    Submit(ModelSubmission),
    Resume { key: RequestKey, from: u32 },
    Cancel { key: RequestKey },
    Call(CallSubmission),
}

/// One read of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LogRead {
    /// Records from the offset that was asked for, and the topic's end at the time of the read.
    Records {
        records: Vec<ConfigRecord>,
        end: LogOffset,
    },
    /// The offset that was asked for is no longer kept.
    Forgotten {
        first: LogOffset,
    },
    Unavailable,
}

/// How one dispatch to an endpoint ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DispatchEnd {
    pub key: RequestKey,
    pub permit: PermitNumber,
    pub result: DispatchResult,
    pub cold: bool,
    pub cached_tokens: u32,
    pub tokens: u32,
    pub first_token: Duration,
    pub total: Duration,
    /// Result of a plain-service call.
    pub answer: Option<HeldText>,
    /// Size of the answer.
    pub answer_bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DispatchResult {
    /// The permit was too old before the first byte was written.
    PermitExpired,
    Ran(RunOutcome),
    /// The answer was longer than the buffer allows.
    TooLong,
}

/// The platform's host list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct HostListing {
    pub entries: Vec<EntryListing>,
    pub endpoints: Vec<EndpointBrief>,
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    Tick,
    Peer(Box<PeerEnvelope>),
    Listing(Option<HostListing>),
    LogRead {
        topic: LogTopic,
        read: LogRead,
    },
    AppendAnswered {
        append: AppendId,
        answer: Result<LogOffset, AppendFailure>,
    },
    Caller {
        caller: CallerId,
        token: Option<CompactString>,
        ask: CallerAsk,
    },
    CallerGone {
        caller: CallerId,
    },
    /// A caller was refused before its request could be read.
    CallerRejected(ResultCode),
    /// A peer message could not be decoded.
    /// Totals of the control traffic.
    Traffic(Vec<(TrafficKind, u64)>),
    PeerMalformed,
    /// A peer message could not be sent, or found the inbox full.
    PeerDropped,
    DispatchStarted {
        key: RequestKey,
        permit: PermitNumber,
    },
    /// The endpoint accepted the request and streams its answer.
    DispatchAccepted {
        key: RequestKey,
    },
    DispatchEnded(DispatchEnd),
    /// Result of a search for a stream at the endpoints.
    StreamFound {
        caller: CallerId,
        found: Option<SocketAddr>,
    },
    Load {
        pool: PoolName,
        endpoint: EndpointName,
        report: Option<LoadReport>,
    },
    CacheEvents {
        pool: PoolName,
        endpoint: EndpointName,
        stored: Vec<u64>,
        evicted: Vec<u64>,
    },
    Operator {
        operator: OperatorId,
        token: Option<String>,
        request: OperatorRequest,
    },
    OperatorGone {
        operator: OperatorId,
    },
    Terminate,
}

/// What a caller is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallerReply {
    Refused {
        code: ResultCode,
        detail: Option<String>,
    },
    /// Stream the answer of `key` from the home's buffer.
    Attach {
        key: RequestKey,
        endpoint: EndpointName,
        from: u32,
    },
    /// Resume the stream at the endpoint; this host is not the home.
    ResumeAt {
        address: SocketAddr,
        request_id: String,
        key: RequestKey,
        from: u32,
    },
    Hosts(Vec<AddressAnswer>),
    Result {
        key: RequestKey,
        result: HeldText,
    },
    Cancelled,
}

/// One address given out by discovery.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub(crate) struct AddressAnswer {
    pub address: SocketAddr,
    pub home: CompactString,
    pub zone: CompactString,
}

/// One dispatch to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DispatchOrder {
    pub grant: PermitGrant,
    pub work: DispatchWork,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DispatchWork {
    Generate {
        request_id: String,
        model: PoolName,
        route: RouteName,
        prompt: HeldText,
        max_tokens: u32,
    },
    Call {
        workspace: CompactString,
        operation: CompactString,
        body: HeldText,
        timeout: Duration,
    },
}

#[derive(Clone, Debug)]
pub(crate) enum Effect {
    Send {
        to: SocketAddr,
        message: PeerMessage,
    },
    Reply {
        caller: CallerId,
        reply: CallerReply,
    },
    Dispatch(DispatchOrder),
    /// Tells an endpoint that nobody waits for a stream.
    CancelStream {
        address: SocketAddr,
        request_id: String,
    },
    /// Ends a buffered stream that will get no further chunk.
    EndStream {
        key: RequestKey,
        code: ResultCode,
    },
    DropStream {
        key: RequestKey,
    },
    FindStream {
        caller: CallerId,
        request_id: String,
        candidates: Vec<SocketAddr>,
    },
    Append {
        append: AppendId,
        topic: LogTopic,
        records: Vec<String>,
    },
    /// Continue reading a topic at an offset other than the next one.
    SeekLog {
        topic: LogTopic,
        from: LogOffset,
    },
    PollEndpoint {
        endpoint: EndpointBrief,
    },
    OperatorReply {
        operator: OperatorId,
        reply: Box<OperatorReply>,
        last: bool,
    },
    Count {
        counter: Counter,
    },
    /// Close the listening sockets and end the process.
    Exit,
}

/// Counters of refusals, retries and other events that operators watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Counter {
    Refused(ResultCode),
    Ended(ResultCode),
    Retry(RetryReason),
    PermitRejected(PermitReason),
    OwnerChanged,
    PeerDropped,
    PeerMalformed,
    ConfigApplied,
    ConfigRejected,
    Traffic(TrafficKind),
}

/// Payload bytes and messages of control traffic. Answers of the platform and of polled endpoints
/// are counted with their requests as one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum TrafficKind {
    PeerBytesSent,
    PeerMessagesSent,
    PeerBytesReceived,
    PeerMessagesReceived,
    PlatformBytes,
    PlatformMessages,
    PollBytes,
    PollMessages,
}

impl TrafficKind {
    pub(crate) const ALL: [Self; 8] = [
        Self::PeerBytesSent,
        Self::PeerMessagesSent,
        Self::PeerBytesReceived,
        Self::PeerMessagesReceived,
        Self::PlatformBytes,
        Self::PlatformMessages,
        Self::PollBytes,
        Self::PollMessages,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::PeerBytesSent => "peer_bytes_sent",
            Self::PeerMessagesSent => "peer_messages_sent",
            Self::PeerBytesReceived => "peer_bytes_received",
            Self::PeerMessagesReceived => "peer_messages_received",
            Self::PlatformBytes => "platform_bytes",
            Self::PlatformMessages => "platform_messages",
            Self::PollBytes => "poll_bytes",
            Self::PollMessages => "poll_messages",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum RetryReason {
    ConnectRefused,
    Declined,
    PermitExpired,
}

/// Why a home did not use a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum PermitReason {
    NotFollowed,
    NotQueued,
    EndpointExcluded,
}

impl Counter {
    /// Name as metrics and `wisteriapin counters` show it.
    pub(crate) fn name(self) -> String {
        match self {
            Self::Refused(code) => format!("refused.{}", code.name()),
            Self::Ended(code) => format!("ended.{}", code.name()),
            Self::Retry(reason) => format!("retry.{reason:?}"),
            Self::PermitRejected(reason) => format!("permit_rejected.{reason:?}"),
            Self::OwnerChanged => "owner_changed".into(),
            Self::PeerDropped => "peer_message_dropped".into(),
            Self::PeerMalformed => "peer_message_malformed".into(),
            Self::ConfigApplied => "config_applied".into(),
            Self::ConfigRejected => "config_rejected".into(),
            Self::Traffic(kind) => kind.name().into(),
        }
    }
}
