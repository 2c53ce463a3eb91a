//! Commands that follow a rollout or a zone change until it ends.

use std::time::Duration;

use tonic::{Request, Response, Status, Streaming};

use crate::cli::arguments::OperatorAccess;
use crate::cli::connection::{
    CONNECT_TIMEOUT, CallKind, Client, ResultReply, checked_reply, failure_of, may_try_next,
    with_token,
};
use crate::cli::failure::{CliFailure, CliResult};
use crate::cli::output::{print_reply, rollout_text, zone_text};
use crate::generated::operator as rpc;
use crate::operator_client::connect;

/// Pause before a watch that was cut is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);
/// Rounds over all endpoints without any report before a watch is given up.
const FRUITLESS_ROUNDS_MAX: u32 = 20;

/// How the command takes the verdict "taken back".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TakenBackIs {
    Failure,
    Wanted,
}

/// Whether a report is the last one.
enum Progress {
    More,
    End,
}

/// Report of a zone at which the command ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ZoneGoal {
    FirstReport,
    /// The state of this config version, or a later one, is in force. A daemon that has not
    /// applied the version yet reports the earlier state as in force.
    InForce {
        since: u64,
    },
}

impl ZoneGoal {
    fn is_met(self, reply: &rpc::WatchZoneReply) -> bool {
        match self {
            Self::FirstReport => true,
            Self::InForce { since } => reply.in_force && reply.config_version >= since,
        }
    }
}

pub(crate) async fn watch_zone(
    access: &OperatorAccess,
    zone: &str,
    goal: ZoneGoal,
) -> CliResult<()> {
    let message = rpc::WatchZoneRequest {
        zone: zone.to_owned(),
    };
    follow(
        access,
        message,
        async |client, request| client.watch_zone(request).await,
        |reply: rpc::WatchZoneReply| {
            print_reply(access.output, &reply, zone_text);
            Ok(if goal.is_met(&reply) {
                Progress::End
            } else {
                Progress::More
            })
        },
    )
    .await
}

pub(crate) async fn watch_rollout(
    access: &OperatorAccess,
    name: &str,
    taken_back: TakenBackIs,
) -> CliResult<()> {
    let message = rpc::WatchRolloutRequest {
        name: name.to_owned(),
    };
    follow(
        access,
        message,
        async |client, request| client.watch_rollout(request).await,
        |reply: rpc::WatchRolloutReply| {
            let rollout = reply.rollout.clone().unwrap_or_default();
            print_reply(access.output, &reply, |_| rollout_text(&rollout));
            match rollout.verdict() {
                rpc::RolloutVerdict::Unspecified | rpc::RolloutVerdict::Running => {
                    Ok(Progress::More)
                }
                rpc::RolloutVerdict::TakenBack if taken_back == TakenBackIs::Failure => {
                    Err(CliFailure::TakenBack(rollout_text(&rollout)))
                }
                rpc::RolloutVerdict::Done | rpc::RolloutVerdict::TakenBack => Ok(Progress::End),
            }
        },
    )
    .await
}

/// Reads a stream to its end, through other daemons when it is cut.
async fn follow<M: Clone, R: ResultReply>(
    access: &OperatorAccess,
    message: M,
    call: impl AsyncFn(&mut Client, Request<M>) -> Result<Response<Streaming<R>>, Status>,
    mut show: impl FnMut(R) -> CliResult<Progress>,
) -> CliResult<()> {
    let mut reached = false;
    let mut fruitless_rounds = 0;
    while fruitless_rounds < FRUITLESS_ROUNDS_MAX {
        fruitless_rounds += 1;
        for address in &access.endpoints {
            let Ok(mut client) = connect(*address, CONNECT_TIMEOUT).await else {
                continue;
            };
            reached = true;
            let request = with_token(access, message.clone())?;
            let mut reports = match call(&mut client, request).await {
                Ok(reports) => reports.into_inner(),
                Err(status) => {
                    let failure = failure_of(*address, CallKind::Read, &status);
                    if may_try_next(CallKind::Read, &failure) {
                        continue;
                    }
                    return Err(failure);
                }
            };
            // A cut stream ends with an error or without its last report.
            while let Ok(Some(reply)) = reports.message().await {
                let reply = match checked_reply(reply) {
                    Ok(reply) => reply,
                    Err(failure) if may_try_next(CallKind::Read, &failure) => break,
                    Err(failure) => return Err(failure),
                };
                fruitless_rounds = 0;
                if let Progress::End = show(reply)? {
                    return Ok(());
                }
            }
        }
        if !reached {
            return Err(unreachable(access));
        }
        compio::time::sleep(REOPEN_PAUSE).await;
    }
    Err(CliFailure::Failed("the watch was cut too often".to_owned()))
}

fn unreachable(access: &OperatorAccess) -> CliFailure {
    let addresses: Vec<String> = access.endpoints.iter().map(ToString::to_string).collect();
    CliFailure::Unreachable(format!("could not connect to {}", addresses.join(", ")))
}
