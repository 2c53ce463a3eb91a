//! Calls of operators: connects to the first daemon that can be reached and reads its result.

use std::net::SocketAddr;
use std::time::Duration;

use tonic::{Request, Response, Status};

use crate::cli::arguments::OperatorAccess;
use crate::cli::failure::{CliFailure, CliResult, Refusal};
use crate::cli::output::confirmation_text;
use crate::generated::operator as rpc;
use crate::generated::operator::operator_client::OperatorClient;
use crate::operator_client::{OperatorChannel, connect};
use crate::result_code::ResultCode;

pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Above the time that a daemon takes to report a change as unconfirmed.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) type Client = OperatorClient<OperatorChannel>;

/// Whether a call whose connection broke may be sent to another daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    Read,
    Change,
}

/// Replies that carry a result.
pub(crate) trait ResultReply {
    fn result(&self) -> Option<&rpc::Result>;

    /// What a refusal tells in addition to its result.
    fn details(&self) -> Option<String> {
        None
    }
}

impl ResultReply for rpc::ChangeReply {
    fn result(&self) -> Option<&rpc::Result> {
        self.result.as_ref()
    }

    fn details(&self) -> Option<String> {
        (self.electorate > 0).then(|| confirmation_text(self))
    }
}

macro_rules! result_replies {
    ($($reply:ident),*) => {
        $(impl ResultReply for rpc::$reply {
            fn result(&self) -> Option<&rpc::Result> {
                self.result.as_ref()
            }
        })*
    };
}

result_replies!(
    GetConfigReply,
    StatusReply,
    RolloutsReply,
    CountersReply,
    WatchRolloutReply,
    WatchZoneReply
);

/// Adds the operator's token to a message.
pub(crate) fn with_token<M>(access: &OperatorAccess, message: M) -> CliResult<Request<M>> {
    let mut request = Request::new(message);
    if let Some(token) = &access.token {
        let value = format!("Bearer {token}").parse().map_err(|_| {
            CliFailure::Usage("the token may hold printable ASCII characters only".to_owned())
        })?;
        request.metadata_mut().insert("authorization", value);
    }
    Ok(request)
}

/// Makes one call at the first daemon that can be reached.
pub(crate) async fn call_operator<M, R>(
    access: &OperatorAccess,
    kind: CallKind,
    message: M,
    call: impl AsyncFn(&mut Client, Request<M>) -> Result<Response<R>, Status>,
) -> CliResult<R>
where
    M: Clone,
    R: ResultReply,
{
    let mut last = CliFailure::Unreachable("no endpoint is given".to_owned());
    for address in &access.endpoints {
        let mut client = match connect(*address, CONNECT_TIMEOUT).await {
            Ok(client) => client,
            Err(error) => {
                last = merge(last, CliFailure::Unreachable(error.to_string()));
                continue;
            }
        };
        let request = with_token(access, message.clone())?;
        let answer = compio::time::timeout(CALL_TIMEOUT, call(&mut client, request)).await;
        let failure = match answer {
            Ok(Ok(reply)) => return checked_reply(reply.into_inner()),
            Ok(Err(status)) => failure_of(*address, kind, &status),
            Err(_) => {
                let seconds = CALL_TIMEOUT.as_secs();
                broken(kind, format!("{address} did not answer within {seconds} s"))
            }
        };
        if !may_try_next(kind, &failure) {
            return Err(failure);
        }
        last = merge(last, failure);
    }
    Err(last)
}

/// Keeps the failure that says more: an answer of a daemon, then a broken call.
fn merge(earlier: CliFailure, later: CliFailure) -> CliFailure {
    match (&earlier, &later) {
        (CliFailure::Unreachable(_), _) => later,
        (_, CliFailure::Unreachable(_)) => earlier,
        _ => later,
    }
}

fn broken(kind: CallKind, message: String) -> CliFailure {
    match kind {
        CallKind::Read => CliFailure::Failed(message),
        CallKind::Change => CliFailure::Unknown(message),
    }
}

/// A change is repeated elsewhere only if the daemon refused it for want of room or on shutdown.
pub(crate) fn may_try_next(kind: CallKind, failure: &CliFailure) -> bool {
    match failure {
        CliFailure::Refused(refusal) => matches!(
            refusal.code(),
            Some(ResultCode::TooManyConnections | ResultCode::HostFull | ResultCode::Draining)
        ),
        CliFailure::Failed(_) => kind == CallKind::Read,
        CliFailure::Unreachable(_) => true,
        CliFailure::TakenBack(_) | CliFailure::Usage(_) | CliFailure::Unknown(_) => false,
    }
}

/// Reads the result code at the start of a status message; without one the call was cut.
pub(crate) fn failure_of(address: SocketAddr, kind: CallKind, status: &Status) -> CliFailure {
    let coded = status.message().split_once(' ');
    let code = coded
        .and_then(|(number, _)| number.parse().ok())
        .and_then(ResultCode::from_number);
    let Some(code) = code else {
        let message = format!("the call to {address} broke: {}", status.message());
        return broken(kind, message);
    };
    CliFailure::Refused(Refusal {
        number: code.number().into(),
        ran: code.ran(),
        message: code.message().to_owned(),
        field: String::new(),
    })
}

/// Turns a reply whose code is not 1000 into a failure.
pub(crate) fn checked_reply<R: ResultReply>(reply: R) -> CliResult<R> {
    let Some(result) = reply.result() else {
        return Err(CliFailure::Unknown(
            "the daemon answered without a result".to_owned(),
        ));
    };
    if result.code == u32::from(ResultCode::Completed.number()) {
        return Ok(reply);
    }
    let mut refusal = Refusal::from(result);
    if let Some(details) = reply.details() {
        refusal.message = format!("{}; {details}", refusal.message);
    }
    Err(CliFailure::Refused(refusal))
}
