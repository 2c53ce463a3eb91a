//! A model request: sent once to its home, read to its end through any host.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::{Method, Request};
use http_body_util::Full;
use http_util::{DialedConnection, LineReader};
use serde::Deserialize;
use serde_json::json;

use crate::cli::arguments::{CallerAccess, OutputFormat, SubmitArguments};
use crate::cli::changes::{milliseconds, unix_time};
use crate::cli::discovery::{
    DiscoveredHost, MAX_ANSWER_BYTES, build_request, discover, is_about_host, open, random_suffix,
    read_whole, refusal_of, text_argument,
};
use crate::cli::failure::{CliFailure, CliResult, Refusal, parse_ran};
use crate::cli::output::write_output;
use crate::result_code::{RanState, ResultCode};

/// Time allowed for a dispatch without `--deadline`.
const DISPATCH_TIMEOUT: Duration = Duration::from_mins(10);
/// Time allowed for an event to arrive after the deadline of the request.
const DEADLINE_GRACE: Duration = Duration::from_secs(5);
/// Time without an event after which a stream counts as cut.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without any host that knows the request after which a resume is given up.
const RESUME_LIMIT: Duration = Duration::from_secs(30);
const RESUME_PAUSE: Duration = Duration::from_millis(200);

/// One line of an answer.
#[derive(Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum AnswerEvent {
    Dispatched,
    Token {
        index: u64,
        text: String,
    },
    Done,
    Failed {
        code: u32,
        ran: String,
        message: String,
    },
}

/// How reading an answer ended, unless it failed for good.
enum AnswerEnd {
    Complete,
    /// The rest may be had from another host.
    Cut(String),
    Refused(Refusal),
}

/// A request that has been sent.
struct SubmittedRequest<'a> {
    access: &'a CallerAccess,
    key: String,
    dispatched: bool,
    /// Index of the first token that has not been printed.
    next_index: u64,
    dispatch_timeout: Duration,
}

pub(crate) async fn submit(arguments: SubmitArguments) -> CliResult<()> {
    let access = &arguments.access;
    let prompt = text_argument(&arguments.prompt)?;
    let hosts = discover(access).await?.hosts;
    let (home, connection) = open_home(&hosts).await?;
    let mut submitted = SubmittedRequest {
        access,
        key: format!(
            "{}-{}-{}",
            home.home,
            unix_time().as_secs(),
            random_suffix()
        ),
        dispatched: false,
        next_index: 0,
        dispatch_timeout: arguments
            .deadline
            .map_or(DISPATCH_TIMEOUT, |deadline| deadline + DEADLINE_GRACE),
    };
    let mut message = json!({
        "key": submitted.key,
        "pool": arguments.pool,
        "route": arguments.route,
        "tier": arguments.tier,
        "prompt": prompt,
        "max_tokens": arguments.max_tokens,
    });
    if let Some(deadline) = arguments.deadline {
        message["deadline_ms"] = milliseconds(deadline).into();
    }
    let path = "/v1/requests";
    let request = build_request(access, home.address, Method::POST, path, Some(&message))?;
    eprintln!("key {}", submitted.key);
    match submitted.read_answer(connection, request).await? {
        AnswerEnd::Complete => Ok(()),
        AnswerEnd::Refused(refusal) => Err(CliFailure::Refused(refusal)),
        AnswerEnd::Cut(reason) => submitted.resume(&hosts, home, reason).await,
    }
}

/// Connects to the first host that can be reached. Nothing is sent before, so the key of the
/// host that is chosen is the only one under which the request exists.
async fn open_home(hosts: &[DiscoveredHost]) -> CliResult<(&DiscoveredHost, DialedConnection)> {
    for host in hosts {
        if let Some(connection) = open(host.address).await {
            return Ok((host, connection));
        }
    }
    Err(CliFailure::Unreachable(
        "no host that discovery returned can be reached".to_owned(),
    ))
}

