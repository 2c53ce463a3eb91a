//! Accepts connections and serves HTTP/1.1 on them.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

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
/// Connections beyond `max_connections` open ones are closed without being read. `open_connections`
/// counts those that have not ended, except for connections that are accepted after the host's stop
/// gate has opened: the exit does not wait for these.
pub(crate) async fn serve_connections<H, F>(
    listener: TcpListener,
    edge: Rc<Edge>,
    max_connections: usize,
    open_connections: Rc<Cell<usize>>,
    handler: H,
) -> std::io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<EdgeBody>> + 'static,
{
    loop {
        let stream = accept(&listener).await?;
        if open_connections.get() >= max_connections || stream.set_nodelay(true).is_err() {
            continue;
        }
        let edge = Rc::clone(&edge);
        let handler = handler.clone();
        if edge.stop_gate.is_open() {
            compio::runtime::spawn(serve_connection(stream, edge, handler)).detach();
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let open_connections = Rc::clone(&open_connections);
        compio::runtime::spawn(async move {
            serve_connection(stream, edge, handler).await;
            open_connections.set(open_connections.get() - 1);
        })
        .detach();
    }
}

/// Serves one connection. If the host's stop gate opens meanwhile, the connection ends after the
/// answer in progress.
async fn serve_connection<H, F>(stream: TcpStream, edge: Rc<Edge>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<EdgeBody>> + 'static,
{
    let service = service_fn(move |request| {
        let reply = handler(request);
        async move { Ok::<_, std::convert::Infallible>(reply.await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(edge.caller_head_timeout())
        .max_buf_size(HEAD_BUFFER_BYTES)
        .serve_connection(LingeringStream::new(stream), service);
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
