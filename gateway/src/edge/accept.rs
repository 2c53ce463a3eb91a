//! Accepts connections and serves HTTP/1.1 on them.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

use compio::net::TcpListener;
use cyper_core::{CompioTimer, HyperStream};
use http::{Request, Response};
use http_util::accept;
use hyper::body::Incoming;
use hyper::service::service_fn;

use super::body::EdgeBody;
use super::state::Edge;

/// Size of the read buffer, which bounds a request head. The handler checks the configured limit on
/// heads.
const HEAD_BUFFER_BYTES: usize = 64 * 1024;

/// Accepts and serves connections until the listener fails.
///
/// Connections beyond `max_connections` open ones are closed without being read.
pub(crate) async fn serve_connections<H, F>(
    listener: TcpListener,
    edge: Rc<Edge>,
    max_connections: usize,
    handler: H,
) -> std::io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<EdgeBody>> + 'static,
{
    let open_connections = Rc::new(Cell::new(0_usize));
    loop {
        let stream = accept(&listener).await?;
        if open_connections.get() >= max_connections || stream.set_nodelay(true).is_err() {
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let open_connections = Rc::clone(&open_connections);
        let handler = handler.clone();
        let head_timeout = edge.caller_head_timeout();
        compio::runtime::spawn(async move {
            let service = service_fn(move |request| {
                let reply = handler(request);
                async move { Ok::<_, std::convert::Infallible>(reply.await) }
            });
            let served = hyper::server::conn::http1::Builder::new()
                .timer(CompioTimer)
                .header_read_timeout(head_timeout)
                .max_buf_size(HEAD_BUFFER_BYTES)
                .serve_connection(HyperStream::new_plain(stream), service)
                .await;
            // Errors of a connection need no handling: its request was cancelled when the handler's
            // future was dropped.
            drop(served);
            open_connections.set(open_connections.get() - 1);
        })
        .detach();
    }
}
