//! The callers' protocol, as a test uses it.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use http_util::{ClientError, DialedConnection, LineReader};
use serde_json::{Value, json};

const MAX_LINE_BYTES: usize = 1024 * 1024;
/// No call of a test waits longer than this.
const CALL_TIMEOUT: Duration = Duration::from_mins(2);

/// A whole answer: its status and its lines, or its one JSON body.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub status: u16,
    pub lines: Vec<Value>,
    /// The connection ended before the body did.
    pub cut: bool,
}

impl Reply {
    /// The result code of a refusal, or of the last line; 1000 for a whole answer.
    #[must_use]
    pub fn code(&self) -> u64 {
        let last = self.lines.last().unwrap_or(&Value::Null);
        if last["event"] == "done" || (self.status == 200 && last.get("result").is_some()) {
            return 1000;
        }
        last["code"].as_u64().unwrap_or(0)
    }

    /// What the answer says about the run: `not_run`, `may_have_run` or `ran`.
    #[must_use]
    pub fn ran(&self) -> &str {
        let last = self.lines.last().unwrap_or(&Value::Null);
        last["ran"].as_str().unwrap_or("")
    }

    /// Texts of the tokens with their indexes, as they came.
    #[must_use]
    pub fn tokens(&self) -> Vec<(u64, String)> {
        let tokens = self.lines.iter().filter(|line| line["event"] == "token");
        tokens
            .map(|line| {
                let text = line["text"].as_str().unwrap_or("").to_owned();
                (line["index"].as_u64().unwrap_or(u64::MAX), text)
            })
            .collect()
    }

    /// Whether the answer is whole: `count` tokens from `from` on, in order, each with the text
    /// that the stand-in engine gives it.
    #[must_use]
    pub fn is_whole(&self, from: u64, count: u64) -> bool {
        let expected: Vec<(u64, String)> = (from..count)
            .map(|index| (index, format!("t{index} ")))
            .collect();
        self.code() == 1000 && self.tokens() == expected
    }
}

/// An answer that is read line by line.
pub struct CallerStream {
    pub status: u16,
    reader: LineReader,
}

impl CallerStream {
    /// Opens a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection cannot be made or breaks.
    ///
    /// # Panics
    ///
    /// Panics if the path is not a valid request target.
    pub async fn open(
        address: SocketAddr,
        method: Method,
        path: &str,
        token: Option<&str>,
        body: Option<&Value>,
    ) -> Result<Self, ClientError> {
        let request = build_request(address, method, path, token, body);
        let connection = DialedConnection::open(address).await?;
        let (head, stream) = connection.send(request).await?;
        Ok(Self {
            status: head.status().as_u16(),
            reader: LineReader::new(stream, MAX_LINE_BYTES),
        })
    }

    /// The next line; `None` at the end, an error when the connection was cut.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub async fn next(&mut self) -> Result<Option<Value>, ClientError> {
        let line = self.reader.next_line().await?;
        Ok(line.map(|line| serde_json::from_slice(&line).unwrap_or(Value::Null)))
    }

    /// Reads the rest of the answer.
    pub async fn rest(mut self) -> Reply {
        let mut reply = Reply {
            status: self.status,
            lines: Vec::new(),
            cut: false,
        };
        loop {
            match self.next().await {
                Ok(Some(line)) => reply.lines.push(line),
                Ok(None) => return reply,
                Err(_) => {
                    reply.cut = true;
                    return reply;
                }
            }
        }
    }
}

fn build_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    token: Option<&str>,
    body: Option<&Value>,
) -> Request<Full<Bytes>> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string());
    if let Some(token) = token {
        request = request.header(http::header::AUTHORIZATION, format!("Bearer {token}"));
    }
    let body = body.map_or(Bytes::new(), |body| Bytes::from(body.to_string()));
    request
        .body(Full::new(body))
        .expect("the request head is valid")
}

/// Sends a request and reads the whole answer. An answer in JSON becomes one line.
///
/// # Errors
///
/// Fails when the connection cannot be made or breaks before the head of the answer.
///
/// # Panics
///
/// Panics if the answer takes longer than two minutes, or the path is not valid.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    token: Option<&str>,
    body: Option<&Value>,
) -> Result<Reply, ClientError> {
    let call = async {
        let request = build_request(address, method, path, token, body);
        let connection = DialedConnection::open(address).await?;
        let (head, mut stream) = connection.send(request).await?;
        let mut reply = Reply {
            status: head.status().as_u16(),
            lines: Vec::new(),
            cut: false,
        };
        let mut bytes = Vec::new();
        loop {
            match stream.next_chunk().await {
                Ok(Some(chunk)) => bytes.extend_from_slice(&chunk),
                Ok(None) => break,
                Err(_) => {
                    reply.cut = true;
                    break;
                }
            }
        }
        let lines = bytes.split(|byte| *byte == b'\n');
        reply.lines = lines
            .filter_map(|line| serde_json::from_slice(line).ok())
            .collect();
        Ok(reply)
    };
    compio::time::timeout(CALL_TIMEOUT, call)
        .await
        .unwrap_or_else(|_| panic!("{address} did not answer {path} within two minutes"))
}

/// Addresses and homes that a host's discovery names.
///
/// # Errors
///
/// Fails when the host cannot be reached.
pub async fn discover(address: SocketAddr) -> Result<Vec<(SocketAddr, String)>, ClientError> {
    let reply = send(address, Method::GET, "/v1/hosts", None, None).await?;
    let hosts = reply
        .lines
        .first()
        .and_then(|line| line["hosts"].as_array());
    Ok(hosts
        .into_iter()
        .flatten()
        .filter_map(|host| {
            let address = host["address"].as_str()?.parse().ok()?;
            Some((address, host["home"].as_str()?.to_owned()))
        })
        .collect())
}

/// Seconds since the Unix epoch.
#[must_use]
pub fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}

/// A new key for a model request at a home.
#[must_use]
pub fn home_key(home: &str, suffix: &str) -> String {
    format!("{home}-{}-{suffix}", unix_seconds())
}

/// Body of a model request to the pool `assistant`.
#[must_use]
pub fn submit_body(key: &str, tier: u8, prompt: &str, max_tokens: u32) -> Value {
    json!({
        "key": key, "pool": "assistant", "route": "question", "tier": tier,
        "prompt": prompt, "max_tokens": max_tokens,
    })
}
