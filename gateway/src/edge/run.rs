//! Starts the sockets of one host and stops them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::{TcpListener, UdpSocket};
use compio::signal::unix::signal;

use super::accept::serve;
use super::datagrams::{receive_datagrams, send_heartbeat, send_heartbeats, send_summaries};
use super::directory::{control_reply, directory_reply, readiness_reply};
use super::forward::forward_request;
use super::state::Edge;

const SIGTERM: i32 = 15;
/// Time for which a stopping host goes on listening: callers learn of others within two answers
/// of the directory.
const MIN_LEAVE_TIME: Duration = Duration::from_millis(4_500);
/// Margin before the kill.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// Connections on the sockets that only the platform and operators use.
const MAX_SIDE_CONNECTIONS: usize = 64;
/// Time between two looks for connections that are too old.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(1);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves until the process is told to stop and its requests are answered.
///
/// # Errors
///
/// Returns the error of a socket that could not be opened.
pub async fn run_edge(edge: Rc<Edge>) -> std::io::Result<()> {
    let settings = &edge.settings;
    let peer_address = (settings.host, settings.peer_port);
    let socket = Rc::new(UdpSocket::bind(peer_address).await?);
    let callers = TcpListener::bind(settings.caller_address).await?;
    let readiness = TcpListener::bind(settings.readiness_address).await?;
    compio::runtime::spawn(receive_datagrams(Rc::clone(&edge), Rc::clone(&socket))).detach();
    compio::runtime::spawn(send_heartbeats(Rc::clone(&edge), Rc::clone(&socket))).detach();
    compio::runtime::spawn(send_summaries(Rc::clone(&edge), Rc::clone(&socket))).detach();
    compio::runtime::spawn(close_expired(Rc::clone(&edge))).detach();
    if let Some(address) = settings.directory_address {
        let listener = TcpListener::bind(address).await?;
        spawn_replies(
            &edge,
            listener,
            settings.max_caller_connections,
            directory_reply,
        );
    }
    for address in settings
        .control_address
        .into_iter()
        .chain(settings.metrics_address)
    {
        let listener = TcpListener::bind(address).await?;
        spawn_replies(&edge, listener, MAX_SIDE_CONNECTIONS, control_reply);
    }
    spawn_replies(&edge, readiness, MAX_SIDE_CONNECTIONS, readiness_reply);
    let handler_edge = Rc::clone(&edge);
    let serving = serve(
        callers,
        Rc::clone(&edge),
        settings.max_caller_connections,
        move |request| forward_request(Rc::clone(&handler_edge), request),
    );
    compio::runtime::spawn(async move {
        if let Err(error) = serving.await {
            log::error!("edge: the callers' socket failed: {error}");
        }
    })
    .detach();
    log::info!(host = settings.host.to_string().as_str(), zone = settings.zone.as_str(); "edge: started");
    signal(SIGTERM).await?;
    drain_and_leave(&edge, &socket).await;
    Ok(())
}

type ReplyFunction =
    fn(&Rc<Edge>, &http::Request<hyper::body::Incoming>) -> http::Response<super::body::EdgeBody>;

fn spawn_replies(
    edge: &Rc<Edge>,
    listener: TcpListener,
    max_connections: usize,
    reply: ReplyFunction,
) {
    let edge = Rc::clone(edge);
    let serving = serve(
        listener,
        Rc::clone(&edge),
        max_connections,
        move |request| {
            let answer = reply(&edge, &request);
            async move { answer }
        },
    );
    compio::runtime::spawn(async move {
        if let Err(error) = serving.await {
            log::error!("edge: a side socket failed: {error}");
        }
    })
    .detach();
}

async fn close_expired(edge: Rc<Edge>) {
    loop {
        compio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
        edge.pool.close_expired();
    }
}

/// Takes the host out of the directory, then waits for what it has taken.
async fn drain_and_leave(edge: &Rc<Edge>, socket: &UdpSocket) {
    let since = Instant::now();
    log::info!(in_flight = edge.in_flight.get(); "edge: stopping");
    edge.state.borrow_mut().leaving_since = Some(since);
    send_heartbeat(edge, socket).await;
    let latest = edge.settings.grace_period.saturating_sub(KILL_MARGIN);
    loop {
        let elapsed = since.elapsed();
        let idle = edge.in_flight.get() == 0;
        if elapsed >= latest || (idle && elapsed >= MIN_LEAVE_TIME.min(latest)) {
            break;
        }
        compio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    log::info!(in_flight = edge.in_flight.get(), took_ms = since.elapsed().as_millis(); "edge: stopped");
}
