//! Starts the listeners and background tasks of a host, and shuts them down.

use std::rc::Rc;
use std::time::{Duration, Instant};

use caller_limits::ConnectionTable;
use compio::net::{TcpListener, UdpSocket};

use super::accept::serve_connections;
use super::datagrams::{receive_datagrams, send_heartbeat, send_heartbeats, send_summaries};
use super::directory::{control_reply, directory_reply, readiness_reply};
use super::forward::forward_request;
use super::isolation_control::watch_contact;
use super::peer_relay::{RequestOrigin, serve_relayed};
use super::state::Edge;

/// Minimum time for which a stopping host keeps listening. Callers learn of other hosts within two
/// replies of the directory.
const MIN_LEAVE_TIME: Duration = Duration::from_millis(4_500);
/// Margin before the end of the grace period, at which the process is killed.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// Time before the exit that is reserved for final answers to the requests still in flight.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(300);
/// Maximum number of connections to a listener that only the platform and operators use.
const MAX_SIDE_CONNECTIONS: usize = 64;
/// Time between two checks for expired idle connections.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checks whether a stopping host has finished its requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves requests until `stopped` completes, then finishes the requests in flight.
///
/// # Errors
///
/// Returns an error if a socket cannot be opened.
pub async fn run_edge(edge: Rc<Edge>, stopped: impl Future<Output = ()>) -> std::io::Result<()> {
    let settings = &edge.settings;
    let peer_address = (settings.host, settings.peer_port);
    let socket = Rc::new(UdpSocket::bind(peer_address).await?);
    let caller_listener = TcpListener::bind(settings.caller_address).await?;
    let readiness_listener = TcpListener::bind(settings.readiness_address).await?;
    compio::runtime::spawn(receive_datagrams(Rc::clone(&edge), Rc::clone(&socket))).detach();
    compio::runtime::spawn(send_heartbeats(Rc::clone(&edge), Rc::clone(&socket))).detach();
    compio::runtime::spawn(send_summaries(Rc::clone(&edge), Rc::clone(&socket))).detach();
    compio::runtime::spawn(close_expired(Rc::clone(&edge))).detach();
    if let Some(address) = settings.directory_address {
        let listener = TcpListener::bind(address).await?;
        spawn_replies(
            &edge,
            listener,
            settings.max_directory_connections,
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
    spawn_replies(
        &edge,
        readiness_listener,
        MAX_SIDE_CONNECTIONS,
        readiness_reply,
    );
    let handler_edge = Rc::clone(&edge);
    let caller_connections =
        ConnectionTable::new(settings.max_caller_connections, Some(edge.memory.clone()));
    let server = serve_connections(
        caller_listener,
        Rc::clone(&edge),
        Rc::clone(&caller_connections),
        |_, _| true,
        move |request, connection| {
            let edge = Rc::clone(&handler_edge);
            forward_request(edge, request, connection, RequestOrigin::Caller)
        },
    );
    let relay_listener = TcpListener::bind(peer_address).await?;
    compio::runtime::spawn(watch_contact(Rc::clone(&edge))).detach();
    spawn_relay_server(&edge, relay_listener, &caller_connections);
    compio::runtime::spawn(async move {
        if let Err(error) = server.await {
            log::error!("edge: caller listener failed: {error}");
        }
    })
    .detach();
    log::info!(host = settings.host.to_string().as_str(), zone = settings.zone.as_str(); "edge: started");
    stopped.await;
    drain_and_leave(&edge, &socket, &caller_connections).await;
    Ok(())
}

/// Builds the reply to a request without waiting.
type ReplyFunction =
    fn(&Rc<Edge>, &http::Request<hyper::body::Incoming>) -> http::Response<super::body::EdgeBody>;

/// Serves replies that need no endpoint on a listener, in a background task.
fn spawn_replies(
    edge: &Rc<Edge>,
    listener: TcpListener,
    max_connections: usize,
    reply: ReplyFunction,
) {
    let edge = Rc::clone(edge);
    let connections = ConnectionTable::new(max_connections, Some(edge.memory.clone()));
    let server = serve_connections(
        listener,
        Rc::clone(&edge),
        connections,
        |_, _| true,
        move |request, _| {
            let response = reply(&edge, &request);
            async move { response }
        },
    );
    compio::runtime::spawn(async move {
        if let Err(error) = server.await {
            log::error!("edge: side listener failed: {error}");
        }
    })
    .detach();
}

/// Serves the requests that other hosts pass on, in a background task. They take the same places as
/// connections of callers.
fn spawn_relay_server(edge: &Rc<Edge>, listener: TcpListener, connections: &Rc<ConnectionTable>) {
    let handler_edge = Rc::clone(edge);
    let server = serve_connections(
        listener,
        Rc::clone(edge),
        Rc::clone(connections),
        Edge::is_relaying_host,
        move |request, connection| serve_relayed(Rc::clone(&handler_edge), request, connection),
    );
    compio::runtime::spawn(async move {
        if let Err(error) = server.await {
            log::error!("edge: listener for other hosts failed: {error}");
        }
    })
    .detach();
}

/// Closes expired idle connections at regular intervals.
async fn close_expired(edge: Rc<Edge>) {
    loop {
        compio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
        edge.pool.close_expired();
    }
}

/// Announces that this host is leaving, then waits until its requests are answered. Those that are
/// left at the end of the grace period get final answers. Connections are closed before the process
/// exits: the last answers are written only when these have ended.
async fn drain_and_leave(edge: &Rc<Edge>, socket: &UdpSocket, connections: &ConnectionTable) {
    let stopping_since = Instant::now();
    log::info!(in_flight = edge.in_flight.len(); "edge: stopping");
    edge.state.borrow_mut().leaving_since = Some(stopping_since);
    send_heartbeat(edge, socket).await;
    let max_wait = edge.settings.grace_period.saturating_sub(KILL_MARGIN);
    let max_answer_wait = max_wait.saturating_sub(FINAL_ANSWER_TIME);
    let min_wait = MIN_LEAVE_TIME.min(max_answer_wait);
    let is_drained = || edge.in_flight.is_empty() && stopping_since.elapsed() >= min_wait;
    while !is_drained() && stopping_since.elapsed() < max_answer_wait {
        compio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    edge.stop_gate.open();
    while !connections.is_empty() && stopping_since.elapsed() < max_wait {
        compio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    let cut = edge.in_flight.log_cut();
    log::info!(cut = cut, connections = connections.len(), took_ms = stopping_since.elapsed().as_millis(); "edge: stopped");
}
