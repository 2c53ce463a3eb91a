//! Accepts connections and serves HTTP/1.1 on them.

use std::future::Future;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Instant;

use caller_limits::{AnswerBody, CallerConnection, ConnectionTable};
use compio::net::{TcpListener, TcpStream};
use cyper_core::CompioTimer;
use http::{Request, Response};
use http_util::accept;
use hyper::body::Incoming;
use hyper::service::service_fn;

use super::body::EdgeBody;
use super::lingering_stream::LingeringStream;
use super::state::Edge;

/// Size of the read buffer, which bounds a request head. The handler checks the configured limit on
/// heads.
const HEAD_BUFFER_BYTES: usize = 64 * 1024;

/// Accepts and serves connections until the listener fails.
///
/// When all places of `connections` are taken, connections that make no progress are closed for new
/// ones; if all make progress, new ones are closed without being read. Connections that are accepted
/// after the host's stop gate has opened take no place: the exit does not wait for these.
///
/// Connections from addresses for which `is_allowed` returns false are closed without being read.
pub(crate) async fn serve_connections<H, F>(
    listener: TcpListener,
    edge: Rc<Edge>,
    connections: Rc<ConnectionTable>,
    is_allowed: fn(&Edge, IpAddr) -> bool,
    handler: H,
) -> std::io::Result<()>
where
    H: Fn(Request<Incoming>, CallerConnection) -> F + Clone + 'static,
    F: Future<Output = Response<EdgeBody>> + 'static,
{
    loop {
        let stream = accept(&listener).await?;
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let address = stream.peer_addr().map(|address| address.ip());
        if !address.is_ok_and(|address| is_allowed(&edge, address)) {
            edge.count("connection_stranger");
            continue;
        }
        let admitted = if edge.stop_gate.is_open() {
            Some(connections.admit_without_place(Instant::now()))
        } else {
            connections.admit(Instant::now())
        };
        let Some(admitted) = admitted else {
            edge.count("connection_rejected");
            continue;
        };
        let edge = Rc::clone(&edge);
        let handler = handler.clone();
        compio::runtime::spawn(async move {
            let serving =
                |connection| serve_connection(stream, Rc::clone(&edge), connection, handler);
            if admitted.serve(serving).await.is_err() {
                edge.count("connection_closed");
            }
        })
        .detach();
    }
}

/// Serves one connection. If the host's stop gate opens meanwhile, the connection ends after the
/// answer in progress.
async fn serve_connection<H, F>(
    stream: TcpStream,
    edge: Rc<Edge>,
    connection: CallerConnection,
    handler: H,
) where
    H: Fn(Request<Incoming>, CallerConnection) -> F + 'static,
    F: Future<Output = Response<EdgeBody>> + 'static,
{
    let stream = LingeringStream::new(stream, connection.clone());
    let service = service_fn(move |request| {
        connection.begin_body();
        let reply = handler(request, connection.clone());
        let connection = connection.clone();
        async move {
            let reply = reply.await;
            Ok::<_, std::convert::Infallible>(reply.map(|body| AnswerBody::new(body, connection)))
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(edge.caller_head_timeout())
        .max_buf_size(HEAD_BUFFER_BYTES)
        .serve_connection(stream, service);
    let mut connection = std::pin::pin!(connection);
    // Errors of a connection need no handling: its request was cancelled when the handler's future
    // was dropped.
    if edge.stop_gate.is_open() {
        // Every answer of a stopping host ends its connection.
        let _ = connection.await;
    } else if edge
        .stop_gate
        .run_until_open(connection.as_mut())
        .await
        .is_none()
    {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
