//! Checks the RPCs of operators and hands them to the thread that owns the daemon's state.

use std::future::poll_fn;
use std::pin::Pin;
use std::time::Duration;

use futures_channel::{mpsc, oneshot};
use futures_util::{Stream, StreamExt};
use tonic::{Request, Response, Status};

use crate::generated::operator as rpc;
use crate::generated::operator::operator_server::Operator;
use crate::ids::TierNumber;
use crate::operator_convert::completed;
use crate::operator_types::{
    OperatorCall, OperatorReply, OperatorRequest, OperatorResult, ReplySender,
};
use crate::result_code::ResultCode;

/// Longest name of a zone, host, pool, version, tier or rollout.
const NAME_BYTES_MAX: usize = 128;
/// Items of a stream that wait for a slow reader before the daemon's sends fail.
const STREAM_CAPACITY: usize = 16;

type Checked = Result<OperatorRequest, OperatorResult>;
type Answer<R> = Result<Response<R>, Status>;
type ReplyStream<R> = Pin<Box<dyn Stream<Item = Result<R, Status>> + Send>>;

#[derive(Clone)]
pub(crate) struct OperatorService {
    calls: mpsc::Sender<OperatorCall>,
}

/// Replies that can carry a refusal.
trait RefusableReply: Sized {
    fn refused(result: rpc::Result) -> Self;
}

macro_rules! refusable_replies {
    ($($reply:ident),*) => {
        $(impl RefusableReply for rpc::$reply {
            fn refused(result: rpc::Result) -> Self {
                let mut reply = Self::default();
                reply.result = Some(result);
                reply
            }
        })*
    };
}

refusable_replies!(
    ChangeReply,
    GetConfigReply,
    ValidateConfigReply,
    StatusReply,
    RolloutsReply,
    WatchRolloutReply,
    WatchZoneReply,
    CountersReply
);

/// Writes a code as a gRPC status whose message starts with the number.
pub(crate) fn coded_status(code: ResultCode) -> Status {
    let kind = match code.http_status() {
        400 => tonic::Code::InvalidArgument,
        401 => tonic::Code::Unauthenticated,
        403 => tonic::Code::PermissionDenied,
        404 => tonic::Code::NotFound,
        408 | 504 => tonic::Code::DeadlineExceeded,
        409 => tonic::Code::Aborted,
        413 | 429 | 431 => tonic::Code::ResourceExhausted,
        503 => tonic::Code::Unavailable,
        _ => tonic::Code::Unknown,
    };
    Status::new(kind, format!("{} {}", code.number(), code.message()))
}

