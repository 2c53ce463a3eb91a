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

/// Buffer for one request head; the configured limit on heads is checked by the handler.
const HEAD_BUFFER_BYTES: usize = 64 * 1024;

/// Serves connections until the listener fails.
///
/// `max_connections`: at the same time; further ones are closed unread.
pub(crate) async fn serve<H, F>(
    listener: TcpListener,
    edge: Rc<Edge>,
    max_connections: usize,
    handler: H,
) -> std::io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<EdgeBody>> + 'static,
{
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let stream = accept(&listener).await?;
        if open.get() >= max_connections || stream.set_nodelay(true).is_err() {
            continue;
        }
        open.set(open.get() + 1);
        let open = Rc::clone(&open);
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
            // A broken connection is the caller's affair; its request was told by being dropped.
            drop(served);
            open.set(open.get() - 1);
        })
        .detach();
    }
}
