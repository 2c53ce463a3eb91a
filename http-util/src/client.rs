//! HTTP/1.1 client calls that distinguish a failed connect from a failure after bytes may have been
//! sent.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use caller_limits::{BodyUse, MemoryHold, MemoryPool, ReadFailure, read_whole_body};
use compio::net::TcpStream;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use snafu::{ResultExt, Snafu};

use crate::keep_alive::BoundedStream;

/// Error of a failed call. Only `Connect` guarantees that no byte of the request was sent.
#[derive(Debug, Snafu)]
pub enum ClientError {
    #[snafu(display("could not connect to {address}"))]
    Connect {
        address: SocketAddr,
        source: std::io::Error,
    },
    #[snafu(display("the connection to {address} broke after the request was sent"))]
    Broken {
        address: SocketAddr,
        source: hyper::Error,
    },
    #[snafu(display("the response from {address} is longer than {limit_bytes} bytes"))]
    TooLarge {
        address: SocketAddr,
        limit_bytes: usize,
    },
}

/// Connection on which no byte of a request has been sent yet.
pub struct DialedConnection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
}

impl DialedConnection {
    /// Opens a connection without sending any byte of a request.
    ///
    /// # Errors
    ///
    /// Returns `ClientError::Connect` if the TCP connection can't be opened, or `ClientError::Broken`
    /// if the HTTP connection can't be set up on it.
    pub async fn open(address: SocketAddr) -> Result<Self, ClientError> {
        let stream = TcpStream::connect(address)
            .await
            .context(ConnectSnafu { address })?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        let (sender, connection) = http1::handshake(BoundedStream::without_limit(stream))
            .await
            .context(BrokenSnafu { address })?;
        compio::runtime::spawn(async move {
            // Errors of the connection are returned by the request that uses it.
            let _ = connection.await;
        })
        .detach();
        Ok(Self { address, sender })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns `ClientError::Broken` if the connection fails. The peer may have received the
    /// request.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<()>, ByteStream), ClientError> {
        let address = self.address;
        let response = self
            .sender
            .send_request(request)
            .await
            .context(BrokenSnafu { address })?;
        let (parts, body) = response.into_parts();
        let stream = ByteStream {
            address,
            body,
            _sender: self.sender,
        };
        Ok((Response::from_parts(parts, ()), stream))
    }
}

/// Response body that is read chunk by chunk.
pub struct ByteStream {
    address: SocketAddr,
    body: Incoming,
    // Keeps the connection open while the body is read.
    _sender: http1::SendRequest<Full<Bytes>>,
}

impl ByteStream {
    /// Reads the next chunk. Returns `None` at the end of a complete body.
    ///
    /// # Errors
    ///
    /// Returns `ClientError::Broken` if the body is truncated.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, ClientError> {
        loop {
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame.context(BrokenSnafu {
                address: self.address,
            })?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the rest of the body up to a limit, into memory that is drawn from an account.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated or longer than the limit, or makes no progress while memory is
    /// short.
    pub async fn read_held(
        self,
        memory: &MemoryPool,
        limit_bytes: usize,
    ) -> Result<(Bytes, MemoryHold), ReadFailure> {
        read_whole_body(memory, self.body, BodyUse::Response, limit_bytes).await
    }

    /// Reads the rest of the body up to a limit.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated or longer than the limit.
    pub async fn read_all(mut self, limit_bytes: usize) -> Result<Bytes, ClientError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            if body.len() + chunk.len() > limit_bytes {
                return TooLargeSnafu {
                    address: self.address,
                    limit_bytes,
                }
                .fail();
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }
}

/// Reader that splits a response body into lines.
pub struct LineReader {
    stream: ByteStream,
    buffer: BytesMut,
    limit_bytes: usize,
}

impl LineReader {
    #[must_use]
    pub fn new(stream: ByteStream, limit_bytes: usize) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            limit_bytes,
        }
    }

    /// Reads the next line without its line feed. Returns `None` at the end of the body. A last
    /// line without a line feed is dropped, as it may be truncated.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated or a line is longer than the limit.
    pub async fn next_line(&mut self) -> Result<Option<Bytes>, ClientError> {
        let mut searched_bytes = 0;
        loop {
            if let Some(line_bytes) = self.buffer[searched_bytes..]
                .iter()
                .position(|byte| *byte == b'\n')
            {
                let mut line = self.buffer.split_to(searched_bytes + line_bytes + 1);
                line.truncate(line.len() - 1);
                return Ok(Some(line.freeze()));
            }
            searched_bytes = self.buffer.len();
            if searched_bytes > self.limit_bytes {
                return TooLargeSnafu {
                    address: self.stream.address,
                    limit_bytes: self.limit_bytes,
                }
                .fail();
            }
            match self.stream.next_chunk().await? {
                Some(chunk) => self.buffer.extend_from_slice(&chunk),
                None => return Ok(None),
            }
        }
    }
}

/// Sends a request with an optional JSON body and reads the whole response.
///
/// # Errors
///
/// Fails if the connection can't be opened or breaks, or if the response is longer than the limit.
///
/// # Panics
///
/// Panics if `path` is not a valid request target.
pub async fn request_json(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Bytes>,
    limit_bytes: usize,
) -> Result<(StatusCode, Bytes), ClientError> {
    let connection = DialedConnection::open(address).await?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body.unwrap_or_default()))
        .expect("the request head is valid");
    let (head, stream) = connection.send(request).await?;
    let body = stream.read_all(limit_bytes).await?;
    Ok((head.status(), body))
}
