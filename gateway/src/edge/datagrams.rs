//! Exchanges beats with the other hosts by datagrams.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::UdpSocket;

use super::peer_messages::RoundParts;
use super::state::Edge;
use crate::membership::{MAX_DATAGRAM_BYTES, PeerMessage};

/// Longest time between two beats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Least time between two beats when load changed: a fraction of the time that a prompt takes.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(30);
/// The same where hubs relay: a summary is not sent more often.
const RELAYED_REPORT_INTERVAL: Duration = Duration::from_millis(80);
/// Time between two summaries of a hub: 85 hosts at 10 a second are 850 datagrams, 1 to 2 in 100 of
/// a core.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(100);
/// Every how manieth summary lists the hosts, and goes to hosts that follow the other hub; twice
/// within the time in which a host counts as cut.
const FULL_ROUND_PERIOD: u32 = 3;
/// Every how manieth summary tells the endpoints' pace: once a second, since it hardly changes.
const PACE_ROUND_PERIOD: u32 = 10;
/// Pause after an error of the socket.
const SOCKET_ERROR_BACKOFF: Duration = Duration::from_millis(20);

/// Sends beats and does the regular work between them.
pub(crate) async fn send_heartbeats(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut last: Option<Instant> = None;
    loop {
        edge.tick();
        let due = last.is_none_or(|last| last.elapsed() >= HEARTBEAT_INTERVAL);
        let changed = {
            let state = &mut *edge.state.borrow_mut();
            let load = state.scheduler.take_load_changed();
            let usage = state.caps.take_changed();
            let marks = std::mem::take(&mut state.marks_moved);
            load || usage || marks
        };
        if due || changed {
            send_heartbeat(&edge, &socket).await;
            last = Some(Instant::now());
        }
        let interval = if edge.is_relayed() {
            RELAYED_REPORT_INTERVAL
        } else {
            LOAD_REPORT_INTERVAL
        };
        compio::time::sleep(interval).await;
    }
}

/// Sends one beat to every host that should have it.
pub(crate) async fn send_heartbeat(edge: &Rc<Edge>, socket: &UdpSocket) {
    let targets = edge.heartbeat_targets();
    if targets.is_empty() {
        return;
    }
    let mut bytes = PeerMessage::Heartbeat(edge.build_heartbeat()).encode();
    for host in targets {
        bytes = send_datagram(edge, socket, host, bytes).await;
    }
}

/// Sends summaries while this host is a hub.
pub(crate) async fn send_summaries(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut round: u32 = 0;
    loop {
        compio::time::sleep(SUMMARY_INTERVAL).await;
        if !edge.is_hub() {
            continue;
        }
        let parts = RoundParts {
            full: round.is_multiple_of(FULL_ROUND_PERIOD),
            paces: round.is_multiple_of(PACE_ROUND_PERIOD),
        };
        round = round.wrapping_add(1);
        let mut told = edge.begin_summary_round(parts);
        if let Some(digest) = edge.build_cell_summary(&mut told) {
            let mut bytes = PeerMessage::CellSummary(digest).encode();
            for host in edge.cell_summary_targets() {
                bytes = send_datagram(&edge, &socket, host, bytes).await;
            }
        }
        for host in edge.summary_targets(parts) {
            let summary = edge.build_summary(host, &told);
            let bytes = PeerMessage::HubSummary(summary).encode();
            send_datagram(&edge, &socket, host, bytes).await;
        }
    }
}

async fn send_datagram(
    edge: &Rc<Edge>,
    socket: &UdpSocket,
    host: IpAddr,
    bytes: Vec<u8>,
) -> Vec<u8> {
    let target = SocketAddr::new(host, edge.settings.peer_port);
    let compio::BufResult(sent, bytes) = socket.send_to(bytes, target).await;
    if sent.is_err() {
        // The next beat replaces this one.
        edge.count("beat_not_sent");
    }
    bytes
}

pub(crate) async fn receive_datagrams(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        buffer.clear();
        let compio::BufResult(received, returned) = socket.recv_from(buffer).await;
        buffer = returned;
        let Ok((length, sender)) = received else {
            edge.count("beat_not_received");
            compio::time::sleep(SOCKET_ERROR_BACKOFF).await;
            continue;
        };
        match PeerMessage::decode(&buffer[..length]) {
            Some(PeerMessage::Heartbeat(beat)) => {
                if edge.apply_heartbeat(beat) {
                    let bytes = PeerMessage::Heartbeat(edge.build_introduction()).encode();
                    send_datagram(&edge, &socket, sender.ip(), bytes).await;
                }
            }
            Some(PeerMessage::HubSummary(summary)) => edge.apply_summary(summary),
            Some(PeerMessage::CellSummary(digest)) => edge.apply_cell_summary(digest),
            None => edge.count("beat_unreadable"),
        }
    }
}