/// Reads the bearer token of a call.
pub(crate) fn bearer_token(headers: &http::HeaderMap) -> Option<&str> {
    let value = headers.get(http::header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}

fn token_of<M>(request: &Request<M>) -> Option<String> {
    let headers = request.metadata().as_ref();
    bearer_token(headers).map(str::to_owned)
}

/// What a caller is told when the daemon drops a call without an answer, as on shutdown.
fn unanswered(is_change: bool) -> OperatorResult {
    OperatorResult::new(if is_change {
        ResultCode::ConfigUnknownOutcome
    } else {
        ResultCode::Draining
    })
}

impl OperatorService {
    pub(crate) fn new(calls: mpsc::Sender<OperatorCall>) -> Self {
        Self { calls }
    }

    async fn hand_over(&self, call: OperatorCall) -> Result<(), OperatorResult> {
        let mut calls = self.calls.clone();
        let ready = poll_fn(|context| calls.poll_ready(context)).await;
        let sent = ready.and_then(|()| calls.start_send(call));
        sent.map_err(|_| OperatorResult::new(ResultCode::Draining))
    }

    async fn ask(
        &self,
        token: Option<String>,
        request: OperatorRequest,
    ) -> Result<OperatorReply, OperatorResult> {
        let is_change = request.change_reply().is_some();
        let (sender, receiver) = oneshot::channel();
        let reply = ReplySender::Unary(sender);
        self.hand_over(OperatorCall {
            request,
            token,
            reply,
        })
        .await?;
        match receiver.await {
            Ok(OperatorReply::Refused(result)) => Err(result),
            Ok(reply) => Ok(reply),
            Err(_) => Err(unanswered(is_change)),
        }
    }

    async fn answer<M, R: RefusableReply>(
        &self,
        request: Request<M>,
        check: fn(M) -> Checked,
        convert: fn(OperatorReply) -> Option<R>,
    ) -> Answer<R> {
        let token = token_of(&request);
        let reply = match check(request.into_inner()) {
            Ok(request) => self.ask(token, request).await,
            Err(result) => Err(result),
        };
        match reply {
            Ok(reply) => converted(reply, convert).map(Response::new),
            Err(result) => Ok(Response::new(R::refused(result.into()))),
        }
    }

    async fn answer_stream<M, R: RefusableReply + Send + 'static>(
        &self,
        request: Request<M>,
        check: fn(M) -> Checked,
        convert: fn(OperatorReply) -> Option<R>,
    ) -> Answer<ReplyStream<R>> {
        let token = token_of(&request);
        let (sender, receiver) = mpsc::channel(STREAM_CAPACITY);
        let reply = ReplySender::Stream(sender);
        let handed_over = match check(request.into_inner()) {
            Ok(request) => {
                let call = OperatorCall {
                    request,
                    token,
                    reply,
                };
                self.hand_over(call).await
            }
            Err(result) => Err(result),
        };
        if let Err(result) = handed_over {
            let refusal = Ok(R::refused(result.into()));
            return Ok(Response::new(Box::pin(futures_util::stream::iter([
                refusal,
            ]))));
        }
        let items = receiver.map(move |reply| match reply {
            OperatorReply::Refused(result) => Ok(R::refused(result.into())),
            reply => converted(reply, convert),
        });
        Ok(Response::new(Box::pin(items)))
    }
}

fn converted<R>(
    reply: OperatorReply,
    convert: fn(OperatorReply) -> Option<R>,
) -> Result<R, Status> {
    convert(reply).ok_or_else(|| Status::internal("the daemon answered a different call"))
}

fn checked_name(field: &str, name: String) -> Result<compact_str::CompactString, OperatorResult> {
    if (1..=NAME_BYTES_MAX).contains(&name.len()) {
        return Ok(name.into());
    }
    Err(malformed(
        field,
        format!("a name of 1 to {NAME_BYTES_MAX} bytes is needed"),
    ))
}

fn malformed(field: &str, message: impl Into<String>) -> OperatorResult {
    OperatorResult::with_message(ResultCode::MalformedRequest, message).in_field(field)
}

fn check_tier(message: rpc::PutTierRequest) -> Checked {
    let tier = TierNumber::try_from(message.tier)
        .map_err(|_| malformed("tier", "a tier from 0 to 255 is needed"))?;
    if message.default_deadline_ms == 0 {
        return Err(malformed(
            "default_deadline_ms",
            "a time above 0 ms is needed",
        ));
    }
    Ok(OperatorRequest::PutTier {
        tier,
        name: checked_name("name", message.name)?,
        default_deadline: Duration::from_millis(message.default_deadline_ms),
    })
}

fn check_zone(message: rpc::SetZoneRequest) -> Checked {
    let out = match message.state() {
        rpc::ZoneState::In => false,
        rpc::ZoneState::Out => true,
        rpc::ZoneState::Unspecified => {
            return Err(malformed("state", "the state must be in or out"));
        }
    };
    Ok(OperatorRequest::SetZone {
        zone: checked_name("zone", message.zone)?,
        out,
        expected_version: message.expected_version,
    })
}

fn check_rollout(message: rpc::StartRolloutRequest) -> Checked {
    Ok(OperatorRequest::StartRollout {
        rollout: checked_name("name", message.name)?,
        pool: checked_name("pool", message.pool)?,
        version: checked_name("version", message.version)?,
        deadline: Duration::from_millis(message.deadline_ms),
    })
}

