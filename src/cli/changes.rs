//! Commands that change the configuration.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tonic::{Request, Response, Status};

use crate::cli::arguments::{
    AbortArguments, DrainArguments, OperatorAccess, PublishArguments, RolloutArguments,
    TierArguments, ZoneArguments,
};
use crate::cli::connection::{CallKind, Client, call_operator};
use crate::cli::failure::CliResult;
use crate::cli::output::{change_text, print_reply};
use crate::cli::reads::read_file;
use crate::cli::watch;
use crate::generated::operator as rpc;

/// Makes a change, prints how far it has got and returns its config version.
async fn change<M: Clone>(
    access: &OperatorAccess,
    message: M,
    call: impl AsyncFn(&mut Client, Request<M>) -> Result<Response<rpc::ChangeReply>, Status>,
) -> CliResult<u64> {
    let reply = call_operator(access, CallKind::Change, message, call).await?;
    print_reply(access.output, &reply, change_text);
    Ok(reply.config_version)
}

/// Time since the Unix epoch.
pub(crate) fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

pub(crate) fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

pub(crate) async fn publish_config(arguments: PublishArguments) -> CliResult<()> {
    let message = rpc::PublishConfigRequest {
        document: read_file(&arguments.file)?,
        expected_version: arguments.expected_version,
    };
    change(&arguments.access, message, async |client, request| {
        client.publish_config(request).await
    })
    .await?;
    Ok(())
}

pub(crate) async fn put_tier(arguments: TierArguments) -> CliResult<()> {
    let message = rpc::PutTierRequest {
        tier: arguments.tier.into(),
        name: arguments.name,
        default_deadline_ms: milliseconds(arguments.default_deadline),
    };
    change(&arguments.access, message, async |client, request| {
        client.put_tier(request).await
    })
    .await?;
    Ok(())
}

pub(crate) async fn set_zone(arguments: ZoneArguments, out: bool) -> CliResult<()> {
    let state = if out {
        rpc::ZoneState::Out
    } else {
        rpc::ZoneState::In
    };
    let message = rpc::SetZoneRequest {
        zone: arguments.zone.clone(),
        state: state.into(),
        expected_version: arguments.expected_version,
    };
    let since = change(&arguments.access, message, async |client, request| {
        client.set_zone(request).await
    })
    .await?;
    if arguments.watch {
        let goal = watch::ZoneGoal::InForce { since };
        watch::watch_zone(&arguments.access, &arguments.zone, goal).await?;
    }
    Ok(())
}

pub(crate) async fn start_rollout(arguments: RolloutArguments) -> CliResult<()> {
    let from_now = arguments.deadline.unwrap_or_default();
    let message = rpc::StartRolloutRequest {
        name: arguments.name.clone(),
        pool: arguments.pool,
        version: arguments.version,
        deadline_ms: arguments
            .deadline_unix_ms
            .unwrap_or_else(|| milliseconds(unix_time() + from_now)),
    };
    change(&arguments.access, message, async |client, request| {
        client.start_rollout(request).await
    })
    .await?;
    if arguments.watch {
        let taken_back = watch::TakenBackIs::Failure;
        watch::watch_rollout(&arguments.access, &arguments.name, taken_back).await?;
    }
    Ok(())
}

pub(crate) async fn abort_rollout(arguments: AbortArguments) -> CliResult<()> {
    let message = rpc::AbortRolloutRequest {
        name: arguments.name.clone(),
    };
    change(&arguments.access, message, async |client, request| {
        client.abort_rollout(request).await
    })
    .await?;
    if arguments.watch {
        let taken_back = watch::TakenBackIs::Wanted;
        watch::watch_rollout(&arguments.access, &arguments.name, taken_back).await?;
    }
    Ok(())
}

pub(crate) async fn drain_host(arguments: DrainArguments, drained: bool) -> CliResult<()> {
    let message = rpc::DrainHostRequest {
        host: arguments.host,
        drained,
    };
    change(&arguments.access, message, async |client, request| {
        client.drain_host(request).await
    })
    .await?;
    Ok(())
}
