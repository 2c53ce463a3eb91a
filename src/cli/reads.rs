//! Commands that show something and change nothing.

use std::path::Path;

use serde_json::json;

use crate::cli::arguments::{OperatorAccess, RolloutStatusArguments, ValidateArguments};
use crate::cli::connection::{CallKind, call_operator};
use crate::cli::failure::{CliFailure, CliResult, Refusal};
use crate::cli::output::{counters_text, print_reply, rollouts_text, status_text};
use crate::cli::watch;
use crate::config_document::parse_document;
use crate::generated::operator as rpc;
use crate::result_code::ResultCode;

/// Reads a file that the operator named.
pub(crate) fn read_file(path: &Path) -> CliResult<String> {
    std::fs::read_to_string(path)
        .map_err(|error| CliFailure::Usage(format!("cannot read {}: {error}", path.display())))
}

pub(crate) fn validate_config(arguments: &ValidateArguments) -> CliResult<()> {
    let text = read_file(&arguments.file)?;
    if let Err(error) = parse_document(&text) {
        let code = ResultCode::ConfigInvalid;
        return Err(CliFailure::Refused(Refusal {
            number: code.number().into(),
            ran: code.ran(),
            message: format!("{}: {error}", arguments.file.display()),
            field: String::new(),
        }));
    }
    print_reply(arguments.output, &json!({"valid": true}), |_| {
        "the document is valid".to_owned()
    });
    Ok(())
}

pub(crate) async fn show_config(access: OperatorAccess) -> CliResult<()> {
    let reply = call_operator(
        &access,
        CallKind::Read,
        rpc::GetConfigRequest {},
        async |client, request| client.get_config(request).await,
    )
    .await?;
    // Standard output is a document that `config publish` accepts.
    eprintln!("config version {}", reply.config_version);
    print_reply(access.output, &reply, |reply| reply.document.clone());
    Ok(())
}

pub(crate) async fn show_status(access: OperatorAccess) -> CliResult<()> {
    let reply = call_operator(
        &access,
        CallKind::Read,
        rpc::StatusRequest {},
        async |client, request| client.status(request).await,
    )
    .await?;
    print_reply(access.output, &reply, status_text);
    Ok(())
}

pub(crate) async fn show_counters(access: OperatorAccess) -> CliResult<()> {
    let reply = call_operator(
        &access,
        CallKind::Read,
        rpc::CountersRequest {},
        async |client, request| client.counters(request).await,
    )
    .await?;
    print_reply(access.output, &reply, |reply| {
        counters_text(&reply.counters)
    });
    Ok(())
}

pub(crate) async fn show_rollouts(arguments: RolloutStatusArguments) -> CliResult<()> {
    let access = &arguments.access;
    if let (true, Some(name)) = (arguments.watch, &arguments.name) {
        return watch::watch_rollout(access, name, watch::TakenBackIs::Failure).await;
    }
    let mut reply = call_operator(
        access,
        CallKind::Read,
        rpc::RolloutsRequest {},
        async |client, request| client.rollouts(request).await,
    )
    .await?;
    if let Some(name) = &arguments.name {
        reply.rollouts.retain(|rollout| rollout.name == *name);
        if reply.rollouts.is_empty() {
            let code = ResultCode::UnknownObject;
            return Err(CliFailure::Refused(Refusal {
                number: code.number().into(),
                ran: code.ran(),
                message: format!("no rollout is named {name}"),
                field: "name".to_owned(),
            }));
        }
    }
    print_reply(access.output, &reply, |reply| {
        rollouts_text(&reply.rollouts)
    });
    Ok(())
}