/// Writes one unary method: its name, its messages, its check and the reply it expects.
macro_rules! unary_methods {
    ($($method:ident($request:ident) -> $reply:ident {
        $check:expr, $expected:pat => $value:expr
    })*) => {
        #[tonic::async_trait]
        impl Operator for OperatorService {
            $(async fn $method(&self, request: Request<rpc::$request>) -> Answer<rpc::$reply> {
                let convert = |reply| {
                    let $expected = reply else { return None };
                    Some($value)
                };
                self.answer(request, $check, convert).await
            })*

            type WatchRolloutStream = ReplyStream<rpc::WatchRolloutReply>;

            async fn watch_rollout(
                &self,
                request: Request<rpc::WatchRolloutRequest>,
            ) -> Answer<Self::WatchRolloutStream> {
                let check = |message: rpc::WatchRolloutRequest| {
                    let rollout = checked_name("name", message.name)?;
                    Ok(OperatorRequest::WatchRollout { rollout })
                };
                let convert = |reply| {
                    let OperatorReply::WatchRollout(report) = reply else { return None };
                    let rollout = Some(report.into());
                    Some(rpc::WatchRolloutReply { result: Some(completed()), rollout })
                };
                self.answer_stream(request, check, convert).await
            }

            type WatchZoneStream = ReplyStream<rpc::WatchZoneReply>;

            async fn watch_zone(
                &self,
                request: Request<rpc::WatchZoneRequest>,
            ) -> Answer<Self::WatchZoneStream> {
                let check = |message: rpc::WatchZoneRequest| {
                    let zone = checked_name("zone", message.zone)?;
                    Ok(OperatorRequest::WatchZone { zone })
                };
                let convert = |reply| {
                    let OperatorReply::WatchZone(report) = reply else { return None };
                    Some(report.into())
                };
                self.answer_stream(request, check, convert).await
            }
        }
    };
}

unary_methods! {
    publish_config(PublishConfigRequest) -> ChangeReply {
        |message| Ok(OperatorRequest::PublishConfig {
            document: message.document,
            expected_version: message.expected_version,
        }),
        OperatorReply::PublishConfig(report) => report.into()
    }
    get_config(GetConfigRequest) -> GetConfigReply {
        |_| Ok(OperatorRequest::GetConfig),
        OperatorReply::GetConfig { document, config_version } => rpc::GetConfigReply {
            result: Some(completed()),
            document,
            config_version,
        }
    }
    validate_config(ValidateConfigRequest) -> ValidateConfigReply {
        |message| Ok(OperatorRequest::ValidateConfig { document: message.document }),
        OperatorReply::ValidateConfig => rpc::ValidateConfigReply { result: Some(completed()) }
    }
    put_tier(PutTierRequest) -> ChangeReply {
        check_tier,
        OperatorReply::PutTier(report) => report.into()
    }
    set_zone(SetZoneRequest) -> ChangeReply {
        check_zone,
        OperatorReply::SetZone(report) => report.into()
    }
    start_rollout(StartRolloutRequest) -> ChangeReply {
        check_rollout,
        OperatorReply::StartRollout(report) => report.into()
    }
    abort_rollout(AbortRolloutRequest) -> ChangeReply {
        |message| {
            let rollout = checked_name("name", message.name)?;
            Ok(OperatorRequest::AbortRollout { rollout })
        },
        OperatorReply::AbortRollout(report) => report.into()
    }
    drain_host(DrainHostRequest) -> ChangeReply {
        |message| Ok(OperatorRequest::DrainHost {
            host: checked_name("host", message.host)?,
            drained: message.drained,
        }),
        OperatorReply::DrainHost(report) => report.into()
    }
    status(StatusRequest) -> StatusReply {
        |_| Ok(OperatorRequest::Status),
        OperatorReply::Status(report) => (*report).into()
    }
    rollouts(RolloutsRequest) -> RolloutsReply {
        |_| Ok(OperatorRequest::Rollouts),
        OperatorReply::Rollouts(reports) => rpc::RolloutsReply {
            result: Some(completed()),
            rollouts: reports.into_iter().map(rpc::Rollout::from).collect(),
        }
    }
    counters(CountersRequest) -> CountersReply {
        |_| Ok(OperatorRequest::Counters),
        OperatorReply::Counters(entries) => rpc::CountersReply {
            result: Some(completed()),
            counters: entries.into_iter().map(rpc::Counter::from).collect(),
        }
    }
}
