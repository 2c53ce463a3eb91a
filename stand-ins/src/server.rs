//! HTTP front of every stand-in: listening, request parsing and error answers.

use std::fmt::Display;
use std::future::Future;
use std::io::Write;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpListener;
use http::{Method, Request, StatusCode};
use http_util::{BodySender, HttpReply, ServerLimits, json_reply, read_body, serve_http};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde_json::json;

/// Longest accepted request body; a long document of 100,000 words is about 1 MB.
const BODY_LIMIT_BYTES: usize = 32 * 1024 * 1024;
/// Time allowed for a client to send its request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Arguments that every stand-in takes.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct ListenArgs {
    /// Address to listen on; port 0 picks a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Seed of the random decisions.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// A request that is answered with an error.
#[derive(Debug)]
pub struct CallError {
    pub status: StatusCode,
    pub message: String,
}

impl CallError {
    #[must_use]
    pub fn new(status: StatusCode, message: impl Into<String>) -> Self {
        Self {
            status,
            message: message.into(),
        }
    }

    #[must_use]
    pub fn bad_request(message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, message)
    }

    #[must_use]
    pub fn malformed(error: impl Display) -> Self {
        Self::bad_request(error.to_string())
    }

    #[must_use]
    pub fn not_found(message: impl Into<String>) -> Self {
        Self::new(StatusCode::NOT_FOUND, message)
    }

    fn reply(&self) -> HttpReply {
        json_reply(self.status, &json!({ "error": self.message }))
    }
}

/// A request whose body has been read.
pub struct CallRequest {
    pub method: Method,
    path: String,
    query: String,
    pub body: Bytes,
}

impl CallRequest {
    /// The parts of the path, without the leading slash.
    #[must_use]
    pub fn segments(&self) -> Vec<&str> {
        self.path.trim_start_matches('/').split('/').collect()
    }

    /// Reads a value from the query; `None` when it is absent.
    ///
    /// # Errors
    ///
    /// Fails with status 400 when the value cannot be parsed.
    pub fn query<T: FromStr>(&self, name: &str) -> Result<Option<T>, CallError> {
        let found = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name);
        let Some((_, value)) = found else {
            return Ok(None);
        };
        let parsed = value.parse();
        parsed.map(Some).map_err(|_| {
            CallError::bad_request(format!("{name} has the malformed value {value:?}"))
        })
    }

    /// Parses the JSON body.
    ///
    /// # Errors
    ///
    /// Fails with status 400 when the body does not match the type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(CallError::malformed)
    }

    /// The error for a path or method that the stand-in does not know.
    #[must_use]
    pub fn unknown(&self) -> CallError {
        CallError::bad_request(format!("unknown request {} {}", self.method, self.path))
    }
}

/// Starts logging. Messages go to standard error.
pub fn start_logging() {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
}

/// Prints the line by which tests recognise that the process is ready.
///
/// # Errors
///
/// Fails when standard output is closed.
pub fn announce(address: SocketAddr) -> std::io::Result<()> {
    let mut output = std::io::stdout().lock();
    writeln!(output, "listening on {address}")?;
    output.flush()
}

/// Listens, announces the address and answers requests until the listener fails.
///
/// # Errors
///
/// Returns the error of the listening socket.
pub async fn serve_calls<H, F>(listen: SocketAddr, handler: H) -> std::io::Result<()>
where
    H: Fn(CallRequest) -> F + Clone + 'static,
    F: Future<Output = Result<HttpReply, CallError>> + 'static,
{
    let listener = TcpListener::bind(listen).await?;
    announce(listener.local_addr()?)?;
    let answer = move |request| {
        let handler = handler.clone();
        async move {
            match read_call(request).await {
                Ok(call) => handler(call).await.unwrap_or_else(|error| error.reply()),
                Err(error) => error.reply(),
            }
        }
    };
    serve_http(listener, ServerLimits::default(), answer, || None).await
}

/// Sends a chunk of a streamed body when there is room. Returns false when the peer has gone.
pub async fn send_chunk(sender: &mut BodySender, chunk: Bytes) -> bool {
    let ready = std::future::poll_fn(|context| sender.poll_ready(context)).await;
    ready.is_ok() && sender.start_send(chunk).is_ok()
}

async fn read_call(request: Request<Incoming>) -> Result<CallRequest, CallError> {
    let (head, body) = request.into_parts();
    let body = read_body(body, BODY_LIMIT_BYTES, BODY_TIMEOUT)
        .await
        .map_err(CallError::malformed)?;
    Ok(CallRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        body,
    })
}
