//! Calls of service endpoints, and cancelling.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde_json::{Value, json};

use crate::cli::arguments::{CallArguments, CallerAccess, CancelArguments};
use crate::cli::changes::{milliseconds, unix_time};
use crate::cli::discovery::{
    WholeAnswer, build_request, discover, is_about_host, open, random_suffix, refusal_of,
    send_whole, text_argument,
};
use crate::cli::failure::{CliFailure, CliResult};
use crate::cli::output::print_reply;
use crate::ids::parse_key;

/// Time allowed for the answer of a call without `--deadline`.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(2);
/// Time allowed for an answer to arrive after the deadline of its call.
const DEADLINE_GRACE: Duration = Duration::from_secs(5);
const RESEND_PAUSE: Duration = Duration::from_millis(200);

/// One message that may be sent to several hosts, always with the same key.
struct KeyedMessage<'a> {
    access: &'a CallerAccess,
    method: Method,
    path: String,
    body: Option<Value>,
    timeout: Duration,
}

pub(crate) async fn call(arguments: CallArguments) -> CliResult<()> {
    let body = text_argument(&arguments.body)?;
    let body: Value = serde_json::from_str(&body)
        .map_err(|error| CliFailure::Usage(format!("--body is not valid JSON: {error}")))?;
    let key = arguments
        .key
        .unwrap_or_else(|| format!("{}-{}", unix_time().as_secs(), random_suffix()));
    let mut message = json!({
        "key": key,
        "pool": arguments.pool,
        "operation": arguments.operation,
        "idempotent": arguments.idempotent,
        "tier": arguments.tier,
        "body": body,
    });
    if let Some(deadline) = arguments.deadline {
        message["deadline_ms"] = milliseconds(deadline).into();
    }
    let message = KeyedMessage {
        access: &arguments.access,
        method: Method::POST,
        path: "/v1/calls".to_owned(),
        body: Some(message),
        timeout: arguments
            .deadline
            .map_or(ANSWER_TIMEOUT, |deadline| deadline + DEADLINE_GRACE),
    };
    eprintln!("key {key}");
    let answer = message.send().await?;
    let reply: Value = serde_json::from_slice(&answer.body).map_err(|error| {
        CliFailure::Unknown(format!("the answer of the call is not valid JSON: {error}"))
    })?;
    print_reply(arguments.access.output, &reply, |reply| {
        reply["result"].to_string()
    });
    Ok(())
}

pub(crate) async fn cancel(arguments: CancelArguments) -> CliResult<()> {
    if parse_key(&arguments.key).is_none() {
        let message = format!("{} is not a key that submit printed", arguments.key);
        return Err(CliFailure::Usage(message));
    }
    let message = KeyedMessage {
        access: &arguments.access,
        method: Method::DELETE,
        path: format!("/v1/requests/{}", arguments.key),
        body: None,
        timeout: ANSWER_TIMEOUT,
    };
    message.send().await?;
    let reply = json!({"key": arguments.key, "cancelled": true});
    print_reply(arguments.access.output, &reply, |_| "cancelled".to_owned());
    Ok(())
}

impl KeyedMessage<'_> {
    /// Sends the message until a host answers it.
    ///
    /// A resend carries the same key, so a non-idempotent call still runs at most once.
    async fn send(&self) -> CliResult<WholeAnswer> {
        let hosts = discover(self.access).await?.hosts;
        let mut broken: Option<String> = None;
        let mut last = CliFailure::Unreachable("discovery returned no host".to_owned());
        for host in &hosts {
            match self.send_to(host.address).await {
                Ok(answer) if answer.success => return Ok(answer),
                Ok(answer) => {
                    let refusal = refusal_of(&answer.body);
                    let about_host = is_about_host(&refusal);
                    last = CliFailure::Refused(refusal);
                    if !about_host {
                        break;
                    }
                }
                Err(CliFailure::Unknown(reason)) => {
                    broken = Some(reason);
                    compio::time::sleep(RESEND_PAUSE).await;
                }
                Err(failure @ CliFailure::Usage(_)) => return Err(failure),
                Err(failure) => last = failure,
            }
        }
        Err(match (broken, last) {
            // An earlier copy may have run, whatever was said about a later one.
            (Some(reason), CliFailure::Refused(refusal)) => CliFailure::Unknown(format!(
                "{reason}; a resend was refused with {}: {}",
                refusal.number, refusal.message
            )),
            (Some(reason), _) => CliFailure::Unknown(reason),
            (None, last) => last,
        })
    }

    async fn send_to(&self, address: SocketAddr) -> CliResult<WholeAnswer> {
        let (method, body) = (self.method.clone(), self.body.as_ref());
        let request = build_request(self.access, address, method, &self.path, body)?;
        let Some(connection) = open(address).await else {
            let message = format!("could not connect to {address}");
            return Err(CliFailure::Unreachable(message));
        };
        let answer = send_whole(connection, request, self.timeout).await;
        answer.map_err(|reason| CliFailure::Unknown(format!("{address}: {reason}")))
    }
}