impl SubmittedRequest<'_> {
    async fn read_answer(
        &mut self,
        connection: DialedConnection,
        request: Request<Full<bytes::Bytes>>,
    ) -> CliResult<AnswerEnd> {
        let sent = connection.send(request);
        let (head, body) = match compio::time::timeout(self.dispatch_timeout, sent).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => return Ok(AnswerEnd::Cut(error.to_string())),
            Err(_) => return Ok(AnswerEnd::Cut("no dispatch by the deadline".to_owned())),
        };
        if !head.status().is_success() {
            let answer = compio::time::timeout(EVENT_TIMEOUT, read_whole(&head, body)).await;
            return Ok(match answer {
                Ok(Ok(answer)) => AnswerEnd::Refused(refusal_of(&answer.body)),
                Ok(Err(error)) => AnswerEnd::Cut(error.to_string()),
                Err(_) => AnswerEnd::Cut("a refusal was cut".to_owned()),
            });
        }
        let mut lines = LineReader::new(body, MAX_ANSWER_BYTES);
        loop {
            let line = match compio::time::timeout(EVENT_TIMEOUT, lines.next_line()).await {
                Ok(Ok(Some(line))) => line,
                Ok(Ok(None)) => return Ok(AnswerEnd::Cut("the answer ended early".to_owned())),
                Ok(Err(error)) => return Ok(AnswerEnd::Cut(error.to_string())),
                Err(_) => return Ok(AnswerEnd::Cut("the answer stopped".to_owned())),
            };
            if let Some(end) = self.take_event(&line)? {
                return Ok(end);
            }
        }
    }

    /// Prints what an event adds; returns how the answer ended if it did.
    fn take_event(&mut self, line: &[u8]) -> CliResult<Option<AnswerEnd>> {
        let Ok(event) = serde_json::from_slice(line) else {
            return Ok(Some(AnswerEnd::Cut("an event is not valid".to_owned())));
        };
        match event {
            AnswerEvent::Dispatched => {
                if !self.dispatched {
                    self.print(line, "");
                }
                self.dispatched = true;
            }
            AnswerEvent::Token { index, text } if index == self.next_index => {
                self.next_index += 1;
                self.print(line, &text);
            }
            // A resumed stream may repeat tokens that were printed.
            AnswerEvent::Token { index, .. } if index < self.next_index => {}
            AnswerEvent::Token { .. } => {
                return Ok(Some(AnswerEnd::Cut("a token is missing".to_owned())));
            }
            AnswerEvent::Done => {
                self.print(line, "\n");
                return Ok(Some(AnswerEnd::Complete));
            }
            AnswerEvent::Failed { code, ran, message } => {
                return Err(CliFailure::Refused(Refusal {
                    number: code,
                    ran: parse_ran(&ran),
                    message,
                    field: String::new(),
                }));
            }
        }
        Ok(None)
    }

    fn print(&self, line: &[u8], text: &str) {
        match self.access.output {
            OutputFormat::Text => write_output(text.as_bytes()),
            OutputFormat::Json => write_output(&[line, b"\n"].concat()),
        }
    }

    /// Asks the other hosts, then the home, for the rest of the answer.
    async fn resume(
        &mut self,
        hosts: &[DiscoveredHost],
        home: &DiscoveredHost,
        mut reason: String,
    ) -> CliResult<()> {
        let others = hosts.iter().filter(|host| host.home != home.home);
        let order: Vec<SocketAddr> = others.chain([home]).map(|host| host.address).collect();
        let started = Instant::now();
        let mut last_contact = started;
        while last_contact.elapsed() < RESUME_LIMIT
            && (self.dispatched || started.elapsed() < self.dispatch_timeout)
        {
            for address in &order {
                let printed = self.next_index;
                match self.resume_at(*address).await? {
                    Some(AnswerEnd::Complete) => return Ok(()),
                    Some(AnswerEnd::Cut(cut)) => reason = cut,
                    Some(AnswerEnd::Refused(refusal)) => {
                        if refusal.code() == Some(ResultCode::InProgress) {
                            last_contact = Instant::now();
                        } else if !is_transient(&refusal) {
                            return Err(self.final_refusal(refusal));
                        }
                        reason = format!("{}: {}", refusal.number, refusal.message);
                    }
                    None => {}
                }
                if self.next_index > printed {
                    last_contact = Instant::now();
                }
            }
            compio::time::sleep(RESUME_PAUSE).await;
        }
        let key = &self.key;
        Err(CliFailure::Unknown(format!(
            "request {key} was cut and could not be resumed: {reason}"
        )))
    }

    /// `None` if the host cannot be reached.
    async fn resume_at(&mut self, address: SocketAddr) -> CliResult<Option<AnswerEnd>> {
        let Some(connection) = open(address).await else {
            return Ok(None);
        };
        let path = format!("/v1/requests/{}?from={}", self.key, self.next_index);
        let request = build_request(self.access, address, Method::GET, &path, None)?;
        self.read_answer(connection, request).await.map(Some)
    }

    /// Tells a refusal that is the outcome of the request from one of this call only.
    fn final_refusal(&self, refusal: Refusal) -> CliFailure {
        let is_outcome = match refusal.code() {
            Some(
                ResultCode::KeyGivenUp
                | ResultCode::CancelledQueued
                | ResultCode::DeadlineUnreachable
                | ResultCode::QueueFull
                | ResultCode::DeadlinePassed
                | ResultCode::NoEndpoint
                | ResultCode::WorkspaceQueueFull
                | ResultCode::RetryBudget
                | ResultCode::Quarantined,
            ) => !self.dispatched,
            _ => refusal.ran == RanState::MayHaveRun,
        };
        if is_outcome {
            return CliFailure::Refused(refusal);
        }
        CliFailure::Unknown(format!(
            "request {} was cut, and resuming it was refused with {}: {}",
            self.key, refusal.number, refusal.message
        ))
    }
}

/// Whether asking again later, or elsewhere, may give the rest of the answer.
fn is_transient(refusal: &Refusal) -> bool {
    is_about_host(refusal) || refusal.code() == Some(ResultCode::MayHaveRun)
}
