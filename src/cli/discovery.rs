//! Discovery of the callers' addresses, and the requests that callers send.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::Full;
use http_util::{ByteStream, DialedConnection};
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::cli::arguments::CallerAccess;
use crate::cli::connection::CONNECT_TIMEOUT;
use crate::cli::failure::{CliFailure, CliResult, Refusal, parse_ran};
use crate::cli::output::print_reply;
use crate::result_code::ResultCode;

pub(crate) const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct DiscoveredHost {
    pub(crate) address: SocketAddr,
    /// Incarnation of the host; the first part of the keys that it may dispatch.
    pub(crate) home: String,
    pub(crate) zone: String,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct DiscoveryReply {
    pub(crate) hosts: Vec<DiscoveredHost>,
    keep_seconds: u64,
}

#[derive(Deserialize)]
struct RefusalBody {
    code: u32,
    ran: String,
    message: String,
}

/// An answer whose body has been read to its end.
pub(crate) struct WholeAnswer {
    pub(crate) success: bool,
    pub(crate) body: Bytes,
}

pub(crate) async fn show_hosts(access: CallerAccess) -> CliResult<()> {
    let reply = discover(&access).await?;
    print_reply(access.output, &reply, |reply| {
        let lines = reply.hosts.iter().map(|host| {
            let (address, home, zone) = (host.address, &host.home, &host.zone);
            format!("{address} home {home} zone {zone}")
        });
        let lines: Vec<String> = lines.collect();
        let seconds = reply.keep_seconds;
        format!("{}\nkeep for {seconds} s", lines.join("\n"))
    });
    Ok(())
}

/// Asks the first endpoint that answers which addresses take requests.
pub(crate) async fn discover(access: &CallerAccess) -> CliResult<DiscoveryReply> {
    let mut last = CliFailure::Unreachable("no endpoint is given".to_owned());
    for address in &access.endpoints {
        let Some(connection) = open(*address).await else {
            if let CliFailure::Unreachable(_) = last {
                last = CliFailure::Unreachable(format!("could not connect to {address}"));
            }
            continue;
        };
        let request = build_request(access, *address, Method::GET, "/v1/hosts", None)?;
        last = match send_whole(connection, request, DISCOVERY_TIMEOUT).await {
            Ok(answer) if answer.success => match serde_json::from_slice(&answer.body) {
                Ok(reply) => return Ok(reply),
                Err(error) => CliFailure::Failed(format!(
                    "{address} answered discovery with invalid JSON: {error}"
                )),
            },
            Ok(answer) => CliFailure::Refused(refusal_of(&answer.body)),
            Err(reason) => CliFailure::Failed(format!("{address}: {reason}")),
        };
    }
    Err(last)
}

/// Opens a connection; `None` means that nothing was sent.
pub(crate) async fn open(address: SocketAddr) -> Option<DialedConnection> {
    let opened = compio::time::timeout(CONNECT_TIMEOUT, DialedConnection::open(address)).await;
    opened.ok()?.ok()
}

pub(crate) fn build_request(
    access: &CallerAccess,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Option<&serde_json::Value>,
) -> CliResult<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json");
    if let Some(token) = &access.token {
        request = request.header(http::header::AUTHORIZATION, format!("Bearer {token}"));
    }
    let body = body.map(|body| Bytes::from(body.to_string()));
    request
        .body(Full::new(body.unwrap_or_default()))
        .map_err(|error| CliFailure::Usage(format!("the key or the token is not valid: {error}")))
}

/// Sends a request and reads its whole answer; the error says how the connection broke.
pub(crate) async fn send_whole(
    connection: DialedConnection,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<WholeAnswer, String> {
    let answered = compio::time::timeout(timeout, async {
        let (head, body) = connection.send(request).await?;
        read_whole(&head, body).await
    });
    match answered.await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err(format!("no answer within {} s", timeout.as_secs())),
    }
}

pub(crate) async fn read_whole(
    head: &Response<()>,
    body: ByteStream,
) -> Result<WholeAnswer, http_util::ClientError> {
    Ok(WholeAnswer {
        success: head.status().is_success(),
        body: body.read_all(MAX_ANSWER_BYTES).await?,
    })
}

/// Reads the code of a refusal. An answer without one promises nothing.
pub(crate) fn refusal_of(body: &[u8]) -> Refusal {
    match serde_json::from_slice::<RefusalBody>(body) {
        Ok(refusal) => Refusal {
            number: refusal.code,
            ran: parse_ran(&refusal.ran),
            message: refusal.message,
            field: String::new(),
        },
        Err(_) => Refusal {
            number: 0,
            ran: crate::result_code::RanState::MayHaveRun,
            message: "the answer carries no result code".to_owned(),
            field: String::new(),
        },
    }
}

/// Whether a refusal concerns the host that was asked rather than the request.
pub(crate) fn is_about_host(refusal: &Refusal) -> bool {
    matches!(
        refusal.code(),
        Some(
            ResultCode::Isolated
                | ResultCode::Draining
                | ResultCode::HostFull
                | ResultCode::NotReady
                | ResultCode::TooManyConnections
        )
    )
}

/// Random part of a key.
pub(crate) fn random_suffix() -> String {
    format!("{:016x}", SmallRng::from_os_rng().next_u64())
}

/// Returns the text of an argument; `-` stands for standard input.
pub(crate) fn text_argument(argument: &str) -> CliResult<String> {
    if argument != "-" {
        return Ok(argument.to_owned());
    }
    std::io::read_to_string(std::io::stdin())
        .map_err(|error| CliFailure::Usage(format!("cannot read standard input: {error}")))
}
