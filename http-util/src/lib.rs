//! HTTP server and client helpers over compio sockets.
//!
//! Every socket has `TCP_NODELAY` set. With Nagle's algorithm and delayed acknowledgements, a unary
//! call on the loopback interface takes milliseconds instead of microseconds.

mod client;
mod keep_alive;
#[cfg(test)]
mod keep_alive_tests;
mod server;

pub use client::{ByteStream, ClientError, DialedConnection, LineReader, request_json};
pub use keep_alive::{KeepAliveConnection, SendFailure};
pub use server::{
    BodyError, BodySender, HttpReply, ReplyBody, ServerLimits, accept, body_channel, closed_reply,
    empty_reply, head_bytes, held_json_reply, json_reply, read_body, serve_http,
    serve_http_with_memory,
};
