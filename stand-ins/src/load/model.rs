//! Model requests of the load tool: streams, resumes and the check of every token.

use http::{Method, StatusCode};
use http_util::{ByteStream, ClientError, LineReader};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::load::caller::{
    ANSWER_LIMIT_BYTES, AttemptEnd, LoadCaller, OpenRequest, RETRY_PAUSE, code_text, read_error,
    send, unix_seconds,
};
use crate::load::summary::OutcomeKind;

/// Longest line of a stream.
const LINE_LIMIT_BYTES: usize = 64 * 1024;
/// Refusal by which the home promises that it never dispatches the key.
const ABANDONED_CODE: &str = "1105";

/// One line of the answer stream.
#[derive(Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum StreamEvent {
    Dispatched { key: String },
    Token { index: u32, text: String },
    Done { tokens: u32 },
    Failed { code: Value },
}

impl LoadCaller {
    /// Sends a model request until an address accepts it, and resumes a broken stream.
    pub(crate) async fn run_model(&self, open: &mut OpenRequest<'_>) -> OutcomeKind {
        let mut last_code = String::new();
        for attempt in 0..self.attempts {
            if attempt > 0 {
                open.resends += 1;
                compio::time::sleep(RETRY_PAUSE).await;
            }
            let mut end = self.try_model(open, attempt).await;
            if matches!(end, AttemptEnd::Broken) {
                end = self.resume_model(open).await;
            }
            match end {
                AttemptEnd::Ended(kind) => return kind,
                AttemptEnd::NotRun(code) => last_code = code,
                AttemptEnd::Broken => return OutcomeKind::Failed("connection".to_owned()),
            }
        }
        OutcomeKind::Refused(last_code)
    }

    async fn try_model(&self, open: &mut OpenRequest<'_>, attempt: u32) -> AttemptEnd {
        let Some(host) = self.directory.pick(&open.tried) else {
            return AttemptEnd::NotRun("no address".to_owned());
        };
        open.tried.push(host.address);
        open.key = format!(
            "{}-{}-{}",
            host.home,
            unix_seconds(),
            self.suffix(open.planned, attempt)
        );
        let body = json!({
            "key": open.key,
            "pool": open.entry.pool,
            "route": open.entry.route,
            "tier": open.entry.tier,
            "deadline_ms": open.entry.deadline_ms,
            "prompt": open.planned.prompt(open.entry),
            "max_tokens": open.planned.max_tokens,
        });
        let token = &open.planned.token;
        let sent = send(
            host.address,
            Method::POST,
            "/v1/requests",
            token,
            Some(&body),
        )
        .await;
        match sent {
            Ok((head, stream)) => read_answer(open, head.status(), stream).await,
            Err(ClientError::Connect { .. }) => AttemptEnd::NotRun("connect".to_owned()),
            Err(_) => AttemptEnd::Broken,
        }
    }

    // Ends with `NotRun` only when the home has given up the key before it dispatched anything.
    async fn resume_model(&self, open: &mut OpenRequest<'_>) -> AttemptEnd {
        for _ in 0..self.attempts {
            compio::time::sleep(RETRY_PAUSE).await;
            open.resumes += 1;
            let Some(host) = self.directory.pick(&open.tried) else {
                continue;
            };
            open.tried.push(host.address);
            let path = format!("/v1/requests/{}?from={}", open.key, open.tokens);
            let sent = send(host.address, Method::GET, &path, &open.planned.token, None).await;
            let Ok((head, stream)) = sent else {
                continue;
            };
            match read_answer(open, head.status(), stream).await {
                AttemptEnd::NotRun(code) if code == ABANDONED_CODE => {
                    return AttemptEnd::NotRun(code);
                }
                // The refusal of a resume says nothing about the request itself.
                AttemptEnd::Ended(OutcomeKind::Refused(code)) => {
                    return AttemptEnd::Ended(OutcomeKind::Failed(code));
                }
                AttemptEnd::Ended(kind) => return AttemptEnd::Ended(kind),
                AttemptEnd::NotRun(_) | AttemptEnd::Broken => {}
            }
        }
        AttemptEnd::Broken
    }
}

async fn read_answer(
    open: &mut OpenRequest<'_>,
    status: StatusCode,
    stream: ByteStream,
) -> AttemptEnd {
    if status != StatusCode::OK {
        return match stream.read_all(ANSWER_LIMIT_BYTES).await {
            Ok(body) => read_error(status, &body),
            Err(_) => AttemptEnd::Broken,
        };
    }
    let mut lines = LineReader::new(stream, LINE_LIMIT_BYTES);
    loop {
        // A body without its last line was cut.
        let Ok(Some(line)) = lines.next_line().await else {
            return AttemptEnd::Broken;
        };
        let Ok(event) = serde_json::from_slice::<StreamEvent>(&line) else {
            open.is_wrong = true;
            return AttemptEnd::Ended(OutcomeKind::Failed("malformed".to_owned()));
        };
        if let Some(kind) = take_event(open, &event) {
            return AttemptEnd::Ended(kind);
        }
    }
}

// Returns how the request ended, if the event ends it.
fn take_event(open: &mut OpenRequest<'_>, event: &StreamEvent) -> Option<OutcomeKind> {
    match event {
        StreamEvent::Dispatched { key } => {
            open.is_wrong |= *key != open.key;
            None
        }
        StreamEvent::Token { index, text } => {
            open.first_token.get_or_insert_with(|| open.start.elapsed());
            open.is_wrong |= *index != open.tokens || *text != format!("t{} ", open.tokens);
            open.tokens += 1;
            None
        }
        StreamEvent::Done { tokens } => {
            open.is_wrong |= *tokens != open.tokens || *tokens != open.planned.max_tokens;
            Some(OutcomeKind::Complete)
        }
        StreamEvent::Failed { code } => Some(OutcomeKind::Failed(code_text(code))),
    }
}
