//! Sends requests as a caller does: other addresses after failures, resends of calls by key.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use http_util::{ByteStream, ClientError, DialedConnection};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::load::directory::HostDirectory;
use crate::load::summary::{OutcomeKind, RequestOutcome};
use crate::load::workload::{MixEntry, PlannedRequest, RequestKind};

pub(crate) const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// Pause before a request goes to another address.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Refusals after which a caller uses another address with a new key: the key's home has changed,
/// the host is isolated, or it is shutting down. None of them ran the request.
const OTHER_ADDRESS_CODES: [&str; 3] = ["1105", "1301", "1304"];

/// Settings and state that all requests share.
pub struct LoadCaller {
    pub directory: HostDirectory,
    /// Distinguishes the keys of this run from those of earlier ones.
    pub run: u64,
    /// Times that a request is sent or resumed before it counts as failed.
    pub attempts: u32,
    /// Time after the deadline for which an answer is still awaited.
    pub late_limit: Duration,
}

/// The body of an error answer.
#[derive(Deserialize)]
struct ErrorAnswer {
    code: Value,
    ran: String,
}

/// A request in progress, with what was observed so far.
pub(crate) struct OpenRequest<'a> {
    pub(crate) planned: &'a PlannedRequest,
    pub(crate) entry: &'a MixEntry,
    pub(crate) start: Instant,
    pub(crate) key: String,
    pub(crate) first_token: Option<Duration>,
    pub(crate) tokens: u32,
    pub(crate) is_wrong: bool,
    pub(crate) resumes: u32,
    pub(crate) resends: u32,
    pub(crate) tried: Vec<SocketAddr>,
}

/// Result of one attempt.
pub(crate) enum AttemptEnd {
    Ended(OutcomeKind),
    /// It did not run; another address may.
    NotRun(String),
    /// The connection broke after it may have started.
    Broken,
}

impl LoadCaller {
    /// Runs one request to its end.
    pub async fn run(
        self: Rc<Self>,
        planned: &PlannedRequest,
        entry: &MixEntry,
        start: Instant,
    ) -> RequestOutcome {
        let mut open = OpenRequest {
            planned,
            entry,
            start,
            key: String::new(),
            first_token: None,
            tokens: 0,
            is_wrong: false,
            resumes: 0,
            resends: 0,
            tried: Vec::new(),
        };
        let limit = start + Duration::from_millis(entry.deadline_ms) + self.late_limit;
        let running = async {
            match entry.kind {
                RequestKind::Model => self.run_model(&mut open).await,
                RequestKind::Call => self.run_call(&mut open).await,
            }
        };
        let ended = compio::time::timeout_at(limit, running).await;
        RequestOutcome {
            kind: ended.unwrap_or_else(|_| OutcomeKind::Failed("time-out".to_owned())),
            sent: planned.at,
            whole: start.elapsed(),
            key: open.key,
            first_token: open.first_token,
            tokens: open.tokens,
            is_wrong: open.is_wrong,
            resumes: open.resumes,
            resends: open.resends,
        }
    }

    async fn run_call(&self, open: &mut OpenRequest<'_>) -> OutcomeKind {
        open.key = format!("{}-{}", unix_seconds(), self.suffix(open.planned, 0));
        // Once a send has broken, a later refusal no longer means that nothing ran.
        let mut may_have_run = false;
        let mut last_code = "connection".to_owned();
        for attempt in 0..self.attempts {
            if attempt > 0 {
                open.resends += 1;
                compio::time::sleep(RETRY_PAUSE).await;
            }
            match self.try_call(open).await {
                AttemptEnd::Ended(OutcomeKind::Refused(code)) if may_have_run => {
                    return OutcomeKind::Failed(code);
                }
                AttemptEnd::Ended(kind) => return kind,
                AttemptEnd::NotRun(code) => last_code = code,
                AttemptEnd::Broken => {
                    may_have_run = true;
                    "connection".clone_into(&mut last_code);
                }
            }
        }
        if may_have_run {
            return OutcomeKind::Failed(last_code);
        }
        OutcomeKind::Refused(last_code)
    }

    async fn try_call(&self, open: &mut OpenRequest<'_>) -> AttemptEnd {
        let body = json!({"item": format!("{}-{}", open.entry.name, open.planned.sequence)});
        let call = json!({
            "key": open.key,
            "pool": open.entry.pool,
            "operation": open.entry.operation,
            "idempotent": open.entry.idempotent,
            "tier": open.entry.tier,
            "deadline_ms": open.entry.deadline_ms,
            "body": body,
        });
        let Some(host) = self.directory.pick(&open.tried) else {
            return AttemptEnd::NotRun("no address".to_owned());
        };
        open.tried.push(host.address);
        let sent = send(
            host.address,
            Method::POST,
            "/v1/calls",
            &open.planned.token,
            Some(&call),
        );
        let (head, stream) = match sent.await {
            Ok(answer) => answer,
            Err(ClientError::Connect { .. }) => return AttemptEnd::NotRun("connect".to_owned()),
            Err(_) => return AttemptEnd::Broken,
        };
        let Ok(answer) = stream.read_all(ANSWER_LIMIT_BYTES).await else {
            return AttemptEnd::Broken;
        };
        if head.status() != StatusCode::OK {
            return read_error(head.status(), &answer);
        }
        let answer: Value = serde_json::from_slice(&answer).unwrap_or_default();
        // Both stand-in operations that write return the body of the call that they ran.
        let echo = answer["result"]
            .get("placed")
            .or(answer["result"].get("registered"));
        let is_foreign = echo.is_some_and(|echo| *echo != body);
        open.is_wrong |= answer["key"] != *open.key || is_foreign;
        AttemptEnd::Ended(OutcomeKind::Complete)
    }

    /// The part of a key that the caller chooses.
    pub(crate) fn suffix(&self, planned: &PlannedRequest, attempt: u32) -> String {
        format!("{:x}r{}a{attempt}", self.run, planned.sequence)
    }
}

/// Seconds since the Unix epoch, which a key carries.
pub(crate) fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}

/// Sends one request on its own connection and waits for the head of the answer.
pub(crate) async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    token: &str,
    body: Option<&Value>,
) -> Result<(Response<()>, ByteStream), ClientError> {
    let connection = DialedConnection::open(address).await?;
    let body = body.map(Value::to_string).unwrap_or_default();
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .header(http::header::AUTHORIZATION, format!("Bearer {token}"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("the request head is valid");
    connection.send(request).await
}

/// Reads an error answer. Only the codes of `OTHER_ADDRESS_CODES` lead to another attempt.
pub(crate) fn read_error(status: StatusCode, body: &[u8]) -> AttemptEnd {
    let Ok(error) = serde_json::from_slice::<ErrorAnswer>(body) else {
        return AttemptEnd::Ended(OutcomeKind::Failed(format!("status {}", status.as_u16())));
    };
    let code = code_text(&error.code);
    if error.ran != "not_run" {
        return AttemptEnd::Ended(OutcomeKind::Failed(code));
    }
    if OTHER_ADDRESS_CODES.contains(&code.as_str()) {
        return AttemptEnd::NotRun(code);
    }
    AttemptEnd::Ended(OutcomeKind::Refused(code))
}

pub(crate) fn code_text(code: &Value) -> String {
    code.as_str()
        .map_or_else(|| code.to_string(), str::to_owned)
}
